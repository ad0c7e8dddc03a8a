/// The counters of a process: atomics spread over stripes, so that threads
/// seldom share a cache line.
#ifndef JT_BASE_COUNTERS_H
#define JT_BASE_COUNTERS_H

#include <stdint.h>

#include "generated/counters.h"

/// Adds to a counter. Safe from any thread.
void counter_add(counter_t counter, uint64_t amount);

/// @return the sum of a counter over all threads
uint64_t counter_read(counter_t counter);

#endif
