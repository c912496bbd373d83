/// @file
/// The "run" command: runs a node until a signal stops it.

#include <malloc.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include "ibisfield/base/log.h"
#include "ibisfield/cli/commands.h"
#include "ibisfield/cli/input.h"
#include "ibisfield/contract/settings.h"
#include "ibisfield/io/node.h"
#include "platform/adapter.h"

typedef struct {
    node_t node;
    const char *settings_file;
} run_context_t;

/// Reloads the settings file. The settings in force stay if it has problems.
static void
reload(run_context_t *run)
{
    settings_t settings;
    GPtrArray *problems = problems_new();
    if (load_settings(&settings, run->settings_file, problems)) {
        node_reload(&run->node, &settings);
        settings_finish(&settings);
    }
    for (guint i = 0; i < problems->len; i++) {
        log_warning("settings_refused", "problem=\"%s\"",
                    (const char *)problems->pdata[i]);
    }
    g_ptr_array_free(problems, TRUE);
}

/// The first SIGTERM starts the graceful shutdown. SIGINT or a second SIGTERM
/// stops the node immediately. SIGHUP reloads the settings.
static void
on_signal(h2o_socket_t *socket, const char *error)
{
    (void)error;
    run_context_t *run = socket->data;
    node_t *node = &run->node;
    struct signalfd_siginfo info;
    while (read(h2o_socket_get_fd(socket), &info, sizeof(info)) ==
           (ssize_t)sizeof(info))
    {
        if (info.ssi_signo == SIGHUP) {
            reload(run);
        }
        else if (info.ssi_signo == SIGTERM && node->shutdown_started_us == 0) {
            node_shut_down(node);
        }
        else {
            node_stop(node);
        }
    }
}

static h2o_socket_t *
watch_signals(run_context_t *run)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, NULL);
    int fd = signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
    h2o_socket_t *socket = h2o_evloop_socket_create(run->node.loop.h2o, fd,
                                                    H2O_SOCKET_FLAG_DONT_READ);
    socket->data = run;
    h2o_socket_read_start(socket, on_signal);
    return socket;
}

/// Descriptors needed besides those of accepted connections: one for each
/// connection that the node opens to the upstream and to other nodes, and a
/// few for listeners and the control link.
#define RESERVED_DESCRIPTORS 2048

/// Raises the soft limit of open descriptors to the hard limit, because the
/// usual soft limit of 1024 is below max_connections. Logs a warning if the
/// hard limit is too low for max_connections and RESERVED_DESCRIPTORS.
static void
raise_descriptor_limit(const settings_t *settings)
{
    struct rlimit limit;
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0) {
        return;
    }
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
    rlim_t needed = (rlim_t)settings->max_connections + RESERVED_DESCRIPTORS;
    if (limit.rlim_cur < needed) {
        log_warning("descriptor_limit_low", "limit=%lu expected=%lu",
                    (unsigned long)limit.rlim_cur, (unsigned long)needed);
    }
}

/// Blocks of this size and more are returned to the system when they are
/// freed. The allocator would raise its own threshold to the largest block
/// freed, up to 32 MB, and then keep gaps between long-lived blocks for good.
#define MMAP_THRESHOLD_BYTES (128 << 10)

/// Runs a node until a signal stops it; returns the exit code. @p file is the
/// file that @p settings were read from; SIGHUP reads it again.
int
run_with_settings(const settings_t *settings, const char *file)
{
    static run_context_t run;
    node_t *node = &run.node;
    run.settings_file = file;
    log_init();
    log_set_level(settings->log_level);
    raise_descriptor_limit(settings);
    mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES);
    GError *error = NULL;
    // A node without a store in its settings reads its configuration from
    // config_url and needs no adapter.
    const platform_adapter_t *adapter =
        settings->store.port == 0 ? NULL : &platform_adapter;
    if (!node_init(node, settings, adapter, &error)) {
        fprintf(stderr, "ibisfield run: %s\n", error->message);
        g_error_free(error);
        return EXIT_CODE_FAILED;
    }
    h2o_socket_t *signals = watch_signals(&run);
    int exit_code = node_run(node);
    h2o_socket_close(signals);
    node_finish(node);
    return exit_code;
}
