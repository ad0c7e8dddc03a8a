/// Stand-ins for targets: one process serves many, each on its own address,
/// with slots, a speed and faults. It counts starts by task id. Requests name
/// a target as "runner".
///
///   POST /v1/tasks/ID        runs a task; the payload "ms=N" sets its time
///   GET  /v1/status          slots, busy slots, leaving
///   On the control port of the first address:
///   POST /standin/set?runner=I&K=V  mode=NAME count=N slots=N speed=PERCENT
///                                   (of the run time)
///                                   stragglers=PER_MILLE leaving=0|1
///                                   (runner=all for all)
///   GET  /standin/ledger     counters: starts, tasks (distinct), doubled
///                            (repeated starts of a task), refused, and cut
///                            (runs aborted as their connection closed)
///   GET  /standin/runners    starts of each target
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

enum { kReplyBytes = 768, kAddressBytes = 20, kMaxThreads = 16 };

/// How a target handles a task.
typedef enum {
    kModeServe,
    kModeRefuse,      ///< 503 before the start
    kModeFail,        ///< starts, responds 500 at once
    kModeClose,       ///< starts, closes without a response
    kModeCloseReused, ///< the same, on reused connections only
    kModeSilent,      ///< starts, never responds
    kModeHalf,        ///< starts, sends a truncated response, closes
    kModeTwice,       ///< starts, responds twice
    kModeLate,        ///< starts, responds 100 ms after the lease
    kModeCount
} target_mode_t;

static const char *const mode_names[kModeCount] = {
    "serve",  "refuse", "fail",  "close", "close_reused",
    "silent", "half",   "twice", "late"};

static const char truncated_response[] =
    "HTTP/1.1 200 Half\r\nContent-Length: 99\r\n\r\nhalf";

typedef struct target_thread target_thread_t;

typedef struct {
    server_t server;
    target_thread_t *thread;
    uint32_t number;
    char address[kAddressBytes];
    uint32_t busy; ///< busy slots; accessed only by its thread
    _Atomic uint32_t mode;
    _Atomic int32_t mode_count; ///< remaining tasks in this mode, -1 for all
    _Atomic uint32_t slots;
    _Atomic uint32_t run_time_percent;
    _Atomic uint32_t straggler_per_mille; ///< tasks that take 10 times as long
    rng_t rng;                            ///< accessed only by its thread
    _Atomic bool is_leaving;
    _Atomic uint64_t start_count;
} fake_target_t;

struct target_thread {
    loop_t *loop;
    apr_thread_t *thread;
    arena_t *arena;
    apr_thread_mutex_t *lock; ///< of start_counts
    apr_hash_t *start_counts; ///< task id to number of starts
};

static struct {
    fake_target_t *targets;
    uint32_t count;
    target_thread_t threads[kMaxThreads];
    uint32_t thread_count;
    server_t control;
    _Atomic uint64_t start_count;
    _Atomic uint64_t refused_count;
    _Atomic uint64_t task_count;
    _Atomic uint64_t repeated_start_count;
    _Atomic uint64_t aborted_run_count;
} standin;

/// A running task.
typedef struct {
    loop_timer_t timer;
    fake_target_t *target;
    server_conn_t *conn;
    bool responds_twice;
    bool is_answered;
    char id[kServerPathBytes];
    char try_header[kServerPathBytes];
} run_t;

/// Counts a start of a task.
static void
record_start(fake_target_t *target, const char *id)
{
    target_thread_t *thread = target->thread;
    atomic_fetch_add(&standin.start_count, 1);
    atomic_fetch_add(&target->start_count, 1);
    apr_thread_mutex_lock(thread->lock);
    uint32_t *count =
        apr_hash_get(thread->start_counts, id, APR_HASH_KEY_STRING);
    if (count == NULL) {
        count = apr_pcalloc(thread->arena, sizeof *count);
        apr_hash_set(thread->start_counts, apr_pstrdup(thread->arena, id),
                     APR_HASH_KEY_STRING, count);
        atomic_fetch_add(&standin.task_count, 1);
    }
    else {
        atomic_fetch_add(&standin.repeated_start_count, 1);
    }
    (*count)++;
    apr_thread_mutex_unlock(thread->lock);
}

/// Writes the headers that 200 and 503 responses to tasks have.
static void
write_headers(const fake_target_t *target, const char *try_header,
              bool is_not_run, char *out)
{
    snprintf(out, kReplyBytes, "%sJt-Load: %u/%u\r\n%s%s", try_header,
             target->busy, atomic_load(&target->slots),
             is_not_run ? "Jt-Not-Run: 1\r\n" : "",
             atomic_load(&target->is_leaving) ? "Jt-Leaving: 1\r\n" : "");
}

static void
reject_task(fake_target_t *target, server_conn_t *conn,
            const server_request_t *request)
{
    char headers[kReplyBytes];
    atomic_fetch_add(&standin.refused_count, 1);
    write_headers(target, request->try_header, true, headers);
    server_reply(conn, 503, headers, "refused", 7);
}

static void
finish_run(loop_timer_t *timer)
{
    run_t *run = timer->owner;
    server_conn_t *conn = run->conn;
    char headers[kReplyBytes];
    char body[kServerPathBytes + 16];
    int length = snprintf(body, sizeof body, "done %s", run->id);
    run->target->busy--;
    write_headers(run->target, run->try_header, false, headers);
    server_set_state(conn, NULL);
    server_reply(conn, 200, headers, body, (uint32_t)length);
    if (run->responds_twice) {
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
on_disconnect(void *owner, server_conn_t *conn)
{
    (void)owner;
    run_t *run = server_get_state(conn);
    if (run != NULL) {
        // The dispatcher aborts a task by closing its connection.
        loop_timer_clear(server_loop(conn), &run->timer);
        run->target->busy--;
        free(run);
        atomic_fetch_add(&standin.aborted_run_count, 1);
    }
}

/// Starts a task that ends after its run time.
static void
start_run(fake_target_t *target, server_conn_t *conn,
          const server_request_t *request, uint64_t run_time_ns,
          bool responds_twice)
{
    const char *id = request->path + strlen("/v1/tasks/");
    run_t *run = calloc(1, sizeof *run);
    *run = (run_t){
        .target = target, .conn = conn, .responds_twice = responds_twice};
    snprintf(run->id, sizeof run->id, "%s", id);
    snprintf(run->try_header, sizeof run->try_header, "%s",
             request->try_header);
    target->busy++;
    loop_timer_init(&run->timer, finish_run, run);
    server_set_state(conn, run);
    if (run_time_ns == 0) {
        finish_run(&run->timer);
        return;
    }
    loop_timer_set(server_loop(conn), &run->timer,
                   clock_now_ns() + (int64_t)run_time_ns);
}

/// @return the mode of the next task, which is counted in mode_count
static target_mode_t
next_mode(fake_target_t *target, const server_request_t *request)
{
    target_mode_t mode = atomic_load(&target->mode);
    if (mode == kModeServe ||
        (mode == kModeCloseReused && !request->is_reused)) {
        return kModeServe;
    }
    int32_t left = atomic_load(&target->mode_count);
    if (left == 0) {
        return kModeServe;
    }
    if (left > 0) {
        atomic_fetch_sub(&target->mode_count, 1);
    }
    return mode;
}

static void
serve_task(fake_target_t *target, server_conn_t *conn,
           const server_request_t *request)
{
    const char *id = request->path + strlen("/v1/tasks/");
    const char *ms_text = strstr(request->body, "ms=");
    uint64_t task_ms = ms_text == NULL ? 0 : strtoull(ms_text + 3, NULL, 10);
    uint64_t run_time_ns =
        task_ms * kNsPerMs * atomic_load(&target->run_time_percent) / 100;
    if (rng_below(&target->rng, 1000) <
        atomic_load(&target->straggler_per_mille)) {
        run_time_ns *= 10;
    }
    target_mode_t mode = next_mode(target, request);
    if (mode == kModeRefuse || atomic_load(&target->is_leaving) ||
        target->busy >= atomic_load(&target->slots)) {
        reject_task(target, conn, request);
        return;
    }
    record_start(target, id);
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
        server_write_raw(conn, truncated_response,
                         sizeof truncated_response - 1);
        server_close(conn);
        break;
    case kModeLate:
        start_run(target, conn, request,
                  ((uint64_t)request->lease_ms + 100) * kNsPerMs, false);
        break;
    default:
        start_run(target, conn, request, run_time_ns, mode == kModeTwice);
        break;
    }
}

static void
serve_target(void *owner, server_conn_t *conn, const server_request_t *request)
{
    fake_target_t *target = owner;
    if (strncmp(request->path, "/v1/tasks/", 10) == 0) {
        serve_task(target, conn, request);
        return;
    }
    char body[kReplyBytes];
    int length = snprintf(body, sizeof body,
                          "{\"slots\":%u,\"busy\":%u,\"leaving\":%s}",
                          atomic_load(&target->slots), target->busy,
                          atomic_load(&target->is_leaving) ? "true" : "false");
    server_reply(conn, 200, "", body, (uint32_t)length);
}

static void
set_mode(fake_target_t *target, const char *name)
{
    for (uint32_t i = 0; i < kModeCount; i++) {
        size_t length = strlen(mode_names[i]);
        if (strncmp(name, mode_names[i], length) == 0 &&
            (name[length] == '\0' || name[length] == '&')) {
            atomic_store(&target->mode, i);
        }
    }
}

static void
configure_target(fake_target_t *target, const char *query)
{
    const char *at;
    if ((at = strstr(query, "slots=")) != NULL) {
        atomic_store(&target->slots, (uint32_t)strtoul(at + 6, NULL, 10));
    }
    if ((at = strstr(query, "speed=")) != NULL) {
        atomic_store(&target->run_time_percent,
                     (uint32_t)strtoul(at + 6, NULL, 10));
    }
    if ((at = strstr(query, "stragglers=")) != NULL) {
        atomic_store(&target->straggler_per_mille,
                     (uint32_t)strtoul(at + 11, NULL, 10));
    }
    if ((at = strstr(query, "leaving=")) != NULL) {
        atomic_store(&target->is_leaving, at[8] == '1');
    }
    if ((at = strstr(query, "mode=")) != NULL) {
        atomic_store(&target->mode_count, -1);
        set_mode(target, at + 5);
    }
    if ((at = strstr(query, "count=")) != NULL) {
        atomic_store(&target->mode_count, (int32_t)strtol(at + 6, NULL, 10));
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
            configure_target(&standin.targets[i], path);
        }
    }
    server_reply(conn, 200, "", "{}", 2);
}

static void
serve_counters(server_conn_t *conn)
{
    char body[kReplyBytes];
    int length = snprintf(
        body, sizeof body,
        "{\"starts\":%lu,\"tasks\":%lu,\"doubled\":%lu,\"refused\":%lu,"
        "\"cut\":%lu}",
        (unsigned long)atomic_load(&standin.start_count),
        (unsigned long)atomic_load(&standin.task_count),
        (unsigned long)atomic_load(&standin.repeated_start_count),
        (unsigned long)atomic_load(&standin.refused_count),
        (unsigned long)atomic_load(&standin.aborted_run_count));
    server_reply(conn, 200, "", body, (uint32_t)length);
}

static void
serve_target_starts(server_conn_t *conn)
{
    char *body = NULL;
    size_t size_bytes = 0;
    FILE *out = open_memstream(&body, &size_bytes);
    fprintf(out, "[");
    for (uint32_t i = 0; i < standin.count; i++) {
        fprintf(out, "%s%lu", i > 0 ? "," : "",
                (unsigned long)atomic_load(&standin.targets[i].start_count));
    }
    fprintf(out, "]");
    fclose(out);
    server_reply(conn, 200, "", body, (uint32_t)size_bytes);
    free(body);
}

static void
serve_task_starts(server_conn_t *conn, const char *id)
{
    char body[kReplyBytes];
    uint32_t start_count = 0;
    for (uint32_t i = 0; i < standin.thread_count; i++) {
        target_thread_t *thread = &standin.threads[i];
        apr_thread_mutex_lock(thread->lock);
        uint32_t *count =
            apr_hash_get(thread->start_counts, id, APR_HASH_KEY_STRING);
        start_count += count == NULL ? 0 : *count;
        apr_thread_mutex_unlock(thread->lock);
    }
    int length = snprintf(body, sizeof body, "{\"starts\":%u}", start_count);
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
        serve_counters(conn);
    }
    else if (strcmp(request->path, "/standin/runners") == 0) {
        serve_target_starts(conn);
    }
    else if (strncmp(request->path, "/standin/task?id=", 17) == 0) {
        serve_task_starts(conn, request->path + 17);
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
    uint32_t spread; ///< ratio of the highest to the lowest run time
} options_t;

static const struct argp_option option_table[] = {
    {"address", 'a', "IP", 0, "address of the first target", 0},
    {"port", 'p', "PORT", 0, "port of every target", 0},
    {"control", 'c', "PORT", 0, "control port", 0},
    {"count", 'n', "N", 0, "number of targets", 0},
    {"threads", 't', "N", 0, "number of threads", 0},
    {"slots", 's', "N", 0, "slots of a target", 0},
    {"spread", 'f', "N", 0, "ratio of highest to lowest run time", 0},
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
        options->thread_count = number < kMaxThreads ? number : kMaxThreads;
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
    loop_run(((target_thread_t *)owner)->loop);
    return NULL;
}

static void
init_thread(target_thread_t *thread)
{
    thread->loop = loop_create();
    thread->arena = arena_create();
    thread->start_counts = apr_hash_make(thread->arena);
    apr_thread_mutex_create(&thread->lock, APR_THREAD_MUTEX_DEFAULT,
                            thread->arena);
}

/// Opens a target on the first address plus its number.
static bool
open_target(fake_target_t *target, uint32_t number, const options_t *options,
            error_info_t *err)
{
    struct in_addr address;
    inet_pton(AF_INET, options->address, &address);
    address.s_addr = htonl(ntohl(address.s_addr) + number);
    inet_ntop(AF_INET, &address, target->address, sizeof target->address);
    target->number = number;
    target->rng.state = number;
    target->thread = &standin.threads[number % standin.thread_count];
    target->server = (server_t){.loop = target->thread->loop,
                                .on_request = serve_target,
                                .on_disconnect = on_disconnect,
                                .owner = target};
    uint32_t step = options->count > 1 ? number * 100 * (options->spread - 1) /
                                             (options->count - 1)
                                       : 0;
    atomic_store(&target->slots, options->slots);
    atomic_store(&target->run_time_percent, 100 + step);
    return server_open(&target->server, target->address, options->port, err);
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
    standin.targets = calloc(options.count, sizeof(fake_target_t));
    for (uint32_t i = 0; i < standin.thread_count; i++) {
        init_thread(&standin.threads[i]);
    }
    for (uint32_t i = 0; i < options.count; i++) {
        if (!open_target(&standin.targets[i], i, &options, &err)) {
            fprintf(stderr, "standin-targets: %s\n", err.text);
            return 1;
        }
    }
    standin.control =
        (server_t){.loop = loop_create(), .on_request = serve_control};
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
