#ifndef IBISFIELD_BASE_METRICS_H
#define IBISFIELD_BASE_METRICS_H

#include <glib.h>
#include <stdint.h>

#include "ibisfield/base/metrics_defs.h"

void metric_add(metric_id_t id, int64_t amount);
void metric_set(metric_id_t id, int64_t value);
int64_t metric_value(metric_id_t id);
const char *metric_name(metric_id_t id);
void histogram_observe(histogram_id_t id, int64_t duration_us);
const char *histogram_name(histogram_id_t id);
void metrics_write_text(GString *out);
void metrics_reset(void);

static inline void
metric_increment(metric_id_t id)
{
    metric_add(id, 1);
}

#endif
