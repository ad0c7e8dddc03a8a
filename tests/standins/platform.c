/// A stand-in for the platform: an append-only log whose oldest records can be
/// trimmed, and a list of VMs. It can be down, delay responses, and close the
/// connection after an append without a response.
///
///   POST /v1/log/config        appends; {"offset": N}
///   GET  /v1/log/config?from=N a page of at most 200 records
///   GET  /v1/vms               the list
///   PUT  /standin/vms          sets the list
///   POST /standin/set?K=V&...  outage=0|1 slow_ms=N lose_replies=N trim_to=N
///                              lag_ms=N before a new list is published
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
    kMaxPageRecords = 200,
    kMaxRecords = 1000000,
    kReplyBytes = 256,
    kHeaderBytes = 64
};

typedef struct {
    server_t server;
    char **records; ///< record of offset N at N - 1
    uint64_t next_offset;
    uint64_t first_offset;
    char *vms;
    uint64_t vms_version;
    char *pending_vms;      ///< list that is not published yet
    uint32_t list_delay_ms; ///< before a new list is published
    loop_timer_t list_timer;
    bool is_down;
    uint32_t delay_ms;
    uint32_t lose_replies;
    uint64_t request_count;
} platform_t;

/// A response that is sent when its delay has passed.
typedef struct {
    loop_timer_t timer;
    server_conn_t *conn;
    char *body;
    char headers[kHeaderBytes];
} delayed_reply_t;

static void
send_delayed_reply(loop_timer_t *timer)
{
    delayed_reply_t *reply = timer->owner;
    if (reply->conn != NULL) {
        server_set_state(reply->conn, NULL);
        server_reply(reply->conn, 200, reply->headers, reply->body,
                     (uint32_t)strlen(reply->body));
    }
    free(reply->body);
    free(reply);
}

static void
on_disconnect(void *owner, server_conn_t *conn)
{
    (void)owner;
    delayed_reply_t *reply = server_get_state(conn);
    if (reply != NULL) {
        reply->conn = NULL;
    }
}

static void
reply_json(platform_t *platform, server_conn_t *conn, const char *headers,
           const char *body)
{
    if (platform->delay_ms == 0) {
        server_reply(conn, 200, headers, body, (uint32_t)strlen(body));
        return;
    }
    delayed_reply_t *reply = calloc(1, sizeof *reply);
    reply->conn = conn;
    reply->body = strdup(body);
    snprintf(reply->headers, sizeof reply->headers, "%s", headers);
    loop_timer_init(&reply->timer, send_delayed_reply, reply);
    server_set_state(conn, reply);
    loop_timer_set(platform->server.loop, &reply->timer,
                   clock_deadline_ns(platform->delay_ms));
}

static void
serve_append(platform_t *platform, server_conn_t *conn,
             const server_request_t *request)
{
    char reply[kReplyBytes];
    platform->records[platform->next_offset - 1] =
        strndup(request->body, request->body_bytes);
    uint64_t offset = platform->next_offset++;
    if (platform->lose_replies > 0) {
        platform->lose_replies--;
        server_close(conn);
        return;
    }
    snprintf(reply, sizeof reply, "{\"offset\":%lu}", (unsigned long)offset);
    reply_json(platform, conn, "", reply);
}

static void
serve_read(platform_t *platform, server_conn_t *conn,
           const server_request_t *request)
{
    const char *from_text = strstr(request->path, "from=");
    uint64_t from = from_text == NULL ? 1 : strtoull(from_text + 5, NULL, 10);
    char *body = NULL;
    size_t size_bytes = 0;
    FILE *out = open_memstream(&body, &size_bytes);
    fprintf(out, "{\"first\":%lu,\"next\":%lu,\"entries\":[",
            (unsigned long)platform->first_offset,
            (unsigned long)platform->next_offset);
    uint64_t at =
        from > platform->first_offset ? from : platform->first_offset;
    for (uint32_t i = 0; i < kMaxPageRecords && at < platform->next_offset;
         i++, at++) {
        fprintf(out, "%s{\"offset\":%lu,\"record\":%s}", i > 0 ? "," : "",
                (unsigned long)at, platform->records[at - 1]);
    }
    fprintf(out, "]}");
    fclose(out);
    reply_json(platform, conn, "", body);
    free(body);
}

/// @param key  with "=" after it
/// @return the number behind a key of the query, or a default
static uint64_t
query_number(const char *path, const char *key, uint64_t default_number)
{
    const char *at = strstr(path, key);
    return at == NULL ? default_number : strtoull(at + strlen(key), NULL, 10);
}

static void
serve_set(platform_t *platform, server_conn_t *conn,
          const server_request_t *request)
{
    const char *path = request->path;
    platform->is_down = query_number(path, "outage=", platform->is_down) != 0;
    platform->delay_ms =
        (uint32_t)query_number(path, "slow_ms=", platform->delay_ms);
    platform->lose_replies =
        (uint32_t)query_number(path, "lose_replies=", platform->lose_replies);
    platform->list_delay_ms =
        (uint32_t)query_number(path, "lag_ms=", platform->list_delay_ms);
    uint64_t trim_to = query_number(path, "trim_to=", platform->first_offset);
    while (platform->first_offset < trim_to &&
           platform->first_offset < platform->next_offset) {
        free(platform->records[platform->first_offset - 1]);
        platform->records[platform->first_offset - 1] = NULL;
        platform->first_offset++;
    }
    server_reply(conn, 200, "", "{}", 2);
}

static void
serve_log_state(platform_t *platform, server_conn_t *conn)
{
    char reply[kReplyBytes];
    int length = snprintf(reply, sizeof reply,
                          "{\"first\":%lu,\"next\":%lu,\"requests\":%lu}",
                          (unsigned long)platform->first_offset,
                          (unsigned long)platform->next_offset,
                          (unsigned long)platform->request_count);
    server_reply(conn, 200, "", reply, (uint32_t)length);
}

/// Sends the VM list, or status 304 if the client has this version.
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

/// Serves the requests that the real platform has too.
static void
serve_platform(platform_t *platform, server_conn_t *conn,
               const server_request_t *request)
{
    platform->request_count++;
    if (platform->is_down) {
        server_close(conn);
        return;
    }
    bool is_log = strncmp(request->path, "/v1/log/config", 14) == 0;
    if (is_log && strcmp(request->method, "POST") == 0) {
        serve_append(platform, conn, request);
    }
    else if (is_log) {
        serve_read(platform, conn, request);
    }
    else if (strcmp(request->path, "/v1/vms") == 0) {
        serve_vms(platform, conn, request);
    }
    else {
        server_reply(conn, 404, "", "", 0);
    }
}

/// Publishes the list that was set last.
static void
publish_pending_list(loop_timer_t *timer)
{
    platform_t *platform = timer->owner;
    free(platform->vms);
    platform->vms = platform->pending_vms;
    platform->pending_vms = NULL;
    platform->vms_version++;
}

/// Sets a list that is published after the delay.
static void
set_pending_list(platform_t *platform, const server_request_t *request)
{
    free(platform->pending_vms);
    platform->pending_vms = strndup(request->body, request->body_bytes);
    if (platform->list_delay_ms == 0) {
        loop_timer_clear(platform->server.loop, &platform->list_timer);
        publish_pending_list(&platform->list_timer);
        return;
    }
    loop_timer_set(platform->server.loop, &platform->list_timer,
                   clock_deadline_ns(platform->list_delay_ms));
}

static void
serve(void *owner, server_conn_t *conn, const server_request_t *request)
{
    platform_t *platform = owner;
    if (strncmp(request->path, "/standin/set", 12) == 0) {
        serve_set(platform, conn, request);
    }
    else if (strcmp(request->path, "/standin/vms") == 0) {
        set_pending_list(platform, request);
        server_reply(conn, 200, "", "{}", 2);
    }
    else if (strcmp(request->path, "/standin/log") == 0) {
        serve_log_state(platform, conn);
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
                                      .on_request = serve,
                                      .on_disconnect = on_disconnect},
                           .records = calloc(kMaxRecords, sizeof(char *)),
                           .next_offset = 1,
                           .first_offset = 1,
                           .vms = strdup("{\"vms\":[]}"),
                           .vms_version = 1};
    platform.server.owner = &platform;
    loop_timer_init(&platform.list_timer, publish_pending_list, &platform);
    if (!server_open(&platform.server, options.address, options.port, &err)) {
        fprintf(stderr, "standin-platform: %s\n", err.text);
        return 1;
    }
    loop_run(platform.server.loop);
    return 0;
}
