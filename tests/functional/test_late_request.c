/// Requests that a node reads late: their callers have given them up, and may
/// have submitted the jobs to other nodes.
#include <apr_general.h>
#include <apr_time.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "support/fleet.h"
#include "support/suite.h"

enum {
    kJobsPort = 8161,
    kTaskCount = 4,
    kTaskMs = 900,
    kResubmitMs = 1300,
    kLongFreezeMs = 2500,
    /// Below the threshold for a pause, so that nothing is dropped after it.
    kShortFreezeMs = 300,
    kSettleMs = 400, ///< for starts that must not happen
    kResponseMs = 5000,
    kRequestBytes = 1024
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

/// Sends a job over a new connection, without waiting for the response.
///
/// @param limit_ms  Request-Deadline
/// @return the connection
static int
send_job(uint32_t node, uint64_t id, uint32_t limit_ms)
{
    char text[kRequestBytes];
    caller_request_t request;
    fleet_fill_job(&fleet, node, id, kTaskCount, kTaskMs, &request);
    int size_bytes = snprintf(
        text, sizeof text,
        "POST /jobs/%016llx HTTP/1.1\r\nHost: h\r\n"
        "Request-Deadline: %u\r\nContent-Length: %zu\r\n\r\n%s",
        (unsigned long long)id, limit_ms, strlen(request.body), request.body);
    free((char *)request.body);
    int fd = connect_to(fleet.nodes[node].address, kJobsPort);
    CU_ASSERT_EQUAL(send(fd, text, (size_t)size_bytes, MSG_NOSIGNAL),
                    size_bytes);
    return fd;
}

/// @return the status of the response, 0 without one
static uint32_t
receive_status(int fd, char *out, size_t out_bytes)
{
    struct pollfd poll_fd = {.fd = fd, .events = POLLIN};
    ssize_t size_bytes = poll(&poll_fd, 1, kResponseMs) == 1
                             ? recv(fd, out, out_bytes - 1, 0)
                             : 0;
    out[size_bytes > 0 ? size_bytes : 0] = '\0';
    const char *space = strchr(out, ' ');
    return space == NULL ? 0 : (uint32_t)strtoul(space, NULL, 10);
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

/// The review's case 1: a node wakes from a freeze while the job, whose caller
/// has gone, runs in another data centre.
static void
test_job_submitted_elsewhere_during_freeze(void)
{
    enum { kId = 0x1001, kLimitMs = 600 };
    fleet_start(&fleet, 3, 1, 12);
    freeze(0);
    int fd = send_job(0, kId, kLimitMs);
    sleep_ms(kLimitMs);
    close(fd);
    sleep_ms(kResubmitMs);
    fd = send_job(1, kId, 60000);
    sleep_ms(kTaskMs / 3);
    wake(0);
    char reply[kRequestBytes];
    CU_ASSERT_EQUAL(receive_status(fd, reply, sizeof reply), 200);
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
    char reply[kRequestBytes];
    freeze(0);
    int fd = send_job(0, id, limit_ms);
    sleep_ms(freeze_ms);
    wake(0);
    CU_ASSERT_EQUAL(receive_status(fd, reply, sizeof reply), 503);
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
        int fd = send_job(0, 0x4001 + i, 60000);
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

int
main(void)
{
    const CU_TestInfo tests[] = {
        {"a woken node does not start a job that runs elsewhere",
         test_job_submitted_elsewhere_during_freeze},
        {"a job whose deadline passed in the socket does not start",
         test_deadline_passes_in_socket},
        {"nor one whose deadline passed in a short freeze",
         test_deadline_passes_in_short_freeze},
        {"nor one whose caller left in a short freeze",
         test_caller_leaves_in_short_freeze},
        CU_TEST_INFO_NULL,
    };
    apr_initialize();
    return suite_run("late_request", tests);
}
