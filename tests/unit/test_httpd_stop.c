/// Callers that connect while a server stops. A connection that is reset
/// without an answer leaves its caller in doubt whether the request has run.
#include "httpd/stop.h"

#include <apr_general.h>
#include <apr_strings.h>
#include <apr_thread_proc.h>
#include <apr_time.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include "base/arena.h"
#include "runtime/clock.h"
#include "support/process.h"
#include "support/suite.h"

enum {
    kPort = 8162,
    kStreams = 6, ///< callers that connect again and again
    kRounds = 100,
    kReceiveTimeoutS = 10,
    kStreamTimeUs = 3000, ///< from the first connections to the stop
    kDrainMs = 300
};

static const char request[] = "GET / HTTP/1.1\r\nHost: h\r\n"
                              "Connection: close\r\n\r\n";

/// Connections that a caller makes one after another until it is refused.
typedef struct {
    struct sockaddr_in address;
    uint32_t connection_count;
    uint32_t answered_count;
} stream_t;

static enum MHD_Result
answer(void *owner, struct MHD_Connection *connection, const char *url,
       const char *method, const char *version, const char *upload_data,
       size_t *upload_bytes, void **state)
{
    (void)owner;
    (void)url;
    (void)method;
    (void)version;
    (void)upload_data;
    (void)upload_bytes;
    (void)state;
    struct MHD_Response *response =
        MHD_create_response_from_buffer(0, (void *)"", MHD_RESPMEM_PERSISTENT);
    enum MHD_Result result =
        MHD_queue_response(connection, MHD_HTTP_SERVICE_UNAVAILABLE, response);
    MHD_destroy_response(response);
    return result;
}

static void *APR_THREAD_FUNC
run_stream(apr_thread_t *thread, void *state)
{
    (void)thread;
    stream_t *stream = state;
    struct timeval timeout = {.tv_sec = kReceiveTimeoutS};
    for (;;) {
        char text[16] = "";
        int fd = socket(AF_INET, SOCK_STREAM, 0);
        setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
        if (connect(fd, (struct sockaddr *)&stream->address,
                    sizeof stream->address) != 0) {
            close(fd);
            return NULL;
        }
        stream->connection_count++;
        send(fd, request, strlen(request), MSG_NOSIGNAL);
        stream->answered_count += recv(fd, text, sizeof text - 1, 0) > 0;
        close(fd);
    }
}

static struct MHD_Daemon *
start_server(struct sockaddr_in *address)
{
    return MHD_start_daemon(MHD_USE_EPOLL_INTERNAL_THREAD | MHD_USE_ITC, kPort,
                            NULL, NULL, answer, NULL, MHD_OPTION_SOCK_ADDR,
                            (struct sockaddr *)address, MHD_OPTION_END);
}

/// Each connection that is made is answered.
static void
test_connections_during_stop(void)
{
    for (uint32_t round = 0; round < kRounds; round++) {
        arena_t *arena = arena_create();
        apr_thread_t *threads[kStreams];
        stream_t streams[kStreams];
        apr_status_t status;
        struct sockaddr_in address = {.sin_family = AF_INET,
                                      .sin_port = htons(kPort)};
        inet_pton(AF_INET,
                  apr_psprintf(arena, "127.%u.4.%u", process_reserve_network(),
                               1 + round),
                  &address.sin_addr);
        struct MHD_Daemon *daemon = start_server(&address);
        CU_ASSERT_PTR_NOT_NULL_FATAL(daemon);
        for (uint32_t i = 0; i < kStreams; i++) {
            streams[i] = (stream_t){.address = address};
            apr_thread_create(&threads[i], NULL, run_stream, &streams[i],
                              arena);
        }
        apr_sleep(kStreamTimeUs);
        httpd_stop_accepting(daemon, clock_deadline_ns(kDrainMs));
        for (uint32_t i = 0; i < kStreams; i++) {
            apr_thread_join(&status, threads[i]);
            CU_ASSERT_EQUAL(streams[i].answered_count,
                            streams[i].connection_count);
        }
        MHD_stop_daemon(daemon);
        arena_destroy(arena);
    }
}

int
main(void)
{
    const CU_TestInfo tests[] = {
        {"connections during the stop are answered",
         test_connections_during_stop},
        CU_TEST_INFO_NULL,
    };
    apr_initialize();
    return suite_run("httpd_stop", tests);
}
