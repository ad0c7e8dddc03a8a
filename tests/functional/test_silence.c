/// Connections that go silent without being closed, as when a firewall between
/// the ends drops its state, and a data centre that is cut off. standin-proxy
/// forwards the connections and causes both. Guards against calls that wait on
/// a silent connection forever and against tasks that start twice.
#include <apr_general.h>
#include <apr_time.h>
#include <stdlib.h>
#include <string.h>

#include "support/cluster.h"
#include "support/suite.h"

enum {
    kJobBytes = 4096,
    kTasks = 4,
    kWarmupJobs = 10,
    kOutputBytes = 16384,
    kFrontControlPort = 7400,
    kIdleUs = 1000000, ///< 2.5 times the silence after which a link is closed
    kSlowTaskMs = 350  ///< longer than silence_limit_ms, shorter than twice it
};

static cluster_t cluster;

static void
run_job(uint32_t vm, uint32_t task_ms, uint32_t deadline_ms,
        caller_request_t *request)
{
    char id[kCallerIdBytes];
    char job[kJobBytes];
    cluster_format_job(job, sizeof job, kTasks, task_ms, deadline_ms);
    cluster_create_job_id(&cluster, vm, id);
    cluster_submit(&cluster, vm, id, job, request);
}

static void
check_no_double_start(void)
{
    CU_ASSERT_EQUAL(cluster_read_counter(&cluster, "doubled"), 0);
}

static bool
job_completes(void *state)
{
    caller_request_t request;
    (void)state;
    run_job(0, 5, 3000, &request);
    bool is_complete = request.status == 200;
    caller_free_replies(&request, 1);
    return is_complete;
}

/// @return how many links to dispatchers a front has lost
static uint64_t
read_lost_links(uint32_t vm)
{
    char output[kOutputBytes];
    CU_ASSERT_EQUAL(cluster_run_jtctl(&cluster, vm, kFrontControlPort, output,
                                      sizeof output, "counters"),
                    0);
    const char *line = strstr(output, "links_lost ");
    return line == NULL ? 0 : strtoull(strchr(line, ' '), NULL, 10);
}

/// A link that was idle before a slow job is not silent: only the time since
/// the call counts. Otherwise the front closes the link, and ids that callers
/// request meanwhile come from another dispatcher or from none.
static void
test_slow_job_after_idle_link(void)
{
    caller_request_t request;
    process_wait_for(job_completes, NULL, "a job completes");
    uint64_t before = read_lost_links(0);
    apr_sleep(kIdleUs);
    run_job(0, kSlowTaskMs, 5000, &request);
    CU_ASSERT_EQUAL(request.status, 200);
    caller_free_replies(&request, 1);
    CU_ASSERT_EQUAL(read_lost_links(0), before);
    check_no_double_start();
}

/// The link between front and dispatcher goes silent while a job runs: the
/// front detects it and asks again over a new connection.
static void
test_silent_link(void)
{
    static char job[kJobBytes];
    char id[kCallerIdBytes];
    caller_request_t request;
    caller_batch_t batch;
    process_wait_for(job_completes, NULL, "a job completes");
    uint64_t before = cluster_read_counter(&cluster, "starts");
    cluster_format_job(job, sizeof job, kTasks, 300, 20000);
    cluster_create_job_id(&cluster, 0, id);
    cluster_fill_submission(&cluster, 1, id, job, &request);
    caller_start_batch(&batch, &request, 1);
    cluster_wait_starts(&cluster, before + kTasks);
    cluster_set_proxy(&cluster, "forget=1");
    caller_join_batch(&batch);
    // The connections to targets went silent too, so the outcome of the tasks
    // may be unknown.
    CU_ASSERT(request.status == 200 || request.status == 502 ||
              request.status == 504);
    CU_ASSERT_FALSE(request.has_not_run_header);
    CU_ASSERT_EQUAL(cluster_read_counter(&cluster, "starts"), before + kTasks);
    caller_free_replies(&request, 1);
    check_no_double_start();
}

/// Many idle connections go silent at once. The first job that uses one may
/// fail at its lease or deadline; every later job completes.
static void
test_silent_idle_connections(void)
{
    caller_request_t request;
    for (uint32_t i = 0; i < kWarmupJobs; i++) {
        process_wait_for(job_completes, NULL, "connections are open");
    }
    cluster_set_proxy(&cluster, "forget=1");
    run_job(0, 5, 2500, &request);
    CU_ASSERT(request.status == 200 || request.status == 502 ||
              request.status == 504);
    caller_free_replies(&request, 1);
    for (uint32_t i = 0; i < kWarmupJobs; i++) {
        run_job(0, 5, 2500, &request);
        CU_ASSERT_EQUAL(request.status, 200);
        caller_free_replies(&request, 1);
    }
    check_no_double_start();
}

/// A data centre that is cut off still serves its own callers. Ids of the
/// other data centre are unreachable, not lost, and answered again after the
/// cut.
static void
test_data_centre_cut_off(void)
{
    char id[kCallerIdBytes];
    char job[kJobBytes];
    caller_request_t request;
    process_wait_for(job_completes, NULL, "a job completes");
    cluster_format_job(job, sizeof job, kTasks, 5, 10000);
    cluster_create_job_id(&cluster, 0, id);
    CU_ASSERT_EQUAL(cluster_submit(&cluster, 0, id, job, &request), 200);
    caller_free_replies(&request, 1);
    cluster_set_proxy(&cluster, "cut=2");
    for (uint32_t vm = 0; vm < 2; vm++) {
        run_job(vm, 5, 10000, &request);
        CU_ASSERT_EQUAL(request.status, 200);
        caller_free_replies(&request, 1);
    }
    uint64_t before = cluster_read_counter(&cluster, "starts");
    cluster_submit(&cluster, 1, id, job, &request);
    CU_ASSERT_EQUAL(request.status, 503);
    CU_ASSERT(
        caller_reply_contains(&request, "\"kind\":\"home_unreachable\""));
    caller_free_replies(&request, 1);
    cluster_set_proxy(&cluster, "cut=0");
    CU_ASSERT_EQUAL(cluster_submit(&cluster, 1, id, job, &request), 200);
    caller_free_replies(&request, 1);
    CU_ASSERT_EQUAL(cluster_read_counter(&cluster, "starts"), before);
    check_no_double_start();
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"slow job after an idle link", test_slow_job_after_idle_link},
        {"silent link", test_silent_link},
        {"silent idle connections", test_silent_idle_connections},
        {"cut off data centre", test_data_centre_cut_off},
        CU_TEST_INFO_NULL};
    apr_initialize();
    cluster_start(
        &cluster,
        &(cluster_options_t){.dcs = 2,
                             .has_proxy = true,
                             .dispatch_settings = "\"lease_limit_ms\": 1000,",
                             .front_settings = "\"silence_limit_ms\": 200,"
                                               "\"reach_limit_ms\": 1000,"
                                               "\"wait_limit_ms\": 3000,"});
    int code = suite_run("silence", tests);
    cluster_stop(&cluster);
    return code;
}
