#ifndef IBISFIELD_RETRY_SERVICE_RETRY_BUDGET_H
#define IBISFIELD_RETRY_SERVICE_RETRY_BUDGET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "ibisfield/base/clock.h"
#include "ibisfield/retry/retry_ratio.h"

/// Repeats that a node may send to a service. All nodes together keep within a
/// share of the requests that were sent there for the first time, without
/// shared state: guards report the share of repeats that they see, and nodes
/// repeat while it is low enough. A repeat also repeats every call below it,
/// so it counts there too, and repeats higher up in a chain end at a lower
/// share. Without reports each node keeps to its part of the ratio by itself.
typedef struct {
    double ratio;      ///< repeats for each first request
    int64_t window_us; ///< over which both are counted
} service_retry_limits_t;

typedef struct {
    const clock_source_t *clock;
    service_retry_limits_t limits;
    GHashTable *services; ///< name to service_counts_t
} service_retry_budget_t;

void service_retry_budget_init(service_retry_budget_t *budget,
                               const clock_source_t *clock,
                               const service_retry_limits_t *limits);
void service_retry_budget_finish(service_retry_budget_t *budget);
void service_retry_budget_add_first(service_retry_budget_t *budget,
                                    const char *service, int32_t worth);
bool service_retry_budget_take(service_retry_budget_t *budget,
                               const char *service, uint32_t depth,
                               int32_t worth);
void service_retry_budget_add_report(service_retry_budget_t *budget,
                                     const char *service, uint32_t permille);

#endif
