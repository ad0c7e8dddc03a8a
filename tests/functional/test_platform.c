/// The platform out, slow, or losing replies; operators that race.
#include <apr_general.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "support/cluster.h"
#include "support/suite.h"

enum { kOutputBytes = 16384, kEdits = 40, kJobBytes = 2048 };

static cluster_t cluster;
static char output[kOutputBytes];

static void
write_section(uint32_t rate)
{
    char path[256];
    snprintf(path, sizeof path, "%s/section-%u.json", cluster.folder, rate);
    FILE *file = fopen(path, "w");
    fprintf(file, "{\"quota\": {\"tasks_per_s\": %u}}", rate);
    fclose(file);
}

/// Publishes a rate for a section through one VM.
static int
put(uint32_t vm, const char *section, uint32_t rate, const char *options)
{
    char arguments[512];
    write_section(rate);
    snprintf(arguments, sizeof arguments,
             "%s config put %s %s/section-%u.json", options, section,
             cluster.folder, rate);
    return cluster_ctl(&cluster, vm, 7402, output, sizeof output, arguments);
}

/// @return the offset that jtctl says an edit was accepted at
static unsigned long
accepted_offset(void)
{
    unsigned long offset = 0;
    const char *at = strstr(output, "offset ");
    if (at != NULL) {
        sscanf(at, "offset %lu", &offset);
    }
    return offset;
}

/// A wait for an offset at every dispatcher.
static bool
is_in_force(void *state)
{
    unsigned long offset = *(unsigned long *)state;
    for (uint32_t vm = 0; vm < cluster.vm_count; vm++) {
        unsigned long found = 0;
        cluster_ctl(&cluster, vm, 7401, output, sizeof output, "dump");
        const char *at = strstr(output, "\"config_offset\":");
        if (at == NULL || sscanf(at + 16, "%lu", &found) != 1 ||
            found < offset) {
            return false;
        }
    }
    return true;
}

static void
test_in_force_everywhere(void)
{
    CU_ASSERT_EQUAL(put(0, "counter", 1000, ""), 0);
    unsigned long offset = accepted_offset();
    CU_ASSERT(offset > 0);
    process_wait_for(is_in_force, &offset, "an edit is in force");
}

static void
test_bad_section(void)
{
    char path[256];
    char arguments[512];
    snprintf(path, sizeof path, "%s/bad.json", cluster.folder);
    FILE *file = fopen(path, "w");
    fprintf(file, "{\"quota\": {\"tasks_per_s\": -1}}");
    fclose(file);
    snprintf(arguments, sizeof arguments, "config put counter %s", path);
    CU_ASSERT_NOT_EQUAL(
        cluster_ctl(&cluster, 0, 7402, output, sizeof output, arguments), 0);
    CU_ASSERT_PTR_NOT_NULL(strstr(output, "quota.tasks_per_s: found -1"));
}

/// Two operators edit one section from the same base: one wins.
static void
test_race(void)
{
    int first = put(0, "race", 10, "--base 0");
    int second = put(1, "race", 20, "--base 0");
    CU_ASSERT_EQUAL(first, 0);
    CU_ASSERT_NOT_EQUAL(second, 0);
    CU_ASSERT_PTR_NOT_NULL(strstr(output, "config_base"));
    CU_ASSERT_EQUAL(put(1, "other", 20, "--base 0"), 0);
}

/// The reply to the append is lost after the write: the operator hears what
/// became of the edit all the same, and a repeat does not apply it twice.
static void
test_lost_reply(void)
{
    cluster_set_platform(&cluster, "lose_replies=1");
    CU_ASSERT_EQUAL(put(0, "lost", 30, "--edit-id lost-1 --base 0"), 0);
    unsigned long offset = accepted_offset();
    CU_ASSERT(offset > 0);
    CU_ASSERT_EQUAL(put(0, "lost", 30, "--edit-id lost-1 --base 0"), 0);
    CU_ASSERT_EQUAL(accepted_offset(), offset);
    CU_ASSERT_EQUAL(put(1, "lost", 30, "--edit-id lost-1 --base 0"), 0);
    CU_ASSERT_EQUAL(accepted_offset(), offset);
}

/// @return the status of a job of one task for a team
static uint32_t
submit_for(const char *team, caller_request_t *request)
{
    char id[kCallerIdBytes];
    char job[kJobBytes];
    snprintf(job, sizeof job,
             "{\"team\":\"%s\",\"tasks\":[{\"kind\":\"quote\"}]}", team);
    cluster_mint(&cluster, 0, id);
    return cluster_submit(&cluster, 0, id, job, request);
}

/// A team over its quota and one that nobody configured are refused, not run.
static void
test_refusals(void)
{
    caller_request_t request;
    CU_ASSERT_EQUAL(put(0, "tiny", 1, "--base 0"), 0);
    unsigned long offset = accepted_offset();
    process_wait_for(is_in_force, &offset, "a small quota is in force");
    CU_ASSERT_EQUAL(submit_for("tiny", &request), 200);
    caller_free(&request, 1);
    uint64_t starts = cluster_ledger(&cluster, "starts");
    CU_ASSERT_EQUAL(submit_for("tiny", &request), 429);
    CU_ASSERT(request.is_not_run);
    CU_ASSERT(request.retry_after_s > 0);
    caller_free(&request, 1);
    CU_ASSERT_EQUAL(submit_for("nobody", &request), 422);
    CU_ASSERT(request.is_not_run);
    caller_free(&request, 1);
    CU_ASSERT_EQUAL(cluster_ledger(&cluster, "starts"), starts);
}

/// While the platform is out, jobs run on and edits are not accepted.
static void
test_outage(void)
{
    char id[kCallerIdBytes];
    char job[kJobBytes];
    caller_request_t request;
    cluster_set_platform(&cluster, "outage=1");
    CU_ASSERT_NOT_EQUAL(put(0, "counter", 77, ""), 0);
    cluster_job(job, sizeof job, 4, 5, 10000);
    cluster_mint(&cluster, 0, id);
    CU_ASSERT_EQUAL(cluster_submit(&cluster, 0, id, job, &request), 200);
    caller_free(&request, 1);
    cluster_set_platform(&cluster, "outage=0");
}

/// An agent that starts during an outage takes all from a peer.
static void
test_start_during_outage(void)
{
    cluster_set_platform(&cluster, "outage=1");
    for (part_t part = kPartAgent; part <= kPartDispatch; part++) {
        cluster_signal(&cluster, 0, part, SIGKILL);
        cluster_join_part(&cluster, 0, part);
        cluster_start_part(&cluster, 0, part);
    }
    cluster_wait_ready(&cluster, 0);
    cluster_set_platform(&cluster, "outage=0");
}

/// Many edits bring snapshots; the log is trimmed; an agent that starts
/// after that has the same document.
static void
test_snapshot_and_trim(void)
{
    char first[kOutputBytes];
    char query[64];
    caller_request_t request;
    for (uint32_t i = 0; i < kEdits; i++) {
        // Each section through one agent: another may not have read the
        // last edit yet, and would name an old base.
        bool is_snap = i % 3 == 0;
        CU_ASSERT_EQUAL(
            put(is_snap ? 0 : 1, is_snap ? "snap" : "trim", 100 + i, ""), 0);
    }
    unsigned long offset = accepted_offset();
    CU_ASSERT(offset > 20);
    process_wait_for(is_in_force, &offset, "all edits are in force");
    cluster_ctl(&cluster, 1, 7402, first, sizeof first, "config get snap");
    caller_ask(&request, "GET", NULL, "http://127.%u.0.1:7300/standin/log",
               cluster.net);
    // Keep the records that follow a snapshot of at most 10 + 6 records ago.
    snprintf(query, sizeof query, "trim_to=%lu",
             (unsigned long)caller_number(&request, "next") - 18);
    caller_free(&request, 1);
    cluster_set_platform(&cluster, query);
    for (part_t part = kPartAgent; part <= kPartDispatch; part++) {
        cluster_signal(&cluster, 0, part, SIGKILL);
        cluster_join_part(&cluster, 0, part);
        cluster_start_part(&cluster, 0, part);
    }
    process_wait_for(is_in_force, &offset, "the document is back");
    cluster_ctl(&cluster, 0, 7402, output, sizeof output, "config get snap");
    CU_ASSERT_STRING_EQUAL(strchr(first, '\n'), strchr(output, '\n'));
}

/// A wait until the agents of both VMs have seen the list.
static bool
is_list_refused(void *state)
{
    (void)state;
    for (uint32_t vm = 0; vm < cluster.vm_count; vm++) {
        char command[256];
        snprintf(command, sizeof command,
                 "grep -q members_refused '%s/%u-agent.log'", cluster.folder,
                 cluster.vms[vm].number);
        if (system(command) != 0) {
            return false;
        }
    }
    return true;
}

/// A platform that lists no VM is not believed: ids keep their homes.
static void
test_empty_list(void)
{
    char id[kCallerIdBytes];
    char job[kJobBytes];
    caller_request_t request;
    caller_request_t put_list;
    cluster_job(job, sizeof job, 2, 5, 10000);
    cluster_mint(&cluster, 0, id);
    CU_ASSERT_EQUAL(cluster_submit(&cluster, 0, id, job, &request), 200);
    caller_free(&request, 1);
    caller_ask(&put_list, "PUT", "{\"vms\":[]}",
               "http://127.%u.0.1:7300/standin/vms", cluster.net);
    caller_free(&put_list, 1);
    process_wait_for(is_list_refused, NULL, "an agent refuses the list");
    CU_ASSERT_EQUAL(cluster_submit(&cluster, 1, id, job, &request), 200);
    caller_free(&request, 1);
    cluster_list_vms(&cluster, UINT32_MAX, UINT32_MAX);
}

static void
test_status(void)
{
    CU_ASSERT_EQUAL(
        cluster_ctl(&cluster, 0, 7402, output, sizeof output, "config status"),
        0);
    CU_ASSERT_PTR_NOT_NULL(strstr(output, "vm 12 dispatch"));
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"in force everywhere", test_in_force_everywhere},
        {"bad section", test_bad_section},
        {"racing operators", test_race},
        {"lost reply", test_lost_reply},
        {"refusals", test_refusals},
        {"outage", test_outage},
        {"start during an outage", test_start_during_outage},
        {"snapshot and trim", test_snapshot_and_trim},
        {"empty list", test_empty_list},
        {"status", test_status},
        CU_TEST_INFO_NULL};
    apr_initialize();
    cluster_start(&cluster,
                  &(cluster_options_t){.vms = 2,
                                       .agent_settings =
                                           "\"snapshot_every\": 10,"
                                           "\"request_limit_ms\": 500,"});
    int code = suite_run("platform", tests);
    cluster_end(&cluster);
    return code;
}
