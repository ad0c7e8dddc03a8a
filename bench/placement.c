/// Benchmark of a pool's placement on a virtual clock: jobs of several kinds
/// with inexact declared times, on targets of several sizes and speeds. Prints
/// for each load the share of jobs that are answered within their objective.
///
///   placement-bench [SEEDS]
#include <apr_general.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#include "support/sim.h"

#define MS(ms) ((int64_t)(ms)*1000000)

enum {
    kTargetCount = 16,
    kRunSeconds = 20,
    kJobLimit = 20000,
    kStretchPermille = 1600,
    kSloMs = 60,
    kUsefulFactor = 3, ///< objectives after which an answer has no value
    kDefaultSeeds = 5
};

/// Jobs of one queue.
typedef struct {
    const char *queue;
    uint32_t task_count;
    uint32_t work_ms;       ///< median run time of a task
    uint32_t share_percent; ///< share of the offered work
    uint32_t priority;
} job_kind_t;

/// A mix of jobs. The spreads of run times and declared times are standard
/// deviations of their natural logarithms, in 1/1000.
typedef struct {
    const char *name;
    const job_kind_t *kinds;
    uint32_t kind_count;
    uint32_t work_spread_milli;
    uint32_t task_spread_milli;
    uint32_t declared_spread_milli;
} workload_t;

static const job_kind_t shop_kinds[] = {{"check", 8, 60, 26, 0},
                                        {"quote", 4, 900, 35, 2},
                                        {"slot", 2, 200, 39, 1}};
static const job_kind_t wide_kinds[] = {{"wide", 24, 150, 60, 1},
                                        {"single", 1, 100, 40, 0}};

static const workload_t workloads[] = {
    {"shop", shop_kinds, 3, 450, 200, 500},
    {"shop, true times declared", shop_kinds, 3, 450, 200, 0},
    {"shop, times declared at random", shop_kinds, 3, 100, 100, 1200},
    {"wide", wide_kinds, 2, 450, 200, 500},
};

static const uint32_t loads_percent[] = {60, 90, 120, 160};

/// A job and its result.
typedef struct {
    uint32_t kind;
    int64_t sent_ns;
    int64_t longest_task_ns;
    int64_t work_ns[32]; ///< run time of each task
    order_outcome_t outcome;
    int64_t took_ns;
} job_t;

typedef struct {
    const workload_t *workload;
    rng_t rng;
    job_t *jobs;
    uint32_t count;
    uint32_t load_percent;
    int64_t end_ns;
} bench_run_t;

static double
draw_normal(rng_t *rng)
{
    double first = (rng_below(rng, 1000000) + 1) / 1000001.0;
    double second = rng_below(rng, 1000000) / 1000000.0;
    return sqrt(-2 * log(first)) * cos(2 * 3.14159265358979 * second);
}

/// @return a log-normal factor with a median of 1
static double
draw_factor(rng_t *rng, uint32_t spread_milli)
{
    return exp(draw_normal(rng) * spread_milli / 1000.0);
}

static int64_t
work_ns(sim_t *sim, const run_name_t *name)
{
    const bench_run_t *run = sim->state;
    return run->jobs[strtoull(name->job, NULL, 16)].work_ns[name->index];
}

static void
record_result(sim_t *sim, uint32_t pool, const pool_order_result_t *result)
{
    (void)pool;
    bench_run_t *run = sim->state;
    job_t *job = &run->jobs[result->request];
    job->outcome = result->outcome;
    job->took_ns = sim->now_ns - job->sent_ns;
}

static uint32_t
draw_kind(bench_run_t *run)
{
    double total = 0;
    for (uint32_t i = 0; i < run->workload->kind_count; i++) {
        const job_kind_t *kind = &run->workload->kinds[i];
        total +=
            (double)kind->share_percent / kind->work_ms / kind->task_count;
    }
    double draw = total * rng_below(&run->rng, 1000000) / 1000000.0;
    for (uint32_t i = 0; i + 1 < run->workload->kind_count; i++) {
        const job_kind_t *kind = &run->workload->kinds[i];
        draw -= (double)kind->share_percent / kind->work_ms / kind->task_count;
        if (draw < 0) {
            return i;
        }
    }
    return run->workload->kind_count - 1;
}

static void
submit_job(sim_t *sim, bench_run_t *run)
{
    job_t *job = &run->jobs[run->count];
    job->kind = draw_kind(run);
    job->sent_ns = sim->now_ns;
    const workload_t *workload = run->workload;
    const job_kind_t *kind = &workload->kinds[job->kind];
    double work_ms =
        kind->work_ms * draw_factor(&run->rng, workload->work_spread_milli);
    for (uint32_t i = 0; i < kind->task_count; i++) {
        double task_ms =
            work_ms * draw_factor(&run->rng, workload->task_spread_milli);
        job->work_ns[i] = (int64_t)(task_ms * 1e6);
        job->longest_task_ns = job->work_ns[i] > job->longest_task_ns
                                   ? job->work_ns[i]
                                   : job->longest_task_ns;
    }
    char name[16];
    snprintf(name, sizeof name, "%x", run->count++);
    order_step_t step = {
        .task_count = kind->task_count,
        .cpu_mcores = 14000,
        .memory_mb = 64,
        .estimate_ms =
            1 +
            (uint32_t)(work_ms * draw_factor(&run->rng,
                                             workload->declared_spread_milli)),
        .constraint = "",
        .data_rack = ""};
    order_t order = {.job = name,
                     .service = "s",
                     .queue = kind->queue,
                     .payload = "",
                     .priority = kind->priority,
                     .attempt_limit = 3,
                     .slo_ms = kSloMs,
                     .stretch_permille = kStretchPermille,
                     .left_ms = 3000,
                     .steps = &step,
                     .steps_count = 1};
    sim_submit(sim, 0, &order);
}

/// @return the mean time between two jobs at the load of the run, which is
///         relative to the capacity of all targets
static double
mean_gap_ms(const bench_run_t *run, const sim_t *sim)
{
    double slots = 0;
    for (uint32_t i = 0; i < sim->target_count; i++) {
        slots += (double)(sim->targets[i].info.cpu_mcores / 14000) *
                 sim->targets[i].speed_permille / 1000;
    }
    double jobs_per_ms = 0;
    for (uint32_t i = 0; i < run->workload->kind_count; i++) {
        const job_kind_t *kind = &run->workload->kinds[i];
        jobs_per_ms += slots * kind->share_percent / 100 * run->load_percent /
                       100 / kind->work_ms / kind->task_count;
    }
    return 1 / jobs_per_ms;
}

static void
submit_next(sim_t *sim)
{
    bench_run_t *run = sim->state;
    if (sim->now_ns >= run->end_ns || run->count >= kJobLimit) {
        return;
    }
    submit_job(sim, run);
    double draw = (rng_below(&run->rng, 1000000) + 1) / 1000001.0;
    sim_schedule(
        sim, sim->now_ns + (int64_t)(-log(draw) * mean_gap_ms(run, sim) * 1e6),
        submit_next);
}

/// Results of the jobs of one kind.
typedef struct {
    uint32_t count;
    uint32_t in_time;
    uint32_t late;
    uint32_t refused;
} job_result_t;

static void
add_result(job_result_t *result, const job_t *job)
{
    int64_t objective_ns =
        job->longest_task_ns * kStretchPermille / 1000 + MS(kSloMs);
    bool is_done = job->outcome == kOrderOutcomeComplete;
    result->count++;
    result->in_time += is_done && job->took_ns <= objective_ns;
    result->late += is_done && job->took_ns > objective_ns &&
                    job->took_ns <= objective_ns * kUsefulFactor;
    result->refused += job->outcome == kOrderOutcomeRefused;
}

static void
run_workload(const workload_t *workload, uint32_t load_percent, uint64_t seed,
             job_result_t *results)
{
    sim_t sim;
    sim_init(&sim, kTargetCount, seed);
    for (uint32_t i = 0; i < kTargetCount; i++) {
        sim.targets[i].info.cpu_mcores = i % 3 == 0 ? 48000 : 32000;
        sim.targets[i].speed_permille = i % 4 == 3 ? 500 : 1000;
    }
    bench_run_t run = {.workload = workload,
                       .rng = {.state = seed * 31 + 7},
                       .jobs = calloc(kJobLimit, sizeof(job_t)),
                       .load_percent = load_percent};
    sim.state = &run;
    sim.work_ns = work_ns;
    sim.on_settled = record_result;
    sim_assign_targets(&sim, 0, 5);
    sim_run_until(&sim, sim.now_ns + MS(50));
    run.end_ns = sim.now_ns + MS(1000) * kRunSeconds;
    sim_schedule(&sim, sim.now_ns + MS(1), submit_next);
    sim_run_until(&sim, run.end_ns + MS(5000));
    for (uint32_t i = 0; i < run.count; i++) {
        add_result(&results[run.jobs[i].kind], &run.jobs[i]);
    }
    free(run.jobs);
    sim_clear(&sim);
}

static void
print_row(const workload_t *workload, uint32_t load_percent,
          const job_result_t *results)
{
    double credit = 0;
    printf("%-32s %4u", workload->name, load_percent);
    for (uint32_t i = 0; i < workload->kind_count; i++) {
        const job_result_t *result = &results[i];
        double count = result->count == 0 ? 1 : result->count;
        double share = (result->in_time + 0.2 * result->late) / count;
        credit += share * workload->kinds[i].share_percent / 100;
        printf("  %s %.3f (late %.3f, refused %.3f)", workload->kinds[i].queue,
               share, result->late / count, result->refused / count);
    }
    printf("  credit %.3f\n", credit);
}

int
main(int argc, char **argv)
{
    apr_initialize();
    uint32_t seeds = argc > 1 ? (uint32_t)strtoul(argv[1], NULL, 10)
                              : (uint32_t)kDefaultSeeds;
    for (uint32_t i = 0; i < sizeof workloads / sizeof workloads[0]; i++) {
        for (uint32_t j = 0; j < sizeof loads_percent / sizeof *loads_percent;
             j++) {
            job_result_t results[8] = {{0}};
            for (uint32_t seed = 1; seed <= seeds; seed++) {
                run_workload(&workloads[i], loads_percent[j], seed, results);
            }
            print_row(&workloads[i], loads_percent[j], results);
        }
    }
    return 0;
}
