/// @file
/// Tells an upstream that sheds because it is full from one that sheds a part
/// of its requests whatever its load. A full upstream sheds the requests that
/// start beside many others, and answers those that start beside fewer. For
/// the other kind the two are alike; a lower limit wouldn't make it shed less,
/// and would leave its slots unused.

#include "ibisfield/admission/shed_cause.h"

#include <glib.h>

#include "ibisfield/base/clock.h"

/// Lowest weight of one shed request in the moving average, which reflects
/// about the last 30.
#define SAMPLE_WEIGHT_MIN 0.03
/// The average begins as if this many requests had been shed by a full
/// upstream.
#define PRIOR_SAMPLES 4
/// Of a full upstream's answered requests nearly all started beside fewer
/// requests than a shed one, of the other kind's about a half.
#define FULL_MIN 0.65
/// After this time without a shed request the evidence is discarded.
#define EVIDENCE_TTL_US (5 * US_PER_S)

/// Records an answered request.
///
/// @param in_flight  requests that ran at the upstream when it started, itself
///                   included
void
shed_cause_record_answer(shed_cause_t *cause, uint32_t in_flight)
{
    cause->answered[cause->next] = in_flight;
    cause->next = (cause->next + 1) % SHED_CAUSE_SAMPLES;
    cause->answered_count = MIN(cause->answered_count + 1, SHED_CAUSE_SAMPLES);
}

/// Returns the fraction of the answered requests that started beside fewer
/// requests; equal numbers count half.
static double
fraction_below(const shed_cause_t *cause, uint32_t in_flight)
{
    if (cause->answered_count == 0) {
        return 1;
    }
    double below = 0;
    for (uint32_t i = 0; i < cause->answered_count; i++) {
        below += cause->answered[i] < in_flight    ? 1
                 : cause->answered[i] == in_flight ? 0.5
                                                   : 0;
    }
    return below / cause->answered_count;
}

/// Records a request that the upstream shed.
void
shed_cause_record_shed(shed_cause_t *cause, uint32_t in_flight, int64_t now_us)
{
    if (cause->last_shed_us == 0 ||
        now_us - cause->last_shed_us > EVIDENCE_TTL_US) {
        cause->fullness = 1;
        cause->shed_count = 0;
    }
    cause->last_shed_us = now_us;
    cause->shed_count++;
    double weight =
        MAX(SAMPLE_WEIGHT_MIN, 1.0 / (PRIOR_SAMPLES + cause->shed_count));
    cause->fullness +=
        weight * (fraction_below(cause, in_flight) - cause->fullness);
}

/// Returns whether the requests that were shed lately were probably shed
/// because the upstream was full. True without evidence.
bool
shed_cause_is_full(const shed_cause_t *cause)
{
    return cause->last_shed_us == 0 || cause->fullness > FULL_MIN;
}
