/// @file
/// Throttling at the entry that receives a caller's request: refuses a
/// fraction of the requests before they start. If an upstream makes calls to
/// other services for a request and one of them is refused, the work done for
/// the request so far is wasted. A refusal at the entry costs nothing, and the
/// caller learns immediately when to retry.

#include "ibisfield/admission/entry_throttle.h"

#include <math.h>

/// Weight of a report in the moving average of the pressure: the average
/// reflects about the last 5 responses.
#define PRESSURE_WEIGHT 0.2
/// The pressure decays with this half-life while no reports arrive, so that
/// requests are admitted again.
#define PRESSURE_HALF_LIFE_US (700 * US_PER_MS)
/// Weight of a report in the moving averages of the cost, which changes
/// slowly.
#define COST_WEIGHT 0.05
/// The fraction of requests to refuse below the highest worth is the pressure
/// times this factor. It is above 1, because requests of the highest worth are
/// refused less.
#define LOWER_WORTH_FACTOR 1.4
/// Requests of the highest worth that the entry has seen are refused only
/// above this pressure. From there the fraction to refuse rises linearly.
#define HIGHEST_WORTH_PRESSURE_MIN 0.75
/// Below the highest worth, kinds of lower cost (see pressure_cost()) are
/// preferred: the fraction to refuse is also multiplied by the cost of the
/// kind divided by the mean cost, within these bounds.
#define COST_FACTOR_MIN 0.3
#define COST_FACTOR_MAX 3.0
/// Of a kind below the highest worth no larger fraction is refused than this
/// one or the pressure, whichever is higher: refusals of other kinds relieve
/// the pressure too.
#define LOWER_WORTH_REFUSE_FRACTION_MAX 0.6
/// Upper bound at any pressure, so that some requests of every kind are
/// served.
#define REFUSE_FRACTION_MAX 0.9

typedef struct {
    double pressure;     ///< 0 to 1
    double cost;         ///< moving average; 0: unknown
    int64_t reported_us; ///< time of the last report
} throttle_kind_t;

/// Initialises a throttle that refuses nothing until pressure is reported.
void
entry_throttle_init(entry_throttle_t *throttle, const clock_source_t *clock,
                    uint32_t seed)
{
    *throttle = (entry_throttle_t){
        .clock = clock,
        .kinds =
            g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free),
        .random = g_rand_new_with_seed(seed),
    };
}

void
entry_throttle_finish(entry_throttle_t *throttle)
{
    g_hash_table_destroy(throttle->kinds);
    g_rand_free(throttle->random);
}

static double
current_pressure(const entry_throttle_t *throttle, const throttle_kind_t *kind)
{
    double age_us =
        (double)(clock_now_us(throttle->clock) - kind->reported_us);
    return kind->pressure * exp2(-MAX(age_us, 0) / PRESSURE_HALF_LIFE_US);
}

static void
update_mean_cost(double *mean_cost, uint32_t cost)
{
    *mean_cost = *mean_cost <= 0
                     ? cost
                     : *mean_cost + COST_WEIGHT * (cost - *mean_cost);
}

/// Records what the response to a request of the kind reported.
void
entry_throttle_record(entry_throttle_t *throttle, uint64_t kind_hash,
                      int32_t worth, const entry_throttle_report_t *report)
{
    throttle_kind_t *kind = g_hash_table_lookup(throttle->kinds, &kind_hash);
    if (kind == NULL) {
        kind = g_new0(throttle_kind_t, 1);
        g_hash_table_insert(throttle->kinds,
                            g_memdup2(&kind_hash, sizeof(kind_hash)), kind);
    }
    double old_pressure =
        kind->reported_us == 0 ? 0 : current_pressure(throttle, kind);
    double pressure = MIN(report->pressure_permille, 1000) / 1000.0;
    kind->pressure =
        old_pressure + PRESSURE_WEIGHT * (pressure - old_pressure);
    kind->reported_us = clock_now_us(throttle->clock);
    if (report->cost > 0) {
        update_mean_cost(&kind->cost, report->cost);
        if (worth < throttle->highest_worth) {
            update_mean_cost(&throttle->mean_cost, report->cost);
        }
    }
}

/// Returns the fraction of requests to refuse of a kind whose worth is below
/// the highest.
static double
lower_worth_refuse_fraction(const entry_throttle_t *throttle,
                            const throttle_kind_t *kind, double pressure)
{
    double factor = 1;
    if (kind->cost > 0 && throttle->mean_cost > 0) {
        factor = CLAMP(kind->cost / throttle->mean_cost, COST_FACTOR_MIN,
                       COST_FACTOR_MAX);
    }
    return MIN(LOWER_WORTH_FACTOR * factor * pressure,
               MAX(LOWER_WORTH_REFUSE_FRACTION_MAX, pressure));
}

/// Returns the current pressure of a kind, in thousandths.
uint32_t
entry_throttle_pressure(const entry_throttle_t *throttle, uint64_t kind_hash)
{
    const throttle_kind_t *kind =
        g_hash_table_lookup(throttle->kinds, &kind_hash);
    return kind == NULL
               ? 0
               : (uint32_t)lround(1000 * current_pressure(throttle, kind));
}

static void
count_request(entry_throttle_t *throttle, bool refused)
{
    int64_t now_us = clock_now_us(throttle->clock);
    double age_us = (double)MAX(now_us - throttle->counted_us, 0);
    double decay = exp2(-age_us / PRESSURE_HALF_LIFE_US);
    throttle->offered = throttle->offered * decay + 1;
    throttle->refused = throttle->refused * decay + (refused ? 1 : 0);
    throttle->counted_us = now_us;
}

/// Returns whether to refuse a caller's request of the kind before it starts,
/// and records its worth if it is the highest so far. Requests of a better
/// rank than the last one (the highest number) are refused only like those of
/// the highest worth. The fraction to refuse is multiplied by
/// @p refusal_factor, 1 on average over all workspaces.
bool
entry_throttle_refuses(entry_throttle_t *throttle, uint64_t kind_hash,
                       int32_t worth, int32_t rank, double refusal_factor)
{
    throttle->last_rank = MAX(throttle->last_rank, rank);
    bool is_preferred = rank < throttle->last_rank;
    throttle->highest_worth = MAX(throttle->highest_worth, worth);
    const throttle_kind_t *kind =
        g_hash_table_lookup(throttle->kinds, &kind_hash);
    if (kind == NULL) {
        count_request(throttle, false);
        return false;
    }
    double pressure = current_pressure(throttle, kind);
    double refuse_fraction =
        worth < throttle->highest_worth && !is_preferred
            ? lower_worth_refuse_fraction(throttle, kind, pressure)
            : (pressure - HIGHEST_WORTH_PRESSURE_MIN) /
                  (1 - HIGHEST_WORTH_PRESSURE_MIN);
    bool refused = g_rand_double(throttle->random) <
                   MIN(refuse_fraction * refusal_factor, REFUSE_FRACTION_MAX);
    count_request(throttle, refused);
    return refused;
}

/// Returns which part of the requests is refused, over about the last second,
/// in thousandths.
uint32_t
entry_throttle_refused_permille(const entry_throttle_t *throttle)
{
    return throttle->offered < 1 ? 0
                                 : (uint32_t)lround(1000 * throttle->refused /
                                                    throttle->offered);
}
