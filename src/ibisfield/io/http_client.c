/// @file
/// HTTP/1.1 client with pooled connections. A connection carries one exchange
/// at a time. It returns to the pool only if the request was written and its
/// response read completely, and no further bytes arrived; otherwise it is
/// closed.

#include "ibisfield/io/http_client.h"

#include <arpa/inet.h>

#include "ibisfield/base/log.h"
#include "ibisfield/base/metrics.h"
#include "ibisfield/io/log_limit.h"
#include "ibisfield/io/socket_options.h"

/// The client closes idle connections after this time. It is below the usual
/// keep-alive time of servers (5 s), so that a request is rarely sent on a
/// connection that the server is closing.
#define IDLE_TIMEOUT_US (4 * US_PER_S)
/// How much earlier than the time in a server's Keep-Alive header the client
/// closes an idle connection. It is kept for half a second at least.
#define KEEP_ALIVE_MARGIN_US US_PER_S
#define SWEEP_INTERVAL_US US_PER_S
/// A server that sends more responses to earlier requests is faulty.
#define STALE_RESPONSES_MAX 4
/// Interval of the question whether the server has got all of a request.
#define DELIVERY_POLL_US (2 * US_PER_MS)
/// Longest part of a request's id that is logged, in bytes.
#define LOGGED_ID_MAX ((size_t)128)

typedef struct connection connection_t;

struct http_pool {
    loop_t *loop;
    http_pool_options_t options;
    GQueue idle;                 ///< of connection_t, most recently used first
    GQueue waiting;              ///< of http_exchange_t, without a connection
    uint32_t connections_in_use; ///< connections with an exchange
    size_t buffered_bytes;       ///< of responses that are being read
    uint32_t exchanges;          ///< exchanges not ended yet; they keep the
                                 ///< pool alive
    loop_timer_t sweep_timer;
    log_limit_t untrusted_log_limit;
    bool released;
};

struct connection {
    http_pool_t *pool;
    h2o_socket_t *socket;
    http_exchange_t *exchange; ///< NULL: idle, or delivering the result
    response_reader_t reader;
    GString *request; ///< head that is being written
    GByteArray *body; ///< that is being written; NULL: none
    bool writing;
    bool write_failed;
    bool read_ended; ///< the server has closed its side, which ends the
                     ///< response if it has got the request
    loop_timer_t delivery_timer; ///< while it hasn't got all of it
    bool delivering;          ///< the callback of its last exchange is running
    bool broken;              ///< must not be reused
    size_t buffered_bytes;    ///< part of the pool's
    uint32_t stale_responses; ///< responses to other requests that arrived
    int64_t idle_until_us;
    GList idle_link;
};

struct http_exchange {
    http_pool_t *pool;
    GString *request; ///< head; moved to the connection when sent
    GByteArray *body; ///< the same; NULL: none
    connection_t *connection;
    GList *waiting_link; ///< NULL: not waiting
    loop_timer_t timer;  ///< timeout; if no socket could be created, the
                         ///< report of that error
    loop_timer_t connect_timer;
    http_done_t done;
    void *context;
    char *echoed_value; ///< expected value of echoed_header; NULL: not checked
    char *id;           ///< for logs; NULL: none
    bool sent;
    bool is_head;
    const char *connect_error;
};

static void start_waiting_exchanges(http_pool_t *pool);
static void on_readable(h2o_socket_t *socket, const char *error);
static void sweep_idle(void *context);

static void
free_pool_if_unused(http_pool_t *pool)
{
    if (pool->released && pool->exchanges == 0) {
        loop_timer_stop(pool->loop, &pool->sweep_timer);
        g_free(pool);
    }
}

static void
free_connection(connection_t *connection)
{
    if (connection->socket != NULL) {
        // h2o may still call the socket's callbacks, which then do nothing.
        connection->socket->data = NULL;
        h2o_socket_close(connection->socket);
    }
    loop_timer_stop(connection->pool->loop, &connection->delivery_timer);
    response_reader_finish(&connection->reader);
    if (connection->request != NULL) {
        g_string_free(connection->request, TRUE);
    }
    g_clear_pointer(&connection->body, g_byte_array_unref);
    g_free(connection);
}

static void
close_idle(connection_t *connection)
{
    g_queue_unlink(&connection->pool->idle, &connection->idle_link);
    free_connection(connection);
}

static void
sweep_idle(void *context)
{
    http_pool_t *pool = context;
    int64_t now_us = clock_now_us(pool->loop->clock);
    GList *link = pool->idle.tail;
    while (link != NULL) {
        connection_t *connection = link->data;
        link = link->prev;
        if (now_us >= connection->idle_until_us) {
            close_idle(connection);
        }
    }
    if (pool->idle.length > 0) {
        loop_timer_start(pool->loop, &pool->sweep_timer, SWEEP_INTERVAL_US,
                         sweep_idle, pool);
    }
}

static int64_t
idle_timeout_us(const connection_t *connection)
{
    const response_reader_t *reader = &connection->reader;
    slice_t value = http_header_find(
        reader->headers, response_reader_header_count(reader), "keep-alive");
    const char *timeout =
        value.data == NULL
            ? NULL
            : g_strstr_len(value.data, (gssize)value.len, "timeout=");
    if (timeout == NULL) {
        return IDLE_TIMEOUT_US;
    }
    const char *end = value.data + value.len;
    int64_t seconds = 0;
    for (const char *digit = timeout + strlen("timeout=");
         digit < end && g_ascii_isdigit(*digit) && seconds < 3600; digit++)
    {
        seconds = seconds * 10 + g_ascii_digit_value(*digit);
    }
    return MAX(seconds * US_PER_S - KEEP_ALIVE_MARGIN_US, US_PER_S / 2);
}

static void
make_idle(connection_t *connection)
{
    http_pool_t *pool = connection->pool;
    connection->idle_until_us =
        clock_now_us(pool->loop->clock) + idle_timeout_us(connection);
    connection->idle_link.data = connection;
    g_queue_push_head_link(&pool->idle, &connection->idle_link);
    if (pool->sweep_timer.position == NULL) {
        loop_timer_start(pool->loop, &pool->sweep_timer, SWEEP_INTERVAL_US,
                         sweep_idle, pool);
    }
}

/// Updates the size of the response that the connection holds.
static void
set_buffered_bytes(connection_t *connection, size_t bytes)
{
    http_pool_t *pool = connection->pool;
    pool->buffered_bytes += bytes - connection->buffered_bytes;
    byte_account_change(pool->options.account, connection->buffered_bytes,
                        bytes);
    connection->buffered_bytes = bytes;
}

/// Returns a connection to the pool, or closes it if it can't be reused.
/// @p reusable is false if the state of the connection is unknown.
static void
release_connection(connection_t *connection, bool reusable)
{
    http_pool_t *pool = connection->pool;
    pool->connections_in_use--;
    set_buffered_bytes(connection, 0);
    if (reusable && !connection->broken && !pool->released) {
        make_idle(connection);
    }
    else {
        free_connection(connection);
    }
}

static void
free_exchange(http_exchange_t *exchange)
{
    http_pool_t *pool = exchange->pool;
    loop_timer_stop(pool->loop, &exchange->timer);
    loop_timer_stop(pool->loop, &exchange->connect_timer);
    if (exchange->waiting_link != NULL) {
        g_queue_delete_link(&pool->waiting, exchange->waiting_link);
    }
    if (exchange->request != NULL) {
        g_string_free(exchange->request, TRUE);
    }
    g_clear_pointer(&exchange->body, g_byte_array_unref);
    g_free(exchange->echoed_value);
    g_free(exchange->id);
    g_free(exchange);
}

/// Called after the result has been delivered, because the callback may
/// release the pool.
static void
pool_exchange_ended(http_pool_t *pool)
{
    pool->exchanges--;
    start_waiting_exchanges(pool);
    free_pool_if_unused(pool);
}

/// Frees the exchange and reports its result.
static void
deliver_result(http_exchange_t *exchange, const http_response_t *response)
{
    http_done_t done = exchange->done;
    void *context = exchange->context;
    free_exchange(exchange);
    done(context, response);
}

/// Ends an exchange and closes its connection.
static void
end_exchange(http_exchange_t *exchange, const http_response_t *response)
{
    http_pool_t *pool = exchange->pool;
    connection_t *connection = exchange->connection;
    if (connection != NULL) {
        connection->exchange = NULL;
        release_connection(connection, false);
    }
    deliver_result(exchange, response);
    pool_exchange_ended(pool);
}

/// Ends an exchange that has no complete response.
static void
fail_exchange(http_exchange_t *exchange, http_result_t result,
              const char *error)
{
    end_exchange(exchange,
                 &(http_response_t){.result = result, .error = error});
}

/// Ends an exchange whose response is malformed or ended early, so that
/// nothing in it tells whether the request has run.
static void
fail_untrusted(http_exchange_t *exchange, const char *reason)
{
    http_pool_t *pool = exchange->pool;
    metric_increment(METRIC_RESPONSES_UNTRUSTED_TOTAL);
    if (log_limit_allows(&pool->untrusted_log_limit, pool->loop->clock)) {
        log_warning("response_untrusted", "id=%s peer=%s:%u reason=\"%s\"",
                    exchange->id == NULL ? "" : exchange->id,
                    pool->options.endpoint.address,
                    pool->options.endpoint.port, reason);
    }
    end_exchange(exchange, &(http_response_t){.result = HTTP_LOST,
                                              .error = reason,
                                              .untrusted = true});
}

static void
on_timeout(void *context)
{
    http_exchange_t *exchange = context;
    fail_exchange(exchange, exchange->sent ? HTTP_LOST : HTTP_CONNECT_FAILED,
                  exchange->sent ? "no complete response within the timeout"
                                 : "no connection within the timeout");
}

static void
on_connect_timeout(void *context)
{
    fail_exchange(context, HTTP_CONNECT_FAILED, "connect timed out");
}

static void
on_connect_failed(void *context)
{
    http_exchange_t *exchange = context;
    fail_exchange(exchange, HTTP_CONNECT_FAILED, exchange->connect_error);
}

/// Returns whether the response belongs to an earlier request on this
/// connection.
static bool
is_stale_response(const connection_t *connection)
{
    const http_exchange_t *exchange = connection->exchange;
    if (exchange->echoed_value == NULL) {
        return false;
    }
    const response_reader_t *reader = &connection->reader;
    slice_t value =
        http_header_find(reader->headers, response_reader_header_count(reader),
                         exchange->pool->options.echoed_header);
    return value.data != NULL &&
           !slice_equal_string(value, exchange->echoed_value);
}

/// Returns whether the response refuses the request.
static bool
is_refusal(const connection_t *connection)
{
    const response_reader_t *reader = &connection->reader;
    const char *name = connection->pool->options.refusal_header;
    return name != NULL &&
           (reader->parser.status_code == 421 ||
            http_header_find(reader->headers,
                             response_reader_header_count(reader), name)
                    .data != NULL);
}

static void
deliver_response(connection_t *connection)
{
    http_exchange_t *exchange = connection->exchange;
    http_pool_t *pool = connection->pool;
    response_reader_t *reader = &connection->reader;
    bool reusable = reader->keep_alive && !connection->writing &&
                    connection->stale_responses == 0 &&
                    connection->socket->input->size == 0 &&
                    !is_refusal(connection);
    const http_response_t response = {
        .result = HTTP_COMPLETE,
        .status = reader->parser.status_code,
        .headers = reader->headers,
        .header_count = response_reader_header_count(reader),
        .body = {(const char *)reader->body->data, reader->body->len},
    };
    connection->exchange = NULL;
    connection->delivering = true;
    deliver_result(exchange, &response);
    connection->delivering = false;
    release_connection(connection, reusable);
    pool_exchange_ended(pool);
}

/// Ends the exchange of a connection if its response is complete or has
/// failed.
static void
end_exchange_if_read(connection_t *connection, const char *error)
{
    const http_pool_t *pool = connection->pool;
    response_reader_t *reader = &connection->reader;
    if (reader->state == RESPONSE_PARTIAL &&
        pool->options.max_buffered_bytes > 0 &&
        pool->buffered_bytes > pool->options.max_buffered_bytes)
    {
        reader->state = RESPONSE_TOO_LARGE;
    }
    switch (reader->state) {
    case RESPONSE_PARTIAL:
        break;
    case RESPONSE_COMPLETE:
        deliver_response(connection);
        break;
    case RESPONSE_TOO_LARGE:
        fail_exchange(connection->exchange, HTTP_TOO_LARGE,
                      "responses exceed the size limit");
        break;
    default:
        if (reader->started) {
            fail_untrusted(connection->exchange, reader->error);
        }
        else {
            fail_exchange(connection->exchange, HTTP_LOST, error);
        }
        break;
    }
}

static void on_delivery_timer(void *context);

/// Ends a response without a length, behind which the server has closed its
/// side, once it is known whether it closed in order: after it has got the
/// request. A server that closes before resets the connection when the rest
/// arrives, and the end of the stream may have come first; and a write that
/// fails takes the error of the reset from the socket, so that reads return
/// the end of the stream instead.
static void
settle_read_end(connection_t *connection)
{
    if (connection->writing) {
        return; // on_written() settles it.
    }
    socket_delivery_t delivery =
        connection->write_failed
            ? SOCKET_RESET
            : socket_delivery(h2o_socket_get_fd(connection->socket));
    if (delivery == SOCKET_PENDING) {
        loop_timer_start(connection->pool->loop, &connection->delivery_timer,
                         DELIVERY_POLL_US, on_delivery_timer, connection);
        return;
    }
    response_reader_eof(&connection->reader, delivery == SOCKET_DELIVERED);
}

static void
on_delivery_timer(void *context)
{
    connection_t *connection = context;
    settle_read_end(connection);
    end_exchange_if_read(connection, NULL);
}

/// Handles the end of what the server sends.
static void
handle_read_end(connection_t *connection, const char *error)
{
    response_reader_t *reader = &connection->reader;
    bool closed = error == h2o_socket_error_closed;
    connection->broken = true;
    if (closed && reader->close_delimited) {
        connection->read_ended = true;
        h2o_socket_read_stop(connection->socket);
        settle_read_end(connection);
        return;
    }
    response_reader_eof(reader, closed && !connection->write_failed);
}

/// Feeds the input to the reader, drops stale responses, and ends the exchange
/// if its response is complete or has failed.
static void
read_response(connection_t *connection, const char *error)
{
    response_reader_t *reader = &connection->reader;
    h2o_socket_t *socket = connection->socket;
    for (;;) {
        h2o_buffer_t *input = socket->input;
        size_t used =
            response_reader_feed(reader, (slice_t){input->bytes, input->size});
        h2o_buffer_consume(&socket->input, used);
        set_buffered_bytes(connection, response_reader_held_bytes(reader));
        if (reader->state != RESPONSE_COMPLETE ||
            !is_stale_response(connection)) {
            break;
        }
        if (++connection->stale_responses > STALE_RESPONSES_MAX) {
            response_reader_reject(reader, "too many responses to others");
            break;
        }
        response_reader_start(reader, connection->exchange->is_head);
    }
    if (error != NULL) {
        handle_read_end(connection, error);
    }
    end_exchange_if_read(connection, error);
}

static void
on_readable(h2o_socket_t *socket, const char *error)
{
    connection_t *connection = socket->data;
    if (connection == NULL) {
        return;
    }
    byte_account_relieve(connection->pool->options.account);
    if (socket->data == NULL) { // Its exchange was cancelled.
        return;
    }
    if (connection->exchange != NULL) {
        read_response(connection, error);
    }
    else if (connection->delivering) {
        connection->broken = true;
    }
    else {
        // The server closed the idle connection or sent unrequested bytes.
        close_idle(connection);
    }
}

static void
on_written(h2o_socket_t *socket, const char *error)
{
    connection_t *connection = socket->data;
    if (connection == NULL) {
        return;
    }
    connection->writing = false;
    g_clear_pointer(&connection->body, g_byte_array_unref);
    if (error != NULL) {
        // A complete response that the server sent before is still read.
        connection->broken = true;
        connection->write_failed = true;
    }
    if (connection->read_ended) {
        settle_read_end(connection);
        end_exchange_if_read(connection, error);
    }
}

static void
send_request(connection_t *connection, http_exchange_t *exchange)
{
    loop_timer_stop(exchange->pool->loop, &exchange->connect_timer);
    if (connection->request != NULL) {
        g_string_free(connection->request, TRUE);
    }
    g_clear_pointer(&connection->body, g_byte_array_unref);
    connection->request = g_steal_pointer(&exchange->request);
    connection->body = g_steal_pointer(&exchange->body);
    connection->stale_responses = 0;
    connection->writing = true;
    exchange->sent = true;
    response_reader_start(&connection->reader, exchange->is_head);
    h2o_iovec_t bytes[2] = {
        h2o_iovec_init(connection->request->str, connection->request->len)};
    if (connection->body != NULL) {
        bytes[1] =
            h2o_iovec_init(connection->body->data, connection->body->len);
    }
    h2o_socket_write(connection->socket, bytes,
                     connection->body == NULL ? 1 : 2, on_written);
    h2o_socket_read_start(connection->socket, on_readable);
}

static void
on_connected(h2o_socket_t *socket, const char *error)
{
    connection_t *connection = socket->data;
    if (connection == NULL) {
        return;
    }
    if (error != NULL) {
        fail_exchange(connection->exchange, HTTP_CONNECT_FAILED, error);
        return;
    }
    socket_set_options(h2o_socket_get_fd(socket));
    send_request(connection, connection->exchange);
}

static void
connect_exchange(http_exchange_t *exchange)
{
    http_pool_t *pool = exchange->pool;
    const endpoint_t *endpoint = &pool->options.endpoint;
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons(endpoint->port)};
    inet_pton(AF_INET, endpoint->address, &address.sin_addr);
    pool->connections_in_use++;
    h2o_socket_t *socket =
        h2o_socket_connect(pool->loop->h2o, (struct sockaddr *)&address,
                           sizeof(address), on_connected);
    if (socket == NULL) {
        pool->connections_in_use--;
        exchange->connect_error = "can't create a socket";
        loop_timer_start(pool->loop, &exchange->timer, 0, on_connect_failed,
                         exchange);
        return;
    }
    if (pool->options.receive_buffer_bytes > 0) {
        socket_set_receive_buffer(h2o_socket_get_fd(socket),
                                  pool->options.receive_buffer_bytes);
    }
    connection_t *connection = g_new0(connection_t, 1);
    connection->pool = pool;
    connection->socket = socket;
    connection->exchange = exchange;
    response_reader_init(&connection->reader, pool->options.max_response_bytes,
                         pool->options.allow_close_delimited);
    socket->data = connection;
    exchange->connection = connection;
    if (pool->options.connect_timeout_us > 0) {
        loop_timer_start(pool->loop, &exchange->connect_timer,
                         pool->options.connect_timeout_us, on_connect_timeout,
                         exchange);
    }
}

/// Sends an exchange on an idle connection, or opens a connection for it.
static void
start_exchange(http_exchange_t *exchange)
{
    http_pool_t *pool = exchange->pool;
    GList *link = g_queue_pop_head_link(&pool->idle);
    if (link == NULL) {
        connect_exchange(exchange);
        return;
    }
    connection_t *connection = link->data;
    pool->connections_in_use++;
    connection->exchange = exchange;
    exchange->connection = connection;
    send_request(connection, exchange);
}

static void
start_waiting_exchanges(http_pool_t *pool)
{
    while (pool->connections_in_use < pool->options.connections_max) {
        http_exchange_t *exchange = g_queue_pop_head(&pool->waiting);
        if (exchange == NULL) {
            return;
        }
        exchange->waiting_link = NULL;
        start_exchange(exchange);
    }
}

static void
append_slice(GString *text, slice_t slice)
{
    g_string_append_len(text, slice.data, (gssize)slice.len);
}

static GString *
build_head(const http_pool_t *pool, slice_t method, slice_t path,
           const http_header_t *headers, size_t header_count, size_t body_len)
{
    GString *text = g_string_sized_new(512);
    append_slice(text, method);
    g_string_append_c(text, ' ');
    append_slice(text, path);
    g_string_append(text, " HTTP/1.1\r\n");
    if (http_header_find(headers, header_count, "host").data == NULL) {
        g_string_append_printf(text, "host: %s:%u\r\n",
                               pool->options.endpoint.address,
                               pool->options.endpoint.port);
    }
    for (size_t i = 0; i < header_count; i++) {
        append_slice(text, headers[i].name);
        g_string_append(text, ": ");
        append_slice(text, headers[i].value);
        g_string_append(text, "\r\n");
    }
    if (body_len > 0 || (!slice_equal_string(method, "GET") &&
                         !slice_equal_string(method, "HEAD")))
    {
        g_string_append_printf(text, "content-length: %zu\r\n", body_len);
    }
    g_string_append(text, "\r\n");
    return text;
}

/// Creates a pool. Connections are opened on demand.
http_pool_t *
http_pool_new_with_options(loop_t *loop, const http_pool_options_t *options)
{
    http_pool_t *pool = g_new0(http_pool_t, 1);
    pool->loop = loop;
    pool->options = *options;
    pool->options.connections_max = MAX(options->connections_max, 1);
    return pool;
}

/// Creates a pool for @p endpoint with default options.
http_pool_t *
http_pool_new(loop_t *loop, const endpoint_t *endpoint,
              uint32_t connections_max, size_t max_response_bytes)
{
    return http_pool_new_with_options(
        loop, &(http_pool_options_t){
                  .endpoint = *endpoint,
                  .connections_max = connections_max,
                  .max_response_bytes = max_response_bytes,
              });
}

/// Frees the pool once its exchanges have ended. No exchange may be started
/// afterwards.
void
http_pool_release(http_pool_t *pool)
{
    pool->released = true;
    GList *link;
    while ((link = g_queue_pop_head_link(&pool->idle)) != NULL) {
        free_connection(link->data);
    }
    free_pool_if_unused(pool);
}

/// Starts an exchange. All slices are copied; of @p body (NULL: none) a
/// reference is held, so its bytes must not change. @p done is called exactly
/// once, after this function has returned, unless the exchange is cancelled.
/// @p timeout_us covers the entire exchange, including the wait for a
/// connection. An exchange that never gets a connection, or whose connection
/// attempt times out, ends with HTTP_CONNECT_FAILED.
http_exchange_t *
http_exchange_start_shared(http_pool_t *pool, slice_t method, slice_t path,
                           const http_header_t *headers, size_t header_count,
                           GByteArray *body, int64_t timeout_us,
                           http_done_t done, void *context)
{
    http_exchange_t *exchange = g_new0(http_exchange_t, 1);
    exchange->pool = pool;
    exchange->done = done;
    exchange->context = context;
    exchange->is_head = slice_equal_string(method, "HEAD");
    if (pool->options.echoed_header != NULL) {
        slice_t echoed_value = http_header_find(headers, header_count,
                                                pool->options.echoed_header);
        exchange->echoed_value =
            echoed_value.data == NULL
                ? NULL
                : g_strndup(echoed_value.data, echoed_value.len);
    }
    if (pool->options.id_header != NULL) {
        slice_t id =
            http_header_find(headers, header_count, pool->options.id_header);
        exchange->id = id.data == NULL
                           ? NULL
                           : g_strndup(id.data, MIN(id.len, LOGGED_ID_MAX));
    }
    size_t body_len = body == NULL ? 0 : body->len;
    exchange->request =
        build_head(pool, method, path, headers, header_count, body_len);
    exchange->body = body_len == 0 ? NULL : g_byte_array_ref(body);
    pool->exchanges++;
    loop_timer_start(pool->loop, &exchange->timer, timeout_us, on_timeout,
                     exchange);
    g_queue_push_tail(&pool->waiting, exchange);
    exchange->waiting_link = g_queue_peek_tail_link(&pool->waiting);
    start_waiting_exchanges(pool);
    return exchange;
}

/// The same with a body that is copied.
http_exchange_t *
http_exchange_start(http_pool_t *pool, slice_t method, slice_t path,
                    const http_header_t *headers, size_t header_count,
                    slice_t body, int64_t timeout_us, http_done_t done,
                    void *context)
{
    GByteArray *copy = g_byte_array_new();
    if (body.len > 0) {
        g_byte_array_append(copy, (const guint8 *)body.data, (guint)body.len);
    }
    http_exchange_t *exchange =
        http_exchange_start_shared(pool, method, path, headers, header_count,
                                   copy, timeout_us, done, context);
    g_byte_array_unref(copy);
    return exchange;
}

/// Frees the exchange and closes its connection, without calling its callback.
void
http_exchange_cancel(http_exchange_t *exchange)
{
    http_pool_t *pool = exchange->pool;
    connection_t *connection = exchange->connection;
    if (connection != NULL) {
        connection->exchange = NULL;
        release_connection(connection, false);
    }
    free_exchange(exchange);
    pool_exchange_ended(pool);
}

/// Returns the value of the first header with this name (lower case); its data
/// is NULL if there is none.
slice_t
http_header_find(const http_header_t *headers, size_t header_count,
                 const char *name)
{
    for (size_t i = 0; i < header_count; i++) {
        if (slice_equal_string(headers[i].name, name)) {
            return headers[i].value;
        }
    }
    return (slice_t){NULL, 0};
}
