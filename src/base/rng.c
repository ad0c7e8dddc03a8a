#include "base/rng.h"

uint64_t
rng_next(rng_t *rng)
{
    rng->state += 0x9E3779B97F4A7C15u;
    uint64_t mix = rng->state;
    mix = (mix ^ (mix >> 30)) * 0xBF58476D1CE4E5B9u;
    mix = (mix ^ (mix >> 27)) * 0x94D049BB133111EBu;
    return mix ^ (mix >> 31);
}

uint32_t
rng_below(rng_t *rng, uint32_t bound)
{
    return (uint32_t)(((rng_next(rng) >> 32) * bound) >> 32);
}
