/// @file
/// Fuzz target of the HTTP readers. The first byte of the input is the size of
/// the pieces in which the rest arrives. Requests sent one behind the other,
/// and a response, must be read the same whole and in pieces, and a response
/// that is cut must never be complete unless the end of its connection ends
/// it. A complete response has a final status and well-formed headers.

#include <stdlib.h>

#include "ibisfield/io/request_reader.h"
#include "ibisfield/io/response_reader.h"

#define BODY_BYTES_MAX 256

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void
append_slice(GString *out, slice_t text)
{
    g_string_append_printf(out, "%zu:", text.len);
    g_string_append_len(out, text.data, (gssize)text.len);
}

/// Appends what the reader has completed, and returns whether it can go on.
static bool
describe_request(request_reader_t *reader, GString *out)
{
    request_message_t message;
    if (reader->state != REQUEST_COMPLETE) {
        g_string_append_printf(out, "state=%d", reader->state);
        return false;
    }
    if (!request_reader_take(reader, &message)) {
        g_string_append(out, "refused");
        return false;
    }
    if (message.body.len > BODY_BYTES_MAX ||
        message.header_count > REQUEST_HEADERS_MAX)
    {
        abort();
    }
    append_slice(out, message.method);
    append_slice(out, message.path);
    append_slice(out, message.host);
    append_slice(out, message.body);
    for (size_t i = 0; i < message.header_count; i++) {
        append_slice(out, message.headers[i].name);
        append_slice(out, message.headers[i].value);
    }
    g_string_append_c(out, message.keep_alive ? 'k' : 'c');
    request_message_finish(&message);
    return true;
}

/// Reads all requests of @p text, which arrives in pieces.
static GString *
read_requests(slice_t text, size_t piece)
{
    GString *out = g_string_new(NULL);
    request_reader_t reader;
    request_reader_init(&reader, BODY_BYTES_MAX);
    size_t arrived = 0;
    size_t used = 0;
    while (used < text.len) {
        if (used == arrived) {
            arrived = MIN(arrived + piece, text.len);
        }
        used += request_reader_feed(
            &reader, (slice_t){text.data + used, arrived - used});
        if (used > arrived) {
            abort();
        }
        if (reader.state != REQUEST_PARTIAL && !describe_request(&reader, out))
        {
            break;
        }
    }
    g_string_append_printf(out, "partial=%d", reader.started);
    request_reader_finish(&reader);
    return out;
}

static void
check_complete_response(const response_reader_t *reader)
{
    unsigned int status = reader->parser.status_code;
    if (status < 200 || status > 599) {
        abort();
    }
    for (size_t i = 0; i < response_reader_header_count(reader); i++) {
        slice_t name = reader->headers[i].name;
        slice_t value = reader->headers[i].value;
        for (size_t j = 0; j < name.len; j++) {
            if (!g_ascii_isgraph(name.data[j]) || name.data[j] == ':') {
                abort();
            }
        }
        for (size_t j = 0; j < value.len; j++) {
            if (g_ascii_iscntrl(value.data[j]) && value.data[j] != '\t') {
                abort();
            }
        }
    }
}

static GString *
read_response(slice_t text, size_t piece)
{
    GString *out = g_string_new(NULL);
    response_reader_t reader;
    response_reader_init(&reader, BODY_BYTES_MAX, true);
    response_reader_start(&reader, false);
    size_t used = 0;
    while (used < text.len && reader.state == RESPONSE_PARTIAL) {
        size_t end = MIN(used + piece, text.len);
        used += response_reader_feed(&reader,
                                     (slice_t){text.data + used, end - used});
    }
    bool was_partial = reader.state == RESPONSE_PARTIAL;
    bool may_end = reader.close_delimited;
    response_reader_eof(&reader, true);
    if (was_partial && reader.state == RESPONSE_COMPLETE && !may_end) {
        abort();
    }
    g_string_append_printf(out, "state=%d", reader.state);
    if (reader.state == RESPONSE_COMPLETE) {
        check_complete_response(&reader);
        g_string_append_printf(out, "status=%u",
                               (unsigned int)reader.parser.status_code);
        append_slice(
            out, (slice_t){(const char *)reader.body->data, reader.body->len});
    }
    response_reader_finish(&reader);
    return out;
}

static void
check_equal(GString *whole, GString *pieces)
{
    if (!g_string_equal(whole, pieces)) {
        abort();
    }
    g_string_free(whole, TRUE);
    g_string_free(pieces, TRUE);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    if (size < 2) {
        return 0;
    }
    size_t piece = 1 + data[0] % 16;
    slice_t text = {(const char *)data + 1, size - 1};
    check_equal(read_requests(text, text.len), read_requests(text, piece));
    check_equal(read_response(text, text.len), read_response(text, piece));
    return 0;
}
