/// @file
/// Command "status": shows the state of running nodes.

#include <stdio.h>

#include "ibisfield/cli/commands.h"
#include "ibisfield/cli/input.h"

/// Prints the state of the nodes at the operators' addresses named.
int
command_status(int argc, char **argv)
{
    static const struct argp argp = {
        .args_doc = "[ADDRESS...]",
        .doc = "Show the state of running nodes.",
    };
    parse_arguments(&argp, argc, argv, NULL);
    fputs("ibisfield status: not implemented\n", stderr);
    return EXIT_CODE_FAILED;
}
