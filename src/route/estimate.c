#include "route/estimate.h"

#include <stdlib.h>

enum {
    kMeanWeight = 16,
    kNoiseWeight = 64,
    kTrustedMillibits = 600, ///< within half as much again
    kNsPerMs = 1000000
};

static uint32_t
bucket_of(const char *kind)
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
    return estimate->kind_ns[bucket_of(kind)];
}

void
estimate_update(estimate_t *estimate, const char *kind, int64_t time_ns,
                int64_t time_ratio_log2_milli, int64_t slowness_log2_milli)
{
    int64_t *mean_ns = &estimate->kind_ns[bucket_of(kind)];
    *mean_ns = *mean_ns == 0 ? time_ns
                             : *mean_ns + (time_ns - *mean_ns) / kMeanWeight;
    int64_t distance = llabs(time_ratio_log2_milli - slowness_log2_milli);
    estimate->mean_error_log2_milli +=
        (distance - estimate->mean_error_log2_milli) / kNoiseWeight;
}

bool
estimate_is_trusted(const estimate_t *estimate)
{
    return estimate->mean_error_log2_milli < kTrustedMillibits;
}
