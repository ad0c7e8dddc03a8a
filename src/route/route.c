#include "route/route.h"

#include <stddef.h>

enum {
    kReserveAttempts = 4, ///< another thread may reserve the slot first
    kSampleSize = 64,     ///< maximum number of candidates to compare
    kSampleStride = 7919  ///< prime, so that a sample repeats no target unless
                          ///< the table's size is a multiple of it
};

static bool
is_candidate(const target_t *target, const route_query_t *query)
{
    return target_is_available(target, query->may_borrow, query->now_ns) &&
           target_fits(target, query->needs);
}

/// @return the first candidate from an index on, wrapping around, or NULL
static target_t *
find_candidate(const target_table_t *table, uint32_t start,
               const route_query_t *query)
{
    for (uint32_t i = 0; i < table->count; i++) {
        target_t *target = table->targets[(start + i) % table->count];
        if (is_candidate(target, query)) {
            return target;
        }
    }
    return NULL;
}

/// Chooses a candidate at random.
static target_t *
choose_random(const target_table_t *table, const route_query_t *query,
              rng_t *rng)
{
    return find_candidate(table, rng_below(rng, table->count), query);
}

/// @return the fraction of the slots that this process uses, in 1/1024
static uint32_t
load_per_1024(const target_t *target)
{
    uint32_t slots =
        atomic_load_explicit(&target->slots, memory_order_relaxed);
    return slots == 0 ? UINT32_MAX
                      : atomic_load_explicit(&target->outstanding,
                                             memory_order_relaxed) *
                            1024 / slots;
}

/// Chooses the candidate with the lowest fraction of its slots in use.
static target_t *
choose_least_outstanding(const target_table_t *table,
                         const route_query_t *query, rng_t *rng)
{
    target_t *best = NULL;
    uint32_t start = rng_below(rng, table->count);
    for (uint32_t i = 0; i < table->count; i++) {
        target_t *target = table->targets[(start + i) % table->count];
        if (is_candidate(target, query) &&
            (best == NULL || load_per_1024(target) < load_per_1024(best))) {
            best = target;
        }
    }
    return best;
}

/// Chooses the less loaded of two random candidates.
static target_t *
choose_two_choices(const target_table_t *table, const route_query_t *query,
                   rng_t *rng)
{
    target_t *first = choose_random(table, query, rng);
    target_t *second = first == NULL ? NULL : choose_random(table, query, rng);
    if (second == NULL) {
        return first;
    }
    return load_per_1024(second) < load_per_1024(first) ? second : first;
}

/// @return target i of a sample that is spread over the whole table, so that
/// the result does not depend on the order of the table
static target_t *
sample_target(const target_table_t *table, uint32_t start, uint32_t i)
{
    uint64_t index = start + (uint64_t)i * kSampleStride;
    return table->targets[index % table->count];
}

/// Chooses the fastest candidate of a sample.
static target_t *
choose_expected(const target_table_t *table, const route_query_t *query,
                rng_t *rng)
{
    target_t *best = NULL;
    uint32_t seen_count = 0;
    uint32_t start = rng_below(rng, table->count);
    for (uint32_t i = 0; i < table->count && seen_count < kSampleSize; i++) {
        target_t *target = sample_target(table, start, i);
        if (!is_candidate(target, query)) {
            continue;
        }
        seen_count++;
        if (best == NULL || target_slowness_log2_milli(target) <
                                target_slowness_log2_milli(best)) {
            best = target;
        }
    }
    return best;
}

/// Chooses the slowest candidate on which the task still ends before the
/// earliest end of its job, so that fast targets stay free for the tasks that
/// determine when a job ends. Chooses the fastest candidate for such a task,
/// and if no candidate is fast enough.
static target_t *
choose_slack(const target_table_t *table, const route_query_t *query,
             rng_t *rng)
{
    target_t *best = NULL;
    uint32_t seen_count = 0;
    uint32_t start = rng_below(rng, table->count);
    if (query->expected_ns == 0 || query->slack_ns <= 0) {
        return choose_expected(table, query, rng);
    }
    int64_t max_slowness_log2_milli =
        target_time_ratio_log2_milli(query->slack_ns, query->expected_ns);
    for (uint32_t i = 0; i < table->count && seen_count < kSampleSize; i++) {
        target_t *target = sample_target(table, start, i);
        if (!is_candidate(target, query)) {
            continue;
        }
        seen_count++;
        int64_t slowness_log2_milli = target_slowness_log2_milli(target);
        if (slowness_log2_milli <= max_slowness_log2_milli &&
            (best == NULL ||
             slowness_log2_milli > target_slowness_log2_milli(best))) {
            best = target;
        }
    }
    return best != NULL ? best : choose_expected(table, query, rng);
}

const route_ops_t route_table[kRoutingCount] = {
    [kRoutingRandom] = {.name = "random", .choose = choose_random},
    [kRoutingLeastOutstanding] = {.name = "least_outstanding",
                                  .choose = choose_least_outstanding},
    [kRoutingTwoChoices] = {.name = "two_choices",
                            .choose = choose_two_choices},
    [kRoutingExpected] = {.name = "expected", .choose = choose_expected},
    [kRoutingSlack] = {.name = "slack", .choose = choose_slack},
};

/// Chooses a target and reserves a slot, without changing the query.
static target_t *
reserve_once(routing_t routing, const target_table_t *table,
             const route_query_t *query, rng_t *rng)
{
    for (uint32_t i = 0; i < kReserveAttempts; i++) {
        target_t *target = route_table[routing].choose(table, query, rng);
        if (target == NULL ||
            target_reserve(target, query->may_borrow, query->now_ns)) {
            return target;
        }
    }
    return NULL;
}

target_t *
route_reserve(routing_t routing, const target_table_t *table,
              const route_query_t *query, rng_t *rng)
{
    if (table->count == 0) {
        return NULL;
    }
    target_t *target = reserve_once(routing, table, query, rng);
    if (target != NULL) {
        return target;
    }
    route_query_t borrowing_query = *query;
    borrowing_query.may_borrow = true;
    return reserve_once(routing, table, &borrowing_query, rng);
}
