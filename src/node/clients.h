/// The pool's clients: the other nodes whose orders this node runs, one client
/// for each accepted connection.
#ifndef JT_NODE_CLIENTS_H
#define JT_NODE_CLIENTS_H

#include "node/node.h"

/// Creates a client for an accepted connection.
void clients_accept(void *owner, apr_socket_t *socket, arena_t *arena);

/// Sends the outcome of an order to the client that assigned it.
void clients_send_outcome(node_t *node, const pool_order_result_t *settled);

/// Closes the connections of clients that have orders running and have sent
/// nothing for longer than the link timeout.
///
/// @return when to call it again
int64_t clients_advance(node_t *node, int64_t now_ns);

/// Closes the connections of all clients, as after a pause of the process.
void clients_close_all(node_t *node);

#endif
