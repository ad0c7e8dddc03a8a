/// Callers that send the next job before the first is answered: the end of
/// their connection is seen although a request waits on it.
#include <apr_general.h>
#include <apr_time.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "support/fleet.h"
#include "support/suite.h"

enum {
    kFirstId = 0x1001,
    kSecondId = 0x1002,
    kThirdId = 0x1003,
    kTasks = 2,
    kLongMs = 4000,
    kShortMs = 300,
    kLimitMs = 60000,
    kBeginMs = 200,
    kNoticeMs = 500, ///< until a node has seen the end of a connection
    kWaitMs = 1000,
    kWakeupLimit = 200, ///< of the node in kWaitMs; one that spins has more
    kReplyBytes = 1024
};

static fleet_t fleet;

static void
sleep_ms(int64_t ms)
{
    apr_sleep(ms * 1000);
}

static void
reset_connection(int fd)
{
    const struct linger reset = {.l_onoff = 1};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    close(fd);
}

static void
close_connection(int fd)
{
    close(fd);
}

/// The first job runs, and the second waits on the connection.
static void
check_end(void (*end)(int fd))
{
    fleet_start(&fleet, 1, 1, 4);
    int fd = fleet_send_job(&fleet, 0, kFirstId, kTasks, kLongMs, kLimitMs);
    sleep_ms(kBeginMs);
    fleet_pipeline_job(&fleet, fd, kSecondId, kTasks, kLongMs, kLimitMs);
    sleep_ms(kBeginMs);
    CU_ASSERT_EQUAL(fleet_read_counter(&fleet, "running"), kTasks);
    end(fd);
    sleep_ms(kNoticeMs);
    CU_ASSERT_EQUAL(fleet_read_counter(&fleet, "running"), 0);
    CU_ASSERT_EQUAL(fleet_read_job_counter(&fleet, kFirstId, "starts"),
                    kTasks);
    CU_ASSERT_EQUAL(fleet_read_job_counter(&fleet, kSecondId, "starts"), 0);
    fleet_stop(&fleet);
}

static void
test_reset(void)
{
    check_end(reset_connection);
}

static void
test_close(void)
{
    check_end(close_connection);
}

/// The second job of three runs when the connection is reset.
static void
test_reset_of_later_job(void)
{
    char reply[kReplyBytes];
    fleet_start(&fleet, 1, 1, 4);
    int fd = fleet_send_job(&fleet, 0, kFirstId, kTasks, kShortMs, kLimitMs);
    fleet_pipeline_job(&fleet, fd, kSecondId, kTasks, kLongMs, kLimitMs);
    CU_ASSERT_EQUAL(fleet_receive_status(fd, reply, sizeof reply), 200);
    fleet_pipeline_job(&fleet, fd, kThirdId, kTasks, kLongMs, kLimitMs);
    sleep_ms(kBeginMs);
    CU_ASSERT_EQUAL(fleet_read_job_counter(&fleet, kSecondId, "starts"),
                    kTasks);
    reset_connection(fd);
    sleep_ms(kNoticeMs);
    CU_ASSERT_EQUAL(fleet_read_counter(&fleet, "running"), 0);
    CU_ASSERT_EQUAL(fleet_read_job_counter(&fleet, kThirdId, "starts"), 0);
    fleet_stop(&fleet);
}

/// All are answered, and the node does not spin while a request waits.
static void
test_all_are_answered(void)
{
    static const char name[] = "jaytrestle_wakeups";
    char reply[kReplyBytes];
    fleet_start(&fleet, 1, 1, 4);
    int fd = fleet_send_job(&fleet, 0, kFirstId, kTasks, kLongMs, kLimitMs);
    fleet_pipeline_job(&fleet, fd, kSecondId, kTasks, kShortMs, kLimitMs);
    sleep_ms(kBeginMs);
    uint64_t wakeups = fleet_read_metric(&fleet, 0, name);
    sleep_ms(kWaitMs);
    CU_ASSERT(fleet_read_metric(&fleet, 0, name) < wakeups + kWakeupLimit);
    CU_ASSERT_EQUAL(fleet_receive_status(fd, reply, sizeof reply), 200);
    CU_ASSERT_EQUAL(fleet_receive_status(fd, reply, sizeof reply), 200);
    CU_ASSERT_EQUAL(fleet_read_job_counter(&fleet, kSecondId, "done"), kTasks);
    close(fd);
    fleet_stop(&fleet);
}

int
main(void)
{
    const CU_TestInfo tests[] = {
        {"a reset behind a pipelined request (review case 4)", test_reset},
        {"a close behind a pipelined request", test_close},
        {"a reset while a later job runs", test_reset_of_later_job},
        {"all pipelined requests are answered", test_all_are_answered},
        CU_TEST_INFO_NULL,
    };
    apr_initialize();
    return suite_run("pipelined", tests);
}
