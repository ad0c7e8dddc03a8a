/// The record by which other nodes know this one, and find it as an owner.
#ifndef JT_NODE_RECORD_H
#define JT_NODE_RECORD_H

#include "node/node.h"

/// Writes the name that a process of a node has in groups.
void record_format_member_id(char name[kMemberIdBytes], const char *node,
                             uint64_t nonce);

/// Publishes the node's record, once the records that were there before are
/// known: it would hide that of an earlier process of this node.
void record_publish(node_t *node);

/// Publishes the record again where the store shows another one for long.
///
/// @return when to call it again
int64_t record_advance(node_t *node, int64_t now_ns);

#endif
