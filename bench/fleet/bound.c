#include "bound.h"

#include <stdlib.h>

#include "memory.h"

static int
compare_density(const void *left, const void *right)
{
    const job_t *first = *(const job_t *const *)left;
    const job_t *second = *(const job_t *const *)right;
    double difference =
        first->value * second->core_ms - second->value * first->core_ms;
    return difference > 0 ? -1 : difference < 0;
}

/// Serves the jobs of one second, which are sorted.
static void
serve_second(bound_t *bound, const job_t *const *jobs, uint32_t count,
             double core_ms)
{
    for (uint32_t i = 0; i < count && core_ms > 0; i++) {
        double part =
            jobs[i]->core_ms <= core_ms ? 1 : core_ms / jobs[i]->core_ms;
        bound->earned[jobs[i]->kind] += part * jobs[i]->value;
        core_ms -= jobs[i]->core_ms;
    }
}

bound_t
bound_compute(const fleet_t *fleet)
{
    bound_t bound = {.earned = {0}};
    const job_t **jobs =
        memory_get_zeroed(fleet->job_count + 1, sizeof(const job_t *));
    uint32_t at = 0;
    // Jobs are numbered in the order in which they were sent.
    for (uint32_t second = 0; second < kRunSeconds; second++) {
        uint32_t count = 0;
        int64_t end_ns = fleet->start_ns + MS(1000) * (second + 1);
        while (at < fleet->job_count && fleet->jobs[at].sent_ns < end_ns) {
            jobs[count++] = &fleet->jobs[at++];
        }
        qsort(jobs, count, sizeof(const job_t *), compare_density);
        serve_second(&bound, jobs, count, fleet->work_cores * 1000);
    }
    free(jobs);
    return bound;
}
