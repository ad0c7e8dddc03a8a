/// A histogram with logarithmic buckets that are split into linear
/// sub-buckets, each about 1% wide.
#ifndef JT_LOAD_HISTOGRAM_H
#define JT_LOAD_HISTOGRAM_H

#include <stdint.h>

enum { kHistogramBuckets = 64 * 64 };

typedef struct {
    uint64_t counts[kHistogramBuckets];
    uint64_t total;
} histogram_t;

/// Adds a value.
void histogram_add(histogram_t *histogram, uint64_t value);

/// Adds all values of another histogram.
void histogram_merge(histogram_t *histogram, const histogram_t *other);

/// @param per_mille  quantile to read, in 1/1000
/// @return the lower bound of its bucket, 0 if the histogram is empty
uint64_t histogram_quantile(const histogram_t *histogram, uint32_t per_mille);

#endif
