/// @file
/// Refusal of whole requests at the first entry. A chain that is refused deep
/// down has wasted the work above; refused here it has cost nothing, and the
/// caller learns at once when to come back.

#include "ibisfield/admission/entry_throttle.h"

#include <math.h>

/// Weight of a report: the mean age of the learned pressure is 5 answers.
#define REPORT_WEIGHT 0.2
/// Without reports the pressure halves in this time, so that requests are let
/// in again.
#define HALF_LIFE_US (700 * US_PER_MS)
/// Weight of a report in the learned costs, which change slowly.
#define COST_WEIGHT 0.05
/// Requests of lower worth are refused more than the pressure says and those
/// of the highest less: they begin when the pressure is above TOP_FROM.
#define LOWER_FACTOR 1.4
#define TOP_FROM 0.75
/// Among requests of lower worth those that take less of what is scarce go
/// first: their share of refusals follows the cost, within these bounds.
#define COST_FACTOR_MIN 0.3
#define COST_FACTOR_MAX 3.0
/// No kind is refused above this share while others can still give way, and
/// none above REFUSED_MAX ever: each gets some answers.
#define REFUSED_FAIR 0.6
#define REFUSED_MAX 0.9

typedef struct {
    double pressure; ///< 0 to 1
    double cost;     ///< moving average; 0: not known
    int64_t noted_us;
} gate_kind_t;

/// Initialises a gate that lets everything in.
void
entry_throttle_init(entry_throttle_t *gate, const clock_source_t *clock,
                    uint32_t seed)
{
    *gate = (entry_throttle_t){
        .clock = clock,
        .kinds =
            g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free),
        .random = g_rand_new_with_seed(seed),
    };
}

void
entry_throttle_finish(entry_throttle_t *gate)
{
    g_hash_table_destroy(gate->kinds);
    g_rand_free(gate->random);
}

static double
pressure_now(const entry_throttle_t *gate, const gate_kind_t *kind)
{
    double age_us = (double)(clock_now_us(gate->clock) - kind->noted_us);
    return kind->pressure * exp2(-MAX(age_us, 0) / HALF_LIFE_US);
}

static void
learn_cost(double *learned, uint32_t cost)
{
    *learned =
        *learned <= 0 ? cost : *learned + COST_WEIGHT * (cost - *learned);
}

/// An answer to a request of the kind has come.
void
entry_throttle_record(entry_throttle_t *gate, uint64_t kind_hash,
                      int32_t worth, const entry_throttle_report_t *report)
{
    gate_kind_t *kind = g_hash_table_lookup(gate->kinds, &kind_hash);
    if (kind == NULL) {
        kind = g_new0(gate_kind_t, 1);
        g_hash_table_insert(gate->kinds,
                            g_memdup2(&kind_hash, sizeof(kind_hash)), kind);
    }
    double before = kind->noted_us == 0 ? 0 : pressure_now(gate, kind);
    double pressure = MIN(report->pressure_permille, 1000) / 1000.0;
    kind->pressure = before + REPORT_WEIGHT * (pressure - before);
    kind->noted_us = clock_now_us(gate->clock);
    if (report->cost > 0) {
        learn_cost(&kind->cost, report->cost);
        if (worth < gate->highest_worth) {
            learn_cost(&gate->mean_cost, report->cost);
        }
    }
}

/// Share of the requests below the highest worth to refuse.
static double
refused_of_lower(const entry_throttle_t *gate, const gate_kind_t *kind,
                 double pressure)
{
    double factor = 1;
    if (kind->cost > 0 && gate->mean_cost > 0) {
        factor = CLAMP(kind->cost / gate->mean_cost, COST_FACTOR_MIN,
                       COST_FACTOR_MAX);
    }
    return MIN(LOWER_FACTOR * factor * pressure, MAX(REFUSED_FAIR, pressure));
}

/// Returns the pressure learned for a kind, in thousandths.
uint32_t
entry_throttle_pressure(const entry_throttle_t *gate, uint64_t kind_hash)
{
    const gate_kind_t *kind = g_hash_table_lookup(gate->kinds, &kind_hash);
    return kind == NULL ? 0
                        : (uint32_t)lround(1000 * pressure_now(gate, kind));
}

/// Whether a caller's request of the kind is refused before it starts.
bool
entry_throttle_refuses(entry_throttle_t *gate, uint64_t kind_hash,
                       int32_t worth)
{
    gate->highest_worth = MAX(gate->highest_worth, worth);
    const gate_kind_t *kind = g_hash_table_lookup(gate->kinds, &kind_hash);
    if (kind == NULL) {
        return false;
    }
    double pressure = pressure_now(gate, kind);
    double refused = worth < gate->highest_worth
                         ? refused_of_lower(gate, kind, pressure)
                         : (pressure - TOP_FROM) / (1 - TOP_FROM);
    return g_rand_double(gate->random) < MIN(refused, REFUSED_MAX);
}
