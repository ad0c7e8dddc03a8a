#include "ctl/client.h"

#include "codec/pack.h"
#include "net/conn.h"
#include "runtime/clock.h"
#include "runtime/control.h"

/// A request that waits for its reply.
typedef struct {
    const client_endpoint_t *endpoint;
    loop_t *loop;
    conn_t *conn;
    loop_timer_t timeout_timer;
    uint32_t type;
    const void *message;
    uint32_t reply_type;
    arena_t *arena;
    void *reply;
    error_info_t *err;
    bool is_done;
    bool is_closing; ///< the close of the connection is expected
} request_t;

static void
on_open(conn_t *conn)
{
    request_t *request = conn->owner;
    hello_message_t hello = {.role = kRoleCtl};
    control_send_hello(conn, &hello);
    conn_send(conn, request->type, request->message);
    if (request->reply_type == kMessageNone) {
        conn_flush(conn);
        request->is_done = true;
        loop_stop(request->loop);
    }
}

static void
on_message(conn_t *conn, uint32_t type, bytes_t body)
{
    request_t *request = conn->owner;
    if (type != request->reply_type || request->is_done) {
        return;
    }
    request->is_done =
        pack_read_message(body, message_descs[type], request->arena,
                          request->reply, request->err);
    loop_stop(request->loop);
}

static void
on_close(conn_t *conn)
{
    request_t *request = conn->owner;
    if (!request->is_closing) {
        error_set(request->err, kErrorKindIo, "%s:%u: the connection ended",
                  request->endpoint->address, request->endpoint->port);
    }
    request->conn = NULL;
    loop_stop(request->loop);
}

static const conn_ops_t request_ops = {
    .on_open = on_open, .on_message = on_message, .on_close = on_close};

static void
on_timeout(loop_timer_t *timer)
{
    request_t *request = timer->owner;
    error_set(request->err, kErrorKindTimeout, "%s:%u: no answer in %u ms",
              request->endpoint->address, request->endpoint->port,
              request->endpoint->timeout_ms);
    loop_stop(request->loop);
}

bool
client_send_request(const client_endpoint_t *endpoint, uint32_t type,
                    const void *message, uint32_t reply_type, arena_t *arena,
                    void *reply, error_info_t *err)
{
    request_t request = {.endpoint = endpoint,
                         .loop = loop_create(),
                         .type = type,
                         .message = message,
                         .reply_type = reply_type,
                         .arena = arena,
                         .reply = reply,
                         .err = err};
    loop_timer_init(&request.timeout_timer, on_timeout, &request);
    request.conn = conn_connect(request.loop, NULL, endpoint->address,
                                endpoint->port, &request_ops, &request, err);
    if (request.conn != NULL) {
        loop_timer_set(request.loop, &request.timeout_timer,
                       clock_deadline_ns(endpoint->timeout_ms));
        loop_run(request.loop);
    }
    if (request.conn != NULL) {
        request.is_closing = true;
        conn_close(request.conn);
    }
    loop_destroy(request.loop);
    return request.is_done;
}
