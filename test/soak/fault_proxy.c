/// @file
/// A TCP proxy that injects faults into the connections that it forwards:
/// delays, stalls of one or both directions, resets of open connections, and
/// resets of new ones.

#include "fault_proxy.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#define LISTEN_BACKLOG 512
#define CHUNK_BYTES 16384
/// Bytes buffered for one direction; at this limit the sender isn't read.
#define PENDING_BYTES_MAX ((size_t)256 << 10)
#define POLL_INTERVAL_MS 2
#define EVENTS_MAX 256

typedef struct {
    gint64 due_us;
    gsize len;
    gsize sent;
    char bytes[];
} chunk_t;

typedef struct connection connection_t;

/// One of the two sockets of a connection.
typedef struct {
    connection_t *connection;
    int fd;
    direction_t direction; ///< of the bytes read from this socket
    GQueue pending;        ///< chunk_t to be written to this socket
    size_t pending_bytes;
    bool source_ended; ///< the other socket has reached its end of stream, so
                       ///< no more chunks are added to pending
    bool write_shut;   ///< this socket was shut down for writing
} proxy_socket_t;

struct connection {
    proxy_route_t *route;
    int epoll_fd;
    proxy_socket_t
        sockets[DIRECTION_COUNT]; ///< [0] to the client, which reads
                                  ///< bytes TO_TARGET, [1] to the target
    bool failed;                  ///< both sockets are to be reset
};

static int
open_socket(void)
{
    return socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
}

static struct sockaddr_in
parse_address(const char *text, uint16_t port)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons(port)};
    g_assert(inet_pton(AF_INET, text, &address.sin_addr) == 1);
    return address;
}

static void
close_with_reset(int fd)
{
    const struct linger no_linger = {.l_onoff = 1, .l_linger = 0};
    (void)setsockopt(fd, SOL_SOCKET, SO_LINGER, &no_linger, sizeof(no_linger));
    close(fd);
}

static void
free_connection(void *pointer)
{
    connection_t *connection = pointer;
    for (int i = 0; i < DIRECTION_COUNT; i++) {
        proxy_socket_t *socket = &connection->sockets[i];
        // A child process between fork and exec still holds the descriptor, so
        // closing it here doesn't remove it from the epoll set.
        (void)epoll_ctl(connection->epoll_fd, EPOLL_CTL_DEL, socket->fd, NULL);
        if (connection->failed) {
            close_with_reset(socket->fd);
        }
        else {
            close(socket->fd);
        }
        g_queue_clear_full(&socket->pending, g_free);
    }
    g_free(connection);
}

static proxy_socket_t *
other_socket(proxy_socket_t *socket)
{
    return &socket->connection
                ->sockets[socket->direction == TO_TARGET ? 1 : 0];
}

/// Polls the socket for bytes, unless its stream has ended or the bytes that
/// are pending for the other socket have reached the limit.
static void
update_read_events(const fault_proxy_t *proxy, proxy_socket_t *socket)
{
    proxy_socket_t *other = other_socket(socket);
    bool reads =
        !other->source_ended && other->pending_bytes < PENDING_BYTES_MAX;
    struct epoll_event event = {.events = reads ? EPOLLIN : 0,
                                .data.ptr = socket};
    (void)epoll_ctl(proxy->epoll_fd, EPOLL_CTL_MOD, socket->fd, &event);
}

static void
read_socket(const fault_proxy_t *proxy, proxy_socket_t *socket)
{
    char bytes[CHUNK_BYTES];
    proxy_socket_t *other = other_socket(socket);
    ssize_t received = recv(socket->fd, bytes, sizeof(bytes), 0);
    if (received > 0) {
        chunk_t *chunk = g_malloc(sizeof(chunk_t) + (gsize)received);
        chunk->due_us =
            g_get_monotonic_time() +
            (gint64)g_atomic_int_get(&socket->connection->route->delay_ms) *
                1000;
        chunk->len = (gsize)received;
        chunk->sent = 0;
        memcpy(chunk->bytes, bytes, (size_t)received);
        g_queue_push_tail(&other->pending, chunk);
        other->pending_bytes += (size_t)received;
    }
    else if (received == 0) {
        other->source_ended = true;
    }
    else if (errno != EAGAIN && errno != EINTR) {
        socket->connection->failed = true;
    }
    update_read_events(proxy, socket);
}

/// Writes the pending chunks that are due, unless the direction is stalled.
/// Shuts the socket down for writing after the last byte of the stream.
static void
write_socket(const fault_proxy_t *proxy, proxy_socket_t *socket, gint64 now_us)
{
    proxy_socket_t *source = other_socket(socket);
    if (g_atomic_int_get(
            &socket->connection->route->stalled[source->direction])) {
        return;
    }
    chunk_t *chunk;
    while ((chunk = g_queue_peek_head(&socket->pending)) != NULL &&
           chunk->due_us <= now_us)
    {
        ssize_t sent = send(socket->fd, chunk->bytes + chunk->sent,
                            chunk->len - chunk->sent, MSG_NOSIGNAL);
        if (sent < 0) {
            // ENOTCONN: the connection to the target isn't open yet.
            socket->connection->failed |=
                errno != EAGAIN && errno != EINTR && errno != ENOTCONN;
            return;
        }
        chunk->sent += (gsize)sent;
        socket->pending_bytes -= (size_t)sent;
        if (chunk->sent < chunk->len) {
            return;
        }
        g_free(g_queue_pop_head(&socket->pending));
        update_read_events(proxy, source);
    }
    if (socket->source_ended && socket->pending.length == 0 &&
        !socket->write_shut) {
        socket->write_shut = true;
        (void)shutdown(socket->fd, SHUT_WR);
    }
}

static void
accept_connections(fault_proxy_t *proxy, proxy_route_t *route)
{
    int client_fd;
    while ((client_fd = accept4(route->listen_fd, NULL, NULL,
                                SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0)
    {
        if (g_atomic_int_get(&route->reset_new)) {
            close_with_reset(client_fd);
            continue;
        }
        connection_t *connection = g_new0(connection_t, 1);
        connection->route = route;
        connection->epoll_fd = proxy->epoll_fd;
        int fds[DIRECTION_COUNT] = {client_fd, open_socket()};
        (void)connect(fds[1], (const struct sockaddr *)&route->target,
                      sizeof(route->target));
        for (int i = 0; i < DIRECTION_COUNT; i++) {
            connection->sockets[i] = (proxy_socket_t){
                .connection = connection,
                .fd = fds[i],
                .direction = i == 0 ? TO_TARGET : TO_CLIENT,
            };
            struct epoll_event event = {.events = EPOLLIN,
                                        .data.ptr = &connection->sockets[i]};
            (void)epoll_ctl(proxy->epoll_fd, EPOLL_CTL_ADD, fds[i], &event);
        }
        g_ptr_array_add(proxy->connections, connection);
    }
}

/// Returns whether the pointer of an epoll event is a route, whose listening
/// socket is ready, and not a proxy_socket_t.
static bool
is_route(const fault_proxy_t *proxy, const void *pointer)
{
    const proxy_route_t *route = pointer;
    return route >= proxy->routes && route < proxy->routes + PROXY_ROUTES_MAX;
}

/// Forwards the bytes that are due, and closes connections that have failed or
/// were shut down in both directions.
static void
forward_bytes(fault_proxy_t *proxy)
{
    gint64 now_us = g_get_monotonic_time();
    for (guint i = proxy->connections->len; i > 0; i--) {
        connection_t *connection = proxy->connections->pdata[i - 1];
        connection->failed |= g_atomic_int_get(&connection->route->reset_open);
        for (int j = 0; j < DIRECTION_COUNT && !connection->failed; j++) {
            write_socket(proxy, &connection->sockets[j], now_us);
        }
        if (connection->failed || (connection->sockets[0].write_shut &&
                                   connection->sockets[1].write_shut))
        {
            g_ptr_array_remove_index_fast(proxy->connections, i - 1);
        }
    }
    for (int i = 0; i < proxy->route_count; i++) {
        g_atomic_int_set(&proxy->routes[i].reset_open, 0);
    }
}

static void *
run_proxy(void *context)
{
    fault_proxy_t *proxy = context;
    struct epoll_event events[EVENTS_MAX];
    while (!g_atomic_int_get(&proxy->stopped)) {
        int count =
            epoll_wait(proxy->epoll_fd, events, EVENTS_MAX, POLL_INTERVAL_MS);
        for (int i = 0; i < count; i++) {
            void *source = events[i].data.ptr;
            if (is_route(proxy, source)) {
                accept_connections(proxy, source);
            }
            else {
                read_socket(proxy, source);
            }
        }
        forward_bytes(proxy);
    }
    return NULL;
}

/// Initialises a proxy without routes.
void
fault_proxy_init(fault_proxy_t *proxy)
{
    *proxy = (fault_proxy_t){
        .epoll_fd = epoll_create1(EPOLL_CLOEXEC),
        .connections = g_ptr_array_new_with_free_func(free_connection),
    };
}

/// Adds a route from a listening address to a target at the same port. To be
/// called before the proxy is started. Ends the process if the address can't
/// be bound.
proxy_route_t *
fault_proxy_add(fault_proxy_t *proxy, const char *listen_address,
                const char *target, uint16_t port)
{
    g_assert(proxy->route_count < PROXY_ROUTES_MAX);
    proxy_route_t *route = &proxy->routes[proxy->route_count++];
    struct sockaddr_in address = parse_address(listen_address, port);
    int on = 1;
    *route = (proxy_route_t){.listen_fd = open_socket(),
                             .target = parse_address(target, port)};
    (void)setsockopt(route->listen_fd, SOL_SOCKET, SO_REUSEADDR, &on,
                     sizeof(on));
    if (bind(route->listen_fd, (const struct sockaddr *)&address,
             sizeof(address)) != 0 ||
        listen(route->listen_fd, LISTEN_BACKLOG) != 0)
    {
        g_error("proxy cannot listen on %s:%u: %s", listen_address, port,
                g_strerror(errno));
    }
    struct epoll_event event = {.events = EPOLLIN, .data.ptr = route};
    (void)epoll_ctl(proxy->epoll_fd, EPOLL_CTL_ADD, route->listen_fd, &event);
    return route;
}

void
fault_proxy_start(fault_proxy_t *proxy)
{
    proxy->thread = g_thread_new("proxy", run_proxy, proxy);
}

/// Stops the proxy's thread and closes all of its connections.
void
fault_proxy_finish(fault_proxy_t *proxy)
{
    g_atomic_int_set(&proxy->stopped, 1);
    g_thread_join(proxy->thread);
    g_ptr_array_unref(proxy->connections);
    for (int i = 0; i < proxy->route_count; i++) {
        close(proxy->routes[i].listen_fd);
    }
    close(proxy->epoll_fd);
}

/// Ends the delays, the stalls and the resets of new connections on a route.
void
proxy_route_clear_faults(proxy_route_t *route)
{
    g_atomic_int_set(&route->delay_ms, 0);
    g_atomic_int_set(&route->reset_new, 0);
    for (int i = 0; i < DIRECTION_COUNT; i++) {
        g_atomic_int_set(&route->stalled[i], 0);
    }
}
