/// The pool with simulated targets on a virtual clock.
#include "pool/pool.h"

#include <apr_general.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/units.h"
#include "support/sim.h"
#include "support/suite.h"

enum { kTargetCount = 6, kSeedCount = 20, kTakeoverMs = 1300 };

static sim_t sim;

static int64_t
work_100ms(sim_t *simulation, const run_name_t *name)
{
    (void)simulation;
    (void)name;
    return MS_TO_NS(100);
}

static int64_t
work_200ms(sim_t *simulation, const run_name_t *name)
{
    (void)simulation;
    (void)name;
    return MS_TO_NS(200);
}

static void
create_sim(uint32_t targets, uint64_t seed)
{
    sim_init(&sim, targets, seed);
    sim.work_ns = work_100ms;
    sim_assign_targets(&sim, 0, 5);
    sim_run_until(&sim, sim.now_ns + MS_TO_NS(50));
}

static void
run_for_ms(int64_t ms)
{
    sim_run_until(&sim, sim.now_ns + MS_TO_NS(ms));
}

static uint32_t
count_running(void)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < sim.target_count; i++) {
        count += sim.targets[i].run_count;
    }
    return count;
}

static void
test_order_completes(void)
{
    create_sim(kTargetCount, 1);
    sim_submit_equal(&sim, 0, "a1", 8, 100, 0);
    run_for_ms(50);
    CU_ASSERT_EQUAL(count_running(), 8);
    run_for_ms(300);
    CU_ASSERT_EQUAL(sim.counts.outcomes[kOrderOutcomeComplete], 1);
    CU_ASSERT_EQUAL(sim.counts.starts, 8);
    CU_ASSERT_EQUAL(sim.counts.over_capacity, 0);
    sim_clear(&sim);
}

static void
test_ends_are_acknowledged(void)
{
    create_sim(kTargetCount, 1);
    sim_submit_equal(&sim, 0, "a1", 4, 100, 0);
    run_for_ms(600);
    for (uint32_t i = 0; i < kTargetCount; i++) {
        CU_ASSERT_EQUAL(sim.targets[i].acked, sim.targets[i].end_number);
    }
    sim_clear(&sim);
}

static void
test_withdrawn_order_is_stopped(void)
{
    create_sim(kTargetCount, 1);
    sim_submit_equal(&sim, 0, "a1", 4, 100, 0);
    run_for_ms(20);
    pool_withdraw_order(sim.pools[0], 1, 0xa1, sim.now_ns, sim.now_ns);
    run_for_ms(30);
    CU_ASSERT_EQUAL(count_running(), 0);
    CU_ASSERT_EQUAL(sim.counts.outcomes[kOrderOutcomeComplete], 0);
    sim_clear(&sim);
}

static void
test_orders_of_lost_client_are_stopped(void)
{
    create_sim(kTargetCount, 1);
    sim_submit_equal(&sim, 0, "a1", 4, 100, 0);
    run_for_ms(20);
    pool_drop_client(sim.pools[0], 1, sim.now_ns, sim.now_ns);
    run_for_ms(30);
    CU_ASSERT_EQUAL(count_running(), 0);
    sim_clear(&sim);
}

static void
test_resubmitted_job_continues(void)
{
    create_sim(kTargetCount, 1);
    sim_submit_equal(&sim, 0, "a1", 4, 100, 0);
    run_for_ms(20);
    sim_submit_equal(&sim, 0, "a1", 4, 100, 0);
    run_for_ms(300);
    CU_ASSERT_EQUAL(sim.counts.starts, 4);
    CU_ASSERT_EQUAL(sim.counts.outcomes[kOrderOutcomeComplete], 1);
    sim_clear(&sim);
}

static void
test_failing_target_is_ejected(void)
{
    create_sim(kTargetCount, 1);
    sim.targets[2].is_failing = true;
    for (uint32_t i = 0; i < 30; i++) {
        char job[8];
        snprintf(job, sizeof job, "%x", 100 + i);
        sim_submit_equal(&sim, 0, job, 2, 100, 0);
        run_for_ms(120);
    }
    CU_ASSERT_EQUAL(sim.counts.outcomes[kOrderOutcomeComplete], 30);
    // Two orders fail before the ejection, and one more after each ejection.
    CU_ASSERT(sim.targets[2].end_number <= 6);
    sim_clear(&sim);
}

static void
test_order_fails_after_attempt_limit(void)
{
    create_sim(kTargetCount, 1);
    for (uint32_t i = 0; i < kTargetCount; i++) {
        sim.targets[i].is_failing = true;
    }
    sim_submit_equal(&sim, 0, "a1", 1, 100, 0);
    run_for_ms(3000);
    CU_ASSERT_EQUAL(sim.counts.outcomes[kOrderOutcomeFailed], 1);
    CU_ASSERT_EQUAL(sim.counts.starts, 3);
    sim_clear(&sim);
}

static void
test_task_of_stalled_run_is_retried(void)
{
    create_sim(2, 1);
    sim.targets[0].is_hung = true;
    sim.targets[1].is_hung = true;
    sim_submit_equal(&sim, 0, "a1", 1, 100, 0);
    run_for_ms(100);
    sim.targets[0].is_hung = false;
    sim.targets[1].is_hung = false;
    run_for_ms(900);
    CU_ASSERT_EQUAL(sim.counts.outcomes[kOrderOutcomeComplete], 1);
    CU_ASSERT_EQUAL(sim.counts.starts, 2);
    CU_ASSERT_EQUAL(sim.counts.duplicate_runs, 0);
    sim_clear(&sim);
}

static void
test_unreachable_target_blocks_retry(void)
{
    create_sim(2, 1);
    sim_submit_equal(&sim, 0, "a1", 4, 100, 0);
    run_for_ms(20);
    sim.targets[0].is_unreachable = true;
    sim.targets[0].is_hung = true;
    for (uint32_t i = 0; i < sim.targets[0].run_count; i++) {
        sim.targets[0].runs[i].end_ns = INT64_MAX;
    }
    run_for_ms(2500);
    CU_ASSERT_EQUAL(sim.counts.duplicate_runs, 0);
    CU_ASSERT_EQUAL(sim.counts.outcomes[kOrderOutcomeComplete], 1);
    sim_clear(&sim);
}

static void
test_restarted_target_reruns_tasks(void)
{
    create_sim(1, 1);
    sim_submit_equal(&sim, 0, "a1", 2, 400, 0);
    run_for_ms(20);
    sim_restart_target(&sim, 0);
    run_for_ms(1000);
    CU_ASSERT_EQUAL(sim.counts.outcomes[kOrderOutcomeComplete], 1);
    CU_ASSERT_EQUAL(sim.counts.starts, 4);
    sim_clear(&sim);
}

static void
test_draining_target_gets_no_starts(void)
{
    create_sim(2, 1);
    pool_target_info_t info = sim.targets[0].info;
    info.is_draining = true;
    pool_put_target(sim.pools[0], &info, 5, sim.now_ns);
    sim_submit_equal(&sim, 0, "a1", 2, 100, 0);
    run_for_ms(300);
    CU_ASSERT_EQUAL(sim.targets[0].end_number, 0);
    CU_ASSERT_EQUAL(sim.counts.outcomes[kOrderOutcomeComplete], 1);
    sim_clear(&sim);
}

/// Sets the capacity of a simulated target, and tells the pool if its record
/// has been read.
static void
set_capacity(uint32_t target, uint32_t cpu_mcores, bool is_read)
{
    sim.targets[target].info.cpu_mcores = cpu_mcores;
    if (is_read) {
        pool_put_target(sim.pools[0], &sim.targets[target].info, 5,
                        sim.now_ns);
    }
}

static void
test_shrunk_target_gets_what_fits(void)
{
    create_sim(2, 1);
    sim_submit_equal(&sim, 0, "a1", 4, 100, 0);
    run_for_ms(20);
    set_capacity(0, 14000, true);
    for (uint32_t i = 0; i < 10; i++) {
        char job[8];
        snprintf(job, sizeof job, "b%u", i);
        sim_submit_equal(&sim, 0, job, 1, 100, 0);
        run_for_ms(50);
    }
    CU_ASSERT_EQUAL(sim.counts.over_capacity, 0);
    set_capacity(0, 32000, true);
    run_for_ms(500);
    sim_submit_equal(&sim, 0, "c1", 4, 100, 0);
    run_for_ms(20);
    CU_ASSERT_EQUAL(sim.targets[0].run_count, 2);
    sim_clear(&sim);
}

/// A target shrinks before its record is read. What it rejects for lack of
/// resources is no failure: it keeps getting what fits.
static void
test_target_that_shrinks_unnoticed_is_not_ejected(void)
{
    create_sim(2, 1);
    set_capacity(0, 14000, false);
    for (uint32_t i = 0; i < 6; i++) {
        char job[8];
        snprintf(job, sizeof job, "a%u", i);
        sim_submit_equal(&sim, 0, job, 2, 100, 0);
        run_for_ms(30);
    }
    run_for_ms(500);
    uint32_t rejected = sim.counts.over_capacity;
    CU_ASSERT(rejected > 0);
    CU_ASSERT(rejected <= 4);
    set_capacity(0, 14000, true);
    sim_submit_equal(&sim, 0, "b1", 3, 100, 0);
    run_for_ms(20);
    CU_ASSERT_EQUAL(count_running(), 3);
    sim_clear(&sim);
}

static void
test_new_owner_stops_unknown_runs(void)
{
    create_sim(2, 1);
    sim_submit_equal(&sim, 0, "a1", 4, 1000, 0);
    run_for_ms(20);
    sim.owners[0].is_frozen = true;
    sim_assign_targets(&sim, 1, 6);
    run_for_ms(60);
    CU_ASSERT_EQUAL(count_running(), 0);
    sim_submit_equal(&sim, 1, "b1", 2, 100, 0);
    run_for_ms(300);
    CU_ASSERT_EQUAL(sim.counts.outcomes[kOrderOutcomeComplete], 1);
    // The previous owner resumes: its token is rejected.
    sim.owners[0].is_frozen = false;
    sim_submit_equal(&sim, 0, "c1", 2, 100, 0);
    run_for_ms(300);
    CU_ASSERT_EQUAL(sim.counts.starts, 6);
    sim_clear(&sim);
}

static void
test_rejection_of_old_token_is_ignored(void)
{
    create_sim(1, 1);
    sim_assign_targets(&sim, 1, 6);
    run_for_ms(20);
    sim_submit_equal(&sim, 0, "a1", 2, 100, 0);
    // The start is rejected. Before the reply arrives, the pool receives a
    // token that is higher than the other owner's.
    sim_run_until(&sim, sim.now_ns + MS_TO_NS(1) - 200000);
    sim_assign_targets(&sim, 0, 7);
    run_for_ms(500);
    CU_ASSERT_EQUAL(sim.counts.outcomes[kOrderOutcomeComplete], 1);
    sim_clear(&sim);
}

static void
test_rejected_starts_back_off(void)
{
    create_sim(1, 1);
    sim.targets[0].rejects_starts = true;
    sim_submit_equal(&sim, 0, "a1", 2, 100, 0);
    run_for_ms(1000);
    // Delays of 5, 10, ... 320 ms allow nine starts of each task in a second.
    CU_ASSERT(sim.counts.rejected_starts >= 2);
    CU_ASSERT(sim.counts.rejected_starts <= 18);
    sim.targets[0].rejects_starts = false;
    run_for_ms(700);
    CU_ASSERT_EQUAL(sim.counts.outcomes[kOrderOutcomeComplete], 1);
    sim_clear(&sim);
}

static void
test_overload_is_refused_at_once(void)
{
    create_sim(2, 1);
    for (uint32_t i = 0; i < 40; i++) {
        char job[8];
        snprintf(job, sizeof job, "%x", 100 + i);
        sim_submit_equal(&sim, 0, job, 2, 100, 0);
        run_for_ms(1);
    }
    CU_ASSERT(sim.counts.outcomes[kOrderOutcomeRefused] > 20);
    run_for_ms(2000);
    CU_ASSERT_EQUAL(sim.counts.outcomes[kOrderOutcomeComplete] +
                        sim.counts.outcomes[kOrderOutcomeRefused],
                    40);
    sim_clear(&sim);
}

static void
test_urgent_order_starts_first(void)
{
    create_sim(1, 1);
    sim_submit_equal(&sim, 0, "a1", 2, 100, 1);
    sim_submit_equal(&sim, 0, "b1", 2, 100, 1);
    sim_submit_equal(&sim, 0, "c1", 2, 100, 0);
    run_for_ms(20);
    CU_ASSERT_STRING_EQUAL(sim.targets[0].runs[0].name.job, "c1");
    sim_clear(&sim);
}

/// An order that will miss its objective must not take resources from one that
/// can still meet it.
static void
test_order_missing_objective_starts_last(void)
{
    create_sim(1, 1);
    sim.work_ns = work_200ms;
    // Declared as 10 ms, so that a short wait is estimated for the next order.
    sim_submit_equal(&sim, 0, "a1", 2, 10, 0);
    run_for_ms(5);
    sim_submit_equal(&sim, 0, "b1", 2, 100, 0);
    run_for_ms(140);
    sim_submit_equal(&sim, 0, "c1", 2, 100, 0);
    run_for_ms(75);
    CU_ASSERT_EQUAL(sim.targets[0].run_count, 2);
    CU_ASSERT_STRING_EQUAL(sim.targets[0].runs[0].name.job, "c1");
    run_for_ms(500);
    CU_ASSERT_EQUAL(sim.counts.outcomes[kOrderOutcomeComplete], 3);
    sim_clear(&sim);
}

/// Jobs whose order was lost. After kTakeoverMs, as callers do, they are
/// submitted again to the owner that is active then.
static char resubmit_jobs[1024][16];
static uint32_t resubmit_count;
static uint32_t resubmit_next;
static uint32_t active_pool;

static void
resubmit(sim_t *simulation)
{
    sim_submit_equal(simulation, active_pool, resubmit_jobs[resubmit_next++],
                     3, 100, 0);
}

static void
schedule_resubmission(sim_t *simulation, uint32_t pool,
                      const pool_order_result_t *result)
{
    (void)pool;
    if (result->outcome == kOrderOutcomeLost && resubmit_count < 1024) {
        snprintf(resubmit_jobs[resubmit_count++], 16, "%s", result->job);
        sim_schedule(simulation, simulation->now_ns + MS_TO_NS(kTakeoverMs),
                     resubmit);
    }
}

/// Runs a random schedule of faults: calls are lost or late, targets fail,
/// hang, become unreachable or restart, and an owner freezes while the other
/// one takes over.
static void
run_fault_schedule(uint64_t seed)
{
    create_sim(12, seed);
    resubmit_count = 0;
    resubmit_next = 0;
    active_pool = 0;
    sim.on_settled = schedule_resubmission;
    sim.fault_rates =
        (sim_fault_rates_t){.lost_permille = 30, .late_permille = 50};
    rng_t rng = {.state = seed * 77};
    uint64_t token = 6;
    for (uint32_t i = 0; i < 400; i++) {
        char job[16];
        snprintf(job, sizeof job, "%x", 4096 + i);
        sim_submit_equal(&sim, active_pool, job, 1 + rng_below(&rng, 4), 100,
                         rng_below(&rng, 3));
        sim_target_t *target = &sim.targets[rng_below(&rng, 12)];
        uint32_t fault = rng_below(&rng, 40);
        target->is_unreachable = fault == 0;
        target->is_hung = fault == 1;
        target->is_failing = fault == 2;
        if (fault == 3) {
            sim_restart_target(&sim, rng_below(&rng, 12));
        }
        if (rng_below(&rng, 100) == 0) {
            // The active owner freezes, and the other one takes over.
            sim.owners[active_pool].is_frozen = true;
            active_pool = 1 - active_pool;
            run_for_ms(kTakeoverMs);
            sim_assign_targets(&sim, active_pool, token++);
            run_for_ms(3000);
            sim.owners[1 - active_pool].is_frozen = false;
            pool_reset(sim.pools[1 - active_pool], sim.now_ns, sim.now_ns);
        }
        run_for_ms(30);
    }
    for (uint32_t i = 0; i < 12; i++) {
        sim.targets[i].is_unreachable = false;
        sim.targets[i].is_hung = false;
        sim.targets[i].is_failing = false;
    }
    sim.fault_rates = (sim_fault_rates_t){0};
    run_for_ms(20000);
    pool_status_t status =
        pool_read_status(sim.pools[active_pool], sim.now_ns);
    if (sim.counts.duplicate_runs != 0 || status.run_count != 0) {
        printf("seed %llu: duplicate_runs=%u runs=%u\n",
               (unsigned long long)seed, sim.counts.duplicate_runs,
               status.run_count);
    }
    CU_ASSERT_EQUAL(sim.counts.duplicate_runs, 0);
    CU_ASSERT_EQUAL(status.run_count, 0);
    CU_ASSERT_EQUAL(status.order_count, 0);
    CU_ASSERT(sim.counts.outcomes[kOrderOutcomeComplete] > 200);
    sim_clear(&sim);
}

/// A process was paused, and another owner has used its targets meanwhile: it
/// offers no target and starts nothing until the targets have answered.
static void
test_sessions_are_verified_after_pause(void)
{
    create_sim(kTargetCount, 1);
    sim_submit_equal(&sim, 0, "a1", kTargetCount, 100, 0);
    run_for_ms(50);
    sim.owners[0].is_frozen = true;
    run_for_ms(kTakeoverMs);
    sim_assign_targets(&sim, 1, 6);
    run_for_ms(1000);
    sim.owners[0].is_frozen = false;
    pool_reset(sim.pools[0], sim.now_ns, sim.now_ns);
    CU_ASSERT_EQUAL(pool_read_status(sim.pools[0], sim.now_ns).target_count,
                    0);
    uint32_t starts = sim.counts.starts;
    run_for_ms(1000);
    CU_ASSERT_EQUAL(sim.counts.starts, starts);
    CU_ASSERT_EQUAL(pool_read_status(sim.pools[0], sim.now_ns).target_count,
                    0);
    sim_clear(&sim);
}

/// The reply to a list call that was sent before the pause arrives after it.
static void
test_reply_before_pause_is_ignored(void)
{
    create_sim(1, 1);
    sim_submit_equal(&sim, 0, "a1", 1, 100, 0);
    sim.list_reply_delay_ns = MS_TO_NS(30);
    run_for_ms(115); // the run has ended, and the reply is on its way
    CU_ASSERT_EQUAL(count_running(), 0);
    pool_reset(sim.pools[0], sim.now_ns, sim.now_ns);
    run_for_ms(25);
    CU_ASSERT_EQUAL(pool_read_status(sim.pools[0], sim.now_ns).target_count,
                    0);
    run_for_ms(50);
    CU_ASSERT_EQUAL(pool_read_status(sim.pools[0], sim.now_ns).target_count,
                    1);
    sim_clear(&sim);
}

/// Without another owner, the targets serve again after one round trip.
static void
test_sessions_return_after_pause(void)
{
    create_sim(kTargetCount, 1);
    pool_reset(sim.pools[0], sim.now_ns, sim.now_ns);
    CU_ASSERT_EQUAL(pool_read_status(sim.pools[0], sim.now_ns).target_count,
                    0);
    pool_advance(sim.pools[0], sim.now_ns);
    run_for_ms(20);
    CU_ASSERT_EQUAL(pool_read_status(sim.pools[0], sim.now_ns).target_count,
                    kTargetCount);
    sim_clear(&sim);
}

static int64_t
work_by_job(sim_t *simulation, const run_name_t *name)
{
    (void)simulation;
    return name->job[0] == 'a' ? MS_TO_NS(70 + 15 * name->index)
                               : MS_TO_NS(1000);
}

/// Guards against two runs of one task: a list reply that was built before a
/// resent start was carried out must not end that run, however late the reply
/// arrives. Seen in scenario "Kuiseb grown", day "store", seed 855205586228.
static void
test_late_list_keeps_resent_run(void)
{
    create_sim(2, 1);
    sim.work_ns = work_by_job;
    pool_target_info_t info = sim.targets[1].info;
    info.is_draining = true;
    pool_put_target(sim.pools[0], &info, 5, sim.now_ns);
    sim.targets[0].info.cpu_mcores = 64000;
    pool_put_target(sim.pools[0], &sim.targets[0].info, 5, sim.now_ns);
    sim_submit_equal(&sim, 0, "a1", 2, 80, 0);
    run_for_ms(64);
    sim.fault_rates.late_permille = 1000;
    sim_submit_equal(&sim, 0, "b1", 1, 1000, 0);
    run_for_ms(2);
    sim.fault_rates.late_permille = 0;
    // The first task ends and a list call is sent. The target replies to it
    // when the second task ends, before the start is resent.
    run_for_ms(12);
    sim.list_reply_delay_ns = MS_TO_NS(250);
    run_for_ms(20);
    sim.list_reply_delay_ns = 0;
    info.is_draining = false;
    pool_put_target(sim.pools[0], &info, 5, sim.now_ns);
    run_for_ms(3000);
    CU_ASSERT_EQUAL(sim.counts.starts, 3);
    CU_ASSERT_EQUAL(sim.counts.duplicate_runs, 0);
    CU_ASSERT_EQUAL(sim.counts.outcomes[kOrderOutcomeComplete], 2);
    sim_clear(&sim);
}

enum { kLossyJobCount = 400, kLossyIntervalMs = 40, kFirstLossyJob = 4096 };

static int64_t submit_times_ns[kLossyJobCount];
static uint32_t in_time_count;

static void
count_in_time(sim_t *simulation, uint32_t pool,
              const pool_order_result_t *result)
{
    (void)pool;
    uint64_t job = strtoull(result->job, NULL, 16) - kFirstLossyJob;
    in_time_count += result->outcome == kOrderOutcomeComplete &&
                     simulation->now_ns - submit_times_ns[job] <=
                         MS_TO_NS(100 * 16 / 10 + 60);
}

/// One call in twenty is unanswered and carried out late. Given enough
/// capacity, at least 0.9 of the jobs must still meet their objective.
static void
test_lost_calls_delay_few_jobs(void)
{
    create_sim(24, 5);
    in_time_count = 0;
    sim.on_settled = count_in_time;
    sim.fault_rates = (sim_fault_rates_t){.late_permille = 50};
    for (uint32_t i = 0; i < kLossyJobCount; i++) {
        char job[16];
        snprintf(job, sizeof job, "%x", kFirstLossyJob + i);
        submit_times_ns[i] = sim.now_ns;
        sim_submit_equal(&sim, 0, job, 4, 100, 0);
        run_for_ms(kLossyIntervalMs);
    }
    run_for_ms(3000);
    printf("in time: %u of %d ", in_time_count, kLossyJobCount);
    CU_ASSERT(in_time_count >= kLossyJobCount * 9 / 10);
    CU_ASSERT_EQUAL(sim.counts.duplicate_runs, 0);
    sim_clear(&sim);
}

/// Seeds that failed before. 46, 88 and 209: a run that a new incarnation of
/// its target had accepted was treated as ended with the previous one. 44 and
/// 103: the simulation carried out late calls in another incarnation.
static const uint64_t regression_seeds[] = {44, 46, 88, 103, 209};

static void
test_no_duplicate_runs_under_faults(void)
{
    for (uint64_t seed = 1; seed <= kSeedCount; seed++) {
        run_fault_schedule(seed);
    }
    for (uint32_t i = 0;
         i < sizeof regression_seeds / sizeof regression_seeds[0]; i++) {
        run_fault_schedule(regression_seeds[i]);
    }
}

static void
hand_over_all(int64_t handover_ns)
{
    for (uint32_t i = 0; i < sim.target_count; i++) {
        pool_set_target_handover(sim.pools[0], sim.targets[i].info.id,
                                 handover_ns);
    }
}

/// A surge while targets wait for their long runs to end before they pass to
/// another owner: they would stand idle for seconds.
static void
test_short_runs_fill_a_handover(void)
{
    create_sim(2, 1);
    hand_over_all(sim.now_ns + MS_TO_NS(1000));
    sim_submit_equal(&sim, 0, "a", 4, 100, 0);
    run_for_ms(50);
    CU_ASSERT_EQUAL(count_running(), 4);
    run_for_ms(750);
    CU_ASSERT_EQUAL(sim.counts.outcomes[kOrderOutcomeComplete], 1);
    // Too late to end before the handover, with the usual error of estimates.
    sim_submit_equal(&sim, 0, "b", 1, 150, 0);
    run_for_ms(20);
    CU_ASSERT_EQUAL(count_running(), 0);
    CU_ASSERT_EQUAL(sim.counts.outcomes[kOrderOutcomeRefused], 1);
    CU_ASSERT_EQUAL(pool_read_status(sim.pools[0], sim.now_ns).target_count,
                    2);
    run_for_ms(200);
    CU_ASSERT_EQUAL(pool_read_status(sim.pools[0], sim.now_ns).target_count,
                    0);
    hand_over_all(INT64_MAX);
    sim_submit_equal(&sim, 0, "c", 1, 150, 0);
    run_for_ms(20);
    CU_ASSERT_EQUAL(count_running(), 1);
    sim_clear(&sim);
}

/// The longest run of a target holds up its handover, not those that fill it.
static void
test_earlier_runs_are_told_apart(void)
{
    create_sim(1, 1);
    const char *id = sim.targets[0].info.id;
    sim_submit_equal(&sim, 0, "a", 1, 100, 0);
    run_for_ms(20);
    int64_t revoked_ns = sim.now_ns;
    sim_submit_equal(&sim, 0, "b", 1, 100, 0);
    run_for_ms(20);
    CU_ASSERT_TRUE(pool_has_runs_since_before(sim.pools[0], id, revoked_ns));
    run_for_ms(70);
    CU_ASSERT_EQUAL(pool_count_target_runs(sim.pools[0], id), 1);
    CU_ASSERT_FALSE(pool_has_runs_since_before(sim.pools[0], id, revoked_ns));
    sim_clear(&sim);
}

int
main(void)
{
    apr_initialize();
    const CU_TestInfo tests[] = {
        {"an order completes", test_order_completes},
        {"ends are acknowledged", test_ends_are_acknowledged},
        {"a withdrawn order is stopped", test_withdrawn_order_is_stopped},
        {"orders of a lost client are stopped",
         test_orders_of_lost_client_are_stopped},
        {"a resubmitted job continues", test_resubmitted_job_continues},
        {"a failing target is ejected", test_failing_target_is_ejected},
        {"an order fails after the attempt limit",
         test_order_fails_after_attempt_limit},
        {"a task of a stalled run is retried",
         test_task_of_stalled_run_is_retried},
        {"an unreachable target blocks a retry until its lease expires",
         test_unreachable_target_blocks_retry},
        {"tasks of a restarted target run again",
         test_restarted_target_reruns_tasks},
        {"a draining target gets no starts",
         test_draining_target_gets_no_starts},
        {"a shrunk target gets what fits", test_shrunk_target_gets_what_fits},
        {"a target that shrinks unnoticed is not ejected",
         test_target_that_shrinks_unnoticed_is_not_ejected},
        {"a new owner stops unknown runs", test_new_owner_stops_unknown_runs},
        {"a rejection of an old token is ignored",
         test_rejection_of_old_token_is_ignored},
        {"sessions are verified after a pause",
         test_sessions_are_verified_after_pause},
        {"a reply from before a pause is ignored",
         test_reply_before_pause_is_ignored},
        {"sessions return after a pause", test_sessions_return_after_pause},
        {"rejected starts back off", test_rejected_starts_back_off},
        {"overload is refused at once", test_overload_is_refused_at_once},
        {"an order that will miss its objective starts last",
         test_order_missing_objective_starts_last},
        {"an urgent order starts first", test_urgent_order_starts_first},
        {"a late list keeps a resent run", test_late_list_keeps_resent_run},
        {"lost calls delay few jobs", test_lost_calls_delay_few_jobs},
        {"no duplicate runs under faults",
         test_no_duplicate_runs_under_faults},
        {"short runs fill a handover", test_short_runs_fill_a_handover},
        {"earlier runs are told apart", test_earlier_runs_are_told_apart},
        CU_TEST_INFO_NULL,
    };
    return suite_run("pool", tests);
}
