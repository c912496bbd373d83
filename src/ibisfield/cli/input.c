/// @file
/// Arguments and input files of the commands.

#include "ibisfield/cli/input.h"

#include <stdio.h>

#include "ibisfield/contract/contract.h"
#include "ibisfield/contract/json_reader.h"
#include "ibisfield/contract/settings.h"

/// Returns an empty list of problems that frees its strings.
GPtrArray *
problems_new(void)
{
    return g_ptr_array_new_with_free_func(g_free);
}

/// Prints the problems to standard error, one per line, and frees the list.
/// Returns true if there were any.
bool
problems_print_and_free(GPtrArray *problems)
{
    bool found = problems->len > 0;
    for (guint i = 0; i < problems->len; i++) {
        fprintf(stderr, "%s\n", (const char *)problems->pdata[i]);
    }
    g_ptr_array_free(problems, TRUE);
    return found;
}

/// Reads and validates a settings file. Returns false and adds the problems if
/// it is invalid.
bool
load_settings(settings_t *settings, const char *file, GPtrArray *problems)
{
    size_t len = 0;
    char *text = json_load_file(file, &len, problems);
    bool valid =
        text != NULL &&
        settings_parse(settings, file, (slice_t){text, len}, problems);
    g_free(text);
    return valid;
}

/// Reads and validates a contract file. Returns false and adds the problems if
/// it is invalid.
bool
load_contract(contract_t *contract, const char *file, GPtrArray *problems)
{
    size_t len = 0;
    char *text = json_load_file(file, &len, problems);
    bool valid =
        text != NULL &&
        contract_parse(contract, file, (slice_t){text, len}, problems);
    g_free(text);
    return valid;
}

/// Argument parser of commands that take one file; the input is a
/// file_argument_t.
error_t
parse_file_argument(int key, char *argument, struct argp_state *state)
{
    file_argument_t *input = state->input;
    switch (key) {
    case ARGP_KEY_ARG:
        if (input->file != NULL) {
            argp_error(state, "found a second file '%s', expected one",
                       argument);
        }
        input->file = argument;
        return 0;
    case ARGP_KEY_NO_ARGS:
        argp_error(state, "%s", input->missing_message);
        return EINVAL;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

/// Parses the arguments of a command; argv[0] is its name. Usage errors and
/// --help end the process.
error_t
parse_arguments(const struct argp *argp, int argc, char **argv, void *input)
{
    char *name = argv[0];
    char *full_name = g_strdup_printf("ibisfield %s", name);
    argv[0] = full_name;
    error_t error = argp_parse(argp, argc, argv, 0, NULL, input);
    argv[0] = name;
    g_free(full_name);
    return error;
}
