#include "fleet.h"

#include <stdio.h>
#include <stdlib.h>

#include "memory.h"

enum {
    kSlots = 32, ///< of the hash that divides targets among owners
    kFirstToken = 5,
    kZeroMs = 1000000,   ///< virtual time at creation
    kTargetAgeMs = 5000, ///< of each target's clock at creation
    kTargetMemoryMb = 131072,
    kLocalUs = 300, ///< of a message in a data centre
    kRemoteUs = 1500,
    kLeastDueUs = 100 ///< before a pool is called again
};

typedef struct {
    event_t head;
    owner_t *owner;
    uint64_t tag;
} due_event_t;

int64_t
fleet_latency_ns(uint32_t from_dc, uint32_t to_dc)
{
    return from_dc == to_dc ? US(kLocalUs) : US(kRemoteUs);
}

bool
fleet_is_reachable(const fleet_t *fleet, uint32_t from_dc, uint32_t to_dc)
{
    return !fleet->is_cut || (from_dc == 0) == (to_dc == 0);
}

view_t *
fleet_view(fleet_t *fleet, uint32_t coordinator, uint32_t owner)
{
    return &fleet->views[(size_t)coordinator * fleet->owner_count + owner];
}

static void
handle_due(fleet_t *fleet, event_t *event)
{
    (void)fleet;
    due_event_t *due = (due_event_t *)event;
    if (due->tag == due->owner->due_tag) {
        due->owner->is_dirty = true;
    }
}

static void
advance_owner(fleet_t *fleet, owner_t *owner)
{
    owner->is_dirty = false;
    int64_t now_ns = fleet->clock.now_ns;
    int64_t due_ns = pool_advance(owner->pool, now_ns);
    if (due_ns == INT64_MAX) {
        return;
    }
    int64_t delay_ns = due_ns > now_ns ? due_ns - now_ns : US(kLeastDueUs);
    due_event_t *event =
        clock_add(&fleet->clock, delay_ns, handle_due, sizeof *event);
    event->owner = owner;
    event->tag = ++owner->due_tag;
}

void
fleet_run_until(fleet_t *fleet, int64_t end_ns)
{
    for (;;) {
        for (uint32_t i = 0; i < fleet->owner_count; i++) {
            owner_t *owner = &fleet->owners[i];
            if (owner->is_dirty && !owner->is_dead) {
                advance_owner(fleet, owner);
            }
        }
        if (!clock_has_event(&fleet->clock, end_ns)) {
            fleet->clock.now_ns = end_ns;
            return;
        }
        clock_run_next(&fleet->clock, fleet);
    }
}

static void
create_target(fleet_t *fleet, uint32_t number, uint32_t owners)
{
    const workload_t *workload = fleet->workload;
    target_t *target = &fleet->targets[number];
    // Sizes and speeds repeat within each data centre.
    uint32_t size = number / kDcCount % kSizes;
    uint32_t speed = number / (kDcCount * kSizes) % kSpeeds;
    target->info =
        (pool_target_info_t){.service = "s",
                             .dc = "d",
                             .born_ms = 1000 + number,
                             .cpu_mcores = workload->sizes_mcores[size],
                             .memory_mb = kTargetMemoryMb};
    target->speed = workload->speeds[speed];
    target->zero_ns = fleet->clock.now_ns - MS(kTargetAgeMs);
    snprintf(target->info.id, sizeof target->info.id, "t%u", number);
    // A hash of the names divides targets unevenly.
    uint32_t slot = rng_below(&fleet->rng, kSlots) % owners;
    target->owner =
        fleet->policy->is_central ? 0 : slot * kDcCount + number % kDcCount;
    pool_put_target(fleet->owners[target->owner].pool, &target->info,
                    kFirstToken, fleet->clock.now_ns);
    double cores = target->info.cpu_mcores / 1000.0;
    fleet->cores += cores;
    fleet->work_cores += cores * target->speed;
}

void
fleet_create(fleet_t *fleet, uint64_t seed, uint32_t owners, uint32_t targets)
{
    const pool_limits_t limits = {
        .lease_ms = kLeaseMs, .orphan_ms = kOrphanMs, .remote_permille = 1500};
    // Neighbouring seeds are spread.
    fleet->rng.state = seed * 77 + 5;
    fleet->clock.now_ns = MS(kZeroMs);
    fleet->owner_count = fleet->policy->is_central ? 1 : owners * kDcCount;
    fleet->target_count = targets * kDcCount;
    fleet->owners =
        memory_get_zeroed(fleet->owner_count, sizeof *fleet->owners);
    fleet->targets =
        memory_get_zeroed(fleet->target_count, sizeof *fleet->targets);
    fleet->views = memory_get_zeroed(
        (size_t)kCoordinators * fleet->owner_count, sizeof *fleet->views);
    fleet->jobs = memory_get_zeroed(kJobLimit, sizeof *fleet->jobs);
    for (uint32_t i = 0; i < fleet->owner_count; i++) {
        owner_t *owner = &fleet->owners[i];
        *owner = (owner_t){.fleet = fleet,
                           .pool = pool_create(&limits, &owner_ops, owner),
                           .number = i,
                           .dc = i % kDcCount,
                           .is_dirty = true};
    }
    for (uint32_t i = 0; i < fleet->target_count; i++) {
        create_target(fleet, i, owners);
    }
    fleet->jobs_per_s =
        fleet->work_cores / kDcCount / workload_mean_core_s(fleet->workload);
    for (uint32_t i = 0; i < kCoordinators; i++) {
        coordinator_begin(fleet, i);
    }
}

void
fleet_destroy(fleet_t *fleet)
{
    for (uint32_t i = 0; i < fleet->clock.count; i++) {
        free(fleet->clock.events[i]);
    }
    free(fleet->clock.events);
    for (uint32_t i = 0; i < fleet->target_count; i++) {
        free(fleet->targets[i].ended);
    }
    free(fleet->targets);
    free(fleet->owners);
    free(fleet->views);
    free(fleet->jobs);
}
