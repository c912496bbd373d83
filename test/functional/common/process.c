/// @file
/// Child processes of functional tests. Signals go to single process ids only,
/// never to a group or a name.

#include "common/process.h"

#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#define POLL_INTERVAL_US 10000

typedef struct {
    const process_t *process;
    const char *text;
} log_wait_t;

/// Waits until @p condition returns true. Returns false after
/// EVENT_TIMEOUT_MS.
bool
wait_until(bool (*condition)(void *context), void *context)
{
    gint64 end_us = g_get_monotonic_time() + EVENT_TIMEOUT_MS * 1000LL;
    while (!condition(context)) {
        if (g_get_monotonic_time() > end_us) {
            return false;
        }
        g_usleep(POLL_INTERVAL_US);
    }
    return true;
}

static void
run_child(const char *log, const char *const *arguments)
{
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    int fd = open(log, O_WRONLY | O_CREAT | O_TRUNC, 0600);
    if (fd >= 0 && dup2(fd, STDOUT_FILENO) >= 0 &&
        dup2(fd, STDERR_FILENO) >= 0) {
        execv(arguments[0], (char *const *)arguments);
    }
    _exit(127);
}

/// Starts a program with its output in the file @p log; @p arguments ends with
/// NULL. Returns false if no process could be created.
bool
process_start(process_t *process, const char *log,
              const char *const *arguments)
{
    g_free(process->log);
    process->log = g_strdup(log);
    process->pid = fork();
    if (process->pid == 0) {
        run_child(log, arguments);
    }
    return process->pid > 0;
}

/// Waits until the process has ended; kills it after EVENT_TIMEOUT_MS. Returns
/// its exit code, or the negative number of the signal that ended it.
int
process_wait(process_t *process)
{
    gint64 end_us = g_get_monotonic_time() + EVENT_TIMEOUT_MS * 1000LL;
    int status = 0;
    pid_t ended;
    while ((ended = waitpid(process->pid, &status, WNOHANG)) == 0) {
        if (g_get_monotonic_time() > end_us) {
            kill(process->pid, SIGKILL);
        }
        g_usleep(POLL_INTERVAL_US);
    }
    process->pid = 0;
    if (ended < 0) {
        return 127;
    }
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

/// Returns true if the process has exited or was ended by a signal, so that
/// process_wait() returns immediately.
bool
process_has_ended(const process_t *process)
{
    siginfo_t info = {0};
    return process->pid > 0 &&
           waitid(P_PID, (id_t)process->pid, &info,
                  WEXITED | WNOHANG | WNOWAIT) == 0 &&
           info.si_pid == process->pid;
}

/// Sends a signal to the process and returns process_wait(); 0 if it isn't
/// running.
int
process_stop(process_t *process, int signal_number)
{
    if (process->pid <= 0) {
        return 0;
    }
    kill(process->pid, signal_number);
    return process_wait(process);
}

/// Returns the output of the process so far; g_free() it.
char *
process_log(const process_t *process)
{
    char *text = NULL;
    if (!g_file_get_contents(process->log, &text, NULL, NULL)) {
        return g_strdup("");
    }
    return text;
}

bool
process_has_logged(const process_t *process, const char *text)
{
    char *log = process_log(process);
    bool found = strstr(log, text) != NULL;
    g_free(log);
    return found;
}

static bool
has_logged(void *context)
{
    const log_wait_t *wait = context;
    return process_has_logged(wait->process, wait->text);
}

/// Waits until the output of the process contains @p text. Returns false after
/// EVENT_TIMEOUT_MS.
bool
process_wait_log(const process_t *process, const char *text)
{
    log_wait_t wait = {process, text};
    return wait_until(has_logged, &wait);
}

/// Kills the process if it is still running.
void
process_finish(process_t *process)
{
    process_stop(process, SIGKILL);
    g_free(process->log);
    process->log = NULL;
}
