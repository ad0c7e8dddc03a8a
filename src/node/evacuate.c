#include "node/evacuate.h"

#include "base/counters.h"
#include "node/catalog.h"
#include "node/peers.h"
#include "runtime/log.h"

static void
log_change(const node_t *node, const dc_group_t *group, bool is_evacuated)
{
    counter_add(
        is_evacuated ? kCounterEvacuationsBegun : kCounterEvacuationsEnded, 1);
    log_event(is_evacuated ? "evacuation_begun" : "evacuation_ended",
              "dc=%s targets=%u held=%u", group->dc, group->target_count,
              partitions_count_held(&group->partitions));
    gauge_set(kGaugeDcsEvacuated, evacuation_count(&node->evacuation));
}

/// Applies the decision to the data centres for which it has changed.
static void
apply(node_t *node)
{
    int64_t now_ns = node_update_now_ns(node);
    bool has_changed = false;
    for (uint32_t i = 0; i < node->group_count; i++) {
        dc_group_t *group = &node->groups[i];
        bool is_evacuated = evacuation_has(&node->evacuation, group->dc);
        bool accepts_runs =
            evacuation_accepts_runs(&node->evacuation, group->dc);
        if (is_evacuated != group->is_evacuated) {
            group->is_evacuated = is_evacuated;
            log_change(node, group, is_evacuated);
            has_changed = true;
        }
        if (accepts_runs != group->accepts_runs) {
            group->accepts_runs = accepts_runs;
            catalog_update_pool(node, group, now_ns);
            has_changed = true;
        }
    }
    if (has_changed) {
        peers_update_open(node);
        pool_set_evacuating(node->pool,
                            evacuation_count(&node->evacuation) > 0);
        node_schedule_advance(node);
    }
}

bool
evacuate_put(node_t *node, const char *dc)
{
    bool is_known = evacuation_put(&node->evacuation, dc);
    apply(node);
    return is_known;
}

void
evacuate_keep(node_t *node, const char *dc)
{
    evacuation_keep(&node->evacuation, dc);
}

void
evacuate_remove(node_t *node, const char *dc)
{
    evacuation_remove(&node->evacuation, dc);
    apply(node);
}

void
evacuate_begin_list(node_t *node)
{
    evacuation_begin_list(&node->evacuation);
}

void
evacuate_end_list(node_t *node)
{
    evacuation_end_list(&node->evacuation);
    apply(node);
}
