/// Guests: homes on other nodes whose orders this node runs, one a connection.
#ifndef JT_NODE_GUESTS_H
#define JT_NODE_GUESTS_H

#include "node/node.h"

/// Takes over an accepted connection.
void guests_accept(void *owner, apr_socket_t *socket, arena_t *arena);

/// Sends what became of an order to the guest that it is for.
void guests_settle(node_t *node, const pool_order_result_t *settled);

/// Ends guests that have been silent for too long while orders of theirs run.
///
/// @return when to call it again
int64_t guests_advance(node_t *node, int64_t now_ns);

/// Closes all guests' connections, as after a pause.
void guests_close_all(node_t *node);

#endif
