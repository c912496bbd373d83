/// @file
/// The real entry over the model's network.

#include "common/sim.h"

#define MAX_CALLS 4096
#define KEY_RECORDS_MAX 65536

static const char *const centres[DATA_CENTRES] = {"a", "b", "c"};

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
    world_t *world = server_of(io)->world;
    world_call(world, call_of(user))->handle = handle;
    uint32_t index = attempt_new(world, call_of(user), vm);
    attempt_t *attempt = world_attempt(world, index);
    g_assert(attempt->number == number);
    attempt->worth = info->worth;
    attempt->retries = info->retries;
    attempt->once = info->once;
    attempt->deadline_us = world->clock.now_us + info->budget_us;
}

static void
on_cancel(entry_io_t *io, call_handle_t handle, void *user, uint32_t number)
{
    (void)handle;
    world_t *world = server_of(io)->world;
    uint32_t index = world_call(world, call_of(user))->attempts[number - 1];
    if (index == NONE) {
        return;
    }
    attempt_t *attempt = world_attempt(world, index);
    attempt->cancelled = true;
    attempt->references++;
    world_schedule(world,
                   world_delay_us(world, attempt->sender, attempt->node),
                   EVENT_CANCEL, index);
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
    g_assert_not_reached(); // Clients send a key to the node that issued it.
}

static void
on_answer(entry_io_t *io, call_handle_t handle, void *user,
          const entry_answer_t *answer)
{
    (void)handle;
    world_t *world = server_of(io)->world;
    uint32_t index = call_of(user);
    call_t *call = world_call(world, index);
    if (answer->reason == REASON_KEY_REQUIRED) {
        g_strlcpy(call->key, answer->fresh_key, sizeof(call->key));
        call->references++;
        world_schedule(world, 2 * world->deployment->client_delay_us,
                       EVENT_CALL, index);
        return;
    }
    bool ok = answer->reason == REASON_NONE && answer->attempt > 0 &&
              call->served == answer->attempt;
    call_ended(world, index, ok);
}

static const entry_io_vtable_t vtable = {on_send, on_cancel, on_forward,
                                         on_answer};

static const contract_t *
find_contract(void *context, slice_t customer)
{
    (void)customer;
    return &((world_t *)context)->contract;
}

static void
setup_picker(world_t *world, server_t *server, uint32_t index)
{
    picker_options_t options = {
        .rule = world->variant->pick,
        .own_vm = server->name,
        .own_data_centre = centres[server->centre],
        .remote_cost_us = (int32_t)world->deployment->centre_delay_us * 2,
        .seed = world->seed + 100 + index,
        .off = world->variant->picker_off,
    };
    picker_init(&server->picker, &world->clock.base, &options);
    for (uint32_t i = 0; i < world->server_count; i++) {
        const server_t *peer = &world->servers[i];
        picker_vm_t vm = {
            .vm = peer->name,
            .data_centre = centres[peer->centre],
            .service = world->deployment->services[peer->service].name,
        };
        vm_handle_t handle = picker_set_vm(&server->picker, &vm);
        g_assert(handle == i);
    }
}

/// Initialises the entry of one VM.
void
entry_adapter_setup(world_t *world, uint32_t index)
{
    server_t *server = &world->servers[index];
    server->entry_io.vtable = &vtable;
    setup_picker(world, server, index);
    key_table_options_t keys = {
        .vm = server->name,
        .incarnation = index + 1,
        .max_records = KEY_RECORDS_MAX,
        .max_answer_bytes = KEY_RECORDS_MAX,
    };
    key_table_init(&server->keys, &world->clock.base, &keys);
    client_retry_budget_init(&server->client_retries, &world->clock.base);
    entry_options_t options = {
        .clock = &world->clock.base,
        .io = &server->entry_io,
        .lookup = find_contract,
        .lookup_context = world,
        .picker = &server->picker,
        .keys = &server->keys,
        .accounts = &server->accounts,
        .client_retries = &server->client_retries,
        .max_calls = MAX_CALLS,
        .seed = world->seed + 200 + index,
        .lend_all = world->variant->lend_all,
    };
    entry_init(&server->entry, &options);
    entry_set_ready(&server->entry, true);
}

/// The request of a call has reached its node.
void
entry_adapter_start(world_t *world, uint32_t index)
{
    call_t *call = world_call(world, index);
    const root_t *root = world_root(world, call->root);
    bool egress = call->parent != NONE;
    entry_request_t request = {
        .customer = slice_from_string(world->contract.customer),
        .method = SLICE_LITERAL("GET"),
        .path = slice_from_string(world->kinds[call->kind].path),
        .body_hash = root->number,
        .key = slice_from_string(call->key),
        .source = egress ? 0 : (uint32_t)root->number + 1,
        .egress = egress,
        .request_id =
            egress ? world_attempt(world, call->parent)->request_id : 0,
        .user = GUINT_TO_POINTER(index + 1),
    };
    call->references++;
    call_handle_t handle =
        entry_request(&world->servers[call->node].entry, &request);
    world_call(world, index)->handle = handle;
    call_release(world, index);
}

/// The upstream that made a call no longer wants the answer.
void
entry_adapter_abort(world_t *world, uint32_t index)
{
    call_t *call = world_call(world, index);
    call->ended = true;
    entry_caller_gone(&world->servers[call->node].entry, call->handle);
    call_release(world, index);
}

/// The result of an attempt has come back to its sender.
void
entry_adapter_result(world_t *world, uint32_t index)
{
    const attempt_t *attempt = world_attempt(world, index);
    const guard_answer_t *answer = &attempt->answer;
    call_t *call = world_call(world, attempt->call);
    attempt_result_t result = {
        .kind = answer->reason == REASON_NONE        ? ATTEMPT_ANSWERED
                : answer->outcome == OUTCOME_NOT_RUN ? ATTEMPT_REFUSED
                                                     : ATTEMPT_LOST,
        .reason = answer->reason,
        .status = attempt->ok ? 200 : 503,
        .retries_left = answer->retries_left,
        .retry_after_ms = answer->retry_after_ms,
        .has_load = world->variant->reports != REPORTS_NONE,
        .load = answer->load,
    };
    if (attempt->ok) {
        call->served = attempt->number;
    }
    entry_attempt_done(&world->servers[attempt->sender].entry, call->handle,
                       attempt->number, &result);
}
