/// @file
/// HTTP/1.1 server on top of h2o: one h2o context for all listeners of a
/// process, a bounded number of connections, ibisfield- headers in the error
/// responses that h2o sends by itself, and the detection of senders that have
/// disconnected.

#include "ibisfield/io/http_server.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <xxhash.h>

#include "ibisfield/base/error.h"
#include "ibisfield/base/log.h"
#include "ibisfield/base/metrics.h"
#include "ibisfield/io/listen.h"
#include "ibisfield/io/log_limit.h"
#include "ibisfield/io/message.h"
#include "ibisfield/io/socket_options.h"

/// The server closes idle connections after this time. It is above the idle
/// timeout of the HTTP client, so that the client closes first.
#define IDLE_TIMEOUT_MS 60000
/// Longest time from the first byte of a request to its last, and from the
/// accept of a connection to the end of its first request.
#define REQUEST_READ_TIMEOUT_US (10 * US_PER_S)
/// Interval of the check for requests that exceed REQUEST_READ_TIMEOUT_US.
#define INCOMPLETE_CHECK_INTERVAL_US US_PER_S
/// Interval of the check whether senders of requests in flight have
/// disconnected.
#define DISCONNECT_CHECK_INTERVAL_US (20 * US_PER_MS)
/// Time for which a stopping server waits for the first request of an accepted
/// connection.
#define FIRST_REQUEST_GRACE_US US_PER_S
/// Connections above connections_max that are accepted only to respond to
/// their requests with a refusal; further ones are closed at once.
#define REFUSED_CONNECTIONS_MAX 64

struct http_server {
    loop_t *loop;
    h2o_globalconf_t config;
    h2o_context_t context;
    GPtrArray *listeners;
    uint32_t connections_max;
    GQueue connections;
    GQueue requests; ///< in flight
    log_limit_t refusal_log_limit;
    loop_timer_t incomplete_timer;
    loop_timer_t disconnect_timer;
    bool draining;
    bool context_ready;
};

struct http_listener {
    http_server_t *server;
    http_listener_options_t options;
    h2o_socket_t *socket;
    h2o_hostconf_t *hosts[2]; ///< one host and the NULL that ends h2o's list
    h2o_accept_ctx_t accept;
};

typedef struct http_connection {
    http_listener_t *listener;
    h2o_socket_t *socket;
    GList *link;
    http_request_t *request;      ///< in flight
    bool handler_responding;      ///< the response being started comes from a
                                  ///< handler, not from h2o itself
    http_request_t *last_request; ///< its memory isn't released by h2o yet
    size_t response_end_bytes;    ///< bytes written up to the end of the
                                  ///< last response
    int64_t accepted_us;
    int64_t incomplete_since_us; ///< when the wait for a request or its rest
                                 ///< began; 0: no wait
    bool had_request;
    bool error_rewritten; ///< an error response of h2o itself was rewritten
                          ///< and counted
    bool over_limit;      ///< above connections_max; to be refused
} connection_t;

typedef struct {
    h2o_handler_t base;
    http_listener_t *listener;
} listener_handler_t;

typedef struct {
    h2o_ostream_t base;
    h2o_iovec_t body;
} refusal_ostream_t;

static connection_t *
connection_of(const h2o_req_t *request)
{
    h2o_socket_t *socket = request->conn->callbacks->get_socket(request->conn);
    return socket->on_close.data;
}

static void
unlink_request(http_request_t *request)
{
    if (request->link != NULL) {
        g_queue_delete_link(&request->listener->server->requests,
                            request->link);
        request->link = NULL;
    }
}

static void
report_disconnected(http_request_t *request)
{
    unlink_request(request);
    metric_increment(METRIC_SENDERS_GONE_TOTAL);
    log_debug("sender_gone", "listener=%s path=\"%.*s\"",
              request->listener->options.name, (int)request->path.len,
              request->path.data);
    http_listener_options_t *options = &request->listener->options;
    options->disconnected(options->context, request);
}

/// Called by h2o when it releases the memory of a request.
static void
dispose_request(void *memory)
{
    http_request_t *request = memory;
    connection_t *connection = request->connection;
    if (connection != NULL) {
        connection->response_end_bytes = connection->socket->bytes_written;
        connection->last_request = NULL;
    }
    if (!request->responded) {
        request->responded = true;
        report_disconnected(request);
    }
}

static uint32_t
hash_address(const struct in_addr *address)
{
    return MAX((uint32_t)XXH3_64bits(address, sizeof(*address)), 1);
}

/// Returns http_request_t.source_hash of requests that come from an IPv4
/// address.
uint32_t
http_source_hash(const char *address)
{
    struct in_addr parsed = {0};
    inet_pton(AF_INET, address, &parsed);
    return hash_address(&parsed);
}

static uint32_t
sender_hash(h2o_conn_t *connection)
{
    struct sockaddr_storage address;
    socklen_t size = connection->callbacks->get_peername(
        connection, (struct sockaddr *)&address);
    if (size < sizeof(struct sockaddr_in) || address.ss_family != AF_INET) {
        return 1; // all senders without an IPv4 address
    }
    return hash_address(&((const struct sockaddr_in *)&address)->sin_addr);
}

static slice_t
slice_of(h2o_iovec_t text)
{
    return (slice_t){text.base, text.len};
}

static http_request_t *
create_request(http_listener_t *listener, h2o_req_t *h2o_request)
{
    http_request_t *request = h2o_mem_alloc_shared(
        &h2o_request->pool, sizeof(*request), dispose_request);
    *request = (http_request_t){
        .listener = listener,
        .h2o_request = h2o_request,
        .method = slice_of(h2o_request->input.method),
        .path = slice_of(h2o_request->input.path),
        .host = slice_of(h2o_request->input.authority),
        .body = slice_of(h2o_request->entity),
        .source_hash = sender_hash(h2o_request->conn),
        .received_us = clock_now_us(listener->server->loop->clock),
        .header_count = h2o_request->headers.size,
    };
    request->headers = h2o_mem_alloc_pool(&h2o_request->pool,
                                          sizeof(http_header_t) *
                                              (h2o_request->headers.size + 1));
    for (size_t i = 0; i < h2o_request->headers.size; i++) {
        const h2o_header_t *header = &h2o_request->headers.entries[i];
        request->headers[i] =
            (http_header_t){slice_of(*header->name), slice_of(header->value)};
    }
    return request;
}

/// Refuses a request on a connection above connections_max.
static void
refuse_over_limit(http_request_t *request)
{
    metric_increment(METRIC_CONNECTIONS_REFUSED_TOTAL);
    http_server_t *server = request->listener->server;
    if (log_limit_allows(&server->refusal_log_limit, server->loop->clock)) {
        log_warning("connection_refused", "listener=%s max=%u",
                    request->listener->options.name, server->connections_max);
    }
    slice_t key = http_request_header(request, HEADER_KEY);
    refusal_t refusal = {
        .reason = REASON_OVERLOADED,
        .outcome = key.len > 0 ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN,
        .retry_after_ms = 1000,
    };
    message_t response;
    message_init_refusal(&response, &refusal);
    http_request_respond_and_close(request, response.status, response.headers,
                                   response.header_count,
                                   message_body(&response));
    message_finish(&response);
}

static void arm_disconnect_timer(http_server_t *server);

static int
on_request(h2o_handler_t *handler, h2o_req_t *h2o_request)
{
    http_listener_t *listener = ((listener_handler_t *)handler)->listener;
    http_server_t *server = listener->server;
    connection_t *connection = connection_of(h2o_request);
    http_request_t *request = create_request(listener, h2o_request);
    request->connection = connection;
    connection->last_request = request;
    connection->request = request;
    connection->had_request = true;
    connection->incomplete_since_us = 0;
    g_queue_push_tail(&server->requests, request);
    request->link = g_queue_peek_tail_link(&server->requests);
    if (connection->over_limit) {
        refuse_over_limit(request);
        return 0;
    }
    arm_disconnect_timer(server);
    listener->options.handle(listener->options.context, request);
    return 0;
}

static reason_t
reason_of_h2o_status(int status)
{
    switch (status) {
    case 413:
        return REASON_REQUEST_TOO_LARGE;
    case 404:
        return REASON_NO_SUCH_KIND;
    default:
        return REASON_MALFORMED;
    }
}

static void
send_refusal_body(h2o_ostream_t *ostream, h2o_req_t *h2o_request,
                  h2o_iovec_t *buffers, size_t count, h2o_send_state_t state)
{
    (void)buffers;
    (void)count;
    refusal_ostream_t *refusal = (refusal_ostream_t *)ostream;
    h2o_ostream_send_next(ostream, h2o_request, &refusal->body, 1, state);
}

static void
copy_headers(h2o_req_t *h2o_request, const http_header_t *headers,
             size_t count)
{
    for (size_t i = 0; i < count; i++) {
        h2o_iovec_t name = h2o_strdup(&h2o_request->pool, headers[i].name.data,
                                      headers[i].name.len);
        h2o_iovec_t value = h2o_strdup(
            &h2o_request->pool, headers[i].value.data, headers[i].value.len);
        h2o_add_header_by_str(&h2o_request->pool, &h2o_request->res.headers,
                              name.base, name.len, 1, NULL, value.base,
                              value.len);
    }
}

static void
record_refusal(const connection_t *connection, int status, reason_t reason)
{
    metric_increment(reason == REASON_REQUEST_TOO_LARGE
                         ? METRIC_REQUESTS_TOO_LARGE_TOTAL
                         : METRIC_REQUESTS_MALFORMED_TOTAL);
    http_server_t *server = connection->listener->server;
    if (log_limit_allows(&server->refusal_log_limit, server->loop->clock)) {
        log_warning("request_refused", "listener=%s status=%d reason=%s",
                    connection->listener->options.name, status,
                    reason_token(reason));
    }
}

/// Replaces headers and body of an error response of h2o itself by those of a
/// refusal. The request never reached a handler, so this node hasn't run it;
/// with a key the outcome is unknown, as an earlier request may have run.
static void
rewrite_h2o_error(h2o_filter_t *filter, h2o_req_t *h2o_request,
                  h2o_ostream_t **slot)
{
    (void)filter;
    connection_t *connection = connection_of(h2o_request);
    if (connection->handler_responding) {
        h2o_setup_next_ostream(h2o_request, slot);
        return;
    }
    reason_t reason = reason_of_h2o_status(h2o_request->res.status);
    connection->error_rewritten = true;
    record_refusal(connection, h2o_request->res.status, reason);
    refusal_t refusal = {.reason = reason, .outcome = OUTCOME_NOT_RUN};
    if (h2o_find_header_by_str(&h2o_request->headers, HEADER_KEY,
                               strlen(HEADER_KEY), -1) != -1)
    {
        refusal.outcome = OUTCOME_UNKNOWN;
    }
    message_t response;
    message_init_refusal(&response, &refusal);
    slice_t body = message_body(&response);
    h2o_request->res.headers = (h2o_headers_t){0};
    copy_headers(h2o_request, response.headers, response.header_count);
    h2o_request->res.content_length = body.len;
    refusal_ostream_t *ostream = (refusal_ostream_t *)h2o_add_ostream(
        h2o_request, sizeof(*ostream), slot);
    ostream->base.do_send = send_refusal_body;
    ostream->body = h2o_strdup(&h2o_request->pool, body.data, body.len);
    message_finish(&response);
    h2o_setup_next_ostream(h2o_request, &ostream->base.next);
}

/// Frees the connection. Counts a refusal if h2o has responded to bytes that
/// it can't parse: it then writes a fixed 400 that bypasses all filters, which
/// is detected by written bytes that belong to no request.
static void
on_connection_closed(void *data)
{
    connection_t *connection = data;
    if (connection->last_request != NULL) {
        connection->last_request->connection = NULL;
    }
    else if (connection->socket->bytes_written >
                 connection->response_end_bytes &&
             !connection->error_rewritten)
    {
        record_refusal(connection, 400, REASON_MALFORMED);
    }
    http_server_t *server = connection->listener->server;
    g_queue_delete_link(&server->connections, connection->link);
    metric_set(METRIC_CONNECTIONS, server->connections.length);
    g_free(connection);
}

static void
on_accept(h2o_socket_t *listening, const char *error)
{
    if (error != NULL) {
        return;
    }
    http_listener_t *listener = listening->data;
    http_server_t *server = listener->server;
    h2o_socket_t *socket;
    while ((socket = h2o_evloop_socket_accept(listening)) != NULL) {
        uint32_t count = server->connections.length;
        if (count >= server->connections_max + REFUSED_CONNECTIONS_MAX) {
            metric_increment(METRIC_CONNECTIONS_REFUSED_TOTAL);
            h2o_socket_close(socket);
            continue;
        }
        connection_t *connection = g_new0(connection_t, 1);
        connection->listener = listener;
        connection->socket = socket;
        connection->accepted_us = clock_now_us(server->loop->clock);
        connection->over_limit = count >= server->connections_max &&
                                 !listener->options.exempt_from_limit;
        g_queue_push_tail(&server->connections, connection);
        connection->link = g_queue_peek_tail_link(&server->connections);
        metric_set(METRIC_CONNECTIONS, server->connections.length);
        socket_set_options(h2o_socket_get_fd(socket));
        socket->on_close.cb = on_connection_closed;
        socket->on_close.data = connection;
        h2o_accept(&listener->accept, socket);
    }
}

/// Closes a connection whose request isn't complete within the timeout.
static void
check_incomplete(connection_t *connection, int64_t now_us)
{
    bool incomplete =
        connection->request == NULL &&
        (!connection->had_request || connection->socket->input->size > 0);
    if (!incomplete) {
        connection->incomplete_since_us = 0;
        return;
    }
    if (connection->incomplete_since_us == 0) {
        connection->incomplete_since_us = now_us;
    }
    if (now_us - connection->incomplete_since_us < REQUEST_READ_TIMEOUT_US) {
        return;
    }
    metric_increment(METRIC_CONNECTIONS_HALF_OPEN_TOTAL);
    http_server_t *server = connection->listener->server;
    if (log_limit_allows(&server->refusal_log_limit, server->loop->clock)) {
        log_warning("half_open_connection_closed", "listener=%s bytes=%zu",
                    connection->listener->options.name,
                    connection->socket->input->size);
    }
    // h2o sees the end of the stream and closes the connection.
    shutdown(h2o_socket_get_fd(connection->socket), SHUT_RDWR);
}

static void
check_incomplete_requests(void *context)
{
    http_server_t *server = context;
    int64_t now_us = clock_now_us(server->loop->clock);
    for (GList *link = server->connections.head; link != NULL;
         link = link->next) {
        check_incomplete(link->data, now_us);
    }
    loop_timer_start(server->loop, &server->incomplete_timer,
                     INCOMPLETE_CHECK_INTERVAL_US, check_incomplete_requests,
                     server);
}

static bool
has_disconnected(const http_request_t *request)
{
    h2o_socket_t *socket = request->h2o_request->conn->callbacks->get_socket(
        request->h2o_request->conn);
    char byte;
    ssize_t got =
        recv(h2o_socket_get_fd(socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK &&
                        errno != EINTR);
}

/// Reports that the sender has closed its connection, and closes it on this
/// side. h2o doesn't notice by itself, because it doesn't read a connection
/// while a handler works on its request. The response only makes h2o close the
/// connection; a sender that has closed only its sending direction may read
/// it.
static void
end_disconnected_request(http_request_t *request)
{
    if (request->responded) {
        return;
    }
    report_disconnected(request);
    http_request_respond_and_close(request, 502, NULL, 0, (slice_t){NULL, 0});
}

static void
check_disconnected(void *context)
{
    http_server_t *server = context;
    // Collected first: a handler may respond to other requests when it is
    // notified, which changes server->requests.
    GPtrArray *disconnected_requests = g_ptr_array_new();
    for (GList *link = server->requests.head; link != NULL; link = link->next)
    {
        if (has_disconnected(link->data)) {
            g_ptr_array_add(disconnected_requests, link->data);
        }
    }
    for (guint i = 0; i < disconnected_requests->len; i++) {
        end_disconnected_request(disconnected_requests->pdata[i]);
    }
    g_ptr_array_unref(disconnected_requests);
    if (server->requests.length > 0) {
        arm_disconnect_timer(server);
    }
}

static void
arm_disconnect_timer(http_server_t *server)
{
    if (server->disconnect_timer.position == NULL) {
        loop_timer_start(server->loop, &server->disconnect_timer,
                         DISCONNECT_CHECK_INTERVAL_US, check_disconnected,
                         server);
    }
}

/// Creates a server without listeners.
http_server_t *
http_server_new(loop_t *loop, uint32_t connections_max,
                size_t max_request_bytes)
{
    http_server_t *server = g_new0(http_server_t, 1);
    server->loop = loop;
    server->connections_max = connections_max;
    server->listeners = g_ptr_array_new();
    h2o_config_init(&server->config);
    server->config.server_name = h2o_iovec_init(NULL, 0);
    server->config.max_request_entity_size = max_request_bytes;
    server->config.http1.req_timeout = IDLE_TIMEOUT_MS;
    server->config.http1.upgrade_to_http2 = 0;
    loop_timer_start(loop, &server->incomplete_timer,
                     INCOMPLETE_CHECK_INTERVAL_US, check_incomplete_requests,
                     server);
    return server;
}

static void
register_handler(http_listener_t *listener)
{
    h2o_pathconf_t *path =
        h2o_config_register_path(listener->hosts[0], "/", 0);
    listener_handler_t *handler =
        (listener_handler_t *)h2o_create_handler(path, sizeof(*handler));
    handler->base.on_req = on_request;
    handler->listener = listener;
    h2o_filter_t *filter = h2o_create_filter(path, sizeof(*filter));
    filter->on_setup_ostream = rewrite_h2o_error;
    filter =
        h2o_create_filter(&listener->hosts[0]->fallback_path, sizeof(*filter));
    filter->on_setup_ostream = rewrite_h2o_error;
}

/// Opens a listener. All listeners must be opened before http_server_start().
bool
http_server_listen(http_server_t *server,
                   const http_listener_options_t *options, GError **error)
{
    int fd = listen_open(&options->endpoint);
    if (fd < 0) {
        set_step_error(error, IBISFIELD_ERROR_IO, "listen", options->name,
                       "%s:%u: %s", options->endpoint.address,
                       options->endpoint.port, g_strerror(errno));
        return false;
    }
    http_listener_t *listener = g_new0(http_listener_t, 1);
    listener->server = server;
    listener->options = *options;
    listener->hosts[0] = h2o_config_register_host(
        &server->config, h2o_iovec_init(options->name, strlen(options->name)),
        65535);
    register_handler(listener);
    listener->accept =
        (h2o_accept_ctx_t){.ctx = &server->context, .hosts = listener->hosts};
    listener->socket = h2o_evloop_socket_create(server->loop->h2o, fd,
                                                H2O_SOCKET_FLAG_DONT_READ);
    listener->socket->data = listener;
    g_ptr_array_add(server->listeners, listener);
    return true;
}

/// Starts accepting connections on all listeners.
void
http_server_start(http_server_t *server)
{
    h2o_context_init(&server->context, server->loop->h2o, &server->config);
    server->context_ready = true;
    for (guint i = 0; i < server->listeners->len; i++) {
        http_listener_t *listener = server->listeners->pdata[i];
        h2o_socket_read_start(listener->socket, on_accept);
    }
}

/// Makes each further response close its connection.
void
http_server_set_draining(http_server_t *server)
{
    server->draining = true;
}

/// Makes the kernel drop new connections to all listeners, while handshakes in
/// progress still complete.
void
http_server_drop_new_connections(http_server_t *server)
{
    for (guint i = 0; i < server->listeners->len; i++) {
        http_listener_t *listener = server->listeners->pdata[i];
        if (!listen_drop_new_connections(h2o_socket_get_fd(listener->socket)))
        {
            log_warning("listener_filter_failed", "listener=%s error=\"%s\"",
                        listener->options.name, g_strerror(errno));
        }
    }
}

/// Accepts the connections that are already established and closes the
/// listeners.
void
http_server_stop_listening(http_server_t *server)
{
    for (guint i = 0; i < server->listeners->len; i++) {
        http_listener_t *listener = server->listeners->pdata[i];
        if (listener->socket != NULL) {
            on_accept(listener->socket, NULL);
            h2o_socket_read_stop(listener->socket);
            h2o_socket_close(listener->socket);
            listener->socket = NULL;
        }
    }
}

/// Returns the number of requests without a response, long polls excluded.
uint32_t
http_server_in_flight(const http_server_t *server)
{
    return server->requests.length;
}

static bool
may_send_first_request(const connection_t *connection, int64_t now_us)
{
    return !connection->had_request &&
           now_us - connection->accepted_us < FIRST_REQUEST_GRACE_US;
}

/// Returns whether no request is in flight or being read, no response is being
/// written, and no new connection may still send its first request.
bool
http_server_is_idle(const http_server_t *server)
{
    int64_t now_us = clock_now_us(server->loop->clock);
    for (const GList *link = server->connections.head; link != NULL;
         link = link->next)
    {
        const connection_t *connection = link->data;
        if (connection->socket->input->size > 0 ||
            may_send_first_request(connection, now_us) ||
            h2o_socket_is_writing(connection->socket))
        {
            return false;
        }
    }
    return server->requests.length == 0;
}

/// Stops the server at the end of the process. Connections stay open until the
/// process exits, because h2o has no function to close them.
void
http_server_free(http_server_t *server)
{
    http_server_stop_listening(server);
    loop_timer_stop(server->loop, &server->incomplete_timer);
    loop_timer_stop(server->loop, &server->disconnect_timer);
}

/// Marks a request that waits for an event and is responded to within seconds
/// in any case. It doesn't count as in flight, and the server doesn't check
/// whether its sender has disconnected.
void
http_request_set_long_poll(http_request_t *request)
{
    unlink_request(request);
}

/// Returns the value of the first header with this name (lower case); its data
/// is NULL if there is none.
slice_t
http_request_header(const http_request_t *request, const char *name)
{
    return http_header_find(request->headers, request->header_count, name);
}

static const char *
reason_phrase(int status)
{
    switch (status / 100) {
    case 2:
        return "OK";
    case 3:
        return "Redirect";
    case 4:
        return "Refused";
    default:
        return "Failed";
    }
}

/// Responds to the request, which is invalid afterwards. All slices are
/// copied.
void
http_request_respond(http_request_t *request, int status,
                     const http_header_t *headers, size_t header_count,
                     slice_t body)
{
    static h2o_generator_t generator = {NULL, NULL};
    h2o_req_t *h2o_request = request->h2o_request;
    unlink_request(request);
    request->responded = true;
    if (request->listener->server->draining) {
        h2o_request->http1_is_persistent = 0;
    }
    h2o_request->res.status = status;
    h2o_request->res.reason = reason_phrase(status);
    h2o_request->res.content_length = body.len;
    copy_headers(h2o_request, headers, header_count);
    h2o_iovec_t content = h2o_strdup(&h2o_request->pool, body.data, body.len);
    bool is_head = slice_equal_string(request->method, "HEAD");
    connection_t *connection = connection_of(h2o_request);
    connection->request = NULL;
    connection->handler_responding = true;
    h2o_start_response(h2o_request, &generator);
    connection->handler_responding = false;
    h2o_send(h2o_request, &content, is_head || body.len == 0 ? 0 : 1,
             H2O_SEND_STATE_FINAL);
}

/// Responds to the request and closes its connection.
void
http_request_respond_and_close(http_request_t *request, int status,
                               const http_header_t *headers,
                               size_t header_count, slice_t body)
{
    request->h2o_request->http1_is_persistent = 0;
    http_request_respond(request, status, headers, header_count, body);
}
