#include "queue/waiting.h"

#include <stddef.h>
#include <stdlib.h>

enum { kNsPerWaitingTask = 1000000 };

struct waiting_class {
    needs_t needs;
    heap_t parts[kPriorityCount];
    uint32_t part_count;
    waiting_class_t *next;
    waiting_class_t *prev;
};

struct waiting {
    const ordering_ops_t *ordering;
    waiting_class_t *classes;
    uint32_t task_count;
    int64_t turn;
};

/// First job first.
static int64_t
key_fifo(const waiting_part_t *part, int64_t turn)
{
    (void)turn;
    return part->since_ns;
}

/// Least recently served job first.
static int64_t
key_round_robin(const waiting_part_t *part, int64_t turn)
{
    (void)part;
    return turn;
}

/// Fewest waiting tasks first; an old job outruns a small new one in time.
static int64_t
key_fewest_left(const waiting_part_t *part, int64_t turn)
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

waiting_t *
waiting_create(ordering_t ordering)
{
    waiting_t *waiting = calloc(1, sizeof *waiting);
    waiting->ordering = &ordering_table[ordering];
    return waiting;
}

static void
free_class(waiting_t *waiting, waiting_class_t *group)
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
waiting_destroy(waiting_t *waiting)
{
    waiting_class_t *group = waiting->classes;
    while (group != NULL) {
        waiting_class_t *next = group->next;
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
static waiting_class_t *
open_class(waiting_t *waiting, const needs_t *needs)
{
    for (waiting_class_t *group = waiting->classes; group != NULL;
         group = group->next) {
        if (needs_equal(&group->needs, needs)) {
            return group;
        }
    }
    waiting_class_t *group = calloc(1, sizeof *group);
    group->needs = *needs;
    group->next = waiting->classes;
    if (group->next != NULL) {
        group->next->prev = group;
    }
    waiting->classes = group;
    return group;
}

static bool
is_queued(const waiting_part_t *part)
{
    return part->node.index != kHeapAbsent;
}

static void
place_part(waiting_t *waiting, waiting_part_t *part)
{
    heap_set(&part->group->parts[part->priority], &part->node,
             waiting->ordering->key(part, waiting->turn));
}

/// Takes a part out of its class.
static void
remove_part(waiting_part_t *part)
{
    waiting_class_t *group = part->group;
    heap_remove(&group->parts[part->priority], &part->node);
    part->group = NULL;
    group->part_count--;
}

void
waiting_sweep(waiting_t *waiting)
{
    waiting_class_t *group = waiting->classes;
    while (group != NULL) {
        waiting_class_t *next = group->next;
        if (group->part_count == 0) {
            free_class(waiting, group);
        }
        group = next;
    }
}

void
waiting_part_init(waiting_part_t *part, const needs_t *needs, void *job,
                  int64_t since_ns, uint32_t priority, uint32_t *tasks,
                  uint32_t task_count)
{
    *part = (waiting_part_t){.node = {.index = kHeapAbsent},
                             .needs = needs,
                             .job = job,
                             .since_ns = since_ns,
                             .priority = priority,
                             .tasks = tasks,
                             .task_count = task_count};
}

void
waiting_put(waiting_t *waiting, waiting_part_t *part)
{
    part->group = open_class(waiting, part->needs);
    part->group->part_count++;
    waiting->task_count += part->task_count - part->first;
    place_part(waiting, part);
}

void
waiting_put_task(waiting_t *waiting, waiting_part_t *part, uint32_t task)
{
    if (!is_queued(part)) {
        part->first = 0;
        part->task_count = 1;
        part->tasks[0] = task;
        waiting_put(waiting, part);
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
waiting_drop(waiting_t *waiting, waiting_part_t *part)
{
    if (!is_queued(part)) {
        return;
    }
    waiting->task_count -= part->task_count - part->first;
    part->first = part->task_count;
    remove_part(part);
}

waiting_part_t *
waiting_first(const waiting_class_t *group)
{
    for (uint32_t i = 0; i < kPriorityCount; i++) {
        heap_node_t *node = heap_first(&group->parts[i]);
        if (node != NULL) {
            return (waiting_part_t *)((char *)node -
                                      offsetof(waiting_part_t, node));
        }
    }
    return NULL;
}

uint32_t
waiting_take(waiting_t *waiting, waiting_part_t *part)
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

waiting_class_t *
waiting_first_class(const waiting_t *waiting)
{
    return waiting->classes;
}

waiting_class_t *
waiting_next_class(const waiting_class_t *group)
{
    return group->next;
}

uint32_t
waiting_count(const waiting_t *waiting)
{
    return waiting->task_count;
}
