/// Fuzzes what jt-front decodes of a request: the id in its path, up to the
/// first line break, and the job in its body.
#include <apr_general.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "codec/json.h"
#include "codec/json_bounds.h"
#include "codec/pack.h"
#include "core/job_id.h"
#include "generated/documents.h"
#include "generated/messages.h"

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

/// Passes a job on as the front does to a dispatcher.
static void
pass_on(const job_document_t *job)
{
    submit_message_t message = {.job = *job};
    msgpack_sbuffer out;
    msgpack_sbuffer_init(&out);
    pack_write_message(&out, kMessageSubmit, &submit_message_desc, &message);
    msgpack_sbuffer_destroy(&out);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size_bytes)
{
    const uint8_t *end =
        size_bytes == 0 ? NULL : memchr(data, '\n', size_bytes);
    if (end == NULL) {
        return 0;
    }
    job_id_t id = {0};
    job_document_t job = {0};
    error_info_t err = {0};
    arena_t *arena = arena_create();
    job_id_parse(arena_copy(arena, data, (uint64_t)(end - data)), &id);
    bytes_t body = {.data = end + 1,
                    .size_bytes = (uint32_t)(data + size_bytes - end - 1)};
    json_bounds_count_values(body);
    if (json_read(body, &job_document_desc, kErrorKindBadRequest, arena, &job,
                  &err)) {
        pass_on(&job);
    }
    arena_destroy(arena);
    return 0;
}
