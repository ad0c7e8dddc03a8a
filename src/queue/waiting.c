#include "queue/task_queue.h"

#include <stddef.h>
#include <stdlib.h>

enum { kNsPerWaitingTask = 1000000 };

struct waiting_class {
    needs_t needs;
    heap_t parts[kPriorityCount];
    uint32_t part_count;
    task_class_t *next;
    task_class_t *prev;
};

struct waiting {
    const ordering_ops_t *ordering;
    task_class_t *classes;
    uint32_t task_count;
    int64_t turn;
};

/// First job first.
static int64_t
key_fifo(const job_part_t *part, int64_t turn)
{
    (void)turn;
    return part->since_ns;
}

/// Least recently served job first.
static int64_t
key_round_robin(const job_part_t *part, int64_t turn)
{
    (void)part;
    return turn;
}

/// Fewest waiting tasks first; an old job outruns a small new one in time.
static int64_t
key_fewest_left(const job_part_t *part, int64_t turn)
{
    (void)turn;
    return part->since_ns +
           (int64_t)(part->task_count - part->first) * kNsPerWaitingTask;
}

const ordering_ops_t ordering_table[kOrderingCount] = {
    [kOrderingFifo] = {.name = "fifo", .key = key_fifo},
    [kOrderingRoundRobin] = {.name = "round_robin", .key = key_round_robin},
    [kOrderingFewestLeft] = {.name = "fewest_left", .key = key_fewest_left},
};

task_queue_t *
task_queue_create(ordering_t ordering)
{
    task_queue_t *waiting = calloc(1, sizeof *waiting);
    waiting->ordering = &ordering_table[ordering];
    return waiting;
}

static void
free_class(task_queue_t *waiting, task_class_t *group)
{
    if (group->prev != NULL) {
        group->prev->next = group->next;
    }
    else {
        waiting->classes = group->next;
    }
    if (group->next != NULL) {
        group->next->prev = group->prev;
    }
    for (uint32_t i = 0; i < kPriorityCount; i++) {
        heap_clear(&group->parts[i]);
    }
    free(group);
}

void
task_queue_destroy(task_queue_t *waiting)
{
    task_class_t *group = waiting->classes;
    while (group != NULL) {
        task_class_t *next = group->next;
        free_class(waiting, group);
        group = next;
    }
    free(waiting);
}

static bool
needs_equal(const needs_t *left, const needs_t *right)
{
    return left->processors == right->processors &&
           left->memory_mb == right->memory_mb &&
           left->accelerators == right->accelerators;
}

/// Finds the class of some needs or makes it.
static task_class_t *
open_class(task_queue_t *waiting, const needs_t *needs)
{
    for (task_class_t *group = waiting->classes; group != NULL;
         group = group->next) {
        if (needs_equal(&group->needs, needs)) {
            return group;
        }
    }
    task_class_t *group = calloc(1, sizeof *group);
    group->needs = *needs;
    group->next = waiting->classes;
    if (group->next != NULL) {
        group->next->prev = group;
    }
    waiting->classes = group;
    return group;
}

static bool
is_queued(const job_part_t *part)
{
    return part->node.index != kHeapAbsent;
}

static void
place_part(task_queue_t *waiting, job_part_t *part)
{
    heap_set(&part->group->parts[part->priority], &part->node,
             waiting->ordering->key(part, waiting->turn));
}

/// Takes a part out of its class.
static void
remove_part(job_part_t *part)
{
    task_class_t *group = part->group;
    heap_remove(&group->parts[part->priority], &part->node);
    part->group = NULL;
    group->part_count--;
}

void
task_queue_free_empty_classes(task_queue_t *waiting)
{
    task_class_t *group = waiting->classes;
    while (group != NULL) {
        task_class_t *next = group->next;
        if (group->part_count == 0) {
            free_class(waiting, group);
        }
        group = next;
    }
}

void
job_part_init(job_part_t *part, const needs_t *needs, void *job,
              int64_t since_ns, uint32_t priority, uint32_t *tasks,
              uint32_t task_count)
{
    *part = (job_part_t){.node = {.index = kHeapAbsent},
                         .needs = needs,
                         .job = job,
                         .since_ns = since_ns,
                         .priority = priority,
                         .tasks = tasks,
                         .task_count = task_count};
}

void
task_queue_add(task_queue_t *waiting, job_part_t *part)
{
    part->group = open_class(waiting, part->needs);
    part->group->part_count++;
    waiting->task_count += part->task_count - part->first;
    place_part(waiting, part);
}

void
task_queue_requeue_task(task_queue_t *waiting, job_part_t *part, uint32_t task)
{
    if (!is_queued(part)) {
        part->first = 0;
        part->task_count = 1;
        part->tasks[0] = task;
        task_queue_add(waiting, part);
        return;
    }
    // A task that comes back was taken before, so one end has room.
    if (part->first > 0) {
        part->first--;
        part->tasks[part->first] = task;
    }
    else {
        part->tasks[part->task_count++] = task;
    }
    waiting->task_count++;
    place_part(waiting, part);
}

void
task_queue_remove(task_queue_t *waiting, job_part_t *part)
{
    if (!is_queued(part)) {
        return;
    }
    waiting->task_count -= part->task_count - part->first;
    part->first = part->task_count;
    remove_part(part);
}

job_part_t *
task_class_first_part(const task_class_t *group)
{
    for (uint32_t i = 0; i < kPriorityCount; i++) {
        heap_node_t *node = heap_first(&group->parts[i]);
        if (node != NULL) {
            return (job_part_t *)((char *)node - offsetof(job_part_t, node));
        }
    }
    return NULL;
}

uint32_t
task_queue_take(task_queue_t *waiting, job_part_t *part)
{
    uint32_t task = part->tasks[part->first++];
    waiting->task_count--;
    waiting->turn++;
    if (part->first == part->task_count) {
        remove_part(part);
    }
    else {
        place_part(waiting, part);
    }
    return task;
}

task_class_t *
task_queue_first_class(const task_queue_t *waiting)
{
    return waiting->classes;
}

task_class_t *
task_class_next(const task_class_t *group)
{
    return group->next;
}

uint32_t
waiting_count(const task_queue_t *waiting)
{
    return waiting->task_count;
}
