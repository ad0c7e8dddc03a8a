#include "limit/team.h"

#include <stdio.h>
#include <stdlib.h>

#define NS_PER_SECOND INT64_C(1000000000)

team_t *
team_create(const char *name)
{
    team_t *team = calloc(1, sizeof *team);
    snprintf(team->name, sizeof team->name, "%s", name);
    atomic_store(&team->reference_count, 1);
    return team;
}

void
team_acquire(team_t *team)
{
    atomic_fetch_add(&team->reference_count, 1);
}

void
team_release(team_t *team)
{
    if (atomic_fetch_sub(&team->reference_count, 1) == 1) {
        free(team);
    }
}

void
team_set_share_count(team_t *team, uint32_t share_count)
{
    const quota_t *quota = &team->quota;
    int64_t cost_ns = 0;
    int64_t burst_ns = 0;
    if (quota->tasks_per_s > 0) {
        uint32_t burst =
            quota->burst_tasks > 0 ? quota->burst_tasks : quota->tasks_per_s;
        cost_ns = NS_PER_SECOND * share_count / quota->tasks_per_s;
        burst_ns = NS_PER_SECOND * burst / quota->tasks_per_s;
    }
    atomic_store(&team->cost_ns, cost_ns);
    atomic_store(&team->burst_ns, burst_ns);
}

void
team_configure(team_t *team, const section_document_t *section,
               uint32_t share_count)
{
    team->quota = section->quota;
    atomic_store(&team->priority, section->priority);
    team_set_share_count(team, share_count);
}

bool
team_charge(team_t *team, uint32_t task_count, int64_t now_ns,
            int64_t *retry_at_ns)
{
    int64_t cost_ns =
        atomic_load_explicit(&team->cost_ns, memory_order_relaxed);
    if (cost_ns == 0) {
        return true;
    }
    int64_t burst_ns =
        atomic_load_explicit(&team->burst_ns, memory_order_relaxed);
    int64_t theoretical_arrival_ns = atomic_load_explicit(
        &team->theoretical_arrival_ns, memory_order_relaxed);
    for (;;) {
        int64_t base_ns =
            theoretical_arrival_ns > now_ns ? theoretical_arrival_ns : now_ns;
        int64_t next_ns = base_ns + cost_ns * task_count;
        // A job larger than the burst passes when nothing is owed, and is
        // paid for afterwards.
        int64_t room_ns =
            next_ns - base_ns < burst_ns ? next_ns - base_ns : burst_ns;
        if (base_ns + room_ns - now_ns > burst_ns) {
            *retry_at_ns = base_ns + room_ns - burst_ns;
            return false;
        }
        if (atomic_compare_exchange_weak(&team->theoretical_arrival_ns,
                                         &theoretical_arrival_ns, next_ns)) {
            return true;
        }
    }
}
