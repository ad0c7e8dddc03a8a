/// Evacuations of data centres with nodes as processes: their runners get no
/// starts, whatever fails meanwhile, and get them again afterwards.
#include <apr_general.h>
#include <apr_time.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "support/fleet.h"
#include "support/suite.h"

enum {
    kRunnerCount = 8, ///< half of them in each of two data centres
    kJobCount = 12,
    kLongTaskMs = 700
};

static fleet_t fleet;
static uint64_t last_id;

static void
evacuate(uint32_t dc)
{
    char query[32];
    snprintf(query, sizeof query, "evacuate=%u", dc);
    fleet_set_platform(&fleet, query);
}

static void
restore(uint32_t dc)
{
    char query[32];
    snprintf(query, sizeof query, "restore=%u", dc);
    fleet_set_platform(&fleet, query);
}

/// @return how many of kJobCount jobs, sent to all running nodes in turn, get
///         a status
static uint32_t
submit_jobs(uint32_t status)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < kJobCount; i++) {
        uint32_t node = i % fleet.node_count;
        if (fleet.nodes[node].is_running) {
            count +=
                fleet_submit_job(&fleet, node, ++last_id, 2, 10) == status;
        }
    }
    return count;
}

static uint64_t
count_starts_in_first_dc(void)
{
    return fleet_read_counter(&fleet, "starts_dc1");
}

/// Starts two data centres and evacuates the first one.
///
/// @return the starts that its runners have had
static uint64_t
start_evacuated(uint32_t nodes_per_dc)
{
    fleet_start(&fleet, 2, nodes_per_dc, kRunnerCount);
    CU_ASSERT_EQUAL(submit_jobs(200), kJobCount);
    evacuate(1);
    fleet_wait_all_owned(&fleet, kRunnerCount / 2);
    return count_starts_in_first_dc();
}

static bool
is_first_dc_used(void *state)
{
    const uint64_t *before = state;
    submit_jobs(200);
    return count_starts_in_first_dc() > *before;
}

/// Takes the evacuation back, and waits until runners get starts again.
static void
check_restore(uint64_t before)
{
    restore(1);
    process_wait_for(is_first_dc_used, &before, "the runners get starts");
    CU_ASSERT_EQUAL(submit_jobs(200), kJobCount);
    CU_ASSERT_EQUAL(fleet_read_counter(&fleet, "evacuated"), 0);
    CU_ASSERT_EQUAL(fleet_read_counter(&fleet, "doubles"), 0);
    fleet_stop(&fleet);
}

static void
test_jobs_run_in_the_other_data_centre(void)
{
    uint64_t before = start_evacuated(2);
    CU_ASSERT_EQUAL(submit_jobs(200), kJobCount);
    CU_ASSERT_EQUAL(count_starts_in_first_dc(), before);
    for (uint32_t i = 0; i < fleet.node_count; i++) {
        CU_ASSERT_EQUAL(
            fleet_read_metric(&fleet, i, "jaytrestle_dcs_evacuated"), 1);
    }
    check_restore(before);
}

/// Runs that are in progress end as usual.
static void
test_running_tasks_end(void)
{
    char reply[256];
    int connections[kJobCount];
    fleet_start(&fleet, 2, 1, kRunnerCount);
    for (uint32_t i = 0; i < kJobCount; i++) {
        connections[i] = fleet_send_job(&fleet, i % fleet.node_count,
                                        ++last_id, 1, kLongTaskMs, 5000);
    }
    apr_sleep(kLongTaskMs / 2 * 1000);
    evacuate(1);
    for (uint32_t i = 0; i < kJobCount; i++) {
        CU_ASSERT_EQUAL(
            fleet_receive_status(connections[i], reply, sizeof reply), 200);
        close(connections[i]);
    }
    CU_ASSERT_EQUAL(fleet_read_counter(&fleet, "stopped"), 0);
    CU_ASSERT_EQUAL(fleet_read_counter(&fleet, "lapsed"), 0);
    check_restore(count_starts_in_first_dc());
}

static void
test_all_is_evacuated(void)
{
    start_evacuated(1);
    evacuate(2);
    fleet_wait_all_owned(&fleet, 0);
    uint64_t before = fleet_read_counter(&fleet, "starts");
    CU_ASSERT_EQUAL(submit_jobs(503), kJobCount);
    CU_ASSERT_EQUAL(fleet_read_counter(&fleet, "starts"), before);
    restore(2);
    fleet_wait_all_owned(&fleet, kRunnerCount / 2);
    check_restore(count_starts_in_first_dc());
}

/// An owner of the evacuated data centre dies and starts again: it must know
/// of the evacuation before it uses its targets.
static void
test_owner_dies(void)
{
    uint64_t before = start_evacuated(2);
    for (uint32_t i = 0; i < fleet.node_count; i += 2) {
        fleet_signal(&fleet, i, SIGKILL);
        process_join(&fleet.nodes[i].process);
        fleet.nodes[i].is_running = false;
        submit_jobs(200);
        fleet_start_node(&fleet, i);
        fleet_wait_ready(&fleet, i);
        submit_jobs(200);
    }
    CU_ASSERT_EQUAL(count_starts_in_first_dc(), before);
    check_restore(before);
}

/// What was known stays in force while the store is away. Afterwards, records
/// that were deleted meanwhile are missed in the list.
static void
test_store_goes_away(void)
{
    uint64_t before = start_evacuated(2);
    fleet_set_platform(&fleet, "down=1");
    CU_ASSERT_EQUAL(submit_jobs(200), kJobCount);
    fleet_set_platform(&fleet, "down=0");
    fleet_set_platform(&fleet, "compact=1");
    CU_ASSERT_EQUAL(submit_jobs(200), kJobCount);
    fleet_set_platform(&fleet, "bad_evacuation=1");
    fleet_set_platform(&fleet, "compact=1");
    CU_ASSERT_EQUAL(submit_jobs(200), kJobCount);
    CU_ASSERT_EQUAL(count_starts_in_first_dc(), before);
    // Taken back during an outage.
    fleet_set_platform(&fleet, "down=1");
    restore(1);
    fleet_set_platform(&fleet, "compact=1");
    CU_ASSERT_EQUAL(submit_jobs(200), kJobCount);
    fleet_set_platform(&fleet, "down=0");
    check_restore(before);
}

static bool
knows_second_node(void *state)
{
    (void)state;
    return fleet_read_metric(&fleet, 1, "jaytrestle_dcs_evacuated") == 1;
}

/// The node of the evacuated data centre is cut off from the store, and goes
/// on serving its own callers. The other one sends it nothing. It learns of
/// the evacuation when the cut ends.
static void
test_cut_data_centre(void)
{
    fleet_start(&fleet, 2, 1, kRunnerCount);
    CU_ASSERT_EQUAL(submit_jobs(200), kJobCount);
    fleet_set_proxy(&fleet, "cut=1");
    evacuate(1);
    process_wait_for(knows_second_node, NULL, "the other node knows");
    uint64_t before = count_starts_in_first_dc();
    for (uint32_t i = 0; i < kJobCount; i++) {
        CU_ASSERT_EQUAL(fleet_submit_job(&fleet, 1, ++last_id, 2, 10), 200);
    }
    CU_ASSERT_EQUAL(count_starts_in_first_dc(), before);
    CU_ASSERT_EQUAL(fleet_submit_job(&fleet, 0, ++last_id, 2, 10), 200);
    fleet_set_proxy(&fleet, "cut=0");
    fleet_wait_all_owned(&fleet, kRunnerCount / 2);
    before = count_starts_in_first_dc();
    CU_ASSERT_EQUAL(submit_jobs(200), kJobCount);
    CU_ASSERT_EQUAL(count_starts_in_first_dc(), before);
    check_restore(before);
}

int
main(void)
{
    const CU_TestInfo tests[] = {
        {"jobs run in the other data centre",
         test_jobs_run_in_the_other_data_centre},
        {"running tasks end", test_running_tasks_end},
        {"all data centres are evacuated", test_all_is_evacuated},
        {"an owner dies", test_owner_dies},
        {"the store goes away", test_store_goes_away},
        {"a data centre is cut off", test_cut_data_centre},
        CU_TEST_INFO_NULL,
    };
    apr_initialize();
    return suite_run("evacuation", tests);
}
