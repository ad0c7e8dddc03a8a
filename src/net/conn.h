/// A TCP connection between jaytrestle processes. It carries frames: a 32-bit
/// big-endian length, then a msgpack message of that many bytes.
#ifndef JT_NET_CONN_H
#define JT_NET_CONN_H

#include "base/arena.h"
#include "base/error.h"
#include "base/record.h"
#include "generated/messages.h"
#include "net/loop.h"
#include "net/occupancy.h"

enum {
    kMaxFrameBytes = 64 * 1024 * 1024,
    /// Frames of the largest size that may wait for the other end to read. A
    /// connection with more is closed, so that a peer that sends requests and
    /// does not read the replies does not use up the memory.
    kMaxUnreadFrames = 2
};

typedef struct conn conn_t;

/// Event handlers of a connection's owner.
typedef struct {
    /// The connection is established. Called only for those that conn_connect
    /// opened; may be NULL.
    void (*on_open)(conn_t *conn);
    /// A whole message was received. `body` is valid during the call.
    void (*on_message)(conn_t *conn, uint32_t type, bytes_t body);
    /// The connection is closed. The owner must drop its pointer to it.
    void (*on_close)(conn_t *conn);
    /// Largest frame that is accepted; 0 stands for kMaxFrameBytes.
    uint32_t frame_limit_bytes;
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
    int64_t last_received_ns; ///< time when bytes were last received
    occupant_t occupant;      ///< of an accepted connection
    bool is_accepted;
    bool is_open;
    bool is_overflowing; ///< the other end has not read what was sent
    bool is_closed;
};

/// Starts to connect to an address.
///
/// @param source  local address to connect from, or NULL
/// @return the connection, or NULL with err set
conn_t *conn_connect(loop_t *loop, const char *source, const char *address,
                     uint16_t port, const conn_ops_t *ops, void *owner,
                     error_info_t *err);

/// Sets the memory for what accepted connections have not sent completely or
/// not read. Call it before connections are accepted; without it, a quarter of
/// what the process may use is taken.
void conn_limit_accepted(uint64_t memory_bytes);

/// @return whether this process may accept one more connection. Connections
///         from other processes hold a part of its file descriptors only: the
///         rest is for those that it opens itself, and for callers.
bool conn_may_accept(void);

/// Makes a connection from an accepted socket. Takes ownership of the socket
/// and of its arena.
conn_t *conn_wrap_socket(loop_t *loop, apr_socket_t *socket, arena_t *arena,
                         const conn_ops_t *ops, void *owner);

/// Queues a message; it is sent at the end of the loop's iteration. If the
/// other end does not read what was sent before, the connection is closed
/// then.
void conn_send(conn_t *conn, uint32_t type, const void *message);

/// Queues a message that is already encoded.
void conn_send_packed(conn_t *conn, bytes_t body);

/// Closes a connection, calls on_close once and frees the connection at the
/// end of the loop's iteration.
void conn_close(conn_t *conn);

/// Sends what is queued, as far as the socket takes it without blocking.
void conn_flush(conn_t *conn);

#endif
