/// @file
/// Ratio of retries to first attempts. A guard counts all requests that reach
/// its upstream, whoever sent them, and reports the ratio to senders on each
/// response. A sender counts the requests that it sends.

#include "ibisfield/retry/retry_ratio.h"

#include <glib.h>

/// Smallest divisor of the ratio: with fewer first attempts the ratio says
/// little, and is taken as if there were this many. The retry bound that users
/// require allows a fixed number of retries besides the ratio (47 for each
/// service), which covers the few retries in that case.
#define FIRST_ATTEMPTS_MIN 50

/// Initialises a ratio without attempts.
void
retry_ratio_init(retry_ratio_t *ratio, const clock_source_t *clock,
                 int64_t window_us)
{
    *ratio = (retry_ratio_t){.clock = clock, .window_us = window_us};
}

/// Returns the array index of a bucket number. The number is negative if the
/// bucket is before time 0 of the clock.
static size_t
bucket_index(int64_t bucket)
{
    int64_t remainder = bucket % RETRY_RATIO_BUCKETS;
    return (size_t)(remainder < 0 ? remainder + RETRY_RATIO_BUCKETS
                                  : remainder);
}

/// Advances the window to the current time and clears the buckets that it
/// reuses. Clears all if the clock was set back.
static void
advance_window(retry_ratio_t *ratio)
{
    int64_t bucket = clock_now_us(ratio->clock) /
                     MAX(ratio->window_us / RETRY_RATIO_BUCKETS, 1);
    int64_t elapsed_buckets = bucket - ratio->newest_bucket;
    if (elapsed_buckets < 0 || elapsed_buckets >= RETRY_RATIO_BUCKETS) {
        retry_ratio_init(ratio, ratio->clock, ratio->window_us);
        ratio->newest_bucket = bucket;
        return;
    }
    for (; ratio->newest_bucket < bucket; ratio->newest_bucket++) {
        size_t next = bucket_index(ratio->newest_bucket + 1);
        ratio->first_attempts[next] = 0;
        ratio->retries[next] = 0;
    }
}

/// Counts an attempt.
void
retry_ratio_record_attempt(retry_ratio_t *ratio, bool is_retry)
{
    advance_window(ratio);
    size_t newest = bucket_index(ratio->newest_bucket);
    ratio->first_attempts[newest] += is_retry ? 0 : 1;
    ratio->retries[newest] += is_retry ? 1 : 0;
}

/// Returns the attempts in the newest @p buckets buckets of the window.
retry_counts_t
retry_ratio_counts(const retry_ratio_t *ratio, int buckets)
{
    retry_ratio_t current = *ratio;
    retry_counts_t counts = {0};
    advance_window(&current);
    for (int i = 0; i < MIN(buckets, RETRY_RATIO_BUCKETS); i++) {
        size_t position = bucket_index(current.newest_bucket - i);
        counts.first_attempts += current.first_attempts[position];
        counts.retries += current.retries[position];
    }
    return counts;
}

/// Returns the number of retries for each thousand first attempts in the
/// window.
uint32_t
retry_ratio_permille(const retry_ratio_t *ratio)
{
    retry_counts_t counts = retry_ratio_counts(ratio, RETRY_RATIO_BUCKETS);
    return (uint32_t)(1000 * counts.retries /
                      MAX(counts.first_attempts, FIRST_ATTEMPTS_MIN));
}
