/// Nodes as processes against stand-ins of the users' platform.
#include <apr_general.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "support/nodes.h"
#include "support/suite.h"

enum { kRunners = 8, kBatch = 12, kWaitStepUs = 10000 };

static fleet_t fleet;

/// A number of the ledger that is waited for.
typedef struct {
    const char *key;
    uint64_t value;
} expected_t;

static bool
is_ledger_equal(void *state)
{
    const expected_t *expected = state;
    return fleet_ledger(&fleet, expected->key) == expected->value;
}

static void
wait_ledger(const char *key, uint64_t value)
{
    expected_t expected = {.key = key, .value = value};
    process_wait_for(is_ledger_equal, &expected, key);
}

static void
test_job_is_served(void)
{
    fleet_start(&fleet, 1, 3, kRunners);
    for (uint32_t i = 0; i < fleet.node_count; i++) {
        CU_ASSERT_EQUAL(fleet_run_job(&fleet, i, 16 + i, 4, 20), 200);
    }
    CU_ASSERT_EQUAL(fleet_ledger(&fleet, "starts"), 12);
    CU_ASSERT_EQUAL(fleet_ledger(&fleet, "done"), 12);
    CU_ASSERT_EQUAL(fleet_ledger(&fleet, "out_of_room"), 0);
    fleet_end(&fleet);
}

static void
test_caller_that_leaves_stops_its_job(void)
{
    fleet_start(&fleet, 1, 2, kRunners);
    caller_request_t request;
    fleet_fill_job(&fleet, 1, 77, 2, 5000, &request);
    request.limit_ms = 400;
    caller_run(&request, 1);
    CU_ASSERT_EQUAL(request.status, 0);
    wait_ledger("running", 0);
    CU_ASSERT_EQUAL(fleet_ledger(&fleet, "done"), 0);
    free((char *)request.body);
    caller_free(&request, 1);
    fleet_end(&fleet);
}

/// Jobs that are under way on all nodes.
typedef struct {
    caller_batch_t batch;
    caller_request_t requests[kBatch];
} load_t;

static void
start_load(load_t *load, uint64_t first_id, uint32_t task_ms)
{
    for (uint32_t i = 0; i < kBatch; i++) {
        fleet_fill_job(&fleet, i % fleet.node_count, first_id + i, 1, task_ms,
                       &load->requests[i]);
    }
    caller_start(&load->batch, load->requests, kBatch);
}

static uint32_t
end_load(load_t *load, uint32_t status)
{
    uint32_t count = 0;
    caller_join(&load->batch);
    for (uint32_t i = 0; i < kBatch; i++) {
        count += load->requests[i].status == status;
        free((char *)load->requests[i].body);
    }
    caller_free(load->requests, kBatch);
    return count;
}

static void
test_planned_stop_cuts_nothing(void)
{
    load_t load;
    fleet_start(&fleet, 1, 3, kRunners);
    for (uint32_t i = 0; i < fleet.node_count; i++) {
        // All tasks of the load must find room at once.
        fleet_wait_owned(&fleet, kRunners);
        start_load(&load, 1000 + 100 * i, 600);
        wait_ledger("running", kBatch);
        fleet_signal(&fleet, i, SIGTERM);
        CU_ASSERT_EQUAL(end_load(&load, 200), kBatch);
        CU_ASSERT_EQUAL(process_join(&fleet.nodes[i].process), 0);
        fleet_start_node(&fleet, i);
        fleet_wait_ready(&fleet, i);
        wait_ledger("running", 0);
    }
    CU_ASSERT_EQUAL(fleet_ledger(&fleet, "doubles"), 0);
    fleet_end(&fleet);
}

static bool
is_first_unready(void *state)
{
    (void)state;
    return !fleet_is_ready(&fleet, 0);
}

/// While no other owner is in reach, a stopping one takes what still comes.
static void
test_last_owner_serves_while_it_stops(void)
{
    load_t load;
    fleet_start(&fleet, 1, 1, kRunners);
    start_load(&load, 2000, 600);
    wait_ledger("running", kBatch);
    fleet_signal(&fleet, 0, SIGTERM);
    process_wait_for(is_first_unready, NULL, "the node stops");
    CU_ASSERT_EQUAL(fleet_run_job(&fleet, 0, 2999, 2, 20), 200);
    CU_ASSERT_EQUAL(end_load(&load, 200), kBatch);
    CU_ASSERT_EQUAL(process_join(&fleet.nodes[0].process), 0);
    fleet.nodes[0].is_running = false;
    CU_ASSERT_EQUAL(fleet_ledger(&fleet, "doubles"), 0);
    fleet_end(&fleet);
}

static bool
is_job_served(void *state)
{
    uint64_t *id = state;
    return fleet_run_job(&fleet, 1, (*id)++, 1, 10) == 200;
}

static void
test_killed_owner_is_replaced(void)
{
    uint64_t id = 5000;
    fleet_start(&fleet, 1, 3, kRunners);
    for (uint32_t i = 0; i < fleet.node_count; i++) {
        if (i != 1) {
            fleet_signal(&fleet, i, SIGKILL);
            process_join(&fleet.nodes[i].process);
            fleet.nodes[i].is_running = false;
        }
    }
    process_wait_for(is_job_served, &id, "a job is served by the last node");
    CU_ASSERT_EQUAL(fleet_ledger(&fleet, "doubles"), 0);
    fleet_end(&fleet);
}

static void
test_frozen_owner_is_replaced(void)
{
    uint64_t id = 6000;
    fleet_start(&fleet, 1, 2, kRunners);
    fleet_signal(&fleet, 0, SIGSTOP);
    process_wait_for(is_job_served, &id, "a job is served beside a freeze");
    fleet_signal(&fleet, 0, SIGCONT);
    fleet_wait_ready(&fleet, 0);
    CU_ASSERT_EQUAL(fleet_run_job(&fleet, 0, 6999, 2, 10), 200);
    CU_ASSERT_EQUAL(fleet_ledger(&fleet, "doubles"), 0);
    fleet_end(&fleet);
}

static void
test_store_outage_is_borne(void)
{
    fleet_start(&fleet, 1, 2, kRunners);
    fleet_set(&fleet, "down=1");
    for (uint32_t i = 0; i < 10; i++) {
        CU_ASSERT_EQUAL(fleet_run_job(&fleet, i % 2, 100 + i, 2, 150), 200);
    }
    fleet_set(&fleet, "down=0");
    fleet_set(&fleet, "lost=40");
    for (uint32_t i = 0; i < 10; i++) {
        CU_ASSERT_EQUAL(fleet_run_job(&fleet, i % 2, 200 + i, 2, 50), 200);
    }
    fleet_set(&fleet, "lost=0");
    fleet_set(&fleet, "compact=1");
    CU_ASSERT_EQUAL(fleet_run_job(&fleet, 0, 300, 2, 50), 200);
    fleet_end(&fleet);
}

/// A request to a queue that the configuration gains or loses.
static uint32_t
ask_extra(uint32_t node)
{
    caller_request_t request = {
        .method = "GET", .host = "Host: h", .limit_ms = 2000};
    snprintf(request.url, sizeof request.url, "http://%s:8161/extra/",
             fleet.nodes[node].address);
    caller_run(&request, 1);
    uint32_t status = request.status;
    caller_free(&request, 1);
    return status;
}

static bool
is_extra_there(void *state)
{
    (void)state;
    return ask_extra(0) == 200 && ask_extra(1) == 200;
}

static bool
is_extra_gone(void *state)
{
    (void)state;
    return ask_extra(0) == 404 && ask_extra(1) == 404;
}

static void
test_configuration_takes_effect(void)
{
    fleet_start(&fleet, 1, 2, kRunners);
    CU_ASSERT_EQUAL(ask_extra(0), 404);
    fleet_set(&fleet, "config=1");
    process_wait_for(is_extra_there, NULL, "a new queue is served");
    fleet_set(&fleet, "garbage=1");
    CU_ASSERT_EQUAL(fleet_run_job(&fleet, 0, 1, 2, 10), 200);
    CU_ASSERT_EQUAL(ask_extra(0), 200);
    fleet_set(&fleet, "config=0");
    process_wait_for(is_extra_gone, NULL, "a dropped queue is gone");
    fleet_end(&fleet);
}

static bool
is_first_sole_owner(void *state)
{
    (void)state;
    return fleet_owned(&fleet, 0) == kRunners;
}

/// The cells of a process that was killed need not lapse where it starts
/// again.
static void
test_restarted_owner_leaves_for_earlier(void)
{
    fleet_start(&fleet, 1, 2, kRunners);
    process_wait_for(is_first_sole_owner, NULL, "the first node owns all");
    uint64_t before = fleet_ledger(&fleet, "leaves");
    fleet_signal(&fleet, 0, SIGKILL);
    process_join(&fleet.nodes[0].process);
    fleet_start_node(&fleet, 0);
    fleet_wait_owned(&fleet, kRunners);
    CU_ASSERT(fleet_ledger(&fleet, "leaves") > before);
    fleet_end(&fleet);
}

static bool
is_served_by_all(void *state)
{
    uint64_t *id = state;
    bool is_served = true;
    for (uint32_t i = 0; i < fleet.node_count; i++) {
        is_served &= fleet_run_job(&fleet, i, (*id)++, 2, 10) == 200;
    }
    return is_served;
}

static void
test_late_records_are_repaired(void)
{
    uint64_t id = 8000;
    fleet_start(&fleet, 1, 2, kRunners);
    // The first record of the owner names no targets of its own.
    uint64_t before = fleet_ledger(&fleet, "node_records");
    fleet_set(&fleet, "late_nodes=1");
    wait_ledger("node_records", before + fleet.node_count + 1);
    process_wait_for(is_served_by_all, &id, "both nodes know the owner");
    // Where the record stays wrong, another node takes a part for good.
    process_wait_for(is_first_sole_owner, NULL, "there is one owner");
    fleet_end(&fleet);
}

static bool
is_name_count(void *state)
{
    const uint64_t *count = state;
    return fleet_ledger(&fleet, "node_names") == *count;
}

/// The record of a node that is gone for good does not stay; that of one that
/// was away too long comes back with it.
static void
test_gone_nodes_are_forgotten(void)
{
    uint64_t all = 3;
    uint64_t left = 2;
    fleet_start(&fleet, 1, 3, kRunners);
    process_wait_for(is_name_count, &all, "all nodes have a record");
    fleet_signal(&fleet, 2, SIGKILL);
    process_join(&fleet.nodes[2].process);
    process_wait_for(is_name_count, &left, "a killed node is forgotten");
    fleet_start_node(&fleet, 2);
    process_wait_for(is_name_count, &all, "a new one is known");
    fleet_signal(&fleet, 1, SIGSTOP);
    process_wait_for(is_name_count, &left, "a stopped node is forgotten");
    fleet_signal(&fleet, 1, SIGCONT);
    process_wait_for(is_name_count, &all, "it is known again");
    CU_ASSERT_EQUAL(fleet_run_job(&fleet, 1, 8999, 2, 10), 200);
    fleet_end(&fleet);
}

static void
test_silent_connections_are_replaced(void)
{
    fleet_start(&fleet, 1, 2, kRunners);
    fleet_set_middle(&fleet, "forget=1");
    fleet_set(&fleet, "config=1");
    process_wait_for(is_extra_there, NULL,
                     "news comes over new connections to the store");
    fleet_end(&fleet);
}

static void
test_draining_runner_gets_no_start(void)
{
    fleet_start(&fleet, 1, 2, 2);
    fleet_set(&fleet, "runner=0&mode=draining");
    for (uint32_t i = 0; i < 60; i++) {
        CU_ASSERT_EQUAL(fleet_run_job(&fleet, i % 2, 400 + i, 2, 60), 200);
    }
    CU_ASSERT_EQUAL(fleet_ledger(&fleet, "drained"), 0);
    fleet_end(&fleet);
}

static void
test_parts_not_served_are_refused(void)
{
    fleet_start(&fleet, 1, 1, 2);
    caller_request_t request;
    fleet_fill_job(&fleet, 0, 9, 1, 10, &request);
    free((char *)request.body);
    request.body = "{\"task_spec\":\"1\",\"steps\":[{\"count\":1}]}";
    caller_run(&request, 1);
    CU_ASSERT_EQUAL(request.status, 503);
    CU_ASSERT(request.retry_after_s > 0);
    CU_ASSERT_EQUAL(fleet_ledger(&fleet, "starts"), 0);
    caller_free(&request, 1);
    fleet_end(&fleet);
}

int
main(void)
{
    const CU_TestInfo tests[] = {
        {"a job is served", test_job_is_served},
        {"a caller that leaves stops its job",
         test_caller_that_leaves_stops_its_job},
        {"a planned stop cuts nothing", test_planned_stop_cuts_nothing},
        {"the last owner serves while it stops",
         test_last_owner_serves_while_it_stops},
        {"a killed owner is replaced", test_killed_owner_is_replaced},
        {"a frozen owner is replaced", test_frozen_owner_is_replaced},
        {"an outage of the store is borne", test_store_outage_is_borne},
        {"the configuration takes effect", test_configuration_takes_effect},
        {"a restarted owner leaves for its earlier process",
         test_restarted_owner_leaves_for_earlier},
        {"late records of nodes are repaired", test_late_records_are_repaired},
        {"gone nodes are forgotten", test_gone_nodes_are_forgotten},
        {"silent connections are replaced",
         test_silent_connections_are_replaced},
        {"a draining runner gets no start",
         test_draining_runner_gets_no_start},
        {"parts that are not served are refused",
         test_parts_not_served_are_refused},
        CU_TEST_INFO_NULL,
    };
    apr_initialize();
    return suite_run("node", tests);
}
