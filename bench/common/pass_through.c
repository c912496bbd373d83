/// @file
/// Calls without decisions: a random VM, no deadline or cancellation on the
/// way, and for POLICY_HOP_RETRIES three tries at every hop.

#include "common/sim.h"

#define HOP_TRIES 3

static void
send_to_any(sim_t *sim, uint32_t index)
{
    const call_t *call = sim_call(sim, index);
    uint32_t service = sim->deployment->kinds[call->kind].service;
    uint32_t first = 0;
    for (uint32_t i = 0; i < service; i++) {
        first += sim->deployment->services[i].servers;
    }
    uint32_t count = sim->deployment->services[service].servers;
    uint32_t chosen =
        (uint32_t)g_rand_int_range(sim->random, 0, (gint32)count);
    attempt_new(sim, index, first + chosen);
}

/// The request of a call has reached its node.
void
pass_through_start(sim_t *sim, uint32_t index)
{
    call_t *call = sim_call(sim, index);
    call->references++;
    sim_schedule(sim,
                 sim->deployment->kinds[call->kind].deadline_ms * US_PER_MS,
                 EVENT_DEADLINE, index);
    send_to_any(sim, index);
}

/// The caller of a call has given up. What it started goes on.
void
pass_through_deadline(sim_t *sim, uint32_t index)
{
    if (!sim_call(sim, index)->ended) {
        call_ended(sim, index, false);
    }
    call_release(sim, index);
}

/// The result of an attempt has come back.
void
pass_through_result(sim_t *sim, uint32_t attempt_index)
{
    const attempt_t *attempt = sim_attempt(sim, attempt_index);
    uint32_t index = attempt->call;
    const call_t *call = sim_call(sim, index);
    if (call->ended) {
        return;
    }
    if (!attempt->ok && sim->variant->policy == POLICY_HOP_RETRIES &&
        call->attempt_count < HOP_TRIES)
    {
        send_to_any(sim, index);
        return;
    }
    call_ended(sim, index, attempt->ok);
}
