/// The monotonic clock of the machine, which also counts the time that the
/// machine was suspended. Decisions take the time as an
/// argument; only shells call this.
#ifndef JT_SHELL_CLOCK_H
#define JT_SHELL_CLOCK_H

#include <stdint.h>

enum { kNsPerMs = 1000000, kNsPerUs = 1000 };
#define NS_PER_S INT64_C(1000000000)

/// @return nanoseconds of the monotonic clock
int64_t clock_now_ns(void);

/// @return the point `left_ms` from now
int64_t clock_deadline_ns(uint64_t left_ms);

/// @return milliseconds left until a deadline, rounded up; 0 when passed
uint32_t clock_left_ms(int64_t deadline_ns);

#endif
