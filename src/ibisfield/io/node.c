/// @file
/// Assembles a node from core modules, servers and clients on one event loop,
/// applies the configuration that comes into force, and controls the graceful
/// shutdown.

#include "ibisfield/io/node.h"

#include <errno.h>
#include <inttypes.h>
#include <sys/random.h>

#include "ibisfield/base/error.h"
#include "ibisfield/base/log.h"
#include "ibisfield/base/metrics.h"
#include "ibisfield/contract/settings.h"
#include "ibisfield/io/message.h"
#include "ibisfield/io/operator_server.h"

/// Intervals of tick() with and without calls in flight.
#define BUSY_TICK_US (LOOP_TICK_MS * US_PER_MS)
#define IDLE_TICK_US (50 * US_PER_MS)
#define SHUTDOWN_CHECK_US (20 * US_PER_MS)
/// Time between the refusal of new connections, after key_linger_ms, and the
/// close of the listeners. Handshakes that are under way complete in it.
#define HANDSHAKE_GRACE_US (100 * US_PER_MS)
/// Longest time between the last responses, at drain_limit_ms, and the exit,
/// which follows as soon as they are written.
#define LAST_RESPONSES_US (40 * US_PER_MS)
#define LAST_RESPONSES_CHECK_US (5 * US_PER_MS)
/// Requests end this long before drain_limit_ms, so that a response given at
/// the end of the time budget gets through.
#define RESPONSE_MARGIN_US (100 * US_PER_MS)
/// Time after the start of the shutdown from which requests start only if
/// they are shown to end in time: a platform may judge each later request that
/// is broken off.
#define PROOF_AFTER_US (3 * US_PER_S)
/// Such requests end this part of drain_limit_ms before it. It bounds the
/// delays of their messages on the slowest VM.
#define PROOF_ROOM_DIVISOR 10
/// Idempotency keys of which a node keeps a record at the same time. A record
/// is kept from the first request with the key until the key expires.
#define KEY_RECORDS_MAX 65536
/// Time that a change of the VM list may take to reach this node while the
/// source is reachable.
#define LIST_DELAY_MAX_US (500 * US_PER_MS)
#define CONTRACT_PREFIX "contract/"

/// Logs when requests with access keys begin to be refused for want of a
/// proof, and when that ends.
static void
watch_key_proof(node_t *node)
{
    const key_proof_t *proof = &node->key_proof;
    if (proof->max_age_us == 0 || proof->version == 0) {
        return;
    }
    int64_t age_us = key_proof_age_us(proof);
    int64_t age_ms = age_us == INT64_MAX ? -1 : age_us / US_PER_MS;
    metric_set(METRIC_ACCESS_KEY_PROOF_AGE_MS, age_ms);
    bool refused = !key_proof_is_current(proof);
    if (refused != node->keys_refused) {
        node->keys_refused = refused;
        log_warning("access_keys_current",
                    "current=%d proof_age_ms=%" PRId64 " version=%" PRIu64,
                    !refused, age_ms, proof->version);
    }
}

static void
tick(void *context)
{
    node_t *node = context;
    watch_key_proof(node);
    entry_tick(&node->entry);
    guard_tick(&node->guard);
    key_table_tick(&node->keys);
    guard_set_depth(&node->guard, call_depths_get_own(&node->depths));
    guard_load_t load = guard_load(&node->guard);
    uint32_t in_flight = guard_in_flight(&node->guard);
    metric_set(METRIC_GUARD_IN_FLIGHT, in_flight);
    metric_set(METRIC_GUARD_LIMIT, load.limit);
    metric_set(METRIC_GUARD_QUEUE, load.queue);
    bool busy = in_flight > 0 || entry_in_flight(&node->entry) > 0;
    loop_timer_start(&node->loop, &node->tick_timer,
                     busy ? BUSY_TICK_US : IDLE_TICK_US, tick, node);
}

/// Brings the next tick forward if it was scheduled at the idle interval.
static void
advance_tick(node_t *node)
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
    advance_tick(node);
    caller_server_handle_caller(&node->caller_server, request);
}

static void
handle_egress(void *context, http_request_t *request)
{
    node_t *node = context;
    advance_tick(node);
    caller_server_handle_egress(&node->caller_server, request);
}

static void
handle_peer(void *context, http_request_t *request)
{
    node_t *node = context;
    advance_tick(node);
    peer_server_handle(&node->peer_server, request);
}

static void
handle_caller_disconnect(void *context, http_request_t *request)
{
    caller_server_disconnected(&((node_t *)context)->caller_server, request);
}

static void
handle_peer_disconnect(void *context, http_request_t *request)
{
    peer_server_disconnected(&((node_t *)context)->peer_server, request);
}

static bool
is_caller_request_concurrent(void *context, const http_request_t *request)
{
    return caller_server_is_concurrent(&((node_t *)context)->caller_server,
                                       request);
}

static const contract_t *
look_up_contract(void *context, slice_t customer)
{
    return customers_find(context, customer);
}

/// Returns whether the guard should refuse new requests. The platform of an
/// adapter may restart a node alone, while its upstream keeps running and can
/// be reached through this node only. A guard there therefore keeps accepting
/// requests during a shutdown until the entry refuses callers' requests.
static bool
guard_should_drain(const node_t *node)
{
    unsigned int causes = node->drain_causes;
    if (node->adapter != NULL && !node->refuses_callers) {
        causes &= ~(unsigned int)DRAIN_SHUTDOWN;
    }
    return causes != 0;
}

/// Returns until when the upstream serves for certain. It counts
/// upstream_drain_s from the publication of its leaving, which this node
/// learns later.
static int64_t
upstream_end_us(const node_t *node)
{
    int64_t drain_us = (int64_t)(node->settings->upstream_drain_s * US_PER_S);
    return drain_us == 0 ? SERVING_END_NONE
                         : clock_now_us(&node->clock) +
                               MAX(drain_us - LIST_DELAY_MAX_US, 0);
}

/// Sets or clears a cause for draining.
void
node_set_drain_cause(node_t *node, drain_cause_t cause, bool draining)
{
    unsigned int previous = node->drain_causes;
    node->drain_causes = draining ? previous | cause : previous & ~cause;
    if (node->drain_causes == previous) {
        return;
    }
    log_info("leave_changed", "causes=%u leaving=%d", node->drain_causes,
             node->drain_causes != 0);
    guard_set_draining(&node->guard, guard_should_drain(node));
    if (cause == DRAIN_LISTED) {
        guard_set_upstream_end(&node->guard, draining ? upstream_end_us(node)
                                                      : SERVING_END_NONE);
    }
    // The entry doesn't depend on the own upstream.
    entry_set_draining(&node->entry,
                       (node->drain_causes & ~DRAIN_UPSTREAM) != 0);
}

static void
handle_upstream_draining(void *context, bool draining)
{
    node_set_drain_cause(context, DRAIN_UPSTREAM, draining);
}

static void
log_vm_state(void *context, const picker_vm_state_t *change)
{
    (void)context;
    log_info("vm_use_changed",
             "upstream_vm=%s service=%s ejected=%d unreachable=%d failures=%u "
             "slowness=%.2f",
             change->vm, change->service, change->ejected, change->unreachable,
             change->consecutive_failures, change->slowness);
}

static void
stop_using_vm(node_t *node, const char *vm)
{
    picker_remove_vm(&node->picker, vm);
    peer_client_remove(&node->peers, vm);
}

static void
set_picker_vm(node_t *node, const vm_info_t *info)
{
    picker_vm_t picker_vm = {
        .vm = info->vm,
        .data_centre = info->data_centre,
        .service = info->service,
        .draining = info->draining,
        .removal_pending = info->removal_pending,
    };
    picker_set_vm(&node->picker, &picker_vm);
}

/// Applies the published state of this node's own upstream. A new instance may
/// be listed together with the draining one. An upstream that was listed and
/// no longer is has left: senders whose lists are older are refused.
static void
apply_own_upstream(node_t *node)
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
    node->upstream_was_listed |= live > 0;
    node_set_drain_cause(node, DRAIN_LISTED,
                         live == 0 &&
                             (draining > 0 || node->upstream_was_listed));
}

/* Configuration from the source of an adapter. */

static void
handle_contracts(void *context, GPtrArray *contracts, GArray *workspaces,
                 uint64_t version)
{
    node_t *node = context;
    uint64_t previous = node->customers.version;
    if (!customers_set_all(&node->customers, contracts, workspaces, version)) {
        log_info("contracts_not_newer",
                 "version=%" PRIu64 " in_force=%" PRIu64, version, previous);
        return;
    }
    key_proof_set_version(&node->key_proof, version);
    usage_link_workspaces_changed(&node->usage_link);
    metric_increment(METRIC_CONFIG_ADOPTIONS_TOTAL);
    log_info("contracts_in_force",
             "version=%" PRIu64 " before=%" PRIu64
             " customers=%u workspaces=%u",
             version, previous, g_hash_table_size(node->customers.contracts),
             g_hash_table_size(node->customers.workspaces.by_id));
    if (!node->ready) {
        node->ready = true;
        entry_set_ready(&node->entry, true);
        log_info("ready", "vm=%s vms=%u", node->settings->vm,
                 g_hash_table_size(node->vms.vms));
    }
}

static void
handle_vm_listed(void *context, const vm_info_t *info)
{
    node_t *node = context;
    vm_view_put(&node->vms, info);
    set_picker_vm(node, info);
    change_feed_vm_listed(&node->feed, info);
    usage_link_vms_changed(&node->usage_link);
    apply_own_upstream(node);
    log_info("vm_listed",
             "upstream_vm=%s service=%s data_centre=%s address=%s slots=%u "
             "leaving=%d removal_pending=%d",
             info->vm, info->service, info->data_centre, info->address,
             info->slots, info->draining, info->removal_pending);
}

static void
handle_vm_removed(void *context, const char *vm)
{
    node_t *node = context;
    vm_view_remove(&node->vms, vm);
    stop_using_vm(node, vm);
    change_feed_vm_removed(&node->feed, vm);
    usage_link_vms_changed(&node->usage_link);
    apply_own_upstream(node);
    log_info("vm_removed", "upstream_vm=%s", vm);
}

static void
handle_proven(void *context, int64_t asked_us)
{
    key_proof_record_read(&((node_t *)context)->key_proof, asked_us);
}

/* Configuration items of the project's own platform, from the agent. */

static void
apply_vm_item(node_t *node, const config_item_t *item)
{
    const char *vm = item->name + strlen(VM_ITEM_PREFIX);
    vm_view_apply(&node->vms, item);
    const vm_info_t *info = vm_view_find(&node->vms, vm);
    if (info == NULL) {
        stop_using_vm(node, vm);
    }
    else {
        set_picker_vm(node, info);
    }
    usage_link_vms_changed(&node->usage_link);
    if (strcmp(vm, node->settings->vm) == 0) {
        node_set_drain_cause(node, DRAIN_LISTED,
                             vm_view_is_draining(&node->vms, vm));
    }
}

static void
handle_item_changed(void *context, const config_item_t *item)
{
    node_t *node = context;
    if (item_is_vm(item->name)) {
        apply_vm_item(node, item);
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
    usage_link_workspaces_changed(&node->usage_link);
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
    bool matches =
        strcmp(contract.customer, item->name + strlen(CONTRACT_PREFIX)) == 0;
    if (!matches) {
        g_ptr_array_add(
            list, g_strdup_printf("%s: customer: found %s, expected the name "
                                  "of the item",
                                  item->name, contract.customer));
    }
    contract_finish(&contract);
    return matches;
}

static void
handle_config_ready(void *context)
{
    node_t *node = context;
    node->ready = true;
    entry_set_ready(&node->entry, true);
    log_info("ready", "vm=%s contracts=%u vms=%u", node->settings->vm,
             g_hash_table_size(node->customers.contracts),
             g_hash_table_size(node->vms.vms));
}

/* Start and end of the node. */

static bool
fill_random(void *out, size_t size, GError **error)
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
    if (!fill_random(&options.incarnation, sizeof(options.incarnation),
                     error) ||
        !fill_random(options.secret, sizeof(options.secret), error))
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
    key_proof_init(&node->key_proof, &node->clock,
                   (int64_t)(settings->access_key_revoke_s * US_PER_S));
    usage_gate_init(&node->usage_gate, &node->clock, seeds[1]);
    vm_view_init(&node->vms);
    picker_init(&node->picker, &node->clock,
                &(picker_options_t){
                    .own_vm = settings->vm,
                    .on_vm_change = log_vm_state,
                    .own_data_centre = settings->data_centre,
                    .remote_cost_us = settings->remote_cost_us,
                    .seed = seeds[0],
                });
    call_depths_init(&node->depths, &node->clock);
    call_progress_init(&node->progress);
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
                   .workspaces = &node->customers.workspaces,
                   .key_proof = &node->key_proof,
                   .usage_gate = &node->usage_gate,
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
                   .progress = &node->progress,
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
init_servers_and_clients(node_t *node, uint32_t seed)
{
    const settings_t *settings = node->settings;
    span_source_init(&node->spans, &node->clock, settings->vm, seed);
    const header_names_t *header_names =
        node->adapter == NULL ? NULL : node->adapter->header_names;
    peer_client_init(&node->peers, &node->loop,
                     (size_t)settings->max_answer_bytes, &node->account,
                     header_names == NULL ? HEADER_TRACEPARENT
                                          : header_names->request_id);
    upstream_client_init(&node->upstream, &node->loop, settings, header_names,
                         &node->account, handle_upstream_draining, node);
    caller_server_init(&node->caller_server,
                       &(caller_server_options_t){
                           .loop = &node->loop,
                           .entry = &node->entry,
                           .picker = &node->picker,
                           .customers = &node->customers,
                           .vms = &node->vms,
                           .peers = &node->peers,
                           .spans = &node->spans,
                           .header_names = header_names,
                           .data_centre = settings->data_centre,
                           .service = settings->service,
                           .depths = &node->depths,
                           .feed = &node->feed,
                           .key_proof = &node->key_proof,
                       });
    peer_server_init(&node->peer_server,
                     &(peer_server_options_t){
                         .guard = &node->guard,
                         .upstream = &node->upstream,
                         .caller_server = &node->caller_server,
                         .spans = &node->spans,
                         .depths = &node->depths,
                         .header_names = header_names,
                         .feed = &node->feed,
                         .key_proof = &node->key_proof,
                         .usage_link = &node->usage_link,
                     });
    change_feed_init(&node->feed, &node->loop, settings, &node->vms,
                     &node->key_proof);
    usage_link_init(&node->usage_link, &node->loop, settings, &node->vms,
                    &node->customers.workspaces, &node->usage_gate,
                    &node->throttle);
}

static bool
open_listeners(node_t *node, GError **error)
{
    const settings_t *settings = node->settings;
    const http_listener_options_t listeners[] = {
        {"caller", settings->caller_listen, false, handle_caller,
         handle_caller_disconnect, node, is_caller_request_concurrent},
        {"egress", settings->egress_listen, false, handle_egress,
         handle_caller_disconnect, node, NULL},
        {"peer", settings->peer_listen, false, handle_peer,
         handle_peer_disconnect, node, NULL},
        {"operator", settings->operator_listen, true, operator_server_handle,
         operator_server_disconnected, node, NULL},
        {"readiness", settings->readiness_listen, true,
         operator_server_handle_readiness, operator_server_disconnected, node,
         NULL},
    };
    node->server =
        http_server_new(&node->loop, (uint32_t)settings->max_connections,
                        (size_t)settings->max_request_bytes);
    http_server_set_account(node->server, &node->account);
    for (size_t i = 0; i < G_N_ELEMENTS(listeners); i++) {
        if (listeners[i].endpoint.port != 0 &&
            !http_server_listen(node->server, &listeners[i], error))
        {
            return false;
        }
    }
    return true;
}

/// Initialises a node and opens its listeners. Returns false and sets @p error
/// if an address can't be used or no random numbers are available; the process
/// must end then.
bool
node_init(node_t *node, const settings_t *settings,
          const platform_adapter_t *adapter, GError **error)
{
    *node = (node_t){.settings = settings, .adapter = adapter};
    uint32_t seeds[5];
    boot_clock_init(&node->clock);
    loop_init(&node->loop, &node->clock);
    node->start_us = clock_now_us(&node->clock);
    if (!fill_random(seeds, sizeof(seeds), error) || !init_keys(node, error)) {
        return false;
    }
    byte_account_init(&node->account, settings_held_bytes_max(settings));
    init_servers_and_clients(node, seeds[4]);
    init_core(node, seeds);
    return open_listeners(node, error);
}

/// Frees the memory of a node. Connections are closed by the exit of the
/// process.
void
node_finish(node_t *node)
{
    if (node->source != NULL) {
        node->source->vtable->free(node->source);
    }
    else {
        config_agent_free(node->agent);
    }
    usage_link_finish(&node->usage_link);
    usage_gate_finish(&node->usage_gate);
    change_feed_finish(&node->feed);
    http_server_free(node->server);
    upstream_client_finish(&node->upstream);
    peer_client_finish(&node->peers);
    entry_finish(&node->entry);
    guard_finish(&node->guard);
    service_retry_budget_finish(&node->service_retries);
    call_depths_finish(&node->depths);
    call_progress_finish(&node->progress);
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
        .changed = handle_item_changed,
        .ready = handle_config_ready,
    };
    static const config_source_callbacks_t source_callbacks = {
        .contracts_read = handle_contracts,
        .vm_listed = handle_vm_listed,
        .vm_removed = handle_vm_removed,
        .proven = handle_proven,
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

/// Runs the node until its shutdown has ended. Returns the exit code.
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
count_unfinished_calls(const node_t *node)
{
    uint32_t calls =
        entry_in_flight(&node->entry) + guard_in_flight(&node->guard);
    return MAX(calls, http_server_in_flight(node->server));
}

/// Refuses new connections at the first call. Closes the listeners after
/// HANDSHAKE_GRACE_US, when the handshakes under way have completed. Returns
/// whether the listeners are closed.
static bool
stop_accepting(node_t *node)
{
    int64_t now_us = clock_now_us(&node->clock);
    if (node->drop_start_us == 0) {
        node->drop_start_us = now_us;
        http_server_drop_new_connections(node->server);
        log_info("linger_over", "unfinished=%u", count_unfinished_calls(node));
    }
    else if (!node->listeners_closed &&
             now_us - node->drop_start_us >= HANDSHAKE_GRACE_US)
    {
        node->listeners_closed = true;
        http_server_stop_listening(node->server);
    }
    return node->listeners_closed;
}

static int64_t
drain_limit_us(const node_t *node)
{
    return node->shutdown_started_us +
           node->settings->drain_limit_ms * US_PER_MS;
}

/// Stops the loop once the last responses are written.
static void
finish_shutdown(void *context)
{
    node_t *node = context;
    if (http_server_is_idle(node->server) ||
        clock_now_us(&node->clock) - drain_limit_us(node) >= LAST_RESPONSES_US)
    {
        loop_stop(&node->loop);
        return;
    }
    loop_timer_start(&node->loop, &node->shutdown_timer,
                     LAST_RESPONSES_CHECK_US, finish_shutdown, node);
}

/// Runs the shutdown. Until key_linger_ms callers are served; afterwards their
/// requests are refused (with an adapter), and new connections as soon as the
/// guard has no request in flight. Stops the loop when nothing is unfinished,
/// or at drain_limit_ms, at which callers that still wait are told so.
static void
check_shutdown(void *context)
{
    node_t *node = context;
    int64_t now_us = clock_now_us(&node->clock);
    int64_t elapsed_ms = (now_us - node->shutdown_started_us) / US_PER_MS;
    uint32_t unfinished = count_unfinished_calls(node);
    if (now_us >= drain_limit_us(node)) {
        metric_add(METRIC_CALLS_CUT_TOTAL, unfinished);
        log_warning("drain_limit_reached", "cut=%u", unfinished);
        node->exit_code = unfinished == 0 ? 0 : 1;
        entry_end_calls(&node->entry);
        loop_timer_start(&node->loop, &node->shutdown_timer,
                         LAST_RESPONSES_CHECK_US, finish_shutdown, node);
        return;
    }
    if (elapsed_ms >= node->settings->key_linger_ms && node->adapter != NULL &&
        !node->refuses_callers)
    {
        node->refuses_callers = true;
        entry_refuse_callers(&node->entry);
        guard_set_draining(&node->guard, guard_should_drain(node));
        log_info("shutdown_closing", "unfinished=%u",
                 count_unfinished_calls(node));
    }
    // A request that runs at the upstream may still call through the egress.
    if (elapsed_ms >= node->settings->key_linger_ms &&
        guard_in_flight(&node->guard) == 0 && stop_accepting(node) &&
        unfinished == 0 && http_server_is_idle(node->server))
    {
        loop_stop(&node->loop);
        return;
    }
    loop_timer_start(&node->loop, &node->shutdown_timer,
                     MIN(SHUTDOWN_CHECK_US, drain_limit_us(node) - now_us),
                     check_shutdown, node);
}

/// Returns whether callers should use this node: it has contracts and neither
/// shuts down nor has been drained by an operator.
bool
node_is_ready(const node_t *node)
{
    return node->ready &&
           (node->drain_causes & (DRAIN_SHUTDOWN | DRAIN_OPERATOR)) == 0;
}

/// Applies the settings that may change while the node runs: the log level
/// only. New values of other settings in @p settings need a restart.
void
node_reload(node_t *node, const settings_t *settings)
{
    log_info("settings_reloaded", "vm=%s service=%s log_level=%s",
             node->settings->vm, settings->service, settings->log_level);
    log_set_level(settings->log_level);
}

/// Starts the graceful shutdown: the upstream gets no new work, no new keys
/// are issued, and each response closes its connection. Requests with keys of
/// this node are served for key_linger_ms, calls in flight for up to
/// drain_limit_ms.
void
node_shut_down(node_t *node)
{
    node->shutdown_started_us = clock_now_us(&node->clock);
    log_info("shutdown_started", "unfinished=%u",
             count_unfinished_calls(node));
    int64_t end_us = drain_limit_us(node) - RESPONSE_MARGIN_US;
    entry_set_end(
        &node->entry,
        &(serving_end_t){
            .end_us = end_us,
            .proof_from_us = node->shutdown_started_us + PROOF_AFTER_US,
            .proof_end_us =
                drain_limit_us(node) - node->settings->drain_limit_ms *
                                           US_PER_MS / PROOF_ROOM_DIVISOR,
        });
    guard_set_process_end(&node->guard, end_us);
    node_set_drain_cause(node, DRAIN_SHUTDOWN, true);
    change_feed_set_draining(&node->feed);
    http_server_set_draining(node->server);
    check_shutdown(node);
}

/// Stops the node immediately and cuts calls in flight.
void
node_stop(node_t *node)
{
    log_warning("stopped_at_once", "cut=%u", count_unfinished_calls(node));
    node->exit_code = 1;
    loop_stop(&node->loop);
}
