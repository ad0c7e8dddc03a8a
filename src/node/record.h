/// The record by which other nodes discover this one and the data centres
/// whose targets it owns.
#ifndef JT_NODE_RECORD_H
#define JT_NODE_RECORD_H

#include "node/node.h"

/// Formats the member id of a node's process in groups.
void record_format_member_id(char out[kMemberIdBytes], const char *node,
                             uint64_t nonce);

/// Updates this node's own member, and publishes its record once the list of
/// records has been read. An earlier write would replace the record of an
/// earlier process of this node before that record is seen.
void record_publish(node_t *node);

/// Publishes the record again when the store has had a different one for too
/// long.
///
/// @return when to call it again
int64_t record_advance(node_t *node, int64_t now_ns);

#endif
