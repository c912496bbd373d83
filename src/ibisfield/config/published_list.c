/// @file
/// Decides when a VM that its source no longer lists is removed.

#include "ibisfield/config/published_list.h"

#include <inttypes.h>

#include "ibisfield/base/log.h"
#include "ibisfield/config/source_order.h"

/// The source guarantees that live VMs whose records have expired are listed
/// again within 2 s of its return; 300 ms more are for the way to this node.
#define REMOVAL_GRACE_US (2300 * US_PER_MS)
/// An outage that is shorter than this starts no grace period: records outlive
/// several missed heartbeats of their VMs, so none has expired, and the
/// removals after the outage are genuine.
#define EXPIRY_OUTAGE_MIN_US US_PER_S

typedef struct {
    vm_info_t *info;
    uint64_t revision;        ///< of the last change, or of a pending removal
    uint64_t list_generation; ///< number of the last full listing with it
} published_record_t;

static void
free_record(void *pointer)
{
    published_record_t *record = pointer;
    vm_info_free(record->info);
    g_free(record);
}

/// Initialises an empty list.
void
published_list_init(published_list_t *list, const clock_source_t *clock,
                    const published_list_hooks_t *hooks, void *context)
{
    *list = (published_list_t){
        .clock = clock,
        .hooks = *hooks,
        .context = context,
        .vms =
            g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_record),
    };
}

void
published_list_finish(published_list_t *list)
{
    g_hash_table_destroy(list->vms);
}

/// Returns whether a change or removal that this list already has is newer
/// than the record.
static bool
is_outdated(const published_list_t *list, const published_record_t *record,
            uint64_t revision, uint64_t read_revision)
{
    if (record == NULL) {
        return source_record_is_outdated(list->revision, revision,
                                         read_revision);
    }
    return record->info->removal_pending ? revision <= record->revision
                                         : revision < record->revision;
}

/// Adds or updates a VM whose record was written at @p revision. The record is
/// ignored if a later change or removal of the VM is known. @p read_revision
/// is the revision at which the source still had the record, 0 if the record
/// comes from a change.
void
published_list_put(published_list_t *list, const vm_info_t *info,
                   uint64_t revision, uint64_t read_revision)
{
    published_record_t *record = g_hash_table_lookup(list->vms, info->vm);
    if (is_outdated(list, record, revision, read_revision)) {
        log_info("vm_record_outdated",
                 "upstream_vm=%s revision=%" PRIu64 " known=%" PRIu64,
                 info->vm, revision,
                 record == NULL ? list->revision : record->revision);
        return;
    }
    bool changed = record == NULL || !vm_info_equal(record->info, info);
    if (changed) {
        published_record_t *replacement = g_new0(published_record_t, 1);
        replacement->info = vm_info_copy(info);
        g_hash_table_replace(list->vms, replacement->info->vm, replacement);
        record = replacement;
    }
    record->revision = revision;
    record->list_generation = list->list_generation;
    if (changed) {
        list->hooks.listed(list->context, record->info);
    }
}

static bool
are_removals_final(const published_list_t *list)
{
    return list->outage_start_us == 0 &&
           clock_now_us(list->clock) >= list->removal_grace_ends_us;
}

static void
remove_record(published_list_t *list, published_record_t *record)
{
    char *vm = g_strdup(record->info->vm);
    g_hash_table_remove(list->vms, vm);
    list->hooks.removed(list->context, vm);
    g_free(vm);
}

/// Removes a VM. While removals aren't final a VM that isn't draining stays in
/// the list, because its record may return. The removal of a draining VM is
/// expected and takes effect at once.
void
published_list_remove(published_list_t *list, const char *vm,
                      uint64_t revision)
{
    published_record_t *record = g_hash_table_lookup(list->vms, vm);
    if (record == NULL || revision < record->revision) {
        return;
    }
    if (are_removals_final(list) || record->info->draining) {
        remove_record(list, record);
    }
    else {
        record->revision = revision;
        if (!record->info->removal_pending) {
            record->info->removal_pending = true;
            list->hooks.listed(list->context, record->info);
        }
    }
}

/// Starts a full listing of the source. Its VMs follow in calls of
/// published_list_put().
void
published_list_begin_listing(published_list_t *list)
{
    list->list_generation++;
}

/// Ends a full listing that was read at @p revision and removes the VMs that
/// it does not contain.
void
published_list_end_listing(published_list_t *list, uint64_t revision)
{
    GPtrArray *absent = g_ptr_array_new_with_free_func(g_free);
    GHashTableIter iter;
    void *pointer = NULL;
    g_hash_table_iter_init(&iter, list->vms);
    while (g_hash_table_iter_next(&iter, NULL, &pointer)) {
        const published_record_t *record = pointer;
        if (record->list_generation != list->list_generation) {
            g_ptr_array_add(absent, g_strdup(record->info->vm));
        }
    }
    for (guint i = 0; i < absent->len; i++) {
        published_list_remove(list, absent->pdata[i], revision);
    }
    g_ptr_array_unref(absent);
    published_list_advance(list, revision);
}

/// Notes that all changes up to @p revision have been put or removed.
void
published_list_advance(published_list_t *list, uint64_t revision)
{
    list->revision = MAX(list->revision, revision);
}

/// Notes that the source has become unreachable.
void
published_list_source_lost(published_list_t *list)
{
    if (list->outage_start_us == 0) {
        list->outage_start_us = clock_now_us(list->clock);
    }
}

/// Notes that the source is reachable again. After a long outage a grace
/// period begins, because the removals that follow may be expired records of
/// live VMs.
void
published_list_source_recovered(published_list_t *list)
{
    int64_t now_us = clock_now_us(list->clock);
    if (list->outage_start_us != 0 &&
        now_us - list->outage_start_us >= EXPIRY_OUTAGE_MIN_US)
    {
        list->removal_grace_ends_us = now_us + REMOVAL_GRACE_US;
    }
    list->outage_start_us = 0;
}

/// Notes that this node no longer reads the source, whether it is reachable or
/// not: other nodes report its changes, and the grace period if there is one.
void
published_list_source_unused(published_list_t *list)
{
    list->outage_start_us = 0;
}

/// Extends the grace period to last for at least @p for_us from now.
void
published_list_extend_removal_grace(published_list_t *list, int64_t for_us)
{
    list->removal_grace_ends_us =
        MAX(list->removal_grace_ends_us, clock_now_us(list->clock) + for_us);
}

/// Returns the rest of the grace period, 0 if there is none.
int64_t
published_list_removal_grace_left_us(const published_list_t *list)
{
    return MAX(list->removal_grace_ends_us - clock_now_us(list->clock), 0);
}

/// Removes the VMs whose records did not return before removals are final. To
/// be called a few times a second.
void
published_list_tick(published_list_t *list)
{
    if (!are_removals_final(list)) {
        return;
    }
    GPtrArray *removed = g_ptr_array_new();
    GHashTableIter iter;
    void *pointer = NULL;
    g_hash_table_iter_init(&iter, list->vms);
    while (g_hash_table_iter_next(&iter, NULL, &pointer)) {
        if (((published_record_t *)pointer)->info->removal_pending) {
            g_ptr_array_add(removed, pointer);
        }
    }
    for (guint i = 0; i < removed->len; i++) {
        remove_record(list, removed->pdata[i]);
    }
    g_ptr_array_unref(removed);
}
