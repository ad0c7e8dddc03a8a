#include "httpd/arrival.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stddef.h>
#include <sys/socket.h>

#include "base/units.h"

/// @return whether the kernel has told the state of a connection
static bool
read_tcp_info(int32_t fd, struct tcp_info *tcp)
{
    socklen_t size_bytes = sizeof *tcp;
    return getsockopt(fd, IPPROTO_TCP, TCP_INFO, tcp, &size_bytes) == 0;
}

/// @return how long ago the kernel received the last data on a connection; 0
///         if it does not say
static int64_t
read_data_age_ns(struct MHD_Connection *connection)
{
    const union MHD_ConnectionInfo *info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    struct tcp_info tcp = {0};
    if (info == NULL || !read_tcp_info(info->connect_fd, &tcp)) {
        return 0;
    }
    return MS_TO_NS(tcp.tcpi_last_data_recv);
}

int64_t
httpd_read_arrival_ns(struct MHD_Connection *connection, int64_t now_ns)
{
    return now_ns - read_data_age_ns(connection);
}

bool
httpd_is_disconnected(int32_t fd)
{
    struct tcp_info tcp = {0};
    return !read_tcp_info(fd, &tcp) || tcp.tcpi_state != TCP_ESTABLISHED;
}
