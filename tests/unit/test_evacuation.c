/// Evacuated data centres: which they are, what becomes of the orders of their
/// owners, and where coordinators send jobs.
#include "node/evacuate.h"

#include <apr_general.h>
#include <stdlib.h>
#include <string.h>

#include "base/units.h"
#include "node/catalog.h"
#include "node/coordinator.h"
#include "node/owner.h"
#include "node/peer_state.h"
#include "ownership/evacuation.h"
#include "platform/topics.h"
#include "runtime/clock.h"
#include "support/adapter_stub.h"
#include "support/sim.h"
#include "support/suite.h"

enum { kPartitionCount = 4, kTaskMs = 100, kGeneration = 5 };

static const char *const dcs[] = {"east", "west"};

static evacuation_t evacuation;

static void
create_state(void)
{
    evacuation_init(&evacuation, dcs, 2);
}

static void
list(const char *dc)
{
    evacuation_begin_list(&evacuation);
    if (dc != NULL) {
        evacuation_put(&evacuation, dc);
    }
    evacuation_end_list(&evacuation);
}

static void
test_nothing_runs_before_the_first_list(void)
{
    create_state();
    CU_ASSERT_FALSE(evacuation_accepts_runs(&evacuation, "east"));
    CU_ASSERT_FALSE(evacuation_has(&evacuation, "east"));
    list(NULL);
    CU_ASSERT_TRUE(evacuation_accepts_runs(&evacuation, "east"));
    evacuation_clear(&evacuation);
}

static void
test_evacuation_ends_when_taken_back(void)
{
    create_state();
    list(NULL);
    CU_ASSERT_TRUE(evacuation_put(&evacuation, "east"));
    CU_ASSERT_FALSE(evacuation_accepts_runs(&evacuation, "east"));
    CU_ASSERT_TRUE(evacuation_accepts_runs(&evacuation, "west"));
    CU_ASSERT_FALSE(evacuation_is_total(&evacuation));
    evacuation_put(&evacuation, "west");
    CU_ASSERT_TRUE(evacuation_is_total(&evacuation));
    evacuation_remove(&evacuation, "east");
    CU_ASSERT_TRUE(evacuation_accepts_runs(&evacuation, "east"));
    CU_ASSERT_EQUAL(evacuation_count(&evacuation), 1);
    evacuation_clear(&evacuation);
}

/// Records were deleted, so the list is read anew. Until it is complete, what
/// was known stays in force.
static void
test_list_replaces_what_was_known(void)
{
    create_state();
    list("east");
    evacuation_begin_list(&evacuation);
    CU_ASSERT_FALSE(evacuation_accepts_runs(&evacuation, "east"));
    evacuation_put(&evacuation, "west");
    CU_ASSERT_FALSE(evacuation_accepts_runs(&evacuation, "east"));
    evacuation_end_list(&evacuation);
    CU_ASSERT_TRUE(evacuation_accepts_runs(&evacuation, "east"));
    CU_ASSERT_FALSE(evacuation_accepts_runs(&evacuation, "west"));
    evacuation_clear(&evacuation);
}

static void
test_unreadable_record_changes_nothing(void)
{
    create_state();
    list("east");
    evacuation_begin_list(&evacuation);
    evacuation_keep(&evacuation, "east");
    evacuation_keep(&evacuation, "west");
    evacuation_keep(&evacuation, "north");
    evacuation_end_list(&evacuation);
    CU_ASSERT_FALSE(evacuation_accepts_runs(&evacuation, "east"));
    CU_ASSERT_TRUE(evacuation_accepts_runs(&evacuation, "west"));
    CU_ASSERT_FALSE(evacuation_put(&evacuation, "north"));
    evacuation_remove(&evacuation, "north");
    CU_ASSERT_EQUAL(evacuation_count(&evacuation), 1);
    evacuation_clear(&evacuation);
}

static void
test_records_are_read(void)
{
    const char *const texts[] = {"", "[1,2", "7", "null", "\"x\"", "[]"};
    error_info_t err = {0};
    CU_ASSERT_STRING_EQUAL(topics_read_evacuation_key("evacuate/east"),
                           "east");
    CU_ASSERT_PTR_NULL(topics_read_evacuation_key("config"));
    CU_ASSERT_PTR_NULL(topics_read_evacuation_key("evacuate"));
    bytes_t valid = {.data = (const uint8_t *)"{}", .size_bytes = 2};
    CU_ASSERT_TRUE(topics_check_evacuation(valid, &err));
    for (uint32_t i = 0; i < sizeof texts / sizeof texts[0]; i++) {
        bytes_t text = {.data = (const uint8_t *)texts[i],
                        .size_bytes = (uint32_t)strlen(texts[i])};
        err = (error_info_t){0};
        CU_ASSERT_FALSE(topics_check_evacuation(text, &err));
        CU_ASSERT_EQUAL(err.kind, kErrorKindProtocol);
    }
}

// Orders of an owner.

static sim_t sim;

static int64_t
work_of_task(sim_t *simulation, const run_name_t *name)
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

/// Creates a pool with targets of two tasks each.
static void
create_pool(uint32_t target_count)
{
    sim_init(&sim, target_count, 1);
    sim.work_ns = work_of_task;
    sim_assign_targets(&sim, 0, kGeneration);
    run_for_ms(50);
}

/// Evacuates the first targets, or takes that back.
static void
set_evacuated(uint32_t target_count, bool is_evacuated)
{
    for (uint32_t i = 0; i < target_count; i++) {
        pool_target_info_t info = sim.targets[i].info;
        info.is_draining = is_evacuated;
        pool_put_target(sim.pools[0], &info, kGeneration, sim.now_ns);
    }
    pool_set_evacuating(sim.pools[0], is_evacuated);
    pool_advance(sim.pools[0], sim.now_ns);
}

static void
test_waiting_orders_are_refused_at_once(void)
{
    create_pool(1);
    sim_submit_equal(&sim, 0, "a", 2, kTaskMs, 0);
    run_for_ms(kTaskMs / 2);
    sim_submit_equal(&sim, 0, "b", 2, kTaskMs, 0);
    run_for_ms(10);
    CU_ASSERT_EQUAL(sim.counts.starts, 2);
    CU_ASSERT_EQUAL(sim.counts.outcomes[kOrderOutcomeRefused], 0);
    set_evacuated(1, true);
    CU_ASSERT_EQUAL(sim.counts.outcomes[kOrderOutcomeRefused], 1);
    sim_submit_equal(&sim, 0, "c", 1, kTaskMs, 0);
    CU_ASSERT_EQUAL(sim.counts.outcomes[kOrderOutcomeRefused], 2);
    run_for_ms(3 * kTaskMs);
    CU_ASSERT_EQUAL(sim.counts.outcomes[kOrderOutcomeComplete], 1);
    CU_ASSERT_EQUAL(sim.counts.starts, 2);
    CU_ASSERT_EQUAL(sim.counts.lapsed, 0);
    set_evacuated(1, false);
    sim_submit_equal(&sim, 0, "d", 2, kTaskMs, 0);
    run_for_ms(3 * kTaskMs);
    CU_ASSERT_EQUAL(sim.counts.outcomes[kOrderOutcomeComplete], 2);
    sim_clear(&sim);
}

/// An order with a task that has run must not be answered as not run, and its
/// other tasks have no target left.
static void
test_begun_order_ends_as_lost(void)
{
    create_pool(1);
    sim_submit_equal(&sim, 0, "a", 3, kTaskMs, 0);
    run_for_ms(kTaskMs / 2);
    CU_ASSERT_EQUAL(sim.counts.starts, 2);
    set_evacuated(1, true);
    CU_ASSERT_EQUAL(sim.counts.outcomes[kOrderOutcomeLost], 1);
    run_for_ms(3 * kTaskMs);
    CU_ASSERT_EQUAL(sim.counts.starts, 2);
    CU_ASSERT_EQUAL(sim.counts.outcomes[kOrderOutcomeRefused], 0);
    sim_clear(&sim);
}

/// An owner of targets of two data centres goes on with those of the other.
static void
test_orders_stay_with_targets_that_are_left(void)
{
    create_pool(2);
    sim_submit_equal(&sim, 0, "a", 4, kTaskMs, 0);
    run_for_ms(kTaskMs / 2);
    sim_submit_equal(&sim, 0, "b", 2, kTaskMs, 0);
    run_for_ms(10);
    set_evacuated(1, true);
    pool_status_t status = pool_read_status(sim.pools[0], sim.now_ns);
    CU_ASSERT_EQUAL(status.target_count, 1);
    run_for_ms(kTaskMs / 2);
    CU_ASSERT_EQUAL(sim.targets[0].run_count, 0);
    CU_ASSERT_EQUAL(sim.targets[1].run_count, 2);
    run_for_ms(2 * kTaskMs);
    CU_ASSERT_EQUAL(sim.counts.outcomes[kOrderOutcomeComplete], 2);
    CU_ASSERT_EQUAL(sim.counts.starts, 6);
    sim_clear(&sim);
}

// A node.

static const node_settings_t settings = {.name = "n",
                                         .dc = "east",
                                         .dcs = (const char **)dcs,
                                         .dcs_count = 2,
                                         .address = "127.0.0.1",
                                         .callers = "127.0.0.1:1",
                                         .resubmit_ms = 1300,
                                         .hold_limit_ms = 1000,
                                         .partition_count = kPartitionCount};

static node_t *node;
static arena_t *arena;

/// Creates a node that owns the targets of its data centre, and lists a
/// target.
static void
create_node(void)
{
    static const uint32_t partitions[kPartitionCount] = {0, 1, 2, 3};
    const join_reply_t joined = {.is_answered = true,
                                 .generation = kGeneration,
                                 .partitions = partitions,
                                 .partition_count = kPartitionCount};
    const pool_target_info_t target = {
        .id = "t", .service = "s", .dc = "east", .cpu_mcores = 32000};
    arena = arena_create();
    node = node_create(&settings, arena);
    node->adapter_ops = &adapter_stub_ops;
    node->groups[0].is_joined = true;
    node_handle_join_reply(node, "east", &joined);
    node_put_target(node, &target);
}

static peer_t *
add_owner(const char *name, const char *pool)
{
    const char *pools[] = {pool};
    const node_record_t record = {.name = name,
                                  .dc = pool,
                                  .address = "127.0.0.1",
                                  .port = 1,
                                  .nonce = 1,
                                  .pools = pools,
                                  .pools_count = 1};
    node_put_member(node, &record);
    peer_t *peer = peer_find(node, name);
    peer->is_up = true;
    return peer;
}

static void
read_list(const char *dc)
{
    evacuate_begin_list(node);
    if (dc != NULL) {
        evacuate_put(node, dc);
    }
    evacuate_end_list(node);
}

static bool
is_caller_gone(const caller_job_t *job)
{
    (void)job;
    return false;
}

static uint32_t settled_count;

static void
note_settled(caller_job_t *job)
{
    (void)job;
    settled_count++;
}

static order_step_t step = {.task_count = 1,
                            .cpu_mcores = 1000,
                            .estimate_ms = kTaskMs,
                            .constraint = "",
                            .data_rack = ""};

static caller_job_t
make_job(void)
{
    return (caller_job_t){.node = node,
                          .order = {.job = "j",
                                    .queue = "q",
                                    .service = "s",
                                    .payload = "",
                                    .steps = &step,
                                    .steps_count = 1,
                                    .attempt_limit = 1,
                                    .stretch_permille = 1000,
                                    .slo_ms = 1000},
                          .received_ns = clock_now_ns(),
                          .deadline_ns = clock_deadline_ns(1500),
                          .is_caller_gone = is_caller_gone,
                          .on_settled = note_settled};
}

/// @return the name of the owner that a job is sent to; "" for none
static const char *
choose_owner(void)
{
    bool is_self = false;
    const caller_job_t job = make_job();
    const peer_t *peer = peers_choose(node, &job, &is_self);
    return is_self ? "n" : peer == NULL ? "" : peer->name;
}

static void
test_node_reads_the_list_before_it_starts_runs(void)
{
    create_node();
    CU_ASSERT_FALSE(owner_accepts_runs(node));
    CU_ASSERT_STRING_EQUAL(choose_owner(), "");
    read_list("east");
    CU_ASSERT_FALSE(owner_accepts_runs(node));
    read_list(NULL);
    CU_ASSERT_TRUE(owner_accepts_runs(node));
    CU_ASSERT_STRING_EQUAL(choose_owner(), "n");
}

static void
test_jobs_go_to_the_data_centres_that_are_left(void)
{
    create_node();
    read_list(NULL);
    add_owner("e", "east");
    add_owner("w", "west");
    evacuate_put(node, "east");
    for (uint32_t i = 0; i < 20; i++) {
        CU_ASSERT_STRING_EQUAL(choose_owner(), "w");
    }
    evacuate_remove(node, "east");
    evacuate_put(node, "west");
    for (uint32_t i = 0; i < 20; i++) {
        CU_ASSERT_STRING_NOT_EQUAL(choose_owner(), "w");
    }
    // A record of an owner that is read during the evacuation.
    add_owner("w2", "west");
    add_owner("e2", "east");
    CU_ASSERT_FALSE(peer_find(node, "w2")->is_open);
    CU_ASSERT_TRUE(peer_find(node, "e2")->is_open);
}

static void
test_jobs_are_refused_at_once_if_all_is_evacuated(void)
{
    create_node();
    read_list(NULL);
    add_owner("w", "west");
    evacuate_put(node, "east");
    evacuate_put(node, "west");
    settled_count = 0;
    caller_job_t job = make_job();
    coordinator_submit_job(&job);
    CU_ASSERT_EQUAL(settled_count, 1);
    CU_ASSERT_EQUAL(job.outcome, kOrderOutcomeRefused);
    CU_ASSERT_EQUAL(job.kind, kErrorKindEvacuated);
    CU_ASSERT_EQUAL(error_answers[job.kind].run, kRunStatusNotRun);
    CU_ASSERT(job.retry_after_ms > 0);
    CU_ASSERT_EQUAL(job.tried_count, 0);
}

int
main(void)
{
    const CU_TestInfo tests[] = {
        {"nothing runs before the first list",
         test_nothing_runs_before_the_first_list},
        {"an evacuation ends when it is taken back",
         test_evacuation_ends_when_taken_back},
        {"a list replaces what was known", test_list_replaces_what_was_known},
        {"an unreadable record changes nothing",
         test_unreadable_record_changes_nothing},
        {"records are read", test_records_are_read},
        {"waiting orders are refused at once",
         test_waiting_orders_are_refused_at_once},
        {"a begun order ends as lost", test_begun_order_ends_as_lost},
        {"orders stay with the targets that are left",
         test_orders_stay_with_targets_that_are_left},
        {"a node reads the list before it starts runs",
         test_node_reads_the_list_before_it_starts_runs},
        {"jobs go to the data centres that are left",
         test_jobs_go_to_the_data_centres_that_are_left},
        {"jobs are refused at once if all is evacuated",
         test_jobs_are_refused_at_once_if_all_is_evacuated},
        CU_TEST_INFO_NULL,
    };
    apr_initialize();
    return suite_run("evacuation", tests);
}
