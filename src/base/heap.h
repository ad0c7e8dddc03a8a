/// A binary min-heap of deadlines. Nodes are embedded in their owners'
/// structs.
#ifndef JT_BASE_HEAP_H
#define JT_BASE_HEAP_H

#include <stdint.h>

enum { kHeapAbsent = UINT32_MAX };

/// A node: its deadline and its index in the heap's array.
typedef struct {
    int64_t deadline_ns;
    uint32_t index; ///< kHeapAbsent when in no heap
} heap_node_t;

typedef struct {
    heap_node_t **nodes;
    uint32_t count;
    uint32_t capacity;
} heap_t;

/// Frees the array of a heap, not the nodes, which belong to their owners.
void heap_clear(heap_t *heap);

/// Adds a node to the heap or changes its deadline.
void heap_set(heap_t *heap, heap_node_t *node, int64_t deadline_ns);

/// Removes a node. Does nothing for one that is in no heap.
void heap_remove(heap_t *heap, heap_node_t *node);

/// @return the node with the earliest deadline, or NULL for an empty heap
heap_node_t *heap_first(const heap_t *heap);

#endif
