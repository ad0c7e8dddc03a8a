/// The life of a job: a pure function of state and event that says what the
/// shell must do. No clock, no socket, no memory of its own.
#ifndef JT_CORE_JOB_H
#define JT_CORE_JOB_H

#include <stdbool.h>
#include <stdint.h>

#include "generated/messages.h"

/// One task of a job.
typedef struct {
    task_state_t state;
    error_kind_t kind; ///< why the task is not done
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
    task_t *tasks; ///< task_count of them, owned by the shell
} job_t;

typedef enum {
    kJobEventTaskStart, ///< the shell hands a waiting task to a target
    kJobEventTryDone,   ///< the target answered done
    kJobEventTryNotRun, ///< proved: the try did not start
    kJobEventTryFailed, ///< the try may have run; `kind` says what came back
    kJobEventCancel,    ///< the caller cancels
    kJobEventDeadline,  ///< the job's deadline passed
    kJobEventCount
} job_event_type_t;

typedef struct {
    job_event_type_t type;
    uint32_t task;
    error_kind_t kind; ///< of TryNotRun and TryFailed
    bool may_retry;    ///< of TryNotRun: the retry rules allow another try
} job_event_t;

/// What the shell must do after an event, a set of bits.
enum {
    kJobActionRequeue = 1,     ///< queue the event's task again
    kJobActionDropWaiting = 2, ///< take the job's tasks out of the queue
    kJobActionStopTries = 4,   ///< end the tries that are out; ignore answers
    kJobActionFinish = 8,      ///< build the answer; the job changes no more
    kJobActionIgnored = 16     ///< the event came too late to matter
};

/// Makes a queued job whose tasks all wait.
///
/// @param tasks  room for task_count tasks
void job_init(job_t *job, task_t *tasks, uint32_t task_count,
              int64_t deadline_ns);

/// Applies an event.
///
/// @return a set of kJobAct bits
uint32_t job_apply(job_t *job, const job_event_t *event);

/// @return whether the job has ended
bool job_has_ended(const job_t *job);

#endif
