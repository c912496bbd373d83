#ifndef IBISFIELD_ADMISSION_ENTRY_THROTTLE_H
#define IBISFIELD_ADMISSION_ENTRY_THROTTLE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "ibisfield/base/clock.h"

/// What the response to a request reported about its call chain.
typedef struct {
    uint32_t pressure_permille; ///< highest in the chain
    uint32_t cost;              ///< see pressure_cost(); 0: unknown
} entry_throttle_report_t;

/// Decides at the entry which callers' requests may start, by the pressure
/// that responses to earlier requests of the same kind reported.
typedef struct {
    const clock_source_t *clock;
    GHashTable *kinds; ///< kind hash to throttle_kind_t
    GRand *random;
    int32_t highest_worth; ///< highest worth of the kinds seen
    double offered;        ///< decaying number of requests
    double refused;        ///< of these
    int64_t counted_us;
    int32_t last_rank; ///< highest rank number seen
    double mean_cost;  ///< moving average of the costs reported for
                       ///< requests below the highest worth
} entry_throttle_t;

void entry_throttle_init(entry_throttle_t *throttle,
                         const clock_source_t *clock, uint32_t seed);
void entry_throttle_finish(entry_throttle_t *throttle);
void entry_throttle_record(entry_throttle_t *throttle, uint64_t kind_hash,
                           int32_t worth,
                           const entry_throttle_report_t *report);
uint32_t entry_throttle_pressure(const entry_throttle_t *throttle,
                                 uint64_t kind_hash);
bool entry_throttle_refuses(entry_throttle_t *throttle, uint64_t kind_hash,
                            int32_t worth, int32_t rank,
                            double refusal_factor);
uint32_t entry_throttle_refused_permille(const entry_throttle_t *throttle);

#endif
