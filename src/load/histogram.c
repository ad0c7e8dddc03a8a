#include "load/histogram.h"

enum { kSubBucketBits = 6, kSubBuckets = 1 << kSubBucketBits };

static uint32_t
bucket_of(uint64_t value)
{
    if (value < kSubBuckets) {
        return (uint32_t)value;
    }
    uint32_t high_bit = 63 - (uint32_t)__builtin_clzll(value);
    uint32_t shift = high_bit - kSubBucketBits;
    uint32_t sub_bucket = (uint32_t)(value >> shift) - kSubBuckets;
    return (shift + 1) * kSubBuckets + sub_bucket;
}

/// @return the smallest value of a bucket
static uint64_t
bucket_lower_bound(uint32_t bucket)
{
    if (bucket < kSubBuckets) {
        return bucket;
    }
    uint32_t shift = bucket / kSubBuckets - 1;
    return (uint64_t)(kSubBuckets + bucket % kSubBuckets) << shift;
}

void
histogram_add(histogram_t *histogram, uint64_t value)
{
    histogram->counts[bucket_of(value)]++;
    histogram->total++;
}

void
histogram_merge(histogram_t *histogram, const histogram_t *other)
{
    for (uint32_t i = 0; i < kHistogramBuckets; i++) {
        histogram->counts[i] += other->counts[i];
    }
    histogram->total += other->total;
}

uint64_t
histogram_quantile(const histogram_t *histogram, uint32_t per_mille)
{
    uint64_t rank = (histogram->total * per_mille + 999) / 1000;
    uint64_t passed = 0;
    for (uint32_t i = 0; i < kHistogramBuckets; i++) {
        passed += histogram->counts[i];
        if (passed >= rank && passed > 0) {
            return bucket_lower_bound(i);
        }
    }
    return 0;
}
