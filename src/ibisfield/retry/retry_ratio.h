#ifndef IBISFIELD_RETRY_RETRY_RATIO_H
#define IBISFIELD_RETRY_RETRY_RATIO_H

#include <stdbool.h>
#include <stdint.h>

#include "ibisfield/base/clock.h"

/// A sliding window is counted in this many parts.
#define REPEAT_SHARE_PARTS 10

/// Arrivals in a sliding window, at one upstream or from one node, and how
/// many of them repeat an earlier arrival of the same request or were called
/// by a run that did.
typedef struct {
    const clock_source_t *clock;
    int64_t window_us;
    uint32_t first[REPEAT_SHARE_PARTS];
    uint32_t repeats[REPEAT_SHARE_PARTS];
    int64_t part; ///< number of the newest part since the clock's start
} repeat_share_t;

/// First arrivals and repeats in the newest parts of the window.
typedef struct {
    double first;
    double repeats;
} repeat_counts_t;

void repeat_share_init(repeat_share_t *share, const clock_source_t *clock,
                       int64_t window_us);
void repeat_share_arrived(repeat_share_t *share, bool is_repeat);
repeat_counts_t repeat_share_counts(const repeat_share_t *share, int parts);
uint32_t repeat_share_permille(const repeat_share_t *share);

#endif
