#ifndef IBISFIELD_ADMISSION_LIMITER_H
#define IBISFIELD_ADMISSION_LIMITER_H

#include <stdbool.h>
#include <stdint.h>

/// Change of the limit that is under test in a period.
typedef enum {
    LIMITER_PROBE_NONE,
    LIMITER_PROBE_LOWER, ///< tests whether fewer requests are served faster
    LIMITER_PROBE_RAISE, ///< tests whether more requests are served as fast
} limiter_probe_t;

/// Limit on the number of requests that run at the same time at one upstream.
typedef struct {
    uint32_t slots; ///< declared by the upstream; upper bound of the limit
    double limit;
    limiter_probe_t probe;
    double slowdown_before; ///< ratio of measured to baseline service time
                            ///< before the last step that lowered the limit,
                            ///< or before a probe that raises it
    bool raise_turn; ///< the turn of probes alternates; one whose turn it is
                     ///< to raise lowers if the limit can't be raised
    uint32_t cooldown_periods; ///< until the next probe
    int64_t period_start_us;
    double measured_sum_us; ///< service times of the requests completed in
                            ///< the period
    double baseline_sum_us; ///< baselines of the kinds of the same requests
    uint32_t samples;
    uint32_t peak_in_flight; ///< highest in the period
    bool upstream_shed;      ///< the upstream shed a request in the period
} limiter_t;

void limiter_init(limiter_t *limiter, uint32_t slots, int64_t now_us);
uint32_t limiter_limit(const limiter_t *limiter);
void limiter_record_start(limiter_t *limiter, uint32_t in_flight);
void limiter_record_completion(limiter_t *limiter, double measured_us,
                               double baseline_us);
void limiter_record_upstream_shed(limiter_t *limiter);
bool limiter_tick(limiter_t *limiter, int64_t now_us, double median_us);

#endif
