/// @file
/// Decides when a VM that its source no longer lists is removed.

#include "ibisfield/config/published_list.h"

#include <inttypes.h>

#include "ibisfield/base/log.h"
#include "ibisfield/base/metrics.h"

/// The source guarantees that live VMs whose records have expired are listed
/// again within 2 s of its return; 300 ms more are for the way to this node.
#define REMOVAL_GRACE_US (2300 * US_PER_MS)
/// An outage that is shorter than this starts no grace period: records outlive
/// several missed heartbeats of their VMs, so none has expired, and the
/// removals after the outage are genuine.
#define EXPIRY_OUTAGE_MIN_US US_PER_S

typedef struct {
    vm_info_t *info;
    source_point_t changed;   ///< last change, or pending removal
    vm_last_state_t state;    ///< last published
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
    departures_init(&list->departures, clock);
}

void
published_list_finish(published_list_t *list)
{
    departures_finish(&list->departures);
    g_hash_table_destroy(list->vms);
}

/// Returns whether a change or removal that this list already has is newer
/// than the record.
static bool
is_outdated(const published_list_t *list, const published_record_t *record,
            source_point_t changed, source_point_t read)
{
    if (record == NULL) {
        return source_record_is_outdated(list->point, changed, read);
    }
    int order = source_point_compare(changed, record->changed);
    return record->info->removal_pending ? order <= 0 : order < 0;
}

/// Returns whether the record is one that a later state of its VM has
/// replaced, although its era is later: the source came back from a copy.
static bool
refuse_copied(published_list_t *list, published_record_t *record,
              const vm_info_t *info, source_point_t changed,
              source_point_t read)
{
    if (record != NULL &&
        !vm_last_state_is_later(&record->state, info, changed, read))
    {
        return false;
    }
    // A VM whose removal is pending stays listed as such until it is final.
    if (record != NULL && record->info->removal_pending) {
        departures_add(&list->departures, info->vm, &record->state);
    }
    if ((record == NULL || record->info->removal_pending) &&
        !departures_refuse(&list->departures, info, changed, read))
    {
        return false;
    }
    if (record != NULL) {
        record->changed = changed;
        record->list_generation = list->list_generation;
    }
    list->refused_count++;
    metric_increment(METRIC_STORE_RECORDS_REFUSED_TOTAL);
    log_info("vm_record_from_copy",
             "upstream_vm=%s era=%" PRIu64 " revision=%" PRIu64
             " listed=%d leaving=%d",
             info->vm, changed.era, changed.revision, record != NULL,
             record != NULL && record->info->draining);
    return true;
}

/// Adds or updates a VM whose record was written at @p changed. The record is
/// ignored if a later change or removal of the VM is known. @p read is the
/// point at which the source still had the record, unset if the record comes
/// from a change. Returns false if the source has gone back to this record,
/// and the later state that is known here holds in its place.
bool
published_list_put(published_list_t *list, const vm_info_t *info,
                   source_point_t changed, source_point_t read)
{
    published_record_t *record = g_hash_table_lookup(list->vms, info->vm);
    if (is_outdated(list, record, changed, read)) {
        log_info("vm_record_outdated",
                 "upstream_vm=%s revision=%" PRIu64 " known=%" PRIu64
                 " era=%" PRIu64 " known_era=%" PRIu64,
                 info->vm, changed.revision,
                 record == NULL ? list->point.revision
                                : record->changed.revision,
                 changed.era,
                 record == NULL ? list->point.era : record->changed.era);
        return true;
    }
    if (refuse_copied(list, record, info, changed, read)) {
        return false;
    }
    bool differs = record == NULL || !vm_info_equal(record->info, info);
    if (differs) {
        published_record_t *replacement = g_new0(published_record_t, 1);
        replacement->info = vm_info_copy(info);
        g_hash_table_replace(list->vms, replacement->info->vm, replacement);
        record = replacement;
        departures_remove(&list->departures, info->vm);
    }
    record->changed = changed;
    record->list_generation = list->list_generation;
    record->state = (vm_last_state_t){
        .born_ms = info->born_ms,
        .sequence = info->sequence,
        .draining = info->draining,
        .changed = changed,
    };
    if (differs) {
        list->hooks.listed(list->context, record->info);
    }
    return true;
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
    vm_last_state_t state = record->state;
    state.removed = true;
    state.changed = record->changed;
    departures_add(&list->departures, vm, &state);
    g_hash_table_remove(list->vms, vm);
    list->hooks.removed(list->context, vm);
    g_free(vm);
}

/// Removes a VM, or defers that. @p has_left: the source has shown that the VM
/// left, or that its record expired; otherwise it may just have lost the
/// record.
static void
remove_or_defer(published_list_t *list, published_record_t *record,
                source_point_t changed, bool has_left)
{
    if (source_point_compare(changed, record->changed) < 0) {
        return;
    }
    record->changed = changed;
    if (are_removals_final(list) || record->info->draining) {
        remove_record(list, record);
        return;
    }
    if (has_left) {
        record->state.removed = true;
        record->state.changed = changed;
    }
    if (!record->info->removal_pending) {
        record->info->removal_pending = true;
        list->hooks.listed(list->context, record->info);
    }
}

/// Removes a VM. While removals aren't final a VM that isn't draining stays in
/// the list, because its record may return. The removal of a draining VM is
/// expected and takes effect at once.
void
published_list_remove(published_list_t *list, const char *vm,
                      source_point_t changed)
{
    published_record_t *record = g_hash_table_lookup(list->vms, vm);
    departures_note_removal(&list->departures, vm);
    if (record != NULL) {
        remove_or_defer(list, record, changed, true);
    }
}

/// Starts a full listing of the source. Its VMs follow in calls of
/// published_list_put().
void
published_list_begin_listing(published_list_t *list)
{
    list->list_generation++;
    list->refused_count = 0;
    departures_begin_listing(&list->departures);
}

/// Ends a full listing that was read at @p point and removes the VMs that it
/// does not contain. In the first listing of an era these may be VMs that live
/// and that the copy lacks: a grace period begins in which they write their
/// records again.
void
published_list_end_listing(published_list_t *list, source_point_t point)
{
    bool new_era =
        source_point_is_set(list->point) && point.era > list->point.era;
    if (new_era) {
        published_list_extend_removal_grace(list, REMOVAL_GRACE_US);
    }
    GPtrArray *absent = g_ptr_array_new();
    GHashTableIter iter;
    void *pointer = NULL;
    g_hash_table_iter_init(&iter, list->vms);
    while (g_hash_table_iter_next(&iter, NULL, &pointer)) {
        const published_record_t *record = pointer;
        if (record->list_generation != list->list_generation) {
            g_ptr_array_add(absent, pointer);
        }
    }
    list->absent_count = absent->len;
    for (guint i = 0; i < absent->len; i++) {
        remove_or_defer(list, absent->pdata[i], point, !new_era);
    }
    g_ptr_array_unref(absent);
    departures_end_listing(&list->departures);
    published_list_advance(list, point);
}

/// Notes that all changes up to @p point have been put or removed.
void
published_list_advance(published_list_t *list, source_point_t point)
{
    list->point = source_point_max(list->point, point);
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

/// Lists the VMs whose records were refused, but which live.
static void
list_living(published_list_t *list)
{
    source_point_t changed;
    vm_info_t *info = NULL;
    while ((info = departures_next_alive(&list->departures, &changed)) != NULL)
    {
        published_list_put(list, info, changed, list->point);
        vm_info_free(info);
    }
}

/// Removes the VMs whose records did not return before removals are final. To
/// be called a few times a second.
void
published_list_tick(published_list_t *list)
{
    list_living(list);
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
