/// An owner of targets that is cut off from the store, not from other nodes.
#include <apr_general.h>
#include <stdio.h>

#include "support/fleet.h"
#include "support/suite.h"

enum { kRunnerCount = 8, kNodeCount = 3, kCutMs = 3000 };

static fleet_t fleet;
static uint64_t last_id;

/// @return the node that owns runners
static uint32_t
find_owner(void)
{
    for (uint32_t i = 0; i < kNodeCount; i++) {
        if (fleet_count_owned_runners(&fleet, i) > 0) {
            return i;
        }
    }
    return kNodeCount;
}

static bool
is_job_served(void *state)
{
    const uint32_t *node = state;
    return fleet_submit_job(&fleet, *node, ++last_id, 2, 10) == 200;
}

/// Waits until each node but one serves a job.
static void
wait_jobs_are_served(uint32_t skipped)
{
    for (uint32_t i = 0; i < kNodeCount; i++) {
        if (i != skipped) {
            process_wait_for(is_job_served, &i, "a job is served");
        }
    }
}

/// No other node is in the group, and no runner rejects the owner's token: it
/// goes on serving the callers of all nodes.
static void
test_owner_without_store_serves(void)
{
    char query[64];
    fleet_start(&fleet, 1, kNodeCount, kRunnerCount);
    uint32_t owner = find_owner();
    CU_ASSERT_FATAL(owner < kNodeCount);
    wait_jobs_are_served(kNodeCount);
    snprintf(query, sizeof query, "away=127.%u.40.%u", fleet.network,
             owner + 1);
    fleet_set_proxy(&fleet, query);
    apr_sleep(kCutMs * 1000); // its membership expires
    wait_jobs_are_served(kNodeCount);
    fleet_set_proxy(&fleet, "away=0");
    fleet_wait_ready(&fleet, owner);
    fleet_wait_all_owned(&fleet, kRunnerCount);
    wait_jobs_are_served(kNodeCount);
    CU_ASSERT_EQUAL(fleet_read_counter(&fleet, "doubles"), 0);
    fleet_stop(&fleet);
}

int
main(void)
{
    apr_initialize();
    const CU_TestInfo tests[] = {
        {"an owner without the store serves", test_owner_without_store_serves},
        CU_TEST_INFO_NULL,
    };
    return suite_run("cut_owner", tests);
}
