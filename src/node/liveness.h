/// Deletes the records of nodes that no longer run. Such a record would stay
/// in the store for ever and delay the choice of owners. The first owner of a
/// data centre sends a hello to each node of its own data centre in turn, and
/// deletes the record of a node that has missed several hellos in a row. A
/// node that was only unreachable publishes its record again when it finds it
/// missing.
#ifndef JT_NODE_LIVENESS_H
#define JT_NODE_LIVENESS_H

#include "node/node.h"

/// Creates the state of a node's liveness check.
void liveness_init(node_t *node);

/// Sends a hello to the next node when it is due, and times out an unanswered
/// one.
///
/// @return when to call it again
int64_t liveness_advance(node_t *node, int64_t now_ns);

#endif
