/// @file
/// Stateful fuzz target of the call path: nine nodes with the real entry,
/// guard, key table, accounts, admission and picker in one process, with
/// manual clocks, a simulated network and an oracle that counts from outside.
/// The input is a list of operations.

#include <stddef.h>

#include "fuzz/common/call_sim.h"

#define CLOCK_SKEW_MAX_US (100 * US_PER_S)

typedef struct {
    const uint8_t *data;
    size_t len;
} input_t;

static uint32_t
take(input_t *input)
{
    if (input->len == 0) {
        return 0;
    }
    input->len--;
    return *input->data++;
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void
op_request(world_t *world, input_t *input)
{
    uint32_t node = take(input) % NODES;
    uint32_t what = take(input);
    submission_t model = {
        .node = node,
        .customer = what % CUSTOMERS,
        .kind = what / CUSTOMERS % KINDS_PER_SERVICE,
        .body = what / 4 % 4,
        .follows_keys = what / 16 % 4 != 0,
        .counted = true,
    };
    if (!world->nodes[node].paused) {
        world_submit(world, &model);
    }
}

static void
forge(char *key, uint32_t how)
{
    size_t len = strlen(key);
    char *at = key + how % len;
    *at = *at == '1' ? '2' : '1';
}

/// Sends a key again: same request, another one, another customer, forged.
static void
op_key(world_t *world, input_t *input)
{
    uint32_t number = take(input);
    uint32_t node = take(input) % NODES;
    uint32_t variant = take(input);
    if (world->keys->len == 0 || world->nodes[node].paused) {
        return;
    }
    const submission_t *issued = g_ptr_array_index(
        world->keys, world->keys->len - 1 - number % world->keys->len);
    submission_t model = {
        .node = node,
        .customer = issued->customer,
        .kind = issued->kind,
        .body = issued->body,
        .counted = true,
    };
    g_strlcpy(model.key, issued->key, sizeof(model.key));
    if (variant % 8 == 5) {
        model.body++;
    }
    else if (variant % 8 == 6) {
        model.customer = (model.customer + 1) % CUSTOMERS;
    }
    else if (variant % 8 == 7) {
        forge(model.key, variant / 8);
    }
    world_submit(world, &model);
}

static void
op_kill(world_t *world, input_t *input)
{
    uint32_t what = take(input);
    if (what < 192) {
        world_replace(world, what % NODES);
        return;
    }
    uint32_t first = what % DATA_CENTRES * SERVICES;
    for (uint32_t i = 0; i < SERVICES; i++) {
        world_replace(world, first + i);
    }
}

static void
op_cut(world_t *world, input_t *input)
{
    uint32_t what = take(input);
    uint32_t a = what % DATA_CENTRES;
    uint32_t b = what / DATA_CENTRES % DATA_CENTRES;
    if (a != b) {
        world->cut[a][b] = world->cut[b][a] = !world->cut[a][b];
    }
}

static void
op_list(world_t *world, input_t *input)
{
    uint32_t vm = take(input) % NODES;
    uint32_t how = take(input);
    for (uint32_t at = 0; at < NODES; at++) {
        if (how / 4 % (NODES + 1) >= at) {
            world_list(world, at, vm, how % 4 != 0, how % 4 == 1);
        }
    }
}

static void
op_leave(world_t *world, input_t *input)
{
    uint32_t what = take(input);
    node_t *node = &world->nodes[what % NODES];
    world_set_leaving(world, node->number, what < 192);
    if (what >= 96 && what < 192) {
        entry_set_leaving(&node->entry, true);
        node->stopping = true;
    }
}

static void
op_caller_gone(world_t *world, input_t *input)
{
    uint32_t back = take(input);
    guint count = world->submissions->len;
    if (count > 0) {
        world_caller_gone(world, g_ptr_array_index(world->submissions,
                                                   count - 1 - back % count));
    }
}

static void
op_clock_step(world_t *world, input_t *input)
{
    node_t *node = &world->nodes[take(input) % NODES];
    int64_t step_us = ((int64_t)take(input) - 128) * US_PER_S / 2;
    if (ABS(node->skew_us + step_us) <= CLOCK_SKEW_MAX_US) {
        node->skew_us += step_us;
        node->clock.now_us += step_us;
    }
}

static void
op_retry_hard(world_t *world, input_t *input)
{
    uint32_t what = take(input);
    submission_t model = {
        .node = what % NODES,
        .customer = what / NODES % CUSTOMERS,
        .kind = what / (NODES * CUSTOMERS) % KINDS_PER_SERVICE,
        .follows_keys = true,
        .counted = true,
    };
    for (int i = 0; i < 10 && !world->nodes[model.node].paused; i++) {
        world_submit(world, &model);
    }
}

/// Removes or restores a contract, or changes whether a kind is repeatable.
static void
op_contract(world_t *world, input_t *input)
{
    uint32_t what = take(input);
    if (what < 64) {
        bool *hidden = &world->contract_hidden[what % CUSTOMERS];
        *hidden = !*hidden;
        return;
    }
    kind_t *kind = &world->kinds[what % SERVICES * KINDS_PER_SERVICE + 1];
    bool once = kind->run == RUN_ONCE;
    kind->run = once ? RUN_REPEATABLE : RUN_ONCE;
    kind->resend_s = once ? 0 : KEY_LIFE_S;
}

/// Reports old results once more, as an adapter with a fault may do.
static void
op_stale(world_t *world, input_t *input)
{
    guint count = world->exchanges->len;
    if (count == 0) {
        return;
    }
    const exchange_t *old =
        g_ptr_array_index(world->exchanges, count - 1 - take(input) % count);
    node_t *from = world_node_of(world, old->from, old->from_incarnation);
    if (from != NULL && !old->sender_open && !from->paused) {
        attempt_result_t result = {
            .kind = ATTEMPT_ANSWERED,
            .answer = SLICE_LITERAL("run 0 stale"),
            .retries_left = 1000,
        };
        from->delivered = "run 0 stale";
        entry_attempt_done(&from->entry, old->call, old->attempt, &result);
        from->delivered = NULL;
        entry_forward_done(&from->entry, old->call, false, false);
    }
    node_t *to = world_node_of(world, old->to, old->to_incarnation);
    if (to != NULL && old->stage == STAGE_DONE && old->run != NULL &&
        old->run->ended)
    {
        guard_upstream_done(&to->guard, old->run->guard_handle,
                            UPSTREAM_ANSWERED);
        guard_sender_gone(&to->guard, old->run->guard_handle);
    }
}

/// Makes a hedge due for each call of a node that may be hedged; the picker
/// has learned too little here to ask for one.
static void
op_hedge(world_t *world, input_t *input)
{
    node_t *node = &world->nodes[take(input) % NODES];
    for (uint32_t i = 0; i < node->entry.slots.count; i++) {
        entry_call_t *call =
            &node->entry.calls[slot_table_at(&node->entry.slots, i)];
        call->hedge_due_us = call->hedge ? node->clock.now_us : 0;
    }
}

static void
run_operation(world_t *world, input_t *input)
{
    uint32_t how;
    switch (take(input) % 20) {
    case 0:
    case 1:
        op_request(world, input);
        break;
    case 2:
    case 3:
        op_key(world, input);
        break;
    case 4:
    case 5:
    case 6:
        world_advance(world, take(input) * US_PER_MS / 8);
        break;
    case 7:
        how = take(input);
        world_advance(world, (int64_t)how * how * 5 * US_PER_MS);
        break;
    case 8:
        world->send_fault = take(input) % SEND_FAULTS;
        break;
    case 9:
        world->run_fault = take(input) % RUN_FAULTS;
        break;
    case 10:
        how = take(input) % NODES;
        world->nodes[how].paused = !world->nodes[how].paused;
        break;
    case 11:
        op_kill(world, input);
        break;
    case 12:
        op_cut(world, input);
        break;
    case 13:
        op_list(world, input);
        break;
    case 14:
        op_leave(world, input);
        break;
    case 15:
        op_caller_gone(world, input);
        break;
    case 16:
        op_clock_step(world, input);
        break;
    case 17:
        op_contract(world, input);
        break;
    case 19:
        op_hedge(world, input);
        break;
    default:
        how = take(input);
        if (how % 2 == 0) {
            op_retry_hard(world, input);
        }
        else {
            op_stale(world, input);
        }
        break;
    }
}

/// Ends all faults and lets time pass until everything must be over: the
/// largest step back of a clock, a held message, a slow run and the wait for
/// late answers.
static void
settle(world_t *world)
{
    memset(world->cut, 0, sizeof(world->cut));
    world->send_fault = SEND_NORMAL;
    world->run_fault = RUN_NORMAL;
    for (uint32_t i = 0; i < NODES; i++) {
        world->nodes[i].paused = false;
    }
    for (int i = 0; i < 60; i++) {
        world_advance(world, 50 * US_PER_MS);
    }
    for (int i = 0; i < 13; i++) {
        world_advance(world, US_PER_S);
    }
    for (guint i = 0, count = world->keys->len; i < count; i++) {
        oracle_settled_key(world, g_ptr_array_index(world->keys, i));
    }
    for (int i = 0; i < 20; i++) {
        world_advance(world, 15 * US_PER_S);
    }
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    input_t input = {data, size};
    static world_t world;
    uint32_t setup = take(&input);
    world_init(&world, setup % 4, setup / 4 % 2 == 0 ? 64 : 3);
    while (input.len > 0) {
        run_operation(&world, &input);
    }
    settle(&world);
    oracle_end(&world);
    world_finish(&world);
    return 0;
}
