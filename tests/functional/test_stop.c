/// Graceful stops. No request fails during a rolling restart under load, a job
/// that is resubmitted after its dispatcher stopped gets the same answer, and
/// a target that is leaving gets no new tasks.
#include <apr_general.h>
#include <apr_thread_proc.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>

#include "support/cluster.h"
#include "support/suite.h"

enum {
    kJobBytes = 4096,
    kTasks = 3,
    kLoadThreads = 4,
    kAnswersPerWait = 20,
    kFrontPort = 7400,
    kDispatchPort = 7401,
    kOutputBytes = 16384,
    kLeavingJobs = 10,
    kSlots = 32 ///< of the 4 targets
};

static cluster_t cluster;
/// Whether a load balancer would send requests to the front of a VM.
static _Atomic bool is_front_serving[kClusterMaxVms];
static _Atomic bool is_load_stopped;
static _Atomic uint32_t done_count;
static _Atomic uint32_t unanswered_count;
static _Atomic uint32_t failed_count;

/// Submits jobs one after another through the fronts that serve, as callers
/// behind a load balancer do.
static void *APR_THREAD_FUNC
run_load(apr_thread_t *thread, void *owner)
{
    (void)thread;
    uint32_t next_vm = (uint32_t)(uintptr_t)owner;
    char job[kJobBytes];
    cluster_format_job(job, sizeof job, kTasks, 30, 20000);
    while (!atomic_load(&is_load_stopped)) {
        uint32_t vm = next_vm++ % cluster.vm_count;
        if (!atomic_load(&is_front_serving[vm])) {
            continue;
        }
        char id[kCallerIdBytes];
        caller_request_t request;
        caller_send(&request, "POST", "", "http://%s:8080/v1/jobs",
                    cluster.vms[vm].address);
        bool is_minted = request.status == 307;
        if (is_minted) {
            snprintf(id, sizeof id, "%s", strrchr(request.location, '/') + 1);
            caller_free_replies(&request, 1);
            cluster_submit(&cluster, vm, id, job, &request);
        }
        atomic_fetch_add(&unanswered_count, request.status == 0);
        atomic_fetch_add(&failed_count,
                         request.status != 0 && request.status != 200);
        if (request.status != 0 && request.status != 200) {
            fprintf(stderr, "failed: %u %.300s\n", request.status,
                    request.reply == NULL ? "" : request.reply);
        }
        atomic_fetch_add(&done_count, request.status == 200);
        caller_free_replies(&request, 1);
    }
    return NULL;
}

static bool
has_progressed(void *state)
{
    return atomic_load(&done_count) >= *(uint32_t *)state;
}

/// Waits until the load threads have received some more answers.
static void
wait_for_load(void)
{
    uint32_t goal = atomic_load(&done_count) + kAnswersPerWait;
    process_wait_for(has_progressed, &goal, "more jobs complete under load");
}

/// Stops one process of a VM gracefully and starts it again.
static void
restart_part(uint32_t vm, cluster_process_t part)
{
    if (part == kClusterProcessFront) {
        atomic_store(&is_front_serving[vm], false);
    }
    cluster_signal(&cluster, vm, part, SIGTERM);
    CU_ASSERT_EQUAL(cluster_join_process(&cluster, vm, part), 0);
    cluster_start_process(&cluster, vm, part);
    cluster_wait_ready(&cluster, vm);
    atomic_store(&is_front_serving[vm], true);
    wait_for_load();
}

static void
test_rolling_restart(void)
{
    apr_pool_t *pool = NULL;
    apr_thread_t *threads[kLoadThreads];
    apr_status_t status = APR_SUCCESS;
    apr_pool_create(&pool, NULL);
    for (uint32_t i = 0; i < cluster.vm_count; i++) {
        atomic_store(&is_front_serving[i], true);
    }
    for (uint32_t i = 0; i < kLoadThreads; i++) {
        apr_thread_create(&threads[i], NULL, run_load, (void *)(uintptr_t)i,
                          pool);
    }
    wait_for_load();
    for (uint32_t vm = 0; vm < cluster.vm_count; vm++) {
        for (cluster_process_t part = 0; part < kClusterProcessCount; part++) {
            restart_part(vm, part);
        }
    }
    atomic_store(&is_load_stopped, true);
    for (uint32_t i = 0; i < kLoadThreads; i++) {
        apr_thread_join(&status, threads[i]);
    }
    CU_ASSERT_EQUAL(atomic_load(&unanswered_count), 0);
    CU_ASSERT_EQUAL(atomic_load(&failed_count), 0);
    CU_ASSERT_EQUAL(cluster_read_counter(&cluster, "doubled"), 0);
    apr_pool_destroy(pool);
}

/// Stops a dispatcher gracefully and starts it again.
static void
restart_dispatcher(uint32_t vm)
{
    cluster_signal(&cluster, vm, kClusterProcessDispatch, SIGTERM);
    CU_ASSERT_EQUAL(
        cluster_join_process(&cluster, vm, kClusterProcessDispatch), 0);
    cluster_start_process(&cluster, vm, kClusterProcessDispatch);
    cluster_wait_ready(&cluster, vm);
}

/// A dispatcher that stops hands its records over to a peer, which answers for
/// its ids, also after they were handed over a second time. Another body is
/// still a conflict, and no task starts again.
static void
test_answer_after_stop(void)
{
    char id[kCallerIdBytes];
    char job[kJobBytes];
    caller_request_t first;
    caller_request_t again;
    cluster_format_job(job, sizeof job, kTasks, 5, 20000);
    cluster_create_job_id(&cluster, 0, id);
    CU_ASSERT_EQUAL(cluster_submit(&cluster, 0, id, job, &first), 200);
    uint64_t before = cluster_read_counter(&cluster, "starts");
    restart_dispatcher(0);
    CU_ASSERT_EQUAL(cluster_submit(&cluster, 1, id, job, &again), 200);
    CU_ASSERT_STRING_EQUAL_FATAL(first.reply, again.reply);
    caller_free_replies(&again, 1);
    restart_dispatcher(1);
    CU_ASSERT_EQUAL(cluster_submit(&cluster, 1, id, job, &again), 200);
    CU_ASSERT_STRING_EQUAL_FATAL(first.reply, again.reply);
    caller_free_replies(&again, 1);
    caller_send(&again, "GET", NULL, "http://%s:8080/v1/jobs/%s",
                cluster.vms[0].address, id);
    CU_ASSERT_STRING_EQUAL(first.reply, again.reply);
    caller_free_replies(&again, 1);
    cluster_format_job(job, sizeof job, kTasks + 1, 5, 20000);
    CU_ASSERT_EQUAL(cluster_submit(&cluster, 1, id, job, &again), 409);
    caller_free_replies(&again, 1);
    caller_free_replies(&first, 1);
    CU_ASSERT_EQUAL(cluster_read_counter(&cluster, "starts"), before);
}

/// @return whether the second dispatcher has received the list in which one of
/// the two entry VMs is leaving
static bool
is_list_received(void *state)
{
    char output[kOutputBytes];
    (void)state;
    cluster_run_jtctl(&cluster, 1, kDispatchPort, output, sizeof output,
                      "dump");
    return strstr(output, "\"entry_vms\":1,") != NULL;
}

/// @return whether both fronts use their own dispatcher: they have received
/// the list in which both entry VMs are live
static bool
are_fronts_local(void *state)
{
    char output[kOutputBytes];
    (void)state;
    for (uint32_t vm = 0; vm < cluster.vm_count; vm++) {
        cluster_run_jtctl(&cluster, vm, kFrontPort, output, sizeof output,
                          "dump");
        if (strstr(output, "\"entry_vms\":2,") == NULL) {
            return false;
        }
    }
    return true;
}

/// A VM still answers for its ids when the platform's list, which arrives
/// late, says that it is leaving. A job submitted before that completes.
static void
test_lagging_list(void)
{
    char id[kCallerIdBytes];
    char job[kJobBytes];
    caller_request_t first;
    caller_request_t again;
    cluster_set_platform(&cluster, "lag_ms=200");
    cluster_publish_vms(&cluster, UINT32_MAX, 0);
    cluster_format_job(job, sizeof job, kTasks, 5, 20000);
    cluster_create_job_id(&cluster, 0, id);
    CU_ASSERT_EQUAL(cluster_submit(&cluster, 0, id, job, &first), 200);
    process_wait_for(is_list_received, NULL, "the delayed list is received");
    CU_ASSERT_EQUAL(cluster_submit(&cluster, 1, id, job, &again), 200);
    CU_ASSERT_STRING_EQUAL(first.reply, again.reply);
    caller_free_replies(&first, 1);
    caller_free_replies(&again, 1);
    cluster_set_platform(&cluster, "lag_ms=0");
    cluster_publish_vms(&cluster, UINT32_MAX, UINT32_MAX);
}

/// Completes jobs that need all slots of the targets, so that each of them is
/// tried.
static void
run_wide_jobs(void)
{
    static char job[kJobBytes];
    caller_request_t request;
    cluster_format_job(job, sizeof job, kSlots, 5, 20000);
    for (uint32_t i = 0; i < kLeavingJobs; i++) {
        char id[kCallerIdBytes];
        cluster_create_job_id(&cluster, 0, id);
        CU_ASSERT_EQUAL(cluster_submit(&cluster, 0, id, job, &request), 200);
        caller_free_replies(&request, 1);
    }
}

/// A target that says it is leaving gets no new tasks, although the platform's
/// list still calls it live. All jobs go through one dispatcher: each learns
/// of the leaving by itself.
static void
test_leaving_target(void)
{
    caller_request_t request;
    process_wait_for(are_fronts_local, NULL, "the list is in force");
    cluster_set_targets(&cluster, 1, "runner=0&leaving=1");
    run_wide_jobs();
    // Each shard sends at most one request before it learns of the leaving.
    caller_send(&request, "GET", NULL,
                "http://127.%u.101.1:9001/standin/ledger", cluster.network);
    CU_ASSERT(caller_reply_number(&request, "refused") <= 40);
    caller_free_replies(&request, 1);
    uint64_t refused = cluster_read_counter(&cluster, "refused");
    run_wide_jobs();
    CU_ASSERT_EQUAL(cluster_read_counter(&cluster, "refused"), refused);
    cluster_set_targets(&cluster, 1, "runner=0&leaving=0");
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"rolling restart under load", test_rolling_restart},
        {"answer after a stop", test_answer_after_stop},
        {"lagging list", test_lagging_list},
        {"leaving target", test_leaving_target},
        CU_TEST_INFO_NULL};
    apr_initialize();
    cluster_start(&cluster, &(cluster_options_t){
                                .vms = 2,
                                .targets = 4,
                                .dispatch_settings = "\"start_by_ms\": 500,",
                                .front_settings = "\"quiet_ms\": 100,"});
    int code = suite_run("stop", tests);
    cluster_stop(&cluster);
    return code;
}
