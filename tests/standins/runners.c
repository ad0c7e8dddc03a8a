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
    kMaxRuns = 4096,
    kMaxEndedRuns = 65536,
    kNameBytes = 96,
    kCapacityMcores = 32000,
    kTaskMcores = 14000, ///< unless the task says otherwise
    kMaxLeaseMs = 1000,
    kPublishIntervalMs = 1500,
    kMaxDrainNoticeMs = 2500,      ///< the promise is a few seconds
    kMaxEvacuationNoticeMs = 5000, ///< the promise
    kCrashDelayMs = 20, ///< from the start of a deadly task to the crash
    kCrashDownMs = 2000,
    kTickIntervalMs = 2
};

typedef struct {
    char task[kNameBytes];
    uint32_t run;
    uint32_t mcores;
    int64_t end_ns;
} run_t;

typedef struct {
    char task[kNameBytes];
    uint32_t run;
    uint64_t number;
    const char *outcome;
} ended_run_t;

typedef struct {
    server_t server;
    runners_t *all;
    char id[32];
    char address[64];
    uint32_t dc;
    char mode[16];
    uint32_t list_count; ///< list calls in mode patchy
    int64_t draining_since_ns;
    int64_t crash_due_ns;   ///< 0: none
    int64_t restart_due_ns; ///< after a crash; 0: none
    uint64_t born_ms;
    int64_t born_ns;
    uint64_t token;
    int64_t lease_end_ns;
    run_t runs[kMaxRuns];
    uint32_t run_count;
    ended_run_t *ended_runs;
    uint32_t ended_run_count;
    uint64_t last_end_number;
    uint64_t acked_number;
    server_conn_t *waiting_conn; ///< list request that waits for an end
    int64_t wait_until_ns;
} runner_t;

struct runners {
    loop_t *loop;
    fake_store_t *store;
    runner_t *runners;
    uint32_t count;
    runners_counters_t counters;
    int64_t evacuated_since_ns[kRunnersMaxDcs + 1]; ///< by data centre; 0: not
    arena_t *arena;
    apr_hash_t *jobs; ///< job_counters_t by name
    loop_timer_t tick_timer;
    loop_timer_t publish_timer;
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
publish_runner(runner_t *runner)
{
    char text[512];
    snprintf(text, sizeof text,
             "{\"service\":\"s\",\"address\":\"%s\",\"zone\":\"dc%u\","
             "\"version\":\"v\",\"slots\":8,\"state\":\"%s\","
             "\"cold_left_ms\":0,\"capacity\":{\"cpu\":%d,\"mem_mb\":65536,"
             "\"gpus\":0},\"labels\":[\"a\"],\"clock_ms\":%llu,\"seq\":1,"
             "\"born\":%llu}",
             runner->address, runner->dc,
             is_mode(runner, "draining") ? "draining" : "ready",
             kCapacityMcores, (unsigned long long)clock_ms(runner),
             (unsigned long long)runner->born_ms);
    fake_store_put(runner->all->store, "keyed.servers", runner->id, text);
}

static void
reply_status(const runner_t *runner, server_conn_t *conn, uint32_t status,
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
    for (uint32_t i = 0; i < runner->ended_run_count; i++) {
        const ended_run_t *ended_run = &runner->ended_runs[i];
        if (ended_run->number <= runner->acked_number) {
            continue;
        }
        json_object *row = json_object_new_array();
        json_object_array_add(row, json_object_new_uint64(ended_run->number));
        json_object_array_add(row, json_object_new_string(ended_run->task));
        json_object_array_add(row,
                              json_object_new_int((int32_t)ended_run->run));
        json_object_array_add(row, json_object_new_string(ended_run->outcome));
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

/// @return the counters of the job that a task belongs to
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
end_run(runner_t *runner, uint32_t at, const char *outcome)
{
    ended_run_t *ended_run = &runner->ended_runs[runner->ended_run_count];
    if (runner->ended_run_count < kMaxEndedRuns - 1) {
        runner->ended_run_count++;
    }
    snprintf(ended_run->task, sizeof ended_run->task, "%s",
             runner->runs[at].task);
    ended_run->run = runner->runs[at].run;
    ended_run->number = ++runner->last_end_number;
    ended_run->outcome = outcome;
    runner->runs[at] = runner->runs[--runner->run_count];
    if (runner->waiting_conn != NULL) {
        server_conn_t *conn = runner->waiting_conn;
        runner->waiting_conn = NULL;
        reply_list(runner, conn);
    }
}

static void
end_due_runs(runner_t *runner)
{
    runners_counters_t *counters = &runner->all->counters;
    int64_t now_ns = clock_now_ns();
    for (uint32_t i = 0; i < runner->run_count;) {
        run_t *run = &runner->runs[i];
        if (run->end_ns <= now_ns && run->end_ns <= runner->lease_end_ns) {
            bool is_done = !is_mode(runner, "failing");
            counters->done += is_done;
            counters->failed += !is_done;
            find_job(runner->all, run->task)->done += is_done;
            end_run(runner, i, is_done ? "done" : "failed");
        }
        else if (runner->lease_end_ns <= now_ns) {
            counters->lapsed++;
            end_run(runner, i, "lapsed");
        }
        else {
            i++;
        }
    }
}

static bool
runs_on_another(const runner_t *runner, const char *task)
{
    const runners_t *all = runner->all;
    for (uint32_t i = 0; i < all->count; i++) {
        runner_t *other = &all->runners[i];
        end_due_runs(other);
        for (uint32_t j = 0; j < other->run_count; j++) {
            if (other != runner && strcmp(other->runs[j].task, task) == 0) {
                return true;
            }
        }
    }
    return false;
}

static void
extend_lease(runner_t *runner, json_object *body)
{
    json_object *value = NULL;
    if (!json_object_object_get_ex(body, "deadline_ms", &value)) {
        return;
    }
    int64_t until_ns =
        runner->born_ns + json_object_get_int64(value) * kNsPerMs;
    int64_t max_ns = clock_deadline_ns(kMaxLeaseMs);
    until_ns = until_ns < max_ns ? until_ns : max_ns;
    runner->lease_end_ns =
        until_ns > runner->lease_end_ns ? until_ns : runner->lease_end_ns;
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

/// @param spec  of a task: its run time in ms, and its size if it is not the
///              usual one
static uint32_t
read_mcores(const char *spec)
{
    const char *space = strchr(spec, ' ');
    return space == NULL ? (uint32_t)kTaskMcores
                         : (uint32_t)strtoul(space, NULL, 10);
}

static uint32_t
sum_used_mcores(const runner_t *runner)
{
    uint32_t sum = 0;
    for (uint32_t i = 0; i < runner->run_count; i++) {
        sum += runner->runs[i].mcores;
    }
    return sum;
}

/// @return why a start is rejected, or NULL
static const char *
check_start(const runner_t *runner, const char *task, uint32_t run,
            uint32_t mcores, uint64_t lease_ms)
{
    if (lease_ms <= clock_ms(runner)) {
        return "late";
    }
    for (uint32_t i = 0; i < runner->ended_run_count; i++) {
        if (strcmp(runner->ended_runs[i].task, task) == 0 &&
            runner->ended_runs[i].run >= run) {
            return "old";
        }
    }
    return runner->run_count == kMaxRuns ||
                   sum_used_mcores(runner) + mcores > kCapacityMcores
               ? "room"
               : NULL;
}

/// Counts a start in an evacuated data centre if its owner could have read
/// this from the store more than kMaxEvacuationNoticeMs ago.
static void
count_start_while_evacuated(runner_t *runner, const char *task)
{
    int64_t known_since_ns = fake_store_healthy_since_ns(runner->all->store);
    int64_t evacuated_since_ns = runner->all->evacuated_since_ns[runner->dc];
    known_since_ns = known_since_ns > evacuated_since_ns ? known_since_ns
                                                         : evacuated_since_ns;
    int64_t age_ms = (clock_now_ns() - known_since_ns) / kNsPerMs;
    if (evacuated_since_ns != 0 && age_ms > kMaxEvacuationNoticeMs) {
        runner->all->counters.evacuated++;
        log_event("evacuated_start", "runner=%s task=%s age_ms=%lld",
                  runner->id, task, (long long)age_ms);
    }
}

/// Counts a start on a draining runner if its owner could have read this from
/// the store more than kMaxDrainNoticeMs ago. The time starts again after each
/// fault in which the store doesn't respond.
static void
count_start_while_draining(runner_t *runner, const char *task)
{
    int64_t known_since_ns = fake_store_healthy_since_ns(runner->all->store);
    known_since_ns = known_since_ns > runner->draining_since_ns
                         ? known_since_ns
                         : runner->draining_since_ns;
    int64_t age_ms = (clock_now_ns() - known_since_ns) / kNsPerMs;
    if (is_mode(runner, "draining") && age_ms > kMaxDrainNoticeMs) {
        runner->all->counters.drained++;
        log_event("drained_start", "runner=%s task=%s age_ms=%lld", runner->id,
                  task, (long long)age_ms);
    }
}

static void
crash_runner(runner_t *runner)
{
    runner->all->counters.crashes++;
    runner->crash_due_ns = 0;
    runner->run_count = 0;
    if (runner->waiting_conn != NULL) {
        server_close(runner->waiting_conn);
    }
    runner->waiting_conn = NULL;
    runner->restart_due_ns = clock_deadline_ns(kCrashDownMs);
    snprintf(runner->mode, sizeof runner->mode, "dark");
}

static void
serve_start(runner_t *runner, server_conn_t *conn, json_object *body)
{
    runners_counters_t *counters = &runner->all->counters;
    const char *task = read_text(body, "task");
    uint32_t number = (uint32_t)read_number(body, "run_id");
    for (uint32_t i = 0; i < runner->run_count; i++) {
        if (strcmp(runner->runs[i].task, task) == 0) {
            reply_status(runner, conn, 200, NULL);
            return;
        }
    }
    const char *spec = read_text(body, "task_spec");
    uint32_t mcores = read_mcores(spec);
    const char *reason = check_start(runner, task, number, mcores,
                                     read_number(body, "deadline_ms"));
    if (reason != NULL) {
        counters->out_of_room += strcmp(reason, "room") == 0;
        reply_status(runner, conn, 409, reason);
        return;
    }
    extend_lease(runner, body);
    counters->starts++;
    find_job(runner->all, task)->starts++;
    counters->doubles += runs_on_another(runner, task);
    counters->dc_starts[runner->dc]++;
    count_start_while_draining(runner, task);
    count_start_while_evacuated(runner, task);
    if (strcmp(spec, "crash") == 0) {
        runner->crash_due_ns = clock_deadline_ns(kCrashDelayMs);
    }
    uint64_t work_ms = strtoull(spec, NULL, 10);
    run_t *run = &runner->runs[runner->run_count++];
    snprintf(run->task, sizeof run->task, "%s", task);
    run->run = number;
    run->mcores = mcores;
    run->end_ns = is_mode(runner, "stuck") || runner->crash_due_ns != 0
                      ? INT64_MAX
                      : clock_deadline_ns(work_ms);
    reply_status(runner, conn, 200, NULL);
}

static void
serve_stop(runner_t *runner, server_conn_t *conn, json_object *body)
{
    const char *task = read_text(body, "task");
    for (uint32_t i = 0; i < runner->run_count; i++) {
        if (strcmp(runner->runs[i].task, task) == 0) {
            runner->all->counters.stopped++;
            end_run(runner, i, "stopped");
            reply_status(runner, conn, 200, NULL);
            return;
        }
    }
    ended_run_t *ended_run =
        &runner->ended_runs[runner->ended_run_count++ % kMaxEndedRuns];
    snprintf(ended_run->task, sizeof ended_run->task, "%s", task);
    ended_run->run = (uint32_t)read_number(body, "run_id");
    ended_run->number = ++runner->last_end_number;
    ended_run->outcome = "stopped";
    reply_status(runner, conn, 200, NULL);
}

static void
serve_list(runner_t *runner, server_conn_t *conn, json_object *body)
{
    uint64_t acked_number = read_number(body, "ack_cursor");
    uint64_t wait_ms = read_number(body, "wait_ms");
    runner->acked_number = acked_number > runner->acked_number
                               ? acked_number
                               : runner->acked_number;
    extend_lease(runner, body);
    if (wait_ms == 0 || runner->last_end_number > runner->acked_number) {
        reply_list(runner, conn);
        return;
    }
    if (runner->waiting_conn != NULL) {
        reply_list(runner, runner->waiting_conn);
    }
    runner->waiting_conn = conn;
    runner->wait_until_ns = clock_deadline_ns(wait_ms);
}

/// @return whether a runner in its present mode ignores a request
static bool
is_ignored(runner_t *runner, const char *path)
{
    bool is_patchy = is_mode(runner, "patchy");
    if (strcmp(path, "/run-stop") == 0 &&
        (is_patchy || is_mode(runner, "deaf"))) {
        return true;
    }
    if (is_patchy && strcmp(path, "/hold") == 0) {
        return ++runner->list_count % 2 == 0;
    }
    return is_mode(runner, "dark");
}

static void
serve(void *owner, server_conn_t *conn, const server_request_t *request)
{
    runner_t *runner = owner;
    json_object *body = json_tokener_parse(request->body);
    if (is_ignored(runner, request->path) || body == NULL) {
        json_object_put(body);
        return;
    }
    end_due_runs(runner);
    uint64_t token = read_number(body, "fence_token");
    if (token < runner->token) {
        reply_status(runner, conn, 409, "fence");
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
            serve_list(runner, conn, body);
        }
    }
    json_object_put(body);
}

static void
on_disconnect(void *owner, server_conn_t *conn)
{
    runner_t *runner = owner;
    if (runner->waiting_conn == conn) {
        runner->waiting_conn = NULL;
    }
}

static void
restart_runner(runner_t *runner)
{
    runner->born_ns = clock_now_ns();
    runner->born_ms += 1000;
    runner->run_count = 0;
    runner->ended_run_count = 0;
    runner->last_end_number = 0;
    runner->acked_number = 0;
    runner->token = 0;
    runner->lease_end_ns = 0;
    runner->crash_due_ns = 0;
    runner->restart_due_ns = 0;
    snprintf(runner->mode, sizeof runner->mode, "good");
}

static void
on_tick(loop_timer_t *timer)
{
    runners_t *runners = timer->owner;
    fake_store_healthy_since_ns(runners->store);
    for (uint32_t i = 0; i < runners->count; i++) {
        runner_t *runner = &runners->runners[i];
        if (runner->crash_due_ns != 0 &&
            runner->crash_due_ns <= clock_now_ns()) {
            crash_runner(runner);
        }
        if (runner->restart_due_ns != 0 &&
            runner->restart_due_ns <= clock_now_ns()) {
            restart_runner(runner);
            publish_runner(runner);
        }
        end_due_runs(runner);
        if (runner->waiting_conn != NULL &&
            runner->wait_until_ns <= clock_now_ns()) {
            server_conn_t *conn = runner->waiting_conn;
            runner->waiting_conn = NULL;
            reply_list(runner, conn);
        }
    }
    loop_timer_set(runners->loop, timer, clock_deadline_ns(kTickIntervalMs));
}

static void
on_publish_timer(loop_timer_t *timer)
{
    runners_t *runners = timer->owner;
    for (uint32_t i = 0; i < runners->count; i++) {
        if (!is_mode(&runners->runners[i], "dark")) {
            publish_runner(&runners->runners[i]);
        }
    }
    loop_timer_set(runners->loop, timer,
                   clock_deadline_ns(kPublishIntervalMs));
}

bool
runners_set_mode(runners_t *runners, uint32_t number, const char *mode)
{
    if (number >= runners->count) {
        return false;
    }
    runner_t *runner = &runners->runners[number];
    if (strcmp(mode, "again") == 0) {
        restart_runner(runner);
    }
    else {
        snprintf(runner->mode, sizeof runner->mode, "%s", mode);
    }
    if (is_mode(runner, "draining")) {
        runner->draining_since_ns = clock_now_ns();
    }
    publish_runner(runner);
    return true;
}

const runners_counters_t *
runners_read_counters(runners_t *runners)
{
    runners->counters.running = 0;
    for (uint32_t i = 0; i < runners->count; i++) {
        end_due_runs(&runners->runners[i]);
        runners->counters.running += runners->runners[i].run_count;
    }
    return &runners->counters;
}

void
runners_set_evacuated(runners_t *runners, uint32_t dc, bool is_evacuated)
{
    char key[32];
    if (dc < 1 || dc > kRunnersMaxDcs) {
        return;
    }
    snprintf(key, sizeof key, "evacuate/dc%u", dc);
    fake_store_put(runners->store, "keyed.op", key,
                   is_evacuated ? "{}" : NULL);
    runners->evacuated_since_ns[dc] = is_evacuated ? clock_now_ns() : 0;
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
        runner->ended_runs = calloc(kMaxEndedRuns, sizeof *runner->ended_runs);
        runner->server = (server_t){.loop = loop,
                                    .on_request = serve,
                                    .on_disconnect = on_disconnect,
                                    .owner = runner};
        runners->count++;
        restart_runner(runner);
        if (!server_open(&runner->server, address, own_port, err)) {
            return NULL;
        }
    }
    loop_timer_init(&runners->tick_timer, on_tick, runners);
    loop_timer_init(&runners->publish_timer, on_publish_timer, runners);
    on_tick(&runners->tick_timer);
    on_publish_timer(&runners->publish_timer);
    return runners;
}
