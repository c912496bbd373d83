/// @file
/// Headers between nodes, refusals, and the serialised form of responses.

#include "ibisfield/io/message.h"

#include <inttypes.h>
#include <json-c/json.h>
#include <xxhash.h>

/// Headers that apply to one connection only, and those that the HTTP client
/// and server write themselves.
static const char *const hop_by_hop_headers[] = {
    "connection",
    "content-length",
    "date",
    "expect",
    "keep-alive",
    "proxy-authenticate",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
};

/// Initialises a message without headers and with an empty body.
void
message_init(message_t *message, int status)
{
    *message = (message_t){
        .status = status,
        .texts = g_string_chunk_new(1024),
        .body = g_string_new(NULL),
    };
}

void
message_finish(message_t *message)
{
    g_free(message->headers);
    g_string_chunk_free(message->texts);
    g_string_free(message->body, TRUE);
}

slice_t
message_body(const message_t *message)
{
    return (slice_t){message->body->str, message->body->len};
}

static void
add_header(message_t *message, slice_t name, slice_t value)
{
    if (message->header_count == message->header_capacity) {
        message->header_capacity = message->header_capacity * 2 + 16;
        message->headers =
            g_renew(http_header_t, message->headers, message->header_capacity);
    }
    http_header_t *header = &message->headers[message->header_count++];
    header->name = (slice_t){
        g_string_chunk_insert_len(message->texts, name.data, (gssize)name.len),
        name.len};
    header->value =
        (slice_t){g_string_chunk_insert_len(
                      message->texts, value.data == NULL ? "" : value.data,
                      (gssize)value.len),
                  value.len};
}

/// Adds a header; @p name is lower case.
void
message_add(message_t *message, const char *name, slice_t value)
{
    add_header(message, slice_from_string(name), value);
}

void
message_add_string(message_t *message, const char *name, const char *value)
{
    message_add(message, name, slice_from_string(value));
}

void
message_add_number(message_t *message, const char *name, int64_t value)
{
    char text[24];
    g_snprintf(text, sizeof(text), "%" PRId64, value);
    message_add_string(message, name, text);
}

/// Returns whether a comma-separated header value contains @p name. Letter
/// case is ignored.
static bool
list_contains(slice_t list, slice_t name)
{
    size_t start = 0;
    while (start < list.len) {
        const char *comma = memchr(list.data + start, ',', list.len - start);
        size_t end = comma == NULL ? list.len : (size_t)(comma - list.data);
        size_t first = start;
        size_t last = end;
        while (first < last && list.data[first] == ' ') {
            first++;
        }
        while (last > first && list.data[last - 1] == ' ') {
            last--;
        }
        if (last - first == name.len &&
            g_ascii_strncasecmp(list.data + first, name.data, name.len) == 0)
        {
            return true;
        }
        start = end + 1;
    }
    return false;
}

static bool
is_end_to_end(slice_t name, slice_t connection_options)
{
    if (slice_starts_with(name, SLICE_LITERAL(HEADER_PREFIX)) ||
        slice_equal_string(name, HEADER_TRACEPARENT))
    {
        return false;
    }
    for (size_t i = 0; i < G_N_ELEMENTS(hop_by_hop_headers); i++) {
        if (slice_equal_string(name, hop_by_hop_headers[i])) {
            return false;
        }
    }
    return !list_contains(connection_options, name);
}

/// Copies the end-to-end headers, which are meant for the caller or the
/// upstream. The ibisfield- headers and traceparent are left out; the sender
/// adds its own.
void
message_add_end_to_end(message_t *message, const http_header_t *headers,
                       size_t header_count)
{
    message_add_end_to_end_except(message, headers, header_count, NULL, 0);
}

/// Copies the end-to-end headers except those named in @p excluded (lower
/// case), which the sender replaces by its own.
void
message_add_end_to_end_except(message_t *message, const http_header_t *headers,
                              size_t header_count, const char *const *excluded,
                              size_t excluded_count)
{
    slice_t connection_options =
        http_header_find(headers, header_count, "connection");
    for (size_t i = 0; i < header_count; i++) {
        bool wanted = is_end_to_end(headers[i].name, connection_options);
        for (size_t j = 0; wanted && j < excluded_count; j++) {
            wanted = !slice_equal_string(headers[i].name, excluded[j]);
        }
        if (wanted) {
            add_header(message, headers[i].name, headers[i].value);
        }
    }
}

static void
write_refusal_body(GString *body, const refusal_t *refusal)
{
    struct json_object *object = json_object_new_object();
    json_object_object_add(
        object, "reason",
        json_object_new_string(reason_token(refusal->reason)));
    json_object_object_add(
        object, "outcome",
        json_object_new_string(outcome_token(refusal->outcome)));
    if (refusal->retry_after_ms > 0) {
        json_object_object_add(object, "retry_after_ms",
                               json_object_new_int(refusal->retry_after_ms));
    }
    if (refusal->new_key != NULL && refusal->new_key[0] != '\0') {
        json_object_object_add(object, "key",
                               json_object_new_string(refusal->new_key));
    }
    g_string_append(
        body, json_object_to_json_string_ext(object, JSON_C_TO_STRING_PLAIN));
    g_string_append_c(body, '\n');
    json_object_put(object);
}

/// Adds Retry-After. The standard allows whole seconds only; they are rounded
/// up, so that a caller doesn't retry earlier than the refusal says.
static void
add_retry_after(message_t *message, const refusal_t *refusal)
{
    char text[32];
    if (refusal->fractional_retry_after) {
        g_snprintf(text, sizeof(text), "%d.%03d",
                   refusal->retry_after_ms / 1000,
                   refusal->retry_after_ms % 1000);
    }
    else {
        g_snprintf(text, sizeof(text), "%d",
                   (refusal->retry_after_ms + 999) / 1000);
    }
    message_add_string(message, "retry-after", text);
}

/// Initialises a response that refuses a request, with headers and JSON body.
void
message_init_refusal(message_t *message, const refusal_t *refusal)
{
    message_init(message, reason_status(refusal->reason));
    message_add_string(message, "content-type", "application/json");
    message_add_string(message, HEADER_REASON, reason_token(refusal->reason));
    message_add_string(message, HEADER_OUTCOME,
                       outcome_token(refusal->outcome));
    if (refusal->retry_after_ms > 0) {
        add_retry_after(message, refusal);
        message_add_number(message, HEADER_RETRY_AFTER_MS,
                           refusal->retry_after_ms);
    }
    if (refusal->new_key != NULL && refusal->new_key[0] != '\0') {
        message_add_string(message, HEADER_KEY, refusal->new_key);
    }
    write_refusal_body(message->body, refusal);
}

static void
append_u32(GByteArray *out, uint32_t value)
{
    g_byte_array_append(out, (const guint8 *)&value, sizeof(value));
}

static void
append_text(GByteArray *out, slice_t text)
{
    append_u32(out, (uint32_t)text.len);
    if (text.len > 0) {
        g_byte_array_append(out, (const guint8 *)text.data, (guint)text.len);
    }
}

/// Appends a response in the form that is stored for a key: status, number of
/// headers, their names and values, body. Numbers have the byte order of the
/// host, because the form never leaves the process.
void
response_serialise(GByteArray *out, const http_response_t *response)
{
    append_u32(out, (uint32_t)response->status);
    append_u32(out, (uint32_t)response->header_count);
    for (size_t i = 0; i < response->header_count; i++) {
        append_text(out, response->headers[i].name);
        append_text(out, response->headers[i].value);
    }
    append_text(out, response->body);
}

static bool
read_u32(slice_t *rest, uint32_t *value)
{
    if (rest->len < sizeof(*value)) {
        return false;
    }
    memcpy(value, rest->data, sizeof(*value));
    rest->data += sizeof(*value);
    rest->len -= sizeof(*value);
    return true;
}

static bool
read_text(slice_t *rest, slice_t *text)
{
    uint32_t len;
    if (!read_u32(rest, &len) || rest->len < len) {
        return false;
    }
    *text = (slice_t){rest->data, len};
    rest->data += len;
    rest->len -= len;
    return true;
}

/// Initialises @p message with the status, end-to-end headers and body of a
/// stored response; its other headers, which are stored too, are left out.
/// Returns false if @p stored is invalid; @p message must be finished even
/// then.
bool
response_deserialise(message_t *message, slice_t stored)
{
    uint32_t status = 0;
    uint32_t count = 0;
    message_init(message, 0);
    if (!read_u32(&stored, &status) || !read_u32(&stored, &count)) {
        return false;
    }
    message->status = (int)status;
    for (uint32_t i = 0; i < count; i++) {
        http_header_t header;
        if (!read_text(&stored, &header.name) ||
            !read_text(&stored, &header.value)) {
            return false;
        }
        message_add_end_to_end(message, &header, 1);
    }
    slice_t body;
    if (!read_text(&stored, &body)) {
        return false;
    }
    g_string_append_len(message->body, body.data, (gssize)body.len);
    return true;
}

/// Returns a hash that identifies a request id among the requests that run at
/// one upstream, or an instance by its name; never 0.
uint64_t
id_hash(slice_t id)
{
    return MAX(XXH3_64bits(id.data, id.len), 1);
}

/// Parses a decimal number from 0 to @p max. Returns false if @p text isn't
/// one.
bool
parse_number(slice_t text, int64_t max, int64_t *value)
{
    int64_t number = 0;
    for (size_t i = 0; i < text.len; i++) {
        int digit = g_ascii_digit_value(text.data[i]);
        if (digit < 0 || number > (max - digit) / 10) {
            return false;
        }
        number = number * 10 + digit;
    }
    *value = number;
    return text.len > 0;
}

/// Parses a hexadecimal number of 1 to 16 digits. Returns false if @p text
/// isn't one.
bool
parse_hex(slice_t text, uint64_t *value)
{
    uint64_t number = 0;
    for (size_t i = 0; i < text.len; i++) {
        int digit = g_ascii_xdigit_value(text.data[i]);
        if (digit < 0) {
            return false;
        }
        number = number << 4 | (uint64_t)digit;
    }
    *value = number;
    return text.len > 0 && text.len <= 16;
}
