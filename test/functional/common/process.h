#ifndef IBISFIELD_TEST_PROCESS_H
#define IBISFIELD_TEST_PROCESS_H

#include <stdbool.h>
#include <sys/types.h>

/// Longest wait for any event in a test; only a fault reaches it.
#define TEST_LIMIT_MS 60000

/// A process that the test started; it ends with the test at the latest.
typedef struct {
    pid_t pid; ///< 0: not running
    char *log; ///< file with its standard output and error
} process_t;

bool process_start(process_t *process, const char *log,
                   const char *const *arguments);
int process_wait(process_t *process);
bool process_has_ended(const process_t *process);
int process_stop(process_t *process, int signal_number);
char *process_log(const process_t *process);
bool process_has_logged(const process_t *process, const char *text);
bool process_wait_log(const process_t *process, const char *text);
void process_finish(process_t *process);

/// Waits until @p condition holds. Returns false after TEST_LIMIT_MS.
bool wait_until(bool (*condition)(void *context), void *context);

#endif
