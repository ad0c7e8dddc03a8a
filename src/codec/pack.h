/// Records to and from msgpack, by their descriptors. A record is an array
/// of its fields in order. A reader gives absent fields their defaults and
/// passes over further ones.
#ifndef JT_CODEC_PACK_H
#define JT_CODEC_PACK_H

#include <msgpack.h>

#include "base/arena.h"
#include "base/error.h"
#include "base/record.h"

/// Appends a record to a msgpack buffer.
void pack_write(msgpack_sbuffer *out, const record_desc_t *desc,
                const void *record);

/// Reads one record.
///
/// @param data   msgpack bytes; strings and byte runs are copied
/// @param arena  owner of what the record points to
/// @param out    record of desc->size_bytes bytes
/// @param err    set to kErrorKindProtocol with the path of the field
/// @return whether the record is whole and valid
bool pack_read(bytes_t data, const record_desc_t *desc, arena_t *arena,
               void *out, error_info_t *err);

/// Appends a message: its type, then its fields.
void pack_write_message(msgpack_sbuffer *out, uint32_t type,
                        const record_desc_t *desc, const void *record);

/// Reads the fields of a message whose type the caller knows.
bool pack_read_message(bytes_t data, const record_desc_t *desc, arena_t *arena,
                       void *out, error_info_t *err);

/// @return the type of a message, or 0 where the bytes are none
uint32_t pack_peek_type(bytes_t data);

#endif
