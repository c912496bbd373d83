/// @file
/// Command "run": a node until SIGTERM.

#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include "ibisfield/base/log.h"
#include "ibisfield/cli/commands.h"
#include "ibisfield/io/node.h"

static GLogLevelFlags
level_of(const char *name)
{
    if (strcmp(name, "debug") == 0) {
        return G_LOG_LEVEL_DEBUG;
    }
    return strcmp(name, "warning") == 0 ? G_LOG_LEVEL_WARNING
                                        : G_LOG_LEVEL_MESSAGE;
}

/// The first SIGTERM starts the graceful shutdown; SIGINT or a second SIGTERM
/// stops at once.
static void
on_signal(h2o_socket_t *socket, const char *error)
{
    (void)error;
    node_t *node = socket->data;
    struct signalfd_siginfo info;
    while (read(h2o_socket_get_fd(socket), &info, sizeof(info)) ==
           (ssize_t)sizeof(info))
    {
        if (info.ssi_signo == SIGTERM && node->shutdown_us == 0) {
            node_shut_down(node);
        }
        else {
            node_stop(node);
        }
    }
}

static h2o_socket_t *
watch_signals(node_t *node)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, NULL);
    int fd = signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
    h2o_socket_t *socket = h2o_evloop_socket_create(node->loop.h2o, fd,
                                                    H2O_SOCKET_FLAG_DONT_READ);
    socket->data = node;
    h2o_socket_read_start(socket, on_signal);
    return socket;
}

/// Descriptors beyond those of accepted connections: one for each connection
/// to the upstream and to other nodes, and some for listeners and control.
#define SPARE_DESCRIPTORS 2048

/// Allows as many descriptors as the hard limit does; the usual soft limit of
/// 1024 is below max_connections.
static void
raise_descriptor_limit(const settings_t *settings)
{
    struct rlimit limit;
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0) {
        return;
    }
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
    rlim_t wanted = (rlim_t)settings->max_connections + SPARE_DESCRIPTORS;
    if (limit.rlim_cur < wanted) {
        log_warning("descriptor_limit_low", "limit=%lu expected=%lu",
                    (unsigned long)limit.rlim_cur, (unsigned long)wanted);
    }
}

/// Runs a node until it is told to stop; returns the exit code.
int
cmd_run(const settings_t *settings)
{
    static node_t node;
    log_init(level_of(settings->log_level));
    raise_descriptor_limit(settings);
    GError *error = NULL;
    if (!node_init(&node, settings, &error)) {
        fprintf(stderr, "ibisfield run: %s\n", error->message);
        g_error_free(error);
        return EXIT_CODE_FAILED;
    }
    h2o_socket_t *signals = watch_signals(&node);
    int exit_code = node_run(&node);
    h2o_socket_close(signals);
    node_finish(&node);
    return exit_code;
}
