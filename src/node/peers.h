/// The links to other nodes that own targets, and the choice of an owner for a
/// job.
#ifndef JT_NODE_PEERS_H
#define JT_NODE_PEERS_H

#include "node/coordinator.h"

/// Updates the peers after a change of the list of members.
void peers_update(node_t *node);

/// Connects to owners, sends pings, and closes links that have timed out.
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
void peers_withdraw(const peer_t *peer, const caller_job_t *job);

#endif
