/// The number of values of a text before it is decoded.
#include "codec/json_bounds.h"

#include <string.h>

#include "support/suite.h"

static uint32_t
count(const char *text)
{
    return json_bounds_count_values((bytes_t){
        .data = (const uint8_t *)text, .size_bytes = (uint32_t)strlen(text)});
}

static void
test_values(void)
{
    CU_ASSERT_EQUAL(count("1"), 1);
    CU_ASSERT_EQUAL(count("[1,2,3]"), 4);
    CU_ASSERT_EQUAL(count("[[],{},[]]"), 7);
    CU_ASSERT(count("{\"a\":{\"b\":[1,2]}}") >= 4);
}

static void
test_strings(void)
{
    CU_ASSERT_EQUAL(count("\"[,{,\""), 1);
    CU_ASSERT_EQUAL(count("[\"\\\",,\",1]"), 3);
    CU_ASSERT_EQUAL(count("['\",', 1]"), 3);
}

static void
test_broken_text(void)
{
    CU_ASSERT_EQUAL(count(""), 1);
    CU_ASSERT_EQUAL(count("\"\\"), 1);
    CU_ASSERT_EQUAL(count("[\"[[["), 2);
    CU_ASSERT_EQUAL(count("[[[["), 5);
}

int
main(void)
{
    const CU_TestInfo tests[] = {
        {"values", test_values},
        {"strings", test_strings},
        {"broken text", test_broken_text},
        CU_TEST_INFO_NULL,
    };
    return suite_run("json_bounds", tests);
}
