/// @file
/// The "version" command: prints the version of the program.

#include <stdio.h>

#include "ibisfield/cli/commands.h"
#include "ibisfield/cli/input.h"

int
command_version(int argc, char **argv)
{
    static const struct argp argp = {
        .doc = "Print the version of the program.",
    };
    parse_arguments(&argp, argc, argv, NULL);
    puts("ibisfield " IBISFIELD_VERSION);
    return EXIT_CODE_OK;
}
