/// The platform is down, loses replies, trims its log or lists no VM, and
/// operators edit concurrently.
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
write_section_file(uint32_t rate)
{
    char path[256];
    snprintf(path, sizeof path, "%s/section-%u.json", cluster.folder, rate);
    FILE *file = fopen(path, "w");
    fprintf(file, "{\"quota\": {\"tasks_per_s\": %u}}", rate);
    fclose(file);
}

/// Publishes a section with a quota of `rate` tasks per second through the
/// agent of a VM.
static int
put_section(uint32_t vm, const char *section, uint32_t rate,
            const char *options)
{
    char arguments[512];
    write_section_file(rate);
    snprintf(arguments, sizeof arguments,
             "%s config put %s %s/section-%u.json", options, section,
             cluster.folder, rate);
    return cluster_run_jtctl(&cluster, vm, 7402, output, sizeof output,
                             arguments);
}

/// @return the offset of the accepted edit in the output of jtctl; 0 if none
static unsigned long
read_accepted_offset(void)
{
    unsigned long offset = 0;
    const char *at = strstr(output, "offset ");
    if (at != NULL) {
        sscanf(at, "offset %lu", &offset);
    }
    return offset;
}

/// @return whether every dispatcher applies the configuration up to an offset
static bool
is_in_force_everywhere(void *state)
{
    unsigned long offset = *(unsigned long *)state;
    for (uint32_t vm = 0; vm < cluster.vm_count; vm++) {
        unsigned long found = 0;
        cluster_run_jtctl(&cluster, vm, 7401, output, sizeof output, "dump");
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
    CU_ASSERT_EQUAL(put_section(0, "counter", 1000, ""), 0);
    unsigned long offset = read_accepted_offset();
    CU_ASSERT(offset > 0);
    process_wait_for(is_in_force_everywhere, &offset, "an edit is in force");
}

static void
test_invalid_section(void)
{
    char path[256];
    char arguments[512];
    snprintf(path, sizeof path, "%s/bad.json", cluster.folder);
    FILE *file = fopen(path, "w");
    fprintf(file, "{\"quota\": {\"tasks_per_s\": -1}}");
    fclose(file);
    snprintf(arguments, sizeof arguments, "config put counter %s", path);
    CU_ASSERT_NOT_EQUAL(
        cluster_run_jtctl(&cluster, 0, 7402, output, sizeof output, arguments),
        0);
    CU_ASSERT_PTR_NOT_NULL(strstr(output, "quota.tasks_per_s: found -1"));
}

/// Two operators edit one section from the same base: only the first edit is
/// accepted.
static void
test_concurrent_edits(void)
{
    int first = put_section(0, "race", 10, "--base 0");
    int second = put_section(1, "race", 20, "--base 0");
    CU_ASSERT_EQUAL(first, 0);
    CU_ASSERT_NOT_EQUAL(second, 0);
    CU_ASSERT_PTR_NOT_NULL(strstr(output, "config_base"));
    CU_ASSERT_EQUAL(put_section(1, "other", 20, "--base 0"), 0);
}

/// The reply to the append is lost after the write: the operator still gets
/// the result of the edit, and a repeated edit is not applied twice.
static void
test_lost_reply(void)
{
    cluster_set_platform(&cluster, "lose_replies=1");
    CU_ASSERT_EQUAL(put_section(0, "lost", 30, "--edit-id lost-1 --base 0"),
                    0);
    unsigned long offset = read_accepted_offset();
    CU_ASSERT(offset > 0);
    CU_ASSERT_EQUAL(put_section(0, "lost", 30, "--edit-id lost-1 --base 0"),
                    0);
    CU_ASSERT_EQUAL(read_accepted_offset(), offset);
    CU_ASSERT_EQUAL(put_section(1, "lost", 30, "--edit-id lost-1 --base 0"),
                    0);
    CU_ASSERT_EQUAL(read_accepted_offset(), offset);
}

/// Submits a job of one task for a team.
///
/// @return the HTTP status
static uint32_t
submit_for_team(const char *team, caller_request_t *request)
{
    char id[kCallerIdBytes];
    char job[kJobBytes];
    snprintf(job, sizeof job,
             "{\"team\":\"%s\",\"tasks\":[{\"kind\":\"quote\"}]}", team);
    cluster_create_job_id(&cluster, 0, id);
    return cluster_submit(&cluster, 0, id, job, request);
}

/// Jobs of a team over its quota and of an unknown team are refused and not
/// run.
static void
test_team_refusals(void)
{
    caller_request_t request;
    CU_ASSERT_EQUAL(put_section(0, "tiny", 1, "--base 0"), 0);
    unsigned long offset = read_accepted_offset();
    process_wait_for(is_in_force_everywhere, &offset,
                     "a small quota is in force");
    CU_ASSERT_EQUAL(submit_for_team("tiny", &request), 200);
    caller_free_replies(&request, 1);
    uint64_t starts = cluster_read_counter(&cluster, "starts");
    CU_ASSERT_EQUAL(submit_for_team("tiny", &request), 429);
    CU_ASSERT(request.has_not_run_header);
    CU_ASSERT(request.retry_after_s > 0);
    caller_free_replies(&request, 1);
    CU_ASSERT_EQUAL(submit_for_team("nobody", &request), 422);
    CU_ASSERT(request.has_not_run_header);
    caller_free_replies(&request, 1);
    CU_ASSERT_EQUAL(cluster_read_counter(&cluster, "starts"), starts);
}

/// While the platform is down, jobs complete and edits are not accepted.
static void
test_outage(void)
{
    char id[kCallerIdBytes];
    char job[kJobBytes];
    caller_request_t request;
    cluster_set_platform(&cluster, "outage=1");
    CU_ASSERT_NOT_EQUAL(put_section(0, "counter", 77, ""), 0);
    cluster_format_job(job, sizeof job, 4, 5, 10000);
    cluster_create_job_id(&cluster, 0, id);
    CU_ASSERT_EQUAL(cluster_submit(&cluster, 0, id, job, &request), 200);
    caller_free_replies(&request, 1);
    cluster_set_platform(&cluster, "outage=0");
}

/// An agent that starts while the platform is down gets the configuration and
/// the list of VMs from a peer.
static void
test_start_during_outage(void)
{
    cluster_set_platform(&cluster, "outage=1");
    for (cluster_process_t part = kClusterProcessAgent;
         part <= kClusterProcessDispatch; part++) {
        cluster_signal(&cluster, 0, part, SIGKILL);
        cluster_join_process(&cluster, 0, part);
        cluster_start_process(&cluster, 0, part);
    }
    cluster_wait_ready(&cluster, 0);
    cluster_set_platform(&cluster, "outage=0");
}

/// Many edits cause snapshots and the log is trimmed: an agent that starts
/// afterwards has the same document.
static void
test_snapshot_and_trim(void)
{
    char first[kOutputBytes];
    char query[64];
    caller_request_t request;
    for (uint32_t i = 0; i < kEdits; i++) {
        // Each section is edited through one agent only: another agent may not
        // have read the last edit yet and would send a stale base.
        bool is_first_section = i % 3 == 0;
        CU_ASSERT_EQUAL(put_section(is_first_section ? 0 : 1,
                                    is_first_section ? "snap" : "trim",
                                    100 + i, ""),
                        0);
    }
    unsigned long offset = read_accepted_offset();
    CU_ASSERT(offset > 20);
    process_wait_for(is_in_force_everywhere, &offset,
                     "all edits are in force");
    cluster_run_jtctl(&cluster, 1, 7402, first, sizeof first,
                      "config get snap");
    caller_send(&request, "GET", NULL, "http://127.%u.0.1:7300/standin/log",
                cluster.network);
    // Keeps the records after the newest snapshot, which is at most 10 + 6
    // records old.
    snprintf(query, sizeof query, "trim_to=%lu",
             (unsigned long)caller_reply_number(&request, "next") - 18);
    caller_free_replies(&request, 1);
    cluster_set_platform(&cluster, query);
    for (cluster_process_t part = kClusterProcessAgent;
         part <= kClusterProcessDispatch; part++) {
        cluster_signal(&cluster, 0, part, SIGKILL);
        cluster_join_process(&cluster, 0, part);
        cluster_start_process(&cluster, 0, part);
    }
    process_wait_for(is_in_force_everywhere, &offset, "the document is back");
    cluster_run_jtctl(&cluster, 0, 7402, output, sizeof output,
                      "config get snap");
    CU_ASSERT_STRING_EQUAL(strchr(first, '\n'), strchr(output, '\n'));
}

/// @return whether the agents of all VMs have refused a list of VMs
static bool
have_agents_refused_list(void *state)
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

/// A list of VMs without any VM is refused: ids keep their dispatchers.
static void
test_empty_list(void)
{
    char id[kCallerIdBytes];
    char job[kJobBytes];
    caller_request_t request;
    caller_request_t put_list;
    cluster_format_job(job, sizeof job, 2, 5, 10000);
    cluster_create_job_id(&cluster, 0, id);
    CU_ASSERT_EQUAL(cluster_submit(&cluster, 0, id, job, &request), 200);
    caller_free_replies(&request, 1);
    caller_send(&put_list, "PUT", "{\"vms\":[]}",
                "http://127.%u.0.1:7300/standin/vms", cluster.network);
    caller_free_replies(&put_list, 1);
    process_wait_for(have_agents_refused_list, NULL,
                     "an agent refuses the list");
    CU_ASSERT_EQUAL(cluster_submit(&cluster, 1, id, job, &request), 200);
    caller_free_replies(&request, 1);
    cluster_publish_vms(&cluster, UINT32_MAX, UINT32_MAX);
}

static void
test_config_status(void)
{
    CU_ASSERT_EQUAL(cluster_run_jtctl(&cluster, 0, 7402, output, sizeof output,
                                      "config status"),
                    0);
    CU_ASSERT_PTR_NOT_NULL(strstr(output, "vm 12 dispatch"));
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"in force everywhere", test_in_force_everywhere},
        {"invalid section", test_invalid_section},
        {"concurrent edits", test_concurrent_edits},
        {"lost reply", test_lost_reply},
        {"refusals", test_team_refusals},
        {"outage", test_outage},
        {"start during an outage", test_start_during_outage},
        {"snapshot and trim", test_snapshot_and_trim},
        {"empty list", test_empty_list},
        {"status", test_config_status},
        CU_TEST_INFO_NULL};
    apr_initialize();
    cluster_start(&cluster,
                  &(cluster_options_t){.vms = 2,
                                       .agent_settings =
                                           "\"snapshot_every\": 10,"
                                           "\"request_limit_ms\": 500,"});
    int code = suite_run("platform", tests);
    cluster_stop(&cluster);
    return code;
}
