/// Jobs that a load is made of, drawn from a seeded generator.
#ifndef JT_LOAD_WORKLOAD_H
#define JT_LOAD_WORKLOAD_H

#include <stdbool.h>
#include <stdint.h>

#include "base/rng.h"

enum { kWorkloadTasks = 520 };

/// What jobs look like.
typedef struct {
    uint32_t least_tasks;
    uint32_t most_tasks; ///< sizes are drawn evenly on a logarithmic scale
    uint32_t least_ms;
    uint32_t most_ms;        ///< task times likewise
    uint32_t long_per_mille; ///< tasks that take 2 to 4 s
    uint32_t wrong_factor;   ///< declared times are off by up to this factor
    uint32_t impossible_per_mille; ///< jobs that fit no target
    uint32_t cancel_per_mille;     ///< jobs that are cancelled in flight
    uint32_t deadline_ms;
} workload_t;

/// One job.
typedef struct {
    uint32_t task_count;
    uint32_t task_ms[kWorkloadTasks];
    uint32_t declared_ms[kWorkloadTasks];
    uint64_t work_ms;    ///< sum of the times
    uint32_t longest_ms; ///< longest of them
    bool is_impossible;
    bool is_cancelled;
} workload_job_t;

/// Draws a job.
void workload_draw(const workload_t *workload, rng_t *rng,
                   workload_job_t *job);

/// @return mean work of a job in microseconds of a fast slot
uint64_t workload_mean_us(const workload_t *workload);

/// @return a waiting time with an exponential distribution
int64_t workload_gap_ns(rng_t *rng, double mean_ns);

/// The least time in which a job can end: its longest task on the fastest
/// target, or all its work on all slots, whichever is longer.
///
/// @param capacity_milli  slots of all targets, each by its speed, in 1/1000
///                        of a slot of the fastest
int64_t workload_ideal_ns(const workload_job_t *job, uint64_t capacity_milli);

#endif
