#include "load/histogram.h"

enum { kSplitBits = 6, kSplit = 1 << kSplitBits };

static uint32_t
bucket_of(uint64_t value)
{
    if (value < kSplit) {
        return (uint32_t)value;
    }
    uint32_t top = 63 - (uint32_t)__builtin_clzll(value);
    uint32_t shift = top - kSplitBits;
    uint32_t place = (uint32_t)(value >> shift) - kSplit;
    return (shift + 1) * kSplit + place;
}

/// @return the least value of a bucket
static uint64_t
bucket_value(uint32_t bucket)
{
    if (bucket < kSplit) {
        return bucket;
    }
    uint32_t shift = bucket / kSplit - 1;
    return (uint64_t)(kSplit + bucket % kSplit) << shift;
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
    uint64_t goal = (histogram->total * per_mille + 999) / 1000;
    uint64_t seen = 0;
    for (uint32_t i = 0; i < kHistogramBuckets; i++) {
        seen += histogram->counts[i];
        if (seen >= goal && seen > 0) {
            return bucket_value(i);
        }
    }
    return 0;
}
