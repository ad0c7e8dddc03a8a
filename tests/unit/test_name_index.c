/// The index of runs by name.
#include "pool/name_index.h"

#include <stdio.h>

#include "support/suite.h"

enum { kNames = 5000 };

static run_name_t names[kNames];

static void
test_names_are_found(void)
{
    name_index_t index;
    name_index_init(&index, kNames);
    for (uint32_t i = 0; i < kNames; i++) {
        names[i] = (run_name_t){
            .step = i / 100 % 5, .index = i % 100, .attempt = 1 + i % 2};
        snprintf(names[i].job, sizeof names[i].job, "%016x", i / 500);
        name_index_add(&index, &names[i]);
    }
    for (uint32_t i = 0; i < kNames; i++) {
        run_name_t wanted = names[i];
        CU_ASSERT_PTR_EQUAL(name_index_find(&index, &wanted), &names[i]);
        wanted.attempt += 2;
        CU_ASSERT_PTR_NULL(name_index_find(&index, &wanted));
    }
    name_index_clear(&index);
}

static void
test_first_of_equal_names_stays(void)
{
    const run_name_t first = {.job = "a", .attempt = 1};
    const run_name_t second = first;
    name_index_t index;
    name_index_init(&index, 2);
    name_index_add(&index, &first);
    name_index_add(&index, &second);
    CU_ASSERT_PTR_EQUAL(name_index_find(&index, &second), &first);
    name_index_clear(&index);
}

static void
test_empty_index(void)
{
    const run_name_t name = {.job = "a"};
    name_index_t index;
    name_index_init(&index, 0);
    CU_ASSERT_PTR_NULL(name_index_find(&index, &name));
    name_index_clear(&index);
}

int
main(void)
{
    const CU_TestInfo tests[] = {
        {"names are found", test_names_are_found},
        {"the first of equal names stays", test_first_of_equal_names_stays},
        {"an empty index", test_empty_index},
        CU_TEST_INFO_NULL,
    };
    return suite_run("name_index", tests);
}
