#include "net/link_clock.h"

#include "runtime/clock.h"

enum {
    /// The least difference rises by this part of the time that passes, so
    /// that it follows clocks that drift apart.
    kDriftPermille = 1,
    kPermille = 1000
};

/// A larger number is no time in microseconds since a machine started.
#define MAX_STAMP_US (UINT64_C(1) << 52)

int64_t
link_clock_read_age_ns(link_clock_t *clock, uint64_t sent_us, int64_t now_ns)
{
    if (sent_us == 0 || sent_us > MAX_STAMP_US) {
        return 0;
    }
    int64_t offset_ns = now_ns - (int64_t)(sent_us * kNsPerUs);
    int64_t drift_ns =
        (now_ns - clock->updated_ns) / kPermille * kDriftPermille;
    if (!clock->is_known || offset_ns < clock->least_offset_ns + drift_ns) {
        clock->least_offset_ns = offset_ns;
    }
    else {
        clock->least_offset_ns += drift_ns;
    }
    clock->is_known = true;
    clock->updated_ns = now_ns;
    return offset_ns - clock->least_offset_ns;
}

uint64_t
link_clock_stamp_us(int64_t now_ns)
{
    return (uint64_t)now_ns / kNsPerUs;
}
