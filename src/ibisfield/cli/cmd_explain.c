/// @file
/// The "explain" command: prints the limits derived from a contract.

#include <stdio.h>

#include "ibisfield/cli/commands.h"
#include "ibisfield/cli/input.h"
#include "ibisfield/contract/contract.h"
#include "ibisfield/contract/explain.h"

/// Prints every limit derived from a contract file, with its reason.
int
command_explain(int argc, char **argv)
{
    static const struct argp argp = {
        .parser = parse_file_argument,
        .args_doc = "CONTRACT",
        .doc = "Print every limit derived from the contract file CONTRACT, "
               "with the reason for each value, and the order in which its "
               "kinds are shed.\v"
               "If the contract is invalid, its problems are listed instead, "
               "as by 'ibisfield check' (exit code 2).",
    };
    file_argument_t argument = {.missing_message =
                                    "the contract file is missing"};
    parse_arguments(&argp, argc, argv, &argument);
    contract_t contract;
    GPtrArray *problems = problems_new();
    bool valid = load_contract(&contract, argument.file, problems);
    if (problems_print_and_free(problems) || !valid) {
        return EXIT_CODE_BAD_INPUT;
    }
    GString *text = g_string_new(NULL);
    explain_contract(&contract, text);
    fputs(text->str, stdout);
    g_string_free(text, TRUE);
    contract_finish(&contract);
    return EXIT_CODE_OK;
}
