/// What every binary does alike: command line, settings, signals.
#ifndef JT_SHELL_APP_H
#define JT_SHELL_APP_H

#include "base/arena.h"
#include "base/error.h"
#include "base/record.h"

enum { kExitUsage = 2, kExitFailure = 1 };

/// A binary.
typedef struct {
    const char *name;
    const char *doc; ///< one line for --help
    const record_desc_t *settings_desc;
} app_t;

/// Reads the command line and the settings file. Exits for --help,
/// --version and --check, and with kExitUsage where anything is wrong.
/// Blocks the signals of a stop in all threads that are created later.
///
/// @param settings  record of app->settings_desc
void app_start(const app_t *app, int argc, char **argv, arena_t *arena,
               void *settings);

/// Reads and checks a settings file.
bool app_load_settings(const char *path, const record_desc_t *desc,
                       arena_t *arena, void *settings, error_info_t *err);

/// Has SIGHUP call a hook on the thread that waits for the stop, in place of
/// stopping the process.
void app_on_hangup(void (*hook)(void *owner), void *owner);

/// @return path of the settings file that app_start read
const char *app_settings_path(void);

/// Waits until the process is asked to stop.
void app_wait_for_stop(void);

/// Asks this process for a graceful stop, as SIGTERM does.
void app_request_stop(void);

/// @return a random number from the system
uint64_t app_random(void);

#endif
