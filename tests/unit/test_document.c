/// Tests of config/document.
#include <apr_general.h>
#include <string.h>

#include "config/config_document.h"
#include "support/suite.h"

static bool
check_text(const char *section, const char *text, error_info_t *err)
{
    (void)section;
    return strcmp(text, "bad") != 0 ||
           error_set(err, kErrorKindConfigInvalid, "bad text");
}

static record_result_t
edit(config_document_t *document, uint64_t offset, uint64_t base,
     const char *text)
{
    error_info_t err = {0};
    log_record_t record = {
        .section = "a", .base = base, .edit_id = "", .text = text};
    return config_document_apply(document, offset, &record, &err);
}

static void
test_race(void)
{
    config_document_t *document = config_document_create(check_text);
    CU_ASSERT_EQUAL(edit(document, 1, 0, "one"), kRecordAccepted);
    CU_ASSERT_EQUAL(edit(document, 2, 0, "two"), kRecordStaleBase);
    CU_ASSERT_EQUAL(edit(document, 3, 1, "bad"), kRecordInvalid);
    CU_ASSERT_EQUAL(edit(document, 4, 1, "three"), kRecordAccepted);
    CU_ASSERT_EQUAL(edit(document, 4, 4, "again"), kRecordAlreadyApplied);
    CU_ASSERT_EQUAL(edit(document, 6, 4, "gap"), kRecordGap);
    CU_ASSERT_STRING_EQUAL(config_document_find_section(document, "a")->text,
                           "three");
    CU_ASSERT_EQUAL(config_document_offset(document), 4);
    config_document_destroy(document);
}

/// A document is taken over only when it is newer.
static void
test_adopt(void)
{
    config_document_t *document = config_document_create(check_text);
    section_entry_t section = {.name = "a", .offset = 2, .text = "two"};
    edit(document, 1, 0, "one");
    CU_ASSERT_TRUE(config_document_replace(document, 7, &section, 1));
    CU_ASSERT_FALSE(config_document_replace(document, 7, &section, 0));
    CU_ASSERT_FALSE(config_document_replace(document, 3, &section, 0));
    CU_ASSERT_STRING_EQUAL(config_document_find_section(document, "a")->text,
                           "two");
    CU_ASSERT_EQUAL(config_document_next_offset(document), 8);
    CU_ASSERT_EQUAL(edit(document, 8, 2, "eight"), kRecordAccepted);
    config_document_destroy(document);
}

/// A section that was taken away keeps its offset, so that an edit made
/// before cannot bring it back.
static void
test_removed(void)
{
    config_document_t *document = config_document_create(check_text);
    arena_t *arena = arena_create();
    uint32_t count = 0;
    edit(document, 1, 0, "one");
    CU_ASSERT_EQUAL(edit(document, 2, 1, ""), kRecordAccepted);
    CU_ASSERT_EQUAL(edit(document, 3, 0, "late"), kRecordStaleBase);
    config_document_list_sections(document, 1, arena, &count);
    CU_ASSERT_EQUAL(count, 1);
    config_document_list_sections(document, 2, arena, &count);
    CU_ASSERT_EQUAL(count, 0);
    arena_destroy(arena);
    config_document_destroy(document);
}

enum { kRecords = 4, kBases = 5, kSections = 2 };

/// The rule as model/config.pml has it: the offset of each section's last
/// accepted edit.
typedef struct {
    uint64_t sections[kSections];
} model_t;

static const char *const names[kSections] = {"a", "b"};

static void
check_against(const config_document_t *document, const model_t *model)
{
    for (uint32_t i = 0; i < kSections; i++) {
        const section_entry_t *section =
            config_document_find_section(document, names[i]);
        uint64_t offset = section == NULL ? 0 : section->offset;
        CU_ASSERT_EQUAL_FATAL(offset, model->sections[i]);
    }
}

/// Every log of four edits on two sections with any bases: one reader that
/// judges all, and one that takes the document over halfway, agree with the
/// model at each offset.
static void
test_against_model(void)
{
    uint32_t runs = 1;
    for (uint32_t i = 0; i < kRecords; i++) {
        runs *= kBases * kSections;
    }
    for (uint32_t run = 0; run < runs; run++) {
        config_document_t *reader = config_document_create(check_text);
        config_document_t *late = config_document_create(check_text);
        arena_t *arena = arena_create();
        model_t model = {{0}};
        uint32_t rest = run;
        for (uint64_t offset = 1; offset <= kRecords;
             offset++, rest /= kBases * kSections) {
            error_info_t err = {0};
            uint32_t section = rest % kSections;
            log_record_t record = {.section = names[section],
                                   .base = rest / kSections % kBases,
                                   .edit_id = "",
                                   .text = "text"};
            if (record.base == model.sections[section]) {
                model.sections[section] = offset;
            }
            config_document_apply(reader, offset, &record, &err);
            config_document_apply(late, offset, &record, &err);
            check_against(reader, &model);
            if (offset == kRecords / 2) {
                uint32_t count = 0;
                section_entry_t *list =
                    config_document_list_sections(reader, 0, arena, &count);
                config_document_destroy(late);
                late = config_document_create(check_text);
                config_document_replace(late, offset, list, count);
            }
            check_against(late, &model);
        }
        arena_destroy(arena);
        config_document_destroy(late);
        config_document_destroy(reader);
    }
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"racing edits", test_race},
        {"adopt", test_adopt},
        {"removed section", test_removed},
        {"against the model", test_against_model},
        CU_TEST_INFO_NULL};
    apr_initialize();
    return suite_run("document", tests);
}
