/// The targets of this node's data centre as it passes them on to the nodes
/// that follow it, and as it receives them from the node that it follows.
#ifndef JT_NODE_TARGET_FEED_H
#define JT_NODE_TARGET_FEED_H

#include "node/node.h"

typedef struct follower follower_t;

/// Creates the feed of a node.
void target_feed_init(node_t *node);

/// Decides where the targets come from, and starts or ends reads of the store
/// and the feed from another node accordingly.
///
/// @return when to call it again
int64_t target_feed_advance(node_t *node, int64_t now_ns);

/// A target has changed or is gone. Followers learn of it after the current
/// read of the store.
void target_feed_add_change(node_t *node, const pool_target_info_t *info);
void target_feed_add_removal(node_t *node, const char *id);

/// Handles the request of a client to follow this node, or to stop that.
///
/// @param follower  of the client; NULL before its first request
/// @return the follower of the client
follower_t *target_feed_handle_follow(node_t *node, follower_t *follower,
                                      conn_t *conn,
                                      const follow_message_t *follow);

/// Removes the follower of a client whose connection is closed.
void target_feed_remove_follower(node_t *node, follower_t *follower);

/// Handles an update from another node.
void target_feed_handle_update(node_t *node, const char *peer_name,
                               const targets_update_message_t *update);

#endif
