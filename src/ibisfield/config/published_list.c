/// @file
/// Decides when a VM that is missing from its source's list is gone.

#include "ibisfield/config/published_list.h"

/// Live VMs whose entries lapsed are listed again within 2 s of the source's
/// return, by the source's promise; the rest is for their way here.
#define RETURN_TIME_US (2300 * US_PER_MS)
/// Entries outlive several missed heartbeats, so a shorter outage removes
/// none; a removal after it is meant.
#define LAPSE_OUTAGE_US US_PER_S

typedef struct {
    vm_info_t info;
    uint64_t revision;
    uint64_t listing; ///< in which it was last seen
    bool missing;     ///< removed while removals were in doubt
} published_entry_t;

/// Initialises an empty list.
void
published_list_init(published_list_t *list, const clock_source_t *clock,
                    const published_list_hooks_t *hooks, void *context)
{
    *list = (published_list_t){
        .clock = clock,
        .hooks = *hooks,
        .context = context,
        .vms = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free),
    };
}

void
published_list_finish(published_list_t *list)
{
    g_hash_table_destroy(list->vms);
}

/// Takes an entry; one with an older revision than the one held is ignored.
void
published_list_put(published_list_t *list, const vm_info_t *info,
                   uint64_t revision)
{
    published_entry_t *entry = g_hash_table_lookup(list->vms, info->vm);
    if (entry == NULL) {
        entry = g_new0(published_entry_t, 1);
        entry->info = *info;
        g_hash_table_insert(list->vms, entry->info.vm, entry);
    }
    else if (revision < entry->revision) {
        return;
    }
    bool changed = entry->revision == 0 || !vm_info_equal(&entry->info, info);
    entry->info = *info;
    entry->revision = revision;
    entry->listing = list->list_generation;
    entry->missing = false;
    if (changed) {
        list->hooks.listed(list->context, &entry->info);
    }
}

static bool
is_in_doubt(const published_list_t *list)
{
    return clock_now_us(list->clock) < list->removal_grace_ends_us;
}

static void
drop(published_list_t *list, published_entry_t *entry)
{
    char vm[VM_NAME_MAX + 1];
    g_strlcpy(vm, entry->info.vm, sizeof(vm));
    g_hash_table_remove(list->vms, vm);
    list->hooks.removed(list->context, vm);
}

/// Takes a removal. In doubt the VM stays until its entry had time to return,
/// unless it said that it is leaving.
void
published_list_remove(published_list_t *list, const char *vm,
                      uint64_t revision)
{
    published_entry_t *entry = g_hash_table_lookup(list->vms, vm);
    if (entry == NULL || revision < entry->revision) {
        return;
    }
    if (is_in_doubt(list) && !entry->info.draining) {
        entry->missing = true;
        return;
    }
    drop(list, entry);
}

/// Begins a whole list; its entries follow as published_list_put().
void
published_list_begin(published_list_t *list)
{
    list->list_generation++;
}

/// Ends a whole list that was read at @p revision: what it lacks is removed.
void
published_list_end(published_list_t *list, uint64_t revision)
{
    GPtrArray *lacking = g_ptr_array_new_with_free_func(g_free);
    GHashTableIter iter;
    void *pointer = NULL;
    g_hash_table_iter_init(&iter, list->vms);
    while (g_hash_table_iter_next(&iter, NULL, &pointer)) {
        const published_entry_t *entry = pointer;
        if (entry->listing != list->list_generation) {
            g_ptr_array_add(lacking, g_strdup(entry->info.vm));
        }
    }
    for (guint i = 0; i < lacking->len; i++) {
        published_list_remove(list, lacking->pdata[i], revision);
    }
    g_ptr_array_unref(lacking);
}

/// The source doesn't answer any more.
void
published_list_source_lost(published_list_t *list)
{
    if (list->outage_start_us == 0) {
        list->outage_start_us = clock_now_us(list->clock);
    }
}

/// The source answers again. After a long outage the removals that follow may
/// be entries of live VMs that lapsed.
void
published_list_source_recovered(published_list_t *list)
{
    int64_t now_us = clock_now_us(list->clock);
    if (list->outage_start_us != 0 &&
        now_us - list->outage_start_us >= LAPSE_OUTAGE_US)
    {
        list->removal_grace_ends_us = now_us + RETURN_TIME_US;
    }
    list->outage_start_us = 0;
}

/// Removals are in doubt for this time at least.
void
published_list_extend_removal_grace(published_list_t *list, int64_t for_us)
{
    list->removal_grace_ends_us =
        MAX(list->removal_grace_ends_us, clock_now_us(list->clock) + for_us);
}

/// Returns how long removals are still in doubt; 0: they aren't.
int64_t
published_list_removal_grace_left_us(const published_list_t *list)
{
    return MAX(list->removal_grace_ends_us - clock_now_us(list->clock), 0);
}

/// Drops the VMs that had time to return and did not. Call a few times a
/// second.
void
published_list_tick(published_list_t *list)
{
    if (list->removal_grace_ends_us == 0 || is_in_doubt(list)) {
        return;
    }
    list->removal_grace_ends_us = 0;
    GPtrArray *gone = g_ptr_array_new();
    GHashTableIter iter;
    void *pointer = NULL;
    g_hash_table_iter_init(&iter, list->vms);
    while (g_hash_table_iter_next(&iter, NULL, &pointer)) {
        if (((published_entry_t *)pointer)->missing) {
            g_ptr_array_add(gone, pointer);
        }
    }
    for (guint i = 0; i < gone->len; i++) {
        drop(list, gone->pdata[i]);
    }
    g_ptr_array_unref(gone);
}
