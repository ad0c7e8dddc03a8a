/// Callers that cancel a job: at the node that has it or at another one,
/// before it arrives, and while an owner does not answer.
#include <apr_general.h>
#include <apr_time.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "support/fleet.h"
#include "support/suite.h"

enum {
    kId = 0x1001,
    kOtherId = 0x1002,
    kTasks = 2,
    kTaskMs = 4000,
    kShortMs = 20,
    kLimitMs = 60000,
    kBeginMs = 300,
    kSettleMs = 400, ///< for stops, and for starts that must not happen
    kReplyBytes = 1024
};

static fleet_t fleet;

static void
sleep_ms(int64_t ms)
{
    apr_sleep(ms * 1000);
}

/// Sends a DELETE for a path to a node and waits for the response.
///
/// @return the status
static uint32_t
send_delete(uint32_t node, const char *path, const char *body)
{
    caller_request_t request;
    fleet_fill_job(&fleet, node, kId, 1, 1, &request);
    free((char *)request.body);
    request.method = "DELETE";
    request.body = body;
    char *slash = strstr(request.url, "/jobs/");
    snprintf(slash, sizeof request.url - (size_t)(slash - request.url), "%s",
             path);
    caller_send_all(&request, 1);
    caller_free_replies(&request, 1);
    return request.status;
}

static uint32_t
cancel(uint32_t node, uint64_t id)
{
    char path[40];
    snprintf(path, sizeof path, "/jobs/%016llx", (unsigned long long)id);
    return send_delete(node, path, NULL);
}

/// A job runs at node 0 and is cancelled at a node; another one goes on.
static void
check_running_job(uint32_t cancelling_node)
{
    char reply[kReplyBytes];
    fleet_start(&fleet, 2, 1, 4);
    int fd = fleet_send_job(&fleet, 0, kId, kTasks, kTaskMs, kLimitMs);
    int other_fd =
        fleet_send_job(&fleet, 0, kOtherId, 1, kTaskMs / 2, kLimitMs);
    sleep_ms(kBeginMs);
    CU_ASSERT_EQUAL(fleet_read_counter(&fleet, "running"), kTasks + 1);
    CU_ASSERT_EQUAL(cancel(cancelling_node, kId), 200);
    CU_ASSERT_EQUAL(fleet_receive_status(fd, reply, sizeof reply), 200);
    CU_ASSERT_PTR_NOT_NULL(strstr(reply, "\"cancelled\""));
    sleep_ms(kSettleMs);
    CU_ASSERT_EQUAL(fleet_read_counter(&fleet, "running"), 1);
    CU_ASSERT_EQUAL(fleet_read_job_counter(&fleet, kId, "starts"), kTasks);
    // Now there is no such job.
    CU_ASSERT_EQUAL(cancel(cancelling_node, kId), 410);
    CU_ASSERT_EQUAL(fleet_receive_status(other_fd, reply, sizeof reply), 200);
    CU_ASSERT_PTR_NOT_NULL(strstr(reply, "\"completed\""));
    CU_ASSERT_EQUAL(cancel(1 - cancelling_node, kOtherId), 410);
    close(fd);
    close(other_fd);
    fleet_stop(&fleet);
}

static void
test_same_node(void)
{
    check_running_job(0);
}

static void
test_other_node(void)
{
    check_running_job(1);
}

/// The submission arrives after the cancelling was acknowledged.
static void
test_before_submission(void)
{
    char reply[kReplyBytes];
    fleet_start(&fleet, 2, 1, 4);
    for (uint32_t node = 0; node < 2; node++) {
        CU_ASSERT_EQUAL(cancel(node, kId + node), 410);
        int fd = fleet_send_job(&fleet, 1 - node, kId + node, kTasks, kTaskMs,
                                kLimitMs);
        CU_ASSERT_EQUAL(fleet_receive_status(fd, reply, sizeof reply), 200);
        CU_ASSERT_PTR_NOT_NULL(strstr(reply, "\"cancelled\""));
        sleep_ms(kSettleMs);
        CU_ASSERT_EQUAL(fleet_read_job_counter(&fleet, kId + node, "starts"),
                        0);
        close(fd);
    }
    fleet_stop(&fleet);
}

/// An owner does not answer: it may run the job, so that there is no such job
/// is not said.
static void
test_silent_owner(void)
{
    fleet_start(&fleet, 2, 1, 4);
    process_suspend(&fleet.nodes[0].process);
    CU_ASSERT_EQUAL(cancel(1, kId), 503);
    fleet_signal(&fleet, 0, SIGCONT);
    fleet_wait_ready(&fleet, 0);
    fleet_wait_all_owned(&fleet, 4);
    CU_ASSERT_EQUAL(cancel(1, kId), 410);
    fleet_stop(&fleet);
}

static void
test_odd_requests(void)
{
    fleet_start(&fleet, 1, 1, 4);
    CU_ASSERT_EQUAL(send_delete(0, "/jobs/", NULL), 400);
    CU_ASSERT_EQUAL(send_delete(0, "/jobs/not-an-id", NULL), 410);
    CU_ASSERT_EQUAL(send_delete(0,
                                "/jobs/0000000000000000000000000000000000000"
                                "000000000000000000000000000000000000000",
                                NULL),
                    410);
    CU_ASSERT_EQUAL(send_delete(0, "/jobs/0000000000001001", "{\"x\":1}"),
                    410);
    CU_ASSERT_EQUAL(send_delete(0, "/elsewhere/0000000000001001", NULL), 404);
    CU_ASSERT_EQUAL(fleet_submit_job(&fleet, 0, kOtherId, kTasks, kShortMs),
                    200);
    fleet_stop(&fleet);
}

int
main(void)
{
    const CU_TestInfo tests[] = {
        {"a job is cancelled at its node (review case 3)", test_same_node},
        {"a job is cancelled at another node", test_other_node},
        {"a job is cancelled before it arrives", test_before_submission},
        {"an owner that does not answer", test_silent_owner},
        {"odd requests", test_odd_requests},
        CU_TEST_INFO_NULL,
    };
    apr_initialize();
    return suite_run("cancel", tests);
}
