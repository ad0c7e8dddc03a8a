#include "node/catalog.h"

#include <stdlib.h>
#include <string.h>

#include "node/target_feed.h"
#include "pool/losses.h"
#include "runtime/clock.h"
#include "runtime/log.h"

enum {
    kRemovalDelayMs = 2200 ///< by then, records that expired during an outage
                           ///< of the store have been written again
};

dc_group_t *
catalog_find_group(node_t *node, const char *dc)
{
    for (uint32_t i = 0; i < node->group_count; i++) {
        if (strcmp(node->groups[i].dc, dc) == 0) {
            return &node->groups[i];
        }
    }
    return NULL;
}

void
catalog_set_count(node_t *node, dc_group_t *group, uint32_t count)
{
    if (group->target_count != count) {
        group->target_count = count;
        node_schedule_membership(node);
    }
}

/// Adds a target to the pool if this node holds its partition, and removes it
/// otherwise. A target of an evacuated data centre gets no new runs, and one
/// of a revoked partition only short ones until the handover.
static void
update_target(node_t *node, const catalog_target_t *target, int64_t now_ns)
{
    const partitions_t *held = &target->group->partitions;
    uint64_t token = held->tokens[partitions_find(held, target->info.id)];
    if (token != 0) {
        pool_target_info_t info = target->info;
        info.is_draining |= !target->group->accepts_runs;
        pool_put_target(node->pool, &info, token, now_ns);
        pool_set_target_handover(
            node->pool, info.id,
            held->is_revoked[partitions_find(held, info.id)]
                ? target->group->handover_ns
                : INT64_MAX);
    }
    else {
        pool_drop_target(node->pool, target->info.id, now_ns);
    }
}

void
catalog_update_pool(node_t *node, const dc_group_t *group, int64_t now_ns)
{
    for (const catalog_target_t *target = node->catalog; target != NULL;
         target = target->next) {
        if (target->group == group) {
            update_target(node, target, now_ns);
        }
    }
}

static catalog_target_t *
add_target(node_t *node, const pool_target_info_t *info, dc_group_t *group)
{
    catalog_target_t *target = calloc(1, sizeof *target);
    target->info = *info;
    target->group = group;
    target->next = node->catalog;
    if (node->catalog != NULL) {
        node->catalog->prev = target;
    }
    node->catalog = target;
    apr_hash_set(node->targets_by_id, target->info.id, APR_HASH_KEY_STRING,
                 target);
    return target;
}

static void
remove_target(node_t *node, catalog_target_t *target)
{
    target->group->catalog_count--;
    apr_hash_set(node->targets_by_id, target->info.id, APR_HASH_KEY_STRING,
                 NULL);
    *(target->prev == NULL ? &node->catalog : &target->prev->next) =
        target->next;
    if (target->next != NULL) {
        target->next->prev = target->prev;
    }
    pool_drop_target(node->pool, target->info.id, node_update_now_ns(node));
    free(target);
    node_schedule_advance(node);
}

static catalog_target_t *
find_target(const node_t *node, const char *id)
{
    return apr_hash_get(node->targets_by_id, id, APR_HASH_KEY_STRING);
}

static void
mark_listed(const node_t *node, catalog_target_t *target)
{
    target->list_number = node->catalog_list_number;
    target->missing_since_ns = 0;
}

/// Tells the loss log what a target's record shows: its present life, and that
/// an earlier target at the same address is over.
static void
resolve_losses(node_t *node, const pool_target_info_t *info)
{
    losses_t *losses = pool_losses(node->pool);
    if (losses_is_empty(losses)) {
        return;
    }
    int64_t now_ns = node_update_now_ns(node);
    losses_resolve_target(losses, info->id, info->born_ms, false, now_ns);
    for (const catalog_target_t *other = node->catalog; other != NULL;
         other = other->next) {
        if (other->info.born_ms < info->born_ms &&
            strcmp(other->info.address, info->address) == 0) {
            losses_end_target(losses, other->info.id, now_ns);
        }
    }
}

void
node_put_target(node_t *node, const pool_target_info_t *info)
{
    dc_group_t *group = catalog_find_group(node, info->dc);
    if (group == NULL) {
        log_event("target_skipped", "id=%s reason=\"unknown data centre %s\"",
                  info->id, info->dc);
        return;
    }
    catalog_target_t *target = find_target(node, info->id);
    if (target == NULL) {
        target = add_target(node, info, group);
        group->catalog_count++;
    }
    else if (target->info.is_draining != info->is_draining) {
        log_event("target_state", "id=%s draining=%d", info->id,
                  info->is_draining);
    }
    target->info = *info;
    target->group = group;
    mark_listed(node, target);
    resolve_losses(node, info);
    target_feed_add_change(node, info);
    update_target(node, target, node_update_now_ns(node));
    node_schedule_advance(node);
}

bool
node_keep_target(node_t *node, const char *id)
{
    catalog_target_t *target = find_target(node, id);
    if (target != NULL) {
        mark_listed(node, target);
    }
    return target != NULL;
}

static void
mark_missing(node_t *node, catalog_target_t *target)
{
    if (target->missing_since_ns != 0) {
        return;
    }
    target->missing_since_ns = node_update_now_ns(node);
    int64_t due_ns =
        target->missing_since_ns + (int64_t)kRemovalDelayMs * kNsPerMs;
    if (due_ns < node->missing_due_ns) {
        node->missing_due_ns = due_ns;
    }
    node_schedule_advance(node);
}

void
node_remove_target(node_t *node, const char *id)
{
    catalog_target_t *target = find_target(node, id);
    if (target != NULL) {
        mark_missing(node, target);
    }
}

void
node_begin_target_list(node_t *node)
{
    node->catalog_list_number++;
}

void
catalog_end_list(node_t *node, const dc_group_t *group)
{
    for (catalog_target_t *target = node->catalog; target != NULL;
         target = target->next) {
        if ((group == NULL || target->group == group) &&
            target->list_number != node->catalog_list_number) {
            mark_missing(node, target);
        }
    }
}

void
node_end_target_list(node_t *node)
{
    catalog_end_list(node, NULL);
}

void
catalog_remove_target(node_t *node, const char *id)
{
    catalog_target_t *target = find_target(node, id);
    if (target != NULL) {
        log_event("target_gone", "id=%s", id);
        target_feed_add_removal(node, id);
        remove_target(node, target);
    }
}

void
catalog_forget_targets(node_t *node, const dc_group_t *kept)
{
    catalog_target_t *next;
    for (catalog_target_t *target = node->catalog; target != NULL;
         target = next) {
        next = target->next;
        if (target->group != kept) {
            remove_target(node, target);
        }
    }
}

int64_t
catalog_advance(node_t *node, int64_t now_ns)
{
    if (node->missing_due_ns > now_ns) {
        return node->missing_due_ns;
    }
    node->missing_due_ns = INT64_MAX;
    catalog_target_t *next;
    for (catalog_target_t *target = node->catalog; target != NULL;
         target = next) {
        next = target->next;
        int64_t due_ns =
            target->missing_since_ns + (int64_t)kRemovalDelayMs * kNsPerMs;
        if (target->missing_since_ns == 0) {
            continue;
        }
        if (due_ns <= now_ns) {
            catalog_remove_target(node, target->info.id);
        }
        else if (due_ns < node->missing_due_ns) {
            node->missing_due_ns = due_ns;
        }
    }
    return node->missing_due_ns;
}
