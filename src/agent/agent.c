#include "agent/agent.h"

#include <apr_hash.h>
#include <stdlib.h>
#include <string.h>

#include "agent/edits.h"
#include "agent/platform.h"
#include "codec/json.h"
#include "codec/pack.h"
#include "runtime/app.h"
#include "runtime/clock.h"
#include "runtime/log.h"

void
agent_push_config(session_t *session)
{
    agent_t *agent = session->agent;
    arena_t *arena = arena_create();
    config_update_message_t update = {
        .offset = config_document_offset(agent->document),
        .full = session->sent_offset == 0};
    update.sections = config_document_list_sections(
        agent->document, session->sent_offset, arena, &update.sections_count);
    if (update.sections_count > 0) {
        conn_send(session->conn, kMessageConfigUpdate, &update);
        session->sent_offset = update.offset;
    }
    arena_destroy(arena);
}

static void
push_members(session_t *session)
{
    const members_t *members = session->agent->members;
    if (members->version == 0) {
        return;
    }
    members_update_message_t update = {.version = members->version,
                                       .vms = members->vms,
                                       .vms_count = members->vm_count};
    conn_send(session->conn, kMessageMembersUpdate, &update);
}

void
agent_push_config_to_all(agent_t *agent)
{
    for (session_t *session = agent->sessions; session != NULL;
         session = session->next) {
        if (session->is_subscribed) {
            agent_push_config(session);
        }
    }
}

void
agent_update_members(agent_t *agent, const vm_entry_t *vms, uint32_t vm_count)
{
    bool is_known = agent->members->version > 0;
    if (is_known && members_equal(agent->members, vms, vm_count)) {
        return;
    }
    // A list without an entry VM is a fault of the platform. If it were used,
    // every dispatcher would count as gone and its jobs as lost.
    if (!members_has_entry_vm(vms, vm_count)) {
        if (is_known) {
            log_event("members_refused", "vms=%u", vm_count);
        }
        return;
    }
    members_t *old = agent->members;
    agent->members = members_create(old->version + 1, vms, vm_count);
    members_free(old);
    log_event("members", "version=%lu vms=%u",
              (unsigned long)agent->members->version, vm_count);
    for (session_t *session = agent->sessions; session != NULL;
         session = session->next) {
        if (session->is_subscribed) {
            push_members(session);
        }
    }
}

static void
handle_hello(session_t *session, bytes_t body, arena_t *arena)
{
    hello_message_t hello;
    error_info_t err = {0};
    if (pack_read_message(body, &hello_message_desc, arena, &hello, &err)) {
        session->role = hello.role;
    }
    control_send_hello(session->conn, &session->agent->control.hello);
}

static void
handle_subscribe(session_t *session, bytes_t body, arena_t *arena)
{
    subscribe_message_t subscribe;
    error_info_t err = {0};
    if (!pack_read_message(body, &subscribe_message_desc, arena, &subscribe,
                           &err)) {
        conn_close(session->conn);
        return;
    }
    session->is_subscribed = true;
    session->sent_offset = subscribe.config_offset;
    session->in_force_offset = subscribe.config_offset;
    agent_push_config(session);
    push_members(session);
}

static void
handle_in_force(session_t *session, bytes_t body, arena_t *arena)
{
    in_force_message_t in_force;
    error_info_t err = {0};
    if (pack_read_message(body, &in_force_message_desc, arena, &in_force,
                          &err)) {
        session->in_force_offset = in_force.offset;
    }
}

/// Sends the whole configuration and the list of VMs to a peer or an operator.
static void
handle_config_get(session_t *session, bytes_t body, arena_t *arena)
{
    (void)body;
    agent_t *agent = session->agent;
    config_update_message_t update = {
        .offset = config_document_offset(agent->document), .full = true};
    update.sections = config_document_list_sections(agent->document, 0, arena,
                                                    &update.sections_count);
    conn_send(session->conn, kMessageConfigUpdate, &update);
    push_members(session);
}

static void
handle_config_status(session_t *session, bytes_t body, arena_t *arena)
{
    config_status_message_t status;
    error_info_t err = {0};
    if (!pack_read_message(body, &config_status_message_desc, arena, &status,
                           &err)) {
        return;
    }
    process_state_t states[64];
    config_state_message_t state = {
        .request = status.request,
        .offset = config_document_offset(session->agent->document),
        .processes = states};
    for (session_t *other = session->agent->sessions;
         other != NULL && state.processes_count < 64; other = other->next) {
        if (other->is_subscribed) {
            states[state.processes_count++] = (process_state_t){
                .role = other->role, .offset = other->in_force_offset};
        }
    }
    conn_send(session->conn, kMessageConfigState, &state);
}

typedef void (*message_handler_t)(session_t *session, bytes_t body,
                                  arena_t *arena);

static const message_handler_t message_handlers[kMessageCount] = {
    [kMessageHello] = handle_hello,
    [kMessageSubscribe] = handle_subscribe,
    [kMessageInForce] = handle_in_force,
    [kMessageConfigGet] = handle_config_get,
    [kMessageConfigStatus] = handle_config_status,
    [kMessageConfigPut] = edits_handle_put,
};

static void
on_message(conn_t *conn, uint32_t type, bytes_t body)
{
    session_t *session = conn->owner;
    if (type < kMessageCount && message_handlers[type] != NULL) {
        arena_t *arena = arena_create();
        message_handlers[type](session, body, arena);
        arena_destroy(arena);
        return;
    }
    control_answer(&session->agent->control, conn, type, body);
}

static void
on_close(conn_t *conn)
{
    session_t *session = conn->owner;
    agent_t *agent = session->agent;
    edits_detach_session(agent, session);
    if (session->prev != NULL) {
        session->prev->next = session->next;
    }
    else {
        agent->sessions = session->next;
    }
    if (session->next != NULL) {
        session->next->prev = session->prev;
    }
    loop_free_later(agent->loop, session, free);
}

static const conn_ops_t session_ops = {.on_message = on_message,
                                       .on_close = on_close};

static void
on_accept(void *owner, apr_socket_t *socket, arena_t *arena)
{
    agent_t *agent = owner;
    session_t *session = calloc(1, sizeof *session);
    session->agent = agent;
    session->next = agent->sessions;
    if (session->next != NULL) {
        session->next->prev = session;
    }
    agent->sessions = session;
    session->conn =
        conn_wrap_socket(agent->loop, socket, arena, &session_ops, session);
}

static void
describe(void *owner, json_object *state)
{
    agent_t *agent = owner;
    json_object_object_add(
        state, "config_offset",
        json_object_new_uint64(config_document_offset(agent->document)));
    json_object_object_add(state, "members_version",
                           json_object_new_uint64(agent->members->version));
    json_object_object_add(state, "members",
                           json_object_new_uint64(agent->members->vm_count));
    json_object_object_add(state, "platform_up",
                           json_object_new_boolean(agent->is_platform_up));
}

/// @return whether the text of a section parses as a section document
static bool
is_section_valid(const char *section, const char *text, error_info_t *err)
{
    (void)section;
    section_document_t document;
    arena_t *arena = arena_create();
    bytes_t bytes = {.data = (const uint8_t *)text,
                     .size_bytes = (uint32_t)strlen(text)};
    bool is_valid = json_read(bytes, &section_document_desc,
                              kErrorKindConfigInvalid, arena, &document, err);
    arena_destroy(arena);
    return is_valid;
}

bool
agent_start(agent_t *agent, error_info_t *err)
{
    const vm_settings_t *here = &agent->settings->here;
    agent->arena = arena_create();
    agent->edit_results = apr_hash_make(agent->arena);
    agent->document = config_document_create(is_section_valid);
    agent->members = members_create(0, NULL, 0);
    agent->http = http_client_create(agent->loop);
    agent->control = (control_t){.hello = {.role = kRoleAgent,
                                           .dc = here->dc,
                                           .vm = here->vm,
                                           .nonce = app_random()},
                                 .describe = describe,
                                 .owner = agent};
    agent->listener =
        listener_open(agent->loop, here->address, agent->settings->port,
                      on_accept, agent, err);
    if (agent->listener == NULL) {
        return false;
    }
    platform_start(agent);
    return true;
}

void
agent_stop(agent_t *agent)
{
    listener_close(agent->listener);
    while (agent->sessions != NULL) {
        conn_flush(agent->sessions->conn);
        if (agent->sessions != NULL) {
            conn_close(agent->sessions->conn);
        }
    }
    loop_timer_clear(agent->loop, &agent->poll_timer);
}
