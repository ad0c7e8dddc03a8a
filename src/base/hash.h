/// A hash of text for tables and for spreading: FNV-1a. Not for secrets.
#ifndef JT_BASE_HASH_H
#define JT_BASE_HASH_H

#include <stdint.h>

/// The hash of nothing.
#define HASH_OFFSET_BASIS UINT64_C(0xcbf29ce484222325)

/// @return a hash with one more byte
static inline uint64_t
hash_add(uint64_t hash, uint8_t byte)
{
    return (hash ^ byte) * UINT64_C(0x100000001b3);
}

/// @return a hash whose bits are all spread, also for texts that differ in one
///         character
uint64_t hash_text(const char *text);

#endif
