#ifndef IBISFIELD_IO_OPERATOR_SERVER_H
#define IBISFIELD_IO_OPERATOR_SERVER_H

#include "ibisfield/io/http_server.h"

void operator_server_handle(void *context, http_request_t *request);
void operator_server_handle_readiness(void *context, http_request_t *request);
void operator_server_disconnected(void *context, http_request_t *request);

#endif
