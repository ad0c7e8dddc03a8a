/// Open-loop load on fronts: jobs are submitted at their arrival times,
/// whether or not earlier ones were answered.
#ifndef JT_LOAD_OPEN_LOOP_H
#define JT_LOAD_OPEN_LOOP_H

#include "load/histogram.h"
#include "load/workload.h"

enum { kLoadMaxFronts = 16 };

/// Parameters of a run.
typedef struct {
    workload_t workload;
    const char *fronts[kLoadMaxFronts]; ///< base URLs
    uint32_t front_count;
    uint32_t team_count;         ///< teams are named t0, t1, ...
    uint32_t first_team_percent; ///< jobs of team t0 on top of its even share
    uint32_t threads;
    /// Offered work, in 1/1000 of a slot of the fastest target.
    uint64_t work_milli;
    uint64_t rate_milli; ///< jobs a second, in 1/1000; used if work_milli is 0
    uint64_t capacity_milli; ///< as for workload_ideal_ns
    uint32_t duration_ms;
    /// Factor on the rate for a tenth of the run, from its middle on.
    uint32_t burst_factor;
    uint64_t seed;
} load_t;

/// Result of a run.
typedef struct {
    uint64_t jobs;
    uint64_t tasks;
    uint64_t complete;
    uint64_t complete_tasks;
    uint64_t failed;             ///< answered as failed; tasks may have run
    uint64_t refused;            ///< answered as not run
    uint64_t first_team_jobs;    ///< jobs of team t0
    uint64_t first_team_refused; ///< refused jobs of team t0
    uint64_t cancelled;
    uint64_t unanswered;    ///< no id, or no complete answer
    histogram_t slowdown;   ///< response time over the ideal one, in 1/1000
    histogram_t response;   ///< response time, in microseconds
    histogram_t send_delay; ///< microseconds from arrival to submission
} load_result_t;

/// Submits a load to its fronts and waits for all answers.
void open_loop_run(const load_t *load, load_result_t *result);

#endif
