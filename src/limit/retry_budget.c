#include "limit/retry_budget.h"

enum {
    kTokenMilli = 1000,
    kEarnedMilli = 100,     ///< one retry for ten starts
    kMostMilli = 50 * 1000, ///< retries at once
};

void
retry_budget_init(retry_budget_t *budget)
{
    budget->tokens_milli = kMostMilli;
}

void
retry_budget_earn(retry_budget_t *budget)
{
    budget->tokens_milli += kEarnedMilli;
    if (budget->tokens_milli > kMostMilli) {
        budget->tokens_milli = kMostMilli;
    }
}

bool
retry_budget_take(retry_budget_t *budget)
{
    if (budget->tokens_milli < kTokenMilli) {
        return false;
    }
    budget->tokens_milli -= kTokenMilli;
    return true;
}
