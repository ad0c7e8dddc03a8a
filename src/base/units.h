/// Units of time.
#ifndef JT_BASE_UNITS_H
#define JT_BASE_UNITS_H

#include <stdint.h>

#define MS_TO_NS(ms) ((int64_t)(ms)*1000000)

/// @return the earlier of two times
static inline int64_t
min_ns(int64_t left_ns, int64_t right_ns)
{
    return left_ns < right_ns ? left_ns : right_ns;
}

#endif
