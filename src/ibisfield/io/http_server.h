#ifndef IBISFIELD_IO_HTTP_SERVER_H
#define IBISFIELD_IO_HTTP_SERVER_H

#include "ibisfield/call/call_defs.h"
#include "ibisfield/contract/settings_defs.h"
#include "ibisfield/io/http_client.h"
#include "ibisfield/io/loop.h"

typedef struct http_server http_server_t;
typedef struct http_listener http_listener_t;

/// Requests of one connection that are served side by side, and responses that
/// wait there for their turn, at most.
#define HTTP_PIPELINE_MAX 16
/// While responses of this size together wait on a connection, for their turn
/// or for a sender that reads slowly, no further request of it is served.
#define HTTP_HELD_BYTES_MAX ((size_t)256 << 10)

/// A request in flight. It is valid until it is responded to or its sender has
/// disconnected.
typedef struct {
    slice_t method;
    slice_t path; ///< with query
    slice_t host;
    slice_t body;
    GByteArray *body_bytes; ///< holds the body; NULL: none
    http_header_t *headers; ///< without Host
    size_t header_count;
    uint32_t source_hash; ///< hash of the sender's address; never 0
    int64_t received_us;  ///< when the request was complete
    void *user;           ///< owned by the handler
} http_request_t;

/// Handles a request. The handler responds by http_request_respond(), at once
/// or later.
typedef void (*http_handler_t)(void *context, http_request_t *request);
/// Called when the sender has closed its connection. The handler must not use
/// the request any more.
typedef void (*http_disconnected_t)(void *context, http_request_t *request);
/// Returns whether the request may be served while others of its connection
/// are, because it may run at any time and more than once.
typedef bool (*http_concurrent_t)(void *context,
                                  const http_request_t *request);

typedef struct {
    const char *name; ///< for logs
    endpoint_t endpoint;
    bool exempt_from_limit; ///< accepts above connections_max
    http_handler_t handle;
    http_disconnected_t disconnected;
    void *context;
    http_concurrent_t is_concurrent; ///< NULL: one request at a time
} http_listener_options_t;

http_server_t *http_server_new(loop_t *loop, uint32_t connections_max,
                               size_t max_request_bytes);
void http_server_set_account(http_server_t *server, byte_account_t *account);
void http_server_free(http_server_t *server);
bool http_server_listen(http_server_t *server,
                        const http_listener_options_t *options,
                        GError **error);
void http_server_start(http_server_t *server);
void http_server_set_draining(http_server_t *server);
void http_server_drop_new_connections(http_server_t *server);
void http_server_stop_listening(http_server_t *server);
uint32_t http_server_in_flight(const http_server_t *server);
bool http_server_is_idle(const http_server_t *server);

void http_request_set_long_poll(http_request_t *request);
int http_request_fd(const http_request_t *request);
uint32_t http_source_hash(const char *address);
slice_t http_request_header(const http_request_t *request, const char *name);
void http_request_respond(http_request_t *request, int status,
                          const http_header_t *headers, size_t header_count,
                          slice_t body);
void http_request_respond_and_close(http_request_t *request, int status,
                                    const http_header_t *headers,
                                    size_t header_count, slice_t body);

#endif
