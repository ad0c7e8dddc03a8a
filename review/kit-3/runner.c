/// Stand-in for one runner, as a process of its own. It keeps what the users'
/// pages say of starts, stops, holds, leases, fencing tokens and room. A task
/// runs for as many milliseconds as its task_spec says. Each start, end and
/// rejection is appended to a file as one line:
///
///   MS start ID kind=K task=T run=N spec=S
///   MS end ID task=T run=N how=H
///   MS reject ID task=T run=N reason=R
///
/// MS is CLOCK_MONOTONIC in milliseconds. A runner that is killed and started
/// again under its id knows nothing of before.
///
///   runner --id ID --address IP --port N --kind K --store IP:PORT --out FILE
#include <apr_general.h>
#include <argp.h>
#include <arpa/inet.h>
#include <json-c/json.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "base/units.h"
#include "runtime/clock.h"
#include "runtime/log.h"
#include "support/http_server.h"

enum {
    kMaxRuns = 4096,
    kMaxEnds = 65536,
    kNameBytes = 96,
    kTextBytes = 1024,
    kCapacityMcores = 64000,
    kCapacityMb = 131072,
    kMaxLeaseMs = 1000,
    kHeartbeatMs = 1500,
    kTickMs = 2,
    kListLimit = 500
};

typedef struct {
    char task[kNameBytes];
    uint32_t run;
    uint32_t cpu_mcores;
    int64_t end_ns;
} run_t;

typedef struct {
    char task[kNameBytes];
    uint32_t run;
    uint64_t number;
    const char *how;
} end_t;

typedef struct {
    const char *id;
    const char *address;
    uint16_t port;
    const char *kind;
    const char *store;
    const char *out;
} options_t;

static options_t options = {.kind = "a"};
static FILE *out;
static loop_t *loop;
static int64_t born_ns;
static uint64_t born_ms;
static uint64_t token;
static int64_t lease_end_ns;
static run_t runs[kMaxRuns];
static uint32_t run_count;
static end_t ends[kMaxEnds];
static uint32_t end_count;
static uint64_t acked;
static server_conn_t *waiting;
static int64_t wait_until_ns;
static loop_timer_t tick_timer;
static loop_timer_t heartbeat_timer;

static long long
now_ms(void)
{
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return (long long)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

static uint64_t
clock_ms(void)
{
    return (uint64_t)((clock_now_ns() - born_ns) / kNsPerMs);
}

/// Appends a record of this runner to keyed.servers. The store is on loopback
/// and answers at once.
static void
publish(void)
{
    char value[kTextBytes];
    char request[2 * kTextBytes];
    char host[64];
    snprintf(host, sizeof host, "%s", options.store);
    char *colon = strchr(host, ':');
    *colon = '\0';
    int value_bytes = snprintf(
        value, sizeof value,
        "{\"service\":\"s\",\"address\":\"%s:%u\",\"zone\":\"dc1\","
        "\"version\":\"v\",\"slots\":8,\"state\":\"ready\","
        "\"cold_left_ms\":0,\"capacity\":{\"cpu\":%d,\"mem_mb\":%d,"
        "\"gpus\":0},\"labels\":[\"%s\"],\"clock_ms\":%llu,\"seq\":%llu,"
        "\"born\":%llu}",
        options.address, options.port, kCapacityMcores, kCapacityMb,
        options.kind, (unsigned long long)clock_ms(),
        (unsigned long long)(1 + clock_ms() / kHeartbeatMs),
        (unsigned long long)born_ms);
    uint32_t id_bytes = (uint32_t)strlen(options.id);
    uint32_t length = htonl(1 + id_bytes + (uint32_t)value_bytes);
    int head_bytes =
        snprintf(request, sizeof request,
                 "POST /log-append?topic=keyed.servers&part=0 HTTP/1.1\r\n"
                 "Host: store\r\nContent-Length: %u\r\n\r\n",
                 5 + id_bytes + (uint32_t)value_bytes);
    char *at = request + head_bytes;
    memcpy(at, &length, 4);
    at[4] = (char)id_bytes;
    memcpy(at + 5, options.id, id_bytes);
    memcpy(at + 5 + id_bytes, value, (size_t)value_bytes);
    struct sockaddr_in to = {.sin_family = AF_INET,
                             .sin_port = htons((uint16_t)atoi(colon + 1))};
    inet_pton(AF_INET, host, &to.sin_addr);
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    if (connect(fd, (struct sockaddr *)&to, sizeof to) == 0) {
        size_t total = (size_t)head_bytes + 5 + id_bytes + (size_t)value_bytes;
        if (send(fd, request, total, MSG_NOSIGNAL) == (ssize_t)total) {
            (void)recv(fd, request, sizeof request, 0);
        }
    }
    close(fd);
}

static void
reply_object(server_conn_t *conn, uint32_t status, json_object *object)
{
    const char *text = json_object_to_json_string(object);
    server_reply(conn, status, "Content-Type: application/json\r\n", text,
                 (uint32_t)strlen(text));
    json_object_put(object);
}

static void
reply_reason(server_conn_t *conn, const char *reason)
{
    json_object *object = json_object_new_object();
    json_object_object_add(object, "clock_ms",
                           json_object_new_uint64(clock_ms()));
    if (reason != NULL) {
        json_object_object_add(object, "reason",
                               json_object_new_string(reason));
    }
    reply_object(conn, reason == NULL ? 200 : 409, object);
}

static void
reply_list(server_conn_t *conn)
{
    json_object *running = json_object_new_array();
    json_object *ended = json_object_new_array();
    for (uint32_t i = 0; i < run_count; i++) {
        json_object *row = json_object_new_array();
        json_object_array_add(row, json_object_new_string(runs[i].task));
        json_object_array_add(row, json_object_new_int((int)runs[i].run));
        json_object_array_add(row, json_object_new_string(""));
        json_object_array_add(row, json_object_new_int(100));
        json_object_array_add(running, row);
    }
    uint32_t listed = 0;
    for (uint32_t i = 0; i < end_count && listed < kListLimit; i++) {
        if (ends[i].number <= acked) {
            continue;
        }
        json_object *row = json_object_new_array();
        json_object_array_add(row, json_object_new_uint64(ends[i].number));
        json_object_array_add(row, json_object_new_string(ends[i].task));
        json_object_array_add(row, json_object_new_int((int)ends[i].run));
        json_object_array_add(row, json_object_new_string(ends[i].how));
        json_object_array_add(row, json_object_new_string(""));
        json_object_array_add(ended, row);
        listed++;
    }
    json_object *list = json_object_new_object();
    json_object_object_add(list, "clock_ms",
                           json_object_new_uint64(clock_ms()));
    json_object_object_add(list, "born", json_object_new_uint64(born_ms));
    json_object_object_add(list, "running", running);
    json_object_object_add(list, "ended_runs", ended);
    reply_object(conn, 200, list);
}

static void
note_end(const char *task, uint32_t run, const char *how)
{
    if (end_count == kMaxEnds) {
        abort();
    }
    end_t *end = &ends[end_count++];
    snprintf(end->task, sizeof end->task, "%s", task);
    end->run = run;
    end->number = end_count;
    end->how = how;
}

static void
end_run(uint32_t at, const char *how)
{
    run_t run = runs[at];
    runs[at] = runs[--run_count];
    note_end(run.task, run.run, how);
    fprintf(out, "%lld end %s task=%s run=%u how=%s\n", now_ms(), options.id,
            run.task, run.run, how);
    if (waiting != NULL) {
        server_conn_t *conn = waiting;
        waiting = NULL;
        reply_list(conn);
    }
}

static void
end_due_runs(void)
{
    int64_t now_ns = clock_now_ns();
    for (uint32_t i = 0; i < run_count;) {
        if (runs[i].end_ns <= now_ns && runs[i].end_ns <= lease_end_ns) {
            end_run(i, "done");
        }
        else if (lease_end_ns <= now_ns) {
            end_run(i, "lapsed");
        }
        else {
            i++;
        }
    }
}

static uint64_t
read_number(json_object *body, const char *key)
{
    json_object *value = NULL;
    json_object_object_get_ex(body, key, &value);
    return value == NULL ? 0 : json_object_get_uint64(value);
}

static const char *
read_text(json_object *body, const char *key)
{
    json_object *value = NULL;
    json_object_object_get_ex(body, key, &value);
    return value == NULL ? "" : json_object_get_string(value);
}

/// Takes a lease, at most kMaxLeaseMs from now; it never shortens.
static void
take_lease(json_object *body)
{
    uint64_t until_ms = read_number(body, "deadline_ms");
    int64_t until_ns = born_ns + (int64_t)until_ms * kNsPerMs;
    int64_t max_ns = clock_deadline_ns(kMaxLeaseMs);
    until_ns = min_ns(until_ns, max_ns);
    lease_end_ns = until_ns > lease_end_ns ? until_ns : lease_end_ns;
}

/// The room that a task takes is in its task_spec, "MS CPU": a start does not
/// tell it.
static uint32_t
read_cpu_mcores(const char *spec)
{
    const char *space = strchr(spec, ' ');
    return space == NULL ? 0 : (uint32_t)strtoul(space, NULL, 10);
}

static const char *
check_start(json_object *body, const char *task, uint32_t run)
{
    uint32_t used_mcores = 0;
    if (read_number(body, "deadline_ms") <= clock_ms()) {
        return "late";
    }
    for (uint32_t i = 0; i < end_count; i++) {
        if (strcmp(ends[i].task, task) == 0 && ends[i].run >= run) {
            return "old";
        }
    }
    for (uint32_t i = 0; i < run_count; i++) {
        used_mcores += runs[i].cpu_mcores;
    }
    return run_count == kMaxRuns ||
                   used_mcores +
                           read_cpu_mcores(read_text(body, "task_spec")) >
                       kCapacityMcores
               ? "room"
               : NULL;
}

static void
serve_start(server_conn_t *conn, json_object *body)
{
    const char *task = read_text(body, "task");
    const char *spec = read_text(body, "task_spec");
    uint32_t number = (uint32_t)read_number(body, "run_id");
    for (uint32_t i = 0; i < run_count; i++) {
        if (strcmp(runs[i].task, task) == 0 && runs[i].run == number) {
            take_lease(body);
            reply_reason(conn, NULL);
            return;
        }
    }
    const char *reason = check_start(body, task, number);
    if (reason != NULL) {
        if (strcmp(reason, "late") != 0) {
            take_lease(body);
        }
        fprintf(out, "%lld reject %s task=%s run=%u reason=%s\n", now_ms(),
                options.id, task, number, reason);
        reply_reason(conn, reason);
        return;
    }
    take_lease(body);
    run_t *run = &runs[run_count++];
    snprintf(run->task, sizeof run->task, "%s", task);
    run->run = number;
    run->cpu_mcores = read_cpu_mcores(spec);
    run->end_ns = clock_deadline_ns(strtoull(spec, NULL, 10));
    fprintf(out, "%lld start %s kind=%s task=%s run=%u spec=%s\n", now_ms(),
            options.id, options.kind, task, number, spec);
    reply_reason(conn, NULL);
}

static void
serve_stop(server_conn_t *conn, json_object *body)
{
    const char *task = read_text(body, "task");
    uint32_t number = (uint32_t)read_number(body, "run_id");
    for (uint32_t i = 0; i < run_count; i++) {
        if (strcmp(runs[i].task, task) == 0 && runs[i].run == number) {
            end_run(i, "stopped");
            reply_reason(conn, NULL);
            return;
        }
    }
    note_end(task, number, "stopped");
    reply_reason(conn, NULL);
}

static void
serve_hold(server_conn_t *conn, json_object *body)
{
    uint64_t cursor = read_number(body, "ack_cursor");
    uint64_t wait_ms = read_number(body, "wait_ms");
    acked = cursor > acked ? cursor : acked;
    take_lease(body);
    if (wait_ms == 0 || end_count > acked) {
        reply_list(conn);
        return;
    }
    if (waiting != NULL) {
        reply_list(waiting);
    }
    waiting = conn;
    wait_until_ns = clock_deadline_ns(wait_ms);
}

static void
serve(void *owner, server_conn_t *conn, const server_request_t *request)
{
    (void)owner;
    json_object *body = json_tokener_parse(request->body);
    if (body == NULL) {
        server_reply(conn, 400, "", "{}", 2);
        return;
    }
    end_due_runs();
    uint64_t number = read_number(body, "fence_token");
    if (number < token) {
        reply_reason(conn, "fence");
    }
    else {
        token = number;
        if (strcmp(request->path, "/run-start") == 0) {
            serve_start(conn, body);
        }
        else if (strcmp(request->path, "/run-stop") == 0) {
            serve_stop(conn, body);
        }
        else {
            serve_hold(conn, body);
        }
    }
    json_object_put(body);
}

static void
on_disconnect(void *owner, server_conn_t *conn)
{
    (void)owner;
    if (waiting == conn) {
        waiting = NULL;
    }
}

static void
on_tick(loop_timer_t *timer)
{
    end_due_runs();
    if (waiting != NULL && wait_until_ns <= clock_now_ns()) {
        server_conn_t *conn = waiting;
        waiting = NULL;
        reply_list(conn);
    }
    loop_timer_set(loop, timer, clock_deadline_ns(kTickMs));
}

static void
on_heartbeat(loop_timer_t *timer)
{
    publish();
    loop_timer_set(loop, timer, clock_deadline_ns(kHeartbeatMs));
}

static const struct argp_option option_table[] = {
    {"id", 'i', "ID", 0, "id of the runner", 0},
    {"address", 'a', "IP", 0, "address to listen on", 0},
    {"port", 'p', "PORT", 0, "port to listen on", 0},
    {"kind", 'k', "LABEL", 0, "its label", 0},
    {"store", 's', "IP:PORT", 0, "address of the store", 0},
    {"out", 'o', "FILE", 0, "file to append to", 0},
    {0}};

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
    (void)state;
    switch (key) {
    case 'i':
        options.id = arg;
        return 0;
    case 'a':
        options.address = arg;
        return 0;
    case 'p':
        options.port = (uint16_t)atoi(arg);
        return 0;
    case 'k':
        options.kind = arg;
        return 0;
    case 's':
        options.store = arg;
        return 0;
    case 'o':
        options.out = arg;
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

int
main(int argc, char **argv)
{
    const struct argp argp = {.options = option_table, .parser = parse_option};
    error_info_t err = {0};
    struct timespec now;
    argp_parse(&argp, argc, argv, 0, NULL, NULL);
    if (options.id == NULL || options.address == NULL ||
        options.store == NULL || options.out == NULL) {
        fprintf(stderr, "review-runner: an option is missing\n");
        return 1;
    }
    apr_initialize();
    signal(SIGPIPE, SIG_IGN);
    log_open("review-runner");
    out = fopen(options.out, "a");
    if (out == NULL) {
        return 1;
    }
    setvbuf(out, NULL, _IOLBF, 0);
    loop = loop_create();
    born_ns = clock_now_ns();
    clock_gettime(CLOCK_REALTIME, &now);
    born_ms = (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
    server_t server = {
        .loop = loop, .on_request = serve, .on_disconnect = on_disconnect};
    if (!server_open(&server, options.address, options.port, &err)) {
        fprintf(stderr, "review-runner: %s\n", err.text);
        return 1;
    }
    loop_timer_init(&tick_timer, on_tick, NULL);
    loop_timer_init(&heartbeat_timer, on_heartbeat, NULL);
    on_tick(&tick_timer);
    on_heartbeat(&heartbeat_timer);
    loop_run(loop);
    return 0;
}
