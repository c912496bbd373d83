#ifndef IBISFIELD_IO_PEER_CLIENT_H
#define IBISFIELD_IO_PEER_CLIENT_H

#include "ibisfield/call/entry.h"
#include "ibisfield/config/vm_view.h"
#include "ibisfield/io/http_client.h"

/// Connection pools to the peer addresses of other nodes.
typedef struct {
    loop_t *loop;
    size_t max_response_bytes;
    byte_account_t *account; ///< of responses that are being read
    const char *id_header;   ///< whose value identifies a request in logs
    GHashTable *pools;       ///< VM name to peer_pool_t
} peer_client_t;

void peer_client_init(peer_client_t *client, loop_t *loop,
                      size_t max_response_bytes, byte_account_t *account,
                      const char *id_header);
void peer_client_finish(peer_client_t *client);
http_pool_t *peer_client_pool(peer_client_t *client, const vm_info_t *info);
void peer_client_remove(peer_client_t *client, const char *vm);
void peer_client_read_result(attempt_result_t *result,
                             const http_response_t *response);

#endif
