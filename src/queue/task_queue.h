/// Queue of the waiting tasks of one shard. Tasks with the same needs form a
/// class. Within a class, jobs are served by priority and then as an ordering
/// policy selects. A task is not assigned to a target before a slot is free.
#ifndef JT_QUEUE_TASK_QUEUE_H
#define JT_QUEUE_TASK_QUEUE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/heap.h"
#include "generated/documents.h"
#include "generated/settings.h"

enum { kPriorityCount = 3 };

typedef struct task_queue task_queue_t;
typedef struct task_class task_class_t;

/// The tasks of one job that belong to one class. Allocated by the owner of
/// the job. The waiting tasks are tasks[first] to tasks[task_count - 1].
typedef struct job_part {
    heap_node_t node;
    task_class_t *task_class;
    struct job_part *next_in_job; ///< list of the job's parts
    const needs_t *needs;
    void *job;
    int64_t arrived_ns; ///< when the job arrived
    uint32_t priority;  ///< 0 is served first
    uint32_t *tasks; ///< indexes in the job; array for all tasks of the part
    uint32_t task_count;
    uint32_t first;
} job_part_t;

/// An ordering policy. Of the parts of a class with the same priority, the one
/// with the lowest key is served next.
typedef struct {
    const char *name;
    int64_t (*key)(const job_part_t *part, int64_t taken_count);
} ordering_ops_t;

extern const ordering_ops_t ordering_table[kOrderingCount];

task_queue_t *task_queue_create(ordering_t ordering);

void task_queue_destroy(task_queue_t *queue);

/// Initializes a part that is not queued.
///
/// @param tasks  array for the indexes of all tasks of the part; the user sets
///               its first `task_count` elements
void job_part_init(job_part_t *part, const needs_t *needs, void *job,
                   int64_t arrived_ns, uint32_t priority, uint32_t *tasks,
                   uint32_t task_count);

/// Adds a part with at least one waiting task to the class of its needs.
void task_queue_add(task_queue_t *queue, job_part_t *part);

/// Puts a taken task back into its part. Adds the part to its class if the
/// part is not queued.
void task_queue_requeue_task(task_queue_t *queue, job_part_t *part,
                             uint32_t task);

/// Removes a part with all its waiting tasks. Does nothing if the part is not
/// queued.
void task_queue_remove(task_queue_t *queue, job_part_t *part);

/// @return the part of a class that is served next, or NULL
job_part_t *task_class_first_part(const task_class_t *task_class);

/// Takes the next task of a queued part.
///
/// @return the task's index in the job
uint32_t task_queue_take(task_queue_t *queue, job_part_t *part);

/// Iterates over the classes. A class may have no waiting task.
///
/// @return the first or next class, or NULL
task_class_t *task_queue_first_class(const task_queue_t *queue);
task_class_t *task_class_next(const task_class_t *task_class);

/// Frees the classes without waiting tasks. Must not be called while iterating
/// over the classes.
void task_queue_free_empty_classes(task_queue_t *queue);

/// @return the number of waiting tasks
uint32_t task_queue_length(const task_queue_t *queue);

#endif
