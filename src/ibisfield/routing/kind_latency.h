#ifndef IBISFIELD_ROUTING_KIND_LATENCY_H
#define IBISFIELD_ROUTING_KIND_LATENCY_H

#include <stdbool.h>
#include <stdint.h>

#include "ibisfield/admission/serving_end.h"

#define KIND_LATENCY_SLOTS 1024

/// Learned latency of one kind over all VMs.
typedef struct {
    uint64_t kind; ///< hash of customer and kind
    double mean_us;
    double p95_us; ///< estimate of the 95th percentile
    uint32_t samples;
    duration_bound_t bound;
    int64_t last_refusal_us; ///< last refusal for overload
} kind_latency_t;

/// Direct-mapped table by hash of the kind: kinds with the same slot replace
/// each other.
typedef struct {
    kind_latency_t slots[KIND_LATENCY_SLOTS];
} kind_latencies_t;

void kind_latency_record(kind_latencies_t *latencies, uint64_t kind,
                         int64_t latency_us);
void kind_latency_record_refusal(kind_latencies_t *latencies, uint64_t kind,
                                 int64_t now_us);
double kind_latency_upper_us(const kind_latencies_t *latencies, uint64_t kind);
int64_t kind_latency_bound_us(const kind_latencies_t *latencies,
                              uint64_t kind);
double kind_latency_mean_us(const kind_latencies_t *latencies, uint64_t kind);
int64_t kind_latency_hedge_delay_us(const kind_latencies_t *latencies,
                                    uint64_t kind, int64_t now_us);

#endif
