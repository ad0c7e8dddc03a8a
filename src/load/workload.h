/// Random jobs of a load, drawn from a seeded generator.
#ifndef JT_LOAD_WORKLOAD_H
#define JT_LOAD_WORKLOAD_H

#include <stdbool.h>
#include <stdint.h>

#include "base/rng.h"

enum { kWorkloadMaxTasks = 520 };

/// Distribution of the jobs of a load.
typedef struct {
    uint32_t min_tasks;
    uint32_t max_tasks; ///< task counts are log-uniform
    uint32_t min_ms;
    uint32_t max_ms;                ///< run times are log-uniform, too
    uint32_t long_per_mille;        ///< tasks that run for 2 to 4 s
    uint32_t declared_error_factor; ///< largest error of declared run times
    uint32_t unplaceable_per_mille; ///< jobs that no target can run
    uint32_t cancel_per_mille;      ///< jobs cancelled while they run
    uint32_t deadline_ms;
} workload_t;

/// One job.
typedef struct {
    uint32_t task_count;
    uint32_t task_ms[kWorkloadMaxTasks];
    uint32_t declared_ms[kWorkloadMaxTasks];
    uint64_t work_ms;    ///< sum of the run times
    uint32_t longest_ms; ///< longest run time
    bool is_unplaceable;
    bool is_cancelled;
} workload_job_t;

/// Draws a job.
void workload_draw_job(const workload_t *workload, rng_t *rng,
                       workload_job_t *job);

/// @return mean work of a job, in microseconds on a slot of the fastest target
uint64_t workload_mean_work_us(const workload_t *workload);

/// @return the time until the next job, drawn from an exponential distribution
int64_t workload_draw_interarrival_ns(rng_t *rng, double mean_ns);

/// Lower bound on the response time of a job: its longest task on the fastest
/// target, or its work spread over all slots, whichever is longer.
///
/// @param capacity_milli  sum of the speeds of all slots, in 1/1000 of a slot
///                        of the fastest target
int64_t workload_ideal_ns(const workload_job_t *job, uint64_t capacity_milli);

#endif
