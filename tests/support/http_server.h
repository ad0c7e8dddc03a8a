/// A small HTTP server for the stand-ins, on the project's own loop. It can
/// misbehave on purpose: answer late, by half, twice, or not at all.
#ifndef JT_TESTS_SUPPORT_HTTP_SERVER_H
#define JT_TESTS_SUPPORT_HTTP_SERVER_H

#include <stdbool.h>
#include <stdint.h>

#include "net/listener.h"

enum { kServerPathBytes = 512, kServerMethodBytes = 16 };

typedef struct server_conn server_conn_t;

/// A request. Valid until it is answered or its connection is gone.
typedef struct {
    char method[kServerMethodBytes];
    char path[kServerPathBytes]; ///< with its query
    const char *body;            ///< with a NUL after it
    uint32_t body_bytes;
    char try_header[kServerPathBytes]; ///< header Jt-Try with its CRLF, or ""
    uint64_t if_none_match; ///< number of header If-None-Match, or 0
    uint32_t lease_ms;      ///< header Jt-Lease-Ms, or 0
    bool is_reused;         ///< not the first on its connection
} server_request_t;

/// Called with each request.
typedef void (*server_handler_t)(void *owner, server_conn_t *conn,
                                 const server_request_t *request);

/// Called when a connection ends while a request of it is not answered.
typedef void (*server_disconnect_t)(void *owner, server_conn_t *conn);

typedef struct {
    loop_t *loop;
    listener_t *listener;
    server_handler_t on_request;
    server_disconnect_t on_disconnect;
    void *owner;
} server_t;

/// Listens.
bool server_open(server_t *server, const char *address, uint16_t port,
                 error_info_t *err);

/// Answers the request of a connection.
///
/// @param headers  further header lines, each with its CRLF, or ""
void server_reply(server_conn_t *conn, uint32_t status, const char *headers,
                  const void *body, uint32_t body_bytes);

/// Writes bytes as they are.
void server_write_raw(server_conn_t *conn, const void *data,
                      uint32_t size_bytes);

/// Closes the connection.
void server_close(server_conn_t *conn);

/// What the owner keeps for the request in progress.
void server_set_state(server_conn_t *conn, void *state);
void *server_get_state(const server_conn_t *conn);

/// @return the loop of the connection
loop_t *server_loop(const server_conn_t *conn);

#endif
