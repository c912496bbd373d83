/// @file
/// Responses as they arrive on connections: complete, in single bytes, without
/// a length, and followed by unrequested bytes.

#include "ibisfield/io/response_reader.h"

#include "common/suite.h"
#include "ibisfield/io/http_client.h"

static response_reader_t reader;

static size_t
feed(const char *text)
{
    return response_reader_feed(&reader, slice_from_string(text));
}

static void
start(bool allow_close_delimited)
{
    response_reader_init(&reader, 64, allow_close_delimited);
    response_reader_start(&reader, false);
}

static slice_t
header(const char *name)
{
    return http_header_find(reader.headers,
                            response_reader_header_count(&reader), name);
}

/// Guards against treating bytes after a response as a part of it.
static void
test_bytes_after_a_response_are_not_consumed(void)
{
    static const char response[] =
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Request-Id: a1\r\n\r\nok";
    start(false);
    CU_ASSERT_EQUAL(feed("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
                         "X-Request-Id: a1\r\n\r\nokHTTP/1.1 200 OK\r\n"),
                    strlen(response));
    CU_ASSERT_EQUAL(reader.state, RESPONSE_COMPLETE);
    CU_ASSERT_EQUAL(reader.body->len, 2);
    CU_ASSERT_TRUE(slice_equal_string(header("x-request-id"), "a1"));
    CU_ASSERT_TRUE(reader.keep_alive);
    response_reader_finish(&reader);
}

/// Guards against a faulty server whose heads take many times their size in
/// memory: four bytes of header text took 36.
static void
test_number_of_headers_is_bounded(void)
{
    for (int trailers = 0; trailers < 2; trailers++) {
        start(false);
        feed("HTTP/1.1 200 OK\r\n");
        if (trailers == 1) {
            feed("Transfer-Encoding: chunked\r\n\r\n0\r\n");
        }
        size_t most = 0;
        for (int i = 0; i < 20000 && reader.state == RESPONSE_PARTIAL; i++) {
            feed("a:\r\n");
            most = MAX(most, response_reader_held_bytes(&reader));
        }
        CU_ASSERT_EQUAL(reader.state, RESPONSE_INVALID);
        CU_ASSERT_TRUE(most < 16384);
        response_reader_finish(&reader);
    }
    start(false);
    feed("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n");
    for (int i = 0; i < 200; i++) {
        feed("a: b\r\n");
    }
    feed("\r\n");
    CU_ASSERT_EQUAL(reader.state, RESPONSE_COMPLETE);
    CU_ASSERT_EQUAL(response_reader_header_count(&reader), 201);
    response_reader_start(&reader, false);
    CU_ASSERT_TRUE(response_reader_held_bytes(&reader) < 16384);
    response_reader_finish(&reader);
}

/// Guards against errors in assembling a response that arrives byte by byte.
static void
test_response_in_single_bytes(void)
{
    static const char response[] =
        "HTTP/1.1 100 Continue\r\nA: b\r\n\r\n"
        "HTTP/1.1 503 No\r\nConnection: close\r\n"
        "Transfer-Encoding: chunked\r\nEmpty:\r\n\r\n"
        "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    start(false);
    for (size_t i = 0; i < strlen(response); i++) {
        CU_ASSERT_EQUAL(reader.state, RESPONSE_PARTIAL);
        CU_ASSERT_EQUAL(
            response_reader_feed(&reader, (slice_t){response + i, 1}), 1);
    }
    CU_ASSERT_EQUAL(reader.state, RESPONSE_COMPLETE);
    CU_ASSERT_EQUAL(reader.parser.status_code, 503);
    CU_ASSERT_FALSE(reader.keep_alive);
    CU_ASSERT_EQUAL(memcmp(reader.body->data, "abcde", 5), 0);
    CU_ASSERT_PTR_NULL(header("a").data);
    CU_ASSERT_EQUAL(header("empty").len, 0);
    response_reader_finish(&reader);
}

/// Guards against reporting a response that a reset has truncated as complete
/// (the platform's rule MIXED): only an orderly close ends a response without
/// a length.
static void
test_close_delimited_responses(void)
{
    static const char response[] = "HTTP/1.1 200 OK\r\n\r\nhello";
    start(true);
    feed(response);
    CU_ASSERT_EQUAL(reader.state, RESPONSE_PARTIAL);
    response_reader_eof(&reader, true);
    CU_ASSERT_EQUAL(reader.state, RESPONSE_COMPLETE);
    CU_ASSERT_EQUAL(reader.body->len, 5);
    CU_ASSERT_FALSE(reader.keep_alive);
    response_reader_start(&reader, false);
    feed(response);
    response_reader_eof(&reader, false);
    CU_ASSERT_EQUAL(reader.state, RESPONSE_INVALID);
    response_reader_start(&reader, false);
    feed("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhello");
    response_reader_eof(&reader, true);
    CU_ASSERT_EQUAL(reader.state, RESPONSE_INVALID);
    response_reader_finish(&reader);
    start(false);
    feed(response);
    CU_ASSERT_EQUAL(reader.state, RESPONSE_INVALID);
    response_reader_finish(&reader);
}

/// Guards against a response that a server broke off in its head or its body
/// and that counts as complete: also the second one of a kept connection.
static void
test_response_cut_at_any_byte(void)
{
    static const char *const responses[] = {
        "HTTP/1.1 200 OK\r\nX-Server-Seal: 3e1b.07\r\n"
        "Content-Length: 5\r\nX-Request-Id: 9c\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nX-Server-Seal: 3e1b.07\r\n"
        "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
        // Without a length; the close ends it, but not its head.
        "HTTP/1.1 200 OK\r\nX-Server-Seal: 3e1b.07\r\n"
        "X-Request-Id: 9c\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
        "Content-Length: 0\r\n\r\n",
    };
    start(true);
    for (size_t i = 0; i < G_N_ELEMENTS(responses); i++) {
        size_t len = strlen(responses[i]);
        for (size_t cut = 0; cut < len; cut++) {
            response_reader_start(&reader, false);
            feed("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
            CU_ASSERT_EQUAL(reader.state, RESPONSE_COMPLETE);
            response_reader_start(&reader, false);
            response_reader_feed(&reader, (slice_t){responses[i], cut});
            CU_ASSERT_EQUAL(reader.state, RESPONSE_PARTIAL);
            response_reader_eof(&reader, true);
            CU_ASSERT_EQUAL(reader.state, RESPONSE_INVALID);
        }
        response_reader_start(&reader, false);
        response_reader_feed(&reader, (slice_t){responses[i], len});
        response_reader_eof(&reader, true);
        CU_ASSERT_EQUAL(reader.state, RESPONSE_COMPLETE);
    }
    response_reader_finish(&reader);
}

/// Guards against unbounded bodies and against accepting bytes that aren't
/// HTTP.
static void
test_invalid_responses(void)
{
    start(true);
    feed("HTTP/1.1 200 OK\r\nContent-Length: 65\r\n\r\n");
    CU_ASSERT_EQUAL(reader.state, RESPONSE_TOO_LARGE);
    response_reader_start(&reader, false);
    feed("220 smtp ready\r\n");
    CU_ASSERT_EQUAL(reader.state, RESPONSE_INVALID);
    response_reader_start(&reader, true);
    feed("HTTP/1.1 200 OK\r\nContent-Length: 65\r\n\r\n");
    CU_ASSERT_EQUAL(reader.state, RESPONSE_COMPLETE);
    response_reader_finish(&reader);
}

/// Feeds a head with one header, in pieces of a size, and returns whether it
/// was read to its end.
static bool
is_header_accepted(const char *name, size_t name_len, const char *value,
                   size_t value_len, size_t piece)
{
    GString *text = g_string_new("HTTP/1.1 200 OK\r\n");
    g_string_append_len(text, name, (gssize)name_len);
    g_string_append(text, ": ");
    g_string_append_len(text, value, (gssize)value_len);
    g_string_append(text, "\r\nContent-Length: 0\r\n\r\n");
    response_reader_start(&reader, false);
    for (size_t used = 0;
         used < text->len && reader.state == RESPONSE_PARTIAL;) {
        size_t len = MIN(piece, text->len - used);
        used +=
            response_reader_feed(&reader, (slice_t){text->str + used, len});
    }
    g_string_free(text, TRUE);
    CU_ASSERT_EQUAL(reader.state == RESPONSE_INVALID, reader.error != NULL);
    return reader.state == RESPONSE_COMPLETE;
}

/// Guards against names and values with bytes that HTTP/1.1 doesn't allow
/// there, wherever they stand, and against refusing the others.
static void
test_bytes_of_headers(void)
{
    static const char marks[] = "!#$%&'*+-.^_`|~";
    start(true);
    for (int byte = 0; byte < 256; byte++) {
        char c = (char)byte;
        bool is_token =
            g_ascii_isalnum(c) || (c != '\0' && strchr(marks, c) != NULL);
        bool is_text = byte == '\t' || (byte >= ' ' && byte != 0x7f);
        for (size_t place = 0; place < 3; place++) {
            char text[] = "abc";
            text[place] = c;
            // The first colon ends a name, which must not be empty.
            bool ends_name = c == ':' && place > 0;
            for (size_t piece = 1; piece <= 64; piece *= 64) {
                CU_ASSERT_EQUAL(is_header_accepted(text, 3, "v", 1, piece),
                                is_token || ends_name);
                CU_ASSERT_EQUAL(is_header_accepted("n", 1, text, 3, piece),
                                is_text);
            }
        }
    }
    response_reader_finish(&reader);
}

/// Guards against responses of any status that isn't defined, and of any
/// number of digits but three.
static void
test_status_codes(void)
{
    start(true);
    for (int status = 0; status < 10000; status++) {
        for (int digits = 1; digits <= 4; digits++) {
            char text[64];
            g_snprintf(text, sizeof(text),
                       "HTTP/1.1 %0*d\r\nContent-Length: 0\r\n\r\n", digits,
                       status);
            response_reader_start(&reader, false);
            feed(text);
            bool has_three = digits <= 3 && status >= 100 && status < 1000;
            response_state_t expected =
                !has_three || status >= 600 || status == 101 ? RESPONSE_INVALID
                : status < 200                               ? RESPONSE_PARTIAL
                               : RESPONSE_COMPLETE;
            if (reader.state != expected) {
                printf("\n  state %d for %s", reader.state, text);
                CU_FAIL("wrong state");
            }
        }
    }
    response_reader_finish(&reader);
}

/// Guards against trailers among the headers.
static void
test_trailers_are_dropped(void)
{
    start(false);
    feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nA: 1\r\n\r\n"
         "2\r\nok\r\n0\r\nB: 2\r\nContent-Length: 9\r\n\r\n");
    CU_ASSERT_EQUAL(reader.state, RESPONSE_COMPLETE);
    CU_ASSERT_EQUAL(response_reader_header_count(&reader), 2);
    CU_ASSERT_TRUE(slice_equal_string(header("a"), "1"));
    CU_ASSERT_PTR_NULL(header("b").data);
    response_reader_finish(&reader);
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"bytes of headers", test_bytes_of_headers},
        {"status codes", test_status_codes},
        {"trailers", test_trailers_are_dropped},
        {"number of headers", test_number_of_headers_is_bounded},
        {"extra bytes", test_bytes_after_a_response_are_not_consumed},
        {"single bytes", test_response_in_single_bytes},
        {"close-delimited", test_close_delimited_responses},
        {"cut at any byte", test_response_cut_at_any_byte},
        {"invalid responses", test_invalid_responses},
        CU_TEST_INFO_NULL,
    };
    return run_suite("response reader", tests);
}
