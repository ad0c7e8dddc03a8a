/// Runners that answer no stops: a job that its caller gives up and sends
/// again must not run twice at the same time.
#include <apr_general.h>
#include <apr_time.h>
#include <stdio.h>
#include <unistd.h>

#include "support/fleet.h"
#include "support/suite.h"

enum {
    kId = 0x1001,
    kNeighbourId = 0x1002,
    kTasks = 3,
    kTaskMs = 4000,
    kResubmitMs = 1300,
    kBeginMs = 300,
    kSettleMs = 500,
    kLimitMs = 60000,
    kReplyBytes = 1024
};

static fleet_t fleet;

static void
sleep_ms(int64_t ms)
{
    apr_sleep(ms * 1000);
}

static void
set_mode(uint32_t runner, const char *mode)
{
    char query[64];
    snprintf(query, sizeof query, "runner=%u&mode=%s", runner, mode);
    fleet_set_platform(&fleet, query);
}

/// Two data centres of two runners with two slots each. Another job shares a
/// runner with the one that is given up, and needs its lease.
static void
check_job_sent_again(const char *mode)
{
    char reply[kReplyBytes];
    fleet_start(&fleet, 2, 1, 4);
    int fd = fleet_send_job(&fleet, 0, kId, kTasks, kTaskMs, kLimitMs);
    int neighbour_fd =
        fleet_send_job(&fleet, 0, kNeighbourId, 1, kTaskMs, kLimitMs);
    sleep_ms(kBeginMs);
    CU_ASSERT_EQUAL(fleet_read_job_counter(&fleet, kId, "starts"), kTasks);
    set_mode(0, mode);
    set_mode(2, mode);
    sleep_ms(kBeginMs);
    close(fd);
    sleep_ms(kResubmitMs);
    fd = fleet_send_job(&fleet, 1, kId, kTasks, kTaskMs, kLimitMs);
    sleep_ms(kSettleMs);
    CU_ASSERT(fleet_read_job_counter(&fleet, kId, "starts") > kTasks);
    CU_ASSERT_EQUAL(fleet_read_counter(&fleet, "doubles"), 0);
    set_mode(0, "good");
    set_mode(2, "good");
    CU_ASSERT_EQUAL(fleet_receive_status(neighbour_fd, reply, sizeof reply),
                    200);
    CU_ASSERT_EQUAL(fleet_receive_status(fd, reply, sizeof reply), 200);
    CU_ASSERT_EQUAL(fleet_read_counter(&fleet, "doubles"), 0);
    close(fd);
    close(neighbour_fd);
    fleet_stop(&fleet);
}

static void
test_stops_unanswered(void)
{
    check_job_sent_again("deaf");
}

static void
test_stops_and_lists_unanswered(void)
{
    check_job_sent_again("patchy");
}

int
main(void)
{
    const CU_TestInfo tests[] = {
        {"no stop is answered (review case 7)", test_stops_unanswered},
        {"nor every second list call", test_stops_and_lists_unanswered},
        CU_TEST_INFO_NULL,
    };
    apr_initialize();
    return suite_run("unanswered_stop", tests);
}
