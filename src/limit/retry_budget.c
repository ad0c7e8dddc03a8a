#include "limit/retry_budget.h"

enum {
    kPerRetryMilli = 1000,
    kEarnedPerStartMilli = 100,  ///< one retry per ten starts
    kMaxTokensMilli = 50 * 1000, ///< retries without new starts
};

void
retry_budget_init(retry_budget_t *budget)
{
    budget->tokens_milli = kMaxTokensMilli;
}

void
retry_budget_earn(retry_budget_t *budget)
{
    budget->tokens_milli += kEarnedPerStartMilli;
    if (budget->tokens_milli > kMaxTokensMilli) {
        budget->tokens_milli = kMaxTokensMilli;
    }
}

bool
retry_budget_take(retry_budget_t *budget)
{
    if (budget->tokens_milli < kPerRetryMilli) {
        return false;
    }
    budget->tokens_milli -= kPerRetryMilli;
    return true;
}
