/// Crowds of clients that nobody controls at a node with little memory: it
/// lives, its memory and descriptors stay bounded, and an ordinary caller is
/// answered while the crowd is still there.
#include <apr_general.h>
#include <stdio.h>

#include "support/crowd.h"
#include "support/fleet.h"
#include "support/suite.h"

enum {
    kRunners = 2,
    kJobsPort = 8161,
    kMaxDescriptors = 1024, ///< of a process
    kReserved = 128,        ///< for its own connections
    kGrowthLimitKb = 32 * 1024,
    kOrdinaryId = 0x777000
};

static const char settings[] = "\"request_memory_mb\": 8, ";

/// Opens a crowd at a node and checks what must hold while it is there.
static void
check_crowd(crowd_kind_t kind)
{
    static fleet_t fleet;
    crowd_limit_descriptors(kMaxDescriptors);
    fleet_start_with(&fleet, 1, 1, kRunners, settings);
    crowd_limit_descriptors(UINT64_MAX);
    const crowd_door_t door = {
        .address = fleet.nodes[0].address,
        .port = kJobsPort,
        .submit_format = "POST /jobs/%016x HTTP/1.1\r\nHost: h\r\n",
        .read_request = "GET /jobs/ HTTP/1.1\r\nHost: h\r\n\r\n"};
    crowd_usage_t before = crowd_read_usage(&fleet.nodes[0].process);
    crowd_t *crowd = crowd_open(&door, kind);
    CU_ASSERT_EQUAL(fleet_submit_job(&fleet, 0, kOrdinaryId, 1, 20), 200);
    crowd_usage_t after = crowd_read_usage(&fleet.nodes[0].process);
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

static void
test_whole_bodies(void)
{
    check_crowd(kCrowdBodyWhole);
}

static void
test_bodies_in_pieces(void)
{
    check_crowd(kCrowdBodyPieces);
}

static void
test_large_chunks(void)
{
    check_crowd(kCrowdChunksLarge);
}

static void
test_small_chunks(void)
{
    check_crowd(kCrowdChunksSmall);
}

static void
test_announced_excess(void)
{
    check_crowd(kCrowdExcessAnnounced);
}

static void
test_sent_excess(void)
{
    check_crowd(kCrowdExcessSent);
}

static void
test_endless_headers(void)
{
    check_crowd(kCrowdHeaders);
}

static void
test_held_headers(void)
{
    check_crowd(kCrowdHeadersHeld);
}

static void
test_idle_connections(void)
{
    check_crowd(kCrowdIdle);
}

static void
test_unread_answers(void)
{
    check_crowd(kCrowdAnswers);
}

int
main(void)
{
    const CU_TestInfo tests[] = {
        {"unfinished bodies, sent at once", test_whole_bodies},
        {"unfinished bodies, sent in turns", test_bodies_in_pieces},
        {"unfinished bodies in large chunks", test_large_chunks},
        {"unfinished bodies in small chunks", test_small_chunks},
        {"bodies announced far over the limit", test_announced_excess},
        {"bodies sent far over the limit", test_sent_excess},
        {"headers that do not end", test_endless_headers},
        {"headers that go on by a byte now and then", test_held_headers},
        {"connections without a request", test_idle_connections},
        {"answers that nobody reads", test_unread_answers},
        CU_TEST_INFO_NULL,
    };
    apr_initialize();
    crowd_release_freed_memory();
    return suite_run("crowd_node", tests);
}
