#ifndef IBISFIELD_IO_OPERATOR_SERVER_H
#define IBISFIELD_IO_OPERATOR_SERVER_H

#include "ibisfield/io/http_server.h"

/// Serves /health, /metrics, /status and POST /drain; the context is the
/// node_t.
void operator_server_handle(void *context, http_request_t *request);
void operator_server_handle_readiness(void *context, http_request_t *request);
void operator_server_disconnected(void *context, http_request_t *request);

#endif
