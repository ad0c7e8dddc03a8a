#include "load/open_loop.h"

#include <apr_strings.h>
#include <apr_thread_proc.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/arena.h"
#include "codec/json.h"
#include "generated/documents.h"
#include "net/http_client.h"
#include "runtime/clock.h"

enum {
    kIdsPerRequest = 64,
    kUrlBytes = 256,
    kMaxTaskJsonBytes = 160,
    kAnswerTimeoutMs = 150000,
    kConnectTimeoutMs = 2000,
    kMaxIdleMs = 20000,
    kBurstDivisor = 10 ///< a burst lasts a tenth of the run
};

typedef struct generator generator_t;

/// Unused ids minted through one front.
typedef struct {
    generator_t *generator;
    uint32_t front;
    arena_t *arena; ///< owns the ids
    const char **ids;
    uint32_t count;
    int64_t expiry_ns; ///< halfway to their start-by deadline
    bool is_requesting;
    struct submission *waiting; ///< jobs that wait for an id
} id_pool_t;

/// A job from its arrival to its answer.
typedef struct submission {
    struct submission *next;
    generator_t *generator;
    uint32_t front;
    uint32_t team;
    char *body;
    char url[kUrlBytes];
    int64_t arrival_ns;
    int64_t ideal_ns;
    uint32_t task_count;
    bool is_cancelled; ///< to be cancelled after half of its ideal time
    loop_timer_t cancel_timer;
} submission_t;

/// A thread that submits a share of the load.
struct generator {
    const load_t *load;
    apr_thread_t *thread;
    arena_t *arena;
    loop_t *loop;
    http_client_t *http;
    rng_t rng;
    loop_timer_t arrival_timer;
    int64_t start_ns;
    int64_t end_ns;
    int64_t next_arrival_ns;
    double mean_interarrival_ns;
    uint32_t outstanding_count; ///< jobs and cancellations without an answer
    bool is_finished;           ///< no more jobs arrive
    id_pool_t id_pools[kLoadMaxFronts];
    load_result_t result;
};

static void send_submission(submission_t *submission, const char *id);

static http_spec_t
make_spec(const char *method, const char *url, const char *body,
          http_done_t on_done, void *owner)
{
    static const char *const headers[] = {"Content-Type: application/json",
                                          "Expect:", NULL};
    return (http_spec_t){
        .method = method,
        .url = url,
        .headers = headers,
        .body = {.data = (const uint8_t *)body,
                 .size_bytes = body == NULL ? 0 : (uint32_t)strlen(body)},
        .deadline_ns = clock_deadline_ns(kAnswerTimeoutMs),
        .connect_limit_ms = kConnectTimeoutMs,
        .idle_trust_ms = kMaxIdleMs,
        .on_done = on_done,
        .owner = owner};
}

static void
stop_if_finished(generator_t *generator)
{
    if (generator->is_finished && generator->outstanding_count == 0) {
        loop_stop(generator->loop);
    }
}

static void
free_submission(submission_t *submission)
{
    loop_timer_clear(submission->generator->loop, &submission->cancel_timer);
    free(submission->body);
    free(submission);
}

/// Counts the outcome of a job.
static void
count_outcome(submission_t *submission, const http_reply_t *reply,
              int64_t now_ns)
{
    load_result_t *result = &submission->generator->result;
    uint64_t response_ns = (uint64_t)(now_ns - submission->arrival_ns);
    if (reply->outcome != kHttpOutcomeAnswered) {
        result->unanswered++;
    }
    else if (reply->status == 200) {
        result->complete++;
        result->complete_tasks += submission->task_count;
        histogram_add(&result->slowdown,
                      response_ns * 1000 / (uint64_t)submission->ideal_ns);
        histogram_add(&result->response, response_ns / 1000);
    }
    else if (reply->has_not_run_header) {
        result->refused++;
        result->first_team_refused += submission->team == 0;
    }
    else if (reply->status == 409) {
        result->cancelled++;
    }
    else {
        result->failed++;
    }
}

static void
on_answer(void *owner, const http_reply_t *reply)
{
    submission_t *submission = owner;
    generator_t *generator = submission->generator;
    count_outcome(submission, reply, clock_now_ns());
    free_submission(submission);
    generator->outstanding_count--;
    stop_if_finished(generator);
}

static void
on_cancelled(void *owner, const http_reply_t *reply)
{
    generator_t *generator = owner;
    (void)reply;
    generator->outstanding_count--;
    stop_if_finished(generator);
}

static void
cancel_submission(loop_timer_t *timer)
{
    submission_t *submission = timer->owner;
    http_spec_t spec = make_spec("DELETE", submission->url, NULL, on_cancelled,
                                 submission->generator);
    submission->generator->outstanding_count++;
    http_client_start(submission->generator->http, &spec);
}

static void
send_submission(submission_t *submission, const char *id)
{
    generator_t *generator = submission->generator;
    const load_t *load = generator->load;
    int64_t now_ns = clock_now_ns();
    snprintf(submission->url, sizeof submission->url, "%s/v1/jobs/%s",
             load->fronts[submission->front], id);
    histogram_add(&generator->result.send_delay,
                  (uint64_t)(now_ns - submission->arrival_ns) / 1000);
    http_spec_t spec = make_spec("PUT", submission->url, submission->body,
                                 on_answer, submission);
    http_client_start(generator->http, &spec);
    if (submission->is_cancelled) {
        loop_timer_set(generator->loop, &submission->cancel_timer,
                       now_ns + submission->ideal_ns / 2);
    }
}

static void
fail_submission(submission_t *submission)
{
    generator_t *generator = submission->generator;
    generator->result.unanswered++;
    generator->outstanding_count--;
    free_submission(submission);
    stop_if_finished(generator);
}

/// Replaces the ids of a pool by those of a reply.
///
/// @return whether the reply was valid
static bool
store_ids(id_pool_t *pool, const http_reply_t *reply)
{
    ids_document_t document;
    error_info_t err = {0};
    arena_destroy(pool->arena);
    pool->arena = arena_create();
    pool->count = 0;
    if (reply->outcome != kHttpOutcomeAnswered || reply->status != 200 ||
        !json_read(reply->body, &ids_document_desc, kErrorKindProtocol,
                   pool->arena, &document, &err)) {
        return false;
    }
    pool->ids =
        apr_palloc(pool->arena, (document.ids_count + 1) * sizeof(char *));
    for (uint32_t i = 0; i < document.ids_count; i++) {
        pool->ids[pool->count++] = document.ids[i].id;
    }
    pool->expiry_ns = clock_deadline_ns(document.start_by_ms / 2);
    return true;
}

static void request_ids(id_pool_t *pool);

static void
on_ids(void *owner, const http_reply_t *reply)
{
    id_pool_t *pool = owner;
    pool->is_requesting = false;
    bool is_valid = store_ids(pool, reply);
    while (pool->waiting != NULL && (!is_valid || pool->count > 0)) {
        submission_t *submission = pool->waiting;
        pool->waiting = submission->next;
        if (is_valid) {
            send_submission(submission, pool->ids[--pool->count]);
        }
        else {
            fail_submission(submission);
        }
    }
    if (pool->waiting != NULL) {
        request_ids(pool);
    }
}

static void
request_ids(id_pool_t *pool)
{
    char url[kUrlBytes];
    generator_t *generator = pool->generator;
    if (pool->is_requesting) {
        return;
    }
    pool->is_requesting = true;
    snprintf(url, sizeof url, "%s/v1/job-ids?count=%d",
             generator->load->fronts[pool->front], kIdsPerRequest);
    http_spec_t spec = make_spec("POST", url, "", on_ids, pool);
    http_client_start(generator->http, &spec);
}

/// @return the job document, as a caller would send it; to be freed
static char *
format_job(const load_t *load, const workload_job_t *job, uint32_t team)
{
    size_t capacity_bytes = 128 + (size_t)job->task_count * kMaxTaskJsonBytes;
    char *text = malloc(capacity_bytes);
    size_t at =
        (size_t)snprintf(text, capacity_bytes,
                         "{\"team\":\"t%u\",\"deadline_ms\":%u,\"tasks\":[",
                         team, load->workload.deadline_ms);
    for (uint32_t i = 0; i < job->task_count; i++) {
        at += (size_t)snprintf(
            text + at, capacity_bytes - at,
            "%s{\"kind\":\"quote\",\"expected_ms\":%u,"
            "\"needs\":{\"processors\":%u},\"payload\":\"ms=%u\"}",
            i > 0 ? "," : "", job->declared_ms[i],
            job->is_unplaceable ? 4000 : 1, job->task_ms[i]);
    }
    snprintf(text + at, capacity_bytes - at, "]}");
    return text;
}

/// Draws a job and submits it, or queues it until ids arrive.
static void
submit_next_job(generator_t *generator)
{
    const load_t *load = generator->load;
    workload_job_t job;
    workload_draw_job(&load->workload, &generator->rng, &job);
    submission_t *submission = calloc(1, sizeof *submission);
    submission->generator = generator;
    submission->front = rng_below(&generator->rng, load->front_count);
    bool is_first_team =
        rng_below(&generator->rng, 100) < load->first_team_percent;
    submission->team =
        is_first_team ? 0 : rng_below(&generator->rng, load->team_count);
    submission->body = format_job(load, &job, submission->team);
    submission->arrival_ns = generator->next_arrival_ns;
    submission->ideal_ns = workload_ideal_ns(&job, load->capacity_milli);
    submission->task_count = job.task_count;
    submission->is_cancelled = job.is_cancelled;
    loop_timer_init(&submission->cancel_timer, cancel_submission, submission);
    generator->result.jobs++;
    generator->result.first_team_jobs += submission->team == 0;
    generator->result.tasks += job.task_count;
    generator->outstanding_count++;
    id_pool_t *pool = &generator->id_pools[submission->front];
    if (pool->count > 0 && clock_now_ns() < pool->expiry_ns) {
        send_submission(submission, pool->ids[--pool->count]);
        return;
    }
    submission->next = pool->waiting;
    pool->waiting = submission;
    request_ids(pool);
}

/// @return the factor on the rate of jobs at a time
static double
rate_factor_at(const generator_t *generator, int64_t at_ns)
{
    int64_t duration_ns = generator->end_ns - generator->start_ns;
    int64_t elapsed_ns = at_ns - generator->start_ns;
    bool is_burst =
        elapsed_ns * 2 >= duration_ns &&
        elapsed_ns * 2 < duration_ns + 2 * duration_ns / kBurstDivisor;
    return is_burst ? generator->load->burst_factor : 1;
}

static void
on_arrival(loop_timer_t *timer)
{
    generator_t *generator = timer->owner;
    while (generator->next_arrival_ns <= clock_now_ns()) {
        if (generator->next_arrival_ns >= generator->end_ns) {
            generator->is_finished = true;
            stop_if_finished(generator);
            return;
        }
        submit_next_job(generator);
        generator->next_arrival_ns += workload_draw_interarrival_ns(
            &generator->rng,
            generator->mean_interarrival_ns /
                rate_factor_at(generator, generator->next_arrival_ns));
    }
    loop_timer_set(generator->loop, timer, generator->next_arrival_ns);
}

static void
init_generator(generator_t *generator, const load_t *load, uint32_t number)
{
    generator->load = load;
    generator->arena = arena_create();
    generator->loop = loop_create();
    generator->http = http_client_create(generator->loop);
    generator->rng.state = load->seed * 1000 + number;
    double rate = (double)load->rate_milli / 1000;
    if (load->work_milli > 0) {
        rate = (double)load->work_milli * 1000 /
               (double)workload_mean_work_us(&load->workload);
    }
    generator->mean_interarrival_ns = (double)NS_PER_S * load->threads / rate;
    generator->start_ns = clock_now_ns();
    generator->end_ns = clock_deadline_ns(load->duration_ms);
    generator->next_arrival_ns =
        generator->start_ns +
        workload_draw_interarrival_ns(&generator->rng,
                                      generator->mean_interarrival_ns);
    for (uint32_t i = 0; i < load->front_count; i++) {
        generator->id_pools[i] =
            (id_pool_t){.generator = generator, .front = i};
    }
    loop_timer_init(&generator->arrival_timer, on_arrival, generator);
    loop_timer_set(generator->loop, &generator->arrival_timer,
                   generator->next_arrival_ns);
}

static void *APR_THREAD_FUNC
run_generator(apr_thread_t *thread, void *owner)
{
    (void)thread;
    loop_run(((generator_t *)owner)->loop);
    return NULL;
}

static void
merge_result(load_result_t *sum, const load_result_t *part)
{
    sum->jobs += part->jobs;
    sum->tasks += part->tasks;
    sum->complete += part->complete;
    sum->complete_tasks += part->complete_tasks;
    sum->failed += part->failed;
    sum->refused += part->refused;
    sum->first_team_jobs += part->first_team_jobs;
    sum->first_team_refused += part->first_team_refused;
    sum->cancelled += part->cancelled;
    sum->unanswered += part->unanswered;
    histogram_merge(&sum->slowdown, &part->slowdown);
    histogram_merge(&sum->response, &part->response);
    histogram_merge(&sum->send_delay, &part->send_delay);
}

void
open_loop_run(const load_t *load, load_result_t *result)
{
    generator_t *generators = calloc(load->threads, sizeof *generators);
    apr_status_t status = APR_SUCCESS;
    for (uint32_t i = 0; i < load->threads; i++) {
        init_generator(&generators[i], load, i);
    }
    for (uint32_t i = 0; i < load->threads; i++) {
        apr_thread_create(&generators[i].thread, NULL, run_generator,
                          &generators[i], generators[i].arena);
    }
    for (uint32_t i = 0; i < load->threads; i++) {
        apr_thread_join(&status, generators[i].thread);
        merge_result(result, &generators[i].result);
        arena_destroy(generators[i].arena);
    }
    free(generators);
}
