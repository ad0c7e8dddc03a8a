#include "base/hash.h"

uint64_t
hash_text(const char *text)
{
    uint64_t hash = HASH_OFFSET_BASIS;
    for (; *text != '\0'; text++) {
        hash = hash_add(hash, (uint8_t)*text);
    }
    // The finalizer of splitmix64.
    hash = (hash ^ (hash >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
    hash = (hash ^ (hash >> 27)) * UINT64_C(0x94d049bb133111eb);
    return hash ^ hash >> 31;
}
