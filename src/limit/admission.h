/// Admission control: decides whether a job is accepted, before any of its
/// tasks starts.
#ifndef JT_LIMIT_ADMISSION_H
#define JT_LIMIT_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

#include "generated/errors.h"

/// The state that the decision about a job is based on.
typedef struct {
    bool is_team_known;
    bool all_tasks_fit;     ///< each task fits on some target
    uint32_t task_count;    ///< number of tasks of the job
    uint32_t waiting_count; ///< number of tasks in the queue
    uint32_t waiting_limit; ///< maximum number of tasks in the queue
    uint64_t slot_count;    ///< number of slots that serve the queue
    int64_t service_ns;     ///< mean run time of a task; 0 if unknown
    int64_t left_ns;        ///< time left until the job's deadline
} admission_query_t;

/// Decides whether a job is accepted.
///
/// @return kErrorKindOk if it is, or the reason for the refusal
error_kind_t admission_decide(const admission_query_t *query);

/// @return the time that the slots take to process the queue; 0 without slots
int64_t admission_backlog_ns(const admission_query_t *query);

#endif
