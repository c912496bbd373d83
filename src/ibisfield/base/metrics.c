/// @file
/// Counters, gauges and histograms of the process and their exposition as
/// text. They aren't thread-safe: only the thread of the main loop updates
/// them.

#include "ibisfield/base/metrics.h"

#include <inttypes.h>
#include <string.h>

typedef struct {
    const char *name;
    const char *type;
    const char *help;
} metric_info_t;

static const metric_info_t metric_infos[METRIC_COUNT] = {
#define METRIC_INFO(id, name, type, help) {name, type, help},
    METRIC_LIST(METRIC_INFO)
#undef METRIC_INFO
};

static int64_t metric_values[METRIC_COUNT];

/// Upper bounds of all buckets but the last, which has none.
static const int64_t bucket_bounds_ms[] = {
    1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000};
#define BUCKET_COUNT (G_N_ELEMENTS(bucket_bounds_ms) + 1)

typedef struct {
    uint64_t counts[BUCKET_COUNT]; ///< of each bucket alone, not cumulative
    int64_t sum_us;
} histogram_t;

static const struct {
    const char *name;
    const char *help;
} histogram_infos[HISTOGRAM_COUNT] = {
#define HISTOGRAM_INFO(id, name, help) {name, help},
    HISTOGRAM_LIST(HISTOGRAM_INFO)
#undef HISTOGRAM_INFO
};

static histogram_t histograms[HISTOGRAM_COUNT];

/// Adds @p amount to a counter or gauge.
void
metric_add(metric_id_t id, int64_t amount)
{
    metric_values[id] += amount;
}

/// Sets a gauge.
void
metric_set(metric_id_t id, int64_t value)
{
    metric_values[id] = value;
}

/// Returns the current value of a counter or gauge.
int64_t
metric_value(metric_id_t id)
{
    return metric_values[id];
}

/// Returns the exposed name of the metric.
const char *
metric_name(metric_id_t id)
{
    return metric_infos[id].name;
}

/// Adds a duration to a histogram. A negative one, which occurs if the clock
/// steps back, counts as 0.
void
histogram_observe(histogram_id_t id, int64_t duration_us)
{
    histogram_t *histogram = &histograms[id];
    duration_us = MAX(duration_us, 0);
    size_t bucket = 0;
    while (bucket < G_N_ELEMENTS(bucket_bounds_ms) &&
           duration_us > bucket_bounds_ms[bucket] * 1000)
    {
        bucket++;
    }
    histogram->counts[bucket]++;
    histogram->sum_us += duration_us;
}

/// Returns the exposed name of the histogram.
const char *
histogram_name(histogram_id_t id)
{
    return histogram_infos[id].name;
}

static void
write_histogram(GString *out, histogram_id_t id)
{
    const char *name = histogram_infos[id].name;
    const histogram_t *histogram = &histograms[id];
    uint64_t count = 0;
    g_string_append_printf(out, "# HELP %s %s\n# TYPE %s histogram\n", name,
                           histogram_infos[id].help, name);
    for (size_t i = 0; i < BUCKET_COUNT; i++) {
        char bound[32] = "+Inf";
        if (i < G_N_ELEMENTS(bucket_bounds_ms)) {
            g_ascii_formatd(bound, sizeof(bound), "%g",
                            (double)bucket_bounds_ms[i] / 1000);
        }
        count += histogram->counts[i];
        g_string_append_printf(out, "%s_bucket{le=\"%s\"} %" PRIu64 "\n", name,
                               bound, count);
    }
    g_string_append_printf(out, "%s_sum %.6f\n%s_count %" PRIu64 "\n", name,
                           (double)histogram->sum_us / 1e6, name, count);
}

/// Appends all metrics in the Prometheus text exposition format.
void
metrics_write_text(GString *out)
{
    for (int i = 0; i < METRIC_COUNT; i++) {
        const metric_info_t *info = &metric_infos[i];
        g_string_append_printf(
            out, "# HELP %s %s\n# TYPE %s %s\n%s %" PRId64 "\n", info->name,
            info->help, info->name, info->type, info->name, metric_values[i]);
    }
    for (int i = 0; i < HISTOGRAM_COUNT; i++) {
        write_histogram(out, (histogram_id_t)i);
    }
}

/// Sets all metrics to 0; for tests.
void
metrics_reset(void)
{
    memset(metric_values, 0, sizeof(metric_values));
    memset(histograms, 0, sizeof(histograms));
}
