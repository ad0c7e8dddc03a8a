/// The configuration document and the rule that judges each record of its
/// stream. Every reader applies the same pure rule in offset order, so that
/// racing edits have one winner everywhere.
#ifndef JT_CONFIG_DOCUMENT_H
#define JT_CONFIG_DOCUMENT_H

#include "base/arena.h"
#include "base/error.h"
#include "generated/messages.h"

typedef struct document config_document_t;

/// What the rule says of a record.
typedef enum {
    kRecordAccepted,       ///< the section has the record's text now
    kRecordStaleBase,      ///< rejected: the section changed since the base
    kRecordInvalid,        ///< rejected: the text is not valid
    kRecordSnapshot,       ///< a snapshot of what is known already
    kRecordAlreadyApplied, ///< judged before
    kRecordGap             ///< records before it are missing
} record_result_t;

/// Checks the text of a section. Pure: equal everywhere.
typedef bool (*section_check_t)(const char *section, const char *text,
                                error_info_t *err);

config_document_t *config_document_create(section_check_t check);

void config_document_destroy(config_document_t *document);

/// @return the offset of the next record to judge; 1 at the start
uint64_t config_document_next_offset(const config_document_t *document);

/// @return the offset that the document is in force at: that of the last
///         record judged
uint64_t config_document_offset(const config_document_t *document);

/// Judges one record.
///
/// @param err  says why where the verdict is kRecordInvalid
record_result_t config_document_apply(config_document_t *document,
                                      uint64_t offset,
                                      const log_record_t *record,
                                      error_info_t *err);

/// Takes a whole document over, from a snapshot or a peer, if it is newer.
///
/// @return whether it was taken
bool config_document_replace(config_document_t *document, uint64_t offset,
                             const section_entry_t *sections, uint32_t count);

/// Lists the sections, those taken away included (their text is empty).
///
/// @param after   only sections changed after this offset; 0 for all
/// @param count   set to their number
/// @return an array in the arena; the texts belong to the document
section_entry_t *
config_document_list_sections(const config_document_t *document,
                              uint64_t after, arena_t *arena, uint32_t *count);

/// @return the section, or NULL
const section_entry_t *
config_document_find_section(const config_document_t *document,
                             const char *name);

#endif
