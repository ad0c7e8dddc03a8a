/// The node as owner: its part in the pools of data centres.
#ifndef JT_NODE_OWNER_H
#define JT_NODE_OWNER_H

#include "node/node.h"

/// @return the limits of the pool under these settings. A caller whose home
///         is lost submits again after resubmit_ms; by then the home's owner
///         has noticed the silence, or its last lease is over.
pool_limits_t owner_limits(const node_settings_t *settings);

/// Creates the pool and the tables of the data centres.
void owner_init(node_t *node);

/// @return the pause before the next join of a pool, after failures in a row
uint32_t owner_join_delay_ms(uint32_t failures);

/// Joins, stays in, or leaves pools as is due.
///
/// @return when to call it again
int64_t owner_advance(node_t *node, int64_t now_ns);

/// @return whether this node owns targets
bool owner_holds_any(const node_t *node);

/// Leaves all pools.
void owner_leave_all(node_t *node);

#endif
