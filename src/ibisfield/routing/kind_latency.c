/// @file
/// Latency statistics by kind, by which VMs are compared and the delay of
/// hedges is chosen.

#include "ibisfield/routing/kind_latency.h"

#include <glib.h>

#include "ibisfield/base/clock.h"

/// Weight of one sample in the moving average.
#define MEAN_SAMPLE_WEIGHT 0.02
#define TAIL_QUANTILE 0.95
/// Step of the percentile estimate, as a fraction of the mean.
#define TAIL_STEP 0.1
#define HEDGE_SAMPLES_MIN 20
/// A hedge is sent after the 95th percentile, but not before this many mean
/// latencies, so that few requests cost a second attempt.
#define HEDGE_MEAN_RATIO_MIN 1.5
/// No hedges are sent for this long after a refusal: they would add to an
/// overload.
#define HEDGE_PAUSE_US US_PER_S

static kind_latency_t *
find_or_replace(kind_latencies_t *latencies, uint64_t kind)
{
    kind_latency_t *slot = &latencies->slots[kind % KIND_LATENCY_SLOTS];
    if (slot->kind != kind) {
        // No refusal yet. Half of INT64_MIN, so that the difference to the
        // current time doesn't overflow.
        *slot =
            (kind_latency_t){.kind = kind, .last_refusal_us = INT64_MIN / 2};
    }
    return slot;
}

static const kind_latency_t *
find(const kind_latencies_t *latencies, uint64_t kind)
{
    const kind_latency_t *slot = &latencies->slots[kind % KIND_LATENCY_SLOTS];
    return slot->kind == kind && slot->samples > 0 ? slot : NULL;
}

/// Records the latency of one response.
void
kind_latency_record(kind_latencies_t *latencies, uint64_t kind,
                    int64_t latency_us)
{
    kind_latency_t *slot = find_or_replace(latencies, kind);
    double sample_us = (double)MAX(latency_us, 1);
    slot->samples++;
    duration_bound_record(&slot->bound, latency_us);
    double weight = MAX(MEAN_SAMPLE_WEIGHT, 1.0 / slot->samples);
    slot->mean_us += weight * (sample_us - slot->mean_us);
    double step_us = TAIL_STEP * slot->mean_us;
    slot->p95_us = MAX(slot->p95_us, slot->mean_us);
    slot->p95_us += sample_us > slot->p95_us ? step_us * TAIL_QUANTILE
                                             : -step_us * (1 - TAIL_QUANTILE);
}

/// Records that a guard refused the kind for overload.
void
kind_latency_record_refusal(kind_latencies_t *latencies, uint64_t kind,
                            int64_t now_us)
{
    find_or_replace(latencies, kind)->last_refusal_us = now_us;
}

/// Returns the mean latency of the kind, 0 if none was recorded.
double
kind_latency_mean_us(const kind_latencies_t *latencies, uint64_t kind)
{
    const kind_latency_t *slot = find(latencies, kind);
    return slot == NULL ? 0 : slot->mean_us;
}

/// Returns the time in which most requests of the kind get their response, 0
/// if none was recorded.
double
kind_latency_upper_us(const kind_latencies_t *latencies, uint64_t kind)
{
    const kind_latency_t *slot = find(latencies, kind);
    return slot == NULL ? 0 : slot->p95_us;
}

/// Returns the time in which all requests of the kind get their response, by
/// those that were timed; 0 if none was.
int64_t
kind_latency_bound_us(const kind_latencies_t *latencies, uint64_t kind)
{
    const kind_latency_t *slot = find(latencies, kind);
    return slot == NULL ? 0 : duration_bound_us(&slot->bound);
}

/// Returns the delay after which to send a hedge; 0 means no hedge.
int64_t
kind_latency_hedge_delay_us(const kind_latencies_t *latencies, uint64_t kind,
                            int64_t now_us)
{
    const kind_latency_t *slot = find(latencies, kind);
    if (slot == NULL || slot->samples < HEDGE_SAMPLES_MIN ||
        now_us - slot->last_refusal_us < HEDGE_PAUSE_US)
    {
        return 0;
    }
    return (int64_t)MAX(slot->p95_us, HEDGE_MEAN_RATIO_MIN * slot->mean_us);
}
