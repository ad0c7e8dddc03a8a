/// The decisions of a pool on a virtual clock: jobs of several kinds, whose
/// declared times are off, on targets of several sizes and speeds. Prints for
/// each load how many jobs are answered within their objective.
///
///   placement-bench [SEEDS]
#include <apr_general.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#include "support/sim.h"

#define MS(ms) ((int64_t)(ms)*1000000)

enum {
    kTargets = 16,
    kSeconds = 20,
    kJobLimit = 20000,
    kStretchPermille = 1600,
    kSloMs = 60,
    kLateFactor =
        3, ///< times the objective, after which an answer is worthless
    kDefaultSeeds = 5
};

/// Jobs of one queue. Times are spread around a mean.
typedef struct {
    const char *queue;
    uint32_t task_count;
    uint32_t work_ms;
    uint32_t share_percent; ///< of the work that is offered
    uint32_t priority;
} kind_t;

/// A mix of jobs, and how far times and declared times are off, as standard
/// deviations of their logarithms in 1/1000.
typedef struct {
    const char *name;
    const kind_t *kinds;
    uint32_t kind_count;
    uint32_t work_spread_milli;
    uint32_t task_spread_milli;
    uint32_t declared_spread_milli;
} mix_t;

static const kind_t shop_kinds[] = {{"check", 8, 60, 26, 0},
                                    {"quote", 4, 900, 35, 2},
                                    {"slot", 2, 200, 39, 1}};
static const kind_t wide_kinds[] = {{"wide", 24, 150, 60, 1},
                                    {"single", 1, 100, 40, 0}};

static const mix_t mixes[] = {
    {"shop", shop_kinds, 3, 450, 200, 500},
    {"shop, true times declared", shop_kinds, 3, 450, 200, 0},
    {"shop, times declared at random", shop_kinds, 3, 100, 100, 1200},
    {"wide", wide_kinds, 2, 450, 200, 500},
};

static const uint32_t loads_percent[] = {60, 90, 120, 160};

/// A job of the run, and what became of it.
typedef struct {
    uint32_t kind;
    int64_t sent_ns;
    int64_t longest_ns;
    int64_t work_ns[32]; ///< of each task
    order_outcome_t outcome;
    int64_t took_ns;
} job_t;

typedef struct {
    const mix_t *mix;
    rng_t rng;
    job_t *jobs;
    uint32_t count;
    uint32_t load_percent;
    int64_t end_ns;
} run_t;

static double
draw_normal(rng_t *rng)
{
    double first = (rng_below(rng, 1000000) + 1) / 1000001.0;
    double second = rng_below(rng, 1000000) / 1000000.0;
    return sqrt(-2 * log(first)) * cos(2 * 3.14159265358979 * second);
}

/// @return a factor whose logarithm has a mean of 0
static double
draw_factor(rng_t *rng, uint32_t spread_milli)
{
    return exp(draw_normal(rng) * spread_milli / 1000.0);
}

static int64_t
work_ns(world_t *world, const run_name_t *name)
{
    const run_t *run = world->state;
    return run->jobs[strtoull(name->job, NULL, 16)].work_ns[name->index];
}

static void
take_settled(world_t *world, uint32_t pool, const pool_order_result_t *settled)
{
    (void)pool;
    run_t *run = world->state;
    job_t *job = &run->jobs[settled->request];
    job->outcome = settled->outcome;
    job->took_ns = world->now_ns - job->sent_ns;
}

static uint32_t
draw_kind(run_t *run)
{
    double total = 0;
    for (uint32_t i = 0; i < run->mix->kind_count; i++) {
        const kind_t *kind = &run->mix->kinds[i];
        total +=
            (double)kind->share_percent / kind->work_ms / kind->task_count;
    }
    double luck = total * rng_below(&run->rng, 1000000) / 1000000.0;
    for (uint32_t i = 0; i + 1 < run->mix->kind_count; i++) {
        const kind_t *kind = &run->mix->kinds[i];
        luck -= (double)kind->share_percent / kind->work_ms / kind->task_count;
        if (luck < 0) {
            return i;
        }
    }
    return run->mix->kind_count - 1;
}

static void
hand_in(world_t *world, run_t *run)
{
    job_t *job = &run->jobs[run->count];
    job->kind = draw_kind(run);
    job->sent_ns = world->now_ns;
    const mix_t *mix = run->mix;
    const kind_t *kind = &mix->kinds[job->kind];
    double work_ms =
        kind->work_ms * draw_factor(&run->rng, mix->work_spread_milli);
    for (uint32_t i = 0; i < kind->task_count; i++) {
        double task_ms =
            work_ms * draw_factor(&run->rng, mix->task_spread_milli);
        job->work_ns[i] = (int64_t)(task_ms * 1e6);
        job->longest_ns = job->work_ns[i] > job->longest_ns ? job->work_ns[i]
                                                            : job->longest_ns;
    }
    char name[16];
    snprintf(name, sizeof name, "%x", run->count++);
    order_step_t step = {
        .task_count = kind->task_count,
        .cpu_mcores = 14000,
        .memory_mb = 64,
        .estimate_ms =
            1 + (uint32_t)(work_ms *
                           draw_factor(&run->rng, mix->declared_spread_milli)),
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
    world_hand_in(world, 0, &order);
}

/// @return the mean pause between two jobs at a load of all room
static double
pause_ms(const run_t *run, const world_t *world)
{
    double slots = 0;
    for (uint32_t i = 0; i < world->target_count; i++) {
        slots += (double)(world->targets[i].info.cpu_mcores / 14000) *
                 world->targets[i].speed_permille / 1000;
    }
    double jobs_per_ms = 0;
    for (uint32_t i = 0; i < run->mix->kind_count; i++) {
        const kind_t *kind = &run->mix->kinds[i];
        jobs_per_ms += slots * kind->share_percent / 100 * run->load_percent /
                       100 / kind->work_ms / kind->task_count;
    }
    return 1 / jobs_per_ms;
}

static void
arrive(world_t *world)
{
    run_t *run = world->state;
    if (world->now_ns >= run->end_ns || run->count >= kJobLimit) {
        return;
    }
    hand_in(world, run);
    double luck = (rng_below(&run->rng, 1000000) + 1) / 1000001.0;
    world_at(world,
             world->now_ns +
                 (int64_t)(-log(luck) * pause_ms(run, world) * 1e6),
             arrive);
}

/// What the jobs of one kind came to.
typedef struct {
    uint32_t count;
    uint32_t in_time;
    uint32_t late;
    uint32_t refused;
} result_t;

static void
add_result(result_t *result, const job_t *job)
{
    int64_t objective_ns =
        job->longest_ns * kStretchPermille / 1000 + MS(kSloMs);
    bool is_done = job->outcome == kOrderOutcomeComplete;
    result->count++;
    result->in_time += is_done && job->took_ns <= objective_ns;
    result->late += is_done && job->took_ns > objective_ns &&
                    job->took_ns <= objective_ns * kLateFactor;
    result->refused += job->outcome == kOrderOutcomeRefused;
}

static void
play(const mix_t *mix, uint32_t load_percent, uint64_t seed, result_t *results)
{
    world_t world;
    world_init(&world, kTargets, seed);
    for (uint32_t i = 0; i < kTargets; i++) {
        world.targets[i].info.cpu_mcores = i % 3 == 0 ? 48000 : 32000;
        world.targets[i].speed_permille = i % 4 == 3 ? 500 : 1000;
    }
    run_t run = {.mix = mix,
                 .rng = {.state = seed * 31 + 7},
                 .jobs = calloc(kJobLimit, sizeof(job_t)),
                 .load_percent = load_percent};
    world.state = &run;
    world.work_ns = work_ns;
    world.on_settled = take_settled;
    world_own(&world, 0, 5);
    world_run_until(&world, world.now_ns + MS(50));
    run.end_ns = world.now_ns + MS(1000) * kSeconds;
    world_at(&world, world.now_ns + MS(1), arrive);
    world_run_until(&world, run.end_ns + MS(5000));
    for (uint32_t i = 0; i < run.count; i++) {
        add_result(&results[run.jobs[i].kind], &run.jobs[i]);
    }
    free(run.jobs);
    world_clear(&world);
}

static void
print_row(const mix_t *mix, uint32_t load_percent, const result_t *results)
{
    double credit = 0;
    printf("%-32s %4u", mix->name, load_percent);
    for (uint32_t i = 0; i < mix->kind_count; i++) {
        const result_t *result = &results[i];
        double count = result->count == 0 ? 1 : result->count;
        double share = (result->in_time + 0.2 * result->late) / count;
        credit += share * mix->kinds[i].share_percent / 100;
        printf("  %s %.3f (late %.3f, refused %.3f)", mix->kinds[i].queue,
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
    for (uint32_t i = 0; i < sizeof mixes / sizeof mixes[0]; i++) {
        for (uint32_t j = 0; j < sizeof loads_percent / sizeof *loads_percent;
             j++) {
            result_t results[8] = {{0}};
            for (uint32_t seed = 1; seed <= seeds; seed++) {
                play(&mixes[i], loads_percent[j], seed, results);
            }
            print_row(&mixes[i], loads_percent[j], results);
        }
    }
    return 0;
}
