/// When a request arrived, which may be long before it is read: the kernel
/// accepts connections and data while the process does not run.
#ifndef JT_HTTPD_ARRIVAL_H
#define JT_HTTPD_ARRIVAL_H

#include <microhttpd.h>
#include <stdbool.h>

#include "runtime/pause.h"

/// Estimates when the last byte that was read from a connection arrived. Errs
/// on the early side: right after a pause of the process, the data may have
/// come during the pause.
///
/// @param pause  NULL if pauses are not detected
/// @return the time, at most `now_ns`
int64_t httpd_read_arrival_ns(struct MHD_Connection *connection,
                              const pause_t *pause, int64_t now_ns);

/// @return whether the client of a connection has closed it, or the connection
///         is reset. Data that has not been read hides the close.
bool httpd_is_disconnected(int32_t fd);

#endif
