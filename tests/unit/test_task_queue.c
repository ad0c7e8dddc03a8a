/// Tests of queue/task_queue.
#include "queue/task_queue.h"
#include "support/suite.h"

enum { kBigTasks = 5 };

static const needs_t small = {.processors = 1};
static const needs_t large = {.processors = 8};

static void
init_part(job_part_t *part, const needs_t *needs, int64_t arrived_ns,
          uint32_t priority, uint32_t *places, uint32_t count)
{
    for (uint32_t i = 0; i < count; i++) {
        places[i] = i;
    }
    job_part_init(part, needs, part, arrived_ns, priority, places, count);
}

/// A job of one task does not wait until all tasks of a large job are taken.
static void
test_round_robin(void)
{
    task_queue_t *queue = task_queue_create(kOrderingRoundRobin);
    job_part_t big;
    job_part_t single;
    uint32_t big_places[kBigTasks];
    uint32_t single_places[1];
    init_part(&big, &small, 1, 1, big_places, kBigTasks);
    init_part(&single, &small, 2, 1, single_places, 1);
    task_queue_add(queue, &big);
    task_queue_add(queue, &single);
    task_class_t *task_class = task_queue_first_class(queue);
    CU_ASSERT_PTR_EQUAL(task_class_first_part(task_class), &big);
    task_queue_take(queue, &big);
    CU_ASSERT_PTR_EQUAL(task_class_first_part(task_class), &single);
    task_queue_take(queue, &single);
    CU_ASSERT_PTR_EQUAL(task_class_first_part(task_class), &big);
    CU_ASSERT_EQUAL(task_queue_length(queue), kBigTasks - 1);
    task_queue_remove(queue, &big);
    task_queue_free_empty_classes(queue);
    CU_ASSERT_PTR_NULL(task_queue_first_class(queue));
    task_queue_destroy(queue);
}

static void
test_fifo_and_priority(void)
{
    task_queue_t *queue = task_queue_create(kOrderingFifo);
    job_part_t first;
    job_part_t urgent;
    uint32_t first_places[2];
    uint32_t urgent_places[1];
    init_part(&first, &small, 1, 1, first_places, 2);
    init_part(&urgent, &small, 2, 0, urgent_places, 1);
    task_queue_add(queue, &first);
    task_queue_add(queue, &urgent);
    task_class_t *task_class = task_queue_first_class(queue);
    CU_ASSERT_PTR_EQUAL(task_class_first_part(task_class), &urgent);
    task_queue_take(queue, &urgent);
    task_queue_take(queue, &first);
    CU_ASSERT_PTR_EQUAL(task_class_first_part(task_class), &first);
    task_queue_destroy(queue);
}

/// Tasks can be requeued in any order, whether their part is queued or not.
static void
test_requeue(void)
{
    task_queue_t *queue = task_queue_create(kOrderingRoundRobin);
    job_part_t part;
    uint32_t places[3];
    init_part(&part, &small, 1, 1, places, 3);
    task_queue_add(queue, &part);
    for (uint32_t i = 0; i < 3; i++) {
        task_queue_take(queue, &part);
    }
    CU_ASSERT_EQUAL(task_queue_length(queue), 0);
    task_queue_requeue_task(queue, &part, 2);
    task_queue_requeue_task(queue, &part, 0);
    task_queue_requeue_task(queue, &part, 1);
    uint32_t seen = 0;
    for (uint32_t i = 0; i < 3; i++) {
        seen |= 1u << task_queue_take(queue, &part);
    }
    CU_ASSERT_EQUAL(seen, 7);
    task_queue_destroy(queue);
}

static void
test_classes(void)
{
    task_queue_t *queue = task_queue_create(kOrderingRoundRobin);
    job_part_t parts[2];
    uint32_t places[2][1];
    init_part(&parts[0], &small, 1, 1, places[0], 1);
    init_part(&parts[1], &large, 1, 1, places[1], 1);
    task_queue_add(queue, &parts[0]);
    task_queue_add(queue, &parts[1]);
    task_class_t *task_class = task_queue_first_class(queue);
    CU_ASSERT_PTR_NOT_NULL_FATAL(task_class_next(task_class));
    CU_ASSERT_PTR_NULL(task_class_next(task_class_next(task_class)));
    task_queue_destroy(queue);
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"round robin", test_round_robin},
        {"fifo and priority", test_fifo_and_priority},
        {"requeued tasks", test_requeue},
        {"classes", test_classes},
        CU_TEST_INFO_NULL};
    return suite_run("task queue", tests);
}
