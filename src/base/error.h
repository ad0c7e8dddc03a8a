/// The error struct that is passed down to whatever may fail.
#ifndef JT_BASE_ERROR_H
#define JT_BASE_ERROR_H

#include <stdbool.h>

#include "generated/errors.h"

enum { kErrorTextBytes = 320 };

/// An error: its kind and what a person should read. kErrorKindOk is none.
typedef struct {
    error_kind_t kind;
    char text[kErrorTextBytes];
} error_info_t;

/// Sets an error.
///
/// @param err     error to set
/// @param kind    one of the closed list
/// @param format  printf format of the text
/// @return false, so that a caller can return it as its own result
bool error_set(error_info_t *err, error_kind_t kind, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

#endif
