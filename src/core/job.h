/// State machine of a job: a pure function of state and event that returns
/// the actions its user must take. It reads no clock, opens no socket and
/// allocates no memory.
#ifndef JT_CORE_JOB_H
#define JT_CORE_JOB_H

#include <stdbool.h>
#include <stdint.h>

#include "generated/messages.h"

/// One task of a job.
typedef struct {
    task_state_t state;
    error_kind_t kind; ///< why the task did not complete
    uint32_t try_count;
} task_t;

typedef struct {
    job_state_t state;
    error_kind_t kind; ///< why the job failed; kErrorKindOk until it does
    int64_t deadline_ns;
    uint32_t task_count;
    uint32_t waiting_count;
    uint32_t started_count;
    uint32_t done_count;
    task_t *tasks; ///< `task_count` elements, owned by the user of the job
} job_t;

typedef enum {
    kJobEventTaskStart, ///< a waiting task was handed to a target
    kJobEventTryDone,   ///< the target answered done
    kJobEventTryNotRun, ///< proven: the task did not start
    kJobEventTryFailed, ///< the task may have run; `kind` is the error
    kJobEventCancel,    ///< the caller cancelled the job
    kJobEventDeadline,  ///< the job's deadline passed
    kJobEventEvacuated, ///< no target may start its waiting tasks
    kJobEventCount
} job_event_type_t;

typedef struct {
    job_event_type_t type;
    uint32_t task;     ///< index of the task; set for TaskStart and Try*
    error_kind_t kind; ///< set for TryNotRun and TryFailed
    bool may_retry; ///< set for TryNotRun: the retry rules allow another try
} job_event_t;

/// What the user of the job must do after an event, as a set of bits.
enum {
    kJobActionRequeue = 1,     ///< put the event's task back into the queue
    kJobActionDropWaiting = 2, ///< remove the job's tasks from the queue
    kJobActionStopTries = 4,   ///< abort tries in flight; ignore answers
    kJobActionFinish = 8,  ///< build the answer; the job is in its final state
    kJobActionIgnored = 16 ///< the event came too late and changed nothing
};

/// Initializes a queued job with all tasks waiting.
///
/// @param tasks  array of `task_count` elements; initialized here
void job_init(job_t *job, task_t *tasks, uint32_t task_count,
              int64_t deadline_ns);

/// Applies an event.
///
/// @return a set of kJobAction bits
uint32_t job_apply(job_t *job, const job_event_t *event);

/// @return whether the job has ended
bool job_has_ended(const job_t *job);

#endif
