/// A small HTTP/1.1 server for the stand-ins, on the event loop of src/net.
/// Handlers can misbehave: respond late, in part, twice, or not at all.
#ifndef JT_TESTS_SUPPORT_HTTP_SERVER_H
#define JT_TESTS_SUPPORT_HTTP_SERVER_H

#include <stdbool.h>
#include <stdint.h>

#include "net/listener.h"

enum { kServerPathBytes = 512, kServerMethodBytes = 16 };

typedef struct server_conn server_conn_t;

/// A request. Valid during the call of the handler, its body only until the
/// response is sent.
typedef struct {
    char method[kServerMethodBytes];
    char path[kServerPathBytes]; ///< with the query
    const char *body;            ///< followed by a NUL
    uint32_t body_bytes;
    char try_header[kServerPathBytes]; ///< header line Jt-Try with CRLF, or ""
    uint64_t if_none_match; ///< number in header If-None-Match, or 0
    uint32_t lease_ms;      ///< header Jt-Lease-Ms, or 0
    bool is_reused;         ///< not the first on its connection
} server_request_t;

/// Called for each request. The next request of the connection waits until the
/// response is sent.
typedef void (*server_handler_t)(void *owner, server_conn_t *conn,
                                 const server_request_t *request);

/// Called when a connection closes before the response to its request is sent.
typedef void (*server_disconnect_t)(void *owner, server_conn_t *conn);

typedef struct {
    loop_t *loop;
    listener_t *listener;
    server_handler_t on_request;
    server_disconnect_t on_disconnect;
    void *owner;
} server_t;

/// Starts to listen. `loop`, `on_request` and `owner` are set before.
bool server_open(server_t *server, const char *address, uint16_t port,
                 error_info_t *err);

/// Sends the response to the current request and ends the request.
///
/// @param headers  further header lines, each with CRLF, or ""
void server_reply(server_conn_t *conn, uint32_t status, const char *headers,
                  const void *body, uint32_t body_bytes);

/// Sends bytes unchanged. Doesn't end the current request.
void server_write_raw(server_conn_t *conn, const void *data,
                      uint32_t size_bytes);

/// Closes the connection.
void server_close(server_conn_t *conn);

/// Data that the owner attaches to the current request; NULL for a new one.
void server_set_state(server_conn_t *conn, void *state);
void *server_get_state(const server_conn_t *conn);

/// @return the event loop of the connection
loop_t *server_loop(const server_conn_t *conn);

#endif
