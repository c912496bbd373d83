/// @file
/// Entry point of the program: finds the command and passes it the remaining
/// arguments.

#include <argp.h>
#include <stdlib.h>
#include <string.h>

#include "ibisfield/cli/commands.h"
#include "ibisfield/cli/input.h"

typedef struct {
    const char *name;
    int (*run)(int argc, char **argv);
} command_t;

static const command_t commands[] = {
    {"run", command_run},         {"check", command_check},
    {"explain", command_explain}, {"status", command_status},
    {"version", command_version},
};

static const char main_doc[] =
    "Overload control for service call graphs: one node runs on each upstream "
    "VM.\v"
    "Commands:\n"
    "  run SETTINGS         run a node until SIGTERM\n"
    "  check FILE...        check settings and contracts, list every problem\n"
    "  explain CONTRACT     print the limits derived from a contract\n"
    "  status [ADDRESS...]  show the state of running nodes\n"
    "  version              print the version\n"
    "\n"
    "'ibisfield COMMAND --help' describes a command.\n"
    "\n"
    "Exit codes: 0 success, 1 failed at run time, 2 bad usage or bad input.";

typedef struct {
    const command_t *command;
    int argc;
    char **argv;
} main_arguments_t;

static error_t
parse_main(int key, char *argument, struct argp_state *state)
{
    main_arguments_t *arguments = state->input;
    switch (key) {
    case ARGP_KEY_ARG:
        for (size_t i = 0; i < sizeof(commands) / sizeof(commands[0]); i++) {
            if (strcmp(commands[i].name, argument) == 0) {
                arguments->command = &commands[i];
            }
        }
        if (arguments->command == NULL) {
            argp_error(state, "unknown command '%s'", argument);
        }
        arguments->argc = state->argc - state->next + 1;
        arguments->argv = state->argv + state->next - 1;
        state->next = state->argc;
        return 0;
    case ARGP_KEY_NO_ARGS:
        argp_error(state, "a command is missing");
        return EINVAL;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

/// The "run" command: validates the settings and runs a node with them.
int
command_run(int argc, char **argv)
{
    static const struct argp argp = {
        .parser = parse_file_argument,
        .args_doc = "SETTINGS",
        .doc = "Run a node with the settings file SETTINGS.\v"
               "The node logs to standard output. SIGTERM shuts it down "
               "gracefully: it refuses new work, finishes the calls in "
               "flight and exits with 0, or with 1 when drain_limit_ms cut "
               "off a call. A second SIGTERM, or SIGINT, stops it at once "
               "(exit 1). SIGHUP reloads the settings. The problems of "
               "invalid settings are listed (exit 2).",
    };
    file_argument_t argument = {.missing_message =
                                    "the settings file is missing"};
    parse_arguments(&argp, argc, argv, &argument);
    settings_t settings;
    GPtrArray *problems = problems_new();
    bool valid = load_settings(&settings, argument.file, problems);
    if (problems_print_and_free(problems) || !valid) {
        return EXIT_CODE_BAD_INPUT;
    }
    return run_with_settings(&settings, argument.file);
}

int
main(int argc, char **argv)
{
    static const struct argp argp = {
        .parser = parse_main,
        .args_doc = "COMMAND [ARGUMENT...]",
        .doc = main_doc,
    };
    argp_err_exit_status = EXIT_CODE_BAD_INPUT;
    main_arguments_t arguments = {0};
    argp_parse(&argp, argc, argv, ARGP_IN_ORDER, NULL, &arguments);
    return arguments.command->run(arguments.argc, arguments.argv);
}
