#include "workload.h"

#include <math.h>
#include <string.h>

#include "fleet.h"

enum {
    kBurstFromS = 12,
    kBurstToS = 16,
    kStragglerPermille = 30, ///< jobs whose tasks take much longer
    kStragglerFactor = 7,    ///< how much longer
    kDeadlineBaseMs = 1500,  ///< from sending, and
    kDeadlineStretch = 2,    ///< times the longest task
    kDrawSteps = 1000000,
    kCpuSpreadPermille = 200, ///< of the mean
    /// Standard deviations of natural logarithms, in 1/1000.
    kTasksSpread = 400,
    kWorkSpread = 400,
    kTaskSpread = 150, ///< of the tasks of one job
    kDeclaredSpread = 400,
    /// Stragglers raise the mean work by this factor.
    kStragglerMeanPermille = 1180,
    /// A job's value has a fixed part, and one in proportion to its work.
    kFixedValuePermille = 300,
    kValueLimit = 4 ///< times the mean
};

static const double pi = 3.14159265358979;

static const workload_t workloads[] = {
    {.name = "swing",
     .kinds = {{"check", 8, 32, 51, 540, 206, 0.00485, 0},
               {"confirm", 4, 16, 760, 8100, 37.5, 0.0267, 2},
               {"hold", 2, 8, 170, 1800, 600, 0.00167, 1}},
     .cpu_mean_mcores = 16000,
     .cpu_max_mcores = 24000,
     .sizes_mcores = {32000, 32000, 48000},
     .speeds = {1, 1, 1, 1},
     .targets = 117,
     .swing = 0.55,
     .period_s = 15,
     .phases = {0.1, 0.18, 0.26},
     .burst = 1},
    {.name = "uneven",
     .kinds = {{"refresh", 8, 32, 60, 640, 206, 0.00485, 0},
               {"verify", 4, 16, 900, 9600, 37.5, 0.0267, 2},
               {"submit", 2, 8, 200, 2100, 600, 0.00167, 1}},
     .cpu_mean_mcores = 8000,
     .cpu_max_mcores = 12000,
     .sizes_mcores = {16000, 16000, 24000},
     .speeds = {1.2, 1.2, 0.55, 1.2},
     .targets = 117,
     .swing = 0,
     .period_s = 15,
     .burst_kind = 1,
     .burst = 2.5},
};

typedef struct {
    event_t head;
    uint32_t dc;
} arrival_t;

const workload_t *
workload_find(const char *name)
{
    for (size_t i = 0; i < sizeof workloads / sizeof workloads[0]; i++) {
        if (strcmp(workloads[i].name, name) == 0) {
            return &workloads[i];
        }
    }
    return NULL;
}

static double
sum_rates(const workload_t *workload)
{
    double total = 0;
    for (uint32_t i = 0; i < kKinds; i++) {
        total += workload->kinds[i].per_s;
    }
    return total;
}

double
workload_mean_core_s(const workload_t *workload)
{
    double core_s = 0;
    for (uint32_t i = 0; i < kKinds; i++) {
        const job_kind_t *kind = &workload->kinds[i];
        core_s += kind->per_s * kind->tasks_mean * kind->work_ms / 1e3 *
                  workload->cpu_mean_mcores / 1e3;
    }
    return core_s / sum_rates(workload);
}

double
workload_rate(const workload_t *workload, uint32_t kind, uint32_t dc,
              double at_s)
{
    double turns = at_s / workload->period_s + workload->phases[dc];
    double wave = 1 + workload->swing * sin(2 * pi * turns);
    bool is_burst = kind == workload->burst_kind && at_s >= kBurstFromS &&
                    at_s < kBurstToS;
    return workload->kinds[kind].per_s / sum_rates(workload) * wave *
           (is_burst ? workload->burst : 1);
}

static double
draw_normal(rng_t *rng)
{
    double first = (rng_below(rng, kDrawSteps) + 1) / (kDrawSteps + 1.0);
    double second = rng_below(rng, kDrawSteps) / (double)kDrawSteps;
    return sqrt(-2 * log(first)) * cos(2 * pi * second);
}

/// @return a log-normal factor with a mean of 1
static double
draw_factor(rng_t *rng, uint32_t spread_permille)
{
    double spread = spread_permille / 1000.0;
    return exp(draw_normal(rng) * spread - spread * spread / 2);
}

static double
clamp(double value, double least, double most)
{
    return value < least ? least : value > most ? most : value;
}

/// Draws the run times of a job's tasks.
///
/// @return their sum
static double
draw_tasks(rng_t *rng, job_t *job, double work_ms)
{
    double sum_ms = 0;
    for (uint32_t i = 0; i < job->task_count; i++) {
        double task_ms = work_ms * draw_factor(rng, kTaskSpread);
        job->work_ns[i] = MS(task_ms);
        sum_ms += task_ms;
        if (job->work_ns[i] > job->longest_ns) {
            job->longest_ns = job->work_ns[i];
        }
    }
    return sum_ms;
}

static void
draw_job(fleet_t *fleet, job_t *job, uint32_t kind_number, uint32_t dc)
{
    const workload_t *workload = fleet->workload;
    const job_kind_t *kind = &workload->kinds[kind_number];
    rng_t *rng = &fleet->rng;
    *job =
        (job_t){.kind = kind_number,
                .coordinator =
                    rng_below(rng, kCoordinators / kDcCount) * kDcCount + dc,
                .sent_ns = fleet->clock.now_ns};
    job->task_count = (uint32_t)clamp(
        round(kind->tasks_mean * draw_factor(rng, kTasksSpread)), 1,
        kind->tasks_max);
    job->cpu_mcores = (uint32_t)clamp(
        workload->cpu_mean_mcores *
            (1 + kCpuSpreadPermille / 1000.0 * draw_normal(rng)),
        1000, workload->cpu_max_mcores);
    double work_ms = kind->work_ms / (kStragglerMeanPermille / 1000.0) *
                     draw_factor(rng, kWorkSpread);
    work_ms *=
        rng_below(rng, 1000) < kStragglerPermille ? kStragglerFactor : 1;
    work_ms = clamp(work_ms, 1, kind->work_max_ms);
    job->core_ms = draw_tasks(rng, job, work_ms) * job->cpu_mcores / 1000;
    double mean_core_ms =
        kind->tasks_mean * kind->work_ms * workload->cpu_mean_mcores / 1000;
    double fixed = kFixedValuePermille / 1000.0;
    job->value =
        kind->worth * clamp(fixed + (1 - fixed) * job->core_ms / mean_core_ms,
                            0, kValueLimit);
    job->declared_ms =
        1 + (uint32_t)(fleet->policy->is_central
                           ? work_ms
                           : work_ms * exp(kDeclaredSpread / 1000.0 *
                                           draw_normal(rng)));
    job->deadline_ns = fleet->clock.now_ns + MS(kDeadlineBaseMs) +
                       job->longest_ns * kDeadlineStretch;
}

static uint32_t
draw_kind(rng_t *rng, const double *rates, double total)
{
    double draw = total * rng_below(rng, kDrawSteps) / kDrawSteps;
    uint32_t kind = 0;
    while (kind + 1 < kKinds && draw >= rates[kind]) {
        draw -= rates[kind++];
    }
    return kind;
}

static void
handle_arrival(fleet_t *fleet, event_t *event)
{
    uint32_t dc = ((arrival_t *)event)->dc;
    double at_s = (double)(fleet->clock.now_ns - fleet->start_ns) / 1e9;
    double rates[kKinds];
    double total = 0;
    for (uint32_t i = 0; i < kKinds; i++) {
        rates[i] = workload_rate(fleet->workload, i, dc, at_s);
        total += rates[i];
    }
    if (at_s >= kRunSeconds || fleet->job_count == kJobLimit) {
        return;
    }
    uint32_t kind = draw_kind(&fleet->rng, rates, total);
    uint32_t number = fleet->job_count++;
    draw_job(fleet, &fleet->jobs[number], kind, dc);
    coordinator_submit_job(fleet, number);
    double gap_s =
        -log((rng_below(&fleet->rng, kDrawSteps) + 1) / (kDrawSteps + 1.0)) /
        (total * fleet->jobs_per_s * fleet->load);
    arrival_t *next = clock_add(&fleet->clock, (int64_t)(gap_s * 1e9),
                                handle_arrival, sizeof *next);
    next->dc = dc;
}

void
workload_begin(fleet_t *fleet)
{
    for (uint32_t dc = 0; dc < kDcCount; dc++) {
        arrival_t *first = clock_add(&fleet->clock, MS(1 + dc), handle_arrival,
                                     sizeof *first);
        first->dc = dc;
    }
}
