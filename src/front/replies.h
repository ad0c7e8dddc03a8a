/// HTTP answers to callers.
#ifndef JT_FRONT_REPLIES_H
#define JT_FRONT_REPLIES_H

#include <microhttpd.h>

#include "front/call.h"

/// Sends the answer of a job, or a refusal.
///
/// @param is_last  the connection is closed after it
enum MHD_Result replies_send_answer(struct MHD_Connection *connection,
                                    call_t *call, bool is_last);

/// Sends a caller to a fresh id.
enum MHD_Result replies_send_redirect(struct MHD_Connection *connection,
                                      call_t *call, bool is_last);

/// Sends fresh ids.
enum MHD_Result replies_send_ids(struct MHD_Connection *connection,
                                 call_t *call, bool is_last);

/// Says whether new callers should come here.
enum MHD_Result replies_send_health(struct MHD_Connection *connection,
                                    bool is_serving);

#endif
