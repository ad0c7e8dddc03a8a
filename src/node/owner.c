#include "node/owner.h"

#include <apr_strings.h>
#include <stdlib.h>
#include <string.h>

#include "base/units.h"
#include "node/catalog.h"
#include "node/clients.h"
#include "node/coordinator.h"
#include "node/handover.h"
#include "node/record.h"
#include "runtime/clock.h"
#include "runtime/descriptors.h"
#include "runtime/log.h"
#include "runtime/memory_limit.h"

enum {
    kJoinPeriodMs = 350,    ///< between joins; the shortest time to live of a
                            ///< member is about three periods
    kJoinRetryStepMs = 150, ///< added to the delay by each unanswered join
    kJoinRetryLimitMs = 1000, ///< longest delay after unanswered joins
    /// Lease, in percent of resubmit_ms. The sum with kLinkTimeoutPercent must
    /// be less than 100.
    kLeasePercent = 50,
    /// Time from the end of an order to the end of its runs, in percent of
    /// resubmit_ms. More than a lease, with the errors of the targets' clocks.
    /// The rest covers a coordinator that learns of the end late, after a
    /// pause that is too short to be noticed (kPauseThresholdMs).
    kOrphanPercent = 60,
    kLapseSlackMs = 500, ///< beyond the time to live of a member: a join that
                         ///< is repeated after a lost answer comes in time
    kRetireCheckMs = 40, ///< between checks of a handover that precedes
                         ///< the leave
    /// A read of the store counts for this long after it was sent: it waits
    /// for up to 1.5 s, and the next one is not answered sooner.
    kStoreReadTtlMs = 3500,
    kCallMemoryPercent = 5, ///< of the memory of the process
    kCallBytes = 20 * 1024, ///< of a pending call with its connection
    kCallDescriptorPercent = 8,
    kMinCalls = 32,
    kMaxCalls = 4096,
    kProbePeriodMs = 500,   ///< between probes of a data centre
    kProbeReplyTtlMs = 1300 ///< a reply counts for this long, so that one
                            ///< lost reply does no harm
};

bool
owner_accepts_runs(const node_t *node)
{
    for (uint32_t i = 0; i < node->group_count; i++) {
        const dc_group_t *group = &node->groups[i];
        if (group->accepts_runs &&
            partitions_count_held(&group->partitions) > 0) {
            return true;
        }
    }
    return false;
}

/// @return whether the store has not answered the joins of a group for longer
///         than a membership lasts
static bool
is_unconfirmed(const node_t *node, int64_t now_ns)
{
    int64_t limit_ns =
        MS_TO_NS((int64_t)node->settings->member_ttl_ms + kLapseSlackMs);
    for (uint32_t i = 0; i < node->group_count; i++) {
        const dc_group_t *group = &node->groups[i];
        if (group->is_joined && group->confirmed_ns != 0 &&
            now_ns - group->confirmed_ns > limit_ns) {
            return true;
        }
    }
    return false;
}

bool
owner_is_lapsed(const node_t *node, int64_t now_ns)
{
    // As long as no other node has taken the targets over, this one serves
    // them.
    return is_unconfirmed(node, now_ns) &&
           pool_read_status(node->pool, now_ns).target_count == 0;
}

bool
owner_has_partitions(const node_t *node)
{
    for (uint32_t i = 0; i < node->group_count; i++) {
        if (partitions_count_held(&node->groups[i].partitions) > 0) {
            return true;
        }
    }
    return false;
}

uint32_t
owner_join_delay_ms(uint32_t failures)
{
    if (failures == 0) {
        return kJoinPeriodMs;
    }
    return failures < kJoinRetryLimitMs / kJoinRetryStepMs
               ? (uint32_t)kJoinRetryStepMs * failures
               : (uint32_t)kJoinRetryLimitMs;
}

void
node_handle_join_reply(node_t *node, const char *dc, const join_reply_t *reply)
{
    int64_t now_ns = node_update_now_ns(node);
    dc_group_t *group = catalog_find_group(node, dc);
    if (group == NULL) {
        return;
    }
    group->is_join_pending = false;
    if (group->is_join_stale) {
        group->is_join_stale = false;
        group->join_due_ns = now_ns;
        node_schedule_advance(node);
        return;
    }
    if (!reply->is_answered) {
        group->join_due_ns =
            now_ns +
            (int64_t)owner_join_delay_ms(++group->join_failures) * kNsPerMs;
        node_schedule_advance(node);
        return;
    }
    group->join_failures = 0;
    group->confirmed_ns = now_ns;
    bool has_new_generation =
        !group->is_retiring &&
        reply->generation > group->partitions.newest_generation;
    group->join_due_ns =
        has_new_generation
            ? now_ns
            : now_ns + (int64_t)owner_join_delay_ms(0) * kNsPerMs;
    if (!group->is_joined || group->is_retiring) {
        return;
    }
    uint32_t held_before = partitions_count_held(&group->partitions);
    if (partitions_update(&group->partitions, reply->generation,
                          reply->partitions, reply->partition_count)) {
        log_event("cells_changed", "dc=%s generation=%llu held=%u before=%u",
                  dc, (unsigned long long)reply->generation,
                  partitions_count_held(&group->partitions), held_before);
        handover_plan(group, now_ns);
        catalog_update_pool(node, group, now_ns);
    }
    node_schedule_advance(node);
}

/// @return the next target to probe in a data centre, or NULL
static const pool_target_info_t *
next_probe_target(const node_t *node, dc_group_t *group)
{
    if (group->catalog_count == 0) {
        return NULL;
    }
    uint32_t skip = group->probe_count++ % group->catalog_count;
    const pool_target_info_t *found = NULL;
    for (const catalog_target_t *target = node->catalog; target != NULL;
         target = target->next) {
        if (target->group == group && !target->info.is_draining) {
            found = &target->info;
            if (skip-- == 0) {
                break;
            }
        }
    }
    return found;
}

/// Probes the targets of another data centre that has too few owners: if a
/// network split separates this node from them, it could serve none.
///
/// @return when to call it again
static int64_t
probe_dc(node_t *node, dc_group_t *group, int64_t now_ns)
{
    if (group->probe_due_ns <= now_ns) {
        const pool_target_info_t *target = next_probe_target(node, group);
        group->probe_due_ns = now_ns + (int64_t)kProbePeriodMs * kNsPerMs;
        if (target != NULL) {
            node->adapter_ops->probe(node->adapter, target);
        }
    }
    return group->probe_due_ns;
}

/// @return whether a target of the data centre has answered a recent probe
static bool
is_dc_reachable(const dc_group_t *group, int64_t now_ns)
{
    return group->probe_reply_ns != 0 &&
           now_ns - group->probe_reply_ns <
               (int64_t)kProbeReplyTtlMs * kNsPerMs;
}

void
node_handle_probe_reply(node_t *node, const char *dc)
{
    dc_group_t *group = catalog_find_group(node, dc);
    if (group == NULL) {
        return;
    }
    int64_t now_ns = node_update_now_ns(node);
    if (!is_dc_reachable(group, now_ns)) {
        group->reachable_since_ns = now_ns;
    }
    group->probe_reply_ns = now_ns;
    node_schedule_membership(node);
}

/// Updates the time since which a condition holds; 0 while it does not.
static void
track_since(int64_t *since_ns, bool holds, int64_t now_ns)
{
    if (!holds) {
        *since_ns = 0;
    }
    else if (*since_ns == 0) {
        *since_ns = now_ns;
    }
}

/// @return whether this node has reached the store lately: without it, it can
///         replace no owner
static bool
is_store_reachable(const node_t *node, int64_t now_ns)
{
    return now_ns - node->store_read_ns < MS_TO_NS(kStoreReadTtlMs);
}

void
node_handle_store_read(node_t *node, int64_t sent_ns)
{
    bool was_reachable = is_store_reachable(node, node_update_now_ns(node));
    node->store_read_ns = sent_ns;
    if (!was_reachable) {
        // A shortage of owners that began meanwhile has not been judged.
        node_schedule_membership(node);
    }
}

static candidate_t
make_candidate(node_t *node, dc_group_t *group, int64_t now_ns)
{
    uint32_t wanted = members_decide_owner_count(
        &node->members, group->dc, group->target_count,
        node->settings->targets_per_owner);
    wanted =
        wanted > group->partitions.count ? group->partitions.count : wanted;
    candidate_t candidate = {
        .rank = members_find_rank(&node->members, node->self, group->dc),
        .wanted_count = wanted,
        .owner_count = members_count_owners(&node->members, group->dc),
        .is_local = strcmp(group->dc, node->settings->dc) == 0,
        .is_owner = group->is_joined,
        .listed_ns = node->is_restarted ? 0 : node->listed_ns};
    // For a node of another data centre, one reachable owner is enough.
    uint32_t required_count = candidate.is_local ? wanted : 1;
    uint32_t before_count =
        members_count_preferred_owners(&node->members, node->self, group->dc);
    track_since(&group->shortage_since_ns,
                candidate.owner_count < required_count &&
                    is_store_reachable(node, now_ns),
                now_ns);
    track_since(&group->surplus_since_ns, before_count >= required_count,
                now_ns);
    candidate.reachable_since_ns =
        is_dc_reachable(group, now_ns) ? group->reachable_since_ns : 0;
    candidate.shortage_since_ns = group->shortage_since_ns;
    candidate.surplus_since_ns = group->surplus_since_ns;
    return candidate;
}

static void
leave_group(node_t *node, dc_group_t *group, const char *reason)
{
    log_event("pool_left", "dc=%s reason=\"%s\"", group->dc, reason);
    group->is_joined = false;
    group->is_retiring = false;
    partitions_drop_all(&group->partitions);
    catalog_update_pool(node, group, node_update_now_ns(node));
    node->adapter_ops->leave(node->adapter, group->dc, node->member_id);
    record_publish(node);
}

/// Revokes all partitions of this node in a group that has enough other
/// owners, and leaves the group once all are released: when their runs have
/// ended, or after kRevokeTimeoutMs.
static void
retire_from_group(node_t *node, dc_group_t *group, int64_t now_ns)
{
    if (!group->is_retiring) {
        log_event("pool_retiring", "dc=%s", group->dc);
        group->is_retiring = true;
        partitions_update(&group->partitions,
                          group->partitions.newest_generation, NULL, 0);
        handover_plan(group, now_ns);
        catalog_update_pool(node, group, now_ns);
    }
    handover_release(node, group, now_ns);
    if (group->partitions.revoked_count == 0) {
        leave_group(node, group, "enough owners");
    }
}

/// Joins or leaves a group, depending on its other owners.
///
/// @return when to decide again
static int64_t
decide_membership(node_t *node, dc_group_t *group, int64_t now_ns)
{
    if (atomic_load(&node->is_draining) || group->target_count == 0 ||
        node->listed_ns == 0) {
        return INT64_MAX;
    }
    if (group->is_retiring) {
        // The decision to leave stands whatever other nodes do meanwhile: the
        // handover has begun.
        retire_from_group(node, group, now_ns);
        return now_ns + (int64_t)kRetireCheckMs * kNsPerMs;
    }
    candidate_t candidate = make_candidate(node, group, now_ns);
    int64_t join_ns = candidate_join_ns(&candidate, now_ns);
    int64_t probe_ns = candidate_prepare_ns(&candidate);
    group->needs_targets = probe_ns <= now_ns;
    if (group->needs_targets) {
        probe_ns = probe_dc(node, group, now_ns);
    }
    if (join_ns <= now_ns) {
        log_event("pool_joined", "dc=%s rank=%u wanted=%u owners=%u",
                  group->dc, candidate.rank, candidate.wanted_count,
                  candidate.owner_count);
        group->is_joined = true;
        group->join_due_ns = now_ns;
        group->confirmed_ns = now_ns;
        // Published before it holds partitions, which takes a handover: more
        // nodes would join in the meantime, each with a handover of its own.
        record_publish(node);
        return now_ns;
    }
    int64_t leave_ns = candidate_leave_ns(&candidate);
    if (leave_ns <= now_ns) {
        retire_from_group(node, group, now_ns);
        return now_ns + (int64_t)kRetireCheckMs * kNsPerMs;
    }
    join_ns = join_ns < probe_ns ? join_ns : probe_ns;
    return join_ns < leave_ns ? join_ns : leave_ns;
}

/// Decides on the membership of a group again if something has changed or it
/// is time.
///
/// @return when to call it again
static int64_t
update_membership(node_t *node, dc_group_t *group, int64_t now_ns)
{
    if (group->decided_version != node->membership_version ||
        group->decide_due_ns <= now_ns) {
        group->decided_version = node->membership_version;
        group->decide_due_ns = decide_membership(node, group, now_ns);
    }
    return group->decide_due_ns;
}

int64_t
owner_advance(node_t *node, int64_t now_ns)
{
    int64_t due_ns = record_advance(node, now_ns);
    for (uint32_t i = 0; i < node->group_count; i++) {
        dc_group_t *group = &node->groups[i];
        int64_t membership_ns = update_membership(node, group, now_ns);
        int64_t release_ns = handover_release(node, group, now_ns);
        due_ns = membership_ns < due_ns ? membership_ns : due_ns;
        due_ns = release_ns < due_ns ? release_ns : due_ns;
        if (!group->is_joined || group->is_join_pending) {
            continue;
        }
        if (group->join_due_ns <= now_ns) {
            group->is_join_pending = true;
            node->adapter_ops->join(node->adapter, group->dc, node->member_id,
                                    group->partitions.join_generation);
        }
        else if (group->join_due_ns < due_ns) {
            due_ns = group->join_due_ns;
        }
    }
    return due_ns;
}

void
owner_leave_all(node_t *node)
{
    for (uint32_t i = 0; i < node->group_count; i++) {
        if (node->groups[i].is_joined) {
            leave_group(node, &node->groups[i], "stopping");
        }
    }
}

void
owner_handle_pause(node_t *node, int64_t now_ns)
{
    for (uint32_t i = 0; i < node->group_count; i++) {
        dc_group_t *group = &node->groups[i];
        if (!group->is_joined) {
            continue;
        }
        int64_t unconfirmed_ns = group->confirmed_ns == 0
                                     ? -kNsPerMs
                                     : now_ns - group->confirmed_ns;
        log_event("membership", "dc=%s held=%u unconfirmed_ms=%lld", group->dc,
                  partitions_count_held(&group->partitions),
                  (long long)(unconfirmed_ns / kNsPerMs));
        group->is_join_stale = group->is_join_pending;
        group->join_due_ns = now_ns;
    }
    node_schedule_advance(node);
}

static void
send_start(void *owner, const start_call_t *call)
{
    node_t *node = owner;
    node->adapter_ops->start(node->adapter, call);
}

static void
send_stop(void *owner, const stop_call_t *call)
{
    node_t *node = owner;
    node->adapter_ops->stop(node->adapter, call);
}

static void
send_list(void *owner, const list_call_t *call)
{
    node_t *node = owner;
    node->adapter_ops->list(node->adapter, call);
}

/// Sends the outcome of an order to its coordinator: this node or a client.
static void
send_outcome(void *owner, const pool_order_result_t *settled)
{
    node_t *node = owner;
    if (settled->client == 0) {
        coordinator_handle_settled(node, settled, NULL);
    }
    else {
        clients_send_outcome(node, settled);
    }
}

/// Handles a target that rejected this node's token as too low. If the store
/// still assigns the target's partition to this node, the newest generation
/// becomes the token.
static void
handle_fenced(void *owner, const pool_target_info_t *info)
{
    node_t *node = owner;
    dc_group_t *group = catalog_find_group(node, info->dc);
    if (group == NULL) {
        return;
    }
    log_event(
        "target_fenced", "id=%s token=%llu", info->id,
        (unsigned long long)pool_read_target_token(node->pool, info->id));
    if (partitions_renew_token(
            &group->partitions,
            partitions_find(&group->partitions, info->id))) {
        catalog_update_pool(node, group, node_update_now_ns(node));
    }
    group->join_due_ns = 0;
    node_schedule_advance(node);
}

static void
log_decision(void *owner, const char *event, const char *job, const char *text)
{
    (void)owner;
    log_event(event, "job=%s what=%s", job, text);
}

static const pool_ops_t pool_ops = {.start = send_start,
                                    .stop = send_stop,
                                    .list = send_list,
                                    .settle = send_outcome,
                                    .fenced = handle_fenced,
                                    .log = log_decision};

/// @return how many calls that start or stop runs may be pending, by the
///         memory and the descriptors that they need
static uint32_t
read_call_limit(const node_settings_t *settings)
{
    if (settings->target_call_limit > 0) {
        return settings->target_call_limit;
    }
    uint64_t count = memory_limit_bytes(settings->memory_mb) / 100 *
                     kCallMemoryPercent / kCallBytes;
    uint32_t share = descriptors_share(kCallDescriptorPercent, kMaxCalls);
    count = count < share ? count : share;
    return count > kMinCalls ? (uint32_t)count : (uint32_t)kMinCalls;
}

pool_limits_t
owner_limits(const node_settings_t *settings)
{
    uint32_t lease_ms = settings->resubmit_ms * kLeasePercent / 100;
    return (pool_limits_t){
        .lease_ms = lease_ms < settings->hold_limit_ms
                        ? lease_ms
                        : settings->hold_limit_ms,
        .orphan_ms = settings->resubmit_ms * kOrphanPercent / 100,
        .remote_permille = settings->remote_factor,
        .wait_order = settings->wait_order,
        .call_limit = read_call_limit(settings),
        .order_bytes = memory_limit_order_bytes(settings->order_memory_mb,
                                                settings->memory_mb)};
}

void
owner_init(node_t *node)
{
    const node_settings_t *settings = node->settings;
    const pool_limits_t limits = owner_limits(settings);
    node->pool = pool_create(&limits, &pool_ops, node);
    node->targets_by_id = apr_hash_make(node->arena);
    node->group_count = settings->dcs_count;
    evacuation_init(&node->evacuation, settings->dcs, settings->dcs_count);
    node->groups =
        apr_pcalloc(node->arena, node->group_count * sizeof *node->groups);
    for (uint32_t i = 0; i < node->group_count; i++) {
        node->groups[i].dc = settings->dcs[i];
        partitions_init(&node->groups[i].partitions,
                        settings->partition_count);
    }
}

void
node_handle_start_reply(node_t *node, pool_run_t *run,
                        const call_reply_t *reply)
{
    pool_handle_start_reply(node->pool, run, reply, node_update_now_ns(node));
    node_schedule_advance(node);
}

void
node_handle_stop_reply(node_t *node, pool_run_t *run,
                       const call_reply_t *reply)
{
    pool_handle_stop_reply(node->pool, run, reply, node_update_now_ns(node));
    node_schedule_advance(node);
}

void
node_handle_list_reply(node_t *node, pool_target_t *target,
                       const list_reply_t *reply)
{
    pool_handle_list_reply(node->pool, target, reply,
                           node_update_now_ns(node));
    node_schedule_advance(node);
}
