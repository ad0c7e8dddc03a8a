#include "standins/runners.h"

#include <apr_hash.h>
#include <apr_strings.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "runtime/clock.h"
#include "runtime/log.h"

enum {
    kRunLimit = 16,
    kEndLimit = 65536,
    kNameBytes = 96,
    kCores = 32000,
    kTaskCores = 14000,
    kLeaseMs = 1000,
    kBeatMs = 1500,
    kDrainGraceMs = 2500, ///< the promise is a few seconds
    kTickMs = 2
};

typedef struct {
    char task[kNameBytes];
    uint32_t run;
    int64_t end_ns;
} run_t;

typedef struct {
    char task[kNameBytes];
    uint32_t run;
    uint64_t number;
    const char *how;
} end_t;

typedef struct {
    server_t server;
    runners_t *all;
    char id[32];
    char address[64];
    uint32_t dc;
    char mode[16];
    int64_t drained_ns;
    uint64_t born_ms;
    int64_t born_ns;
    uint64_t token;
    int64_t lease_ns;
    run_t runs[kRunLimit];
    uint32_t run_count;
    end_t *ends;
    uint32_t end_count;
    uint64_t end_number;
    uint64_t acked;
    server_conn_t *holder; ///< a hold that waits for an end
    int64_t hold_until_ns;
} runner_t;

struct runners {
    loop_t *loop;
    fake_store_t *store;
    runner_t *runners;
    uint32_t count;
    runners_counters_t ledger;
    arena_t *arena;
    apr_hash_t *jobs; ///< job_counters_t by name
    loop_timer_t tick;
    loop_timer_t beat;
};

static bool
is_mode(const runner_t *runner, const char *mode)
{
    return strcmp(runner->mode, mode) == 0;
}

static uint64_t
clock_ms(const runner_t *runner)
{
    return (uint64_t)((clock_now_ns() - runner->born_ns) / kNsPerMs);
}

static void
say(runner_t *runner)
{
    char text[512];
    snprintf(text, sizeof text,
             "{\"service\":\"s\",\"address\":\"%s\",\"zone\":\"dc%u\","
             "\"version\":\"v\",\"slots\":8,\"state\":\"%s\","
             "\"cold_left_ms\":0,\"capacity\":{\"cpu\":%d,\"mem_mb\":65536,"
             "\"gpus\":0},\"labels\":[\"a\"],\"clock_ms\":%llu,\"seq\":1,"
             "\"born\":%llu}",
             runner->address, runner->dc,
             is_mode(runner, "draining") ? "draining" : "ready", kCores,
             (unsigned long long)clock_ms(runner),
             (unsigned long long)runner->born_ms);
    fake_store_put(runner->all->store, "keyed.servers", runner->id, text);
}

static void
reply_text(const runner_t *runner, server_conn_t *conn, uint32_t status,
           const char *reason)
{
    char text[128];
    snprintf(text, sizeof text, "{\"clock_ms\":%llu%s%s%s}",
             (unsigned long long)clock_ms(runner),
             reason == NULL ? "" : ",\"reason\":\"",
             reason == NULL ? "" : reason, reason == NULL ? "" : "\"");
    if (!is_mode(runner, "mute")) {
        server_reply(conn, status, "", text, (uint32_t)strlen(text));
    }
}

static void
reply_list(runner_t *runner, server_conn_t *conn)
{
    json_object *running = json_object_new_array();
    json_object *ended = json_object_new_array();
    for (uint32_t i = 0; i < runner->run_count; i++) {
        json_object *row = json_object_new_array();
        json_object_array_add(row,
                              json_object_new_string(runner->runs[i].task));
        json_object_array_add(
            row, json_object_new_int((int32_t)runner->runs[i].run));
        json_object_array_add(row, json_object_new_string(""));
        json_object_array_add(row, json_object_new_int(100));
        json_object_array_add(running, row);
    }
    for (uint32_t i = 0; i < runner->end_count; i++) {
        const end_t *end = &runner->ends[i];
        if (end->number <= runner->acked) {
            continue;
        }
        json_object *row = json_object_new_array();
        json_object_array_add(row, json_object_new_uint64(end->number));
        json_object_array_add(row, json_object_new_string(end->task));
        json_object_array_add(row, json_object_new_int((int32_t)end->run));
        json_object_array_add(row, json_object_new_string(end->how));
        json_object_array_add(row, json_object_new_string(""));
        json_object_array_add(ended, row);
    }
    json_object *list = json_object_new_object();
    json_object_object_add(list, "clock_ms",
                           json_object_new_uint64(clock_ms(runner)));
    json_object_object_add(list, "born",
                           json_object_new_uint64(runner->born_ms));
    json_object_object_add(list, "running", running);
    json_object_object_add(list, "ended_runs", ended);
    const char *text = json_object_to_json_string(list);
    if (!is_mode(runner, "mute")) {
        server_reply(conn, 200, "", text, (uint32_t)strlen(text));
    }
    json_object_put(list);
}

/// @return what is known of a task's job
static job_counters_t *
find_job(runners_t *runners, const char *task)
{
    const char *name =
        apr_pstrmemdup(runners->arena, task, strcspn(task, "."));
    job_counters_t *job =
        apr_hash_get(runners->jobs, name, APR_HASH_KEY_STRING);
    if (job == NULL) {
        job = apr_pcalloc(runners->arena, sizeof *job);
        apr_hash_set(runners->jobs, name, APR_HASH_KEY_STRING, job);
    }
    return job;
}

job_counters_t
runners_read_job_counters(runners_t *runners, const char *job)
{
    return *find_job(runners, job);
}

static void
end_run(runner_t *runner, uint32_t at, const char *how)
{
    end_t *end = &runner->ends[runner->end_count];
    if (runner->end_count < kEndLimit - 1) {
        runner->end_count++;
    }
    snprintf(end->task, sizeof end->task, "%s", runner->runs[at].task);
    end->run = runner->runs[at].run;
    end->number = ++runner->end_number;
    end->how = how;
    runner->runs[at] = runner->runs[--runner->run_count];
    if (runner->holder != NULL) {
        server_conn_t *conn = runner->holder;
        runner->holder = NULL;
        reply_list(runner, conn);
    }
}

static void
settle(runner_t *runner)
{
    runners_counters_t *ledger = &runner->all->ledger;
    int64_t now_ns = clock_now_ns();
    for (uint32_t i = 0; i < runner->run_count;) {
        run_t *run = &runner->runs[i];
        if (run->end_ns <= now_ns && run->end_ns <= runner->lease_ns) {
            bool is_good = !is_mode(runner, "failing");
            ledger->done += is_good;
            ledger->failed += !is_good;
            find_job(runner->all, run->task)->done += is_good;
            end_run(runner, i, is_good ? "done" : "failed");
        }
        else if (runner->lease_ns <= now_ns) {
            ledger->lapsed++;
            end_run(runner, i, "lapsed");
        }
        else {
            i++;
        }
    }
}

static bool
runs_elsewhere(const runner_t *runner, const char *task)
{
    const runners_t *all = runner->all;
    for (uint32_t i = 0; i < all->count; i++) {
        runner_t *other = &all->runners[i];
        settle(other);
        for (uint32_t j = 0; j < other->run_count; j++) {
            if (other != runner && strcmp(other->runs[j].task, task) == 0) {
                return true;
            }
        }
    }
    return false;
}

static void
extend(runner_t *runner, json_object *body)
{
    json_object *value = NULL;
    if (!json_object_object_get_ex(body, "deadline_ms", &value)) {
        return;
    }
    int64_t until_ns =
        runner->born_ns + json_object_get_int64(value) * kNsPerMs;
    int64_t most_ns = clock_deadline_ns(kLeaseMs);
    until_ns = until_ns < most_ns ? until_ns : most_ns;
    runner->lease_ns =
        until_ns > runner->lease_ns ? until_ns : runner->lease_ns;
}

static const char *
read_text(json_object *body, const char *key)
{
    json_object *value = NULL;
    json_object_object_get_ex(body, key, &value);
    return value == NULL ? "" : json_object_get_string(value);
}

static uint64_t
read_number(json_object *body, const char *key)
{
    json_object *value = NULL;
    json_object_object_get_ex(body, key, &value);
    return value == NULL ? 0 : json_object_get_uint64(value);
}

/// @return why a start is rejected, or NULL
static const char *
judge_start(const runner_t *runner, const char *task, uint32_t run,
            uint64_t lease_ms)
{
    if (lease_ms <= clock_ms(runner)) {
        return "late";
    }
    for (uint32_t i = 0; i < runner->end_count; i++) {
        if (strcmp(runner->ends[i].task, task) == 0 &&
            runner->ends[i].run >= run) {
            return "old";
        }
    }
    return (runner->run_count + 1) * kTaskCores > kCores ? "room" : NULL;
}

/// Counts a start that comes when its owner must know that the runner drains:
/// so long after it said so while the store could tell.
static void
note_drained(runner_t *runner, const char *task)
{
    int64_t told_ns = fake_store_healthy_since_ns(runner->all->store);
    told_ns = told_ns > runner->drained_ns ? told_ns : runner->drained_ns;
    int64_t age_ms = (clock_now_ns() - told_ns) / kNsPerMs;
    if (is_mode(runner, "draining") && age_ms > kDrainGraceMs) {
        runner->all->ledger.drained++;
        log_event("drained_start", "runner=%s task=%s age_ms=%lld", runner->id,
                  task, (long long)age_ms);
    }
}

static void
serve_start(runner_t *runner, server_conn_t *conn, json_object *body)
{
    runners_counters_t *ledger = &runner->all->ledger;
    const char *task = read_text(body, "task");
    uint32_t number = (uint32_t)read_number(body, "run_id");
    for (uint32_t i = 0; i < runner->run_count; i++) {
        if (strcmp(runner->runs[i].task, task) == 0) {
            reply_text(runner, conn, 200, NULL);
            return;
        }
    }
    const char *reason =
        judge_start(runner, task, number, read_number(body, "deadline_ms"));
    if (reason != NULL) {
        ledger->out_of_room += strcmp(reason, "room") == 0;
        reply_text(runner, conn, 409, reason);
        return;
    }
    extend(runner, body);
    ledger->starts++;
    find_job(runner->all, task)->starts++;
    ledger->doubles += runs_elsewhere(runner, task);
    note_drained(runner, task);
    uint64_t work_ms = strtoull(read_text(body, "task_spec"), NULL, 10);
    run_t *run = &runner->runs[runner->run_count++];
    snprintf(run->task, sizeof run->task, "%s", task);
    run->run = number;
    run->end_ns =
        is_mode(runner, "stuck") ? INT64_MAX : clock_deadline_ns(work_ms);
    reply_text(runner, conn, 200, NULL);
}

static void
serve_stop(runner_t *runner, server_conn_t *conn, json_object *body)
{
    const char *task = read_text(body, "task");
    for (uint32_t i = 0; i < runner->run_count; i++) {
        if (strcmp(runner->runs[i].task, task) == 0) {
            runner->all->ledger.stopped++;
            end_run(runner, i, "stopped");
            reply_text(runner, conn, 200, NULL);
            return;
        }
    }
    end_t *end = &runner->ends[runner->end_count++ % kEndLimit];
    snprintf(end->task, sizeof end->task, "%s", task);
    end->run = (uint32_t)read_number(body, "run_id");
    end->number = ++runner->end_number;
    end->how = "stopped";
    reply_text(runner, conn, 200, NULL);
}

static void
serve_hold(runner_t *runner, server_conn_t *conn, json_object *body)
{
    uint64_t acked = read_number(body, "ack_cursor");
    uint64_t wait_ms = read_number(body, "wait_ms");
    runner->acked = acked > runner->acked ? acked : runner->acked;
    extend(runner, body);
    if (wait_ms == 0 || runner->end_number > runner->acked) {
        reply_list(runner, conn);
        return;
    }
    if (runner->holder != NULL) {
        reply_list(runner, runner->holder);
    }
    runner->holder = conn;
    runner->hold_until_ns = clock_deadline_ns(wait_ms);
}

static void
serve(void *owner, server_conn_t *conn, const server_request_t *request)
{
    runner_t *runner = owner;
    json_object *body = json_tokener_parse(request->body);
    if (is_mode(runner, "dark") || body == NULL) {
        json_object_put(body);
        return;
    }
    settle(runner);
    uint64_t token = read_number(body, "fence_token");
    if (token < runner->token) {
        reply_text(runner, conn, 409, "fence");
    }
    else {
        runner->token = token;
        if (strcmp(request->path, "/run-start") == 0) {
            serve_start(runner, conn, body);
        }
        else if (strcmp(request->path, "/run-stop") == 0) {
            serve_stop(runner, conn, body);
        }
        else {
            serve_hold(runner, conn, body);
        }
    }
    json_object_put(body);
}

static void
on_gone(void *owner, server_conn_t *conn)
{
    runner_t *runner = owner;
    if (runner->holder == conn) {
        runner->holder = NULL;
    }
}

static void
on_tick(loop_timer_t *timer)
{
    runners_t *runners = timer->owner;
    fake_store_healthy_since_ns(runners->store);
    for (uint32_t i = 0; i < runners->count; i++) {
        runner_t *runner = &runners->runners[i];
        settle(runner);
        if (runner->holder != NULL &&
            runner->hold_until_ns <= clock_now_ns()) {
            server_conn_t *conn = runner->holder;
            runner->holder = NULL;
            reply_list(runner, conn);
        }
    }
    loop_timer_set(runners->loop, timer, clock_deadline_ns(kTickMs));
}

static void
on_beat(loop_timer_t *timer)
{
    runners_t *runners = timer->owner;
    for (uint32_t i = 0; i < runners->count; i++) {
        if (!is_mode(&runners->runners[i], "dark")) {
            say(&runners->runners[i]);
        }
    }
    loop_timer_set(runners->loop, timer, clock_deadline_ns(kBeatMs));
}

static void
give_life(runner_t *runner)
{
    runner->born_ns = clock_now_ns();
    runner->born_ms += 1000;
    runner->run_count = 0;
    runner->end_count = 0;
    runner->end_number = 0;
    runner->acked = 0;
    runner->token = 0;
    runner->lease_ns = 0;
    snprintf(runner->mode, sizeof runner->mode, "good");
}

bool
runners_set_mode(runners_t *runners, uint32_t number, const char *mode)
{
    if (number >= runners->count) {
        return false;
    }
    runner_t *runner = &runners->runners[number];
    if (strcmp(mode, "again") == 0) {
        give_life(runner);
    }
    else {
        snprintf(runner->mode, sizeof runner->mode, "%s", mode);
    }
    if (is_mode(runner, "draining")) {
        runner->drained_ns = clock_now_ns();
    }
    say(runner);
    return true;
}

const runners_counters_t *
runners_read_counters(runners_t *runners)
{
    runners->ledger.running = 0;
    for (uint32_t i = 0; i < runners->count; i++) {
        settle(&runners->runners[i]);
        runners->ledger.running += runners->runners[i].run_count;
    }
    return &runners->ledger;
}

runners_t *
runners_open(loop_t *loop, fake_store_t *store, const char *address,
             uint16_t port, uint32_t count, uint32_t dcs, error_info_t *err)
{
    runners_t *runners = calloc(1, sizeof *runners);
    runners->loop = loop;
    runners->arena = arena_create();
    runners->jobs = apr_hash_make(runners->arena);
    runners->store = store;
    runners->runners = calloc(count, sizeof *runners->runners);
    for (uint32_t i = 0; i < count; i++) {
        runner_t *runner = &runners->runners[i];
        uint16_t own_port = (uint16_t)(port + i);
        snprintf(runner->id, sizeof runner->id, "r%u", i);
        snprintf(runner->address, sizeof runner->address, "%s:%u", address,
                 own_port);
        runner->all = runners;
        runner->dc = 1 + i % dcs;
        runner->born_ms = 1000000 + i;
        runner->ends = calloc(kEndLimit, sizeof *runner->ends);
        runner->server = (server_t){.loop = loop,
                                    .serve = serve,
                                    .on_disconnect = on_gone,
                                    .owner = runner};
        runners->count++;
        give_life(runner);
        if (!server_open(&runner->server, address, own_port, err)) {
            return NULL;
        }
    }
    loop_timer_init(&runners->tick, on_tick, runners);
    loop_timer_init(&runners->beat, on_beat, runners);
    on_tick(&runners->tick);
    on_beat(&runners->beat);
    return runners;
}
