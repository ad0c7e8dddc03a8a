/// The HTTP interface towards callers, on libmicrohttpd. Requests that wait
/// are suspended; no thread waits with them.
#ifndef JT_FRONT_HTTP_H
#define JT_FRONT_HTTP_H

#include "front/front.h"

/// Starts to serve.
///
/// @return whether the address could be listened on
bool http_start(front_t *front, error_info_t *err);

/// Serves what still comes until it is quiet, then stops. Blocks.
void http_stop(front_t *front);

#endif
