/// The targets that the platform lists. Those of partitions that this node
/// holds are in its pool.
#ifndef JT_NODE_CATALOG_H
#define JT_NODE_CATALOG_H

#include "node/node.h"

/// A target that the platform lists.
typedef struct catalog_target {
    struct catalog_target *next;
    struct catalog_target *prev;
    pool_target_info_t info;
    dc_group_t *group;
} catalog_target_t;

/// @return the group of a data centre; NULL if the settings do not list it
dc_group_t *catalog_find_group(node_t *node, const char *dc);

/// Updates the pool after a change of the partitions that this node holds in a
/// data centre: adds the targets of held ones, and removes all others.
void catalog_update_pool(node_t *node, const dc_group_t *group,
                         int64_t now_ns);

#endif
