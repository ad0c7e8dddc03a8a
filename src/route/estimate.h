/// What run time to expect of a task: the declared one, or the mean of its
/// kind; and how far declared times can be trusted.
#ifndef JT_ROUTE_ESTIMATE_H
#define JT_ROUTE_ESTIMATE_H

#include <stdbool.h>
#include <stdint.h>

enum { kKindBuckets = 64 };

/// Kept by one thread.
typedef struct {
    int64_t kind_ns[kKindBuckets]; ///< mean time of kinds; 0 none
    int64_t mean_error_log2_milli; ///< mean distance of times from what was
                                   ///< expected
} estimate_t;

/// @return the run time to expect of a task on a middling target; 0 where
///         nothing is known
int64_t estimate_run_time_ns(const estimate_t *estimate, const char *kind,
                             uint32_t declared_ms);

/// Learns from a try that was done.
///
/// @param time_ratio_log2_milli    of its time over the expected one
/// @param slowness_log2_milli  of its target
void estimate_update(estimate_t *estimate, const char *kind, int64_t time_ns,
                     int64_t time_ratio_log2_milli,
                     int64_t slowness_log2_milli);

/// @return whether times come close enough to what is expected to plan by
bool estimate_is_trusted(const estimate_t *estimate);

#endif
