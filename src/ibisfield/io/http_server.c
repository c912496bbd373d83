/// @file
/// HTTP/1.1 server over h2o's sockets: bounded connections, requests that a
/// sender sends ahead of the responses to earlier ones, responses in the order
/// of the requests, and the detection of senders that have disconnected.
///
/// A connection reads ahead while its requests are served. Requests that the
/// listener declares concurrent are served side by side, any other one alone.
/// A connection is closed only behind the response to the last request that
/// was handed to a handler; what was sent behind it isn't served.

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
#include "ibisfield/io/request_reader.h"
#include "ibisfield/io/socket_options.h"

/// The server closes idle connections after this time. It is above the idle
/// timeout of the HTTP client, so that the client closes first.
#define IDLE_TIMEOUT_US (60 * US_PER_S)
/// Longest time from the first byte of a request to the end of its head, and
/// from the accept of a connection to the end of its first head.
#define REQUEST_READ_TIMEOUT_US (10 * US_PER_S)
/// A body has to grow by this many bytes in that time, or end. So slow senders
/// are read to their end, and a byte now and then doesn't keep a body alive.
#define BODY_PROGRESS_BYTES 4096
/// A connection whose sender doesn't read responses is closed after this time.
#define WRITE_TIMEOUT_US (60 * US_PER_S)
/// How long a connection that this side has closed is read before it is given
/// up. Unread bytes would reset the connection, and the sender might lose the
/// last response.
#define LINGER_US US_PER_S
/// Interval of the check for connections that exceed one of these times.
#define TIMEOUT_CHECK_INTERVAL_US (250 * US_PER_MS)
/// A sender that acknowledges nothing for this time is unresponsive.
#define UNRESPONSIVE_US US_PER_S
/// A connection isn't read while it holds this many unparsed bytes.
#define INPUT_BYTES_MAX ((size_t)32 << 10)
/// Time for which a stopping server waits for the first request of an accepted
/// connection.
#define FIRST_REQUEST_GRACE_US US_PER_S
/// Connections above connections_max that are accepted only to respond to
/// their requests with a refusal; further ones are closed at once.
#define REFUSED_CONNECTIONS_MAX 64
/// Retry-After of refusals for want of connections or memory.
#define RETRY_AFTER_MS 1000
/// Memory of a connection beside what is counted: its buffers for heads, and
/// what the allocator adds.
#define CONNECTION_OVERHEAD_BYTES 2048
/// Connections that hold less give nothing back worth closing them.
#define EVICTED_BYTES_MIN 4096
/// After a search that found no connection to evict, the next one waits for
/// this time: a search visits all connections.
#define RELIEF_PAUSE_US US_PER_MS
/// Requests with a body above this size don't start while memory is scarce.
#define SCARCE_BODY_BYTES_MAX 4096
/// A connection without requests may be closed for a new one if it has been
/// idle for this time, when all are in use.
#define REPLACED_IDLE_US US_PER_S

struct http_server {
    loop_t *loop;
    GPtrArray *listeners;
    uint32_t connections_max;
    size_t max_request_bytes;
    GQueue connections;
    uint32_t in_flight; ///< requests without a response, long polls excluded
    byte_account_t *account; ///< NULL: memory isn't limited
    bool memory_scarce;      ///< as last logged
    uint32_t evicted;        ///< connections since then
    int64_t relief_from_us;  ///< no search for connections to evict before
    log_limit_t refusal_log_limit;
    loop_timer_t timeout_timer;
    bool draining;
};

struct http_listener {
    http_server_t *server;
    http_listener_options_t options;
    h2o_socket_t *socket;
};

typedef struct connection connection_t;

/// A request and, once it has one, its response.
typedef struct {
    http_request_t request; ///< what the handler gets
    connection_t *connection;
    request_message_t message; ///< owns the texts of the request
    bool started;              ///< handed to the handler
    bool in_flight;            ///< counted in the server's in_flight
    bool responded;
    bool is_concurrent;
    GString *head; ///< of the response, without its last line end
    GByteArray *body;
} exchange_t;

struct connection {
    http_listener_t *listener;
    h2o_socket_t *socket;
    GList *link;
    request_reader_t reader;
    /// Requests in the order sent, until their responses are written. Only the
    /// last one may not have been started.
    GQueue exchanges;
    GString *writing;     ///< NULL: nothing is being written
    size_t held_bytes;    ///< of responses that wait for their turn
    size_t accounted;     ///< part of the server's account
    size_t body_mark;     ///< size of the body at partial_since_us
    uint32_t source_hash; ///< of its requests
    int64_t accepted_us;
    int64_t idle_since_us;    ///< end of the last response
    int64_t partial_since_us; ///< when the wait for a request or its rest
                              ///< began; 0: no wait
    int64_t write_since_us;
    int64_t linger_since_us; ///< 0: not closed by this side
    bool had_request;
    bool advancing;     ///< advance() is running
    bool reads_no_more; ///< no further request is read; one that was read
                        ///< may still be started
    bool ended;         ///< the last response has been handed to the socket
    bool peer_closed;
    bool reading_paused;
    bool continue_sent;   ///< for the request that is being read
    bool over_limit;      ///< above connections_max; to be refused
    bool may_read_slowly; ///< the kernel doesn't detect that the sender is
                          ///< unresponsive
};

static exchange_t *
exchange_of(http_request_t *request)
{
    return (exchange_t *)request;
}

static void on_readable(h2o_socket_t *socket, const char *error);
static void advance(connection_t *connection);

/// Returns the bytes of memory that a connection takes.
static size_t
held_by(const connection_t *connection)
{
    const h2o_buffer_t *input = connection->socket->input;
    size_t bytes = sizeof(*connection) + CONNECTION_OVERHEAD_BYTES +
                   request_reader_held_bytes(&connection->reader) +
                   (input->size == 0 ? 0 : input->capacity) +
                   connection->held_bytes;
    if (connection->writing != NULL) {
        bytes += connection->writing->allocated_len;
    }
    for (const GList *link = connection->exchanges.head; link != NULL;
         link = link->next)
    {
        const exchange_t *exchange = link->data;
        bytes +=
            sizeof(*exchange) + request_message_held_bytes(&exchange->message);
    }
    return bytes;
}

/// Brings the account up to date with what the connection takes.
static void
update_account(connection_t *connection)
{
    byte_account_t *account = connection->listener->server->account;
    if (account != NULL) {
        size_t held = held_by(connection);
        byte_account_change(account, connection->accounted, held);
        connection->accounted = held;
    }
}

static void
free_exchange(exchange_t *exchange)
{
    if (exchange->message.text != NULL) {
        request_message_finish(&exchange->message);
    }
    if (exchange->head != NULL) {
        g_string_free(exchange->head, TRUE);
        g_byte_array_unref(exchange->body);
    }
    g_free(exchange);
}

static void
set_in_flight(exchange_t *exchange, bool in_flight)
{
    if (exchange->in_flight != in_flight) {
        exchange->in_flight = in_flight;
        exchange->connection->listener->server->in_flight +=
            in_flight ? 1 : (uint32_t)-1;
    }
}

static void
report_disconnected(exchange_t *exchange)
{
    set_in_flight(exchange, false);
    exchange->responded = true;
    http_listener_options_t *options =
        &exchange->connection->listener->options;
    metric_increment(METRIC_SENDERS_GONE_TOTAL);
    log_debug("sender_gone", "listener=%s path=\"%.*s\"", options->name,
              (int)exchange->request.path.len, exchange->request.path.data);
    options->disconnected(options->context, &exchange->request);
}

/// Reports all requests of the connection that have no response yet as
/// disconnected, and drops them.
static void
drop_exchanges(connection_t *connection)
{
    exchange_t *exchange;
    bool was_advancing = connection->advancing;
    // A handler may respond to other requests of the connection meanwhile.
    connection->advancing = true;
    while ((exchange = g_queue_pop_head(&connection->exchanges)) != NULL) {
        if (exchange->started && !exchange->responded) {
            report_disconnected(exchange);
        }
        free_exchange(exchange);
    }
    connection->advancing = was_advancing;
    connection->held_bytes = 0;
}

static void
free_connection(connection_t *connection)
{
    http_server_t *server = connection->listener->server;
    drop_exchanges(connection);
    byte_account_change(server->account, connection->accounted, 0);
    connection->socket->data = NULL;
    h2o_socket_close(connection->socket);
    request_reader_finish(&connection->reader);
    if (connection->writing != NULL) {
        g_string_free(connection->writing, TRUE);
    }
    g_queue_delete_link(&server->connections, connection->link);
    metric_set(METRIC_CONNECTIONS, server->connections.length);
    g_free(connection);
}

static int64_t
now_us(const connection_t *connection)
{
    return clock_now_us(connection->listener->server->loop->clock);
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
sender_hash(h2o_socket_t *socket)
{
    struct sockaddr_storage address;
    socklen_t size =
        h2o_socket_getpeername(socket, (struct sockaddr *)&address);
    if (size < sizeof(struct sockaddr_in) || address.ss_family != AF_INET) {
        return 1; // all senders without an IPv4 address
    }
    return hash_address(&((const struct sockaddr_in *)&address)->sin_addr);
}

/* Responses. */

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

static bool
has_no_body(const exchange_t *exchange, int status)
{
    return slice_equal_string(exchange->request.method, "HEAD") ||
           status / 100 == 1 || status == 204 || status == 304;
}

static void
set_response(exchange_t *exchange, int status, const http_header_t *headers,
             size_t header_count, slice_t body)
{
    GString *head = g_string_sized_new(512);
    g_string_append_printf(head, "HTTP/1.1 %d %s\r\n", status,
                           reason_phrase(status));
    if (status / 100 != 1 && status != 204 && status != 304) {
        g_string_append_printf(head, "content-length: %zu\r\n", body.len);
    }
    for (size_t i = 0; i < header_count; i++) {
        g_string_append_len(head, headers[i].name.data,
                            (gssize)headers[i].name.len);
        g_string_append(head, ": ");
        g_string_append_len(head, headers[i].value.data,
                            (gssize)headers[i].value.len);
        g_string_append(head, "\r\n");
    }
    exchange->head = head;
    exchange->body = g_byte_array_new();
    if (body.len > 0 && !has_no_body(exchange, status)) {
        g_byte_array_append(exchange->body, (const guint8 *)body.data,
                            (guint)body.len);
    }
    exchange->responded = true;
    if (exchange->message.text != NULL) {
        request_message_drop_body(&exchange->message);
    }
    exchange->connection->held_bytes += head->len + exchange->body->len;
}

/// Returns whether a request behind the first one has been started.
static bool
has_started_successor(const connection_t *connection)
{
    const GList *second = connection->exchanges.head->next;
    return second != NULL && ((const exchange_t *)second->data)->started;
}

/// Returns whether the response to the first request is the last one. A
/// connection that is to be closed still gets the responses to all requests
/// that were started.
static bool
is_last_response(const connection_t *connection)
{
    return (connection->reads_no_more ||
            connection->listener->server->draining) &&
           !has_started_successor(connection);
}

/// Moves the responses whose turn it is to @p out.
static void
collect_responses(connection_t *connection, GString *out)
{
    exchange_t *exchange;
    while (!connection->ended &&
           (exchange = g_queue_peek_head(&connection->exchanges)) != NULL &&
           exchange->responded)
    {
        connection->ended = is_last_response(connection);
        connection->held_bytes -= exchange->head->len + exchange->body->len;
        g_string_append_len(out, exchange->head->str,
                            (gssize)exchange->head->len);
        if (connection->ended) {
            g_string_append(out, "connection: close\r\n");
        }
        else if (exchange->message.http_1_0) {
            g_string_append(out, "connection: keep-alive\r\n");
        }
        g_string_append(out, "\r\n");
        g_string_append_len(out, (const char *)exchange->body->data,
                            exchange->body->len);
        g_queue_pop_head(&connection->exchanges);
        free_exchange(exchange);
    }
    if (connection->ended) {
        connection->reads_no_more = true;
        drop_exchanges(connection); // One that wasn't started, if any.
    }
}

static void on_written(h2o_socket_t *socket, const char *error);

static void
write_bytes(connection_t *connection, GString *bytes)
{
    connection->writing = bytes;
    connection->write_since_us = now_us(connection);
    h2o_iovec_t buffer = h2o_iovec_init(bytes->str, bytes->len);
    h2o_socket_write(connection->socket, &buffer, 1, on_written);
}

/// Writes the responses whose turn it is.
static void
write_responses(connection_t *connection)
{
    if (connection->writing != NULL) {
        return;
    }
    GString *out = g_string_sized_new(1024);
    collect_responses(connection, out);
    if (out->len == 0) {
        g_string_free(out, TRUE);
        return;
    }
    write_bytes(connection, out);
}

/// Closes the sending direction, and reads until the sender closes too.
static void
start_linger(connection_t *connection)
{
    connection->linger_since_us = now_us(connection);
    connection->reads_no_more = true;
    shutdown(h2o_socket_get_fd(connection->socket), SHUT_WR);
    h2o_buffer_consume(&connection->socket->input,
                       connection->socket->input->size);
    h2o_socket_read_start(connection->socket, on_readable);
}

static void
on_written(h2o_socket_t *socket, const char *error)
{
    connection_t *connection = socket->data;
    if (connection == NULL) {
        return;
    }
    g_string_free(connection->writing, TRUE);
    connection->writing = NULL;
    connection->idle_since_us = now_us(connection);
    if (error != NULL || connection->peer_closed) {
        free_connection(connection);
    }
    else if (connection->ended) {
        start_linger(connection);
    }
    else {
        advance(connection);
    }
}

/// Responds to the request, which is invalid afterwards. All slices are
/// copied.
void
http_request_respond(http_request_t *request, int status,
                     const http_header_t *headers, size_t header_count,
                     slice_t body)
{
    exchange_t *exchange = exchange_of(request);
    set_in_flight(exchange, false);
    set_response(exchange, status, headers, header_count, body);
    advance(exchange->connection);
}

/// Responds to the request and closes its connection. Requests of the
/// connection that are being served get their responses first.
void
http_request_respond_and_close(http_request_t *request, int status,
                               const http_header_t *headers,
                               size_t header_count, slice_t body)
{
    exchange_of(request)->connection->reads_no_more = true;
    http_request_respond(request, status, headers, header_count, body);
}

/* Refusals by the server itself. */

static void
log_refused_request(const connection_t *connection, int status,
                    reason_t reason)
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

/// Queues a refusal for a request that can't be read, behind the requests that
/// were sent before it. The request never reached a handler, so this node
/// hasn't run it; with a key the outcome is unknown, as an earlier request may
/// have run. What follows it on the connection can't be read either.
static void
refuse_unreadable(connection_t *connection, reason_t reason)
{
    refusal_t refusal = {
        .reason = reason,
        .outcome = request_reader_has_header(&connection->reader, HEADER_KEY)
                       ? OUTCOME_UNKNOWN
                       : OUTCOME_NOT_RUN,
        .retry_after_ms = reason == REASON_OVERLOADED ? RETRY_AFTER_MS : 0,
    };
    message_t response;
    message_init_refusal(&response, &refusal);
    log_refused_request(connection, response.status, reason);
    exchange_t *exchange = g_new0(exchange_t, 1);
    exchange->connection = connection;
    exchange->started = true;
    g_queue_push_tail(&connection->exchanges, exchange);
    connection->reads_no_more = true;
    set_response(exchange, response.status, response.headers,
                 response.header_count, message_body(&response));
    message_finish(&response);
}

/// Refuses a request before it reaches a handler, and closes its connection.
static void
refuse_and_close(http_request_t *request)
{
    slice_t key = http_request_header(request, HEADER_KEY);
    refusal_t refusal = {
        .reason = REASON_OVERLOADED,
        .outcome = key.len > 0 ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN,
        .retry_after_ms = RETRY_AFTER_MS,
    };
    message_t response;
    message_init_refusal(&response, &refusal);
    http_request_respond_and_close(request, response.status, response.headers,
                                   response.header_count,
                                   message_body(&response));
    message_finish(&response);
}

/// Refuses a request on a connection above connections_max.
static void
refuse_over_limit(http_request_t *request)
{
    metric_increment(METRIC_CONNECTIONS_REFUSED_TOTAL);
    http_listener_t *listener = exchange_of(request)->connection->listener;
    http_server_t *server = listener->server;
    if (log_limit_allows(&server->refusal_log_limit, server->loop->clock)) {
        log_warning("connection_refused", "listener=%s max=%u",
                    listener->options.name, server->connections_max);
    }
    refuse_and_close(request);
}

/* Requests. */

/// Returns whether the last request, which has not been started, may be served
/// now.
static bool
may_start(const connection_t *connection, const exchange_t *last)
{
    if (connection->ended) {
        return false;
    }
    size_t waiting_bytes =
        connection->held_bytes +
        (connection->writing == NULL ? 0 : connection->writing->len);
    if (waiting_bytes >= HTTP_HELD_BYTES_MAX) {
        return false;
    }
    if (connection->exchanges.length == 1) {
        return true;
    }
    // While the server drains, each response is the last one of its
    // connection, if nothing behind it has been started.
    if (!last->is_concurrent || connection->listener->server->draining ||
        connection->exchanges.length > HTTP_PIPELINE_MAX)
    {
        return false;
    }
    const GList *previous = connection->exchanges.tail->prev;
    return ((const exchange_t *)previous->data)->is_concurrent;
}

static void
start_exchange(connection_t *connection, exchange_t *exchange)
{
    http_listener_options_t *options = &connection->listener->options;
    exchange->started = true;
    set_in_flight(exchange, true);
    if (connection->over_limit) {
        refuse_over_limit(&exchange->request);
        return;
    }
    if (exchange->request.body.len > SCARCE_BODY_BYTES_MAX &&
        !options->exempt_from_limit &&
        byte_account_is_scarce(connection->listener->server->account))
    {
        metric_increment(METRIC_REQUESTS_REFUSED_MEMORY_TOTAL);
        refuse_and_close(&exchange->request);
        return;
    }
    options->handle(options->context, &exchange->request);
}

/// Adds the request that the reader has completed.
static void
add_exchange(connection_t *connection)
{
    exchange_t *exchange = g_new0(exchange_t, 1);
    exchange->connection = connection;
    connection->continue_sent = false;
    connection->had_request = true;
    connection->partial_since_us = 0;
    connection->body_mark = 0;
    if (!request_reader_take(&connection->reader, &exchange->message)) {
        g_free(exchange);
        refuse_unreadable(connection, REASON_MALFORMED);
        return;
    }
    const request_message_t *message = &exchange->message;
    exchange->request = (http_request_t){
        .method = message->method,
        .path = message->path,
        .host = message->host,
        .body = message->body,
        .body_bytes = message->body_bytes,
        .headers = message->headers,
        .header_count = message->header_count,
        .source_hash = connection->source_hash,
        .received_us = now_us(connection),
    };
    const http_listener_options_t *options = &connection->listener->options;
    exchange->is_concurrent =
        options->is_concurrent != NULL &&
        options->is_concurrent(options->context, &exchange->request);
    if (connection->exchanges.length > 0) {
        metric_increment(METRIC_REQUESTS_PIPELINED_TOTAL);
    }
    connection->reads_no_more |= !message->keep_alive;
    g_queue_push_tail(&connection->exchanges, exchange);
}

/// Sends the interim response that the sender of a body waits for, unless
/// responses to earlier requests come first.
static void
send_continue(connection_t *connection)
{
    if (!connection->reader.expects_continue || connection->continue_sent ||
        connection->exchanges.length > 0 || connection->writing != NULL)
    {
        return;
    }
    connection->continue_sent = true;
    write_bytes(connection, g_string_new("HTTP/1.1 100 Continue\r\n\r\n"));
}

/// Reads the next request if none waits to be started. Returns whether one was
/// added.
static bool
read_next(connection_t *connection)
{
    h2o_socket_t *socket = connection->socket;
    const exchange_t *last = g_queue_peek_tail(&connection->exchanges);
    if (connection->reads_no_more || (last != NULL && !last->started) ||
        socket->input->size == 0)
    {
        return false;
    }
    request_reader_t *reader = &connection->reader;
    size_t used = request_reader_feed(
        reader, (slice_t){socket->input->bytes, socket->input->size});
    h2o_buffer_consume(&socket->input, used);
    switch (reader->state) {
    case REQUEST_PARTIAL:
        send_continue(connection);
        return false;
    case REQUEST_COMPLETE:
        add_exchange(connection);
        return true;
    case REQUEST_TOO_LARGE:
        refuse_unreadable(connection, REASON_REQUEST_TOO_LARGE);
        return true;
    default:
        refuse_unreadable(connection, REASON_MALFORMED);
        return true;
    }
}

/// Starts the last request if it may be served now. Returns whether it was
/// started.
static bool
start_last(connection_t *connection)
{
    exchange_t *last = g_queue_peek_tail(&connection->exchanges);
    if (last == NULL || last->started || !may_start(connection, last)) {
        return false;
    }
    start_exchange(connection, last);
    return true;
}

/// Stops reading while much is unread, so that the kernel slows the sender
/// down.
static void
update_reading(connection_t *connection)
{
    bool pause = !connection->reads_no_more &&
                 connection->socket->input->size >= INPUT_BYTES_MAX;
    if (pause == connection->reading_paused) {
        return;
    }
    connection->reading_paused = pause;
    if (pause) {
        h2o_socket_read_stop(connection->socket);
    }
    else {
        h2o_socket_read_start(connection->socket, on_readable);
    }
}

/// Does what the connection is ready for: reads, starts and responds to
/// requests. A handler may respond before it returns; the call that this makes
/// returns at once, and the loop here continues with the response.
static void
advance(connection_t *connection)
{
    if (connection->advancing) {
        return;
    }
    connection->advancing = true;
    do {
        write_responses(connection);
    } while (start_last(connection) || read_next(connection));
    write_responses(connection);
    send_continue(connection);
    connection->advancing = false;
    update_reading(connection);
    update_account(connection);
}

/* Memory. */

/// Returns whether the connection holds bytes of a request that isn't
/// complete, or responses that its sender doesn't read.
static bool
is_evictable(const connection_t *connection)
{
    bool reads_request =
        connection->reader.started && !connection->reads_no_more;
    return !connection->listener->options.exempt_from_limit &&
           connection->linger_since_us == 0 && !connection->advancing &&
           connection->accounted >= EVICTED_BYTES_MIN &&
           (reads_request || connection->writing != NULL);
}

/// Returns how much a connection should give way: the bytes that it holds,
/// times the time in which it hasn't progressed.
static double
eviction_score(const connection_t *connection, int64_t at_us)
{
    int64_t since_us = connection->writing != NULL
                           ? connection->write_since_us
                           : connection->partial_since_us;
    int64_t age_us = since_us == 0 ? 0 : at_us - since_us;
    return (double)connection->accounted * (double)(age_us + US_PER_MS);
}

/// Gives the memory of a connection back. An incomplete request is refused as
/// not run; a sender that doesn't read is cut off.
static void
evict(connection_t *connection)
{
    metric_increment(METRIC_CONNECTIONS_EVICTED_TOTAL);
    http_server_t *server = connection->listener->server;
    server->evicted++;
    if (connection->writing != NULL) {
        free_connection(connection);
        return;
    }
    refuse_unreadable(connection, REASON_OVERLOADED);
    request_reader_finish(&connection->reader);
    request_reader_init(&connection->reader, server->max_request_bytes);
    advance(connection);
}

static void
log_memory_state(http_server_t *server)
{
    bool scarce = byte_account_is_scarce(server->account);
    if (scarce != server->memory_scarce) {
        server->memory_scarce = scarce;
        log_warning("memory_scarce",
                    "scarce=%d held=%zu limit=%zu peak=%zu connections=%u "
                    "evicted=%u",
                    scarce, server->account->held, server->account->limit,
                    server->account->peak, server->connections.length,
                    server->evicted);
        server->evicted = 0;
    }
}

/// Returns the connection that holds much and progresses least; NULL if none
/// can be evicted.
static connection_t *
find_evictable(const http_server_t *server, int64_t at_us)
{
    connection_t *worst = NULL;
    double worst_score = 0;
    for (const GList *link = server->connections.head; link != NULL;
         link = link->next)
    {
        connection_t *connection = link->data;
        // evict() takes the connection out of the queue, which the analyzer
        // doesn't see. NOLINTNEXTLINE(clang-analyzer-unix.Malloc)
        bool evictable = is_evictable(connection);
        double score = eviction_score(connection, at_us);
        if (evictable && score > worst_score) {
            worst = connection;
            worst_score = score;
        }
    }
    return worst;
}

/// Evicts connections until the account has room again. Requests of evicted
/// connections may be in flight.
static void
relieve_memory(void *context)
{
    http_server_t *server = context;
    log_memory_state(server);
    int64_t at_us = clock_now_us(server->loop->clock);
    if (at_us < server->relief_from_us) {
        return;
    }
    while (byte_account_is_scarce(server->account)) {
        connection_t *connection = find_evictable(server, at_us);
        if (connection == NULL) {
            server->relief_from_us = at_us + RELIEF_PAUSE_US;
            return;
        }
        evict(connection);
    }
}

/// Closes a connection that has sent no request, or is idle, in favour of a
/// new one. Returns false if there is none.
static bool
replace_connection(http_server_t *server)
{
    int64_t at_us = clock_now_us(server->loop->clock);
    connection_t *oldest = NULL;
    for (GList *link = server->connections.head; link != NULL;
         link = link->next) {
        connection_t *connection = link->data;
        // free_connection() takes the connection out of the queue, which the
        // analyzer doesn't see. NOLINTNEXTLINE(clang-analyzer-unix.Malloc)
        if (connection->listener->options.exempt_from_limit ||
            connection->exchanges.length > 0 || connection->writing != NULL ||
            at_us - connection->idle_since_us < REPLACED_IDLE_US)
        {
            continue;
        }
        if (oldest == NULL ||
            connection->idle_since_us < oldest->idle_since_us) {
            oldest = connection;
        }
    }
    if (oldest == NULL) {
        return false;
    }
    metric_increment(METRIC_CONNECTIONS_EVICTED_TOTAL);
    free_connection(oldest);
    return true;
}

/* Connections. */

/// Handles the end of the stream. Nothing more is served, even if the sender
/// has closed only its sending direction: the two can't be told apart. A
/// response that is being written is completed.
static void
handle_peer_close(connection_t *connection, bool orderly)
{
    connection->peer_closed = true;
    connection->reads_no_more = true;
    h2o_socket_read_stop(connection->socket);
    if (!orderly || connection->writing == NULL) {
        free_connection(connection);
        return;
    }
    drop_exchanges(connection);
}

static void
on_readable(h2o_socket_t *socket, const char *error)
{
    connection_t *connection = socket->data;
    if (connection == NULL) {
        return;
    }
    byte_account_relieve(connection->listener->server->account);
    if (socket->data == NULL) { // evicted
        return;
    }
    if (error != NULL) {
        handle_peer_close(connection, error == h2o_socket_error_closed);
    }
    else if (connection->linger_since_us != 0) {
        h2o_buffer_consume(&socket->input, socket->input->size);
    }
    else {
        advance(connection);
    }
}

static void
add_connection(http_listener_t *listener, h2o_socket_t *socket)
{
    http_server_t *server = listener->server;
    uint32_t count = server->connections.length;
    connection_t *connection = g_new0(connection_t, 1);
    connection->listener = listener;
    connection->socket = socket;
    connection->source_hash = sender_hash(socket);
    connection->accepted_us = clock_now_us(server->loop->clock);
    connection->idle_since_us = connection->accepted_us;
    connection->over_limit = count >= server->connections_max &&
                             !listener->options.exempt_from_limit;
    request_reader_init(&connection->reader, server->max_request_bytes);
    update_account(connection);
    g_queue_push_tail(&server->connections, connection);
    connection->link = g_queue_peek_tail_link(&server->connections);
    metric_set(METRIC_CONNECTIONS, server->connections.length);
    socket_set_options(h2o_socket_get_fd(socket));
    connection->may_read_slowly =
        socket_allow_slow_peer(h2o_socket_get_fd(socket));
    socket->data = connection;
    h2o_socket_read_start(socket, on_readable);
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
        if (server->connections.length >= server->connections_max &&
            !listener->options.exempt_from_limit)
        {
            replace_connection(server);
        }
        if (server->connections.length >=
            server->connections_max + REFUSED_CONNECTIONS_MAX)
        {
            metric_increment(METRIC_CONNECTIONS_REFUSED_TOTAL);
            h2o_socket_close(socket);
            continue;
        }
        add_connection(listener, socket);
    }
}

/// Returns whether a request is being read, or the first one is awaited.
static bool
is_reading_request(const connection_t *connection)
{
    return connection->exchanges.length == 0 && !connection->reads_no_more &&
           (!connection->had_request || connection->reader.started ||
            connection->socket->input->size > 0);
}

static bool
has_timed_out(int64_t since_us, int64_t timeout_us, int64_t at_us)
{
    return since_us != 0 && at_us - since_us >= timeout_us;
}

static void
close_half_open(connection_t *connection)
{
    metric_increment(METRIC_CONNECTIONS_HALF_OPEN_TOTAL);
    http_server_t *server = connection->listener->server;
    if (log_limit_allows(&server->refusal_log_limit, server->loop->clock)) {
        log_warning("half_open_connection_closed", "listener=%s bytes=%zu",
                    connection->listener->options.name,
                    connection->reader.text->len +
                        connection->socket->input->size);
    }
    free_connection(connection);
}

/// Returns whether the body that is being read has grown enough since
/// partial_since_us.
static bool
has_progressed(const connection_t *connection)
{
    return connection->reader.body->len >=
           connection->body_mark + BODY_PROGRESS_BYTES;
}

/// Closes the connection if it has exceeded one of its times.
static void
check_timeouts(connection_t *connection, int64_t at_us)
{
    if (!is_reading_request(connection)) {
        connection->partial_since_us = 0;
    }
    else if (connection->partial_since_us == 0 || has_progressed(connection)) {
        connection->partial_since_us = at_us;
        connection->body_mark = connection->reader.body->len;
    }
    if (has_timed_out(connection->partial_since_us, REQUEST_READ_TIMEOUT_US,
                      at_us))
    {
        close_half_open(connection);
    }
    else if (connection->writing != NULL) {
        bool unresponsive =
            connection->may_read_slowly &&
            has_timed_out(connection->write_since_us, UNRESPONSIVE_US,
                          at_us) &&
            socket_peer_is_unresponsive(h2o_socket_get_fd(connection->socket));
        if (unresponsive ||
            has_timed_out(connection->write_since_us, WRITE_TIMEOUT_US, at_us))
        {
            free_connection(connection);
        }
    }
    else if (has_timed_out(connection->linger_since_us, LINGER_US, at_us)) {
        free_connection(connection);
    }
    else if (connection->linger_since_us == 0 &&
             connection->exchanges.length == 0 &&
             connection->partial_since_us == 0 &&
             has_timed_out(connection->idle_since_us, IDLE_TIMEOUT_US, at_us))
    {
        start_linger(connection);
    }
}

static void
check_all_timeouts(void *context)
{
    http_server_t *server = context;
    int64_t at_us = clock_now_us(server->loop->clock);
    GList *link = server->connections.head;
    while (link != NULL) {
        connection_t *connection = link->data;
        link = link->next;
        check_timeouts(connection, at_us);
    }
    if (server->account != NULL) {
        metric_set(METRIC_HELD_BYTES, (int64_t)server->account->held);
        byte_account_relieve(server->account);
        log_memory_state(server);
    }
    loop_timer_start(server->loop, &server->timeout_timer,
                     TIMEOUT_CHECK_INTERVAL_US, check_all_timeouts, server);
}

/* Server. */

/// Creates a server without listeners.
http_server_t *
http_server_new(loop_t *loop, uint32_t connections_max,
                size_t max_request_bytes)
{
    http_server_t *server = g_new0(http_server_t, 1);
    server->loop = loop;
    server->connections_max = connections_max;
    server->max_request_bytes = max_request_bytes;
    server->listeners = g_ptr_array_new();
    loop_timer_start(loop, &server->timeout_timer, TIMEOUT_CHECK_INTERVAL_US,
                     check_all_timeouts, server);
    return server;
}

/// Makes the server keep within the limit of an account, which others may use
/// too; they have memory freed by byte_account_relieve().
void
http_server_set_account(http_server_t *server, byte_account_t *account)
{
    server->account = account;
    byte_account_set_relief(account, relieve_memory, server);
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
    for (guint i = 0; i < server->listeners->len; i++) {
        http_listener_t *listener = server->listeners->pdata[i];
        h2o_socket_read_start(listener->socket, on_accept);
    }
}

/// Makes each further response close its connection, behind those to the
/// requests of the connection that are being served.
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
    return server->in_flight;
}

static bool
may_send_first_request(const connection_t *connection, int64_t at_us)
{
    return !connection->had_request &&
           at_us - connection->accepted_us < FIRST_REQUEST_GRACE_US;
}

/// Returns whether no request is in flight or being read, no response is being
/// written, no closed connection waits for its sender to close, and no new
/// connection may still send its first request.
bool
http_server_is_idle(const http_server_t *server)
{
    int64_t at_us = clock_now_us(server->loop->clock);
    for (const GList *link = server->connections.head; link != NULL;
         link = link->next)
    {
        const connection_t *connection = link->data;
        if (connection->writing != NULL || connection->linger_since_us != 0 ||
            connection->reader.started ||
            connection->socket->input->size > 0 ||
            may_send_first_request(connection, at_us))
        {
            return false;
        }
    }
    return server->in_flight == 0;
}

/// Stops the server at the end of the process. Connections stay open until the
/// process exits.
void
http_server_free(http_server_t *server)
{
    http_server_stop_listening(server);
    loop_timer_stop(server->loop, &server->timeout_timer);
}

/// Marks a request that waits for an event and is responded to within seconds
/// in any case. It doesn't count as in flight.
void
http_request_set_long_poll(http_request_t *request)
{
    set_in_flight(exchange_of(request), false);
}

/// Returns the descriptor of the request's connection.
int
http_request_fd(const http_request_t *request)
{
    const connection_t *connection = ((const exchange_t *)request)->connection;
    return h2o_socket_get_fd(connection->socket);
}

/// Returns the value of the first header with this name (lower case); its data
/// is NULL if there is none.
slice_t
http_request_header(const http_request_t *request, const char *name)
{
    return http_header_find(request->headers, request->header_count, name);
}
