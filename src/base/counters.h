/// The counters of a process: atomics spread over stripes, so that threads
/// seldom share a cache line; and its gauges, each an atomic.
#ifndef JT_BASE_COUNTERS_H
#define JT_BASE_COUNTERS_H

#include <stdint.h>

#include "generated/counters.h"

/// Adds to a counter. Safe from any thread.
void counter_add(counter_t counter, uint64_t amount);

/// @return the sum of a counter over all threads
uint64_t counter_read(counter_t counter);

/// Sets a gauge. Safe from any thread.
void gauge_set(gauge_t gauge, uint64_t value);

/// @return what a gauge was last set to, 0 before
uint64_t gauge_read(gauge_t gauge);

#endif
