/// The liveness check of nodes. The record of a node that is gone for good
/// would stay in the store and delay the choice of owners. The first owner of
/// a data centre sends a hello to each node of its own data centre in turn,
/// and drops the record of one that has not answered for long. A node that was
/// only cut off finds its record missing when it is back, and publishes it
/// again.
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
