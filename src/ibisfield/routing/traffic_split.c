/// @file
/// Shares the requests of a kind among services in the proportions of their
/// weights. Smooth weighted round robin: any run of consecutive requests is
/// within one request of each part's share, so that short samples hold too.

#include "ibisfield/routing/traffic_split.h"

#include <stddef.h>

/// Returns the service of the next request of @p kind.
const char *
traffic_split_next(const kind_t *kind)
{
    if (kind->split_target_count == 0) {
        return kind->service;
    }
    double total = 0;
    split_target_t *best = NULL;
    for (uint32_t i = 0; i < kind->split_target_count; i++) {
        split_target_t *part = &kind->split_targets[i];
        part->credit += part->weight;
        total += part->weight;
        if (part->weight > 0 && (best == NULL || part->credit > best->credit))
        {
            best = part;
        }
    }
    if (best == NULL) {
        return kind->service;
    }
    best->credit -= total;
    return best->service;
}
