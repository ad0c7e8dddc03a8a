/// The links to other nodes that own targets, and the choice of an owner for a
/// job.
#ifndef JT_NODE_PEERS_H
#define JT_NODE_PEERS_H

#include "node/coordinator.h"
#include "ownership/feed.h"

/// Creates the empty list of peers.
void peers_init(node_t *node);

/// Creates or updates the peer of a member whose record has been read.
void peers_put(node_t *node, member_t *member);

/// Updates which peers own targets of data centres that are not evacuated.
void peers_update_open(node_t *node);

/// The record of a node was deleted.
void peers_remove(node_t *node, const char *name);

/// The record of this node itself has changed.
void peers_update_self(node_t *node);

/// @return the rank of this node among those of its data centre; 0 is the
///         largest share of a core
uint32_t peers_find_rank(const node_t *node);

/// Lists the nodes of this data centre that may pass on targets, by rank.
///
/// @return their number
uint32_t peers_list_candidates(const node_t *node,
                               feed_candidate_t out[kFeedCandidates]);

/// Sends a request to follow a node, or to stop that, if there is a link to
/// it.
void peers_send_follow(const node_t *node, const char *name,
                       const follow_message_t *follow);

/// Connects to owners and to nodes that may be followed, sends pings, and
/// closes links that have timed out.
///
/// @return when to call it again
int64_t peers_advance(node_t *node, int64_t now_ns);

/// Closes all links.
void peers_close_all(node_t *node);

/// @return whether another owner is reachable and not stopping
bool peers_has_owner(const node_t *node);

/// Chooses the owner with the shortest expected wait for a job, among those
/// that have not been tried for it.
///
/// @param is_self  set to whether this node itself is chosen
/// @return the chosen peer, or NULL
peer_t *peers_choose(node_t *node, const caller_job_t *job, bool *is_self);

/// Sends a job's order to a peer.
void peers_assign(peer_t *peer, const caller_job_t *job, int64_t now_ns);

/// Tells a peer that an order is no longer wanted.
///
/// @param given_up_ns  the earliest time when the caller may have given up
void peers_withdraw(const peer_t *peer, const caller_job_t *job,
                    int64_t given_up_ns);

#endif
