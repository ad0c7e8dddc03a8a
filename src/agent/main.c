/// jt-agent: the agent of one VM.
#include <apr_general.h>
#include <apr_thread_proc.h>
#include <stdio.h>
#include <stdlib.h>

#include "agent/agent.h"
#include "net/conn.h"
#include "runtime/app.h"
#include "runtime/log.h"
#include "runtime/memory_limit.h"

static const app_t app = {
    .name = "jt-agent",
    .doc = "Follows the platform's log and list of VMs for the processes of "
           "one VM.",
    .settings_desc = &agent_settings_desc};

/// A request from the main thread, which waits for signals, to stop the loop.
typedef struct {
    loop_callback_t callback;
    agent_t *agent;
} stop_request_t;

static void
run_stop(loop_callback_t *callback)
{
    agent_t *agent =
        caa_container_of(callback, stop_request_t, callback)->agent;
    agent_stop(agent);
    loop_stop(agent->loop);
}

static void *APR_THREAD_FUNC
run_loop(apr_thread_t *thread, void *owner)
{
    (void)thread;
    loop_run(((agent_t *)owner)->loop);
    return NULL;
}

int
main(int argc, char **argv)
{
    apr_initialize();
    arena_t *arena = arena_create();
    agent_settings_t settings;
    error_info_t err = {0};
    app_start(&app, argc, argv, arena, &settings);
    conn_limit_accepted(memory_limit_bytes(settings.memory_mb));
    agent_t agent = {.settings = &settings, .loop = loop_create()};
    if (!agent_start(&agent, &err)) {
        fprintf(stderr, "%s: %s\n", app.name, err.text);
        exit(kExitFailure);
    }
    apr_thread_t *thread = NULL;
    apr_thread_create(&thread, NULL, run_loop, &agent, arena);
    log_event("started", "dc=%u vm=%u address=%s port=%u", settings.here.dc,
              settings.here.vm, settings.here.address, settings.port);
    app_wait_for_stop();
    stop_request_t stop = {.callback = {.run = run_stop}, .agent = &agent};
    loop_post(agent.loop, &stop.callback);
    apr_status_t status = APR_SUCCESS;
    apr_thread_join(&status, thread);
    log_event("stopped", "reason=signal");
    return 0;
}
