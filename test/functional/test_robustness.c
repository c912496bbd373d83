/// @file
/// Invalid, oversized and incomplete requests, and upstreams that fail. Each
/// case must be refused with the correct outcome, counted and logged, and must
/// not end the node.

#include <arpa/inet.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/suite.h"
#include "common/testbed.h"

#define MAX_CONNECTIONS 32
#define CUSTOMER "ibisfield-customer: acme"

static const char contract[] =
    "{\"customer\": \"acme\", \"retries\": 0, \"client_retry_percent\": 100,"
    " \"kinds\": [{\"name\": \"look\", \"service\": \"solo\","
    " \"method\": \"GET\", \"path\": \"/look\", \"worth\": 10,"
    " \"deadline_ms\": 20000, \"run\": \"repeatable\"},"
    " {\"name\": \"send\", \"service\": \"solo\", \"method\": \"PUT\","
    " \"path\": \"/send\", \"worth\": 10, \"deadline_ms\": 20000,"
    " \"run\": \"repeatable\"}]}";

static const char settings[] = ", \"max_connections\": " G_STRINGIFY(
    MAX_CONNECTIONS) ","
                     " \"max_request_bytes\": 2000, \"max_answer_bytes\": "
                     "4000,"
                     " \"key_linger_ms\": 0";

static testbed_t bed;
static testbed_vm_t *vm;

typedef struct {
    const char *metric;
    int64_t above;
} metric_wait_t;

static bool
is_above(void *context)
{
    const metric_wait_t *wait = context;
    return node_metric(vm, wait->metric) > wait->above;
}

/// Waits until a metric of the node is above a value; false after a timeout.
static bool
wait_metric(const char *metric, int64_t above)
{
    metric_wait_t wait = {metric, above};
    return wait_until(is_above, &wait);
}

static int
connect_to(uint16_t port)
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons(port)};
    inet_pton(AF_INET, vm->address, &address.sin_addr);
    struct timeval limit = {.tv_sec = EVENT_TIMEOUT_MS / 1000};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    CU_ASSERT_EQUAL_FATAL(
        connect(fd, (struct sockaddr *)&address, sizeof(address)), 0);
    return fd;
}

static void
send_text(int fd, const char *text)
{
    size_t len = strlen(text);
    CU_ASSERT_EQUAL(send(fd, text, len, MSG_NOSIGNAL), (ssize_t)len);
}

/// Sends raw bytes and returns what is received until the connection ends.
static char *
exchange_raw(uint16_t port, const char *text)
{
    int fd = connect_to(port);
    GString *response = g_string_new(NULL);
    char bytes[4096];
    ssize_t got;
    send(fd, text, strlen(text), MSG_NOSIGNAL);
    while ((got = recv(fd, bytes, sizeof(bytes), 0)) > 0) {
        g_string_append_len(response, bytes, got);
    }
    close(fd);
    return g_string_free(response, FALSE);
}

static text_response_t
send_look_request(void)
{
    return http_call(vm->address, PORT_CALLER, "GET", "/look", CUSTOMER, NULL);
}

static void
assert_serves(void)
{
    assert_response(send_look_request(), 200, "ibisfield-outcome: answered\n");
}

static void
configure_upstream(const char *path)
{
    text_response_t response =
        http_call(vm->address, PORT_UPSTREAM, "POST", path, NULL, NULL);
    CU_ASSERT_EQUAL(response.status, 200);
    text_response_free(&response);
}

/// Guards against a node that ends, or responds with a wrong outcome, on bytes
/// that aren't HTTP.
static void
test_malformed_requests(void)
{
    int64_t before = node_metric(vm, "ibisfield_requests_malformed_total");
    char *response = exchange_raw(PORT_CALLER, "GET  nonsense\r\n\r\n");
    CU_ASSERT_PTR_NOT_NULL(strstr(response, " 400 "));
    g_free(response);
    response = exchange_raw(PORT_CALLER, "PUT /send HTTP/1.1\r\nhost: a\r\n"
                                         "content-length: x\r\n\r\n");
    CU_ASSERT_PTR_NOT_NULL(strstr(response, " 400 "));
    CU_ASSERT_PTR_NOT_NULL(strstr(response, "ibisfield-reason: malformed"));
    CU_ASSERT_PTR_NOT_NULL(strstr(response, "ibisfield-outcome: not-run"));
    CU_ASSERT_PTR_NOT_NULL(strstr(response, "\"reason\":\"malformed\""));
    g_free(response);
    CU_ASSERT_TRUE(
        wait_metric("ibisfield_requests_malformed_total", before + 1));
    CU_ASSERT_TRUE(process_wait_log(&vm->node, "reason=malformed"));
    assert_serves();
    CU_ASSERT_EQUAL(node_metric(vm, "ibisfield_requests_malformed_total"),
                    before + 2);
}

/// Guards against unbounded request headers.
static void
test_oversized_headers(void)
{
    int64_t before = node_metric(vm, "ibisfield_requests_malformed_total");
    GString *many = g_string_new("GET /look HTTP/1.1\r\nhost: a\r\n");
    for (int i = 0; i < 200; i++) {
        g_string_append_printf(many, "h%d: v\r\n", i);
    }
    g_string_append(many, "\r\n");
    char *response = exchange_raw(PORT_CALLER, many->str);
    CU_ASSERT_PTR_NULL(strstr(response, " 200 "));
    g_free(response);
    g_string_free(many, TRUE);
    char *long_value = g_strnfill(1 << 20, 'v');
    char *large = g_strconcat(
        "GET /look HTTP/1.1\r\nhost: a\r\nh: ", long_value, "\r\n\r\n", NULL);
    response = exchange_raw(PORT_CALLER, large);
    CU_ASSERT_PTR_NULL(strstr(response, " 200 "));
    g_free(response);
    g_free(large);
    g_free(long_value);
    CU_ASSERT_TRUE(
        wait_metric("ibisfield_requests_malformed_total", before + 1));
    assert_serves();
}

/// Guards against accepting bodies above max_request_bytes.
static void
test_body_above_the_limit(void)
{
    int64_t before = node_metric(vm, "ibisfield_requests_too_large_total");
    char *body = g_strnfill(3000, 'b');
    char *request =
        g_strdup_printf("PUT /send HTTP/1.1\r\nhost: a\r\n" CUSTOMER
                        "\r\ncontent-length: 3000\r\n\r\n%s",
                        body);
    char *response = exchange_raw(PORT_CALLER, request);
    CU_ASSERT_PTR_NOT_NULL(strstr(response, " 413 "));
    CU_ASSERT_PTR_NOT_NULL(
        strstr(response, "ibisfield-reason: request-too-large"));
    CU_ASSERT_PTR_NOT_NULL(strstr(response, "ibisfield-outcome: not-run"));
    g_free(response);
    g_free(request);
    g_free(body);
    CU_ASSERT_TRUE(wait_metric("ibisfield_requests_too_large_total", before));
    CU_ASSERT_TRUE(process_wait_log(&vm->node, "reason=request-too-large"));
    assert_serves();
}

/// Guards against nodes that misinterpret requests of another protocol
/// version.
static void
test_wrong_protocol_version(void)
{
    int64_t before = node_metric(vm, "ibisfield_protocol_refusals_total");
    assert_response(http_call(vm->address, PORT_PEER, "GET", "/look",
                              "ibisfield-protocol: 2", NULL),
                    505, "ibisfield-reason: protocol-version\n");
    assert_response(
        http_call(vm->address, PORT_PEER, "GET", "/look", NULL, NULL), 505,
        "ibisfield-outcome: not-run\n");
    CU_ASSERT_TRUE(
        wait_metric("ibisfield_protocol_refusals_total", before + 1));
    CU_ASSERT_TRUE(
        process_wait_log(&vm->node, "event=protocol_version_refused found"));
    assert_serves();
}

/// Guards against accepting requests of nodes that lack required headers.
static void
test_peer_request_without_required_headers(void)
{
    assert_response(http_call(vm->address, PORT_PEER, "GET", "/look",
                              "ibisfield-protocol: 1", NULL),
                    400, "ibisfield-reason: malformed\n");
    CU_ASSERT_TRUE(
        process_wait_log(&vm->node, "event=peer_request_malformed"));
}

/// Guards against closing connections without a response when max_connections
/// are open: the caller couldn't distinguish that from a failed node.
static void
test_full_connection_table(void)
{
    int64_t before = node_metric(vm, "ibisfield_connections_refused_total");
    int held[MAX_CONNECTIONS];
    for (int i = 0; i < MAX_CONNECTIONS; i++) {
        held[i] = connect_to(PORT_CALLER);
    }
    CU_ASSERT_TRUE(wait_metric("ibisfield_connections", MAX_CONNECTIONS - 1));
    assert_response(send_look_request(), 503, "ibisfield-outcome: not-run\n");
    CU_ASSERT_TRUE(wait_metric("ibisfield_connections_refused_total", before));
    CU_ASSERT_TRUE(process_wait_log(&vm->node, "event=connection_refused"));
    for (int i = 0; i < MAX_CONNECTIONS; i++) {
        close(held[i]);
    }
    while (node_metric(vm, "ibisfield_connections") > MAX_CONNECTIONS / 2) {
        usleep(10000);
    }
    assert_serves();
}

/// Guards against passing on a truncated response, and against reporting its
/// request as not run.
static void
test_truncated_response_of_the_upstream(void)
{
    int64_t before = node_metric(vm, "ibisfield_upstream_answers_lost_total");
    configure_upstream("/test/half/1");
    assert_response(send_look_request(), 502, "ibisfield-outcome: unknown\n");
    configure_upstream("/test/half/0");
    CU_ASSERT_TRUE(
        wait_metric("ibisfield_upstream_answers_lost_total", before));
    char *line =
        g_strdup_printf("peer=%s:%d reason=\"connection closed within "
                        "the response\"",
                        vm->address, PORT_UPSTREAM);
    CU_ASSERT_TRUE(process_wait_log(&vm->node, line));
    CU_ASSERT_TRUE(process_has_logged(&vm->node, "event=response_untrusted"));
    g_free(line);
    assert_serves();
}

/// Guards against reporting a request as not run whose connection was reset
/// without a response, and against a loss that isn't logged.
static void
test_upstream_sends_no_response(void)
{
    int64_t before = node_metric(vm, "ibisfield_upstream_answers_lost_total");
    int64_t untrusted = node_metric(vm, "ibisfield_responses_untrusted_total");
    configure_upstream("/test/reset/1");
    assert_response(send_look_request(), 502, "ibisfield-outcome: unknown\n");
    configure_upstream("/test/reset/0");
    CU_ASSERT_TRUE(
        wait_metric("ibisfield_upstream_answers_lost_total", before));
    CU_ASSERT_TRUE(process_wait_log(&vm->node, "event=upstream_answer_lost"));
    CU_ASSERT_EQUAL(node_metric(vm, "ibisfield_responses_untrusted_total"),
                    untrusted);
    assert_serves();
}

/// Guards against reporting the outcome of a shed request as unknown.
static void
test_upstream_sheds(void)
{
    int64_t before = node_metric(vm, "ibisfield_upstream_shed_total");
    configure_upstream("/test/service/1000000");
    int busy = connect_to(PORT_UPSTREAM);
    send_text(busy, "GET /direct HTTP/1.1\r\nhost: a\r\n\r\n");
    configure_upstream("/test/shed/1");
    assert_response(send_look_request(), 503, "ibisfield-outcome: not-run\n");
    CU_ASSERT_TRUE(wait_metric("ibisfield_upstream_shed_total", before));
    configure_upstream("/test/shed/0");
    configure_upstream("/test/service/0");
    close(busy);
}

/// Guards against running requests of callers that have disconnected.
static void
test_disconnected_caller_cancels_upstream_request(void)
{
    int64_t gone = node_metric(vm, "ibisfield_senders_gone_total");
    int64_t cancels = node_metric(vm, "ibisfield_upstream_cancels_total");
    configure_upstream("/test/service/15000000");
    int caller = connect_to(PORT_CALLER);
    send_text(caller, "GET /look HTTP/1.1\r\nhost: a\r\n" CUSTOMER "\r\n\r\n");
    CU_ASSERT_TRUE(wait_metric("ibisfield_guard_in_flight", 0));
    close(caller);
    CU_ASSERT_TRUE(wait_metric("ibisfield_senders_gone_total", gone + 1));
    CU_ASSERT_TRUE(wait_metric("ibisfield_upstream_cancels_total", cancels));
    configure_upstream("/test/service/0");
    assert_serves();
}

/// Guards against peers that occupy connections without ever completing a
/// request.
static void
test_half_open_connection_is_closed(void)
{
    int64_t before = node_metric(vm, "ibisfield_connections_half_open_total");
    int fd = connect_to(PORT_PEER);
    send_text(fd, "GET /look HT");
    char byte;
    CU_ASSERT_EQUAL(recv(fd, &byte, 1, 0), 0);
    close(fd);
    CU_ASSERT_TRUE(
        wait_metric("ibisfield_connections_half_open_total", before));
    CU_ASSERT_TRUE(
        process_wait_log(&vm->node, "event=half_open_connection_closed"));
    assert_serves();
}

/// Guards against reporting an unknown outcome when no byte of a request was
/// sent.
static void
test_upstream_down(void)
{
    int64_t before =
        node_metric(vm, "ibisfield_upstream_connect_failures_total");
    process_stop(&vm->upstream, SIGKILL);
    assert_response(send_look_request(), 503, "ibisfield-outcome: not-run\n");
    CU_ASSERT_TRUE(
        wait_metric("ibisfield_upstream_connect_failures_total", before));
    CU_ASSERT_TRUE(process_wait_log(&vm->node, "event=upstream_unreachable"));
}

/// Guards against a node that has crashed in one of the previous cases, and
/// against a shutdown that isn't graceful.
static void
test_node_still_stops_gracefully(void)
{
    CU_ASSERT_EQUAL(process_stop(&vm->node, SIGTERM), 0);
}

static void
start_bed(void)
{
    static const char *const upstream[] = {"--slots", "4", NULL};
    testbed_init(&bed);
    CU_ASSERT_TRUE(testbed_publish(&bed, "contract/acme", contract));
    vm = testbed_add_vm(&bed, "solo", "north", settings, upstream);
    CU_ASSERT_TRUE_FATAL(testbed_wait_ready(&bed));
    assert_serves();
}

static void
finish_bed(void)
{
    testbed_finish(&bed);
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"start", start_bed},
        {"malformed", test_malformed_requests},
        {"oversized headers", test_oversized_headers},
        {"body above the limit", test_body_above_the_limit},
        {"wrong protocol", test_wrong_protocol_version},
        {"peer request without required headers",
         test_peer_request_without_required_headers},
        {"full connection table", test_full_connection_table},
        {"truncated response", test_truncated_response_of_the_upstream},
        {"no response", test_upstream_sends_no_response},
        {"upstream sheds", test_upstream_sheds},
        {"disconnected caller",
         test_disconnected_caller_cancels_upstream_request},
        {"half-open connection", test_half_open_connection_is_closed},
        {"upstream down", test_upstream_down},
        {"graceful stop", test_node_still_stops_gracefully},
        {"end", finish_bed},
        CU_TEST_INFO_NULL,
    };
    return run_suite("robustness", tests);
}
