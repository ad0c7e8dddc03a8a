/// Estimates of run times, from the declared time of a task or the mean of its
/// kind, and the mean error of these estimates.
#ifndef JT_ROUTE_ESTIMATE_H
#define JT_ROUTE_ESTIMATE_H

#include <stdbool.h>
#include <stdint.h>

enum { kKindBuckets = 64 };

/// State of the estimates. Used by one thread only.
typedef struct {
    int64_t kind_ns[kKindBuckets]; ///< mean run time by hash of the kind; 0
                                   ///< if unknown
    int64_t mean_error_log2_milli; ///< mean absolute error of the estimates
} estimate_t;

/// @param declared_ms  run time that the caller declared; 0 for none
/// @return the expected run time of a task on a target of average speed; 0 if
///         unknown
int64_t estimate_run_time_ns(const estimate_t *estimate, const char *kind,
                             uint32_t declared_ms);

/// Updates the estimates with the run time of a completed try.
///
/// @param time_ratio_log2_milli  run time over expected run time
/// @param slowness_log2_milli    slowness of the try's target, which explains
///                               part of that ratio
void estimate_update(estimate_t *estimate, const char *kind, int64_t time_ns,
                     int64_t time_ratio_log2_milli,
                     int64_t slowness_log2_milli);

/// @return whether the mean error is small enough to use the estimates for
///         routing
bool estimate_is_trusted(const estimate_t *estimate);

#endif
