#ifndef IBISFIELD_IO_HTTP_LINE_H
#define IBISFIELD_IO_HTTP_LINE_H

#include <stdbool.h>
#include <stdint.h>

#include "ibisfield/base/slice.h"

typedef enum {
    HTTP_LINE_STATUS,    ///< status line; empty lines before it are skipped
    HTTP_LINE_REQUEST,   ///< request line; the same
    HTTP_LINE_FIELD,     ///< field of a header or trailer section, a
                         ///< continuation of it, or the empty line at the end
    HTTP_LINE_CHUNK,     ///< size and extensions of a chunk
    HTTP_LINE_CHUNK_END, ///< line end after the data of a chunk
} http_line_kind_t;

typedef enum {
    HTTP_LINE_PARTIAL, ///< needs more bytes
    HTTP_LINE_END,     ///< the line has ended
    HTTP_LINE_INVALID,
} http_line_result_t;

/// Incremental check of one line of an HTTP/1.1 message.
typedef struct {
    http_line_kind_t kind;
    int state;             ///< private
    uint32_t matched;      ///< bytes of the current element
    int status;            ///< of a status line
    uint64_t chunk_size;   ///< of a HTTP_LINE_CHUNK
    bool is_empty;         ///< the line has no bytes but its end
    bool may_be_continued; ///< the line before it is a field
} http_line_t;

void http_line_start(http_line_t *line, http_line_kind_t kind);
http_line_result_t http_line_feed(http_line_t *line, slice_t bytes,
                                  size_t *used);

#endif
