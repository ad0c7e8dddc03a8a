/// A crowd at the port of a node for other nodes, whose frames stop before
/// their end: its memory stays bounded, and the links of other nodes work.
#include <apr_general.h>
#include <stdio.h>

#include "support/crowd.h"
#include "support/fleet.h"
#include "support/suite.h"

enum {
    kNodes = 2,
    kRunners = 4,
    kPeerPort = 7720,
    kMaxDescriptors = 1024, ///< of a process
    kReserved = 128,
    kGrowthLimitKb = 32 * 1024,
    kJobs = 8,
    kFirstId = 0x888000
};

static const char settings[] = "\"memory_mb\": 32, ";

static void
test_unfinished_frames(void)
{
    static fleet_t fleet;
    crowd_limit_descriptors(kMaxDescriptors);
    fleet_start_with(&fleet, 1, kNodes, kRunners, settings);
    crowd_limit_descriptors(UINT64_MAX);
    const crowd_door_t door = {.address = fleet.nodes[0].address,
                               .port = kPeerPort};
    const apr_proc_t *node = &fleet.nodes[0].process;
    crowd_usage_t before = crowd_read_usage(node);
    crowd_t *crowd = crowd_open(&door, kCrowdFrames);
    CU_ASSERT_EQUAL(fleet_submit_job(&fleet, 0, kFirstId, 1, 20), 200);
    // Some of them run on the targets of the first node.
    for (uint64_t i = 1; i <= kJobs; i++) {
        CU_ASSERT_EQUAL(fleet_submit_job(&fleet, 1, kFirstId + i, 4, 20), 200);
    }
    crowd_usage_t after = crowd_read_usage(node);
    printf("open=%u peak_kb=%llu growth_kb=%lld descriptors=%llu ",
           crowd_count_open(crowd), (unsigned long long)after.peak_kb,
           (long long)(after.peak_kb - before.resident_kb),
           (unsigned long long)after.descriptors);
    CU_ASSERT(after.peak_kb > 0);
    CU_ASSERT(after.peak_kb < before.resident_kb + kGrowthLimitKb);
    CU_ASSERT(after.descriptors <= kMaxDescriptors - kReserved);
    crowd_close(crowd);
    fleet_stop(&fleet);
}

int
main(void)
{
    const CU_TestInfo tests[] = {
        {"frames that stop before their end", test_unfinished_frames},
        CU_TEST_INFO_NULL,
    };
    apr_initialize();
    crowd_release_freed_memory();
    return suite_run("crowd_links", tests);
}
