/// Waits of orders: how far they exceed what is guessed.
#include <apr_general.h>

#include "pool/state.h"
#include "support/sim.h"
#include "support/suite.h"

enum { kOrders = 200, kTasks = 2 };

static world_t world;

static int64_t
work_100ms(world_t *of, const run_name_t *name)
{
    (void)of;
    (void)name;
    return MS_TO_NS(100);
}

/// Has orders of a priority wait for so long where 100 ms were guessed.
static void
learn_waits(uint32_t priority, int64_t wait_ms)
{
    const order_t spec = {.priority = priority};
    for (uint32_t i = 0; i < kOrders; i++) {
        pool_order_t order = {.order = &spec, .guess_ns = MS_TO_NS(100)};
        wait_learn(world.pools[0], &order, MS_TO_NS(wait_ms));
    }
}

/// @return how long an order is expected to wait behind two runs of 100 ms
static int64_t
expect_ms(uint32_t priority)
{
    order_step_t step = {.task_count = kTasks, .cpu_mcores = 14000};
    order_t spec = {.priority = priority, .steps = &step, .steps_count = 1};
    pool_order_t order = {.order = &spec};
    return wait_expect_ns(world.pools[0], &order, world.now_ns) / MS_TO_NS(1);
}

static void
open_world(void)
{
    world_init(&world, 1, 1);
    world.work_ns = work_100ms;
    world_own(&world, 0, 5);
    world_run_until(&world, world.now_ns + MS_TO_NS(50));
    world_order(&world, 0, "a1", kTasks, 100, 0);
    world_run_until(&world, world.now_ns + MS_TO_NS(20));
}

static void
test_wait_is_as_guessed_at_first(void)
{
    open_world();
    CU_ASSERT(expect_ms(0) >= 70 && expect_ms(0) <= 100);
    world_clear(&world);
}

static void
test_longer_waits_are_learned(void)
{
    open_world();
    int64_t before_ms = expect_ms(1);
    learn_waits(1, 300);
    CU_ASSERT(expect_ms(1) > before_ms * 5 / 2);
    CU_ASSERT(expect_ms(1) < before_ms * 7 / 2);
    world_clear(&world);
}

static void
test_long_waits_are_forgotten(void)
{
    open_world();
    int64_t before_ms = expect_ms(1);
    learn_waits(1, 2000);
    CU_ASSERT(expect_ms(1) > before_ms * 10);
    world_run_until(&world, world.now_ns + MS_TO_NS(500));
    for (uint32_t i = 0; i < 3 * kOrders; i++) {
        CU_ASSERT_EQUAL(expect_ms(1), 0); // begins at once
    }
    world_order(&world, 0, "b1", kTasks, 100, 0);
    world_run_until(&world, world.now_ns + MS_TO_NS(20));
    CU_ASSERT(expect_ms(1) < before_ms * 3 / 2);
    world_clear(&world);
}

static void
test_priorities_are_apart(void)
{
    open_world();
    int64_t before_ms = expect_ms(0);
    learn_waits(2, 1000);
    CU_ASSERT_EQUAL(expect_ms(0), before_ms);
    // Any priority is known, and none is out of bounds.
    CU_ASSERT(expect_ms(UINT32_MAX) > 0);
    world_clear(&world);
}

static void
test_wait_of_no_end_is_bounded(void)
{
    world_init(&world, 1, 1);
    learn_waits(0, 1000000);
    // No target is open: nothing says when there will be room.
    CU_ASSERT(expect_ms(0) > 0);
    world_clear(&world);
}

int
main(void)
{
    const CU_TestInfo tests[] = {
        {"a wait is as guessed at first", test_wait_is_as_guessed_at_first},
        {"longer waits are learned", test_longer_waits_are_learned},
        {"long waits are forgotten", test_long_waits_are_forgotten},
        {"priorities are apart", test_priorities_are_apart},
        {"a wait without an end is bounded", test_wait_of_no_end_is_bounded},
        CU_TEST_INFO_NULL,
    };
    apr_initialize();
    return suite_run("wait", tests);
}
