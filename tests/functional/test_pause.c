/// Processes that are suspended past the deadline of a job. When they resume,
/// nothing more of the job may start. Replies of tasks wait at the sockets of
/// a dispatcher, and the slots that they free must not be used for the job's
/// other tasks; submissions wait at the sockets of a front or dispatcher.
#include <apr_general.h>
#include <apr_time.h>

#include "support/cluster.h"
#include "support/suite.h"

enum {
    kTargets = 2,
    kSlots = 4,
    kAllSlots = kTargets * kSlots,
    kTasks = 3 * kAllSlots, ///< two thirds of them wait for a slot
    kTaskMs = 300,
    kDeadlineMs = 900,
    kPauseUs = 1500000, ///< until after the deadline
    kSettleUs = 500000, ///< for starts that must not happen
    kRounds = 3,
    kJobBytes = 16384
};

static void
test_deadline_passes_in_pause(void)
{
    static cluster_t cluster;
    static char job[kJobBytes];
    cluster_start(
        &cluster,
        &(cluster_options_t){.vms = 1, .targets = kTargets, .slots = kSlots});
    for (uint32_t round = 0; round < kRounds; round++) {
        char id[kCallerIdBytes];
        caller_request_t request;
        caller_batch_t batch;
        uint64_t before = cluster_read_counter(&cluster, "starts");
        cluster_format_job(job, sizeof job, kTasks, kTaskMs, kDeadlineMs);
        cluster_create_job_id(&cluster, 0, id);
        cluster_fill_submission(&cluster, 0, id, job, &request);
        caller_start_batch(&batch, &request, 1);
        cluster_wait_starts(&cluster, before + kAllSlots);
        cluster_signal(&cluster, 0, kClusterProcessDispatch, SIGSTOP);
        apr_sleep(kPauseUs);
        uint64_t started = cluster_read_counter(&cluster, "starts");
        CU_ASSERT(started < before + kTasks);
        cluster_signal(&cluster, 0, kClusterProcessDispatch, SIGCONT);
        caller_join_batch(&batch);
        apr_sleep(kSettleUs);
        CU_ASSERT_EQUAL(cluster_read_counter(&cluster, "starts"), started);
        CU_ASSERT_FALSE(request.has_not_run_header);
        caller_free_replies(&request, 1);
    }
    CU_ASSERT_EQUAL(cluster_read_counter(&cluster, "doubled"), 0);
    cluster_stop(&cluster);
}

/// Submits a job while a process that it goes through is suspended.
static void
check_submission_in_pause(cluster_process_t process)
{
    static cluster_t cluster;
    static char job[kJobBytes];
    char id[kCallerIdBytes];
    caller_request_t request;
    caller_batch_t batch;
    cluster_start(
        &cluster,
        &(cluster_options_t){.vms = 1, .targets = kTargets, .slots = kSlots});
    cluster_format_job(job, sizeof job, kSlots, kTaskMs, kDeadlineMs);
    cluster_create_job_id(&cluster, 0, id);
    cluster_fill_submission(&cluster, 0, id, job, &request);
    cluster_signal(&cluster, 0, process, SIGSTOP);
    caller_start_batch(&batch, &request, 1);
    apr_sleep(kPauseUs);
    cluster_signal(&cluster, 0, process, SIGCONT);
    caller_join_batch(&batch);
    apr_sleep(kSettleUs);
    CU_ASSERT_EQUAL(request.status, 503);
    CU_ASSERT(request.has_not_run_header);
    CU_ASSERT_EQUAL(cluster_read_counter(&cluster, "starts"), 0);
    caller_free_replies(&request, 1);
    cluster_stop(&cluster);
}

static void
test_submission_waits_at_front(void)
{
    check_submission_in_pause(kClusterProcessFront);
}

static void
test_submission_waits_at_dispatcher(void)
{
    check_submission_in_pause(kClusterProcessDispatch);
}

int
main(void)
{
    const CU_TestInfo tests[] = {
        {"a deadline passes in a pause", test_deadline_passes_in_pause},
        {"a submission waits at a suspended front",
         test_submission_waits_at_front},
        {"a submission waits at a suspended dispatcher",
         test_submission_waits_at_dispatcher},
        CU_TEST_INFO_NULL,
    };
    apr_initialize();
    return suite_run("pause", tests);
}
