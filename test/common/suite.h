#ifndef IBISFIELD_TEST_COMMON_SUITE_H
#define IBISFIELD_TEST_COMMON_SUITE_H

#include <CUnit/Basic.h>
#include <CUnit/CUnit.h>

/// Runs the tests of one program (an array that ends with CU_TEST_INFO_NULL)
/// and returns its exit code.
static inline int
run_suite(const char *name, CU_TestInfo *tests)
{
    CU_SuiteInfo suites[] = {{name, NULL, NULL, NULL, NULL, tests},
                             CU_SUITE_INFO_NULL};
    if (CU_initialize_registry() != CUE_SUCCESS ||
        CU_register_suites(suites) != CUE_SUCCESS)
    {
        return 2;
    }
    CU_basic_set_mode(CU_BRM_VERBOSE);
    CU_basic_run_tests();
    unsigned int failures = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failures == 0 ? 0 : 1;
}

#endif
