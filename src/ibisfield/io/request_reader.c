/// @file
/// Incremental reader of HTTP/1.1 requests, on top of http_parser. It does no
/// I/O. It stops at the end of each request, so that what was sent behind it
/// stays unread until the server wants it. Lines are checked before
/// http_parser gets them.

#include "ibisfield/io/request_reader.h"

/// Position of one header in the text.
typedef struct {
    size_t name;
    size_t name_len;
    size_t value;
    size_t value_len;
} header_offsets_t;

/// Returns the bytes that an array takes: it grows by powers of two.
static size_t
byte_array_size(const GByteArray *array)
{
    size_t size = 16;
    while (array != NULL && size < array->len) {
        size *= 2;
    }
    return size;
}

static request_reader_t *
reader_of(http_parser *parser)
{
    return parser->data;
}

static header_offsets_t *
last_header(const request_reader_t *reader)
{
    return &g_array_index(reader->offsets, header_offsets_t,
                          reader->offsets->len - 1);
}

static int
on_message_begin(http_parser *parser)
{
    reader_of(parser)->started = true;
    return 0;
}

static int
on_url(http_parser *parser, const char *at, size_t len)
{
    request_reader_t *reader = reader_of(parser);
    g_string_append_len(reader->text, at, (gssize)len);
    reader->target_len += len;
    return 0;
}

static int
on_header_field(http_parser *parser, const char *at, size_t len)
{
    request_reader_t *reader = reader_of(parser);
    if (reader->head_complete) { // A trailer, which nothing uses.
        return 0;
    }
    if (reader->offsets->len == 0 || reader->in_header_value) {
        if (reader->offsets->len == REQUEST_HEADERS_MAX) {
            return -1;
        }
        header_offsets_t header = {.name = reader->text->len};
        g_array_append_val(reader->offsets, header);
        reader->in_header_value = false;
    }
    for (size_t i = 0; i < len; i++) {
        g_string_append_c(reader->text, g_ascii_tolower(at[i]));
    }
    last_header(reader)->name_len += len;
    return 0;
}

static int
on_header_value(http_parser *parser, const char *at, size_t len)
{
    request_reader_t *reader = reader_of(parser);
    if (reader->head_complete) {
        return 0;
    }
    if (!reader->in_header_value) {
        last_header(reader)->value = reader->text->len;
        reader->in_header_value = true;
    }
    g_string_append_len(reader->text, at, (gssize)len);
    last_header(reader)->value_len += len;
    return 0;
}

static http_header_t
header_at(const request_reader_t *reader, guint index)
{
    const header_offsets_t *offsets =
        &g_array_index(reader->offsets, header_offsets_t, index);
    const char *text = reader->text->str;
    size_t len = offsets->value_len;
    while (len > 0 && (text[offsets->value + len - 1] == ' ' ||
                       text[offsets->value + len - 1] == '\t'))
    {
        len--;
    }
    return (http_header_t){{text + offsets->name, offsets->name_len},
                           {text + offsets->value, len}};
}

static int
on_headers_complete(http_parser *parser)
{
    request_reader_t *reader = reader_of(parser);
    reader->head_complete = true;
    // The server offers no other protocol: a request that asks for one is
    // served as HTTP/1.1, and what follows it is another request.
    parser->upgrade = 0;
    if (parser->method == HTTP_CONNECT || parser->http_major != 1) {
        return -1;
    }
    bool has_length = parser->content_length != UINT64_MAX;
    if (has_length && parser->content_length > reader->max_body_bytes) {
        reader->state = REQUEST_TOO_LARGE;
        return -1;
    }
    http_scan_begin_body(&reader->scan, (parser->flags & F_CHUNKED) != 0);
    bool has_body = (parser->flags & F_CHUNKED) != 0 ||
                    (has_length && parser->content_length > 0);
    for (guint i = 0; has_body && i < reader->offsets->len; i++) {
        http_header_t header = header_at(reader, i);
        reader->expects_continue |=
            slice_equal_string(header.name, "expect") &&
            header.value.len == strlen("100-continue") &&
            g_ascii_strncasecmp(header.value.data, "100-continue",
                                header.value.len) == 0;
    }
    return 0;
}

static int
on_body(http_parser *parser, const char *at, size_t len)
{
    request_reader_t *reader = reader_of(parser);
    reader->expects_continue = false;
    if (reader->body->len + len > reader->max_body_bytes) {
        reader->state = REQUEST_TOO_LARGE;
        return -1;
    }
    g_byte_array_append(reader->body, (const guint8 *)at, (guint)len);
    return 0;
}

static int
on_message_complete(http_parser *parser)
{
    request_reader_t *reader = reader_of(parser);
    reader->state = REQUEST_COMPLETE;
    reader->expects_continue = false;
    http_parser_pause(parser, 1);
    return 0;
}

static void
start(request_reader_t *reader)
{
    http_parser_init(&reader->parser, HTTP_REQUEST);
    reader->parser.data = reader;
    http_scan_start(&reader->scan, HTTP_LINE_REQUEST);
    reader->state = REQUEST_PARTIAL;
    reader->head_complete = false;
    reader->in_header_value = false;
    reader->expects_continue = false;
    reader->started = false;
    reader->target_len = 0;
    reader->text = g_string_sized_new(512);
    g_array_set_size(reader->offsets, 0);
    reader->body = g_byte_array_new();
}

/// Initialises a reader for the requests of one connection.
void
request_reader_init(request_reader_t *reader, size_t max_body_bytes)
{
    *reader = (request_reader_t){
        .max_body_bytes = max_body_bytes,
        .offsets =
            g_array_sized_new(FALSE, FALSE, sizeof(header_offsets_t), 16),
    };
    start(reader);
}

void
request_reader_finish(request_reader_t *reader)
{
    g_string_free(reader->text, TRUE);
    g_array_free(reader->offsets, TRUE);
    g_byte_array_unref(reader->body);
}

/// Passes bytes that have been checked to http_parser.
static size_t
parse(request_reader_t *reader, slice_t bytes)
{
    static const http_parser_settings settings = {
        .on_message_begin = on_message_begin,
        .on_url = on_url,
        .on_header_field = on_header_field,
        .on_header_value = on_header_value,
        .on_headers_complete = on_headers_complete,
        .on_body = on_body,
        .on_message_complete = on_message_complete,
    };
    size_t used =
        http_parser_execute(&reader->parser, &settings, bytes.data, bytes.len);
    if (reader->state == REQUEST_PARTIAL &&
        HTTP_PARSER_ERRNO(&reader->parser) != HPE_OK)
    {
        reader->state = REQUEST_MALFORMED;
    }
    return used;
}

/// Parses @p bytes up to the end of a request and updates the state. Returns
/// the number of bytes that belong to the request.
size_t
request_reader_feed(request_reader_t *reader, slice_t bytes)
{
    size_t used = 0;
    while (reader->state == REQUEST_PARTIAL && used < bytes.len) {
        slice_t checked;
        bool valid = http_scan_next(
            &reader->scan, (slice_t){bytes.data + used, bytes.len - used},
            &checked);
        // The headers before a malformed line tell how to refuse the request.
        used += checked.len > 0 ? parse(reader, checked) : 0;
        if (!valid && reader->state == REQUEST_PARTIAL) {
            reader->state = REQUEST_MALFORMED;
        }
    }
    // Also if http_parser refused the first byte, or didn't get it.
    reader->started |= reader->state == REQUEST_MALFORMED;
    return used;
}

/// Returns whether a header with this name (lower case) was read, also in a
/// request that is incomplete or malformed.
bool
request_reader_has_header(const request_reader_t *reader, const char *name)
{
    for (guint i = 0; i < reader->offsets->len; i++) {
        if (slice_equal_string(header_at(reader, i).name, name)) {
            return true;
        }
    }
    return false;
}

static bool
is_connection_header(slice_t name)
{
    static const char *const names[] = {
        "host", "content-length", "transfer-encoding", "expect", "upgrade"};
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        if (slice_equal_string(name, names[i])) {
            return true;
        }
    }
    return false;
}

/// Splits the target into path and host; a target in absolute form has both.
/// Returns false if it is neither a path nor "*".
static bool
set_target(request_message_t *message, slice_t target)
{
    message->path = target;
    if (target.len > 0 && (target.data[0] == '/' || target.data[0] == '*')) {
        return true;
    }
    struct http_parser_url url;
    http_parser_url_init(&url);
    if (http_parser_parse_url(target.data, target.len, 0, &url) != 0 ||
        (url.field_set & (1 << UF_HOST)) == 0)
    {
        return false;
    }
    size_t path = target.len;
    if ((url.field_set & (1 << UF_PATH)) != 0) {
        path = url.field_data[UF_PATH].off;
    }
    size_t host = url.field_data[UF_HOST].off;
    message->host = (slice_t){target.data + host, path - host};
    message->path = path < target.len
                        ? (slice_t){target.data + path, target.len - path}
                        : SLICE_LITERAL("/");
    return true;
}

/// Moves a complete request to @p message and starts the next one. Returns
/// false, and leaves @p message empty, if the request can't be served: it has
/// no valid target, or more than one host.
bool
request_reader_take(request_reader_t *reader, request_message_t *message)
{
    *message = (request_message_t){
        .method = slice_from_string(
            http_method_str((enum http_method)reader->parser.method)),
        .host = SLICE_LITERAL(""),
        .headers = g_new(http_header_t, reader->offsets->len + 1),
        .keep_alive = http_should_keep_alive(&reader->parser) != 0,
        .http_1_0 =
            reader->parser.http_major == 1 && reader->parser.http_minor == 0,
        .text = reader->text,
        .body_bytes = reader->body,
        .body = {(const char *)reader->body->data, reader->body->len},
    };
    bool valid =
        set_target(message, (slice_t){reader->text->str, reader->target_len});
    bool has_absolute_target = message->host.len > 0;
    uint32_t hosts = 0;
    for (guint i = 0; i < reader->offsets->len; i++) {
        http_header_t header = header_at(reader, i);
        if (slice_equal_string(header.name, "host")) {
            hosts++;
            message->host = has_absolute_target ? message->host : header.value;
        }
        if (!is_connection_header(header.name)) {
            message->headers[message->header_count++] = header;
        }
    }
    start(reader);
    if (!valid || hosts > 1) {
        request_message_finish(message);
        return false;
    }
    return true;
}

/// Releases the body of a request that is no longer needed.
void
request_message_drop_body(request_message_t *message)
{
    g_clear_pointer(&message->body_bytes, g_byte_array_unref);
    message->body = (slice_t){NULL, 0};
}

/// Returns the bytes of memory that the request takes so far.
size_t
request_reader_held_bytes(const request_reader_t *reader)
{
    return reader->text->allocated_len + byte_array_size(reader->body) +
           reader->offsets->len * sizeof(header_offsets_t);
}

/// Returns the bytes of memory that a request takes.
size_t
request_message_held_bytes(const request_message_t *message)
{
    return message->text == NULL
               ? 0
               : message->text->allocated_len +
                     message->header_count * sizeof(http_header_t) +
                     byte_array_size(message->body_bytes);
}

/// Releases the memory of a request, and empties it.
void
request_message_finish(request_message_t *message)
{
    g_free(message->headers);
    g_string_free(message->text, TRUE);
    request_message_drop_body(message);
    *message = (request_message_t){0};
}
