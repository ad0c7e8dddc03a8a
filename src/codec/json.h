/// Reads and writes records as JSON, driven by their descriptors. Comments are
/// allowed.
#ifndef JT_CODEC_JSON_H
#define JT_CODEC_JSON_H

#include "base/arena.h"
#include "base/error.h"
#include "base/record.h"

/// Reads one record from JSON text. An unknown key, a wrong type, a value out
/// of range and a missing value are errors; their text names the path, what
/// was found and what was expected.
///
/// @param text   UTF-8 JSON
/// @param kind   kind of the error that is set if the text is invalid
/// @param arena  owns what the record points to
/// @param out    record of desc->size_bytes bytes
/// @return whether the record is valid
bool json_read(bytes_t text, const record_desc_t *desc, error_kind_t kind,
               arena_t *arena, void *out, error_info_t *err);

/// Writes a record as JSON.
///
/// @return NUL-terminated text, owned by the arena
const char *json_write(const record_desc_t *desc, const void *record,
                       arena_t *arena);

#endif
