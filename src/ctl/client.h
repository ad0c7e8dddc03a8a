/// A blocking client for other jaytrestle processes: sends one request on a
/// connection of its own and waits for the reply.
#ifndef JT_CTL_CLIENT_H
#define JT_CTL_CLIENT_H

#include "base/arena.h"
#include "base/error.h"
#include "generated/messages.h"

/// The process to connect to, and the timeout of a request.
typedef struct {
    const char *address;
    uint16_t port;
    uint32_t timeout_ms;
} client_endpoint_t;

/// Sends a message and waits for a reply of one type.
///
/// @param endpoint    process to send to
/// @param type        message to send
/// @param message     fields of the message
/// @param reply_type  message to wait for; kMessageNone for no reply
/// @param arena       owns what the reply points to
/// @param reply       receives the fields of the reply
/// @return false, with err set, if the reply did not come or was malformed
bool client_send_request(const client_endpoint_t *endpoint, uint32_t type,
                         const void *message, uint32_t reply_type,
                         arena_t *arena, void *reply, error_info_t *err);

#endif
