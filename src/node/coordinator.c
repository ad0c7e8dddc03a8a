#include "node/coordinator.h"

#include <string.h>

#include "base/counters.h"
#include "base/units.h"
#include "node/owner.h"
#include "node/peers.h"
#include "runtime/clock.h"
#include "runtime/log.h"

enum {
    kOwnerRetryMs = 30, ///< between attempts to find an owner
    kDeferPercent = 25, ///< of its objective, for which a job may be deferred
    kLinkTimeoutPercent = 40, ///< of resubmit_ms
    /// From the caller's deadline until its job is settled as lost.
    kDeadlineGraceMs = 300,
    kEvacuatedRetryMs = 2000, ///< Retry-After while all data centres are
                              ///< evacuated
    kNoOwnerRetryMs = 1000,   ///< Retry-After while no owner is known
    kStoppingRetryMs = 1000,  ///< Retry-After while the node is stopping
    kOverdueRetryMs = 1000,   ///< Retry-After for a request that came too late
    /// A stopping node accepts a job only if at least this multiple of the
    /// job's objective is left: estimates are off by up to that factor.
    kStopMarginFactor = 3,
    kStopMarginLimitMs = 2000 ///< upper limit of that time
};

int64_t
coordinator_link_timeout_ns(const node_t *node)
{
    return (int64_t)node->settings->resubmit_ms * kLinkTimeoutPercent / 100 *
           kNsPerMs;
}

static void
add_job(node_t *node, caller_job_t *job)
{
    job->next = node->jobs;
    job->prev = NULL;
    if (node->jobs != NULL) {
        node->jobs->prev = job;
    }
    node->jobs = job;
    atomic_fetch_add(&node->job_count, 1);
}

static void
settle_job(caller_job_t *job, order_outcome_t outcome, error_kind_t kind,
           uint32_t retry_after_ms)
{
    node_t *node = job->node;
    if (job->prev != NULL) {
        job->prev->next = job->next;
    }
    else {
        node->jobs = job->next;
    }
    if (job->next != NULL) {
        job->next->prev = job->prev;
    }
    atomic_fetch_sub(&node->job_count, 1);
    job->outcome = outcome;
    job->kind = kind;
    job->retry_after_ms = retry_after_ms;
    log_event("job_settled",
              "job=%s outcome=%s kind=%s took_ms=%lld tries=%u priority=%u "
              "tasks=%u estimate_ms=%u",
              job->order.job, order_outcome_desc.values[outcome],
              error_answers[kind].name,
              (long long)((clock_now_ns() - job->received_ns) / kNsPerMs),
              job->tried_count, job->order.priority,
              job->order.steps[0].task_count, job->order.steps[0].estimate_ms);
    job->on_settled(job);
}

/// Assigns a job to an owner that has not been tried for it yet.
///
/// @return whether there was one
static bool
assign_job(caller_job_t *job)
{
    node_t *node = job->node;
    int64_t now_ns = clock_now_ns();
    bool is_self = false;
    if (job->tried_count >= kOwnerTryLimit) {
        return false;
    }
    peer_t *peer = peers_choose(node, job, &is_self);
    if (peer == NULL && !is_self) {
        return false;
    }
    job->peer = peer;
    job->tried[job->tried_count++] = is_self ? (const void *)node : peer;
    job->request = ++node->request_number;
    job->is_assigned = true;
    job->order.waited_ms = (uint32_t)((now_ns - job->received_ns) / kNsPerMs);
    job->order.left_ms = clock_left_ms(job->deadline_ns);
    if (is_self) {
        // May settle the job before it returns.
        pool_submit_order(node->pool, &job->order, 0, job->request, now_ns);
        node_schedule_advance(node);
    }
    else {
        peers_assign(peer, job, now_ns);
    }
    return true;
}

/// @return the objective of a job: the time in which it should be answered
static int64_t
objective_ns(const caller_job_t *job)
{
    uint64_t work_ms = 0;
    for (uint32_t i = 0; i < job->order.steps_count; i++) {
        work_ms += job->order.steps[i].estimate_ms;
    }
    return (int64_t)(work_ms * job->order.stretch_permille / 1000 +
                     job->order.slo_ms) *
           kNsPerMs;
}

/// @return until when a job may be deferred
static int64_t
defer_limit_ns(const caller_job_t *job)
{
    return job->received_ns + objective_ns(job) * kDeferPercent / 100;
}

/// Defers a job while there is no owner: another node is about to become one.
///
/// @return false when the job has been deferred for as long as it may be
static bool
defer_job(caller_job_t *job)
{
    int64_t now_ns = clock_now_ns();
    if (now_ns >= defer_limit_ns(job)) {
        return false;
    }
    job->retry_ns = now_ns + (int64_t)kOwnerRetryMs * kNsPerMs;
    job->tried_count = 0;
    node_schedule_advance(job->node);
    return true;
}

/// @return whether a refusal means that there is no owner at the moment
static bool
is_no_owner_error(error_kind_t kind)
{
    return kind == kErrorKindNoDispatcher || kind == kErrorKindDraining;
}

/// @return whether this node ends too soon to accept a job
static bool
ends_too_soon(const caller_job_t *job)
{
    const node_t *node = job->node;
    int64_t margin_ns = objective_ns(job) * kStopMarginFactor;
    int64_t margin_limit_ns = (int64_t)kStopMarginLimitMs * kNsPerMs;
    margin_ns = margin_ns < margin_limit_ns ? margin_ns : margin_limit_ns;
    return atomic_load(&node->is_closed) ||
           (node->stop_ns != 0 &&
            clock_now_ns() > node_stop_limit_ns(node) - margin_ns);
}

/// Settles a job that no caller waits for any more.
///
/// @return whether it was one
static bool
settle_overdue_job(caller_job_t *job)
{
    if (job->is_caller_gone(job)) {
        counter_add(kCounterCallersGone, 1);
        settle_job(job, kOrderOutcomeRefused, kErrorKindCancelled, 0);
        return true;
    }
    if (job->deadline_ns <= clock_now_ns()) {
        settle_job(job, kOrderOutcomeRefused, kErrorKindDeadlineUnmet,
                   kOverdueRetryMs);
        return true;
    }
    return false;
}

/// Settles a job while all data centres are evacuated: no owner may start its
/// tasks.
///
/// @return whether it was settled
static bool
settle_evacuated_job(caller_job_t *job)
{
    if (!evacuation_is_total(&job->node->evacuation)) {
        return false;
    }
    settle_job(job, kOrderOutcomeRefused, kErrorKindEvacuated,
               kEvacuatedRetryMs);
    return true;
}

/// Assigns a job to an owner or defers it; refuses it when neither is
/// possible.
static void
place_job(caller_job_t *job)
{
    if (!settle_overdue_job(job) && !settle_evacuated_job(job) &&
        !assign_job(job) && !defer_job(job)) {
        settle_job(job, kOrderOutcomeRefused, kErrorKindNoDispatcher,
                   kNoOwnerRetryMs);
    }
}

void
coordinator_submit_job(caller_job_t *job)
{
    node_t *node = job->node;
    node_update_now_ns(node);
    add_job(node, job);
    if (ends_too_soon(job)) {
        settle_job(job, kOrderOutcomeRefused, kErrorKindDraining,
                   kStoppingRetryMs);
        return;
    }
    place_job(job);
}

/// Withdraws a job from its owner, if it is assigned.
///
/// @param noticed_ns  when this node learned that the caller has given up; it
///                    has done so at its deadline at the latest
static void
withdraw_job(caller_job_t *job, int64_t noticed_ns)
{
    node_t *node = job->node;
    int64_t given_up_ns = min_ns(job->deadline_ns, noticed_ns);
    if (!job->is_assigned) {
        return;
    }
    job->is_assigned = false;
    if (job->peer == NULL) {
        pool_withdraw_order(node->pool, 0, job->request, given_up_ns,
                            clock_now_ns());
        node_schedule_advance(node);
    }
    else {
        peers_withdraw(job->peer, job, given_up_ns);
    }
}

void
coordinator_abandon_job(caller_job_t *job)
{
    counter_add(kCounterCallersGone, 1);
    withdraw_job(job, clock_now_ns());
    settle_job(job, kOrderOutcomeLost, kErrorKindCancelled, 0);
}

bool
coordinator_cancel_job(node_t *node, const char *queue, const char *job)
{
    bool is_found = false;
    caller_job_t *next;
    for (caller_job_t *at = node->jobs; at != NULL; at = next) {
        next = at->next;
        if (strcmp(at->order.job, job) == 0 &&
            strcmp(at->order.queue, queue) == 0) {
            is_found = true;
            withdraw_job(at, clock_now_ns());
            settle_job(at, kOrderOutcomeFailed, kErrorKindCancelled, 0);
        }
    }
    return is_found;
}

static caller_job_t *
find_job(node_t *node, uint64_t request, const peer_t *peer)
{
    caller_job_t *job = node->jobs;
    while (job != NULL && (!job->is_assigned || job->request != request ||
                           job->peer != peer)) {
        job = job->next;
    }
    return job;
}

void
coordinator_handle_settled(node_t *node, const pool_order_result_t *settled,
                           const peer_t *peer)
{
    caller_job_t *job = find_job(node, settled->request, peer);
    if (job == NULL) {
        return;
    }
    job->is_assigned = false;
    if (settled->outcome == kOrderOutcomeRefused &&
        settled->kind != kErrorKindDeadline &&
        (settle_overdue_job(job) || settle_evacuated_job(job) ||
         assign_job(job) ||
         (is_no_owner_error(settled->kind) && defer_job(job)))) {
        return;
    }
    settle_job(job, settled->outcome, settled->kind, settled->retry_after_ms);
}

void
coordinator_mark_peer_jobs_lost(node_t *node, const peer_t *peer)
{
    caller_job_t *next;
    for (caller_job_t *job = node->jobs; job != NULL; job = next) {
        next = job->next;
        if (job->is_assigned && job->peer == peer) {
            job->is_assigned = false;
            settle_job(job, kOrderOutcomeLost, kErrorKindHomeLost, 0);
        }
    }
}

void
coordinator_mark_all_jobs_lost(node_t *node, int64_t since_ns)
{
    caller_job_t *next;
    for (caller_job_t *job = node->jobs; job != NULL; job = next) {
        next = job->next;
        withdraw_job(job, since_ns);
        settle_job(job, kOrderOutcomeLost, kErrorKindHomeLost, 0);
    }
}

/// Retries the assignment of a deferred job when it is due.
///
/// @return when to call it again
static int64_t
retry_job(caller_job_t *job, int64_t now_ns)
{
    if (job->retry_ns > now_ns) {
        return job->retry_ns;
    }
    job->retry_ns = 0;
    place_job(job);
    return INT64_MAX;
}

int64_t
coordinator_advance(node_t *node, int64_t now_ns)
{
    int64_t due_ns = INT64_MAX;
    caller_job_t *next;
    for (caller_job_t *job = node->jobs; job != NULL; job = next) {
        next = job->next;
        int64_t limit_ns =
            job->deadline_ns + (int64_t)kDeadlineGraceMs * kNsPerMs;
        if (limit_ns <= now_ns) {
            withdraw_job(job, now_ns);
            settle_job(job, kOrderOutcomeLost, kErrorKindDeadline, 0);
            continue;
        }
        int64_t retry_ns =
            job->retry_ns == 0 ? INT64_MAX : retry_job(job, now_ns);
        due_ns = limit_ns < due_ns ? limit_ns : due_ns;
        due_ns = retry_ns < due_ns ? retry_ns : due_ns;
    }
    return due_ns;
}
