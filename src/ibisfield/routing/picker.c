/// @file
/// Choice of the VM for each attempt.

#include "ibisfield/routing/picker.h"

/// Weight of one sample in the moving average of the latency.
#define LATENCY_WEIGHT 0.1

typedef struct {
    char *name; ///< NULL: the handle is free
    char *data_centre;
    char *service;
    bool leaving;
    uint32_t outstanding;
    double latency_us; ///< moving average; 0 before the first answer
} vm_entry_t;

typedef struct {
    GArray *vms; ///< of vm_handle_t
    uint32_t next;
} service_entry_t;

static vm_entry_t *
vm_at(const picker_t *picker, vm_handle_t vm)
{
    if (vm >= picker->vms->len) {
        return NULL;
    }
    vm_entry_t *entry = &g_array_index(picker->vms, vm_entry_t, vm);
    return entry->name == NULL ? NULL : entry;
}

static void
free_service(gpointer data)
{
    service_entry_t *service = data;
    g_array_free(service->vms, TRUE);
    g_free(service);
}

static service_entry_t *
service_for(picker_t *picker, const char *name)
{
    service_entry_t *service = g_hash_table_lookup(picker->services, name);
    if (service == NULL) {
        service = g_new0(service_entry_t, 1);
        service->vms = g_array_new(FALSE, FALSE, sizeof(vm_handle_t));
        g_hash_table_insert(picker->services, g_strdup(name), service);
    }
    return service;
}

static void
leave_service(picker_t *picker, const vm_entry_t *entry, vm_handle_t vm)
{
    service_entry_t *service = service_for(picker, entry->service);
    for (guint i = 0; i < service->vms->len; i++) {
        if (g_array_index(service->vms, vm_handle_t, i) == vm) {
            g_array_remove_index(service->vms, i);
            return;
        }
    }
}

static void
clear_entry(vm_entry_t *entry)
{
    g_free(entry->name);
    g_free(entry->data_centre);
    g_free(entry->service);
    *entry = (vm_entry_t){0};
}

static vm_handle_t
new_handle(picker_t *picker)
{
    vm_entry_t none = {0};
    g_array_append_val(picker->vms, none);
    return picker->vms->len - 1;
}

static bool
was_tried(vm_handle_t vm, const vm_handle_t *tried, uint32_t tried_count)
{
    for (uint32_t i = 0; i < tried_count; i++) {
        if (tried[i] == vm) {
            return true;
        }
    }
    return false;
}

static void
collect(picker_t *picker, const service_entry_t *service,
        const vm_handle_t *tried, uint32_t tried_count)
{
    g_array_set_size(picker->candidates, 0);
    for (guint i = 0; i < service->vms->len; i++) {
        vm_handle_t vm = g_array_index(service->vms, vm_handle_t, i);
        if (!vm_at(picker, vm)->leaving && !was_tried(vm, tried, tried_count))
        {
            g_array_append_val(picker->candidates, vm);
        }
    }
}

static double
expected_time(const picker_t *picker, vm_handle_t vm)
{
    const vm_entry_t *entry = vm_at(picker, vm);
    return (entry->latency_us + 1) * (entry->outstanding + 1);
}

static vm_handle_t
random_candidate(picker_t *picker)
{
    guint index = (guint)g_rand_int_range(picker->random, 0,
                                          (gint32)picker->candidates->len);
    return g_array_index(picker->candidates, vm_handle_t, index);
}

static vm_handle_t
choose(picker_t *picker)
{
    vm_handle_t first = random_candidate(picker);
    vm_handle_t second = random_candidate(picker);
    return expected_time(picker, second) < expected_time(picker, first)
               ? second
               : first;
}

/// Initialises a picker without VMs.
void
picker_init(picker_t *picker, const clock_source_t *clock,
            const picker_options_t *options)
{
    *picker = (picker_t){
        .clock = clock,
        .options = *options,
        .vms = g_array_new(FALSE, FALSE, sizeof(vm_entry_t)),
        .by_name = g_hash_table_new(g_str_hash, g_str_equal),
        .services = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                          free_service),
        .candidates = g_array_new(FALSE, FALSE, sizeof(vm_handle_t)),
        .random = g_rand_new_with_seed(options->seed),
    };
}

/// Releases the picker.
void
picker_finish(picker_t *picker)
{
    for (guint i = 0; i < picker->vms->len; i++) {
        clear_entry(&g_array_index(picker->vms, vm_entry_t, i));
    }
    g_array_free(picker->vms, TRUE);
    g_array_free(picker->candidates, TRUE);
    g_hash_table_destroy(picker->by_name);
    g_hash_table_destroy(picker->services);
    g_rand_free(picker->random);
}

/// Adds or updates a VM of the published list; returns its handle, which is
/// stable while the VM is listed.
vm_handle_t
picker_set_vm(picker_t *picker, const picker_vm_t *vm)
{
    vm_handle_t handle =
        GPOINTER_TO_UINT(g_hash_table_lookup(picker->by_name, vm->vm)) - 1;
    if (handle != VM_NONE) {
        vm_entry_t *known = vm_at(picker, handle);
        if (g_str_equal(known->service, vm->service) &&
            g_str_equal(known->data_centre, vm->data_centre))
        {
            known->leaving = vm->leaving;
            return handle;
        }
        picker_remove_vm(picker, vm->vm);
    }
    handle = new_handle(picker);
    vm_entry_t *entry = &g_array_index(picker->vms, vm_entry_t, handle);
    entry->name = g_strdup(vm->vm);
    entry->data_centre = g_strdup(vm->data_centre);
    entry->service = g_strdup(vm->service);
    entry->leaving = vm->leaving;
    g_hash_table_insert(picker->by_name, entry->name,
                        GUINT_TO_POINTER(handle + 1));
    g_array_append_val(service_for(picker, vm->service)->vms, handle);
    return handle;
}

/// Removes a VM; its handle is invalid afterwards.
void
picker_remove_vm(picker_t *picker, const char *vm)
{
    vm_handle_t handle =
        GPOINTER_TO_UINT(g_hash_table_lookup(picker->by_name, vm)) - 1;
    vm_entry_t *entry = vm_at(picker, handle);
    if (entry == NULL) {
        return;
    }
    g_hash_table_remove(picker->by_name, vm);
    leave_service(picker, entry, handle);
    clear_entry(entry);
}

/// Returns the VM's name, NULL if the handle names no VM.
const char *
picker_vm_name(const picker_t *picker, vm_handle_t vm)
{
    const vm_entry_t *entry = vm_at(picker, vm);
    return entry == NULL ? NULL : entry->name;
}

/// Chooses a VM for one attempt and counts it as in flight there. @p tried
/// lists VMs to avoid if another is usable. @p kind is a hash of customer and
/// kind name.
pick_t
picker_pick(picker_t *picker, const char *service, uint64_t kind,
            int32_t worth, const vm_handle_t *tried, uint32_t tried_count,
            vm_handle_t *vm)
{
    (void)kind;
    (void)worth;
    service_entry_t *entry = g_hash_table_lookup(picker->services, service);
    if (entry == NULL) {
        return PICK_NO_UPSTREAM;
    }
    collect(picker, entry, tried, tried_count);
    if (picker->candidates->len == 0) {
        collect(picker, entry, NULL, 0);
    }
    if (picker->candidates->len == 0) {
        return PICK_NO_UPSTREAM;
    }
    *vm = choose(picker);
    vm_at(picker, *vm)->outstanding++;
    return PICK_OK;
}

/// Ends an attempt that picker_pick() began. @p latency_us is from send to
/// answer; @p load may be NULL.
void
picker_report(picker_t *picker, vm_handle_t vm, uint64_t kind, report_t report,
              int64_t latency_us, const guard_load_t *load)
{
    (void)kind;
    (void)load;
    vm_entry_t *entry = vm_at(picker, vm);
    if (entry == NULL) {
        return;
    }
    if (entry->outstanding > 0) {
        entry->outstanding--;
    }
    if (report == REPORT_LEAVING) {
        entry->leaving = true;
    }
    if (report == REPORT_ANSWERED) {
        entry->latency_us +=
            LATENCY_WEIGHT * ((double)latency_us - entry->latency_us);
    }
}

/// After how long a second attempt is worth its cost, by recent latencies of
/// the kind; 0: don't hedge.
int64_t
picker_hedge_delay_us(const picker_t *picker, uint64_t kind)
{
    (void)picker;
    (void)kind;
    return 0;
}
