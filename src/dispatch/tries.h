/// Tries: requests to targets for single tasks, and the pump that starts
/// them when slots are free.
#ifndef JT_DISPATCH_TRIES_H
#define JT_DISPATCH_TRIES_H

#include "dispatch/jobs.h"

/// Starts waiting tasks as long as open targets fit them.
void tries_pump(shard_t *shard);

/// The same, by the timer that runs while tasks wait.
void tries_pump_again(loop_timer_t *timer);

/// The same, asked by another shard.
void tries_pump_by_mail(loop_callback_t *callback);

/// Ends every try of a job; what comes back later is ignored.
void tries_stop(job_record_t *record);

/// Queues a task again, at once or after a pause that grows.
void tries_requeue(job_record_t *record, uint32_t task);

#endif
