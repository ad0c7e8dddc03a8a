#include "queue/task_queue.h"

#include <stddef.h>
#include <stdlib.h>

enum { kDelayNsPerTask = 1000000 };

struct task_class {
    needs_t needs;
    heap_t parts[kPriorityCount];
    uint32_t part_count;
    task_class_t *next;
    task_class_t *prev;
};

struct task_queue {
    const ordering_ops_t *ordering;
    task_class_t *classes;
    uint32_t task_count;
    int64_t taken_count; ///< tasks taken so far
};

/// Orders jobs by arrival time.
static int64_t
key_fifo(const job_part_t *part, int64_t taken_count)
{
    (void)taken_count;
    return part->arrived_ns;
}

/// Orders jobs by the time since they were served, the longest first.
static int64_t
key_round_robin(const job_part_t *part, int64_t taken_count)
{
    (void)part;
    return taken_count;
}

/// Orders jobs by the number of waiting tasks, the fewest first. Each waiting
/// task counts as if the job had arrived kDelayNsPerTask later, so that newer
/// small jobs cannot overtake a large one forever.
static int64_t
key_fewest_left(const job_part_t *part, int64_t taken_count)
{
    (void)taken_count;
    return part->arrived_ns +
           (int64_t)(part->task_count - part->first) * kDelayNsPerTask;
}

const ordering_ops_t ordering_table[kOrderingCount] = {
    [kOrderingFifo] = {.name = "fifo", .key = key_fifo},
    [kOrderingRoundRobin] = {.name = "round_robin", .key = key_round_robin},
    [kOrderingFewestLeft] = {.name = "fewest_left", .key = key_fewest_left},
};

task_queue_t *
task_queue_create(ordering_t ordering)
{
    task_queue_t *queue = calloc(1, sizeof *queue);
    queue->ordering = &ordering_table[ordering];
    return queue;
}

static void
free_class(task_queue_t *queue, task_class_t *task_class)
{
    if (task_class->prev != NULL) {
        task_class->prev->next = task_class->next;
    }
    else {
        queue->classes = task_class->next;
    }
    if (task_class->next != NULL) {
        task_class->next->prev = task_class->prev;
    }
    for (uint32_t i = 0; i < kPriorityCount; i++) {
        heap_clear(&task_class->parts[i]);
    }
    free(task_class);
}

void
task_queue_destroy(task_queue_t *queue)
{
    task_class_t *task_class = queue->classes;
    while (task_class != NULL) {
        task_class_t *next = task_class->next;
        free_class(queue, task_class);
        task_class = next;
    }
    free(queue);
}

static bool
needs_equal(const needs_t *left, const needs_t *right)
{
    return left->processors == right->processors &&
           left->memory_mb == right->memory_mb &&
           left->accelerators == right->accelerators;
}

/// @return the class of these needs, added if there is none
static task_class_t *
find_or_add_class(task_queue_t *queue, const needs_t *needs)
{
    for (task_class_t *task_class = queue->classes; task_class != NULL;
         task_class = task_class->next) {
        if (needs_equal(&task_class->needs, needs)) {
            return task_class;
        }
    }
    task_class_t *task_class = calloc(1, sizeof *task_class);
    task_class->needs = *needs;
    task_class->next = queue->classes;
    if (task_class->next != NULL) {
        task_class->next->prev = task_class;
    }
    queue->classes = task_class;
    return task_class;
}

static bool
is_queued(const job_part_t *part)
{
    return part->node.index != kHeapAbsent;
}

/// Adds a part to the heap of its priority, or updates its key there.
static void
update_key(task_queue_t *queue, job_part_t *part)
{
    heap_set(&part->task_class->parts[part->priority], &part->node,
             queue->ordering->key(part, queue->taken_count));
}

/// Removes a part from its class.
static void
remove_from_class(job_part_t *part)
{
    task_class_t *task_class = part->task_class;
    heap_remove(&task_class->parts[part->priority], &part->node);
    part->task_class = NULL;
    task_class->part_count--;
}

void
task_queue_free_empty_classes(task_queue_t *queue)
{
    task_class_t *task_class = queue->classes;
    while (task_class != NULL) {
        task_class_t *next = task_class->next;
        if (task_class->part_count == 0) {
            free_class(queue, task_class);
        }
        task_class = next;
    }
}

void
job_part_init(job_part_t *part, const needs_t *needs, void *job,
              int64_t arrived_ns, uint32_t priority, uint32_t *tasks,
              uint32_t task_count)
{
    *part = (job_part_t){.node = {.index = kHeapAbsent},
                         .needs = needs,
                         .job = job,
                         .arrived_ns = arrived_ns,
                         .priority = priority,
                         .tasks = tasks,
                         .task_count = task_count};
}

void
task_queue_add(task_queue_t *queue, job_part_t *part)
{
    part->task_class = find_or_add_class(queue, part->needs);
    part->task_class->part_count++;
    queue->task_count += part->task_count - part->first;
    update_key(queue, part);
}

void
task_queue_requeue_task(task_queue_t *queue, job_part_t *part, uint32_t task)
{
    if (!is_queued(part)) {
        part->first = 0;
        part->task_count = 1;
        part->tasks[0] = task;
        task_queue_add(queue, part);
        return;
    }
    // The task was taken before, so `tasks` has a free element at one end.
    if (part->first > 0) {
        part->first--;
        part->tasks[part->first] = task;
    }
    else {
        part->tasks[part->task_count++] = task;
    }
    queue->task_count++;
    update_key(queue, part);
}

void
task_queue_remove(task_queue_t *queue, job_part_t *part)
{
    if (!is_queued(part)) {
        return;
    }
    queue->task_count -= part->task_count - part->first;
    part->first = part->task_count;
    remove_from_class(part);
}

job_part_t *
task_class_first_part(const task_class_t *task_class)
{
    for (uint32_t i = 0; i < kPriorityCount; i++) {
        heap_node_t *node = heap_first(&task_class->parts[i]);
        if (node != NULL) {
            return (job_part_t *)((char *)node - offsetof(job_part_t, node));
        }
    }
    return NULL;
}

uint32_t
task_queue_take(task_queue_t *queue, job_part_t *part)
{
    uint32_t task = part->tasks[part->first++];
    queue->task_count--;
    queue->taken_count++;
    if (part->first == part->task_count) {
        remove_from_class(part);
    }
    else {
        update_key(queue, part);
    }
    return task;
}

task_class_t *
task_queue_first_class(const task_queue_t *queue)
{
    return queue->classes;
}

task_class_t *
task_class_next(const task_class_t *task_class)
{
    return task_class->next;
}

uint32_t
task_queue_length(const task_queue_t *queue)
{
    return queue->task_count;
}
