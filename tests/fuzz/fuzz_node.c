/// Fuzzes the path of a request through the front end of a node: the HTTP
/// library, limits and body of a request, and the decoder of a job.
#include <apr_general.h>
#include <sanitizer/lsan_interface.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "codec/json_bounds.h"
#include "httpd/intake.h"
#include "platform/http_exchange.h"
#include "platform/job_reader.h"

enum {
    kMaxTurns = 64, ///< of the library for one input
    kPoolBytes = 8192,
    kBudgetBytes = 1024 * 1024,
    kOpenLimit = 4
};

int LLVMFuzzerInitialize(int *argc, char ***argv);
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size_bytes);

static struct MHD_Daemon *daemon_handle;
static memory_budget_t budget;

/// Starts a server without a socket, for a node that has no queues yet.
int
LLVMFuzzerInitialize(int *argc, char ***argv)
{
    (void)argc;
    (void)argv;
    apr_initialize();
    atexit(arena_release_spares);
    static node_settings_t settings = {.name = "n", .dc = "d"};
    // The node stays, and is reached through memory that the check for leaks
    // does not read.
    __lsan_disable();
    node_t *node = node_create(&settings, arena_create());
    __lsan_enable();
    memory_budget_init(&budget, kBudgetBytes);
    daemon_handle = MHD_start_daemon(
        MHD_USE_NO_LISTEN_SOCKET, 0, NULL, NULL, http_exchange_handle, node,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)kPoolBytes,
        MHD_OPTION_NOTIFY_COMPLETED, http_exchange_free, node,
        MHD_OPTION_NOTIFY_CONNECTION, intake_on_connection,
        intake_create("fuzz", kOpenLimit, &budget), MHD_OPTION_END);
    if (daemon_handle == NULL) {
        abort();
    }
    return 0;
}

static uint32_t
count_connections(void)
{
    return MHD_get_daemon_info(daemon_handle,
                               MHD_DAEMON_INFO_CURRENT_CONNECTIONS)
        ->num_connections;
}

/// Sends an input as the bytes of a connection. All memory of its requests is
/// given back when it ends.
static void
serve(const uint8_t *data, size_t size_bytes)
{
    int fds[2];
    struct sockaddr_storage peer = {.ss_family = AF_UNIX};
    if (socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, fds) != 0) {
        abort();
    }
    bool is_sent = send(fds[0], data, size_bytes, MSG_NOSIGNAL) >= 0;
    if (!is_sent ||
        MHD_add_connection(daemon_handle, fds[1], (struct sockaddr *)&peer,
                           sizeof peer) != MHD_YES) {
        abort();
    }
    for (uint32_t i = 0; i < kMaxTurns / 2; i++) {
        MHD_run(daemon_handle);
    }
    close(fds[0]);
    for (uint32_t i = 0; i < kMaxTurns && count_connections() > 0; i++) {
        MHD_run(daemon_handle);
    }
    if (count_connections() > 0 || atomic_load(&budget.used_bytes) != 0) {
        abort();
    }
}

static void
read_job(const uint8_t *data, size_t size_bytes)
{
    static const queue_t queue = {.name = "q", .service = "s"};
    bytes_t body = {.data = data, .size_bytes = (uint32_t)size_bytes};
    error_info_t err = {0};
    order_t order;
    arena_t *arena = arena_create();
    json_bounds_count_values(body);
    job_reader_read(body, &queue, "1", arena, &order, &err);
    arena_destroy(arena);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size_bytes)
{
    if (size_bytes > 0) {
        serve(data, size_bytes);
        const uint8_t *body = memmem(data, size_bytes, "\r\n\r\n", 4);
        if (body != NULL) {
            read_job(body + 4, size_bytes - (size_t)(body + 4 - data));
        }
    }
    return 0;
}
