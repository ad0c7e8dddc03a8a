/// Shutdown of the HTTP servers: requests that were sent before it are
/// answered.
#include "platform/http_servers.h"

#include <apr_general.h>
#include <apr_strings.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include "node/node.h"
#include "support/process.h"
#include "support/suite.h"

enum {
    kConnections = 200,
    kPort = 8161,
    kReceiveTimeoutS = 10,
    kRounds = 10,
    kLimitBytes = 262144
};

static const char request[] = "GET /jobs/ HTTP/1.1\r\nHost: h\r\n"
                              "Connection: close\r\n\r\n";

/// Starts the servers of a node that is stopping and whose loop does not run.
static http_servers_t *
open_servers(arena_t *arena, const char *address)
{
    error_info_t err = {0};
    node_settings_t *settings = apr_pcalloc(arena, sizeof *settings);
    *settings = (node_settings_t){
        .name = "n",
        .dc = "d",
        .address = address,
        .callers = apr_psprintf(arena, "%s:%d", address, kPort),
        .ready = apr_psprintf(arena, "%s:%d", address, kPort + 1),
        .metrics_port = kPort + 2,
        .http_threads = 1,
        .hold_limit_ms = 1000,
        .resubmit_ms = 1300};
    node_t *node = node_create(settings, arena);
    atomic_store(&node->is_draining, true);
    atomic_store(&node->is_closed, true);
    return http_servers_open(node, &err);
}

/// Connects and sends a request.
///
/// @return the socket, from which the answer has not been read
static int
send_text(const char *address, const char *text)
{
    struct sockaddr_in to = {.sin_family = AF_INET, .sin_port = htons(kPort)};
    struct timeval timeout = {.tv_sec = kReceiveTimeoutS};
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    inet_pton(AF_INET, address, &to.sin_addr);
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    CU_ASSERT_EQUAL(connect(fd, (struct sockaddr *)&to, sizeof to), 0);
    CU_ASSERT_EQUAL(send(fd, text, strlen(text), MSG_NOSIGNAL),
                    (ssize_t)strlen(text));
    return fd;
}

/// Sends a request and reads the start of its answer.
static bool
is_answered(const char *address, const char *text, const char *status_line)
{
    char answer[64] = "";
    int fd = send_text(address, text);
    bool has_status = recv(fd, answer, sizeof answer - 1, 0) > 0 &&
                      strncmp(answer, status_line, strlen(status_line)) == 0;
    close(fd);
    return has_status;
}

/// A body that is announced over the limit is refused before any of it is
/// sent; others as soon as they pass it, without their end.
static void
test_large_bodies_are_refused(void)
{
    static char chunk[kLimitBytes + 256];
    arena_t *arena = arena_create();
    const char *address =
        apr_psprintf(arena, "127.%u.2.1", process_reserve_network());
    http_servers_t *servers = open_servers(arena, address);
    CU_ASSERT_PTR_NOT_NULL_FATAL(servers);
    CU_ASSERT_TRUE(is_answered(
        address,
        "POST /jobs/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 262145\r\n\r\n",
        "HTTP/1.1 413"));
    int head_bytes = apr_snprintf(
        chunk, sizeof chunk,
        "POST /jobs/1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
        "\r\n%x\r\n",
        kLimitBytes + 100);
    memset(chunk + head_bytes, ' ', kLimitBytes + 1);
    CU_ASSERT_TRUE(is_answered(address, chunk, "HTTP/1.1 413"));
    http_servers_close(servers);
}

/// Closing a listening socket resets the connections in its queue that were
/// not accepted. All connections are made before the close, and most of them
/// are still in the queue then.
static void
test_pending_connections_are_answered(void)
{
    for (uint32_t round = 0; round < kRounds; round++) {
        arena_t *arena = arena_create();
        int fds[kConnections];
        uint32_t answered = 0;
        const char *address = apr_psprintf(
            arena, "127.%u.1.%u", process_reserve_network(), 1 + round);
        http_servers_t *servers = open_servers(arena, address);
        CU_ASSERT_PTR_NOT_NULL_FATAL(servers);
        for (uint32_t i = 0; i < kConnections; i++) {
            fds[i] = send_text(address, request);
        }
        http_servers_close(servers);
        for (uint32_t i = 0; i < kConnections; i++) {
            char text[16] = "";
            answered += recv(fds[i], text, sizeof text - 1, 0) > 0 &&
                        strncmp(text, "HTTP/1.1 503", 12) == 0;
            close(fds[i]);
        }
        CU_ASSERT_EQUAL(answered, kConnections);
    }
}

int
main(void)
{
    const CU_TestInfo tests[] = {
        {"pending connections are answered",
         test_pending_connections_are_answered},
        {"large bodies are refused", test_large_bodies_are_refused},
        CU_TEST_INFO_NULL,
    };
    apr_initialize();
    return suite_run("http_servers", tests);
}
