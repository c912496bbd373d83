#ifndef IBISFIELD_IO_REQUEST_READER_H
#define IBISFIELD_IO_REQUEST_READER_H

#include <glib.h>
#include <http_parser.h>
#include <stdbool.h>

#include "ibisfield/base/slice.h"
#include "ibisfield/io/http_scan.h"
#include "ibisfield/io/response_reader.h"

/// Headers of one request; one with more is malformed.
#define REQUEST_HEADERS_MAX 100

typedef enum {
    REQUEST_PARTIAL, ///< needs more bytes
    REQUEST_COMPLETE,
    REQUEST_MALFORMED, ///< not an HTTP request; the rest of the connection
                       ///< can't be read
    REQUEST_TOO_LARGE, ///< the body exceeds max_body_bytes
} request_state_t;

/// A complete request. It owns what its slices refer to.
typedef struct {
    slice_t method;
    slice_t path; ///< with query
    slice_t host; ///< of the absolute target or the Host header; "" if none
    slice_t body;
    /// Without those that describe the connection or the framing of the body:
    /// Host, Content-Length, Transfer-Encoding, Expect and Upgrade.
    http_header_t *headers;
    size_t header_count;
    bool keep_alive; ///< the sender keeps its connection open
    bool http_1_0;   ///< HTTP/1.0: the sender needs to be told so
    GString *text;   ///< target, names and values of headers
    GByteArray *body_bytes;
} request_message_t;

/// Incremental reader of HTTP/1.1 requests.
typedef struct {
    http_parser parser;
    http_scan_t scan;
    size_t max_body_bytes;
    request_state_t state;
    bool head_complete;
    bool in_header_value;  ///< the last parsed text was a header value
    bool expects_continue; ///< the sender waits for an interim response
                           ///< before it sends the body
    bool started;          ///< a byte of the request was read
    size_t target_len;     ///< of the request target, at the start of text
    GString *text;         ///< target, names and values of headers
    GArray *offsets;       ///< of the headers in text
    GByteArray *body;
} request_reader_t;

void request_reader_init(request_reader_t *reader, size_t max_body_bytes);
void request_reader_finish(request_reader_t *reader);
size_t request_reader_feed(request_reader_t *reader, slice_t bytes);
bool request_reader_has_header(const request_reader_t *reader,
                               const char *name);
bool request_reader_take(request_reader_t *reader, request_message_t *message);
void request_message_finish(request_message_t *message);
void request_message_drop_body(request_message_t *message);
size_t request_reader_held_bytes(const request_reader_t *reader);
size_t request_message_held_bytes(const request_message_t *message);

#endif
