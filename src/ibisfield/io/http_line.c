/// @file
/// Syntax of the lines of HTTP/1.1 messages (RFC 9112). http_parser, as Debian
/// builds it, takes blanks in field names, any byte in the place of a line
/// feed or of the end of a chunk, and status codes of any number of digits.
/// The readers therefore check each line before http_parser gets it.
///
/// Accepted are forms that the standard lets recipients accept: a line feed
/// without a carriage return (but not in the framing of chunks), several
/// spaces after the version, a status line that ends behind the code, folded
/// field values, and blanks behind the size of a chunk. Of a request line,
/// only the bytes are checked.

#include "ibisfield/io/http_line.h"

#include <glib.h>
#include <limits.h>

#define STATUS_DIGITS 3
#define STATUS_MIN 100
#define STATUS_MAX 599

enum {
    STATE_START,
    STATE_CR,          ///< a carriage return was read
    STATE_EMPTY_CR,    ///< the same in an empty line before the start line
    STATE_VERSION,     ///< in "HTTP/1."
    STATE_MINOR,       ///< minor version
    STATE_VERSION_END, ///< blank after the version
    STATE_CODE,
    STATE_NAME,
    STATE_SIZE,
    STATE_SIZE_END, ///< blanks behind the size of a chunk
    STATE_TEXT,     ///< reason phrase, field value or chunk extension
};

static const char version[] = "HTTP/1.";

static bool
is_blank(char c)
{
    return c == ' ' || c == '\t';
}

/// Returns whether @p c may occur in a field value: any byte but the control
/// characters, of which the tab is allowed.
static bool
is_text(char c)
{
    unsigned char byte = (unsigned char)c;
    return byte == '\t' || (byte >= ' ' && byte != 0x7f);
}

/// Bytes of field names ("tchar").
static const bool token_bytes[UCHAR_MAX + 1] = {
    ['!'] = true,         ['#' ... '\''] = true, ['*'] = true,
    ['+'] = true,         ['-'] = true,          ['.'] = true,
    ['0' ... '9'] = true, ['A' ... 'Z'] = true,  ['^' ... 'z'] = true,
    ['|'] = true,         ['~'] = true,
};

static bool
is_token(char c)
{
    return token_bytes[(unsigned char)c];
}

/// Lets the line go on in @p state.
static http_line_result_t
go_on(http_line_t *line, int state)
{
    line->state = state;
    return HTTP_LINE_PARTIAL;
}

/// Reads a byte of text, or of the end of the line.
static http_line_result_t
read_text(http_line_t *line, char c)
{
    bool needs_cr = line->kind == HTTP_LINE_CHUNK;
    if (c == '\r') {
        return go_on(line, STATE_CR);
    }
    if (c == '\n' && !needs_cr) {
        return HTTP_LINE_END;
    }
    return is_text(c) ? go_on(line, STATE_TEXT) : HTTP_LINE_INVALID;
}

static http_line_result_t
read_status_code(http_line_t *line, char c)
{
    if (line->matched < STATUS_DIGITS) {
        if (!g_ascii_isdigit(c)) {
            return HTTP_LINE_INVALID;
        }
        line->matched++;
        line->status = line->status * 10 + g_ascii_digit_value(c);
        return go_on(line, STATE_CODE);
    }
    if (line->status < STATUS_MIN || line->status > STATUS_MAX ||
        (c != ' ' && c != '\r' && c != '\n'))
    {
        return HTTP_LINE_INVALID;
    }
    return read_text(line, c);
}

static http_line_result_t
read_status_line(http_line_t *line, char c)
{
    switch (line->state) {
    case STATE_START:
    case STATE_VERSION:
        if (c != version[line->matched]) {
            return HTTP_LINE_INVALID;
        }
        line->matched++;
        return go_on(line, version[line->matched] == '\0' ? STATE_MINOR
                                                          : STATE_VERSION);
    case STATE_MINOR:
        line->matched = 0;
        return g_ascii_isdigit(c) ? go_on(line, STATE_VERSION_END)
                                  : HTTP_LINE_INVALID;
    case STATE_VERSION_END:
        if (c == ' ') {
            line->matched++;
            return HTTP_LINE_PARTIAL;
        }
        if (line->matched == 0) {
            return HTTP_LINE_INVALID;
        }
        line->matched = 0;
        // Fall through.
    case STATE_CODE:
        return read_status_code(line, c);
    default:
        return read_text(line, c);
    }
}

static http_line_result_t
read_request_line(http_line_t *line, char c)
{
    return c == '\t' ? HTTP_LINE_INVALID : read_text(line, c);
}

static http_line_result_t
read_field_line(http_line_t *line, char c)
{
    if (line->state == STATE_START) {
        if (c == '\r' || c == '\n') {
            line->is_empty = true;
            return read_text(line, c);
        }
        if (is_blank(c)) {
            return line->may_be_continued ? go_on(line, STATE_TEXT)
                                          : HTTP_LINE_INVALID;
        }
        return is_token(c) ? go_on(line, STATE_NAME) : HTTP_LINE_INVALID;
    }
    if (line->state == STATE_NAME) {
        if (c == ':') {
            return go_on(line, STATE_TEXT);
        }
        return is_token(c) ? HTTP_LINE_PARTIAL : HTTP_LINE_INVALID;
    }
    return read_text(line, c);
}

static http_line_result_t
read_chunk_line(http_line_t *line, char c)
{
    if (line->state == STATE_TEXT) {
        return read_text(line, c);
    }
    if (line->state != STATE_SIZE_END && g_ascii_isxdigit(c)) {
        if (line->chunk_size > UINT64_MAX >> 4) {
            return HTTP_LINE_INVALID;
        }
        line->chunk_size =
            line->chunk_size << 4 | (uint64_t)g_ascii_xdigit_value(c);
        return go_on(line, STATE_SIZE);
    }
    if (line->state == STATE_START) {
        return HTTP_LINE_INVALID;
    }
    if (is_blank(c)) {
        return go_on(line, STATE_SIZE_END);
    }
    return c == ';' || c == '\r' ? read_text(line, c) : HTTP_LINE_INVALID;
}

/// Reads the first byte of a start line, or of an empty line before it.
static http_line_result_t
read_start(http_line_t *line, char c)
{
    if (c == '\r') {
        return go_on(line, STATE_EMPTY_CR);
    }
    if (c == '\n') {
        return HTTP_LINE_PARTIAL;
    }
    return line->kind == HTTP_LINE_STATUS ? read_status_line(line, c)
                                          : read_request_line(line, c);
}

static http_line_result_t
read_byte(http_line_t *line, char c)
{
    if (line->state == STATE_CR) {
        return c == '\n' ? HTTP_LINE_END : HTTP_LINE_INVALID;
    }
    switch (line->kind) {
    case HTTP_LINE_FIELD:
        return read_field_line(line, c);
    case HTTP_LINE_CHUNK:
        return read_chunk_line(line, c);
    case HTTP_LINE_CHUNK_END:
        return c == '\r' ? go_on(line, STATE_CR) : HTTP_LINE_INVALID;
    default:
        break;
    }
    if (line->state == STATE_START) {
        return read_start(line, c);
    }
    if (line->state == STATE_EMPTY_CR) {
        return c == '\n' ? go_on(line, STATE_START) : HTTP_LINE_INVALID;
    }
    return line->kind == HTTP_LINE_STATUS ? read_status_line(line, c)
                                          : read_request_line(line, c);
}

/// Starts a line. It follows the line that was checked before, if any; a field
/// may only be continued after another one.
void
http_line_start(http_line_t *line, http_line_kind_t kind)
{
    bool follows_field = kind == HTTP_LINE_FIELD &&
                         line->kind == HTTP_LINE_FIELD && !line->is_empty;
    *line = (http_line_t){.kind = kind, .may_be_continued = follows_field};
}

/// Returns how many bytes at the start of @p bytes leave the state unchanged,
/// in the two states that most bytes of a head are read in.
static size_t
count_unchanged(const http_line_t *line, slice_t bytes)
{
    size_t i = 0;
    if (line->state == STATE_TEXT) {
        while (i < bytes.len && bytes.data[i] != '\t' &&
               is_text(bytes.data[i])) {
            i++;
        }
    }
    else if (line->state == STATE_NAME) {
        while (i < bytes.len && is_token(bytes.data[i])) {
            i++;
        }
    }
    return i;
}

/// Checks @p bytes up to the end of the line. Sets @p used to the number of
/// bytes that belong to it.
http_line_result_t
http_line_feed(http_line_t *line, slice_t bytes, size_t *used)
{
    http_line_result_t result = HTTP_LINE_PARTIAL;
    size_t i = 0;
    while (i < bytes.len && result == HTTP_LINE_PARTIAL) {
        i += count_unchanged(line, (slice_t){bytes.data + i, bytes.len - i});
        if (i < bytes.len) {
            result = read_byte(line, bytes.data[i]);
            i++;
        }
    }
    *used = i;
    return result;
}
