/// Placement while targets are handed over to another owner.
#include <apr_general.h>

#include "pool/state.h"
#include "support/sim.h"
#include "support/suite.h"

enum {
    kLargeMcores = 14000, ///< two fit on a target
    kLeftMs = 3000
};

static sim_t sim;
static pool_order_result_t last_result;

static void
record_result(sim_t *simulation, uint32_t pool,
              const pool_order_result_t *result)
{
    (void)simulation;
    (void)pool;
    last_result = *result;
}

static int64_t
work_100ms(sim_t *simulation, const run_name_t *name)
{
    (void)simulation;
    (void)name;
    return MS_TO_NS(100);
}

static void
run_for_ms(int64_t ms)
{
    sim_run_until(&sim, sim.now_ns + MS_TO_NS(ms));
}

static void
create_sim(uint32_t target_count)
{
    sim_init(&sim, target_count, 1);
    sim.work_ns = work_100ms;
    sim_assign_targets(&sim, 0, 5);
    run_for_ms(50);
}

static void
submit(const char *job, uint32_t task_count, uint32_t estimate_ms)
{
    order_step_t step = {.task_count = task_count,
                         .cpu_mcores = kLargeMcores,
                         .memory_mb = 64,
                         .estimate_ms = estimate_ms,
                         .constraint = "",
                         .data_rack = ""};
    order_t order = {.job = job,
                     .service = "s",
                     .queue = "q",
                     .payload = "p",
                     .attempt_limit = 3,
                     .slo_ms = kLeftMs,
                     .stretch_permille = 1600,
                     .left_ms = kLeftMs,
                     .steps = &step,
                     .steps_count = 1};
    sim_submit(&sim, 0, &order);
}

static void
hand_over(uint32_t target, int64_t in_ms)
{
    pool_set_target_handover(sim.pools[0], sim.targets[target].info.id,
                             sim.now_ns + MS_TO_NS(in_ms));
}

static pool_target_t *
find_target(uint32_t target)
{
    return apr_hash_get(sim.pools[0]->targets, sim.targets[target].info.id,
                        APR_HASH_KEY_STRING);
}

/// A surge of mixed tasks during a handover: a long one is first in line, and
/// no target has the time for it. Targets have the resources for the short
/// ones behind it, which are of the same size.
static void
test_long_task_does_not_block_short_ones(void)
{
    create_sim(1);
    submit("a", 2, 100);
    run_for_ms(20);
    submit("b", 1, 400);
    submit("c", 1, 100);
    hand_over(0, 500);
    run_for_ms(150);
    CU_ASSERT_EQUAL(sim.targets[0].run_count, 1);
    run_for_ms(150);
    CU_ASSERT_EQUAL(sim.counts.starts, 3);
    CU_ASSERT_EQUAL(sim.counts.outcomes[kOrderOutcomeComplete], 2);
    hand_over(0, kLeftMs);
    run_for_ms(200);
    CU_ASSERT_EQUAL(sim.counts.starts, 4);
    sim_clear(&sim);
}

/// A task that must run alone needs a target that becomes free and stays:
/// otherwise the one with fewer runs, which is handed over, would be kept free
/// for it in vain, and the other one never.
static void
test_no_target_is_reserved_that_is_handed_over(void)
{
    create_sim(2);
    submit("a", 2, 100);
    run_for_ms(20);
    uint32_t busy = sim.targets[0].run_count > 0 ? 0 : 1;
    run_loss_t loss = {.job = "d", .target = "t9", .born_ms = 7};
    losses_add(sim.pools[0]->losses, &loss, sim.now_ns);
    hand_over(1 - busy, 100);
    submit("d", 1, 100);
    run_for_ms(5);
    CU_ASSERT_FALSE(find_target(1 - busy)->is_reserved);
    CU_ASSERT_TRUE(find_target(busy)->is_reserved);
    sim_clear(&sim);
}

/// A task would be late on the slow target that is free. The fast one will be
/// another owner's before it could take the task.
static void
test_no_wait_for_target_that_is_handed_over(void)
{
    create_sim(2);
    find_target(0)->slowness_permille = 16000;
    hand_over(1, 100);
    submit("a", 1, 400);
    run_for_ms(20);
    CU_ASSERT_EQUAL(sim.targets[0].run_count, 1);
    sim_clear(&sim);
}

/// The target that fits an order passes to another owner, while others stay:
/// that is no reason to tell the caller that nothing will ever run the job.
static void
test_handover_is_no_misfit(void)
{
    create_sim(2);
    sim.on_settled = record_result;
    find_target(1)->info.cpu_mcores = kLargeMcores / 2;
    hand_over(0, 100);
    submit("a", 1, 400);
    CU_ASSERT_EQUAL(last_result.kind, kErrorKindNoDispatcher);
    find_target(0)->info.cpu_mcores = kLargeMcores / 2;
    submit("b", 1, 400);
    CU_ASSERT_EQUAL(last_result.kind, kErrorKindNoFit);
    sim_clear(&sim);
}

/// The targets are the next owner's in a second: a caller without another
/// owner is not sent away for the time of a wait that nobody can estimate.
static void
test_refusal_for_handover_is_short(void)
{
    create_sim(1);
    sim.on_settled = record_result;
    hand_over(0, 100);
    submit("a", 1, 400);
    CU_ASSERT_EQUAL(last_result.kind, kErrorKindNoDispatcher);
    CU_ASSERT(last_result.retry_after_ms <= kLeftMs);
    sim_clear(&sim);
}

/// Another data centre is evacuated while the last targets of this pool have
/// been handed over: its orders end at once, not when they are dropped.
static void
test_orders_are_stranded_by_handover(void)
{
    create_sim(1);
    submit("a", 2, 100);
    run_for_ms(20);
    submit("b", 1, 400);
    pool_set_evacuating(sim.pools[0], true);
    hand_over(0, 50);
    run_for_ms(20);
    CU_ASSERT_EQUAL(sim.counts.outcomes[kOrderOutcomeRefused], 0);
    run_for_ms(60);
    CU_ASSERT_EQUAL(sim.counts.outcomes[kOrderOutcomeRefused], 1);
    sim_clear(&sim);
}

int
main(void)
{
    apr_initialize();
    const CU_TestInfo tests[] = {
        {"a long task does not block short ones",
         test_long_task_does_not_block_short_ones},
        {"no target is reserved that is handed over",
         test_no_target_is_reserved_that_is_handed_over},
        {"no wait for a target that is handed over",
         test_no_wait_for_target_that_is_handed_over},
        {"a handover is no misfit", test_handover_is_no_misfit},
        {"a refusal for a handover is short",
         test_refusal_for_handover_is_short},
        {"orders are stranded by a handover",
         test_orders_are_stranded_by_handover},
        CU_TEST_INFO_NULL,
    };
    return suite_run("place", tests);
}
