#include "base/counters.h"

#include <stdatomic.h>

enum { kStripeCount = 16, kCacheLineBytes = 64 };

typedef struct {
    _Alignas(kCacheLineBytes) _Atomic uint64_t values[kCounterCount];
} stripe_t;

static stripe_t stripes[kStripeCount];
static _Atomic uint64_t gauges[kGaugeCount];
static _Atomic uint32_t next_stripe;
static _Thread_local uint32_t thread_stripe = UINT32_MAX;

void
counter_add(counter_t counter, uint64_t amount)
{
    if (thread_stripe == UINT32_MAX) {
        thread_stripe = atomic_fetch_add(&next_stripe, 1) % kStripeCount;
    }
    atomic_fetch_add_explicit(&stripes[thread_stripe].values[counter], amount,
                              memory_order_relaxed);
}

uint64_t
counter_read(counter_t counter)
{
    uint64_t sum = 0;
    for (uint32_t i = 0; i < kStripeCount; i++) {
        sum += atomic_load_explicit(&stripes[i].values[counter],
                                    memory_order_relaxed);
    }
    return sum;
}

void
gauge_set(gauge_t gauge, uint64_t value)
{
    atomic_store_explicit(&gauges[gauge], value, memory_order_relaxed);
}

uint64_t
gauge_read(gauge_t gauge)
{
    return atomic_load_explicit(&gauges[gauge], memory_order_relaxed);
}
