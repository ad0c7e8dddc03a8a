/// A budget that limits retries to a fraction of the first starts, so that
/// retries do not multiply the load on targets that already refuse tasks. Used
/// by one thread only.
#ifndef JT_LIMIT_RETRY_BUDGET_H
#define JT_LIMIT_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

typedef struct {
    uint32_t tokens_milli; ///< retries available, in 1/1000
} retry_budget_t;

/// Initializes a full budget.
void retry_budget_init(retry_budget_t *budget);

/// Adds to the budget for the first start of a task.
void retry_budget_deposit(retry_budget_t *budget);

/// Takes one retry from the budget.
///
/// @return whether one was available
bool retry_budget_withdraw(retry_budget_t *budget);

#endif
