/// Reloads the settings file when its modification time changes or on SIGHUP.
#ifndef JT_NODE_RELOAD_H
#define JT_NODE_RELOAD_H

#include <apr_time.h>

#include "node/node.h"

typedef struct {
    node_t *node;
    loop_timer_t timer;
    loop_callback_t callback; ///< posted on SIGHUP
    apr_time_t modified_us;
} reload_t;

/// Begins to watch the settings file of the process. Call it before the loop
/// runs.
void reload_start(reload_t *reload, node_t *node);

/// Reads the settings file, and applies it if it is valid. Loop thread only.
void reload_settings(reload_t *reload);

#endif
