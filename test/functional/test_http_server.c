/// @file
/// The HTTP server with a handler under the test's control: requests that are
/// sent ahead, the order and the end of connections, and senders that leave.
/// Paths that begin with /c are concurrent. The server runs on a loop in the
/// test's own thread.

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/suite.h"
#include "ibisfield/io/http_server.h"
#include "ibisfield/io/request_reader.h"

#define ADDRESS "127.0.0.1"
#define CONNECTIONS_MAX 8
#define BODY_MAX 4000
#define STARTED_MAX 128
#define EVENT_TIMEOUT_US (20 * US_PER_S)
/// Time in which nothing may happen.
#define QUIET_US (100 * US_PER_MS)

/// A request that the handler has got; NULL once it was responded to or its
/// sender has left.
typedef struct {
    char path[32];
    char body[16];
    http_request_t *request;
} started_t;

static struct {
    clock_source_t clock;
    loop_t loop;
    http_server_t *server;
    uint16_t port;
    started_t started[STARTED_MAX];
    int started_count;
    int disconnected_count;
    bool respond_at_once;
} bed;

/// The sender's side of a connection.
typedef struct {
    int fd;
    GString *received;
    bool closed;
    bool reset;
} sender_t;

static void
handle(void *context, http_request_t *request)
{
    (void)context;
    CU_ASSERT_TRUE_FATAL(bed.started_count < STARTED_MAX);
    started_t *started = &bed.started[bed.started_count++];
    g_snprintf(started->path, sizeof(started->path), "%.*s",
               (int)request->path.len, request->path.data);
    g_snprintf(started->body, sizeof(started->body), "%.*s",
               (int)request->body.len, request->body.data);
    started->request = request;
    request->user = started;
    if (bed.respond_at_once) {
        started->request = NULL;
        http_request_respond(request, 200, NULL, 0, request->path);
    }
}

static void
handle_disconnect(void *context, http_request_t *request)
{
    (void)context;
    ((started_t *)request->user)->request = NULL;
    bed.disconnected_count++;
}

static bool
is_concurrent(void *context, const http_request_t *request)
{
    (void)context;
    return slice_starts_with(request->path, SLICE_LITERAL("/c"));
}

static void
start_bed(void)
{
    memset(&bed, 0, sizeof(bed));
    boot_clock_init(&bed.clock);
    loop_init(&bed.loop, &bed.clock);
    bed.server = http_server_new(&bed.loop, CONNECTIONS_MAX, BODY_MAX);
    http_listener_options_t options = {
        .name = "test",
        .endpoint = {.address = ADDRESS},
        .handle = handle,
        .disconnected = handle_disconnect,
        .is_concurrent = is_concurrent,
    };
    // The port of a socket that is closed again is free.
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    struct sockaddr_in address = {.sin_family = AF_INET};
    inet_pton(AF_INET, ADDRESS, &address.sin_addr);
    socklen_t size = sizeof(address);
    CU_ASSERT_EQUAL(bind(fd, (struct sockaddr *)&address, size), 0);
    CU_ASSERT_EQUAL(getsockname(fd, (struct sockaddr *)&address, &size), 0);
    close(fd);
    options.endpoint.port = bed.port = ntohs(address.sin_port);
    CU_ASSERT_TRUE_FATAL(http_server_listen(bed.server, &options, NULL));
    http_server_start(bed.server);
}

static void
stop_loop(void *context)
{
    (void)context;
    loop_stop(&bed.loop);
}

static void
run_for(int64_t duration_us)
{
    loop_timer_t timer = {0};
    bed.loop.stopped = false;
    loop_timer_start(&bed.loop, &timer, duration_us, stop_loop, NULL);
    loop_run(&bed.loop);
    loop_timer_stop(&bed.loop, &timer);
}

static void
finish_bed(void)
{
    http_server_free(bed.server);
    run_for(US_PER_MS);
    loop_finish(&bed.loop);
}

static void
sender_open(sender_t *sender)
{
    *sender = (sender_t){.received = g_string_new(NULL)};
    sender->fd = socket(AF_INET, SOCK_STREAM, 0);
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons(bed.port)};
    inet_pton(AF_INET, ADDRESS, &address.sin_addr);
    CU_ASSERT_EQUAL_FATAL(
        connect(sender->fd, (struct sockaddr *)&address, sizeof(address)), 0);
    fcntl(sender->fd, F_SETFL, O_NONBLOCK);
}

static void
sender_close(sender_t *sender)
{
    if (sender->fd >= 0) {
        close(sender->fd);
    }
    g_string_free(sender->received, TRUE);
}

static void
sender_write(const sender_t *sender, const char *text)
{
    CU_ASSERT_EQUAL(send(sender->fd, text, strlen(text), MSG_NOSIGNAL),
                    (ssize_t)strlen(text));
}

static void
sender_request(const sender_t *sender, const char *path)
{
    char *text = g_strdup_printf("GET %s HTTP/1.1\r\nhost: a\r\n\r\n", path);
    sender_write(sender, text);
    g_free(text);
}

static void
sender_receive(sender_t *sender)
{
    char bytes[65536];
    ssize_t got;
    while ((got = recv(sender->fd, bytes, sizeof(bytes), 0)) > 0) {
        g_string_append_len(sender->received, bytes, got);
    }
    sender->closed |= got == 0;
    sender->reset |= got < 0 && errno != EAGAIN;
}

/// Runs the loop until @p expected requests have been started in all, and
/// checks that no more are.
static void
expect_started(int expected)
{
    int64_t end_us = clock_now_us(&bed.clock) + EVENT_TIMEOUT_US;
    while (bed.started_count < expected && clock_now_us(&bed.clock) < end_us) {
        run_for(US_PER_MS);
    }
    run_for(QUIET_US);
    CU_ASSERT_EQUAL(bed.started_count, expected);
}

/// Runs the loop until the sender has received @p text as the end of what it
/// received.
static void
expect_received(sender_t *sender, const char *text)
{
    int64_t end_us = clock_now_us(&bed.clock) + EVENT_TIMEOUT_US;
    while (!g_str_has_suffix(sender->received->str, text) &&
           clock_now_us(&bed.clock) < end_us)
    {
        run_for(US_PER_MS);
        sender_receive(sender);
    }
    CU_ASSERT_TRUE(g_str_has_suffix(sender->received->str, text));
}

static void
expect_closed(sender_t *sender)
{
    int64_t end_us = clock_now_us(&bed.clock) + EVENT_TIMEOUT_US;
    while (!sender->closed && !sender->reset &&
           clock_now_us(&bed.clock) < end_us) {
        run_for(US_PER_MS);
        sender_receive(sender);
    }
    CU_ASSERT_TRUE(sender->closed);
    CU_ASSERT_FALSE(sender->reset);
}

/// Checks that nothing arrives at the sender.
static void
expect_nothing(sender_t *sender)
{
    size_t len = sender->received->len;
    run_for(QUIET_US);
    sender_receive(sender);
    CU_ASSERT_EQUAL(sender->received->len, len);
    CU_ASSERT_FALSE(sender->closed);
}

static int
count_text(const sender_t *sender, const char *text)
{
    int count = 0;
    for (const char *at = sender->received->str;
         (at = strstr(at, text)) != NULL; at++)
    {
        count++;
    }
    return count;
}

static void
respond(int index, const char *body)
{
    started_t *started = &bed.started[index];
    http_request_t *request = started->request;
    CU_ASSERT_PTR_NOT_NULL_FATAL(request);
    started->request = NULL;
    http_request_respond(request, 200, NULL, 0, slice_from_string(body));
}

/// Guards against responses in the order in which they become ready.
static void
test_responses_come_in_the_order_sent(void)
{
    start_bed();
    sender_t sender;
    sender_open(&sender);
    sender_request(&sender, "/c/1");
    sender_request(&sender, "/c/2");
    sender_request(&sender, "/c/3");
    expect_started(3);
    respond(1, "second");
    respond(2, "third");
    expect_nothing(&sender);
    respond(0, "first");
    expect_received(&sender, "third");
    const char *text = sender.received->str;
    CU_ASSERT_TRUE(strstr(text, "first") < strstr(text, "second"));
    CU_ASSERT_TRUE(strstr(text, "second") < strstr(text, "third"));
    CU_ASSERT_EQUAL(count_text(&sender, "connection: close"), 0);
    sender_close(&sender);
    finish_bed();
}

/// Guards against a request that isn't concurrent and starts before the
/// response to an earlier one, or is overtaken by a later one.
static void
test_other_requests_run_alone(void)
{
    start_bed();
    sender_t sender;
    sender_open(&sender);
    sender_request(&sender, "/c/1");
    sender_request(&sender, "/alone");
    sender_request(&sender, "/c/2");
    expect_started(1);
    respond(0, "first");
    expect_started(2);
    CU_ASSERT_STRING_EQUAL(bed.started[1].path, "/alone");
    respond(1, "second");
    expect_started(3);
    respond(2, "third");
    expect_received(&sender, "third");
    sender_close(&sender);
    finish_bed();
}

/// Guards against a connection that occupies the node with any number of
/// requests.
static void
test_requests_side_by_side_are_bounded(void)
{
    start_bed();
    sender_t sender;
    sender_open(&sender);
    for (int i = 0; i < 3 * HTTP_PIPELINE_MAX; i++) {
        sender_request(&sender, "/c/n");
    }
    expect_started(HTTP_PIPELINE_MAX);
    respond(1, "not the first");
    expect_started(HTTP_PIPELINE_MAX);
    respond(0, "the first");
    expect_started(HTTP_PIPELINE_MAX + 2);
    for (int i = 2; i < 3 * HTTP_PIPELINE_MAX; i++) {
        respond(i, "ok");
        run_for(US_PER_MS);
    }
    expect_started(3 * HTTP_PIPELINE_MAX);
    sender_close(&sender);
    finish_bed();
}

/// Guards against a connection that holds any amount of responses which are
/// ready but may not be sent yet.
static void
test_held_responses_are_bounded(void)
{
    start_bed();
    sender_t sender;
    sender_open(&sender);
    char *large = g_strnfill(HTTP_HELD_BYTES_MAX, 'x');
    sender_request(&sender, "/c/1");
    sender_request(&sender, "/c/2");
    expect_started(2);
    respond(1, large);
    sender_request(&sender, "/c/3");
    sender_request(&sender, "/c/4");
    expect_started(2);
    respond(0, "first");
    // The sender doesn't read: what it is sent counts too.
    expect_received(&sender, "xxxx");
    expect_started(4);
    respond(2, "third");
    respond(3, "fourth");
    expect_received(&sender, "fourth");
    g_free(large);
    sender_close(&sender);
    finish_bed();
}

/// Guards against a connection that ends before the requests that were started
/// have their responses, and against a request behind the end that is started.
static void
test_close_waits_for_started_requests(void)
{
    start_bed();
    sender_t sender;
    sender_open(&sender);
    sender_request(&sender, "/c/1");
    sender_request(&sender, "/c/2");
    sender_request(&sender, "/alone");
    sender_request(&sender, "/c/3");
    expect_started(2);
    http_request_t *request = bed.started[0].request;
    bed.started[0].request = NULL;
    http_request_respond_and_close(request, 503, NULL, 0,
                                   SLICE_LITERAL("first"));
    expect_received(&sender, "first");
    CU_ASSERT_EQUAL(count_text(&sender, "connection: close"), 0);
    respond(1, "second");
    expect_received(&sender, "second");
    CU_ASSERT_EQUAL(count_text(&sender, "connection: close"), 1);
    expect_closed(&sender);
    CU_ASSERT_EQUAL(bed.started_count, 2);
    sender_close(&sender);
    finish_bed();
}

/// Guards against a planned stop that cuts requests which were passed on, or
/// takes further ones of a connection that is about to close.
static void
test_draining_with_several_requests(void)
{
    start_bed();
    sender_t sender;
    sender_open(&sender);
    sender_request(&sender, "/c/1");
    sender_request(&sender, "/c/2");
    expect_started(2);
    http_server_set_draining(bed.server);
    sender_request(&sender, "/c/3");
    expect_started(2);
    CU_ASSERT_FALSE(http_server_is_idle(bed.server));
    respond(0, "first");
    expect_received(&sender, "first");
    CU_ASSERT_EQUAL(count_text(&sender, "connection: close"), 0);
    respond(1, "second");
    expect_closed(&sender);
    CU_ASSERT_EQUAL(count_text(&sender, "connection: close"), 1);
    CU_ASSERT_EQUAL(bed.started_count, 2);
    sender_close(&sender);
    run_for(QUIET_US);
    CU_ASSERT_TRUE(http_server_is_idle(bed.server));
    finish_bed();
}

/// Guards against requests of a sender that has left which run on, and against
/// a request that is reported twice.
static void
test_sender_leaves_midway(void)
{
    start_bed();
    sender_t sender;
    sender_open(&sender);
    sender_request(&sender, "/c/1");
    sender_request(&sender, "/c/2");
    sender_request(&sender, "/c/3");
    sender_request(&sender, "/alone");
    expect_started(3);
    respond(1, "second");
    close(sender.fd);
    sender.fd = -1;
    run_for(QUIET_US);
    CU_ASSERT_EQUAL(bed.disconnected_count, 2);
    CU_ASSERT_EQUAL(bed.started_count, 3);
    CU_ASSERT_EQUAL(http_server_in_flight(bed.server), 0);
    sender_close(&sender);
    finish_bed();
}

/// Guards against a refusal that says that a request with a key hasn't run: an
/// earlier one may have.
static void
test_malformed_request_with_a_key(void)
{
    static const char *const requests[] = {
        "PUT /c/1 HTTP/1.1\r\nhost: a\r\nibisfield-key: k\r\nx y: 1\r\n\r\n",
        "PUT /c/1 HTTP/1.1\r\nhost: a\r\nibisfield-key: k\r\nx: \1\r\n\r\n",
        ("PUT /c/1 HTTP/1.1\r\nhost: a\r\nibisfield-key: k\r\n"
         "transfer-encoding: chunked\r\n\r\n2 2\r\n"),
    };
    for (size_t i = 0; i < G_N_ELEMENTS(requests); i++) {
        start_bed();
        sender_t sender;
        sender_open(&sender);
        sender_write(&sender, requests[i]);
        expect_closed(&sender);
        CU_ASSERT_EQUAL(count_text(&sender, "HTTP/1.1 400 "), 1);
        CU_ASSERT_EQUAL(count_text(&sender, "ibisfield-outcome: unknown"), 1);
        CU_ASSERT_EQUAL(bed.started_count, 0);
        sender_close(&sender);
        finish_bed();
    }
}

/// Guards against a malformed request that ends the connection before the
/// responses to the requests sent before it.
static void
test_malformed_request_behind_another(void)
{
    start_bed();
    sender_t sender;
    sender_open(&sender);
    sender_request(&sender, "/c/1");
    sender_write(&sender, "nonsense\r\n\r\n");
    sender_request(&sender, "/c/2");
    expect_started(1);
    expect_nothing(&sender);
    respond(0, "first");
    expect_closed(&sender);
    CU_ASSERT_TRUE(g_str_has_prefix(sender.received->str, "HTTP/1.1 200 "));
    CU_ASSERT_EQUAL(count_text(&sender, "HTTP/1.1 400 "), 1);
    CU_ASSERT_EQUAL(bed.started_count, 1);
    sender_close(&sender);
    finish_bed();
}

/// Guards against a request that is read behind one that asks for the end of
/// its connection, and against a response that is lost because unread bytes
/// reset the connection.
static void
test_nothing_runs_behind_a_close(void)
{
    start_bed();
    bed.respond_at_once = true;
    sender_t sender;
    sender_open(&sender);
    char *unread = g_strnfill(20000, 'x');
    sender_write(&sender, "GET /c/1 HTTP/1.1\r\nhost: a\r\n"
                          "connection: close\r\n\r\n");
    sender_request(&sender, "/c/2");
    sender_write(&sender, unread);
    expect_received(&sender, "/c/1");
    sender_write(&sender, unread);
    expect_closed(&sender);
    // The server still reads, so that no reset overtakes the response.
    sender_write(&sender, unread);
    run_for(QUIET_US);
    sender_write(&sender, unread);
    CU_ASSERT_EQUAL(bed.started_count, 1);
    g_free(unread);
    sender_close(&sender);
    finish_bed();
}

/// Guards against bodies that are read wrongly when they come in pieces, in
/// chunks, or only after an interim response.
static void
test_bodies(void)
{
    start_bed();
    bed.respond_at_once = true;
    sender_t sender;
    sender_open(&sender);
    const char *chunked = "PUT /a HTTP/1.1\r\nhost: a\r\n"
                          "transfer-encoding: chunked\r\n\r\n"
                          "3\r\none\r\n3;x=y\r\ntwo\r\n0\r\nt: u\r\n\r\n";
    for (const char *at = chunked; *at != '\0'; at++) {
        char byte[2] = {*at, '\0'};
        sender_write(&sender, byte);
        run_for(US_PER_MS / 10);
    }
    expect_received(&sender, "/a");
    CU_ASSERT_STRING_EQUAL(bed.started[0].body, "onetwo");
    sender_write(&sender, "PUT /b HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n"
                          "expect: 100-continue\r\n\r\n");
    expect_received(&sender, "HTTP/1.1 100 Continue\r\n\r\n");
    sender_write(&sender, "end");
    expect_received(&sender, "/b");
    CU_ASSERT_STRING_EQUAL(bed.started[1].body, "end");
    char *large = g_strdup_printf("PUT /c HTTP/1.1\r\nhost: a\r\n"
                                  "ibisfield-key: k\r\n"
                                  "content-length: %d\r\n\r\n",
                                  BODY_MAX + 1);
    sender_write(&sender, large);
    expect_closed(&sender);
    CU_ASSERT_EQUAL(count_text(&sender, "HTTP/1.1 413 "), 1);
    CU_ASSERT_EQUAL(count_text(&sender, "ibisfield-outcome: unknown"), 1);
    g_free(large);
    sender_close(&sender);
    finish_bed();
}

/// Feeds @p text in two pieces; returns the state after both.
static request_state_t
feed_pieces(request_reader_t *reader, const char *text, size_t cut)
{
    size_t len = strlen(text);
    size_t used = request_reader_feed(reader, (slice_t){text, cut});
    if (used == cut) {
        request_reader_feed(reader, (slice_t){text + cut, len - cut});
    }
    return reader->state;
}

/// Guards against requests that are read differently when they arrive in
/// pieces, and against targets and hosts that are taken from the wrong place.
static void
test_request_reader(void)
{
    const char *text = "POST http://b.example:80/p/q?r=s HTTP/1.1\r\n"
                       "Host: a.example\r\nX-Name:  value \r\n"
                       "Upgrade: h2c\r\nContent-Length: 4\r\n\r\nbodyGET ";
    for (size_t cut = 0; cut < strlen(text); cut++) {
        request_reader_t reader;
        request_message_t message;
        request_reader_init(&reader, BODY_MAX);
        CU_ASSERT_EQUAL_FATAL(feed_pieces(&reader, text, cut),
                              REQUEST_COMPLETE);
        CU_ASSERT_TRUE_FATAL(request_reader_take(&reader, &message));
        CU_ASSERT_TRUE(slice_equal_string(message.method, "POST"));
        CU_ASSERT_TRUE(slice_equal_string(message.path, "/p/q?r=s"));
        CU_ASSERT_TRUE(slice_equal_string(message.host, "b.example:80"));
        CU_ASSERT_TRUE(slice_equal_string(message.body, "body"));
        CU_ASSERT_EQUAL(message.header_count, 1);
        CU_ASSERT_TRUE(slice_equal_string(message.headers[0].value, "value"));
        CU_ASSERT_TRUE(message.keep_alive);
        request_message_finish(&message);
        request_reader_finish(&reader);
    }
    static const char *const refused[] = {
        "GET / HTTP/1.1\r\nhost: a\r\nhost: b\r\n\r\n",
        "GET / HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\n"
        "content-length: 2\r\n\r\nxx",
        "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\n"
        "transfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        "GET /\r\n\r\n",
        "CONNECT a:1 HTTP/1.1\r\nhost: a\r\n\r\n",
        "GET / HTTP/1.1\r\nhost : a\r\n\r\n",
        "GET /\t HTTP/1.1\r\nhost: a\r\n\r\n",
        "GET / HTTP/1.1\rXhost: a\r\n\r\n",
        "GET / HTTP/1.1\r\n x: 1\r\nhost: a\r\n\r\n",
        "GET / HTTP/1.1\r\nhost: a\r\nx: \1\r\n\r\n",
        "GET / HTTP/1.1\r\nhost: a\r\n\rX",
        "PUT / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
        "2\r\nokXY0\r\n\r\n",
        "PUT / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
        "2 2\r\nok\r\n0\r\n\r\n",
        "PUT / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
        "2;a\nb\r\nok\r\n0\r\n\r\n",
        "PUT / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
        "2\r\nok\r\n0\r\nx y: 1\r\n\r\n",
    };
    for (size_t i = 0; i < G_N_ELEMENTS(refused); i++) {
        request_reader_t reader;
        request_message_t message = {0};
        request_reader_init(&reader, BODY_MAX);
        bool complete =
            feed_pieces(&reader, refused[i], 0) == REQUEST_COMPLETE;
        CU_ASSERT_FALSE(complete && request_reader_take(&reader, &message));
        request_reader_finish(&reader);
    }
}

/// Guards against refusing requests of unusual forms that HTTP/1.1 allows.
static void
test_unusual_requests(void)
{
    static const char *const requests[] = {
        "\r\nPUT / HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\nok",
        "PUT / HTTP/1.1\nhost: a\ncontent-length:2\n\nok",
        "PUT / HTTP/1.1\r\nhost: a\r\nx: b\r\n c\r\nempty:\r\n"
        "!#$%&'*+-.^_`|~: \tt\303\251\r\ncontent-length: 2 \r\n\r\nok",
        "PUT / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
        "1;a=\"b\"\r\no\r\n01 ; c\r\nk\r\n00\r\nx: 1\r\n\r\n",
    };
    for (size_t i = 0; i < G_N_ELEMENTS(requests); i++) {
        for (size_t cut = 0; cut < strlen(requests[i]); cut++) {
            request_reader_t reader;
            request_message_t message;
            request_reader_init(&reader, BODY_MAX);
            CU_ASSERT_EQUAL_FATAL(feed_pieces(&reader, requests[i], cut),
                                  REQUEST_COMPLETE);
            CU_ASSERT_TRUE_FATAL(request_reader_take(&reader, &message));
            CU_ASSERT_TRUE(slice_equal_string(message.body, "ok"));
            request_message_finish(&message);
            request_reader_finish(&reader);
        }
    }
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"order of responses", test_responses_come_in_the_order_sent},
        {"other requests run alone", test_other_requests_run_alone},
        {"bounded side by side", test_requests_side_by_side_are_bounded},
        {"bounded held responses", test_held_responses_are_bounded},
        {"close behind started requests",
         test_close_waits_for_started_requests},
        {"draining", test_draining_with_several_requests},
        {"sender leaves midway", test_sender_leaves_midway},
        {"malformed request", test_malformed_request_behind_another},
        {"malformed request with a key", test_malformed_request_with_a_key},
        {"nothing behind a close", test_nothing_runs_behind_a_close},
        {"bodies", test_bodies},
        {"request reader", test_request_reader},
        {"unusual requests", test_unusual_requests},
        CU_TEST_INFO_NULL,
    };
    return run_suite("http_server", tests);
}
