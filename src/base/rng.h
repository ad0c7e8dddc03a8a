/// A small seeded generator for choices that need no secrecy: routing,
/// jitter, fault schedules. Secrets come from libsodium.
#ifndef JT_BASE_RNG_H
#define JT_BASE_RNG_H

#include <stdint.h>

typedef struct {
    uint64_t state;
} rng_t;

/// @return the next 64 random bits (splitmix64)
uint64_t rng_next(rng_t *rng);

/// @return a number below `bound`; 0 where the bound is 0
uint32_t rng_below(rng_t *rng, uint32_t bound);

#endif
