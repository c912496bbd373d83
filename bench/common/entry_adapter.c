/// @file
/// Connects the product's entry to the simulated network.

#include "common/sim.h"

#define MAX_CALLS 4096
#define KEY_RECORDS_MAX 65536

static const char *const data_centre_names[DATA_CENTRES] = {"a", "b", "c"};

static server_t *
server_of(entry_io_t *io)
{
    return (server_t *)((char *)io - G_STRUCT_OFFSET(server_t, entry_io));
}

static uint32_t
call_of(void *user)
{
    return GPOINTER_TO_UINT(user) - 1;
}

static void
on_send(entry_io_t *io, call_handle_t handle, void *user, uint32_t number,
        vm_handle_t vm, const attempt_info_t *info)
{
    sim_t *sim = server_of(io)->sim;
    sim_call(sim, call_of(user))->handle = handle;
    uint32_t index = attempt_new(sim, call_of(user), vm);
    attempt_t *attempt = sim_attempt(sim, index);
    g_assert(attempt->number == number);
    attempt->worth = info->worth;
    attempt->retry_tokens = info->retry_tokens;
    attempt->at_most_once = info->at_most_once;
    attempt->deadline_us = sim->clock.now_us + info->budget_us;
}

static void
on_cancel(entry_io_t *io, call_handle_t handle, void *user, uint32_t number)
{
    (void)handle;
    sim_t *sim = server_of(io)->sim;
    uint32_t index = sim_call(sim, call_of(user))->attempts[number - 1];
    if (index == INDEX_NONE) {
        return;
    }
    attempt_t *attempt = sim_attempt(sim, index);
    attempt->cancelled = true;
    attempt->reference_count++;
    sim_schedule(sim, sim_delay_us(sim, attempt->sender, attempt->receiver),
                 EVENT_ATTEMPT_CANCEL, index);
}

static void
on_forward(entry_io_t *io, call_handle_t handle, void *user,
           const char *vm_name, const attempt_info_t *info)
{
    (void)io;
    (void)handle;
    (void)user;
    (void)vm_name;
    (void)info;
    g_assert_not_reached(); // Clients return to the node that issued the key.
}

static void
on_respond(entry_io_t *io, call_handle_t handle, void *user,
           const entry_response_t *response)
{
    (void)handle;
    sim_t *sim = server_of(io)->sim;
    uint32_t index = call_of(user);
    call_t *call = sim_call(sim, index);
    if (response->reason == REASON_KEY_REQUIRED) {
        g_strlcpy(call->key, response->new_key, sizeof(call->key));
        call->reference_count++;
        sim_schedule(sim, 2 * sim->deployment->client_delay_us,
                     EVENT_CALL_ARRIVAL, index);
        return;
    }
    bool ok = response->reason == REASON_NONE &&
              response->answered_attempt > 0 &&
              call->successful_attempt == response->answered_attempt;
    call_ended(sim, index, ok);
}

static const entry_io_vtable_t vtable = {on_send, on_cancel, on_forward,
                                         on_respond};

static const contract_t *
find_contract(void *context, slice_t customer)
{
    (void)customer;
    return &((sim_t *)context)->contract;
}

static void
setup_picker(sim_t *sim, server_t *server, uint32_t index)
{
    picker_options_t options = {
        .policy = sim->variant->lb_policy,
        .own_vm = server->name,
        .own_data_centre = data_centre_names[server->data_centre],
        .remote_cost_us = (int32_t)sim->deployment->data_centre_delay_us * 2,
        .seed = sim->seed + 100 + index,
        .disabled_features = sim->variant->disabled_picker_features,
    };
    picker_init(&server->picker, &sim->clock.base, &options);
    for (uint32_t i = 0; i < sim->server_count; i++) {
        const server_t *peer = &sim->servers[i];
        picker_vm_t vm = {
            .vm = peer->name,
            .data_centre = data_centre_names[peer->data_centre],
            .service = sim->deployment->services[peer->service].name,
        };
        vm_handle_t handle = picker_set_vm(&server->picker, &vm);
        g_assert(handle == i);
    }
}

/// Initialises the entry of a server, its picker and its key table.
void
entry_adapter_setup(sim_t *sim, uint32_t index)
{
    server_t *server = &sim->servers[index];
    server->entry_io.vtable = &vtable;
    setup_picker(sim, server, index);
    key_table_options_t keys = {
        .vm = server->name,
        .incarnation = index + 1,
        .max_records = KEY_RECORDS_MAX,
        .max_response_bytes = KEY_RECORDS_MAX,
    };
    key_table_init(&server->keys, &sim->clock.base, &keys);
    client_retry_budget_init(&server->client_retries, &sim->clock.base);
    entry_options_t options = {
        .clock = &sim->clock.base,
        .io = &server->entry_io,
        .lookup = find_contract,
        .lookup_context = sim,
        .picker = &server->picker,
        .keys = &server->keys,
        .contexts = &server->contexts,
        .client_retry_budget = &server->client_retries,
        .max_calls = MAX_CALLS,
        .seed = sim->seed + 200 + index,
        .grant_all_tokens = sim->variant->grant_all_tokens,
    };
    entry_init(&server->entry, &options);
    entry_set_ready(&server->entry, true);
}

/// Passes a call that has reached its server to the entry.
void
entry_adapter_start(sim_t *sim, uint32_t index)
{
    call_t *call = sim_call(sim, index);
    const root_t *root = sim_root(sim, call->root);
    bool egress = call->parent != INDEX_NONE;
    entry_request_t request = {
        .customer = slice_from_string(sim->contract.customer),
        .method = SLICE_LITERAL("GET"),
        .path = slice_from_string(sim->kinds[call->kind].path),
        .request_hash = root->number,
        .key = slice_from_string(call->key),
        .source_hash = egress ? 0 : (uint32_t)root->number + 1,
        .egress = egress,
        .context_id = egress ? sim_attempt(sim, call->parent)->request_id : 0,
        .user = GUINT_TO_POINTER(index + 1),
    };
    call->reference_count++;
    call_handle_t handle =
        entry_request(&sim->servers[call->server].entry, &request);
    sim_call(sim, index)->handle = handle;
    call_release(sim, index);
}

/// Ends a call whose upstream no longer waits for the response.
void
entry_adapter_abort(sim_t *sim, uint32_t index)
{
    call_t *call = sim_call(sim, index);
    call->ended = true;
    entry_caller_disconnected(&sim->servers[call->server].entry, call->handle);
    call_release(sim, index);
}

/// Reports the result of an attempt to the entry of its sender.
void
entry_adapter_result(sim_t *sim, uint32_t index)
{
    const attempt_t *attempt = sim_attempt(sim, index);
    const guard_response_t *response = &attempt->response;
    call_t *call = sim_call(sim, attempt->call);
    attempt_result_t result = {
        .type = response->reason == REASON_NONE        ? ATTEMPT_ANSWERED
                : response->outcome == OUTCOME_NOT_RUN ? ATTEMPT_REFUSED
                                                       : ATTEMPT_LOST,
        .reason = response->reason,
        .status = attempt->succeeded ? 200 : 503,
        .retry_tokens_left = response->retry_tokens_left,
        .retry_after_ms = response->retry_after_ms,
        .has_load = sim->variant->reports != REPORTS_IGNORED,
        .load = response->load,
    };
    if (attempt->succeeded) {
        call->successful_attempt = attempt->number;
    }
    entry_attempt_done(&sim->servers[attempt->sender].entry, call->handle,
                       attempt->number, &result);
}
