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
    kIdBatch = 64,
    kUrlBytes = 256,
    kTaskTextBytes = 160,
    kAnswerLimitMs = 150000,
    kConnectLimitMs = 2000,
    kIdleTrustMs = 20000,
    kBurstPart = 10 ///< a burst lasts this part of the time
};

typedef struct generator generator_t;

/// Fresh ids of one front.
typedef struct {
    generator_t *generator;
    uint32_t front;
    arena_t *arena; ///< of the ids
    const char **ids;
    uint32_t count;
    int64_t use_by_ns;
    bool is_asking;
    struct shot *waiting; ///< jobs that wait for an id
} id_stock_t;

/// One job on its way.
typedef struct shot {
    struct shot *next;
    generator_t *generator;
    uint32_t front;
    uint32_t team;
    char *body;
    char url[kUrlBytes];
    int64_t due_ns;
    int64_t ideal_ns;
    uint32_t task_count;
    bool is_cancelled;
    loop_timer_t cancel;
} shot_t;

/// A thread that submits its part of the load.
struct generator {
    const load_t *load;
    apr_thread_t *thread;
    arena_t *arena;
    loop_t *loop;
    http_client_t *http;
    rng_t rng;
    loop_timer_t next;
    int64_t start_ns;
    int64_t end_ns;
    int64_t due_ns;
    double gap_ns;
    uint32_t out_count;
    bool is_over;
    id_stock_t stocks[kLoadFronts];
    load_result_t result;
};

static void send_shot(shot_t *shot, const char *id);

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
        .deadline_ns = clock_deadline_ns(kAnswerLimitMs),
        .connect_limit_ms = kConnectLimitMs,
        .idle_trust_ms = kIdleTrustMs,
        .on_done = on_done,
        .owner = owner};
}

static void
stop_when_over(generator_t *generator)
{
    if (generator->is_over && generator->out_count == 0) {
        loop_stop(generator->loop);
    }
}

static void
free_shot(shot_t *shot)
{
    loop_timer_clear(shot->generator->loop, &shot->cancel);
    free(shot->body);
    free(shot);
}

/// Counts the outcome of a job.
static void
count_outcome(shot_t *shot, const http_reply_t *reply, int64_t now_ns)
{
    load_result_t *result = &shot->generator->result;
    uint64_t response_ns = (uint64_t)(now_ns - shot->due_ns);
    if (reply->end != kHttpOutcomeAnswered) {
        result->broken++;
    }
    else if (reply->status == 200) {
        result->complete++;
        result->complete_tasks += shot->task_count;
        histogram_add(&result->slowdown,
                      response_ns * 1000 / (uint64_t)shot->ideal_ns);
        histogram_add(&result->response, response_ns / 1000);
    }
    else if (reply->has_not_run_header) {
        result->refused++;
        result->refused_first += shot->team == 0;
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
    shot_t *shot = owner;
    generator_t *generator = shot->generator;
    count_outcome(shot, reply, clock_now_ns());
    free_shot(shot);
    generator->out_count--;
    stop_when_over(generator);
}

static void
on_cancelled(void *owner, const http_reply_t *reply)
{
    generator_t *generator = owner;
    (void)reply;
    generator->out_count--;
    stop_when_over(generator);
}

static void
cancel_shot(loop_timer_t *timer)
{
    shot_t *shot = timer->owner;
    http_spec_t spec =
        make_spec("DELETE", shot->url, NULL, on_cancelled, shot->generator);
    shot->generator->out_count++;
    http_client_start(shot->generator->http, &spec);
}

static void
send_shot(shot_t *shot, const char *id)
{
    generator_t *generator = shot->generator;
    const load_t *load = generator->load;
    int64_t now_ns = clock_now_ns();
    snprintf(shot->url, sizeof shot->url, "%s/v1/jobs/%s",
             load->fronts[shot->front], id);
    histogram_add(&generator->result.late_send,
                  (uint64_t)(now_ns - shot->due_ns) / 1000);
    http_spec_t spec =
        make_spec("PUT", shot->url, shot->body, on_answer, shot);
    http_client_start(generator->http, &spec);
    if (shot->is_cancelled) {
        loop_timer_set(generator->loop, &shot->cancel,
                       now_ns + shot->ideal_ns / 2);
    }
}

static void
fail_shot(shot_t *shot)
{
    generator_t *generator = shot->generator;
    generator->result.broken++;
    generator->out_count--;
    free_shot(shot);
    stop_when_over(generator);
}

/// Takes the ids of a stock's answer.
static bool
take_ids(id_stock_t *stock, const http_reply_t *reply)
{
    ids_document_t document;
    error_info_t err = {0};
    arena_destroy(stock->arena);
    stock->arena = arena_create();
    stock->count = 0;
    if (reply->end != kHttpOutcomeAnswered || reply->status != 200 ||
        !json_read(reply->body, &ids_document_desc, kErrorKindProtocol,
                   stock->arena, &document, &err)) {
        return false;
    }
    stock->ids =
        apr_palloc(stock->arena, (document.ids_count + 1) * sizeof(char *));
    for (uint32_t i = 0; i < document.ids_count; i++) {
        stock->ids[stock->count++] = document.ids[i].id;
    }
    stock->use_by_ns = clock_deadline_ns(document.start_by_ms / 2);
    return true;
}

static void ask_for_ids(id_stock_t *stock);

static void
on_ids(void *owner, const http_reply_t *reply)
{
    id_stock_t *stock = owner;
    stock->is_asking = false;
    bool is_taken = take_ids(stock, reply);
    while (stock->waiting != NULL && (!is_taken || stock->count > 0)) {
        shot_t *shot = stock->waiting;
        stock->waiting = shot->next;
        if (is_taken) {
            send_shot(shot, stock->ids[--stock->count]);
        }
        else {
            fail_shot(shot);
        }
    }
    if (stock->waiting != NULL) {
        ask_for_ids(stock);
    }
}

static void
ask_for_ids(id_stock_t *stock)
{
    char url[kUrlBytes];
    generator_t *generator = stock->generator;
    if (stock->is_asking) {
        return;
    }
    stock->is_asking = true;
    snprintf(url, sizeof url, "%s/v1/job-ids?count=%d",
             generator->load->fronts[stock->front], kIdBatch);
    http_spec_t spec = make_spec("POST", url, "", on_ids, stock);
    http_client_start(generator->http, &spec);
}

/// Writes the job as its caller would.
static char *
write_job(const load_t *load, const workload_job_t *job, uint32_t team)
{
    size_t room_bytes = 128 + (size_t)job->task_count * kTaskTextBytes;
    char *text = malloc(room_bytes);
    size_t at = (size_t)snprintf(
        text, room_bytes, "{\"team\":\"t%u\",\"deadline_ms\":%u,\"tasks\":[",
        team, load->workload.deadline_ms);
    for (uint32_t i = 0; i < job->task_count; i++) {
        at += (size_t)snprintf(
            text + at, room_bytes - at,
            "%s{\"kind\":\"quote\",\"expected_ms\":%u,"
            "\"needs\":{\"processors\":%u},\"payload\":\"ms=%u\"}",
            i > 0 ? "," : "", job->declared_ms[i],
            job->is_impossible ? 4000 : 1, job->task_ms[i]);
    }
    snprintf(text + at, room_bytes - at, "]}");
    return text;
}

/// Submits the job that is due.
static void
fire(generator_t *generator)
{
    const load_t *load = generator->load;
    workload_job_t job;
    workload_draw(&load->workload, &generator->rng, &job);
    shot_t *shot = calloc(1, sizeof *shot);
    shot->generator = generator;
    shot->front = rng_below(&generator->rng, load->front_count);
    bool is_greedy = rng_below(&generator->rng, 100) < load->greedy_percent;
    shot->team = is_greedy ? 0 : rng_below(&generator->rng, load->team_count);
    shot->body = write_job(load, &job, shot->team);
    shot->due_ns = generator->due_ns;
    shot->ideal_ns = workload_ideal_ns(&job, load->capacity_milli);
    shot->task_count = job.task_count;
    shot->is_cancelled = job.is_cancelled;
    loop_timer_init(&shot->cancel, cancel_shot, shot);
    generator->result.jobs++;
    generator->result.jobs_first += shot->team == 0;
    generator->result.tasks += job.task_count;
    generator->out_count++;
    id_stock_t *stock = &generator->stocks[shot->front];
    if (stock->count > 0 && clock_now_ns() < stock->use_by_ns) {
        send_shot(shot, stock->ids[--stock->count]);
        return;
    }
    shot->next = stock->waiting;
    stock->waiting = shot;
    ask_for_ids(stock);
}

/// @return how much the load is raised at a time
static double
factor_at(const generator_t *generator, int64_t at_ns)
{
    int64_t length_ns = generator->end_ns - generator->start_ns;
    int64_t into_ns = at_ns - generator->start_ns;
    bool is_burst = into_ns * 2 >= length_ns &&
                    into_ns * 2 < length_ns + 2 * length_ns / kBurstPart;
    return is_burst ? generator->load->burst_factor : 1;
}

static void
on_due(loop_timer_t *timer)
{
    generator_t *generator = timer->owner;
    while (generator->due_ns <= clock_now_ns()) {
        if (generator->due_ns >= generator->end_ns) {
            generator->is_over = true;
            stop_when_over(generator);
            return;
        }
        fire(generator);
        generator->due_ns += workload_gap_ns(
            &generator->rng,
            generator->gap_ns / factor_at(generator, generator->due_ns));
    }
    loop_timer_set(generator->loop, timer, generator->due_ns);
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
               (double)workload_mean_us(&load->workload);
    }
    generator->gap_ns = (double)NS_PER_S * load->threads / rate;
    generator->start_ns = clock_now_ns();
    generator->end_ns = clock_deadline_ns(load->duration_ms);
    generator->due_ns = generator->start_ns +
                        workload_gap_ns(&generator->rng, generator->gap_ns);
    for (uint32_t i = 0; i < load->front_count; i++) {
        generator->stocks[i] =
            (id_stock_t){.generator = generator, .front = i};
    }
    loop_timer_init(&generator->next, on_due, generator);
    loop_timer_set(generator->loop, &generator->next, generator->due_ns);
}

static void *APR_THREAD_FUNC
run_generator(apr_thread_t *thread, void *owner)
{
    (void)thread;
    loop_run(((generator_t *)owner)->loop);
    return NULL;
}

static void
add_result(load_result_t *sum, const load_result_t *part)
{
    sum->jobs += part->jobs;
    sum->tasks += part->tasks;
    sum->complete += part->complete;
    sum->complete_tasks += part->complete_tasks;
    sum->failed += part->failed;
    sum->refused += part->refused;
    sum->jobs_first += part->jobs_first;
    sum->refused_first += part->refused_first;
    sum->cancelled += part->cancelled;
    sum->broken += part->broken;
    histogram_merge(&sum->slowdown, &part->slowdown);
    histogram_merge(&sum->response, &part->response);
    histogram_merge(&sum->late_send, &part->late_send);
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
        add_result(result, &generators[i].result);
        arena_destroy(generators[i].arena);
    }
    free(generators);
}
