#ifndef IBISFIELD_BENCH_MEASURE_H
#define IBISFIELD_BENCH_MEASURE_H

#include "common/sim.h"

#define WORTH_CLASS_COUNT 3 ///< worth from 80, from 40, below 40

/// Measures of one run.
typedef struct {
    double goodput; ///< slot time of successful requests, as a fraction of
                    ///< the capacity
    /// Served bookings or lodgements, as a fraction of the smaller of those
    /// offered and those that fit into the capacity.
    double highest_worth_served;
    double failed_work;   ///< fraction of the slot time spent on failures
    double attempts_run;  ///< at upstreams per root request
    double attempts_sent; ///< to guards per root request
    double short_served;  ///< served fraction of the requests of short kinds
    double max_attempts;  ///< at one service for one root request
    double recovery_s;    ///< -1: not within the run
    double p99_slowdown;  ///< of short kinds: latency divided by the mean
                          ///< without queueing
    double surge_served[WORTH_CLASS_COUNT]; ///< served fraction in the first
                                            ///< second of a surge
    double utilisation[SERVICES_MAX];     ///< fraction of the slot time in use
    double service_goodput[SERVICES_MAX]; ///< goodput by service
    double served[KINDS_MAX];             ///< served fraction by kind
} measures_t;

void measure(const sim_t *sim, measures_t *measures);

#endif
