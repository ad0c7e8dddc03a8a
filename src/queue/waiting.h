/// Waiting tasks of one shard. Tasks with the same needs form a class; in a
/// class, jobs take turns by a policy from a table. Nothing is bound to a
/// target before a slot is free.
#ifndef JT_QUEUE_WAITING_H
#define JT_QUEUE_WAITING_H

#include <stdbool.h>
#include <stdint.h>

#include "base/heap.h"
#include "generated/documents.h"
#include "generated/settings.h"

enum { kPriorityCount = 3 };

typedef struct waiting waiting_t;
typedef struct waiting_class waiting_class_t;

/// The waiting tasks that one job has in one class. Part of the shell's job.
typedef struct waiting_part {
    heap_node_t node;
    waiting_class_t *group;
    struct waiting_part *next_of_job; ///< list of the job's parts
    const needs_t *needs;
    void *job;
    int64_t since_ns; ///< when the job came
    uint32_t priority;
    uint32_t *tasks; ///< places of waiting tasks, room for all of the class
    uint32_t task_count;
    uint32_t first;
} waiting_part_t;

/// A policy: the order of parts in a class. The part with the least key is
/// next.
typedef struct {
    const char *name;
    int64_t (*key)(const waiting_part_t *part, int64_t turn);
} ordering_ops_t;

extern const ordering_ops_t ordering_table[kOrderingCount];

waiting_t *waiting_create(ordering_t ordering);

void waiting_destroy(waiting_t *waiting);

/// Prepares a part that is in no class.
///
/// @param tasks  room for task_count places, filled in by the caller
void waiting_part_init(waiting_part_t *part, const needs_t *needs, void *job,
                       int64_t since_ns, uint32_t priority, uint32_t *tasks,
                       uint32_t task_count);

/// Puts a part with at least one waiting task into the class of its needs.
void waiting_put(waiting_t *waiting, waiting_part_t *part);

/// Adds a task to a part, which may be in its class or not.
void waiting_put_task(waiting_t *waiting, waiting_part_t *part, uint32_t task);

/// Takes a part with all its tasks out.
void waiting_drop(waiting_t *waiting, waiting_part_t *part);

/// @return the part whose turn it is in a class, or NULL
waiting_part_t *waiting_first(const waiting_class_t *group);

/// Takes the next task of the part whose turn it is.
uint32_t waiting_take(waiting_t *waiting, waiting_part_t *part);

/// Classes that have waiting tasks, for a round over them.
waiting_class_t *waiting_first_class(const waiting_t *waiting);
waiting_class_t *waiting_next_class(const waiting_class_t *group);

/// Frees the classes that have no waiting task. Not during a round.
void waiting_sweep(waiting_t *waiting);

/// @return the number of waiting tasks
uint32_t waiting_count(const waiting_t *waiting);

#endif
