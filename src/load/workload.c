#include "load/workload.h"

#include <math.h>

enum {
    kLongLeastMs = 2000,
    kLongMostMs = 4000,
    kMeanDraws = 20000,
    kMeanSeed = 99
};

/// @return a number in [0, 1)
static double
unit(rng_t *rng)
{
    return (double)(rng_next(rng) >> 11) / 9007199254740992.0;
}

/// @return a number from least to most, evenly on a logarithmic scale
static uint32_t
draw_log(rng_t *rng, uint32_t least, uint32_t most)
{
    if (least >= most) {
        return least;
    }
    double low = log((double)least);
    double high = log((double)most + 1);
    return (uint32_t)exp(low + unit(rng) * (high - low));
}

static uint32_t
draw_declared(const workload_t *workload, rng_t *rng, uint32_t task_ms)
{
    if (workload->wrong_factor <= 1) {
        return task_ms;
    }
    uint32_t factor = draw_log(rng, 1, workload->wrong_factor);
    return rng_below(rng, 2) == 0 ? task_ms * factor : task_ms / factor + 1;
}

void
workload_draw(const workload_t *workload, rng_t *rng, workload_job_t *job)
{
    job->task_count =
        draw_log(rng, workload->least_tasks, workload->most_tasks);
    job->work_ms = 0;
    job->longest_ms = 0;
    for (uint32_t i = 0; i < job->task_count; i++) {
        bool is_long = rng_below(rng, 1000) < workload->long_per_mille;
        uint32_t task_ms =
            is_long ? draw_log(rng, kLongLeastMs, kLongMostMs)
                    : draw_log(rng, workload->least_ms, workload->most_ms);
        job->task_ms[i] = task_ms;
        job->declared_ms[i] = draw_declared(workload, rng, task_ms);
        job->work_ms += task_ms;
        if (task_ms > job->longest_ms) {
            job->longest_ms = task_ms;
        }
    }
    job->is_impossible = rng_below(rng, 1000) < workload->impossible_per_mille;
    job->is_cancelled = rng_below(rng, 1000) < workload->cancel_per_mille;
}

uint64_t
workload_mean_us(const workload_t *workload)
{
    rng_t rng = {.state = kMeanSeed};
    workload_job_t job;
    uint64_t sum_ms = 0;
    for (uint32_t i = 0; i < kMeanDraws; i++) {
        workload_draw(workload, &rng, &job);
        sum_ms += job.work_ms;
    }
    return sum_ms * 1000 / kMeanDraws;
}

int64_t
workload_gap_ns(rng_t *rng, double mean_ns)
{
    return (int64_t)(-log(1.0 - unit(rng)) * mean_ns);
}

int64_t
workload_ideal_ns(const workload_job_t *job, uint64_t capacity_milli)
{
    int64_t longest_ns = (int64_t)job->longest_ms * 1000000;
    int64_t spread_ns =
        (int64_t)(job->work_ms * 1000 * 1000000 / capacity_milli);
    int64_t ideal_ns = longest_ns > spread_ns ? longest_ns : spread_ns;
    return ideal_ns > 0 ? ideal_ns : 1;
}
