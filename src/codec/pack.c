#include "codec/pack.h"

#include <string.h>

#include "codec/bounds.h"

static void write_fields(msgpack_packer *packer, const record_desc_t *desc,
                         const uint8_t *record);

static void
write_value(msgpack_packer *packer, const field_desc_t *field,
            const uint8_t *at)
{
    switch (field->type) {
    case kFieldU16:
        msgpack_pack_uint16(packer, *(const uint16_t *)at);
        break;
    case kFieldU32:
    case kFieldMilli:
    case kFieldEnum:
        msgpack_pack_uint32(packer, *(const uint32_t *)at);
        break;
    case kFieldU64:
        msgpack_pack_uint64(packer, *(const uint64_t *)at);
        break;
    case kFieldBool:
        if (*(const bool *)at) {
            msgpack_pack_true(packer);
        }
        else {
            msgpack_pack_false(packer);
        }
        break;
    case kFieldStr: {
        const char *text = *(const char *const *)at;
        text = text == NULL ? "" : text;
        msgpack_pack_str_with_body(packer, text, strlen(text));
        break;
    }
    case kFieldBytes: {
        const bytes_t *bytes = (const bytes_t *)at;
        const void *data =
            bytes->data == NULL ? (const void *)"" : bytes->data;
        msgpack_pack_bin_with_body(packer, data, bytes->size_bytes);
        break;
    }
    case kFieldRecord:
        msgpack_pack_array(packer, field->record->field_count);
        write_fields(packer, field->record, at);
        break;
    default:
        break;
    }
}

static void
write_fields(msgpack_packer *packer, const record_desc_t *desc,
             const uint8_t *record)
{
    for (uint32_t i = 0; i < desc->field_count; i++) {
        const field_desc_t *field = &desc->fields[i];
        const uint8_t *at = record + field->offset_bytes;
        if (!field->is_list) {
            write_value(packer, field, at);
            continue;
        }
        uint32_t count =
            *(const uint32_t *)(record + field->count_offset_bytes);
        const uint8_t *items = *(const uint8_t *const *)at;
        msgpack_pack_array(packer, count);
        for (uint32_t j = 0; j < count; j++) {
            write_value(packer, field, items + (size_t)j * field->item_bytes);
        }
    }
}

void
pack_write(msgpack_sbuffer *out, const record_desc_t *desc, const void *record)
{
    msgpack_packer packer;
    msgpack_packer_init(&packer, out, msgpack_sbuffer_write);
    msgpack_pack_array(&packer, desc->field_count);
    write_fields(&packer, desc, record);
}

void
pack_write_message(msgpack_sbuffer *out, uint32_t type,
                   const record_desc_t *desc, const void *record)
{
    msgpack_packer packer;
    msgpack_packer_init(&packer, out, msgpack_sbuffer_write);
    msgpack_pack_array(&packer, (size_t)desc->field_count + 1);
    msgpack_pack_uint32(&packer, type);
    write_fields(&packer, desc, record);
}

static bool
set_field_error(error_info_t *err, const field_desc_t *field,
                const char *problem)
{
    return error_set(err, kErrorKindProtocol, "field %s: %s", field->name,
                     problem);
}

static bool read_fields(const msgpack_object *objects, uint32_t count,
                        const record_desc_t *desc, arena_t *arena,
                        uint8_t *out, error_info_t *err);

/// Reads an unsigned number within the field's limits.
static bool
read_number(const msgpack_object *object, const field_desc_t *field,
            uint64_t *out, error_info_t *err)
{
    uint64_t max_number =
        field->type == kFieldEnum ? field->enumeration->count - 1 : field->max;
    if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
        return set_field_error(err, field, "not an unsigned number");
    }
    if (object->via.u64 < field->min || object->via.u64 > max_number) {
        return set_field_error(err, field, "number out of range");
    }
    *out = object->via.u64;
    return true;
}

/// Reads a string or a binary value.
static bool
read_bytes(const msgpack_object *object, const field_desc_t *field,
           arena_t *arena, bytes_t *out, error_info_t *err)
{
    bool is_string = field->type == kFieldStr;
    if (object->type !=
        (is_string ? MSGPACK_OBJECT_STR : MSGPACK_OBJECT_BIN)) {
        return set_field_error(
            err, field, "not a string or binary value of the right type");
    }
    uint32_t size_bytes =
        is_string ? object->via.str.size : object->via.bin.size;
    const char *data = is_string ? object->via.str.ptr : object->via.bin.ptr;
    if (size_bytes < field->min ||
        (field->max > 0 && size_bytes > field->max)) {
        return set_field_error(err, field, "length out of range");
    }
    if (is_string && size_bytes > 0 &&
        memchr(data, '\0', size_bytes) != NULL) {
        return set_field_error(err, field, "NUL in a string");
    }
    out->data = (const uint8_t *)arena_copy(arena, data, size_bytes);
    out->size_bytes = size_bytes;
    return true;
}

static bool
read_value(const msgpack_object *object, const field_desc_t *field,
           arena_t *arena, uint8_t *at, error_info_t *err)
{
    uint64_t number = 0;
    bytes_t text = {0};
    switch (field->type) {
    case kFieldU16:
        if (!read_number(object, field, &number, err)) {
            return false;
        }
        *(uint16_t *)at = (uint16_t)number;
        return true;
    case kFieldU32:
    case kFieldMilli:
    case kFieldEnum:
        if (!read_number(object, field, &number, err)) {
            return false;
        }
        *(uint32_t *)at = (uint32_t)number;
        return true;
    case kFieldU64:
        return read_number(object, field, (uint64_t *)at, err);
    case kFieldBool:
        if (object->type != MSGPACK_OBJECT_BOOLEAN) {
            return set_field_error(err, field, "not a boolean");
        }
        *(bool *)at = object->via.boolean;
        return true;
    case kFieldStr:
        if (!read_bytes(object, field, arena, &text, err)) {
            return false;
        }
        *(const char **)at = (const char *)text.data;
        return true;
    case kFieldBytes:
        return read_bytes(object, field, arena, (bytes_t *)at, err);
    case kFieldRecord:
        if (object->type != MSGPACK_OBJECT_ARRAY) {
            return set_field_error(err, field, "not a record");
        }
        return read_fields(object->via.array.ptr, object->via.array.size,
                           field->record, arena, at, err);
    default:
        return set_field_error(err, field, "unknown type");
    }
}

static bool
read_list(const msgpack_object *object, const field_desc_t *field,
          arena_t *arena, uint8_t *record, error_info_t *err)
{
    if (object->type != MSGPACK_OBJECT_ARRAY) {
        return set_field_error(err, field, "not a list");
    }
    uint32_t count = object->via.array.size;
    if (count < field->min || (field->max > 0 && count > field->max)) {
        return set_field_error(err, field, "count out of range");
    }
    uint32_t item_bytes = field->item_bytes;
    uint8_t *items = apr_palloc(arena, (size_t)count * item_bytes + 1);
    for (uint32_t i = 0; i < count; i++) {
        if (!read_value(&object->via.array.ptr[i], field, arena,
                        items + (size_t)i * item_bytes, err)) {
            return false;
        }
    }
    *(uint8_t **)(record + field->offset_bytes) = items;
    *(uint32_t *)(record + field->count_offset_bytes) = count;
    return true;
}

static bool
read_fields(const msgpack_object *objects, uint32_t count,
            const record_desc_t *desc, arena_t *arena, uint8_t *out,
            error_info_t *err)
{
    record_set_defaults(desc, out);
    for (uint32_t i = 0; i < desc->field_count; i++) {
        const field_desc_t *field = &desc->fields[i];
        if (i >= count) {
            if (field->required) {
                return set_field_error(err, field, "missing");
            }
            continue;
        }
        bool is_read = field->is_list
                           ? read_list(&objects[i], field, arena, out, err)
                           : read_value(&objects[i], field, arena,
                                        out + field->offset_bytes, err);
        if (!is_read) {
            return false;
        }
    }
    return true;
}

/// Decodes a record from an array, after the first `skip` objects.
static bool
read_array(bytes_t data, uint32_t skip, const record_desc_t *desc,
           arena_t *arena, void *out, error_info_t *err)
{
    if (!bounds_check(data)) {
        return error_set(err, kErrorKindProtocol,
                         "%s: incomplete or malformed msgpack", desc->name);
    }
    msgpack_unpacked unpacked;
    msgpack_unpacked_init(&unpacked);
    size_t offset_bytes = 0;
    msgpack_unpack_return status = msgpack_unpack_next(
        &unpacked, (const char *)data.data, data.size_bytes, &offset_bytes);
    bool is_read = false;
    if (status != MSGPACK_UNPACK_SUCCESS ||
        unpacked.data.type != MSGPACK_OBJECT_ARRAY ||
        unpacked.data.via.array.size < skip) {
        error_set(err, kErrorKindProtocol, "%s: not a msgpack record",
                  desc->name);
    }
    else {
        is_read = read_fields(unpacked.data.via.array.ptr + skip,
                              unpacked.data.via.array.size - skip, desc, arena,
                              out, err);
    }
    msgpack_unpacked_destroy(&unpacked);
    return is_read;
}

bool
pack_read(bytes_t data, const record_desc_t *desc, arena_t *arena, void *out,
          error_info_t *err)
{
    return read_array(data, 0, desc, arena, out, err);
}

bool
pack_read_message(bytes_t data, const record_desc_t *desc, arena_t *arena,
                  void *out, error_info_t *err)
{
    return read_array(data, 1, desc, arena, out, err);
}

uint32_t
pack_peek_type(bytes_t data)
{
    // An array header of 1 or 3 bytes, then the type, which is below 128.
    if (data.size_bytes < 2) {
        return 0;
    }
    uint8_t header = data.data[0];
    uint32_t at = 1;
    if (header == 0xDC) {
        at = 3;
    }
    else if ((header & 0xF0) != 0x90) {
        return 0;
    }
    if (at >= data.size_bytes || data.data[at] > 0x7F) {
        return 0;
    }
    return data.data[at];
}
