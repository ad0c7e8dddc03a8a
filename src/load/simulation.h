/// Simulation of a dispatcher: the queue, the routing and the targets on a
/// virtual clock, in one thread, without sockets or waits.
#ifndef JT_LOAD_SIMULATION_H
#define JT_LOAD_SIMULATION_H

#include "generated/settings.h"
#include "load/open_loop.h"

/// Simulated targets and the policies to use.
typedef struct {
    uint32_t target_count;
    uint32_t slots; ///< of each target
    /// Run time on the slowest target over that on the fastest.
    uint32_t spread;
    /// Tasks that take 10 times as long.
    uint32_t straggler_per_mille;
    routing_t routing;
    ordering_t ordering;
} simulation_t;

/// Simulates a load. Prints the number of task starts and the time spent on
/// each to standard error.
///
/// @param load  only workload, work_milli, rate_milli, capacity_milli,
///              duration_ms and seed are used
void simulation_run(const simulation_t *simulation, const load_t *load,
                    load_result_t *result);

#endif
