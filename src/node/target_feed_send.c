/// Sends the targets of this node's data centre to the nodes that follow it.
#include <apr_strings.h>
#include <stdlib.h>
#include <string.h>

#include "base/counters.h"
#include "codec/pack.h"
#include "net/link_clock.h"
#include "node/catalog.h"
#include "node/target_feed_state.h"
#include "runtime/clock.h"
#include "runtime/log.h"

enum {
    kMaxAgeMs = 1000, ///< of the state that is passed on
    /// A follower that does not read its updates is dropped.
    kMaxQueuedBytes = 4 * 1024 * 1024,
    kMaxDcs = 64
};

/// A client that follows this node.
struct follower {
    follower_t *next;
    follower_t *prev;
    conn_t *conn;
    uint64_t offset;    ///< an older state is of no use to it
    bool wants_targets; ///< false: only counts
    bool is_current;    ///< has all targets up to the last update
};

/// A target that has changed or is gone since the last update.
struct feed_change {
    feed_change_t *next;
    char id[kPoolNameBytes];
};

static void
add_change(node_t *node, const char *id)
{
    if (node->feed->followers == NULL) {
        return;
    }
    feed_change_t *change = calloc(1, sizeof *change);
    apr_cpystrn(change->id, id, sizeof change->id);
    change->next = node->feed->changes;
    node->feed->changes = change;
}

void
target_feed_add_change(node_t *node, const pool_target_info_t *info)
{
    if (strcmp(info->dc, node->settings->dc) == 0) {
        add_change(node, info->id);
    }
}

void
target_feed_add_removal(node_t *node, const char *id)
{
    add_change(node, id);
}

/// Adds a target of this node's data centre to an update.
static void
add_target(targets_update_message_t *update, const pool_target_info_t *info,
           arena_t *arena)
{
    target_state_t *state =
        (target_state_t *)&update->targets[update->targets_count++];
    const char **labels =
        apr_palloc(arena, (info->label_count + 1) * sizeof *labels);
    for (uint32_t i = 0; i < info->label_count; i++) {
        labels[i] = info->labels[i];
    }
    *state = (target_state_t){.id = info->id,
                              .address = info->address,
                              .service = info->service,
                              .labels = labels,
                              .labels_count = info->label_count,
                              .born_ms = info->born_ms,
                              .cpu_mcores = info->cpu_mcores,
                              .memory_mb = info->memory_mb,
                              .accelerators = info->accelerators,
                              .is_draining = info->is_draining};
}

/// Creates an update without targets.
static targets_update_message_t
create_update(const node_t *node, int64_t now_ns, arena_t *arena)
{
    target_count_t *counts =
        apr_palloc(arena, kMaxDcs * sizeof(target_count_t));
    targets_update_message_t update = {
        .offset = node->catalog_offset,
        .age_ms = (uint32_t)((now_ns - node->feed->read_ns) / kNsPerMs),
        .sent_us = link_clock_stamp_us(now_ns),
        .counts = counts};
    for (uint32_t i = 0; i < node->group_count && i < kMaxDcs; i++) {
        counts[update.counts_count++] = (target_count_t){
            .dc = node->groups[i].dc, .count = node->groups[i].target_count};
    }
    return update;
}

/// Adds all targets of this node's data centre to an update.
static void
add_all_targets(node_t *node, targets_update_message_t *update, arena_t *arena)
{
    const dc_group_t *group = catalog_find_group(node, node->settings->dc);
    update->is_full = true;
    update->targets =
        apr_palloc(arena, (apr_hash_count(node->targets_by_id) + 1) *
                              sizeof(target_state_t));
    for (const catalog_target_t *target = node->catalog; target != NULL;
         target = target->next) {
        if (target->group == group) {
            add_target(update, &target->info, arena);
        }
    }
}

/// Adds the targets that have changed since the last update to an update.
static void
add_changed_targets(const node_t *node, targets_update_message_t *update,
                    arena_t *arena)
{
    uint32_t count = 0;
    for (const feed_change_t *change = node->feed->changes; change != NULL;
         change = change->next) {
        count++;
    }
    update->targets = apr_palloc(arena, (count + 1) * sizeof(target_state_t));
    const char **removed = apr_palloc(arena, (count + 1) * sizeof *removed);
    update->removed = removed;
    for (const feed_change_t *change = node->feed->changes; change != NULL;
         change = change->next) {
        const catalog_target_t *target =
            apr_hash_get(node->targets_by_id, change->id, APR_HASH_KEY_STRING);
        if (target != NULL) {
            add_target(update, &target->info, arena);
        }
        else {
            removed[update->removed_count++] = change->id;
        }
    }
}

static void
clear_changes(target_feed_t *feed)
{
    while (feed->changes != NULL) {
        feed_change_t *change = feed->changes;
        feed->changes = change->next;
        free(change);
    }
}

static void
send_packed(follower_t *follower, const msgpack_sbuffer *body)
{
    if (follower->conn->out_bytes > kMaxQueuedBytes) {
        log_event("follower_slow", "queued_bytes=%u",
                  follower->conn->out_bytes);
        conn_close(follower->conn);
        return;
    }
    counter_add(kCounterFeedUpdatesSent, 1);
    conn_send_packed(follower->conn,
                     (bytes_t){.data = (uint8_t *)body->data,
                               .size_bytes = (uint32_t)body->size});
}

/// What a follower needs of an update.
typedef enum {
    kUpdateCounts,
    kUpdateChanges,
    kUpdateAll,
    kUpdateNone, ///< this node's state is older than the follower's
    kUpdateKindCount
} update_kind_t;

static update_kind_t
choose_update(const node_t *node, const follower_t *follower)
{
    if (!follower->wants_targets) {
        return kUpdateCounts;
    }
    if (follower->is_current) {
        return kUpdateChanges;
    }
    return follower->offset <= node->catalog_offset ? kUpdateAll : kUpdateNone;
}

static void
fill_update(node_t *node, update_kind_t kind, targets_update_message_t *update,
            arena_t *arena)
{
    if (kind == kUpdateAll) {
        add_all_targets(node, update, arena);
    }
    else if (kind == kUpdateChanges) {
        add_changed_targets(node, update, arena);
    }
}

/// Sends an update of one kind to the followers that need it. It is encoded
/// once for all of them.
static void
send_update(node_t *node, update_kind_t kind, int64_t now_ns)
{
    arena_t *arena = arena_create();
    msgpack_sbuffer body;
    bool is_packed = false;
    follower_t *next;
    for (follower_t *follower = node->feed->followers; follower != NULL;
         follower = next) {
        next = follower->next;
        if (choose_update(node, follower) != kind) {
            continue;
        }
        if (!is_packed) {
            targets_update_message_t update =
                create_update(node, now_ns, arena);
            fill_update(node, kind, &update, arena);
            msgpack_sbuffer_init(&body);
            pack_write_message(&body, kMessageTargetsUpdate,
                               message_descs[kMessageTargetsUpdate], &update);
            is_packed = true;
        }
        follower->is_current |= kind == kUpdateAll;
        send_packed(follower, &body);
    }
    if (is_packed) {
        msgpack_sbuffer_destroy(&body);
    }
    arena_destroy(arena);
}

void
node_handle_targets_read(node_t *node, uint64_t offset, int64_t read_ns)
{
    int64_t now_ns = node_update_now_ns(node);
    node->catalog_offset = offset;
    node->feed->read_ns = read_ns;
    for (uint32_t i = 0; i < node->group_count; i++) {
        catalog_set_count(node, &node->groups[i],
                          node->groups[i].catalog_count);
    }
    // Changes go out before full states, which would make their followers
    // current.
    for (update_kind_t kind = 0; kind < kUpdateNone; kind++) {
        send_update(node, kind, now_ns);
    }
    clear_changes(node->feed);
}

/// Sends the whole state to a new follower at once if it is fresh; otherwise
/// the next read of the store does.
static void
send_first_update(node_t *node, int64_t now_ns)
{
    const target_feed_t *feed = node->feed;
    if (feed->reads != kTargetReadsNone && feed->read_ns != 0 &&
        now_ns - feed->read_ns < (int64_t)kMaxAgeMs * kNsPerMs) {
        send_update(node, kUpdateAll, now_ns);
    }
}

follower_t *
target_feed_handle_follow(node_t *node, follower_t *follower, conn_t *conn,
                          const follow_message_t *follow)
{
    if (!follow->wants_updates) {
        target_feed_remove_follower(node, follower);
        return NULL;
    }
    if (follower == NULL) {
        follower = calloc(1, sizeof *follower);
        follower->conn = conn;
        follower->next = node->feed->followers;
        if (follower->next != NULL) {
            follower->next->prev = follower;
        }
        node->feed->followers = follower;
    }
    follower->offset = follow->offset;
    follower->wants_targets = follow->wants_targets;
    follower->is_current = false;
    send_first_update(node, node_update_now_ns(node));
    node_schedule_advance(node);
    return follower;
}

void
target_feed_remove_follower(node_t *node, follower_t *follower)
{
    if (follower == NULL) {
        return;
    }
    *(follower->prev == NULL ? &node->feed->followers
                             : &follower->prev->next) = follower->next;
    if (follower->next != NULL) {
        follower->next->prev = follower->prev;
    }
    free(follower);
    node_schedule_advance(node);
}
