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
    kBurstLines = 2000, ///< after a quiet time
    kLineCostNs = 1000000000 / kLinesPerS
};

static const char *log_program = "jt";
static _Atomic int64_t log_paid_ns; ///< when all lines so far are paid for

void
log_open(const char *program)
{
    log_program = program;
}

/// Charges a line to the rate (generic cell rate algorithm).
///
/// @return whether the rate allows it
static bool
take_leave(void)
{
    int64_t now_ns = clock_now_ns();
    int64_t paid_ns = atomic_load(&log_paid_ns);
    for (;;) {
        int64_t base_ns = paid_ns > now_ns ? paid_ns : now_ns;
        if (base_ns - now_ns > (int64_t)kBurstLines * kLineCostNs) {
            return false;
        }
        if (atomic_compare_exchange_weak(&log_paid_ns, &paid_ns,
                                         base_ns + kLineCostNs)) {
            return true;
        }
    }
}

/// @return whether the output takes a line without waiting
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
    if (!take_leave() || !is_writable()) {
        counter_add(kCounterLogLinesDropped, 1);
        return;
    }
    apr_time_exp_t now;
    apr_time_exp_gmt(&now, apr_time_now());
    int32_t used = snprintf(
        line, sizeof line,
        "time=%04d-%02d-%02dT%02d:%02d:%02d.%03dZ program=%s event=%s ",
        now.tm_year + 1900, now.tm_mon + 1, now.tm_mday, now.tm_hour,
        now.tm_min, now.tm_sec, now.tm_usec / 1000, log_program, event);
    va_list args;
    va_start(args, format);
    int32_t pairs =
        vsnprintf(line + used, sizeof line - (size_t)used - 1, format, args);
    va_end(args);
    int32_t room = (int32_t)sizeof line - used - 2;
    used += pairs < room ? pairs : room;
    line[used++] = '\n';
    if (write(STDOUT_FILENO, line, (size_t)used) != used) {
        counter_add(kCounterLogLinesDropped, 1);
    }
}
