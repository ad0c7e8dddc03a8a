/// Decides which links a node wants: to the nodes that may pass on targets, to
/// all owners of targets of its own data centre, and to a few owners of each
/// other one.
#include <stdlib.h>
#include <string.h>

#include "node/peer_state.h"

enum {
    /// Links to owners of another data centre. Links to all of them would
    /// grow with the square of the number of nodes.
    kRemoteOwnerLinks = 4
};

void
peer_plan_invalidate(node_t *node)
{
    node->peer_plan->is_outdated = true;
    node_schedule_membership(node);
}

peer_t *
peer_find(const node_t *node, const char *name)
{
    peer_t *peer = node->peers;
    while (peer != NULL && strcmp(peer->name, name) != 0) {
        peer = peer->next;
    }
    return peer;
}

/// Closes the link of a peer that is not wanted and has no unsettled order.
/// That does not count as a failure of the link.
static void
close_unwanted_link(peer_t *peer)
{
    conn_close(peer->conn);
    peer->link_failures = 0;
    peer->connect_due_ns = 0;
}

/// Removes peers that have neither a record nor an unsettled order: closes
/// their link, and frees them once it is closed.
static void
remove_unused_peers(node_t *node)
{
    for (peer_t **at = &node->peers; *at != NULL;) {
        peer_t *peer = *at;
        bool is_unused = !peer->has_record && peer->order_count == 0;
        if (is_unused && peer->conn != NULL) {
            conn_close(peer->conn);
        }
        else if (is_unused) {
            *at = peer->next;
            loop_free_later(node->loop, peer, free);
            continue;
        }
        at = &peer->next;
    }
}

/// @return the local member that ranks next after `last`, or NULL
static const member_t *
find_next_candidate(const node_t *node, const member_t *last)
{
    const char *dc = node->settings->dc;
    const member_t *best = NULL;
    for (const member_t *member = node->members.first; member != NULL;
         member = member->next) {
        if (member->is_self || member->record->is_leaving ||
            strcmp(member->record->dc, dc) != 0) {
            continue;
        }
        bool is_after_last =
            last == NULL ||
            members_rank_before(last->record, member->record, dc);
        if (is_after_last &&
            (best == NULL ||
             members_rank_before(member->record, best->record, dc))) {
            best = member;
        }
    }
    return best;
}

static void
choose_candidates(node_t *node)
{
    peer_plan_t *plan = node->peer_plan;
    const member_t *last = NULL;
    plan->candidate_count = 0;
    plan->rank =
        members_find_rank(&node->members, node->self, node->settings->dc);
    while (plan->candidate_count < kFeedCandidates) {
        last = find_next_candidate(node, last);
        peer_t *peer =
            last == NULL ? NULL : peer_find(node, last->record->name);
        if (peer == NULL) {
            return;
        }
        plan->candidates[plan->candidate_count++] = peer;
    }
}

/// @return whether a peer is among the owners of another data centre to which
///         this node wants links. An owner to which connections fail gives its
///         place to the next one, and is still tried.
static bool
is_chosen_remote_owner(const node_t *node, const peer_t *peer)
{
    uint32_t before_count = 0;
    for (const peer_t *other = node->peers; other != NULL;
         other = other->next) {
        before_count +=
            other->has_record && other->is_owner &&
            (other->link_failures == 0 || peer->link_failures > 0) &&
            other->affinity < peer->affinity &&
            strcmp(other->dc, peer->dc) == 0;
    }
    return before_count < kRemoteOwnerLinks;
}

static bool
is_link_wanted(const node_t *node, const peer_t *peer)
{
    const peer_plan_t *plan = node->peer_plan;
    if (!peer->has_record) {
        return false;
    }
    for (uint32_t i = 0; i < plan->candidate_count; i++) {
        if (plan->candidates[i] == peer) {
            return true;
        }
    }
    return peer->is_owner &&
           (peer->is_local || is_chosen_remote_owner(node, peer));
}

/// @return whether the nodes of a peer's data centre are reachable as far as
///         the links to others of them tell
static bool
is_dc_reachable(const node_t *node, const peer_t *peer)
{
    bool has_failure = false;
    for (const peer_t *other = node->peers; other != NULL;
         other = other->next) {
        if (strcmp(other->dc, peer->dc) == 0) {
            if (other->is_up) {
                return true;
            }
            has_failure |= other->link_failures > 0;
        }
    }
    return !has_failure;
}

/// Updates which members count as reachable. A node without a link counts by
/// the other nodes of its data centre.
static void
update_reachable(node_t *node)
{
    for (peer_t *peer = node->peers; peer != NULL; peer = peer->next) {
        member_t *member =
            peer->has_record ? members_find(&node->members, peer->name) : NULL;
        if (member != NULL) {
            member->is_lapsed = peer->is_lapsed;
            member->is_reachable =
                peer->is_up || (peer->link_failures == 0 &&
                                (peer->is_wanted || peer->is_local ||
                                 is_dc_reachable(node, peer)));
        }
    }
}

void
peer_plan_update(node_t *node)
{
    if (!node->peer_plan->is_outdated || node->self == NULL) {
        return;
    }
    node->peer_plan->is_outdated = false;
    remove_unused_peers(node);
    choose_candidates(node);
    for (peer_t *peer = node->peers; peer != NULL; peer = peer->next) {
        peer->is_wanted = is_link_wanted(node, peer);
        if (!peer->is_wanted && peer->has_record && peer->is_up &&
            peer->order_count == 0) {
            close_unwanted_link(peer);
        }
    }
    update_reachable(node);
    node_schedule_membership(node);
}

void
peers_init(node_t *node)
{
    node->peer_plan = calloc(1, sizeof *node->peer_plan);
    node->peer_plan->rng.state = node->control.hello.nonce;
}

uint32_t
peers_find_rank(const node_t *node)
{
    return node->peer_plan->rank;
}

uint32_t
peers_list_candidates(const node_t *node,
                      feed_candidate_t out[kFeedCandidates])
{
    const peer_plan_t *plan = node->peer_plan;
    for (uint32_t i = 0; i < plan->candidate_count; i++) {
        out[i] = (feed_candidate_t){.name = plan->candidates[i]->name,
                                    .is_up = plan->candidates[i]->is_up};
    }
    return plan->candidate_count;
}
