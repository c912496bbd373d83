/// @file
/// Estimates of service times at one upstream, by kind.

#include "ibisfield/admission/service_time.h"

#include <glib.h>
#include <math.h>

/// Weight of one sample in the moving averages.
#define SAMPLE_WEIGHT 0.05
/// Step of the median estimate, as a fraction of it.
#define MEDIAN_STEP_RATIO 0.02
/// A kind is long when its mean exceeds the median over all requests by this
/// factor.
#define LONG_FACTOR 8.0
/// Most requests finish within the mean plus this many times the mean absolute
/// deviation: about nine of ten when service times are distributed
/// exponentially.
#define UPPER_DEVIATIONS 1.5
/// Fewest samples from which a period updates the baseline.
#define PERIOD_SAMPLES_MIN 8
/// Largest factor by which the baseline grows in a period: 2% a second at ten
/// periods a second, so that it adopts a lasting change within minutes.
#define BASELINE_GROWTH 1.002

/// Records the service time of a completed request.
void
service_time_record(service_time_t *times, uint32_t kind_index,
                    int64_t service_us)
{
    kind_time_t *kind_time = &times->kinds[kind_index];
    double sample_us = (double)MAX(service_us, 1);
    if (kind_time->mean_us == 0) {
        kind_time->mean_us = sample_us;
        kind_time->deviation_us = sample_us / 2;
    }
    double distance_us = sample_us - kind_time->mean_us;
    kind_time->mean_us += SAMPLE_WEIGHT * distance_us;
    kind_time->deviation_us +=
        SAMPLE_WEIGHT * (fabs(distance_us) - kind_time->deviation_us);
    kind_time->period_sum_us += sample_us;
    kind_time->period_count++;
    duration_bound_record(&kind_time->bound, service_us);
    if (times->mean_us == 0) {
        times->mean_us = sample_us;
    }
    times->mean_us += SAMPLE_WEIGHT * (sample_us - times->mean_us);
}

/// Updates the median on the arrival of a request. The median is taken over
/// arrivals instead of completions, because long kinds that occupy all slots
/// would otherwise become the median and no longer count as long.
void
service_time_record_arrival(service_time_t *times, uint32_t kind_index)
{
    double mean_us = times->kinds[kind_index].mean_us;
    if (mean_us == 0) {
        return;
    }
    if (times->median_us == 0) {
        times->median_us = mean_us;
    }
    times->median_us *= mean_us > times->median_us ? 1 + MEDIAN_STEP_RATIO
                                                   : 1 - MEDIAN_STEP_RATIO;
}

/// Returns the mean service time of a kind, 0 if it has no samples.
double
service_time_mean_us(const service_time_t *times, uint32_t kind_index)
{
    return times->kinds[kind_index].mean_us;
}

/// Returns the time within which most requests of a kind finish, 0 if it has
/// no samples.
double
service_time_upper_us(const service_time_t *times, uint32_t kind_index)
{
    const kind_time_t *kind_time = &times->kinds[kind_index];
    return kind_time->mean_us + UPPER_DEVIATIONS * kind_time->deviation_us;
}

/// Returns the time within which all requests of a kind finish, by those that
/// were timed; 0 if it has no samples.
int64_t
service_time_bound_us(const service_time_t *times, uint32_t kind_index)
{
    return duration_bound_us(&times->kinds[kind_index].bound);
}

/// Returns the mean service time of a kind at a healthy upstream, 0 if
/// unknown.
double
service_time_baseline_us(const service_time_t *times, uint32_t kind_index)
{
    return times->kinds[kind_index].baseline_us;
}

/// Returns whether the kind takes many times longer than most requests.
bool
service_time_is_long(const service_time_t *times, uint32_t kind_index)
{
    return times->median_us > 0 &&
           times->kinds[kind_index].mean_us > LONG_FACTOR * times->median_us;
}

static void
end_kind_period(kind_time_t *kind_time)
{
    if (kind_time->period_count < PERIOD_SAMPLES_MIN) {
        return;
    }
    double mean_us = kind_time->period_sum_us / kind_time->period_count;
    if (kind_time->baseline_us == 0 || mean_us < kind_time->baseline_us) {
        kind_time->baseline_us = mean_us;
    }
    else {
        kind_time->baseline_us =
            MIN(mean_us, kind_time->baseline_us * BASELINE_GROWTH);
    }
    kind_time->period_sum_us = 0;
    kind_time->period_count = 0;
}

/// Ends a period and updates the baselines. Kinds with too few samples keep
/// them for the next period.
void
service_time_end_period(service_time_t *times)
{
    for (uint32_t i = 0; i < SERVICE_TIME_KINDS_MAX; i++) {
        end_kind_period(&times->kinds[i]);
    }
}
