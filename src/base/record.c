#include "base/record.h"

#include <string.h>

/// Sets one field to its default.
static void
set_field_default(const field_desc_t *field, uint8_t *at)
{
    switch (field->type) {
    case kFieldU16:
        *(uint16_t *)at = (uint16_t)field->def;
        break;
    case kFieldU32:
    case kFieldMilli:
    case kFieldEnum:
        *(uint32_t *)at = (uint32_t)field->def;
        break;
    case kFieldU64:
        *(uint64_t *)at = field->def;
        break;
    case kFieldBool:
        *(bool *)at = field->def != 0;
        break;
    case kFieldStr:
        *(const char **)at = "";
        break;
    case kFieldRecord:
        record_set_defaults(field->record, at);
        break;
    default:
        break;
    }
}

void
record_set_defaults(const record_desc_t *desc, void *out)
{
    memset(out, 0, desc->size_bytes);
    for (uint32_t i = 0; i < desc->field_count; i++) {
        const field_desc_t *field = &desc->fields[i];
        if (!field->is_list) {
            set_field_default(field, (uint8_t *)out + field->offset_bytes);
        }
    }
}
