/// Tests of queue/waiting.
#include "queue/waiting.h"
#include "support/suite.h"

enum { kBigTasks = 5 };

static const needs_t small = {.processors = 1};
static const needs_t large = {.processors = 8};

static void
init_part(waiting_part_t *part, const needs_t *needs, int64_t since_ns,
          uint32_t priority, uint32_t *places, uint32_t count)
{
    for (uint32_t i = 0; i < count; i++) {
        places[i] = i;
    }
    waiting_part_init(part, needs, part, since_ns, priority, places, count);
}

/// A job of one task does not wait for the whole of a large one.
static void
test_round_robin(void)
{
    waiting_t *waiting = waiting_create(kOrderingRoundRobin);
    waiting_part_t big;
    waiting_part_t quote;
    uint32_t big_places[kBigTasks];
    uint32_t quote_places[1];
    init_part(&big, &small, 1, 1, big_places, kBigTasks);
    init_part(&quote, &small, 2, 1, quote_places, 1);
    waiting_put(waiting, &big);
    waiting_put(waiting, &quote);
    waiting_class_t *group = waiting_first_class(waiting);
    CU_ASSERT_PTR_EQUAL(waiting_first(group), &big);
    waiting_take(waiting, &big);
    CU_ASSERT_PTR_EQUAL(waiting_first(group), &quote);
    waiting_take(waiting, &quote);
    CU_ASSERT_PTR_EQUAL(waiting_first(group), &big);
    CU_ASSERT_EQUAL(waiting_count(waiting), kBigTasks - 1);
    waiting_drop(waiting, &big);
    waiting_sweep(waiting);
    CU_ASSERT_PTR_NULL(waiting_first_class(waiting));
    waiting_destroy(waiting);
}

static void
test_fifo_and_priority(void)
{
    waiting_t *waiting = waiting_create(kOrderingFifo);
    waiting_part_t first;
    waiting_part_t urgent;
    uint32_t first_places[2];
    uint32_t urgent_places[1];
    init_part(&first, &small, 1, 1, first_places, 2);
    init_part(&urgent, &small, 2, 0, urgent_places, 1);
    waiting_put(waiting, &first);
    waiting_put(waiting, &urgent);
    waiting_class_t *group = waiting_first_class(waiting);
    CU_ASSERT_PTR_EQUAL(waiting_first(group), &urgent);
    waiting_take(waiting, &urgent);
    waiting_take(waiting, &first);
    CU_ASSERT_PTR_EQUAL(waiting_first(group), &first);
    waiting_destroy(waiting);
}

/// Tasks come back in any order, to a part that is queued or not.
static void
test_come_back(void)
{
    waiting_t *waiting = waiting_create(kOrderingRoundRobin);
    waiting_part_t part;
    uint32_t places[3];
    init_part(&part, &small, 1, 1, places, 3);
    waiting_put(waiting, &part);
    for (uint32_t i = 0; i < 3; i++) {
        waiting_take(waiting, &part);
    }
    CU_ASSERT_EQUAL(waiting_count(waiting), 0);
    waiting_put_task(waiting, &part, 2);
    waiting_put_task(waiting, &part, 0);
    waiting_put_task(waiting, &part, 1);
    uint32_t seen = 0;
    for (uint32_t i = 0; i < 3; i++) {
        seen |= 1u << waiting_take(waiting, &part);
    }
    CU_ASSERT_EQUAL(seen, 7);
    waiting_destroy(waiting);
}

static void
test_classes(void)
{
    waiting_t *waiting = waiting_create(kOrderingRoundRobin);
    waiting_part_t parts[2];
    uint32_t places[2][1];
    init_part(&parts[0], &small, 1, 1, places[0], 1);
    init_part(&parts[1], &large, 1, 1, places[1], 1);
    waiting_put(waiting, &parts[0]);
    waiting_put(waiting, &parts[1]);
    waiting_class_t *group = waiting_first_class(waiting);
    CU_ASSERT_PTR_NOT_NULL_FATAL(waiting_next_class(group));
    CU_ASSERT_PTR_NULL(waiting_next_class(waiting_next_class(group)));
    waiting_destroy(waiting);
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"round robin", test_round_robin},
        {"fifo and priority", test_fifo_and_priority},
        {"tasks come back", test_come_back},
        {"classes", test_classes},
        CU_TEST_INFO_NULL};
    return suite_run("waiting", tests);
}
