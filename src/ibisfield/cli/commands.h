#ifndef IBISFIELD_CLI_COMMANDS_H
#define IBISFIELD_CLI_COMMANDS_H

#include "ibisfield/contract/settings_defs.h"

/// Exit codes of the program.
#define EXIT_CODE_OK 0
#define EXIT_CODE_FAILED 1    ///< failed at run time
#define EXIT_CODE_BAD_INPUT 2 ///< bad usage, or invalid settings or contract

int command_run(int argc, char **argv);
int command_check(int argc, char **argv);
int command_explain(int argc, char **argv);
int command_status(int argc, char **argv);
int command_version(int argc, char **argv);

/// Runs a node until a signal stops it; returns the exit code.
int run_with_settings(const settings_t *settings, const char *file);

#endif
