/// Surges: more work comes than the targets can do. Guards against orders that
/// wait behind new ones until their callers leave, with and without some of
/// their tasks done.
#include <apr_general.h>
#include <stdio.h>
#include <stdlib.h>

#include "pool/state.h"
#include "support/sim.h"
#include "support/suite.h"

enum {
    kTaskMcores = 14000,
    kSloMs = 60,
    kStretchPermille = 1600,
    kTargets = 8, ///< of two tasks each
    kWideTasks = 24,
    kTaskMs = 100,
    kSurgeTimeMs = 4000,
    kSinglesPerTurn = 2, ///< in 10 ms: with the wide jobs, twice the capacity
    kObjectiveMs = kTaskMs * kStretchPermille / 1000 + kSloMs,
    kUsefulMs = 3 * kObjectiveMs,
    /// Until contention counts as a surge, and between two placements.
    kRefusalSlackMs = 130,
    kMaxJobs = 4096
};

static sim_t sim;
static int64_t sent_ns[kMaxJobs];
static order_outcome_t outcomes[kMaxJobs];
static int64_t took_ns[kMaxJobs];
static uint32_t job_count;

static int64_t
work_of_task(sim_t *simulation, const run_name_t *name)
{
    (void)simulation;
    (void)name;
    return MS_TO_NS(kTaskMs);
}

static void
record_result(sim_t *simulation, uint32_t pool,
              const pool_order_result_t *result)
{
    (void)pool;
    outcomes[result->request] = result->outcome;
    took_ns[result->request] = simulation->now_ns - sent_ns[result->request];
}

static void
create_sim(uint32_t target_count)
{
    sim_init(&sim, target_count, 1);
    sim.work_ns = work_of_task;
    sim.on_settled = record_result;
    job_count = 0;
    sim_assign_targets(&sim, 0, 5);
    sim_run_until(&sim, sim.now_ns + MS_TO_NS(50));
}

static void
run_for_ms(int64_t ms)
{
    sim_run_until(&sim, sim.now_ns + MS_TO_NS(ms));
}

/// @return the number of the job
static uint32_t
submit(uint32_t task_count, uint32_t priority)
{
    char name[16];
    uint32_t job = job_count++;
    sent_ns[job] = sim.now_ns;
    outcomes[job] = kOrderOutcomeCount;
    snprintf(name, sizeof name, "%x", job);
    sim_submit_equal(&sim, 0, name, task_count, kTaskMs, priority);
    return job;
}

static void
test_urgency_of_order(void)
{
    order_step_t step = {.estimate_ms = kTaskMs};
    const order_t spec = {.steps = &step, .steps_count = 1};
    uint32_t remaining = 1;
    pool_order_t order = {.spec = &spec,
                          .received_ns = 0,
                          .objective_ns = MS_TO_NS(kObjectiveMs),
                          .step_remaining = &remaining};
    int64_t in_time_ns = MS_TO_NS(kObjectiveMs - kTaskMs);
    int64_t useful_ns = MS_TO_NS(kUsefulMs - kTaskMs);
    CU_ASSERT_EQUAL(urgency_read(&order, in_time_ns - 1), kUrgencyInTime);
    CU_ASSERT_EQUAL(urgency_read(&order, in_time_ns), kUrgencyLate);
    CU_ASSERT_EQUAL(urgency_give_up_ns(&order, 0), useful_ns);
    CU_ASSERT_EQUAL(urgency_give_up_ns(&order, 1), in_time_ns);
    CU_ASSERT_EQUAL(urgency_give_up_ns(&order, useful_ns), useful_ns);
    order.is_started = true;
    CU_ASSERT_EQUAL(urgency_read(&order, useful_ns - 1), kUrgencyBegun);
    CU_ASSERT_EQUAL(urgency_read(&order, useful_ns), kUrgencyLate);
    // What remains decides: the step is done.
    remaining = 0;
    CU_ASSERT_EQUAL(urgency_read(&order, useful_ns), kUrgencyBegun);
}

/// An order with part of its tasks done completes while its answer is of use,
/// although more urgent orders come all the time.
static void
test_begun_order_completes(void)
{
    create_sim(2);
    uint32_t begun = submit(12, 1);
    for (uint32_t i = 0; i < kUsefulMs / 10; i++) {
        submit(1, 0);
        run_for_ms(10);
    }
    CU_ASSERT_EQUAL(outcomes[begun], kOrderOutcomeComplete);
    CU_ASSERT(took_ns[begun] <= MS_TO_NS(kUsefulMs));
    sim_clear(&sim);
}

/// Over four seconds, twice as much work comes as can be done: single tasks,
/// and jobs of 24 tasks. Every job ends complete or refused; a refusal comes
/// by the time at which the job could no longer meet its objective; and the
/// wide jobs are not all turned away.
static void
test_surge(void)
{
    uint32_t complete_count = 0;
    uint32_t wide_in_time = 0;
    create_sim(kTargets);
    for (uint32_t i = 0; i < kSurgeTimeMs / 10; i++) {
        if (i % 20 == 0) {
            submit(kWideTasks, 0);
        }
        for (uint32_t j = 0; j < kSinglesPerTurn; j++) {
            submit(1, 0);
        }
        run_for_ms(10);
    }
    run_for_ms(kUsefulMs);
    for (uint32_t i = 0; i < job_count; i++) {
        CU_ASSERT(outcomes[i] == kOrderOutcomeComplete ||
                  outcomes[i] == kOrderOutcomeRefused);
        complete_count += outcomes[i] == kOrderOutcomeComplete;
        if (outcomes[i] == kOrderOutcomeRefused) {
            CU_ASSERT(took_ns[i] <=
                      MS_TO_NS(kObjectiveMs - kTaskMs + kRefusalSlackMs));
        }
        wide_in_time += i % (20 * kSinglesPerTurn + 1) == 0 &&
                        outcomes[i] == kOrderOutcomeComplete &&
                        took_ns[i] <= MS_TO_NS(kUsefulMs);
    }
    CU_ASSERT(complete_count > 0);
    CU_ASSERT(wide_in_time > 0);
    sim_clear(&sim);
}

int
main(void)
{
    const CU_TestInfo tests[] = {
        {"urgency of an order", test_urgency_of_order},
        {"a begun order completes", test_begun_order_completes},
        {"surge", test_surge},
        CU_TEST_INFO_NULL,
    };
    apr_initialize();
    return suite_run("urgency", tests);
}
