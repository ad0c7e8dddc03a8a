/// Tries. A try is one request to a target to run one task. A try starts when
/// a target has a free slot.
#ifndef JT_DISPATCH_TRIES_H
#define JT_DISPATCH_TRIES_H

#include "dispatch/jobs.h"

/// Starts waiting tasks until no available target fits one.
void tries_start_waiting(shard_t *shard);

/// Calls tries_start_waiting. The timer is set while tasks wait.
void tries_on_waiting_timer(loop_timer_t *timer);

/// Calls tries_start_waiting. Posted by another shard that freed a slot.
void tries_on_free_slot(loop_callback_t *callback);

/// Aborts the running tries of a job. Their answers are not received.
void tries_stop(job_record_t *record);

/// Queues a task for another try, at once or after a backoff.
void tries_requeue(job_record_t *record, uint32_t task);

#endif
