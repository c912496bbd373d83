/// @file
/// The measures that section 1.6 of the design page defines, computed from the
/// totals of one run.

#include "common/measure.h"

/// Fraction of the baseline from which a run counts as recovered.
#define RECOVERY_FRACTION 0.95
/// Length of the sliding window of the served fraction, in buckets.
#define RECOVERY_BUCKETS 2
/// The baseline excludes the start of the run.
#define BASELINE_FROM_US US_PER_S

static double
ratio(double numerator, double denominator)
{
    return denominator > 0 ? numerator / denominator : 1;
}

static double
goodput(const sim_t *sim)
{
    double useful_us = 0;
    double slots = 0;
    for (uint32_t i = 0; i < sim->deployment->service_count; i++) {
        useful_us += sim->totals.useful_us[i];
        slots += sim->deployment->services[i].servers *
                 sim->deployment->services[i].slots;
    }
    const scenario_t *scenario = sim->scenario;
    return useful_us /
           (slots * (double)(scenario->end_us - scenario->measure_from_us));
}

static double
highest_worth_served(const sim_t *sim)
{
    const deployment_t *deployment = sim->deployment;
    double window_us =
        (double)(sim->scenario->end_us - sim->scenario->measure_from_us);
    for (uint32_t i = 0; i < deployment->kind_count; i++) {
        const kind_spec_t *kind = &deployment->kinds[i];
        if (!kind->highest_worth) {
            continue;
        }
        const service_spec_t *service = &deployment->services[kind->service];
        double capacity = service->servers * service->slots * window_us /
                          deployment_hold_us(deployment, i);
        double offered = (double)sim->totals.offered[i];
        // Above capacity, only requests that end in the window count: those
        // still queued at its end are served afterwards by idle slots.
        return offered <= capacity
                   ? ratio((double)sim->totals.served[i], offered)
                   : (double)sim->totals.completed[i] / capacity;
    }
    return 1;
}

static double
served_fraction(const sim_t *sim, int64_t first, uint32_t count)
{
    double offered = 0;
    double served = 0;
    for (int64_t i = first; i < first + count && i < BUCKETS_MAX; i++) {
        offered += (double)sim->totals.bucket_offered[i];
        served += (double)sim->totals.bucket_served[i];
    }
    return ratio(served, offered);
}

/// Returns the time from the end of the disturbance until the served fraction
/// stays near its baseline, or -1 if it does not within the run.
static double
recovery_s(const sim_t *sim)
{
    const scenario_t *scenario = sim->scenario;
    int64_t end = scenario->disturbance_end_us / BUCKET_US;
    int64_t from = BASELINE_FROM_US / BUCKET_US;
    if (end == 0) {
        return 0;
    }
    double baseline = served_fraction(
        sim, from,
        (uint32_t)(scenario->disturbance_from_us / BUCKET_US - from));
    int64_t recovered = end;
    int64_t last = scenario->end_us / BUCKET_US - RECOVERY_BUCKETS;
    for (int64_t i = end; i <= last; i++) {
        if (served_fraction(sim, i, RECOVERY_BUCKETS) <
            RECOVERY_FRACTION * baseline) {
            recovered = i + 1;
        }
    }
    return recovered > last ? -1
                            : (double)(recovered - end) * BUCKET_US / US_PER_S;
}

static gint
compare_doubles(gconstpointer a, gconstpointer b)
{
    double left = *(const double *)a;
    double right = *(const double *)b;
    return left < right ? -1 : left > right ? 1 : 0;
}

static double
p99(GArray *values)
{
    if (values->len == 0) {
        return 0;
    }
    g_array_sort(values, compare_doubles);
    return g_array_index(values, double, (guint)(0.99 * values->len));
}

static uint32_t
worth_class(int32_t worth)
{
    return worth >= 80 ? 0 : worth >= 40 ? 1 : 2;
}

static void
measure_classes(const sim_t *sim, measures_t *measures)
{
    double offered[WORTH_CLASS_COUNT] = {0};
    double served[WORTH_CLASS_COUNT] = {0};
    for (uint32_t i = 0; i < sim->deployment->kind_count; i++) {
        uint32_t class_index = worth_class(sim->deployment->kinds[i].worth);
        offered[class_index] += (double)sim->totals.surge_offered[i];
        served[class_index] += (double)sim->totals.surge_served[i];
        measures->served[i] = ratio((double)sim->totals.served[i],
                                    (double)sim->totals.offered[i]);
    }
    for (uint32_t i = 0; i < WORTH_CLASS_COUNT; i++) {
        measures->surge_served[i] = ratio(served[i], offered[i]);
    }
}

static double
short_served(const sim_t *sim)
{
    double offered = 0;
    double served = 0;
    for (uint32_t i = 0; i < sim->deployment->kind_count; i++) {
        if (!sim->deployment->kinds[i].is_long) {
            offered += (double)sim->totals.offered[i];
            served += (double)sim->totals.served[i];
        }
    }
    return ratio(served, offered);
}

void
measure(const sim_t *sim, measures_t *measures)
{
    const run_totals_t *totals = &sim->totals;
    *measures = (measures_t){
        .goodput = goodput(sim),
        .highest_worth_served = highest_worth_served(sim),
        .failed_work =
            totals->work_us > 0 ? totals->failed_work_us / totals->work_us : 0,
        .attempts_run =
            ratio((double)totals->attempts_run, (double)totals->roots),
        .attempts_sent =
            ratio((double)totals->attempts_sent, (double)totals->roots),
        .short_served = short_served(sim),
        .max_attempts = (double)totals->max_attempts,
        .recovery_s = recovery_s(sim),
        .p99_slowdown = p99(totals->short_slowdowns),
    };
    measure_classes(sim, measures);
    for (uint32_t i = 0; i < sim->deployment->service_count; i++) {
        const service_spec_t *service = &sim->deployment->services[i];
        double capacity_us =
            service->servers * service->slots *
            (double)(sim->scenario->end_us - sim->scenario->measure_from_us);
        measures->service_goodput[i] = totals->useful_us[i] / capacity_us;
        measures->utilisation[i] = totals->busy_us[i] / capacity_us;
    }
}
