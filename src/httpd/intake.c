#include "httpd/intake.h"

#include <stdlib.h>
#include <sys/socket.h>

enum {
    kConnectionBytes = 2048, ///< of the library, beside its pool, and of ours
    kRequestBytes = 10240,   ///< of each request: its arena and its state
    kSmallRequestBytes = 20480, ///< an ordinary request, its body included
    kHeadroomPermille = 125,    ///< connections that are about to close
    kMinHeadroom = 4,
    kKernelBufferBytes = 32768
};

intake_size_t
intake_plan(uint32_t descriptor_limit, uint32_t pool_bytes,
            uint64_t memory_bytes)
{
    uint64_t connection_bytes = (uint64_t)pool_bytes + kConnectionBytes;
    uint64_t limit = memory_bytes / (connection_bytes + kSmallRequestBytes);
    limit = limit < descriptor_limit ? limit : descriptor_limit;
    limit = limit > 0 ? limit : 1;
    uint64_t headroom = limit * kHeadroomPermille / 1000;
    headroom = headroom > kMinHeadroom ? headroom : kMinHeadroom;
    uint64_t held_bytes = (limit + headroom) * connection_bytes;
    return (intake_size_t){.open_limit = (uint32_t)limit,
                           .connection_limit = (uint32_t)(limit + headroom),
                           .request_bytes = memory_bytes > held_bytes
                                                ? memory_bytes - held_bytes
                                                : 0};
}

occupancy_t *
intake_create(const char *name, uint32_t open_limit, memory_budget_t *budget)
{
    occupancy_t *occupancy = calloc(1, sizeof *occupancy);
    occupancy_init(occupancy, name, budget, open_limit, kSmallRequestBytes);
    return occupancy;
}

void
intake_limit_kernel_buffers(struct MHD_Daemon *daemon)
{
    const union MHD_DaemonInfo *info =
        MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_LISTEN_FD);
    int32_t size_bytes = kKernelBufferBytes;
    if (info != NULL) {
        setsockopt(info->listen_fd, SOL_SOCKET, SO_RCVBUF, &size_bytes,
                   sizeof size_bytes);
        setsockopt(info->listen_fd, SOL_SOCKET, SO_SNDBUF, &size_bytes,
                   sizeof size_bytes);
    }
}

void
intake_on_connection(void *owner, struct MHD_Connection *connection,
                     void **context, enum MHD_ConnectionNotificationCode code)
{
    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
        const union MHD_ConnectionInfo *info = MHD_get_connection_info(
            connection, MHD_CONNECTION_INFO_CONNECTION_FD);
        occupant_t *occupant = calloc(1, sizeof *occupant);
        if (occupant == NULL || info == NULL) {
            abort();
        }
        *context = occupant;
        occupancy_add(owner, occupant, info->connect_fd);
    }
    else if (*context != NULL) {
        occupancy_remove(*context);
        free(*context);
        *context = NULL;
    }
}

occupant_t *
intake_find(struct MHD_Connection *connection)
{
    const union MHD_ConnectionInfo *info = MHD_get_connection_info(
        connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
    return info == NULL ? NULL : info->socket_context;
}

bool
intake_begin(struct MHD_Connection *connection)
{
    occupant_t *occupant = intake_find(connection);
    occupant_set_state(occupant, kOccupantBusy);
    return occupant_charge(occupant, kRequestBytes);
}
