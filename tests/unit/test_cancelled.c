/// Jobs that were cancelled, and the orders of a pool that are refused for it.
#include "pool/cancelled.h"

#include <apr_general.h>
#include <stdio.h>

#include "base/units.h"
#include "support/sim.h"
#include "support/suite.h"

enum { kKeepMs = 15000, kManyJobs = 5000, kTaskMs = 100, kStopMs = 50 };

static void
test_entries_expire(void)
{
    cancelled_t *cancelled = cancelled_create();
    cancelled_add(cancelled, "q", "a1", 0);
    CU_ASSERT_TRUE(cancelled_has(cancelled, "q", "a1", MS_TO_NS(1)));
    CU_ASSERT_FALSE(cancelled_has(cancelled, "r", "a1", MS_TO_NS(1)));
    CU_ASSERT_FALSE(cancelled_has(cancelled, "q", "a2", MS_TO_NS(1)));
    CU_ASSERT_TRUE(cancelled_has(cancelled, "q", "a1", MS_TO_NS(kKeepMs) - 1));
    CU_ASSERT_FALSE(cancelled_has(cancelled, "q", "a1", MS_TO_NS(kKeepMs)));
    cancelled_destroy(cancelled);
}

/// The oldest entries are forgotten first, and the memory is bounded.
static void
test_many_entries(void)
{
    char job[16];
    cancelled_t *cancelled = cancelled_create();
    for (uint32_t i = 0; i < kManyJobs; i++) {
        snprintf(job, sizeof job, "%x", i);
        cancelled_add(cancelled, "q", job, MS_TO_NS(1));
    }
    CU_ASSERT_TRUE(cancelled_has(cancelled, "q", job, MS_TO_NS(2)));
    CU_ASSERT_FALSE(cancelled_has(cancelled, "q", "0", MS_TO_NS(2)));
    cancelled_destroy(cancelled);
}

static int64_t
work_ns(sim_t *sim, const run_name_t *name)
{
    (void)sim;
    (void)name;
    return MS_TO_NS(kTaskMs);
}

static void
run_for_ms(sim_t *sim, int64_t ms)
{
    sim_run_until(sim, sim->now_ns + MS_TO_NS(ms));
}

/// A running order is stopped; one that comes later does not start. Another
/// queue may have a job of the same name.
static void
test_order_is_cancelled(void)
{
    sim_t sim;
    sim_init(&sim, 2, 1);
    sim.work_ns = work_ns;
    sim_assign_targets(&sim, 0, 5);
    run_for_ms(&sim, kStopMs);
    sim_submit_equal(&sim, 0, "a1", 2, kTaskMs, 0);
    run_for_ms(&sim, 10);
    CU_ASSERT_FALSE(pool_cancel_job(sim.pools[0], "other", "a1", sim.now_ns));
    CU_ASSERT_EQUAL(sim.counts.outcomes[kOrderOutcomeFailed], 0);
    CU_ASSERT_TRUE(pool_cancel_job(sim.pools[0], "q", "a1", sim.now_ns));
    CU_ASSERT_EQUAL(sim.counts.outcomes[kOrderOutcomeFailed], 1);
    run_for_ms(&sim, kStopMs);
    CU_ASSERT_EQUAL(sim.targets[0].run_count + sim.targets[1].run_count, 0);
    sim_submit_equal(&sim, 0, "a1", 2, kTaskMs, 0);
    run_for_ms(&sim, kStopMs);
    CU_ASSERT_EQUAL(sim.counts.starts, 2);
    CU_ASSERT_EQUAL(sim.counts.outcomes[kOrderOutcomeFailed], 2);
    CU_ASSERT_FALSE(pool_cancel_job(sim.pools[0], "q", "a1", sim.now_ns));
    sim_clear(&sim);
}

int
main(void)
{
    const CU_TestInfo tests[] = {
        {"entries expire", test_entries_expire},
        {"many entries", test_many_entries},
        {"an order is cancelled", test_order_is_cancelled},
        CU_TEST_INFO_NULL,
    };
    apr_initialize();
    return suite_run("cancelled", tests);
}
