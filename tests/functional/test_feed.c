/// Nodes that get the targets from other nodes instead of the store.
#include <apr_general.h>
#include <apr_time.h>
#include <signal.h>
#include <stdio.h>

#include "support/fleet.h"
#include "support/suite.h"

enum {
    kNodeCount = 6,
    kReaderCount = 2,
    kRunnerCount = 60, ///< for three owners: the readers and a follower
    kDrainingCount = 20,
    kJobCount = 60,
    kIdleTimeoutUs = 3000000,
    kQueryBytes = 64
};

static fleet_t fleet;

static void
set_draining(uint32_t first_runner, uint32_t count)
{
    for (uint32_t i = 0; i < count; i++) {
        char query[kQueryBytes];
        snprintf(query, sizeof query, "runner=%u&mode=draining",
                 first_runner + i);
        fleet_set_platform(&fleet, query);
    }
}

/// Submits jobs to nodes one after another.
static void
submit_jobs(uint32_t first_node, uint64_t first_id)
{
    for (uint32_t i = 0; i < kJobCount; i++) {
        uint32_t node = first_node + i % (kNodeCount - first_node);
        CU_ASSERT_EQUAL(fleet_submit_job(&fleet, node, first_id + i, 4, 60),
                        200);
    }
}

/// @return whether a node owns runners of which it learns from a reader
static bool
is_owning_follower(void *state)
{
    uint32_t node = *(uint32_t *)state;
    return fleet_count_owned_runners(&fleet, node) > 0 &&
           fleet_read_metric(&fleet, node,
                             "jaytrestle_feed_updates_received") > 0;
}

/// An owner that follows a reader owns its part of the runners, and starts
/// nothing on those that drain.
static void
test_follower_owns_runners(void)
{
    uint32_t follower = kReaderCount;
    fleet_start(&fleet, 1, kNodeCount, kRunnerCount);
    process_wait_for(is_owning_follower, &follower, "a follower owns runners");
    set_draining(0, kDrainingCount);
    submit_jobs(0, 1000);
    CU_ASSERT_EQUAL(fleet_read_counter(&fleet, "drained"), 0);
    CU_ASSERT_EQUAL(fleet_read_counter(&fleet, "doubles"), 0);
    fleet_wait_all_owned(&fleet, kRunnerCount - kDrainingCount);
    fleet_stop(&fleet);
}

/// Nodes that only coordinate do not read the targets from the store: the
/// calls of such a node are long polls for the configuration and the nodes.
static void
test_followers_spare_the_store(void)
{
    enum { kSettleSeconds = 8, kSeconds = 3, kMaxCallsPerSecond = 3 };
    uint64_t before[kNodeCount];
    fleet_start(&fleet, 1, kNodeCount, kRunnerCount);
    apr_sleep((apr_interval_time_t)kSettleSeconds * 1000000);
    for (uint32_t i = 0; i < kNodeCount; i++) {
        before[i] = fleet_read_metric(&fleet, i, "jaytrestle_store_calls");
    }
    apr_sleep((apr_interval_time_t)kSeconds * 1000000);
    for (uint32_t i = kReaderCount + 1; i < kNodeCount; i++) {
        CU_ASSERT(fleet_read_metric(&fleet, i, "jaytrestle_store_calls") -
                      before[i] <=
                  kSeconds * kMaxCallsPerSecond);
    }
    fleet_stop(&fleet);
}

/// Both readers freeze while their links stay up: the other nodes take over
/// the runners, and learn of those that drain from then on.
static void
test_frozen_readers_are_replaced(void)
{
    fleet_start(&fleet, 1, kNodeCount, kRunnerCount);
    for (uint32_t i = 0; i < kReaderCount; i++) {
        fleet_signal(&fleet, i, SIGSTOP);
        fleet.nodes[i].is_suspended = true;
    }
    set_draining(0, kDrainingCount);
    fleet_wait_all_owned(&fleet, kRunnerCount - kDrainingCount);
    // Orders sent to a frozen node are lost until its idle links time out.
    apr_sleep(kIdleTimeoutUs);
    set_draining(kDrainingCount, kDrainingCount);
    submit_jobs(kReaderCount, 2000);
    CU_ASSERT_EQUAL(fleet_read_counter(&fleet, "drained"), 0);
    for (uint32_t i = 0; i < kReaderCount; i++) {
        fleet_signal(&fleet, i, SIGCONT);
        fleet.nodes[i].is_suspended = false;
    }
    fleet_wait_all_owned(&fleet, kRunnerCount - 2 * kDrainingCount);
    CU_ASSERT_EQUAL(fleet_read_counter(&fleet, "doubles"), 0);
    fleet_stop(&fleet);
}

int
main(void)
{
    const CU_TestInfo tests[] = {
        {"a follower owns runners", test_follower_owns_runners},
        {"followers spare the store", test_followers_spare_the_store},
        {"frozen readers are replaced", test_frozen_readers_are_replaced},
        CU_TEST_INFO_NULL,
    };
    apr_initialize();
    return suite_run("feed", tests);
}
