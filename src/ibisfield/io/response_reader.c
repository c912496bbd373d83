/// @file
/// Incremental reader of HTTP/1.1 responses, on top of http_parser. It does no
/// I/O: the client feeds it bytes and reports the end of the connection. Lines
/// are checked before http_parser gets them.

#include "ibisfield/io/response_reader.h"

#include <string.h>

/// A body buffer above this size is freed after its response.
#define BODY_KEEP_BYTES 65536
/// The same for the text of headers.
#define HEADER_TEXT_KEEP_BYTES 8192
/// A server that sends more headers, trailers included, is faulty. http_parser
/// limits the bytes of the headers, but one that has four bytes there takes
/// many more here.
#define HEADERS_MAX 256
/// A server that sends more interim responses (1xx) is faulty.
#define INTERIM_RESPONSES_MAX 16

/// Position of one header in header_text.
typedef struct {
    size_t name;
    size_t name_len;
    size_t value;
    size_t value_len;
} header_offsets_t;

static response_reader_t *
reader_of(http_parser *parser)
{
    return parser->data;
}

/// Marks the response as invalid unless it is already, and stops the parser.
static int
reject(response_reader_t *reader, const char *error)
{
    if (reader->state == RESPONSE_PARTIAL) {
        reader->state = RESPONSE_INVALID;
        reader->error = error;
    }
    return -1;
}

static header_offsets_t *
last_header(const response_reader_t *reader)
{
    return &g_array_index(reader->header_offsets, header_offsets_t,
                          reader->header_offsets->len - 1);
}

/// Appends a header name, or a further piece of it: http_parser may pass names
/// and values in several pieces.
static int
on_header_field(http_parser *parser, const char *at, size_t len)
{
    response_reader_t *reader = reader_of(parser);
    bool begins = reader->header_offsets->len == 0 || reader->in_header_value;
    if (begins &&
        reader->header_offsets->len + reader->trailer_count >= HEADERS_MAX)
    {
        return reject(reader, "too many fields");
    }
    if (reader->head_complete) {
        // A trailer must not be taken for a field of the head.
        reader->trailer_count += begins ? 1 : 0;
        reader->in_header_value = false;
        return 0;
    }
    if (begins) {
        header_offsets_t header = {.name = reader->header_text->len};
        g_array_append_val(reader->header_offsets, header);
        reader->in_header_value = false;
    }
    for (size_t i = 0; i < len; i++) {
        g_string_append_c(reader->header_text, g_ascii_tolower(at[i]));
    }
    last_header(reader)->name_len += len;
    return 0;
}

static int
on_header_value(http_parser *parser, const char *at, size_t len)
{
    response_reader_t *reader = reader_of(parser);
    if (reader->head_complete) {
        reader->in_header_value = true;
        return 0;
    }
    if (!reader->in_header_value) {
        last_header(reader)->value = reader->header_text->len;
        reader->in_header_value = true;
    }
    g_string_append_len(reader->header_text, at, (gssize)len);
    last_header(reader)->value_len += len;
    return 0;
}

static bool
has_no_body(const response_reader_t *reader)
{
    int status = reader->parser.status_code;
    return reader->is_head || status / 100 == 1 || status == 204 ||
           status == 304;
}

static slice_t
header_name(const response_reader_t *reader, const header_offsets_t *header)
{
    return (slice_t){reader->header_text->str + header->name,
                     header->name_len};
}

/// Returns the value of a header without blanks behind it.
static slice_t
trimmed_value(const response_reader_t *reader, const header_offsets_t *header)
{
    slice_t value = {reader->header_text->str + header->value,
                     header->value_len};
    while (value.len > 0 && g_ascii_isspace(value.data[value.len - 1])) {
        value.len--;
    }
    return value;
}

static bool
equals_ignoring_case(slice_t value, const char *text)
{
    return value.len == strlen(text) &&
           g_ascii_strncasecmp(value.data, text, value.len) == 0;
}

/// Checks the headers that delimit the body. http_parser refuses a length that
/// isn't a number, more than one, and one beside a transfer coding, but
/// ignores codings other than chunks, which can't be removed here. Returns
/// what is wrong, NULL if nothing is.
static const char *
framing_error(const response_reader_t *reader)
{
    const http_parser *parser = &reader->parser;
    bool is_chunked = (parser->flags & F_CHUNKED) != 0;
    bool has_content = is_chunked || (parser->content_length != UINT64_MAX &&
                                      parser->content_length > 0);
    uint32_t codings = 0;
    for (guint i = 0; i < reader->header_offsets->len; i++) {
        const header_offsets_t *header =
            &g_array_index(reader->header_offsets, header_offsets_t, i);
        if (slice_equal_string(header_name(reader, header),
                               "transfer-encoding") &&
            (++codings > 1 || !is_chunked || parser->http_minor == 0 ||
             !equals_ignoring_case(trimmed_value(reader, header), "chunked")))
        {
            return "transfer coding not supported";
        }
    }
    if (has_content &&
        (parser->status_code / 100 == 1 || parser->status_code == 204))
    {
        return "body in a response that can't have one";
    }
    if (parser->status_code == 101) {
        return "change of protocol that wasn't asked for";
    }
    return NULL;
}

static int
on_headers_complete(http_parser *parser)
{
    response_reader_t *reader = reader_of(parser);
    bool has_length = parser->content_length != UINT64_MAX;
    bool is_chunked = (parser->flags & F_CHUNKED) != 0;
    const char *error = framing_error(reader);
    if (error != NULL) {
        return reject(reader, error);
    }
    if (has_length && parser->content_length > reader->max_body_bytes &&
        !has_no_body(reader))
    {
        reader->state = RESPONSE_TOO_LARGE;
        return -1;
    }
    reader->head_complete = true;
    reader->close_delimited =
        !has_no_body(reader) && !has_length && !is_chunked;
    if (reader->close_delimited && !reader->allow_close_delimited) {
        // A response that ends with its connection can't be distinguished from
        // a truncated one, unless the peer is known to close properly.
        return reject(reader, "no length");
    }
    http_scan_begin_body(&reader->scan, is_chunked);
    return has_no_body(reader) ? 1 : 0; // 1: http_parser expects no body
}

static int
on_body(http_parser *parser, const char *at, size_t len)
{
    response_reader_t *reader = reader_of(parser);
    if (reader->body->len + len > reader->max_body_bytes) {
        reader->state = RESPONSE_TOO_LARGE;
        return -1;
    }
    g_byte_array_append(reader->body, (const guint8 *)at, (guint)len);
    return 0;
}

static void
reset(response_reader_t *reader)
{
    if (reader->header_text->allocated_len > HEADER_TEXT_KEEP_BYTES) {
        g_string_free(reader->header_text, TRUE);
        reader->header_text = g_string_sized_new(256);
    }
    g_string_truncate(reader->header_text, 0);
    g_array_set_size(reader->header_offsets, 0);
    if (reader->body->len > BODY_KEEP_BYTES) {
        g_byte_array_unref(reader->body);
        reader->body = g_byte_array_new();
    }
    g_byte_array_set_size(reader->body, 0);
    reader->in_header_value = false;
    reader->close_delimited = false;
    reader->head_complete = false;
    reader->trailer_count = 0;
    http_scan_start(&reader->scan, HTTP_LINE_STATUS);
}

static void
set_headers(response_reader_t *reader)
{
    const char *text = reader->header_text->str;
    reader->headers = g_renew(http_header_t, reader->headers,
                              reader->header_offsets->len + 1);
    for (guint i = 0; i < reader->header_offsets->len; i++) {
        const header_offsets_t *header =
            &g_array_index(reader->header_offsets, header_offsets_t, i);
        reader->headers[i] =
            (http_header_t){{text + header->name, header->name_len},
                            {text + header->value, header->value_len}};
    }
}

static int
on_message_complete(http_parser *parser)
{
    response_reader_t *reader = reader_of(parser);
    if (parser->status_code / 100 == 1) {
        // An interim response; the final one follows on the connection.
        reset(reader);
        return ++reader->interim_count > INTERIM_RESPONSES_MAX
                   ? reject(reader, "too many interim responses")
                   : 0;
    }
    reader->state = RESPONSE_COMPLETE;
    reader->keep_alive = http_should_keep_alive(parser) != 0;
    set_headers(reader);
    // Stops the parser, so that bytes after the response are not parsed.
    http_parser_pause(parser, 1);
    return 0;
}

/// Initialises a reader. Call response_reader_start() before each response.
void
response_reader_init(response_reader_t *reader, size_t max_body_bytes,
                     bool allow_close_delimited)
{
    *reader = (response_reader_t){
        .max_body_bytes = max_body_bytes,
        .allow_close_delimited = allow_close_delimited,
        .header_text = g_string_sized_new(256),
        .header_offsets =
            g_array_sized_new(FALSE, FALSE, sizeof(header_offsets_t), 16),
        .body = g_byte_array_new(),
    };
}

void
response_reader_finish(response_reader_t *reader)
{
    g_string_free(reader->header_text, TRUE);
    g_array_free(reader->header_offsets, TRUE);
    g_byte_array_unref(reader->body);
    g_free(reader->headers);
}

/// Discards the previous response. The next bytes begin a new one.
void
response_reader_start(response_reader_t *reader, bool is_head)
{
    http_parser_init(&reader->parser, HTTP_RESPONSE);
    reader->parser.data = reader;
    reader->is_head = is_head;
    reader->interim_count = 0;
    reader->state = RESPONSE_PARTIAL;
    reader->error = NULL;
    reader->started = false;
    reset(reader);
}

/// Passes bytes that have been checked to http_parser.
static size_t
parse(response_reader_t *reader, slice_t bytes)
{
    static const http_parser_settings settings = {
        .on_header_field = on_header_field,
        .on_header_value = on_header_value,
        .on_headers_complete = on_headers_complete,
        .on_body = on_body,
        .on_message_complete = on_message_complete,
    };
    size_t used =
        http_parser_execute(&reader->parser, &settings, bytes.data, bytes.len);
    enum http_errno error = HTTP_PARSER_ERRNO(&reader->parser);
    if (error != HPE_OK && error != HPE_PAUSED) {
        reject(reader, http_errno_description(error));
    }
    return used;
}

/// Parses @p bytes and updates the state. Returns the number of bytes that
/// belong to the response; any further bytes follow it on the connection.
size_t
response_reader_feed(response_reader_t *reader, slice_t bytes)
{
    size_t used = 0;
    while (reader->state == RESPONSE_PARTIAL && used < bytes.len) {
        slice_t checked;
        reader->started = true;
        bool valid = http_scan_next(
            &reader->scan, (slice_t){bytes.data + used, bytes.len - used},
            &checked);
        used += checked.len > 0 ? parse(reader, checked) : 0;
        if (!valid) {
            reject(reader, http_scan_error(&reader->scan));
        }
    }
    return used;
}

/// Reports the end of the connection. @p orderly is false if it was reset, or
/// may have been, which truncates a response without a length.
void
response_reader_eof(response_reader_t *reader, bool orderly)
{
    if (reader->state != RESPONSE_PARTIAL) {
        return;
    }
    if (orderly && reader->close_delimited) {
        reader->state = RESPONSE_COMPLETE;
        reader->keep_alive = false;
        set_headers(reader);
        return;
    }
    reject(reader, orderly ? "connection closed within the response"
                           : "connection reset within the response");
}

/// Marks a response as invalid, also a complete one; @p error is static.
void
response_reader_reject(response_reader_t *reader, const char *error)
{
    reader->state = RESPONSE_INVALID;
    reader->error = error;
}

/// Returns the bytes of memory that the response takes so far.
size_t
response_reader_held_bytes(const response_reader_t *reader)
{
    return reader->body->len + reader->header_text->len +
           reader->header_offsets->len * sizeof(header_offsets_t);
}

size_t
response_reader_header_count(const response_reader_t *reader)
{
    return reader->header_offsets->len;
}
