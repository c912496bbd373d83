/// @file
/// The pooled HTTP client against a server that plays scripted answers.

#include <arpa/inet.h>
#include <pthread.h>
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

#include "ibisfield/io/http_client.h"

#include "common/suite.h"

#define TEST_TIMEOUT_US (20 * US_PER_S)

/// A server that answers every request with the same bytes. With @p closes it
/// closes the connection after each answer.
typedef struct {
    int listener;
    endpoint_t endpoint;
    const char *answer;
    bool closes;
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

/// A connection of a server. It may outlive the server.
typedef struct {
    const char *answer;
    bool closes;
    int connection;
} served_t;

static void *
serve_connection(void *context)
{
    served_t *served = context;
    size_t len = strlen(served->answer);
    while (read_request(served->connection) &&
           send(served->connection, served->answer, len, MSG_NOSIGNAL) ==
               (ssize_t)len &&
           !served->closes)
    {
    }
    close(served->connection);
    g_free(served);
    return NULL;
}

/// Serves each connection in a thread, which ends with the connection.
static void *
serve(void *context)
{
    script_server_t *server = context;
    int connection;
    while ((connection = accept(server->listener, NULL, NULL)) >= 0) {
        server->connections++;
        served_t *served = g_new(served_t, 1);
        *served = (served_t){server->answer, server->closes, connection};
        pthread_t thread;
        pthread_create(&thread, NULL, serve_connection, served);
        pthread_detach(thread);
    }
    return NULL;
}

static void
start_server(script_server_t *server, const char *answer, bool closes)
{
    *server = (script_server_t){.answer = answer, .closes = closes};
    server->listener = socket(AF_INET, SOCK_STREAM, 0);
    struct sockaddr_in address = {.sin_family = AF_INET};
    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    socklen_t size = sizeof(address);
    if (bind(server->listener, (struct sockaddr *)&address, size) != 0 ||
        listen(server->listener, 1024) != 0 ||
        getsockname(server->listener, (struct sockaddr *)&address, &size) != 0)
    {
        CU_FAIL_FATAL("no listener");
    }
    g_strlcpy(server->endpoint.address, "127.0.0.1", 16);
    server->endpoint.port = ntohs(address.sin_port);
    pthread_create(&server->thread, NULL, serve, server);
}

static void
stop_server(script_server_t *server)
{
    shutdown(server->listener, SHUT_RDWR);
    pthread_join(server->thread, NULL);
    close(server->listener);
}

static void
on_done(void *context, const http_response_t *answer)
{
    results_t *results = context;
    results->last = *answer;
    size_t len = MIN(answer->body.len, sizeof(results->body) - 1);
    if (len > 0) {
        memcpy(results->body, answer->body.data, len);
    }
    results->body[len] = '\0';
    results->count++;
    if (results->count == results->expected) {
        loop_stop(results->loop);
    }
}

static http_exchange_t *
get(http_pool_t *target, results_t *results, int64_t timeout_us)
{
    return http_exchange_start(target, SLICE_LITERAL("GET"),
                               SLICE_LITERAL("/"), NULL, 0, (slice_t){NULL, 0},
                               timeout_us, on_done, results);
}

/// Sends @p count requests at the same time and waits for their results.
static results_t
exchange(script_server_t *server, int count, size_t max_bytes,
         int64_t timeout_us)
{
    clock_source_t clock;
    boot_clock_init(&clock);
    loop_t loop;
    loop_init(&loop, &clock);
    http_pool_t *target =
        http_pool_new(&loop, &server->endpoint, 1, max_bytes);
    results_t results = {.loop = &loop, .expected = count};
    for (int i = 0; i < count; i++) {
        get(target, &results, timeout_us);
    }
    loop_run(&loop);
    http_pool_release(target);
    loop_finish(&loop);
    return results;
}

static void
check_result(const char *answer, bool closes, http_result_t expected,
             const char *body)
{
    script_server_t server;
    start_server(&server, answer, closes);
    results_t results = exchange(&server, 1, 32, TEST_TIMEOUT_US);
    if (results.last.result != expected) {
        fprintf(stderr, "result %d, expected %d for %s\n", results.last.result,
                expected, answer);
    }
    CU_ASSERT_EQUAL(results.last.result, expected);
    if (body != NULL) {
        CU_ASSERT_STRING_EQUAL(results.body, body);
    }
    stop_server(&server);
}

/// Guards against whole answers that are taken for broken ones.
static void
test_whole_answers(void)
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

/// Guards against passing on a part of an answer.
static void
test_truncated_answers_are_lost(void)
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

/// Guards against unbounded memory for answers.
static void
test_large_answers_are_refused(void)
{
    check_result("HTTP/1.1 200 OK\r\ncontent-length: 33\r\n\r\n"
                 "0123456789abcdef0123456789abcdef0",
                 false, HTTP_TOO_LARGE, NULL);
    check_result("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
                 "21\r\n0123456789abcdef0123456789abcdef0\r\n0\r\n\r\n",
                 false, HTTP_TOO_LARGE, NULL);
}

/// Guards against calling a request not sent when it may have arrived, and
/// the other way round.
static void
test_failures_tell_whether_bytes_were_sent(void)
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

/// Guards against opening more connections than the upstream accepts.
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

/// Guards against a result that is delivered after a cancel.
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
    http_pool_t *target = http_pool_new(&loop, &server.endpoint, 1, 32);
    results_t cancelled = {.loop = &loop};
    results_t kept = {.loop = &loop, .expected = 1};
    http_exchange_t *running = get(target, &cancelled, TEST_TIMEOUT_US);
    http_exchange_t *waiting = get(target, &cancelled, TEST_TIMEOUT_US);
    get(target, &kept, TEST_TIMEOUT_US);
    http_exchange_cancel(waiting);
    http_exchange_cancel(running);
    loop_run(&loop);
    CU_ASSERT_EQUAL(cancelled.count, 0);
    CU_ASSERT_EQUAL(kept.last.result, HTTP_COMPLETE);
    http_pool_release(target);
    loop_finish(&loop);
    stop_server(&server);
}

#define STORM_EXCHANGES 4000
#define STORM_WIDTH 8

typedef struct {
    http_pool_t *target;
    results_t results;
    int started;
    loop_timer_t timer;
} storm_t;

static void continue_storm(void *context);

static void
storm_done(void *context, const http_response_t *answer)
{
    storm_t *storm = context;
    on_done(&storm->results, answer);
    loop_timer_start(storm->results.loop, &storm->timer, 0, continue_storm,
                     storm);
}

static http_exchange_t *
storm_get(storm_t *storm)
{
    return http_exchange_start(storm->target, SLICE_LITERAL("GET"),
                               SLICE_LITERAL("/"), NULL, 0, (slice_t){NULL, 0},
                               TEST_TIMEOUT_US, storm_done, storm);
}

/// Starts exchanges on pooled connections, which are written to at once, and
/// cancels some of them in the same round.
static void
continue_storm(void *context)
{
    storm_t *storm = context;
    while (storm->started - storm->results.count < STORM_WIDTH &&
           storm->started < STORM_EXCHANGES)
    {
        storm->started++;
        storm_get(storm);
        http_exchange_cancel(storm_get(storm));
    }
}

/// Guards against a crash when a timer starts and cancels an exchange in one
/// round, as the entry does with a second attempt, while others are answered.
static void
test_cancel_in_the_round_of_the_start(void)
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
    storm_t storm = {
        .target = http_pool_new(&loop, &server.endpoint, 2 * STORM_WIDTH, 32),
        .results = {.loop = &loop, .expected = STORM_EXCHANGES},
    };
    loop_timer_start(&loop, &storm.timer, 0, continue_storm, &storm);
    loop_run(&loop);
    CU_ASSERT_EQUAL(storm.results.count, STORM_EXCHANGES);
    CU_ASSERT_EQUAL(storm.results.last.result, HTTP_COMPLETE);
    loop_timer_stop(&loop, &storm.timer);
    http_pool_release(storm.target);
    loop_finish(&loop);
    stop_server(&server);
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"whole answers", test_whole_answers},
        {"truncated answers", test_truncated_answers_are_lost},
        {"large answers", test_large_answers_are_refused},
        {"failures", test_failures_tell_whether_bytes_were_sent},
        {"waiting", test_exchanges_wait_for_a_free_connection},
        {"cancel", test_cancelled_exchange_reports_nothing},
        {"cancel in one round", test_cancel_in_the_round_of_the_start},
        CU_TEST_INFO_NULL,
    };
    return run_suite("http client", tests);
}
