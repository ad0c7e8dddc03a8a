/// A seeded schedule of kills, suspensions, cuts, outages of the platform,
/// silent connections, failing targets and planned stops under load. At the
/// end, the starts that the targets counted are checked against the answers.
///
/// JT_SEED sets the seed, JT_STEPS the number of faults.
#include <apr_general.h>
#include <apr_thread_proc.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/rng.h"
#include "support/cluster.h"
#include "support/suite.h"

enum {
    kClients = 6,
    kMaxJobsPerClient = 4000,
    kTasks = 3,
    kJobBytes = 1024,
    kStepUs = 150000,
    kDefaultSteps = 24,
    kMaxAttempts = 3
};

/// A job that a client submitted, and the answers it got.
typedef struct {
    char id[kCallerIdBytes];
    char *final_answer; ///< the first final answer, or NULL
    bool is_complete;
    bool has_not_run_header;
    bool is_contradicted; ///< a later final answer differs
} submission_t;

typedef struct {
    apr_thread_t *thread;
    rng_t rng;
    submission_t *submissions;
    uint32_t count;
} client_t;

static cluster_t cluster;
static client_t clients[kClients];
static _Atomic bool is_finished;

/// @return whether an answer is final, so that each later final answer must be
///         equal to it. An answer that the dispatcher is lost or unreachable,
///         that the job is forgotten or runs, or that the request timed out is
///         not.
static bool
is_final(const caller_request_t *request)
{
    return request->status != 0 &&
           !caller_reply_contains(request, "\"kind\":\"home_lost\"") &&
           !caller_reply_contains(request, "\"kind\":\"home_unreachable\"") &&
           !caller_reply_contains(request, "\"kind\":\"forgotten\"") &&
           !caller_reply_contains(request, "\"kind\":\"timeout\"") &&
           !caller_reply_contains(request, "\"state\":\"running\"") &&
           !caller_reply_contains(request, "\"state\":\"queued\"");
}

/// Records the first final answer, and compares later ones with it.
static void
record_answer(submission_t *submission, const caller_request_t *request)
{
    if (!is_final(request)) {
        return;
    }
    if (submission->final_answer == NULL) {
        submission->final_answer = strdup(request->reply);
        submission->is_complete = request->status == 200;
        submission->has_not_run_header = request->has_not_run_header;
        return;
    }
    if (strcmp(submission->final_answer, request->reply) != 0) {
        submission->is_contradicted = true;
        fprintf(stderr, "%s\nfirst: %s\nthen: %s\n", submission->id,
                submission->final_answer, request->reply);
    }
}

/// Submits one job, up to kMaxAttempts times, through randomly chosen fronts.
static void
submit_job(client_t *client, const char *job)
{
    caller_request_t request;
    uint32_t front = rng_below(&client->rng, cluster.vm_count);
    caller_send(&request, "POST", "", "http://%s:8080/v1/jobs",
                cluster.vms[front].address);
    bool has_id = request.status == 307;
    submission_t *submission = &client->submissions[client->count];
    if (has_id) {
        snprintf(submission->id, sizeof submission->id, "%s",
                 strrchr(request.location, '/') + 1);
        client->count++;
    }
    caller_free_replies(&request, 1);
    for (uint32_t i = 0; has_id && i < kMaxAttempts; i++) {
        cluster_submit(&cluster, front, submission->id, job, &request);
        record_answer(submission, &request);
        caller_free_replies(&request, 1);
        if (submission->final_answer != NULL &&
            rng_below(&client->rng, 4) != 0) {
            return;
        }
        front = rng_below(&client->rng, cluster.vm_count);
    }
}

static void *APR_THREAD_FUNC
run_client(apr_thread_t *thread, void *owner)
{
    (void)thread;
    client_t *client = owner;
    while (!atomic_load(&is_finished) && client->count < kMaxJobsPerClient) {
        char job[kJobBytes];
        cluster_format_job(job, sizeof job, kTasks,
                           5 + rng_below(&client->rng, 80), 3000);
        submit_job(client, job);
    }
    return NULL;
}

static void
kill_and_restart(uint32_t vm, cluster_process_t part)
{
    cluster_signal(&cluster, vm, part, SIGKILL);
    cluster_join_process(&cluster, vm, part);
    apr_sleep(kStepUs);
    cluster_start_process(&cluster, vm, part);
}

static void
fault_kill(rng_t *rng)
{
    kill_and_restart(rng_below(rng, cluster.vm_count),
                     rng_below(rng, kClusterProcessCount));
}

static void
fault_freeze(rng_t *rng)
{
    uint32_t vm = rng_below(rng, cluster.vm_count);
    cluster_process_t part = rng_below(rng, kClusterProcessCount);
    cluster_signal(&cluster, vm, part, SIGSTOP);
    apr_sleep(kStepUs * (1 + rng_below(rng, 6)));
    cluster_signal(&cluster, vm, part, SIGCONT);
}

static void
fault_stop(rng_t *rng)
{
    uint32_t vm = rng_below(rng, cluster.vm_count);
    cluster_signal(&cluster, vm, kClusterProcessDispatch, SIGTERM);
    cluster_join_process(&cluster, vm, kClusterProcessDispatch);
    cluster_start_process(&cluster, vm, kClusterProcessDispatch);
}

static void
fault_silence(rng_t *rng)
{
    (void)rng;
    cluster_set_proxy(&cluster, "forget=1");
}

static void
fault_cut(rng_t *rng)
{
    char query[16];
    snprintf(query, sizeof query, "cut=%u", 1 + rng_below(rng, 2));
    cluster_set_proxy(&cluster, query);
    apr_sleep(kStepUs * (1 + rng_below(rng, 6)));
    cluster_set_proxy(&cluster, "cut=0");
}

static void
fault_platform(rng_t *rng)
{
    static const char *const queries[] = {"outage=1", "slow_ms=300",
                                          "lose_replies=3"};
    cluster_set_platform(&cluster, queries[rng_below(rng, 3)]);
    apr_sleep(kStepUs * (1 + rng_below(rng, 3)));
    cluster_set_platform(&cluster, "outage=0&slow_ms=0&lose_replies=0");
}

static void
fault_targets(rng_t *rng)
{
    static const char *const modes[] = {"close", "close_reused", "half",
                                        "twice", "late",         "silent",
                                        "fail",  "refuse"};
    char query[64];
    snprintf(query, sizeof query, "runner=%u&mode=%s&count=%u",
             rng_below(rng, 4), modes[rng_below(rng, 8)],
             1 + rng_below(rng, 20));
    cluster_set_targets(&cluster, 1 + rng_below(rng, 2), query);
}

static void
fault_leaving(rng_t *rng)
{
    uint32_t dc = 1 + rng_below(rng, 2);
    char query[64];
    snprintf(query, sizeof query, "runner=%u&leaving=1", rng_below(rng, 4));
    cluster_set_targets(&cluster, dc, query);
    apr_sleep(kStepUs);
    cluster_set_targets(&cluster, dc, "runner=all&leaving=0");
}

static void
fault_vm_list(rng_t *rng)
{
    // The list lacks a VM that is alive.
    cluster_publish_vms(&cluster, rng_below(rng, cluster.vm_count),
                        UINT32_MAX);
    apr_sleep(kStepUs);
    cluster_publish_vms(&cluster, UINT32_MAX, UINT32_MAX);
}

typedef void (*fault_t)(rng_t *rng);

static const fault_t fault_table[] = {
    fault_kill,    fault_freeze,   fault_stop,    fault_silence,
    fault_cut,     fault_platform, fault_targets, fault_targets,
    fault_leaving, fault_vm_list};

enum { kFaultCount = sizeof fault_table / sizeof fault_table[0] };

static uint64_t
read_env_number(const char *name, uint64_t default_value)
{
    const char *text = getenv(name);
    return text == NULL ? default_value : strtoull(text, NULL, 10);
}

/// @return the number of starts of a task in both data centres
static uint32_t
count_starts(const char *id, uint32_t task)
{
    uint64_t starts = 0;
    for (uint32_t dc = 1; dc <= 2; dc++) {
        caller_request_t request;
        caller_send(&request, "GET", NULL,
                    "http://127.%u.%u.1:9001/standin/task?id=%s.%u",
                    cluster.network, 100 + dc, id, task);
        starts += caller_reply_number(&request, "starts");
        caller_free_replies(&request, 1);
    }
    return (uint32_t)starts;
}

/// Checks the answers of a job against the starts that the targets counted.
static void
check_submission(const submission_t *submission)
{
    CU_ASSERT_FALSE(submission->is_contradicted);
    for (uint32_t task = 0; task < kTasks; task++) {
        uint32_t starts = count_starts(submission->id, task);
        CU_ASSERT(starts <= 1);
        CU_ASSERT(!submission->is_complete || starts == 1);
        CU_ASSERT(!submission->has_not_run_header || starts == 0);
    }
}

static void
test_schedule(void)
{
    uint64_t seed = read_env_number("JT_SEED", 1);
    uint64_t steps = read_env_number("JT_STEPS", kDefaultSteps);
    rng_t rng = {.state = seed};
    apr_pool_t *pool = NULL;
    apr_status_t status = APR_SUCCESS;
    apr_pool_create(&pool, NULL);
    for (uint32_t i = 0; i < kClients; i++) {
        clients[i].rng.state = seed * 100 + i;
        clients[i].submissions =
            calloc(kMaxJobsPerClient, sizeof(submission_t));
        apr_thread_create(&clients[i].thread, NULL, run_client, &clients[i],
                          pool);
    }
    for (uint64_t step = 0; step < steps; step++) {
        fault_table[rng_below(&rng, kFaultCount)](&rng);
        apr_sleep(rng_below(&rng, kStepUs));
    }
    for (uint32_t vm = 0; vm < cluster.vm_count; vm++) {
        cluster_wait_ready(&cluster, vm);
    }
    atomic_store(&is_finished, true);
    uint32_t jobs = 0;
    uint32_t complete = 0;
    for (uint32_t i = 0; i < kClients; i++) {
        apr_thread_join(&status, clients[i].thread);
        for (uint32_t j = 0; j < clients[i].count; j++) {
            check_submission(&clients[i].submissions[j]);
            complete += clients[i].submissions[j].is_complete;
            free(clients[i].submissions[j].final_answer);
        }
        jobs += clients[i].count;
        free(clients[i].submissions);
    }
    CU_ASSERT_EQUAL(cluster_read_counter(&cluster, "doubled"), 0);
    CU_ASSERT(complete > 0);
    printf("seed %lu: %u jobs, %u complete ", (unsigned long)seed, jobs,
           complete);
    apr_pool_destroy(pool);
}

int
main(void)
{
    static const CU_TestInfo tests[] = {{"seeded schedule", test_schedule},
                                        CU_TEST_INFO_NULL};
    apr_initialize();
    cluster_start(&cluster,
                  &(cluster_options_t){
                      .dcs = 2,
                      .vms = 2,
                      .targets = 4,
                      .has_proxy = true,
                      .dispatch_settings =
                          "\"start_by_ms\": 500,\"lease_limit_ms\": 1000,",
                      .front_settings = "\"silence_limit_ms\": 200,"
                                        "\"reach_limit_ms\": 1000,"
                                        "\"wait_limit_ms\": 3000,"});
    int code = suite_run("schedule", tests);
    cluster_stop(&cluster);
    return code;
}
