/// The node as owner of targets: its pool, and its membership in the groups of
/// the data centres.
#ifndef JT_NODE_OWNER_H
#define JT_NODE_OWNER_H

#include "node/node.h"

/// Derives the limits of the pool from the settings. A caller that loses its
/// coordinator resubmits after resubmit_ms. By then, either the owner has
/// closed its silent link to the coordinator and the runs have ended, or the
/// owner's last lease has expired.
pool_limits_t owner_limits(const node_settings_t *settings);

/// Creates the pool, and the groups of the data centres.
void owner_init(node_t *node);

/// @return the delay until the next join of a group, after this many failures
///         in a row
uint32_t owner_join_delay_ms(uint32_t failures);

/// Joins groups, renews memberships, and leaves groups, as is due.
///
/// @return when to call it again
int64_t owner_advance(node_t *node, int64_t now_ns);

/// @return whether this node holds a partition of a data centre whose targets
///         may get new runs
bool owner_accepts_runs(const node_t *node);

/// @return whether the store has passed this node's partitions on: it has not
///         answered its joins for longer than a membership lasts, and no
///         target accepts this node's token any more
bool owner_is_lapsed(const node_t *node, int64_t now_ns);

/// @return whether this node holds a partition of any data centre
bool owner_has_partitions(const node_t *node);

/// Renews all memberships at once after a pause, in which they may have
/// expired.
void owner_handle_pause(node_t *node, int64_t now_ns);

/// Leaves all groups.
void owner_leave_all(node_t *node);

#endif
