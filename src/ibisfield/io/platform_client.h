#ifndef IBISFIELD_IO_PLATFORM_CLIENT_H
#define IBISFIELD_IO_PLATFORM_CLIENT_H

#include "ibisfield/config/item_store.h"
#include "ibisfield/io/http_client.h"

/// Result of a read or a watch. Valid during the callback only.
typedef struct {
    const char *error; ///< NULL if the response is valid
    uint64_t revision;
    const config_item_t *items;
    size_t item_count;
} platform_response_t;

typedef void (*platform_done_t)(void *context,
                                const platform_response_t *response);

/// A client for one list of the project's own platform. At most one read is in
/// flight.
typedef struct {
    http_pool_t *pool;
    http_exchange_t *exchange;
    char *prefix;
    platform_done_t done;
    void *context;
} platform_client_t;

bool endpoint_from_url(const char *url, endpoint_t *endpoint);
bool platform_client_init(platform_client_t *client, loop_t *loop,
                          const char *url, const char *prefix,
                          platform_done_t done, void *context);
void platform_client_finish(platform_client_t *client);
void platform_client_cancel(platform_client_t *client);
void platform_client_read(platform_client_t *client, uint64_t since,
                          int64_t wait_ms);

#endif
