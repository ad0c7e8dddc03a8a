#include "limit/retry_budget.h"

enum {
    kRetryCostMilli = 1000,
    kDepositPerFirstTryMilli = 100, ///< one retry per ten starts
    kMaxTokensMilli = 50 * 1000,    ///< retries without new starts
};

void
retry_budget_init(retry_budget_t *budget)
{
    budget->tokens_milli = kMaxTokensMilli;
}

void
retry_budget_deposit(retry_budget_t *budget)
{
    budget->tokens_milli += kDepositPerFirstTryMilli;
    if (budget->tokens_milli > kMaxTokensMilli) {
        budget->tokens_milli = kMaxTokensMilli;
    }
}

bool
retry_budget_withdraw(retry_budget_t *budget)
{
    if (budget->tokens_milli < kRetryCostMilli) {
        return false;
    }
    budget->tokens_milli -= kRetryCostMilli;
    return true;
}
