#include "httpd/stop.h"

#include <apr_time.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "runtime/clock.h"
#include "runtime/log.h"

enum { kPollUs = 10000 }; ///< between checks for open connections

/// Hands the connections in the listen queue to the server. The kernel resets
/// those that are left there when the socket is closed.
static void
serve_pending(struct MHD_Daemon *daemon, MHD_socket listen_fd)
{
    struct sockaddr_in client;
    socklen_t client_bytes = sizeof client;
    MHD_socket fd;
    fcntl(listen_fd, F_SETFL, fcntl(listen_fd, F_GETFL) | O_NONBLOCK);
    while ((fd = accept(listen_fd, (struct sockaddr *)&client,
                        &client_bytes)) != MHD_INVALID_SOCKET) {
        if (MHD_add_connection(daemon, fd, (struct sockaddr *)&client,
                               client_bytes) != MHD_YES) {
            log_event("connection_refused", "reason=\"limit reached\"");
        }
        client_bytes = sizeof client;
    }
}

void
httpd_stop_accepting(struct MHD_Daemon *daemon, int64_t deadline_ns)
{
    MHD_socket listen_fd = MHD_quiesce_daemon(daemon);
    if (listen_fd != MHD_INVALID_SOCKET) {
        serve_pending(daemon, listen_fd);
        close(listen_fd);
    }
    while (clock_now_ns() < deadline_ns) {
        const union MHD_DaemonInfo *info =
            MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_CURRENT_CONNECTIONS);
        if (info == NULL || info->num_connections == 0) {
            return;
        }
        apr_sleep(kPollUs);
    }
}
