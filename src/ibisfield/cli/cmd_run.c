/// @file
/// Runs a node.

#include <stdio.h>

#include "ibisfield/cli/commands.h"

/// Runs a node until it is told to stop; returns the exit code.
int
cmd_run(const settings_t *settings)
{
    fprintf(stderr, "ibisfield run: %s: not implemented\n", settings->vm);
    return EXIT_CODE_FAILED;
}
