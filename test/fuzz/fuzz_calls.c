/// @file
/// Stateful fuzz target of the call path: nine nodes with the product's
/// entry, guard, key table, request contexts, admission and picker in one
/// process, with manual clocks, a simulated network, and an oracle that checks
/// only what callers, upstreams and the network see. The input is a list of
/// operations.

#include <stddef.h>

#include "fuzz/common/call_sim.h"

#define CLOCK_SKEW_MAX_US (100 * US_PER_S)

typedef struct {
    const uint8_t *data;
    size_t len;
} input_t;

/// Returns the next byte of the input, or 0 at its end.
static uint32_t
read_byte(input_t *input)
{
    if (input->len == 0) {
        return 0;
    }
    input->len--;
    return *input->data++;
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void
op_request(sim_t *sim, input_t *input)
{
    uint32_t node = read_byte(input) % NODES;
    uint32_t value = read_byte(input);
    submission_t template = {
        .node = node,
        .customer = value % CUSTOMERS,
        .kind = value / CUSTOMERS % KINDS_PER_SERVICE,
        .body = value / 4 % 4,
        .retries_with_key = value / 16 % 4 != 0,
        .context_open = true,
    };
    if (!sim->nodes[node].paused) {
        sim_submit(sim, &template);
    }
}

/// Changes one character of the key.
static void
forge_key(char *key, uint32_t value)
{
    size_t len = strlen(key);
    char *at = key + value % len;
    *at = *at == '1' ? '2' : '1';
}

/// Submits an issued key, with its own request, with another request, for
/// another customer, or forged.
static void
op_submit_key(sim_t *sim, input_t *input)
{
    uint32_t number = read_byte(input);
    uint32_t node = read_byte(input) % NODES;
    uint32_t variant = read_byte(input);
    if (sim->issued_keys->len == 0 || sim->nodes[node].paused) {
        return;
    }
    const submission_t *issued = g_ptr_array_index(
        sim->issued_keys,
        sim->issued_keys->len - 1 - number % sim->issued_keys->len);
    submission_t template = {
        .node = node,
        .customer = issued->customer,
        .kind = issued->kind,
        .body = issued->body,
        .context_open = true,
    };
    g_strlcpy(template.key, issued->key, sizeof(template.key));
    if (variant % 8 == 5) {
        template.body++;
    }
    else if (variant % 8 == 6) {
        template.customer = (template.customer + 1) % CUSTOMERS;
    }
    else if (variant % 8 == 7) {
        forge_key(template.key, variant / 8);
    }
    sim_submit(sim, &template);
}

static void
op_restart(sim_t *sim, input_t *input)
{
    uint32_t value = read_byte(input);
    if (value < 192) {
        sim_restart_node(sim, value % NODES);
        return;
    }
    uint32_t first = value % DATA_CENTRES * SERVICES;
    for (uint32_t i = 0; i < SERVICES; i++) {
        sim_restart_node(sim, first + i);
    }
}

static void
op_toggle_link(sim_t *sim, input_t *input)
{
    uint32_t value = read_byte(input);
    uint32_t a = value % DATA_CENTRES;
    uint32_t b = value / DATA_CENTRES % DATA_CENTRES;
    if (a != b) {
        sim->link_down[a][b] = sim->link_down[b][a] = !sim->link_down[a][b];
    }
}

static void
op_change_vm_list(sim_t *sim, input_t *input)
{
    uint32_t vm = read_byte(input) % NODES;
    uint32_t value = read_byte(input);
    for (uint32_t at = 0; at < NODES; at++) {
        if (value / 4 % (NODES + 1) >= at) {
            sim_list_vm(sim, at, vm, value % 4 != 0, value % 4 == 1);
        }
    }
}

static void
op_drain(sim_t *sim, input_t *input)
{
    uint32_t value = read_byte(input);
    node_t *node = &sim->nodes[value % NODES];
    sim_set_draining(sim, node->number, value < 192);
    if (value >= 96 && value < 192) {
        entry_set_draining(&node->entry, true);
        node->stopping = true;
    }
}

static void
op_disconnect_caller(sim_t *sim, input_t *input)
{
    uint32_t offset = read_byte(input);
    guint count = sim->submissions->len;
    if (count > 0) {
        sim_disconnect_caller(
            sim,
            g_ptr_array_index(sim->submissions, count - 1 - offset % count));
    }
}

static void
op_step_clock(sim_t *sim, input_t *input)
{
    node_t *node = &sim->nodes[read_byte(input) % NODES];
    int64_t step_us = ((int64_t)read_byte(input) - 128) * US_PER_S / 2;
    if (ABS(node->skew_us + step_us) <= CLOCK_SKEW_MAX_US) {
        node->skew_us += step_us;
        node->clock.now_us += step_us;
    }
}

static void
op_request_burst(sim_t *sim, input_t *input)
{
    uint32_t value = read_byte(input);
    submission_t template = {
        .node = value % NODES,
        .customer = value / NODES % CUSTOMERS,
        .kind = value / (NODES * CUSTOMERS) % KINDS_PER_SERVICE,
        .retries_with_key = true,
        .context_open = true,
    };
    for (int i = 0; i < 10 && !sim->nodes[template.node].paused; i++) {
        sim_submit(sim, &template);
    }
}

/// Removes or restores a contract, or changes whether a kind is idempotent.
static void
op_change_contract(sim_t *sim, input_t *input)
{
    uint32_t value = read_byte(input);
    if (value < 64) {
        bool *removed = &sim->contract_removed[value % CUSTOMERS];
        *removed = !*removed;
        return;
    }
    kind_t *kind = &sim->kinds[value % SERVICES * KINDS_PER_SERVICE + 1];
    bool non_idempotent = kind->run == RUN_ONCE;
    kind->run = non_idempotent ? RUN_IDEMPOTENT : RUN_ONCE;
    kind->resend_s = non_idempotent ? 0 : KEY_TTL_S;
}

/// Reports results of an ended exchange once more, as a faulty adapter might.
static void
op_report_stale_result(sim_t *sim, input_t *input)
{
    guint count = sim->exchanges->len;
    if (count == 0) {
        return;
    }
    const exchange_t *old = g_ptr_array_index(
        sim->exchanges, count - 1 - read_byte(input) % count);
    node_t *from = sim_find_node(sim, old->from, old->from_incarnation);
    if (from != NULL && !old->sender_open && !from->paused) {
        attempt_result_t result = {
            .type = ATTEMPT_ANSWERED,
            .response = SLICE_LITERAL("run 0 stale"),
            .retry_tokens_left = 1000,
        };
        from->reported_response = "run 0 stale";
        entry_attempt_done(&from->entry, old->call, old->attempt, &result);
        from->reported_response = NULL;
        entry_forward_done(&from->entry, old->call, false, false);
    }
    node_t *to = sim_find_node(sim, old->to, old->to_incarnation);
    if (to != NULL && old->stage == STAGE_DONE && old->run != NULL &&
        old->run->ended)
    {
        guard_upstream_done(&to->guard, old->run->guard_handle,
                            UPSTREAM_ANSWERED);
        guard_sender_disconnected(&to->guard, old->run->guard_handle);
    }
}

/// Makes a hedge due for each call of a node that may be hedged. The picker
/// sees too few latencies here to compute a hedge delay.
static void
op_make_hedges_due(sim_t *sim, input_t *input)
{
    node_t *node = &sim->nodes[read_byte(input) % NODES];
    for (uint32_t i = 0; i < node->entry.slots.count; i++) {
        entry_call_t *call =
            &node->entry.calls[slot_table_at(&node->entry.slots, i)];
        call->hedge_due_us = call->may_hedge ? node->clock.now_us : 0;
    }
}

static void
run_operation(sim_t *sim, input_t *input)
{
    uint32_t value;
    switch (read_byte(input) % 20) {
    case 0:
    case 1:
        op_request(sim, input);
        break;
    case 2:
    case 3:
        op_submit_key(sim, input);
        break;
    case 4:
    case 5:
    case 6:
        sim_advance(sim, read_byte(input) * US_PER_MS / 8);
        break;
    case 7:
        value = read_byte(input);
        sim_advance(sim, (int64_t)value * value * 5 * US_PER_MS);
        break;
    case 8:
        sim->send_fault = read_byte(input) % SEND_FAULT_COUNT;
        break;
    case 9:
        sim->run_fault = read_byte(input) % RUN_FAULT_COUNT;
        break;
    case 10:
        value = read_byte(input) % NODES;
        sim->nodes[value].paused = !sim->nodes[value].paused;
        break;
    case 11:
        op_restart(sim, input);
        break;
    case 12:
        op_toggle_link(sim, input);
        break;
    case 13:
        op_change_vm_list(sim, input);
        break;
    case 14:
        op_drain(sim, input);
        break;
    case 15:
        op_disconnect_caller(sim, input);
        break;
    case 16:
        op_step_clock(sim, input);
        break;
    case 17:
        op_change_contract(sim, input);
        break;
    case 19:
        op_make_hedges_due(sim, input);
        break;
    default:
        value = read_byte(input);
        if (value % 2 == 0) {
            op_request_burst(sim, input);
        }
        else {
            op_report_stale_result(sim, input);
        }
        break;
    }
}

/// Ends all faults and advances the time until every request must have ended,
/// after the largest step back of a clock, a delayed message, a slow run and
/// the wait for late responses.
static void
settle(sim_t *sim)
{
    memset(sim->link_down, 0, sizeof(sim->link_down));
    sim->send_fault = SEND_NORMAL;
    sim->run_fault = RUN_NORMAL;
    for (uint32_t i = 0; i < NODES; i++) {
        sim->nodes[i].paused = false;
    }
    for (int i = 0; i < 60; i++) {
        sim_advance(sim, 50 * US_PER_MS);
    }
    for (int i = 0; i < 13; i++) {
        sim_advance(sim, US_PER_S);
    }
    for (guint i = 0, count = sim->issued_keys->len; i < count; i++) {
        oracle_check_settled_key(sim, g_ptr_array_index(sim->issued_keys, i));
    }
    for (int i = 0; i < 20; i++) {
        sim_advance(sim, 15 * US_PER_S);
    }
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    input_t input = {data, size};
    static sim_t sim;
    uint32_t setup = read_byte(&input);
    sim_init(&sim, setup % 4, setup / 4 % 2 == 0 ? 64 : 3);
    while (input.len > 0) {
        run_operation(&sim, &input);
    }
    settle(&sim);
    oracle_check_end(&sim);
    sim_finish(&sim);
    return 0;
}
