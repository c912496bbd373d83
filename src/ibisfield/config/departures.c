/// @file
/// Decides whether a record is older than what is known of its VM, when the
/// source has come back from a copy. Revisions can't tell: those above the
/// copy's are given out again, so a record with a lower revision may be of the
/// copy or have been written since. The lifetime of the upstream and the
/// number of its report can.

#include "ibisfield/config/departures.h"

/// The copy of a source is some seconds old; what left longer ago than this
/// isn't in it.
#define KEPT_US (60 * US_PER_S)
#define STATES_MAX 4096
/// The source removes the records of VMs that are silent for three heartbeats
/// (of 1.5 s) and an expired record is back within 2.3 s of its return. A
/// record that is still listed after this time is of a VM that lives.
#define ALIVE_AFTER_US (8 * US_PER_S)

typedef struct {
    char *vm;
    vm_last_state_t state;
    int64_t expires_us;
    vm_info_t *refused; ///< record that was refused; NULL: none
    source_point_t refused_changed;
    uint64_t list_generation; ///< of the last full listing with @p refused
    int64_t alive_us; ///< VM counts as living if @p refused is listed then
} departure_t;

/// Returns whether the known state is later than a record that the source of
/// another era gives. Within the same era the order of the points decides.
bool
vm_last_state_is_later(const vm_last_state_t *known, const vm_info_t *info,
                       source_point_t changed, source_point_t read)
{
    if (changed.era <= known->changed.era) {
        return false;
    }
    bool left = known->removed || (known->draining && !info->draining);
    // A change, unlike a listing, is never of the copy.
    bool may_be_copied = source_point_is_set(read) &&
                         source_point_may_be_copied(changed, known->changed);
    if (known->born_ms == 0 || info->born_ms == 0) {
        return left && may_be_copied;
    }
    if (info->born_ms != known->born_ms) {
        return info->born_ms < known->born_ms;
    }
    // An upstream that drains never returns to service in the same lifetime.
    if (known->draining) {
        return !info->draining;
    }
    return known->removed && may_be_copied &&
           info->sequence <= known->sequence;
}

static void
free_departure(void *pointer)
{
    departure_t *departure = pointer;
    if (departure->refused != NULL) {
        vm_info_free(departure->refused);
    }
    g_free(departure->vm);
    g_free(departure);
}

void
departures_init(departures_t *departures, const clock_source_t *clock)
{
    *departures = (departures_t){
        .clock = clock,
        .states = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
                                        free_departure),
    };
}

void
departures_finish(departures_t *departures)
{
    g_hash_table_destroy(departures->states);
}

static gboolean
is_expired(void *key, void *value, void *context)
{
    (void)key;
    return ((const departure_t *)value)->expires_us <= *(int64_t *)context;
}

static void
drop_refused(departure_t *departure)
{
    if (departure->refused != NULL) {
        vm_info_free(departure->refused);
        departure->refused = NULL;
    }
}

/// Remembers the state in which a VM has left, unless a record of it is
/// refused already. Discards the states that are no longer needed, or all if
/// there are too many.
void
departures_add(departures_t *departures, const char *vm,
               const vm_last_state_t *state)
{
    int64_t now_us = clock_now_us(departures->clock);
    g_hash_table_foreach_remove(departures->states, is_expired, &now_us);
    if (g_hash_table_size(departures->states) >= STATES_MAX) {
        g_hash_table_remove_all(departures->states);
    }
    const departure_t *known = g_hash_table_lookup(departures->states, vm);
    if (known != NULL && known->refused != NULL) {
        return;
    }
    departure_t *departure = g_new0(departure_t, 1);
    departure->vm = g_strdup(vm);
    departure->state = *state;
    departure->expires_us = now_us + KEPT_US;
    g_hash_table_replace(departures->states, departure->vm, departure);
}

/// Forgets a VM, because it is listed again.
void
departures_remove(departures_t *departures, const char *vm)
{
    g_hash_table_remove(departures->states, vm);
}

/// Returns whether a record of a VM that was added is to be refused, because
/// the VM has left since. The record is kept for departures_next_alive().
bool
departures_refuse(departures_t *departures, const vm_info_t *info,
                  source_point_t changed, source_point_t read)
{
    departure_t *departure = g_hash_table_lookup(departures->states, info->vm);
    if (departure == NULL ||
        !vm_last_state_is_later(&departure->state, info, changed, read))
    {
        return false;
    }
    int64_t now_us = clock_now_us(departures->clock);
    departure->expires_us = now_us + KEPT_US;
    if (departure->refused == NULL ||
        departure->refused_changed.era != changed.era)
    {
        departure->alive_us = now_us + ALIVE_AFTER_US;
    }
    drop_refused(departure);
    departure->refused = vm_info_copy(info);
    departure->refused_changed = changed;
    departure->list_generation = departures->list_generation;
    return true;
}

/// Starts a full listing of the source.
void
departures_begin_listing(departures_t *departures)
{
    departures->list_generation++;
}

/// Ends a full listing and forgets the refused records that it doesn't
/// contain.
void
departures_end_listing(departures_t *departures)
{
    GHashTableIter iter;
    void *pointer = NULL;
    g_hash_table_iter_init(&iter, departures->states);
    while (g_hash_table_iter_next(&iter, NULL, &pointer)) {
        departure_t *departure = pointer;
        if (departure->list_generation != departures->list_generation) {
            drop_refused(departure);
        }
    }
}

/// Notes that the source no longer has the refused record of a VM.
void
departures_note_removal(departures_t *departures, const char *vm)
{
    departure_t *departure = g_hash_table_lookup(departures->states, vm);
    if (departure != NULL) {
        drop_refused(departure);
    }
}

/// Returns a refused record (on the heap) that the source has listed for so
/// long that its VM must live, and forgets its VM; NULL if there is none. An
/// upstream that was draining is never returned: it may serve its last
/// requests for any time.
vm_info_t *
departures_next_alive(departures_t *departures, source_point_t *changed)
{
    int64_t now_us = clock_now_us(departures->clock);
    GHashTableIter iter;
    void *pointer = NULL;
    g_hash_table_iter_init(&iter, departures->states);
    while (g_hash_table_iter_next(&iter, NULL, &pointer)) {
        departure_t *departure = pointer;
        if (departure->refused != NULL && !departure->state.draining &&
            departure->alive_us <= now_us)
        {
            vm_info_t *info = departure->refused;
            departure->refused = NULL;
            *changed = departure->refused_changed;
            g_hash_table_iter_remove(&iter);
            return info;
        }
    }
    return NULL;
}
