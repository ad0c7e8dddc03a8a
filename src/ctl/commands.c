#include "ctl/commands.h"

#include <apr_file_io.h>
#include <apr_strings.h>
#include <json-c/json.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "codec/json.h"
#include "config/evacuated_dcs.h"
#include "runtime/app.h"

enum { kMaxSectionBytes = 1024 * 1024, kEditIdBytes = 16 };

static int
fail(const error_info_t *err)
{
    fprintf(stderr, "jtctl: %s: %s\n", error_answers[err->kind].name,
            err->text);
    return kExitFailure;
}

static bool
fetch_dump(const command_args_t *args, dump_reply_message_t *reply,
           error_info_t *err)
{
    dump_message_t request = {.request = 1};
    return client_send_request(&args->endpoint, kMessageDump, &request,
                               kMessageDumpReply, args->arena, reply, err);
}

static int
run_dump(const command_args_t *args, error_info_t *err)
{
    dump_reply_message_t reply;
    if (!fetch_dump(args, &reply, err)) {
        return fail(err);
    }
    printf("%s\n", reply.text);
    return 0;
}

static int
run_counters(const command_args_t *args, error_info_t *err)
{
    dump_reply_message_t reply;
    if (!fetch_dump(args, &reply, err)) {
        return fail(err);
    }
    json_object *state = json_tokener_parse(reply.text);
    json_object *counters = NULL;
    if (json_object_object_get_ex(state, "counters", &counters)) {
        json_object_object_foreach(counters, name, value)
        {
            printf("%s %s\n", name, json_object_get_string(value));
        }
    }
    json_object_put(state);
    return 0;
}

static int
run_stop(const command_args_t *args, error_info_t *err)
{
    stop_message_t request = {.request = 1};
    if (!client_send_request(&args->endpoint, kMessageStop, &request,
                             kMessageNone, args->arena, NULL, err)) {
        return fail(err);
    }
    return 0;
}

static bool
fetch_config(const command_args_t *args, config_update_message_t *update,
             error_info_t *err)
{
    config_get_message_t request = {.request = 1};
    return client_send_request(&args->endpoint, kMessageConfigGet, &request,
                               kMessageConfigUpdate, args->arena, update, err);
}

static int
run_config_get(const command_args_t *args, error_info_t *err)
{
    config_update_message_t update;
    if (!fetch_config(args, &update, err)) {
        return fail(err);
    }
    printf("// offset %lu\n", (unsigned long)update.offset);
    for (uint32_t i = 0; i < update.sections_count; i++) {
        const section_entry_t *section = &update.sections[i];
        if (section->text[0] == '\0' ||
            (args->positional_count > 0 &&
             strcmp(args->positional[0], section->name) != 0)) {
            continue;
        }
        printf("// section %s, base %lu\n%s\n", section->name,
               (unsigned long)section->offset, section->text);
    }
    return 0;
}

/// Reads a section from a file and validates it.
static bool
read_section(const command_args_t *args, const char *path, const char **text,
             error_info_t *err)
{
    apr_file_t *file = NULL;
    char *data = apr_palloc(args->arena, kMaxSectionBytes + 1);
    apr_size_t size_bytes = kMaxSectionBytes;
    if (apr_file_open(&file, path, APR_FOPEN_READ, 0, args->arena) !=
        APR_SUCCESS) {
        return error_set(err, kErrorKindConfigInvalid, "%s: cannot be opened",
                         path);
    }
    apr_file_read_full(file, data, size_bytes, &size_bytes);
    apr_file_close(file);
    data[size_bytes] = '\0';
    section_document_t section;
    bytes_t bytes = {.data = (uint8_t *)data,
                     .size_bytes = (uint32_t)size_bytes};
    *text = data;
    return json_read(bytes, &section_document_desc, kErrorKindConfigInvalid,
                     args->arena, &section, err);
}

static int
run_config_check(const command_args_t *args, error_info_t *err)
{
    const char *text = NULL;
    if (!read_section(args, args->positional[0], &text, err)) {
        fail(err);
        return kExitUsage;
    }
    printf("%s: valid\n", args->positional[0]);
    return 0;
}

/// Sets the offset that an edit is based on: the one given on the command
/// line, or the section's current one, 0 if there is no such section.
static bool
resolve_base(const command_args_t *args, const char *section, uint64_t *base,
             error_info_t *err)
{
    config_update_message_t update;
    if (args->base != NULL) {
        *base = strtoull(args->base, NULL, 10);
        return true;
    }
    if (!fetch_config(args, &update, err)) {
        return false;
    }
    *base = 0;
    for (uint32_t i = 0; i < update.sections_count; i++) {
        if (strcmp(update.sections[i].name, section) == 0) {
            *base = update.sections[i].offset;
        }
    }
    return true;
}

static const char *
make_edit_id(arena_t *arena)
{
    uint8_t bytes[kEditIdBytes];
    char *text = apr_palloc(arena, 2 * sizeof bytes + 1);
    randombytes_buf(bytes, sizeof bytes);
    sodium_bin2hex(text, 2 * sizeof bytes + 1, bytes, sizeof bytes);
    return text;
}

static int
put_section(const command_args_t *args, const char *section, const char *text,
            error_info_t *err)
{
    config_put_message_t put = {
        .request = 1, .section = section, .text = text};
    config_result_message_t result;
    if (!resolve_base(args, section, &put.base, err)) {
        return fail(err);
    }
    put.edit_id =
        args->edit_id != NULL ? args->edit_id : make_edit_id(args->arena);
    printf("edit %s base %lu\n", put.edit_id, (unsigned long)put.base);
    fflush(stdout);
    if (!client_send_request(&args->endpoint, kMessageConfigPut, &put,
                             kMessageConfigResult, args->arena, &result,
                             err)) {
        return fail(err);
    }
    if (result.kind != kErrorKindOk) {
        const char *reason = result.reason[0] != '\0'
                                 ? result.reason
                                 : error_answers[result.kind].text;
        error_set(err, result.kind, "%s", reason);
        return fail(err);
    }
    printf("accepted at offset %lu\n", (unsigned long)result.offset);
    return 0;
}

static int
run_config_put(const command_args_t *args, error_info_t *err)
{
    const char *text = NULL;
    if (!read_section(args, args->positional[1], &text, err)) {
        return fail(err);
    }
    return put_section(args, args->positional[0], text, err);
}

/// Edits the section of the data centre that is named on the command line.
static int
put_dc_section(const command_args_t *args, const char *text, error_info_t *err)
{
    char section[kEvacuationSectionBytes];
    uint16_t dc = 0;
    if (!evacuated_dcs_parse(args->positional[0], &dc)) {
        error_set(err, kErrorKindConfigInvalid,
                  "%s: not the number of a data centre", args->positional[0]);
        fail(err);
        return kExitUsage;
    }
    evacuated_dcs_format_section(section, dc);
    return put_section(args, section, text, err);
}

static int
run_evacuate(const command_args_t *args, error_info_t *err)
{
    return put_dc_section(args, "{}", err);
}

/// An empty text removes the section.
static int
run_restore(const command_args_t *args, error_info_t *err)
{
    return put_dc_section(args, "", err);
}

/// Prints the configuration offsets in use on one VM.
///
/// @return whether its agent answered
static bool
print_vm_state(const command_args_t *args, const vm_entry_t *vm)
{
    error_info_t err = {0};
    config_state_message_t state;
    config_status_message_t request = {.request = 1};
    client_endpoint_t endpoint = args->endpoint;
    endpoint.address = vm->address;
    if (!client_send_request(&endpoint, kMessageConfigStatus, &request,
                             kMessageConfigState, args->arena, &state, &err)) {
        printf("dc %u vm %u unreachable: %s\n", vm->dc, vm->vm, err.text);
        return false;
    }
    printf("dc %u vm %u agent %lu\n", vm->dc, vm->vm,
           (unsigned long)state.offset);
    for (uint32_t i = 0; i < state.processes_count; i++) {
        printf("dc %u vm %u %s %lu\n", vm->dc, vm->vm,
               role_desc.values[state.processes[i].role],
               (unsigned long)state.processes[i].offset);
    }
    return true;
}

static int
run_config_status(const command_args_t *args, error_info_t *err)
{
    config_get_message_t request = {.request = 1};
    members_update_message_t members;
    if (!client_send_request(&args->endpoint, kMessageConfigGet, &request,
                             kMessageMembersUpdate, args->arena, &members,
                             err)) {
        return fail(err);
    }
    bool is_complete = true;
    for (uint32_t i = 0; i < members.vms_count; i++) {
        if (members.vms[i].role == kVmRoleEntry) {
            is_complete &= print_vm_state(args, &members.vms[i]);
        }
    }
    return is_complete ? 0 : kExitFailure;
}

/// Prints the evacuated data centres, and which configuration is in use where.
static int
run_status(const command_args_t *args, error_info_t *err)
{
    config_update_message_t update;
    if (!fetch_config(args, &update, err)) {
        return fail(err);
    }
    for (uint32_t i = 0; i < update.sections_count; i++) {
        const section_entry_t *section = &update.sections[i];
        uint16_t dc = 0;
        if (section->text[0] != '\0' &&
            evacuated_dcs_read_section(section->name, &dc)) {
            printf("dc %u evacuated at offset %lu\n", dc,
                   (unsigned long)section->offset);
        }
    }
    return run_config_status(args, err);
}

const command_t command_table[] = {
    {.name = "dump", .usage = "dump", .run = run_dump},
    {.name = "counters", .usage = "counters", .run = run_counters},
    {.name = "stop", .usage = "stop", .run = run_stop},
    {.name = "status", .usage = "status", .run = run_status},
    {.name = "evacuate",
     .usage = "evacuate DC",
     .min_args = 1,
     .max_args = 1,
     .run = run_evacuate},
    {.name = "restore",
     .usage = "restore DC",
     .min_args = 1,
     .max_args = 1,
     .run = run_restore},
    {.name = "config get",
     .usage = "config get [SECTION]",
     .max_args = 1,
     .run = run_config_get},
    {.name = "config check",
     .usage = "config check FILE",
     .min_args = 1,
     .max_args = 1,
     .run = run_config_check},
    {.name = "config put",
     .usage = "config put SECTION FILE",
     .min_args = 2,
     .max_args = 2,
     .run = run_config_put},
    {.name = "config status",
     .usage = "config status",
     .run = run_config_status},
};

const uint32_t command_count = sizeof command_table / sizeof command_table[0];
