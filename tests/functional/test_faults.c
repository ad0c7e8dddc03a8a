/// Faults of targets. Whatever a target does, a task starts at most once, the
/// job ends, and its answer is complete or says that the job failed.
#include <apr_general.h>
#include <string.h>

#include "support/cluster.h"
#include "support/suite.h"

enum { kJobBytes = 4096, kManyTasks = 12, kTwoAnswerJobs = 20 };

static cluster_t cluster;

/// Submits a job and waits for its answer.
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

/// Checks that no task was started twice since the test program began.
static void
check_started_once(void)
{
    CU_ASSERT_EQUAL(cluster_read_counter(&cluster, "doubled"), 0);
    CU_ASSERT_EQUAL(cluster_read_counter(&cluster, "starts"),
                    cluster_read_counter(&cluster, "tasks"));
}

/// Ends all faults, then runs jobs until one completes. That opens connections
/// to the targets too.
static void
restore_targets(void)
{
    caller_request_t request;
    do {
        cluster_set_targets(&cluster, 1, "runner=all&mode=serve&leaving=0");
        run_job(kManyTasks, 20, 20000, &request);
        bool is_complete = request.status == 200;
        caller_free_replies(&request, 1);
        if (is_complete) {
            return;
        }
    } while (true);
}

/// A target starts the task and closes the connection before it has sent a
/// whole answer: the task may have run.
static void
check_target_lost(const char *mode)
{
    caller_request_t request;
    restore_targets();
    cluster_set_targets(&cluster, 1, mode);
    run_job(1, 10, 20000, &request);
    CU_ASSERT_EQUAL(request.status, 502);
    CU_ASSERT(caller_reply_contains(&request, "\"kind\":\"target_lost\""));
    CU_ASSERT(caller_reply_contains(&request, "\"state\":\"may_have_run\""));
    CU_ASSERT_FALSE(request.has_not_run_header);
    caller_free_replies(&request, 1);
    check_started_once();
}

static void
test_close_fresh(void)
{
    check_target_lost("runner=all&mode=close&count=1");
}

/// When a server closes a connection that was used before, libcurl sends the
/// request again by itself. The HTTP client has to prevent that.
static void
test_close_reused(void)
{
    check_target_lost("runner=all&mode=close_reused&count=1");
}

static void
test_half_answer(void)
{
    check_target_lost("runner=all&mode=half&count=1");
}

static void
test_fail(void)
{
    caller_request_t request;
    restore_targets();
    cluster_set_targets(&cluster, 1, "runner=all&mode=fail&count=1");
    run_job(1, 10, 20000, &request);
    CU_ASSERT_EQUAL(request.status, 502);
    CU_ASSERT(caller_reply_contains(&request, "\"kind\":\"target_failed\""));
    caller_free_replies(&request, 1);
    check_started_once();
}

/// Checks that each result of a complete job names its own task.
static void
check_own_results(const caller_request_t *request, const char *id)
{
    for (uint32_t task = 0; task < kManyTasks; task++) {
        char expected[kCallerIdBytes + 16];
        snprintf(expected, sizeof expected, "\"done %s.%u\"", id, task);
        CU_ASSERT(caller_reply_contains(request, expected));
    }
}

/// Targets send each answer twice. The second one must not be taken as the
/// answer to the next request on the connection.
static void
test_two_answers(void)
{
    char job[kJobBytes];
    restore_targets();
    cluster_format_job(job, sizeof job, kManyTasks, 5, 20000);
    cluster_set_targets(&cluster, 1, "runner=all&mode=twice");
    for (uint32_t i = 0; i < kTwoAnswerJobs; i++) {
        char id[kCallerIdBytes];
        caller_request_t request;
        cluster_create_job_id(&cluster, 0, id);
        if (cluster_submit(&cluster, 0, id, job, &request) == 200) {
            check_own_results(&request, id);
        }
        caller_free_replies(&request, 1);
    }
    check_started_once();
}

/// An answer that arrives after the lease is ignored: the task may have run.
static void
test_late(void)
{
    caller_request_t request;
    restore_targets();
    cluster_set_targets(&cluster, 1, "runner=all&mode=late&count=1");
    run_job(1, 10, 400, &request);
    CU_ASSERT_EQUAL(request.status, 504);
    CU_ASSERT(caller_reply_contains(&request, "\"state\":\"may_have_run\""));
    caller_free_replies(&request, 1);
    check_started_once();
}

/// A target never answers: the job ends at its deadline.
static void
test_silent(void)
{
    caller_request_t request;
    restore_targets();
    cluster_set_targets(&cluster, 1, "runner=all&mode=silent&count=1");
    run_job(1, 10, 400, &request);
    CU_ASSERT_EQUAL(request.status, 504);
    caller_free_replies(&request, 1);
    check_started_once();
}

/// A refusal before the start proves that the task did not run: another
/// target runs it.
static void
test_refuse(void)
{
    caller_request_t request;
    restore_targets();
    cluster_set_targets(&cluster, 1, "runner=0&mode=refuse");
    for (uint32_t i = 0; i < 5; i++) {
        run_job(kManyTasks, 5, 20000, &request);
        CU_ASSERT_EQUAL(request.status, 200);
        caller_free_replies(&request, 1);
    }
    check_started_once();
}

/// Targets are suspended until after the job's deadline: the job ends, and no
/// task is started twice after they resume.
static void
test_suspended(void)
{
    caller_request_t request;
    restore_targets();
    apr_proc_kill(&cluster.targets[0], SIGSTOP);
    run_job(4, 10, 500, &request);
    apr_proc_kill(&cluster.targets[0], SIGCONT);
    CU_ASSERT_EQUAL(request.status, 504);
    CU_ASSERT_FALSE(request.has_not_run_header);
    caller_free_replies(&request, 1);
    restore_targets();
    check_started_once();
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"close, fresh connection", test_close_fresh},
        {"close, reused connection", test_close_reused},
        {"half an answer", test_half_answer},
        {"failure", test_fail},
        {"two answers", test_two_answers},
        {"late answer", test_late},
        {"silence", test_silent},
        {"refusal", test_refuse},
        {"suspended targets", test_suspended},
        CU_TEST_INFO_NULL};
    apr_initialize();
    cluster_start(&cluster, &(cluster_options_t){.targets = 2});
    int code = suite_run("faults", tests);
    cluster_stop(&cluster);
    return code;
}
