/// A blocking client for messages of own processes: one request, one wait.
#ifndef JT_CTL_CLIENT_H
#define JT_CTL_CLIENT_H

#include "base/arena.h"
#include "base/error.h"
#include "generated/messages.h"

/// Where to ask, and how long to wait.
typedef struct {
    const char *address;
    uint16_t port;
    uint32_t limit_ms;
} client_target_t;

/// Sends a message and waits for an answer of one type.
///
/// @param target      process to ask
/// @param type        message to send
/// @param message     its fields
/// @param reply_type  message to wait for; kMessageNone to only send
/// @param arena       owner of what the reply points to
/// @param reply       its fields
/// @return whether the answer came
bool client_ask(const client_target_t *target, uint32_t type,
                const void *message, uint32_t reply_type, arena_t *arena,
                void *reply, error_info_t *err);

#endif
