/// Targets that fail: whatever they do, a task starts at most once, a job
/// ends, and its answer is whole or failed.
#include <apr_general.h>
#include <string.h>

#include "support/cluster.h"
#include "support/suite.h"

enum { kJobBytes = 4096, kManyTasks = 12, kDoubledJobs = 20 };

static cluster_t cluster;

/// Submits a job while one target of one has a fault.
static void
run_job(uint32_t task_count, uint32_t task_ms, uint32_t deadline_ms,
        caller_request_t *request)
{
    char id[kCallerIdBytes];
    char job[kJobBytes];
    cluster_format_job(job, sizeof job, task_count, task_ms, deadline_ms);
    cluster_create_job_id(&cluster, 0, id);
    cluster_submit(&cluster, 0, id, job, request);
}

/// Checks that nothing was started twice since the beginning.
static void
check_ledger(void)
{
    CU_ASSERT_EQUAL(cluster_read_counter(&cluster, "doubled"), 0);
    CU_ASSERT_EQUAL(cluster_read_counter(&cluster, "starts"),
                    cluster_read_counter(&cluster, "tasks"));
}

/// Brings the targets back to order, and opens connections to them.
static void
heal(void)
{
    caller_request_t request;
    do {
        cluster_set_targets(&cluster, 1, "runner=all&mode=serve&leaving=0");
        run_job(kManyTasks, 20, 20000, &request);
        bool is_healed = request.status == 200;
        caller_free_replies(&request, 1);
        if (is_healed) {
            return;
        }
    } while (true);
}

/// A target that starts the task and closes without a word.
static void
test_close(const char *mode)
{
    caller_request_t request;
    heal();
    cluster_set_targets(&cluster, 1, mode);
    run_job(1, 10, 20000, &request);
    CU_ASSERT_EQUAL(request.status, 502);
    CU_ASSERT(caller_reply_contains(&request, "\"kind\":\"target_lost\""));
    CU_ASSERT(caller_reply_contains(&request, "\"state\":\"may_have_run\""));
    CU_ASSERT_FALSE(request.has_not_run_header);
    caller_free_replies(&request, 1);
    check_ledger();
}

static void
test_close_fresh(void)
{
    test_close("runner=all&mode=close&count=1");
}

/// libcurl would send the request again on a connection that was used
/// before.
static void
test_close_reused(void)
{
    test_close("runner=all&mode=close_reused&count=1");
}

static void
test_half(void)
{
    test_close("runner=all&mode=half&count=1");
}

static void
test_fail(void)
{
    caller_request_t request;
    heal();
    cluster_set_targets(&cluster, 1, "runner=all&mode=fail&count=1");
    run_job(1, 10, 20000, &request);
    CU_ASSERT_EQUAL(request.status, 502);
    CU_ASSERT(caller_reply_contains(&request, "\"kind\":\"target_failed\""));
    caller_free_replies(&request, 1);
    check_ledger();
}

/// Checks that each result of a complete job names its own task.
static void
check_own_results(const caller_request_t *request, const char *id)
{
    for (uint32_t task = 0; task < kManyTasks; task++) {
        char own[kCallerIdBytes + 16];
        snprintf(own, sizeof own, "\"done %s.%u\"", id, task);
        CU_ASSERT(caller_reply_contains(request, own));
    }
}

/// A second answer on a connection belongs to no request.
static void
test_twice(void)
{
    char job[kJobBytes];
    heal();
    cluster_format_job(job, sizeof job, kManyTasks, 5, 20000);
    cluster_set_targets(&cluster, 1, "runner=all&mode=twice");
    for (uint32_t i = 0; i < kDoubledJobs; i++) {
        char id[kCallerIdBytes];
        caller_request_t request;
        cluster_create_job_id(&cluster, 0, id);
        if (cluster_submit(&cluster, 0, id, job, &request) == 200) {
            check_own_results(&request, id);
        }
        caller_free_replies(&request, 1);
    }
    check_ledger();
}

/// An answer after the lease comes too late to count.
static void
test_late(void)
{
    caller_request_t request;
    heal();
    cluster_set_targets(&cluster, 1, "runner=all&mode=late&count=1");
    run_job(1, 10, 400, &request);
    CU_ASSERT_EQUAL(request.status, 504);
    CU_ASSERT(caller_reply_contains(&request, "\"state\":\"may_have_run\""));
    caller_free_replies(&request, 1);
    check_ledger();
}

/// A target that never answers: the job ends at its deadline.
static void
test_silent(void)
{
    caller_request_t request;
    heal();
    cluster_set_targets(&cluster, 1, "runner=all&mode=silent&count=1");
    run_job(1, 10, 400, &request);
    CU_ASSERT_EQUAL(request.status, 504);
    caller_free_replies(&request, 1);
    check_ledger();
}

/// Refusals before the start are proof: another target runs the task.
static void
test_refuse(void)
{
    caller_request_t request;
    heal();
    cluster_set_targets(&cluster, 1, "runner=0&mode=refuse");
    for (uint32_t i = 0; i < 5; i++) {
        run_job(kManyTasks, 5, 20000, &request);
        CU_ASSERT_EQUAL(request.status, 200);
        caller_free_replies(&request, 1);
    }
    check_ledger();
}

/// Targets stopped past the job's deadline: the job ends, and what they do
/// when they wake up starts nothing twice.
static void
test_frozen(void)
{
    caller_request_t request;
    heal();
    apr_proc_kill(&cluster.targets[0], SIGSTOP);
    run_job(4, 10, 500, &request);
    apr_proc_kill(&cluster.targets[0], SIGCONT);
    CU_ASSERT_EQUAL(request.status, 504);
    CU_ASSERT_FALSE(request.has_not_run_header);
    caller_free_replies(&request, 1);
    heal();
    check_ledger();
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"close, fresh connection", test_close_fresh},
        {"close, reused connection", test_close_reused},
        {"half an answer", test_half},
        {"failure", test_fail},
        {"two answers", test_twice},
        {"late answer", test_late},
        {"silence", test_silent},
        {"refusal", test_refuse},
        {"frozen targets", test_frozen},
        CU_TEST_INFO_NULL};
    apr_initialize();
    cluster_start(&cluster, &(cluster_options_t){.targets = 2});
    int code = suite_run("faults", tests);
    cluster_stop(&cluster);
    return code;
}
