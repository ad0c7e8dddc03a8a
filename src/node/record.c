#include "node/record.h"

#include <stdio.h>

#include "runtime/clock.h"
#include "runtime/log.h"

enum {
    kRepairMs = 500, ///< that a record may differ from what was published; a
                     ///< write takes far less to come back
    kRepairDoublings = 6 ///< of that time, as two processes of one name would
                         ///< write in turns
};

void
record_publish(node_t *node)
{
    const node_settings_t *settings = node->settings;
    const char *pools[64];
    node_record_t record = {.name = settings->name,
                            .dc = settings->dc,
                            .address = settings->address,
                            .port = settings->peer_port,
                            .nonce = node->control.hello.nonce,
                            .strength_milli = settings->core_share,
                            .is_leaving = atomic_load(&node->is_draining),
                            .pools = pools};
    for (uint32_t i = 0; i < node->dc_count && i < 64; i++) {
        if (cells_held(&node->dcs[i].partitions) > 0) {
            pools[record.pools_count++] = node->dcs[i].dc;
        }
    }
    node->self = members_put(&node->members, &record);
    node->self->is_self = true;
    if (node->listed_ns != 0) {
        node->adapter_ops->publish(node->adapter, &record);
    }
}

void
record_name_member(char name[kMemberBytes], const char *node, uint64_t nonce)
{
    snprintf(name, kMemberBytes, "%s.%016llx", node,
             (unsigned long long)nonce);
}

/// Leaves the pools of an earlier process of this node, which is gone: its
/// cells need not wait for the end of its time to live.
static void
leave_for_earlier(node_t *node, const node_record_t *record)
{
    char member[kMemberBytes];
    record_name_member(member, record->name, record->nonce);
    for (uint32_t i = 0; i < record->pools_count; i++) {
        log_event("pool_left", "dc=%s reason=\"earlier process\"",
                  record->pools[i]);
        node->adapter_ops->leave(node->adapter, record->pools[i], member);
    }
}

void
node_take_own_record(node_t *node, const node_record_t *record)
{
    bool is_right = record != NULL && member_has_record(node->self, record);
    if (node->listed_ns == 0 && record != NULL &&
        record->nonce != node->self->record->nonce) {
        // The records of the others are in the same list.
        node->is_restarted = true;
        leave_for_earlier(node, record);
    }
    if (is_right) {
        node->repair_due_ns = 0;
        node->repair_count = 0;
    }
    else if (node->repair_due_ns == 0) {
        node->repair_due_ns =
            node_now_ns(node) + (int64_t)kRepairMs * kNsPerMs;
        node_kick(node);
    }
}

int64_t
record_advance(node_t *node, int64_t now_ns)
{
    if (node->repair_due_ns == 0) {
        return INT64_MAX;
    }
    if (node->repair_due_ns <= now_ns) {
        log_event("record_repaired", "name=%s", node->settings->name);
        uint32_t doublings = node->repair_count < kRepairDoublings
                                 ? ++node->repair_count
                                 : (uint32_t)kRepairDoublings;
        node->repair_due_ns =
            now_ns + ((int64_t)kRepairMs << doublings) * kNsPerMs;
        record_publish(node);
    }
    return node->repair_due_ns;
}
