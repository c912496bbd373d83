#ifndef IBISFIELD_RETRY_CLIENT_RETRY_BUDGET_H
#define IBISFIELD_RETRY_CLIENT_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#include "ibisfield/base/clock.h"
#include "ibisfield/base/slice.h"

typedef struct client_retry_budget client_retry_budget_t;

void client_retry_budget_init(client_retry_budget_t *budget,
                              const clock_source_t *clock);
void client_retry_budget_finish(client_retry_budget_t *budget);
/// Counts a request. Returns false when it is a client's retry (same source
/// and kind, refused less than its Retry-After ago) and the customer's budget
/// is empty; then it is to be refused.
bool client_retry_budget_admit(client_retry_budget_t *budget, slice_t customer,
                               slice_t kind, uint32_t source,
                               int32_t client_retry_percent);
void client_retry_budget_refused(client_retry_budget_t *budget,
                                 slice_t customer, slice_t kind,
                                 uint32_t source, int32_t retry_after_ms);

#endif
