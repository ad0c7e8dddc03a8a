/// A binary min-heap of deadlines. The node lives in the owner's struct.
#ifndef JT_BASE_HEAP_H
#define JT_BASE_HEAP_H

#include <stdint.h>

enum { kHeapAbsent = UINT32_MAX };

/// A node: its deadline, and its place in the heap.
typedef struct {
    int64_t deadline_ns;
    uint32_t index; ///< kHeapAbsent when not in a heap
} heap_node_t;

typedef struct {
    heap_node_t **nodes;
    uint32_t count;
    uint32_t capacity;
} heap_t;

/// Frees the array of a heap; the nodes belong to their owners.
void heap_clear(heap_t *heap);

/// Puts a node into the heap or moves it to a new deadline.
void heap_set(heap_t *heap, heap_node_t *node, int64_t deadline_ns);

/// Takes a node out; one that is in no heap is left alone.
void heap_remove(heap_t *heap, heap_node_t *node);

/// @return the node with the least deadline, or NULL
heap_node_t *heap_first(const heap_t *heap);

#endif
