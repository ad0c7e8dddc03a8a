/// The feed of a node, shared by the source files that send updates to
/// followers and that receive them.
#ifndef JT_NODE_TARGET_FEED_STATE_H
#define JT_NODE_TARGET_FEED_STATE_H

#include "node/target_feed.h"
#include "ownership/feed.h"

/// A target that has changed or is gone since the last update.
typedef struct feed_change feed_change_t;

struct target_feed {
    feed_t state;
    bool is_started;
    bool wants_targets;          ///< as last sent to the followed node
    char source[kFeedNameBytes]; ///< node that was asked for updates
    target_reads_t reads;        ///< as last set
    int64_t read_ns;             ///< when the store was last read; 0: never
    follower_t *followers;
    feed_change_t *changes;
};

#endif
