/// @file
/// Passes TCP connections on and harms them: delays, silences, one direction
/// or both, resets, and refusals of new connections.

#include "fault_proxy.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#define BACKLOG 512
#define CHUNK_BYTES 16384
/// Bytes held for one direction; beyond it the sender isn't read.
#define HELD_MAX ((size_t)256 << 10)
#define TICK_MS 2
#define EVENTS_MAX 256

typedef struct {
    gint64 due_us;
    gsize len;
    gsize sent;
    char bytes[];
} chunk_t;

typedef struct connection connection_t;

/// One socket of a connection.
typedef struct {
    connection_t *connection;
    int fd;
    direction_t brings; ///< direction of the bytes read here
    GQueue held;        ///< chunk_t still to be written here
    size_t held_bytes;
    bool ended; ///< the other end is at its end of stream
    bool shut;  ///< and this was passed on
} end_t;

struct connection {
    proxy_route_t *route;
    int epoll;
    end_t ends[DIRECTIONS]; ///< the client's, the target's
    bool broken;
};

static int
open_socket(void)
{
    return socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
}

static struct sockaddr_in
address_of(const char *text, uint16_t port)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons(port)};
    g_assert(inet_pton(AF_INET, text, &address.sin_addr) == 1);
    return address;
}

static void
close_with_reset(int fd)
{
    const struct linger now = {.l_onoff = 1, .l_linger = 0};
    (void)setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    close(fd);
}

static void
free_connection(void *pointer)
{
    connection_t *connection = pointer;
    for (int i = 0; i < DIRECTIONS; i++) {
        end_t *end = &connection->ends[i];
        // A process that is being started still holds the socket, so closing
        // it doesn't end its events.
        (void)epoll_ctl(connection->epoll, EPOLL_CTL_DEL, end->fd, NULL);
        if (connection->broken) {
            close_with_reset(end->fd);
        }
        else {
            close(end->fd);
        }
        g_queue_clear_full(&end->held, g_free);
    }
    g_free(connection);
}

static end_t *
other_end(end_t *end)
{
    return &end->connection->ends[end->brings == TO_TARGET ? 1 : 0];
}

/// Waits for bytes of the end unless its direction is held back or full.
static void
watch(const fault_proxy_t *proxy, end_t *end)
{
    end_t *other = other_end(end);
    bool reads = !other->ended && other->held_bytes < HELD_MAX;
    struct epoll_event event = {.events = reads ? EPOLLIN : 0,
                                .data.ptr = end};
    (void)epoll_ctl(proxy->epoll, EPOLL_CTL_MOD, end->fd, &event);
}

static void
read_end(const fault_proxy_t *proxy, end_t *end)
{
    char bytes[CHUNK_BYTES];
    end_t *other = other_end(end);
    ssize_t got = recv(end->fd, bytes, sizeof(bytes), 0);
    if (got > 0) {
        chunk_t *chunk = g_malloc(sizeof(chunk_t) + (gsize)got);
        chunk->due_us =
            g_get_monotonic_time() +
            (gint64)g_atomic_int_get(&end->connection->route->delay_ms) * 1000;
        chunk->len = (gsize)got;
        chunk->sent = 0;
        memcpy(chunk->bytes, bytes, (size_t)got);
        g_queue_push_tail(&other->held, chunk);
        other->held_bytes += (size_t)got;
    }
    else if (got == 0) {
        other->ended = true;
    }
    else if (errno != EAGAIN && errno != EINTR) {
        end->connection->broken = true;
    }
    watch(proxy, end);
}

/// Writes what is due to the end; passes the end of the stream on.
static void
write_end(const fault_proxy_t *proxy, end_t *end, gint64 now_us)
{
    end_t *source = other_end(end);
    if (g_atomic_int_get(&end->connection->route->silent[source->brings])) {
        return;
    }
    chunk_t *chunk;
    while ((chunk = g_queue_peek_head(&end->held)) != NULL &&
           chunk->due_us <= now_us)
    {
        ssize_t sent = send(end->fd, chunk->bytes + chunk->sent,
                            chunk->len - chunk->sent, MSG_NOSIGNAL);
        if (sent < 0) {
            end->connection->broken |=
                errno != EAGAIN && errno != EINTR && errno != ENOTCONN;
            return;
        }
        chunk->sent += (gsize)sent;
        end->held_bytes -= (size_t)sent;
        if (chunk->sent < chunk->len) {
            return;
        }
        g_free(g_queue_pop_head(&end->held));
        watch(proxy, source);
    }
    if (end->ended && end->held.length == 0 && !end->shut) {
        end->shut = true;
        (void)shutdown(end->fd, SHUT_WR);
    }
}

static void
accept_connections(fault_proxy_t *proxy, proxy_route_t *route)
{
    int client;
    while ((client = accept4(route->listening, NULL, NULL,
                             SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0)
    {
        if (g_atomic_int_get(&route->refuses)) {
            close_with_reset(client);
            continue;
        }
        connection_t *connection = g_new0(connection_t, 1);
        connection->route = route;
        connection->epoll = proxy->epoll;
        int fds[DIRECTIONS] = {client, open_socket()};
        (void)connect(fds[1], (const struct sockaddr *)&route->target,
                      sizeof(route->target));
        for (int i = 0; i < DIRECTIONS; i++) {
            connection->ends[i] = (end_t){
                .connection = connection,
                .fd = fds[i],
                .brings = i == 0 ? TO_TARGET : TO_CLIENT,
            };
            struct epoll_event event = {.events = EPOLLIN,
                                        .data.ptr = &connection->ends[i]};
            (void)epoll_ctl(proxy->epoll, EPOLL_CTL_ADD, fds[i], &event);
        }
        g_ptr_array_add(proxy->connections, connection);
    }
}

static bool
is_route(const fault_proxy_t *proxy, const void *pointer)
{
    const proxy_route_t *route = pointer;
    return route >= proxy->routes && route < proxy->routes + PROXY_ROUTES_MAX;
}

static void
move_bytes(fault_proxy_t *proxy)
{
    gint64 now_us = g_get_monotonic_time();
    for (guint i = proxy->connections->len; i > 0; i--) {
        connection_t *connection = proxy->connections->pdata[i - 1];
        connection->broken |= g_atomic_int_get(&connection->route->resets);
        for (int j = 0; j < DIRECTIONS && !connection->broken; j++) {
            write_end(proxy, &connection->ends[j], now_us);
        }
        if (connection->broken ||
            (connection->ends[0].shut && connection->ends[1].shut))
        {
            g_ptr_array_remove_index_fast(proxy->connections, i - 1);
        }
    }
    for (int i = 0; i < proxy->route_count; i++) {
        g_atomic_int_set(&proxy->routes[i].resets, 0);
    }
}

static void *
run(void *context)
{
    fault_proxy_t *proxy = context;
    struct epoll_event events[EVENTS_MAX];
    while (!g_atomic_int_get(&proxy->stopped)) {
        int count = epoll_wait(proxy->epoll, events, EVENTS_MAX, TICK_MS);
        for (int i = 0; i < count; i++) {
            void *source = events[i].data.ptr;
            if (is_route(proxy, source)) {
                accept_connections(proxy, source);
            }
            else {
                read_end(proxy, source);
            }
        }
        move_bytes(proxy);
    }
    return NULL;
}

/// Initialises a proxy without routes.
void
fault_proxy_init(fault_proxy_t *proxy)
{
    *proxy = (fault_proxy_t){
        .epoll = epoll_create1(EPOLL_CLOEXEC),
        .connections = g_ptr_array_new_with_free_func(free_connection),
    };
}

/// Adds a route before the start. Both ends have the same port.
proxy_route_t *
fault_proxy_add(fault_proxy_t *proxy, const char *listen_at,
                const char *target, uint16_t port)
{
    g_assert(proxy->route_count < PROXY_ROUTES_MAX);
    proxy_route_t *route = &proxy->routes[proxy->route_count++];
    struct sockaddr_in at = address_of(listen_at, port);
    int on = 1;
    *route = (proxy_route_t){.listening = open_socket(),
                             .target = address_of(target, port)};
    (void)setsockopt(route->listening, SOL_SOCKET, SO_REUSEADDR, &on,
                     sizeof(on));
    if (bind(route->listening, (const struct sockaddr *)&at, sizeof(at)) !=
            0 ||
        listen(route->listening, BACKLOG) != 0)
    {
        g_error("proxy at %s:%u: %s", listen_at, port, g_strerror(errno));
    }
    struct epoll_event event = {.events = EPOLLIN, .data.ptr = route};
    (void)epoll_ctl(proxy->epoll, EPOLL_CTL_ADD, route->listening, &event);
    return route;
}

void
fault_proxy_start(fault_proxy_t *proxy)
{
    proxy->thread = g_thread_new("proxy", run, proxy);
}

void
fault_proxy_finish(fault_proxy_t *proxy)
{
    g_atomic_int_set(&proxy->stopped, 1);
    g_thread_join(proxy->thread);
    g_ptr_array_unref(proxy->connections);
    for (int i = 0; i < proxy->route_count; i++) {
        close(proxy->routes[i].listening);
    }
    close(proxy->epoll);
}

/// Ends all faults of a route.
void
proxy_route_heal(proxy_route_t *route)
{
    g_atomic_int_set(&route->delay_ms, 0);
    g_atomic_int_set(&route->refuses, 0);
    for (int i = 0; i < DIRECTIONS; i++) {
        g_atomic_int_set(&route->silent[i], 0);
    }
}
