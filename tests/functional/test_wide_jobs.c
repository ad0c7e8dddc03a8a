/// Clients that nobody controls submit jobs of many small tasks to a node with
/// little memory: it lives, its memory and descriptors stay bounded, and an
/// ordinary caller is answered afterwards.
#include <apr_general.h>
#include <apr_time.h>
#include <stdio.h>

#include "support/crowd.h"
#include "support/fleet.h"
#include "support/suite.h"

enum {
    kRunners = 24,
    kJobsPort = 8161,
    kJobs = 128,
    kMaxDescriptors = 1024, ///< of a process
    kReserved = 128,        ///< for connections that the test does not count
    kGrowthLimitKb = 32 * 1024,
    kWatchMs = 3000,
    kWatchStepMs = 20,
    kWideId = 0x555000,
    kOrdinaryId = 0x777000
};

/// A step of as many tasks as the format allows.
#define WIDE_STEP "{\"count\":4096,\"cpu\":10,\"estimate_ms\":100}"

static const char settings[] = "\"memory_mb\": 64, ";

/// Fills in the requests of a crowd, each with a job of its own.
static void
fill_requests(const fleet_t *fleet, const char *body,
              caller_request_t *requests)
{
    for (uint32_t i = 0; i < kJobs; i++) {
        requests[i] = (caller_request_t){.method = "POST",
                                         .body = body,
                                         .host_header = "Host: h",
                                         .timeout_ms = 10000};
        snprintf(requests[i].url, sizeof requests[i].url,
                 "http://%s:%d/jobs/%016x", fleet->nodes[0].address, kJobsPort,
                 kWideId + i);
    }
}

/// Submits a crowd of jobs and checks what must hold while they run.
///
/// @param body  of each job
static void
check_jobs(const char *body)
{
    static fleet_t fleet;
    static caller_request_t requests[kJobs];
    caller_batch_t batch;
    uint64_t most_descriptors = 0;
    crowd_limit_descriptors(kMaxDescriptors);
    fleet_start_with(&fleet, 1, 1, kRunners, settings);
    crowd_limit_descriptors(UINT64_MAX);
    crowd_usage_t before = crowd_read_usage(&fleet.nodes[0].process);
    fill_requests(&fleet, body, requests);
    caller_start_batch(&batch, requests, kJobs);
    for (uint32_t i = 0; i < kWatchMs / kWatchStepMs; i++) {
        apr_sleep(apr_time_from_msec(kWatchStepMs));
        crowd_usage_t usage = crowd_read_usage(&fleet.nodes[0].process);
        most_descriptors = usage.descriptors > most_descriptors
                               ? usage.descriptors
                               : most_descriptors;
    }
    caller_join_batch(&batch);
    caller_free_replies(requests, kJobs);
    CU_ASSERT_EQUAL(fleet_submit_job(&fleet, 0, kOrdinaryId, 1, 20), 200);
    crowd_usage_t after = crowd_read_usage(&fleet.nodes[0].process);
    printf("peak_kb=%llu growth_kb=%lld descriptors=%llu ",
           (unsigned long long)after.peak_kb,
           (long long)(after.peak_kb - before.resident_kb),
           (unsigned long long)most_descriptors);
    CU_ASSERT(after.peak_kb > 0);
    CU_ASSERT(after.peak_kb < before.resident_kb + kGrowthLimitKb);
    CU_ASSERT(most_descriptors <= kMaxDescriptors - kReserved);
    fleet_stop(&fleet);
}

static void
test_small_tasks(void)
{
    check_jobs(
        "{\"task_spec\":\"100 10\",\"steps\":[{\"count\":520,\"cpu\":10,"
        "\"estimate_ms\":100}],\"best_effort\":true}");
}

static void
test_many_steps(void)
{
    check_jobs("{\"task_spec\":\"100 10\",\"steps\":[" WIDE_STEP "," WIDE_STEP
               "," WIDE_STEP "," WIDE_STEP "],\"best_effort\":true}");
}

int
main(void)
{
    const CU_TestInfo tests[] = {
        {"jobs of 520 small tasks", test_small_tasks},
        {"jobs of 16,384 small tasks", test_many_steps},
        CU_TEST_INFO_NULL,
    };
    apr_initialize();
    crowd_release_freed_memory();
    return suite_run("wide_jobs", tests);
}
