/// The session with one target: its clock, the lists of its runs, its measured
/// speed and its ejection after failures.
#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <urcu/compiler.h>

#include "base/counters.h"
#include "pool/name_index.h"
#include "pool/state.h"

enum {
    /// Part of the lease for which a list call waits for a run to end. If its
    /// reply is lost, the pool learns of the end that much later.
    kListWaitLeasePercent = 30,
    kListReplyMs = 150,    ///< limit of the reply time, beyond the wait
    kVerifySlackMs = 20,   ///< between a reply and the next list call
    kLossyListWaitMs = 50, ///< longest wait while calls are lost
    /// Limit of the reply time while calls are lost, in addition to
    /// kLossyReplyRoundTrips.
    kLossyListReplyMs = 20,
    kLossyReplyRoundTrips = 4,
    kFirstListReplyMs = 350, ///< for a target whose runs are not known
    kUnansweredLimit = 2,    ///< consecutive; then the target is unresponsive
    kUnknownRunListMs = 25,  ///< between list calls while unknown runs stop
    kFinalAckMs = 60,   ///< from the last end to the call that acknowledges it
    kListRetryMs = 300, ///< for an unresponsive target, per unanswered call
    kListRetryLimitMs = 2000,
    kSlownessSamples = 8, ///< a new value has a weight of at least 1/8
    kMinSlownessPermille = 50,
    /// A run has stalled after this multiple of its expected time and
    /// kStallSlackMs.
    kStallFactor = 3,
    kStallSlackMs = 150,
    kStallLimit = 4,    ///< stalled runs of one task that are stopped
    kEjectFailures = 2, ///< consecutive failed orders
    kEjectMs = 1500,
    kEjectLimitMs = 12000,
};

void
session_restart(pool_target_t *target, int64_t now_ns)
{
    if (target->session == kSessionReady) {
        target->session = kSessionNew;
    }
    target->session_number++;
    if (!target->is_list_pending) {
        target->list_due_ns = now_ns;
    }
}

/// @return whether what the pool knows of a target is of its present
///         incarnation, which may be of another kind than the one before
static bool
is_record_current(const pool_target_t *target)
{
    return target->record_born_ms == 0 ||
           target->record_born_ms == target->info.born_ms;
}

bool
session_accepts_starts(const pool_t *pool, const pool_target_t *target,
                       int64_t now_ns)
{
    return target->session == kSessionReady && !target->is_dropped &&
           !target->is_fenced && !target->info.is_draining &&
           target->eject_until_ns <= now_ns && is_record_current(target) &&
           lease_read_limit_ms(pool, target, now_ns) == pool->limits.lease_ms;
}

/// @return how long a list call may wait for a run to end while replies come
static uint32_t
normal_list_wait_ms(const pool_t *pool)
{
    return pool->limits.lease_ms * kListWaitLeasePercent / 100;
}

bool
session_is_verified(const pool_t *pool, const pool_target_t *target,
                    int64_t now_ns)
{
    // A target with runs lists them more often than this.
    return now_ns - target->listed_ns <=
           MS_TO_NS(normal_list_wait_ms(pool) + kListReplyMs + kVerifySlackMs);
}

void
session_verify(pool_target_t *target, int64_t now_ns)
{
    if (!target->is_list_pending) {
        target->list_due_ns = now_ns;
    }
}

void
session_free_dropped(pool_t *pool, pool_target_t *target)
{
    (void)pool;
    if (target->is_dropped && target->pending_calls == 0 &&
        target->run_count == 0) {
        free(target);
    }
}

/// Records a target's clock from a reply.
static void
record_clock(pool_target_t *target, uint64_t clock_ms, int64_t sent_ns,
             int64_t wait_ns, int64_t now_ns)
{
    int64_t round_trip_ns = now_ns - sent_ns - wait_ns;
    target->listed_ns = now_ns;
    target->clock_ms = clock_ms;
    target->clock_ns = now_ns;
    target->clock_error_ns = round_trip_ns > 0 ? round_trip_ns : 0;
}

void
session_handle_unanswered(pool_t *pool, pool_target_t *target, int64_t now_ns)
{
    if (target->session == kSessionReady) {
        pool_record_unanswered_call(pool, target, now_ns);
    }
    target->unanswered_count++;
    if (target->unanswered_count >= kUnansweredLimit ||
        target->session != kSessionReady) {
        session_mark_unresponsive(pool, target, now_ns);
    }
    else if (!target->is_list_pending) {
        target->list_due_ns = now_ns;
    }
}

/// Records the runs of a target as lost, although they may still be active:
/// this node may end before their lease has expired.
static void
record_losses(pool_t *pool, const pool_target_t *target, int64_t now_ns)
{
    for (const pool_run_t *run = target->runs; run != NULL; run = run->next) {
        if (!run->is_ended) {
            run_record_loss(pool, run, now_ns);
        }
    }
}

void
session_mark_unresponsive(pool_t *pool, pool_target_t *target, int64_t now_ns)
{
    if (target->session != kSessionUnresponsive) {
        counter_add(kCounterTargetsSuspected, 1);
        pool->ops->log(pool->owner, "target_unresponsive", "",
                       target->info.id);
        record_losses(pool, target, now_ns);
    }
    target->session = kSessionUnresponsive;
    if (!target->is_list_pending) {
        target->list_due_ns = now_ns;
    }
}

/// Updates the forecast of the run's queue.
static void
record_run_time(pool_t *pool, const pool_target_t *target,
                const pool_run_t *run, int64_t took_us)
{
    if (run->task == NULL) {
        return;
    }
    const pool_order_t *order = run->task->order;
    int64_t nominal_ms = took_us / target->slowness_permille;
    forecast_record_run_time(pool->forecast, order->spec->queue,
                             order->declared_ms[run->task->step],
                             nominal_ms > 0 ? (uint32_t)nominal_ms : 1);
}

/// Updates the slowness of a target with a new value. The mean is geometric,
/// because run times vary by factors; the first values have a larger weight.
static void
update_slowness(pool_target_t *target, uint32_t slowness_permille)
{
    uint32_t samples = ++target->sample_count + 1;
    samples = samples < kSlownessSamples ? samples : kSlownessSamples;
    double value = slowness_permille > kMinSlownessPermille
                       ? slowness_permille
                       : kMinSlownessPermille;
    double factor = pow(value / target->slowness_permille, 1.0 / samples);
    target->slowness_permille = (uint32_t)(target->slowness_permille * factor);
}

void
session_record_done(pool_t *pool, pool_target_t *target, const pool_run_t *run,
                    int64_t now_ns)
{
    target->consecutive_failures = 0;
    target->eject_count = 0;
    if (run->estimate_ms == 0 || run->state != kRunActive) {
        return;
    }
    int64_t took_us = (now_ns - run->started_ns) / 1000;
    record_run_time(pool, target, run, took_us);
    update_slowness(target, (uint32_t)(took_us / run->estimate_ms));
}

void
session_record_failure(pool_target_t *target, const pool_run_t *run,
                       int64_t now_ns)
{
    if (strcmp(target->last_failed_job, run->name.job) == 0) {
        return;
    }
    memcpy(target->last_failed_job, run->name.job,
           sizeof target->last_failed_job);
    target->consecutive_failures++;
    if (target->consecutive_failures < kEjectFailures) {
        return;
    }
    int64_t eject_ms = (int64_t)kEjectMs << target->eject_count;
    if (eject_ms > kEjectLimitMs) {
        eject_ms = kEjectLimitMs;
    }
    else {
        target->eject_count++;
    }
    counter_add(kCounterTargetsEjected, 1);
    target->eject_until_ns = now_ns + MS_TO_NS(eject_ms);
    // One more failure after the ejection ejects it again.
    target->consecutive_failures = kEjectFailures - 1;
}

/// @return how long a list call may wait for a run to end
static uint32_t
list_wait_ms(const pool_t *pool, int64_t now_ns)
{
    uint32_t wait_ms = normal_list_wait_ms(pool);
    return pool_is_lossy(pool, now_ns) && wait_ms > kLossyListWaitMs
               ? (uint32_t)kLossyListWaitMs
               : wait_ms;
}

/// @return how long the reply to a list call may take beyond its wait
static int64_t
list_reply_limit_ns(const pool_t *pool, int64_t now_ns)
{
    int64_t limit_ns = MS_TO_NS(kLossyListReplyMs) +
                       kLossyReplyRoundTrips * pool->round_trip_ns;
    return pool_is_lossy(pool, now_ns) && limit_ns < MS_TO_NS(kListReplyMs)
               ? limit_ns
               : MS_TO_NS(kListReplyMs);
}

/// @return the lease to ask for with a list call; 0: none
static uint32_t
choose_lease_ms(pool_t *pool, const pool_target_t *target, int64_t now_ns)
{
    uint32_t lease_ms = lease_read_limit_ms(pool, target, now_ns);
    if (lease_ms < pool->limits.lease_ms) {
        counter_add(kCounterLeasesWithheld, 1);
        pool->ops->log(pool->owner, "lease_withheld", "", target->info.id);
    }
    return lease_ms;
}

static void
send_list(pool_t *pool, pool_target_t *target, int64_t now_ns)
{
    bool waits = target->run_count > 0 && target->session == kSessionReady;
    uint32_t wait_ms = waits ? list_wait_ms(pool, now_ns) : 0;
    uint32_t lease_ms = waits ? choose_lease_ms(pool, target, now_ns) : 0;
    list_call_t call = {.target = &target->info,
                        .token = target->token,
                        .acked = target->acked,
                        .wait_ms = wait_ms,
                        .requires_new_connection =
                            target->session == kSessionUnresponsive,
                        .deadline_ns = now_ns + MS_TO_NS(wait_ms) +
                                       (target->session == kSessionReady
                                            ? list_reply_limit_ns(pool, now_ns)
                                            : MS_TO_NS(kFirstListReplyMs)),
                        .pool_target = target};
    if (lease_ms > 0) {
        call.lease_until_ms = lease_grant(target, lease_ms, now_ns);
    }
    target->is_list_pending = true;
    target->list_wait_ms = wait_ms;
    target->list_sent_ns = now_ns;
    target->list_session = target->session_number;
    target->list_due_ns = INT64_MAX;
    target->pending_calls++;
    counter_add(kCounterHoldsSent, 1);
    pool->ops->list(pool->owner, &call);
}

static void
index_runs(const pool_target_t *target, name_index_t *index)
{
    name_index_init(index, target->run_count);
    for (const pool_run_t *run = target->runs; run != NULL; run = run->next) {
        name_index_add(index, &run->name);
    }
}

/// @return the newest run of a name, or NULL
static pool_run_t *
find_run(const name_index_t *runs, const run_name_t *name)
{
    const run_name_t *found = name_index_find(runs, name);
    return found == NULL ? NULL : caa_container_of(found, pool_run_t, name);
}

/// Processes the ended runs of a list, oldest first.
static void
apply_ends(pool_t *pool, pool_target_t *target, const list_reply_t *reply,
           int64_t now_ns)
{
    name_index_t runs;
    if (reply->ended_count == 0) {
        return;
    }
    index_runs(target, &runs);
    for (uint32_t i = 0; i < reply->ended_count; i++) {
        const listed_run_t *end = &reply->ended[i];
        if (end->end_number > target->acked) {
            target->acked = end->end_number;
        }
        pool_run_t *run = find_run(&runs, &end->name);
        if (run != NULL && !run->is_ended) {
            run_end(pool, run, end->how, now_ns);
        }
    }
    name_index_clear(&runs);
}

/// Stops listed runs that the pool does not know. They were started by an
/// earlier owner, or by a start call that was carried out late.
///
/// @return whether there are any
static bool
stop_unknown_runs(pool_t *pool, pool_target_t *target,
                  const list_reply_t *reply, int64_t now_ns)
{
    bool has_unknown_runs = false;
    name_index_t runs;
    if (reply->running_count == 0) {
        return false;
    }
    index_runs(target, &runs);
    for (uint32_t i = 0; i < reply->running_count; i++) {
        pool_run_t *known = find_run(&runs, &reply->running[i].name);
        if (known != NULL && !known->is_ended) {
            continue;
        }
        has_unknown_runs = true;
        if (!calls_allow_stop(pool, target)) {
            break; // the next list shows the others
        }
        stop_call_t call = {.target = &target->info,
                            .name = reply->running[i].name,
                            .token = target->token,
                            .deadline_ns = now_ns + MS_TO_NS(kListReplyMs)};
        pool->ops->log(pool->owner, "unknown_run_stopped", call.name.job,
                       target->info.id);
        pool->pending_calls++;
        pool->ops->stop(pool->owner, &call);
    }
    name_index_clear(&runs);
    return has_unknown_runs;
}

/// Ends runs that are missing from the reply although, before the list call
/// was sent, the target had confirmed their start, or a stop after which it
/// rejects a late start.
static void
end_unlisted_runs(pool_t *pool, pool_target_t *target,
                  const list_reply_t *reply, int64_t now_ns)
{
    pool_run_t *next;
    name_index_t listed;
    name_index_init(&listed, reply->running_count);
    for (uint32_t i = 0; i < reply->running_count; i++) {
        name_index_add(&listed, &reply->running[i].name);
    }
    for (pool_run_t *run = target->runs; run != NULL; run = next) {
        next = run->next;
        bool was_confirmed = run->state == kRunActive &&
                             run->confirmed_ns <= target->list_sent_ns;
        if (run->is_ended || !was_confirmed ||
            name_index_find(&listed, &run->name) != NULL) {
            continue;
        }
        if (run->born_ms < target->info.born_ms) {
            run_lose(pool, run, now_ns);
        }
        else {
            run_end(pool, run, kRunEndLapsed, now_ns);
        }
        run_free_ended(pool, run);
    }
    name_index_clear(&listed);
}

/// Frees ended runs without pending calls.
static void
free_ended_runs(pool_t *pool, pool_target_t *target)
{
    pool_run_t *next;
    for (pool_run_t *run = target->runs; run != NULL; run = next) {
        next = run->next;
        run_free_ended(pool, run);
    }
}

/// Handles a reply from a new incarnation of the target, which numbers its
/// ends from the start again. Runs of the previous incarnation are missing
/// from the list; runs that the new one has already accepted are in it.
static void
handle_restart(pool_t *pool, pool_target_t *target, uint64_t born_ms)
{
    if (target->info.born_ms != 0) {
        target->acked = 0;
        target->acked_sent = 0;
        pool->ops->log(pool->owner, "target_restarted", "", target->info.id);
    }
    target->info.born_ms = born_ms;
}

/// Sets when to send the next list call after an answered one.
static void
schedule_list(pool_target_t *target, bool has_unknown_runs, int64_t now_ns)
{
    if (has_unknown_runs) {
        target->list_due_ns = now_ns + MS_TO_NS(kUnknownRunListMs);
    }
    else if (target->run_count > 0) {
        target->list_due_ns = now_ns;
    }
    else if (target->acked > target->acked_sent) {
        target->list_due_ns = now_ns + MS_TO_NS(kFinalAckMs);
    }
    else {
        target->list_due_ns = INT64_MAX;
    }
}

static void
apply_list(pool_t *pool, pool_target_t *target, const list_reply_t *reply,
           uint64_t acked_sent, int64_t now_ns)
{
    target->unanswered_count = 0;
    target->is_broken_off = false;
    if (reply->born_ms != 0 && reply->born_ms != target->info.born_ms) {
        handle_restart(pool, target, reply->born_ms);
        acked_sent = 0;
    }
    record_clock(target, reply->clock_ms, target->list_sent_ns,
                 MS_TO_NS(target->list_wait_ms), now_ns);
    target->acked_sent = acked_sent;
    bool was_not_ready = target->session != kSessionReady;
    apply_ends(pool, target, reply, now_ns);
    end_unlisted_runs(pool, target, reply, now_ns);
    bool has_unknown_runs = stop_unknown_runs(pool, target, reply, now_ns);
    free_ended_runs(pool, target);
    // The loss of a run that is alone was recorded in advance.
    losses_resolve_target(pool->losses, target->info.id, reply->born_ms,
                          target->alone_count == 0, now_ns);
    if (has_unknown_runs && target->session == kSessionReady) {
        // Its lease is not renewed before they are gone.
        target->session = kSessionNew;
    }
    if (was_not_ready && !has_unknown_runs) {
        target->session = kSessionReady;
        pool->ops->log(pool->owner, "target_ready", "", target->info.id);
    }
    schedule_list(target, has_unknown_runs, now_ns);
}

/// @return when to send the next list call to an unresponsive target
static int64_t
list_retry_ns(const pool_target_t *target, int64_t now_ns)
{
    int64_t retry_ms = (int64_t)kListRetryMs * target->unanswered_count;
    return now_ns + MS_TO_NS(retry_ms < kListRetryLimitMs ? retry_ms
                                                          : kListRetryLimitMs);
}

void
pool_handle_list_reply(pool_t *pool, pool_target_t *target,
                       const list_reply_t *reply, int64_t now_ns)
{
    target->is_list_pending = false;
    target->pending_calls--;
    uint64_t acked_sent = target->acked;
    if (target->is_dropped) {
        session_free_dropped(pool, target);
        return;
    }
    if (target->list_session != target->session_number) {
        // The session was restarted after the call was sent: what the reply
        // says may have changed.
        target->list_due_ns = now_ns;
        return;
    }
    if (reply->kind == kReplyDone) {
        apply_list(pool, target, reply, acked_sent, now_ns);
        return;
    }
    if (reply->kind == kReplyFenced) {
        counter_add(kCounterTokensFenced, 1);
        target->is_fenced = true;
        pool->ops->fenced(pool->owner, &target->info);
        return;
    }
    target->is_broken_off |= reply->is_broken_off;
    session_handle_unanswered(pool, target, now_ns);
    if (reply->kind == kReplyOtherIncarnation) {
        losses_end_target(pool->losses, target->info.id, now_ns);
    }
    if (target->session == kSessionUnresponsive) {
        target->list_due_ns = list_retry_ns(target, now_ns);
    }
}

/// Stops a run that takes far longer than expected, because its target may
/// hang or be slow, so that its task is retried elsewhere. The time that a run
/// is given doubles with each run of the task that stalled.
///
/// @return when to check again, or INT64_MAX
static int64_t
stop_stalled(pool_t *pool, pool_target_t *target, pool_run_t *run,
             int64_t now_ns)
{
    if (run->is_ended || run->task == NULL || run->state != kRunActive ||
        run->task->stall_count >= kStallLimit || run->stop_due_ns != 0) {
        return INT64_MAX;
    }
    int64_t expected_ns = place_estimate_run_ns(run->estimate_ms, target);
    int64_t due_ns = run->started_ns +
                     (expected_ns * kStallFactor + MS_TO_NS(kStallSlackMs)) *
                         (1 << run->task->stall_count);
    if (due_ns > now_ns) {
        return due_ns;
    }
    if (target->clock_ns < due_ns) {
        return INT64_MAX; // no list reply since then: it may have ended
    }
    pool->ops->log(pool->owner, "run_stalled", run->name.job, target->info.id);
    run->task->stall_count++;
    session_record_failure(target, run, now_ns);
    run_stop(pool, run, now_ns);
    return INT64_MAX;
}

int64_t
session_advance(pool_t *pool, pool_target_t *target, int64_t now_ns)
{
    if (target->cpu_limit_until_ns <= now_ns) {
        target->cpu_limit_mcores = 0;
    }
    int64_t due_ns = lease_advance(pool, target, now_ns);
    for (pool_run_t *run = target->runs; run != NULL; run = run->next) {
        int64_t run_due_ns = run_advance(pool, run, now_ns);
        int64_t stall_due_ns = stop_stalled(pool, target, run, now_ns);
        run_due_ns = stall_due_ns < run_due_ns ? stall_due_ns : run_due_ns;
        due_ns = run_due_ns < due_ns ? run_due_ns : due_ns;
    }
    if (target->is_list_pending || target->is_fenced) {
        return due_ns;
    }
    if (target->list_due_ns <= now_ns) {
        send_list(pool, target, now_ns);
        return due_ns;
    }
    return target->list_due_ns < due_ns ? target->list_due_ns : due_ns;
}
