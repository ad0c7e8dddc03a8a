/// The connections of a server of libmicrohttpd: how many it may have, and the
/// memory of their requests, from the first byte to the end of the answer.
#ifndef JT_HTTPD_INTAKE_H
#define JT_HTTPD_INTAKE_H

#include <microhttpd.h>

#include "net/occupancy.h"

/// Size of a server, derived from descriptors and memory.
typedef struct {
    uint32_t open_limit;       ///< beyond which connections are closed
    uint32_t connection_limit; ///< of the library: more, as those that were
                               ///< told to go close a little later
    uint64_t request_bytes; ///< memory for requests: all without the library's
                            ///< for so many connections
} intake_size_t;

/// Computes how many connections a server may have, so that each can hold an
/// ordinary request.
///
/// @param descriptor_limit  the most that the descriptors allow
/// @param pool_bytes        memory that the library keeps for a connection
/// @param memory_bytes      for connections and requests
intake_size_t intake_plan(uint32_t descriptor_limit, uint32_t pool_bytes,
                          uint64_t memory_bytes);

/// @param name    of the server, for the log
/// @param budget  for requests; shared, and kept by the caller
/// @return the connections of a server, kept while the process lives
occupancy_t *intake_create(const char *name, uint32_t open_limit,
                           memory_budget_t *budget);

/// Callback of libmicrohttpd for new and closed connections; its owner is what
/// intake_create returned.
void intake_on_connection(void *owner, struct MHD_Connection *connection,
                          void **context,
                          enum MHD_ConnectionNotificationCode code);

/// Limits what the kernel buffers for connections that a server accepts.
void intake_limit_kernel_buffers(struct MHD_Daemon *daemon);

/// @return what is known of a connection
occupant_t *intake_find(struct MHD_Connection *connection);

/// Begins a request and charges what every request needs.
///
/// @return whether the budget had room
bool intake_begin(struct MHD_Connection *connection);

#endif
