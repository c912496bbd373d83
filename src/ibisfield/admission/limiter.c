/// @file
/// Concurrency limit that follows the measured service time. A slow upstream
/// is either slow at any concurrency, then fewer requests only cost
/// throughput, or it is slow because too many run at once. A trial tells the
/// two apart: the limit is lowered for one period, and stays lower only if the
/// requests were served faster.

#include "ibisfield/admission/limiter.h"

#include <glib.h>

#include "ibisfield/base/clock.h"

#define PERIOD_MIN_US (100 * US_PER_MS)
#define PERIOD_MAX_US US_PER_S
/// A period lasts this many median service times, so that most requests that
/// end in it also started under its limit.
#define PERIOD_SERVICE_TIMES 3.0
#define SAMPLES_MIN 20
/// Service times up to this many times the usual ones are healthy.
#define HEALTHY_SLOWNESS 1.5
#define LOWER_FACTOR 0.8
/// A trial is kept when the slowness fell by half of what the limit fell.
#define LOWER_GAIN 0.9
#define RAISE_SHARE 0.1
/// A raise is kept while the slowness grows by less than this.
#define RAISE_LOSS 1.05
/// Periods between two trials while the upstream is slow.
#define HOLD_PERIODS 5
/// The limit never falls below this share of the declared slots.
#define FLOOR_SHARE 0.05

/// Initialises the limit with the declared slots.
void
limiter_init(limiter_t *limiter, uint32_t slots, int64_t now_us)
{
    *limiter = (limiter_t){
        .slots = MAX(slots, 1),
        .limit = MAX(slots, 1),
        .period_start_us = now_us,
    };
}

/// Returns the requests that may run at the same time, at least 1.
uint32_t
limiter_limit(const limiter_t *limiter)
{
    return MAX(1, (uint32_t)limiter->limit);
}

/// A request has started; @p in_flight counts it.
void
limiter_record_start(limiter_t *limiter, uint32_t in_flight)
{
    limiter->peak_in_flight = MAX(limiter->peak_in_flight, in_flight);
}

/// Learns the time of a completed request and the usual time of its kind.
void
limiter_record_completion(limiter_t *limiter, double actual_us,
                          double usual_us)
{
    limiter->measured_sum_us += actual_us;
    limiter->baseline_sum_us += usual_us;
    limiter->samples++;
}

/// The upstream refused a request: the limit is above what it takes.
void
limiter_record_upstream_shed(limiter_t *limiter)
{
    limiter->upstream_shed = true;
}

static void
set_limit(limiter_t *limiter, double limit)
{
    double floor = MAX(1, FLOOR_SHARE * limiter->slots);
    limiter->limit = CLAMP(limit, floor, limiter->slots);
}

static double
raise_step(const limiter_t *limiter)
{
    return MAX(1, RAISE_SHARE * limiter->slots);
}

static void
raise_limit(limiter_t *limiter)
{
    set_limit(limiter, limiter->limit + raise_step(limiter));
}

static void
start_trial(limiter_t *limiter, double slowness)
{
    bool saturated = limiter->peak_in_flight >= limiter_limit(limiter);
    limiter->slowdown_before = slowness;
    if (!saturated) {
        return;
    }
    limiter->raise_next = !limiter->raise_next;
    if (limiter->limit < limiter->slots && limiter->raise_next) {
        limiter->probe = LIMITER_PROBE_RAISE;
        raise_limit(limiter);
    }
    else {
        limiter->probe = LIMITER_PROBE_LOWER;
        set_limit(limiter, limiter->limit * LOWER_FACTOR);
    }
}

static void
judge_trial(limiter_t *limiter, double slowness)
{
    if (limiter->probe == LIMITER_PROBE_LOWER) {
        if (slowness < LOWER_GAIN * limiter->slowdown_before) {
            limiter->slowdown_before = slowness;
            set_limit(limiter, limiter->limit * LOWER_FACTOR);
            return;
        }
        set_limit(limiter, limiter->limit / LOWER_FACTOR);
    }
    else if (slowness < RAISE_LOSS * limiter->slowdown_before) {
        if (limiter->limit < limiter->slots) {
            raise_limit(limiter);
            return;
        }
    }
    else {
        set_limit(limiter, limiter->limit - raise_step(limiter));
    }
    limiter->cooldown_periods = HOLD_PERIODS;
}

static void
adapt(limiter_t *limiter, double slowness)
{
    if (limiter->upstream_shed) {
        set_limit(limiter, limiter->limit * LOWER_FACTOR);
        limiter->probe = LIMITER_PROBE_NONE;
    }
    else if (slowness < HEALTHY_SLOWNESS) {
        raise_limit(limiter);
        limiter->probe = LIMITER_PROBE_NONE;
        limiter->cooldown_periods = 0;
    }
    else if (limiter->cooldown_periods > 0) {
        limiter->cooldown_periods--;
    }
    else if (limiter->probe == LIMITER_PROBE_NONE) {
        start_trial(limiter, slowness);
    }
    else {
        judge_trial(limiter, slowness);
        if (limiter->cooldown_periods > 0) {
            limiter->probe = LIMITER_PROBE_NONE;
        }
    }
}

/// Ends the period when it is over; returns whether it was. An idle period
/// raises the limit, so that it never stays low.
bool
limiter_tick(limiter_t *limiter, int64_t now_us, double median_us)
{
    int64_t period_us = (int64_t)CLAMP(PERIOD_SERVICE_TIMES * median_us,
                                       PERIOD_MIN_US, PERIOD_MAX_US);
    int64_t elapsed_us = now_us - limiter->period_start_us;
    if (elapsed_us < period_us ||
        (limiter->samples < SAMPLES_MIN && elapsed_us < PERIOD_MAX_US))
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
