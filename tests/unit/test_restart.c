/// Targets that start again under their names, perhaps as another kind.
#include <apr_general.h>
#include <stdio.h>
#include <string.h>

#include "base/units.h"
#include "pool/pool.h"
#include "support/sim.h"
#include "support/suite.h"

enum { kTaskMs = 50, kRecordDelayMs = 1500, kStepMs = 100, kJobsPerStep = 4 };

static sim_t sim;

static int64_t
work_ns(sim_t *simulation, const run_name_t *name)
{
    (void)simulation;
    (void)name;
    return MS_TO_NS(kTaskMs);
}

static void
run_for_ms(int64_t ms)
{
    sim_run_until(&sim, sim.now_ns + MS_TO_NS(ms));
}

static void
set_label(uint32_t target, const char *label)
{
    pool_target_info_t *info = &sim.targets[target].info;
    info->label_count = 1;
    strncpy(info->labels[0], label, sizeof info->labels[0] - 1);
}

/// Submits an order of one task that needs a label.
static void
submit(const char *job, const char *label)
{
    order_step_t step = {.task_count = 1,
                         .cpu_mcores = 14000,
                         .memory_mb = 64,
                         .estimate_ms = kTaskMs,
                         .constraint = label,
                         .data_rack = ""};
    const order_t order = {.job = job,
                           .service = "s",
                           .queue = "q",
                           .payload = "p",
                           .attempt_limit = 3,
                           .slo_ms = 5000,
                           .stretch_permille = 1600,
                           .left_ms = 10000,
                           .steps = &step,
                           .steps_count = 1};
    sim_submit(&sim, 0, &order);
}

/// Two targets of kind "a"; the first starts again as kind "b", and answers
/// before its record has been read.
static void
begin(void)
{
    sim_init(&sim, 2, 1);
    sim.work_ns = work_ns;
    sim.record_delay_ns = MS_TO_NS(kRecordDelayMs);
    set_label(0, "a");
    set_label(1, "a");
    sim_assign_targets(&sim, 0, 5);
    run_for_ms(kStepMs);
    // With runs on both, a list call waits at the target that restarts.
    for (uint32_t i = 0; i < kJobsPerStep; i++) {
        char job[8];
        snprintf(job, sizeof job, "%x", 0xa000 + i);
        submit(job, "a");
    }
    run_for_ms(kTaskMs / 2);
    CU_ASSERT(sim.targets[0].run_count > 0);
    set_label(0, "b");
    sim_restart_target(&sim, 0);
}

/// Nothing starts on a target by what its earlier life said of itself (review
/// case 8).
static void
test_label_of_earlier_life(void)
{
    begin();
    for (uint32_t i = 0; i < kRecordDelayMs / kStepMs - 2; i++) {
        for (uint32_t j = 0; j < kJobsPerStep; j++) {
            char job[8];
            snprintf(job, sizeof job, "%x", 0xb000 + i * kJobsPerStep + j);
            submit(job, "a");
        }
        run_for_ms(kStepMs);
        CU_ASSERT_EQUAL(sim.targets[0].end_number, 0);
        CU_ASSERT_EQUAL(sim.targets[0].run_count, 0);
    }
    sim_clear(&sim);
}

/// Once its record has been read, it gets what fits its kind.
static void
test_label_of_new_life(void)
{
    begin();
    run_for_ms(kRecordDelayMs + kStepMs);
    submit("c1", "b");
    submit("c2", "a");
    run_for_ms(kStepMs);
    CU_ASSERT_EQUAL(sim.targets[0].end_number, 1);
    CU_ASSERT_STRING_EQUAL(sim.targets[0].ended[0].name.job, "c1");
    sim_clear(&sim);
}

/// A target that is idle starts again as another kind, which nothing tells the
/// pool before its record is read (review case 13).
static void
test_idle_target(void)
{
    enum { kDownMs = 500, kIdleMs = 1000 };
    sim_init(&sim, 2, 1);
    sim.work_ns = work_ns;
    sim.record_delay_ns = MS_TO_NS(kRecordDelayMs);
    set_label(0, "a");
    set_label(1, "a");
    sim_assign_targets(&sim, 0, 5);
    run_for_ms(kStepMs);
    submit("a1", "a");
    submit("a2", "a");
    submit("a3", "a");
    run_for_ms(kIdleMs);
    CU_ASSERT_EQUAL(sim.counts.outcomes[kOrderOutcomeComplete], 3);
    sim.targets[0].is_unreachable = true;
    run_for_ms(kDownMs);
    sim.targets[0].is_unreachable = false;
    set_label(0, "b");
    sim_restart_target(&sim, 0);
    for (uint32_t i = 0; i < kJobsPerStep; i++) {
        char job[8];
        snprintf(job, sizeof job, "%x", 0xb000 + i);
        submit(job, "a");
    }
    run_for_ms(kStepMs * 4);
    CU_ASSERT_EQUAL(sim.targets[0].end_number, 0);
    CU_ASSERT_EQUAL(sim.targets[0].run_count, 0);
    CU_ASSERT_EQUAL(sim.counts.outcomes[kOrderOutcomeComplete],
                    3 + kJobsPerStep);
    sim_clear(&sim);
}

/// Verifying an idle target delays the first start there by a call.
static void
test_idle_targets_are_verified_at_once(void)
{
    sim_init(&sim, 4, 1);
    sim.work_ns = work_ns;
    sim_assign_targets(&sim, 0, 5);
    run_for_ms(2000);
    sim_submit_equal(&sim, 0, "a1", 8, kTaskMs, 0);
    run_for_ms(2); // four calls and four starts, one after the other, take 4.5
    for (uint32_t i = 0; i < sim.target_count; i++) {
        CU_ASSERT_EQUAL(sim.targets[i].run_count, 2);
    }
    sim_clear(&sim);
}

/// A lost list call of an idle target is repeated as soon as that of a target
/// with runs.
static void
test_lost_verification(void)
{
    sim_init(&sim, 1, 1);
    sim.work_ns = work_ns;
    sim_assign_targets(&sim, 0, 5);
    run_for_ms(2000);
    sim.fault_rates.lost_list_permille = 1000;
    sim_submit_equal(&sim, 0, "a1", 1, kTaskMs, 0);
    run_for_ms(5);
    sim.fault_rates.lost_list_permille = 0;
    run_for_ms(170);
    CU_ASSERT_EQUAL(sim.counts.starts, 1);
    sim_clear(&sim);
}

int
main(void)
{
    const CU_TestInfo tests[] = {
        {"the label of an earlier life (review case 8)",
         test_label_of_earlier_life},
        {"the label of the new life", test_label_of_new_life},
        {"an idle target (review case 13)", test_idle_target},
        {"idle targets are verified at once",
         test_idle_targets_are_verified_at_once},
        {"a lost verification", test_lost_verification},
        CU_TEST_INFO_NULL,
    };
    apr_initialize();
    return suite_run("restart", tests);
}
