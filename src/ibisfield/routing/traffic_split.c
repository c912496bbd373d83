/// @file
/// Splits the requests of a kind among services in proportion to their
/// weights, by smooth weighted round robin: in any run of consecutive requests
/// each target gets its fraction to within one request, so that the weights
/// hold for short runs too.

#include "ibisfield/routing/traffic_split.h"

#include <stddef.h>

/// Returns the service of the next request of @p kind, and updates the credits
/// of the kind's targets.
const char *
traffic_split_next(const kind_t *kind)
{
    if (kind->split_target_count == 0) {
        return kind->service;
    }
    double total_weight = 0;
    split_target_t *best = NULL;
    for (uint32_t i = 0; i < kind->split_target_count; i++) {
        split_target_t *target = &kind->split_targets[i];
        target->credit += target->weight;
        total_weight += target->weight;
        if (target->weight > 0 &&
            (best == NULL || target->credit > best->credit)) {
            best = target;
        }
    }
    if (best == NULL) {
        return kind->service;
    }
    best->credit -= total_weight;
    return best->service;
}
