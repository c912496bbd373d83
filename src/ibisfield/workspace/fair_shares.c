/// @file
/// Fair shares of a scarce service among workspaces: max-min, by weight. The
/// load that this answers: one workspace sends many times its usual inside its
/// usage cap, and the others would be refused as often as it is. With fair
/// shares nobody who asks for less than his share is refused for it, and what
/// those leave goes to the others, so no room is left unused.

#include "ibisfield/workspace/fair_shares.h"

#include <glib.h>
#include <math.h>
#include <stdlib.h>

#include "ibisfield/workspace/usage_defs.h"

static int
compare_demand_by_weight(const void *a, const void *b)
{
    const fair_demand_t *left = a;
    const fair_demand_t *right = b;
    double difference =
        left->demand / left->weight - right->demand / right->weight;
    return difference < 0 ? -1 : difference > 0 ? 1 : 0;
}

/// Returns the level up to which demands are met, as demand by weight: each
/// gets the smaller of its demand and the level times its weight, and together
/// they get @p available. Sorts @p demands. INFINITY if all demands fit.
double
fair_shares_level(fair_demand_t *demands, size_t count, double available)
{
    double weight_left = 0;
    qsort(demands, count, sizeof(demands[0]), compare_demand_by_weight);
    for (size_t i = 0; i < count; i++) {
        weight_left += demands[i].weight;
    }
    for (size_t i = 0; i < count; i++) {
        double level = available / weight_left;
        if (demands[i].demand > level * demands[i].weight) {
            return MAX(level, 0);
        }
        available -= demands[i].demand;
        weight_left -= demands[i].weight;
    }
    return INFINITY;
}

/// Returns the factor on the fraction of a workspace's requests to refuse, in
/// thousandths, at a level. @p refused_fraction is the mean over all.
uint32_t
fair_shares_refusal_factor(const fair_demand_t *demand, double level,
                           double refused_fraction)
{
    double met = level * demand->weight;
    double refused = demand->demand > met ? 1 - met / demand->demand : 0;
    return (uint32_t)MIN(USAGE_REFUSAL_MEAN * refused / refused_fraction,
                         USAGE_REFUSAL_MAX);
}
