#ifndef IBISFIELD_STANDIN_ARGUMENTS_H
#define IBISFIELD_STANDIN_ARGUMENTS_H

#include <argp.h>

#include "ibisfield/contract/settings_defs.h"

/// Parses "ADDRESS:PORT"; exits with a usage error if the text is invalid.
void read_endpoint_argument(endpoint_t *endpoint, const char *text,
                            const struct argp_state *state);
/// Parses a number from 0 to INT32_MAX; exits with a usage error if the text
/// is invalid.
int32_t read_number_argument(const char *text, const struct argp_state *state);

#endif
