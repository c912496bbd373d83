/// @file
/// Stand-in of the network between data centres: passes the bytes of TCP
/// connections on. Usage:
///
///     standin_relay ADDRESS:PORT=ADDRESS:PORT ...
///
/// Each argument names where to listen and where to connect to. SIGSTOP makes
/// a partition in which bytes are no longer passed, SIGCONT heals it; SIGKILL
/// makes one in which connections are reset. Prints "listening" once it does.

#include <arpa/inet.h>
#include <glib.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#define BACKLOG 256
#define BUFFER_BYTES 65536

typedef struct {
    int listening;
    struct sockaddr_in target;
} route_t;

/// One direction of a connection.
typedef struct {
    int from, to;
} pipe_t;

static bool
parse_endpoint(const char *text, struct sockaddr_in *endpoint)
{
    char **parts = g_strsplit(text, ":", 2);
    *endpoint = (struct sockaddr_in){.sin_family = AF_INET};
    bool valid = parts[0] != NULL && parts[1] != NULL &&
                 inet_pton(AF_INET, parts[0], &endpoint->sin_addr) == 1;
    if (valid) {
        endpoint->sin_port =
            htons((uint16_t)g_ascii_strtoull(parts[1], NULL, 10));
    }
    g_strfreev(parts);
    return valid;
}

static bool
send_all(int to, const char *bytes, size_t count)
{
    while (count > 0) {
        ssize_t sent = send(to, bytes, count, MSG_NOSIGNAL);
        if (sent < 0) {
            return false;
        }
        bytes += sent;
        count -= (size_t)sent;
    }
    return true;
}

static void *
pass_bytes(void *context)
{
    pipe_t *pipe = context;
    char buffer[BUFFER_BYTES];
    ssize_t got = recv(pipe->from, buffer, sizeof(buffer), 0);
    while (got > 0 && send_all(pipe->to, buffer, (size_t)got)) {
        got = recv(pipe->from, buffer, sizeof(buffer), 0);
    }
    shutdown(pipe->to, SHUT_WR);
    shutdown(pipe->from, SHUT_RD);
    g_free(pipe);
    return NULL;
}

static GThread *
start_pipe(int from, int to)
{
    pipe_t *pipe = g_new(pipe_t, 1);
    *pipe = (pipe_t){from, to};
    return g_thread_new("pipe", pass_bytes, pipe);
}

typedef struct {
    int caller;
    const route_t *route;
} accepted_t;

static void *
serve_connection(void *context)
{
    accepted_t *accepted = context;
    int target = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (connect(target, (const struct sockaddr *)&accepted->route->target,
                sizeof(accepted->route->target)) == 0)
    {
        GThread *back = start_pipe(target, accepted->caller);
        g_thread_join(start_pipe(accepted->caller, target));
        g_thread_join(back);
    }
    close(target);
    close(accepted->caller);
    g_free(accepted);
    return NULL;
}

static void *
serve_route(void *context)
{
    const route_t *route = context;
    for (;;) {
        int caller = accept4(route->listening, NULL, NULL, SOCK_CLOEXEC);
        if (caller < 0) {
            continue;
        }
        accepted_t *accepted = g_new(accepted_t, 1);
        *accepted = (accepted_t){caller, route};
        g_thread_unref(g_thread_new("connection", serve_connection, accepted));
    }
    return NULL;
}

static void
open_route(route_t *route, const char *text)
{
    char **ends = g_strsplit(text, "=", 2);
    struct sockaddr_in listen_at;
    if (ends[1] == NULL || !parse_endpoint(ends[0], &listen_at) ||
        !parse_endpoint(ends[1], &route->target))
    {
        fprintf(stderr, "found '%s', expected LISTEN=TARGET\n", text);
        exit(2);
    }
    int on = 1;
    route->listening = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(route->listening, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(route->listening, (struct sockaddr *)&listen_at,
             sizeof(listen_at)) != 0 ||
        listen(route->listening, BACKLOG) != 0)
    {
        perror(text);
        exit(1);
    }
    g_strfreev(ends);
}

int
main(int argc, char **argv)
{
    signal(SIGPIPE, SIG_IGN);
    route_t *routes = g_new0(route_t, argc);
    for (int i = 1; i < argc; i++) {
        open_route(&routes[i], argv[i]);
    }
    puts("listening");
    fflush(stdout);
    for (int i = 1; i < argc; i++) {
        g_thread_unref(g_thread_new("route", serve_route, &routes[i]));
    }
    for (;;) {
        pause();
    }
}
