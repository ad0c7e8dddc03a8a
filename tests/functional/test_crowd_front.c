/// Crowds of clients that nobody controls at a front with little memory: it
/// lives, its memory and descriptors stay bounded, and an ordinary caller is
/// answered while the crowd is still there.
#include <apr_general.h>
#include <stdio.h>
#include <string.h>

#include "support/cluster.h"
#include "support/crowd.h"
#include "support/suite.h"

enum {
    kHttpPort = 8080,
    kMaxDescriptors = 1024, ///< of a process
    kReserved = 128,        ///< for its own connections
    kGrowthLimitKb = 32 * 1024
};

static const char settings[] =
    "\"request_memory_mb\": 8, \"body_limit_bytes\": 262144, ";

/// Gets a job id and submits a job under it.
///
/// @return the status of the submission, 0 without an id
static uint32_t
submit_job(cluster_t *cluster)
{
    static char job[4096];
    char id[kCallerIdBytes] = "";
    caller_request_t request;
    caller_send(&request, "POST", "", "http://%s:%d/v1/jobs",
                cluster->vms[0].address, kHttpPort);
    const char *slash = strrchr(request.location, '/');
    snprintf(id, sizeof id, "%s", slash == NULL ? "" : slash + 1);
    caller_free_replies(&request, 1);
    if (id[0] == '\0') {
        return 0;
    }
    cluster_format_job(job, sizeof job, 1, 10, 20000);
    uint32_t status = cluster_submit(cluster, 0, id, job, &request);
    caller_free_replies(&request, 1);
    return status;
}

/// Opens a crowd at a front and checks what must hold while it is there.
static void
check_crowd(crowd_kind_t kind)
{
    static cluster_t cluster;
    crowd_limit_descriptors(kMaxDescriptors);
    cluster_start(&cluster, &(cluster_options_t){.front_settings = settings});
    crowd_limit_descriptors(UINT64_MAX);
    const crowd_door_t door = {
        .address = cluster.vms[0].address,
        .port = kHttpPort,
        .submit_format = "PUT /v1/jobs/%016x HTTP/1.1\r\nHost: h\r\n",
        .read_request = "POST /v1/job-ids?count=1024 HTTP/1.1\r\nHost: h\r\n"
                        "Content-Length: 0\r\n\r\n"};
    const apr_proc_t *front = &cluster.vms[0].processes[kClusterProcessFront];
    crowd_usage_t before = crowd_read_usage(front);
    crowd_t *crowd = crowd_open(&door, kind);
    CU_ASSERT_EQUAL(submit_job(&cluster), 200);
    crowd_usage_t after = crowd_read_usage(front);
    printf("open=%u peak_kb=%llu growth_kb=%lld descriptors=%llu ",
           crowd_count_open(crowd), (unsigned long long)after.peak_kb,
           (long long)(after.peak_kb - before.resident_kb),
           (unsigned long long)after.descriptors);
    CU_ASSERT(after.peak_kb > 0);
    CU_ASSERT(after.peak_kb < before.resident_kb + kGrowthLimitKb);
    CU_ASSERT(after.descriptors <= kMaxDescriptors - kReserved);
    crowd_close(crowd);
    cluster_stop(&cluster);
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
    return suite_run("crowd_front", tests);
}
