/// Tests of queue/waiting.
#include "queue/task_queue.h"
#include "support/suite.h"

enum { kBigTasks = 5 };

static const needs_t small = {.processors = 1};
static const needs_t large = {.processors = 8};

static void
init_part(job_part_t *part, const needs_t *needs, int64_t since_ns,
          uint32_t priority, uint32_t *places, uint32_t count)
{
    for (uint32_t i = 0; i < count; i++) {
        places[i] = i;
    }
    job_part_init(part, needs, part, since_ns, priority, places, count);
}

/// A job of one task does not wait for the whole of a large one.
static void
test_round_robin(void)
{
    task_queue_t *waiting = task_queue_create(kOrderingRoundRobin);
    job_part_t big;
    job_part_t quote;
    uint32_t big_places[kBigTasks];
    uint32_t quote_places[1];
    init_part(&big, &small, 1, 1, big_places, kBigTasks);
    init_part(&quote, &small, 2, 1, quote_places, 1);
    task_queue_add(waiting, &big);
    task_queue_add(waiting, &quote);
    task_class_t *group = task_queue_first_class(waiting);
    CU_ASSERT_PTR_EQUAL(task_class_first_part(group), &big);
    task_queue_take(waiting, &big);
    CU_ASSERT_PTR_EQUAL(task_class_first_part(group), &quote);
    task_queue_take(waiting, &quote);
    CU_ASSERT_PTR_EQUAL(task_class_first_part(group), &big);
    CU_ASSERT_EQUAL(waiting_count(waiting), kBigTasks - 1);
    task_queue_remove(waiting, &big);
    task_queue_free_empty_classes(waiting);
    CU_ASSERT_PTR_NULL(task_queue_first_class(waiting));
    task_queue_destroy(waiting);
}

static void
test_fifo_and_priority(void)
{
    task_queue_t *waiting = task_queue_create(kOrderingFifo);
    job_part_t first;
    job_part_t urgent;
    uint32_t first_places[2];
    uint32_t urgent_places[1];
    init_part(&first, &small, 1, 1, first_places, 2);
    init_part(&urgent, &small, 2, 0, urgent_places, 1);
    task_queue_add(waiting, &first);
    task_queue_add(waiting, &urgent);
    task_class_t *group = task_queue_first_class(waiting);
    CU_ASSERT_PTR_EQUAL(task_class_first_part(group), &urgent);
    task_queue_take(waiting, &urgent);
    task_queue_take(waiting, &first);
    CU_ASSERT_PTR_EQUAL(task_class_first_part(group), &first);
    task_queue_destroy(waiting);
}

/// Tasks come back in any order, to a part that is queued or not.
static void
test_come_back(void)
{
    task_queue_t *waiting = task_queue_create(kOrderingRoundRobin);
    job_part_t part;
    uint32_t places[3];
    init_part(&part, &small, 1, 1, places, 3);
    task_queue_add(waiting, &part);
    for (uint32_t i = 0; i < 3; i++) {
        task_queue_take(waiting, &part);
    }
    CU_ASSERT_EQUAL(waiting_count(waiting), 0);
    task_queue_requeue_task(waiting, &part, 2);
    task_queue_requeue_task(waiting, &part, 0);
    task_queue_requeue_task(waiting, &part, 1);
    uint32_t seen = 0;
    for (uint32_t i = 0; i < 3; i++) {
        seen |= 1u << task_queue_take(waiting, &part);
    }
    CU_ASSERT_EQUAL(seen, 7);
    task_queue_destroy(waiting);
}

static void
test_classes(void)
{
    task_queue_t *waiting = task_queue_create(kOrderingRoundRobin);
    job_part_t parts[2];
    uint32_t places[2][1];
    init_part(&parts[0], &small, 1, 1, places[0], 1);
    init_part(&parts[1], &large, 1, 1, places[1], 1);
    task_queue_add(waiting, &parts[0]);
    task_queue_add(waiting, &parts[1]);
    task_class_t *group = task_queue_first_class(waiting);
    CU_ASSERT_PTR_NOT_NULL_FATAL(task_class_next(group));
    CU_ASSERT_PTR_NULL(task_class_next(task_class_next(group)));
    task_queue_destroy(waiting);
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
