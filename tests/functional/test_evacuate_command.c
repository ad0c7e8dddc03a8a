/// An operator evacuates data centres with jtctl.
#include <apr_general.h>
#include <stdio.h>
#include <string.h>

#include "support/cluster.h"
#include "support/suite.h"

enum {
    kAgentPort = 7402,
    kDispatchPort = 7401,
    kFrontPort = 7400,
    kOutputBytes = 16384,
    kJobBytes = 4096,
    kSlots = 4, ///< of all targets of a data centre
    kTaskMs = 800,
    kRounds = 10 ///< far more than pass until the evacuation is in force
};

static cluster_t cluster;
static char output[kOutputBytes];

static int
run_on_agent(const char *arguments)
{
    return cluster_run_jtctl(&cluster, 0, kAgentPort, output, sizeof output,
                             arguments);
}

/// A text that the dump of a process must contain.
typedef struct {
    uint16_t port;
    const char *text;
} dump_wait_t;

static bool
has_dump_text(void *state)
{
    const dump_wait_t *wait = state;
    cluster_run_jtctl(&cluster, 0, wait->port, output, sizeof output, "dump");
    return strstr(output, wait->text) != NULL;
}

static void
wait_dump(uint16_t port, const char *text)
{
    dump_wait_t wait = {.port = port, .text = text};
    process_wait_for(has_dump_text, &wait, text);
}

static void
evacuate_first_dc(void)
{
    CU_ASSERT_EQUAL(run_on_agent("evacuate 1"), 0);
    CU_ASSERT_PTR_NOT_NULL(strstr(output, "accepted at offset"));
    wait_dump(kDispatchPort, "\"evacuated\":true");
    wait_dump(kFrontPort, "\"mint_dc\":2");
}

static void
restore_first_dc(void)
{
    CU_ASSERT_EQUAL(run_on_agent("restore 1"), 0);
    wait_dump(kDispatchPort, "\"evacuated\":false");
    wait_dump(kFrontPort, "\"mint_dc\":1");
}

/// Submits a job of one task under a new id to the first data centre.
static uint32_t
submit_short_job(char id[kCallerIdBytes])
{
    char job[kJobBytes];
    caller_request_t request;
    cluster_format_job(job, sizeof job, 1, 10, 20000);
    cluster_create_job_id(&cluster, 0, id);
    uint32_t status = cluster_submit(&cluster, 0, id, job, &request);
    caller_free_replies(&request, 1);
    return status;
}

static bool
is_minted_in(const char *id, const char *dc)
{
    return strncmp(id, dc, 4) == 0;
}

/// New jobs of the evacuated data centre run in the other one; an id from
/// before is refused.
static void
test_jobs_run_in_the_other_data_centre(void)
{
    char id[kCallerIdBytes];
    char old_id[kCallerIdBytes];
    char job[kJobBytes];
    caller_request_t request;
    cluster_create_job_id(&cluster, 0, old_id);
    CU_ASSERT(is_minted_in(old_id, "0001"));
    evacuate_first_dc();
    CU_ASSERT_EQUAL(run_on_agent("status"), 0);
    CU_ASSERT_PTR_NOT_NULL(strstr(output, "dc 1 evacuated at offset"));
    CU_ASSERT_EQUAL(submit_short_job(id), 200);
    CU_ASSERT(is_minted_in(id, "0002"));
    uint64_t before = cluster_read_counter(&cluster, "starts");
    cluster_format_job(job, sizeof job, 1, 10, 20000);
    CU_ASSERT_EQUAL(cluster_submit(&cluster, 0, old_id, job, &request), 503);
    CU_ASSERT(request.has_not_run_header);
    CU_ASSERT(request.retry_after_s > 0);
    CU_ASSERT(caller_reply_contains(&request, "\"kind\":\"evacuated\""));
    caller_free_replies(&request, 1);
    CU_ASSERT_EQUAL(cluster_read_counter(&cluster, "starts"), before);
    restore_first_dc();
    CU_ASSERT_EQUAL(run_on_agent("status"), 0);
    CU_ASSERT_PTR_NULL(strstr(output, "evacuated"));
    CU_ASSERT_EQUAL(submit_short_job(id), 200);
    CU_ASSERT(is_minted_in(id, "0001"));
}

/// What runs ends, what waits is not started.
static void
test_waiting_tasks_do_not_run(void)
{
    char id[kCallerIdBytes];
    char job[kJobBytes];
    caller_batch_t batch;
    caller_request_t request;
    uint64_t before = cluster_read_counter(&cluster, "starts");
    cluster_format_job(job, sizeof job, kRounds * kSlots, kTaskMs, 20000);
    cluster_create_job_id(&cluster, 0, id);
    cluster_fill_submission(&cluster, 0, id, job, &request);
    caller_start_batch(&batch, &request, 1);
    cluster_wait_starts(&cluster, before + kSlots);
    evacuate_first_dc();
    uint64_t in_force = cluster_read_counter(&cluster, "starts");
    caller_join_batch(&batch);
    CU_ASSERT_EQUAL(request.status, 503);
    CU_ASSERT_FALSE(request.has_not_run_header);
    CU_ASSERT(caller_reply_contains(&request, "\"state\":\"done\""));
    CU_ASSERT(caller_reply_contains(&request, "\"state\":\"not_run\""));
    CU_ASSERT_EQUAL(cluster_read_counter(&cluster, "starts"), in_force);
    caller_free_replies(&request, 1);
    restore_first_dc();
}

/// A dispatcher that starts again learns of the evacuation with its
/// configuration, without which it runs nothing.
static void
test_restarted_dispatcher(void)
{
    char id[kCallerIdBytes];
    evacuate_first_dc();
    cluster_signal(&cluster, 0, kClusterProcessDispatch, SIGKILL);
    cluster_join_process(&cluster, 0, kClusterProcessDispatch);
    CU_ASSERT_EQUAL(submit_short_job(id), 200);
    cluster_start_process(&cluster, 0, kClusterProcessDispatch);
    wait_dump(kDispatchPort, "\"evacuated\":true");
    restore_first_dc();
}

static void
test_invalid_data_centre(void)
{
    CU_ASSERT_NOT_EQUAL(run_on_agent("evacuate east"), 0);
    CU_ASSERT_NOT_EQUAL(run_on_agent("evacuate 0"), 0);
    CU_ASSERT_NOT_EQUAL(run_on_agent("evacuate"), 0);
}

int
main(void)
{
    const CU_TestInfo tests[] = {
        {"jobs run in the other data centre",
         test_jobs_run_in_the_other_data_centre},
        {"waiting tasks do not run", test_waiting_tasks_do_not_run},
        {"a restarted dispatcher", test_restarted_dispatcher},
        {"an invalid data centre", test_invalid_data_centre},
        CU_TEST_INFO_NULL,
    };
    apr_initialize();
    cluster_start(&cluster,
                  &(cluster_options_t){.dcs = 2, .targets = 2, .slots = 2});
    int code = suite_run("evacuate_command", tests);
    cluster_stop(&cluster);
    return code;
}
