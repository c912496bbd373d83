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
repeat_share_init(repeat_share_t *share, const clock_source_t *clock,
                  int64_t window_us)
{
    *share = (repeat_share_t){.clock = clock, .window_us = window_us};
}

/// Place of a part. A clock may be stepped back below 0.
static size_t
place_of(int64_t part)
{
    int64_t rest = part % REPEAT_SHARE_PARTS;
    return (size_t)(rest < 0 ? rest + REPEAT_SHARE_PARTS : rest);
}

/// Drops the parts that the window has left behind.
static void
move_window(repeat_share_t *share)
{
    int64_t part = clock_now_us(share->clock) /
                   MAX(share->window_us / REPEAT_SHARE_PARTS, 1);
    int64_t passed = part - share->part;
    if (passed < 0 || passed >= REPEAT_SHARE_PARTS) {
        repeat_share_init(share, share->clock, share->window_us);
        share->part = part;
        return;
    }
    for (; share->part < part; share->part++) {
        size_t next = place_of(share->part + 1);
        share->first[next] = 0;
        share->repeats[next] = 0;
    }
}

/// A request was sent to the upstream.
void
repeat_share_arrived(repeat_share_t *share, bool is_repeat)
{
    move_window(share);
    size_t now = place_of(share->part);
    share->first[now] += is_repeat ? 0 : 1;
    share->repeats[now] += is_repeat ? 1 : 0;
}

/// Returns what arrived in the newest parts of the window.
repeat_counts_t
repeat_share_counts(const repeat_share_t *share, int parts)
{
    repeat_share_t now = *share;
    repeat_counts_t counts = {0};
    move_window(&now);
    for (int i = 0; i < MIN(parts, REPEAT_SHARE_PARTS); i++) {
        size_t place = place_of(now.part - i);
        counts.first += now.first[place];
        counts.repeats += now.repeats[place];
    }
    return counts;
}

/// Returns the repeats for each thousand first arrivals in the window.
uint32_t
repeat_share_permille(const repeat_share_t *share)
{
    repeat_counts_t counts = repeat_share_counts(share, REPEAT_SHARE_PARTS);
    return (uint32_t)(1000 * counts.repeats / MAX(counts.first, FIRST_MIN));
}
