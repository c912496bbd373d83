#ifndef IBISFIELD_CONFIG_PUBLISHED_LIST_H
#define IBISFIELD_CONFIG_PUBLISHED_LIST_H

#include <glib.h>

#include "ibisfield/base/clock.h"
#include "ibisfield/config/departures.h"
#include "ibisfield/config/source_point.h"
#include "ibisfield/config/vm_view.h"

typedef struct {
    void (*listed)(void *context, const vm_info_t *info); ///< new or changed
    void (*removed)(void *context, const char *vm);
} published_list_hooks_t;

/// The VMs that a source publishes. Decides when removals take effect on this
/// node: records of live VMs may expire at the source while it can't be
/// reached. Removals that become known during an outage, from other nodes, or
/// in a grace period after it are deferred; until they take effect the VM is
/// listed with removal_pending set. Deliveries may arrive in any order, late
/// or more than once: the latest change or removal of a VM holds. Within an
/// era of the source, removed VMs need not be remembered for this, see
/// source_record_is_outdated(); across eras, departures_t remembers them.
typedef struct {
    const clock_source_t *clock;
    published_list_hooks_t hooks;
    void *context;
    GHashTable *vms;               ///< VM name to published_record_t
    int64_t outage_start_us;       ///< start of the source's outage; 0: none
    int64_t removal_grace_ends_us; ///< removals are deferred until then
    uint64_t list_generation;      ///< number of the last full listing
    source_point_t point;          ///< all changes up to it are known
    departures_t departures;       ///< VMs that have left
    /// Records of the listing in progress, or of the last one, that weren't
    /// taken because a later state of their VMs is known.
    uint32_t refused_count;
    uint32_t absent_count; ///< VMs that the last listing did not contain
} published_list_t;

void published_list_init(published_list_t *list, const clock_source_t *clock,
                         const published_list_hooks_t *hooks, void *context);
void published_list_finish(published_list_t *list);
bool published_list_put(published_list_t *list, const vm_info_t *info,
                        source_point_t changed, source_point_t read);
void published_list_remove(published_list_t *list, const char *vm,
                           source_point_t changed);
void published_list_begin_listing(published_list_t *list);
void published_list_end_listing(published_list_t *list, source_point_t point);
void published_list_advance(published_list_t *list, source_point_t point);
void published_list_source_lost(published_list_t *list);
void published_list_source_recovered(published_list_t *list);
void published_list_source_unused(published_list_t *list);
void published_list_extend_removal_grace(published_list_t *list,
                                         int64_t for_us);
int64_t published_list_removal_grace_left_us(const published_list_t *list);
void published_list_tick(published_list_t *list);

#endif
