/// Checks JSON text before it is decoded: each value of the text takes memory
/// in the decoder that its size does not show.
#ifndef JT_CODEC_JSON_BOUNDS_H
#define JT_CODEC_JSON_BOUNDS_H

#include "base/record.h"

/// @return an upper bound of the number of values in a text, from the
///         characters outside strings that begin or separate them
uint32_t json_bounds_count_values(bytes_t text);

#endif
