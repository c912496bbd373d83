#ifndef IBISFIELD_IO_UPSTREAM_CLIENT_H
#define IBISFIELD_IO_UPSTREAM_CLIENT_H

#include "ibisfield/call/guard.h"
#include "ibisfield/contract/settings_defs.h"
#include "ibisfield/io/header_names.h"
#include "ibisfield/io/http_client.h"
#include "ibisfield/io/log_limit.h"

/// Called when the upstream starts or stops draining.
typedef void (*upstream_draining_changed_t)(void *context, bool draining);

/// Connection pool to the upstream on this VM, and its health check.
typedef struct {
    loop_t *loop;
    http_pool_t *pool;
    http_exchange_t *health_exchange;
    loop_timer_t health_timer;
    upstream_draining_changed_t draining_changed;
    void *context;
    const header_names_t *header_names; ///< NULL: the ibisfield- headers
    bool draining;
    log_limit_t response_log_limit;
    bool connect_failing; ///< the last exchange got no connection
} upstream_client_t;

void upstream_client_init(upstream_client_t *client, loop_t *loop,
                          const settings_t *settings,
                          const header_names_t *header_names,
                          byte_account_t *account,
                          upstream_draining_changed_t draining_changed,
                          void *context);
void upstream_client_finish(upstream_client_t *client);
upstream_result_t upstream_client_read_result(upstream_client_t *client,
                                              const http_response_t *response);

#endif
