/// Encodes and decodes records as msgpack, driven by their descriptors. A
/// record is an array of its fields in order. A reader sets absent fields to
/// their defaults and ignores additional ones.
#ifndef JT_CODEC_PACK_H
#define JT_CODEC_PACK_H

#include <msgpack.h>

#include "base/arena.h"
#include "base/error.h"
#include "base/record.h"

/// Appends a record to a msgpack buffer.
void pack_write(msgpack_sbuffer *out, const record_desc_t *desc,
                const void *record);

/// Decodes one record.
///
/// @param data   msgpack data; strings and binary values are copied
/// @param arena  owns what the record points to
/// @param out    record of desc->size_bytes bytes
/// @param err    set to kErrorKindProtocol with the name of the field
/// @return whether the record is complete and valid
bool pack_read(bytes_t data, const record_desc_t *desc, arena_t *arena,
               void *out, error_info_t *err);

/// Appends a message to a msgpack buffer: its type, then its fields.
void pack_write_message(msgpack_sbuffer *out, uint32_t type,
                        const record_desc_t *desc, const void *record);

/// Decodes the fields of a message whose type is known, as pack_read does.
bool pack_read_message(bytes_t data, const record_desc_t *desc, arena_t *arena,
                       void *out, error_info_t *err);

/// @return the type of an encoded message, or 0 if the data is not a message
uint32_t pack_peek_type(bytes_t data);

#endif
