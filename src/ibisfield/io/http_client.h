#ifndef IBISFIELD_IO_HTTP_CLIENT_H
#define IBISFIELD_IO_HTTP_CLIENT_H

#include <glib.h>

#include "ibisfield/base/byte_account.h"
#include "ibisfield/base/slice.h"
#include "ibisfield/contract/settings_defs.h"
#include "ibisfield/io/loop.h"
#include "ibisfield/io/response_reader.h"

/// How an exchange ended.
typedef enum {
    HTTP_COMPLETE,       ///< complete response
    HTTP_CONNECT_FAILED, ///< got no connection; no byte was sent
    HTTP_LOST,           ///< bytes were sent, no complete response
    HTTP_TOO_LARGE,      ///< the response exceeds max_response_bytes, or all
                         ///< responses together exceed max_buffered_bytes
} http_result_t;

/// Result of an exchange. Valid during the callback only.
typedef struct {
    http_result_t result;
    int status; ///< like the headers and the body, of HTTP_COMPLETE only
    const http_header_t *headers;
    size_t header_count;
    slice_t body;
    const char *error; ///< text for logs, NULL when complete
    /// With HTTP_LOST: the server sent a response that is malformed or ended
    /// early. The client has logged and counted it.
    bool untrusted;
} http_response_t;

typedef struct http_exchange http_exchange_t;
typedef void (*http_done_t)(void *context, const http_response_t *response);

/// Pool of HTTP/1.1 connections to one endpoint. Exchanges use at most
/// connections_max at a time; further exchanges wait for a free one. A
/// connection whose response was not read completely is closed.
typedef struct http_pool http_pool_t;

typedef struct {
    endpoint_t endpoint;
    uint32_t connections_max;
    size_t max_response_bytes;
    size_t max_buffered_bytes;  ///< of the responses that are being read on
                                ///< all connections together; 0: no limit
    byte_account_t *account;    ///< of these responses; NULL: none
    int receive_buffer_bytes;   ///< of the kernel, for each connection; 0: the
                                ///< system's default
    int64_t connect_timeout_us; ///< 0: only the exchange's timeout applies
    /// Header, in lower case, that a response echoes from its request. A
    /// response with another value belongs to an earlier request and is
    /// dropped. NULL: not checked.
    const char *echoed_header;
    /// Header, in lower case, of responses that refuse the request. They and
    /// responses with status 421 end their connection: they needn't name the
    /// request, so one that the server writes once more could be taken for
    /// the response to the next one. NULL: none.
    const char *refusal_header;
    /// Header, in lower case, whose value identifies a request in logs. NULL:
    /// none.
    const char *id_header;
    /// An orderly close may end a response that has no length.
    bool allow_close_delimited;
} http_pool_options_t;

http_pool_t *http_pool_new_with_options(loop_t *loop,
                                        const http_pool_options_t *options);
http_pool_t *http_pool_new(loop_t *loop, const endpoint_t *endpoint,
                           uint32_t connections_max,
                           size_t max_response_bytes);
void http_pool_release(http_pool_t *pool);
http_exchange_t *http_exchange_start(http_pool_t *pool, slice_t method,
                                     slice_t path,
                                     const http_header_t *headers,
                                     size_t header_count, slice_t body,
                                     int64_t timeout_us, http_done_t done,
                                     void *context);
http_exchange_t *
http_exchange_start_shared(http_pool_t *pool, slice_t method, slice_t path,
                           const http_header_t *headers, size_t header_count,
                           GByteArray *body, int64_t timeout_us,
                           http_done_t done, void *context);
void http_exchange_cancel(http_exchange_t *exchange);
slice_t http_header_find(const http_header_t *headers, size_t header_count,
                         const char *name);

#endif
