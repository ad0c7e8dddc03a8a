/// HTTP responses to callers.
#ifndef JT_FRONT_RESPONSES_H
#define JT_FRONT_RESPONSES_H

#include <microhttpd.h>

#include "front/call.h"

/// Sends the answer of a call: the state of a job, or an error.
///
/// @param closes_connection  whether to close the connection afterwards
enum MHD_Result responses_send_answer(struct MHD_Connection *connection,
                                      call_t *call, bool closes_connection);

/// Redirects a caller to the path of its new job id.
enum MHD_Result responses_send_redirect(struct MHD_Connection *connection,
                                        call_t *call, bool closes_connection);

/// Sends the ids that a mint returned.
enum MHD_Result responses_send_ids(struct MHD_Connection *connection,
                                   call_t *call, bool closes_connection);

/// Sends the response to a health check.
enum MHD_Result responses_send_health(struct MHD_Connection *connection,
                                      bool is_serving);

#endif
