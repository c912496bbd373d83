/// @file
/// Crowds of clients outside the limits that the users' pages state, at one
/// node. They hold as much as they can and leave their connections open. The
/// node has to live on within a bound on memory and descriptors, and to answer
/// an ordinary request beside them. Nothing here depends on how fast the
/// machine is: no time and no share of served requests is checked.

#include <arpa/inet.h>
#include <dirent.h>
#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/store_site.h"
#include "common/suite.h"

#define MACHINES 2
/// Limits of the nodes in these tests.
#define CONNECTIONS_MAX 400
#define REQUEST_BYTES_MAX 1048576
#define LIMITS                                                                \
    ",\"max_connections\":" G_STRINGIFY(                                      \
        CONNECTIONS_MAX) ",\"max_request_"                                    \
                         "bytes\""                                            \
                         ":" G_STRINGIFY(REQUEST_BYTES_MAX)
/// Connections of one crowd.
#define CROWD_SIZE 240
/// Connections whose answers nobody reads; each holds less than a body.
#define READERS_NOT_READING 390
/// Memory that the node may take at its peak; the smallest machine of the
/// users has 160 MB.
#define MEMORY_MAX_KB (128 * 1024)
#ifdef __SANITIZE_ADDRESS__
/// AddressSanitizer keeps freed memory for a while and shadows all of it.
#define MEMORY_FACTOR 4
/// Bounds what it keeps of freed memory, 256 MB by default, which isn't held
/// by the node.
#define SANITIZER_OPTIONS ":quarantine_size_mb=16"
#else
#define MEMORY_FACTOR 1
#endif
/// Descriptors beside those of accepted connections: 64 refused connections
/// that wait for their end, 256 to the other node, and those to the server,
/// the store and the log.
#define OTHER_DESCRIPTORS_MAX 512
/// A crowd has sent what it can when nothing more is taken for this time.
#define SETTLED_US ((gint64)700000)
#define LARGE_RESPONSE_BYTES 131072

/// A client of a crowd: sends its head, then a piece again and again, and
/// reads nothing.
typedef struct {
    int fd; ///< -1: closed by the node
    const GString *head;
    const GString *piece;
    size_t limit; ///< bytes that are sent in all
    size_t sent;
} crowd_client_t;

static crowd_client_t crowd[2 * CROWD_SIZE];
static int crowd_count;

static void
start_target(void)
{
    site_extra_settings = LIMITS;
    start_site(MACHINES);
    publish_site();
    crowd_count = 0;
}

static void
stop_target(void)
{
    for (int i = 0; i < crowd_count; i++) {
        if (crowd[i].fd >= 0) {
            close(crowd[i].fd);
        }
    }
    stop_site();
    site_extra_settings = "";
}

/// Adds clients that send @p head and then @p piece, up to @p limit bytes in
/// all. Both texts have to live until the test has ended.
static void
add_clients(int count, const GString *head, const GString *piece, size_t limit)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons(PORT_CALLER)};
    inet_pton(AF_INET, site.machines[0].address, &address.sin_addr);
    for (int i = 0; i < count; i++) {
        int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        CU_ASSERT_EQUAL_FATAL(
            connect(fd, (struct sockaddr *)&address, sizeof(address)), 0);
        crowd[crowd_count++] = (crowd_client_t){
            .fd = fd, .head = head, .piece = piece, .limit = limit};
    }
}

/// Returns the bytes that a client sends next.
static slice_t
next_bytes(const crowd_client_t *client)
{
    const GString *text = client->head;
    size_t at = client->sent;
    if (at >= text->len) {
        text = client->piece;
        at = (at - client->head->len) % text->len;
    }
    return (slice_t){text->str + at,
                     MIN(text->len - at, client->limit - client->sent)};
}

/// Sends what the connection takes now. Returns whether it took anything.
static bool
send_some(crowd_client_t *client)
{
    if (client->fd < 0 || client->sent >= client->limit) {
        return false;
    }
    slice_t bytes = next_bytes(client);
    ssize_t sent =
        send(client->fd, bytes.data, bytes.len, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent > 0) {
        client->sent += (size_t)sent;
        return true;
    }
    if (sent < 0 && errno != EAGAIN && errno != EINTR) {
        close(client->fd);
        client->fd = -1;
    }
    return false;
}

/// Sends until all clients have sent everything, or no connection takes more.
static void
send_all(void)
{
    gint64 last_us = g_get_monotonic_time();
    while (g_get_monotonic_time() - last_us < SETTLED_US) {
        bool progress = false;
        for (int i = 0; i < crowd_count; i++) {
            progress |= send_some(&crowd[i]);
        }
        if (progress) {
            last_us = g_get_monotonic_time();
        }
        else {
            g_usleep(1000);
        }
    }
}

/// Returns the peak of the node's resident memory.
static long
peak_memory_kb(void)
{
    char *path = g_strdup_printf("/proc/%d/status", site.machines[0].node.pid);
    char *status = NULL;
    long kb = 0;
    if (g_file_get_contents(path, &status, NULL, NULL)) {
        const char *line = strstr(status, "VmHWM:");
        kb = line == NULL ? 0 : strtol(line + strlen("VmHWM:"), NULL, 10);
    }
    g_free(status);
    g_free(path);
    return kb;
}

static int
open_descriptors(void)
{
    char *path = g_strdup_printf("/proc/%d/fd", site.machines[0].node.pid);
    DIR *directory = opendir(path);
    int count = 0;
    while (directory != NULL && readdir(directory) != NULL) {
        count++;
    }
    if (directory != NULL) {
        closedir(directory);
    }
    g_free(path);
    return count;
}

static bool
is_answered(void *context)
{
    (void)context;
    text_response_t response = request_via_node(0, "GET", "/inner/x", "id-1");
    bool answered = response.status == 200;
    text_response_free(&response);
    return answered;
}

/// Sends the crowd's bytes and checks what has to hold, while the connections
/// of the crowd are open.
static void
assert_node_bears_crowd(void)
{
    send_all();
    int descriptors = open_descriptors();
    CU_ASSERT_FALSE(process_has_ended(&site.machines[0].node));
    CU_ASSERT_TRUE(wait_until(is_answered, NULL));
    long memory_kb = peak_memory_kb();
    printf("\n    peak %ld KB, %d descriptors ", memory_kb, descriptors);
    CU_ASSERT_TRUE(memory_kb > 0);
    CU_ASSERT_TRUE(memory_kb < (long)MEMORY_MAX_KB * MEMORY_FACTOR);
    CU_ASSERT_TRUE(descriptors < CONNECTIONS_MAX + OTHER_DESCRIPTORS_MAX);
}

/// Returns a chunk of @p size bytes.
static GString *
new_chunk(size_t size)
{
    GString *chunk = g_string_new(NULL);
    g_string_printf(chunk, "%zx\r\n", size);
    for (size_t i = 0; i < size; i++) {
        g_string_append_c(chunk, 'x');
    }
    g_string_append(chunk, "\r\n");
    return chunk;
}

#define HEAD                                                                  \
    "host: site.example\r\nx-request-id: crowd\r\nx-deadline-ms: 8000\r\n"

static GString *
new_chunked_head(void)
{
    return g_string_new("POST /book/a HTTP/1.1\r\n" HEAD
                        "transfer-encoding: chunked\r\n\r\n");
}

/// Guards against bodies in large chunks, one chunk short of their end, whose
/// memory adds up.
static void
test_large_chunks(void)
{
    start_target();
    GString *head = new_chunked_head();
    GString *chunk = new_chunk(65536);
    add_clients(CROWD_SIZE, head, chunk, head->len + 15 * chunk->len);
    assert_node_bears_crowd();
    stop_target();
    g_string_free(head, TRUE);
    g_string_free(chunk, TRUE);
}

/// Guards against chunks of one byte, whose bytes on the wire and bookkeeping
/// are many times the body.
static void
test_one_byte_chunks(void)
{
    start_target();
    GString *head = new_chunked_head();
    GString *chunk = g_string_new(NULL);
    for (int i = 0; i < 1000; i++) {
        g_string_append(chunk, "1\r\nx\r\n");
    }
    add_clients(CROWD_SIZE, head, chunk, head->len + 400 * chunk->len);
    assert_node_bears_crowd();
    stop_target();
    g_string_free(head, TRUE);
    g_string_free(chunk, TRUE);
}

/// Guards against bodies that stop one byte before the end that they have
/// announced.
static void
test_bodies_one_byte_short(void)
{
    start_target();
    GString *head = g_string_new("POST /book/a HTTP/1.1\r\n" HEAD
                                 "content-length: 1048576\r\n\r\n");
    GString *piece = new_chunk(65536);
    add_clients(CROWD_SIZE, head, piece, head->len + REQUEST_BYTES_MAX - 1);
    assert_node_bears_crowd();
    stop_target();
    g_string_free(head, TRUE);
    g_string_free(piece, TRUE);
}

/// Guards against bodies far over the limit, announced or just sent.
static void
test_bodies_over_the_limit(void)
{
    start_target();
    GString *announced = g_string_new("POST /book/a HTTP/1.1\r\n" HEAD
                                      "content-length: 900000000\r\n\r\n");
    GString *chunked = new_chunked_head();
    GString *chunk = new_chunk(65536);
    add_clients(CROWD_SIZE / 2, announced, chunk,
                (size_t)3 * REQUEST_BYTES_MAX);
    add_clients(CROWD_SIZE / 2, chunked, chunk, (size_t)3 * REQUEST_BYTES_MAX);
    assert_node_bears_crowd();
    stop_target();
    g_string_free(announced, TRUE);
    g_string_free(chunked, TRUE);
    g_string_free(chunk, TRUE);
}

static GString *
new_read_request(void)
{
    return g_string_new("GET /inner/a HTTP/1.1\r\n" HEAD "\r\n");
}

static void
set_response_bytes(int bytes)
{
    char path[48];
    g_snprintf(path, sizeof(path), "/test/response/%d", bytes);
    set_server_mode(1, path);
    set_server_mode(1, "/test/service/0");
}

/// Guards against requests that are sent ahead on connections whose answers
/// nobody reads.
static void
test_answers_unread(void)
{
    start_target();
    set_response_bytes(LARGE_RESPONSE_BYTES);
    GString *request = new_read_request();
    add_clients(READERS_NOT_READING, request, request, 3000 * request->len);
    assert_node_bears_crowd();
    stop_target();
    g_string_free(request, TRUE);
}

/// Guards against heads that never end, and against connections that take the
/// place of ordinary callers.
static void
test_heads_without_end(void)
{
    start_target();
    GString *head = g_string_new("GET /inner/a HTTP/1.1\r\n");
    GString *header = g_string_new("x-filler: 1234567890\r\n");
    add_clients(2 * CROWD_SIZE, head, header, head->len + 90 * header->len);
    assert_node_bears_crowd();
    stop_target();
    g_string_free(head, TRUE);
    g_string_free(header, TRUE);
}

/// The same with all of them at once.
static void
test_all_at_once(void)
{
    start_target();
    set_response_bytes(LARGE_RESPONSE_BYTES);
    GString *chunked = new_chunked_head();
    GString *chunk = new_chunk(65536);
    GString *small = g_string_new("1\r\nx\r\n1\r\nx\r\n1\r\nx\r\n");
    GString *request = new_read_request();
    add_clients(CROWD_SIZE / 4, chunked, chunk, 15 * chunk->len);
    add_clients(CROWD_SIZE / 4, chunked, small, REQUEST_BYTES_MAX);
    add_clients(CROWD_SIZE / 4, chunked, chunk, (size_t)3 * REQUEST_BYTES_MAX);
    add_clients(CROWD_SIZE / 4, request, request, 3000 * request->len);
    assert_node_bears_crowd();
    stop_target();
    g_string_free(chunked, TRUE);
    g_string_free(chunk, TRUE);
    g_string_free(small, TRUE);
    g_string_free(request, TRUE);
}

#define SLOW_RESPONSE_BYTES 400000
#define SLOW_READ_BYTES 16384
#define SLOW_READ_INTERVAL_US 200000

/// Guards against responses that are cut off because their caller reads them
/// slowly, but steadily (review/3).
static void
test_slow_reader_is_served(void)
{
    start_target();
    set_response_bytes(SLOW_RESPONSE_BYTES);
    GString *request = new_read_request();
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int buffer_bytes = SLOW_READ_BYTES;
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &buffer_bytes, sizeof(buffer_bytes));
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons(PORT_CALLER)};
    inet_pton(AF_INET, site.machines[0].address, &address.sin_addr);
    CU_ASSERT_EQUAL_FATAL(
        connect(fd, (struct sockaddr *)&address, sizeof(address)), 0);
    CU_ASSERT_EQUAL(send(fd, request->str, request->len, MSG_NOSIGNAL),
                    (ssize_t)request->len);
    char *bytes = g_malloc(SLOW_READ_BYTES);
    size_t received = 0;
    ssize_t got = 0;
    while (received < SLOW_RESPONSE_BYTES &&
           (got = recv(fd, bytes, SLOW_READ_BYTES, 0)) > 0)
    {
        received += (size_t)got;
        g_usleep(SLOW_READ_INTERVAL_US);
    }
    CU_ASSERT_TRUE(received >= SLOW_RESPONSE_BYTES);
    close(fd);
    g_free(bytes);
    g_string_free(request, TRUE);
    stop_target();
}

#define LARGEST_BODY_BYTES 67108864
#define SMALLEST_MACHINE_KB (160 * 1024)
/// Settings of a node on the smallest machine of the users, with the largest
/// body that their clients send.
#define SMALLEST_MACHINE                                                      \
    ",\"memory_limit_mb\":160,\"max_request_bytes\":" G_STRINGIFY(            \
        LARGEST_BODY_BYTES)

/// Guards against bounds on memory that refuse a single request of the largest
/// size in calm, and against copies of its body.
static void
test_largest_request_in_calm(void)
{
    site_extra_settings = SMALLEST_MACHINE;
    start_site(MACHINES);
    publish_site();
    char *body = g_strnfill(LARGEST_BODY_BYTES, 'x');
    text_response_t response = http_call(
        site.machines[0].address, PORT_CALLER, "POST", "/book/a",
        "host: site.example\nx-request-id: large\nx-deadline-ms: 60000", body);
    CU_ASSERT_EQUAL(response.status, 200);
    text_response_free(&response);
    g_free(body);
    long memory_kb = peak_memory_kb();
    printf("\n    peak %ld KB ", memory_kb);
    CU_ASSERT_TRUE(memory_kb < (long)SMALLEST_MACHINE_KB * MEMORY_FACTOR);
    stop_site();
    site_extra_settings = "";
}

int
main(void)
{
#ifdef SANITIZER_OPTIONS
    const char *options = g_getenv("ASAN_OPTIONS");
    char *bounded =
        g_strconcat(options == NULL ? "" : options, SANITIZER_OPTIONS, NULL);
    g_setenv("ASAN_OPTIONS", bounded, TRUE); // of the nodes started here
    g_free(bounded);
#endif
    signal(SIGPIPE, SIG_IGN);
    CU_TestInfo tests[] = {
        {"large chunks", test_large_chunks},
        {"one-byte chunks", test_one_byte_chunks},
        {"bodies one byte short", test_bodies_one_byte_short},
        {"bodies over the limit", test_bodies_over_the_limit},
        {"answers unread", test_answers_unread},
        {"heads without end", test_heads_without_end},
        {"all at once", test_all_at_once},
        {"slow reader", test_slow_reader_is_served},
        {"largest request in calm", test_largest_request_in_calm},
        CU_TEST_INFO_NULL,
    };
    return run_suite("crowds", tests);
}
