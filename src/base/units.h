/// Conversions between units of time.
#ifndef JT_BASE_UNITS_H
#define JT_BASE_UNITS_H

#include <stdint.h>

#define MS_TO_NS(ms) ((int64_t)(ms)*1000000)

#endif
