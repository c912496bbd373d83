#ifndef IBISFIELD_ROUTING_SPILL_H
#define IBISFIELD_ROUTING_SPILL_H

#include <stdint.h>

#include "ibisfield/call/call_defs.h"

/// Slots of several VMs.
typedef struct {
    double in_use; ///< queued requests included
    double limit;
} slots_t;

void slots_add(slots_t *slots, const guard_load_t *load, uint32_t outstanding);
double spill_fraction(const slots_t *own, const slots_t *others);

#endif
