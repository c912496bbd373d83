/// @file
/// Counters and gauges of the process and their text exposition format.
/// Only the main loop's thread changes them.

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

/// Returns the current value.
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
}

/// Sets every metric to zero; for tests.
void
metrics_reset(void)
{
    memset(metric_values, 0, sizeof(metric_values));
}
