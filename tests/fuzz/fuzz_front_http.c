/// Fuzzes the path of a request through jt-front: the HTTP library, limits and
/// body of a request, its decoder, and the relay, which knows no dispatcher.
#include <apr_general.h>
#include <sanitizer/lsan_interface.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "front/http.h"
#include "httpd/intake.h"

enum {
    kMaxTurns = 64,     ///< of the library for one input
    kMaxWaits = 100000, ///< for the relay
    kPoolBytes = 8192,
    kBudgetBytes = 1024 * 1024,
    kBodyLimitBytes = 2048,
    kOpenLimit = 4,
    kWaitLimitMs = 1000
};

int LLVMFuzzerInitialize(int *argc, char ***argv);
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size_bytes);

static front_t front;
static relay_t relay;

/// Starts a server without a socket, and its relay.
int
LLVMFuzzerInitialize(int *argc, char ***argv)
{
    static front_settings_t settings = {.here = {.dc = 1, .vm = 1},
                                        .link_threads = 1,
                                        .body_limit_bytes = kBodyLimitBytes,
                                        .wait_limit_ms = kWaitLimitMs,
                                        .reach_limit_ms = kWaitLimitMs};
    (void)argc;
    (void)argv;
    apr_initialize();
    atexit(arena_release_spares);
    // The relay stays, and is reached through memory that the check for leaks
    // does not read.
    __lsan_disable();
    front.settings = &settings;
    front.members = members_create(0, NULL, 0);
    front.relays = &relay;
    front.relay_count = 1;
    memory_budget_init(&front.budget, kBudgetBytes);
    relay_init(&relay, &settings, &front.members, &front.mint_dc,
               &front.control.hello);
    relay_run(&relay);
    __lsan_enable();
    front.daemon = MHD_start_daemon(
        MHD_USE_NO_LISTEN_SOCKET | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL,
        http_handle_request, &front, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
        (size_t)kPoolBytes, MHD_OPTION_NOTIFY_COMPLETED, http_end_request,
        &front, MHD_OPTION_NOTIFY_CONNECTION, intake_on_connection,
        intake_create("fuzz", kOpenLimit, &front.budget), MHD_OPTION_END);
    if (front.daemon == NULL) {
        abort();
    }
    return 0;
}

static uint32_t
count_connections(void)
{
    return MHD_get_daemon_info(front.daemon,
                               MHD_DAEMON_INFO_CURRENT_CONNECTIONS)
        ->num_connections;
}

/// Sends an input as the bytes of a connection. All memory of its requests is
/// given back when it ends, and no request stays in progress.
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size_bytes)
{
    int fds[2];
    struct sockaddr_storage peer = {.ss_family = AF_UNIX};
    if (size_bytes == 0) {
        return 0;
    }
    if (socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, fds) != 0) {
        abort();
    }
    bool is_sent = send(fds[0], data, size_bytes, MSG_NOSIGNAL) >= 0;
    if (!is_sent ||
        MHD_add_connection(front.daemon, fds[1], (struct sockaddr *)&peer,
                           sizeof peer) != MHD_YES) {
        abort();
    }
    for (uint32_t i = 0; i < kMaxTurns / 2; i++) {
        MHD_run(front.daemon);
    }
    shutdown(fds[0], SHUT_RDWR);
    close(fds[0]);
    for (uint32_t i = 0; i < kMaxWaits && count_connections() > 0; i++) {
        MHD_run(front.daemon);
    }
    if (count_connections() > 0 ||
        atomic_load(&front.budget.used_bytes) != 0 ||
        atomic_load(&front.active_count) != 0) {
        abort();
    }
    // What a thread keeps is at times taken for a leak.
    arena_release_spares();
    return 0;
}
