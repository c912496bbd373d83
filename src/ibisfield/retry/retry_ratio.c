/// @file
/// Share of repeats among arrivals. A guard sees all that reach its upstream,
/// whoever sent them, and reports the share to senders on each answer; a
/// sender counts its own.

#include "ibisfield/retry/retry_ratio.h"

#include <glib.h>

/// Below this number of first arrivals a share says little; the few repeats
/// are covered by the absolute part of the users' bound (47 for a service).
#define FIRST_MIN 50

/// Initialises a share without arrivals.
void
retry_ratio_init(retry_ratio_t *share, const clock_source_t *clock,
                 int64_t window_us)
{
    *share = (retry_ratio_t){.clock = clock, .window_us = window_us};
}

/// Place of a part. A clock may be stepped back below 0.
static size_t
place_of(int64_t part)
{
    int64_t rest = part % RETRY_RATIO_BUCKETS;
    return (size_t)(rest < 0 ? rest + RETRY_RATIO_BUCKETS : rest);
}

/// Drops the parts that the window has left behind.
static void
move_window(retry_ratio_t *share)
{
    int64_t part = clock_now_us(share->clock) /
                   MAX(share->window_us / RETRY_RATIO_BUCKETS, 1);
    int64_t passed = part - share->newest_bucket;
    if (passed < 0 || passed >= RETRY_RATIO_BUCKETS) {
        retry_ratio_init(share, share->clock, share->window_us);
        share->newest_bucket = part;
        return;
    }
    for (; share->newest_bucket < part; share->newest_bucket++) {
        size_t next = place_of(share->newest_bucket + 1);
        share->first_attempts[next] = 0;
        share->retries[next] = 0;
    }
}

/// A request was sent to the upstream.
void
retry_ratio_record_arrival(retry_ratio_t *share, bool is_retry)
{
    move_window(share);
    size_t now = place_of(share->newest_bucket);
    share->first_attempts[now] += is_retry ? 0 : 1;
    share->retries[now] += is_retry ? 1 : 0;
}

/// Returns what arrived in the newest parts of the window.
retry_counts_t
retry_ratio_counts(const retry_ratio_t *share, int parts)
{
    retry_ratio_t now = *share;
    retry_counts_t counts = {0};
    move_window(&now);
    for (int i = 0; i < MIN(parts, RETRY_RATIO_BUCKETS); i++) {
        size_t place = place_of(now.newest_bucket - i);
        counts.first_attempts += now.first_attempts[place];
        counts.retries += now.retries[place];
    }
    return counts;
}

/// Returns the repeats for each thousand first arrivals in the window.
uint32_t
retry_ratio_permille(const retry_ratio_t *share)
{
    retry_counts_t counts = retry_ratio_counts(share, RETRY_RATIO_BUCKETS);
    return (uint32_t)(1000 * counts.retries /
                      MAX(counts.first_attempts, FIRST_MIN));
}
