/// Descriptors of records: tables that are generated from schema/ and drive
/// the codecs. A record is a C struct; its descriptor gives the offset, type
/// and permitted values of each field.
#ifndef JT_BASE_RECORD_H
#define JT_BASE_RECORD_H

#include <stdbool.h>
#include <stdint.h>

/// Bytes that are owned elsewhere, usually by an arena.
typedef struct {
    const uint8_t *data;
    uint32_t size_bytes;
} bytes_t;

typedef enum {
    kFieldU16,
    kFieldU32,
    kFieldU64,
    kFieldMilli, ///< u32 in thousandths; JSON: a decimal number
    kFieldBool,
    kFieldStr,
    kFieldBytes,
    kFieldEnum,
    kFieldRecord,
    kFieldTypeCount
} field_type_t;

/// Names of an enumeration's values, indexed by value from 0.
typedef struct {
    const char *name;
    const char *const *values;
    uint32_t count;
} enum_desc_t;

typedef struct record_desc record_desc_t;

/// The descriptor of a field.
typedef struct {
    const char *name;
    field_type_t type;
    bool required;
    bool is_list;
    uint32_t offset_bytes; ///< offset of the value, or of a list's pointer
    uint32_t count_offset_bytes; ///< offset of a list's item count
    uint32_t item_bytes;         ///< size of one item of a list
    uint64_t min;                ///< smallest number, length or count
    uint64_t max;                ///< largest number, length or count
    uint64_t def;                ///< value of an absent field, as a number
    const record_desc_t *record;
    const enum_desc_t *enumeration;
} field_desc_t;

/// The descriptor of a record.
struct record_desc {
    const char *name;
    const field_desc_t *fields;
    uint32_t field_count;
    uint32_t size_bytes;
    bool is_open; ///< JSON: unknown keys and null values are ignored
    bool is_row;  ///< JSON: encoded as an array of the fields in order
};

/// Sets a record and its nested records to their defaults.
///
/// @param desc  descriptor of the record
/// @param out   record of desc->size_bytes bytes
void record_set_defaults(const record_desc_t *desc, void *out);

#endif
