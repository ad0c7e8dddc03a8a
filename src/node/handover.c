#include "node/handover.h"

#include <stdlib.h>

#include "base/units.h"
#include "node/catalog.h"
#include "runtime/clock.h"

enum {
    kHandoverMs = 1000, ///< for which revoked partitions still get runs
    /// Revoked partitions get short runs for at least this long after each
    /// check that has found earlier runs on them.
    kHandoverStepMs = 250,
    kRevokeTimeoutMs = 2500, ///< for runs on revoked partitions to end
    kRevokeCheckMs = 40,     ///< between checks of these runs
};

void
handover_plan(dc_group_t *group, int64_t now_ns)
{
    if (group->partitions.revoked_count == 0) {
        group->revoked_since_ns = 0;
    }
    else if (group->revoked_since_ns == 0) {
        group->revoked_since_ns = now_ns;
        group->handover_ns = now_ns + MS_TO_NS(kHandoverMs);
    }
}

/// The runs on the targets of revoked partitions.
typedef struct {
    bool *is_busy;    ///< by partition: has runs
    bool is_any_busy; ///< a revoked partition has runs
    bool
        has_old_runs; ///< some were started before the partitions were revoked
} revoked_runs_t;

static revoked_runs_t
read_revoked_runs(const node_t *node, const dc_group_t *group)
{
    const partitions_t *partitions = &group->partitions;
    revoked_runs_t runs = {
        .is_busy = calloc(partitions->count, sizeof *runs.is_busy)};
    for (const catalog_target_t *target = node->catalog; target != NULL;
         target = target->next) {
        uint32_t at = partitions_find(partitions, target->info.id);
        if (target->group != group || !partitions->is_revoked[at] ||
            pool_count_target_runs(node->pool, target->info.id) == 0) {
            continue;
        }
        runs.is_busy[at] = true;
        runs.is_any_busy = true;
        runs.has_old_runs |= pool_has_runs_since_before(
            node->pool, target->info.id, group->revoked_since_ns);
    }
    return runs;
}

int64_t
handover_release(node_t *node, dc_group_t *group, int64_t now_ns)
{
    partitions_t *partitions = &group->partitions;
    handover_plan(group, now_ns);
    if (partitions->revoked_count == 0) {
        return INT64_MAX;
    }
    int64_t end_ns = group->revoked_since_ns + MS_TO_NS(kRevokeTimeoutMs);
    revoked_runs_t runs = read_revoked_runs(node, group);
    if (runs.has_old_runs) {
        int64_t later_ns = min_ns(now_ns + MS_TO_NS(kHandoverStepMs), end_ns);
        group->handover_ns =
            later_ns > group->handover_ns ? later_ns : group->handover_ns;
    }
    bool is_due = !runs.is_any_busy || group->handover_ns <= now_ns;
    for (uint32_t i = 0; i < partitions->count; i++) {
        if (partitions->is_revoked[i] &&
            (end_ns <= now_ns || (is_due && !runs.is_busy[i]))) {
            partitions_release(partitions, i);
        }
    }
    free(runs.is_busy);
    catalog_update_pool(node, group, now_ns);
    if (partitions->revoked_count > 0) {
        return now_ns + MS_TO_NS(kRevokeCheckMs);
    }
    group->join_due_ns = now_ns;
    return now_ns;
}
