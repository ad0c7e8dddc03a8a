/// An owner and the coordinators that assign orders to it.
#include "node/clients.h"

#include <apr_general.h>
#include <stdio.h>

#include "base/units.h"
#include "net/link_clock.h"
#include "net/listener.h"
#include "runtime/clock.h"
#include "support/adapter_stub.h"
#include "support/process.h"
#include "support/suite.h"

enum {
    kPeerPort = 7723,
    kResubmitMs = 1300,
    kTaskMs = 8000,
    kShortOrderMs = 60,
    kLongOrderMs = 20000,
    kSettleMs = 100,
    kTargetBornMs = 1000,
    kTargetClockMs = 5000,
    /// The owner drops a silent coordinator within 40% of kResubmitMs.
    kSilenceMs = 700
};

static const char *const dcs[] = {"dc1"};

/// A node with one target, and the connection of a coordinator to it.
typedef struct {
    node_t *node;
    conn_t *conn;
    loop_timer_t timer;
    uint32_t settled_count;
    pool_target_t *listed;   ///< target of a list call without a reply
    uint64_t lease_until_ms; ///< in the last list call
    pool_run_t *started;     ///< run of a start call without a reply
    run_name_t started_name;
} fixture_t;

static fixture_t fixture;
static adapter_ops_t adapter_ops;

static void
note_start(adapter_t *adapter, const start_call_t *call)
{
    (void)adapter;
    fixture.started = call->run;
    fixture.started_name = call->name;
}

static void
note_list(adapter_t *adapter, const list_call_t *call)
{
    (void)adapter;
    fixture.listed = call->pool_target;
    fixture.lease_until_ms = call->lease_until_ms;
}

static void
on_message(conn_t *conn, uint32_t type, bytes_t body)
{
    (void)conn;
    (void)body;
    fixture.settled_count += type == kMessageSettled;
}

static void
on_close(conn_t *conn)
{
    (void)conn;
    fixture.conn = NULL;
}

static const conn_ops_t conn_ops = {.on_message = on_message,
                                    .on_close = on_close,
                                    .frame_limit_bytes = kNodeFrameLimitBytes};

static void
on_end(loop_timer_t *timer)
{
    loop_stop(((fixture_t *)timer->owner)->node->loop);
}

static void
run_for_ms(uint32_t ms)
{
    loop_timer_init(&fixture.timer, on_end, &fixture);
    loop_timer_set(fixture.node->loop, &fixture.timer, clock_deadline_ns(ms));
    loop_run(fixture.node->loop);
}

/// Answers the pending list call.
static void
answer_list(const listed_run_t *running, uint32_t running_count)
{
    const list_reply_t reply = {.kind = kReplyDone,
                                .clock_ms = kTargetClockMs,
                                .born_ms = kTargetBornMs,
                                .running = running,
                                .running_count = running_count};
    CU_ASSERT_PTR_NOT_NULL_FATAL(fixture.listed);
    node_handle_list_reply(fixture.node, fixture.listed, &reply);
}

/// Adds a target without runs to the pool and answers its first list call.
static void
add_target(node_t *node)
{
    const pool_target_info_t info = {.id = "t1",
                                     .address = "127.0.0.1:1",
                                     .service = "s",
                                     .dc = "dc1",
                                     .born_ms = kTargetBornMs,
                                     .cpu_mcores = 32000,
                                     .memory_mb = 65536};
    pool_put_target(node->pool, &info, 5, clock_now_ns());
    pool_advance(node->pool, clock_now_ns());
    answer_list(NULL, 0);
}

static void
open_fixture(void)
{
    static char address[24];
    static node_settings_t settings;
    error_info_t err = {0};
    arena_t *arena = arena_create();
    snprintf(address, sizeof address, "127.%u.4.1", process_reserve_network());
    settings = (node_settings_t){.name = "n",
                                 .dc = "dc1",
                                 .dcs = (const char **)dcs,
                                 .dcs_count = 1,
                                 .address = address,
                                 .callers = "127.0.0.1:1",
                                 .peer_port = kPeerPort,
                                 .resubmit_ms = kResubmitMs,
                                 .hold_limit_ms = 1000,
                                 .partition_count = 4};
    fixture = (fixture_t){.node = node_create(&settings, arena)};
    adapter_ops = adapter_stub_ops;
    adapter_ops.start = note_start;
    adapter_ops.list = note_list;
    CU_ASSERT_FATAL(node_open(fixture.node, &adapter_ops, NULL, &err));
    add_target(fixture.node);
    fixture.conn = conn_connect(fixture.node->loop, NULL, address, kPeerPort,
                                &conn_ops, &fixture, &err);
    CU_ASSERT_PTR_NOT_NULL_FATAL(fixture.conn);
    run_for_ms(kSettleMs);
}

static void
close_fixture(void)
{
    if (fixture.conn != NULL) {
        conn_close(fixture.conn);
    }
    run_for_ms(kSettleMs);
    listener_close(fixture.node->listener);
}

/// Assigns an order of one task.
static void
assign_order(uint64_t request, uint32_t left_ms)
{
    char job[24];
    snprintf(job, sizeof job, "%llx", (unsigned long long)request);
    order_step_t step = {.task_count = 1,
                         .cpu_mcores = 1000,
                         .memory_mb = 64,
                         .estimate_ms = kTaskMs,
                         .constraint = "",
                         .data_rack = ""};
    const assign_message_t assign = {.request = request,
                                     .dc = "dc1",
                                     .order = {.job = job,
                                               .service = "s",
                                               .queue = "q",
                                               .payload = "p",
                                               .attempt_limit = 3,
                                               .slo_ms = 60,
                                               .stretch_permille = 1600,
                                               .left_ms = left_ms,
                                               .steps = &step,
                                               .steps_count = 1},
                                     .sent_us =
                                         link_clock_stamp_us(clock_now_ns())};
    conn_send(fixture.conn, kMessageAssign, &assign);
}

static void
withdraw_order(uint64_t request, uint32_t age_ms)
{
    const withdraw_message_t withdraw = {
        .request = request,
        .given_up_us = link_clock_stamp_us(clock_now_ns() - MS_TO_NS(age_ms))};
    conn_send(fixture.conn, kMessageWithdraw, &withdraw);
}

static uint32_t
count_orders(void)
{
    return pool_read_status(fixture.node->pool, clock_now_ns()).order_count;
}

/// An order settles while its withdrawal is in transit. The owner must still
/// drop the coordinator's other order once it is silent (review case 6).
static void
test_outcome_crosses_withdrawal(void)
{
    open_fixture();
    assign_order(0xa1, kLongOrderMs);
    assign_order(0xa2, kShortOrderMs);
    run_for_ms(kShortOrderMs + kSettleMs);
    CU_ASSERT_EQUAL(fixture.settled_count, 1);
    CU_ASSERT_EQUAL(count_orders(), 1);
    withdraw_order(0xa2, 0);
    run_for_ms(kSilenceMs);
    CU_ASSERT_EQUAL(count_orders(), 0);
    CU_ASSERT_PTR_NULL(fixture.conn);
    close_fixture();
}

/// A coordinator without orders may be silent for longer.
static void
test_idle_coordinator_is_kept(void)
{
    open_fixture();
    assign_order(0xb1, kLongOrderMs);
    run_for_ms(kSettleMs);
    withdraw_order(0xb1, 0);
    run_for_ms(kSilenceMs);
    CU_ASSERT_EQUAL(count_orders(), 0);
    CU_ASSERT_PTR_NOT_NULL(fixture.conn);
    close_fixture();
}

static void
send_ping(uint32_t age_ms)
{
    const ping_message_t ping = {
        .number = 1,
        .sent_us = link_clock_stamp_us(clock_now_ns() - MS_TO_NS(age_ms))};
    conn_send(fixture.conn, kMessagePing, &ping);
}

/// The last message of a silent coordinator was delayed: its silence counts
/// from when the message was sent.
static void
test_last_message_arrives_late(void)
{
    enum { kPingMs = 450, kAgeMs = 300 };
    open_fixture();
    assign_order(0xd1, kLongOrderMs);
    run_for_ms(kPingMs);
    CU_ASSERT_EQUAL(count_orders(), 1);
    send_ping(kAgeMs);
    run_for_ms(kSilenceMs - kAgeMs);
    CU_ASSERT_EQUAL(count_orders(), 0);
    close_fixture();
}

/// The caller gave up some time before the withdrawal arrived: its run must
/// end that much earlier, by its lease if no stop is answered.
static void
test_withdrawal_arrives_late(void)
{
    enum { kAgeMs = 500, kOrphanMs = 780 };
    const call_reply_t done = {.kind = kReplyDone};
    open_fixture();
    assign_order(0xc1, kLongOrderMs);
    run_for_ms(kSettleMs);
    CU_ASSERT_PTR_NOT_NULL_FATAL(fixture.started);
    const listed_run_t running = {.name = fixture.started_name};
    node_handle_start_reply(fixture.node, fixture.started, &done);
    run_for_ms(1);
    CU_ASSERT(fixture.lease_until_ms > kTargetClockMs);
    withdraw_order(0xc1, kAgeMs);
    run_for_ms(10);
    CU_ASSERT_EQUAL(count_orders(), 0);
    answer_list(&running, 1);
    run_for_ms(1);
    CU_ASSERT(fixture.lease_until_ms > kTargetClockMs);
    CU_ASSERT(fixture.lease_until_ms <= kTargetClockMs + kOrphanMs - kAgeMs);
    close_fixture();
}

int
main(void)
{
    const CU_TestInfo tests[] = {
        {"the outcome of an order crosses its withdrawal",
         test_outcome_crosses_withdrawal},
        {"a coordinator without orders is kept",
         test_idle_coordinator_is_kept},
        {"the last message of a coordinator arrives late",
         test_last_message_arrives_late},
        {"a withdrawal that arrives late", test_withdrawal_arrives_late},
        CU_TEST_INFO_NULL,
    };
    apr_initialize();
    return suite_run("clients", tests);
}
