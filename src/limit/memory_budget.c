#include "limit/memory_budget.h"

enum {
    kGrowthPercent = 85, ///< ceiling of what grows
    kShortPercent = 70,  ///< from here on, holders have to go
    kRelaxedPercent = 60 ///< until so much is used
};

static uint64_t
share_bytes(const memory_budget_t *budget, uint32_t percent)
{
    return budget->limit_bytes / 100 * percent;
}

void
memory_budget_init(memory_budget_t *budget, uint64_t limit_bytes)
{
    budget->limit_bytes = limit_bytes;
    atomic_store(&budget->used_bytes, 0);
    atomic_store(&budget->expected_bytes, 0);
}

bool
memory_budget_charge(memory_budget_t *budget, uint64_t bytes, budget_use_t use)
{
    uint64_t ceiling_bytes = use == kBudgetUseSmall
                                 ? budget->limit_bytes
                                 : share_bytes(budget, kGrowthPercent);
    uint64_t used_bytes = atomic_load(&budget->used_bytes);
    do {
        if (used_bytes > ceiling_bytes || bytes > ceiling_bytes - used_bytes) {
            return false;
        }
    } while (!atomic_compare_exchange_weak(&budget->used_bytes, &used_bytes,
                                           used_bytes + bytes));
    return true;
}

void
memory_budget_release(memory_budget_t *budget, uint64_t bytes)
{
    atomic_fetch_sub(&budget->used_bytes, bytes);
}

uint64_t
memory_budget_excess_bytes(const memory_budget_t *budget)
{
    uint64_t used_bytes = atomic_load(&budget->used_bytes);
    uint64_t expected_bytes = atomic_load(&budget->expected_bytes);
    uint64_t left_bytes =
        used_bytes > expected_bytes ? used_bytes - expected_bytes : 0;
    return left_bytes > share_bytes(budget, kShortPercent)
               ? left_bytes - share_bytes(budget, kRelaxedPercent)
               : 0;
}
