#include "config/config_document.h"

#include <apr_hash.h>
#include <stdlib.h>
#include <string.h>

struct document {
    section_check_t check;
    arena_t *arena;       ///< of the hash and the names
    apr_hash_t *sections; ///< name to section_entry_t
    uint64_t next;
};

config_document_t *
config_document_create(section_check_t check)
{
    config_document_t *document = calloc(1, sizeof *document);
    document->check = check;
    document->arena = arena_create();
    document->sections = apr_hash_make(document->arena);
    document->next = 1;
    return document;
}

/// Drops all sections. Names live in the arena, texts on the heap, because
/// only texts change often.
static void
clear_sections(config_document_t *document)
{
    for (apr_hash_index_t *at = apr_hash_first(NULL, document->sections);
         at != NULL; at = apr_hash_next(at)) {
        void *section = NULL;
        apr_hash_this(at, NULL, NULL, &section);
        free((char *)((section_entry_t *)section)->text);
    }
    apr_pool_clear(document->arena);
    document->sections = apr_hash_make(document->arena);
}

void
config_document_destroy(config_document_t *document)
{
    clear_sections(document);
    arena_destroy(document->arena);
    free(document);
}

uint64_t
config_document_next_offset(const config_document_t *document)
{
    return document->next;
}

uint64_t
config_document_offset(const config_document_t *document)
{
    return document->next - 1;
}

const section_entry_t *
config_document_find_section(const config_document_t *document,
                             const char *name)
{
    return apr_hash_get(document->sections, name, APR_HASH_KEY_STRING);
}

/// @return the section, made where there is none
static section_entry_t *
open_section(config_document_t *document, const char *name)
{
    section_entry_t *section =
        apr_hash_get(document->sections, name, APR_HASH_KEY_STRING);
    if (section == NULL) {
        section = apr_pcalloc(document->arena, sizeof *section);
        section->name = arena_copy(document->arena, name, strlen(name));
        apr_hash_set(document->sections, section->name, APR_HASH_KEY_STRING,
                     section);
    }
    return section;
}

/// Gives a section a new text.
static void
set_section(config_document_t *document, const char *name, uint64_t offset,
            const char *text)
{
    section_entry_t *section = open_section(document, name);
    char *copy = strdup(text);
    free((char *)section->text);
    section->text = copy;
    section->offset = offset;
}

static record_result_t
judge_edit(config_document_t *document, uint64_t offset,
           const log_record_t *record, error_info_t *err)
{
    const section_entry_t *section =
        config_document_find_section(document, record->section);
    uint64_t current = section == NULL ? 0 : section->offset;
    if (record->base != current) {
        return kRecordStaleBase;
    }
    if (record->text[0] != '\0' &&
        !document->check(record->section, record->text, err)) {
        return kRecordInvalid;
    }
    set_section(document, record->section, offset, record->text);
    return kRecordAccepted;
}

record_result_t
config_document_apply(config_document_t *document, uint64_t offset,
                      const log_record_t *record, error_info_t *err)
{
    if (offset < document->next) {
        return kRecordAlreadyApplied;
    }
    if (offset > document->next) {
        return kRecordGap;
    }
    document->next++;
    if (record->section[0] == '\0') {
        return kRecordSnapshot;
    }
    return judge_edit(document, offset, record, err);
}

bool
config_document_replace(config_document_t *document, uint64_t offset,
                        const section_entry_t *sections, uint32_t count)
{
    if (offset < document->next) {
        return false;
    }
    clear_sections(document);
    for (uint32_t i = 0; i < count; i++) {
        set_section(document, sections[i].name, sections[i].offset,
                    sections[i].text);
    }
    document->next = offset + 1;
    return true;
}

section_entry_t *
config_document_list_sections(const config_document_t *document,
                              uint64_t after, arena_t *arena, uint32_t *count)
{
    section_entry_t *list =
        apr_palloc(arena, (apr_hash_count(document->sections) + 1) *
                              sizeof(section_entry_t));
    *count = 0;
    for (apr_hash_index_t *at = apr_hash_first(arena, document->sections);
         at != NULL; at = apr_hash_next(at)) {
        void *section = NULL;
        apr_hash_this(at, NULL, NULL, &section);
        if (((section_entry_t *)section)->offset > after) {
            list[(*count)++] = *(section_entry_t *)section;
        }
    }
    return list;
}
