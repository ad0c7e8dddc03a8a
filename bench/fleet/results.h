/// What the callers of a run have seen.
#ifndef JT_BENCH_FLEET_RESULTS_H
#define JT_BENCH_FLEET_RESULTS_H

#include "fleet.h"

/// Prints one line: for each kind the share of its value that was earned, and
/// the shares of jobs in time (i), late (l), refused (r, with the mean time
/// until then in ms) and failed (f); then the sums and the use of cores.
void results_print(const fleet_t *fleet);

/// Prints one line for each kind, with the bound.
void results_print_csv(const fleet_t *fleet);

/// Prints what callers saw before, during and after the fault.
void results_print_fault(const fleet_t *fleet);

/// @return the least share of any kind's jobs that were answered in time
double results_least_in_time(const fleet_t *fleet);

#endif
