/// HTTP responses to callers.
#ifndef JT_FRONT_REPLIES_H
#define JT_FRONT_REPLIES_H

#include <microhttpd.h>

#include "front/call.h"

/// Sends the answer of a call: the state of a job, or an error.
///
/// @param closes_connection  the connection is closed after the response
enum MHD_Result responses_send_answer(struct MHD_Connection *connection,
                                      call_t *call, bool closes_connection);

/// Redirects a caller to the path of its new job id.
enum MHD_Result responses_send_redirect(struct MHD_Connection *connection,
                                        call_t *call, bool closes_connection);

/// Sends the ids of a mint.
enum MHD_Result responses_send_ids(struct MHD_Connection *connection,
                                   call_t *call, bool closes_connection);

/// Sends the response of the health check.
enum MHD_Result responses_send_health(struct MHD_Connection *connection,
                                      bool is_serving);

#endif
