#include "codec/bounds.h"

enum { kTableFirst = 0xC0, kTableLast = 0xDF };

/// Layout of the value behind a type byte from 0xC0 to 0xDF.
typedef struct {
    uint8_t fixed_bytes;     ///< size of a fixed value
    uint8_t length_bytes;    ///< size of the length or count
    uint8_t items_per_count; ///< values per unit of the count; 0 if it is a
                             ///< length in bytes
    bool is_invalid;
} layout_t;

static const layout_t layouts[kTableLast - kTableFirst + 1] = {
    [0x00] = {0},                  // nil
    [0x01] = {.is_invalid = true}, // never used
    [0x02] = {0},                  // false
    [0x03] = {0},                  // true
    [0x04] = {.length_bytes = 1},  // bin
    [0x05] = {.length_bytes = 2},
    [0x06] = {.length_bytes = 4},
    [0x07] = {.fixed_bytes = 1, .length_bytes = 1}, // ext
    [0x08] = {.fixed_bytes = 1, .length_bytes = 2},
    [0x09] = {.fixed_bytes = 1, .length_bytes = 4},
    [0x0A] = {.fixed_bytes = 4}, // float
    [0x0B] = {.fixed_bytes = 8},
    [0x0C] = {.fixed_bytes = 1}, // unsigned
    [0x0D] = {.fixed_bytes = 2},
    [0x0E] = {.fixed_bytes = 4},
    [0x0F] = {.fixed_bytes = 8},
    [0x10] = {.fixed_bytes = 1}, // signed
    [0x11] = {.fixed_bytes = 2},
    [0x12] = {.fixed_bytes = 4},
    [0x13] = {.fixed_bytes = 8},
    [0x14] = {.fixed_bytes = 2}, // ext of a fixed size
    [0x15] = {.fixed_bytes = 3},
    [0x16] = {.fixed_bytes = 5},
    [0x17] = {.fixed_bytes = 9},
    [0x18] = {.fixed_bytes = 17},
    [0x19] = {.length_bytes = 1}, // str
    [0x1A] = {.length_bytes = 2},
    [0x1B] = {.length_bytes = 4},
    [0x1C] = {.length_bytes = 2, .items_per_count = 1}, // array
    [0x1D] = {.length_bytes = 4, .items_per_count = 1},
    [0x1E] = {.length_bytes = 2, .items_per_count = 2}, // map
    [0x1F] = {.length_bytes = 4, .items_per_count = 2},
};

/// What follows a header: bytes of this value, or values nested in it.
typedef struct {
    uint64_t size_bytes;
    uint64_t item_count;
} extent_t;

/// Decodes a header of a single byte, with its length or count, if it has one.
static extent_t
decode_short(uint8_t type)
{
    if (type >= 0x80 && type <= 0x8F) {
        return (extent_t){.item_count = (uint64_t)(type & 0x0F) * 2};
    }
    if (type >= 0x90 && type <= 0x9F) {
        return (extent_t){.item_count = type & 0x0F};
    }
    if (type >= 0xA0 && type <= 0xBF) {
        return (extent_t){.size_bytes = type & 0x1F};
    }
    return (extent_t){0};
}

/// Decodes a header whose type is in the table, with its length or count.
///
/// @return whether it is valid and complete
static bool
decode_from_table(bytes_t data, uint64_t *at, uint8_t type, extent_t *extent)
{
    const layout_t *layout = &layouts[type - kTableFirst];
    if (layout->is_invalid || data.size_bytes - *at < layout->length_bytes) {
        return false;
    }
    uint64_t length = 0;
    for (uint32_t i = 0; i < layout->length_bytes; i++) {
        length = length << 8 | data.data[(*at)++];
    }
    extent->size_bytes = layout->fixed_bytes;
    extent->item_count = length * layout->items_per_count;
    if (layout->items_per_count == 0) {
        extent->size_bytes += length;
    }
    return true;
}

bool
bounds_check(bytes_t data)
{
    uint64_t at = 0;
    uint64_t pending_count = 1; // values that are not decoded yet
    while (pending_count > 0) {
        if (at >= data.size_bytes) {
            return false;
        }
        uint8_t type = data.data[at++];
        extent_t extent = decode_short(type);
        if (type >= kTableFirst && type <= kTableLast &&
            !decode_from_table(data, &at, type, &extent)) {
            return false;
        }
        // Each pending value takes at least one byte.
        pending_count += extent.item_count - 1;
        if (extent.size_bytes > data.size_bytes - at ||
            pending_count > data.size_bytes - at - extent.size_bytes) {
            return false;
        }
        at += extent.size_bytes;
    }
    return true;
}
