/// Tests of config/document.
#include <apr_general.h>
#include <string.h>

#include "config/document.h"
#include "support/suite.h"

static bool
check_text(const char *section, const char *text, error_info_t *err)
{
    (void)section;
    return strcmp(text, "bad") != 0 ||
           error_set(err, kErrorKindConfigInvalid, "bad text");
}

static document_verdict_t
edit(document_t *document, uint64_t offset, uint64_t base, const char *text)
{
    error_info_t err = {0};
    log_record_t record = {
        .section = "a", .base = base, .edit_id = "", .text = text};
    return document_apply(document, offset, &record, &err);
}

static void
test_race(void)
{
    document_t *document = document_create(check_text);
    CU_ASSERT_EQUAL(edit(document, 1, 0, "one"), kVerdictAccepted);
    CU_ASSERT_EQUAL(edit(document, 2, 0, "two"), kVerdictBase);
    CU_ASSERT_EQUAL(edit(document, 3, 1, "bad"), kVerdictInvalid);
    CU_ASSERT_EQUAL(edit(document, 4, 1, "three"), kVerdictAccepted);
    CU_ASSERT_EQUAL(edit(document, 4, 4, "again"), kVerdictOld);
    CU_ASSERT_EQUAL(edit(document, 6, 4, "gap"), kVerdictGap);
    CU_ASSERT_STRING_EQUAL(document_find(document, "a")->text, "three");
    CU_ASSERT_EQUAL(document_offset(document), 4);
    document_destroy(document);
}

/// A document is taken over only when it is newer.
static void
test_adopt(void)
{
    document_t *document = document_create(check_text);
    section_entry_t section = {.name = "a", .offset = 2, .text = "two"};
    edit(document, 1, 0, "one");
    CU_ASSERT_TRUE(document_adopt(document, 7, &section, 1));
    CU_ASSERT_FALSE(document_adopt(document, 7, &section, 0));
    CU_ASSERT_FALSE(document_adopt(document, 3, &section, 0));
    CU_ASSERT_STRING_EQUAL(document_find(document, "a")->text, "two");
    CU_ASSERT_EQUAL(document_next(document), 8);
    CU_ASSERT_EQUAL(edit(document, 8, 2, "eight"), kVerdictAccepted);
    document_destroy(document);
}

/// A section that was taken away keeps its offset, so that an edit made
/// before cannot bring it back.
static void
test_removed(void)
{
    document_t *document = document_create(check_text);
    arena_t *arena = arena_create();
    uint32_t count = 0;
    edit(document, 1, 0, "one");
    CU_ASSERT_EQUAL(edit(document, 2, 1, ""), kVerdictAccepted);
    CU_ASSERT_EQUAL(edit(document, 3, 0, "late"), kVerdictBase);
    document_list(document, 1, arena, &count);
    CU_ASSERT_EQUAL(count, 1);
    document_list(document, 2, arena, &count);
    CU_ASSERT_EQUAL(count, 0);
    arena_destroy(arena);
    document_destroy(document);
}

int
main(void)
{
    static const CU_TestInfo tests[] = {{"racing edits", test_race},
                                        {"adopt", test_adopt},
                                        {"removed section", test_removed},
                                        CU_TEST_INFO_NULL};
    apr_initialize();
    return suite_run("document", tests);
}
