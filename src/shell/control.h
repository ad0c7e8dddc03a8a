/// Messages that every process answers alike: hello, ping, dump, stop.
#ifndef JT_SHELL_CONTROL_H
#define JT_SHELL_CONTROL_H

#include <json-c/json.h>

#include "net/conn.h"

/// Who a process is, and how it describes itself.
typedef struct {
    hello_message_t hello;
    /// Adds the state of the process to an object. Called on the loop that
    /// the request came to.
    void (*describe)(void *owner, json_object *state);
    void *owner;
} control_t;

/// Answers a message if it is one of these.
///
/// @return whether it was
bool control_answer(const control_t *control, conn_t *conn, uint32_t type,
                    bytes_t body);

#endif
