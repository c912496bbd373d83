/// @file
/// Calls and attempts, for pass-through and for the product's entry.

#include "common/sim.h"

/// Creates a call at the entry or egress of @p server. @p parent is the
/// attempt whose upstream makes it, or INDEX_NONE for a call of a client.
/// Returns its index.
uint32_t
call_new(sim_t *sim, uint32_t root, uint32_t kind, uint32_t server,
         uint32_t parent)
{
    uint32_t index = sim_pool_take(sim->calls, sim->free_calls);
    *sim_call(sim, index) = (call_t){.root = root,
                                     .kind = kind,
                                     .server = server,
                                     .parent = parent,
                                     .reference_count = 1};
    sim_root(sim, root)->reference_count++;
    return index;
}

void
call_release(sim_t *sim, uint32_t index)
{
    call_t *call = sim_call(sim, index);
    if (--call->reference_count == 0) {
        root_release(sim, call->root);
        g_array_append_val(sim->free_calls, index);
    }
}

/// Ends a call and passes the result to its client or upstream.
void
call_ended(sim_t *sim, uint32_t index, bool ok)
{
    call_t *call = sim_call(sim, index);
    call->ended = true;
    if (call->parent == INDEX_NONE) {
        client_result(sim, call->root, ok);
    }
    else {
        sim_attempt(sim, call->parent)->child = INDEX_NONE;
        upstream_child_done(sim, call->parent, ok);
    }
    call_release(sim, index);
}

static int64_t
send_delay_us(sim_t *sim, uint32_t from, uint32_t to)
{
    server_t *sender = &sim->servers[from];
    int64_t delay_us = sim_delay_us(sim, from, to);
    if (++sender->connections_in_use[to] > sender->connections_opened[to]) {
        sender->connections_opened[to]++;
        delay_us += sim->deployment->connect_us;
    }
    return delay_us;
}

/// Sends an attempt of a call to the server @p receiver. Returns its index.
uint32_t
attempt_new(sim_t *sim, uint32_t call_index, uint32_t receiver)
{
    uint32_t index = sim_pool_take(sim->attempts, sim->free_attempts);
    call_t *call = sim_call(sim, call_index);
    g_assert(call->attempt_count < ATTEMPTS_MAX);
    call->reference_count++;
    call->attempts[call->attempt_count++] = index;
    *sim_attempt(sim, index) = (attempt_t){.call = call_index,
                                           .number = call->attempt_count,
                                           .root = call->root,
                                           .kind = call->kind,
                                           .sender = call->server,
                                           .receiver = receiver,
                                           .reference_count = 1,
                                           .child = INDEX_NONE};
    sim->totals.attempts_sent++;
    root_t *root = sim_root(sim, call->root);
    root->reference_count++;
    uint8_t *sent =
        &root->attempts_sent[sim->deployment->kinds[call->kind].service];
    *sent = (uint8_t)MIN(*sent + 1, 255);
    sim->totals.max_attempts = MAX(sim->totals.max_attempts, *sent);
    sim_schedule(sim, send_delay_us(sim, call->server, receiver),
                 EVENT_ATTEMPT_ARRIVAL, index);
    return index;
}

/// Handles the result of an attempt at its sender.
void
attempt_result(sim_t *sim, uint32_t index)
{
    attempt_t *attempt = sim_attempt(sim, index);
    sim->servers[attempt->sender].connections_in_use[attempt->receiver]--;
    sim_call(sim, attempt->call)->attempts[attempt->number - 1] = INDEX_NONE;
    if (sim_is_pass_through(sim)) {
        pass_through_result(sim, index);
    }
    else if (!attempt->cancelled) {
        entry_adapter_result(sim, index);
    }
    attempt_release(sim, index);
}

void
attempt_release(sim_t *sim, uint32_t index)
{
    attempt_t *attempt = sim_attempt(sim, index);
    if (--attempt->reference_count == 0) {
        root_release(sim, attempt->root);
        call_release(sim, attempt->call);
        g_array_append_val(sim->free_attempts, index);
    }
}
