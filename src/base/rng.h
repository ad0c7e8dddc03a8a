/// A seeded pseudorandom generator (splitmix64) for routing, jitter and fault
/// schedules. Not for secrets, which come from libsodium.
#ifndef JT_BASE_RNG_H
#define JT_BASE_RNG_H

#include <stdint.h>

typedef struct {
    uint64_t state;
} rng_t;

/// @return the next 64 random bits
uint64_t rng_next(rng_t *rng);

/// @return a random number below `bound`; 0 if `bound` is 0
uint32_t rng_below(rng_t *rng, uint32_t bound);

#endif
