#include "node/catalog.h"

#include <stdlib.h>
#include <string.h>

#include "runtime/log.h"

dc_pool_t *
known_find_dc(node_t *node, const char *dc)
{
    for (uint32_t i = 0; i < node->dc_count; i++) {
        if (strcmp(node->dcs[i].dc, dc) == 0) {
            return &node->dcs[i];
        }
    }
    return NULL;
}

/// Gives a target to the pool, or takes it away, as its cell is held or not.
static void
place_target(node_t *node, const known_target_t *known, int64_t now_ns)
{
    const cells_t *partitions = &known->pool->partitions;
    uint64_t token =
        partitions->tokens[cells_find(partitions, known->info.id)];
    if (token != 0) {
        pool_target_info_t info = known->info;
        info.is_draining |=
            partitions->is_leaving[cells_find(partitions, known->info.id)];
        pool_put_target(node->pool, &info, token, now_ns);
    }
    else {
        pool_drop_target(node->pool, known->info.id, now_ns);
    }
}

void
known_place_all(node_t *node, const dc_pool_t *pool, int64_t now_ns)
{
    for (const known_target_t *known = node->known; known != NULL;
         known = known->next) {
        if (known->pool == pool) {
            place_target(node, known, now_ns);
        }
    }
}

static known_target_t *
add_known(node_t *node, const pool_target_info_t *info, dc_pool_t *pool)
{
    known_target_t *known = calloc(1, sizeof *known);
    known->info = *info;
    known->pool = pool;
    known->next = node->known;
    if (node->known != NULL) {
        node->known->prev = known;
    }
    node->known = known;
    apr_hash_set(node->targets, known->info.id, APR_HASH_KEY_STRING, known);
    return known;
}

static void
remove_known(node_t *node, known_target_t *known)
{
    apr_hash_set(node->targets, known->info.id, APR_HASH_KEY_STRING, NULL);
    *(known->prev == NULL ? &node->known : &known->prev->next) = known->next;
    if (known->next != NULL) {
        known->next->prev = known->prev;
    }
    free(known);
}

void
node_put_target(node_t *node, const pool_target_info_t *info)
{
    dc_pool_t *pool = known_find_dc(node, info->dc);
    if (pool == NULL) {
        log_event("target_skipped", "id=%s reason=\"unknown data centre %s\"",
                  info->id, info->dc);
        return;
    }
    known_target_t *known =
        apr_hash_get(node->targets, info->id, APR_HASH_KEY_STRING);
    if (known == NULL) {
        known = add_known(node, info, pool);
        pool->target_count++;
    }
    else if (known->info.is_draining != info->is_draining) {
        log_event("target_state", "id=%s draining=%d", info->id,
                  info->is_draining);
    }
    known->info = *info;
    known->pool = pool;
    place_target(node, known, node_now_ns(node));
    node_kick(node);
}

void
node_remove_target(node_t *node, const char *id)
{
    known_target_t *known =
        apr_hash_get(node->targets, id, APR_HASH_KEY_STRING);
    if (known == NULL) {
        return;
    }
    log_event("target_gone", "id=%s", id);
    known->pool->target_count--;
    pool_drop_target(node->pool, id, node_now_ns(node));
    remove_known(node, known);
    node_kick(node);
}
