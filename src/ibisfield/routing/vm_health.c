/// @file
/// Speed and failures of one VM, measured by the attempts that this node sends
/// and independent of what the VM reports about itself.

#include "ibisfield/routing/vm_health.h"

#include <glib.h>
#include <math.h>

#include "ibisfield/base/clock.h"

/// Weight of a response in the moving averages of slowness and latency.
#define SAMPLE_WEIGHT 0.05
/// Time constant of the decaying count of recent picks.
#define PICKS_TIME_CONSTANT_US (500.0 * US_PER_MS)
/// With fewer outstanding attempts their number says too little about the
/// speed of the VM.
#define LITTLES_LAW_OUTSTANDING_MIN 10
#define SLOWNESS_SAMPLES_MIN 10
/// A VM that is more than this many times slower than the fastest VM of its
/// service is ejected.
#define EJECTION_SLOWNESS_RATIO 3.0
/// How long a VM counts as overloaded after a refusal, so that its latencies
/// aren't taken for slowness.
#define OVERLOAD_TTL_US (500 * US_PER_MS)
/// Consecutive failures after which a VM is ejected.
#define EJECTION_FAILURES 5
/// Delay of the first probe after an ejection; it doubles with each failed
/// probe.
#define PROBE_DELAY_US (250 * US_PER_MS)
/// Upper bound of the delay between two probes: a VM that has recovered must
/// be in use again within the recovery target of 2 s. Probing more often would
/// cost more slow responses while a VM hasn't recovered.
#define PROBE_DELAY_MAX_US (1500 * US_PER_MS)
#define SLOW_START_US (2 * US_PER_S)
/// Factor on the expected time at the beginning of the slow start; it falls
/// linearly to 1.
#define SLOW_START_FACTOR 4.0

/// Initialises the health of a VM that has just been added to the picker.
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
get_recent_picks(const vm_health_t *health, int64_t now_us)
{
    return health->recent_picks *
           exp((double)(health->picks_updated_us - now_us) /
               PICKS_TIME_CONSTANT_US);
}

/// Counts an attempt as outstanding.
void
vm_health_record_pick(vm_health_t *health, int64_t now_us)
{
    health->recent_picks = get_recent_picks(health, now_us) + 1;
    health->picks_updated_us = now_us;
    health->outstanding++;
}

static void
add_slowness_sample(vm_health_t *health, double ratio)
{
    health->samples++;
    double weight = MAX(SAMPLE_WEIGHT, 1.0 / health->samples);
    health->slowness += weight * (ratio - health->slowness);
}

/// Returns whether the guard of the VM refused an attempt for overload lately.
bool
vm_health_is_overloaded(const vm_health_t *health, int64_t now_us)
{
    return now_us - health->last_refusal_us < OVERLOAD_TTL_US;
}

/// Records that the guard refused an attempt for overload. Latencies then
/// reflect the guard's queue and not the speed of the VM.
void
vm_health_record_refusal(vm_health_t *health, int64_t now_us)
{
    health->last_refusal_us = now_us;
}

/// Records a response.
///
/// @param mean_us  mean latency of the kind over all VMs
void
vm_health_record_response(vm_health_t *health, int64_t latency_us,
                          double mean_us, int64_t now_us)
{
    health->consecutive_failures = 0;
    if (vm_health_is_overloaded(health, now_us)) {
        return;
    }
    health->mean_latency_us +=
        SAMPLE_WEIGHT * ((double)latency_us - health->mean_latency_us);
    if (mean_us > 0) {
        add_slowness_sample(health, (double)latency_us / mean_us);
    }
}

/// Records that an attempt was cancelled after @p latency_us: its response
/// would have taken even longer.
void
vm_health_record_cancel(vm_health_t *health, int64_t latency_us,
                        double mean_us, int64_t now_us)
{
    double ratio = mean_us > 0 ? (double)latency_us / mean_us : 0;
    if (ratio > health->slowness && !vm_health_is_overloaded(health, now_us)) {
        add_slowness_sample(health, ratio);
    }
}

/// Records a failed attempt.
void
vm_health_record_failure(vm_health_t *health)
{
    health->consecutive_failures++;
}

/// Returns how slow the VM is: its latency divided by the mean latency of the
/// same kinds over all VMs. By Little's law the outstanding attempts divided
/// by the rate of picks are the current latency. Compared with the VM's moving
/// average, it reveals a VM that becomes slow before the first late response.
double
vm_health_slowness(const vm_health_t *health, int64_t now_us)
{
    double picks = get_recent_picks(health, now_us);
    if (vm_health_is_overloaded(health, now_us) ||
        health->outstanding < LITTLES_LAW_OUTSTANDING_MIN ||
        health->mean_latency_us <= 0 || picks <= 0)
    {
        return health->slowness;
    }
    double current_latency_us =
        health->outstanding * PICKS_TIME_CONSTANT_US / picks;
    return MAX(health->slowness, current_latency_us / health->mean_latency_us);
}

/// Returns whether the last EJECTION_FAILURES attempts at the VM all failed.
bool
vm_health_is_failing(const vm_health_t *health)
{
    return health->consecutive_failures >= EJECTION_FAILURES;
}

/// Returns whether the VM is much slower than the fastest VM of its service.
bool
vm_health_is_slow(const vm_health_t *health, double lowest_slowness,
                  int64_t now_us)
{
    return health->samples >= SLOWNESS_SAMPLES_MIN &&
           vm_health_slowness(health, now_us) >
               EJECTION_SLOWNESS_RATIO * lowest_slowness;
}

/// Takes the VM out of use until a probe of it succeeds.
void
vm_health_eject(vm_health_t *health, int64_t now_us)
{
    int64_t delay_us = PROBE_DELAY_US << MIN(health->consecutive_ejections, 3);
    health->ejected = true;
    health->probing = false;
    health->consecutive_ejections++;
    health->probe_due_us = now_us + MIN(delay_us, PROBE_DELAY_MAX_US);
}

/// Marks the attempt that is being picked as the probe.
void
vm_health_start_probe(vm_health_t *health, int64_t now_us)
{
    health->probing = true;
    health->probe_sent_us = now_us;
}

/// Returns whether an attempt sent at @p sent_us is the probe and not one from
/// before the ejection.
bool
vm_health_is_probe(const vm_health_t *health, int64_t sent_us)
{
    return health->probing && sent_us >= health->probe_sent_us;
}

/// Ends the probe of an ejected VM. If it succeeded, the VM is in use again
/// with a slow start, otherwise it stays ejected.
void
vm_health_end_probe(vm_health_t *health, bool succeeded, int64_t now_us)
{
    if (!succeeded) {
        vm_health_eject(health, now_us);
        return;
    }
    uint32_t outstanding = health->outstanding;
    vm_health_init(health, now_us);
    health->outstanding = outstanding;
}

/// Returns whether an ejected VM may get one attempt as a probe.
bool
vm_health_is_probe_due(const vm_health_t *health, int64_t now_us)
{
    return health->ejected && !health->probing &&
           now_us >= health->probe_due_us;
}

/// Returns the factor on the expected time: above 1 during the slow start.
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
