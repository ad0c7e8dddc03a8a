#include "node/record.h"

#include <stdio.h>

#include "base/units.h"
#include "node/peers.h"
#include "pool/losses.h"
#include "runtime/clock.h"
#include "runtime/log.h"

enum {
    kMaxPools = 64, ///< data centres in a record
    /// How long the store's record may differ from the published one. A write
    /// takes far less time to become visible.
    kRepublishDelayMs = 500,
    /// The delay doubles with each attempt, at most this often: two processes
    /// of the same name would otherwise keep overwriting each other's record.
    kMaxRepublishDoublings = 6,
    /// Between two records that differ only in their losses. Callers submit a
    /// lost job again after a longer time.
    kLossPeriodMs = 200
};

void
record_publish(node_t *node)
{
    const node_settings_t *settings = node->settings;
    const char *pools[kMaxPools];
    run_loss_t lost[kLossReportLimit];
    losses_t *losses = pool_losses(node->pool);
    int64_t now_ns = clock_now_ns();
    node_record_t record = {.name = settings->name,
                            .dc = settings->dc,
                            .address = settings->address,
                            .port = settings->peer_port,
                            .nonce = node->control.hello.nonce,
                            .core_share_milli = settings->core_share,
                            .is_leaving = atomic_load(&node->is_draining),
                            .pools = pools,
                            .loss_version = losses_report_version(losses),
                            .losses = lost,
                            .losses_count =
                                losses_report(losses, lost, now_ns)};
    for (uint32_t i = 0; i < node->group_count && i < kMaxPools; i++) {
        if (node->groups[i].is_joined) {
            pools[record.pools_count++] = node->groups[i].dc;
        }
    }
    node->self = members_put(&node->members, &record);
    node->self->is_self = true;
    node->losses_due_ns = now_ns + (int64_t)kLossPeriodMs * kNsPerMs;
    peers_update_self(node);
    if (node->listed_ns != 0) {
        node->adapter_ops->publish_record(node->adapter, &record);
    }
}

void
record_format_member_id(char out[kMemberIdBytes], const char *node,
                        uint64_t nonce)
{
    snprintf(out, kMemberIdBytes, "%s.%016llx", node,
             (unsigned long long)nonce);
}

/// Leaves the groups on behalf of an earlier process of this node, which has
/// ended, so that its partitions are reassigned before its time to live
/// expires.
static void
leave_earlier_groups(node_t *node, const node_record_t *record)
{
    char member_id[kMemberIdBytes];
    record_format_member_id(member_id, record->name, record->nonce);
    for (uint32_t i = 0; i < record->pools_count; i++) {
        log_event("pool_left", "dc=%s reason=\"earlier process\"",
                  record->pools[i]);
        node->adapter_ops->leave(node->adapter, record->pools[i], member_id);
    }
}

/// Takes over the losses that an earlier process of this node recorded: its
/// record is about to be replaced.
static void
adopt_losses(node_t *node, const node_record_t *record)
{
    int64_t now_ns = clock_now_ns();
    for (uint32_t i = 0; i < record->losses_count; i++) {
        losses_add(pool_losses(node->pool), &record->losses[i],
                   now_ns - (int64_t)record->losses[i].age_ms * kNsPerMs);
    }
}

void
node_handle_own_record(node_t *node, const node_record_t *record)
{
    bool is_current =
        record != NULL && member_matches_record(node->self, record);
    if (node->listed_ns == 0 && record != NULL &&
        record->nonce != node->self->record->nonce) {
        // A restarted node need not wait for the records of nodes that start
        // at the same time: the list already has them.
        node->is_restarted = true;
        leave_earlier_groups(node, record);
        adopt_losses(node, record);
    }
    if (is_current) {
        node->republish_due_ns = 0;
        node->republish_count = 0;
    }
    else if (node->republish_due_ns == 0) {
        node->republish_due_ns =
            node_update_now_ns(node) + (int64_t)kRepublishDelayMs * kNsPerMs;
        node_schedule_advance(node);
    }
}

/// Publishes the record if the losses have changed since it was published.
///
/// @return when to call it again
static int64_t
publish_losses(node_t *node, int64_t now_ns)
{
    bool is_current = node->self == NULL ||
                      node->self->record->loss_version ==
                          losses_report_version(pool_losses(node->pool));
    if (is_current) {
        return INT64_MAX;
    }
    if (node->losses_due_ns <= now_ns) {
        record_publish(node);
        return INT64_MAX;
    }
    return node->losses_due_ns;
}

int64_t
record_advance(node_t *node, int64_t now_ns)
{
    int64_t losses_ns = publish_losses(node, now_ns);
    if (node->republish_due_ns == 0) {
        return losses_ns;
    }
    if (node->republish_due_ns <= now_ns) {
        log_event("record_repaired", "name=%s", node->settings->name);
        uint32_t doublings = node->republish_count < kMaxRepublishDoublings
                                 ? ++node->republish_count
                                 : (uint32_t)kMaxRepublishDoublings;
        node->republish_due_ns =
            now_ns + ((int64_t)kRepublishDelayMs << doublings) * kNsPerMs;
        record_publish(node);
    }
    return min_ns(node->republish_due_ns, losses_ns);
}
