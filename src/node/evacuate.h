/// Puts evacuations of data centres into force on this node: its pool starts
/// nothing on their targets, and its jobs go to owners of other targets.
#ifndef JT_NODE_EVACUATE_H
#define JT_NODE_EVACUATE_H

#include "node/node.h"

/// A data centre is evacuated. Loop thread only, as the functions below.
///
/// @return false if the settings have no such data centre
bool evacuate_put(node_t *node, const char *dc);

/// The record of a data centre's evacuation cannot be read.
void evacuate_keep(node_t *node, const char *dc);

/// The evacuation of a data centre is taken back.
void evacuate_remove(node_t *node, const char *dc);

/// A list of all evacuations begins, and ends. Until the first one has ended,
/// this node starts no task.
void evacuate_begin_list(node_t *node);
void evacuate_end_list(node_t *node);

#endif
