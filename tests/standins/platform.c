/// A stand-in for the platform: an append-only log with offsets that keeps
/// records for a limited time, and a list of VMs. It can be out, slow, and
/// lose replies after the write.
///
///   POST /v1/log/config        append; {"offset": N}
///   GET  /v1/log/config?from=N a page of at most 200 records
///   GET  /v1/vms               the list
///   PUT  /standin/vms          sets the list
///   POST /standin/set?K=V&...  outage=0|1 slow_ms=N lose_replies=N trim_to=N
///                              lag_ms=N until a new list is shown
///   GET  /standin/log          {"first", "next", "requests"}
#include <apr_general.h>
#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "runtime/clock.h"
#include "support/http_server.h"

enum {
    kPageRecords = 200,
    kRecordLimit = 1000000,
    kReplyBytes = 256,
    kHeaderBytes = 64
};

typedef struct {
    server_t server;
    char **records; ///< by offset - 1
    uint64_t next;
    uint64_t first;
    char *vms;
    uint64_t vms_version;
    char *next_vms;  ///< list that is not shown yet
    uint32_t lag_ms; ///< until a new list is shown
    loop_timer_t lag;
    bool is_out;
    uint32_t slow_ms;
    uint32_t lose_replies;
    uint64_t request_count;
} platform_t;

/// An answer that is held back by slowness.
typedef struct {
    loop_timer_t timer;
    server_conn_t *conn;
    char *body;
    char headers[kHeaderBytes];
} slow_t;

static void
send_slow(loop_timer_t *timer)
{
    slow_t *slow = timer->owner;
    if (slow->conn != NULL) {
        server_set_state(slow->conn, NULL);
        server_reply(slow->conn, 200, slow->headers, slow->body,
                     (uint32_t)strlen(slow->body));
    }
    free(slow->body);
    free(slow);
}

static void
on_gone(void *owner, server_conn_t *conn)
{
    (void)owner;
    slow_t *slow = server_get_state(conn);
    if (slow != NULL) {
        slow->conn = NULL;
    }
}

static void
reply_json(platform_t *platform, server_conn_t *conn, const char *headers,
           const char *body)
{
    if (platform->slow_ms == 0) {
        server_reply(conn, 200, headers, body, (uint32_t)strlen(body));
        return;
    }
    slow_t *slow = calloc(1, sizeof *slow);
    slow->conn = conn;
    slow->body = strdup(body);
    snprintf(slow->headers, sizeof slow->headers, "%s", headers);
    loop_timer_init(&slow->timer, send_slow, slow);
    server_set_state(conn, slow);
    loop_timer_set(platform->server.loop, &slow->timer,
                   clock_deadline_ns(platform->slow_ms));
}

static void
serve_append(platform_t *platform, server_conn_t *conn,
             const server_request_t *request)
{
    char reply[kReplyBytes];
    platform->records[platform->next - 1] =
        strndup(request->body, request->body_bytes);
    uint64_t offset = platform->next++;
    if (platform->lose_replies > 0) {
        platform->lose_replies--;
        server_close(conn);
        return;
    }
    snprintf(reply, sizeof reply, "{\"offset\":%lu}", (unsigned long)offset);
    reply_json(platform, conn, "", reply);
}

static void
serve_page(platform_t *platform, server_conn_t *conn,
           const server_request_t *request)
{
    const char *from_text = strstr(request->path, "from=");
    uint64_t from = from_text == NULL ? 1 : strtoull(from_text + 5, NULL, 10);
    char *body = NULL;
    size_t size_bytes = 0;
    FILE *out = open_memstream(&body, &size_bytes);
    fprintf(out, "{\"first\":%lu,\"next\":%lu,\"entries\":[",
            (unsigned long)platform->first, (unsigned long)platform->next);
    uint64_t at = from > platform->first ? from : platform->first;
    for (uint32_t i = 0; i < kPageRecords && at < platform->next; i++, at++) {
        fprintf(out, "%s{\"offset\":%lu,\"record\":%s}", i > 0 ? "," : "",
                (unsigned long)at, platform->records[at - 1]);
    }
    fprintf(out, "]}");
    fclose(out);
    reply_json(platform, conn, "", body);
    free(body);
}

/// @return the number behind a key of the query, or a default
static uint64_t
query_number(const char *path, const char *key, uint64_t absent)
{
    const char *at = strstr(path, key);
    return at == NULL ? absent : strtoull(at + strlen(key), NULL, 10);
}

static void
serve_set(platform_t *platform, server_conn_t *conn,
          const server_request_t *request)
{
    const char *path = request->path;
    platform->is_out = query_number(path, "outage=", platform->is_out) != 0;
    platform->slow_ms =
        (uint32_t)query_number(path, "slow_ms=", platform->slow_ms);
    platform->lose_replies =
        (uint32_t)query_number(path, "lose_replies=", platform->lose_replies);
    platform->lag_ms =
        (uint32_t)query_number(path, "lag_ms=", platform->lag_ms);
    uint64_t trim_to = query_number(path, "trim_to=", platform->first);
    while (platform->first < trim_to && platform->first < platform->next) {
        free(platform->records[platform->first - 1]);
        platform->records[platform->first - 1] = NULL;
        platform->first++;
    }
    server_reply(conn, 200, "", "{}", 2);
}

static void
serve_state(platform_t *platform, server_conn_t *conn)
{
    char reply[kReplyBytes];
    int length = snprintf(
        reply, sizeof reply, "{\"first\":%lu,\"next\":%lu,\"requests\":%lu}",
        (unsigned long)platform->first, (unsigned long)platform->next,
        (unsigned long)platform->request_count);
    server_reply(conn, 200, "", reply, (uint32_t)length);
}

/// Sends the list, unless the reader has this version.
static void
serve_vms(platform_t *platform, server_conn_t *conn,
          const server_request_t *request)
{
    char headers[kHeaderBytes];
    snprintf(headers, sizeof headers, "ETag: \"%lu\"\r\n",
             (unsigned long)platform->vms_version);
    if (request->if_none_match == platform->vms_version) {
        server_reply(conn, 304, headers, "", 0);
        return;
    }
    reply_json(platform, conn, headers, platform->vms);
}

/// Serves what the platform itself offers.
static void
serve_platform(platform_t *platform, server_conn_t *conn,
               const server_request_t *request)
{
    platform->request_count++;
    if (platform->is_out) {
        server_close(conn);
        return;
    }
    bool is_log = strncmp(request->path, "/v1/log/config", 14) == 0;
    if (is_log && strcmp(request->method, "POST") == 0) {
        serve_append(platform, conn, request);
    }
    else if (is_log) {
        serve_page(platform, conn, request);
    }
    else if (strcmp(request->path, "/v1/vms") == 0) {
        serve_vms(platform, conn, request);
    }
    else {
        server_reply(conn, 404, "", "", 0);
    }
}

/// Shows the list that was set last.
static void
show_list(loop_timer_t *timer)
{
    platform_t *platform = timer->owner;
    free(platform->vms);
    platform->vms = platform->next_vms;
    platform->next_vms = NULL;
    platform->vms_version++;
}

/// Takes a list, which is shown after the lag.
static void
take_list(platform_t *platform, const server_request_t *request)
{
    free(platform->next_vms);
    platform->next_vms = strndup(request->body, request->body_bytes);
    if (platform->lag_ms == 0) {
        loop_timer_clear(platform->server.loop, &platform->lag);
        show_list(&platform->lag);
        return;
    }
    loop_timer_set(platform->server.loop, &platform->lag,
                   clock_deadline_ns(platform->lag_ms));
}

static void
serve(void *owner, server_conn_t *conn, const server_request_t *request)
{
    platform_t *platform = owner;
    if (strncmp(request->path, "/standin/set", 12) == 0) {
        serve_set(platform, conn, request);
    }
    else if (strcmp(request->path, "/standin/vms") == 0) {
        take_list(platform, request);
        server_reply(conn, 200, "", "{}", 2);
    }
    else if (strcmp(request->path, "/standin/log") == 0) {
        serve_state(platform, conn);
    }
    else {
        serve_platform(platform, conn, request);
    }
}

static const struct argp_option option_table[] = {
    {"address", 'a', "IP", 0, "address to listen on", 0},
    {"port", 'p', "PORT", 0, "port to listen on", 0},
    {0}};

typedef struct {
    const char *address;
    uint16_t port;
} options_t;

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
    options_t *options = state->input;
    switch (key) {
    case 'a':
        options->address = arg;
        return 0;
    case 'p':
        options->port = (uint16_t)strtoul(arg, NULL, 10);
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

int
main(int argc, char **argv)
{
    const struct argp argp = {.options = option_table,
                              .parser = parse_option,
                              .doc = "Stand-in for the platform."};
    options_t options = {.address = "127.0.0.1", .port = 7400};
    error_info_t err = {0};
    argp_parse(&argp, argc, argv, 0, NULL, &options);
    apr_initialize();
    signal(SIGPIPE, SIG_IGN);
    platform_t platform = {.server = {.loop = loop_create(),
                                      .serve = serve,
                                      .on_disconnect = on_gone},
                           .records = calloc(kRecordLimit, sizeof(char *)),
                           .next = 1,
                           .first = 1,
                           .vms = strdup("{\"vms\":[]}"),
                           .vms_version = 1};
    platform.server.owner = &platform;
    loop_timer_init(&platform.lag, show_list, &platform);
    if (!server_open(&platform.server, options.address, options.port, &err)) {
        fprintf(stderr, "standin-platform: %s\n", err.text);
        return 1;
    }
    loop_run(platform.server.loop);
    return 0;
}
