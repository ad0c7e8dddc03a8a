/// An open-loop load on fronts: jobs arrive at their times whether or not
/// earlier ones were answered.
#ifndef JT_LOAD_OPEN_LOOP_H
#define JT_LOAD_OPEN_LOOP_H

#include "load/histogram.h"
#include "load/workload.h"

enum { kLoadFronts = 16 };

/// A load.
typedef struct {
    workload_t workload;
    const char *fronts[kLoadFronts]; ///< base URLs
    uint32_t front_count;
    uint32_t team_count;     ///< teams t0, t1, ...
    uint32_t greedy_percent; ///< part of the jobs that team t0 submits
    uint32_t threads;
    uint64_t work_milli; ///< work offered, in 1/1000 of a fast slot
    uint64_t rate_milli; ///< jobs a second in 1/1000, where work_milli is 0
    uint64_t capacity_milli;
    uint32_t duration_ms;
    uint32_t burst_factor; ///< load in the middle tenth of the time
    uint64_t seed;
} load_t;

/// What came of it.
typedef struct {
    uint64_t jobs;
    uint64_t tasks;
    uint64_t complete;
    uint64_t complete_tasks;
    uint64_t failed;        ///< may have run
    uint64_t refused;       ///< proved not run
    uint64_t jobs_first;    ///< jobs of team t0
    uint64_t refused_first; ///< of the refused, those of team t0
    uint64_t cancelled;
    uint64_t broken;       ///< no whole answer
    histogram_t slowdown;  ///< response over ideal, in 1/1000
    histogram_t response;  ///< in microseconds
    histogram_t late_send; ///< microseconds that the tool itself was late
} load_result_t;

/// Runs a load to its end.
void open_loop_run(const load_t *load, load_result_t *result);

#endif
