/// The connection of a process to the agent of its VM. The agent sends
/// configuration and members when they change, and nothing otherwise.
#ifndef JT_RUNTIME_AGENT_LINK_H
#define JT_RUNTIME_AGENT_LINK_H

#include "generated/messages.h"
#include "net/conn.h"

/// Handlers of updates. Called on the link's loop.
typedef struct {
    void (*on_config)(void *owner, const config_update_message_t *update);
    void (*on_members)(void *owner, const members_update_message_t *update);
} agent_link_ops_t;

typedef struct {
    loop_t *loop;
    const char *address;
    uint16_t port;
    hello_message_t hello;
    const agent_link_ops_t *ops;
    void *owner;
    conn_t *conn;
    loop_timer_t retry;
    uint64_t config_offset; ///< offset of the configuration in force
} agent_link_t;

/// Connects to the agent, and reconnects whenever the connection is lost.
void agent_link_start(agent_link_t *link);

/// Closes the connection and does not reconnect.
void agent_link_stop(agent_link_t *link);

#endif
