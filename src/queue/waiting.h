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

typedef struct waiting task_queue_t;
typedef struct waiting_class task_class_t;

/// The waiting tasks that one job has in one class. Part of the shell's job.
typedef struct waiting_part {
    heap_node_t node;
    task_class_t *group;
    struct waiting_part *next_in_job; ///< list of the job's parts
    const needs_t *needs;
    void *job;
    int64_t since_ns; ///< when the job came
    uint32_t priority;
    uint32_t *tasks; ///< places of waiting tasks, room for all of the class
    uint32_t task_count;
    uint32_t first;
} job_part_t;

/// A policy: the order of parts in a class. The part with the least key is
/// next.
typedef struct {
    const char *name;
    int64_t (*key)(const job_part_t *part, int64_t turn);
} ordering_ops_t;

extern const ordering_ops_t ordering_table[kOrderingCount];

task_queue_t *task_queue_create(ordering_t ordering);

void task_queue_destroy(task_queue_t *waiting);

/// Prepares a part that is in no class.
///
/// @param tasks  room for task_count places, filled in by the caller
void job_part_init(job_part_t *part, const needs_t *needs, void *job,
                   int64_t since_ns, uint32_t priority, uint32_t *tasks,
                   uint32_t task_count);

/// Puts a part with at least one waiting task into the class of its needs.
void task_queue_add(task_queue_t *waiting, job_part_t *part);

/// Adds a task to a part, which may be in its class or not.
void task_queue_requeue_task(task_queue_t *waiting, job_part_t *part,
                             uint32_t task);

/// Takes a part with all its tasks out.
void task_queue_remove(task_queue_t *waiting, job_part_t *part);

/// @return the part whose turn it is in a class, or NULL
job_part_t *task_class_first_part(const task_class_t *group);

/// Takes the next task of the part whose turn it is.
uint32_t task_queue_take(task_queue_t *waiting, job_part_t *part);

/// Classes that have waiting tasks, for a round over them.
task_class_t *task_queue_first_class(const task_queue_t *waiting);
task_class_t *task_class_next(const task_class_t *group);

/// Frees the classes that have no waiting task. Not during a round.
void task_queue_free_empty_classes(task_queue_t *waiting);

/// @return the number of waiting tasks
uint32_t waiting_count(const task_queue_t *waiting);

#endif
