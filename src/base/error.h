/// The error struct that a function which can fail sets for its caller.
#ifndef JT_BASE_ERROR_H
#define JT_BASE_ERROR_H

#include <stdbool.h>

#include "generated/errors.h"

enum { kErrorTextBytes = 320 };

/// An error: its kind, and a text for people. kErrorKindOk means no error.
typedef struct {
    error_kind_t kind;
    char text[kErrorTextBytes];
} error_info_t;

/// Sets an error.
///
/// @param err     error to set
/// @param kind    kind of the error, one of the closed list
/// @param format  printf format of the text
/// @return false, so that a caller can return it as its own result
bool error_set(error_info_t *err, error_kind_t kind, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

#endif
