#ifndef IBISFIELD_IO_CALLER_SERVER_H
#define IBISFIELD_IO_CALLER_SERVER_H

#include "ibisfield/call/entry.h"
#include "ibisfield/io/change_feed.h"
#include "ibisfield/io/customers.h"
#include "ibisfield/io/header_names.h"
#include "ibisfield/io/http_server.h"
#include "ibisfield/io/log_limit.h"
#include "ibisfield/io/peer_client.h"
#include "ibisfield/io/span.h"

typedef struct caller_attempt caller_attempt_t;

/// Objects that the adapter uses; the node owns them.
typedef struct {
    loop_t *loop;
    entry_t *entry;
    picker_t *picker;
    const customers_t *customers;
    const vm_view_t *vms;
    peer_client_t *peers;
    span_source_t *spans;
    const header_names_t *header_names; ///< NULL: the ibisfield- headers
    const char *data_centre;            ///< of this node
    const char *service;                ///< of the upstream on this VM
    call_depths_t *depths;
    change_feed_t *feed;
    key_proof_t *key_proof;
} caller_server_options_t;

/// Adapter between the entry and HTTP. It takes requests of callers, calls of
/// the own upstream (egress), and requests that other nodes forward because
/// this node owns their key.
typedef struct {
    entry_io_t io;
    caller_server_options_t options;
    /// Response to the attempt whose result is being reported to the entry;
    /// NULL at any other time.
    const http_response_t *current_response;
    log_limit_t refusal_log_limit;
    log_limit_t failure_log_limit;
    log_limit_t attempt_log_limit;
} caller_server_t;

void caller_server_init(caller_server_t *server,
                        const caller_server_options_t *options);
void caller_server_handle_caller(void *context, http_request_t *request);
void caller_server_handle_egress(void *context, http_request_t *request);
void caller_server_handle_forwarded(caller_server_t *server,
                                    http_request_t *request);
void caller_server_disconnected(void *context, http_request_t *request);
bool caller_server_is_concurrent(const caller_server_t *server,
                                 const http_request_t *request);

#endif
