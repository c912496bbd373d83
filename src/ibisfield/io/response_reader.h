#ifndef IBISFIELD_IO_RESPONSE_READER_H
#define IBISFIELD_IO_RESPONSE_READER_H

#include <glib.h>
#include <http_parser.h>
#include <stdbool.h>

#include "ibisfield/base/slice.h"
#include "ibisfield/io/http_scan.h"

typedef struct {
    slice_t name; ///< lower case
    slice_t value;
} http_header_t;

typedef enum {
    RESPONSE_PARTIAL, ///< needs more bytes
    RESPONSE_COMPLETE,
    RESPONSE_INVALID, ///< malformed, truncated, or without a length although
                      ///< allow_close_delimited isn't set
    RESPONSE_TOO_LARGE,
} response_state_t;

/// Incremental reader of one HTTP/1.1 response.
typedef struct {
    http_parser parser;
    http_scan_t scan;
    size_t max_body_bytes;
    bool is_head;               ///< the request was HEAD: no body follows
    bool allow_close_delimited; ///< an orderly close may end a response that
                                ///< has no length
    response_state_t state;
    const char *error; ///< valid in RESPONSE_INVALID; holds no bytes of
                       ///< the response
    bool started;      ///< a byte was read
    bool keep_alive;   ///< valid in RESPONSE_COMPLETE
    bool head_complete;
    bool close_delimited;   ///< the end of the connection ends the body
    bool in_header_value;   ///< the last parsed text was a header value
    uint32_t interim_count; ///< interim responses (1xx) before this one
    uint32_t trailer_count; ///< fields behind the body, which are dropped
    GString *header_text;   ///< names and values of the headers
    GArray *header_offsets; ///< of header_offsets_t, into header_text
    GByteArray *body;
    http_header_t *headers; ///< valid in RESPONSE_COMPLETE
} response_reader_t;

void response_reader_init(response_reader_t *reader, size_t max_body_bytes,
                          bool allow_close_delimited);
void response_reader_finish(response_reader_t *reader);
void response_reader_start(response_reader_t *reader, bool is_head);
size_t response_reader_feed(response_reader_t *reader, slice_t bytes);
void response_reader_eof(response_reader_t *reader, bool orderly);
void response_reader_reject(response_reader_t *reader, const char *error);
size_t response_reader_held_bytes(const response_reader_t *reader);
size_t response_reader_header_count(const response_reader_t *reader);

#endif
