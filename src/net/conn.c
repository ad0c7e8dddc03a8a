#include "net/conn.h"

#include <apr_portable.h>
#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "base/counters.h"
#include "codec/pack.h"
#include "runtime/clock.h"
#include "runtime/descriptors.h"
#include "runtime/log.h"
#include "runtime/memory_limit.h"

enum {
    kHeaderBytes = 4,
    kInitialBufferBytes = 16 * 1024,
    kUserTimeoutMs = 10000, ///< for sent bytes that are not acknowledged
    kKeepaliveIdleS = 60,   ///< idle time before the kernel sends probes
    kReadsPerWakeup = 2,    ///< of a buffer each, so that a peer that sends
                            ///< without a pause does not hold up the others
    kAcceptedDescriptorPercent = 25,
    kMaxAccepted = 1024,
    /// Of the connections that may be accepted. Beyond, those with the least
    /// progress are closed, which takes until their loop runs.
    kOpenPercent = 85,
    kAcceptedMemoryPercent = 25,
    kConnBytes = 12 * 1024,       ///< of a connection: its arena and its state
    kKeptBufferBytes = 32 * 1024, ///< while a connection is idle
    kSmallConnBytes = 80 * 1024   ///< buffers of an ordinary connection, kept
                                  ///< while it is idle
};

/// Connections of this process that were accepted and are open.
static _Atomic uint32_t accepted_count;
static occupancy_t accepted;
static memory_budget_t accepted_budget;
static pthread_once_t accepted_once = PTHREAD_ONCE_INIT;

static uint32_t
accepted_limit(void)
{
    return descriptors_share(kAcceptedDescriptorPercent, kMaxAccepted);
}

static void
init_accepted(void)
{
    if (accepted_budget.limit_bytes == 0) {
        memory_budget_init(&accepted_budget, memory_limit_bytes(0) / 100 *
                                                 kAcceptedMemoryPercent);
    }
    uint32_t open_limit = accepted_limit() * kOpenPercent / 100;
    occupancy_init(&accepted, "links", &accepted_budget,
                   open_limit > 0 ? open_limit : 1, kSmallConnBytes);
}

void
conn_limit_accepted(uint64_t memory_bytes)
{
    memory_budget_init(&accepted_budget,
                       memory_bytes / 100 * kAcceptedMemoryPercent);
}

/// Charges a larger buffer before the old one is given back, as both exist
/// while it is copied.
///
/// @return false if the connection gets no memory and is to be closed
static bool
reserve(conn_t *conn, uint8_t **buffer, uint32_t *capacity_bytes,
        uint64_t required_bytes)
{
    if (required_bytes <= *capacity_bytes) {
        return true;
    }
    uint32_t new_bytes =
        *capacity_bytes == 0 ? kInitialBufferBytes : *capacity_bytes;
    while (new_bytes < required_bytes) {
        new_bytes *= 2;
    }
    if (conn->is_accepted && !occupant_charge(&conn->occupant, new_bytes)) {
        return false;
    }
    *buffer = realloc(*buffer, new_bytes);
    if (*buffer == NULL) {
        abort();
    }
    if (conn->is_accepted) {
        occupant_release(&conn->occupant, *capacity_bytes);
    }
    *capacity_bytes = new_bytes;
    return true;
}

/// Frees a large buffer that holds nothing.
static void
shrink(conn_t *conn, uint8_t **buffer, uint32_t *capacity_bytes,
       uint32_t used_bytes)
{
    if (conn->is_accepted && used_bytes == 0 &&
        *capacity_bytes > kKeptBufferBytes) {
        free(*buffer);
        occupant_release(&conn->occupant, *capacity_bytes);
        *buffer = NULL;
        *capacity_bytes = 0;
    }
}

/// Notes what an accepted connection holds.
///
/// @param has_progressed  a frame is complete, or all replies were read
static void
note_occupant(conn_t *conn, bool has_progressed)
{
    if (!conn->is_accepted || conn->is_closed) {
        return;
    }
    shrink(conn, &conn->in, &conn->in_capacity_bytes, conn->in_bytes);
    shrink(conn, &conn->out, &conn->out_capacity_bytes, conn->out_bytes);
    occupant_state_t state = conn->in_bytes > 0 || conn->out_bytes > 0
                                 ? kOccupantBusy
                                 : kOccupantIdle;
    if (has_progressed) {
        occupant_set_state(&conn->occupant, state);
    }
    else {
        occupant_update_state(&conn->occupant, state);
    }
}

static void
free_conn(void *memory)
{
    conn_t *conn = memory;
    free(conn->in);
    free(conn->out);
    arena_destroy(conn->arena);
    free(conn);
}

void
conn_close(conn_t *conn)
{
    if (conn->is_closed) {
        return;
    }
    conn->is_closed = true;
    if (conn->is_accepted) {
        atomic_fetch_sub(&accepted_count, 1);
        occupancy_remove(&conn->occupant);
    }
    loop_watch(conn->loop, &conn->watch, conn->socket, 0);
    apr_socket_close(conn->socket);
    conn->ops->on_close(conn);
    loop_free_later(conn->loop, conn, free_conn);
}

static void
update_interest(conn_t *conn)
{
    bool wants_write =
        !conn->is_open || conn->out_sent_bytes < conn->out_bytes;
    loop_watch(conn->loop, &conn->watch, conn->socket,
               kReadyRead | (wants_write ? kReadyWrite : 0));
}

/// Moves the bytes that are not sent yet to the start of the buffer, once they
/// are the smaller part of it.
static void
discard_sent_bytes(conn_t *conn)
{
    uint32_t unsent_bytes = conn->out_bytes - conn->out_sent_bytes;
    if (conn->out_sent_bytes > 0 && unsent_bytes <= conn->out_sent_bytes) {
        memmove(conn->out, conn->out + conn->out_sent_bytes, unsent_bytes);
        conn->out_bytes = unsent_bytes;
        conn->out_sent_bytes = 0;
    }
}

void
conn_flush(conn_t *conn)
{
    if (conn->is_closed || !conn->is_open) {
        return;
    }
    while (conn->out_sent_bytes < conn->out_bytes) {
        apr_size_t size_bytes = conn->out_bytes - conn->out_sent_bytes;
        apr_status_t status = apr_socket_send(
            conn->socket, (char *)conn->out + conn->out_sent_bytes,
            &size_bytes);
        conn->out_sent_bytes += (uint32_t)size_bytes;
        if (APR_STATUS_IS_EAGAIN(status)) {
            break;
        }
        if (status != APR_SUCCESS) {
            conn_close(conn);
            return;
        }
    }
    discard_sent_bytes(conn);
    note_occupant(conn, conn->out_bytes == 0 && conn->in_bytes == 0);
    update_interest(conn);
}

static void
run_flush(loop_deferred_t *deferred)
{
    conn_t *conn = caa_container_of(deferred, conn_t, flush);
    if (conn->is_overflowing && !conn->is_closed) {
        log_event("link_overflow", "unread_bytes=%u in_bytes=%u",
                  conn->out_bytes - conn->out_sent_bytes, conn->in_bytes);
        conn_close(conn);
    }
    conn_flush(conn);
}

static uint32_t
frame_limit_bytes(const conn_t *conn)
{
    uint32_t limit_bytes = conn->ops->frame_limit_bytes;
    return limit_bytes == 0 ? (uint32_t)kMaxFrameBytes : limit_bytes;
}

/// Passes every whole frame in the buffer to the owner.
static void
dispatch_frames(conn_t *conn)
{
    uint32_t at = 0;
    while (!conn->is_closed && conn->in_bytes - at >= kHeaderBytes) {
        uint32_t length_bytes;
        memcpy(&length_bytes, conn->in + at, kHeaderBytes);
        length_bytes = ntohl(length_bytes);
        if (length_bytes > frame_limit_bytes(conn)) {
            log_event("frame_too_large", "bytes=%u limit_bytes=%u",
                      length_bytes, frame_limit_bytes(conn));
            conn_close(conn);
            return;
        }
        if (conn->in_bytes - at - kHeaderBytes < length_bytes) {
            break;
        }
        bytes_t body = {.data = conn->in + at + kHeaderBytes,
                        .size_bytes = length_bytes};
        counter_add(kCounterFramesIn, 1);
        if (conn->is_accepted && pack_peek_type(body) < kMessageCount) {
            occupant_set_proven(&conn->occupant);
        }
        conn->ops->on_message(conn, pack_peek_type(body), body);
        at += kHeaderBytes + length_bytes;
    }
    if (at > 0) {
        memmove(conn->in, conn->in + at, conn->in_bytes - at);
        conn->in_bytes -= at;
    }
    note_occupant(conn, at > 0);
}

/// Reads what has been received, or a part of it; the socket stays readable
/// then, and the loop calls again.
static void
read_socket(conn_t *conn)
{
    for (uint32_t i = 0; i < kReadsPerWakeup; i++) {
        if (!reserve(conn, &conn->in, &conn->in_capacity_bytes,
                     (uint64_t)conn->in_bytes + kInitialBufferBytes)) {
            conn_close(conn);
            return;
        }
        apr_size_t free_bytes = conn->in_capacity_bytes - conn->in_bytes;
        apr_size_t size_bytes = free_bytes;
        apr_status_t status = apr_socket_recv(
            conn->socket, (char *)conn->in + conn->in_bytes, &size_bytes);
        if (APR_STATUS_IS_EAGAIN(status)) {
            return;
        }
        if (status != APR_SUCCESS || size_bytes == 0) {
            conn_close(conn);
            return;
        }
        conn->in_bytes += (uint32_t)size_bytes;
        if (conn->is_accepted) {
            occupant_note_progress(&conn->occupant, size_bytes);
        }
        conn->last_received_ns = clock_now_ns();
        counter_add(kCounterBytesIn, size_bytes);
        dispatch_frames(conn);
        if (conn->is_closed || size_bytes < free_bytes) {
            return;
        }
    }
}

/// Completes a connection that conn_connect started.
static void
finish_connect(conn_t *conn)
{
    apr_os_sock_t fd;
    int32_t socket_error = 0;
    socklen_t size_bytes = sizeof socket_error;
    apr_os_sock_get(&fd, conn->socket);
    getsockopt(fd, SOL_SOCKET, SO_ERROR, &socket_error, &size_bytes);
    if (socket_error != 0) {
        conn_close(conn);
        return;
    }
    conn->is_open = true;
    conn->last_received_ns = clock_now_ns();
    counter_add(kCounterLinksOpened, 1);
    if (conn->ops->on_open != NULL) {
        conn->ops->on_open(conn);
    }
    conn_flush(conn);
}

static void
on_ready(watch_t *watch, uint32_t ready)
{
    conn_t *conn = watch->owner;
    if (!conn->is_open) {
        if (ready & (kReadyWrite | kReadyError)) {
            finish_connect(conn);
        }
        return;
    }
    if (ready & (kReadyRead | kReadyError)) {
        read_socket(conn);
    }
    if (!conn->is_closed && (ready & kReadyWrite)) {
        conn_flush(conn);
    }
}

/// Makes a socket non-blocking, disables Nagle's algorithm, enables keepalive
/// and limits the time that sent bytes stay unacknowledged.
static void
set_options(apr_socket_t *socket)
{
    apr_os_sock_t fd;
    int32_t timeout_ms = kUserTimeoutMs;
    apr_socket_timeout_set(socket, 0);
    apr_socket_opt_set(socket, APR_TCP_NODELAY, 1);
    apr_socket_opt_set(socket, APR_SO_KEEPALIVE, 1);
    apr_os_sock_get(&fd, socket);
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
               sizeof timeout_ms);
    int32_t idle_s = kKeepaliveIdleS;
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof idle_s);
}

static conn_t *
create_conn(loop_t *loop, apr_socket_t *socket, arena_t *arena,
            const conn_ops_t *ops, void *owner)
{
    conn_t *conn = calloc(1, sizeof *conn);
    *conn = (conn_t){.loop = loop,
                     .ops = ops,
                     .owner = owner,
                     .arena = arena,
                     .socket = socket,
                     .watch = {.on_ready = on_ready, .owner = conn},
                     .flush = {.run = run_flush},
                     .last_received_ns = clock_now_ns()};
    set_options(socket);
    return conn;
}

bool
conn_may_accept(void)
{
    return atomic_load(&accepted_count) < accepted_limit();
}

conn_t *
conn_wrap_socket(loop_t *loop, apr_socket_t *socket, arena_t *arena,
                 const conn_ops_t *ops, void *owner)
{
    conn_t *conn = create_conn(loop, socket, arena, ops, owner);
    conn->is_open = true;
    conn->is_accepted = true;
    atomic_fetch_add(&accepted_count, 1);
    apr_os_sock_t fd;
    apr_os_sock_get(&fd, socket);
    pthread_once(&accepted_once, init_accepted);
    occupancy_add(&accepted, &conn->occupant, fd);
    if (!occupant_charge(&conn->occupant, kConnBytes)) {
        // The owner still uses the connection: it is closed when the loop's
        // iteration ends.
        conn->is_overflowing = true;
        loop_defer(loop, &conn->flush);
    }
    update_interest(conn);
    return conn;
}

/// Opens a socket and binds it to the local address, if there is one. The port
/// is chosen by connect (IP_BIND_ADDRESS_NO_PORT).
static apr_status_t
open_socket(apr_socket_t **socket, const char *source, arena_t *arena)
{
    apr_status_t status =
        apr_socket_create(socket, APR_INET, SOCK_STREAM, APR_PROTO_TCP, arena);
    if (status != APR_SUCCESS || source == NULL) {
        return status;
    }
    apr_sockaddr_t *local = NULL;
    status = apr_sockaddr_info_get(&local, source, APR_INET, 0, 0, arena);
    if (status != APR_SUCCESS) {
        return status;
    }
    apr_os_sock_t fd;
    int32_t enabled = 1;
    apr_os_sock_get(&fd, *socket);
    setsockopt(fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &enabled,
               sizeof enabled);
    return apr_socket_bind(*socket, local);
}

conn_t *
conn_connect(loop_t *loop, const char *source, const char *address,
             uint16_t port, const conn_ops_t *ops, void *owner,
             error_info_t *err)
{
    arena_t *arena = arena_create();
    apr_sockaddr_t *remote = NULL;
    apr_socket_t *socket = NULL;
    apr_status_t status =
        apr_sockaddr_info_get(&remote, address, APR_INET, port, 0, arena);
    if (status == APR_SUCCESS) {
        status = open_socket(&socket, source, arena);
    }
    if (status != APR_SUCCESS) {
        error_set(err, kErrorKindIo, "cannot set up a socket for %s:%u",
                  address, port);
        arena_destroy(arena);
        return NULL;
    }
    conn_t *conn = create_conn(loop, socket, arena, ops, owner);
    status = apr_socket_connect(socket, remote);
    if (status != APR_SUCCESS && !APR_STATUS_IS_EINPROGRESS(status)) {
        error_set(err, kErrorKindIo, "cannot connect to %s:%u", address, port);
        apr_socket_close(socket);
        free_conn(conn);
        return NULL;
    }
    update_interest(conn);
    return conn;
}

void
conn_send_packed(conn_t *conn, bytes_t body)
{
    if (conn->is_closed || conn->is_overflowing) {
        return;
    }
    uint32_t frame_bytes = kHeaderBytes + body.size_bytes;
    uint32_t unread_bytes = conn->out_bytes - conn->out_sent_bytes;
    if (unread_bytes > frame_limit_bytes(conn) * kMaxUnreadFrames) {
        // Callers still use the connection: it is closed when the loop's
        // iteration ends.
        conn->is_overflowing = true;
        loop_defer(conn->loop, &conn->flush);
        return;
    }
    uint32_t length_bytes = htonl(body.size_bytes);
    if (!reserve(conn, &conn->out, &conn->out_capacity_bytes,
                 (uint64_t)conn->out_bytes + frame_bytes)) {
        conn->is_overflowing = true;
        loop_defer(conn->loop, &conn->flush);
        return;
    }
    memcpy(conn->out + conn->out_bytes, &length_bytes, kHeaderBytes);
    memcpy(conn->out + conn->out_bytes + kHeaderBytes, body.data,
           body.size_bytes);
    conn->out_bytes += frame_bytes;
    counter_add(kCounterFramesOut, 1);
    counter_add(kCounterBytesOut, frame_bytes);
    loop_defer(conn->loop, &conn->flush);
}

void
conn_send(conn_t *conn, uint32_t type, const void *message)
{
    msgpack_sbuffer body;
    msgpack_sbuffer_init(&body);
    pack_write_message(&body, type, message_descs[type], message);
    conn_send_packed(conn, (bytes_t){.data = (uint8_t *)body.data,
                                     .size_bytes = (uint32_t)body.size});
    msgpack_sbuffer_destroy(&body);
}
