#ifndef IBISFIELD_CONFIG_DEPARTURES_H
#define IBISFIELD_CONFIG_DEPARTURES_H

#include <glib.h>

#include "ibisfield/base/clock.h"
#include "ibisfield/config/source_point.h"
#include "ibisfield/config/vm_view.h"

/// What is known of the last state of a VM.
typedef struct {
    int64_t born_ms;   ///< as in vm_info_t
    uint64_t sequence; ///< as in vm_info_t
    bool draining;
    bool removed;
    source_point_t changed; ///< change that showed this state
} vm_last_state_t;

/// VMs that have left. A source that comes back from a copy may list them
/// again as they were before; they are not used then. Bounded in time and in
/// number.
typedef struct {
    const clock_source_t *clock;
    GHashTable *states;       ///< VM name to departure_t
    uint64_t list_generation; ///< number of the last full listing
} departures_t;

bool vm_last_state_is_later(const vm_last_state_t *known,
                            const vm_info_t *info, source_point_t changed,
                            source_point_t read);

void departures_init(departures_t *departures, const clock_source_t *clock);
void departures_finish(departures_t *departures);
void departures_add(departures_t *departures, const char *vm,
                    const vm_last_state_t *state);
void departures_remove(departures_t *departures, const char *vm);
void departures_begin_listing(departures_t *departures);
void departures_end_listing(departures_t *departures);
void departures_note_removal(departures_t *departures, const char *vm);
bool departures_refuse(departures_t *departures, const vm_info_t *info,
                       source_point_t changed, source_point_t read);
vm_info_t *departures_next_alive(departures_t *departures,
                                 source_point_t *changed);

#endif
