/// @file
/// Which requests may still start before a process ends.

#include "ibisfield/admission/serving_end.h"

#include <glib.h>

/// Factor by which a sample lowers a maximum above it: halves it in 350.
#define BOUND_DECAY 0.998
/// With fewer samples than this the maximum is taken twice.
#define BOUND_SAMPLES_MIN 8

/// Records the duration of a completed request.
void
duration_bound_record(duration_bound_t *bound, int64_t duration_us)
{
    bound->longest_us =
        MAX((double)MAX(duration_us, 1), bound->longest_us * BOUND_DECAY);
    bound->samples++;
}

/// Returns the time within which a request ends, 0 if none has been timed.
int64_t
duration_bound_us(const duration_bound_t *bound)
{
    return (int64_t)(bound->samples < BOUND_SAMPLES_MIN ? 2 * bound->longest_us
                                                        : bound->longest_us);
}

/// Returns the time by which a request that starts now has to end;
/// SERVING_END_NONE if the process isn't stopping.
int64_t
serving_end_at(const serving_end_t *end, int64_t now_us)
{
    bool needs_no_proof =
        end->end_us == SERVING_END_NONE || now_us < end->proof_from_us;
    return needs_no_proof ? end->end_us : end->proof_end_us;
}

/// Returns whether a request that starts now has to be shown to end in time.
bool
serving_end_needs_proof(const serving_end_t *end, int64_t now_us,
                        int64_t deadline_us)
{
    return end->end_us != SERVING_END_NONE && now_us >= end->proof_from_us &&
           deadline_us > end->proof_end_us;
}

/// Decides whether a request may start now.
///
/// @param expected_us  time in which most such requests finish; 0: unknown
/// @param bound_us     time in which all of those timed finished; 0: none was
serving_end_verdict_t
serving_end_check(const serving_end_t *end, int64_t now_us,
                  int64_t deadline_us, int64_t expected_us, int64_t bound_us)
{
    if (end->end_us == SERVING_END_NONE) {
        return SERVING_END_FITS;
    }
    if (!serving_end_needs_proof(end, now_us, deadline_us)) {
        return now_us < serving_end_latest_start(serving_end_at(end, now_us),
                                                 deadline_us, expected_us)
                   ? SERVING_END_FITS
                   : SERVING_END_TOO_LATE;
    }
    if (now_us + MAX(bound_us, expected_us) >= end->proof_end_us) {
        return SERVING_END_TOO_LATE;
    }
    return bound_us == 0 ? SERVING_END_UNKNOWN : SERVING_END_FITS;
}

/// Returns the latest time at which a request may start. One whose deadline
/// passes before the end isn't broken off by it, whatever it takes. Another
/// one may start if it is expected to finish before the end.
///
/// @param expected_us  time in which such requests finish in most cases; 0 if
///                     none has been observed
int64_t
serving_end_latest_start(int64_t end_us, int64_t deadline_us,
                         int64_t expected_us)
{
    return end_us == SERVING_END_NONE || deadline_us <= end_us
               ? SERVING_END_NONE
               : end_us - expected_us;
}
