/// @file
/// Which part of a service's requests may leave the own data centre. It
/// answers demand that moves between data centres, and services with few VMs
/// in one of them: what fits stays, the rest is spread by the room elsewhere.
/// The decision is a fraction and not a switch, so that nodes with equally old
/// reports don't all leave, and all return, at the same moment.

#include "ibisfield/routing/spill.h"

#include <glib.h>

/// Below this part of the own slots in use, nothing leaves.
#define SPILL_FROM 0.8
/// From this part on, everything may.
#define SPILL_ALL 1.0

/// Adds a VM by its last report. @p outstanding attempts of this node may be
/// more than it has reported.
void
slots_add(slots_t *slots, const guard_load_t *load, uint32_t outstanding)
{
    slots->in_use += MAX(load->in_flight, outstanding) + load->queue;
    slots->limit += load->limit;
}

/// Returns which part of the requests, 0 to 1, may go to another data centre.
/// It is 0 if nothing has been reported here, or less is free elsewhere.
double
spill_fraction(const slots_t *own, const slots_t *others)
{
    if (own->limit <= 0 || others->limit <= 0) {
        return 0;
    }
    double used = own->in_use / own->limit;
    if (others->in_use / others->limit >= used) {
        return 0;
    }
    return CLAMP((used - SPILL_FROM) / (SPILL_ALL - SPILL_FROM), 0, 1);
}
