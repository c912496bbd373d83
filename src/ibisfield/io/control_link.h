#ifndef IBISFIELD_IO_CONTROL_LINK_H
#define IBISFIELD_IO_CONTROL_LINK_H

#include "ibisfield/config/control_defs.h"
#include "ibisfield/io/loop.h"

/// Exchanges control messages between nodes: CBOR over nng request/reply.
typedef struct control_link control_link_t;

typedef struct {
    /// Handles a request. The returned reply must be valid until the next
    /// call.
    const control_message_t *(*request)(void *context,
                                        const control_message_t *request);
    /// Reports the reply of an exchange; NULL if no valid one came in time.
    void (*reply)(void *context, uint64_t exchange_id,
                  const control_message_t *reply);
} control_link_callbacks_t;

control_link_t *control_link_new(loop_t *loop, const endpoint_t *listen,
                                 const char *vm,
                                 const control_link_callbacks_t *callbacks,
                                 void *context, GError **error);
void control_link_free(control_link_t *link);
void control_link_send(control_link_t *link, const config_peer_t *peers,
                       uint32_t count, const control_message_t *message,
                       uint64_t exchange_id);
uint32_t control_link_peer_count(const control_link_t *link);
GPtrArray *control_link_live_peers(const control_link_t *link);

#endif
