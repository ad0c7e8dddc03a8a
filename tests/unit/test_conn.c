/// Connections whose other end does not read, or sends without a pause: the
/// memory stays bounded and the loop's other work goes on.
#include "net/conn.h"

#include <apr_general.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/listener.h"
#include "runtime/clock.h"
#include "support/process.h"
#include "support/suite.h"

enum {
    kPort = 7404,
    kHeaderBytes = 4,
    kFrameLimitBytes = 64 * 1024,
    kUnreadFrameBytes = 16 * 1024,
    kUnreadFrames = 1024, ///< more than the limit and the kernel's buffers
    kSmallFrames = 40000,
    kSmallBodyBytes = 8,
    /// Handled before the timer is due again: a part of what has been sent.
    kMaxFramesPerTurn = kSmallFrames / 4,
    kRunLimitMs = 2000
};

/// A loop with a listener, the connection that it accepted, and the socket at
/// the other end.
typedef struct {
    loop_t *loop;
    listener_t *listener;
    conn_t *conn;
    int fd;
    loop_timer_t timer;
    uint32_t frame_count;
    uint32_t max_frames_per_turn;
    uint32_t frames_before;
    bool is_closed;
} fixture_t;

static void
on_message(conn_t *conn, uint32_t type, bytes_t body)
{
    (void)type;
    (void)body;
    ((fixture_t *)conn->owner)->frame_count++;
}

static void
on_close(conn_t *conn)
{
    fixture_t *fixture = conn->owner;
    fixture->conn = NULL;
    fixture->is_closed = true;
}

static const conn_ops_t conn_ops = {.on_message = on_message,
                                    .on_close = on_close,
                                    .frame_limit_bytes = kFrameLimitBytes};

static void
on_accept(void *owner, apr_socket_t *socket, arena_t *arena)
{
    fixture_t *fixture = owner;
    fixture->conn =
        conn_wrap_socket(fixture->loop, socket, arena, &conn_ops, fixture);
    loop_stop(fixture->loop);
}

static void
on_end(loop_timer_t *timer)
{
    loop_stop(((fixture_t *)timer->owner)->loop);
}

static void
run_for_ms(fixture_t *fixture, uint32_t ms)
{
    loop_timer_init(&fixture->timer, on_end, fixture);
    loop_timer_set(fixture->loop, &fixture->timer, clock_deadline_ns(ms));
    loop_run(fixture->loop);
    loop_timer_clear(fixture->loop, &fixture->timer);
}

static void
open_fixture(fixture_t *fixture)
{
    char text[32];
    error_info_t err = {0};
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons(kPort)};
    *fixture = (fixture_t){.loop = loop_create()};
    snprintf(text, sizeof text, "127.%u.3.1", process_reserve_network());
    inet_pton(AF_INET, text, &address.sin_addr);
    fixture->listener =
        listener_open(fixture->loop, text, kPort, on_accept, fixture, &err);
    CU_ASSERT_PTR_NOT_NULL_FATAL(fixture->listener);
    fixture->fd = socket(AF_INET, SOCK_STREAM, 0);
    CU_ASSERT_EQUAL_FATAL(connect(fixture->fd,
                                  (const struct sockaddr *)&address,
                                  sizeof address),
                          0);
    run_for_ms(fixture, kRunLimitMs);
    CU_ASSERT_PTR_NOT_NULL_FATAL(fixture->conn);
}

static void
close_fixture(fixture_t *fixture)
{
    if (fixture->conn != NULL) {
        conn_close(fixture->conn);
    }
    close(fixture->fd);
    listener_close(fixture->listener);
    run_for_ms(fixture, 1);
    loop_destroy(fixture->loop);
}

/// The other end reads nothing. Once the unread bytes exceed the limit, the
/// connection is closed.
static void
test_peer_that_does_not_read(void)
{
    static uint8_t frame[kUnreadFrameBytes];
    fixture_t fixture;
    open_fixture(&fixture);
    for (uint32_t i = 0; i < kUnreadFrames && fixture.conn != NULL; i++) {
        conn_send_packed(fixture.conn,
                         (bytes_t){.data = frame, .size_bytes = sizeof frame});
        CU_ASSERT_FATAL(fixture.conn->out_capacity_bytes <=
                        4 * kMaxUnreadFrames * kFrameLimitBytes);
        run_for_ms(&fixture, 0);
    }
    CU_ASSERT_TRUE(fixture.is_closed);
    close_fixture(&fixture);
}

/// Notes how many frames were handled since the timer was last due.
static void
on_turn(loop_timer_t *timer)
{
    fixture_t *fixture = timer->owner;
    uint32_t count = fixture->frame_count - fixture->frames_before;
    fixture->frames_before = fixture->frame_count;
    if (count > fixture->max_frames_per_turn) {
        fixture->max_frames_per_turn = count;
    }
    if (fixture->frame_count == kSmallFrames) {
        loop_stop(fixture->loop);
        return;
    }
    loop_timer_set(fixture->loop, timer, clock_now_ns());
}

/// The other end has sent many frames. Timers run before all are handled.
static void
test_peer_that_sends_without_pause(void)
{
    enum { kFrameBytes = kHeaderBytes + kSmallBodyBytes };
    static uint8_t frames[kSmallFrames * kFrameBytes];
    fixture_t fixture;
    int buffer_bytes = sizeof frames * 2;
    open_fixture(&fixture);
    setsockopt(fixture.fd, SOL_SOCKET, SO_SNDBUF, &buffer_bytes,
               sizeof buffer_bytes);
    for (uint32_t i = 0; i < kSmallFrames; i++) {
        uint32_t length_bytes = htonl(kSmallBodyBytes);
        memcpy(frames + i * kFrameBytes, &length_bytes, sizeof length_bytes);
    }
    CU_ASSERT_EQUAL_FATAL(send(fixture.fd, frames, sizeof frames, 0),
                          (ssize_t)sizeof frames);
    loop_timer_init(&fixture.timer, on_turn, &fixture);
    loop_timer_set(fixture.loop, &fixture.timer, clock_now_ns());
    loop_run(fixture.loop);
    CU_ASSERT_EQUAL(fixture.frame_count, kSmallFrames);
    CU_ASSERT(fixture.max_frames_per_turn <= kMaxFramesPerTurn);
    close_fixture(&fixture);
}

/// A frame that is larger than the limit closes the connection before its
/// body is received.
static void
test_frame_over_limit(void)
{
    fixture_t fixture;
    uint32_t length_bytes = htonl(kFrameLimitBytes + 1);
    open_fixture(&fixture);
    CU_ASSERT_EQUAL(send(fixture.fd, &length_bytes, sizeof length_bytes, 0),
                    (ssize_t)sizeof length_bytes);
    run_for_ms(&fixture, 100);
    CU_ASSERT_TRUE(fixture.is_closed);
    close_fixture(&fixture);
}

int
main(void)
{
    const CU_TestInfo tests[] = {
        {"a peer that does not read", test_peer_that_does_not_read},
        {"a peer that sends without a pause",
         test_peer_that_sends_without_pause},
        {"a frame over the limit", test_frame_over_limit},
        CU_TEST_INFO_NULL,
    };
    apr_initialize();
    return suite_run("conn", tests);
}
