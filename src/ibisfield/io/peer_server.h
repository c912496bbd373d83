#ifndef IBISFIELD_IO_PEER_SERVER_H
#define IBISFIELD_IO_PEER_SERVER_H

#include "ibisfield/call/guard.h"
#include "ibisfield/io/caller_server.h"
#include "ibisfield/io/change_feed.h"
#include "ibisfield/io/header_names.h"
#include "ibisfield/io/http_server.h"
#include "ibisfield/io/log_limit.h"
#include "ibisfield/io/span.h"
#include "ibisfield/io/upstream_client.h"
#include "ibisfield/io/usage_link.h"
#include "ibisfield/routing/call_depth.h"

/// Objects that the adapter uses; the node owns them.
typedef struct {
    guard_t *guard;
    upstream_client_t *upstream;
    /// Handles the requests that other entries forward to the owner of their
    /// key.
    caller_server_t *caller_server;
    span_source_t *spans;
    const header_names_t *header_names; ///< NULL: the ibisfield- headers
    call_depths_t *depths; ///< of the call graph below each service
    change_feed_t *feed;   ///< handles the polls of nodes that follow it
    const key_proof_t *key_proof;
    usage_link_t *usage_link; ///< handles reports to this node as a keeper
} peer_server_options_t;

/// Adapter between the guard and HTTP. It takes requests that other nodes send
/// to this VM's upstream.
typedef struct {
    guard_io_t io;
    peer_server_options_t options;
    /// Response of the upstream whose result is being reported to the guard;
    /// NULL at any other time.
    const http_response_t *current_response;
    log_limit_t refusal_log_limit;
} peer_server_t;

void peer_server_init(peer_server_t *server,
                      const peer_server_options_t *options);
void peer_server_handle(void *context, http_request_t *request);
void peer_server_disconnected(void *context, http_request_t *request);

#endif
