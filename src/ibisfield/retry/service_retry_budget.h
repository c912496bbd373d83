#ifndef IBISFIELD_RETRY_SERVICE_RETRY_BUDGET_H
#define IBISFIELD_RETRY_SERVICE_RETRY_BUDGET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "ibisfield/base/clock.h"

/// Repeats that a node may send to a service, as a share of the requests that
/// it sent there for the first time. The sum over all nodes keeps the same
/// share without shared state. A repeat also repeats every call below it, so
/// the share halves with each level of calls below the service: all levels of
/// a chain together then stay below the ratio at the last service.
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
void service_retry_budget_first(service_retry_budget_t *budget,
                                const char *service, int32_t worth);
bool service_retry_budget_take(service_retry_budget_t *budget,
                               const char *service, uint32_t depth,
                               int32_t worth);

#endif
