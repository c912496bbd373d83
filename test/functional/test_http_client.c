/// @file
/// The pooled HTTP client against a server that sends scripted responses.

#include <arpa/inet.h>
#include <pthread.h>
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

#include "ibisfield/io/http_client.h"
#include "ibisfield/io/response_reader.h"

#include "common/suite.h"

#define TEST_TIMEOUT_US (20 * US_PER_S)

/// A server that sends the same bytes in response to every request. With
/// closes_connection, it closes the connection after each response.
typedef struct {
    int listener;
    endpoint_t endpoint;
    const char *response;
    const char *first_response; ///< on the first connection; NULL: response
    const char *endless; ///< repeated after each response until the client
                         ///< closes; NULL: nothing
    bool closes_connection;
    _Atomic int connections;
    pthread_t thread;
} script_server_t;

typedef struct {
    loop_t *loop;
    int expected;
    int count;
    http_response_t last;
    char body[64];
} results_t;

static bool
read_request(int connection)
{
    char bytes[4096];
    size_t used = 0;
    while (used < sizeof(bytes) - 1) {
        ssize_t got = read(connection, bytes + used, sizeof(bytes) - 1 - used);
        if (got <= 0) {
            return false;
        }
        used += (size_t)got;
        bytes[used] = '\0';
        if (strstr(bytes, "\r\n\r\n") != NULL) {
            return true;
        }
    }
    return false;
}

/// A connection that a server has accepted. It may outlive the server.
typedef struct {
    const char *response;
    const char *endless;
    bool closes_connection;
    int connection;
} served_connection_t;

static void
send_endlessly(const served_connection_t *served)
{
    ssize_t len =
        served->endless == NULL ? 0 : (ssize_t)strlen(served->endless);
    while (len > 0 && send(served->connection, served->endless, (size_t)len,
                           MSG_NOSIGNAL) == len)
    {
    }
}

static void *
serve_connection(void *context)
{
    served_connection_t *served = context;
    size_t len = strlen(served->response);
    while (read_request(served->connection) &&
           send(served->connection, served->response, len, MSG_NOSIGNAL) ==
               (ssize_t)len &&
           !served->closes_connection)
    {
        send_endlessly(served);
    }
    close(served->connection);
    g_free(served);
    return NULL;
}

/// Serves each connection in a thread of its own, which ends with it.
static void *
serve(void *context)
{
    script_server_t *server = context;
    int connection;
    while ((connection = accept(server->listener, NULL, NULL)) >= 0) {
        bool is_first = server->connections++ == 0;
        served_connection_t *served = g_new(served_connection_t, 1);
        *served = (served_connection_t){
            .response = is_first && server->first_response != NULL
                            ? server->first_response
                            : server->response,
            .endless = server->endless,
            .closes_connection = server->closes_connection,
            .connection = connection};
        pthread_t thread;
        pthread_create(&thread, NULL, serve_connection, served);
        pthread_detach(thread);
    }
    return NULL;
}

static void
open_server(script_server_t *server)
{
    server->listener = socket(AF_INET, SOCK_STREAM, 0);
    struct sockaddr_in address = {.sin_family = AF_INET};
    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    socklen_t size = sizeof(address);
    if (bind(server->listener, (struct sockaddr *)&address, size) != 0 ||
        listen(server->listener, 1024) != 0 ||
        getsockname(server->listener, (struct sockaddr *)&address, &size) != 0)
    {
        CU_FAIL_FATAL("can't open the listener");
    }
    g_strlcpy(server->endpoint.address, "127.0.0.1", 16);
    server->endpoint.port = ntohs(address.sin_port);
    pthread_create(&server->thread, NULL, serve, server);
}

static void
start_server(script_server_t *server, const char *response,
             bool closes_connection)
{
    *server = (script_server_t){.response = response,
                                .closes_connection = closes_connection};
    open_server(server);
}

static void
stop_server(script_server_t *server)
{
    shutdown(server->listener, SHUT_RDWR);
    pthread_join(server->thread, NULL);
    close(server->listener);
}

static void
on_done(void *context, const http_response_t *response)
{
    results_t *results = context;
    results->last = *response;
    size_t len = MIN(response->body.len, sizeof(results->body) - 1);
    if (len > 0) {
        memcpy(results->body, response->body.data, len);
    }
    results->body[len] = '\0';
    results->count++;
    if (results->count == results->expected) {
        loop_stop(results->loop);
    }
}

static http_exchange_t *
get(http_pool_t *pool, results_t *results, int64_t timeout_us)
{
    return http_exchange_start(pool, SLICE_LITERAL("GET"), SLICE_LITERAL("/"),
                               NULL, 0, (slice_t){NULL, 0}, timeout_us,
                               on_done, results);
}

/// Sends @p count concurrent requests and waits for their results.
static results_t
exchange(script_server_t *server, int count, size_t max_bytes,
         int64_t timeout_us)
{
    clock_source_t clock;
    boot_clock_init(&clock);
    loop_t loop;
    loop_init(&loop, &clock);
    http_pool_t *pool = http_pool_new(&loop, &server->endpoint, 1, max_bytes);
    results_t results = {.loop = &loop, .expected = count};
    for (int i = 0; i < count; i++) {
        get(pool, &results, timeout_us);
    }
    loop_run(&loop);
    http_pool_release(pool);
    loop_finish(&loop);
    return results;
}

static void
check_result(const char *response, bool closes_connection,
             http_result_t expected, const char *body)
{
    script_server_t server;
    start_server(&server, response, closes_connection);
    results_t results = exchange(&server, 1, 32, TEST_TIMEOUT_US);
    if (results.last.result != expected) {
        fprintf(stderr, "result %d, expected %d for %s\n", results.last.result,
                expected, response);
    }
    CU_ASSERT_EQUAL(results.last.result, expected);
    if (body != NULL) {
        CU_ASSERT_STRING_EQUAL(results.body, body);
    }
    stop_server(&server);
}

/// Guards against complete responses that are rejected as truncated.
static void
test_complete_responses(void)
{
    check_result("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello", false,
                 HTTP_COMPLETE, "hello");
    check_result("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
                 "3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n",
                 true, HTTP_COMPLETE, "hello");
    check_result("HTTP/1.1 204 No Content\r\n\r\n", false, HTTP_COMPLETE, "");
    check_result("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n", true,
                 HTTP_COMPLETE, "");
}

/// Guards against reporting a truncated response as complete.
static void
test_truncated_responses_are_lost(void)
{
    check_result("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhello", true,
                 HTTP_LOST, NULL);
    check_result("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
                 "5\r\nhel",
                 true, HTTP_LOST, NULL);
    check_result("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
                 "5\r\nhello\r\n",
                 true, HTTP_LOST, NULL);
    check_result("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", true,
                 HTTP_LOST, NULL);
    check_result("HTTP/1.1 200 OK\r\n\r\nhello", true, HTTP_LOST, NULL);
    check_result("HTTP/1.1 200 O", true, HTTP_LOST, NULL);
    check_result("no http at all\r\n\r\n", true, HTTP_LOST, NULL);
}

/// Guards against unbounded memory use for responses.
static void
test_large_responses_are_rejected(void)
{
    check_result("HTTP/1.1 200 OK\r\ncontent-length: 33\r\n\r\n"
                 "0123456789abcdef0123456789abcdef0",
                 false, HTTP_TOO_LARGE, NULL);
    check_result("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
                 "21\r\n0123456789abcdef0123456789abcdef0\r\n0\r\n\r\n",
                 false, HTTP_TOO_LARGE, NULL);
}

/// Guards against reading a response that never ends until the timeout.
static void
test_endless_bytes_end_the_exchange(void)
{
    static const struct {
        const char *start;
        const char *endless;
        http_result_t expected;
    } cases[] = {
        {"HTTP/1.1 200 OK\r\nx: ", "aaaaaaaaaaaaaaaaaaaaaaaaaaaa", HTTP_LOST},
        {"HTTP/1.1 200 OK\r\n", "x: a\r\n", HTTP_LOST},
        {"HTTP/1.1 200 ", "aaaaaaaaaaaaaaaaaaaaaaaaaaaa", HTTP_LOST},
        {"\r\n", "\r\n\r\n\r\n\r\n", HTTP_LOST},
        {"no http at all ", "aaaaaaaaaaaaaaaaaaaaaaaaaaaa", HTTP_LOST},
        {"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n",
         HTTP_LOST},
        {"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "1\r\na\r\n",
         HTTP_TOO_LARGE},
        {"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1;",
         "aaaaaaaaaaaaaaaaaaaaaaaaaaaa", HTTP_LOST},
        {"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
         "x: a\r\n", HTTP_LOST},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        script_server_t server = {.response = cases[i].start,
                                  .endless = cases[i].endless};
        open_server(&server);
        gint64 start_us = g_get_monotonic_time();
        results_t results = exchange(&server, 1, 32, TEST_TIMEOUT_US);
        bool ended_early =
            g_get_monotonic_time() - start_us < TEST_TIMEOUT_US / 2;
        if (results.last.result != cases[i].expected || !ended_early) {
            fprintf(stderr, "case %zu: result %d, expected %d\n", i,
                    results.last.result, cases[i].expected);
        }
        CU_ASSERT_EQUAL(results.last.result, cases[i].expected);
        CU_ASSERT_TRUE(ended_early);
        stop_server(&server);
    }
}

/// Returns the memory that a response takes, head included.
static size_t
held_bytes(const char *text)
{
    response_reader_t reader;
    response_reader_init(&reader, 32, false);
    response_reader_start(&reader, false);
    response_reader_feed(&reader, slice_from_string(text));
    size_t bytes = response_reader_held_bytes(&reader);
    response_reader_finish(&reader);
    return bytes;
}

/// Guards against many large responses that together exhaust the memory.
static void
test_responses_share_a_size_limit(void)
{
    clock_source_t clock;
    boot_clock_init(&clock);
    loop_t loop;
    loop_init(&loop, &clock);
    // The responses are never complete.
    script_server_t server = {
        .response = "HTTP/1.1 200 OK\r\ncontent-length: 31\r\n\r\n"
                    "0123456789"};
    open_server(&server);
    http_pool_t *pool = http_pool_new_with_options(
        &loop, &(http_pool_options_t){.endpoint = server.endpoint,
                                      .connections_max = 8,
                                      .max_response_bytes = 32,
                                      .max_buffered_bytes =
                                          4 * held_bytes(server.response)});
    results_t results = {.loop = &loop, .expected = 8};
    int too_large = 0;
    for (int i = 0; i < 8; i++) {
        get(pool, &results, US_PER_S / 2);
    }
    results.expected = 4;
    loop_run(&loop);
    too_large = results.last.result == HTTP_TOO_LARGE ? results.count : 0;
    CU_ASSERT_EQUAL(too_large, 4);
    results.expected = 8;
    loop_run(&loop);
    CU_ASSERT_EQUAL(results.last.result, HTTP_LOST);
    http_pool_release(pool);
    loop_finish(&loop);
    stop_server(&server);
}

/// Guards against a server that sends responses to an earlier request without
/// end.
static void
test_endless_stale_responses_end_the_exchange(void)
{
    clock_source_t clock;
    boot_clock_init(&clock);
    loop_t loop;
    loop_init(&loop, &clock);
    static const char stale[] =
        "HTTP/1.1 200 OK\r\nid: old\r\ncontent-length: 0\r\n\r\n";
    script_server_t server = {.response = stale, .endless = stale};
    open_server(&server);
    http_pool_t *pool = http_pool_new_with_options(
        &loop, &(http_pool_options_t){.endpoint = server.endpoint,
                                      .connections_max = 1,
                                      .max_response_bytes = 32,
                                      .echoed_header = "id"});
    results_t results = {.loop = &loop, .expected = 1};
    gint64 start_us = g_get_monotonic_time();
    const http_header_t id = {SLICE_LITERAL("id"), SLICE_LITERAL("new")};
    http_exchange_start(pool, SLICE_LITERAL("GET"), SLICE_LITERAL("/"), &id, 1,
                        (slice_t){NULL, 0}, TEST_TIMEOUT_US, on_done,
                        &results);
    loop_run(&loop);
    CU_ASSERT_EQUAL(results.last.result, HTTP_LOST);
    CU_ASSERT_TRUE(g_get_monotonic_time() - start_us < TEST_TIMEOUT_US / 2);
    http_pool_release(pool);
    loop_finish(&loop);
    stop_server(&server);
}

/// Guards against taking an earlier refusal, which a faulty server writes once
/// more on a kept connection, for the response to the next request.
static void
test_repeated_refusal_does_not_answer_the_next_request(void)
{
    static const char *const refusals[] = {
        "HTTP/1.1 503 Service Unavailable\r\nx-refused: 1\r\n"
        "content-length: 0\r\n\r\n",
        "HTTP/1.1 421 Misdirected Request\r\ncontent-length: 0\r\n\r\n",
    };
    for (size_t i = 0; i < G_N_ELEMENTS(refusals); i++) {
        clock_source_t clock;
        boot_clock_init(&clock);
        loop_t loop;
        loop_init(&loop, &clock);
        script_server_t server = {
            .first_response = refusals[i],
            .response = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"};
        open_server(&server);
        http_pool_t *pool = http_pool_new_with_options(
            &loop, &(http_pool_options_t){.endpoint = server.endpoint,
                                          .connections_max = 1,
                                          .max_response_bytes = 32,
                                          .refusal_header = "x-refused"});
        for (int j = 0; j < 3; j++) {
            results_t results = {.loop = &loop, .expected = 1};
            get(pool, &results, TEST_TIMEOUT_US);
            loop_run(&loop);
            CU_ASSERT_EQUAL(results.last.result, HTTP_COMPLETE);
            CU_ASSERT_EQUAL(results.last.status == 200, j > 0);
        }
        CU_ASSERT_EQUAL(server.connections, 2);
        http_pool_release(pool);
        loop_finish(&loop);
        stop_server(&server);
    }
}

/// Guards against reporting a request as not sent when the server may have
/// received it, and as sent when no byte of it was.
static void
test_failures_distinguish_whether_bytes_were_sent(void)
{
    script_server_t server;
    start_server(&server, "", false);
    results_t results = exchange(&server, 1, 32, 50 * US_PER_MS);
    CU_ASSERT_EQUAL(results.last.result, HTTP_LOST);
    // The second exchange waits for the only connection and is never sent.
    results = exchange(&server, 2, 32, 50 * US_PER_MS);
    CU_ASSERT_EQUAL(results.count, 2);
    stop_server(&server);
    results = exchange(&server, 1, 32, TEST_TIMEOUT_US);
    CU_ASSERT_EQUAL(results.last.result, HTTP_CONNECT_FAILED);
}

/// Guards against opening more connections than configured, which is the
/// number that the upstream accepts.
static void
test_exchanges_wait_for_a_free_connection(void)
{
    script_server_t server;
    start_server(&server, "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok",
                 false);
    results_t results = exchange(&server, 50, 32, TEST_TIMEOUT_US);
    CU_ASSERT_EQUAL(results.count, 50);
    CU_ASSERT_EQUAL(results.last.result, HTTP_COMPLETE);
    CU_ASSERT_EQUAL(server.connections, 1);
    stop_server(&server);
}

/// Guards against reporting the result of a cancelled exchange.
static void
test_cancelled_exchange_reports_nothing(void)
{
    script_server_t server;
    start_server(&server, "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok",
                 false);
    clock_source_t clock;
    boot_clock_init(&clock);
    loop_t loop;
    loop_init(&loop, &clock);
    http_pool_t *pool = http_pool_new(&loop, &server.endpoint, 1, 32);
    results_t cancelled = {.loop = &loop};
    results_t kept = {.loop = &loop, .expected = 1};
    http_exchange_t *running = get(pool, &cancelled, TEST_TIMEOUT_US);
    http_exchange_t *waiting = get(pool, &cancelled, TEST_TIMEOUT_US);
    get(pool, &kept, TEST_TIMEOUT_US);
    http_exchange_cancel(waiting);
    http_exchange_cancel(running);
    loop_run(&loop);
    CU_ASSERT_EQUAL(cancelled.count, 0);
    CU_ASSERT_EQUAL(kept.last.result, HTTP_COMPLETE);
    http_pool_release(pool);
    loop_finish(&loop);
    stop_server(&server);
}

#define STRESS_EXCHANGES 4000
#define STRESS_CONCURRENCY 8

typedef struct {
    http_pool_t *pool;
    results_t results;
    int started;
    loop_timer_t timer;
} stress_t;

static void start_stress_exchanges(void *context);

static void
on_stress_done(void *context, const http_response_t *response)
{
    stress_t *stress = context;
    on_done(&stress->results, response);
    loop_timer_start(stress->results.loop, &stress->timer, 0,
                     start_stress_exchanges, stress);
}

static http_exchange_t *
stress_get(stress_t *stress)
{
    return http_exchange_start(stress->pool, SLICE_LITERAL("GET"),
                               SLICE_LITERAL("/"), NULL, 0, (slice_t){NULL, 0},
                               TEST_TIMEOUT_US, on_stress_done, stress);
}

/// Starts exchanges on pooled connections, to which they are written at once,
/// and cancels every second one in the same iteration of the event loop.
static void
start_stress_exchanges(void *context)
{
    stress_t *stress = context;
    while (stress->started - stress->results.count < STRESS_CONCURRENCY &&
           stress->started < STRESS_EXCHANGES)
    {
        stress->started++;
        stress_get(stress);
        http_exchange_cancel(stress_get(stress));
    }
}

/// Guards against a crash when a timer starts and cancels an exchange in the
/// same iteration of the event loop, as the entry does with a second attempt,
/// while responses to other exchanges arrive.
static void
test_cancel_in_the_iteration_of_the_start(void)
{
    script_server_t server;
    start_server(&server,
                 "HTTP/1.1 200 OK\r\ncontent-length: 2\r\na: 1\r\nb: 2\r\n"
                 "c: 3\r\nd: 4\r\ne: 5\r\n\r\nok",
                 false);
    clock_source_t clock;
    boot_clock_init(&clock);
    loop_t loop;
    loop_init(&loop, &clock);
    stress_t stress = {
        .pool =
            http_pool_new(&loop, &server.endpoint, 2 * STRESS_CONCURRENCY, 32),
        .results = {.loop = &loop, .expected = STRESS_EXCHANGES},
    };
    loop_timer_start(&loop, &stress.timer, 0, start_stress_exchanges, &stress);
    loop_run(&loop);
    CU_ASSERT_EQUAL(stress.results.count, STRESS_EXCHANGES);
    CU_ASSERT_EQUAL(stress.results.last.result, HTTP_COMPLETE);
    loop_timer_stop(&loop, &stress.timer);
    http_pool_release(stress.pool);
    loop_finish(&loop);
    stop_server(&server);
}

typedef struct {
    byte_account_t account;
    loop_t *loop;
    http_exchange_t *exchange;
} relief_t;

static void
cancel_for_memory(void *context)
{
    relief_t *relief = context;
    byte_account_change(&relief->account, relief->account.held, 0);
    http_exchange_cancel(relief->exchange);
    loop_stop(relief->loop);
}

/// Guards against responses that are read while more memory is held than the
/// limit allows, and whose own exchange the relief may end.
static void
test_memory_is_freed_before_a_response_is_read(void)
{
    script_server_t server;
    start_server(&server, "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok",
                 false);
    clock_source_t clock;
    boot_clock_init(&clock);
    loop_t loop;
    loop_init(&loop, &clock);
    relief_t relief = {.loop = &loop};
    byte_account_init(&relief.account, 1024);
    byte_account_set_relief(&relief.account, cancel_for_memory, &relief);
    byte_account_change(&relief.account, 0, 1025); // held by somebody else
    http_pool_t *pool = http_pool_new_with_options(
        &loop, &(http_pool_options_t){.endpoint = server.endpoint,
                                      .connections_max = 1,
                                      .max_response_bytes = 32,
                                      .account = &relief.account});
    results_t results = {.loop = &loop, .expected = 1};
    relief.exchange = get(pool, &results, TEST_TIMEOUT_US);
    loop_run(&loop);
    CU_ASSERT_EQUAL(results.count, 0);
    CU_ASSERT_EQUAL(relief.account.held, 0);
    http_pool_release(pool);
    loop_finish(&loop);
    stop_server(&server);
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"complete responses", test_complete_responses},
        {"truncated responses", test_truncated_responses_are_lost},
        {"large responses", test_large_responses_are_rejected},
        {"repeated refusal",
         test_repeated_refusal_does_not_answer_the_next_request},
        {"endless bytes", test_endless_bytes_end_the_exchange},
        {"shared size limit", test_responses_share_a_size_limit},
        {"endless stale responses",
         test_endless_stale_responses_end_the_exchange},
        {"failures", test_failures_distinguish_whether_bytes_were_sent},
        {"waiting", test_exchanges_wait_for_a_free_connection},
        {"cancel", test_cancelled_exchange_reports_nothing},
        {"cancel in one iteration", test_cancel_in_the_iteration_of_the_start},
        {"memory before a response",
         test_memory_is_freed_before_a_response_is_read},
        CU_TEST_INFO_NULL,
    };
    return run_suite("http client", tests);
}
