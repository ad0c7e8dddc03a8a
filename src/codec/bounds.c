#include "codec/bounds.h"

enum { kFirstTabled = 0xC0, kLastTabled = 0xDF };

/// What follows a header byte from 0xC0 to 0xDF.
typedef struct {
    uint8_t fixed_bytes;  ///< bytes of value
    uint8_t length_bytes; ///< bytes of a length or count
    uint8_t items;        ///< items for each count; 0 where it counts bytes
    bool is_invalid;
} header_t;

static const header_t headers[kLastTabled - kFirstTabled + 1] = {
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
    [0x1C] = {.length_bytes = 2, .items = 1}, // array
    [0x1D] = {.length_bytes = 4, .items = 1},
    [0x1E] = {.length_bytes = 2, .items = 2}, // map
    [0x1F] = {.length_bytes = 4, .items = 2},
};

/// A value's header: bytes that follow it, and values in it.
typedef struct {
    uint64_t size_bytes;
    uint64_t item_count;
} extent_t;

/// Reads a header whose byte says all.
static extent_t
read_short(uint8_t head)
{
    if (head >= 0x80 && head <= 0x8F) {
        return (extent_t){.item_count = (uint64_t)(head & 0x0F) * 2};
    }
    if (head >= 0x90 && head <= 0x9F) {
        return (extent_t){.item_count = head & 0x0F};
    }
    if (head >= 0xA0 && head <= 0xBF) {
        return (extent_t){.size_bytes = head & 0x1F};
    }
    return (extent_t){0};
}

/// Reads a header from the table, with its length.
///
/// @return whether it is valid and whole
static bool
read_long(bytes_t data, uint64_t *at, uint8_t head, extent_t *extent)
{
    const header_t *header = &headers[head - kFirstTabled];
    if (header->is_invalid || data.size_bytes - *at < header->length_bytes) {
        return false;
    }
    uint64_t length = 0;
    for (uint32_t i = 0; i < header->length_bytes; i++) {
        length = length << 8 | data.data[(*at)++];
    }
    extent->size_bytes = header->fixed_bytes;
    extent->item_count = length * header->items;
    if (header->items == 0) {
        extent->size_bytes += length;
    }
    return true;
}

bool
bounds_check(bytes_t data)
{
    uint64_t at = 0;
    uint64_t left_count = 1; // values still to come
    while (left_count > 0) {
        if (at >= data.size_bytes) {
            return false;
        }
        uint8_t head = data.data[at++];
        extent_t extent = read_short(head);
        if (head >= kFirstTabled && head <= kLastTabled &&
            !read_long(data, &at, head, &extent)) {
            return false;
        }
        // Each value takes a byte at least.
        left_count += extent.item_count - 1;
        if (extent.size_bytes > data.size_bytes - at ||
            left_count > data.size_bytes - at - extent.size_bytes) {
            return false;
        }
        at += extent.size_bytes;
    }
    return true;
}
