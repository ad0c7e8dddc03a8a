/// Fuzzes the JSON reader, which gets input from callers, operators and the
/// platform. The first byte selects the type of document.
#include <apr_general.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

#include "codec/json.h"
#include "generated/documents.h"
#include "generated/messages.h"
#include "generated/settings.h"

int LLVMFuzzerInitialize(int *argc, char ***argv);
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size_bytes);

int
LLVMFuzzerInitialize(int *argc, char ***argv)
{
    (void)argc;
    (void)argv;
    apr_initialize();
    atexit(arena_release_spares);
    return 0;
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size_bytes)
{
    static const record_desc_t *const descs[] = {
        &job_document_desc,      &section_document_desc, &front_settings_desc,
        &dispatch_settings_desc, &agent_settings_desc,   &log_page_desc,
        &vm_list_desc,           &ids_document_desc};
    if (size_bytes < 2) {
        return 0;
    }
    const record_desc_t *desc = descs[data[0] % 8];
    bytes_t text = {.data = data + 1, .size_bytes = (uint32_t)size_bytes - 1};
    error_info_t err = {0};
    arena_t *arena = arena_create();
    void *record = apr_palloc(arena, desc->size_bytes);
    if (json_read(text, desc, kErrorKindBadRequest, arena, record, &err)) {
        json_write(desc, record, arena);
    }
    arena_destroy(arena);
    return 0;
}
