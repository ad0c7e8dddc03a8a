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

/// Handles a request; called by libmicrohttpd.
///
/// @param owner  the front_t
/// @param state  of the request, NULL at first
enum MHD_Result http_handle_request(void *owner,
                                    struct MHD_Connection *connection,
                                    const char *url, const char *method,
                                    const char *version,
                                    const char *upload_data,
                                    size_t *upload_bytes, void **state);

/// Frees the state of a request; called by libmicrohttpd when it has ended.
void http_end_request(void *owner, struct MHD_Connection *connection,
                      void **state, enum MHD_RequestTerminationCode code);

#endif
