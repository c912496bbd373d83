/// @file
/// HTTP/1.1 client over h2o's http1client with pooled connections. A
/// connection carries one exchange at a time. It goes back to the pool only
/// when the answer was read to its end; otherwise it is closed.

#include "ibisfield/io/http_client.h"

#include <arpa/inet.h>
#include <stdlib.h>

/// Idle connections are closed by the client after this time. It is below the
/// usual keep-alive time of servers (5 s), so that a request rarely meets a
/// connection that the server is closing.
#define POOL_IDLE_MS 4000

struct http_target {
    loop_t *loop;
    endpoint_t endpoint;
    h2o_socketpool_t pool;
    h2o_http1client_ctx_t context;
    uint32_t connections_max;
    uint32_t connections; ///< in use by an exchange
    uint32_t exchanges;   ///< not yet over
    size_t max_answer_bytes;
    GQueue waiting; ///< exchanges without a connection
    bool released;
};

struct http_exchange {
    http_target_t *target;
    GString *request;
    h2o_iovec_t request_buffer;
    h2o_http1client_t *client;
    GList *waiting_link; ///< NULL: not waiting
    loop_timer_t timer;  ///< timeout, then delivery of the result
    http_done_t done;
    void *context;
    bool connected; ///< holds one of the target's connections
    bool sent;
    bool is_head;
    bool is_chunked;
    bool has_length;
    http_answer_t answer;
    http_header_t *headers;
    char *header_text;
    GByteArray *body;
};

static void start_waiting(http_target_t *target);

static void
free_target_if_unused(http_target_t *target)
{
    if (target->released && target->exchanges == 0) {
        h2o_socketpool_dispose(&target->pool);
        g_free(target);
    }
}

static void
free_exchange(http_exchange_t *exchange)
{
    http_target_t *target = exchange->target;
    loop_timer_stop(target->loop, &exchange->timer);
    if (exchange->waiting_link != NULL) {
        g_queue_delete_link(&target->waiting, exchange->waiting_link);
    }
    if (exchange->connected) {
        target->connections--;
    }
    g_string_free(exchange->request, TRUE);
    g_free(exchange->headers);
    g_free(exchange->header_text);
    g_byte_array_unref(exchange->body);
    g_free(exchange);
    target->exchanges--;
    start_waiting(target);
    free_target_if_unused(target);
}

static void
deliver(void *context)
{
    http_exchange_t *exchange = context;
    http_answer_t *answer = &exchange->answer;
    answer->headers = exchange->headers;
    answer->body =
        (slice_t){(const char *)exchange->body->data, exchange->body->len};
    // The connection is back in the pool; let the next exchange have it first.
    if (exchange->connected) {
        exchange->connected = false;
        exchange->target->connections--;
        start_waiting(exchange->target);
    }
    exchange->done(exchange->context, answer);
    free_exchange(exchange);
}

/// Records the result. It is delivered after the current batch of events, when
/// h2o has taken the connection back.
static void
finish_exchange(http_exchange_t *exchange, http_result_t result,
                const char *error)
{
    exchange->client = NULL;
    exchange->answer.result = result;
    exchange->answer.error = error;
    loop_timer_start(exchange->target->loop, &exchange->timer, 0, deliver,
                     exchange);
}

static void
on_timeout(void *context)
{
    http_exchange_t *exchange = context;
    if (exchange->waiting_link != NULL) {
        g_queue_delete_link(&exchange->target->waiting,
                            exchange->waiting_link);
        exchange->waiting_link = NULL;
    }
    if (exchange->client != NULL) {
        h2o_http1client_cancel(exchange->client);
    }
    finish_exchange(exchange, exchange->sent ? HTTP_LOST : HTTP_CONNECT_FAILED,
                    exchange->sent ? "no whole answer in time"
                                   : "no connection in time");
}

/// Takes what h2o has read into the body. Returns false if it is too much.
static bool
take_body(http_exchange_t *exchange, h2o_http1client_t *client)
{
    h2o_buffer_t *input = client->sock->input;
    bool fits = exchange->body->len + input->size <=
                exchange->target->max_answer_bytes;
    if (fits) {
        g_byte_array_append(exchange->body, (const guint8 *)input->bytes,
                            (guint)input->size);
    }
    h2o_buffer_consume(&client->sock->input, input->size);
    return fits;
}

static int
on_body(h2o_http1client_t *client, const char *error)
{
    http_exchange_t *exchange = client->data;
    bool at_end = error == h2o_http1client_error_is_eos;
    if (error != NULL && !at_end) {
        finish_exchange(exchange, HTTP_LOST, error);
        return -1;
    }
    bool read_nothing = client->sock->bytes_read == 0;
    if (!take_body(exchange, client)) {
        finish_exchange(exchange, HTTP_TOO_LARGE, "answer exceeds the bound");
        return -1;
    }
    if (!at_end) {
        return 0;
    }
    // h2o reports a chunked answer that the peer closed between two chunks as
    // complete. The close is an event that read no byte, while the last chunk
    // is always read.
    if (exchange->is_chunked && read_nothing) {
        finish_exchange(exchange, HTTP_LOST, "closed before the last chunk");
        return -1;
    }
    finish_exchange(exchange, HTTP_COMPLETE, NULL);
    return 0;
}

static void
copy_head(http_exchange_t *exchange, int status, const h2o_header_t *headers,
          size_t count)
{
    size_t bytes = 0;
    for (size_t i = 0; i < count; i++) {
        bytes += headers[i].name->len + headers[i].value.len;
    }
    exchange->headers = g_new0(http_header_t, count + 1);
    exchange->header_text = g_malloc(bytes + 1);
    char *text = exchange->header_text;
    for (size_t i = 0; i < count; i++) {
        const h2o_iovec_t *name = headers[i].name;
        const h2o_iovec_t *value = &headers[i].value;
        http_header_t *copy = &exchange->headers[i];
        copy->name = (slice_t){text, name->len};
        text = (char *)memcpy(text, name->base, name->len) + name->len;
        copy->value = (slice_t){text, value->len};
        text = (char *)memcpy(text, value->base, value->len) + value->len;
    }
    exchange->answer.status = status;
    exchange->answer.header_count = count;
}

/// Notes how the end of the body is marked. Returns false if the answer is
/// known to be too large.
static bool
check_framing(http_exchange_t *exchange)
{
    size_t count = exchange->answer.header_count;
    slice_t length =
        http_header_find(exchange->headers, count, "content-length");
    slice_t coding =
        http_header_find(exchange->headers, count, "transfer-encoding");
    exchange->is_chunked = coding.data != NULL;
    exchange->has_length = length.data != NULL;
    char digits[24] = "";
    if (length.data != NULL && length.len < sizeof(digits)) {
        memcpy(digits, length.data, length.len);
    }
    return strtoull(digits, NULL, 10) <= exchange->target->max_answer_bytes;
}

static h2o_http1client_body_cb
on_head(h2o_http1client_t *client, const char *error, int minor_version,
        int status, h2o_iovec_t message, h2o_header_t *headers, size_t count,
        int head_bytes)
{
    (void)minor_version;
    (void)message;
    (void)head_bytes;
    http_exchange_t *exchange = client->data;
    bool at_end = error == h2o_http1client_error_is_eos;
    if (error != NULL && !at_end) {
        finish_exchange(exchange, HTTP_LOST, error);
        return NULL;
    }
    copy_head(exchange, status, headers, count);
    if (at_end) {
        finish_exchange(exchange, HTTP_COMPLETE, NULL);
        return NULL;
    }
    if (!check_framing(exchange)) {
        finish_exchange(exchange, HTTP_TOO_LARGE, "answer exceeds the bound");
        return NULL;
    }
    if (!exchange->is_chunked && !exchange->has_length) {
        // An answer that ends with the connection can't be told from a
        // truncated one.
        finish_exchange(exchange, HTTP_LOST, "answer without a length");
        return NULL;
    }
    return on_body;
}

static h2o_http1client_head_cb
on_connect(h2o_http1client_t *client, const char *error,
           h2o_iovec_t **request_buffers, size_t *buffer_count,
           int *method_is_head)
{
    http_exchange_t *exchange = client->data;
    if (error != NULL) {
        finish_exchange(exchange, HTTP_CONNECT_FAILED, error);
        return NULL;
    }
    exchange->sent = true;
    exchange->request_buffer =
        h2o_iovec_init(exchange->request->str, exchange->request->len);
    *request_buffers = &exchange->request_buffer;
    *buffer_count = 1;
    *method_is_head = exchange->is_head;
    return on_head;
}

static void
connect_exchange(http_exchange_t *exchange)
{
    http_target_t *target = exchange->target;
    exchange->connected = true;
    target->connections++;
    h2o_http1client_connect_with_pool(&exchange->client, exchange,
                                      &target->context, &target->pool,
                                      on_connect);
}

static void
start_waiting(http_target_t *target)
{
    while (target->connections < target->connections_max) {
        http_exchange_t *exchange = g_queue_pop_head(&target->waiting);
        if (exchange == NULL) {
            return;
        }
        exchange->waiting_link = NULL;
        connect_exchange(exchange);
    }
}

static void
append_slice(GString *text, slice_t slice)
{
    g_string_append_len(text, slice.data, (gssize)slice.len);
}

static GString *
build_request(const http_target_t *target, slice_t method, slice_t path,
              const http_header_t *headers, size_t header_count, slice_t body)
{
    GString *text = g_string_sized_new(512 + body.len);
    append_slice(text, method);
    g_string_append_c(text, ' ');
    append_slice(text, path);
    g_string_append(text, " HTTP/1.1\r\n");
    if (http_header_find(headers, header_count, "host").data == NULL) {
        g_string_append_printf(text, "host: %s:%u\r\n",
                               target->endpoint.address,
                               target->endpoint.port);
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

/// Creates the connections to @p endpoint; none is opened yet.
http_target_t *
http_target_new(loop_t *loop, const endpoint_t *endpoint,
                uint32_t connections_max, size_t max_answer_bytes)
{
    http_target_t *target = g_new0(http_target_t, 1);
    target->loop = loop;
    target->endpoint = *endpoint;
    target->connections_max = MAX(connections_max, 1);
    target->max_answer_bytes = max_answer_bytes;
    g_queue_init(&target->waiting);
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons(endpoint->port)};
    inet_pton(AF_INET, endpoint->address, &address.sin_addr);
    h2o_socketpool_init_by_address(&target->pool, (struct sockaddr *)&address,
                                   sizeof(address), 0,
                                   target->connections_max);
    h2o_socketpool_set_timeout(&target->pool, loop->h2o, POOL_IDLE_MS);
    target->context = (h2o_http1client_ctx_t){
        .loop = loop->h2o, .io_timeout = &loop->idle_timeout};
    return target;
}

/// Ends the target once its exchanges are over; new ones are not allowed.
void
http_target_release(http_target_t *target)
{
    target->released = true;
    free_target_if_unused(target);
}

/// Starts an exchange. All slices are copied. @p done is called exactly once,
/// never from inside this function, unless the exchange is cancelled.
/// @p timeout_us covers the whole exchange; connect timeouts and exchanges
/// that never got a connection end as HTTP_CONNECT_FAILED.
http_exchange_t *
http_exchange_start(http_target_t *target, slice_t method, slice_t path,
                    const http_header_t *headers, size_t header_count,
                    slice_t body, int64_t timeout_us, http_done_t done,
                    void *context)
{
    http_exchange_t *exchange = g_new0(http_exchange_t, 1);
    exchange->target = target;
    exchange->done = done;
    exchange->context = context;
    exchange->is_head = slice_equal_string(method, "HEAD");
    exchange->request =
        build_request(target, method, path, headers, header_count, body);
    exchange->body = g_byte_array_new();
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
    if (exchange->client != NULL) {
        h2o_http1client_cancel(exchange->client);
    }
    free_exchange(exchange);
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
