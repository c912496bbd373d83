#ifndef IBISFIELD_ADMISSION_LIMITER_H
#define IBISFIELD_ADMISSION_LIMITER_H

#include <stdbool.h>
#include <stdint.h>

/// What the limiter tries in a period.
typedef enum {
    LIMITER_PROBE_NONE,
    LIMITER_PROBE_LOWER, ///< checks whether fewer requests are served faster
    LIMITER_PROBE_RAISE, ///< checks whether more requests are served as fast
} limiter_probe_t;

/// Limit of the requests that run at the same time at one upstream.
typedef struct {
    uint32_t slots; ///< declared; the highest limit
    double limit;
    limiter_probe_t probe;
    double slowdown_before;    ///< at the start of the trial
    bool raise_next;           ///< trials take turns
    uint32_t cooldown_periods; ///< until the next trial
    int64_t period_start_us;
    double measured_sum_us;
    double baseline_sum_us;
    uint32_t samples;
    uint32_t peak_in_flight; ///< most requests in flight in the period
    bool upstream_shed;      ///< the upstream shed in the period
} limiter_t;

void limiter_init(limiter_t *limiter, uint32_t slots, int64_t now_us);
uint32_t limiter_limit(const limiter_t *limiter);
void limiter_record_start(limiter_t *limiter, uint32_t in_flight);
void limiter_record_completion(limiter_t *limiter, double actual_us,
                               double usual_us);
void limiter_record_upstream_shed(limiter_t *limiter);
bool limiter_tick(limiter_t *limiter, int64_t now_us, double median_us);

#endif
