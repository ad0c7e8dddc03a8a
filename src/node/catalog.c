#include "node/catalog.h"

#include <stdlib.h>
#include <string.h>

#include "runtime/log.h"

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

/// Adds a target to the pool if this node holds its partition, and removes it
/// otherwise. A target of a revoked partition gets no new runs.
static void
update_target(node_t *node, const catalog_target_t *target, int64_t now_ns)
{
    const partitions_t *held = &target->group->partitions;
    uint64_t token = held->tokens[partitions_find(held, target->info.id)];
    if (token != 0) {
        pool_target_info_t info = target->info;
        info.is_draining |=
            held->is_revoked[partitions_find(held, target->info.id)];
        pool_put_target(node->pool, &info, token, now_ns);
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
    apr_hash_set(node->targets_by_id, target->info.id, APR_HASH_KEY_STRING,
                 NULL);
    *(target->prev == NULL ? &node->catalog : &target->prev->next) =
        target->next;
    if (target->next != NULL) {
        target->next->prev = target->prev;
    }
    free(target);
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
    catalog_target_t *target =
        apr_hash_get(node->targets_by_id, info->id, APR_HASH_KEY_STRING);
    if (target == NULL) {
        target = add_target(node, info, group);
        group->target_count++;
    }
    else if (target->info.is_draining != info->is_draining) {
        log_event("target_state", "id=%s draining=%d", info->id,
                  info->is_draining);
    }
    target->info = *info;
    target->group = group;
    update_target(node, target, node_update_now_ns(node));
    node_schedule_advance(node);
}

void
node_remove_target(node_t *node, const char *id)
{
    catalog_target_t *target =
        apr_hash_get(node->targets_by_id, id, APR_HASH_KEY_STRING);
    if (target == NULL) {
        return;
    }
    log_event("target_gone", "id=%s", id);
    target->group->target_count--;
    pool_drop_target(node->pool, id, node_update_now_ns(node));
    remove_target(node, target);
    node_schedule_advance(node);
}
