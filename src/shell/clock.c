#include "runtime/clock.h"

#include <time.h>

int64_t
clock_now_ns(void)
{
    struct timespec now;
    clock_gettime(CLOCK_BOOTTIME, &now);
    return (int64_t)now.tv_sec * NS_PER_S + now.tv_nsec;
}

int64_t
clock_deadline_ns(uint64_t left_ms)
{
    return clock_now_ns() + (int64_t)left_ms * kNsPerMs;
}

uint32_t
clock_left_ms(int64_t deadline_ns)
{
    int64_t left_ns = deadline_ns - clock_now_ns();
    if (left_ns <= 0) {
        return 0;
    }
    int64_t left_ms = (left_ns + kNsPerMs - 1) / kNsPerMs;
    return left_ms > UINT32_MAX ? UINT32_MAX : (uint32_t)left_ms;
}
