/// The targets that the platform lists, and their way into the node's pool.
#ifndef JT_NODE_KNOWN_H
#define JT_NODE_KNOWN_H

#include "node/node.h"

/// A target that the platform lists.
typedef struct known_target {
    struct known_target *next;
    struct known_target *prev;
    pool_target_info_t info;
    dc_pool_t *pool;
} known_target_t;

/// @return the pool of a data centre, or NULL
dc_pool_t *known_find_dc(node_t *node, const char *dc);

/// Gives the targets of a data centre to the pool, or takes them away, as
/// their cells are held or not.
void known_place_all(node_t *node, const dc_pool_t *pool, int64_t now_ns);

#endif
