#include "codec/json.h"

#include <apr_strings.h>
#include <json-c/json.h>
#include <math.h>
#include <string.h>

enum { kMaxDepth = 32, kPathBytes = 128, kExpectedBytes = 160 };

/// 2^53, up to which a double represents every integer exactly.
#define MAX_EXACT_INTEGER 9007199254740992.0

/// An element of the path to a value of the document: a key, or an index into
/// a list.
typedef struct path_element {
    const struct path_element *parent; ///< NULL at the top level
    const char *key;                   ///< NULL for an item of a list
    uint32_t item;
} path_element_t;

/// State of a read.
typedef struct {
    arena_t *arena;
    error_kind_t kind;
    error_info_t *err;
    /// Path of the value that is being read; NULL for the document itself.
    const path_element_t *path;
} reader_t;

static bool read_record(reader_t *reader, json_object *object,
                        const record_desc_t *desc, uint8_t *out);

/// Formats a path, truncated to kPathBytes.
static void
format_path(const path_element_t *path, char text[kPathBytes])
{
    if (path == NULL) {
        return;
    }
    format_path(path->parent, text);
    size_t length = strlen(text);
    if (path->key == NULL) {
        apr_snprintf(text + length, kPathBytes - length, "[%u]", path->item);
    }
    else {
        apr_snprintf(text + length, kPathBytes - length, "%s%s",
                     length > 0 ? "." : "", path->key);
    }
}

/// Sets an error that says what was found and what was expected.
static bool
reject_value(reader_t *reader, json_object *found, const char *expected)
{
    char path_text[kPathBytes] = "";
    const char *found_text =
        found == NULL
            ? "null"
            : json_object_to_json_string_ext(found, JSON_C_TO_STRING_PLAIN);
    format_path(reader->path, path_text);
    return error_set(
        reader->err, reader->kind, "%s: found %.40s, allowed is %s",
        path_text[0] == '\0' ? "document" : path_text, found_text, expected);
}

/// Rejects a value that is outside the limits of its field.
///
/// @param format  printf format of field->min and field->max
static bool
reject_range(reader_t *reader, json_object *found, const field_desc_t *field,
             const char *format)
{
    char expected[kExpectedBytes];
    apr_snprintf(expected, sizeof expected, format, field->min, field->max);
    return reject_value(reader, found, expected);
}

/// Reads a non-negative integer, which JSON may write as 5 or 5.0.
static bool
read_unsigned(json_object *object, uint64_t *out)
{
    if (json_object_is_type(object, json_type_int)) {
        *out = json_object_get_uint64(object);
        return json_object_get_int64(object) >= 0;
    }
    double number = json_object_is_type(object, json_type_double)
                        ? json_object_get_double(object)
                        : -1;
    if (!(number >= 0 && number <= MAX_EXACT_INTEGER) ||
        floor(number) != number) {
        return false;
    }
    *out = (uint64_t)number;
    return true;
}

static bool
read_number(reader_t *reader, json_object *object, const field_desc_t *field,
            uint64_t *out)
{
    uint64_t number = 0;
    if (!read_unsigned(object, &number) || number < field->min ||
        number > field->max) {
        return reject_range(reader, object, field,
                            "a whole number from %" APR_UINT64_T_FMT
                            " to %" APR_UINT64_T_FMT);
    }
    *out = number;
    return true;
}

/// Reads a decimal number, rounded to thousandths.
static bool
read_milli(reader_t *reader, json_object *object, const field_desc_t *field,
           uint32_t *out)
{
    bool is_number = json_object_is_type(object, json_type_int) ||
                     json_object_is_type(object, json_type_double);
    double milli = is_number ? json_object_get_double(object) * 1000 + 0.5 : 0;
    if (!is_number ||
        !(milli >= (double)field->min && milli <= (double)field->max)) {
        return reject_range(reader, object, field,
                            "a number from %" APR_UINT64_T_FMT
                            " to %" APR_UINT64_T_FMT " thousandths");
    }
    *out = (uint32_t)milli;
    return true;
}

static bool
read_enum(reader_t *reader, json_object *object, const field_desc_t *field,
          uint32_t *out)
{
    const enum_desc_t *desc = field->enumeration;
    bool is_string = json_object_is_type(object, json_type_string);
    for (uint32_t i = 0; is_string && i < desc->count; i++) {
        if (strcmp(json_object_get_string(object), desc->values[i]) == 0) {
            *out = i;
            return true;
        }
    }
    char expected[kExpectedBytes] = "one of";
    for (uint32_t i = 0; i < desc->count; i++) {
        size_t length = strlen(expected);
        apr_snprintf(expected + length, sizeof expected - length, " %s",
                     desc->values[i]);
    }
    return reject_value(reader, object, expected);
}

static bool
read_bytes(reader_t *reader, json_object *object, const field_desc_t *field,
           bytes_t *out)
{
    static const char expected[] =
        "a string of %" APR_UINT64_T_FMT " to %" APR_UINT64_T_FMT " bytes";
    if (!json_object_is_type(object, json_type_string)) {
        return reject_range(reader, object, field, expected);
    }
    uint32_t size_bytes = (uint32_t)json_object_get_string_len(object);
    const char *data = json_object_get_string(object);
    bool has_nul = memchr(data, '\0', size_bytes) != NULL;
    if (size_bytes < field->min ||
        (field->max > 0 && size_bytes > field->max) ||
        (has_nul && field->type == kFieldStr)) {
        return reject_range(reader, object, field, expected);
    }
    out->data = (const uint8_t *)arena_copy(reader->arena, data, size_bytes);
    out->size_bytes = size_bytes;
    return true;
}

static bool
read_value(reader_t *reader, json_object *object, const field_desc_t *field,
           uint8_t *at)
{
    uint64_t number = 0;
    bytes_t text = {0};
    switch (field->type) {
    case kFieldU16:
        if (!read_number(reader, object, field, &number)) {
            return false;
        }
        *(uint16_t *)at = (uint16_t)number;
        return true;
    case kFieldU32:
        if (!read_number(reader, object, field, &number)) {
            return false;
        }
        *(uint32_t *)at = (uint32_t)number;
        return true;
    case kFieldU64:
        return read_number(reader, object, field, (uint64_t *)at);
    case kFieldMilli:
        return read_milli(reader, object, field, (uint32_t *)at);
    case kFieldBool:
        if (!json_object_is_type(object, json_type_boolean)) {
            return reject_value(reader, object, "true or false");
        }
        *(bool *)at = json_object_get_boolean(object);
        return true;
    case kFieldStr:
        if (!read_bytes(reader, object, field, &text)) {
            return false;
        }
        *(const char **)at = (const char *)text.data;
        return true;
    case kFieldBytes:
        return read_bytes(reader, object, field, (bytes_t *)at);
    case kFieldEnum:
        return read_enum(reader, object, field, (uint32_t *)at);
    case kFieldRecord:
        return read_record(reader, object, field->record, at);
    default:
        return reject_value(reader, object, "nothing");
    }
}

/// Reads one item of an array.
static bool
read_item(reader_t *reader, json_object *array, uint32_t item,
          const field_desc_t *field, uint8_t *at)
{
    const path_element_t path = {.parent = reader->path, .item = item};
    reader->path = &path;
    bool is_read =
        read_value(reader, json_object_array_get_idx(array, item), field, at);
    reader->path = path.parent;
    return is_read;
}

static bool
read_list(reader_t *reader, json_object *object, const field_desc_t *field,
          uint8_t *record)
{
    static const char expected[] =
        "a list of %" APR_UINT64_T_FMT " to %" APR_UINT64_T_FMT " items";
    if (!json_object_is_type(object, json_type_array)) {
        return reject_range(reader, object, field, expected);
    }
    uint32_t count = (uint32_t)json_object_array_length(object);
    if (count < field->min || (field->max > 0 && count > field->max)) {
        return reject_range(reader, object, field, expected);
    }
    uint32_t item_bytes = field->item_bytes;
    uint8_t *items = apr_palloc(reader->arena, (size_t)count * item_bytes + 1);
    for (uint32_t i = 0; i < count; i++) {
        if (!read_item(reader, object, i, field,
                       items + (size_t)i * item_bytes)) {
            return false;
        }
    }
    *(uint8_t **)(record + field->offset_bytes) = items;
    *(uint32_t *)(record + field->count_offset_bytes) = count;
    return true;
}

static const field_desc_t *
find_field(const record_desc_t *desc, const char *name)
{
    for (uint32_t i = 0; i < desc->field_count; i++) {
        if (strcmp(desc->fields[i].name, name) == 0) {
            return &desc->fields[i];
        }
    }
    return NULL;
}

/// Rejects a key that the record does not have.
static bool
check_keys(reader_t *reader, json_object *object, const record_desc_t *desc)
{
    json_object_object_foreach(object, key, value)
    {
        (void)value;
        if (find_field(desc, key) == NULL) {
            const path_element_t path = {.parent = reader->path, .key = key};
            char path_text[kPathBytes] = "";
            format_path(&path, path_text);
            return error_set(reader->err, reader->kind,
                             "%s: unknown key, allowed are the keys of %s",
                             path_text, desc->name);
        }
    }
    return true;
}

/// Rejects a record without a required value.
static bool
reject_missing(reader_t *reader)
{
    char path_text[kPathBytes] = "";
    format_path(reader->path, path_text);
    return error_set(reader->err, reader->kind,
                     "%s: found nothing, a value is required", path_text);
}

static bool
read_field(reader_t *reader, json_object *object, const field_desc_t *field,
           bool is_open, uint8_t *out)
{
    json_object *value = NULL;
    const path_element_t path = {.parent = reader->path, .key = field->name};
    bool is_present = json_object_object_get_ex(object, field->name, &value) &&
                      (value != NULL || !is_open);
    bool is_read = true;
    reader->path = &path;
    if (!is_present) {
        is_read = !field->required || reject_missing(reader);
    }
    else if (field->is_list) {
        is_read = read_list(reader, value, field, out);
    }
    else {
        is_read = read_value(reader, value, field, out + field->offset_bytes);
    }
    reader->path = path.parent;
    return is_read;
}

/// Reads an array of the fields in order; additional items are ignored.
static bool
read_row(reader_t *reader, json_object *object, const record_desc_t *desc,
         uint8_t *out)
{
    if (!json_object_is_type(object, json_type_array)) {
        return reject_value(reader, object, "an array");
    }
    size_t count = json_object_array_length(object);
    for (uint32_t i = 0; i < desc->field_count; i++) {
        const field_desc_t *field = &desc->fields[i];
        if (i >= count) {
            if (field->required) {
                return reject_value(reader, object, "a longer array");
            }
            continue;
        }
        if (!read_item(reader, object, i, field, out + field->offset_bytes)) {
            return false;
        }
    }
    return true;
}

static bool
read_record(reader_t *reader, json_object *object, const record_desc_t *desc,
            uint8_t *out)
{
    record_set_defaults(desc, out);
    if (desc->is_row) {
        return read_row(reader, object, desc, out);
    }
    if (!json_object_is_type(object, json_type_object)) {
        return reject_value(reader, object, "an object");
    }
    if (!desc->is_open && !check_keys(reader, object, desc)) {
        return false;
    }
    for (uint32_t i = 0; i < desc->field_count; i++) {
        if (!read_field(reader, object, &desc->fields[i], desc->is_open,
                        out)) {
            return false;
        }
    }
    return true;
}

bool
json_read(bytes_t text, const record_desc_t *desc, error_kind_t kind,
          arena_t *arena, void *out, error_info_t *err)
{
    json_tokener *tokener = json_tokener_new_ex(kMaxDepth);
    json_tokener_set_flags(tokener, JSON_TOKENER_VALIDATE_UTF8);
    json_object *object = json_tokener_parse_ex(
        tokener, (const char *)text.data, (int)text.size_bytes);
    enum json_tokener_error status = json_tokener_get_error(tokener);
    bool is_read = false;
    if (status != json_tokener_success) {
        error_set(err, kind, "byte %zu: %s",
                  json_tokener_get_parse_end(tokener),
                  json_tokener_error_desc(status));
    }
    else {
        reader_t reader = {.arena = arena, .kind = kind, .err = err};
        is_read = read_record(&reader, object, desc, out);
    }
    json_object_put(object);
    json_tokener_free(tokener);
    return is_read;
}

static json_object *build_record(const record_desc_t *desc,
                                 const uint8_t *record);

static json_object *
build_value(const field_desc_t *field, const uint8_t *at)
{
    switch (field->type) {
    case kFieldU16:
        return json_object_new_uint64(*(const uint16_t *)at);
    case kFieldU32:
        return json_object_new_uint64(*(const uint32_t *)at);
    case kFieldU64:
        return json_object_new_uint64(*(const uint64_t *)at);
    case kFieldMilli:
        return json_object_new_double(*(const uint32_t *)at / 1000.0);
    case kFieldBool:
        return json_object_new_boolean(*(const bool *)at);
    case kFieldStr: {
        const char *text = *(const char *const *)at;
        return json_object_new_string(text == NULL ? "" : text);
    }
    case kFieldBytes: {
        const bytes_t *bytes = (const bytes_t *)at;
        return json_object_new_string_len((const char *)bytes->data,
                                          (int)bytes->size_bytes);
    }
    case kFieldEnum: {
        uint32_t value = *(const uint32_t *)at;
        return json_object_new_string(value < field->enumeration->count
                                          ? field->enumeration->values[value]
                                          : "unknown");
    }
    case kFieldRecord:
        return build_record(field->record, at);
    default:
        return NULL;
    }
}

static json_object *
build_record(const record_desc_t *desc, const uint8_t *record)
{
    json_object *object = json_object_new_object();
    for (uint32_t i = 0; i < desc->field_count; i++) {
        const field_desc_t *field = &desc->fields[i];
        const uint8_t *at = record + field->offset_bytes;
        json_object *value = NULL;
        if (field->is_list) {
            uint32_t count =
                *(const uint32_t *)(record + field->count_offset_bytes);
            const uint8_t *items = *(const uint8_t *const *)at;
            value = json_object_new_array_ext((int)count + 1);
            for (uint32_t j = 0; j < count; j++) {
                json_object_array_add(
                    value,
                    build_value(field, items + (size_t)j * field->item_bytes));
            }
        }
        else {
            value = build_value(field, at);
        }
        json_object_object_add_ex(object, field->name, value,
                                  JSON_C_OBJECT_ADD_KEY_IS_NEW |
                                      JSON_C_OBJECT_ADD_CONSTANT_KEY);
    }
    return object;
}

const char *
json_write(const record_desc_t *desc, const void *record, arena_t *arena)
{
    json_object *object = build_record(desc, record);
    size_t length_bytes = 0;
    const char *text = json_object_to_json_string_length(
        object, JSON_C_TO_STRING_PLAIN, &length_bytes);
    const char *copy = arena_copy(arena, text, length_bytes);
    json_object_put(object);
    return copy;
}
