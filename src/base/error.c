#include "base/error.h"

#include <stdarg.h>
#include <stdio.h>

bool
error_set(error_info_t *err, error_kind_t kind, const char *format, ...)
{
    va_list args;
    va_start(args, format);
    err->kind = kind;
    vsnprintf(err->text, sizeof err->text, format, args);
    va_end(args);
    return false;
}
