/// @file
/// HTTP/1.1 client with pooled connections. A connection carries one exchange
/// at a time. It goes back to the pool only when the request was written and
/// its answer read to their ends, and nothing else came; otherwise it is
/// closed.

#include "ibisfield/io/http_client.h"

#include <arpa/inet.h>

#include "ibisfield/io/socket_options.h"

/// Idle connections are closed by the client after this time. It is below the
/// usual keep-alive time of servers (5 s), so that a request rarely meets a
/// connection that the server is closing.
#define POOL_IDLE_US (4 * US_PER_S)
/// A server that states its keep-alive time closes an idle connection at that
/// time; the client closes this much earlier.
#define KEEP_ALIVE_MARGIN_US US_PER_S
#define SWEEP_INTERVAL_US US_PER_S

typedef struct connection connection_t;

struct http_pool {
    loop_t *loop;
    http_pool_options_t options;
    GQueue idle;          ///< of connection_t, the last used first
    GQueue waiting;       ///< exchanges without a connection
    uint32_t connections; ///< in use by an exchange
    uint32_t exchanges;   ///< not yet over
    loop_timer_t sweep_timer;
    bool released;
};

struct connection {
    http_pool_t *target;
    h2o_socket_t *socket;
    http_exchange_t *exchange; ///< NULL: idle, or its answer is delivered
    response_reader_t reader;
    GString *request; ///< being written
    bool writing;
    bool delivering;
    bool broken;      ///< not to be used again
    bool has_foreign; ///< an answer to another request came
    int64_t idle_until_us;
    GList idle_link;
};

struct http_exchange {
    http_pool_t *target;
    GString *request; ///< handed to the connection when sent
    connection_t *connection;
    GList *waiting_link; ///< NULL: not waiting
    loop_timer_t timer;  ///< timeout, then delivery of a failed connect
    loop_timer_t connect_timer;
    http_done_t done;
    void *context;
    char *echoed; ///< expected value of the echoed header; NULL: none
    bool sent;
    bool is_head;
    const char *failure;
};

static void start_waiting(http_pool_t *target);
static void on_readable(h2o_socket_t *socket, const char *error);
static void sweep_idle(void *context);

static void
free_target_if_unused(http_pool_t *target)
{
    if (target->released && target->exchanges == 0) {
        loop_timer_stop(target->loop, &target->sweep_timer);
        g_free(target);
    }
}

static void
free_connection(connection_t *connection)
{
    if (connection->socket != NULL) {
        connection->socket->data = NULL;
        h2o_socket_close(connection->socket);
    }
    response_reader_finish(&connection->reader);
    if (connection->request != NULL) {
        g_string_free(connection->request, TRUE);
    }
    g_free(connection);
}

static void
close_idle(connection_t *connection)
{
    g_queue_unlink(&connection->target->idle, &connection->idle_link);
    free_connection(connection);
}

static void
sweep_idle(void *context)
{
    http_pool_t *target = context;
    int64_t now_us = clock_now_us(target->loop->clock);
    GList *link = target->idle.tail;
    while (link != NULL) {
        connection_t *connection = link->data;
        link = link->prev;
        if (now_us >= connection->idle_until_us) {
            close_idle(connection);
        }
    }
    if (target->idle.length > 0) {
        loop_timer_start(target->loop, &target->sweep_timer, SWEEP_INTERVAL_US,
                         sweep_idle, target);
    }
}

static int64_t
idle_time_us(const connection_t *connection)
{
    const response_reader_t *reader = &connection->reader;
    slice_t value = http_header_find(
        reader->headers, response_reader_header_count(reader), "keep-alive");
    const char *timeout =
        value.data == NULL
            ? NULL
            : g_strstr_len(value.data, (gssize)value.len, "timeout=");
    if (timeout == NULL) {
        return POOL_IDLE_US;
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
    http_pool_t *target = connection->target;
    connection->idle_until_us =
        clock_now_us(target->loop->clock) + idle_time_us(connection);
    connection->idle_link.data = connection;
    g_queue_push_head_link(&target->idle, &connection->idle_link);
    if (target->sweep_timer.position == NULL) {
        loop_timer_start(target->loop, &target->sweep_timer, SWEEP_INTERVAL_US,
                         sweep_idle, target);
    }
}

/// Ends the use of a connection by an exchange. @p reusable is false if the
/// state of the connection isn't known.
static void
release_connection(connection_t *connection, bool reusable)
{
    http_pool_t *target = connection->target;
    target->connections--;
    if (reusable && !connection->broken && !target->released) {
        make_idle(connection);
    }
    else {
        free_connection(connection);
    }
}

static void
free_exchange(http_exchange_t *exchange)
{
    http_pool_t *target = exchange->target;
    loop_timer_stop(target->loop, &exchange->timer);
    loop_timer_stop(target->loop, &exchange->connect_timer);
    if (exchange->waiting_link != NULL) {
        g_queue_delete_link(&target->waiting, exchange->waiting_link);
    }
    if (exchange->request != NULL) {
        g_string_free(exchange->request, TRUE);
    }
    g_free(exchange->echoed);
    g_free(exchange);
}

static void
end_exchange(http_pool_t *target)
{
    target->exchanges--;
    start_waiting(target);
    free_target_if_unused(target);
}

/// Reports the result; the exchange is over.
static void
deliver(http_exchange_t *exchange, const http_response_t *answer)
{
    http_done_t done = exchange->done;
    void *context = exchange->context;
    free_exchange(exchange);
    done(context, answer);
}

/// Ends an exchange whose answer did not come whole.
static void
fail_exchange(http_exchange_t *exchange, http_result_t result,
              const char *error)
{
    http_pool_t *target = exchange->target;
    connection_t *connection = exchange->connection;
    if (connection != NULL) {
        connection->exchange = NULL;
        release_connection(connection, false);
    }
    deliver(exchange, &(http_response_t){.result = result, .error = error});
    end_exchange(target);
}

static void
on_timeout(void *context)
{
    http_exchange_t *exchange = context;
    fail_exchange(exchange, exchange->sent ? HTTP_LOST : HTTP_CONNECT_FAILED,
                  exchange->sent ? "no whole answer in time"
                                 : "no connection in time");
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
    fail_exchange(exchange, HTTP_CONNECT_FAILED, exchange->failure);
}

/// Whether the answer belongs to an earlier request on this connection.
static bool
is_foreign(const connection_t *connection)
{
    const http_exchange_t *exchange = connection->exchange;
    if (exchange->echoed == NULL) {
        return false;
    }
    const response_reader_t *reader = &connection->reader;
    slice_t value =
        http_header_find(reader->headers, response_reader_header_count(reader),
                         exchange->target->options.echoed_header);
    return value.data != NULL && !slice_equal_string(value, exchange->echoed);
}

static void
deliver_answer(connection_t *connection)
{
    http_exchange_t *exchange = connection->exchange;
    http_pool_t *target = connection->target;
    response_reader_t *reader = &connection->reader;
    bool reusable = reader->keep_alive && !connection->writing &&
                    !connection->has_foreign &&
                    connection->socket->input->size == 0;
    const http_response_t answer = {
        .result = HTTP_COMPLETE,
        .status = reader->parser.status_code,
        .headers = reader->headers,
        .header_count = response_reader_header_count(reader),
        .body = {(const char *)reader->body->data, reader->body->len},
    };
    connection->exchange = NULL;
    connection->delivering = true;
    deliver(exchange, &answer);
    connection->delivering = false;
    release_connection(connection, reusable);
    end_exchange(target);
}

/// Feeds the reader until it needs more bytes or the exchange has ended.
static void
read_answer(connection_t *connection, const char *error)
{
    response_reader_t *reader = &connection->reader;
    h2o_socket_t *socket = connection->socket;
    for (;;) {
        h2o_buffer_t *input = socket->input;
        size_t used =
            response_reader_feed(reader, (slice_t){input->bytes, input->size});
        h2o_buffer_consume(&socket->input, used);
        if (reader->state != RESPONSE_COMPLETE || !is_foreign(connection)) {
            break;
        }
        connection->has_foreign = true;
        response_reader_start(reader, connection->exchange->is_head);
    }
    if (error != NULL) {
        response_reader_eof(reader, error == h2o_socket_error_closed);
        connection->broken = true;
    }
    switch (reader->state) {
    case RESPONSE_PARTIAL:
        break;
    case RESPONSE_COMPLETE:
        deliver_answer(connection);
        break;
    case RESPONSE_TOO_LARGE:
        fail_exchange(connection->exchange, HTTP_TOO_LARGE,
                      "answer exceeds the bound");
        break;
    default:
        fail_exchange(connection->exchange, HTTP_LOST,
                      error == NULL ? "not a whole HTTP answer" : error);
        break;
    }
}

static void
on_readable(h2o_socket_t *socket, const char *error)
{
    connection_t *connection = socket->data;
    if (connection == NULL) {
        return;
    }
    if (connection->exchange != NULL) {
        read_answer(connection, error);
    }
    else if (connection->delivering) {
        connection->broken = true;
    }
    else {
        // The server closed the connection, or sent what nobody asked for.
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
    // What the server sent before it closed is still read.
    connection->broken |= error != NULL;
}

static void
send_request(connection_t *connection, http_exchange_t *exchange)
{
    loop_timer_stop(exchange->target->loop, &exchange->connect_timer);
    if (connection->request != NULL) {
        g_string_free(connection->request, TRUE);
    }
    connection->request = g_steal_pointer(&exchange->request);
    connection->has_foreign = false;
    connection->writing = true;
    exchange->sent = true;
    response_reader_start(&connection->reader, exchange->is_head);
    h2o_iovec_t bytes =
        h2o_iovec_init(connection->request->str, connection->request->len);
    h2o_socket_write(connection->socket, &bytes, 1, on_written);
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
    http_pool_t *target = exchange->target;
    const endpoint_t *endpoint = &target->options.endpoint;
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons(endpoint->port)};
    inet_pton(AF_INET, endpoint->address, &address.sin_addr);
    target->connections++;
    h2o_socket_t *socket =
        h2o_socket_connect(target->loop->h2o, (struct sockaddr *)&address,
                           sizeof(address), on_connected);
    if (socket == NULL) {
        target->connections--;
        exchange->failure = "no socket";
        loop_timer_start(target->loop, &exchange->timer, 0, on_connect_failed,
                         exchange);
        return;
    }
    connection_t *connection = g_new0(connection_t, 1);
    connection->target = target;
    connection->socket = socket;
    connection->exchange = exchange;
    response_reader_init(&connection->reader,
                         target->options.max_response_bytes,
                         target->options.allow_close_delimited);
    socket->data = connection;
    exchange->connection = connection;
    if (target->options.connect_timeout_us > 0) {
        loop_timer_start(target->loop, &exchange->connect_timer,
                         target->options.connect_timeout_us,
                         on_connect_timeout, exchange);
    }
}

/// Gives an exchange an idle connection or opens one.
static void
start_exchange(http_exchange_t *exchange)
{
    http_pool_t *target = exchange->target;
    GList *link = g_queue_pop_head_link(&target->idle);
    if (link == NULL) {
        connect_exchange(exchange);
        return;
    }
    connection_t *connection = link->data;
    target->connections++;
    connection->exchange = exchange;
    exchange->connection = connection;
    send_request(connection, exchange);
}

static void
start_waiting(http_pool_t *target)
{
    while (target->connections < target->options.connections_max) {
        http_exchange_t *exchange = g_queue_pop_head(&target->waiting);
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
build_request(const http_pool_t *target, slice_t method, slice_t path,
              const http_header_t *headers, size_t header_count, slice_t body)
{
    GString *text = g_string_sized_new(512 + body.len);
    append_slice(text, method);
    g_string_append_c(text, ' ');
    append_slice(text, path);
    g_string_append(text, " HTTP/1.1\r\n");
    if (http_header_find(headers, header_count, "host").data == NULL) {
        g_string_append_printf(text, "host: %s:%u\r\n",
                               target->options.endpoint.address,
                               target->options.endpoint.port);
    }
    for (size_t i = 0; i < header_count; i++) {
        append_slice(text, headers[i].name);
        g_string_append(text, ": ");
        append_slice(text, headers[i].value);
        g_string_append(text, "\r\n");
    }
    if (body.len > 0 || (!slice_equal_string(method, "GET") &&
                         !slice_equal_string(method, "HEAD")))
    {
        g_string_append_printf(text, "content-length: %zu\r\n", body.len);
    }
    g_string_append(text, "\r\n");
    append_slice(text, body);
    return text;
}

/// Creates the connections to an endpoint; none is opened yet.
http_pool_t *
http_pool_new_with_options(loop_t *loop, const http_pool_options_t *options)
{
    http_pool_t *target = g_new0(http_pool_t, 1);
    target->loop = loop;
    target->options = *options;
    target->options.connections_max = MAX(options->connections_max, 1);
    return target;
}

/// Creates the connections to @p endpoint with the usual options.
http_pool_t *
http_pool_new(loop_t *loop, const endpoint_t *endpoint,
              uint32_t connections_max, size_t max_answer_bytes)
{
    return http_pool_new_with_options(
        loop, &(http_pool_options_t){
                  .endpoint = *endpoint,
                  .connections_max = connections_max,
                  .max_response_bytes = max_answer_bytes,
              });
}

/// Ends the target once its exchanges are over; new ones are not allowed.
void
http_pool_release(http_pool_t *target)
{
    target->released = true;
    GList *link;
    while ((link = g_queue_pop_head_link(&target->idle)) != NULL) {
        free_connection(link->data);
    }
    free_target_if_unused(target);
}

/// Starts an exchange. All slices are copied. @p done is called exactly once,
/// never from inside this function, unless the exchange is cancelled.
/// @p timeout_us covers the whole exchange; connect timeouts and exchanges
/// that never got a connection end as HTTP_CONNECT_FAILED.
http_exchange_t *
http_exchange_start(http_pool_t *target, slice_t method, slice_t path,
                    const http_header_t *headers, size_t header_count,
                    slice_t body, int64_t timeout_us, http_done_t done,
                    void *context)
{
    http_exchange_t *exchange = g_new0(http_exchange_t, 1);
    exchange->target = target;
    exchange->done = done;
    exchange->context = context;
    exchange->is_head = slice_equal_string(method, "HEAD");
    if (target->options.echoed_header != NULL) {
        slice_t echoed = http_header_find(headers, header_count,
                                          target->options.echoed_header);
        exchange->echoed =
            echoed.data == NULL ? NULL : g_strndup(echoed.data, echoed.len);
    }
    exchange->request =
        build_request(target, method, path, headers, header_count, body);
    target->exchanges++;
    loop_timer_start(target->loop, &exchange->timer, timeout_us, on_timeout,
                     exchange);
    g_queue_push_tail(&target->waiting, exchange);
    exchange->waiting_link = g_queue_peek_tail_link(&target->waiting);
    start_waiting(target);
    return exchange;
}

/// Closes the connection of the exchange; @p done is not called.
void
http_exchange_cancel(http_exchange_t *exchange)
{
    http_pool_t *target = exchange->target;
    connection_t *connection = exchange->connection;
    if (connection != NULL) {
        connection->exchange = NULL;
        release_connection(connection, false);
    }
    free_exchange(exchange);
    end_exchange(target);
}

/// Returns the value of the first header with this lower-case name; data is
/// NULL if there is none.
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
