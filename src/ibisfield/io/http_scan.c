/// @file
/// Check of the lines of HTTP/1.1 messages ahead of http_parser. It finds the
/// lines between the chunks of a body by itself, and decides nothing else
/// about the meaning of a message.

#include "ibisfield/io/http_scan.h"

#include <glib.h>

/// Bytes of lines that are checked ahead of the parser. It may refuse a
/// message long before its end.
#define LINE_BYTES_AHEAD 4096

static void
enter_part(http_scan_t *scan, http_part_t part)
{
    static const http_line_kind_t lines[] = {
        [HTTP_PART_HEAD] = HTTP_LINE_FIELD,
        [HTTP_PART_CHUNK_SIZE] = HTTP_LINE_CHUNK,
        [HTTP_PART_CHUNK_END] = HTTP_LINE_CHUNK_END,
        [HTTP_PART_TRAILERS] = HTTP_LINE_FIELD,
    };
    scan->part = part;
    if (part == HTTP_PART_START_LINE) {
        http_line_start(&scan->line, scan->start_line);
    }
    else if (part != HTTP_PART_BODY && part != HTTP_PART_CHUNK_DATA) {
        http_line_start(&scan->line, lines[part]);
    }
}

/// Starts a message with a line of kind @p start_line.
void
http_scan_start(http_scan_t *scan, http_line_kind_t start_line)
{
    scan->start_line = start_line;
    enter_part(scan, HTTP_PART_START_LINE);
}

/// Reports that a body follows the head that was checked.
void
http_scan_begin_body(http_scan_t *scan, bool is_chunked)
{
    enter_part(scan, is_chunked ? HTTP_PART_CHUNK_SIZE : HTTP_PART_BODY);
}

/// Goes on behind a line. Returns false if it was the last one of a head or a
/// message.
static bool
enter_part_behind_line(http_scan_t *scan)
{
    switch (scan->part) {
    case HTTP_PART_START_LINE:
        enter_part(scan, HTTP_PART_HEAD);
        return true;
    case HTTP_PART_CHUNK_SIZE:
        scan->chunk_left = scan->line.chunk_size;
        enter_part(scan, scan->chunk_left == 0 ? HTTP_PART_TRAILERS
                                               : HTTP_PART_CHUNK_DATA);
        return true;
    case HTTP_PART_CHUNK_END:
        enter_part(scan, HTTP_PART_CHUNK_SIZE);
        return true;
    default:
        if (scan->line.is_empty) {
            return false;
        }
        enter_part(scan, scan->part);
        return true;
    }
}

/// Returns how many of @p bytes belong to the current chunk.
static size_t
skip_chunk_data(http_scan_t *scan, slice_t bytes)
{
    size_t len = MIN(bytes.len, scan->chunk_left);
    scan->chunk_left -= len;
    if (scan->chunk_left == 0) {
        enter_part(scan, HTTP_PART_CHUNK_END);
    }
    return len;
}

/// Checks @p bytes, at most up to the end of a head or of a message in chunks.
/// Sets @p checked to what a parser may get; it has to get all of that before
/// the next call. Returns false if there is a malformed line behind that.
bool
http_scan_next(http_scan_t *scan, slice_t bytes, slice_t *checked)
{
    bool valid = true;
    bool goes_on = true;
    size_t used = 0;
    size_t line_bytes = 0;
    while (goes_on && used < bytes.len && line_bytes < LINE_BYTES_AHEAD) {
        slice_t rest = {bytes.data + used, bytes.len - used};
        if (scan->part == HTTP_PART_BODY) {
            used = bytes.len;
        }
        else if (scan->part == HTTP_PART_CHUNK_DATA) {
            used += skip_chunk_data(scan, rest);
        }
        else {
            size_t len = 0;
            http_line_result_t result =
                http_line_feed(&scan->line, rest, &len);
            valid = result != HTTP_LINE_INVALID;
            used += valid ? len : 0;
            line_bytes += len;
            goes_on =
                result == HTTP_LINE_PARTIAL ||
                (result == HTTP_LINE_END && enter_part_behind_line(scan));
        }
    }
    *checked = (slice_t){bytes.data, used};
    return valid;
}

/// Returns what is malformed after http_scan_next() has returned false.
const char *
http_scan_error(const http_scan_t *scan)
{
    switch (scan->part) {
    case HTTP_PART_START_LINE:
        return "malformed start line";
    case HTTP_PART_HEAD:
        return "malformed header";
    case HTTP_PART_TRAILERS:
        return "malformed trailer";
    default:
        return "malformed chunk";
    }
}
