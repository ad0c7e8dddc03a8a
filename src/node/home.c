#include "node/coordinator.h"

#include <string.h>

#include "base/counters.h"
#include "node/owner.h"
#include "node/peers.h"
#include "runtime/clock.h"
#include "runtime/log.h"

enum {
    kOwnerLookMs = 30, ///< between two looks for an owner
    kHoldPercent = 25, ///< of its objective that a job may wait for an owner
    kSilencePercent = 40,   ///< of resubmit_ms: the longest silence of a link
    kAnswerGraceMs = 300,   ///< beyond the caller's deadline
    kNoOwnerRetryMs = 1000, ///< told to callers while no owner is known
    kDrainRetryMs = 1000,   ///< told to callers of a stopping node
    kJobRoomFactor = 3, ///< times its objective that a new job of a stopping
                        ///< node needs: estimates are off by up to as much
    kJobRoomMs = 2000   ///< that it needs at most
};

int64_t
home_silence_ns(const node_t *node)
{
    return (int64_t)node->settings->resubmit_ms * kSilencePercent / 100 *
           kNsPerMs;
}

static void
link_job(node_t *node, caller_job_t *job)
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
settle(caller_job_t *job, order_outcome_t outcome, error_kind_t kind,
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

/// Hands a job to an owner that has not refused it yet.
///
/// @return whether there was one
static bool
assign(caller_job_t *job)
{
    node_t *node = job->node;
    int64_t now_ns = clock_now_ns();
    bool is_self = false;
    if (job->tried_count >= kHomeTryLimit) {
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
        node_kick(node);
    }
    else {
        peers_assign(peer, job, now_ns);
    }
    return true;
}

/// @return the time in which a job should be answered
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

/// @return until when a job may wait for an owner
static int64_t
hold_limit_ns(const caller_job_t *job)
{
    return job->received_ns + objective_ns(job) * kHoldPercent / 100;
}

/// Has a job wait for an owner, as one is about to take over.
///
/// @return whether it may wait
static bool
hold_job(caller_job_t *job)
{
    int64_t now_ns = clock_now_ns();
    if (now_ns >= hold_limit_ns(job)) {
        return false;
    }
    job->retry_ns = now_ns + (int64_t)kOwnerLookMs * kNsPerMs;
    job->tried_count = 0;
    node_kick(job->node);
    return true;
}

/// @return whether a refusal says that there is no owner now
static bool
lacks_owner(error_kind_t kind)
{
    return kind == kErrorKindNoDispatcher || kind == kErrorKindDraining;
}

/// @return whether the stop of this node leaves no time for a new job
static bool
is_too_late(const caller_job_t *job)
{
    const node_t *node = job->node;
    int64_t room_ns = objective_ns(job) * kJobRoomFactor;
    int64_t most_ns = (int64_t)kJobRoomMs * kNsPerMs;
    room_ns = room_ns < most_ns ? room_ns : most_ns;
    return atomic_load(&node->is_closed) ||
           (node->stop_ns != 0 &&
            clock_now_ns() > node_stop_limit_ns(node) - room_ns);
}

void
coordinator_submit_job(caller_job_t *job)
{
    node_t *node = job->node;
    node_now_ns(node);
    link_job(node, job);
    if (is_too_late(job)) {
        settle(job, kOrderOutcomeRefused, kErrorKindDraining, kDrainRetryMs);
    }
    else if (!assign(job) && !hold_job(job)) {
        settle(job, kOrderOutcomeRefused, kErrorKindNoDispatcher,
               kNoOwnerRetryMs);
    }
}

/// Takes a job back from its owner.
static void
withdraw(caller_job_t *job)
{
    node_t *node = job->node;
    if (!job->is_assigned) {
        return;
    }
    job->is_assigned = false;
    if (job->peer == NULL) {
        pool_withdraw_order(node->pool, 0, job->request, clock_now_ns());
        node_kick(node);
    }
    else {
        peers_withdraw(job->peer, job);
    }
}

void
coordinator_abandon_job(caller_job_t *job)
{
    counter_add(kCounterCallersGone, 1);
    withdraw(job);
    settle(job, kOrderOutcomeLost, kErrorKindCancelled, 0);
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
home_take_settled(node_t *node, const pool_order_result_t *settled,
                  const peer_t *peer)
{
    caller_job_t *job = find_job(node, settled->request, peer);
    if (job == NULL) {
        return;
    }
    job->is_assigned = false;
    if (settled->outcome == kOrderOutcomeRefused &&
        settled->kind != kErrorKindDeadline &&
        (assign(job) || (lacks_owner(settled->kind) && hold_job(job)))) {
        return;
    }
    settle(job, settled->outcome, settled->kind, settled->retry_after_ms);
}

void
home_lose_peer(node_t *node, const peer_t *peer)
{
    caller_job_t *next;
    for (caller_job_t *job = node->jobs; job != NULL; job = next) {
        next = job->next;
        if (job->is_assigned && job->peer == peer) {
            job->is_assigned = false;
            settle(job, kOrderOutcomeLost, kErrorKindHomeLost, 0);
        }
    }
}

void
home_lose_all(node_t *node)
{
    caller_job_t *next;
    for (caller_job_t *job = node->jobs; job != NULL; job = next) {
        next = job->next;
        withdraw(job);
        settle(job, kOrderOutcomeLost, kErrorKindHomeLost, 0);
    }
}

/// Looks again for an owner for a job that waits for one.
///
/// @return when to look next
static int64_t
look_for_owner(caller_job_t *job, int64_t now_ns)
{
    if (job->retry_ns > now_ns) {
        return job->retry_ns;
    }
    job->retry_ns = 0;
    if (!assign(job) && !hold_job(job)) {
        settle(job, kOrderOutcomeRefused, kErrorKindNoDispatcher,
               kNoOwnerRetryMs);
    }
    return INT64_MAX;
}

int64_t
home_advance(node_t *node, int64_t now_ns)
{
    int64_t due_ns = INT64_MAX;
    caller_job_t *next;
    for (caller_job_t *job = node->jobs; job != NULL; job = next) {
        next = job->next;
        int64_t limit_ns =
            job->deadline_ns + (int64_t)kAnswerGraceMs * kNsPerMs;
        if (limit_ns <= now_ns) {
            withdraw(job);
            settle(job, kOrderOutcomeLost, kErrorKindDeadline, 0);
            continue;
        }
        int64_t look_ns =
            job->retry_ns == 0 ? INT64_MAX : look_for_owner(job, now_ns);
        due_ns = limit_ns < due_ns ? limit_ns : due_ns;
        due_ns = look_ns < due_ns ? look_ns : due_ns;
    }
    return due_ns;
}
