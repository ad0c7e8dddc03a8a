/// Disturbances during a run. They come when demand is at its peak.
#include <string.h>

#include "fleet.h"

enum {
    kNoticeMs = 1500, ///< until others act on an owner that is gone, or on a
                      ///< data centre that is cut off
    kDyingOwner = 0,  ///< in data centre 0
    kNewToken = 6     ///< of targets that change owners
};

static void
expire_leases(fleet_t *fleet, event_t *event)
{
    (void)event;
    for (uint32_t i = 0; i < fleet->target_count; i++) {
        if (fleet->targets[i].owner == kDyingOwner) {
            target_stop_all(fleet, &fleet->targets[i]);
        }
    }
}

/// An owner dies. Coordinators see at once that its connections are closed.
static void
kill_owner(fleet_t *fleet)
{
    fleet->owners[kDyingOwner].is_dead = true;
    for (uint32_t i = 0; i < kCoordinators; i++) {
        fleet_view(fleet, i, kDyingOwner)->is_linked = false;
    }
    clock_add(&fleet->clock, MS(kLeaseMs), expire_leases, sizeof(event_t));
}

/// The other owners of its data centre take its targets over.
static void
take_over(fleet_t *fleet)
{
    coordinator_lose_jobs(fleet, kDyingOwner, kDcCount);
    uint32_t next = 0;
    uint32_t others = fleet->owner_count / kDcCount - 1;
    for (uint32_t i = 0; i < fleet->target_count && others > 0; i++) {
        target_t *target = &fleet->targets[i];
        if (target->owner == kDyingOwner) {
            target->owner = (1 + next++ % others) * kDcCount;
            owner_t *owner = &fleet->owners[target->owner];
            pool_put_target(owner->pool, &target->info, kNewToken,
                            fleet->clock.now_ns);
            owner->is_dirty = true;
        }
    }
}

static void
stop_news(fleet_t *fleet)
{
    fleet->has_no_news = true;
}

static void
resume_news(fleet_t *fleet)
{
    fleet->has_no_news = false;
}

static void
cut_dc(fleet_t *fleet)
{
    fleet->is_cut = true;
}

/// Each side gives up the links and orders of the other one.
static void
give_up_links(fleet_t *fleet)
{
    int64_t heard_ns = fleet->clock.now_ns - MS(kNoticeMs);
    for (uint32_t i = 0; i < fleet->owner_count; i++) {
        owner_t *owner = &fleet->owners[i];
        for (uint32_t j = 0; j < kCoordinators; j++) {
            if (!fleet_is_reachable(fleet, owner->dc, j % kDcCount)) {
                pool_drop_client(owner->pool, j + 1, heard_ns,
                                 fleet->clock.now_ns);
                owner->is_dirty = true;
                view_t *view = fleet_view(fleet, j, i);
                view->has_lost_link = view->is_linked;
                view->is_linked = false;
            }
        }
        for (uint32_t dc = 0; dc < kDcCount; dc++) {
            if (!fleet_is_reachable(fleet, owner->dc, dc)) {
                coordinator_lose_jobs(fleet, i, dc);
            }
        }
    }
}

static void
mend_cut(fleet_t *fleet)
{
    fleet->is_cut = false;
    for (uint32_t i = 0; i < kCoordinators * fleet->owner_count; i++) {
        view_t *view = &fleet->views[i];
        view->is_linked = view->is_linked || view->has_lost_link;
        view->has_lost_link = false;
    }
}

static void
do_nothing(fleet_t *fleet)
{
    (void)fleet;
}

static const fault_t faults[] = {
    {.name = "none", .begin = do_nothing},
    {.name = "owner", .begin = kill_owner, .notice = take_over},
    {.name = "news", .begin = stop_news, .end = resume_news},
    {.name = "cut", .begin = cut_dc, .notice = give_up_links, .end = mend_cut},
};

const fault_t *
fault_find(const char *name)
{
    for (size_t i = 0; i < sizeof faults / sizeof faults[0]; i++) {
        if (strcmp(faults[i].name, name) == 0) {
            return &faults[i];
        }
    }
    return NULL;
}

static void
handle_begin(fleet_t *fleet, event_t *event)
{
    (void)event;
    fleet->fault->begin(fleet);
}

static void
handle_notice(fleet_t *fleet, event_t *event)
{
    (void)event;
    fleet->fault->notice(fleet);
}

static void
handle_end(fleet_t *fleet, event_t *event)
{
    (void)event;
    fleet->fault->end(fleet);
}

void
fault_begin(fleet_t *fleet)
{
    const fault_t *fault = fleet->fault;
    if (fault == NULL) {
        return;
    }
    virtual_clock_t *clock = &fleet->clock;
    clock_add(clock, MS(kFaultFromMs), handle_begin, sizeof(event_t));
    if (fault->notice != NULL) {
        clock_add(clock, MS(kFaultFromMs + kNoticeMs), handle_notice,
                  sizeof(event_t));
    }
    if (fault->end != NULL) {
        clock_add(clock, MS(kFaultToMs), handle_end, sizeof(event_t));
    }
}
