#include "node/target_feed.h"

#include <apr_strings.h>
#include <stdlib.h>
#include <string.h>

#include "base/counters.h"
#include "node/catalog.h"
#include "node/peers.h"
#include "node/target_feed_state.h"
#include "runtime/clock.h"
#include "runtime/log.h"

void
target_feed_init(node_t *node)
{
    node->feed = calloc(1, sizeof *node->feed);
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
    apr_cpystrn(info->id, state->id, sizeof info->id);
    apr_cpystrn(info->address, state->address, sizeof info->address);
    apr_cpystrn(info->service, state->service, sizeof info->service);
    apr_cpystrn(info->dc, node->settings->dc, sizeof info->dc);
    for (uint32_t i = 0;
         i < state->labels_count && info->label_count < kPoolLabelLimit; i++) {
        apr_cpystrn(info->labels[info->label_count++], state->labels[i],
                    sizeof info->labels[0]);
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

/// Drops targets that are no longer kept up to date: those of other data
/// centres once this node does not read the store, and those of its own once
/// it owns none of them either.
static void
forget_targets(node_t *node, bool was_reading, bool wants_targets)
{
    const target_feed_t *feed = node->feed;
    if (feed->reads != kTargetReadsNone) {
        return;
    }
    if (was_reading || (feed->wants_targets && !wants_targets)) {
        catalog_forget_targets(
            node, wants_targets ? catalog_find_group(node, node->settings->dc)
                                : NULL);
    }
}

static feed_decision_t
decide(node_t *node, int64_t now_ns)
{
    feed_candidate_t candidates[kFeedCandidates];
    const feed_input_t input = {.now_ns = now_ns,
                                .rank = peers_find_rank(node),
                                .has_followers = node->feed->followers != NULL,
                                .needs_all_dcs = needs_all_dcs(node),
                                .candidates = candidates,
                                .candidate_count =
                                    peers_list_candidates(node, candidates)};
    return feed_decide(&node->feed->state, &input);
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
    feed_decision_t decision = decide(node, now_ns);
    const dc_group_t *group = catalog_find_group(node, node->settings->dc);
    bool wants_targets = group != NULL && group->is_joined;
    bool was_reading = feed->reads != kTargetReadsNone;
    bool reads_fast = is_owner(node) || feed->followers != NULL;
    set_reads(node, !decision.reads_store ? kTargetReadsNone
                    : reads_fast          ? kTargetReadsFast
                                          : kTargetReadsSlow);
    forget_targets(node, was_reading, wants_targets);
    update_source(node, &decision, wants_targets);
    return decision.due_ns;
}
