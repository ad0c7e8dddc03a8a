/// Tests of base/heap against a plain search.
#include "base/heap.h"
#include "base/rng.h"
#include "support/suite.h"

enum { kNodes = 50, kSteps = 20000 };

static void
test_random_use(void)
{
    heap_t heap = {0};
    heap_node_t nodes[kNodes];
    rng_t rng = {.state = 5};
    for (uint32_t i = 0; i < kNodes; i++) {
        nodes[i] = (heap_node_t){.index = kHeapAbsent};
    }
    for (uint32_t step = 0; step < kSteps; step++) {
        heap_node_t *node = &nodes[rng_below(&rng, kNodes)];
        if (rng_below(&rng, 3) == 0) {
            heap_remove(&heap, node);
        }
        else {
            heap_set(&heap, node, rng_below(&rng, 1000));
        }
        int64_t least_ns = INT64_MAX;
        for (uint32_t i = 0; i < kNodes; i++) {
            if (nodes[i].index != kHeapAbsent &&
                nodes[i].deadline_ns < least_ns) {
                least_ns = nodes[i].deadline_ns;
            }
        }
        heap_node_t *first = heap_first(&heap);
        CU_ASSERT_EQUAL_FATAL(first == NULL ? INT64_MAX : first->deadline_ns,
                              least_ns);
    }
    heap_clear(&heap);
}

int
main(void)
{
    static const CU_TestInfo tests[] = {{"random use", test_random_use},
                                        CU_TEST_INFO_NULL};
    return suite_run("heap", tests);
}
