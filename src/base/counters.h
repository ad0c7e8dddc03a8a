/// The counters and gauges of a process. Counters are atomics that are spread
/// over stripes, so that threads seldom share a cache line; a gauge is a
/// single atomic.
#ifndef JT_BASE_COUNTERS_H
#define JT_BASE_COUNTERS_H

#include <stdint.h>

#include "generated/counters.h"

/// Adds to a counter. Safe from any thread.
void counter_add(counter_t counter, uint64_t amount);

/// @return the value of a counter, summed over all threads
uint64_t counter_read(counter_t counter);

/// Sets a gauge. Safe from any thread.
void gauge_set(gauge_t gauge, uint64_t value);

/// @return the value that a gauge was last set to; 0 if it never was
uint64_t gauge_read(gauge_t gauge);

#endif
