/// The readiness of a node and its settings.
#include "node/node.h"

#include <apr_general.h>
#include <apr_time.h>
#include <stdio.h>
#include <string.h>

#include "base/units.h"
#include "net/listener.h"
#include "node/coordinator.h"
#include "node/queues.h"
#include "runtime/clock.h"
#include "support/adapter_stub.h"
#include "support/process.h"
#include "support/suite.h"

enum {
    kPeerPort = 7724,
    kPartitionCount = 4,
    kStallMs = 500,
    kRunMs = 300,
    kResubmitMs = 1300,
    kChangedResubmitMs = 2000
};

static const char *const dcs[] = {"dc1"};
static char address[24];
static node_settings_t settings;
static node_t *node;

static void
on_end(loop_timer_t *timer)
{
    (void)timer;
    loop_stop(node->loop);
}

static void
run_for_ms(uint32_t ms)
{
    loop_timer_t timer;
    loop_timer_init(&timer, on_end, NULL);
    loop_timer_set(node->loop, &timer, clock_deadline_ns(ms));
    loop_run(node->loop);
}

/// Opens a node that owns all partitions and has a configuration.
static void
open_node(void)
{
    static const uint32_t partitions[kPartitionCount] = {0, 1, 2, 3};
    error_info_t err = {0};
    arena_t *arena = arena_create();
    snprintf(address, sizeof address, "127.%u.5.1", process_reserve_network());
    settings = (node_settings_t){.name = "n",
                                 .dc = "dc1",
                                 .dcs = (const char **)dcs,
                                 .dcs_count = 1,
                                 .address = address,
                                 .callers = "127.0.0.1:1",
                                 .ready = "127.0.0.1:2",
                                 .store = "127.0.0.1:3",
                                 .peer_port = kPeerPort,
                                 .resubmit_ms = kResubmitMs,
                                 .hold_limit_ms = 1000,
                                 .partition_count = kPartitionCount,
                                 .targets_per_owner = 20,
                                 .liveness_round_ms = 40000,
                                 .ready_stall_ms = kStallMs};
    node = node_create(&settings, arena);
    CU_ASSERT_FATAL(node_open(node, &adapter_stub_ops, NULL, &err));
    node->groups[0].is_joined = true;
    const join_reply_t joined = {.is_answered = true,
                                 .generation = 5,
                                 .partitions = partitions,
                                 .partition_count = kPartitionCount};
    node_handle_join_reply(node, "dc1", &joined);
    arena_t *table_arena = arena_create();
    queue_table_t *table = apr_pcalloc(table_arena, sizeof *table);
    *table = (queue_table_t){.arena = table_arena, .version = 1};
    node_publish_queues(node, table);
}

static void
close_node(void)
{
    run_for_ms(1);
    listener_close(node->listener);
}

/// A loop that hangs in a callback: the check for readiness is answered by
/// another thread.
static void
test_ready_while_loop_runs(void)
{
    open_node();
    run_for_ms(kRunMs);
    CU_ASSERT_TRUE(node_is_ready(node));
    apr_sleep(MS_TO_NS(kStallMs + kRunMs) / kNsPerUs);
    CU_ASSERT_FALSE(node_is_ready(node));
    run_for_ms(kRunMs);
    CU_ASSERT_TRUE(node_is_ready(node));
    close_node();
}

/// The memory of read settings is freed after they have been applied.
static void
test_settings_are_copied(void)
{
    char name[] = "n";
    char other_address[sizeof address];
    open_node();
    node_settings_t changed = settings;
    memcpy(other_address, address, sizeof address);
    changed.name = name;
    changed.address = other_address;
    changed.resubmit_ms = kChangedResubmitMs;
    node_apply_settings(node, &changed);
    memset(name, 'x', 1);
    memset(other_address, 'x', sizeof other_address - 1);
    memset(&changed, 0xff, sizeof changed);
    CU_ASSERT_STRING_EQUAL(node->settings->name, "n");
    CU_ASSERT_STRING_EQUAL(node->settings->address, address);
    CU_ASSERT_EQUAL(node->settings->resubmit_ms, kChangedResubmitMs);
    CU_ASSERT_EQUAL(coordinator_link_timeout_ns(node),
                    MS_TO_NS(kChangedResubmitMs) * 40 / 100);
    close_node();
}

static void
test_changed_address_is_refused(void)
{
    open_node();
    node_settings_t changed = settings;
    changed.address = "127.0.0.9";
    changed.resubmit_ms = kChangedResubmitMs;
    node_apply_settings(node, &changed);
    CU_ASSERT_EQUAL(node->settings->resubmit_ms, kResubmitMs);
    close_node();
}

int
main(void)
{
    const CU_TestInfo tests[] = {
        {"a node is ready while its loop runs", test_ready_while_loop_runs},
        {"changed settings are copied", test_settings_are_copied},
        {"a changed address is refused", test_changed_address_is_refused},
        CU_TEST_INFO_NULL,
    };
    apr_initialize();
    return suite_run("node", tests);
}
