/// Requests and orders that a node reads late: their callers and coordinators
/// have given them up, and may have submitted the jobs to other nodes.
#include <apr_general.h>
#include <apr_time.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "codec/pack.h"
#include "generated/messages.h"
#include "net/link_clock.h"
#include "runtime/clock.h"
#include "support/fleet.h"
#include "support/suite.h"

enum {
    kJobsPort = 8161,
    kPeerPort = 7720,
    kTaskCount = 4,
    kTaskMs = 900,
    kResubmitMs = 1300,
    kLongFreezeMs = 2500,
    /// Below the threshold for a pause, so that nothing is dropped after it.
    kShortFreezeMs = 300,
    kSettleMs = 400, ///< for starts that must not happen
    kReplyBytes = 1024,
    kFrameHeaderBytes = 4
};

static fleet_t fleet;

static void
sleep_ms(int64_t ms)
{
    apr_sleep(ms * 1000);
}

static int
connect_to(const char *address, uint16_t port)
{
    struct sockaddr_in to = {.sin_family = AF_INET, .sin_port = htons(port)};
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    inet_pton(AF_INET, address, &to.sin_addr);
    CU_ASSERT_EQUAL_FATAL(connect(fd, (struct sockaddr *)&to, sizeof to), 0);
    return fd;
}

static void
freeze(uint32_t node)
{
    process_suspend(&fleet.nodes[node].process);
}

static void
wake(uint32_t node)
{
    fleet_signal(&fleet, node, SIGCONT);
}

/// A node wakes from a freeze while the job, whose caller has gone, runs in
/// another data centre (review case 1).
static void
test_job_submitted_elsewhere_during_freeze(void)
{
    enum { kId = 0x1001, kLimitMs = 600 };
    fleet_start(&fleet, 3, 1, 12);
    freeze(0);
    int fd = fleet_send_job(&fleet, 0, kId, kTaskCount, kTaskMs, kLimitMs);
    sleep_ms(kLimitMs);
    close(fd);
    sleep_ms(kResubmitMs);
    fd = fleet_send_job(&fleet, 1, kId, kTaskCount, kTaskMs, 60000);
    sleep_ms(kTaskMs / 3);
    wake(0);
    char reply[kReplyBytes];
    CU_ASSERT_EQUAL(fleet_receive_status(fd, reply, sizeof reply), 200);
    close(fd);
    sleep_ms(kSettleMs);
    CU_ASSERT_EQUAL(fleet_read_counter(&fleet, "doubles"), 0);
    CU_ASSERT_EQUAL(fleet_read_job_counter(&fleet, kId, "starts"), kTaskCount);
    fleet_wait_ready(&fleet, 0);
    CU_ASSERT_EQUAL(fleet_submit_job(&fleet, 0, kId + 1, 2, 10), 200);
    fleet_stop(&fleet);
}

/// The caller has not closed the connection, as when its host is cut off.
static void
check_overdue_request(uint64_t id, uint32_t freeze_ms, uint32_t limit_ms)
{
    char reply[kReplyBytes];
    freeze(0);
    int fd = fleet_send_job(&fleet, 0, id, kTaskCount, kTaskMs, limit_ms);
    sleep_ms(freeze_ms);
    wake(0);
    CU_ASSERT_EQUAL(fleet_receive_status(fd, reply, sizeof reply), 503);
    CU_ASSERT_PTR_NOT_NULL(strstr(reply, "Retry-After"));
    sleep_ms(kSettleMs);
    CU_ASSERT_EQUAL(fleet_read_job_counter(&fleet, id, "starts"), 0);
    close(fd);
}

static void
test_deadline_passes_in_socket(void)
{
    fleet_start(&fleet, 1, 1, 4);
    check_overdue_request(0x2001, kLongFreezeMs, 1500);
    fleet_wait_all_owned(&fleet, 4);
    CU_ASSERT_EQUAL(fleet_submit_job(&fleet, 0, 0x2002, 2, 10), 200);
    fleet_stop(&fleet);
}

static void
test_deadline_passes_in_short_freeze(void)
{
    fleet_start(&fleet, 1, 1, 4);
    for (uint32_t i = 0; i < 5; i++) {
        check_overdue_request(0x3001 + i, kShortFreezeMs, kShortFreezeMs / 2);
    }
    fleet_stop(&fleet);
}

static void
test_caller_leaves_in_short_freeze(void)
{
    fleet_start(&fleet, 1, 1, 4);
    for (uint32_t i = 0; i < 5; i++) {
        freeze(0);
        int fd =
            fleet_send_job(&fleet, 0, 0x4001 + i, kTaskCount, kTaskMs, 60000);
        sleep_ms(kShortFreezeMs / 2);
        close(fd);
        sleep_ms(kShortFreezeMs / 2);
        wake(0);
        sleep_ms(kSettleMs);
        CU_ASSERT_EQUAL(fleet_read_job_counter(&fleet, 0x4001 + i, "starts"),
                        0);
    }
    fleet_stop(&fleet);
}

static void
send_frame(int fd, uint32_t type, const void *message)
{
    msgpack_sbuffer body;
    msgpack_sbuffer_init(&body);
    pack_write_message(&body, type, message_descs[type], message);
    uint32_t length_bytes = htonl((uint32_t)body.size);
    send(fd, &length_bytes, kFrameHeaderBytes, MSG_NOSIGNAL);
    send(fd, body.data, body.size, MSG_NOSIGNAL);
    msgpack_sbuffer_destroy(&body);
}

/// Sends an order to the owner as its coordinator would have some time ago.
static void
send_order(int fd, uint64_t request, const char *job, int64_t age_ms,
           uint32_t left_ms)
{
    order_step_t step = {.task_count = 1,
                         .cpu_mcores = 14000,
                         .memory_mb = 64,
                         .estimate_ms = 20,
                         .constraint = "",
                         .data_rack = ""};
    assign_message_t assign = {
        .request = request,
        .dc = "dc1",
        .order = {.job = job,
                  .service = "s",
                  .queue = "q",
                  .payload = "20",
                  .attempt_limit = 3,
                  .slo_ms = 2000,
                  .stretch_permille = 1000,
                  .left_ms = left_ms,
                  .steps = &step,
                  .steps_count = 1},
        .sent_us =
            link_clock_stamp_us(clock_now_ns() - age_ms * (int64_t)kNsPerMs)};
    send_frame(fd, kMessageAssign, &assign);
}

static bool
has_started(void *state)
{
    const uint64_t *id = state;
    return fleet_read_job_counter(&fleet, *id, "starts") == 1;
}

/// The network held two orders back, until the coordinator of one had closed
/// the link, and past the deadline of the other.
static void
test_order_delayed_on_link(void)
{
    uint64_t fresh_id = 0x5002;
    fleet_start(&fleet, 1, 1, 4);
    int fd = connect_to(fleet.nodes[0].address, kPeerPort);
    hello_message_t hello = {.role = kRoleNode,
                             .sent_us = link_clock_stamp_us(clock_now_ns())};
    send_frame(fd, kMessageHello, &hello);
    send_order(fd, 1, "0000000000005001", 2000, 20000);
    send_order(fd, 3, "0000000000005003", 300, 200);
    send_order(fd, 2, "0000000000005002", 0, 20000);
    process_wait_for(has_started, &fresh_id, "the order in time starts");
    sleep_ms(kSettleMs);
    CU_ASSERT_EQUAL(fleet_read_job_counter(&fleet, 0x5001, "starts"), 0);
    CU_ASSERT_EQUAL(fleet_read_job_counter(&fleet, 0x5003, "starts"), 0);
    close(fd);
    fleet_stop(&fleet);
}

int
main(void)
{
    const CU_TestInfo tests[] = {
        {"a woken node does not start a job that runs elsewhere",
         test_job_submitted_elsewhere_during_freeze},
        {"a job whose deadline passed in the socket does not start",
         test_deadline_passes_in_socket},
        {"a job whose deadline passed in a short freeze does not start",
         test_deadline_passes_in_short_freeze},
        {"a job whose caller left in a short freeze does not start",
         test_caller_leaves_in_short_freeze},
        {"an order that was delayed on its link does not start",
         test_order_delayed_on_link},
        CU_TEST_INFO_NULL,
    };
    apr_initialize();
    return suite_run("late_request", tests);
}
