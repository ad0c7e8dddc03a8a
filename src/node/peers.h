/// Links to other nodes that own targets.
#ifndef JT_NODE_PEERS_H
#define JT_NODE_PEERS_H

#include "node/coordinator.h"

/// Opens and closes links as members come, go, and become owners.
void peers_update(node_t *node);

/// Beats on links, and ends silent ones.
///
/// @return when to call it again
int64_t peers_advance(node_t *node, int64_t now_ns);

/// Closes all links.
void peers_close_all(node_t *node);

/// @return whether an owner is in reach that is not stopping
bool peers_has_owner(const node_t *node);

/// Chooses the owner for a job.
///
/// @param is_self  set where this node itself is the best one
/// @return the peer, or NULL
peer_t *peers_choose(node_t *node, const caller_job_t *job, bool *is_self);

/// Hands a job's order to a peer.
void peers_assign(peer_t *peer, const caller_job_t *job, int64_t now_ns);

/// Tells a peer that an order is no longer wanted.
void peers_withdraw(const peer_t *peer, const caller_job_t *job);

#endif
