/// @file
/// Calls without decisions: a random VM, no deadline or cancellation on the
/// way, and for DECIDE_HOP_RETRIES three tries at every hop.

#include "common/sim.h"

#define HOP_TRIES 3

static void
send_to_any(world_t *world, uint32_t index)
{
    const call_t *call = world_call(world, index);
    uint32_t service = world->deployment->kinds[call->kind].service;
    uint32_t first = 0;
    for (uint32_t i = 0; i < service; i++) {
        first += world->deployment->services[i].servers;
    }
    uint32_t count = world->deployment->services[service].servers;
    uint32_t chosen =
        (uint32_t)g_rand_int_range(world->random, 0, (gint32)count);
    attempt_new(world, index, first + chosen);
}

/// The request of a call has reached its node.
void
pass_start(world_t *world, uint32_t index)
{
    call_t *call = world_call(world, index);
    call->references++;
    world_schedule(
        world, world->deployment->kinds[call->kind].deadline_ms * US_PER_MS,
        EVENT_DEADLINE, index);
    send_to_any(world, index);
}

/// The caller of a call has given up. What it started goes on.
void
pass_deadline(world_t *world, uint32_t index)
{
    if (!world_call(world, index)->ended) {
        call_ended(world, index, false);
    }
    call_release(world, index);
}

/// The result of an attempt has come back.
void
pass_result(world_t *world, uint32_t attempt_index)
{
    const attempt_t *attempt = world_attempt(world, attempt_index);
    uint32_t index = attempt->call;
    const call_t *call = world_call(world, index);
    if (call->ended) {
        return;
    }
    if (!attempt->ok && world->variant->decide == DECIDE_HOP_RETRIES &&
        call->attempt_count < HOP_TRIES)
    {
        send_to_any(world, index);
        return;
    }
    call_ended(world, index, attempt->ok);
}
