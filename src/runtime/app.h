/// Start and stop of a process, as in every binary: command line, settings,
/// signals.
#ifndef JT_RUNTIME_APP_H
#define JT_RUNTIME_APP_H

#include "base/arena.h"
#include "base/error.h"
#include "base/record.h"

enum { kExitUsage = 2, kExitFailure = 1 };

/// Description of a binary.
typedef struct {
    const char *name;
    const char *doc; ///< one line for --help
    const record_desc_t *settings_desc;
} app_t;

/// Reads the command line and the settings file. Exits after --help, --version
/// and --check, with kExitUsage if the command line or the settings are
/// invalid, and with kExitFailure if a library cannot be initialized. Blocks
/// the signals that stop the process in all threads that are created later.
///
/// @param settings  record of app->settings_desc
void app_start(const app_t *app, int argc, char **argv, arena_t *arena,
               void *settings);

/// Reads and checks a settings file.
bool app_load_settings(const char *path, const record_desc_t *desc,
                       arena_t *arena, void *settings, error_info_t *err);

/// Makes SIGHUP call a hook, on the thread that runs app_wait_for_stop,
/// instead of stopping the process.
void app_on_hangup(void (*hook)(void *owner), void *owner);

/// @return the path of the settings file that app_start read
const char *app_settings_path(void);

/// Blocks until a signal asks the process to stop.
void app_wait_for_stop(void);

/// Requests a graceful stop of this process, as SIGTERM does.
void app_request_stop(void);

/// @return a random number from the system
uint64_t app_random(void);

#endif
