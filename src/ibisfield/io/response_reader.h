#ifndef IBISFIELD_IO_RESPONSE_READER_H
#define IBISFIELD_IO_RESPONSE_READER_H

#include <glib.h>
#include <http_parser.h>
#include <stdbool.h>

#include "ibisfield/base/slice.h"

typedef struct {
    slice_t name; ///< lower case
    slice_t value;
} http_header_t;

typedef enum {
    ANSWER_PARTIAL, ///< needs more bytes
    ANSWER_WHOLE,
    ANSWER_INVALID, ///< not an HTTP answer, or broken off
    ANSWER_TOO_LARGE,
} answer_state_t;

/// Collects one HTTP/1.1 answer from the bytes of a connection.
typedef struct {
    http_parser parser;
    size_t max_body_bytes;
    bool is_head;        ///< the request was HEAD: no body follows
    bool allow_unframed; ///< a clean close may end an answer without a length
    answer_state_t state;
    bool keep_alive; ///< of a whole answer
    bool unframed;   ///< ends with its connection
    bool in_value;   ///< the last header text was a value
    GString *text;   ///< names and values of the headers
    GArray *marks;   ///< of header_mark_t, positions in text
    GByteArray *body;
    http_header_t *headers; ///< of a whole answer
} answer_reader_t;

void answer_reader_init(answer_reader_t *reader, size_t max_body_bytes,
                        bool allow_unframed);
void answer_reader_finish(answer_reader_t *reader);
void answer_reader_start(answer_reader_t *reader, bool is_head);
size_t answer_reader_take(answer_reader_t *reader, slice_t bytes);
void answer_reader_end(answer_reader_t *reader, bool clean);
size_t answer_reader_header_count(const answer_reader_t *reader);

#endif
