#ifndef IBISFIELD_ADMISSION_SERVING_END_H
#define IBISFIELD_ADMISSION_SERVING_END_H

#include <stdbool.h>
#include <stdint.h>

/// The end of serving is the time at which a process that takes part in a
/// request may end: the upstream that runs it, or the node that returns its
/// response. A request that still runs then is broken off, which callers can't
/// tell from one that was lost. All times are absolute, in microseconds.
#define SERVING_END_NONE INT64_MAX

int64_t serving_end_latest_start(int64_t end_us, int64_t deadline_us,
                                 int64_t expected_us);

#endif
