#include "pool/value.h"

enum {
    kPermille = 1000,
    /// Part of a job's value that does not depend on its work: a caller waits
    /// for the answer to a small job, too.
    kFixedValuePermille = 200,
    kMaxSharePermille = 100000, ///< of the mean work, for one job
    /// How far behind its arrival a job of mean work of the most urgent
    /// priority ranks, in its objective. Jobs that cost less for their value
    /// overtake it if they arrive within that time: no job waits for ever.
    kDelayPermille = 500,
    kPriorityFactorPermille = 1500, ///< on the delay, for each priority
    kMaxPriority = 7,               ///< with a factor of its own
    kPriorityAdmitPercent = 85,
    /// All of the objective: what is more valuable overtakes a job that was
    /// accepted in vain, which is then refused.
    kValueAdmitPercent = 100
};

static value_rank_t
rank_by_priority(const value_facts_t *facts)
{
    return (value_rank_t){.level = facts->priority,
                          .time_ns = facts->received_ns};
}

/// @return the work that a job needs for its value, relative to a job of mean
///         work of its queue
static int64_t
read_cost_permille(const value_facts_t *facts)
{
    uint64_t share = facts->mean_work == 0
                         ? kPermille
                         : facts->work * kPermille / facts->mean_work;
    share = share < kMaxSharePermille ? share : kMaxSharePermille;
    uint64_t value = kFixedValuePermille +
                     (kPermille - kFixedValuePermille) * share / kPermille;
    return (int64_t)(share * kPermille / value);
}

/// Ranks a job by its arrival and a delay in proportion to its objective and
/// to its cost. Large jobs of a queue yield to small ones, patient ones to
/// those that have little time, less urgent priorities to more urgent ones;
/// each only for the time that its own objective leaves.
static value_rank_t
rank_by_value(const value_facts_t *facts)
{
    int64_t delay_ns = facts->objective_ns / kPermille * kDelayPermille /
                       kPermille * read_cost_permille(facts);
    for (uint32_t i = 0; i < facts->priority && i < kMaxPriority; i++) {
        delay_ns = delay_ns / kPermille * kPriorityFactorPermille;
    }
    return (value_rank_t){.time_ns = facts->received_ns + delay_ns};
}

static const value_policy_t policies[kWaitOrderCount] = {
    [kWaitOrderPriority] = {.rank = rank_by_priority,
                            .admit_percent = kPriorityAdmitPercent},
    [kWaitOrderValue] = {.rank = rank_by_value,
                         .admit_percent = kValueAdmitPercent}};

const value_policy_t *
value_find_policy(wait_order_t order)
{
    return &policies[order < kWaitOrderCount ? order : kWaitOrderPriority];
}

bool
value_precedes(const value_rank_t *left, const value_rank_t *right)
{
    return left->level != right->level ? left->level < right->level
                                       : left->time_ns < right->time_ns;
}
