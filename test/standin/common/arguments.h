#ifndef IBISFIELD_STANDIN_ARGUMENTS_H
#define IBISFIELD_STANDIN_ARGUMENTS_H

#include <argp.h>

#include "ibisfield/contract/settings_defs.h"

/// Reads "ADDRESS:PORT"; ends the process with a usage error if it isn't one.
void read_endpoint_argument(endpoint_t *endpoint, const char *text,
                            const struct argp_state *state);
/// Reads a number from 0 to INT32_MAX in the same way.
int32_t read_number_argument(const char *text, const struct argp_state *state);

#endif
