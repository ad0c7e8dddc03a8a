/// Handles the messages that all processes answer in the same way: hello,
/// ping, dump, stop.
#ifndef JT_RUNTIME_CONTROL_H
#define JT_RUNTIME_CONTROL_H

#include <json-c/json.h>

#include "net/conn.h"

/// Identity of a process, and how to describe its state.
typedef struct {
    hello_message_t hello;
    /// Adds the state of the process to an object. Called on the loop that
    /// received the request.
    void (*describe)(void *owner, json_object *state);
    void *owner;
} control_t;

/// Sends a hello, which states the time.
void control_send_hello(conn_t *conn, const hello_message_t *hello);

/// Handles a message if it is one of these.
///
/// @return whether it is
bool control_answer(const control_t *control, conn_t *conn, uint32_t type,
                    bytes_t body);

#endif
