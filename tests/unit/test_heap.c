/// Compares base/heap with a linear search, under random operations.
#include "base/heap.h"
#include "base/rng.h"
#include "support/suite.h"

enum { kNodeCount = 50, kStepCount = 20000 };

static void
test_random_operations(void)
{
    heap_t heap = {0};
    heap_node_t nodes[kNodeCount];
    rng_t rng = {.state = 5};
    for (uint32_t i = 0; i < kNodeCount; i++) {
        nodes[i] = (heap_node_t){.index = kHeapAbsent};
    }
    for (uint32_t step = 0; step < kStepCount; step++) {
        heap_node_t *node = &nodes[rng_below(&rng, kNodeCount)];
        if (rng_below(&rng, 3) == 0) {
            heap_remove(&heap, node);
        }
        else {
            heap_set(&heap, node, rng_below(&rng, 1000));
        }
        int64_t earliest_ns = INT64_MAX;
        for (uint32_t i = 0; i < kNodeCount; i++) {
            if (nodes[i].index != kHeapAbsent &&
                nodes[i].deadline_ns < earliest_ns) {
                earliest_ns = nodes[i].deadline_ns;
            }
        }
        heap_node_t *first = heap_first(&heap);
        CU_ASSERT_EQUAL_FATAL(first == NULL ? INT64_MAX : first->deadline_ns,
                              earliest_ns);
    }
    heap_clear(&heap);
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"random operations", test_random_operations}, CU_TEST_INFO_NULL};
    return suite_run("heap", tests);
}
