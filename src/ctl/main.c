/// jtctl: the command line tool for operators.
#include <apr_general.h>
#include <apr_strings.h>
#include <argp.h>
#include <curl/curl.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl/commands.h"
#include "generated/settings.h"
#include "runtime/app.h"

enum { kKeyEditId = 0x200, kKeyBase, kKeyCheck, kMaxWords = 6 };

/// Parsed command line.
typedef struct {
    const char *settings_path;
    const char *address;
    const char *port;
    const char *edit_id;
    const char *base;
    bool is_check;
    const char *words[kMaxWords];
    uint32_t word_count;
} options_t;

static const struct argp_option option_table[] = {
    {"settings", 's', "FILE", 0, "settings file, JSON with comments", 0},
    {"check", kKeyCheck, NULL, 0, "validate the settings and exit", 0},
    {"address", 'a', "IP", 0, "address of the process", 0},
    {"port", 'p', "PORT", 0, "port of the process", 0},
    {"edit-id", kKeyEditId, "ID", 0,
     "repeat the edit with this id, after its answer was lost", 0},
    {"base", kKeyBase, "OFFSET", 0,
     "offset of the section that the edit is based on", 0},
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
    case 'a':
        options->address = arg;
        return 0;
    case 'p':
        options->port = arg;
        return 0;
    case kKeyEditId:
        options->edit_id = arg;
        return 0;
    case kKeyBase:
        options->base = arg;
        return 0;
    case ARGP_KEY_ARG:
        if (options->word_count == kMaxWords) {
            argp_usage(state);
        }
        options->words[options->word_count++] = arg;
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

/// Finds the command that the positional arguments start with.
///
/// @param name_word_count  set to the number of words of its name
static const command_t *
find_command(const options_t *options, uint32_t *name_word_count)
{
    for (uint32_t i = 0; i < command_count; i++) {
        const char *name = command_table[i].name;
        const char *space = strchr(name, ' ');
        size_t first = space == NULL ? strlen(name) : (size_t)(space - name);
        if (options->word_count == 0 || strlen(options->words[0]) != first ||
            strncmp(options->words[0], name, first) != 0) {
            continue;
        }
        if (space == NULL) {
            *name_word_count = 1;
            return &command_table[i];
        }
        if (options->word_count > 1 &&
            strcmp(options->words[1], space + 1) == 0) {
            *name_word_count = 2;
            return &command_table[i];
        }
    }
    return NULL;
}

static void
print_usage(void)
{
    fprintf(stderr, "jtctl: commands:\n");
    for (uint32_t i = 0; i < command_count; i++) {
        fprintf(stderr, "  %s\n", command_table[i].usage);
    }
}

static void
load_settings(const options_t *options, arena_t *arena, ctl_settings_t *out)
{
    error_info_t err = {0};
    record_set_defaults(&ctl_settings_desc, out);
    if (options->settings_path != NULL &&
        !app_load_settings(options->settings_path, &ctl_settings_desc, arena,
                           out, &err)) {
        fprintf(stderr, "jtctl: settings: %s\n", err.text);
        exit(kExitUsage);
    }
    if (options->is_check) {
        printf("jtctl: settings are valid\n");
        exit(0);
    }
    if (options->address != NULL) {
        out->address = options->address;
    }
    if (options->port != NULL) {
        out->port = (uint16_t)strtoul(options->port, NULL, 10);
    }
}

int
main(int argc, char **argv)
{
    const struct argp argp = {
        .options = option_table,
        .parser = parse_option,
        .args_doc = "COMMAND [ARGS]",
        .doc = "Inspects and controls jaytrestle processes.\n\v"
               "Commands: dump, counters, stop, status, evacuate DC, restore "
               "DC, config get [SECTION], config "
               "check FILE, config put SECTION FILE, config status."};
    options_t options = {0};
    ctl_settings_t settings;
    error_info_t err = {0};
    uint32_t name_word_count = 0;
    apr_initialize();
    argp_err_exit_status = kExitUsage;
    argp_parse(&argp, argc, argv, 0, NULL, &options);
    arena_t *arena = arena_create();
    load_settings(&options, arena, &settings);
    const command_t *command = find_command(&options, &name_word_count);
    if (command == NULL || sodium_init() < 0 ||
        options.word_count - name_word_count < command->min_args ||
        options.word_count - name_word_count > command->max_args) {
        print_usage();
        return kExitUsage;
    }
    command_args_t args = {.endpoint = {.address = settings.address,
                                        .port = settings.port,
                                        .timeout_ms = settings.limit_ms},
                           .edit_id = options.edit_id,
                           .base = options.base,
                           .arena = arena};
    for (uint32_t i = name_word_count; i < options.word_count; i++) {
        args.positional[args.positional_count++] = options.words[i];
    }
    return command->run(&args, &err);
}
