#ifndef IBISFIELD_RETRY_RETRY_RATIO_H
#define IBISFIELD_RETRY_RETRY_RATIO_H

#include <stdbool.h>
#include <stdint.h>

#include "ibisfield/base/clock.h"

/// Number of buckets of a sliding window.
#define RETRY_RATIO_BUCKETS 10

/// Counts of first attempts and retries in a sliding window: of those that
/// reach one upstream, or of those that one node sends to a service. A call
/// made while serving a retry counts as a retry as well.
typedef struct {
    const clock_source_t *clock;
    int64_t window_us;
    uint32_t first_attempts[RETRY_RATIO_BUCKETS];
    uint32_t retries[RETRY_RATIO_BUCKETS];
    int64_t newest_bucket; ///< clock time divided by the bucket width
} retry_ratio_t;

/// Totals of the newest buckets of a window.
typedef struct {
    double first_attempts;
    double retries;
} retry_counts_t;

void retry_ratio_init(retry_ratio_t *ratio, const clock_source_t *clock,
                      int64_t window_us);
void retry_ratio_record_attempt(retry_ratio_t *ratio, bool is_retry);
retry_counts_t retry_ratio_counts(const retry_ratio_t *ratio, int buckets);
uint32_t retry_ratio_permille(const retry_ratio_t *ratio);

#endif
