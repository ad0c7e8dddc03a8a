#include "node/target_feed.h"

#include <stdlib.h>
#include <string.h>

#include "base/counters.h"
#include "codec/pack.h"
#include "node/catalog.h"
#include "node/peers.h"
#include "ownership/feed.h"
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
typedef struct change {
    struct change *next;
    char id[kPoolNameBytes];
} change_t;

struct target_feed {
    feed_t state;
    bool is_started;
    bool wants_targets;          ///< as last sent to the followed node
    char source[kFeedNameBytes]; ///< node that was asked for updates
    target_reads_t reads;        ///< as last set
    int64_t read_ns;             ///< when the store was last read; 0: never
    follower_t *followers;
    change_t *changes;
};

void
target_feed_init(node_t *node)
{
    node->feed = calloc(1, sizeof *node->feed);
}

static void
add_change(node_t *node, const char *id)
{
    if (node->feed->followers == NULL) {
        return;
    }
    change_t *change = calloc(1, sizeof *change);
    memcpy(change->id, id, strlen(id));
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
    for (const change_t *change = node->feed->changes; change != NULL;
         change = change->next) {
        count++;
    }
    update->targets = apr_palloc(arena, (count + 1) * sizeof(target_state_t));
    const char **removed = apr_palloc(arena, (count + 1) * sizeof *removed);
    update->removed = removed;
    for (const change_t *change = node->feed->changes; change != NULL;
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
        change_t *change = feed->changes;
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

/// Copies a target from an update.
///
/// @return false if a text does not fit
static bool
read_target(const node_t *node, const target_state_t *state,
            pool_target_info_t *info)
{
    *info = (pool_target_info_t){.born_ms = state->born_ms,
                                 .cpu_mcores = state->cpu_mcores,
                                 .memory_mb = state->memory_mb,
                                 .accelerators = state->accelerators,
                                 .is_draining = state->is_draining};
    if (strlen(state->id) >= sizeof info->id ||
        strlen(state->address) >= sizeof info->address ||
        strlen(state->service) >= sizeof info->service ||
        strlen(node->settings->dc) >= sizeof info->dc) {
        return false;
    }
    strcpy(info->id, state->id);
    strcpy(info->address, state->address);
    strcpy(info->service, state->service);
    strcpy(info->dc, node->settings->dc);
    for (uint32_t i = 0;
         i < state->labels_count && info->label_count < kPoolLabelLimit; i++) {
        strncpy(info->labels[info->label_count++], state->labels[i],
                sizeof info->labels[0] - 1);
    }
    return true;
}

static void
apply_targets(node_t *node, const targets_update_message_t *update)
{
    if (update->is_full) {
        node_begin_target_list(node);
    }
    for (uint32_t i = 0; i < update->targets_count; i++) {
        pool_target_info_t info;
        if (read_target(node, &update->targets[i], &info)) {
            node_put_target(node, &info);
        }
        else {
            counter_add(kCounterEntriesSkipped, 1);
            log_event("target_skipped", "id=%.63s reason=\"text too long\"",
                      update->targets[i].id);
        }
    }
    if (update->is_full) {
        catalog_end_list(node, catalog_find_group(node, node->settings->dc));
    }
    for (uint32_t i = 0; i < update->removed_count; i++) {
        catalog_remove_target(node, update->removed[i]);
    }
}

void
target_feed_handle_update(node_t *node, const char *peer_name,
                          const targets_update_message_t *update)
{
    target_feed_t *feed = node->feed;
    if (!feed_follows(&feed->state, peer_name)) {
        return;
    }
    int64_t now_ns = node_update_now_ns(node);
    counter_add(kCounterFeedUpdatesReceived, 1);
    feed_record_update(&feed->state, (int64_t)update->age_ms * kNsPerMs,
                       now_ns);
    // A state older than this node's own says nothing new.
    if (update->offset >= node->catalog_offset) {
        if (feed->wants_targets) {
            apply_targets(node, update);
        }
        for (uint32_t i = 0; i < update->counts_count; i++) {
            dc_group_t *group = catalog_find_group(node, update->counts[i].dc);
            if (group != NULL) {
                catalog_set_count(node, group, update->counts[i].count);
            }
        }
        node->catalog_offset = update->offset;
    }
    node_schedule_advance(node);
}

/// @return whether this node needs the targets of another data centre, too
static bool
needs_all_dcs(const node_t *node)
{
    for (uint32_t i = 0; i < node->group_count; i++) {
        const dc_group_t *group = &node->groups[i];
        bool is_local = strcmp(group->dc, node->settings->dc) == 0;
        if (!is_local && (group->is_joined || group->needs_targets)) {
            return true;
        }
    }
    return false;
}

static bool
is_owner(const node_t *node)
{
    for (uint32_t i = 0; i < node->group_count; i++) {
        if (node->groups[i].is_joined) {
            return true;
        }
    }
    return false;
}

static void
set_reads(node_t *node, target_reads_t reads)
{
    target_feed_t *feed = node->feed;
    if (reads == feed->reads) {
        return;
    }
    if (reads == kTargetReadsNone || feed->reads == kTargetReadsNone) {
        log_event("target_reads", "reads=%s",
                  reads == kTargetReadsNone ? "none" : "store");
    }
    feed->reads = reads;
    node->adapter_ops->set_target_reads(node->adapter, reads);
}

/// Asks the chosen node for updates, and tells the one that was followed
/// before that it is no longer.
static void
update_source(node_t *node, const feed_decision_t *decision,
              bool wants_targets)
{
    target_feed_t *feed = node->feed;
    const char *source = decision->source == NULL ? "" : decision->source;
    bool is_same = strcmp(source, feed->source) == 0;
    if (is_same && !decision->is_new_source &&
        feed->wants_targets == wants_targets) {
        return;
    }
    if (!is_same && feed->source[0] != '\0') {
        follow_message_t end = {.wants_updates = false};
        peers_send_follow(node, feed->source, &end);
    }
    if (source[0] != '\0') {
        log_event("feed_followed", "peer=%s targets=%d", source,
                  wants_targets);
        follow_message_t follow = {.wants_updates = true,
                                   .offset = node->catalog_offset,
                                   .wants_targets = wants_targets};
        peers_send_follow(node, source, &follow);
    }
    strncpy(feed->source, source, sizeof feed->source - 1);
    feed->wants_targets = wants_targets;
}

int64_t
target_feed_advance(node_t *node, int64_t now_ns)
{
    target_feed_t *feed = node->feed;
    if (node->listed_ns == 0) {
        return INT64_MAX;
    }
    if (!feed->is_started) {
        feed_init(&feed->state, now_ns, node->control.hello.nonce);
        feed->is_started = true;
    }
    feed_candidate_t candidates[kFeedCandidates];
    feed_input_t input = {.now_ns = now_ns,
                          .rank = peers_find_rank(node),
                          .has_followers = feed->followers != NULL,
                          .needs_all_dcs = needs_all_dcs(node),
                          .candidates = candidates,
                          .candidate_count =
                              peers_list_candidates(node, candidates)};
    feed_decision_t decision = feed_decide(&feed->state, &input);
    dc_group_t *group = catalog_find_group(node, node->settings->dc);
    bool wants_targets = group != NULL && group->is_joined;
    bool was_reading = feed->reads != kTargetReadsNone;
    if (!decision.reads_store) {
        set_reads(node, kTargetReadsNone);
    }
    else {
        set_reads(node, is_owner(node) || feed->followers != NULL
                            ? kTargetReadsFast
                            : kTargetReadsSlow);
    }
    if (was_reading && !decision.reads_store) {
        catalog_forget_targets(node, wants_targets ? group : NULL);
    }
    else if (!decision.reads_store && feed->wants_targets && !wants_targets) {
        catalog_forget_targets(node, NULL);
    }
    update_source(node, &decision, wants_targets);
    return decision.due_ns;
}
