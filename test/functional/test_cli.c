/// @file
/// The program as a user starts it.

#include <stdio.h>
#include <string.h>

#include "common/suite.h"

/// Guards against a build whose program does not start.
static void
test_version_is_printed(void)
{
    char line[128] = "";
    FILE *output = popen(IBISFIELD_BUILD_DIR "/ibisfield version", "r");
    CU_ASSERT_PTR_NOT_NULL_FATAL(output);
    CU_ASSERT_PTR_NOT_NULL(fgets(line, sizeof(line), output));
    CU_ASSERT_EQUAL(pclose(output), 0);
    CU_ASSERT_PTR_NOT_NULL(strstr(line, "ibisfield " IBISFIELD_VERSION));
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"version", test_version_is_printed},
        CU_TEST_INFO_NULL,
    };
    return run_suite("cli", tests);
}
