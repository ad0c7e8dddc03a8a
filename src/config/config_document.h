/// The configuration document and the rule that applies the records of its
/// log. The rule is deterministic and every reader applies the records in
/// offset order, so that of concurrent edits the same one is accepted
/// everywhere.
#ifndef JT_CONFIG_CONFIG_DOCUMENT_H
#define JT_CONFIG_CONFIG_DOCUMENT_H

#include "base/arena.h"
#include "base/error.h"
#include "generated/messages.h"

typedef struct config_document config_document_t;

/// What applying a record did.
typedef enum {
    kRecordAccepted,  ///< the section now has the record's text
    kRecordStaleBase, ///< rejected: the section changed since the base
    kRecordInvalid,   ///< rejected: the text is not valid
    kRecordSnapshot,  ///< a snapshot; the document already has its content
    kRecordAlreadyApplied, ///< the record was applied before
    kRecordGap             ///< records before this one are missing
} record_result_t;

/// Checks the text of a section. Must be a pure function, with the same result
/// in every process.
typedef bool (*section_check_t)(const char *section, const char *text,
                                error_info_t *err);

config_document_t *config_document_create(section_check_t check);

void config_document_destroy(config_document_t *document);

/// @return the offset of the next record to apply; 1 at the start
uint64_t config_document_next_offset(const config_document_t *document);

/// @return the offset of the last record applied; 0 at the start
uint64_t config_document_offset(const config_document_t *document);

/// Applies one record, if it is the next one.
///
/// @param err  set to the reason if the result is kRecordInvalid
record_result_t config_document_apply(config_document_t *document,
                                      uint64_t offset,
                                      const log_record_t *record,
                                      error_info_t *err);

/// Replaces the whole document by one from a snapshot or a peer, if that is
/// newer.
///
/// @return whether the document was replaced
bool config_document_replace(config_document_t *document, uint64_t offset,
                             const section_entry_t *sections, uint32_t count);

/// Lists the sections, including the removed ones, whose text is empty.
///
/// @param after   only sections changed after this offset; 0 for all
/// @param count   set to the number of sections
/// @return an array in the arena; the texts belong to the document
section_entry_t *
config_document_list_sections(const config_document_t *document,
                              uint64_t after, arena_t *arena, uint32_t *count);

/// @return the section, or NULL
const section_entry_t *
config_document_find_section(const config_document_t *document,
                             const char *name);

#endif
