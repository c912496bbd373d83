/// @file
/// Calls and attempts of the model, shared by pass-through and the real entry.

#include "common/sim.h"

/// Creates a call; @p parent is the attempt whose upstream makes it.
uint32_t
call_new(world_t *world, uint32_t root, uint32_t kind, uint32_t node,
         uint32_t parent)
{
    uint32_t index = world_take(world->calls, world->free_calls);
    *world_call(world, index) = (call_t){.root = root,
                                         .kind = kind,
                                         .node = node,
                                         .parent = parent,
                                         .references = 1};
    world_root(world, root)->references++;
    return index;
}

/// Drops one reference of a call.
void
call_release(world_t *world, uint32_t index)
{
    call_t *call = world_call(world, index);
    if (--call->references == 0) {
        root_release(world, call->root);
        g_array_append_val(world->free_calls, index);
    }
}

/// The call has been answered.
void
call_ended(world_t *world, uint32_t index, bool ok)
{
    call_t *call = world_call(world, index);
    call->ended = true;
    if (call->parent == NONE) {
        client_result(world, call->root, ok);
    }
    else {
        world_attempt(world, call->parent)->child = NONE;
        upstream_child_done(world, call->parent, ok);
    }
    call_release(world, index);
}

static int64_t
send_delay_us(world_t *world, uint32_t from, uint32_t to)
{
    server_t *sender = &world->servers[from];
    int64_t delay_us = world_delay_us(world, from, to);
    if (++sender->outstanding[to] > sender->connections[to]) {
        sender->connections[to]++;
        delay_us += world->deployment->connect_us;
    }
    return delay_us;
}

/// Sends an attempt of a call to the server @p node.
uint32_t
attempt_new(world_t *world, uint32_t call_index, uint32_t node)
{
    uint32_t index = world_take(world->attempts, world->free_attempts);
    call_t *call = world_call(world, call_index);
    g_assert(call->attempt_count < ATTEMPTS_MAX);
    call->references++;
    call->attempts[call->attempt_count++] = index;
    *world_attempt(world, index) = (attempt_t){.call = call_index,
                                               .number = call->attempt_count,
                                               .root = call->root,
                                               .kind = call->kind,
                                               .sender = call->node,
                                               .node = node,
                                               .references = 1,
                                               .child = NONE};
    world->sums.sent++;
    root_t *root = world_root(world, call->root);
    root->references++;
    uint8_t *sent = &root->sent[world->deployment->kinds[call->kind].service];
    *sent = (uint8_t)MIN(*sent + 1, 255);
    world->sums.most_attempts = MAX(world->sums.most_attempts, *sent);
    world_schedule(world, send_delay_us(world, call->node, node), EVENT_GUARD,
                   index);
    return index;
}

/// The result of an attempt has come back to the caller's node.
void
attempt_result(world_t *world, uint32_t index)
{
    attempt_t *attempt = world_attempt(world, index);
    world->servers[attempt->sender].outstanding[attempt->node]--;
    world_call(world, attempt->call)->attempts[attempt->number - 1] = NONE;
    if (world_passes_through(world)) {
        pass_result(world, index);
    }
    else if (!attempt->cancelled) {
        entry_adapter_result(world, index);
    }
    attempt_release(world, index);
}

/// Drops one reference of an attempt.
void
attempt_release(world_t *world, uint32_t index)
{
    attempt_t *attempt = world_attempt(world, index);
    if (--attempt->references == 0) {
        root_release(world, attempt->root);
        call_release(world, attempt->call);
        g_array_append_val(world->free_attempts, index);
    }
}
