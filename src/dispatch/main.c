/// jt-dispatch: mints job ids and runs the jobs submitted under them.
#include <apr_general.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <urcu-bp.h>

#include "dispatch/dispatch.h"
#include "dispatch/drain.h"
#include "dispatch/shard.h"
#include "net/conn.h"
#include "runtime/app.h"
#include "runtime/log.h"
#include "runtime/memory_limit.h"

static const app_t app = {
    .name = "jt-dispatch",
    .doc = "Runs jobs: mints their ids, starts their tasks on targets, holds "
           "their answers.",
    .settings_desc = &dispatch_settings_desc};

static void
on_accept(void *owner, apr_socket_t *socket, arena_t *arena)
{
    dispatch_t *dispatch = owner;
    uint32_t number = dispatch->next_shard++ % dispatch->shard_count;
    shard_add_socket(&dispatch->shards[number], socket, arena);
}

static void
on_config(void *owner, const config_update_message_t *update)
{
    dispatch_t *dispatch = owner;
    view_apply_config(&dispatch->view, dispatch->settings, update);
}

static void
on_members(void *owner, const members_update_message_t *update)
{
    dispatch_t *dispatch = owner;
    view_apply_members(&dispatch->view, dispatch->settings, update);
}

static const agent_link_ops_t agent_ops = {.on_config = on_config,
                                           .on_members = on_members};

static void
add_number(json_object *state, const char *name, uint64_t number)
{
    json_object_object_add(state, name, json_object_new_uint64(number));
}

static json_object *
describe_shard(shard_t *shard)
{
    json_object *state = json_object_new_object();
    add_number(state, "active_jobs", atomic_load(&shard->active_count));
    add_number(state, "held_answers", atomic_load(&shard->held_count));
    add_number(state, "waiting_tasks", atomic_load(&shard->waiting_count));
    add_number(state, "started_tasks", atomic_load(&shard->started_count));
    return state;
}

static json_object *
describe_target(const target_t *target)
{
    json_object *state = json_object_new_object();
    add_number(state, "vm", target->vm);
    json_object_object_add(state, "url",
                           json_object_new_string(target->base_url));
    add_number(state, "slots", atomic_load(&target->slots));
    add_number(state, "share", atomic_load(&target->share_slots));
    add_number(state, "outstanding", atomic_load(&target->outstanding));
    add_number(state, "done", atomic_load(&target->done_count));
    add_number(state, "failed", atomic_load(&target->failed_count));
    json_object_object_add(
        state, "leaving",
        json_object_new_boolean(atomic_load(&target->is_leaving)));
    json_object_object_add(
        state, "ejected",
        json_object_new_boolean(atomic_load(&target->ejected_until_ns) != 0));
    return state;
}

static void
describe_view(json_object *state, const view_t *view)
{
    add_number(state, "config_offset", view->config_offset);
    json_object_object_add(state, "evacuated",
                           json_object_new_boolean(view->is_evacuated));
    add_number(state, "teams", apr_hash_count(view->teams));
    add_number(state, "members", view->members->vm_count);
    add_number(state, "entry_vms", view->entry_count);
    json_object *targets = json_object_new_array();
    for (uint32_t i = 0; i < view->targets->count; i++) {
        json_object_array_add(targets,
                              describe_target(view->targets->targets[i]));
    }
    json_object_object_add(state, "targets", targets);
}

static void
describe(void *owner, json_object *state)
{
    dispatch_t *dispatch = owner;
    add_number(state, "nonce", dispatch->self.nonce);
    json_object_object_add(
        state, "draining",
        json_object_new_boolean(atomic_load(&dispatch->is_draining)));
    json_object *shards = json_object_new_array();
    for (uint32_t i = 0; i < dispatch->shard_count; i++) {
        json_object_array_add(shards, describe_shard(&dispatch->shards[i]));
    }
    json_object_object_add(state, "shards", shards);
    rcu_read_lock();
    describe_view(state, rcu_dereference(dispatch->view));
    rcu_read_unlock();
}

static void
init_dispatch(dispatch_t *dispatch, const dispatch_settings_t *settings)
{
    dispatch->settings = settings;
    dispatch->self = (incarnation_t){.dc = settings->here.dc,
                                     .vm = settings->here.vm,
                                     .nonce = app_random()};
    randombytes_buf(dispatch->secret, sizeof dispatch->secret);
    dispatch->control = (control_t){.hello = {.role = kRoleDispatch,
                                              .dc = settings->here.dc,
                                              .vm = settings->here.vm,
                                              .nonce = dispatch->self.nonce},
                                    .describe = describe,
                                    .owner = dispatch};
    dispatch->view = view_create_empty();
    dispatch->loop = loop_create();
    dispatch->shard_count = settings->shards;
    dispatch->shards = calloc(settings->shards, sizeof(shard_t));
    for (uint32_t i = 0; i < dispatch->shard_count; i++) {
        shard_init(&dispatch->shards[i], dispatch, i);
    }
    dispatch->agent = (agent_link_t){.loop = dispatch->loop,
                                     .address = settings->here.address,
                                     .port = settings->agent_port,
                                     .hello = dispatch->control.hello,
                                     .ops = &agent_ops,
                                     .owner = dispatch};
}

/// Posted to the control loop by the thread that waits for signals.
typedef struct {
    loop_callback_t callback;
    dispatch_t *dispatch;
} stop_request_t;

static void
handle_stop_request(loop_callback_t *callback)
{
    drain_start(
        caa_container_of(callback, stop_request_t, callback)->dispatch);
}

static void *APR_THREAD_FUNC
run_control(apr_thread_t *thread, void *owner)
{
    (void)thread;
    loop_run(((dispatch_t *)owner)->loop);
    return NULL;
}

static void
serve(dispatch_t *dispatch, arena_t *arena)
{
    apr_thread_t *control = NULL;
    apr_status_t status = APR_SUCCESS;
    for (uint32_t i = 0; i < dispatch->shard_count; i++) {
        shard_start(&dispatch->shards[i]);
    }
    agent_link_start(&dispatch->agent);
    apr_thread_create(&control, NULL, run_control, dispatch, arena);
    app_wait_for_stop();
    stop_request_t request = {.callback = {.run = handle_stop_request},
                              .dispatch = dispatch};
    loop_post(dispatch->loop, &request.callback);
    apr_thread_join(&status, control);
    for (uint32_t i = 0; i < dispatch->shard_count; i++) {
        apr_thread_join(&status, dispatch->shards[i].thread);
    }
}

int
main(int argc, char **argv)
{
    apr_initialize();
    arena_t *arena = arena_create();
    dispatch_settings_t settings;
    error_info_t err = {0};
    app_start(&app, argc, argv, arena, &settings);
    conn_limit_accepted(memory_limit_bytes(settings.memory_mb));
    dispatch_t dispatch = {0};
    init_dispatch(&dispatch, &settings);
    dispatch.listener =
        listener_open(dispatch.loop, settings.here.address, settings.port,
                      on_accept, &dispatch, &err);
    if (dispatch.listener == NULL) {
        fprintf(stderr, "%s: %s\n", app.name, err.text);
        exit(kExitFailure);
    }
    log_event("started", "dc=%u vm=%u address=%s port=%u nonce=%016lx",
              settings.here.dc, settings.here.vm, settings.here.address,
              settings.port, (unsigned long)dispatch.self.nonce);
    serve(&dispatch, arena);
    log_event("stopped", "reason=signal");
    return 0;
}
