/// @file
/// The state machine of configuration distribution on one node. Its inputs are
/// results of reads, control messages and the time; it sends messages and
/// starts reads through a vtable. This file has the public functions, the
/// reads of the platform and the adoption of items.

#include "ibisfield/config/replicator.h"

#include <inttypes.h>
#include <xxhash.h>

#include "ibisfield/base/log.h"
#include "ibisfield/base/metrics.h"
#include "ibisfield/config/control_codec.h"
#include "ibisfield/config/replicator_internal.h"

/// Groups of the items that belong to no data centre. The group of a listed VM
/// is the hash of its data centre.
#define GROUP_CONTRACTS 1
#define GROUP_REMOVED_VMS 2
/// Delay after a first failed read. It doubles with each further failure.
#define READ_RETRY_MIN_US (250 * US_PER_MS)
#define READ_RETRY_MAX_US (2 * US_PER_S)
/// Minimum interval between reads without new items, for a platform that
/// doesn't hold long polls.
#define READ_SPACING_US (200 * US_PER_MS)

static bool
check_item(void *context, const config_item_t *item, void *problems)
{
    replicator_t *replicator = context;
    if (item_is_vm(item->name)) {
        vm_info_finish(&replicator->parsed_vm);
        return vm_info_parse(&replicator->parsed_vm, item, problems);
    }
    return replicator->io->vtable->check(replicator->io, item, problems);
}

/// Returns the group of an item that check_item() has just parsed. That of a
/// VM depends on its data centre. The item of a removed VM doesn't name a data
/// centre any more, so all removed VMs form one group.
static uint64_t
group_of_item(void *context, const config_item_t *item)
{
    const replicator_t *replicator = context;
    if (!item_is_vm(item->name)) {
        return GROUP_CONTRACTS;
    }
    if (item->value.len == 0) {
        return GROUP_REMOVED_VMS;
    }
    const char *data_centre = replicator->parsed_vm.data_centre;
    return XXH3_64bits(data_centre, strlen(data_centre));
}

/// Returns whether a change of a VM affects the relay plan, because the VM is
/// or was in the own data centre. @p after is NULL if the VM was removed.
static bool
affects_plan(const replicator_t *replicator, const char *vm,
             const vm_info_t *after)
{
    const vm_info_t *before = vm_view_find(&replicator->view, vm);
    const char *own = replicator->data_centre;
    return (before != NULL && strcmp(before->data_centre, own) == 0) ||
           (after != NULL && strcmp(after->data_centre, own) == 0);
}

static void
item_changed(void *context, const config_item_t *item)
{
    replicator_t *replicator = context;
    if (item_is_vm(item->name)) {
        const char *vm = item->name + strlen(VM_ITEM_PREFIX);
        bool removed = item->value.len == 0;
        replicator->plan_stale |= affects_plan(
            replicator, vm, removed ? NULL : &replicator->parsed_vm);
        if (removed) {
            vm_view_remove(&replicator->view, vm);
        }
        else {
            vm_view_put(&replicator->view, &replicator->parsed_vm);
        }
    }
    if (replicator->phase == PHASE_RUNNING) {
        g_ptr_array_add(replicator->changed_names, g_strdup(item->name));
    }
    replicator->io->vtable->changed(replicator->io, item);
}

/// Adopts an item from the platform or from a peer.
void
replicator_adopt(replicator_t *replicator, const config_item_t *item)
{
    item_store_adopt(&replicator->store, item);
}

/// Returns @p delay_us with a random jitter of up to 25 % either way.
int64_t
replicator_jitter(replicator_t *replicator, int64_t delay_us)
{
    double factor = g_rand_double_range(replicator->random, 0.75, 1.25);
    return (int64_t)((double)delay_us * factor);
}

/// Returns the current plan, rebuilt if VMs of the own data centre have
/// changed.
const relay_plan_t *
replicator_plan(replicator_t *replicator)
{
    if (replicator->plan_stale) {
        relay_plan_build(&replicator->plan, &replicator->view,
                         replicator->data_centre, replicator->vm);
        replicator->plan_stale = false;
        replicator_relay_update_ranks(replicator);
    }
    return &replicator->plan;
}

/// Looks up the control endpoint of a VM. Returns false if it is not listed.
bool
replicator_find_peer(const replicator_t *replicator, const char *vm,
                     config_peer_t *peer)
{
    const vm_info_t *info = vm_view_find(&replicator->view, vm);
    if (info == NULL) {
        return false;
    }
    *peer = vm_info_peer(info);
    return true;
}

/// Initialises a replicator that does nothing until replicator_start().
/// @p options is copied; @p io must outlive the replicator.
void
replicator_init(replicator_t *replicator, const clock_source_t *clock,
                replicator_io_t *io, const replicator_options_t *options)
{
    *replicator = (replicator_t){.clock = clock,
                                 .io = io,
                                 .own_endpoint = options->own_endpoint,
                                 .plan_stale = true};
    g_strlcpy(replicator->vm, options->vm, sizeof(replicator->vm));
    g_strlcpy(replicator->data_centre, options->data_centre,
              sizeof(replicator->data_centre));
    replicator->seed_count = MIN(options->seed_count, SETTINGS_SEEDS_MAX);
    for (uint32_t i = 0; i < replicator->seed_count; i++) {
        replicator->seeds[i] = options->seeds[i];
    }
    replicator->random = g_rand_new_with_seed(options->random_seed);
    item_store_init(&replicator->store,
                    &(item_hooks_t){check_item, item_changed, group_of_item},
                    replicator);
    vm_view_init(&replicator->view);
    relay_plan_init(&replicator->plan);
    replicator->probed_endpoints =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    replicator->changed_names = g_ptr_array_new_with_free_func(g_free);
    replicator_pulls_init(replicator);
}

void
replicator_finish(replicator_t *replicator)
{
    control_message_clear(&replicator->reply);
    replicator_pulls_finish(replicator);
    g_ptr_array_unref(replicator->changed_names);
    g_hash_table_destroy(replicator->probed_endpoints);
    relay_plan_finish(&replicator->plan);
    vm_view_finish(&replicator->view);
    vm_info_finish(&replicator->parsed_vm);
    item_store_finish(&replicator->store);
    g_rand_free(replicator->random);
}

/// Begins the first start-up round.
void
replicator_start(replicator_t *replicator)
{
    replicator->phase = PHASE_WAITING;
    replicator->next_round_us = 0;
    replicator_startup_tick(replicator);
}

/// Returns whether a start-up round has found a source: the platform, or a
/// peer that is ready itself.
bool
replicator_is_ready(const replicator_t *replicator)
{
    return replicator->phase == PHASE_RUNNING;
}

static bool
has_refused_item(const replicator_t *replicator, config_list_t list)
{
    GHashTableIter iter;
    void *key = NULL;
    g_hash_table_iter_init(&iter, replicator->store.refused);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        const stored_item_t *item = key;
        if (item_is_vm(item->name) == (list == LIST_VMS)) {
            return true;
        }
    }
    return false;
}

/// Returns the state that is reported to other nodes. A list with a refused
/// item is reported without its revision. Otherwise a node of another release,
/// which may accept the refused version, would adopt the revision from this
/// node, read only later changes from the platform, and never get the version.
config_state_t
replicator_state(const replicator_t *replicator)
{
    config_state_t state = {.digest = replicator->store.digest,
                            .ready = replicator_is_ready(replicator)};
    for (int i = 0; i < LIST_COUNT; i++) {
        if (!has_refused_item(replicator, (config_list_t)i)) {
            state.revisions[i] = replicator->lists[i].revision;
        }
    }
    return state;
}

static void
read_list(replicator_t *replicator, config_list_t which)
{
    replicator_list_t *list = &replicator->lists[which];
    list->reading = true;
    list->read_started_us = clock_now_us(replicator->clock);
    replicator->io->vtable->read_list(replicator->io, which, list->revision,
                                      LONG_POLL_MS);
}

/// Starts the read of a list when it is due, or cancels it if the node isn't a
/// reader any more.
static void
tick_list(replicator_t *replicator, config_list_t which)
{
    replicator_list_t *list = &replicator->lists[which];
    bool reader = replicator_is_reader(replicator);
    if (list->reading && !reader) {
        replicator->io->vtable->cancel_read(replicator->io, which);
        list->reading = false;
    }
    else if (!list->reading && reader &&
             clock_now_us(replicator->clock) >= list->next_read_us)
    {
        read_list(replicator, which);
    }
}

/// Runs the work that is due. Must be called every REPLICATOR_TICK_US.
void
replicator_tick(replicator_t *replicator)
{
    replicator->current_sender[0] = '\0';
    if (replicator->phase != PHASE_RUNNING) {
        replicator_startup_tick(replicator);
        return;
    }
    for (int i = 0; i < LIST_COUNT; i++) {
        tick_list(replicator, (config_list_t)i);
    }
    replicator_relay_tick(replicator);
    replicator_relay_flush(replicator);
}

static void
read_failed(replicator_t *replicator, config_list_t which)
{
    replicator_list_t *list = &replicator->lists[which];
    if (!list->failing) {
        log_warning("platform_read_failed", "list=%s",
                    which == LIST_VMS ? "vm" : "contract");
    }
    list->failing = true;
    list->retry_delay_us =
        CLAMP(list->retry_delay_us * 2, READ_RETRY_MIN_US, READ_RETRY_MAX_US);
    list->next_read_us = clock_now_us(replicator->clock) +
                         replicator_jitter(replicator, list->retry_delay_us);
}

/// Adopts the items that the platform returned. If its revision is below the
/// known one, the platform has returned to an older state: the watch continues
/// from the lower revision, so that no change of the new history is missed,
/// and the store ignores versions that are not above those in force.
static void
read_succeeded(replicator_t *replicator, config_list_t which,
               const list_read_result_t *result)
{
    replicator_list_t *list = &replicator->lists[which];
    if (list->failing) {
        log_info("platform_read_recovered", "list=%s",
                 which == LIST_VMS ? "vm" : "contract");
    }
    if (result->revision < list->revision) {
        metric_increment(METRIC_PLATFORM_WENT_BACK_TOTAL);
        log_warning("platform_went_back",
                    "list=%s known=%" PRIu64 " answered=%" PRIu64,
                    which == LIST_VMS ? "vm" : "contract", list->revision,
                    result->revision);
    }
    list->failing = false;
    list->retry_delay_us = 0;
    list->next_read_us = 0;
    if (result->item_count == 0) {
        list->next_read_us = list->read_started_us + READ_SPACING_US;
    }
    for (size_t i = 0; i < result->item_count; i++) {
        replicator_adopt(replicator, &result->items[i]);
    }
    list->revision = result->revision;
    list->has_responded = true;
}

/// Processes the result of a read that was started through the vtable. The
/// result of a cancelled read is ignored.
void
replicator_handle_list(replicator_t *replicator, config_list_t which,
                       const list_read_result_t *result)
{
    replicator_list_t *list = &replicator->lists[which];
    if (!list->reading) {
        return;
    }
    replicator->current_sender[0] = '\0';
    list->reading = false;
    if (result->ok) {
        read_succeeded(replicator, which, result);
    }
    else {
        read_failed(replicator, which);
    }
    if (replicator->phase == PHASE_READING_PLATFORM) {
        replicator_startup_advance(replicator);
    }
    else if (result->ok) {
        tick_list(replicator, which);
        replicator_relay_flush(replicator);
    }
}

static void
adopt_items(replicator_t *replicator, const GArray *items)
{
    for (guint i = 0; i < items->len; i++) {
        replicator_adopt(replicator, &g_array_index(items, config_item_t, i));
    }
}

static void
refuse_request(replicator_t *replicator)
{
    control_message_t *reply = &replicator->reply;
    control_message_init(reply, CONTROL_REFUSED, replicator->vm);
    reply->reason = "this type of message is no request";
}

/// Handles a request and returns the reply, which is valid until the next call
/// of any function of the replicator. Requests are idempotent.
const control_message_t *
replicator_handle_request(replicator_t *replicator,
                          const control_message_t *request)
{
    control_message_t *reply = &replicator->reply;
    control_message_clear(reply);
    control_message_init(reply, CONTROL_ACK, replicator->vm);
    g_strlcpy(replicator->current_sender, request->sender,
              sizeof(replicator->current_sender));
    switch (request->type) {
    case CONTROL_HEARTBEAT:
        replicator_relay_heartbeat(replicator, request);
        break;
    case CONTROL_PUSH:
        adopt_items(replicator, request->items);
        replicator_relay_flush(replicator);
        break;
    case CONTROL_COMPARE:
        replicator_serve_compare(replicator, request);
        break;
    case CONTROL_LIST:
        replicator_serve_list(replicator, request);
        break;
    case CONTROL_FETCH:
        replicator_serve_fetch(replicator, request);
        break;
    default:
        refuse_request(replicator);
        break;
    }
    return reply;
}
