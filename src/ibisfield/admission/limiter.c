/// @file
/// Adaptive concurrency limit based on the measured service time. A slow
/// upstream is either slow at any concurrency, and then a lower limit only
/// costs throughput, or it is slow because too many requests run at the same
/// time. A probe distinguishes the two: the limit is lowered for one period,
/// and stays lower only if requests were served faster. Every second probe
/// tests the opposite: a limit that was lowered is raised, and stays higher
/// only if requests were served about as fast.

#include "ibisfield/admission/limiter.h"

#include <glib.h>

#include "ibisfield/base/clock.h"

#define PERIOD_MIN_US (100 * US_PER_MS)
#define PERIOD_MAX_US US_PER_S
/// Length of a period in median service times, so that most requests that end
/// in a period also started under its limit.
#define PERIOD_MEDIANS 3.0
/// A period with fewer completed requests is extended, up to PERIOD_MAX_US.
#define PERIOD_SAMPLES_MIN 20
/// Up to this ratio of measured to baseline service time an upstream counts as
/// healthy.
#define HEALTHY_SLOWDOWN_MAX 1.5
#define LOWER_FACTOR 0.8
/// A lowered limit is kept when the slowdown has fallen below this ratio of
/// its value before. Relative to its value, the slowdown must fall by more
/// than half as much as the limit.
#define LOWER_KEEP_SLOWDOWN_RATIO 0.9
/// Step of a raise, as a fraction of the declared slots.
#define RAISE_STEP_RATIO 0.1
/// A raised limit is kept while the slowdown stays below this ratio of its
/// value before.
#define RAISE_KEEP_SLOWDOWN_RATIO 1.05
/// Periods between two probes while the upstream is slow.
#define COOLDOWN_PERIODS 5
/// Lowest limit as a fraction of the declared slots.
#define LIMIT_MIN_RATIO 0.05

/// Initialises the limit to the declared slots.
void
limiter_init(limiter_t *limiter, uint32_t slots, int64_t now_us)
{
    *limiter = (limiter_t){
        .slots = MAX(slots, 1),
        .limit = MAX(slots, 1),
        .period_start_us = now_us,
    };
}

/// Returns how many requests may run at the same time, at least 1.
uint32_t
limiter_limit(const limiter_t *limiter)
{
    return MAX(1, (uint32_t)limiter->limit);
}

/// Records the start of a request. @p in_flight includes it.
void
limiter_record_start(limiter_t *limiter, uint32_t in_flight)
{
    limiter->peak_in_flight = MAX(limiter->peak_in_flight, in_flight);
}

/// Records the service time of a completed request and the baseline of its
/// kind.
void
limiter_record_completion(limiter_t *limiter, double measured_us,
                          double baseline_us)
{
    limiter->measured_sum_us += measured_us;
    limiter->baseline_sum_us += baseline_us;
    limiter->samples++;
}

/// Records that the upstream shed a request, so the limit is above its
/// capacity.
void
limiter_record_upstream_shed(limiter_t *limiter)
{
    limiter->upstream_shed = true;
}

static void
set_limit(limiter_t *limiter, double limit)
{
    double min_limit = MAX(1, LIMIT_MIN_RATIO * limiter->slots);
    limiter->limit = CLAMP(limit, min_limit, limiter->slots);
}

static double
raise_step(const limiter_t *limiter)
{
    return MAX(1, RAISE_STEP_RATIO * limiter->slots);
}

static void
raise_limit(limiter_t *limiter)
{
    set_limit(limiter, limiter->limit + raise_step(limiter));
}

/// Starts a probe, unless fewer requests ran in the period than the limit
/// allows: then the limit isn't what determines the slowdown.
static void
start_probe(limiter_t *limiter, double slowdown)
{
    bool saturated = limiter->peak_in_flight >= limiter_limit(limiter);
    limiter->slowdown_before = slowdown;
    if (!saturated) {
        return;
    }
    limiter->raise_turn = !limiter->raise_turn;
    if (limiter->limit < limiter->slots && limiter->raise_turn) {
        limiter->probe = LIMITER_PROBE_RAISE;
        raise_limit(limiter);
    }
    else {
        limiter->probe = LIMITER_PROBE_LOWER;
        set_limit(limiter, limiter->limit * LOWER_FACTOR);
    }
}

/// Evaluates the last step of a probe. A successful step is kept and followed
/// by another one, unless the limit has been raised to the declared slots.
/// Otherwise the step is reverted. A probe that is over starts the cooldown.
static void
evaluate_probe(limiter_t *limiter, double slowdown)
{
    if (limiter->probe == LIMITER_PROBE_LOWER) {
        if (slowdown < LOWER_KEEP_SLOWDOWN_RATIO * limiter->slowdown_before) {
            limiter->slowdown_before = slowdown;
            set_limit(limiter, limiter->limit * LOWER_FACTOR);
            return;
        }
        set_limit(limiter, limiter->limit / LOWER_FACTOR);
    }
    else if (slowdown < RAISE_KEEP_SLOWDOWN_RATIO * limiter->slowdown_before) {
        if (limiter->limit < limiter->slots) {
            raise_limit(limiter);
            return;
        }
    }
    else {
        set_limit(limiter, limiter->limit - raise_step(limiter));
    }
    limiter->cooldown_periods = COOLDOWN_PERIODS;
}

static void
adapt(limiter_t *limiter, double slowdown)
{
    if (limiter->upstream_shed) {
        set_limit(limiter, limiter->limit * LOWER_FACTOR);
        limiter->probe = LIMITER_PROBE_NONE;
    }
    else if (slowdown < HEALTHY_SLOWDOWN_MAX) {
        raise_limit(limiter);
        limiter->probe = LIMITER_PROBE_NONE;
        limiter->cooldown_periods = 0;
    }
    else if (limiter->cooldown_periods > 0) {
        limiter->cooldown_periods--;
    }
    else if (limiter->probe == LIMITER_PROBE_NONE) {
        start_probe(limiter, slowdown);
    }
    else {
        evaluate_probe(limiter, slowdown);
        if (limiter->cooldown_periods > 0) {
            limiter->probe = LIMITER_PROBE_NONE;
        }
    }
}

/// Ends the period if it is over and returns whether it was. A period without
/// completed requests raises the limit, so that a low limit doesn't persist
/// without traffic.
///
/// @param median_us  median service time at the upstream
bool
limiter_tick(limiter_t *limiter, int64_t now_us, double median_us)
{
    int64_t period_us = (int64_t)CLAMP(PERIOD_MEDIANS * median_us,
                                       PERIOD_MIN_US, PERIOD_MAX_US);
    int64_t elapsed_us = now_us - limiter->period_start_us;
    if (elapsed_us < period_us ||
        (limiter->samples < PERIOD_SAMPLES_MIN && elapsed_us < PERIOD_MAX_US))
    {
        return false;
    }
    adapt(limiter, limiter->baseline_sum_us > 0
                       ? limiter->measured_sum_us / limiter->baseline_sum_us
                       : 1);
    limiter->period_start_us = now_us;
    limiter->measured_sum_us = 0;
    limiter->baseline_sum_us = 0;
    limiter->samples = 0;
    limiter->peak_in_flight = 0;
    limiter->upstream_shed = false;
    return true;
}
