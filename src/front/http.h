/// The HTTP interface for callers, on libmicrohttpd. A request that waits for
/// its call is suspended and blocks no thread.
#ifndef JT_FRONT_HTTP_H
#define JT_FRONT_HTTP_H

#include "front/front.h"

/// Starts to listen and to serve requests.
///
/// @return false if the address is invalid or its port cannot be bound
bool http_start(front_t *front, error_info_t *err);

/// Reports the front as not serving, keeps serving until no request arrives
/// for quiet_ms, then closes the listening socket and waits for the requests
/// in progress. Blocks for at most stop_limit_ms.
void http_stop(front_t *front);

#endif
