/// @file
/// Stand-in of the network between data centres: forwards the bytes of TCP
/// connections. Usage:
///
///     standin_relay ADDRESS:PORT=ADDRESS:PORT ...
///
/// Each argument names the address to listen on and the address to connect to.
/// SIGSTOP simulates a partition in which no bytes arrive until SIGCONT ends
/// it; SIGKILL simulates one in which connections are reset. Prints
/// "listening" once it accepts connections.

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
    int listen_fd;
    struct sockaddr_in target;
} route_t;

/// One direction of a connection.
typedef struct {
    int from, to;
} direction_t;

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
forward_bytes(void *context)
{
    direction_t *direction = context;
    char buffer[BUFFER_BYTES];
    ssize_t received = recv(direction->from, buffer, sizeof(buffer), 0);
    while (received > 0 && send_all(direction->to, buffer, (size_t)received)) {
        received = recv(direction->from, buffer, sizeof(buffer), 0);
    }
    shutdown(direction->to, SHUT_WR);
    shutdown(direction->from, SHUT_RD);
    g_free(direction);
    return NULL;
}

static GThread *
start_direction(int from, int to)
{
    direction_t *direction = g_new(direction_t, 1);
    *direction = (direction_t){from, to};
    return g_thread_new("pipe", forward_bytes, direction);
}

typedef struct {
    int caller;
    const route_t *route;
} connection_t;

static void *
serve_connection(void *context)
{
    connection_t *connection = context;
    int target = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (connect(target, (const struct sockaddr *)&connection->route->target,
                sizeof(connection->route->target)) == 0)
    {
        GThread *to_caller = start_direction(target, connection->caller);
        g_thread_join(start_direction(connection->caller, target));
        g_thread_join(to_caller);
    }
    close(target);
    close(connection->caller);
    g_free(connection);
    return NULL;
}

static void *
serve_route(void *context)
{
    const route_t *route = context;
    for (;;) {
        int caller = accept4(route->listen_fd, NULL, NULL, SOCK_CLOEXEC);
        if (caller < 0) {
            continue;
        }
        connection_t *connection = g_new(connection_t, 1);
        *connection = (connection_t){caller, route};
        g_thread_unref(
            g_thread_new("connection", serve_connection, connection));
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
    route->listen_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(route->listen_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(route->listen_fd, (struct sockaddr *)&listen_at,
             sizeof(listen_at)) != 0 ||
        listen(route->listen_fd, BACKLOG) != 0)
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
