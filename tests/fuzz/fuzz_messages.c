/// Fuzzes the decoder of messages between the processes of jaytrestle. The
/// first byte selects the type of message.
#include <apr_general.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

#include "codec/pack.h"
#include "core/job_id.h"
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

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size_bytes)
{
    if (size_bytes < 2) {
        return 0;
    }
    uint32_t type = 1 + data[0] % (kMessageCount - 1);
    bytes_t body = {.data = data + 1, .size_bytes = (uint32_t)size_bytes - 1};
    const record_desc_t *desc = message_descs[type];
    error_info_t err = {0};
    job_id_t id;
    arena_t *arena = arena_create();
    void *record = apr_palloc(arena, desc->size_bytes);
    pack_peek_type(body);
    if (pack_read_message(body, desc, arena, record, &err)) {
        msgpack_sbuffer out;
        msgpack_sbuffer_init(&out);
        pack_write_message(&out, type, desc, record);
        msgpack_sbuffer_destroy(&out);
    }
    job_id_unpack(body, &id);
    arena_destroy(arena);
    return 0;
}
