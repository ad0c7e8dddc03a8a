#include "node/reload.h"

#include <apr_file_info.h>

#include "base/counters.h"
#include "runtime/app.h"
#include "runtime/clock.h"
#include "runtime/log.h"

enum { kPollMs = 2000 }; ///< between checks of the settings file

static apr_time_t
read_modification_time_us(void)
{
    apr_finfo_t info = {0};
    arena_t *arena = arena_create();
    apr_stat(&info, app_settings_path(), APR_FINFO_MTIME, arena);
    arena_destroy(arena);
    return info.mtime;
}

void
reload_settings(reload_t *reload)
{
    error_info_t err = {0};
    arena_t *arena = arena_create();
    node_settings_t settings = {0};
    reload->modified_us = read_modification_time_us();
    if (app_load_settings(app_settings_path(), &node_settings_desc, arena,
                          &settings, &err)) {
        counter_add(kCounterSettingsRead, 1);
        node_apply_settings(reload->node, &settings);
    }
    else {
        counter_add(kCounterSettingsInvalid, 1);
        log_event("settings_kept", "reason=\"%s\"", err.text);
    }
    arena_destroy(arena);
}

static void
reload_on_loop(loop_callback_t *callback)
{
    reload_settings(caa_container_of(callback, reload_t, callback));
}

static void
on_hangup(void *owner)
{
    reload_t *reload = owner;
    loop_post(reload->node->loop, &reload->callback);
}

static void
on_due(loop_timer_t *timer)
{
    reload_t *reload = timer->owner;
    if (read_modification_time_us() != reload->modified_us) {
        reload_settings(reload);
    }
    loop_timer_set(reload->node->loop, timer, clock_deadline_ns(kPollMs));
}

void
reload_start(reload_t *reload, node_t *node)
{
    *reload = (reload_t){.node = node,
                         .callback = {.run = reload_on_loop},
                         .modified_us = read_modification_time_us()};
    loop_timer_init(&reload->timer, on_due, reload);
    loop_timer_set(node->loop, &reload->timer, clock_deadline_ns(kPollMs));
    app_on_hangup(on_hangup, reload);
}
