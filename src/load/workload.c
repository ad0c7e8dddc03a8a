#include "load/workload.h"

#include <math.h>

enum {
    kLongMinMs = 2000,
    kLongMaxMs = 4000,
    kMeanSamples = 20000,
    kMeanSeed = 99
};

/// @return a uniform number in [0, 1)
static double
draw_uniform(rng_t *rng)
{
    return (double)(rng_next(rng) >> 11) / 9007199254740992.0;
}

/// @return a log-uniform number from min to max
static uint32_t
draw_log_uniform(rng_t *rng, uint32_t min, uint32_t max)
{
    if (min >= max) {
        return min;
    }
    double low = log((double)min);
    double high = log((double)max + 1);
    return (uint32_t)exp(low + draw_uniform(rng) * (high - low));
}

static uint32_t
draw_declared_ms(const workload_t *workload, rng_t *rng, uint32_t task_ms)
{
    if (workload->declared_error_factor <= 1) {
        return task_ms;
    }
    uint32_t factor =
        draw_log_uniform(rng, 1, workload->declared_error_factor);
    return rng_below(rng, 2) == 0 ? task_ms * factor : task_ms / factor + 1;
}

void
workload_draw_job(const workload_t *workload, rng_t *rng, workload_job_t *job)
{
    job->task_count =
        draw_log_uniform(rng, workload->min_tasks, workload->max_tasks);
    job->work_ms = 0;
    job->longest_ms = 0;
    for (uint32_t i = 0; i < job->task_count; i++) {
        bool is_long = rng_below(rng, 1000) < workload->long_per_mille;
        uint32_t task_ms =
            is_long
                ? draw_log_uniform(rng, kLongMinMs, kLongMaxMs)
                : draw_log_uniform(rng, workload->min_ms, workload->max_ms);
        job->task_ms[i] = task_ms;
        job->declared_ms[i] = draw_declared_ms(workload, rng, task_ms);
        job->work_ms += task_ms;
        if (task_ms > job->longest_ms) {
            job->longest_ms = task_ms;
        }
    }
    job->is_unplaceable =
        rng_below(rng, 1000) < workload->unplaceable_per_mille;
    job->is_cancelled = rng_below(rng, 1000) < workload->cancel_per_mille;
}

uint64_t
workload_mean_work_us(const workload_t *workload)
{
    rng_t rng = {.state = kMeanSeed};
    workload_job_t job;
    uint64_t sum_ms = 0;
    for (uint32_t i = 0; i < kMeanSamples; i++) {
        workload_draw_job(workload, &rng, &job);
        sum_ms += job.work_ms;
    }
    return sum_ms * 1000 / kMeanSamples;
}

int64_t
workload_draw_interarrival_ns(rng_t *rng, double mean_ns)
{
    return (int64_t)(-log(1.0 - draw_uniform(rng)) * mean_ns);
}

int64_t
workload_ideal_ns(const workload_job_t *job, uint64_t capacity_milli)
{
    int64_t longest_ns = (int64_t)job->longest_ms * 1000000;
    int64_t parallel_ns =
        (int64_t)(job->work_ms * 1000 * 1000000 / capacity_milli);
    int64_t ideal_ns = longest_ns > parallel_ns ? longest_ns : parallel_ns;
    return ideal_ns > 0 ? ideal_ns : 1;
}
