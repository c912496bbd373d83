/// @file
/// When a refused caller is to come back. Answers a load above capacity for
/// some seconds: what is admitted is the same whenever callers return, but one
/// that returns early enough can still be answered within its target latency.

#include "ibisfield/retry/return_time.h"

#include "ibisfield/base/clock.h"

/// An answer is taken to need this many times the mean, so that most of those
/// who return are answered within their target.
#define USUAL_FACTOR 2
/// Returns are spread over the part of the time left from here on.
#define EARLIEST_SHARE 0.25
/// With less time left the target can't be met, and callers return later,
/// spread over the usual length of a crest.
#define ROOM_MIN_MS 40
#define LATE_MIN_MS 500
#define LATE_MAX_MS 1500

/// Returns a Retry-After with jitter.
int32_t
return_time_ms(GRand *random, const return_request_t *request)
{
    int64_t needed_us = request->age_us + USUAL_FACTOR * request->usual_us;
    int64_t room_ms = request->target_ms - needed_us / US_PER_MS;
    if (request->target_ms == 0 || room_ms < ROOM_MIN_MS) {
        return g_rand_int_range(random, LATE_MIN_MS, LATE_MAX_MS);
    }
    return (int32_t)g_rand_double_range(
        random, EARLIEST_SHARE * (double)room_ms, (double)room_ms);
}
