/// The pool against fake targets on a virtual clock.
#include "pool/pool.h"

#include <apr_general.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "support/sim.h"
#include "support/suite.h"

#define MS(ms) ((int64_t)(ms)*1000000)

enum { kTargets = 6, kSeeds = 20, kOwnersGapMs = 1300 };

static world_t world;

static int64_t
work_100ms(world_t *of, const run_name_t *name)
{
    (void)of;
    (void)name;
    return MS(100);
}

static int64_t
work_200ms(world_t *of, const run_name_t *name)
{
    (void)of;
    (void)name;
    return MS(200);
}

static void
open_world(uint32_t targets, uint64_t seed)
{
    world_init(&world, targets, seed);
    world.work_ns = work_100ms;
    world_own(&world, 0, 5);
    world_run_until(&world, world.now_ns + MS(50));
}

static void
pass_ms(int64_t ms)
{
    world_run_until(&world, world.now_ns + MS(ms));
}

static uint32_t
running_count(void)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < world.target_count; i++) {
        count += world.targets[i].run_count;
    }
    return count;
}

static void
test_order_runs(void)
{
    open_world(kTargets, 1);
    world_order(&world, 0, "a1", 8, 100, 0);
    pass_ms(50);
    CU_ASSERT_EQUAL(running_count(), 8);
    pass_ms(300);
    CU_ASSERT_EQUAL(world.tally.counts[kOrderOutcomeComplete], 1);
    CU_ASSERT_EQUAL(world.tally.starts, 8);
    CU_ASSERT_EQUAL(world.tally.overloads, 0);
    world_clear(&world);
}

static void
test_ends_are_acknowledged(void)
{
    open_world(kTargets, 1);
    world_order(&world, 0, "a1", 4, 100, 0);
    pass_ms(600);
    for (uint32_t i = 0; i < kTargets; i++) {
        CU_ASSERT_EQUAL(world.targets[i].acked, world.targets[i].end_number);
    }
    world_clear(&world);
}

static void
test_withdrawn_order_stops(void)
{
    open_world(kTargets, 1);
    world_order(&world, 0, "a1", 4, 100, 0);
    pass_ms(20);
    pool_withdraw_order(world.pools[0], 1, 0xa1, world.now_ns);
    pass_ms(30);
    CU_ASSERT_EQUAL(running_count(), 0);
    CU_ASSERT_EQUAL(world.tally.counts[kOrderOutcomeComplete], 0);
    world_clear(&world);
}

static void
test_lost_client_stops_orders(void)
{
    open_world(kTargets, 1);
    world_order(&world, 0, "a1", 4, 100, 0);
    pass_ms(20);
    pool_drop_client(world.pools[0], 1, world.now_ns);
    pass_ms(30);
    CU_ASSERT_EQUAL(running_count(), 0);
    world_clear(&world);
}

static void
test_resubmitted_job_joins(void)
{
    open_world(kTargets, 1);
    world_order(&world, 0, "a1", 4, 100, 0);
    pass_ms(20);
    world_order(&world, 0, "a1", 4, 100, 0);
    pass_ms(300);
    CU_ASSERT_EQUAL(world.tally.starts, 4);
    CU_ASSERT_EQUAL(world.tally.counts[kOrderOutcomeComplete], 1);
    world_clear(&world);
}

static void
test_failing_target_is_ejected(void)
{
    open_world(kTargets, 1);
    world.targets[2].is_failing = true;
    for (uint32_t i = 0; i < 30; i++) {
        char job[8];
        snprintf(job, sizeof job, "%x", 100 + i);
        world_order(&world, 0, job, 2, 100, 0);
        pass_ms(120);
    }
    CU_ASSERT_EQUAL(world.tally.counts[kOrderOutcomeComplete], 30);
    // Two orders find it out, and one more after each pause.
    CU_ASSERT(world.targets[2].end_number <= 6);
    world_clear(&world);
}

static void
test_order_that_cannot_run_fails(void)
{
    open_world(kTargets, 1);
    for (uint32_t i = 0; i < kTargets; i++) {
        world.targets[i].is_failing = true;
    }
    world_order(&world, 0, "a1", 1, 100, 0);
    pass_ms(3000);
    CU_ASSERT_EQUAL(world.tally.counts[kOrderOutcomeFailed], 1);
    CU_ASSERT_EQUAL(world.tally.starts, 3);
    world_clear(&world);
}

static void
test_stalled_run_is_moved(void)
{
    open_world(2, 1);
    world.targets[0].is_stuck = true;
    world.targets[1].is_stuck = true;
    world_order(&world, 0, "a1", 1, 100, 0);
    pass_ms(100);
    world.targets[0].is_stuck = false;
    world.targets[1].is_stuck = false;
    pass_ms(900);
    CU_ASSERT_EQUAL(world.tally.counts[kOrderOutcomeComplete], 1);
    CU_ASSERT_EQUAL(world.tally.starts, 2);
    CU_ASSERT_EQUAL(world.tally.doubles, 0);
    world_clear(&world);
}

static void
test_dark_target_lapses_first(void)
{
    open_world(2, 1);
    world_order(&world, 0, "a1", 4, 100, 0);
    pass_ms(20);
    world.targets[0].is_dark = true;
    world.targets[0].is_stuck = true;
    for (uint32_t i = 0; i < world.targets[0].run_count; i++) {
        world.targets[0].runs[i].end_ns = INT64_MAX;
    }
    pass_ms(2500);
    CU_ASSERT_EQUAL(world.tally.doubles, 0);
    CU_ASSERT_EQUAL(world.tally.counts[kOrderOutcomeComplete], 1);
    world_clear(&world);
}

static void
test_new_life_runs_again(void)
{
    open_world(1, 1);
    world_order(&world, 0, "a1", 2, 400, 0);
    pass_ms(20);
    world_restart(&world, 0);
    pass_ms(1000);
    CU_ASSERT_EQUAL(world.tally.counts[kOrderOutcomeComplete], 1);
    CU_ASSERT_EQUAL(world.tally.starts, 4);
    world_clear(&world);
}

static void
test_draining_target_gets_nothing(void)
{
    open_world(2, 1);
    pool_target_info_t info = world.targets[0].info;
    info.is_draining = true;
    pool_put_target(world.pools[0], &info, 5, world.now_ns);
    world_order(&world, 0, "a1", 2, 100, 0);
    pass_ms(300);
    CU_ASSERT_EQUAL(world.targets[0].end_number, 0);
    CU_ASSERT_EQUAL(world.tally.counts[kOrderOutcomeComplete], 1);
    world_clear(&world);
}

static void
test_new_owner_stops_strangers(void)
{
    open_world(2, 1);
    world_order(&world, 0, "a1", 4, 1000, 0);
    pass_ms(20);
    world.owners[0].is_frozen = true;
    world_own(&world, 1, 6);
    pass_ms(60);
    CU_ASSERT_EQUAL(running_count(), 0);
    world_order(&world, 1, "b1", 2, 100, 0);
    pass_ms(300);
    CU_ASSERT_EQUAL(world.tally.counts[kOrderOutcomeComplete], 1);
    // The one before thaws: its token is rejected.
    world.owners[0].is_frozen = false;
    world_order(&world, 0, "c1", 2, 100, 0);
    pass_ms(300);
    CU_ASSERT_EQUAL(world.tally.starts, 6);
    world_clear(&world);
}

static void
test_rejection_of_old_token_is_ignored(void)
{
    open_world(1, 1);
    world_own(&world, 1, 6);
    pass_ms(20);
    world_order(&world, 0, "a1", 2, 100, 0);
    // The start is rejected; before the answer comes, the pool gets a token
    // that is higher than the other owner's.
    world_run_until(&world, world.now_ns + MS(1) - 200000);
    world_own(&world, 0, 7);
    pass_ms(500);
    CU_ASSERT_EQUAL(world.tally.counts[kOrderOutcomeComplete], 1);
    world_clear(&world);
}

static void
test_rejections_are_paced(void)
{
    open_world(1, 1);
    world.targets[0].is_shedding = true;
    world_order(&world, 0, "a1", 2, 100, 0);
    pass_ms(1000);
    // Pauses of 5, 10, ... 320 ms: nine starts of each task in a second.
    CU_ASSERT(world.tally.shed >= 2);
    CU_ASSERT(world.tally.shed <= 18);
    world.targets[0].is_shedding = false;
    pass_ms(700);
    CU_ASSERT_EQUAL(world.tally.counts[kOrderOutcomeComplete], 1);
    world_clear(&world);
}

static void
test_overload_is_refused_at_once(void)
{
    open_world(2, 1);
    for (uint32_t i = 0; i < 40; i++) {
        char job[8];
        snprintf(job, sizeof job, "%x", 100 + i);
        world_order(&world, 0, job, 2, 100, 0);
        pass_ms(1);
    }
    CU_ASSERT(world.tally.counts[kOrderOutcomeRefused] > 20);
    pass_ms(2000);
    CU_ASSERT_EQUAL(world.tally.counts[kOrderOutcomeComplete] +
                        world.tally.counts[kOrderOutcomeRefused],
                    40);
    world_clear(&world);
}

static void
test_urgent_goes_first(void)
{
    open_world(1, 1);
    world_order(&world, 0, "a1", 2, 100, 1);
    world_order(&world, 0, "b1", 2, 100, 1);
    world_order(&world, 0, "c1", 2, 100, 0);
    pass_ms(20);
    CU_ASSERT_STRING_EQUAL(world.targets[0].runs[0].name.job, "c1");
    world_clear(&world);
}

/// An order that can no longer be answered in time leaves the room to one that
/// still can.
static void
test_order_that_is_behind_goes_last(void)
{
    open_world(1, 1);
    world.work_ns = work_200ms;
    // Declared 10 ms, so that the next one expects room soon.
    world_order(&world, 0, "a1", 2, 10, 0);
    pass_ms(5);
    world_order(&world, 0, "b1", 2, 100, 0);
    pass_ms(140);
    world_order(&world, 0, "c1", 2, 100, 0);
    pass_ms(75);
    CU_ASSERT_EQUAL(world.targets[0].run_count, 2);
    CU_ASSERT_STRING_EQUAL(world.targets[0].runs[0].name.job, "c1");
    pass_ms(500);
    CU_ASSERT_EQUAL(world.tally.counts[kOrderOutcomeComplete], 3);
    world_clear(&world);
}

/// Jobs that are lost are handed in again to the other owner, after the time
/// that callers wait.
static char resubmit_jobs[1024][16];
static uint32_t resubmit_count;
static uint32_t resubmit_next;
static uint32_t resubmit_pool;

static void
resubmit(world_t *of)
{
    world_order(of, resubmit_pool, resubmit_jobs[resubmit_next++], 3, 100, 0);
}

static void
on_lost(world_t *of, uint32_t pool, const pool_order_result_t *settled)
{
    (void)pool;
    if (settled->outcome == kOrderOutcomeLost && resubmit_count < 1024) {
        snprintf(resubmit_jobs[resubmit_count++], 16, "%s", settled->job);
        world_at(of, of->now_ns + MS(kOwnersGapMs), resubmit);
    }
}

/// Everything at once, from a seed: lost and late orders, targets that fail,
/// stand still, go dark and start again, and an owner that freezes while
/// another takes over.
static void
play_faults(uint64_t seed)
{
    open_world(12, seed);
    resubmit_count = 0;
    resubmit_next = 0;
    resubmit_pool = 0;
    world.on_settled = on_lost;
    world.odds = (world_odds_t){.lost_permille = 30, .late_permille = 50};
    rng_t rng = {.state = seed * 77};
    uint64_t token = 6;
    for (uint32_t i = 0; i < 400; i++) {
        char job[16];
        snprintf(job, sizeof job, "%x", 4096 + i);
        world_order(&world, resubmit_pool, job, 1 + rng_below(&rng, 4), 100,
                    rng_below(&rng, 3));
        world_target_t *target = &world.targets[rng_below(&rng, 12)];
        uint32_t fault = rng_below(&rng, 40);
        target->is_dark = fault == 0;
        target->is_stuck = fault == 1;
        target->is_failing = fault == 2;
        if (fault == 3) {
            world_restart(&world, rng_below(&rng, 12));
        }
        if (rng_below(&rng, 100) == 0) {
            // The owner freezes; its orders come again elsewhere.
            world.owners[resubmit_pool].is_frozen = true;
            resubmit_pool = 1 - resubmit_pool;
            pass_ms(kOwnersGapMs);
            world_own(&world, resubmit_pool, token++);
            pass_ms(3000);
            world.owners[1 - resubmit_pool].is_frozen = false;
            pool_reset(world.pools[1 - resubmit_pool], world.now_ns);
        }
        pass_ms(30);
    }
    for (uint32_t i = 0; i < 12; i++) {
        world.targets[i].is_dark = false;
        world.targets[i].is_stuck = false;
        world.targets[i].is_failing = false;
    }
    world.odds = (world_odds_t){0};
    pass_ms(20000);
    pool_status_t news =
        pool_read_status(world.pools[resubmit_pool], world.now_ns);
    if (world.tally.doubles != 0 || news.run_count != 0) {
        printf("seed %llu: doubles=%u runs=%u\n", (unsigned long long)seed,
               world.tally.doubles, news.run_count);
    }
    CU_ASSERT_EQUAL(world.tally.doubles, 0);
    CU_ASSERT_EQUAL(news.run_count, 0);
    CU_ASSERT_EQUAL(news.order_count, 0);
    CU_ASSERT(world.tally.counts[kOrderOutcomeComplete] > 200);
    world_clear(&world);
}

static int64_t
work_by_job(world_t *of, const run_name_t *name)
{
    (void)of;
    return name->job[0] == 'a' ? MS(70 + 15 * name->index) : MS(1000);
}

/// Found by a hunt (Kuiseb grown, day "store", seed 855205586228: two runs of
/// one task): a list that was made up before a repeated start was carried out
/// says nothing of it, however late it comes.
static void
test_late_list_ends_no_repeated_run(void)
{
    open_world(2, 1);
    world.work_ns = work_by_job;
    pool_target_info_t info = world.targets[1].info;
    info.is_draining = true;
    pool_put_target(world.pools[0], &info, 5, world.now_ns);
    world.targets[0].info.cpu_mcores = 64000;
    pool_put_target(world.pools[0], &world.targets[0].info, 5, world.now_ns);
    world_order(&world, 0, "a1", 2, 80, 0);
    pass_ms(64);
    world.odds.late_permille = 1000;
    world_order(&world, 0, "b1", 1, 1000, 0);
    pass_ms(2);
    world.odds.late_permille = 0;
    // The first task ends and a list goes out, which the second one ends
    // before the start is repeated.
    pass_ms(12);
    world.list_delay_ns = MS(250);
    pass_ms(20);
    world.list_delay_ns = 0;
    info.is_draining = false;
    pool_put_target(world.pools[0], &info, 5, world.now_ns);
    pass_ms(3000);
    CU_ASSERT_EQUAL(world.tally.starts, 3);
    CU_ASSERT_EQUAL(world.tally.doubles, 0);
    CU_ASSERT_EQUAL(world.tally.counts[kOrderOutcomeComplete], 2);
    world_clear(&world);
}

enum { kLossyJobs = 400, kLossyGapMs = 40, kLossyBase = 4096 };

static int64_t lossy_sent_ns[kLossyJobs];
static uint32_t lossy_in_time;

static void
note_in_time(world_t *of, uint32_t pool, const pool_order_result_t *settled)
{
    (void)pool;
    uint64_t job = strtoull(settled->job, NULL, 16) - kLossyBase;
    lossy_in_time += settled->outcome == kOrderOutcomeComplete &&
                     of->now_ns - lossy_sent_ns[job] <= MS(100 * 16 / 10 + 60);
}

/// One call in twenty has no answer and is carried out late: at least 0.9 of
/// the jobs still end within their objective where there is room.
static void
test_lost_calls_delay_few_jobs(void)
{
    open_world(24, 5);
    lossy_in_time = 0;
    world.on_settled = note_in_time;
    world.odds = (world_odds_t){.late_permille = 50};
    for (uint32_t i = 0; i < kLossyJobs; i++) {
        char job[16];
        snprintf(job, sizeof job, "%x", kLossyBase + i);
        lossy_sent_ns[i] = world.now_ns;
        world_order(&world, 0, job, 4, 100, 0);
        pass_ms(kLossyGapMs);
    }
    pass_ms(3000);
    printf("in time: %u of %d ", lossy_in_time, kLossyJobs);
    CU_ASSERT(lossy_in_time >= kLossyJobs * 9 / 10);
    CU_ASSERT_EQUAL(world.tally.doubles, 0);
    world_clear(&world);
}

/// Seeds that failed once: a run that a new life of its target had taken was
/// counted as ended with the life before (46, 88, 209); 44 and 103 came from
/// late orders that the world carried out in another life.
static const uint64_t failed_seeds[] = {44, 46, 88, 103, 209};

static void
test_no_double_under_faults(void)
{
    for (uint64_t seed = 1; seed <= kSeeds; seed++) {
        play_faults(seed);
    }
    for (uint32_t i = 0; i < sizeof failed_seeds / sizeof failed_seeds[0];
         i++) {
        play_faults(failed_seeds[i]);
    }
}

int
main(void)
{
    apr_initialize();
    const CU_TestInfo tests[] = {
        {"an order runs", test_order_runs},
        {"ends are acknowledged", test_ends_are_acknowledged},
        {"a withdrawn order stops", test_withdrawn_order_stops},
        {"a lost client's orders stop", test_lost_client_stops_orders},
        {"a resubmitted job joins", test_resubmitted_job_joins},
        {"a failing target is ejected", test_failing_target_is_ejected},
        {"an order that cannot run fails", test_order_that_cannot_run_fails},
        {"a stalled run is moved", test_stalled_run_is_moved},
        {"a dark target's lease lapses first", test_dark_target_lapses_first},
        {"a new life runs again", test_new_life_runs_again},
        {"a draining target gets nothing", test_draining_target_gets_nothing},
        {"a new owner stops strangers", test_new_owner_stops_strangers},
        {"a rejection of an old token is ignored",
         test_rejection_of_old_token_is_ignored},
        {"rejections are paced", test_rejections_are_paced},
        {"overload is refused at once", test_overload_is_refused_at_once},
        {"an order that is behind goes last",
         test_order_that_is_behind_goes_last},
        {"urgent orders go first", test_urgent_goes_first},
        {"a late list ends no repeated run",
         test_late_list_ends_no_repeated_run},
        {"lost calls delay few jobs", test_lost_calls_delay_few_jobs},
        {"no double under faults", test_no_double_under_faults},
        CU_TEST_INFO_NULL,
    };
    return suite_run("pool", tests);
}
