#include "core/job.h"

typedef uint32_t (*event_handler_t)(job_t *job, const job_event_t *event);

void
job_init(job_t *job, task_t *tasks, uint32_t task_count, int64_t deadline_ns)
{
    *job = (job_t){.state = kJobStateQueued,
                   .deadline_ns = deadline_ns,
                   .task_count = task_count,
                   .waiting_count = task_count,
                   .tasks = tasks};
    for (uint32_t i = 0; i < task_count; i++) {
        tasks[i] = (task_t){.state = kTaskStateWaiting};
    }
}

bool
job_has_ended(const job_t *job)
{
    return job->state == kJobStateComplete || job->state == kJobStateFailed;
}

static bool
is_failing(const job_t *job)
{
    return job->kind != kErrorKindOk;
}

/// Moves every task in state `from` to state `to`, with the error `kind`.
static void
set_task_states(job_t *job, task_state_t from, task_state_t to,
                error_kind_t kind)
{
    for (uint32_t i = 0; i < job->task_count; i++) {
        if (job->tasks[i].state == from) {
            job->tasks[i].state = to;
            job->tasks[i].kind = kind;
        }
    }
}

/// Ends the job if no task is waiting and no try is in flight.
static uint32_t
finish_if_idle(job_t *job)
{
    if (job->started_count > 0 || job->waiting_count > 0) {
        return 0;
    }
    job->state = is_failing(job) ? kJobStateFailed : kJobStateComplete;
    return kJobActionFinish;
}

/// Marks the job as failing, so that none of its waiting tasks is started.
/// The first error is kept as the reason.
static uint32_t
fail_job(job_t *job, error_kind_t kind)
{
    uint32_t actions = 0;
    if (!is_failing(job)) {
        job->kind = kind;
    }
    if (job->waiting_count > 0) {
        set_task_states(job, kTaskStateWaiting, kTaskStateNotRun, kind);
        job->waiting_count = 0;
        actions |= kJobActionDropWaiting;
    }
    return actions;
}

static uint32_t
apply_task_start(job_t *job, const job_event_t *event)
{
    task_t *task = &job->tasks[event->task];
    if (task->state != kTaskStateWaiting) {
        return kJobActionIgnored;
    }
    task->state = kTaskStateStarted;
    task->try_count++;
    job->waiting_count--;
    job->started_count++;
    job->state = kJobStateRunning;
    return 0;
}

static uint32_t
apply_try_done(job_t *job, const job_event_t *event)
{
    job->tasks[event->task].state = kTaskStateDone;
    job->started_count--;
    job->done_count++;
    return finish_if_idle(job);
}

static uint32_t
apply_try_not_run(job_t *job, const job_event_t *event)
{
    task_t *task = &job->tasks[event->task];
    job->started_count--;
    if (event->may_retry && !is_failing(job)) {
        task->state = kTaskStateWaiting;
        job->waiting_count++;
        return kJobActionRequeue;
    }
    task->state = kTaskStateNotRun;
    task->kind = event->kind;
    uint32_t actions = fail_job(job, event->kind);
    return actions | finish_if_idle(job);
}

static uint32_t
apply_try_failed(job_t *job, const job_event_t *event)
{
    task_t *task = &job->tasks[event->task];
    job->started_count--;
    task->state = kTaskStateMayHaveRun;
    task->kind = event->kind;
    uint32_t actions = fail_job(job, event->kind);
    return actions | finish_if_idle(job);
}

/// Ends the job immediately. Started tasks end as kTaskStateMayHaveRun.
static uint32_t
abort_job(job_t *job, error_kind_t kind)
{
    uint32_t actions = fail_job(job, kind);
    if (job->started_count > 0) {
        set_task_states(job, kTaskStateStarted, kTaskStateMayHaveRun, kind);
        job->started_count = 0;
        actions |= kJobActionStopTries;
    }
    return actions | finish_if_idle(job);
}

static uint32_t
apply_cancel(job_t *job, const job_event_t *event)
{
    (void)event;
    return abort_job(job, kErrorKindCancelled);
}

static uint32_t
apply_deadline(job_t *job, const job_event_t *event)
{
    (void)event;
    return abort_job(job, kErrorKindDeadline);
}

/// Tries in flight go on, so that the answer can tell what they did.
static uint32_t
apply_evacuated(job_t *job, const job_event_t *event)
{
    (void)event;
    uint32_t actions = fail_job(job, kErrorKindEvacuated);
    return actions | finish_if_idle(job);
}

static const event_handler_t event_handlers[kJobEventCount] = {
    [kJobEventTaskStart] = apply_task_start,
    [kJobEventTryDone] = apply_try_done,
    [kJobEventTryNotRun] = apply_try_not_run,
    [kJobEventTryFailed] = apply_try_failed,
    [kJobEventCancel] = apply_cancel,
    [kJobEventDeadline] = apply_deadline,
    [kJobEventEvacuated] = apply_evacuated,
};

/// @return whether the event reports the result of a try, which is valid only
/// for a started task
static bool
is_try_result(job_event_type_t type)
{
    return type == kJobEventTryDone || type == kJobEventTryNotRun ||
           type == kJobEventTryFailed;
}

uint32_t
job_apply(job_t *job, const job_event_t *event)
{
    if (job_has_ended(job)) {
        return kJobActionIgnored;
    }
    if (is_try_result(event->type) &&
        job->tasks[event->task].state != kTaskStateStarted) {
        return kJobActionIgnored;
    }
    return event_handlers[event->type](job, event);
}
