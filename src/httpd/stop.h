/// The orderly end of a server of libmicrohttpd.
#ifndef JT_HTTPD_STOP_H
#define JT_HTTPD_STOP_H

#include <microhttpd.h>
#include <stdint.h>

/// Closes the listening socket of a server, and serves the connections that
/// wait in its queue. Waits until all connections are closed, at most until
/// the deadline. Connections that the kernel accepts in the moment of the
/// close are reset.
void httpd_stop_accepting(struct MHD_Daemon *daemon, int64_t deadline_ns);

#endif
