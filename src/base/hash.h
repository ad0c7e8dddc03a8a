/// FNV-1a hashes, for hash tables and for distributing keys. Not
/// cryptographic.
#ifndef JT_BASE_HASH_H
#define JT_BASE_HASH_H

#include <stdint.h>

/// The offset basis of 64-bit FNV-1a: the hash of no bytes.
#define HASH_OFFSET_BASIS UINT64_C(0xcbf29ce484222325)

/// @return the hash extended by one byte
static inline uint64_t
hash_add(uint64_t hash, uint8_t byte)
{
    return (hash ^ byte) * UINT64_C(0x100000001b3);
}

/// @return a hash of a string, mixed so that a difference of one character
///         affects all bits
uint64_t hash_text(const char *text);

#endif
