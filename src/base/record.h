/// Descriptors of records: the tables that schema/ generates and that the
/// codecs walk. A record is a C struct; a descriptor says where its fields
/// lie and what values they may have.
#ifndef JT_BASE_RECORD_H
#define JT_BASE_RECORD_H

#include <stdbool.h>
#include <stdint.h>

/// A run of bytes that somebody else owns, usually an arena.
typedef struct {
    const uint8_t *data;
    uint32_t size_bytes;
} bytes_t;

typedef enum {
    kFieldU16,
    kFieldU32,
    kFieldU64,
    kFieldMilli, ///< u32 in 1/1000; JSON: a number, with fractions
    kFieldBool,
    kFieldStr,
    kFieldBytes,
    kFieldEnum,
    kFieldRecord,
    kFieldTypeCount
} field_type_t;

/// Names of an enumeration's values, from 0 on.
typedef struct {
    const char *name;
    const char *const *values;
    uint32_t count;
} enum_desc_t;

typedef struct record_desc record_desc_t;

/// One field of a record.
typedef struct {
    const char *name;
    field_type_t type;
    bool required;
    bool is_list;
    uint32_t offset_bytes;       ///< of the value, or of a list's pointer
    uint32_t count_offset_bytes; ///< of a list's count
    uint32_t item_bytes;         ///< size of a list's item
    uint64_t min;                ///< least number, length or count
    uint64_t max;                ///< largest number, length or count
    uint64_t def;                ///< number that an absent field gets
    const record_desc_t *record;
    const enum_desc_t *enumeration;
} field_desc_t;

/// A record.
struct record_desc {
    const char *name;
    const field_desc_t *fields;
    uint32_t field_count;
    uint32_t size_bytes;
    bool is_open; ///< JSON: other keys, and null values, are passed over
    bool is_row;  ///< JSON: an array of the fields in order
};

/// Sets a record to its defaults, nested records too.
///
/// @param desc  descriptor of the record
/// @param out   record of desc->size_bytes bytes
void record_set_defaults(const record_desc_t *desc, void *out);

#endif
