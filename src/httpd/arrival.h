/// When a request arrived, which may be long before it is read: the kernel
/// accepts connections and data while the process does not run.
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
///         is reset. Data that has not been read hides the close.
bool httpd_is_disconnected(int32_t fd);

#endif
