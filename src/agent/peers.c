#include "agent/peers.h"

#include "codec/pack.h"
#include "runtime/log.h"

static void
on_open(conn_t *conn)
{
    agent_t *agent = conn->owner;
    config_get_message_t get = {.request = 1};
    control_send_hello(conn, &agent->control.hello);
    conn_send(conn, kMessageConfigGet, &get);
}

/// Replaces the configuration by that of a peer, if it is newer.
static void
replace_config(agent_t *agent, const config_update_message_t *update)
{
    if (config_document_replace(agent->document, update->offset,
                                update->sections, update->sections_count)) {
        log_event("peer_config", "offset=%lu", (unsigned long)update->offset);
        agent_push_config_to_all(agent);
    }
}

static void
on_message(conn_t *conn, uint32_t type, bytes_t body)
{
    agent_t *agent = conn->owner;
    error_info_t err = {0};
    arena_t *arena = arena_create();
    config_update_message_t config;
    members_update_message_t members;
    if (type == kMessageConfigUpdate &&
        pack_read_message(body, &config_update_message_desc, arena, &config,
                          &err)) {
        replace_config(agent, &config);
    }
    if (type == kMessageMembersUpdate &&
        pack_read_message(body, &members_update_message_desc, arena, &members,
                          &err)) {
        // A list from the platform, however old, is preferred to a peer's.
        if (agent->members->version == 0) {
            agent_update_members(agent, members.vms, members.vms_count);
        }
        conn_close(conn);
    }
    arena_destroy(arena);
}

static void
on_close(conn_t *conn)
{
    agent_t *agent = conn->owner;
    agent->peer = NULL;
}

static const conn_ops_t peer_ops = {
    .on_open = on_open, .on_message = on_message, .on_close = on_close};

void
peers_ask_next(agent_t *agent)
{
    const agent_settings_t *settings = agent->settings;
    error_info_t err = {0};
    if (agent->peer != NULL) {
        // It has not answered since the previous poll.
        conn_close(agent->peer);
    }
    if (settings->peers_count == 0) {
        return;
    }
    const peer_settings_t *peer =
        &settings->peers[agent->next_peer++ % settings->peers_count];
    agent->peer =
        conn_connect(agent->loop, settings->here.address, peer->address,
                     peer->port, &peer_ops, agent, &err);
}
