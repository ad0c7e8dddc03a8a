/// Runs: each holds resources of a target from its start call until it has
/// certainly ended.
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/counters.h"
#include "pool/state.h"

enum {
    kStartWaitMs = 200,  ///< for the reply to a start; usually 1 to 3 ms
    kStartSendLimit = 3, ///< start calls of one run
    /// Least time between two start calls of a run: a small VM takes 20 ms to
    /// start a job with many tasks.
    kResendMinMs = 30,
    kResendMinRoundTrips = 4, ///< the same in round trips; the longer applies
    kRoundTripDivisor = 8,    ///< a new value has a weight of 1/8
    kStopWaitMs = 200,        ///< for the reply to a stop
    kStopDoublingLimit = 2,   ///< of the time between two stop calls of a run
    /// Between two stop calls of a run that are unlikely to help: one was
    /// answered, or the target does not answer at all.
    kStopSlowResendMs = 250,
    /// Delay of a task after its first rejection. Short, because most
    /// rejections come from a single target.
    kFirstBackoffMs = 5,
    kBackoffDoublingLimit = 6, ///< of kFirstBackoffMs: up to 320 ms
    kCpuLimitMs = 1000, ///< by then, the target's record has been read again
    kCallRetryMs = 5,   ///< of a call for which there was no room
    kLogTextBytes = 128
};

static void
link_run(pool_t *pool, pool_run_t *run)
{
    pool_target_t *target = run->target;
    run->next = target->runs;
    if (target->runs != NULL) {
        target->runs->prev = run;
    }
    target->runs = run;
    target->run_count++;
    target->open_count++;
    target->alone_count += run->is_alone;
    target->used.cpu_mcores += run->cpu_mcores;
    target->used.memory_mb += run->memory_mb;
    target->used.accelerators += run->accelerators;
    pool->run_count++;
}

static void
unlink_run(pool_t *pool, pool_run_t *run)
{
    pool_target_t *target = run->target;
    if (run->prev != NULL) {
        run->prev->next = run->next;
    }
    else {
        target->runs = run->next;
    }
    if (run->next != NULL) {
        run->next->prev = run->prev;
    }
    target->run_count--;
    pool->run_count--;
}

/// @return the least time between two identical calls of a run
static int64_t
resend_interval_ns(const pool_t *pool)
{
    int64_t interval_ns = kResendMinRoundTrips * pool->round_trip_ns;
    return interval_ns > MS_TO_NS(kResendMinMs) ? interval_ns
                                                : MS_TO_NS(kResendMinMs);
}

/// Sends the start call of a run. Starts are idempotent, so the call may be
/// sent more than once.
static void
send_start(pool_t *pool, pool_run_t *run, int64_t now_ns)
{
    start_call_t call = {.target = &run->target->info,
                         .name = run->name,
                         .payload = run->task->order->spec->payload,
                         .lease_until_ms = run->lease_until_ms,
                         .token = run->token,
                         .deadline_ns =
                             run->started_ns + MS_TO_NS(kStartWaitMs),
                         .run = run};
    run->starts_sent++;
    run->pending_starts++;
    calls_record_sent(pool, run->target);
    run->resend_due_ns = run->starts_sent == kStartSendLimit
                             ? INT64_MAX
                             : now_ns + resend_interval_ns(pool);
    pool->ops->start(pool->owner, &call);
}

static run_loss_t
make_loss(const pool_run_t *run)
{
    const pool_target_info_t *target = &run->target->info;
    return (run_loss_t){
        .job = run->name.job,
        .step = run->name.step,
        .index = run->name.index,
        .target = target->id,
        .born_ms = run->born_ms,
        .is_sudden = run->state == kRunActive && run->stop_due_ns == 0 &&
                     run->target->is_broken_off && !target->is_draining,
        .is_over = run->born_ms < target->born_ms};
}

void
run_record_loss(pool_t *pool, const pool_run_t *run, int64_t now_ns)
{
    if (run->born_ms == 0) {
        return; // nothing would ever show whether the target has restarted
    }
    run_loss_t loss = make_loss(run);
    losses_add(pool->losses, &loss, now_ns);
}

/// Removes what was recorded in advance of a run that was not lost.
static void
clear_loss(pool_t *pool, const pool_run_t *run)
{
    if (run->is_alone) {
        run_loss_t loss = make_loss(run);
        losses_remove(pool->losses, &loss);
    }
}

pool_run_t *
run_start(pool_t *pool, pool_target_t *target, pool_task_t *task, care_t care,
          int64_t now_ns)
{
    const order_t *order = task->order->spec;
    const order_step_t *step = &order->steps[task->step];
    pool_run_t *run = calloc(1, sizeof *run);
    *run = (pool_run_t){.target = target,
                        .task = task,
                        .name = {.step = task->step,
                                 .index = task->index,
                                 .attempt = task->last_attempt + 1},
                        .state = kRunStarting,
                        .cpu_mcores = step->cpu_mcores,
                        .memory_mb = step->memory_mb,
                        .accelerators = step->accelerators,
                        .estimate_ms = step->estimate_ms,
                        .started_ns = now_ns,
                        .end_by_ns = INT64_MAX,
                        .token = target->token,
                        .born_ms = target->info.born_ms,
                        .is_alone = care == kCareAlone};
    strncpy(run->name.job, order->job, sizeof run->name.job - 1);
    run->lease_until_ms = lease_grant(target, pool->limits.lease_ms, now_ns);
    task->last_attempt++;
    task->run = run;
    task->state = kTaskPlaced;
    task->order->waiting_count--;
    task->order->is_started = true;
    if (task->order->waiting_count == 0) {
        wait_record_actual(pool, task->order, now_ns);
    }
    link_run(pool, run);
    if (run->is_alone) {
        // Recorded in advance: this node may end before it learns that the
        // target has crashed.
        run_record_loss(pool, run, now_ns);
    }
    send_start(pool, run, now_ns);
    return run;
}

void
run_free_ended(pool_t *pool, pool_run_t *run)
{
    if (!run->is_ended || run->pending_starts > 0 || run->pending_stops > 0) {
        return;
    }
    pool_target_t *target = run->target;
    unlink_run(pool, run);
    free(run);
    session_free_dropped(pool, target);
}

/// Updates by when a target's runs must have ended, after one that had to be
/// the first has.
static void
update_end_by(pool_target_t *target)
{
    target->end_by_ns = INT64_MAX;
    for (const pool_run_t *run = target->runs; run != NULL; run = run->next) {
        if (!run->is_ended) {
            target->end_by_ns = min_ns(target->end_by_ns, run->end_by_ns);
        }
    }
}

/// Marks a run as ended, releases its resources and detaches its task.
///
/// @return the task, or NULL
static pool_task_t *
mark_ended(pool_run_t *run)
{
    pool_task_t *task = run->task;
    pool_target_t *target = run->target;
    run->task = NULL;
    run->is_ended = true;
    target->open_count--;
    target->alone_count -= run->is_alone;
    target->used.cpu_mcores -= run->cpu_mcores;
    target->used.memory_mb -= run->memory_mb;
    target->used.accelerators -= run->accelerators;
    if (run->end_by_ns != INT64_MAX && run->end_by_ns == target->end_by_ns) {
        update_end_by(target);
    }
    if (task != NULL) {
        task->run = NULL;
    }
    return task;
}

/// Logs an event of a run with the run's name and target.
static void
log_run(pool_t *pool, const char *event, const pool_run_t *run)
{
    char text[kLogTextBytes];
    snprintf(text, sizeof text, "%u.%u attempt=%u target=%s born=%llu",
             run->name.step, run->name.index, run->name.attempt,
             run->target->info.id,
             (unsigned long long)run->target->info.born_ms);
    pool->ops->log(pool->owner, event, run->name.job, text);
}

void
run_end(pool_t *pool, pool_run_t *run, run_end_t how, int64_t now_ns)
{
    if (run->is_ended) {
        return;
    }
    pool_target_t *target = run->target;
    if (how == kRunEndDone) {
        counter_add(kCounterRunsDone, 1);
        session_record_done(pool, target, run, now_ns);
    }
    else if (how == kRunEndFailed) {
        counter_add(kCounterRunsFailed, 1);
        session_record_failure(target, run, now_ns);
    }
    else {
        counter_add(kCounterRunsStopped, 1);
    }
    if (how == kRunEndLapsed) {
        log_run(pool, "run_lapsed", run);
    }
    else {
        clear_loss(pool, run);
    }
    pool_task_t *task = mark_ended(run);
    if (task == NULL) {
        return;
    }
    if (how == kRunEndDone) {
        order_complete_task(pool, task, now_ns);
        return;
    }
    memcpy(task->avoided_target, target->info.id, sizeof task->avoided_target);
    if (how == kRunEndFailed) {
        order_fail_task(pool, task, now_ns);
        return;
    }
    order_requeue_task(task);
}

void
run_lose(pool_t *pool, pool_run_t *run, int64_t now_ns)
{
    if (run->is_ended) {
        return;
    }
    run_record_loss(pool, run, now_ns);
    counter_add(kCounterRunsLost, 1);
    counter_add(kCounterRunsCrashed, run->target->is_broken_off);
    run_end(pool, run, kRunEndLapsed, now_ns);
}

void
run_abandon(pool_t *pool, pool_run_t *run, int64_t now_ns)
{
    if (run->is_ended) {
        return;
    }
    run_record_loss(pool, run, now_ns);
    pool_task_t *task = mark_ended(run);
    if (task != NULL) {
        order_settle(pool, task->order, kOrderOutcomeLost,
                     kErrorKindTargetLost, 0, now_ns);
    }
}

static void
send_stop(pool_t *pool, pool_run_t *run, int64_t now_ns)
{
    stop_call_t call = {.target = &run->target->info,
                        .name = run->name,
                        .token = run->target->token,
                        .deadline_ns = now_ns + MS_TO_NS(kStopWaitMs),
                        .run = run};
    uint32_t doublings = run->stops_sent < kStopDoublingLimit
                             ? run->stops_sent
                             : (uint32_t)kStopDoublingLimit;
    run->stops_sent++;
    run->pending_stops++;
    calls_record_sent(pool, run->target);
    run->stop_due_ns =
        now_ns +
        (run->target->session == kSessionUnresponsive || run->target->is_fenced
             ? MS_TO_NS(kStopSlowResendMs)
             : resend_interval_ns(pool) << doublings);
    pool->ops->stop(pool->owner, &call);
}

void
run_stop(pool_t *pool, pool_run_t *run, int64_t now_ns)
{
    if (run->is_ended || run->stop_due_ns != 0) {
        return;
    }
    run->stop_due_ns = now_ns;
    run_advance(pool, run, now_ns);
}

void
run_orphan(pool_t *pool, pool_run_t *run, int64_t given_up_ns, int64_t now_ns)
{
    run->task = NULL;
    run->end_by_ns = given_up_ns + MS_TO_NS(pool->limits.orphan_ms);
    if (!run->is_ended) {
        run->target->end_by_ns =
            min_ns(run->target->end_by_ns, run->end_by_ns);
    }
    run_stop(pool, run, now_ns);
}

/// Sends the start call again if it is due.
///
/// @return when to check again, or INT64_MAX
static int64_t
resend_start(pool_t *pool, pool_run_t *run, int64_t now_ns)
{
    if (run->state != kRunStarting || run->task == NULL ||
        run->target->is_dropped || run->token != run->target->token) {
        return INT64_MAX;
    }
    if (run->resend_due_ns <= now_ns) {
        if (!calls_allow_start(pool, run->target)) {
            return now_ns + MS_TO_NS(kCallRetryMs);
        }
        counter_add(kCounterStartsRepeated, 1);
        send_start(pool, run, now_ns);
    }
    return run->resend_due_ns;
}

/// Sends a stop call or another start call if it is due. A run is stopped only
/// after the reply to its start, so that the stop cannot overtake the start.
int64_t
run_advance(pool_t *pool, pool_run_t *run, int64_t now_ns)
{
    if (run->is_ended) {
        return INT64_MAX;
    }
    if (run->state == kRunStarting) {
        return resend_start(pool, run, now_ns);
    }
    if (run->stop_due_ns == 0) {
        return INT64_MAX;
    }
    if (run->stop_due_ns <= now_ns && !run->target->is_dropped) {
        if (!calls_allow_stop(pool, run->target)) {
            counter_add(kCounterStopsDelayed, 1);
            return now_ns + MS_TO_NS(kCallRetryMs);
        }
        send_stop(pool, run, now_ns);
    }
    return run->stop_due_ns;
}

/// Delays the next start of a task by a time that doubles with each rejection.
static void
back_off_task(pool_task_t *task, int64_t now_ns)
{
    uint32_t doublings = task->reject_count < kBackoffDoublingLimit
                             ? task->reject_count
                             : (uint32_t)kBackoffDoublingLimit;
    task->reject_count++;
    task->not_before_ns = now_ns + (MS_TO_NS(kFirstBackoffMs) << doublings);
}

/// Requeues the task of a run that its target rejected and that never ran.
static void
handle_rejection(pool_t *pool, pool_run_t *run, bool should_avoid,
                 int64_t now_ns)
{
    counter_add(kCounterRunsRejected, 1);
    clear_loss(pool, run);
    pool_target_t *target = run->target;
    pool_task_t *task = mark_ended(run);
    if (task != NULL) {
        if (should_avoid) {
            memcpy(task->avoided_target, target->info.id,
                   sizeof task->avoided_target);
            back_off_task(task, now_ns);
        }
        order_requeue_task(task);
    }
}

static void
log_rejection(pool_t *pool, const pool_run_t *run, reply_kind_t kind)
{
    if (kind != kReplyDone) {
        pool->ops->log(pool->owner, "start_rejected", run->name.job,
                       reply_kind_names[kind]);
    }
}

/// @return what the last reply to the start calls of a run means for the run.
///         If several calls were sent, the rejection of one says nothing about
///         the others, so the run counts as unanswered.
static reply_kind_t
resolve_start_reply(const pool_run_t *run, reply_kind_t kind)
{
    return kind == kReplyDone || run->starts_sent == 1 ? kind
                                                       : kReplyUnanswered;
}

static void
handle_started(pool_t *pool, pool_run_t *run, int64_t now_ns)
{
    counter_add(kCounterRunsStarted, 1);
    run->state = kRunActive;
    run->confirmed_ns = now_ns;
    if (run->starts_sent == 1) {
        pool->round_trip_ns +=
            (now_ns - run->started_ns - pool->round_trip_ns) /
            kRoundTripDivisor;
        run->started_ns = now_ns;
    }
    run->target->unanswered_count = 0;
    run->target->list_due_ns = now_ns;
}

static void
handle_not_sent(pool_t *pool, pool_run_t *run, int64_t now_ns)
{
    handle_rejection(pool, run, true, now_ns);
    session_mark_unresponsive(pool, run->target, now_ns);
}

static void
handle_unanswered(pool_t *pool, pool_run_t *run, int64_t now_ns)
{
    counter_add(kCounterRunsUnanswered, 1);
    run->state = kRunUnconfirmed;
    session_handle_unanswered(pool, run->target, now_ns);
    run_stop(pool, run, now_ns);
}

static void
handle_fenced(pool_t *pool, pool_run_t *run, int64_t now_ns)
{
    pool_target_t *target = run->target;
    bool is_current = run->token == target->token;
    counter_add(kCounterTokensFenced, 1);
    handle_rejection(pool, run, is_current, now_ns);
    if (is_current) {
        target->is_fenced = true;
        pool->ops->fenced(pool->owner, &target->info);
    }
}

/// The target has less room than its record says.
static void
handle_no_capacity(pool_t *pool, pool_run_t *run, int64_t now_ns)
{
    pool_target_t *target = run->target;
    uint32_t used_mcores = (uint32_t)target->used.cpu_mcores;
    // Of the runs on the target, this one is the first that does not fit.
    target->cpu_limit_mcores = used_mcores > 1 ? used_mcores - 1 : 1;
    target->cpu_limit_until_ns = now_ns + MS_TO_NS(kCpuLimitMs);
    handle_rejection(pool, run, true, now_ns);
}

/// The target cannot run the task. This counts as a failure of the target.
static void
handle_refused(pool_t *pool, pool_run_t *run, int64_t now_ns)
{
    session_record_failure(run->target, run, now_ns);
    handle_rejection(pool, run, true, now_ns);
}

/// The target has had this attempt from an earlier submission of the job.
static void
handle_stale(pool_t *pool, pool_run_t *run, int64_t now_ns)
{
    handle_rejection(pool, run, false, now_ns);
}

/// The pool's record of the target's clock or incarnation is out of date.
static void
handle_outdated(pool_t *pool, pool_run_t *run, int64_t now_ns)
{
    handle_rejection(pool, run, true, now_ns);
    session_mark_unresponsive(pool, run->target, now_ns);
}

typedef void (*start_reply_handler_t)(pool_t *pool, pool_run_t *run,
                                      int64_t now_ns);

static const start_reply_handler_t start_reply_handlers[] = {
    [kReplyDone] = handle_started,
    [kReplyNotSent] = handle_not_sent,
    [kReplyUnanswered] = handle_unanswered,
    [kReplyFenced] = handle_fenced,
    [kReplyNoCapacity] = handle_no_capacity,
    [kReplyStale] = handle_stale,
    [kReplyLeaseExpired] = handle_outdated,
    [kReplyOtherIncarnation] = handle_outdated,
    [kReplyUnhealthy] = handle_refused,
    [kReplyInvalid] = handle_refused,
};

void
pool_handle_start_reply(pool_t *pool, pool_run_t *run,
                        const call_reply_t *reply, int64_t now_ns)
{
    run->pending_starts--;
    calls_record_reply(pool, run->target);
    if (reply->kind == kReplyUnanswered) {
        run->target->is_broken_off |= reply->is_broken_off;
        pool_record_unanswered_call(pool, run->target, now_ns);
    }
    if (!run->is_ended && run->state == kRunStarting &&
        (reply->kind == kReplyDone || run->pending_starts == 0)) {
        reply_kind_t kind = resolve_start_reply(run, reply->kind);
        log_rejection(pool, run, kind);
        start_reply_handlers[kind](pool, run, now_ns);
    }
    run_advance(pool, run, now_ns);
    run_free_ended(pool, run);
}

void
pool_handle_stop_reply(pool_t *pool, pool_run_t *run,
                       const call_reply_t *reply, int64_t now_ns)
{
    if (run == NULL) {
        pool->pending_calls--;
        return;
    }
    run->pending_stops--;
    calls_record_reply(pool, run->target);
    bool is_confirmed =
        reply->kind == kReplyDone || reply->kind == kReplyOtherIncarnation;
    if (is_confirmed) {
        run->target->unanswered_count = 0;
        run->stop_due_ns = now_ns + MS_TO_NS(kStopSlowResendMs);
    }
    if (is_confirmed && run->state == kRunUnconfirmed && !run->is_ended) {
        // The target now rejects a start call that is still in transit, and
        // lists the run as ended if it had started.
        run->stop_due_ns = 0;
        run->state = kRunActive;
        run->confirmed_ns = now_ns;
        run->target->list_due_ns = now_ns;
    }
    else if (is_confirmed) {
        run->target->list_due_ns = now_ns;
    }
    run_free_ended(pool, run);
}
