/// A connection between own processes: frames over TCP. A frame is a 32-bit
/// big-endian length and that many bytes of a msgpack message.
#ifndef JT_NET_CONN_H
#define JT_NET_CONN_H

#include "base/arena.h"
#include "base/error.h"
#include "base/record.h"
#include "generated/messages.h"
#include "net/loop.h"

enum { kMaxFrameBytes = 64 * 1024 * 1024 };

typedef struct conn conn_t;

/// What the owner of a connection does with its events.
typedef struct {
    /// The connection is set up; only for connections that we opened.
    void (*on_open)(conn_t *conn);
    /// A whole message came. `body` is valid during the call.
    void (*on_message)(conn_t *conn, uint32_t type, bytes_t body);
    /// The connection is over; the owner must drop it.
    void (*on_close)(conn_t *conn);
} conn_ops_t;

struct conn {
    loop_t *loop;
    const conn_ops_t *ops;
    void *owner;
    arena_t *arena;
    apr_socket_t *socket;
    watch_t watch;
    loop_deferred_t flush;
    uint8_t *in;
    uint32_t in_bytes;
    uint32_t in_capacity_bytes;
    uint8_t *out;
    uint32_t out_bytes;
    uint32_t out_sent_bytes;
    uint32_t out_capacity_bytes;
    int64_t last_received_ns; ///< when bytes last came
    bool is_open;
    bool is_closed;
};

/// Starts a connection to an address.
///
/// @param source  local address to connect from, or NULL
/// @return the connection, or NULL with err set
conn_t *conn_connect(loop_t *loop, const char *source, const char *address,
                     uint16_t port, const conn_ops_t *ops, void *owner,
                     error_info_t *err);

/// Takes over an accepted socket, whose arena comes with it.
conn_t *conn_wrap_socket(loop_t *loop, apr_socket_t *socket, arena_t *arena,
                         const conn_ops_t *ops, void *owner);

/// Sends a message at the end of the round.
void conn_send(conn_t *conn, uint32_t type, const void *message);

/// Sends a message that is packed already.
void conn_send_packed(conn_t *conn, bytes_t body);

/// Closes a connection and frees it at the end of the round. Calls on_close
/// once.
void conn_close(conn_t *conn);

/// Writes out what is queued, without waiting.
void conn_flush(conn_t *conn);

#endif
