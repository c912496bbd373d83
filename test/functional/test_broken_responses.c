/// @file
/// Servers, other nodes, the store and health probes that respond with bytes
/// that are no response in HTTP/1.1, or break a response off: nothing of them
/// may be taken for a response. Complete responses of unusual forms that
/// HTTP/1.1 allows must still pass.

#include <signal.h>

#include "common/raw_server.h"
#include "common/store_site.h"
#include "common/suite.h"

/// The node beside this machine's server gets its responses.
#define GUARD 2
#define UPLOAD_BYTES ((size_t)8 << 20)
#define UPLOAD_ROUNDS 20

/// Headers that the platform's servers set on all responses, so that only the
/// form of a response tells that it is broken.
#define SEALED "X-Request-Id: @ID\r\nX-Server-Seal: 3e1b.07\r\n"
#define OK "HTTP/1.1 200 OK\r\n" SEALED
#define CHUNKED OK "Transfer-Encoding: chunked\r\n\r\n"
#define WITH_LENGTH "Content-Length: 7\r\n\r\nmarker."
#define WITHOUT_LENGTH "\r\nmarker."

/// Responses that must not reach a client.
static const raw_response_t broken_responses[] = {
    {"status 000", RAW_BYTES("HTTP/1.1 000 OK\r\n" SEALED WITH_LENGTH)},
    {"status 000, without a length",
     RAW_BYTES("HTTP/1.1 000 OK\r\n" SEALED WITHOUT_LENGTH)},
    {"status 000, chunked",
     RAW_BYTES("HTTP/1.1 000 OK\r\n" SEALED "Transfer-Encoding: chunked"
               "\r\n\r\n7\r\nmarker.\r\n0\r\n\r\n")},
    {"status 099", RAW_BYTES("HTTP/1.1 099 OK\r\n" SEALED WITH_LENGTH)},
    {"status 600", RAW_BYTES("HTTP/1.1 600 OK\r\n" SEALED WITH_LENGTH)},
    {"status 999", RAW_BYTES("HTTP/1.1 999 OK\r\n" SEALED WITH_LENGTH)},
    {"status of two digits",
     RAW_BYTES("HTTP/1.1 20 OK\r\n" SEALED WITH_LENGTH)},
    {"status of four digits",
     RAW_BYTES("HTTP/1.1 0200 OK\r\n" SEALED WITH_LENGTH)},
    {"status with a sign",
     RAW_BYTES("HTTP/1.1 +200 OK\r\n" SEALED WITH_LENGTH)},
    {"status with a letter",
     RAW_BYTES("HTTP/1.1 200x OK\r\n" SEALED WITH_LENGTH)},
    {"no status", RAW_BYTES("HTTP/1.1 OK\r\n" SEALED WITH_LENGTH)},
    {"no version", RAW_BYTES("200 OK\r\n" SEALED WITH_LENGTH)},
    {"other protocol", RAW_BYTES("ICY 200 OK\r\n" SEALED WITH_LENGTH)},
    {"HTTP/2.0", RAW_BYTES("HTTP/2.0 200 OK\r\n" SEALED WITH_LENGTH)},
    {"HTTP/0.9", RAW_BYTES("HTTP/0.9 200 OK\r\n" SEALED WITH_LENGTH)},
    {"control byte in the reason",
     RAW_BYTES("HTTP/1.1 200 O\0K\r\n" SEALED WITH_LENGTH)},
    {"status line that ends in a carriage return",
     RAW_BYTES("HTTP/1.1 200 OK\rX" SEALED WITH_LENGTH)},

    {"blank in a name", RAW_BYTES(OK "X Marker: 1\r\n" WITH_LENGTH)},
    {"blank behind a name", RAW_BYTES(OK "X-Marker : 1\r\n" WITH_LENGTH)},
    {"blank behind the name of the length",
     RAW_BYTES(OK "Content-Length : 3\r\n\r\nmarker.")},
    {"blank behind the name of the coding",
     RAW_BYTES(OK "Transfer-Encoding : chunked\r\n\r\n7\r\nmarker.\r\n0\r\n"
                  "\r\n")},
    {"blank before the first name",
     RAW_BYTES("HTTP/1.1 200 OK\r\n X-Marker: 1\r\n" SEALED WITH_LENGTH)},
    {"tab in a name", RAW_BYTES(OK "X\tMarker: 1\r\n" WITH_LENGTH)},
    {"zero in a name", RAW_BYTES(OK "X\0Marker: 1\r\n" WITH_LENGTH)},
    {"control byte in a name", RAW_BYTES(OK "X\1Marker: 1\r\n" WITH_LENGTH)},
    {"delete in a name", RAW_BYTES(OK "X\177Marker: 1\r\n" WITH_LENGTH)},
    {"byte above ASCII in a name",
     RAW_BYTES(OK "X\351Marker: 1\r\n" WITH_LENGTH)},
    {"carriage return in a name",
     RAW_BYTES(OK "X\rMarker: 1\r\n" WITH_LENGTH)},
    {"empty name", RAW_BYTES(OK ": marker\r\n" WITH_LENGTH)},
    {"line without a colon", RAW_BYTES(OK "X-Marker\r\n" WITH_LENGTH)},
    {"control byte at the start of a value",
     RAW_BYTES(OK "X-Marker: \1a\r\n" WITH_LENGTH)},
    {"control byte in a value",
     RAW_BYTES(OK "X-Marker: a\1b\r\n" WITH_LENGTH)},
    {"zero in a value", RAW_BYTES(OK "X-Marker: a\0b\r\n" WITH_LENGTH)},
    {"carriage return in a value",
     RAW_BYTES(OK "X-Marker: a\rb\r\n" WITH_LENGTH)},
    {"carriage return in place of a value",
     RAW_BYTES(OK "X-Marker:\rab\r\n" WITH_LENGTH)},
    {"head that ends in a carriage return",
     RAW_BYTES(OK "Content-Length: 7\r\n\rXmarker.")},

    {"empty length", RAW_BYTES(OK "Content-Length:\r\n\r\nmarker.")},
    {"length with a sign", RAW_BYTES(OK "Content-Length: +7\r\n\r\nmarker.")},
    {"negative length", RAW_BYTES(OK "Content-Length: -7\r\n\r\nmarker.")},
    {"two lengths", RAW_BYTES(OK "Content-Length: 3\r\n" WITH_LENGTH)},
    {"list of lengths", RAW_BYTES(OK "Content-Length: 7, 3\r\n\r\nmarker.")},
    {"length and chunks",
     RAW_BYTES(OK "Content-Length: 7\r\nTransfer-Encoding: chunked\r\n\r\n"
                  "7\r\nmarker.\r\n0\r\n\r\n")},
    {"coding that wasn't asked for",
     RAW_BYTES(OK "Transfer-Encoding: gzip\r\n\r\nmarker.")},
    {"coding before the chunks",
     RAW_BYTES(OK "Transfer-Encoding: gzip, chunked\r\n\r\n7\r\nmarker.\r\n0"
                  "\r\n\r\n")},
    {"coding after the chunks",
     RAW_BYTES(OK "Transfer-Encoding: chunked, gzip\r\n\r\n7\r\nmarker.\r\n0"
                  "\r\n\r\n")},
    // Allowed by HTTP/1.1, but http_parser doesn't recognise the coding.
    {"chunks with a tab behind the coding",
     RAW_BYTES(OK "Transfer-Encoding: chunked\t\r\n\r\n7\r\nmarker.\r\n0\r\n"
                  "\r\n")},
    {"chunks in HTTP/1.0",
     RAW_BYTES("HTTP/1.0 200 OK\r\n" SEALED "Transfer-Encoding: chunked\r\n"
               "\r\n7\r\nmarker.\r\n0\r\n\r\n")},
    {"204 with a body",
     RAW_BYTES("HTTP/1.1 204 No Content\r\n" SEALED WITH_LENGTH)},

    {"chunk without its end", RAW_BYTES(CHUNKED "7\r\nmarker.XY0\r\n\r\n")},
    {"chunk that ends in a line feed",
     RAW_BYTES(CHUNKED "7\r\nmarker.\n0\r\n\r\n")},
    {"chunk longer than its size",
     RAW_BYTES(CHUNKED "5\r\nmarker.\r\n0\r\n\r\n")},
    {"blank in the size of a chunk",
     RAW_BYTES(CHUNKED "7 7\r\nmarker.\r\n0\r\n\r\n")},
    {"size of a chunk with a prefix",
     RAW_BYTES(CHUNKED "0x7\r\nmarker.\r\n0\r\n\r\n")},
    {"size of a chunk with a sign",
     RAW_BYTES(CHUNKED "+7\r\nmarker.\r\n0\r\n\r\n")},
    {"size of a chunk above the range",
     RAW_BYTES(CHUNKED "10000000000000007\r\nmarker.\r\n0\r\n\r\n")},
    {"size that ends in a carriage return",
     RAW_BYTES(CHUNKED "7\rXmarker.\r\n0\r\n\r\n")},
    {"size that ends in a line feed",
     RAW_BYTES(CHUNKED "7;a\nmarker.\r\n0\r\n\r\n")},
    {"control byte in a chunk extension",
     RAW_BYTES(CHUNKED "7;a\1b\r\nmarker.\r\n0\r\n\r\n")},
    {"blank in the name of a trailer",
     RAW_BYTES(CHUNKED "7\r\nmarker.\r\n0\r\nX Marker: 1\r\n\r\n")},
    {"control byte in a trailer",
     RAW_BYTES(CHUNKED "7\r\nmarker.\r\n0\r\nX-Marker: \1\r\n\r\n")},
    {"trailer without a colon",
     RAW_BYTES(CHUNKED "7\r\nmarker.\r\n0\r\nX-Marker\r\n\r\n")},
    {"trailers that end in a carriage return",
     RAW_BYTES(CHUNKED "7\r\nmarker.\r\n0\r\n\rX")},

    {"broken interim status",
     RAW_BYTES("HTTP/1.1 0100 Continue\r\n\r\n" OK WITH_LENGTH)},
    {"broken header in an interim response",
     RAW_BYTES("HTTP/1.1 103 Hints\r\nX Marker: 1\r\n\r\n" OK WITH_LENGTH)},
    {"interim response with a length",
     RAW_BYTES("HTTP/1.1 100 Continue\r\nContent-Length: 3\r\n\r\nabc" OK
                   WITH_LENGTH)},
    {"interim response with chunks",
     RAW_BYTES("HTTP/1.1 103 Hints\r\nTransfer-Encoding: chunked\r\n\r\n"
               "0\r\n\r\n" OK WITH_LENGTH)},
    {"change of protocol",
     RAW_BYTES("HTTP/1.1 101 Switching\r\nConnection: upgrade\r\n"
               "Upgrade: marker\r\n\r\n" OK WITH_LENGTH)},
    {"change of protocol without its name",
     RAW_BYTES("HTTP/1.1 101 Switching\r\n\r\n" OK WITH_LENGTH)},
    {"interim response only", RAW_BYTES("HTTP/1.1 100 Continue\r\n\r\n")},

    {"end in the status line", RAW_BYTES("HTTP/1.1 200 O")},
    {"end in the head", RAW_BYTES(OK "X-Marker: 1\r\n")},
    {"end in the body", RAW_BYTES(OK "Content-Length: 9\r\n\r\nmarker.")},
    {"end in a chunk", RAW_BYTES(CHUNKED "9\r\nmarker.")},
    {"end behind a chunk", RAW_BYTES(CHUNKED "7\r\nmarker.\r\n")},
    {"end before the trailers", RAW_BYTES(CHUNKED "7\r\nmarker.\r\n0\r\n")},
    {"reset in the head", RAW_BYTES(OK "X-Marker: 1\r\n"), RAW_RESET, false,
     20000},
    {"reset in the body", RAW_BYTES(OK "Content-Length: 9\r\n\r\nmarker."),
     RAW_RESET, false, 20000},
    {"reset in a body without a length", RAW_BYTES(OK WITHOUT_LENGTH),
     RAW_RESET, false, 20000},
};

/// A complete response, and what the client must get of it.
typedef struct {
    raw_response_t response;
    int status;
    const char *body;
} whole_response_t;

static const whole_response_t whole_responses[] = {
    {{"usual", RAW_BYTES(OK WITH_LENGTH), RAW_KEEP}, 200, "marker."},
    {{"no reason", RAW_BYTES("HTTP/1.1 200 \r\n" SEALED WITH_LENGTH),
      RAW_KEEP},
     200,
     "marker."},
    {{"neither reason nor blank",
      RAW_BYTES("HTTP/1.1 200\r\n" SEALED WITH_LENGTH), RAW_KEEP},
     200,
     "marker."},
    {{"reason with bytes above ASCII",
      RAW_BYTES("HTTP/1.1 200 Tr\303\251s\tbien\r\n" SEALED WITH_LENGTH),
      RAW_KEEP},
     200,
     "marker."},
    {{"blanks before the status",
      RAW_BYTES("HTTP/1.1   200 OK\r\n" SEALED WITH_LENGTH), RAW_KEEP},
     200,
     "marker."},
    {{"lines that end in a line feed",
      RAW_BYTES("HTTP/1.1 200 OK\nX-Request-Id: @ID\nX-Server-Seal: 1\n"
                "Content-Length: 7\n\nmarker."),
      RAW_KEEP},
     200,
     "marker."},
    {{"HTTP/1.0", RAW_BYTES("HTTP/1.0 200 OK\r\n" SEALED WITH_LENGTH)},
     200,
     "marker."},
    {{"later minor version",
      RAW_BYTES("HTTP/1.2 200 OK\r\n" SEALED WITH_LENGTH), RAW_KEEP},
     200,
     "marker."},
    {{"no length", RAW_BYTES(OK WITHOUT_LENGTH)}, 200, "marker."},
    {{"no length, HTTP/1.0",
      RAW_BYTES("HTTP/1.0 200 OK\r\n" SEALED WITHOUT_LENGTH)},
     200,
     "marker."},
    {{"no length and no body", RAW_BYTES(OK "\r\n")}, 200, ""},
    {{"chunks", RAW_BYTES(CHUNKED "3\r\nmar\r\n04\r\nker.\r\n000\r\n\r\n"),
      RAW_KEEP},
     200,
     "marker."},
    {{"chunk extensions",
      RAW_BYTES(CHUNKED "3;a=b\r\nmar\r\n4 ; c=\"d\"\r\nker.\r\n0;e\r\n\r\n"),
      RAW_KEEP},
     200,
     "marker."},
    {{"blanks behind the size",
      RAW_BYTES(CHUNKED "7  \r\nmarker.\r\n0\r\n\r\n"), RAW_KEEP},
     200,
     "marker."},
    {{"chunk with line ends in it",
      RAW_BYTES(CHUNKED "B\r\nmar\r\n\r\nker.\r\n0\r\n\r\n"), RAW_KEEP},
     200,
     "mar\r\n\r\nker."},
    {{"trailers",
      RAW_BYTES(CHUNKED "7\r\nmarker.\r\n0\r\nX-Sum: 1\r\nX-Empty:\r\n\r\n"),
      RAW_KEEP},
     200,
     "marker."},
    {{"coding in capitals",
      RAW_BYTES(OK "TRANSFER-ENCODING: Chunked\r\n\r\n7\r\nmarker.\r\n0\r\n"
                   "\r\n"),
      RAW_KEEP},
     200,
     "marker."},
    {{"interim responses",
      RAW_BYTES(
          "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n"
          "Link: </a>\r\n\r\nHTTP/1.1 102\r\nContent-Length: 0\r\n\r\n" OK
              WITH_LENGTH),
      RAW_KEEP},
     200,
     "marker."},
    {{"empty line before the response", RAW_BYTES("\r\n" OK WITH_LENGTH),
      RAW_KEEP},
     200,
     "marker."},
    {{"folded value", RAW_BYTES(OK "X-Folded: a\r\n b\r\n\tc\r\n" WITH_LENGTH),
      RAW_KEEP},
     200,
     "marker."},
    {{"blanks around the length",
      RAW_BYTES(OK "Content-Length: \t 7 \r\n\r\nmarker."), RAW_KEEP},
     200,
     "marker."},
    {{"no blank before a value",
      RAW_BYTES(OK "Content-Length:7\r\nX-Empty:\r\n\r\nmarker."), RAW_KEEP},
     200,
     "marker."},
    {{"all bytes of names",
      RAW_BYTES(OK "!#$%&'*+-.^_`|~09AZaz: 1\r\n" WITH_LENGTH), RAW_KEEP},
     200,
     "marker."},
    {{"values with tabs and bytes above ASCII",
      RAW_BYTES(OK "X-Value: a\tb\303\251\377:; c\r\n" WITH_LENGTH), RAW_KEEP},
     200,
     "marker."},
    {{"204", RAW_BYTES("HTTP/1.1 204 No Content\r\n" SEALED "\r\n"), RAW_KEEP},
     204,
     ""},
    {{"204 with length 0",
      RAW_BYTES("HTTP/1.1 204 No Content\r\n" SEALED
                "Content-Length: 0\r\n\r\n"),
      RAW_KEEP},
     204,
     ""},
    {{"304 with the length of what wasn't modified",
      RAW_BYTES("HTTP/1.1 304 Not Modified\r\n" SEALED
                "Content-Length: 7\r\n\r\n"),
      RAW_KEEP},
     304,
     ""},
    {{"status 207",
      RAW_BYTES("HTTP/1.1 207 Multi-Status\r\n" SEALED WITH_LENGTH), RAW_KEEP},
     207,
     "marker."},
    {{"status 418", RAW_BYTES("HTTP/1.1 418 Teapot\r\n" SEALED WITH_LENGTH),
      RAW_KEEP},
     418,
     "marker."},
    {{"status 599", RAW_BYTES("HTTP/1.1 599 Other\r\n" SEALED WITH_LENGTH),
      RAW_KEEP},
     599,
     "marker."},
};

static raw_server_t server;
static int next_id;

static int
status_of(const GString *response)
{
    int status = 0;
    return sscanf(response->str, "HTTP/1.1 %3d ", &status) == 1 ? status : 0;
}

/// Returns the body of a response that has exactly the length that it says;
/// NULL if there is none.
static const char *
body_of(const GString *response)
{
    const char *end = strstr(response->str, "\r\n\r\n");
    const char *length = strstr(response->str, "\r\ncontent-length: ");
    if (end == NULL) {
        return NULL;
    }
    const char *body = end + strlen("\r\n\r\n");
    size_t len = response->len - (size_t)(body - response->str);
    size_t announced =
        length == NULL || length > end
            ? 0
            : (size_t)g_ascii_strtoull(length + strlen("\r\ncontent-length: "),
                                       NULL, 10);
    return len == announced ? body : NULL;
}

/// Sends a request that may run at most once to the node of the first machine,
/// and returns the response. @p id is set to its id.
static GString *
book(size_t body_bytes, char id[32])
{
    g_snprintf(id, 32, "id-%d", next_id++);
    char *head = g_strdup_printf("POST /book/a HTTP/1.1\r\nHost: site.example"
                                 "\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 4500"
                                 "\r\nConnection: close\r\n",
                                 id);
    GString *response =
        raw_request(site.machines[0].address, PORT_CALLER, head, body_bytes);
    g_free(head);
    return response;
}

static int
count_text(const char *text, const char *part)
{
    int count = 0;
    for (const char *at = text; (at = strstr(at, part)) != NULL; at++) {
        count++;
    }
    return count;
}

/// Returns how many lines about untrusted responses to a request the nodes
/// have logged that name the peer and a reason.
static int
count_untrusted_lines(const char *id, const char *peer, uint16_t port)
{
    int count = 0;
    char *line = g_strdup_printf("event=response_untrusted id=%s peer=%s:%u "
                                 "reason=\"",
                                 id, peer, port);
    for (int i = 0; i < site.machine_count; i++) {
        char *log = process_log(&site.machines[i].node);
        count += count_text(log, line);
        CU_ASSERT_PTR_NULL(strstr(log, "marker"));
        CU_ASSERT_PTR_NULL(strstr(log, "Marker"));
        g_free(log);
    }
    g_free(line);
    return count;
}

static int64_t
untrusted_total(int machine)
{
    testbed_vm_t vm = {0};
    g_strlcpy(vm.address, site.machines[machine].address, sizeof(vm.address));
    return node_metric(&vm, "ibisfield_responses_untrusted_total");
}

/// Fails the test unless the client got an error of the node's own, whose
/// outcome is unknown, and the request was sent once.
static void
check_refused(const char *name, const GString *response, const char *id)
{
    int status = status_of(response);
    bool passed =
        (status == 502 || status == 504) && body_of(response) != NULL &&
        strstr(response->str, "ibisfield-outcome: unknown") != NULL &&
        strstr(response->str, "seal") == NULL &&
        strstr(response->str, "marker") == NULL &&
        raw_server_requests(&server, id) == 1;
    if (!passed) {
        printf("\n  %s: sent %u times, client got:\n%s\n", name,
               raw_server_requests(&server, id), response->str);
    }
    CU_ASSERT_TRUE(passed);
}

static void
check_passed(const char *name, const GString *response, int status,
             const char *body)
{
    const char *found = body_of(response);
    bool passed = status_of(response) == status && found != NULL &&
                  strcmp(found, body) == 0 &&
                  strstr(response->str, "x-server-seal: ") != NULL;
    if (!passed) {
        printf("\n  %s: expected %d, client got:\n%s\n", name, status,
               response->str);
    }
    CU_ASSERT_TRUE(passed);
}

/// Starts a site with a raw server in place of the only one of "back".
static void
start_site_with_raw_server(void)
{
    site_extra_settings = ", \"max_request_bytes\": 16777216";
    start_site(MACHINES_DEFAULT);
    publish_site();
    process_stop(&site.machines[GUARD].server, SIGKILL);
    raw_server_start(&server, site.machines[GUARD].address, PORT_UPSTREAM,
                     &whole_responses[0].response);
    remove_server_record(&site.machines[GUARD + 1]);
    wait_nodes_logged("event=vm_removed upstream_vm=i-3");
}

/// Guards against broken responses that reach a client, aren't logged once, or
/// have a request that may run once sent again.
static void
test_broken_responses_of_a_server(void)
{
    char id[32];
    start_site_with_raw_server();
    int64_t before = untrusted_total(GUARD);
    for (size_t i = 0; i < G_N_ELEMENTS(broken_responses); i++) {
        server.response = &broken_responses[i];
        GString *response = book(0, id);
        check_refused(broken_responses[i].name, response, id);
        CU_ASSERT_EQUAL(count_untrusted_lines(id, site.machines[GUARD].address,
                                              PORT_UPSTREAM),
                        1);
        g_string_free(response, TRUE);
        g_usleep(60000); // Log lines of one event are limited to 20 a second.
    }
    CU_ASSERT_EQUAL(untrusted_total(GUARD) - before,
                    (int64_t)G_N_ELEMENTS(broken_responses));
    raw_server_stop(&server);
    stop_site();
}

/// Guards against refusing complete responses of unusual forms.
static void
test_whole_responses_of_a_server(void)
{
    char id[32];
    start_site_with_raw_server();
    for (size_t i = 0; i < G_N_ELEMENTS(whole_responses); i++) {
        const whole_response_t *whole = &whole_responses[i];
        server.response = &whole->response;
        GString *response = book(0, id);
        check_passed(whole->response.name, response, whole->status,
                     whole->body);
        CU_ASSERT_EQUAL(raw_server_requests(&server, id), 1);
        g_string_free(response, TRUE);
    }
    CU_ASSERT_EQUAL(untrusted_total(GUARD), 0);
    raw_server_stop(&server);
    stop_site();
}

/// Guards against trailers that are taken for fields of the head: one that
/// says that the request hasn't run would have it sent again.
static void
test_trailers_are_no_headers(void)
{
    static const raw_response_t refusal_in_trailer = {
        "refusal in a trailer",
        RAW_BYTES(CHUNKED "7\r\nmarker.\r\n0\r\nX-Not-Executed: 1\r\n"
                          "Content-Type: text/html\r\n\r\n"),
        RAW_KEEP};
    static const raw_response_t seal_in_trailer = {
        "seal in a trailer",
        RAW_BYTES("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                  "7\r\nmarker.\r\n0\r\n" SEALED "\r\n"),
        RAW_KEEP};
    char id[32];
    start_site_with_raw_server();
    server.response = &refusal_in_trailer;
    GString *response = book(0, id);
    check_passed(refusal_in_trailer.name, response, 200, "marker.");
    CU_ASSERT_PTR_NULL(strstr(response->str, "text/html"));
    CU_ASSERT_EQUAL(raw_server_requests(&server, id), 1);
    g_string_free(response, TRUE);
    server.response = &seal_in_trailer;
    response = book(0, id);
    check_refused(seal_in_trailer.name, response, id);
    g_string_free(response, TRUE);
    raw_server_stop(&server);
    stop_site();
}

/// Guards against a reset that looks like an orderly end: a write that fails
/// takes the error of the reset from the socket.
static void
test_resets_while_an_upload_is_written(void)
{
    static const raw_response_t resets[] = {
        {"reset at once", RAW_BYTES(OK WITHOUT_LENGTH), RAW_RESET, true, 0},
        {"reset after 2 ms", RAW_BYTES(OK WITHOUT_LENGTH), RAW_RESET, true,
         2000},
        {"reset after 30 ms", RAW_BYTES(OK WITHOUT_LENGTH), RAW_RESET, true,
         30000},
        {"unread upload", RAW_BYTES(OK WITHOUT_LENGTH), RAW_CLOSE, true,
         10000},
        {"reset in a body with a length",
         RAW_BYTES(OK "Content-Length: 9\r\n\r\nmarker."), RAW_RESET, true,
         10000},
        {"reset in chunks", RAW_BYTES(CHUNKED "7\r\nmarker.\r\n"), RAW_RESET,
         true, 10000},
        {"reset in the head", RAW_BYTES(OK), RAW_RESET, true, 10000},
    };
    char id[32];
    start_site_with_raw_server();
    for (int round = 0; round < UPLOAD_ROUNDS; round++) {
        for (size_t i = 0; i < G_N_ELEMENTS(resets); i++) {
            server.response = &resets[i];
            GString *response = book(UPLOAD_BYTES, id);
            check_refused(resets[i].name, response, id);
            g_string_free(response, TRUE);
        }
    }
    raw_server_stop(&server);
    stop_site();
}

/// Guards against an end of the stream that comes before the reset: a server
/// that has read all that had arrived, and closes or crashes while the kernel
/// of the node still holds a part of the upload.
static void
test_closes_while_an_upload_is_on_its_way(void)
{
    static const raw_response_t early = {"close", RAW_BYTES(OK WITHOUT_LENGTH),
                                         RAW_CLOSE_READ, true, 2000};
    static const size_t sizes[] = {500000, 2000000, 4000000, UPLOAD_BYTES};
    int incomplete = 0;
    char id[32];
    start_site_with_raw_server();
    server.response = &early;
    for (int round = 0; round < UPLOAD_ROUNDS; round++) {
        for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
            server.read_bytes = 0;
            GString *response = book(sizes[i], id);
            if (server.read_bytes < sizes[i]) {
                incomplete++;
                check_refused(early.name, response, id);
            }
            else {
                check_passed(early.name, response, 200, "marker.");
            }
            g_string_free(response, TRUE);
        }
    }
    printf("  %d of %d uploads were read in part\n", incomplete,
           UPLOAD_ROUNDS * (int)G_N_ELEMENTS(sizes));
    raw_server_stop(&server);
    stop_site();
}

/// Guards against refusing complete responses to an upload that is still being
/// written.
static void
test_whole_responses_while_an_upload_is_written(void)
{
    static const raw_response_t responses[] = {
        {"no length", RAW_BYTES(OK WITHOUT_LENGTH), RAW_DRAIN, true, 10000},
        {"length", RAW_BYTES(OK WITH_LENGTH), RAW_DRAIN, true, 10000},
        {"length, then a reset", RAW_BYTES(OK WITH_LENGTH), RAW_RESET, true,
         10000},
        {"chunks", RAW_BYTES(CHUNKED "7\r\nmarker.\r\n0\r\n\r\n"), RAW_DRAIN,
         true, 10000},
    };
    char id[32];
    start_site_with_raw_server();
    for (int round = 0; round < UPLOAD_ROUNDS; round++) {
        for (size_t i = 0; i < G_N_ELEMENTS(responses); i++) {
            server.response = &responses[i];
            GString *response = book(UPLOAD_BYTES, id);
            check_passed(responses[i].name, response, 200, "marker.");
            CU_ASSERT_EQUAL(raw_server_requests(&server, id), 1);
            g_string_free(response, TRUE);
        }
    }
    raw_server_stop(&server);
    stop_site();
}

#define NODE_HEADERS                                                          \
    "ibisfield-protocol: 1\r\nibisfield-outcome: answered\r\n" SEALED

/// Guards against broken responses of another node.
static void
test_broken_responses_of_a_node(void)
{
    static const raw_response_t broken[] = {
        {"status 000",
         RAW_BYTES("HTTP/1.1 000 OK\r\n" NODE_HEADERS WITH_LENGTH)},
        {"blank in a name",
         RAW_BYTES(
             "HTTP/1.1 200 OK\r\nX Marker: 1\r\n" NODE_HEADERS WITH_LENGTH)},
        {"refusal with a blank behind a name",
         RAW_BYTES("HTTP/1.1 503 Failed\r\nibisfield-outcome: not-run\r\n"
                   "ibisfield-reason : leaving\r\nContent-Length: 0\r\n\r\n")},
        {"broken chunk",
         RAW_BYTES(
             "HTTP/1.1 200 OK\r\n" NODE_HEADERS
             "Transfer-Encoding: chunked\r\n\r\n7\r\nmarker.XY0\r\n\r\n")},
        {"no length",
         RAW_BYTES("HTTP/1.1 200 OK\r\n" NODE_HEADERS WITHOUT_LENGTH)},
        {"end in the body", RAW_BYTES("HTTP/1.1 200 OK\r\n" NODE_HEADERS
                                      "Content-Length: 9\r\n\r\nmarker.")},
    };
    static const raw_response_t whole = {
        "whole", RAW_BYTES("HTTP/1.1 200\r\n" NODE_HEADERS WITH_LENGTH)};
    const machine_t *peer = &site.machines[GUARD];
    char id[32];
    start_site(MACHINES_DEFAULT);
    publish_site();
    remove_server_record(&site.machines[GUARD + 1]);
    wait_nodes_logged("event=vm_removed upstream_vm=i-3");
    process_stop(&site.machines[GUARD].node, SIGKILL);
    raw_server_start(&server, peer->address, PORT_PEER, &whole);
    for (size_t i = 0; i < G_N_ELEMENTS(broken); i++) {
        server.response = &broken[i];
        GString *response = book(0, id);
        check_refused(broken[i].name, response, id);
        CU_ASSERT_EQUAL(count_untrusted_lines(id, peer->address, PORT_PEER),
                        1);
        g_string_free(response, TRUE);
    }
    server.response = &whole;
    GString *response = book(0, id);
    check_passed(whole.name, response, 200, "marker.");
    g_string_free(response, TRUE);
    raw_server_stop(&server);
    stop_site();
}

/// A listing of the store with a desired state of version 99.
#define LISTING                                                               \
    "{\"at_rev\":5,\"has_more\":false,\"items\":[{\"key\":\"op/config\","     \
    "\"revision\":4,\"value\":\"eyJ2ZXJzaW9uIjo5OSwicm91dGVzIjpbXSwic2Vydmlj" \
    "ZXMiOltdfQ==\"}]}"
#define LISTING_BYTES 139

static void
read_store_directly(machine_t *machine)
{
    if (strcmp(machine->service, "back") == 0) {
        g_strlcpy(machine->store_address, machine->address,
                  sizeof(machine->store_address));
        raw_server_start(&server, machine->address, PORT_STORE,
                         server.response);
    }
}

/// Guards against a configuration that comes from a broken response of the
/// store.
static void
test_broken_responses_of_the_store(void)
{
    static const raw_response_t broken[] = {
        {"status 000",
         RAW_BYTES("HTTP/1.1 000 OK\r\nContent-Length: " G_STRINGIFY(
             LISTING_BYTES) "\r\n\r\n" LISTING)},
        {"blank behind the name of the length",
         RAW_BYTES("HTTP/1.1 200 OK\r\nContent-Length : " G_STRINGIFY(
             LISTING_BYTES) "\r\n\r\n" LISTING)},
        {"blank in a name",
         RAW_BYTES(
             "HTTP/1.1 200 OK\r\nX Marker: 1\r\nContent-Length: " G_STRINGIFY(
                 LISTING_BYTES) "\r\n\r\n" LISTING)},
        {"chunk without its end",
         RAW_BYTES("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8b"
                   "\r\n" LISTING "XY0\r\n\r\n")},
        {"end in the body",
         RAW_BYTES("HTTP/1.1 200 OK\r\nContent-Length: 200\r\n\r\n" LISTING)},
    };
    static const raw_response_t whole = {
        "whole", RAW_BYTES("HTTP/1.1 200\r\nTransfer-Encoding: chunked\r\n\r\n"
                           "8B ;a=b\r\n" LISTING "\r\n0\r\nX-Sum: 1\r\n\r\n")};
    CU_ASSERT_EQUAL(strlen(LISTING), LISTING_BYTES);
    server.response = &broken[0];
    start_site_with_addresses(2, read_store_directly);
    const process_t *node = &site.machines[1].node;
    for (size_t i = 0; i < G_N_ELEMENTS(broken); i++) {
        server.response = &broken[i];
        int64_t before = untrusted_total(1);
        for (int polls = 0; polls < 1000 && untrusted_total(1) < before + 2;
             polls++) {
            g_usleep(10000);
        }
        CU_ASSERT_TRUE(untrusted_total(1) >= before + 2);
        CU_ASSERT_FALSE(process_has_logged(node, "event=contracts_in_force"));
    }
    CU_ASSERT_TRUE(
        count_untrusted_lines("", site.machines[1].address, PORT_STORE) > 0);
    server.response = &whole;
    CU_ASSERT_TRUE(
        process_wait_log(node, "event=contracts_in_force version=99 "));
    raw_server_stop(&server);
    stop_site();
}

#define DRAINING "{\"status\": \"draining\"}"

/// Guards against health probes that believe a broken response.
static void
test_broken_responses_to_health_probes(void)
{
    static const raw_response_t broken[] = {
        {"status 000",
         RAW_BYTES("HTTP/1.1 000 OK\r\nContent-Length: 22\r\n\r\n" DRAINING)},
        {"blank in a name",
         RAW_BYTES("HTTP/1.1 200 OK\r\nX Marker: 1\r\nContent-Length: 22\r\n"
                   "\r\n" DRAINING)},
        {"chunk without its end",
         RAW_BYTES("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n16"
                   "\r\n" DRAINING "XY0\r\n\r\n")},
    };
    static const raw_response_t whole = {
        "whole",
        RAW_BYTES("HTTP/1.0 200 OK\nContent-Length: 22\n\n" DRAINING)};
    static const char *const arguments[] = {"--name", "solo", NULL};
    testbed_t bed;
    testbed_init(&bed);
    testbed_vm_t *vm = testbed_add_vm(&bed, "solo", "north", "", arguments);
    process_stop(&vm->upstream, SIGKILL);
    raw_server_start(&server, vm->address, PORT_UPSTREAM, &broken[0]);
    for (size_t i = 0; i < G_N_ELEMENTS(broken); i++) {
        server.response = &broken[i];
        int64_t before =
            node_metric(vm, "ibisfield_responses_untrusted_total");
        for (int polls = 0;
             polls < 1000 &&
             node_metric(vm, "ibisfield_responses_untrusted_total") <
                 before + 2;
             polls++)
        {
            g_usleep(10000);
        }
        CU_ASSERT_TRUE(
            node_metric(vm, "ibisfield_responses_untrusted_total") >=
            before + 2);
        CU_ASSERT_FALSE(process_has_logged(&vm->node, "draining=1"));
    }
    server.response = &whole;
    CU_ASSERT_TRUE(process_wait_log(
        &vm->node, "event=upstream_health_changed draining=1"));
    raw_server_stop(&server);
    testbed_finish(&bed);
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"broken responses of a server", test_broken_responses_of_a_server},
        {"whole responses of a server", test_whole_responses_of_a_server},
        {"trailers", test_trailers_are_no_headers},
        {"resets during an upload", test_resets_while_an_upload_is_written},
        {"closes during an upload", test_closes_while_an_upload_is_on_its_way},
        {"whole responses during an upload",
         test_whole_responses_while_an_upload_is_written},
        {"broken responses of a node", test_broken_responses_of_a_node},
        {"broken responses of the store", test_broken_responses_of_the_store},
        {"broken responses to health probes",
         test_broken_responses_to_health_probes},
        CU_TEST_INFO_NULL,
    };
    return run_suite("broken responses", tests);
}
