/// A budget for retries: a part of the starts, so that retries cannot
/// multiply a load that targets refuse already. Kept by one thread.
#ifndef JT_LIMIT_RETRY_BUDGET_H
#define JT_LIMIT_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

typedef struct {
    uint32_t tokens_milli; ///< retries that may be made now, in 1/1000
} retry_budget_t;

/// Starts with a full budget.
void retry_budget_init(retry_budget_t *budget);

/// Notes a first start of a task, which earns a part of a retry.
void retry_budget_earn(retry_budget_t *budget);

/// Takes one retry.
///
/// @return whether the budget had one
bool retry_budget_take(retry_budget_t *budget);

#endif
