#include "node/owner.h"

#include <apr_strings.h>
#include <string.h>

#include "node/catalog.h"
#include "node/clients.h"
#include "node/coordinator.h"
#include "node/record.h"
#include "runtime/clock.h"
#include "runtime/log.h"

enum {
    kJoinMs = 350,            ///< between two joins; the least time to live is
                              ///< about three times that
    kJoinRetryMs = 150,       ///< after a join without an answer
    kJoinRetryLimitMs = 1000, ///< where many had none
    kLeasePercent = 50,     ///< of resubmit_ms: with the longest silence of a
                            ///< link, less than the whole of it
    kLeavingLimitMs = 2500, ///< for the runs of leaving cells to end
    kLeavingLookMs = 40,    ///< between two looks at them
    kProbeMs = 500,         ///< between two probes of a data centre
    kProbeLifeMs = 1300     ///< that an answer to a probe counts for: one may
                            ///< be lost
};

bool
owner_holds_any(const node_t *node)
{
    for (uint32_t i = 0; i < node->dc_count; i++) {
        if (cells_held(&node->dcs[i].partitions) > 0) {
            return true;
        }
    }
    return false;
}

uint32_t
owner_join_delay_ms(uint32_t failures)
{
    if (failures == 0) {
        return kJoinMs;
    }
    return failures < kJoinRetryLimitMs / kJoinRetryMs
               ? (uint32_t)kJoinRetryMs * failures
               : (uint32_t)kJoinRetryLimitMs;
}

void
node_handle_join_reply(node_t *node, const char *dc,
                       const join_reply_t *joined)
{
    int64_t now_ns = node_now_ns(node);
    dc_pool_t *pool = known_find_dc(node, dc);
    if (pool == NULL) {
        return;
    }
    pool->is_join_open = false;
    if (!joined->is_answered) {
        pool->join_due_ns =
            now_ns +
            (int64_t)owner_join_delay_ms(++pool->join_failures) * kNsPerMs;
        node_kick(node);
        return;
    }
    pool->join_failures = 0;
    bool has_risen = joined->generation > pool->partitions.newest;
    pool->join_due_ns =
        has_risen ? now_ns
                  : now_ns + (int64_t)owner_join_delay_ms(0) * kNsPerMs;
    if (!pool->is_member || pool->is_retiring) {
        return;
    }
    uint32_t held_before = cells_held(&pool->partitions);
    if (cells_take(&pool->partitions, joined->generation, joined->partitions,
                   joined->cell_count)) {
        uint32_t held = cells_held(&pool->partitions);
        log_event("cells_changed", "dc=%s generation=%llu held=%u before=%u",
                  dc, (unsigned long long)joined->generation, held,
                  held_before);
        known_place_all(node, pool, now_ns);
        if ((held == 0) != (held_before == 0)) {
            record_publish(node);
        }
    }
    node_kick(node);
}

/// Lets leaving cells go whose targets have no run left, or all of them when
/// that took too long.
static int64_t
release_cells(node_t *node, dc_pool_t *pool, int64_t now_ns)
{
    cells_t *partitions = &pool->partitions;
    if (partitions->leaving_count == 0) {
        pool->leaving_since_ns = 0;
        return INT64_MAX;
    }
    if (pool->leaving_since_ns == 0) {
        pool->leaving_since_ns = now_ns;
    }
    bool is_over =
        now_ns - pool->leaving_since_ns >= (int64_t)kLeavingLimitMs * kNsPerMs;
    bool *is_busy = calloc(partitions->count, sizeof *is_busy);
    for (const known_target_t *known = node->known; known != NULL;
         known = known->next) {
        if (known->pool == pool) {
            is_busy[cells_find(partitions, known->info.id)] |=
                pool_target_runs(node->pool, known->info.id) > 0;
        }
    }
    for (uint32_t i = 0; i < partitions->count; i++) {
        if (partitions->is_leaving[i] && (is_over || !is_busy[i])) {
            cells_release(partitions, i);
        }
    }
    free(is_busy);
    known_place_all(node, pool, now_ns);
    if (partitions->leaving_count > 0) {
        return now_ns + (int64_t)kLeavingLookMs * kNsPerMs;
    }
    pool->join_due_ns = now_ns;
    return now_ns;
}

/// @return the next target to probe in a data centre, or NULL
static const pool_target_info_t *
next_probed(const node_t *node, dc_pool_t *pool)
{
    uint32_t skip = pool->probe_count++ % pool->target_count;
    const pool_target_info_t *found = NULL;
    for (const known_target_t *known = node->known; known != NULL;
         known = known->next) {
        if (known->pool == pool && !known->info.is_draining) {
            found = &known->info;
            if (skip-- == 0) {
                break;
            }
        }
    }
    return found;
}

/// Sees whether targets elsewhere that lack an owner are in reach: behind a
/// cut, this node could serve none of them.
///
/// @return when to call it again
static int64_t
probe_elsewhere(node_t *node, dc_pool_t *pool, int64_t now_ns)
{
    if (pool->probe_due_ns <= now_ns) {
        const pool_target_info_t *target = next_probed(node, pool);
        pool->probe_due_ns = now_ns + (int64_t)kProbeMs * kNsPerMs;
        if (target != NULL) {
            node->adapter_ops->probe(node->adapter, target);
        }
    }
    return pool->probe_due_ns;
}

/// @return whether the answer to a probe still counts
static bool
is_in_reach(const dc_pool_t *pool, int64_t now_ns)
{
    return pool->reached_ns != 0 &&
           now_ns - pool->reached_ns < (int64_t)kProbeLifeMs * kNsPerMs;
}

void
node_handle_probe_reply(node_t *node, const char *dc)
{
    dc_pool_t *pool = known_find_dc(node, dc);
    if (pool == NULL) {
        return;
    }
    int64_t now_ns = node_now_ns(node);
    if (!is_in_reach(pool, now_ns)) {
        pool->reached_since_ns = now_ns;
    }
    pool->reached_ns = now_ns;
    node_kick(node);
}

/// Keeps since when a condition has held; 0 while it does not.
static void
note_since(int64_t *since_ns, bool holds, int64_t now_ns)
{
    if (!holds) {
        *since_ns = 0;
    }
    else if (*since_ns == 0) {
        *since_ns = now_ns;
    }
}

static candidate_t
describe_candidate(node_t *node, dc_pool_t *pool, int64_t now_ns)
{
    uint32_t own_count = members_count_in(&node->members, pool->dc);
    uint32_t per_owner = node->settings->targets_per_owner;
    uint32_t wanted = (pool->target_count + per_owner / 2) / per_owner;
    wanted = wanted < 1 ? 1 : wanted;
    wanted = wanted > own_count && own_count > 0 ? own_count : wanted;
    candidate_t candidate = {
        .rank = members_rank(&node->members, node->self, pool->dc),
        .wanted_count = wanted,
        .owner_count = members_count_owners(&node->members, pool->dc),
        .is_own_dc = strcmp(pool->dc, node->settings->dc) == 0,
        .is_owner = pool->is_member,
        .new_since_ns = node->is_restarted ? 0 : node->listed_ns};
    // From elsewhere, one owner in reach is enough.
    uint32_t enough = candidate.is_own_dc ? wanted : 1;
    uint32_t before_count =
        members_count_owners_before(&node->members, node->self, pool->dc);
    note_since(&pool->short_since_ns, candidate.owner_count < enough, now_ns);
    note_since(&pool->settled_since_ns, before_count >= enough, now_ns);
    candidate.reached_since_ns =
        is_in_reach(pool, now_ns) ? pool->reached_since_ns : 0;
    candidate.short_since_ns = pool->short_since_ns;
    candidate.settled_since_ns = pool->settled_since_ns;
    return candidate;
}

static void
leave(node_t *node, dc_pool_t *pool, const char *reason)
{
    log_event("pool_left", "dc=%s reason=\"%s\"", pool->dc, reason);
    pool->is_member = false;
    pool->is_retiring = false;
    bool had_cells = cells_held(&pool->partitions) > 0;
    cells_drop(&pool->partitions);
    known_place_all(node, pool, node_now_ns(node));
    node->adapter_ops->leave(node->adapter, pool->dc, node->member);
    if (had_cells) {
        record_publish(node);
    }
}

/// Ends the membership of a pool that has enough other owners, once no run is
/// left on its targets.
static void
retire(node_t *node, dc_pool_t *pool, int64_t now_ns)
{
    if (!pool->is_retiring) {
        log_event("pool_retiring", "dc=%s", pool->dc);
        pool->is_retiring = true;
        cells_take(&pool->partitions, pool->partitions.newest, NULL, 0);
        known_place_all(node, pool, now_ns);
        record_publish(node);
    }
    release_cells(node, pool, now_ns);
    if (pool->partitions.leaving_count == 0) {
        leave(node, pool, "enough owners");
    }
}

/// Joins or leaves a pool as its other owners come and go.
static int64_t
decide_membership(node_t *node, dc_pool_t *pool, int64_t now_ns)
{
    if (atomic_load(&node->is_draining) || pool->target_count == 0 ||
        node->listed_ns == 0) {
        return INT64_MAX;
    }
    if (pool->is_retiring) {
        // Its cells are let go one by one as their runs end. What the others
        // do meanwhile changes nothing: it has told them that it owns none.
        retire(node, pool, now_ns);
        return now_ns + (int64_t)kLeavingLookMs * kNsPerMs;
    }
    candidate_t candidate = describe_candidate(node, pool, now_ns);
    int64_t join_ns = candidate_join_ns(&candidate, now_ns);
    int64_t probe_ns = INT64_MAX;
    if (!candidate.is_own_dc && !candidate.is_owner &&
        candidate.short_since_ns != 0) {
        probe_ns = probe_elsewhere(node, pool, now_ns);
    }
    if (join_ns <= now_ns) {
        log_event("pool_joined", "dc=%s rank=%u wanted=%u owners=%u", pool->dc,
                  candidate.rank, candidate.wanted_count,
                  candidate.owner_count);
        pool->is_member = true;
        pool->join_due_ns = now_ns;
        return now_ns;
    }
    int64_t leave_ns = candidate_leave_ns(&candidate);
    if (leave_ns <= now_ns) {
        retire(node, pool, now_ns);
        return now_ns + (int64_t)kLeavingLookMs * kNsPerMs;
    }
    join_ns = join_ns < probe_ns ? join_ns : probe_ns;
    return join_ns < leave_ns ? join_ns : leave_ns;
}

/// Has targets followed closely while this node is among the owners of any.
static void
update_watch(node_t *node)
{
    bool is_member = false;
    for (uint32_t i = 0; i < node->dc_count; i++) {
        is_member |= node->dcs[i].is_member;
    }
    if (is_member != node->is_watching) {
        node->is_watching = is_member;
        node->adapter_ops->watch(node->adapter, is_member);
    }
}

int64_t
owner_advance(node_t *node, int64_t now_ns)
{
    int64_t due_ns = record_advance(node, now_ns);
    for (uint32_t i = 0; i < node->dc_count; i++) {
        dc_pool_t *pool = &node->dcs[i];
        int64_t decide_ns = decide_membership(node, pool, now_ns);
        int64_t release_ns = release_cells(node, pool, now_ns);
        due_ns = decide_ns < due_ns ? decide_ns : due_ns;
        due_ns = release_ns < due_ns ? release_ns : due_ns;
        if (!pool->is_member || pool->is_join_open) {
            continue;
        }
        if (pool->join_due_ns <= now_ns) {
            pool->is_join_open = true;
            node->adapter_ops->join(node->adapter, pool->dc, node->member,
                                    pool->partitions.generation);
        }
        else if (pool->join_due_ns < due_ns) {
            due_ns = pool->join_due_ns;
        }
    }
    update_watch(node);
    return due_ns;
}

void
owner_leave_all(node_t *node)
{
    for (uint32_t i = 0; i < node->dc_count; i++) {
        if (node->dcs[i].is_member) {
            leave(node, &node->dcs[i], "stopping");
        }
    }
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

static void
settle(void *owner, const pool_order_result_t *settled)
{
    node_t *node = owner;
    if (settled->client == 0) {
        home_take_settled(node, settled, NULL);
    }
    else {
        guests_settle(node, settled);
    }
}

/// A target knows a higher token. Where the store still lists its cell as
/// ours, the newest generation is the token from now on.
static void
take_fenced(void *owner, const pool_target_info_t *info)
{
    node_t *node = owner;
    dc_pool_t *pool = known_find_dc(node, info->dc);
    if (pool == NULL) {
        return;
    }
    log_event("target_fenced", "id=%s token=%llu", info->id,
              (unsigned long long)pool_target_token(node->pool, info->id));
    if (cells_raise(&pool->partitions,
                    cells_find(&pool->partitions, info->id))) {
        known_place_all(node, pool, node_now_ns(node));
    }
    pool->join_due_ns = 0;
    node_kick(node);
}

static void
note(void *owner, const char *event, const char *job, const char *text)
{
    (void)owner;
    log_event(event, "job=%s what=%s", job, text);
}

static const pool_ops_t pool_ops = {.start = send_start,
                                    .stop = send_stop,
                                    .list = send_list,
                                    .settle = settle,
                                    .fenced = take_fenced,
                                    .note = note};

pool_limits_t
owner_limits(const node_settings_t *settings)
{
    uint32_t lease_ms = settings->resubmit_ms * kLeasePercent / 100;
    return (pool_limits_t){.lease_ms = lease_ms < settings->hold_limit_ms
                                           ? lease_ms
                                           : settings->hold_limit_ms,
                           .remote_permille = settings->remote_factor};
}

void
owner_init(node_t *node)
{
    const node_settings_t *settings = node->settings;
    const pool_limits_t limits = owner_limits(settings);
    node->pool = pool_create(&limits, &pool_ops, node);
    node->targets = apr_hash_make(node->arena);
    node->dc_count = settings->dcs_count;
    node->dcs = apr_pcalloc(node->arena, node->dc_count * sizeof *node->dcs);
    for (uint32_t i = 0; i < node->dc_count; i++) {
        node->dcs[i].dc = settings->dcs[i];
        cells_init(&node->dcs[i].partitions, settings->cell_count);
    }
}

void
node_handle_start_reply(node_t *node, pool_run_t *run,
                        const call_reply_t *reply)
{
    pool_handle_start_reply(node->pool, run, reply, node_now_ns(node));
    node_kick(node);
}

void
node_handle_stop_reply(node_t *node, pool_run_t *run,
                       const call_reply_t *reply)
{
    if (run != NULL) {
        pool_handle_stop_reply(node->pool, run, reply, node_now_ns(node));
        node_kick(node);
    }
}

void
node_handle_list_reply(node_t *node, pool_target_t *target,
                       const list_reply_t *reply)
{
    pool_handle_list_reply(node->pool, target, reply, node_now_ns(node));
    node_kick(node);
}
