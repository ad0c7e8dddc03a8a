/// Estimates of the waits of orders, and their correction.
#include <apr_general.h>

#include "pool/state.h"
#include "support/sim.h"
#include "support/suite.h"

enum { kOrderCount = 200, kTaskCount = 2 };

static sim_t sim;

static int64_t
work_100ms(sim_t *simulation, const run_name_t *name)
{
    (void)simulation;
    (void)name;
    return MS_TO_NS(100);
}

/// Records orders of a priority that waited for `wait_ms` instead of an
/// estimated 100 ms.
static void
record_waits(uint32_t priority, int64_t wait_ms)
{
    const order_t spec = {.priority = priority};
    for (uint32_t i = 0; i < kOrderCount; i++) {
        pool_order_t order = {.spec = &spec,
                              .estimated_wait_ns = MS_TO_NS(100)};
        wait_record_actual(sim.pools[0], &order, MS_TO_NS(wait_ms));
    }
}

/// @return the estimated wait of an order behind two runs of 100 ms
static int64_t
estimate_wait_ms(uint32_t priority)
{
    order_step_t step = {.task_count = kTaskCount, .cpu_mcores = 14000};
    order_t spec = {.priority = priority, .steps = &step, .steps_count = 1};
    pool_order_t order = {.spec = &spec};
    return wait_estimate_ns(sim.pools[0], &order, sim.now_ns) / MS_TO_NS(1);
}

static void
create_sim(void)
{
    sim_init(&sim, 1, 1);
    sim.work_ns = work_100ms;
    sim_assign_targets(&sim, 0, 5);
    sim_run_until(&sim, sim.now_ns + MS_TO_NS(50));
    sim_submit_equal(&sim, 0, "a1", kTaskCount, 100, 0);
    sim_run_until(&sim, sim.now_ns + MS_TO_NS(20));
}

static void
test_first_wait_is_uncorrected(void)
{
    create_sim();
    CU_ASSERT(estimate_wait_ms(0) >= 70 && estimate_wait_ms(0) <= 100);
    sim_clear(&sim);
}

/// The order must wait although a target is free, as that one passes to
/// another owner too soon: it is told so on admission.
static void
test_handed_over_target_shortens_no_wait(void)
{
    sim_init(&sim, 2, 1);
    sim.work_ns = work_100ms;
    sim_assign_targets(&sim, 0, 5);
    sim_run_until(&sim, sim.now_ns + MS_TO_NS(50));
    sim_submit_equal(&sim, 0, "a1", 2 * kTaskCount, 100, 0);
    sim_run_until(&sim, sim.now_ns + MS_TO_NS(20));
    order_step_t step = {
        .task_count = 1, .cpu_mcores = 14000, .estimate_ms = 2000};
    order_t spec = {.steps = &step, .steps_count = 1};
    pool_order_t order = {.spec = &spec};
    sim.targets[1].runs[0].end_ns = sim.now_ns;
    sim_run_until(&sim, sim.now_ns + MS_TO_NS(50));
    CU_ASSERT_EQUAL(wait_estimate_ns(sim.pools[0], &order, sim.now_ns), 0);
    pool_set_target_handover(sim.pools[0], sim.targets[1].info.id,
                             sim.now_ns + MS_TO_NS(1000));
    CU_ASSERT(wait_estimate_ns(sim.pools[0], &order, sim.now_ns) > 0);
    sim_clear(&sim);
}

static void
test_longer_waits_raise_estimate(void)
{
    create_sim();
    int64_t before_ms = estimate_wait_ms(1);
    record_waits(1, 300);
    CU_ASSERT(estimate_wait_ms(1) > before_ms * 5 / 2);
    CU_ASSERT(estimate_wait_ms(1) < before_ms * 7 / 2);
    sim_clear(&sim);
}

static int64_t
work_2s(sim_t *simulation, const run_name_t *name)
{
    (void)simulation;
    (void)name;
    return MS_TO_NS(2000);
}

/// An order that is given up has waited longer than estimated, although it
/// never started.
static void
test_given_up_order_raises_estimate(void)
{
    sim_init(&sim, 1, 1);
    sim.work_ns = work_2s; // the orders declare 100 ms
    sim_assign_targets(&sim, 0, 5);
    sim_run_until(&sim, sim.now_ns + MS_TO_NS(50));
    sim_submit_equal(&sim, 0, "a1", kTaskCount, 100, 0);
    sim_run_until(&sim, sim.now_ns + MS_TO_NS(20));
    sim_submit_equal(&sim, 0, "b1", kTaskCount, 100, 1);
    sim_run_until(&sim, sim.now_ns + MS_TO_NS(1000));
    CU_ASSERT_EQUAL(sim.counts.outcomes[kOrderOutcomeRefused], 1);
    CU_ASSERT(sim.pools[0]->wait_correction_permille[1] > 1000);
    sim_clear(&sim);
}

static void
test_correction_decays_without_waits(void)
{
    create_sim();
    int64_t before_ms = estimate_wait_ms(1);
    record_waits(1, 2000);
    CU_ASSERT(estimate_wait_ms(1) > before_ms * 10);
    sim_run_until(&sim, sim.now_ns + MS_TO_NS(500));
    for (uint32_t i = 0; i < 3 * kOrderCount; i++) {
        CU_ASSERT_EQUAL(estimate_wait_ms(1), 0); // can start at once
    }
    sim_submit_equal(&sim, 0, "b1", kTaskCount, 100, 0);
    sim_run_until(&sim, sim.now_ns + MS_TO_NS(20));
    CU_ASSERT(estimate_wait_ms(1) < before_ms * 3 / 2);
    sim_clear(&sim);
}

static void
test_priorities_have_separate_corrections(void)
{
    create_sim();
    int64_t before_ms = estimate_wait_ms(0);
    record_waits(2, 1000);
    CU_ASSERT_EQUAL(estimate_wait_ms(0), before_ms);
    // Priorities beyond the last one share its correction.
    CU_ASSERT(estimate_wait_ms(UINT32_MAX) > 0);
    sim_clear(&sim);
}

/// Under overload, tasks that wait are larger than what is left of the
/// targets. An order with smaller tasks does not wait behind them: it can use
/// that.
static void
test_small_tasks_use_gaps(void)
{
    create_sim();
    sim_submit_equal(&sim, 0, "b1", kTaskCount, 100, 0);
    sim_run_until(&sim, sim.now_ns + MS_TO_NS(10));
    order_step_t small = {.task_count = 1, .cpu_mcores = 4000};
    order_t spec = {.steps = &small, .steps_count = 1};
    pool_order_t order = {.spec = &spec};
    CU_ASSERT_EQUAL(wait_estimate_ns(sim.pools[0], &order, sim.now_ns), 0);
    small.cpu_mcores = 5000;
    CU_ASSERT(wait_estimate_ns(sim.pools[0], &order, sim.now_ns) > 0);
    sim_clear(&sim);
}

static void
test_estimate_is_bounded(void)
{
    sim_init(&sim, 1, 1);
    record_waits(0, 1000000);
    // No target accepts starts, so no end of a run can be expected.
    CU_ASSERT(estimate_wait_ms(0) > 0);
    sim_clear(&sim);
}

int
main(void)
{
    const CU_TestInfo tests[] = {
        {"the first wait is uncorrected", test_first_wait_is_uncorrected},
        {"a target that is handed over shortens no wait",
         test_handed_over_target_shortens_no_wait},
        {"longer waits raise the estimate", test_longer_waits_raise_estimate},
        {"an order that is given up raises the estimate",
         test_given_up_order_raises_estimate},
        {"the correction decays without waits",
         test_correction_decays_without_waits},
        {"priorities have separate corrections",
         test_priorities_have_separate_corrections},
        {"small tasks use gaps", test_small_tasks_use_gaps},
        {"the estimate is bounded", test_estimate_is_bounded},
        CU_TEST_INFO_NULL,
    };
    apr_initialize();
    return suite_run("wait", tests);
}
