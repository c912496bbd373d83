#ifndef IBISFIELD_CLI_INPUT_H
#define IBISFIELD_CLI_INPUT_H

#include <argp.h>
#include <glib.h>
#include <stdbool.h>

#include "ibisfield/contract/contract_defs.h"
#include "ibisfield/contract/settings_defs.h"

GPtrArray *problems_new(void);
bool problems_print_and_free(GPtrArray *problems);
bool load_settings(settings_t *settings, const char *file,
                   GPtrArray *problems);
bool load_contract(contract_t *contract, const char *file,
                   GPtrArray *problems);
/// The file argument of a command that takes one file.
typedef struct {
    const char *file;
    const char *missing_message; ///< error message if no file is given
} file_argument_t;

error_t parse_file_argument(int key, char *argument, struct argp_state *state);
error_t parse_arguments(const struct argp *argp, int argc, char **argv,
                        void *input);

#endif
