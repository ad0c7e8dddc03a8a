/// The monotonic clock of the machine, including time while it is suspended.
/// Modules that make decisions take the time as an argument; only code that
/// does input or output reads the clock.
#ifndef JT_RUNTIME_CLOCK_H
#define JT_RUNTIME_CLOCK_H

#include <stdint.h>

enum { kNsPerMs = 1000000, kNsPerUs = 1000 };
#define NS_PER_S INT64_C(1000000000)

/// @return the current time of the monotonic clock in nanoseconds
int64_t clock_now_ns(void);

/// @return the time `delay_ms` from now
int64_t clock_deadline_ns(uint64_t delay_ms);

/// @return milliseconds until a deadline, rounded up; 0 once it has passed
uint32_t clock_left_ms(int64_t deadline_ns);

#endif
