/// The targets that the platform lists, as far as this node needs them: all of
/// them while it reads the store, and otherwise those that the followed node
/// passes on. Those of partitions that this node holds are in its pool.
#ifndef JT_NODE_CATALOG_H
#define JT_NODE_CATALOG_H

#include "node/node.h"

/// A target that the platform lists.
typedef struct catalog_target {
    struct catalog_target *next;
    struct catalog_target *prev;
    pool_target_info_t info;
    dc_group_t *group;
    uint64_t list_number;     ///< of the last list that had it
    int64_t missing_since_ns; ///< 0: its record exists
} catalog_target_t;

/// @return the group of a data centre; NULL if the settings do not list it
dc_group_t *catalog_find_group(node_t *node, const char *dc);

/// Sets the number of targets that the platform lists in a data centre.
void catalog_set_count(node_t *node, dc_group_t *group, uint32_t count);

/// Updates the pool after a change of the partitions that this node holds in a
/// data centre: adds the targets of held ones, and removes all others.
void catalog_update_pool(node_t *node, const dc_group_t *group,
                         int64_t now_ns);

/// Marks the targets of a data centre that the current list lacked as missing.
///
/// @param group  NULL for all data centres
void catalog_end_list(node_t *node, const dc_group_t *group);

/// Removes a target at once: the followed node has removed it.
void catalog_remove_target(node_t *node, const char *id);

/// Removes the targets of all data centres but one, which are no longer kept
/// up to date.
///
/// @param kept  NULL to remove all
void catalog_forget_targets(node_t *node, const dc_group_t *kept);

/// Removes the targets that have been missing for too long.
///
/// @return when to call it again
int64_t catalog_advance(node_t *node, int64_t now_ns);

#endif
