/// jt-front: the HTTP server for callers.
#include <apr_general.h>
#include <stdio.h>
#include <stdlib.h>
#include <urcu-bp.h>

#include "base/counters.h"
#include "front/front.h"
#include "front/http.h"
#include "net/conn.h"
#include "runtime/app.h"
#include "runtime/log.h"
#include "runtime/memory_limit.h"

static const app_t app = {
    .name = "jt-front",
    .doc = "Takes jobs from callers over HTTP and passes them to dispatchers.",
    .settings_desc = &front_settings_desc};

/// Jobs of an evacuated data centre are run in another one.
static void
update_mint_dc(front_t *front)
{
    const vm_settings_t *here = &front->settings->here;
    uint16_t dc = evacuated_dcs_choose(&front->evacuated, front->members,
                                       here->dc, here->vm);
    if (atomic_exchange(&front->mint_dc, dc) != dc) {
        log_event("mint_dc", "dc=%u evacuated=%d", dc,
                  evacuated_dcs_has(&front->evacuated, here->dc));
    }
}

static void
on_config(void *owner, const config_update_message_t *update)
{
    front_t *front = owner;
    evacuated_dcs_apply(&front->evacuated, update);
    gauge_set(kGaugeDcsEvacuated, front->evacuated.count);
    update_mint_dc(front);
}

static void
on_members(void *owner, const members_update_message_t *update)
{
    front_t *front = owner;
    members_t *next =
        members_create(update->version, update->vms, update->vms_count);
    members_t *old = rcu_xchg_pointer(&front->members, next);
    synchronize_rcu();
    members_free(old);
    log_event("members_in_force", "vms=%u", update->vms_count);
    update_mint_dc(front);
}

static const agent_link_ops_t agent_ops = {.on_config = on_config,
                                           .on_members = on_members};

static void
describe(void *owner, json_object *state)
{
    front_t *front = owner;
    json_object_object_add(
        state, "active_requests",
        json_object_new_uint64(atomic_load(&front->active_count)));
    json_object_object_add(
        state, "draining",
        json_object_new_boolean(atomic_load(&front->is_draining)));
    json_object_object_add(
        state, "mint_dc",
        json_object_new_uint64(atomic_load(&front->mint_dc)));
    rcu_read_lock();
    const members_t *members = rcu_dereference(front->members);
    json_object_object_add(state, "members",
                           json_object_new_uint64(members->vm_count));
    json_object_object_add(
        state, "entry_vms",
        json_object_new_uint64(members_count_entry_vms(members)));
    rcu_read_unlock();
}

static void
on_control_message(conn_t *conn, uint32_t type, bytes_t body)
{
    front_t *front = conn->owner;
    control_answer(&front->control, conn, type, body);
}

static void
on_control_close(conn_t *conn)
{
    (void)conn;
}

static const conn_ops_t control_ops = {.on_message = on_control_message,
                                       .on_close = on_control_close};

static void
on_accept(void *owner, apr_socket_t *socket, arena_t *arena)
{
    front_t *front = owner;
    conn_wrap_socket(front->loop, socket, arena, &control_ops, front);
}

static void
init_front(front_t *front, const front_settings_t *settings)
{
    front->settings = settings;
    front->control = (control_t){.hello = {.role = kRoleFront,
                                           .dc = settings->here.dc,
                                           .vm = settings->here.vm,
                                           .nonce = app_random()},
                                 .describe = describe,
                                 .owner = front};
    front->members = members_create(0, NULL, 0);
    atomic_store(&front->mint_dc, settings->here.dc);
    front->loop = loop_create();
    front->relay_count = settings->link_threads;
    front->relays = calloc(front->relay_count, sizeof(relay_t));
    for (uint32_t i = 0; i < front->relay_count; i++) {
        relay_init(&front->relays[i], settings, &front->members,
                   &front->mint_dc, &front->control.hello);
    }
    front->agent = (agent_link_t){.loop = front->loop,
                                  .address = settings->here.address,
                                  .port = settings->agent_port,
                                  .hello = front->control.hello,
                                  .ops = &agent_ops,
                                  .owner = front};
}

/// Posted to the control loop by the thread that waits for signals.
typedef struct {
    loop_callback_t callback;
    front_t *front;
} stop_request_t;

static void
handle_stop_request(loop_callback_t *callback)
{
    front_t *front =
        caa_container_of(callback, stop_request_t, callback)->front;
    agent_link_stop(&front->agent);
    listener_close(front->listener);
    loop_stop(front->loop);
}

static void *APR_THREAD_FUNC
run_control(apr_thread_t *thread, void *owner)
{
    (void)thread;
    loop_run(((front_t *)owner)->loop);
    return NULL;
}

static void
stop_threads(front_t *front, apr_thread_t *control)
{
    apr_status_t status = APR_SUCCESS;
    MHD_stop_daemon(front->daemon);
    for (uint32_t i = 0; i < front->relay_count; i++) {
        relay_stop(&front->relays[i]);
        apr_thread_join(&status, front->relays[i].thread);
    }
    stop_request_t stop = {.callback = {.run = handle_stop_request},
                           .front = front};
    loop_post(front->loop, &stop.callback);
    apr_thread_join(&status, control);
}

static void
serve(front_t *front, arena_t *arena)
{
    apr_thread_t *control = NULL;
    for (uint32_t i = 0; i < front->relay_count; i++) {
        relay_run(&front->relays[i]);
    }
    agent_link_start(&front->agent);
    apr_thread_create(&control, NULL, run_control, front, arena);
    app_wait_for_stop();
    http_stop(front);
    stop_threads(front, control);
}

int
main(int argc, char **argv)
{
    apr_initialize();
    arena_t *arena = arena_create();
    front_settings_t settings;
    error_info_t err = {0};
    app_start(&app, argc, argv, arena, &settings);
    conn_limit_accepted(memory_limit_bytes(settings.memory_mb));
    front_t front = {0};
    init_front(&front, &settings);
    front.listener =
        listener_open(front.loop, settings.here.address, settings.control_port,
                      on_accept, &front, &err);
    if (front.listener == NULL || !http_start(&front, &err)) {
        fprintf(stderr, "%s: %s\n", app.name, err.text);
        exit(kExitFailure);
    }
    log_event("started", "dc=%u vm=%u address=%s port=%u", settings.here.dc,
              settings.here.vm, settings.here.address, settings.http_port);
    serve(&front, arena);
    log_event("stopped", "reason=signal");
    return 0;
}
