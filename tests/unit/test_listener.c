/// A listening socket while the process has no free file descriptors.
#include "net/listener.h"

#include <apr_general.h>
#include <apr_time.h>
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/counters.h"
#include "runtime/clock.h"
#include "support/process.h"
#include "support/suite.h"

enum {
    kPort = 7403,
    kMaxDescriptors = 64,
    kShortageMs = 500,
    kMaxShortageWakeups =
        30, ///< a loop that spins wakes up thousands of times
    kRecoveryMs = 200
};

/// State of a test: a loop with a listener.
typedef struct {
    loop_t *loop;
    loop_timer_t end_timer;
    uint32_t accepted_count;
} fixture_t;

static void
on_accept(void *owner, apr_socket_t *socket, arena_t *arena)
{
    ((fixture_t *)owner)->accepted_count++;
    apr_socket_close(socket);
    arena_destroy(arena);
}

static void
on_end(loop_timer_t *timer)
{
    loop_stop(((fixture_t *)timer->owner)->loop);
}

static void
run_for_ms(fixture_t *fixture, uint32_t ms)
{
    loop_timer_init(&fixture->end_timer, on_end, fixture);
    loop_timer_set(fixture->loop, &fixture->end_timer, clock_deadline_ns(ms));
    loop_run(fixture->loop);
}

static int
open_client(const struct sockaddr_in *address)
{
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    CU_ASSERT_EQUAL(
        connect(fd, (const struct sockaddr *)address, sizeof *address), 0);
    return fd;
}

/// Opens files until no descriptor is free.
static uint32_t
use_all_descriptors(int fds[kMaxDescriptors])
{
    uint32_t count = 0;
    struct rlimit limit = {.rlim_cur = kMaxDescriptors,
                           .rlim_max = kMaxDescriptors};
    setrlimit(RLIMIT_NOFILE, &limit);
    while ((fds[count] = open("/dev/null", O_RDONLY)) >= 0) {
        count++;
    }
    return count;
}

/// Without free descriptors, the loop sleeps although a connection waits, and
/// the connection is accepted soon after descriptors are free again.
static void
test_shortage_of_descriptors(void)
{
    char text[32];
    int fds[kMaxDescriptors];
    error_info_t err = {0};
    fixture_t fixture = {.loop = loop_create()};
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons(kPort)};
    snprintf(text, sizeof text, "127.%u.2.1", process_reserve_network());
    inet_pton(AF_INET, text, &address.sin_addr);
    listener_t *listener =
        listener_open(fixture.loop, text, kPort, on_accept, &fixture, &err);
    CU_ASSERT_PTR_NOT_NULL_FATAL(listener);
    int client_fd = open_client(&address);
    run_for_ms(&fixture, 1);
    CU_ASSERT_EQUAL(fixture.accepted_count, 1);
    int waiting_fd = open_client(&address);
    uint32_t count = use_all_descriptors(fds);
    uint64_t wakeups = counter_read(kCounterWakeups);
    run_for_ms(&fixture, kShortageMs);
    CU_ASSERT_EQUAL(fixture.accepted_count, 1);
    CU_ASSERT(counter_read(kCounterWakeups) - wakeups <= kMaxShortageWakeups);
    CU_ASSERT(counter_read(kCounterAcceptsFailed) > 0);
    while (count > 0) {
        close(fds[--count]);
    }
    run_for_ms(&fixture, kRecoveryMs);
    CU_ASSERT_EQUAL(fixture.accepted_count, 2);
    close(client_fd);
    close(waiting_fd);
    listener_close(listener);
    loop_destroy(fixture.loop);
}

int
main(void)
{
    const CU_TestInfo tests[] = {
        {"shortage of descriptors", test_shortage_of_descriptors},
        CU_TEST_INFO_NULL,
    };
    apr_initialize();
    return suite_run("listener", tests);
}
