/// The main function of a test program: a suite of CUnit tests.
#ifndef JT_TESTS_SUPPORT_SUITE_H
#define JT_TESTS_SUPPORT_SUITE_H

#include <CUnit/Basic.h>
#include <stdint.h>

/// Runs tests as one suite.
///
/// @param tests  ends with an entry without a name
/// @return the exit code of the program: 1 if an assertion failed
static inline int
suite_run(const char *name, const CU_TestInfo *tests)
{
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite(name, NULL, NULL);
    for (uint32_t i = 0; tests[i].pName != NULL; i++) {
        CU_add_test(suite, tests[i].pName, tests[i].pTestFunc);
    }
    CU_basic_set_mode(CU_BRM_VERBOSE);
    CU_basic_run_tests();
    unsigned int failures = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failures == 0 ? 0 : 1;
}

#endif
