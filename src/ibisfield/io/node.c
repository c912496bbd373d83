/// @file
/// Assembles a node: core modules, servers and clients on one loop, what comes
/// into force, and the graceful shutdown.

#include "ibisfield/io/node.h"

#include <errno.h>
#include <inttypes.h>
#include <sys/random.h>

#include "ibisfield/base/error.h"
#include "ibisfield/base/log.h"
#include "ibisfield/base/metrics.h"
#include "ibisfield/io/operator_server.h"

/// Interval of the core's tick while calls are in flight, and otherwise.
#define BUSY_TICK_US (LOOP_TICK_MS * US_PER_MS)
#define IDLE_TICK_US (50 * US_PER_MS)
#define SHUTDOWN_CHECK_US (20 * US_PER_MS)
/// Connections being opened when the linger ends complete in this time.
#define HANDSHAKE_GRACE_US (100 * US_PER_MS)
/// Keys of one node that are issued or kept at a time.
#define KEY_RECORDS_MAX 65536
#define CONTRACT_PREFIX "contract/"

static void
tick(void *context)
{
    node_t *node = context;
    entry_tick(&node->entry);
    guard_tick(&node->guard);
    key_table_tick(&node->keys);
    guard_set_depth(&node->guard, call_depths_get_own(&node->depths));
    guard_load_t load = guard_load(&node->guard);
    uint32_t held = guard_in_flight(&node->guard);
    metric_set(METRIC_GUARD_IN_FLIGHT, held);
    metric_set(METRIC_GUARD_LIMIT, load.limit);
    metric_set(METRIC_GUARD_QUEUE, load.queue);
    bool busy = held > 0 || entry_in_flight(&node->entry) > 0;
    loop_timer_start(&node->loop, &node->tick_timer,
                     busy ? BUSY_TICK_US : IDLE_TICK_US, tick, node);
}

/// Makes the next tick come soon after an idle time.
static void
wake_tick(node_t *node)
{
    int64_t due_us = clock_now_us(&node->clock) + BUSY_TICK_US;
    if (node->tick_timer.position != NULL && node->tick_timer.due_us > due_us)
    {
        loop_timer_start(&node->loop, &node->tick_timer, BUSY_TICK_US, tick,
                         node);
    }
}

static void
handle_caller(void *context, http_request_t *request)
{
    node_t *node = context;
    wake_tick(node);
    caller_server_handle_caller(&node->caller_server, request);
}

static void
handle_egress(void *context, http_request_t *request)
{
    node_t *node = context;
    wake_tick(node);
    caller_server_handle_egress(&node->caller_server, request);
}

static void
handle_peer(void *context, http_request_t *request)
{
    node_t *node = context;
    wake_tick(node);
    peer_server_handle(&node->peer_server, request);
}

static void
caller_gone(void *context, http_request_t *request)
{
    caller_server_disconnected(&((node_t *)context)->caller_server, request);
}

static void
peer_gone(void *context, http_request_t *request)
{
    peer_server_disconnected(&((node_t *)context)->peer_server, request);
}

static const contract_t *
look_up_contract(void *context, slice_t customer)
{
    return customers_find(context, customer);
}

/// Whether the guard refuses new requests. A foreign platform restarts a node
/// beside an upstream that lives on and that nothing else reaches, so there a
/// stopping node runs requests for as long as it takes callers' own.
static bool
guard_is_to_leave(const node_t *node)
{
    unsigned int causes = node->drain_causes;
    if (node->adapter != NULL && !node->refuses_callers) {
        causes &= ~(unsigned int)DRAIN_SHUTDOWN;
    }
    return causes != 0;
}

/// Starts or ends one cause to get no new work.
void
node_set_drain_cause(node_t *node, drain_cause_t cause, bool draining)
{
    unsigned int before = node->drain_causes;
    node->drain_causes = draining ? before | cause : before & ~cause;
    if (node->drain_causes == before) {
        return;
    }
    log_info("leave_changed", "causes=%u leaving=%d", node->drain_causes,
             node->drain_causes != 0);
    guard_set_draining(&node->guard, guard_is_to_leave(node));
    entry_set_draining(&node->entry,
                       (node->drain_causes & ~DRAIN_UPSTREAM) != 0);
}

static void
upstream_draining(void *context, bool draining)
{
    node_set_drain_cause(context, DRAIN_UPSTREAM, draining);
}

static void
vm_use_changed(void *context, const picker_vm_state_t *change)
{
    (void)context;
    log_info("vm_use_changed",
             "upstream_vm=%s service=%s ejected=%d unreachable=%d failures=%u "
             "slowness=%.2f",
             change->vm, change->service, change->ejected, change->unreachable,
             change->consecutive_failures, change->slowness);
}

static void
forget_vm(node_t *node, const char *vm)
{
    picker_remove_vm(&node->picker, vm);
    peer_client_remove(&node->peers, vm);
}

static void
use_vm(node_t *node, const vm_info_t *info)
{
    picker_vm_t listed = {
        .vm = info->vm,
        .data_centre = info->data_centre,
        .service = info->service,
        .draining = info->draining,
    };
    picker_set_vm(&node->picker, &listed);
}

/// Takes what the list says of this node's own upstream. A new instance may
/// be listed beside the one that leaves.
static void
own_upstream_changed(node_t *node)
{
    GHashTableIter iter;
    void *pointer = NULL;
    uint32_t live = 0;
    uint32_t draining = 0;
    g_hash_table_iter_init(&iter, node->vms.vms);
    while (g_hash_table_iter_next(&iter, NULL, &pointer)) {
        const vm_info_t *info = pointer;
        if (!info->is_own) {
            continue;
        }
        if (info->draining) {
            draining++;
            continue;
        }
        live++;
        if (info->slots > 0) {
            guard_set_slots(&node->guard, info->slots);
        }
    }
    node_set_drain_cause(node, DRAIN_LISTED, live == 0 && draining > 0);
}

static void
source_contracts(void *context, GPtrArray *contracts, uint64_t version)
{
    node_t *node = context;
    uint64_t before = node->customers.version;
    if (!customers_set_all(&node->customers, contracts, version)) {
        log_info("contracts_not_newer",
                 "version=%" PRIu64 " in_force=%" PRIu64, version, before);
        return;
    }
    metric_increment(METRIC_CONFIG_ADOPTIONS_TOTAL);
    log_info("contracts_in_force",
             "version=%" PRIu64 " before=%" PRIu64 " customers=%u", version,
             before, g_hash_table_size(node->customers.contracts));
    if (!node->ready) {
        node->ready = true;
        entry_set_ready(&node->entry, true);
        log_info("ready", "vm=%s vms=%u", node->settings->vm,
                 g_hash_table_size(node->vms.vms));
    }
}

static void
source_vm_listed(void *context, const vm_info_t *info)
{
    node_t *node = context;
    vm_view_put(&node->vms, info);
    use_vm(node, info);
    change_feed_vm_listed(&node->feed, info);
    own_upstream_changed(node);
    log_info("vm_listed",
             "upstream_vm=%s service=%s data_centre=%s address=%s slots=%u "
             "leaving=%d",
             info->vm, info->service, info->data_centre, info->address,
             info->slots, info->draining);
}

static void
source_vm_removed(void *context, const char *vm)
{
    node_t *node = context;
    vm_view_remove(&node->vms, vm);
    forget_vm(node, vm);
    change_feed_vm_removed(&node->feed, vm);
    own_upstream_changed(node);
    log_info("vm_removed", "upstream_vm=%s", vm);
}

static void
vm_changed(node_t *node, const config_item_t *item)
{
    const char *vm = item->name + strlen(VM_ITEM_PREFIX);
    vm_view_apply(&node->vms, item);
    const vm_info_t *info = vm_view_find(&node->vms, vm);
    if (info == NULL) {
        forget_vm(node, vm);
    }
    else {
        use_vm(node, info);
    }
    if (strcmp(vm, node->settings->vm) == 0) {
        node_set_drain_cause(node, DRAIN_LISTED,
                             vm_view_is_draining(&node->vms, vm));
    }
}

static void
item_changed(void *context, const config_item_t *item)
{
    node_t *node = context;
    if (item_is_vm(item->name)) {
        vm_changed(node, item);
        return;
    }
    if (!g_str_has_prefix(item->name, CONTRACT_PREFIX)) {
        return;
    }
    const char *customer = item->name + strlen(CONTRACT_PREFIX);
    if (item->value.len == 0) {
        customers_remove(&node->customers, customer);
    }
    else if (!customers_set(&node->customers, item->name, item->value)) {
        log_warning("contract_not_taken", "name=%s", item->name);
    }
}

static bool
check_item(void *context, const config_item_t *item, void *problems)
{
    (void)context;
    contract_t contract;
    GPtrArray *list = problems;
    if (!g_str_has_prefix(item->name, CONTRACT_PREFIX)) {
        g_ptr_array_add(
            list, g_strdup_printf("%s: unknown kind of item", item->name));
        return false;
    }
    if (!contract_parse(&contract, item->name, item->value, list)) {
        return false;
    }
    bool same =
        strcmp(contract.customer, item->name + strlen(CONTRACT_PREFIX)) == 0;
    if (!same) {
        g_ptr_array_add(
            list, g_strdup_printf("%s: customer: found %s, expected the name "
                                  "of the item",
                                  item->name, contract.customer));
    }
    contract_finish(&contract);
    return same;
}

static void
config_ready(void *context)
{
    node_t *node = context;
    node->ready = true;
    entry_set_ready(&node->entry, true);
    log_info("ready", "vm=%s contracts=%u vms=%u", node->settings->vm,
             g_hash_table_size(node->customers.contracts),
             g_hash_table_size(node->vms.vms));
}

static bool
draw_random(void *out, size_t size, GError **error)
{
    if (getrandom(out, size, 0) == (ssize_t)size) {
        return true;
    }
    set_step_error(error, IBISFIELD_ERROR_IO, "random", NULL, "%s",
                   g_strerror(errno));
    return false;
}

static bool
init_keys(node_t *node, GError **error)
{
    key_table_options_t options = {
        .vm = node->settings->vm,
        .max_records = KEY_RECORDS_MAX,
        .max_response_bytes = (uint32_t)node->settings->answer_store_bytes,
    };
    if (!draw_random(&options.incarnation, sizeof(options.incarnation),
                     error) ||
        !draw_random(options.secret, sizeof(options.secret), error))
    {
        return false;
    }
    key_table_init(&node->keys, &node->clock, &options);
    return true;
}

static void
init_core(node_t *node, const uint32_t seeds[4])
{
    const settings_t *settings = node->settings;
    customers_init(&node->customers);
    vm_view_init(&node->vms);
    picker_init(&node->picker, &node->clock,
                &(picker_options_t){
                    .own_vm = settings->vm,
                    .on_vm_change = vm_use_changed,
                    .own_data_centre = settings->data_centre,
                    .remote_cost_us = settings->remote_cost_us,
                    .seed = seeds[0],
                });
    call_depths_init(&node->depths, &node->clock);
    entry_throttle_init(&node->throttle, &node->clock, seeds[0]);
    service_retry_budget_init(
        &node->service_retries, &node->clock,
        &(service_retry_limits_t){
            .ratio = settings->retry_ratio,
            .window_us = (int64_t)(settings->retry_window_s * US_PER_S),
        });
    request_contexts_init(&node->contexts, (uint32_t)settings->max_calls,
                          seeds[1]);
    client_retry_budget_init(&node->client_retries, &node->clock);
    entry_init(&node->entry,
               &(entry_options_t){
                   .clock = &node->clock,
                   .io = &node->caller_server.io,
                   .lookup = look_up_contract,
                   .lookup_context = &node->customers,
                   .picker = &node->picker,
                   .keys = &node->keys,
                   .contexts = &node->contexts,
                   .client_retry_budget = &node->client_retries,
                   .max_calls = (uint32_t)settings->max_calls,
                   .seed = seeds[2],
                   .no_context_propagation = node->adapter != NULL,
                   .service_retry_budget =
                       node->adapter == NULL ? NULL : &node->service_retries,
                   .depths = &node->depths,
                   .throttle = node->adapter == NULL ? NULL : &node->throttle,
               });
    guard_init(&node->guard, &node->clock, &node->peer_server.io,
               &node->contexts,
               &(admission_options_t){
                   .slots = (uint32_t)settings->upstream_slots,
                   .seed = seeds[3],
               });
    guard_set_service(&node->guard, settings->service);
    guard_set_retry_window(&node->guard,
                           (int64_t)(settings->retry_window_s * US_PER_S));
}

static void
init_adapters(node_t *node, uint32_t seed)
{
    const settings_t *settings = node->settings;
    span_source_init(&node->spans, &node->clock, settings->vm, seed);
    peer_client_init(&node->peers, &node->loop,
                     (size_t)settings->max_answer_bytes);
    const header_names_t *wire =
        node->adapter == NULL ? NULL : node->adapter->header_names;
    upstream_client_init(&node->upstream, &node->loop, settings, wire,
                         upstream_draining, node);
    caller_server_init(&node->caller_server, &(caller_server_options_t){
                                                 .loop = &node->loop,
                                                 .entry = &node->entry,
                                                 .picker = &node->picker,
                                                 .customers = &node->customers,
                                                 .vms = &node->vms,
                                                 .peers = &node->peers,
                                                 .spans = &node->spans,
                                                 .header_names = wire,
                                                 .service = settings->service,
                                                 .depths = &node->depths,
                                             });
    peer_server_init(&node->peer_server, &(peer_server_options_t){
                                             .guard = &node->guard,
                                             .upstream = &node->upstream,
                                             .callers = &node->caller_server,
                                             .spans = &node->spans,
                                             .depths = &node->depths,
                                             .header_names = wire,
                                             .feed = &node->feed,
                                         });
    change_feed_init(&node->feed, &node->loop, settings);
}

static bool
open_listeners(node_t *node, GError **error)
{
    const settings_t *settings = node->settings;
    const http_listener_options_t listeners[] = {
        {"caller", settings->caller_listen, false, handle_caller, caller_gone,
         node},
        {"egress", settings->egress_listen, false, handle_egress, caller_gone,
         node},
        {"peer", settings->peer_listen, false, handle_peer, peer_gone, node},
        {"operator", settings->operator_listen, true, operator_server_handle,
         operator_server_disconnected, node},
        {"readiness", settings->readiness_listen, true,
         operator_server_handle_readiness, operator_server_disconnected, node},
    };
    node->server =
        http_server_new(&node->loop, (uint32_t)settings->max_connections,
                        (size_t)settings->max_request_bytes);
    for (size_t i = 0; i < G_N_ELEMENTS(listeners); i++) {
        if (listeners[i].endpoint.port != 0 &&
            !http_server_listen(node->server, &listeners[i], error))
        {
            return false;
        }
    }
    return true;
}

/// Initialises a node and opens its listeners. Returns false if an address
/// can't be used; the process is to end then.
bool
node_init(node_t *node, const settings_t *settings,
          const node_adapter_t *adapter, GError **error)
{
    *node = (node_t){.settings = settings, .adapter = adapter};
    uint32_t seeds[5];
    boot_clock_init(&node->clock);
    loop_init(&node->loop, &node->clock);
    node->start_us = clock_now_us(&node->clock);
    if (!draw_random(seeds, sizeof(seeds), error) || !init_keys(node, error)) {
        return false;
    }
    init_adapters(node, seeds[4]);
    init_core(node, seeds);
    return open_listeners(node, error);
}

/// Frees what the node's memory owns. Connections are closed by the exit of
/// the process.
void
node_finish(node_t *node)
{
    if (node->source != NULL) {
        node->source->vtable->free(node->source);
    }
    else {
        config_agent_free(node->agent);
    }
    change_feed_finish(&node->feed);
    http_server_free(node->server);
    upstream_client_finish(&node->upstream);
    peer_client_finish(&node->peers);
    entry_finish(&node->entry);
    guard_finish(&node->guard);
    service_retry_budget_finish(&node->service_retries);
    call_depths_finish(&node->depths);
    entry_throttle_finish(&node->throttle);
    client_retry_budget_finish(&node->client_retries);
    request_contexts_finish(&node->contexts);
    key_table_finish(&node->keys);
    picker_finish(&node->picker);
    span_source_finish(&node->spans);
    vm_view_finish(&node->vms);
    customers_finish(&node->customers);
}

static void
start_source(node_t *node)
{
    static const config_agent_callbacks_t agent_callbacks = {
        .check = check_item,
        .changed = item_changed,
        .ready = config_ready,
    };
    static const config_source_callbacks_t source_callbacks = {
        .contracts = source_contracts,
        .vm_listed = source_vm_listed,
        .vm_removed = source_vm_removed,
    };
    if (node->adapter == NULL) {
        node->agent = config_agent_new(&node->loop, node->settings,
                                       &agent_callbacks, node);
    }
    else {
        node->source = node->adapter->source_new(
            &node->loop, node->settings, &source_callbacks, node, &node->feed);
    }
}

/// Runs the node until its shutdown is over; returns the exit code.
int
node_run(node_t *node)
{
    start_source(node);
    http_server_start(node->server);
    tick(node);
    log_info("started", "vm=%s service=%s data_centre=%s version=%s",
             node->settings->vm, node->settings->service,
             node->settings->data_centre, IBISFIELD_VERSION);
    loop_run(&node->loop);
    log_info("stopped", "exit_code=%d", node->exit_code);
    return node->exit_code;
}

static uint32_t
unfinished_calls(const node_t *node)
{
    uint32_t calls =
        entry_in_flight(&node->entry) + guard_in_flight(&node->guard);
    return MAX(calls, http_server_in_flight(node->server));
}

/// Refuses new connections, and closes the listeners after those under way
/// have been accepted. Returns whether they are closed.
static bool
end_listening(node_t *node)
{
    int64_t now_us = clock_now_us(&node->clock);
    if (node->listening_ended_us == 0) {
        node->listening_ended_us = now_us;
        http_server_drop_new_connections(node->server);
        log_info("linger_over", "unfinished=%u", unfinished_calls(node));
    }
    else if (!node->stopped_listening &&
             now_us - node->listening_ended_us >= HANDSHAKE_GRACE_US)
    {
        node->stopped_listening = true;
        http_server_stop_listening(node->server);
    }
    return node->stopped_listening;
}

static void
check_shutdown(void *context)
{
    node_t *node = context;
    int64_t passed_ms =
        (clock_now_us(&node->clock) - node->shutdown_us) / US_PER_MS;
    uint32_t unfinished = unfinished_calls(node);
    if (passed_ms >= node->settings->drain_limit_ms) {
        metric_add(METRIC_CALLS_CUT_TOTAL, unfinished);
        log_warning("drain_limit_reached", "cut=%u", unfinished);
        node->exit_code = unfinished == 0 ? 0 : 1;
        loop_stop(&node->loop);
        return;
    }
    if (passed_ms >= node->settings->key_linger_ms && node->adapter != NULL &&
        !node->refuses_callers)
    {
        node->refuses_callers = true;
        entry_refuse_callers(&node->entry);
        guard_set_draining(&node->guard, guard_is_to_leave(node));
        log_info("shutdown_closing", "unfinished=%u", unfinished_calls(node));
    }
    // A request that runs at the upstream may still need the egress.
    if (passed_ms >= node->settings->key_linger_ms &&
        guard_in_flight(&node->guard) == 0 && end_listening(node) &&
        unfinished == 0 && http_server_is_idle(node->server))
    {
        loop_stop(&node->loop);
        return;
    }
    loop_timer_start(&node->loop, &node->shutdown_timer, SHUTDOWN_CHECK_US,
                     check_shutdown, node);
}

/// Whether callers are to use this node: it has contracts and isn't stopping.
bool
node_is_ready(const node_t *node)
{
    return node->ready &&
           (node->drain_causes & (DRAIN_SHUTDOWN | DRAIN_OPERATOR)) == 0;
}

/// Takes the settings that may change while the node runs: the log level. The
/// others, of which @p settings may hold new values, need a restart.
void
node_reload(node_t *node, const settings_t *settings)
{
    log_info("settings_reloaded", "vm=%s service=%s log_level=%s",
             node->settings->vm, settings->service, settings->log_level);
    log_set_level(settings->log_level);
}

/// Begins the graceful shutdown: no new work for the upstream, no new keys,
/// each answer ends its connection. Submissions of own keys are served until
/// key_linger_ms is over, calls in flight until drain_limit_ms.
void
node_shut_down(node_t *node)
{
    node->shutdown_us = clock_now_us(&node->clock);
    log_info("shutdown_started", "unfinished=%u", unfinished_calls(node));
    node_set_drain_cause(node, DRAIN_SHUTDOWN, true);
    change_feed_set_draining(&node->feed);
    http_server_set_draining(node->server);
    check_shutdown(node);
}

/// Stops at once, without regard to calls in flight.
void
node_stop(node_t *node)
{
    log_warning("stopped_at_once", "cut=%u", unfinished_calls(node));
    node->exit_code = 1;
    loop_stop(&node->loop);
}
