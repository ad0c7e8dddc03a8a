/// A check of msgpack data before it is unpacked. msgpack-c makes room for as
/// many items as a header claims, so that a frame of a few bytes could ask
/// for gigabytes.
#ifndef JT_CODEC_BOUNDS_H
#define JT_CODEC_BOUNDS_H

#include <stdbool.h>

#include "base/record.h"

/// @return whether the data starts with one whole value whose lengths and
///         counts all fit into it
bool bounds_check(bytes_t data);

#endif
