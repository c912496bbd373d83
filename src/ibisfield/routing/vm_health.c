/// @file
/// Speed and failures of one VM as its own attempts show them. Nothing here
/// depends on what the VM reports about itself.

#include "ibisfield/routing/vm_health.h"

#include <glib.h>
#include <math.h>

#include "ibisfield/base/clock.h"

#define SLOWNESS_WEIGHT 0.05
/// Time constant of the count of recent picks.
#define PICKS_DECAY_US (500.0 * US_PER_MS)
/// The outstanding attempts say something about the speed from this number on.
#define OUTSTANDING_MIN 10
#define SAMPLES_MIN 10
/// A VM this many times slower than the fastest of its service is ejected.
#define SLOW_FACTOR 3.0
/// How long a refusal shows that the VM is overloaded, not slow.
#define OVERLOAD_LIFE_US (500 * US_PER_MS)
/// Failures in a row that eject.
#define FAILURES_MAX 5
#define PROBE_DELAY_US (250 * US_PER_MS)
/// Longest time between two probes: a VM that has recovered must be back
/// within the 2 s of the recovery target, and each probe of one that hasn't is
/// a slow answer.
#define PROBE_DELAY_MAX_US (1500 * US_PER_MS)
#define SLOW_START_US (2 * US_PER_S)
/// How much longer a VM at the beginning of its slow start is taken to need.
#define SLOW_START_FACTOR 4.0

/// Initialises the health of a VM that has just been listed.
void
vm_health_init(vm_health_t *health, int64_t now_us)
{
    *health = (vm_health_t){
        .slowness = 1,
        .picks_updated_us = now_us,
        .slow_start_since_us = now_us,
        .last_refusal_us = INT64_MIN / 2,
    };
}

static double
picks_at(const vm_health_t *health, int64_t now_us)
{
    return health->recent_picks *
           exp((double)(health->picks_updated_us - now_us) / PICKS_DECAY_US);
}

/// Counts an attempt as outstanding.
void
vm_health_record_pick(vm_health_t *health, int64_t now_us)
{
    health->recent_picks = picks_at(health, now_us) + 1;
    health->picks_updated_us = now_us;
    health->outstanding++;
}

static void
learn_slowness(vm_health_t *health, double ratio)
{
    health->samples++;
    double weight = MAX(SLOWNESS_WEIGHT, 1.0 / health->samples);
    health->slowness += weight * (ratio - health->slowness);
}

/// Whether a guard refused an attempt lately.
bool
vm_health_is_overloaded(const vm_health_t *health, int64_t now_us)
{
    return now_us - health->last_refusal_us < OVERLOAD_LIFE_US;
}

/// A guard refused an attempt for overload. Its latencies are then those of
/// its queue and say nothing about its speed.
void
vm_health_record_refusal(vm_health_t *health, int64_t now_us)
{
    health->last_refusal_us = now_us;
}

/// An attempt was answered. @p mean_us is the mean of its kind over all VMs.
void
vm_health_record_response(vm_health_t *health, int64_t latency_us,
                          double mean_us, int64_t now_us)
{
    health->consecutive_failures = 0;
    if (vm_health_is_overloaded(health, now_us)) {
        return;
    }
    health->mean_latency_us +=
        SLOWNESS_WEIGHT * ((double)latency_us - health->mean_latency_us);
    if (mean_us > 0) {
        learn_slowness(health, (double)latency_us / mean_us);
    }
}

/// An attempt was stopped after @p latency_us: its answer would have taken
/// longer still.
void
vm_health_record_cancel(vm_health_t *health, int64_t latency_us,
                        double mean_us, int64_t now_us)
{
    double ratio = mean_us > 0 ? (double)latency_us / mean_us : 0;
    if (ratio > health->slowness && !vm_health_is_overloaded(health, now_us)) {
        learn_slowness(health, ratio);
    }
}

/// An attempt failed.
void
vm_health_record_failure(vm_health_t *health)
{
    health->consecutive_failures++;
}

/// Latency of the VM over the mean. By Little's law the outstanding attempts
/// over the rate of picks show a slow VM before its first late answer.
double
vm_health_slowness(const vm_health_t *health, int64_t now_us)
{
    double picks = picks_at(health, now_us);
    if (vm_health_is_overloaded(health, now_us) ||
        health->outstanding < OUTSTANDING_MIN ||
        health->mean_latency_us <= 0 || picks <= 0)
    {
        return health->slowness;
    }
    double pending_us = health->outstanding * PICKS_DECAY_US / picks;
    return MAX(health->slowness, pending_us / health->mean_latency_us);
}

/// Whether the last attempts at the VM all failed.
bool
vm_health_is_failing(const vm_health_t *health)
{
    return health->consecutive_failures >= FAILURES_MAX;
}

/// Whether the VM is much slower than the best one of its service.
bool
vm_health_is_slow(const vm_health_t *health, double best_slowness,
                  int64_t now_us)
{
    return health->samples >= SAMPLES_MIN &&
           vm_health_slowness(health, now_us) > SLOW_FACTOR * best_slowness;
}

/// Takes the VM out until a probe of it succeeds.
void
vm_health_eject(vm_health_t *health, int64_t now_us)
{
    int64_t delay_us = PROBE_DELAY_US << MIN(health->consecutive_ejections, 3);
    health->ejected = true;
    health->probing = false;
    health->consecutive_ejections++;
    health->probe_due_us = now_us + MIN(delay_us, PROBE_DELAY_MAX_US);
}

/// The attempt that is being picked is the probe.
void
vm_health_start_probe(vm_health_t *health, int64_t now_us)
{
    health->probing = true;
    health->probe_sent_us = now_us;
}

/// Whether an attempt sent at @p sent_us is the probe and not one from before
/// the ejection.
bool
vm_health_is_probe(const vm_health_t *health, int64_t sent_us)
{
    return health->probing && sent_us >= health->probe_sent_us;
}

/// The probe of an ejected VM has ended. After a good one the VM comes back
/// with a slow start.
void
vm_health_end_probe(vm_health_t *health, bool good, int64_t now_us)
{
    if (!good) {
        vm_health_eject(health, now_us);
        return;
    }
    uint32_t outstanding = health->outstanding;
    vm_health_init(health, now_us);
    health->outstanding = outstanding;
}

/// Whether an ejected VM may get one attempt as a probe.
bool
vm_health_is_probe_due(const vm_health_t *health, int64_t now_us)
{
    return health->ejected && !health->probing &&
           now_us >= health->probe_due_us;
}

/// Factor on the expected time: above 1 during the slow start.
double
vm_health_slow_start_factor(const vm_health_t *health, int64_t now_us)
{
    int64_t age_us = now_us - health->slow_start_since_us;
    if (age_us >= SLOW_START_US) {
        return 1;
    }
    double left = 1 - (double)age_us / SLOW_START_US;
    return 1 + (SLOW_START_FACTOR - 1) * left;
}
