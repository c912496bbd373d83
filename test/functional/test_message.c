/// @file
/// Headers between nodes, serialised responses, spans, and the interpretation
/// of a guard's response.

#include "ibisfield/io/message.h"
#include "ibisfield/io/peer_client.h"
#include "ibisfield/io/span.h"

#include "common/suite.h"

#define HEADER(name, value)                                                   \
    {                                                                         \
        SLICE_LITERAL(name), SLICE_LITERAL(value)                             \
    }
#define PARENT "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"

static slice_t
value_of(const message_t *message, const char *name)
{
    return http_header_find(message->headers, message->header_count, name);
}

/// Guards against callers that set headers of the protocol between nodes, and
/// against copying hop-by-hop headers to another connection.
static void
test_only_end_to_end_headers_are_copied(void)
{
    const http_header_t headers[] = {
        HEADER("connection", "keep-alive, X-Hop"),
        HEADER("x-hop", "1"),
        HEADER("transfer-encoding", "chunked"),
        HEADER("content-length", "5"),
        HEADER("ibisfield-worth", "100"),
        HEADER("traceparent", PARENT),
        HEADER("x-request-id", "r1"),
        HEADER("set-cookie", "a=1"),
        HEADER("set-cookie", "b=2"),
    };
    message_t message;
    message_init(&message, 200);
    message_add_end_to_end(&message, headers, G_N_ELEMENTS(headers));
    CU_ASSERT_EQUAL(message.header_count, 3);
    CU_ASSERT_TRUE(
        slice_equal_string(value_of(&message, "x-request-id"), "r1"));
    CU_ASSERT_TRUE(slice_equal_string(message.headers[2].value, "b=2"));
    message_finish(&message);
}

/// Guards against a replay that differs from the first response, and against
/// reading past the end of a stored response.
static void
test_stored_response_is_replayed_completely(void)
{
    const http_header_t headers[] = {HEADER("content-type", "text/plain"),
                                     HEADER("ibisfield-load", "x")};
    http_response_t response = {
        .status = 201,
        .headers = headers,
        .header_count = G_N_ELEMENTS(headers),
        .body = SLICE_LITERAL("booked"),
    };
    GByteArray *stored = g_byte_array_new();
    response_serialise(stored, &response);
    message_t message;
    CU_ASSERT_TRUE(response_deserialise(
        &message, (slice_t){(const char *)stored->data, stored->len}));
    CU_ASSERT_EQUAL(message.status, 201);
    CU_ASSERT_EQUAL(message.header_count, 1);
    CU_ASSERT_TRUE(slice_equal_string(message_body(&message), "booked"));
    message_finish(&message);
    for (guint len = 0; len < stored->len; len++) {
        CU_ASSERT_FALSE(response_deserialise(
            &message, (slice_t){(const char *)stored->data, len}));
        message_finish(&message);
    }
    g_byte_array_unref(stored);
}

/// Guards against numbers that overflow.
static void
test_numbers_are_bounded(void)
{
    int64_t number = 0;
    uint64_t bits = 0;
    CU_ASSERT_TRUE(parse_number(SLICE_LITERAL("100"), 100, &number));
    CU_ASSERT_EQUAL(number, 100);
    CU_ASSERT_FALSE(parse_number(SLICE_LITERAL("101"), 100, &number));
    CU_ASSERT_FALSE(parse_number(SLICE_LITERAL(""), 100, &number));
    CU_ASSERT_FALSE(parse_number(SLICE_LITERAL("-1"), 100, &number));
    CU_ASSERT_FALSE(parse_number(SLICE_LITERAL("99999999999999999999"),
                                 INT64_MAX, &number));
    CU_ASSERT_TRUE(parse_hex(SLICE_LITERAL("ffffffffffffffff"), &bits));
    CU_ASSERT_EQUAL(bits, UINT64_MAX);
    CU_ASSERT_FALSE(parse_hex(SLICE_LITERAL("1ffffffffffffffff"), &bits));
    CU_ASSERT_FALSE(parse_hex(SLICE_LITERAL("0x1"), &bits));
}

/// Guards against losing the trace context at a hop.
static void
test_spans_keep_the_trace(void)
{
    clock_source_t clock;
    span_source_t source;
    span_t span;
    span_t next;
    char text[TRACEPARENT_LEN + 1];
    boot_clock_init(&clock);
    span_source_init(&source, &clock, "vm1", 1);
    span_start(&span, &source, "entry", SLICE_LITERAL(PARENT));
    CU_ASSERT_STRING_EQUAL(span.trace, "0af7651916cd43dd8448eb211c80319c");
    CU_ASSERT_STRING_EQUAL(span.parent, "b7ad6b7169203331");
    CU_ASSERT_TRUE(span.sampled);
    span_traceparent(&span, text);
    span_start(&next, &source, "guard", slice_from_string(text));
    CU_ASSERT_STRING_EQUAL(next.trace, span.trace);
    CU_ASSERT_STRING_EQUAL(next.parent, span.id);
    CU_ASSERT_STRING_NOT_EQUAL(next.id, span.id);
    span_start(&span, &source, "entry",
               SLICE_LITERAL("00-00000000000000000000000000000000-"
                             "b7ad6b7169203331-01"));
    CU_ASSERT_STRING_EQUAL(span.parent, "");
    span_start(&span, &source, "entry", SLICE_LITERAL("01-x"));
    CU_ASSERT_EQUAL(strlen(span.trace), TRACE_ID_LEN);
    span_source_finish(&source);
}

static attempt_result_type_t
result_type_of(http_result_t result, const char *outcome)
{
    const http_header_t header = {SLICE_LITERAL(HEADER_OUTCOME),
                                  slice_from_string(outcome)};
    http_response_t response = {.result = result,
                                .status = 200,
                                .headers = &header,
                                .header_count = outcome != NULL};
    attempt_result_t read;
    peer_client_read_result(&read, &response);
    return read.type;
}

/// Guards against reporting a request that may have run as not run.
static void
test_results_are_interpreted_conservatively(void)
{
    CU_ASSERT_EQUAL(result_type_of(HTTP_COMPLETE, "answered"),
                    ATTEMPT_ANSWERED);
    CU_ASSERT_EQUAL(result_type_of(HTTP_COMPLETE, "not-run"), ATTEMPT_REFUSED);
    CU_ASSERT_EQUAL(result_type_of(HTTP_COMPLETE, "unknown"), ATTEMPT_LOST);
    CU_ASSERT_EQUAL(result_type_of(HTTP_COMPLETE, "other"), ATTEMPT_LOST);
    CU_ASSERT_EQUAL(result_type_of(HTTP_COMPLETE, NULL), ATTEMPT_LOST);
    CU_ASSERT_EQUAL(result_type_of(HTTP_CONNECT_FAILED, NULL),
                    ATTEMPT_CONNECT_FAILED);
    CU_ASSERT_EQUAL(result_type_of(HTTP_LOST, "not-run"), ATTEMPT_LOST);
    CU_ASSERT_EQUAL(result_type_of(HTTP_TOO_LARGE, "not-run"), ATTEMPT_LOST);
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"end-to-end headers", test_only_end_to_end_headers_are_copied},
        {"stored response", test_stored_response_is_replayed_completely},
        {"numbers", test_numbers_are_bounded},
        {"spans", test_spans_keep_the_trace},
        {"results", test_results_are_interpreted_conservatively},
        CU_TEST_INFO_NULL,
    };
    return run_suite("message", tests);
}
