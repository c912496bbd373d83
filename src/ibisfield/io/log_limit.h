#ifndef IBISFIELD_IO_LOG_LIMIT_H
#define IBISFIELD_IO_LOG_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

#include "ibisfield/base/clock.h"
#include "ibisfield/base/metrics.h"

/// Log lines per second that one limit allows, so that a peer can't fill the
/// log. The metrics count every event.
#define LOG_LIMIT_PER_S 20

/// Rate limit on the log lines of one or several events. Zero-initialised.
typedef struct {
    int64_t second_start_us; ///< of the current second; 0: no line yet
    uint32_t lines; ///< in the current second, suppressed ones included
} log_limit_t;

/// Returns whether a line may be logged now. A metric counts the suppressed
/// lines.
static inline bool
log_limit_allows(log_limit_t *limit, const clock_source_t *clock)
{
    int64_t now_us = clock_now_us(clock);
    if (limit->second_start_us == 0 ||
        now_us - limit->second_start_us >= US_PER_S) {
        *limit = (log_limit_t){.second_start_us = now_us};
    }
    if (limit->lines++ < LOG_LIMIT_PER_S) {
        return true;
    }
    metric_increment(METRIC_LOG_LINES_LIMITED_TOTAL);
    return false;
}

#endif
