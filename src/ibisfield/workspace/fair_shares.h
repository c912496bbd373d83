#ifndef IBISFIELD_WORKSPACE_FAIR_SHARES_H
#define IBISFIELD_WORKSPACE_FAIR_SHARES_H

#include <stddef.h>
#include <stdint.h>

/// What one workspace asks for, and its weight.
typedef struct {
    double demand; ///< in any unit, the same for all
    double weight; ///< above 0
    size_t index;  ///< of the caller's own table
} fair_demand_t;

double fair_shares_level(fair_demand_t *demands, size_t count,
                         double available);
uint32_t fair_shares_refusal_factor(const fair_demand_t *demand, double level,
                                    double refused_fraction);

#endif
