/// When a request arrived, which may be long before it is read, and whether
/// its client is still there: the kernel accepts connections, data and closes
/// while the process does not run or does not read.
#ifndef JT_HTTPD_ARRIVAL_H
#define JT_HTTPD_ARRIVAL_H

#include <microhttpd.h>
#include <stdbool.h>
#include <stdint.h>

/// @return when the last byte that was read from a connection arrived, as the
///         kernel says; `now_ns` if it does not say. Time in which the machine
///         was suspended is missing from the kernel's figure.
int64_t httpd_read_arrival_ns(struct MHD_Connection *connection,
                              int64_t now_ns);

/// @return whether the client of a connection has closed it, or the connection
///         is reset, also behind data that has not been read. A client that
///         has only ended its own direction counts as well: until something
///         is sent to it, nothing tells it from one that has gone.
bool httpd_is_disconnected(int32_t fd);

#endif
