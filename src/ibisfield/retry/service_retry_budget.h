#ifndef IBISFIELD_RETRY_SERVICE_RETRY_BUDGET_H
#define IBISFIELD_RETRY_SERVICE_RETRY_BUDGET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "ibisfield/base/clock.h"
#include "ibisfield/retry/retry_ratio.h"

/// Limits of the retries that a node may send to a service. All nodes together
/// stay below a ratio of retries to first attempts, without shared state:
/// guards report the ratio that they measure, and nodes retry while it is low
/// enough. A retry also causes a retry of each call below it, which counts
/// there, so retries higher up in a call chain stop at a lower ratio. Without
/// reports each node limits its own retries to a fraction of the ratio.
typedef struct {
    double ratio;      ///< retries for each first attempt
    int64_t window_us; ///< length of the sliding window of both counts
} service_retry_limits_t;

/// Retry budget of this node for each service.
typedef struct {
    const clock_source_t *clock;
    service_retry_limits_t limits;
    GHashTable *services; ///< name to service_state_t
} service_retry_budget_t;

void service_retry_budget_init(service_retry_budget_t *budget,
                               const clock_source_t *clock,
                               const service_retry_limits_t *limits);
void service_retry_budget_finish(service_retry_budget_t *budget);
void service_retry_budget_record_first_attempt(service_retry_budget_t *budget,
                                               const char *service,
                                               int32_t worth);
bool service_retry_budget_take(service_retry_budget_t *budget,
                               const char *service, uint32_t depth,
                               int32_t worth);
void service_retry_budget_record_report(service_retry_budget_t *budget,
                                        const char *service,
                                        uint32_t permille);

#endif
