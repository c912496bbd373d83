/// @file
/// Measures of section 1.6 of the design page, from the sums of one run.

#include "common/measure.h"

#define RECOVERY_SHARE 0.95
/// Goodput is judged over this many buckets at a time.
#define RECOVERY_BUCKETS 2
#define LEVEL_FROM_US US_PER_S

static double
ratio(double part, double whole)
{
    return whole > 0 ? part / whole : 1;
}

static double
goodput(const sim_t *sim)
{
    double useful_us = 0;
    double slots = 0;
    for (uint32_t i = 0; i < sim->deployment->service_count; i++) {
        useful_us += sim->sums.useful_us[i];
        slots += sim->deployment->services[i].servers *
                 sim->deployment->services[i].slots;
    }
    const scenario_t *scenario = sim->scenario;
    return useful_us /
           (slots * (double)(scenario->end_us - scenario->measure_from_us));
}

static double
top_served(const sim_t *sim)
{
    const deployment_t *deployment = sim->deployment;
    double window_us =
        (double)(sim->scenario->end_us - sim->scenario->measure_from_us);
    for (uint32_t i = 0; i < deployment->kind_count; i++) {
        const kind_spec_t *kind = &deployment->kinds[i];
        if (!kind->top) {
            continue;
        }
        const service_spec_t *service = &deployment->services[kind->service];
        double fits = service->servers * service->slots * window_us /
                      deployment_hold_us(deployment, i);
        double offered = (double)sim->sums.offered[i];
        // What doesn't fit is judged by answers in the window: requests that
        // still wait at its end would be served by idle slots afterwards.
        return offered <= fits ? ratio((double)sim->sums.served[i], offered)
                               : (double)sim->sums.answered[i] / fits;
    }
    return 1;
}

static double
served_share(const sim_t *sim, int64_t first, uint32_t count)
{
    double offered = 0;
    double served = 0;
    for (int64_t i = first; i < first + count && i < BUCKETS_MAX; i++) {
        offered += (double)sim->sums.bucket_offered[i];
        served += (double)sim->sums.bucket_served[i];
    }
    return ratio(served, offered);
}

/// Time from the end of the cause until the goodput is back for good.
static double
recovery_s(const sim_t *sim)
{
    const scenario_t *scenario = sim->scenario;
    int64_t end = scenario->slow_end_us / BUCKET_US;
    int64_t from = LEVEL_FROM_US / BUCKET_US;
    if (end == 0) {
        return 0;
    }
    double level = served_share(
        sim, from, (uint32_t)(scenario->slow_from_us / BUCKET_US - from));
    int64_t back = end;
    int64_t last = scenario->end_us / BUCKET_US - RECOVERY_BUCKETS;
    for (int64_t i = end; i <= last; i++) {
        if (served_share(sim, i, RECOVERY_BUCKETS) < RECOVERY_SHARE * level) {
            back = i + 1;
        }
    }
    return back > last ? -1 : (double)(back - end) * BUCKET_US / US_PER_S;
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
class_of(int32_t worth)
{
    return worth >= 80 ? 0 : worth >= 40 ? 1 : 2;
}

static void
measure_classes(const sim_t *sim, measures_t *measures)
{
    double offered[WORTH_CLASS_COUNT] = {0};
    double served[WORTH_CLASS_COUNT] = {0};
    for (uint32_t i = 0; i < sim->deployment->kind_count; i++) {
        uint32_t class = class_of(sim->deployment->kinds[i].worth);
        offered[class] += (double)sim->sums.surge_offered[i];
        served[class] += (double)sim->sums.surge_served[i];
        measures->served[i] =
            ratio((double)sim->sums.served[i], (double)sim->sums.offered[i]);
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
            offered += (double)sim->sums.offered[i];
            served += (double)sim->sums.served[i];
        }
    }
    return ratio(served, offered);
}

/// Computes the measures of a finished run.
void
measure(const sim_t *sim, measures_t *measures)
{
    const sums_t *sums = &sim->sums;
    *measures = (measures_t){
        .goodput = goodput(sim),
        .top_served = top_served(sim),
        .failed_work =
            sums->work_us > 0 ? sums->failed_work_us / sums->work_us : 0,
        .attempts = ratio((double)sums->attempts, (double)sums->roots),
        .sent = ratio((double)sums->sent, (double)sums->roots),
        .short_served = short_served(sim),
        .max_attempts = (double)sums->max_attempts,
        .recovery_s = recovery_s(sim),
        .p99_slowdown = p99(sums->short_slowdowns),
    };
    measure_classes(sim, measures);
    for (uint32_t i = 0; i < sim->deployment->service_count; i++) {
        const service_spec_t *service = &sim->deployment->services[i];
        double capacity_us =
            service->servers * service->slots *
            (double)(sim->scenario->end_us - sim->scenario->measure_from_us);
        measures->service_goodput[i] = sums->useful_us[i] / capacity_us;
        measures->utilisation[i] = sums->busy_us[i] / capacity_us;
    }
}
