#include "runtime/log.h"

#include <apr_time.h>
#include <poll.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <unistd.h>

#include "base/counters.h"
#include "runtime/clock.h"

enum {
    kLineBytes = 1024,  ///< a line is written whole or not at all
    kLinesPerS = 500,   ///< a busy node logs about 100 lines a second
    kBurstLines = 2000, ///< that an idle logger accepts at once
    kLineIntervalNs = 1000000000 / kLinesPerS
};

static const char *log_program = "jt";
/// Theoretical arrival time of the next line (generic cell rate algorithm).
static _Atomic int64_t theoretical_arrival_ns;

void
log_open(const char *program)
{
    log_program = program;
}

/// Counts a line against the rate limit.
///
/// @return whether the limit allows the line
static bool
try_charge_line(void)
{
    int64_t now_ns = clock_now_ns();
    int64_t arrival_ns = atomic_load(&theoretical_arrival_ns);
    for (;;) {
        int64_t base_ns = arrival_ns > now_ns ? arrival_ns : now_ns;
        if (base_ns - now_ns > (int64_t)kBurstLines * kLineIntervalNs) {
            return false;
        }
        if (atomic_compare_exchange_weak(&theoretical_arrival_ns, &arrival_ns,
                                         base_ns + kLineIntervalNs)) {
            return true;
        }
    }
}

/// @return whether a line can be written without blocking
static bool
is_writable(void)
{
    struct pollfd out = {.fd = STDOUT_FILENO, .events = POLLOUT};
    return poll(&out, 1, 0) == 1 && (out.revents & POLLOUT) != 0;
}

void
log_event(const char *event, const char *format, ...)
{
    char line[kLineBytes];
    if (!try_charge_line() || !is_writable()) {
        counter_add(kCounterLogLinesDropped, 1);
        return;
    }
    apr_time_exp_t now;
    apr_time_exp_gmt(&now, apr_time_now());
    int32_t length = snprintf(
        line, sizeof line,
        "time=%04d-%02d-%02dT%02d:%02d:%02d.%03dZ program=%s event=%s ",
        now.tm_year + 1900, now.tm_mon + 1, now.tm_mday, now.tm_hour,
        now.tm_min, now.tm_sec, now.tm_usec / 1000, log_program, event);
    va_list args;
    va_start(args, format);
    int32_t pairs_length = vsnprintf(
        line + length, sizeof line - (size_t)length - 1, format, args);
    va_end(args);
    int32_t max_pairs_length = (int32_t)sizeof line - length - 2;
    length +=
        pairs_length < max_pairs_length ? pairs_length : max_pairs_length;
    line[length++] = '\n';
    if (write(STDOUT_FILENO, line, (size_t)length) != length) {
        counter_add(kCounterLogLinesDropped, 1);
    }
}
