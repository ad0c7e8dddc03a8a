/// The value of waiting jobs under contention: who gets free resources first,
/// and so who waits, and who is turned away when there is too little room.
/// Pure: what is known of a job in, its rank out.
#ifndef JT_POOL_VALUE_H
#define JT_POOL_VALUE_H

#include <stdbool.h>
#include <stdint.h>

#include "generated/settings.h"

/// What the rank of a job depends on. Work is in 1/1000 core * 1 ms.
typedef struct {
    uint32_t priority; ///< 0 is the most urgent
    int64_t received_ns;
    int64_t objective_ns; ///< in which it should be answered
    uint64_t work;
    uint64_t mean_work; ///< of the jobs of its queue; 0 if not known yet
} value_facts_t;

/// A position among waiting jobs. Lower ones go first.
typedef struct {
    uint32_t level;
    int64_t time_ns; ///< within the level
} value_rank_t;

/// How jobs compete for resources.
typedef struct {
    value_rank_t (*rank)(const value_facts_t *facts);
    /// Part of its objective in which a job must be expected to complete when
    /// it is accepted although it has to wait.
    uint32_t admit_percent;
} value_policy_t;

const value_policy_t *value_find_policy(wait_order_t order);

/// @return whether a job goes before another one
bool value_precedes(const value_rank_t *left, const value_rank_t *right);

#endif
