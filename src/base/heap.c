#include "base/heap.h"

#include <stdlib.h>

static void
put(heap_t *heap, uint32_t index, heap_node_t *node)
{
    heap->nodes[index] = node;
    node->index = index;
}

static void
sift_up(heap_t *heap, uint32_t index, heap_node_t *node)
{
    while (index > 0) {
        uint32_t parent = (index - 1) / 2;
        if (heap->nodes[parent]->deadline_ns <= node->deadline_ns) {
            break;
        }
        put(heap, index, heap->nodes[parent]);
        index = parent;
    }
    put(heap, index, node);
}

static void
sift_down(heap_t *heap, uint32_t index, heap_node_t *node)
{
    for (;;) {
        uint32_t child = index * 2 + 1;
        if (child >= heap->count) {
            break;
        }
        if (child + 1 < heap->count && heap->nodes[child + 1]->deadline_ns <
                                           heap->nodes[child]->deadline_ns) {
            child++;
        }
        if (heap->nodes[child]->deadline_ns >= node->deadline_ns) {
            break;
        }
        put(heap, index, heap->nodes[child]);
        index = child;
    }
    put(heap, index, node);
}

/// Places a node whose deadline may be out of order at `place`.
static void
settle(heap_t *heap, uint32_t index, heap_node_t *node)
{
    sift_up(heap, index, node);
    sift_down(heap, node->index, node);
}

void
heap_clear(heap_t *heap)
{
    free(heap->nodes);
    *heap = (heap_t){0};
}

void
heap_set(heap_t *heap, heap_node_t *node, int64_t deadline_ns)
{
    node->deadline_ns = deadline_ns;
    if (node->index != kHeapAbsent) {
        settle(heap, node->index, node);
        return;
    }
    if (heap->count == heap->capacity) {
        heap->capacity = heap->capacity == 0 ? 64 : heap->capacity * 2;
        heap->nodes =
            realloc(heap->nodes, heap->capacity * sizeof(heap_node_t *));
        if (heap->nodes == NULL) {
            abort();
        }
    }
    heap->count++;
    settle(heap, heap->count - 1, node);
}

void
heap_remove(heap_t *heap, heap_node_t *node)
{
    uint32_t index = node->index;
    if (index == kHeapAbsent) {
        return;
    }
    node->index = kHeapAbsent;
    heap->count--;
    heap_node_t *last = heap->nodes[heap->count];
    if (last != node) {
        settle(heap, index, last);
    }
}

heap_node_t *
heap_first(const heap_t *heap)
{
    return heap->count == 0 ? NULL : heap->nodes[0];
}
