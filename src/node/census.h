/// Which nodes still exist. Records of nodes that are gone for good would stay
/// in the store and hold back the choice of owners: the first owner of a data
/// centre greets the nodes of its own data centre in turn, and drops the
/// record of one that has not answered for long. A node that is only cut off
/// sees this when it is back, and publishes again.
#ifndef JT_NODE_CENSUS_H
#define JT_NODE_CENSUS_H

#include "node/node.h"

/// Prepares the census of a node.
void census_init(node_t *node);

/// Greets the next node when it is due.
///
/// @return when to call it again
int64_t census_advance(node_t *node, int64_t now_ns);

#endif
