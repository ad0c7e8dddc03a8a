#include "shell/log.h"

#include <apr_time.h>
#include <stdarg.h>
#include <stdio.h>

enum { kLineBytes = 1024 };

static const char *log_program = "jt";

void
log_open(const char *program)
{
    log_program = program;
}

void
log_event(const char *event, const char *format, ...)
{
    char pairs[kLineBytes];
    va_list args;
    va_start(args, format);
    vsnprintf(pairs, sizeof pairs, format, args);
    va_end(args);
    char stamp[APR_RFC822_DATE_LEN];
    apr_rfc822_date(stamp, apr_time_now());
    fprintf(stderr, "time=\"%s\" program=%s event=%s %s\n", stamp, log_program,
            event, pairs);
}
