#include "core/job.h"

typedef uint32_t (*apply_t)(job_t *job, const job_event_t *event);

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
is_doomed(const job_t *job)
{
    return job->kind != kErrorKindOk;
}

/// Gives every task of one state another one.
static void
move_tasks(job_t *job, task_state_t from, task_state_t to, error_kind_t kind)
{
    for (uint32_t i = 0; i < job->task_count; i++) {
        if (job->tasks[i].state == from) {
            job->tasks[i].state = to;
            job->tasks[i].kind = kind;
        }
    }
}

/// Ends the job when no try is out and none will follow.
static uint32_t
finish_if_settled(job_t *job)
{
    if (job->started_count > 0 || job->waiting_count > 0) {
        return 0;
    }
    job->state = is_doomed(job) ? kJobStateFailed : kJobStateComplete;
    return kJobActionFinish;
}

/// Makes the job fail: nothing of it starts any more.
static uint32_t
doom(job_t *job, error_kind_t kind)
{
    uint32_t acts = 0;
    if (!is_doomed(job)) {
        job->kind = kind;
    }
    if (job->waiting_count > 0) {
        move_tasks(job, kTaskStateWaiting, kTaskStateNotRun, kind);
        job->waiting_count = 0;
        acts |= kJobActionDropWaiting;
    }
    return acts;
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
    return finish_if_settled(job);
}

static uint32_t
apply_try_not_run(job_t *job, const job_event_t *event)
{
    task_t *task = &job->tasks[event->task];
    job->started_count--;
    if (event->may_retry && !is_doomed(job)) {
        task->state = kTaskStateWaiting;
        job->waiting_count++;
        return kJobActionRequeue;
    }
    task->state = kTaskStateNotRun;
    task->kind = event->kind;
    uint32_t acts = doom(job, event->kind);
    return acts | finish_if_settled(job);
}

static uint32_t
apply_try_failed(job_t *job, const job_event_t *event)
{
    task_t *task = &job->tasks[event->task];
    job->started_count--;
    task->state = kTaskStateMayHaveRun;
    task->kind = event->kind;
    uint32_t acts = doom(job, event->kind);
    return acts | finish_if_settled(job);
}

/// Ends the job at once: tries that are out may have run.
static uint32_t
end_now(job_t *job, error_kind_t kind)
{
    uint32_t acts = doom(job, kind);
    if (job->started_count > 0) {
        move_tasks(job, kTaskStateStarted, kTaskStateMayHaveRun, kind);
        job->started_count = 0;
        acts |= kJobActionStopTries;
    }
    return acts | finish_if_settled(job);
}

static uint32_t
apply_cancel(job_t *job, const job_event_t *event)
{
    (void)event;
    return end_now(job, kErrorKindCancelled);
}

static uint32_t
apply_deadline(job_t *job, const job_event_t *event)
{
    (void)event;
    return end_now(job, kErrorKindDeadline);
}

static const apply_t apply_table[kJobEventCount] = {
    [kJobEventTaskStart] = apply_task_start,
    [kJobEventTryDone] = apply_try_done,
    [kJobEventTryNotRun] = apply_try_not_run,
    [kJobEventTryFailed] = apply_try_failed,
    [kJobEventCancel] = apply_cancel,
    [kJobEventDeadline] = apply_deadline,
};

/// @return whether the event speaks of a task whose try is out
static bool
needs_started_task(job_event_type_t type)
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
    if (needs_started_task(event->type) &&
        job->tasks[event->task].state != kTaskStateStarted) {
        return kJobActionIgnored;
    }
    return apply_table[event->type](job, event);
}
