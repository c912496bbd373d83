#ifndef IBISFIELD_BENCH_MEASURE_H
#define IBISFIELD_BENCH_MEASURE_H

#include "common/sim.h"

#define WORTH_CLASS_COUNT 3 ///< worth from 80, from 40, below

/// Measures of one run.
typedef struct {
    double goodput;      ///< useful slot time over capacity
    double top_served;   ///< bookings or lodgements served of what fits
    double failed_work;  ///< share of the slot time
    double attempts;     ///< at upstreams per caller request
    double sent;         ///< attempts sent to guards per caller request
    double short_served; ///< share of the requests of short kinds
    double max_attempts; ///< at one service for one caller request
    double recovery_s;   ///< -1: not within the run
    double p99_slowdown; ///< of short kinds, over the time without waiting
    double surge_served[WORTH_CLASS_COUNT]; ///< served share in the first
                                            ///< second of a surge
    double utilisation[SERVICES_MAX];       ///< share of the slot time in use
    double service_goodput[SERVICES_MAX];   ///< goodput by service
    double served[KINDS_MAX];               ///< share by kind
} measures_t;

void measure(const sim_t *sim, measures_t *measures);

#endif
