/// Runs nodes as processes against stand-ins for the users' platform.
#include <apr_general.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "support/fleet.h"
#include "support/suite.h"

enum { kRunnerCount = 8, kLoadJobCount = 12 };

static fleet_t fleet;

/// A count in the ledger of the runners, and the value to wait for.
typedef struct {
    const char *key;
    uint64_t value;
} expected_t;

static bool
is_ledger_equal(void *state)
{
    const expected_t *expected = state;
    return fleet_read_counter(&fleet, expected->key) == expected->value;
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
    fleet_start(&fleet, 1, 3, kRunnerCount);
    for (uint32_t i = 0; i < fleet.node_count; i++) {
        CU_ASSERT_EQUAL(fleet_submit_job(&fleet, i, 16 + i, 4, 20), 200);
    }
    CU_ASSERT_EQUAL(fleet_read_counter(&fleet, "starts"), 12);
    CU_ASSERT_EQUAL(fleet_read_counter(&fleet, "done"), 12);
    CU_ASSERT_EQUAL(fleet_read_counter(&fleet, "out_of_room"), 0);
    fleet_stop(&fleet);
}

static void
test_disconnected_caller_stops_its_job(void)
{
    fleet_start(&fleet, 1, 2, kRunnerCount);
    caller_request_t request;
    fleet_fill_job(&fleet, 1, 77, 2, 5000, &request);
    request.timeout_ms = 400;
    caller_send_all(&request, 1);
    CU_ASSERT_EQUAL(request.status, 0);
    wait_ledger("running", 0);
    CU_ASSERT_EQUAL(fleet_read_counter(&fleet, "done"), 0);
    free((char *)request.body);
    caller_free_replies(&request, 1);
    fleet_stop(&fleet);
}

/// Jobs running on all nodes at once.
typedef struct {
    caller_batch_t batch;
    caller_request_t requests[kLoadJobCount];
} load_t;

static void
start_load(load_t *load, uint64_t first_id, uint32_t task_ms)
{
    for (uint32_t i = 0; i < kLoadJobCount; i++) {
        fleet_fill_job(&fleet, i % fleet.node_count, first_id + i, 1, task_ms,
                       &load->requests[i]);
    }
    caller_start_batch(&load->batch, load->requests, kLoadJobCount);
}

/// Waits until all jobs of a load are answered.
///
/// @return how many were answered with a status
static uint32_t
join_load(load_t *load, uint32_t status)
{
    uint32_t count = 0;
    caller_join_batch(&load->batch);
    for (uint32_t i = 0; i < kLoadJobCount; i++) {
        count += load->requests[i].status == status;
        free((char *)load->requests[i].body);
    }
    caller_free_replies(load->requests, kLoadJobCount);
    return count;
}

static void
test_graceful_stop_loses_no_job(void)
{
    load_t load;
    fleet_start(&fleet, 1, 3, kRunnerCount);
    for (uint32_t i = 0; i < fleet.node_count; i++) {
        // The targets must have capacity for all tasks of the load at once.
        fleet_wait_all_owned(&fleet, kRunnerCount);
        start_load(&load, 1000 + 100 * i, 600);
        wait_ledger("running", kLoadJobCount);
        fleet_signal(&fleet, i, SIGTERM);
        CU_ASSERT_EQUAL(join_load(&load, 200), kLoadJobCount);
        CU_ASSERT_EQUAL(process_join(&fleet.nodes[i].process), 0);
        fleet_start_node(&fleet, i);
        fleet_wait_ready(&fleet, i);
        wait_ledger("running", 0);
    }
    CU_ASSERT_EQUAL(fleet_read_counter(&fleet, "doubles"), 0);
    fleet_stop(&fleet);
}

static bool
is_first_node_unready(void *state)
{
    (void)state;
    return !fleet_is_ready(&fleet, 0);
}

/// A stopping owner takes new jobs while no other owner is reachable.
static void
test_last_owner_takes_jobs_while_stopping(void)
{
    load_t load;
    fleet_start(&fleet, 1, 1, kRunnerCount);
    start_load(&load, 2000, 600);
    wait_ledger("running", kLoadJobCount);
    fleet_signal(&fleet, 0, SIGTERM);
    process_wait_for(is_first_node_unready, NULL, "the node stops");
    CU_ASSERT_EQUAL(fleet_submit_job(&fleet, 0, 2999, 2, 20), 200);
    CU_ASSERT_EQUAL(join_load(&load, 200), kLoadJobCount);
    CU_ASSERT_EQUAL(process_join(&fleet.nodes[0].process), 0);
    fleet.nodes[0].is_running = false;
    CU_ASSERT_EQUAL(fleet_read_counter(&fleet, "doubles"), 0);
    fleet_stop(&fleet);
}

static bool
is_job_served(void *state)
{
    uint64_t *id = state;
    return fleet_submit_job(&fleet, 1, (*id)++, 1, 10) == 200;
}

static void
test_killed_owner_is_replaced(void)
{
    uint64_t id = 5000;
    fleet_start(&fleet, 1, 3, kRunnerCount);
    for (uint32_t i = 0; i < fleet.node_count; i++) {
        if (i != 1) {
            fleet_signal(&fleet, i, SIGKILL);
            process_join(&fleet.nodes[i].process);
            fleet.nodes[i].is_running = false;
        }
    }
    process_wait_for(is_job_served, &id, "a job is served by the last node");
    CU_ASSERT_EQUAL(fleet_read_counter(&fleet, "doubles"), 0);
    fleet_stop(&fleet);
}

static void
test_frozen_owner_is_replaced(void)
{
    uint64_t id = 6000;
    fleet_start(&fleet, 1, 2, kRunnerCount);
    fleet_signal(&fleet, 0, SIGSTOP);
    process_wait_for(is_job_served, &id,
                     "a job is served while the other node is frozen");
    fleet_signal(&fleet, 0, SIGCONT);
    fleet_wait_ready(&fleet, 0);
    CU_ASSERT_EQUAL(fleet_submit_job(&fleet, 0, 6999, 2, 10), 200);
    CU_ASSERT_EQUAL(fleet_read_counter(&fleet, "doubles"), 0);
    fleet_stop(&fleet);
}

static void
test_jobs_run_during_store_outage(void)
{
    fleet_start(&fleet, 1, 2, kRunnerCount);
    fleet_set_platform(&fleet, "down=1");
    for (uint32_t i = 0; i < 10; i++) {
        CU_ASSERT_EQUAL(fleet_submit_job(&fleet, i % 2, 100 + i, 2, 150), 200);
    }
    fleet_set_platform(&fleet, "down=0");
    fleet_set_platform(&fleet, "lost=40");
    for (uint32_t i = 0; i < 10; i++) {
        CU_ASSERT_EQUAL(fleet_submit_job(&fleet, i % 2, 200 + i, 2, 50), 200);
    }
    fleet_set_platform(&fleet, "lost=0");
    fleet_set_platform(&fleet, "compact=1");
    CU_ASSERT_EQUAL(fleet_submit_job(&fleet, 0, 300, 2, 50), 200);
    fleet_stop(&fleet);
}

/// Sends a request to the extra queue, which config=1 adds to the
/// configuration and config=0 removes.
///
/// @return the HTTP status
static uint32_t
request_extra_queue(uint32_t node)
{
    caller_request_t request = {
        .method = "GET", .host_header = "Host: h", .timeout_ms = 2000};
    snprintf(request.url, sizeof request.url, "http://%s:8161/extra/",
             fleet.nodes[node].address);
    caller_send_all(&request, 1);
    uint32_t status = request.status;
    caller_free_replies(&request, 1);
    return status;
}

static bool
is_extra_queue_served(void *state)
{
    (void)state;
    return request_extra_queue(0) == 200 && request_extra_queue(1) == 200;
}

static bool
is_extra_queue_gone(void *state)
{
    (void)state;
    return request_extra_queue(0) == 404 && request_extra_queue(1) == 404;
}

static void
test_configuration_takes_effect(void)
{
    fleet_start(&fleet, 1, 2, kRunnerCount);
    CU_ASSERT_EQUAL(request_extra_queue(0), 404);
    fleet_set_platform(&fleet, "config=1");
    process_wait_for(is_extra_queue_served, NULL, "a new queue is served");
    fleet_set_platform(&fleet, "garbage=1");
    CU_ASSERT_EQUAL(fleet_submit_job(&fleet, 0, 1, 2, 10), 200);
    CU_ASSERT_EQUAL(request_extra_queue(0), 200);
    fleet_set_platform(&fleet, "config=0");
    process_wait_for(is_extra_queue_gone, NULL,
                     "a removed queue is not served");
    fleet_stop(&fleet);
}

static bool
is_first_node_sole_owner(void *state)
{
    (void)state;
    return fleet_count_owned_runners(&fleet, 0) == kRunnerCount;
}

/// The partitions of a killed process are reassigned as soon as the node is
/// started again, without waiting for their owner's time to live to expire.
static void
test_restarted_owner_leaves_earlier_groups(void)
{
    fleet_start(&fleet, 1, 2, kRunnerCount);
    process_wait_for(is_first_node_sole_owner, NULL,
                     "the first node owns all runners");
    uint64_t before = fleet_read_counter(&fleet, "leaves");
    fleet_signal(&fleet, 0, SIGKILL);
    process_join(&fleet.nodes[0].process);
    fleet_start_node(&fleet, 0);
    fleet_wait_all_owned(&fleet, kRunnerCount);
    CU_ASSERT(fleet_read_counter(&fleet, "leaves") > before);
    fleet_stop(&fleet);
}

static bool
is_served_by_all(void *state)
{
    uint64_t *id = state;
    bool is_served = true;
    for (uint32_t i = 0; i < fleet.node_count; i++) {
        is_served &= fleet_submit_job(&fleet, i, (*id)++, 2, 10) == 200;
    }
    return is_served;
}

/// The store applies the first records of the nodes again after later ones, as
/// when writes take effect late.
static void
test_overwritten_records_are_republished(void)
{
    uint64_t id = 8000;
    fleet_start(&fleet, 1, 2, kRunnerCount);
    // The owner's first record says that it owns no targets yet.
    uint64_t before = fleet_read_counter(&fleet, "node_records");
    fleet_set_platform(&fleet, "late_nodes=1");
    wait_ledger("node_records", before + fleet.node_count + 1);
    process_wait_for(is_served_by_all, &id, "both nodes know the owner");
    // If the record stayed wrong, the other node would join as an owner and
    // stay one.
    process_wait_for(is_first_node_sole_owner, NULL, "there is one owner");
    fleet_stop(&fleet);
}

static bool
is_name_count(void *state)
{
    const uint64_t *count = state;
    return fleet_read_counter(&fleet, "node_names") == *count;
}

/// The record of a killed node is deleted. So is that of a node that is frozen
/// for long; the node publishes it again when it continues.
static void
test_records_of_gone_nodes_are_deleted(void)
{
    uint64_t all = 3;
    uint64_t left = 2;
    fleet_start(&fleet, 1, 3, kRunnerCount);
    process_wait_for(is_name_count, &all, "all nodes have a record");
    fleet_signal(&fleet, 2, SIGKILL);
    process_join(&fleet.nodes[2].process);
    process_wait_for(is_name_count, &left,
                     "the record of a killed node is deleted");
    fleet_start_node(&fleet, 2);
    process_wait_for(is_name_count, &all, "a restarted node has a record");
    fleet_signal(&fleet, 1, SIGSTOP);
    process_wait_for(is_name_count, &left,
                     "the record of a frozen node is deleted");
    fleet_signal(&fleet, 1, SIGCONT);
    process_wait_for(is_name_count, &all, "its record is published again");
    CU_ASSERT_EQUAL(fleet_submit_job(&fleet, 1, 8999, 2, 10), 200);
    fleet_stop(&fleet);
}

static void
test_silent_store_connections_are_replaced(void)
{
    fleet_start(&fleet, 1, 2, kRunnerCount);
    fleet_set_proxy(&fleet, "forget=1");
    fleet_set_platform(&fleet, "config=1");
    process_wait_for(is_extra_queue_served, NULL,
                     "changes arrive over new connections to the store");
    fleet_stop(&fleet);
}

static void
test_draining_runner_gets_no_start(void)
{
    fleet_start(&fleet, 1, 2, 2);
    fleet_set_platform(&fleet, "runner=0&mode=draining");
    for (uint32_t i = 0; i < 60; i++) {
        CU_ASSERT_EQUAL(fleet_submit_job(&fleet, i % 2, 400 + i, 2, 60), 200);
    }
    CU_ASSERT_EQUAL(fleet_read_counter(&fleet, "drained"), 0);
    fleet_stop(&fleet);
}

static void
test_unsupported_jobs_are_refused(void)
{
    fleet_start(&fleet, 1, 1, 2);
    caller_request_t request;
    fleet_fill_job(&fleet, 0, 9, 1, 10, &request);
    free((char *)request.body);
    request.body = "{\"task_spec\":\"1\",\"steps\":[{\"count\":1}]}";
    caller_send_all(&request, 1);
    CU_ASSERT_EQUAL(request.status, 503);
    CU_ASSERT(request.retry_after_s > 0);
    CU_ASSERT_EQUAL(fleet_read_counter(&fleet, "starts"), 0);
    caller_free_replies(&request, 1);
    fleet_stop(&fleet);
}

int
main(void)
{
    const CU_TestInfo tests[] = {
        {"a job is served", test_job_is_served},
        {"a disconnected caller stops its job",
         test_disconnected_caller_stops_its_job},
        {"a graceful stop loses no job", test_graceful_stop_loses_no_job},
        {"the last owner takes jobs while it is stopping",
         test_last_owner_takes_jobs_while_stopping},
        {"a killed owner is replaced", test_killed_owner_is_replaced},
        {"a frozen owner is replaced", test_frozen_owner_is_replaced},
        {"jobs run during an outage of the store",
         test_jobs_run_during_store_outage},
        {"the configuration takes effect", test_configuration_takes_effect},
        {"a restarted owner leaves the groups of its earlier process",
         test_restarted_owner_leaves_earlier_groups},
        {"records overwritten by late writes are published again",
         test_overwritten_records_are_republished},
        {"records of gone nodes are deleted",
         test_records_of_gone_nodes_are_deleted},
        {"silent connections to the store are replaced",
         test_silent_store_connections_are_replaced},
        {"a draining runner gets no start",
         test_draining_runner_gets_no_start},
        {"unsupported kinds of jobs are refused",
         test_unsupported_jobs_are_refused},
        CU_TEST_INFO_NULL,
    };
    apr_initialize();
    return suite_run("node", tests);
}
