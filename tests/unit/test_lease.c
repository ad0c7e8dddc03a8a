/// Runs whose order has ended, on targets that do not answer stops. Their
/// lease ends them before the caller submits the job again.
#include <apr_general.h>
#include <stdio.h>
#include <string.h>

#include "base/units.h"
#include "pool/pool.h"
#include "support/sim.h"
#include "support/suite.h"

enum {
    kResubmitMs = 1300, ///< from the end of a job until its caller returns
    kLongMs = 8000,
    kShortMs = 20,
    kAllPermille = 1000,
    kSeedCount = 20
};

/// As owner_limits() derives them from kResubmitMs.
static const pool_limits_t limits = {
    .lease_ms = 650, .orphan_ms = 780, .remote_permille = 1500};

static sim_t sim;

static int64_t
work_long(sim_t *simulation, const run_name_t *name)
{
    (void)simulation;
    (void)name;
    return MS_TO_NS(kLongMs);
}

static void
run_for_ms(int64_t ms)
{
    sim_run_until(&sim, sim.now_ns + MS_TO_NS(ms));
}

static void
create_sim(uint32_t targets, uint64_t seed)
{
    sim_init(&sim, targets, seed);
    for (uint32_t i = 0; i < kSimPoolCount; i++) {
        pool_set_limits(sim.pools[i], &limits);
    }
    sim.work_ns = work_long;
    sim_assign_targets(&sim, 0, 5);
    run_for_ms(50);
}

/// Submits an order that does not reach its deadline.
static void
submit(const char *job, uint32_t task_count)
{
    sim_submit_equal(&sim, 0, job, task_count, kLongMs, 0);
}

static void
withdraw(uint64_t request)
{
    pool_withdraw_order(sim.pools[0], 1, request, sim.now_ns, sim.now_ns);
}

static uint32_t
count_running(const char *job)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < sim.target_count; i++) {
        for (uint32_t j = 0; j < sim.targets[i].run_count; j++) {
            count += strcmp(sim.targets[i].runs[j].name.job, job) == 0;
        }
    }
    return count;
}

/// The lease that another run needs must not keep a run whose stops go
/// unanswered (review case 7).
static void
test_neighbour_does_not_keep_run(void)
{
    create_sim(1, 1);
    submit("a1", 1);
    submit("b1", 1);
    run_for_ms(300);
    CU_ASSERT_EQUAL(count_running("a1"), 1);
    CU_ASSERT_EQUAL(count_running("b1"), 1);
    sim.fault_rates.late_stop_permille = kAllPermille;
    withdraw(0xa1);
    run_for_ms(kResubmitMs);
    CU_ASSERT_EQUAL(count_running("a1"), 0);
    sim_clear(&sim);
}

/// Nor must starts on the same target, which carry a lease too.
static void
test_starts_do_not_keep_run(void)
{
    create_sim(1, 1);
    submit("a1", 1);
    run_for_ms(300);
    sim.fault_rates.late_stop_permille = kAllPermille;
    withdraw(0xa1);
    for (uint32_t i = 0; i < kResubmitMs / 50; i++) {
        char job[8];
        snprintf(job, sizeof job, "%x", 0xb00 + i);
        submit(job, 1);
        run_for_ms(40);
        withdraw(0xb00 + i);
        run_for_ms(10);
    }
    CU_ASSERT_EQUAL(count_running("a1"), 0);
    sim_clear(&sim);
}

static int64_t
work_by_job(sim_t *simulation, const run_name_t *name)
{
    (void)simulation;
    return MS_TO_NS(strcmp(name->job, "a1") == 0 ? kLongMs : kShortMs);
}

/// The same with starts that go on, as their runs end by themselves.
static void
test_short_runs_do_not_keep_run(void)
{
    create_sim(1, 1);
    sim.work_ns = work_by_job;
    submit("a1", 1);
    run_for_ms(300);
    sim.fault_rates.late_stop_permille = kAllPermille;
    withdraw(0xa1);
    for (uint32_t i = 0; i < kResubmitMs / 50; i++) {
        char job[8];
        snprintf(job, sizeof job, "%x", 0xb00 + i);
        sim_submit_equal(&sim, 0, job, 1, kShortMs, 0);
        run_for_ms(50);
    }
    CU_ASSERT_EQUAL(count_running("a1"), 0);
    sim_clear(&sim);
}

/// A run without an order is no reason to renew a lease.
static void
test_run_does_not_keep_itself(void)
{
    create_sim(1, 1);
    submit("a1", 1);
    run_for_ms(300);
    sim.fault_rates.late_stop_permille = kAllPermille;
    withdraw(0xa1);
    run_for_ms(kResubmitMs);
    CU_ASSERT_EQUAL(count_running("a1"), 0);
    // The target is in use again although no stop was ever answered.
    submit("c1", 2);
    run_for_ms(50);
    CU_ASSERT_EQUAL(count_running("c1"), 2);
    sim_clear(&sim);
}

/// The client was silent before its orders were dropped: its callers may
/// return that much earlier, so the last lease must be the last.
static void
test_time_counts_from_last_sign(void)
{
    enum { kSilenceMs = 300 };
    create_sim(1, 1);
    submit("a1", 1);
    run_for_ms(kSilenceMs);
    int64_t heard_ns = sim.now_ns;
    run_for_ms(kSilenceMs);
    sim.fault_rates.late_stop_permille = kAllPermille;
    pool_drop_client(sim.pools[0], 1, heard_ns, sim.now_ns);
    submit("b1", 1);
    run_for_ms(limits.lease_ms + 10);
    CU_ASSERT_EQUAL(count_running("a1"), 0);
    sim_clear(&sim);
}

/// The owner was paused, for less than a lease. The callers may have given up
/// when the pause began.
static void
test_time_counts_from_pause(void)
{
    enum { kPauseMs = 500, kStepMs = 20, kSteps = 10 };
    for (uint32_t step = 0; step < kSteps; step++) {
        create_sim(1, 1);
        submit("a1", 1);
        submit("b1", 1);
        run_for_ms(300 + step * kStepMs);
        int64_t paused_ns = sim.now_ns;
        sim.owners[0].is_frozen = true;
        run_for_ms(kPauseMs);
        sim.owners[0].is_frozen = false;
        sim.fault_rates.late_stop_permille = kAllPermille;
        pool_reset(sim.pools[0], paused_ns, sim.now_ns);
        run_for_ms(limits.orphan_ms - kPauseMs);
        CU_ASSERT_EQUAL(count_running("a1") + count_running("b1"), 0);
        sim_clear(&sim);
    }
}

/// Puts a run on a target that its owner does not know.
static void
add_unknown_run(const char *job)
{
    sim_target_t *target = &sim.targets[0];
    sim_run_t *run = &target->runs[target->run_count++];
    *run = (sim_run_t){.name = {.attempt = 1}, .end_ns = INT64_MAX};
    snprintf(run->name.job, sizeof run->name.job, "%s", job);
}

/// A run without an order here is not kept for the runs that are known.
static void
test_unknown_run_is_not_kept(void)
{
    create_sim(1, 1);
    submit("a1", 1);
    run_for_ms(100);
    sim.fault_rates.late_stop_permille = kAllPermille;
    add_unknown_run("f1");
    run_for_ms(limits.lease_ms + 200);
    CU_ASSERT_EQUAL(count_running("f1"), 0);
    run_for_ms(100);
    CU_ASSERT_EQUAL(count_running("a1"), 1);
    sim_clear(&sim);
}

/// Another owner started a run before this one got a higher token. As many
/// runs of this owner, whose starts went unanswered, must not make it take the
/// other one's for its own.
static void
test_unknown_run_among_unconfirmed_ones(void)
{
    create_sim(1, 1);
    sim.fault_rates.late_permille = kAllPermille;
    submit("a1", 1);
    run_for_ms(150);
    sim.fault_rates.late_permille = 0;
    sim.fault_rates.late_stop_permille = kAllPermille;
    run_for_ms(100);
    sim_assign_targets(&sim, 1, 6);
    run_for_ms(20);
    sim_submit_equal(&sim, 1, "b1", 1, kLongMs, 0);
    run_for_ms(20);
    CU_ASSERT_EQUAL(count_running("b1"), 1);
    sim_assign_targets(&sim, 0, 7);
    sim.owners[1].is_frozen = true;
    run_for_ms(1000);
    CU_ASSERT_EQUAL(count_running("b1"), 0);
    sim_clear(&sim);
}

/// One of the repeated stops is answered in time: the other run goes on.
static void
test_neighbour_survives_late_answer(void)
{
    create_sim(1, 1);
    submit("a1", 1);
    submit("b1", 1);
    run_for_ms(300);
    sim.fault_rates.late_stop_permille = kAllPermille;
    withdraw(0xa1);
    run_for_ms(600);
    sim.fault_rates.late_stop_permille = 0;
    run_for_ms(kResubmitMs);
    CU_ASSERT_EQUAL(count_running("a1"), 0);
    CU_ASSERT_EQUAL(count_running("b1"), 1);
    CU_ASSERT_EQUAL(sim.counts.lapsed, 0);
    CU_ASSERT_EQUAL(sim.counts.starts, 2);
    sim_clear(&sim);
}

/// A start goes unanswered, and so do all its stops: the target is used again
/// once its lease has expired.
static void
test_unconfirmed_run_ends_with_lease(void)
{
    create_sim(1, 1);
    sim.fault_rates.late_permille = kAllPermille;
    submit("a1", 1);
    run_for_ms(2);
    withdraw(0xa1);
    run_for_ms(150);
    sim.fault_rates.late_permille = 0;
    sim.fault_rates.late_stop_permille = kAllPermille;
    run_for_ms(kResubmitMs);
    submit("b1", 2);
    run_for_ms(50);
    CU_ASSERT_EQUAL(count_running("b1"), 2);
    CU_ASSERT_EQUAL(sim.counts.duplicate_runs, 0);
    sim_clear(&sim);
}

static uint32_t next_job;

/// Withdraws a job at its caller's deadline and submits it again later, as a
/// caller does.
static void
submit_again(sim_t *simulation)
{
    char job[8];
    (void)simulation;
    snprintf(job, sizeof job, "%x", 0xa00 + next_job++);
    submit(job, 4);
}

/// Callers give jobs up and submit them again while stops and lists go
/// unanswered.
static void
run_resubmissions(uint64_t seed, sim_fault_rates_t rates)
{
    enum { kJobCount = 6, kRounds = 4, kRunMs = 700 };
    create_sim(20, seed);
    for (uint32_t round = 0; round < kRounds; round++) {
        next_job = 0;
        for (uint32_t i = 0; i < kJobCount; i++) {
            sim_schedule(&sim, sim.now_ns + MS_TO_NS(20 * i), submit_again);
        }
        run_for_ms(kRunMs);
        sim.fault_rates = rates;
        for (uint32_t i = 0; i < kJobCount; i++) {
            withdraw(0xa00 + i);
        }
        run_for_ms(kResubmitMs);
    }
    if (sim.counts.duplicate_runs > 0) {
        printf("seed %llu: duplicate_runs=%u\n", (unsigned long long)seed,
               sim.counts.duplicate_runs);
    }
    CU_ASSERT_EQUAL(sim.counts.duplicate_runs, 0);
    CU_ASSERT(sim.counts.starts > kJobCount * 4);
    sim_clear(&sim);
}

static void
test_unanswered_stops(void)
{
    for (uint64_t seed = 1; seed <= kSeedCount; seed++) {
        run_resubmissions(seed,
                          (sim_fault_rates_t){.late_stop_permille = 700});
    }
}

static void
test_unanswered_stops_and_lists(void)
{
    for (uint64_t seed = 1; seed <= kSeedCount; seed++) {
        run_resubmissions(seed,
                          (sim_fault_rates_t){.late_stop_permille = 700,
                                              .lost_list_permille = 300});
    }
}

static int64_t
work_2s(sim_t *simulation, const run_name_t *name)
{
    (void)simulation;
    (void)name;
    return MS_TO_NS(2000);
}

static void
withdraw_some_jobs(uint64_t seed)
{
    enum {
        kJobCount = 1000,
        kWithdrawnEach = 4,
        kMaxLostPermille = 20 ///< of the runs whose order was withdrawn
    };
    create_sim(12, seed);
    sim.work_ns = work_2s;
    sim.fault_rates.late_stop_permille = kAllPermille / 2;
    for (uint32_t i = 0; i < kJobCount; i++) {
        char job[8];
        snprintf(job, sizeof job, "%x", 0xa000 + i);
        sim_submit_equal(&sim, 0, job, 1, 2000, 0);
        run_for_ms(100);
        if (i % kWithdrawnEach == 0) {
            withdraw(0xa000 + i);
        }
    }
    run_for_ms(3000);
    uint32_t withdrawn = kJobCount / kWithdrawnEach;
    uint32_t repeated = sim.counts.starts - kJobCount;
    uint32_t lost = sim.counts.outcomes[kOrderOutcomeLost];
    CU_ASSERT_EQUAL(sim.counts.outcomes[kOrderOutcomeComplete] + lost,
                    kJobCount - withdrawn);
    // A task that starts again late misses the deadline of its job.
    CU_ASSERT(lost <= repeated);
    CU_ASSERT(repeated * 1000 <= withdrawn * kMaxLostPermille);
    sim_clear(&sim);
}

/// Half of all stops go unanswered. Stops are repeated often enough that
/// hardly any run of another order is lost to the lease: its task would start
/// again.
static void
test_cost_to_other_runs(void)
{
    for (uint64_t seed = 1; seed <= kSeedCount; seed++) {
        withdraw_some_jobs(seed);
    }
}

int
main(void)
{
    const CU_TestInfo tests[] = {
        {"another run does not keep a run without an order",
         test_neighbour_does_not_keep_run},
        {"starts do not keep a run without an order",
         test_starts_do_not_keep_run},
        {"starts of short runs do not keep a run without an order",
         test_short_runs_do_not_keep_run},
        {"a run without an order does not keep itself",
         test_run_does_not_keep_itself},
        {"the time counts from the last sign of the client",
         test_time_counts_from_last_sign},
        {"the time counts from the beginning of a pause",
         test_time_counts_from_pause},
        {"an unknown run is not kept for known ones",
         test_unknown_run_is_not_kept},
        {"an unknown run among unconfirmed ones",
         test_unknown_run_among_unconfirmed_ones},
        {"a stop that is answered late spares the other run",
         test_neighbour_survives_late_answer},
        {"an unconfirmed run ends with the lease",
         test_unconfirmed_run_ends_with_lease},
        {"jobs submitted again while stops go unanswered",
         test_unanswered_stops},
        {"jobs submitted again while stops and lists go unanswered",
         test_unanswered_stops_and_lists},
        {"half of the stops unanswered cost other runs little",
         test_cost_to_other_runs},
        CU_TEST_INFO_NULL,
    };
    apr_initialize();
    return suite_run("lease", tests);
}
