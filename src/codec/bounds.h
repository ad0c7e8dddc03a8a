/// Validates the lengths in msgpack data before it is decoded. msgpack-c
/// allocates as many items as a header claims, so that a frame of a few bytes
/// could allocate gigabytes.
#ifndef JT_CODEC_BOUNDS_H
#define JT_CODEC_BOUNDS_H

#include <stdbool.h>

#include "base/record.h"

/// @return whether the data starts with one complete value, all of whose
///         lengths and counts fit into the data
bool bounds_check(bytes_t data);

#endif
