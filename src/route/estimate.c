#include "route/estimate.h"

#include <stdlib.h>

enum {
    kMeanSamples = 16,  ///< a new sample has a weight of 1/16
    kErrorSamples = 64, ///< the same for the mean error, with 1/64
    kMaxTrustedErrorLog2Milli = 600, ///< a factor of about 1.5
    kNsPerMs = 1000000
};

/// @return the FNV-1a hash of a kind; kinds in one bucket share a mean
static uint32_t
kind_bucket(const char *kind)
{
    uint32_t hash = 2166136261u;
    for (; *kind != '\0'; kind++) {
        hash = (hash ^ (uint8_t)*kind) * 16777619u;
    }
    return (hash ^ hash >> 16) % kKindBuckets;
}

int64_t
estimate_run_time_ns(const estimate_t *estimate, const char *kind,
                     uint32_t declared_ms)
{
    if (declared_ms > 0) {
        return (int64_t)declared_ms * kNsPerMs;
    }
    return estimate->kind_ns[kind_bucket(kind)];
}

void
estimate_update(estimate_t *estimate, const char *kind, int64_t time_ns,
                int64_t time_ratio_log2_milli, int64_t slowness_log2_milli)
{
    int64_t *mean_ns = &estimate->kind_ns[kind_bucket(kind)];
    *mean_ns = *mean_ns == 0 ? time_ns
                             : *mean_ns + (time_ns - *mean_ns) / kMeanSamples;
    int64_t error_log2_milli =
        llabs(time_ratio_log2_milli - slowness_log2_milli);
    estimate->mean_error_log2_milli +=
        (error_log2_milli - estimate->mean_error_log2_milli) / kErrorSamples;
}

bool
estimate_is_trusted(const estimate_t *estimate)
{
    return estimate->mean_error_log2_milli < kMaxTrustedErrorLog2Milli;
}
