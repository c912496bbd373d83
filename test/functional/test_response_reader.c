/// @file
/// Answers as they come from connections: whole, in pieces, without a length,
/// followed by bytes that nobody asked for.

#include "ibisfield/io/response_reader.h"

#include "common/suite.h"
#include "ibisfield/io/http_client.h"

static response_reader_t reader;

static size_t
take(const char *text)
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

/// Guards against bytes after an answer that are taken for a part of it.
static void
test_extra_bytes_stay_behind(void)
{
    static const char answer[] =
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Request-Id: a1\r\n\r\nok";
    start(false);
    CU_ASSERT_EQUAL(take("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
                         "X-Request-Id: a1\r\n\r\nokHTTP/1.1 200 OK\r\n"),
                    strlen(answer));
    CU_ASSERT_EQUAL(reader.state, RESPONSE_COMPLETE);
    CU_ASSERT_EQUAL(reader.body->len, 2);
    CU_ASSERT_TRUE(slice_equal_string(header("x-request-id"), "a1"));
    CU_ASSERT_TRUE(reader.keep_alive);
    response_reader_finish(&reader);
}

/// Guards against pieces that are put together wrongly, byte by byte.
static void
test_pieces(void)
{
    static const char answer[] = "HTTP/1.1 100 Continue\r\nA: b\r\n\r\n"
                                 "HTTP/1.1 503 No\r\nConnection: close\r\n"
                                 "Transfer-Encoding: chunked\r\nEmpty:\r\n\r\n"
                                 "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    start(false);
    for (size_t i = 0; i < strlen(answer); i++) {
        CU_ASSERT_EQUAL(reader.state, RESPONSE_PARTIAL);
        CU_ASSERT_EQUAL(
            response_reader_feed(&reader, (slice_t){answer + i, 1}), 1);
    }
    CU_ASSERT_EQUAL(reader.state, RESPONSE_COMPLETE);
    CU_ASSERT_EQUAL(reader.parser.status_code, 503);
    CU_ASSERT_FALSE(reader.keep_alive);
    CU_ASSERT_EQUAL(memcmp(reader.body->data, "abcde", 5), 0);
    CU_ASSERT_PTR_NULL(header("a").data);
    CU_ASSERT_EQUAL(header("empty").len, 0);
    response_reader_finish(&reader);
}

/// Guards against an answer that a reset has cut being passed on as whole
/// (MIXED): only a clean close ends an answer without a length.
static void
test_unframed_answers_end_with_a_clean_close(void)
{
    static const char answer[] = "HTTP/1.1 200 OK\r\n\r\nhello";
    start(true);
    take(answer);
    CU_ASSERT_EQUAL(reader.state, RESPONSE_PARTIAL);
    response_reader_eof(&reader, true);
    CU_ASSERT_EQUAL(reader.state, RESPONSE_COMPLETE);
    CU_ASSERT_EQUAL(reader.body->len, 5);
    CU_ASSERT_FALSE(reader.keep_alive);
    response_reader_start(&reader, false);
    take(answer);
    response_reader_eof(&reader, false);
    CU_ASSERT_EQUAL(reader.state, RESPONSE_INVALID);
    response_reader_start(&reader, false);
    take("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhello");
    response_reader_eof(&reader, true);
    CU_ASSERT_EQUAL(reader.state, RESPONSE_INVALID);
    response_reader_finish(&reader);
    start(false);
    take(answer);
    CU_ASSERT_EQUAL(reader.state, RESPONSE_INVALID);
    response_reader_finish(&reader);
}

/// Guards against unbounded bodies and against what is no HTTP.
static void
test_bad_answers(void)
{
    start(true);
    take("HTTP/1.1 200 OK\r\nContent-Length: 65\r\n\r\n");
    CU_ASSERT_EQUAL(reader.state, RESPONSE_TOO_LARGE);
    response_reader_start(&reader, false);
    take("220 smtp ready\r\n");
    CU_ASSERT_EQUAL(reader.state, RESPONSE_INVALID);
    response_reader_start(&reader, true);
    take("HTTP/1.1 200 OK\r\nContent-Length: 65\r\n\r\n");
    CU_ASSERT_EQUAL(reader.state, RESPONSE_COMPLETE);
    response_reader_finish(&reader);
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"extra bytes", test_extra_bytes_stay_behind},
        {"pieces", test_pieces},
        {"unframed", test_unframed_answers_end_with_a_clean_close},
        {"bad answers", test_bad_answers},
        CU_TEST_INFO_NULL,
    };
    return run_suite("answer reader", tests);
}
