/// The handover of partitions that the store has moved to other members. This
/// node holds them until it joins with the new generation.
#ifndef JT_NODE_HANDOVER_H
#define JT_NODE_HANDOVER_H

#include "node/node.h"

/// Sets until when the targets of revoked partitions get runs. To be called
/// after each change of a group's partitions.
void handover_plan(dc_group_t *group, int64_t now_ns);

/// Releases revoked partitions. The store passes on all of them at once, so
/// they are released together, and used for short runs until the longest of
/// the earlier runs has ended. After kRevokeTimeoutMs, all are released.
///
/// @return when to call it again
int64_t handover_release(node_t *node, dc_group_t *group, int64_t now_ns);

#endif
