/// @file
/// Entry point of the program.

#include <stdio.h>

int
main(void)
{
    puts("ibisfield " IBISFIELD_VERSION);
    return 0;
}
