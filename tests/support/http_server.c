#include "support/http_server.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

enum { kBufferBytes = 8192, kHeadBytes = 512 };

struct server_conn {
    server_t *server;
    apr_socket_t *socket;
    arena_t *arena;
    watch_t watch;
    char *in;
    uint32_t in_bytes;
    uint32_t in_capacity_bytes;
    char *out;
    uint32_t out_bytes;
    uint32_t out_sent_bytes;
    uint32_t out_capacity_bytes;
    uint32_t request_count;
    uint32_t taken_bytes; ///< of the request in progress
    bool is_serving;
    bool is_closed;
    void *state;
};

static void take_requests(server_conn_t *conn);

static void
grow(char **buffer, uint32_t *capacity_bytes, uint32_t need_bytes)
{
    if (need_bytes > *capacity_bytes) {
        *capacity_bytes = need_bytes * 2;
        *buffer = realloc(*buffer, *capacity_bytes);
        if (*buffer == NULL) {
            abort();
        }
    }
}

static void
free_conn(void *memory)
{
    server_conn_t *conn = memory;
    free(conn->in);
    free(conn->out);
    arena_destroy(conn->arena);
    free(conn);
}

void
server_close(server_conn_t *conn)
{
    if (conn->is_closed) {
        return;
    }
    conn->is_closed = true;
    loop_watch(conn->server->loop, &conn->watch, conn->socket, 0);
    apr_socket_close(conn->socket);
    if (conn->is_serving && conn->server->on_disconnect != NULL) {
        conn->server->on_disconnect(conn->server->owner, conn);
    }
    loop_free_later(conn->server->loop, conn, free_conn);
}

static void
flush(server_conn_t *conn)
{
    while (conn->out_sent_bytes < conn->out_bytes) {
        apr_size_t size_bytes = conn->out_bytes - conn->out_sent_bytes;
        apr_status_t status = apr_socket_send(
            conn->socket, conn->out + conn->out_sent_bytes, &size_bytes);
        conn->out_sent_bytes += (uint32_t)size_bytes;
        if (APR_STATUS_IS_EAGAIN(status)) {
            break;
        }
        if (status != APR_SUCCESS) {
            server_close(conn);
            return;
        }
    }
    bool is_done = conn->out_sent_bytes == conn->out_bytes;
    if (is_done) {
        conn->out_bytes = 0;
        conn->out_sent_bytes = 0;
    }
    loop_watch(conn->server->loop, &conn->watch, conn->socket,
               kReadyRead | (is_done ? 0 : kReadyWrite));
}

void
server_write_raw(server_conn_t *conn, const void *data, uint32_t size_bytes)
{
    if (conn->is_closed) {
        return;
    }
    grow(&conn->out, &conn->out_capacity_bytes, conn->out_bytes + size_bytes);
    memcpy(conn->out + conn->out_bytes, data, size_bytes);
    conn->out_bytes += size_bytes;
    flush(conn);
}

/// Drops the request in progress from the buffer.
static void
end_request(server_conn_t *conn)
{
    conn->is_serving = false;
    conn->state = NULL;
    memmove(conn->in, conn->in + conn->taken_bytes,
            conn->in_bytes - conn->taken_bytes);
    conn->in_bytes -= conn->taken_bytes;
    conn->taken_bytes = 0;
}

void
server_reply(server_conn_t *conn, uint32_t status, const char *headers,
             const void *body, uint32_t body_bytes)
{
    char head[kHeadBytes];
    if (conn->is_closed) {
        return;
    }
    int length = snprintf(head, sizeof head,
                          "HTTP/1.1 %u Status\r\nContent-Length: %u\r\n%s\r\n",
                          status, body_bytes, headers);
    grow(&conn->out, &conn->out_capacity_bytes,
         conn->out_bytes + (uint32_t)length + body_bytes);
    memcpy(conn->out + conn->out_bytes, head, (size_t)length);
    memcpy(conn->out + conn->out_bytes + length, body, body_bytes);
    conn->out_bytes += (uint32_t)length + body_bytes;
    end_request(conn);
    flush(conn);
    if (!conn->is_closed && conn->in_bytes > 0) {
        take_requests(conn);
    }
}

/// @return the value of a header in a head that ends with NUL, or NULL
static const char *
find_header(const char *head, const char *name)
{
    size_t length = strlen(name);
    const char *line = strstr(head, "\r\n");
    while (line != NULL) {
        line += 2;
        if (strncasecmp(line, name, length) == 0) {
            return line + length;
        }
        line = strstr(line, "\r\n");
    }
    return NULL;
}

/// Takes one whole request from the buffer, if it is there.
static bool
take_request(server_conn_t *conn)
{
    grow(&conn->in, &conn->in_capacity_bytes, conn->in_bytes + 1);
    conn->in[conn->in_bytes] = '\0';
    char *head_end = strstr(conn->in, "\r\n\r\n");
    if (head_end == NULL) {
        return false;
    }
    head_end[2] = '\0';
    const char *length_text = find_header(conn->in, "Content-Length: ");
    const char *lease_text = find_header(conn->in, "Jt-Lease-Ms: ");
    uint32_t body_bytes =
        length_text == NULL ? 0 : (uint32_t)strtoul(length_text, NULL, 10);
    uint32_t head_bytes = (uint32_t)(head_end - conn->in) + 4;
    if (conn->in_bytes < head_bytes + body_bytes) {
        head_end[2] = '\r';
        return false;
    }
    server_request_t request = {
        .body = conn->in + head_bytes,
        .body_bytes = body_bytes,
        .lease_ms =
            lease_text == NULL ? 0 : (uint32_t)strtoul(lease_text, NULL, 10),
        .is_reused = conn->request_count > 0};
    const char *etag_text = find_header(conn->in, "If-None-Match: \"");
    if (etag_text != NULL) {
        request.if_none_match = strtoull(etag_text, NULL, 10);
    }
    const char *try_text = find_header(conn->in, "Jt-Try: ");
    if (try_text != NULL) {
        snprintf(request.try_header, sizeof request.try_header,
                 "Jt-Try: %.*s\r\n", (int)strcspn(try_text, "\r"), try_text);
    }
    if (sscanf(conn->in, "%15s %511s", request.method, request.path) != 2) {
        server_close(conn);
        return false;
    }
    conn->taken_bytes = head_bytes + body_bytes;
    conn->request_count++;
    conn->is_serving = true;
    conn->server->on_request(conn->server->owner, conn, &request);
    return true;
}

static void
take_requests(server_conn_t *conn)
{
    while (!conn->is_closed && !conn->is_serving && take_request(conn)) {
    }
}

static void
on_ready(watch_t *watch, uint32_t ready)
{
    server_conn_t *conn = watch->owner;
    if (ready & kReadyWrite) {
        flush(conn);
    }
    if (conn->is_closed || !(ready & (kReadyRead | kReadyError))) {
        return;
    }
    grow(&conn->in, &conn->in_capacity_bytes, conn->in_bytes + kBufferBytes);
    apr_size_t size_bytes = conn->in_capacity_bytes - conn->in_bytes - 1;
    apr_status_t status =
        apr_socket_recv(conn->socket, conn->in + conn->in_bytes, &size_bytes);
    if (APR_STATUS_IS_EAGAIN(status)) {
        return;
    }
    if (status != APR_SUCCESS || size_bytes == 0) {
        server_close(conn);
        return;
    }
    conn->in_bytes += (uint32_t)size_bytes;
    take_requests(conn);
}

static void
on_accept(void *owner, apr_socket_t *socket, arena_t *arena)
{
    server_t *server = owner;
    server_conn_t *conn = calloc(1, sizeof *conn);
    *conn = (server_conn_t){.server = server,
                            .socket = socket,
                            .arena = arena,
                            .watch = {.on_ready = on_ready, .owner = conn}};
    apr_socket_timeout_set(socket, 0);
    apr_socket_opt_set(socket, APR_TCP_NODELAY, 1);
    loop_watch(server->loop, &conn->watch, socket, kReadyRead);
}

bool
server_open(server_t *server, const char *address, uint16_t port,
            error_info_t *err)
{
    server->listener =
        listener_open(server->loop, address, port, on_accept, server, err);
    return server->listener != NULL;
}

void
server_set_state(server_conn_t *conn, void *state)
{
    conn->state = state;
}

void *
server_get_state(const server_conn_t *conn)
{
    return conn->state;
}

loop_t *
server_loop(const server_conn_t *conn)
{
    return conn->server->loop;
}
