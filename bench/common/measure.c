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
goodput(const world_t *world)
{
    double useful_us = 0;
    double slots = 0;
    for (uint32_t i = 0; i < world->deployment->service_count; i++) {
        useful_us += world->sums.goodput[i];
        slots += world->deployment->services[i].servers *
                 world->deployment->services[i].slots;
    }
    const scenario_t *scenario = world->scenario;
    return useful_us /
           (slots * (double)(scenario->end_us - scenario->from_us));
}

static double
top_served(const world_t *world)
{
    const deployment_t *deployment = world->deployment;
    double window_us =
        (double)(world->scenario->end_us - world->scenario->from_us);
    for (uint32_t i = 0; i < deployment->kind_count; i++) {
        const kind_spec_t *kind = &deployment->kinds[i];
        if (!kind->top) {
            continue;
        }
        const service_spec_t *service = &deployment->services[kind->service];
        double fits = service->servers * service->slots * window_us /
                      deployment_hold_us(deployment, i);
        double offered = (double)world->sums.offered[i];
        // What doesn't fit is judged by answers in the window: requests that
        // still wait at its end would be served by idle slots afterwards.
        return offered <= fits ? ratio((double)world->sums.served[i], offered)
                               : (double)world->sums.answered[i] / fits;
    }
    return 1;
}

static double
served_share(const world_t *world, int64_t first, uint32_t count)
{
    double offered = 0;
    double served = 0;
    for (int64_t i = first; i < first + count && i < BUCKETS_MAX; i++) {
        offered += (double)world->sums.bucket_offered[i];
        served += (double)world->sums.bucket_served[i];
    }
    return ratio(served, offered);
}

/// Time from the end of the cause until the goodput is back for good.
static double
recovery_s(const world_t *world)
{
    const scenario_t *scenario = world->scenario;
    int64_t end = scenario->slow_end_us / BUCKET_US;
    int64_t from = LEVEL_FROM_US / BUCKET_US;
    if (end == 0) {
        return 0;
    }
    double level = served_share(
        world, from, (uint32_t)(scenario->slow_from_us / BUCKET_US - from));
    int64_t back = end;
    int64_t last = scenario->end_us / BUCKET_US - RECOVERY_BUCKETS;
    for (int64_t i = end; i <= last; i++) {
        if (served_share(world, i, RECOVERY_BUCKETS) < RECOVERY_SHARE * level)
        {
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
measure_classes(const world_t *world, measures_t *measures)
{
    double offered[CLASS_COUNT] = {0};
    double served[CLASS_COUNT] = {0};
    for (uint32_t i = 0; i < world->deployment->kind_count; i++) {
        uint32_t class = class_of(world->deployment->kinds[i].worth);
        offered[class] += (double)world->sums.crest_offered[i];
        served[class] += (double)world->sums.crest_served[i];
        measures->served[i] = ratio((double)world->sums.served[i],
                                    (double)world->sums.offered[i]);
    }
    for (uint32_t i = 0; i < CLASS_COUNT; i++) {
        measures->crest[i] = ratio(served[i], offered[i]);
    }
}

static double
short_served(const world_t *world)
{
    double offered = 0;
    double served = 0;
    for (uint32_t i = 0; i < world->deployment->kind_count; i++) {
        if (!world->deployment->kinds[i].is_long) {
            offered += (double)world->sums.offered[i];
            served += (double)world->sums.served[i];
        }
    }
    return ratio(served, offered);
}

/// Computes the measures of a finished run.
void
measure(const world_t *world, measures_t *measures)
{
    const sums_t *sums = &world->sums;
    *measures = (measures_t){
        .goodput = goodput(world),
        .top_served = top_served(world),
        .failed_work =
            sums->work_us > 0 ? sums->failed_work_us / sums->work_us : 0,
        .attempts = ratio((double)sums->attempts, (double)sums->roots),
        .sent = ratio((double)sums->sent, (double)sums->roots),
        .short_served = short_served(world),
        .most_attempts = (double)sums->most_attempts,
        .recovery_s = recovery_s(world),
        .p99 = p99(sums->short_latency),
    };
    measure_classes(world, measures);
    for (uint32_t i = 0; i < world->deployment->service_count; i++) {
        const service_spec_t *service = &world->deployment->services[i];
        double capacity_us =
            service->servers * service->slots *
            (double)(world->scenario->end_us - world->scenario->from_us);
        measures->service[i] = sums->goodput[i] / capacity_us;
        measures->busy[i] = sums->busy_us[i] / capacity_us;
    }
}
