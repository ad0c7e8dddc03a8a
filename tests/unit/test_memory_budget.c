/// The budget of bytes for unfinished requests.
#include "limit/memory_budget.h"

#include "support/suite.h"

enum { kLimitBytes = 100000 };

static memory_budget_t budget;

static void
test_charge_and_release(void)
{
    memory_budget_init(&budget, kLimitBytes);
    CU_ASSERT_TRUE(memory_budget_charge(&budget, 60000, kBudgetUseSmall));
    CU_ASSERT_FALSE(memory_budget_charge(&budget, 40001, kBudgetUseSmall));
    CU_ASSERT_TRUE(memory_budget_charge(&budget, 40000, kBudgetUseSmall));
    memory_budget_release(&budget, 100000);
    CU_ASSERT_TRUE(
        memory_budget_charge(&budget, kLimitBytes, kBudgetUseSmall));
    CU_ASSERT_FALSE(
        memory_budget_charge(&budget, UINT64_MAX, kBudgetUseSmall));
}

/// Requests that grow leave room for those that are small.
static void
test_growth_leaves_room(void)
{
    memory_budget_init(&budget, kLimitBytes);
    CU_ASSERT_TRUE(memory_budget_charge(&budget, 85000, kBudgetUseGrowth));
    CU_ASSERT_FALSE(memory_budget_charge(&budget, 1, kBudgetUseGrowth));
    CU_ASSERT_TRUE(memory_budget_charge(&budget, 15000, kBudgetUseSmall));
}

static void
test_excess(void)
{
    memory_budget_init(&budget, kLimitBytes);
    memory_budget_charge(&budget, 70000, kBudgetUseGrowth);
    CU_ASSERT_EQUAL(memory_budget_excess_bytes(&budget), 0);
    memory_budget_charge(&budget, 10000, kBudgetUseGrowth);
    CU_ASSERT_EQUAL(memory_budget_excess_bytes(&budget), 20000);
    // Bytes of holders that were told to go are not asked for again.
    atomic_store(&budget.expected_bytes, 15000);
    CU_ASSERT_EQUAL(memory_budget_excess_bytes(&budget), 0);
}

int
main(void)
{
    const CU_TestInfo tests[] = {
        {"charge and release", test_charge_and_release},
        {"growth leaves room", test_growth_leaves_room},
        {"excess", test_excess},
        CU_TEST_INFO_NULL,
    };
    return suite_run("memory_budget", tests);
}
