#ifndef IBISFIELD_TEST_PROCESS_H
#define IBISFIELD_TEST_PROCESS_H

#include <stdbool.h>
#include <sys/types.h>

/// Time-out of a wait for an event; long enough that only a fault reaches it.
#define EVENT_TIMEOUT_MS 60000

/// A child process of the test; it is killed when the test ends.
typedef struct {
    pid_t pid; ///< 0: not running
    char *log; ///< path of the file with its standard output and error
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

/// Waits until @p condition returns true. Returns false after
/// EVENT_TIMEOUT_MS.
bool wait_until(bool (*condition)(void *context), void *context);

#endif
