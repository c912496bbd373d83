/// @file
/// Learned service times of one upstream, by kind.

#include "ibisfield/admission/service_time.h"

#include <glib.h>
#include <math.h>

/// Weight of one sample in the moving averages.
#define WEIGHT 0.05
/// Step of the median estimate, as a share of it.
#define MEDIAN_STEP 0.02
/// A kind is long when its mean is this many times the median of all requests.
#define LONG_FACTOR 8.0
/// Deviations above the mean that a request is given to finish: with
/// exponential times about nine of ten finish within it.
#define NEEDED_DEVIATIONS 1.5
/// A period teaches the usual time only with this many samples.
#define PERIOD_SAMPLES_MIN 8
/// Growth of the usual time in each period without a lower mean: 2% a second
/// at ten periods a second, so that a lasting change becomes usual in minutes.
#define USUAL_GROWTH 1.002

/// Learns the time of one completed request.
void
service_time_record(service_time_t *times, uint32_t kind, int64_t service_us)
{
    kind_time_t *learned = &times->kinds[kind];
    double sample_us = (double)MAX(service_us, 1);
    if (learned->mean_us == 0) {
        learned->mean_us = sample_us;
        learned->deviation_us = sample_us / 2;
    }
    double distance_us = sample_us - learned->mean_us;
    learned->mean_us += WEIGHT * distance_us;
    learned->deviation_us +=
        WEIGHT * (fabs(distance_us) - learned->deviation_us);
    learned->period_sum_us += sample_us;
    learned->period_count++;
    if (times->mean_us == 0) {
        times->mean_us = sample_us;
    }
    times->mean_us += WEIGHT * (sample_us - times->mean_us);
}

/// Counts the arrival of a request for the median. Arrivals are used instead
/// of completions, because long kinds that hold all slots would otherwise
/// become the median and no longer count as long.
void
service_time_record_arrival(service_time_t *times, uint32_t kind)
{
    double mean_us = times->kinds[kind].mean_us;
    if (mean_us == 0) {
        return;
    }
    if (times->median_us == 0) {
        times->median_us = mean_us;
    }
    times->median_us *=
        mean_us > times->median_us ? 1 + MEDIAN_STEP : 1 - MEDIAN_STEP;
}

/// Mean time of a kind, 0 if nothing was learned.
double
service_time_mean_us(const service_time_t *times, uint32_t kind)
{
    return times->kinds[kind].mean_us;
}

/// Time within which most requests of a kind finish, 0 if nothing was learned.
double
service_time_upper_us(const service_time_t *times, uint32_t kind)
{
    const kind_time_t *learned = &times->kinds[kind];
    return learned->mean_us + NEEDED_DEVIATIONS * learned->deviation_us;
}

/// Time of a kind when the upstream is healthy, 0 if nothing was learned.
double
service_time_baseline_us(const service_time_t *times, uint32_t kind)
{
    return times->kinds[kind].baseline_us;
}

/// Whether the kind takes many times longer than most requests.
bool
service_time_is_long(const service_time_t *times, uint32_t kind)
{
    return times->median_us > 0 &&
           times->kinds[kind].mean_us > LONG_FACTOR * times->median_us;
}

static void
end_kind_period(kind_time_t *learned)
{
    if (learned->period_count < PERIOD_SAMPLES_MIN) {
        return;
    }
    double mean_us = learned->period_sum_us / learned->period_count;
    if (learned->baseline_us == 0 || mean_us < learned->baseline_us) {
        learned->baseline_us = mean_us;
    }
    else {
        learned->baseline_us =
            MIN(mean_us, learned->baseline_us * USUAL_GROWTH);
    }
    learned->period_sum_us = 0;
    learned->period_count = 0;
}

/// Ends a period of the usual times. Kinds with few samples go on collecting.
void
service_time_end_period(service_time_t *times)
{
    for (uint32_t i = 0; i < SERVICE_TIME_KINDS_MAX; i++) {
        end_kind_period(&times->kinds[i]);
    }
}
