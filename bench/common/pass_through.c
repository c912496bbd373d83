/// @file
/// Calls that bypass the product's entry and guard: they go to a random VM,
/// carry no deadline and are not cancelled. POLICY_HOP_RETRIES makes up to
/// three attempts at every hop.

#include "common/sim.h"

#define HOP_ATTEMPTS_MAX 3

static void
send_to_random_vm(sim_t *sim, uint32_t index)
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

/// Sends the first attempt of a call.
void
pass_through_start(sim_t *sim, uint32_t index)
{
    call_t *call = sim_call(sim, index);
    call->reference_count++;
    sim_schedule(sim,
                 sim->deployment->kinds[call->kind].deadline_ms * US_PER_MS,
                 EVENT_CALL_DEADLINE, index);
    send_to_random_vm(sim, index);
}

/// Ends a call at the deadline of its caller. Its attempts still run.
void
pass_through_deadline(sim_t *sim, uint32_t index)
{
    if (!sim_call(sim, index)->ended) {
        call_ended(sim, index, false);
    }
    call_release(sim, index);
}

/// Retries after a failed attempt if the policy allows it, or ends the call.
void
pass_through_result(sim_t *sim, uint32_t attempt_index)
{
    const attempt_t *attempt = sim_attempt(sim, attempt_index);
    uint32_t index = attempt->call;
    const call_t *call = sim_call(sim, index);
    if (call->ended) {
        return;
    }
    if (!attempt->succeeded && sim->variant->policy == POLICY_HOP_RETRIES &&
        call->attempt_count < HOP_ATTEMPTS_MAX)
    {
        send_to_random_vm(sim, index);
        return;
    }
    call_ended(sim, index, attempt->succeeded);
}
