#ifndef IBISFIELD_RETRY_RETRY_RATIO_H
#define IBISFIELD_RETRY_RETRY_RATIO_H

#include <stdbool.h>
#include <stdint.h>

#include "ibisfield/base/clock.h"

/// A sliding window is counted in this many parts.
#define RETRY_RATIO_BUCKETS 10

/// Arrivals in a sliding window, at one upstream or from one node, and how
/// many of them repeat an earlier arrival of the same request or were called
/// by a run that did.
typedef struct {
    const clock_source_t *clock;
    int64_t window_us;
    uint32_t first_attempts[RETRY_RATIO_BUCKETS];
    uint32_t retries[RETRY_RATIO_BUCKETS];
    int64_t
        newest_bucket; ///< number of the newest part since the clock's start
} retry_ratio_t;

/// First arrivals and repeats in the newest parts of the window.
typedef struct {
    double first_attempts;
    double retries;
} retry_counts_t;

void retry_ratio_init(retry_ratio_t *share, const clock_source_t *clock,
                      int64_t window_us);
void retry_ratio_record_arrival(retry_ratio_t *share, bool is_retry);
retry_counts_t retry_ratio_counts(const retry_ratio_t *share, int parts);
uint32_t retry_ratio_permille(const retry_ratio_t *share);

#endif
