/// Runs: what occupies room on a target, from the call that starts it until
/// it is certain that it is over.
#include <stdlib.h>
#include <string.h>

#include "base/counters.h"
#include "pool/state.h"

enum {
    kStartWaitMs = 200, ///< for the answer to a start; usually 1 to 3 ms
    kStartSends = 3,    ///< of one start
    kRepeatMs = 30,     ///< at least, from one of them to the next; a wide job
                        ///< takes a small VM 20 ms to start
    kRepeatTrips = 4,   ///< at least, usual times to an answer between them
    kTripWeight = 8,    ///< one part in so many of a new time counts
    kStopWaitMs = 200,  ///< for the answer to a stop
    kStopRepeatMs = 250, ///< between two stops of one run
    kFirstPauseMs = 5,   ///< of a task after its first rejection; most
                         ///< rejections are of one target only
    kPauseDoublings = 6, ///< up to 320 ms
    kFirstRun = 1
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

/// Sends the call that starts a run. A target takes it once, however often it
/// comes.
static void
send_start(pool_t *pool, pool_run_t *run, int64_t now_ns)
{
    int64_t pause_ns = kRepeatTrips * pool->trip_ns;
    start_call_t call = {.target = &run->target->info,
                         .name = run->name,
                         .payload = run->task->order->order->payload,
                         .lease_until_ms = run->lease_until_ms,
                         .token = run->token,
                         .deadline_ns =
                             run->started_ns + MS_TO_NS(kStartWaitMs),
                         .run = run};
    run->start_count++;
    run->open_starts++;
    run->target->open_calls++;
    run->repeat_due_ns =
        run->start_count == kStartSends
            ? INT64_MAX
            : now_ns + (pause_ns > MS_TO_NS(kRepeatMs) ? pause_ns
                                                       : MS_TO_NS(kRepeatMs));
    pool->ops->start(pool->owner, &call);
}

pool_run_t *
run_create(pool_t *pool, pool_target_t *target, pool_task_t *task,
           int64_t now_ns)
{
    const order_t *order = task->order->order;
    const order_step_t *step = &order->steps[task->step];
    pool_run_t *run = calloc(1, sizeof *run);
    *run = (pool_run_t){.target = target,
                        .task = task,
                        .name = {.step = task->step,
                                 .index = task->index,
                                 .number = task->run_number + kFirstRun},
                        .state = kRunStarting,
                        .cpu_mcores = step->cpu_mcores,
                        .memory_mb = step->memory_mb,
                        .accelerators = step->accelerators,
                        .estimate_ms = step->estimate_ms,
                        .started_ns = now_ns,
                        .token = target->token};
    strncpy(run->name.job, order->job, sizeof run->name.job - 1);
    run->lease_until_ms =
        session_lease_until_ms(target, &pool->limits, now_ns);
    task->run_number++;
    task->run = run;
    task->state = kTaskPlaced;
    task->order->waiting_count--;
    task->order->is_started = true;
    if (task->order->waiting_count == 0) {
        wait_learn(pool, task->order, now_ns);
    }
    link_run(pool, run);
    session_note_lease(target, &pool->limits, now_ns);
    send_start(pool, run, now_ns);
    return run;
}

void
run_free_over(pool_t *pool, pool_run_t *run)
{
    if (!run->is_over || run->open_starts > 0 || run->is_stop_open) {
        return;
    }
    pool_target_t *target = run->target;
    unlink_run(pool, run);
    free(run);
    session_release(pool, target);
}

/// Takes a run off its target and gives its task back, if it has one.
static pool_task_t *
finish(pool_run_t *run)
{
    pool_task_t *task = run->task;
    run->task = NULL;
    run->is_over = true;
    run->cpu_mcores = 0;
    run->memory_mb = 0;
    run->accelerators = 0;
    if (task != NULL) {
        task->run = NULL;
    }
    return task;
}

void
run_end(pool_t *pool, pool_run_t *run, run_end_t how, int64_t now_ns)
{
    if (run->is_over) {
        return;
    }
    pool_target_t *target = run->target;
    if (how == kRunEndDone) {
        counter_add(kCounterRunsDone, 1);
        session_learn(pool, target, run, now_ns);
    }
    else if (how == kRunEndFailed) {
        counter_add(kCounterRunsFailed, 1);
        session_note_failure(target, run, now_ns);
    }
    else {
        counter_add(kCounterRunsStopped, 1);
    }
    pool_task_t *task = finish(run);
    if (task == NULL) {
        return;
    }
    if (how == kRunEndDone) {
        order_task_done(pool, task, now_ns);
        return;
    }
    memcpy(task->avoid, target->info.id, sizeof task->avoid);
    if (how == kRunEndFailed) {
        order_task_failed(pool, task, now_ns);
        return;
    }
    order_task_again(task);
}

void
run_lose(pool_t *pool, pool_run_t *run, int64_t now_ns)
{
    if (run->is_over) {
        return;
    }
    pool_task_t *task = finish(run);
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
    run->is_stop_open = true;
    run->target->open_calls++;
    run->stop_due_ns = now_ns + MS_TO_NS(kStopRepeatMs);
    pool->ops->stop(pool->owner, &call);
}

void
run_stop(pool_t *pool, pool_run_t *run, int64_t now_ns)
{
    if (run->is_over || run->stop_due_ns != 0) {
        return;
    }
    run->stop_due_ns = now_ns;
    run_advance(pool, run, now_ns);
}

/// Sends a start again that has had no answer for long.
///
/// @return when to look next
static int64_t
repeat_start(pool_t *pool, pool_run_t *run, int64_t now_ns)
{
    if (run->state != kRunStarting || run->task == NULL ||
        run->target->is_dropped || run->token != run->target->token) {
        return INT64_MAX;
    }
    if (run->repeat_due_ns <= now_ns) {
        counter_add(kCounterStartsRepeated, 1);
        send_start(pool, run, now_ns);
    }
    return run->repeat_due_ns;
}

/// Sends a stop that is due, or a start once more. A run is stopped when an
/// answer to its start has come, so that the stop cannot overtake it.
int64_t
run_advance(pool_t *pool, pool_run_t *run, int64_t now_ns)
{
    if (run->is_over || run->is_stop_open) {
        return INT64_MAX;
    }
    if (run->state == kRunStarting) {
        return repeat_start(pool, run, now_ns);
    }
    if (run->stop_due_ns == 0) {
        return INT64_MAX;
    }
    if (run->stop_due_ns <= now_ns && !run->target->is_dropped) {
        send_stop(pool, run, now_ns);
        return INT64_MAX;
    }
    return run->stop_due_ns;
}

/// Holds a task back for a time that doubles with each rejection.
static void
pause_task(pool_task_t *task, int64_t now_ns)
{
    uint32_t doublings = task->reject_count < kPauseDoublings
                             ? task->reject_count
                             : (uint32_t)kPauseDoublings;
    task->reject_count++;
    task->due_ns = now_ns + (MS_TO_NS(kFirstPauseMs) << doublings);
}

/// Takes a run back that its target rejected: it never ran.
static void
reject(pool_run_t *run, bool avoids, int64_t now_ns)
{
    counter_add(kCounterRunsRejected, 1);
    pool_target_t *target = run->target;
    pool_task_t *task = finish(run);
    if (task != NULL) {
        if (avoids) {
            memcpy(task->avoid, target->info.id, sizeof task->avoid);
            pause_task(task, now_ns);
        }
        order_task_again(task);
    }
}

static void
note_reply(pool_t *pool, const pool_run_t *run, reply_kind_t kind)
{
    if (kind != kReplyDone) {
        pool->ops->note(pool->owner, "start_rejected", run->name.job,
                        reply_kind_names[kind]);
    }
}

/// @return what the last answer to the calls of one start says of the run:
///         a rejection of one of several says nothing of the others
static reply_kind_t
judge_start(const pool_run_t *run, reply_kind_t kind)
{
    return kind == kReplyDone || run->start_count == 1 ? kind
                                                       : kReplyUnanswered;
}

static void
take_done(pool_t *pool, pool_run_t *run, int64_t now_ns)
{
    counter_add(kCounterRunsStarted, 1);
    run->state = kRunActive;
    run->certain_ns = now_ns;
    if (run->start_count == 1) {
        pool->trip_ns +=
            (now_ns - run->started_ns - pool->trip_ns) / kTripWeight;
        run->started_ns = now_ns;
    }
    run->target->mute_count = 0;
    run->target->list_due_ns = now_ns;
}

static void
take_not_sent(pool_t *pool, pool_run_t *run, int64_t now_ns)
{
    session_go_mute(pool, run->target, now_ns);
    reject(run, true, now_ns);
}

static void
take_unanswered(pool_t *pool, pool_run_t *run, int64_t now_ns)
{
    counter_add(kCounterRunsUnanswered, 1);
    run->state = kRunUnsure;
    session_note_silence(pool, run->target, now_ns);
    run_stop(pool, run, now_ns);
}

static void
take_fenced(pool_t *pool, pool_run_t *run, int64_t now_ns)
{
    pool_target_t *target = run->target;
    bool is_current = run->token == target->token;
    counter_add(kCounterTokensFenced, 1);
    reject(run, is_current, now_ns);
    if (is_current) {
        target->is_fenced = true;
        pool->ops->fenced(pool->owner, &target->info);
    }
}

static void
take_refusal(pool_t *pool, pool_run_t *run, int64_t now_ns)
{
    (void)pool;
    session_note_failure(run->target, run, now_ns);
    reject(run, true, now_ns);
}

/// A run of that number was there: an earlier submission of the job.
static void
take_stale(pool_t *pool, pool_run_t *run, int64_t now_ns)
{
    (void)pool;
    reject(run, false, now_ns);
}

static void
take_other_life(pool_t *pool, pool_run_t *run, int64_t now_ns)
{
    session_go_mute(pool, run->target, now_ns);
    reject(run, true, now_ns);
}

typedef void (*take_start_t)(pool_t *pool, pool_run_t *run, int64_t now_ns);

static const take_start_t take_table[] = {
    [kReplyDone] = take_done,
    [kReplyNotSent] = take_not_sent,
    [kReplyUnanswered] = take_unanswered,
    [kReplyFenced] = take_fenced,
    [kReplyNoCapacity] = take_refusal,
    [kReplyStale] = take_stale,
    [kReplyLeaseExpired] = take_other_life,
    [kReplyOtherIncarnation] = take_other_life,
    [kReplyUnhealthy] = take_refusal,
    [kReplyInvalid] = take_refusal,
};

void
pool_handle_start_reply(pool_t *pool, pool_run_t *run,
                        const call_reply_t *reply, int64_t now_ns)
{
    run->open_starts--;
    run->target->open_calls--;
    if (reply->kind == kReplyUnanswered) {
        pool_doubt(pool, run->target, now_ns);
    }
    if (!run->is_over && run->state == kRunStarting &&
        (reply->kind == kReplyDone || run->open_starts == 0)) {
        reply_kind_t kind = judge_start(run, reply->kind);
        note_reply(pool, run, kind);
        take_table[kind](pool, run, now_ns);
    }
    run_advance(pool, run, now_ns);
    run_free_over(pool, run);
}

void
pool_handle_stop_reply(pool_t *pool, pool_run_t *run,
                       const call_reply_t *reply, int64_t now_ns)
{
    run->is_stop_open = false;
    run->target->open_calls--;
    bool is_certain =
        reply->kind == kReplyDone || reply->kind == kReplyOtherIncarnation;
    if (is_certain) {
        run->target->mute_count = 0;
    }
    if (is_certain && run->state == kRunUnsure && !run->is_over) {
        // A start that is still on its way is rejected from now on; a run
        // that was there is ended and will be listed so.
        run->stop_due_ns = 0;
        run->state = kRunActive;
        run->certain_ns = now_ns;
        run->target->list_due_ns = now_ns;
    }
    else if (is_certain) {
        run->target->list_due_ns = now_ns;
    }
    run_free_over(pool, run);
}
