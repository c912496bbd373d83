#ifndef IBISFIELD_RETRY_CLIENT_RETRY_BUDGET_H
#define IBISFIELD_RETRY_CLIENT_RETRY_BUDGET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "ibisfield/base/clock.h"
#include "ibisfield/base/slice.h"

/// A refusal after which the client should wait before its retry.
typedef struct {
    uint64_t hash;      ///< of customer, kind and source
    int64_t expires_us; ///< end of its Retry-After
} client_refusal_t;

/// Token bucket for each customer, which limits the retries of its clients.
typedef struct {
    const clock_source_t *clock;
    GHashTable *buckets;        ///< customer name to hundredths of a token
    client_refusal_t *refusals; ///< direct-mapped by hash
} client_retry_budget_t;

void client_retry_budget_init(client_retry_budget_t *budget,
                              const clock_source_t *clock);
void client_retry_budget_finish(client_retry_budget_t *budget);
bool client_retry_budget_admit(client_retry_budget_t *budget, slice_t customer,
                               slice_t kind, uint32_t source,
                               int32_t client_retry_percent);
void client_retry_budget_add_refusal(client_retry_budget_t *budget,
                                     slice_t customer, slice_t kind,
                                     uint32_t source, int32_t retry_after_ms);

#endif
