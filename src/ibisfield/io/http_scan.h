#ifndef IBISFIELD_IO_HTTP_SCAN_H
#define IBISFIELD_IO_HTTP_SCAN_H

#include "ibisfield/io/http_line.h"

/// Part of a message that the next byte belongs to.
typedef enum {
    HTTP_PART_START_LINE,
    HTTP_PART_HEAD, ///< fields, up to the empty line
    HTTP_PART_BODY, ///< with a length, or up to the end of the connection
    HTTP_PART_CHUNK_SIZE,
    HTTP_PART_CHUNK_DATA,
    HTTP_PART_CHUNK_END,
    HTTP_PART_TRAILERS, ///< fields behind the last chunk
} http_part_t;

/// Check of the lines of HTTP/1.1 messages ahead of a parser, which decides
/// what follows a head.
typedef struct {
    http_line_kind_t start_line; ///< HTTP_LINE_STATUS or HTTP_LINE_REQUEST
    http_part_t part;
    http_line_t line;    ///< the current line, outside of bodies
    uint64_t chunk_left; ///< bytes of the current chunk that are to come
} http_scan_t;

void http_scan_start(http_scan_t *scan, http_line_kind_t start_line);
void http_scan_begin_body(http_scan_t *scan, bool is_chunked);
bool http_scan_next(http_scan_t *scan, slice_t bytes, slice_t *checked);
const char *http_scan_error(const http_scan_t *scan);

#endif
