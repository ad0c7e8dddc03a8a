/// The node as owner of targets: its membership of the data centres' groups.
#ifndef JT_NODE_OWNER_H
#define JT_NODE_OWNER_H

#include "node/node.h"

/// @return the limits of the pool under these settings. A caller that loses
///         its coordinator resubmits after resubmit_ms; by then the owner has
///         closed its silent link to the coordinator, or the owner's last
///         lease has expired.
pool_limits_t owner_limits(const node_settings_t *settings);

/// Creates the pool, and the groups of the data centres.
void owner_init(node_t *node);

/// @return the delay until the next join of a group, after this many failures
///         in a row
uint32_t owner_join_delay_ms(uint32_t failures);

/// Joins, stays in, or leaves groups as is due.
///
/// @return when to call it again
int64_t owner_advance(node_t *node, int64_t now_ns);

/// @return whether this node owns targets
bool owner_holds_any(const node_t *node);

/// Leaves all groups.
void owner_leave_all(node_t *node);

#endif
