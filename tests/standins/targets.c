/// Stand-ins for targets: one process that serves many runners, each on an
/// address of its own, with slots, a speed and faults. It keeps a ledger of
/// starts by task id.
///
///   POST /v1/tasks/ID        runs a task; the payload "ms=N" sets its time
///   GET  /v1/status          slots, load, leaving
///   On the control port of the first address:
///   POST /standin/set?runner=I&K=V  mode=NAME count=N slots=N speed=PERCENT
///                                   leaving=0|1 (runner=all for all)
///   GET  /standin/ledger     {"starts", "tasks", "doubled", "refused", ...}
///   GET  /standin/task?id=ID starts of one task
#include <apr_general.h>
#include <apr_hash.h>
#include <apr_strings.h>
#include <apr_thread_mutex.h>
#include <apr_thread_proc.h>
#include <argp.h>
#include <arpa/inet.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/rng.h"
#include "runtime/clock.h"
#include "support/http_server.h"

enum { kReplyBytes = 768, kAddressBytes = 20, kThreadLimit = 16 };

/// What a runner does with a task.
typedef enum {
    kModeServe,
    kModeRefuse,      ///< 503 before the start
    kModeFail,        ///< starts, answers 500 at once
    kModeClose,       ///< starts, closes without a word
    kModeCloseReused, ///< the same, on reused connections only
    kModeSilent,      ///< starts, never answers
    kModeHalf,        ///< starts, sends half an answer, closes
    kModeTwice,       ///< starts, answers twice
    kModeLate,        ///< starts, answers after the lease
    kModeCount
} runner_mode_t;

static const char *const mode_names[kModeCount] = {
    "serve",  "refuse", "fail",  "close", "close_reused",
    "silent", "half",   "twice", "late"};

static const char half_answer[] =
    "HTTP/1.1 200 Half\r\nContent-Length: 99\r\n\r\nhalf";

typedef struct runner_thread runner_thread_t;

typedef struct {
    server_t server;
    runner_thread_t *thread;
    uint32_t number;
    char address[kAddressBytes];
    uint32_t busy; ///< own thread only
    _Atomic uint32_t mode;
    _Atomic int32_t mode_count; ///< tasks that the mode is for; -1 for all
    _Atomic uint32_t slots;
    _Atomic uint32_t speed_percent;
    _Atomic uint32_t straggler_per_mille; ///< tasks that take 10 times as long
    rng_t rng;                            ///< own thread only
    _Atomic bool is_leaving;
    _Atomic uint64_t start_count;
} runner_t;

struct runner_thread {
    loop_t *loop;
    apr_thread_t *thread;
    arena_t *arena;
    apr_thread_mutex_t *lock; ///< of the ledger
    apr_hash_t *ledger;       ///< task id to number of starts
};

static struct {
    runner_t *runners;
    uint32_t count;
    runner_thread_t threads[kThreadLimit];
    uint32_t thread_count;
    server_t control;
    _Atomic uint64_t starts;
    _Atomic uint64_t refused;
    _Atomic uint64_t tasks;
    _Atomic uint64_t doubled;
    _Atomic uint64_t cut;
} standin;

/// A task that runs.
typedef struct {
    loop_timer_t timer;
    runner_t *runner;
    server_conn_t *conn;
    bool is_twice;
    bool is_answered;
    char id[kServerPathBytes];
    char try_header[kServerPathBytes];
} run_t;

/// Notes a start in the ledger.
static void
note_start(runner_t *runner, const char *id)
{
    runner_thread_t *thread = runner->thread;
    atomic_fetch_add(&standin.starts, 1);
    atomic_fetch_add(&runner->start_count, 1);
    apr_thread_mutex_lock(thread->lock);
    uint32_t *count = apr_hash_get(thread->ledger, id, APR_HASH_KEY_STRING);
    if (count == NULL) {
        count = apr_pcalloc(thread->arena, sizeof *count);
        apr_hash_set(thread->ledger, apr_pstrdup(thread->arena, id),
                     APR_HASH_KEY_STRING, count);
        atomic_fetch_add(&standin.tasks, 1);
    }
    else {
        atomic_fetch_add(&standin.doubled, 1);
    }
    (*count)++;
    apr_thread_mutex_unlock(thread->lock);
}

/// Writes the headers that each answer carries.
static void
write_headers(const runner_t *runner, const char *try_header, bool is_not_run,
              char *out)
{
    snprintf(out, kReplyBytes, "%sJt-Load: %u/%u\r\n%s%s", try_header,
             runner->busy, atomic_load(&runner->slots),
             is_not_run ? "Jt-Not-Run: 1\r\n" : "",
             atomic_load(&runner->is_leaving) ? "Jt-Leaving: 1\r\n" : "");
}

static void
reply_refused(runner_t *runner, server_conn_t *conn,
              const server_request_t *request)
{
    char headers[kReplyBytes];
    atomic_fetch_add(&standin.refused, 1);
    write_headers(runner, request->try_header, true, headers);
    server_reply(conn, 503, headers, "refused", 7);
}

static void
end_run(loop_timer_t *timer)
{
    run_t *run = timer->owner;
    server_conn_t *conn = run->conn;
    char headers[kReplyBytes];
    char body[kServerPathBytes + 16];
    int length = snprintf(body, sizeof body, "done %s", run->id);
    run->runner->busy--;
    write_headers(run->runner, run->try_header, false, headers);
    server_set_state(conn, NULL);
    server_reply(conn, 200, headers, body, (uint32_t)length);
    if (run->is_twice) {
        char raw[kServerPathBytes + 128];
        int raw_bytes =
            snprintf(raw, sizeof raw,
                     "HTTP/1.1 200 Again\r\nContent-Length: %d\r\n\r\n%s",
                     length, body);
        server_write_raw(conn, raw, (uint32_t)raw_bytes);
    }
    free(run);
}

static void
on_gone(void *owner, server_conn_t *conn)
{
    (void)owner;
    run_t *run = server_get_state(conn);
    if (run != NULL) {
        // A closed connection is the signal to stop the task.
        loop_timer_clear(server_loop(conn), &run->timer);
        run->runner->busy--;
        free(run);
        atomic_fetch_add(&standin.cut, 1);
    }
}

/// Runs a task for its time.
static void
start_run(runner_t *runner, server_conn_t *conn,
          const server_request_t *request, uint64_t length_ns, bool is_twice)
{
    const char *id = request->path + strlen("/v1/tasks/");
    run_t *run = calloc(1, sizeof *run);
    *run = (run_t){.runner = runner, .conn = conn, .is_twice = is_twice};
    snprintf(run->id, sizeof run->id, "%s", id);
    snprintf(run->try_header, sizeof run->try_header, "%s",
             request->try_header);
    runner->busy++;
    loop_timer_init(&run->timer, end_run, run);
    server_set_state(conn, run);
    if (length_ns == 0) {
        end_run(&run->timer);
        return;
    }
    loop_timer_set(server_loop(conn), &run->timer,
                   clock_now_ns() + (int64_t)length_ns);
}

/// @return the mode for the next task; counts it
static runner_mode_t
next_mode(runner_t *runner, const server_request_t *request)
{
    runner_mode_t mode = atomic_load(&runner->mode);
    if (mode == kModeServe ||
        (mode == kModeCloseReused && !request->is_reused)) {
        return kModeServe;
    }
    int32_t left = atomic_load(&runner->mode_count);
    if (left == 0) {
        return kModeServe;
    }
    if (left > 0) {
        atomic_fetch_sub(&runner->mode_count, 1);
    }
    return mode;
}

static void
serve_task(runner_t *runner, server_conn_t *conn,
           const server_request_t *request)
{
    const char *id = request->path + strlen("/v1/tasks/");
    const char *ms_text = strstr(request->body, "ms=");
    uint64_t task_ms = ms_text == NULL ? 0 : strtoull(ms_text + 3, NULL, 10);
    uint64_t length_ns =
        task_ms * kNsPerMs * atomic_load(&runner->speed_percent) / 100;
    if (rng_below(&runner->rng, 1000) <
        atomic_load(&runner->straggler_per_mille)) {
        length_ns *= 10;
    }
    runner_mode_t mode = next_mode(runner, request);
    if (mode == kModeRefuse || atomic_load(&runner->is_leaving) ||
        runner->busy >= atomic_load(&runner->slots)) {
        reply_refused(runner, conn, request);
        return;
    }
    note_start(runner, id);
    switch (mode) {
    case kModeFail:
        server_reply(conn, 500, request->try_header, "failed", 6);
        break;
    case kModeClose:
    case kModeCloseReused:
        server_close(conn);
        break;
    case kModeSilent:
        break;
    case kModeHalf:
        server_write_raw(conn, half_answer, sizeof half_answer - 1);
        server_close(conn);
        break;
    case kModeLate:
        start_run(runner, conn, request,
                  ((uint64_t)request->lease_ms + 100) * kNsPerMs, false);
        break;
    default:
        start_run(runner, conn, request, length_ns, mode == kModeTwice);
        break;
    }
}

static void
serve_runner(void *owner, server_conn_t *conn, const server_request_t *request)
{
    runner_t *runner = owner;
    if (strncmp(request->path, "/v1/tasks/", 10) == 0) {
        serve_task(runner, conn, request);
        return;
    }
    char body[kReplyBytes];
    int length = snprintf(body, sizeof body,
                          "{\"slots\":%u,\"busy\":%u,\"leaving\":%s}",
                          atomic_load(&runner->slots), runner->busy,
                          atomic_load(&runner->is_leaving) ? "true" : "false");
    server_reply(conn, 200, "", body, (uint32_t)length);
}

static void
set_mode(runner_t *runner, const char *name)
{
    for (uint32_t i = 0; i < kModeCount; i++) {
        size_t length = strlen(mode_names[i]);
        if (strncmp(name, mode_names[i], length) == 0 &&
            (name[length] == '\0' || name[length] == '&')) {
            atomic_store(&runner->mode, i);
        }
    }
}

static void
set_runner(runner_t *runner, const char *query)
{
    const char *at;
    if ((at = strstr(query, "slots=")) != NULL) {
        atomic_store(&runner->slots, (uint32_t)strtoul(at + 6, NULL, 10));
    }
    if ((at = strstr(query, "speed=")) != NULL) {
        atomic_store(&runner->speed_percent,
                     (uint32_t)strtoul(at + 6, NULL, 10));
    }
    if ((at = strstr(query, "stragglers=")) != NULL) {
        atomic_store(&runner->straggler_per_mille,
                     (uint32_t)strtoul(at + 11, NULL, 10));
    }
    if ((at = strstr(query, "leaving=")) != NULL) {
        atomic_store(&runner->is_leaving, at[8] == '1');
    }
    if ((at = strstr(query, "mode=")) != NULL) {
        atomic_store(&runner->mode_count, -1);
        set_mode(runner, at + 5);
    }
    if ((at = strstr(query, "count=")) != NULL) {
        atomic_store(&runner->mode_count, (int32_t)strtol(at + 6, NULL, 10));
    }
}

static void
serve_set(server_conn_t *conn, const char *path)
{
    const char *at = strstr(path, "runner=");
    bool is_all = at == NULL || strncmp(at + 7, "all", 3) == 0;
    uint32_t number = is_all ? 0 : (uint32_t)strtoul(at + 7, NULL, 10);
    for (uint32_t i = 0; i < standin.count; i++) {
        if (is_all || i == number) {
            set_runner(&standin.runners[i], path);
        }
    }
    server_reply(conn, 200, "", "{}", 2);
}

static void
serve_ledger(server_conn_t *conn)
{
    char body[kReplyBytes];
    int length = snprintf(
        body, sizeof body,
        "{\"starts\":%lu,\"tasks\":%lu,\"doubled\":%lu,\"refused\":%lu,"
        "\"cut\":%lu}",
        (unsigned long)atomic_load(&standin.starts),
        (unsigned long)atomic_load(&standin.tasks),
        (unsigned long)atomic_load(&standin.doubled),
        (unsigned long)atomic_load(&standin.refused),
        (unsigned long)atomic_load(&standin.cut));
    server_reply(conn, 200, "", body, (uint32_t)length);
}

static void
serve_runner_starts(server_conn_t *conn)
{
    char *body = NULL;
    size_t size_bytes = 0;
    FILE *out = open_memstream(&body, &size_bytes);
    fprintf(out, "[");
    for (uint32_t i = 0; i < standin.count; i++) {
        fprintf(out, "%s%lu", i > 0 ? "," : "",
                (unsigned long)atomic_load(&standin.runners[i].start_count));
    }
    fprintf(out, "]");
    fclose(out);
    server_reply(conn, 200, "", body, (uint32_t)size_bytes);
    free(body);
}

static void
serve_task_count(server_conn_t *conn, const char *id)
{
    char body[kReplyBytes];
    uint32_t starts = 0;
    for (uint32_t i = 0; i < standin.thread_count; i++) {
        runner_thread_t *thread = &standin.threads[i];
        apr_thread_mutex_lock(thread->lock);
        uint32_t *count =
            apr_hash_get(thread->ledger, id, APR_HASH_KEY_STRING);
        starts += count == NULL ? 0 : *count;
        apr_thread_mutex_unlock(thread->lock);
    }
    int length = snprintf(body, sizeof body, "{\"starts\":%u}", starts);
    server_reply(conn, 200, "", body, (uint32_t)length);
}

static void
serve_control(void *owner, server_conn_t *conn,
              const server_request_t *request)
{
    (void)owner;
    if (strncmp(request->path, "/standin/set", 12) == 0) {
        serve_set(conn, request->path);
    }
    else if (strcmp(request->path, "/standin/ledger") == 0) {
        serve_ledger(conn);
    }
    else if (strcmp(request->path, "/standin/runners") == 0) {
        serve_runner_starts(conn);
    }
    else if (strncmp(request->path, "/standin/task?id=", 17) == 0) {
        serve_task_count(conn, request->path + 17);
    }
    else {
        server_reply(conn, 404, "", "", 0);
    }
}

typedef struct {
    const char *address;
    uint16_t port;
    uint16_t control_port;
    uint32_t count;
    uint32_t thread_count;
    uint32_t slots;
    uint32_t spread; ///< speeds differ by this factor over the runners
} options_t;

static const struct argp_option option_table[] = {
    {"address", 'a', "IP", 0, "address of the first runner", 0},
    {"port", 'p', "PORT", 0, "port of every runner", 0},
    {"control", 'c', "PORT", 0, "control port", 0},
    {"count", 'n', "N", 0, "number of runners", 0},
    {"threads", 't', "N", 0, "number of threads", 0},
    {"slots", 's', "N", 0, "slots of a runner", 0},
    {"spread", 'f', "N", 0, "factor between fastest and slowest", 0},
    {0}};

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
    options_t *options = state->input;
    uint32_t number = (uint32_t)strtoul(arg == NULL ? "" : arg, NULL, 10);
    switch (key) {
    case 'a':
        options->address = arg;
        return 0;
    case 'p':
        options->port = (uint16_t)number;
        return 0;
    case 'c':
        options->control_port = (uint16_t)number;
        return 0;
    case 'n':
        options->count = number;
        return 0;
    case 't':
        options->thread_count = number < kThreadLimit ? number : kThreadLimit;
        return 0;
    case 's':
        options->slots = number;
        return 0;
    case 'f':
        options->spread = number;
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static void *APR_THREAD_FUNC
run_loop(apr_thread_t *thread, void *owner)
{
    (void)thread;
    loop_run(((runner_thread_t *)owner)->loop);
    return NULL;
}

static void
init_thread(runner_thread_t *thread)
{
    thread->loop = loop_create();
    thread->arena = arena_create();
    thread->ledger = apr_hash_make(thread->arena);
    apr_thread_mutex_create(&thread->lock, APR_THREAD_MUTEX_DEFAULT,
                            thread->arena);
}

/// Opens a runner on the address that follows the first by its number.
static bool
open_runner(runner_t *runner, uint32_t number, const options_t *options,
            error_info_t *err)
{
    struct in_addr address;
    inet_pton(AF_INET, options->address, &address);
    address.s_addr = htonl(ntohl(address.s_addr) + number);
    inet_ntop(AF_INET, &address, runner->address, sizeof runner->address);
    runner->number = number;
    runner->rng.state = number;
    runner->thread = &standin.threads[number % standin.thread_count];
    runner->server = (server_t){.loop = runner->thread->loop,
                                .serve = serve_runner,
                                .on_disconnect = on_gone,
                                .owner = runner};
    uint32_t step = options->count > 1 ? number * 100 * (options->spread - 1) /
                                             (options->count - 1)
                                       : 0;
    atomic_store(&runner->slots, options->slots);
    atomic_store(&runner->speed_percent, 100 + step);
    return server_open(&runner->server, runner->address, options->port, err);
}

int
main(int argc, char **argv)
{
    const struct argp argp = {.options = option_table,
                              .parser = parse_option,
                              .doc = "Stand-in for targets."};
    options_t options = {.address = "127.0.1.1",
                         .port = 9000,
                         .control_port = 9001,
                         .count = 10,
                         .thread_count = 1,
                         .slots = 8,
                         .spread = 1};
    error_info_t err = {0};
    argp_parse(&argp, argc, argv, 0, NULL, &options);
    apr_initialize();
    signal(SIGPIPE, SIG_IGN);
    standin.count = options.count;
    standin.thread_count = options.thread_count;
    standin.runners = calloc(options.count, sizeof(runner_t));
    for (uint32_t i = 0; i < standin.thread_count; i++) {
        init_thread(&standin.threads[i]);
    }
    for (uint32_t i = 0; i < options.count; i++) {
        if (!open_runner(&standin.runners[i], i, &options, &err)) {
            fprintf(stderr, "standin-targets: %s\n", err.text);
            return 1;
        }
    }
    standin.control =
        (server_t){.loop = loop_create(), .serve = serve_control};
    if (!server_open(&standin.control, options.address, options.control_port,
                     &err)) {
        fprintf(stderr, "standin-targets: %s\n", err.text);
        return 1;
    }
    for (uint32_t i = 0; i < standin.thread_count; i++) {
        apr_thread_create(&standin.threads[i].thread, NULL, run_loop,
                          &standin.threads[i], standin.threads[i].arena);
    }
    loop_run(standin.control.loop);
    return 0;
}
