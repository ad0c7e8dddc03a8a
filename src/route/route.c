#include "route/route.h"

#include <stddef.h>

enum {
    kReserveTries = 4,   ///< another thread may take the slot first
    kSampleSize = 64,    ///< targets that are compared at most
    kSampleStride = 7919 ///< a prime that no table's size shares
};

static bool
is_candidate(const target_t *target, const route_query_t *query)
{
    return target_is_open(target, query->may_borrow, query->now_ns) &&
           target_fits(target, query->needs);
}

/// @return the first candidate from a place on, or NULL
static target_t *
find_from(const target_table_t *table, uint32_t start,
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

/// Any candidate.
static target_t *
choose_random(const target_table_t *table, const route_query_t *query,
              rng_t *rng)
{
    return find_from(table, rng_below(rng, table->count), query);
}

/// @return slots in use over slots, in 1/1024
static uint32_t
load_of(const target_t *target)
{
    return atomic_load_explicit(&target->outstanding, memory_order_relaxed) *
           1024 / target->slots;
}

/// The candidate with the least part of its slots in use.
static target_t *
choose_least(const target_table_t *table, const route_query_t *query,
             rng_t *rng)
{
    target_t *best = NULL;
    uint32_t start = rng_below(rng, table->count);
    for (uint32_t i = 0; i < table->count; i++) {
        target_t *target = table->targets[(start + i) % table->count];
        if (is_candidate(target, query) &&
            (best == NULL || load_of(target) < load_of(best))) {
            best = target;
        }
    }
    return best;
}

/// The less loaded of two random candidates.
static target_t *
choose_two(const target_table_t *table, const route_query_t *query, rng_t *rng)
{
    target_t *first = choose_random(table, query, rng);
    target_t *second = first == NULL ? NULL : choose_random(table, query, rng);
    if (second == NULL) {
        return first;
    }
    return load_of(second) < load_of(first) ? second : first;
}

/// @return target i of a sample that is spread over the whole table, whatever
/// order it has
static target_t *
sample(const target_table_t *table, uint32_t start, uint32_t i)
{
    uint64_t place = start + (uint64_t)i * kSampleStride;
    return table->targets[place % table->count];
}

/// @return the fastest candidate of a sample, or NULL
static target_t *
choose_expected(const target_table_t *table, const route_query_t *query,
                rng_t *rng)
{
    target_t *best = NULL;
    uint32_t seen_count = 0;
    uint32_t start = rng_below(rng, table->count);
    for (uint32_t i = 0; i < table->count && seen_count < kSampleSize; i++) {
        target_t *target = sample(table, start, i);
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

/// The slowest candidate on which the task still ends before its job can,
/// so that the fast ones are left for tasks that jobs wait for; the fastest
/// where there is none, or where the task is itself one of these.
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
    int64_t room =
        target_time_ratio_log2_milli(query->slack_ns, query->expected_ns);
    for (uint32_t i = 0; i < table->count && seen_count < kSampleSize; i++) {
        target_t *target = sample(table, start, i);
        if (!is_candidate(target, query)) {
            continue;
        }
        seen_count++;
        int64_t slowness = target_slowness_log2_milli(target);
        if (slowness <= room &&
            (best == NULL || slowness > target_slowness_log2_milli(best))) {
            best = target;
        }
    }
    return best != NULL ? best : choose_expected(table, query, rng);
}

const route_ops_t route_table[kRoutingCount] = {
    [kRoutingRandom] = {.name = "random", .choose = choose_random},
    [kRoutingLeastOutstanding] = {.name = "least_outstanding",
                                  .choose = choose_least},
    [kRoutingTwoChoices] = {.name = "two_choices", .choose = choose_two},
    [kRoutingExpected] = {.name = "expected", .choose = choose_expected},
    [kRoutingSlack] = {.name = "slack", .choose = choose_slack},
};

/// Chooses by the query as it is and takes a slot.
static target_t *
reserve_once(routing_t routing, const target_table_t *table,
             const route_query_t *query, rng_t *rng)
{
    for (uint32_t i = 0; i < kReserveTries; i++) {
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
    route_query_t wider = *query;
    wider.may_borrow = true;
    return reserve_once(routing, table, &wider, rng);
}
