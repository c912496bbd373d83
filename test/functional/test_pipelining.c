/// @file
/// Callers that send further requests before the first response, against real
/// nodes on the users' platform: order, bookings in between, planned stops and
/// changes of the desired state.

#include <arpa/inet.h>
#include <signal.h>
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/store_site.h"
#include "common/suite.h"

#define RESPONSE_TIMEOUT_MS 20000
/// Service time of slow runs.
#define SLOW_PATH "/test/service/400000"
#define SLOW_US 400000

/// A caller's connection to a node, and what it has received.
typedef struct {
    int fd;
    GString *received;
    size_t read_len; ///< of the responses that were returned
    bool closed;     ///< by the node
} caller_t;

static void
caller_open(caller_t *caller, int machine)
{
    *caller = (caller_t){.received = g_string_new(NULL)};
    caller->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons(PORT_CALLER)};
    inet_pton(AF_INET, site.machines[machine].address, &address.sin_addr);
    struct timeval limit = {.tv_sec = RESPONSE_TIMEOUT_MS / 1000};
    setsockopt(caller->fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    CU_ASSERT_EQUAL_FATAL(
        connect(caller->fd, (struct sockaddr *)&address, sizeof(address)), 0);
}

static void
caller_close(caller_t *caller)
{
    close(caller->fd);
    g_string_free(caller->received, TRUE);
}

static void
append_request(GString *out, const char *method, const char *path,
               const char *id)
{
    g_string_append_printf(
        out,
        "%s %s HTTP/1.1\r\nhost: site.example\r\n"
        "x-request-id: %s\r\nx-deadline-ms: 8000\r\n%s\r\n",
        method, path, id,
        strcmp(method, "GET") == 0 ? "" : "content-length: 0\r\n");
}

static void
caller_send(caller_t *caller, const GString *requests)
{
    CU_ASSERT_EQUAL(
        send(caller->fd, requests->str, requests->len, MSG_NOSIGNAL),
        (ssize_t)requests->len);
}

/// Receives more bytes. Returns false at the end of the connection.
static bool
receive(caller_t *caller)
{
    char bytes[4096];
    ssize_t got = recv(caller->fd, bytes, sizeof(bytes), 0);
    if (got <= 0) {
        caller->closed = true;
        return false;
    }
    g_string_append_len(caller->received, bytes, got);
    return true;
}

/// Returns the next response, head and body; NULL if the connection ended
/// before it was complete.
static char *
next_response(caller_t *caller)
{
    for (;;) {
        char *start = caller->received->str + caller->read_len;
        char *end = strstr(start, "\r\n\r\n");
        char *length = strcasestr(start, "content-length: ");
        if (end != NULL && length != NULL && length < end) {
            size_t total =
                (size_t)(end + 4 - start) +
                strtoul(length + strlen("content-length: "), NULL, 10);
            if (caller->received->len - caller->read_len >= total) {
                caller->read_len += total;
                return g_strndup(start, total);
            }
        }
        if (!receive(caller)) {
            return NULL;
        }
    }
}

/// Expects that the next response has the status and belongs to the request.
static void
expect_response(caller_t *caller, int status, const char *id)
{
    char *response = next_response(caller);
    CU_ASSERT_PTR_NOT_NULL(response);
    if (response == NULL) {
        return;
    }
    char *status_text = g_strdup_printf("HTTP/1.1 %d ", status);
    char *id_header = g_strdup_printf("x-request-id: %s\r\n", id);
    CU_ASSERT_TRUE(g_str_has_prefix(response, status_text));
    CU_ASSERT_PTR_NOT_NULL(strstr(response, id_header));
    g_free(status_text);
    g_free(id_header);
    g_free(response);
}

static void
expect_closed(caller_t *caller)
{
    while (receive(caller)) {
    }
    CU_ASSERT_EQUAL(caller->received->len, caller->read_len);
}

/// Guards against idempotent requests that wait for one another although they
/// were sent together, and against responses in another order than the
/// requests.
static void
test_reads_run_side_by_side(void)
{
    start_site(MACHINES_DEFAULT);
    publish_site();
    for (int i = 0; i < MACHINES_DEFAULT / 2; i++) {
        set_server_mode(i, SLOW_PATH);
    }
    caller_t caller;
    caller_open(&caller, 2);
    GString *requests = g_string_new(NULL);
    char id[16];
    for (int i = 0; i < 8; i++) {
        g_snprintf(id, sizeof(id), "read-%d", i);
        append_request(requests, "GET", i == 5 ? "/inner/a" : "/read/a", id);
    }
    gint64 start_us = g_get_monotonic_time();
    caller_send(&caller, requests);
    for (int i = 0; i < 8; i++) {
        g_snprintf(id, sizeof(id), "read-%d", i);
        expect_response(&caller, 200, id);
    }
    // One after the other they take eight service times.
    CU_ASSERT_TRUE(g_get_monotonic_time() - start_us < 5 * (gint64)SLOW_US);
    g_string_free(requests, TRUE);
    caller_close(&caller);
    stop_site();
}

/// Guards against a booking that runs before an earlier request of its
/// connection has its response, and against a 404 or a read that overtakes it.
static void
test_booking_between_reads(void)
{
    start_site(MACHINES_DEFAULT);
    publish_site();
    caller_t caller;
    caller_open(&caller, 0);
    GString *requests = g_string_new(NULL);
    append_request(requests, "GET", "/read/a", "one");
    append_request(requests, "POST", "/book/a", "two");
    append_request(requests, "GET", "/nowhere/", "three");
    append_request(requests, "POST", "/book/a", "four");
    append_request(requests, "GET", "/read/a", "five");
    caller_send(&caller, requests);
    expect_response(&caller, 200, "one");
    expect_response(&caller, 200, "two");
    expect_response(&caller, 404, "three");
    expect_response(&caller, 200, "four");
    expect_response(&caller, 200, "five");
    for (int i = MACHINES_DEFAULT / 2; i < MACHINES_DEFAULT; i++) {
        CU_ASSERT_TRUE(upstream_counter(i, "max_per_id") <= 1);
    }
    g_string_free(requests, TRUE);
    caller_close(&caller);
    stop_site();
}

/// Guards against requests that were passed on and lose their responses when
/// their node stops, and against bookings behind the last response that run.
static void
test_planned_stop_with_several_requests(void)
{
    start_site(MACHINES_DEFAULT);
    publish_site();
    for (int i = 0; i < MACHINES_DEFAULT; i++) {
        set_server_mode(i, SLOW_PATH);
    }
    int64_t books_before =
        upstream_counter(2, "runs") + upstream_counter(3, "runs");
    caller_t caller;
    caller_open(&caller, 0);
    GString *requests = g_string_new(NULL);
    append_request(requests, "GET", "/inner/a", "one");
    append_request(requests, "GET", "/inner/a", "two");
    append_request(requests, "GET", "/inner/a", "three");
    append_request(requests, "POST", "/book/a", "four");
    caller_send(&caller, requests);
    while (upstream_counter(2, "runs") + upstream_counter(3, "runs") <
           books_before + 3)
    {
        usleep(5000);
    }
    CU_ASSERT_EQUAL(kill(site.machines[0].node.pid, SIGTERM), 0);
    expect_response(&caller, 200, "one");
    expect_response(&caller, 200, "two");
    expect_response(&caller, 200, "three");
    expect_closed(&caller);
    CU_ASSERT_EQUAL(upstream_counter(2, "runs") + upstream_counter(3, "runs"),
                    books_before + 3);
    CU_ASSERT_EQUAL(process_stop(&site.machines[0].node, 0), 0);
    g_string_free(requests, TRUE);
    caller_close(&caller);
    stop_site();
}

/// Guards against a change of the desired state that cuts or fails the
/// requests that wait on a connection.
static void
test_change_with_several_requests(void)
{
    start_site(MACHINES_DEFAULT);
    publish_site();
    for (int i = MACHINES_DEFAULT / 2; i < MACHINES_DEFAULT; i++) {
        set_server_mode(i, SLOW_PATH);
    }
    caller_t caller;
    caller_open(&caller, 0);
    GString *requests = g_string_new(NULL);
    append_request(requests, "GET", "/inner/a", "one");
    append_request(requests, "POST", "/book/a", "two");
    append_request(requests, "GET", "/inner/a", "three");
    caller_send(&caller, requests);
    put_desired_state(7, "/new/");
    wait_nodes_logged("event=contracts_in_force version=7 ");
    expect_response(&caller, 200, "one");
    expect_response(&caller, 200, "two");
    expect_response(&caller, 200, "three");
    g_string_free(requests, TRUE);
    caller_close(&caller);
    stop_site();
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"reads side by side", test_reads_run_side_by_side},
        {"booking between reads", test_booking_between_reads},
        {"planned stop", test_planned_stop_with_several_requests},
        {"change of the desired state", test_change_with_several_requests},
        CU_TEST_INFO_NULL,
    };
    return run_suite("pipelining", tests);
}
