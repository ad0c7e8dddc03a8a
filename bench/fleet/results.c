#include "results.h"

#include <stdio.h>

#include "bound.h"

enum {
    kUsefulFactor = 3, ///< objectives after which an answer has no value
    kLateDivisor = 5,  ///< of the value of a late answer
    kWorstSeconds = 3
};

typedef struct {
    uint32_t count;
    uint32_t in_time;
    uint32_t late;
    uint32_t refused;
    uint32_t failed;
    double owed;
    double earned;
    int64_t refusal_ns;      ///< sum of the times until refusals
    int64_t last_refusal_ns; ///< longest of them
} result_t;

static void
add_refusal(result_t *result, int64_t took_ns)
{
    result->refused++;
    result->refusal_ns += took_ns;
    if (took_ns > result->last_refusal_ns) {
        result->last_refusal_ns = took_ns;
    }
}

static void
add_result(result_t *result, const job_t *job)
{
    int64_t objective_ns =
        job->longest_ns * kStretchPermille / 1000 + MS(kSloMs);
    result->count++;
    result->owed += job->value;
    if (job->outcome == kOrderOutcomeRefused) {
        add_refusal(result, job->took_ns);
    }
    else if (!job->is_settled || job->outcome != kOrderOutcomeComplete) {
        result->failed++;
    }
    else if (job->took_ns <= objective_ns) {
        result->in_time++;
        result->earned += job->value;
    }
    else if (job->took_ns <= objective_ns * kUsefulFactor) {
        result->late++;
        result->earned += job->value / kLateDivisor;
    }
}

/// @return the results of a kind's jobs that were sent in a part of the run
static result_t
sum_results(const fleet_t *fleet, uint32_t kind, int64_t from_ns,
            int64_t to_ns)
{
    result_t result = {0};
    for (uint32_t i = 0; i < fleet->job_count; i++) {
        const job_t *job = &fleet->jobs[i];
        int64_t sent_ns = job->sent_ns - fleet->start_ns;
        if (job->kind == kind && sent_ns >= from_ns && sent_ns < to_ns) {
            add_result(&result, job);
        }
    }
    return result;
}

static result_t
sum_kind(const fleet_t *fleet, uint32_t kind)
{
    return sum_results(fleet, kind, 0, INT64_MAX);
}

static double
share(double part, double whole)
{
    return whole > 0 ? part / whole : 0;
}

/// @return the least share of value earned in any 3 s of the run
static double
find_worst(const fleet_t *fleet)
{
    double owed[kRunSeconds] = {0};
    double earned[kRunSeconds] = {0};
    for (uint32_t i = 0; i < fleet->job_count; i++) {
        result_t result = {0};
        int64_t sent_ns = fleet->jobs[i].sent_ns - fleet->start_ns;
        add_result(&result, &fleet->jobs[i]);
        owed[sent_ns / MS(1000)] += result.owed;
        earned[sent_ns / MS(1000)] += result.earned;
    }
    double worst = 1;
    for (uint32_t i = 0; i + kWorstSeconds < kRunSeconds; i++) {
        double least = share(earned[i] + earned[i + 1] + earned[i + 2],
                             owed[i] + owed[i + 1] + owed[i + 2]);
        worst = least < worst ? least : worst;
    }
    return worst;
}

void
results_print(const fleet_t *fleet)
{
    const use_t *use = &fleet->use;
    double owed = 0;
    double earned = 0;
    printf("%-8s load %.2f", fleet->workload->name, fleet->load);
    for (uint32_t i = 0; i < kKinds; i++) {
        result_t result = sum_kind(fleet, i);
        printf(" | %s %.3f i%.2f l%.2f r%.2f(%.0f) f%.2f",
               fleet->workload->kinds[i].queue,
               share(result.earned, result.owed),
               share(result.in_time, result.count),
               share(result.late, result.count),
               share(result.refused, result.count),
               share((double)result.refusal_ns / 1e6, result.refused),
               share(result.failed, result.count));
        owed += result.owed;
        earned += result.earned;
    }
    printf(" | credit %.3f worst3s %.3f wasted %.3f used %.3f peak %.3f\n",
           share(earned, owed), find_worst(fleet),
           share(use->wasted_core_s, use->wasted_core_s + use->useful_core_s),
           use->mean, use->peak);
}

void
results_print_csv(const fleet_t *fleet)
{
    bound_t bound = bound_compute(fleet);
    for (uint32_t i = 0; i < kKinds; i++) {
        result_t result = sum_kind(fleet, i);
        printf("%s,%s,%.2f,%s,%u,%.4f,%.4f,%.4f,%.4f,%.4f,%.4f,%.4f,%.4f,"
               "%.4f,%.4f,%.4f\n",
               fleet->workload->name, fleet->policy->name, fleet->load,
               fleet->workload->kinds[i].queue, result.count,
               share(result.in_time, result.count),
               share(result.late, result.count),
               share(result.refused, result.count),
               share((double)result.refusal_ns / 1e6, result.refused),
               share(result.failed, result.count), result.owed, result.earned,
               bound.earned[i], fleet->use.mean, fleet->use.peak,
               share(fleet->use.wasted_core_s,
                     fleet->use.wasted_core_s + fleet->use.useful_core_s));
    }
}

static void
print_part(const fleet_t *fleet, const char *name, int64_t from_ns,
           int64_t to_ns)
{
    for (uint32_t i = 0; i < kKinds; i++) {
        result_t result = sum_results(fleet, i, from_ns, to_ns);
        printf("%-8s %-8s %-7s %-8s jobs %5u in time %.3f late %.3f refused "
               "%.3f after %.0f ms (at most %.0f) failed %.3f\n",
               fleet->workload->name, fleet->fault->name, name,
               fleet->workload->kinds[i].queue, result.count,
               share(result.in_time, result.count),
               share(result.late, result.count),
               share(result.refused, result.count),
               share((double)result.refusal_ns / 1e6, result.refused),
               (double)result.last_refusal_ns / 1e6,
               share(result.failed, result.count));
    }
}

void
results_print_fault(const fleet_t *fleet)
{
    int64_t from_ns = MS(kFaultFromMs);
    int64_t to_ns = MS(kFaultToMs);
    print_part(fleet, "before", 0, from_ns);
    print_part(fleet, "during", from_ns, to_ns);
    print_part(fleet, "after", to_ns, INT64_MAX);
}

double
results_least_in_time(const fleet_t *fleet)
{
    double least = 1;
    for (uint32_t i = 0; i < kKinds; i++) {
        result_t result = sum_kind(fleet, i);
        double in_time = share(result.in_time, result.count);
        least = in_time < least ? in_time : least;
    }
    return least;
}
