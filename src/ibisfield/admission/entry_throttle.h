#ifndef IBISFIELD_ADMISSION_ENTRY_THROTTLE_H
#define IBISFIELD_ADMISSION_ENTRY_THROTTLE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "ibisfield/base/clock.h"

/// What the answer to a request reported of its way.
typedef struct {
    uint32_t permille; ///< highest pressure
    uint32_t cost;     ///< see pressure_cost(); 0: not known
} gate_report_t;

/// Decides at the first entry which callers' requests start at all, by the
/// pressure that the answers of earlier ones of their kind reported.
typedef struct {
    const clock_source_t *clock;
    GHashTable *kinds; ///< kind hash to gate_kind_t
    GRand *random;
    int32_t top_worth; ///< highest worth of the kinds seen
    double mean_cost;  ///< of requests below the highest worth
} root_gate_t;

void root_gate_init(root_gate_t *gate, const clock_source_t *clock,
                    uint32_t seed);
void root_gate_finish(root_gate_t *gate);
void root_gate_note(root_gate_t *gate, uint64_t kind, int32_t worth,
                    const gate_report_t *report);
uint32_t root_gate_pressure(const root_gate_t *gate, uint64_t kind);
bool root_gate_refuses(root_gate_t *gate, uint64_t kind, int32_t worth);

#endif
