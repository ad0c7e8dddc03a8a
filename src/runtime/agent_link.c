#include "runtime/agent_link.h"

#include "codec/pack.h"
#include "runtime/clock.h"
#include "runtime/control.h"
#include "runtime/log.h"

enum { kReconnectDelayMs = 500 };

static void
on_open(conn_t *conn)
{
    agent_link_t *link = conn->owner;
    subscribe_message_t subscribe = {.config_offset = link->config_offset};
    control_send_hello(conn, &link->hello);
    conn_send(conn, kMessageSubscribe, &subscribe);
    log_event("agent_up", "address=%s", link->address);
}

static void
handle_config(agent_link_t *link, bytes_t body)
{
    config_update_message_t update;
    error_info_t err = {0};
    arena_t *arena = arena_create();
    if (!pack_read_message(body, &config_update_message_desc, arena, &update,
                           &err)) {
        log_event("bad_message", "reason=\"%s\"", err.text);
    }
    else if (update.offset > link->config_offset) {
        link->ops->on_config(link->owner, &update);
        link->config_offset = update.offset;
        in_force_message_t in_force = {.offset = update.offset};
        conn_send(link->conn, kMessageInForce, &in_force);
    }
    arena_destroy(arena);
}

static void
handle_members(agent_link_t *link, bytes_t body)
{
    members_update_message_t update;
    error_info_t err = {0};
    arena_t *arena = arena_create();
    if (!pack_read_message(body, &members_update_message_desc, arena, &update,
                           &err)) {
        log_event("bad_message", "reason=\"%s\"", err.text);
    }
    else {
        link->ops->on_members(link->owner, &update);
    }
    arena_destroy(arena);
}

static void
on_message(conn_t *conn, uint32_t type, bytes_t body)
{
    if (type == kMessageConfigUpdate) {
        handle_config(conn->owner, body);
    }
    else if (type == kMessageMembersUpdate) {
        handle_members(conn->owner, body);
    }
}

static void
on_close(conn_t *conn)
{
    agent_link_t *link = conn->owner;
    if (conn->is_open) {
        log_event("agent_down", "address=%s", link->address);
    }
    link->conn = NULL;
    loop_timer_set(link->loop, &link->retry,
                   clock_deadline_ns(kReconnectDelayMs));
}

static const conn_ops_t link_conn_ops = {
    .on_open = on_open, .on_message = on_message, .on_close = on_close};

static void
try_connect(loop_timer_t *timer)
{
    agent_link_t *link = timer->owner;
    error_info_t err = {0};
    link->conn = conn_connect(link->loop, link->address, link->address,
                              link->port, &link_conn_ops, link, &err);
    if (link->conn == NULL) {
        loop_timer_set(link->loop, &link->retry,
                       clock_deadline_ns(kReconnectDelayMs));
    }
}

void
agent_link_start(agent_link_t *link)
{
    loop_timer_init(&link->retry, try_connect, link);
    try_connect(&link->retry);
}

void
agent_link_stop(agent_link_t *link)
{
    if (link->conn != NULL) {
        conn_close(link->conn);
    }
    loop_timer_clear(link->loop, &link->retry);
}
