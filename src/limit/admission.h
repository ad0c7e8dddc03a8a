/// Admission: whether a job is taken at all, decided before any start.
#ifndef JT_LIMIT_ADMISSION_H
#define JT_LIMIT_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

#include "generated/errors.h"

/// What is known when a job comes.
typedef struct {
    bool is_team_known;
    bool do_tasks_fit;      ///< some target could run each task
    uint32_t task_count;    ///< tasks of the job
    uint32_t waiting_count; ///< tasks that wait already
    uint32_t waiting_limit; ///< most tasks that may wait
    uint64_t slot_count;    ///< slots that serve the queue
    int64_t service_ns;     ///< mean time of a task; 0 where unknown
    int64_t left_ns;        ///< time left until the job's deadline
} admission_query_t;

/// Decides.
///
/// @return kErrorKindOk to take the job, or the kind of the refusal
error_kind_t admission_decide(const admission_query_t *query);

/// @return the time after which the queue would be empty
int64_t admission_backlog_ns(const admission_query_t *query);

#endif
