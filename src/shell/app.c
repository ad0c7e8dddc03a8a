#include "runtime/app.h"

#include <apr_file_io.h>
#include <apr_general.h>
#include <apr_signal.h>
#include <apr_thread_proc.h>
#include <argp.h>
#include <curl/curl.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "codec/json.h"
#include "runtime/log.h"

enum { kSettingsLimitBytes = 1024 * 1024, kKeyCheck = 0x100 };

static const char *settings_path; ///< of the file that was read

/// Names the settings file where the command line does not.
static const char settings_variable[] = "JAYTRESTLE_SETTINGS";

const char *argp_program_version = "jaytrestle 0.1.0";

/// What the command line says.
typedef struct {
    const char *settings_path;
    bool is_check;
} options_t;

static const struct argp_option option_table[] = {
    {"settings", 's', "FILE", 0, "settings file, JSON with comments", 0},
    {"check", kKeyCheck, NULL, 0, "check the settings and exit", 0},
    {0}};

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
    options_t *options = state->input;
    switch (key) {
    case 's':
        options->settings_path = arg;
        return 0;
    case kKeyCheck:
        options->is_check = true;
        return 0;
    case ARGP_KEY_ARG:
        argp_usage(state);
        return 0;
    case ARGP_KEY_END:
        if (options->settings_path == NULL) {
            argp_error(state, "--settings is missing");
        }
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

/// Reads a whole file.
static bool
read_file(const char *path, arena_t *arena, bytes_t *out, error_info_t *err)
{
    apr_file_t *file = NULL;
    apr_finfo_t info;
    if (apr_file_open(&file, path, APR_FOPEN_READ, 0, arena) != APR_SUCCESS) {
        return error_set(err, kErrorKindBadSettings, "%s: cannot be opened",
                         path);
    }
    if (apr_file_info_get(&info, APR_FINFO_SIZE, file) != APR_SUCCESS ||
        info.size > kSettingsLimitBytes) {
        return error_set(err, kErrorKindBadSettings,
                         "%s: larger than %d bytes", path,
                         kSettingsLimitBytes);
    }
    apr_size_t size_bytes = (apr_size_t)info.size;
    char *data = apr_palloc(arena, size_bytes + 1);
    if (size_bytes > 0 && apr_file_read_full(file, data, size_bytes,
                                             &size_bytes) != APR_SUCCESS) {
        return error_set(err, kErrorKindBadSettings, "%s: cannot be read",
                         path);
    }
    apr_file_close(file);
    *out =
        (bytes_t){.data = (uint8_t *)data, .size_bytes = (uint32_t)size_bytes};
    return true;
}

bool
app_load_settings(const char *path, const record_desc_t *desc, arena_t *arena,
                  void *settings, error_info_t *err)
{
    bytes_t text = {0};
    return read_file(path, arena, &text, err) &&
           json_read(text, desc, kErrorKindBadSettings, arena, settings, err);
}

void
app_start(const app_t *app, int argc, char **argv, arena_t *arena,
          void *settings)
{
    const struct argp argp = {
        .options = option_table, .parser = parse_option, .doc = app->doc};
    options_t options = {.settings_path = getenv(settings_variable)};
    error_info_t err = {0};
    // First of all: a signal may come as soon as the process is there.
    apr_setup_signal_thread();
    apr_signal(SIGPIPE, SIG_IGN);
    argp_err_exit_status = kExitUsage;
    argp_parse(&argp, argc, argv, 0, NULL, &options);
    log_open(app->name);
    settings_path = options.settings_path;
    if (!app_load_settings(options.settings_path, app->settings_desc, arena,
                           settings, &err)) {
        fprintf(stderr, "%s: settings: %s\n", app->name, err.text);
        exit(kExitUsage);
    }
    if (options.is_check) {
        printf("%s: settings are valid\n", app->name);
        exit(0);
    }
    if (sodium_init() < 0 ||
        curl_global_init(CURL_GLOBAL_DEFAULT) != CURLE_OK) {
        fprintf(stderr, "%s: a library cannot start\n", app->name);
        exit(kExitFailure);
    }
}

static void (*hangup_hook)(void *owner);
static void *hangup_owner;

void
app_on_hangup(void (*hook)(void *owner), void *owner)
{
    hangup_hook = hook;
    hangup_owner = owner;
}

const char *
app_settings_path(void)
{
    return settings_path;
}

/// @return 1 for a signal that asks for a stop
static int
is_stop_signal(int number)
{
    if (number == SIGHUP && hangup_hook != NULL) {
        hangup_hook(hangup_owner);
        return 0;
    }
    return number == SIGTERM || number == SIGINT || number == SIGHUP;
}

void
app_wait_for_stop(void)
{
    apr_signal_thread(is_stop_signal);
}

void
app_request_stop(void)
{
    kill(getpid(), SIGTERM);
}

uint64_t
app_random(void)
{
    uint64_t number = 0;
    randombytes_buf(&number, sizeof number);
    return number;
}
