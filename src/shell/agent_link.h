/// The link of a process to the agent of its VM: configuration and members
/// come over it on change, and nothing while nothing changes.
#ifndef JT_SHELL_AGENT_LINK_H
#define JT_SHELL_AGENT_LINK_H

#include "generated/messages.h"
#include "net/conn.h"

/// What the process does with news. Called on the link's loop.
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
    uint64_t config_offset; ///< in force
} agent_link_t;

/// Starts the link; it reconnects by itself.
void agent_link_start(agent_link_t *link);

/// Ends the link.
void agent_link_stop(agent_link_t *link);

#endif
