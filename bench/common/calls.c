/// @file
/// Calls at the entry and the egress of the model: choice, retries, hedges and
/// deadlines over the real picker.

#include "common/world.h"

/// Tries of one hop under RETRY_EACH_HOP.
#define HOP_TRIES 3

static picker_t *
picker_of(world_t *world, const call_t *call)
{
    return &world->servers[call->node].picker;
}

static void
release_call(world_t *world, uint32_t index)
{
    call_t *call = world_call(world, index);
    if (call->ended && call->events == 0) {
        world_release_root(world, call->root);
        g_array_append_val(world->free_calls, index);
    }
}

static void
detach(world_t *world, const call_t *call, uint32_t index, report_t report)
{
    attempt_t *attempt = world_attempt(world, index);
    if (attempt->detached) {
        return;
    }
    attempt->detached = true;
    picker_report(picker_of(world, call), attempt->node, call->kind, report,
                  world->clock.now_us - attempt->sent_us, NULL);
    world->servers[call->node].outstanding[attempt->node]--;
    if (!world->variant->pass_through) {
        attempt->references++;
        event_queue_add(&world->events,
                        world->clock.now_us +
                            world_delay_us(world, call->node, attempt->node),
                        EVENT_CANCEL, index, 0);
    }
    attempt_release(world, index);
}

static void
end_call(world_t *world, uint32_t index, bool ok, report_t others)
{
    call_t *call = world_call(world, index);
    call->ended = true;
    for (uint32_t i = 0; i < call->attempt_count; i++) {
        if (call->attempts[i] != NONE) {
            detach(world, call, call->attempts[i], others);
            call->attempts[i] = NONE;
        }
    }
    uint32_t parent = call->parent;
    if (parent == NONE) {
        client_result(world, call->root, call, ok);
    }
    else {
        attempt_t *caller = world_attempt(world, parent);
        caller->units += call->units;
        caller->child = NONE;
        server_child_done(world, parent, ok);
    }
    release_call(world, index);
}

/// Stops a call whose upstream no longer wants the answer.
void
call_abort(world_t *world, uint32_t index)
{
    call_t *call = world_call(world, index);
    call->ended = true;
    for (uint32_t i = 0; i < call->attempt_count; i++) {
        if (call->attempts[i] != NONE) {
            detach(world, call, call->attempts[i], REPORT_CANCELLED);
            call->attempts[i] = NONE;
        }
    }
    release_call(world, index);
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

static void
send_attempt(world_t *world, uint32_t call_index, vm_handle_t vm)
{
    uint32_t index = world_take(world->attempts, world->free_attempts);
    call_t *call = world_call(world, call_index);
    attempt_t *attempt = world_attempt(world, index);
    uint32_t lent = world->variant->retry == LEND_HALF ? (call->units + 1) / 2
                                                       : call->units;
    *attempt = (attempt_t){.call = call_index,
                           .root = call->root,
                           .kind = call->kind,
                           .node = vm,
                           .references = 2,
                           .units = lent,
                           .child = NONE,
                           .worth = call->worth,
                           .deadline_us = call->deadline_us,
                           .sent_us = world->clock.now_us};
    call->units -= lent;
    call->attempts[call->attempt_count] = index;
    call->tried[call->attempt_count++] = vm;
    call->live++;
    root_t *root = world_root(world, call->root);
    uint8_t *sent = &root->sent[world->deployment->kinds[call->kind].service];
    *sent = (uint8_t)MIN(*sent + 1, 255);
    world->sums.most_attempts = MAX(world->sums.most_attempts, *sent);
    root->references++;
    int64_t delay_us = send_delay_us(world, call->node, vm);
    event_queue_add(&world->events, world->clock.now_us + delay_us,
                    EVENT_GUARD, index, 0);
}

static bool
try_send(world_t *world, uint32_t index)
{
    call_t *call = world_call(world, index);
    const deployment_t *deployment = world->deployment;
    uint32_t service = deployment->kinds[call->kind].service;
    vm_handle_t vm;
    if (call->attempt_count == ATTEMPTS_MAX ||
        picker_pick(picker_of(world, call), deployment->services[service].name,
                    call->kind, call->worth, call->tried, call->attempt_count,
                    &vm) != PICK_OK)
    {
        return false;
    }
    send_attempt(world, index, vm);
    return true;
}

/// Creates a call; @p parent is the attempt whose upstream makes it.
uint32_t
call_new(world_t *world, uint32_t root, uint32_t kind, uint32_t node,
         uint32_t parent)
{
    const kind_spec_t *spec = &world->deployment->kinds[kind];
    uint32_t index = world_take(world->calls, world->free_calls);
    call_t *call = world_call(world, index);
    *call = (call_t){.root = root,
                     .kind = kind,
                     .node = node,
                     .parent = parent,
                     .worth = spec->worth,
                     .deadline_us =
                         world->clock.now_us + spec->deadline_ms * US_PER_MS};
    world_root(world, root)->references++;
    if (parent == NONE) {
        call->deadline_us += world->deployment->client_delay_us;
        bool none = world->variant->pass_through;
        call->units = none ? 0 : world->deployment->retries;
        return index;
    }
    attempt_t *caller = world_attempt(world, parent);
    if (!world->variant->pass_through) {
        call->worth = MAX(call->worth, caller->worth);
        call->deadline_us = MIN(call->deadline_us, caller->deadline_us);
    }
    call->units = caller->units;
    caller->units = 0;
    return index;
}

/// The request of a call has reached its node.
void
call_start(world_t *world, uint32_t index)
{
    call_t *call = world_call(world, index);
    call->start_us = world->clock.now_us;
    call->events++;
    event_queue_add(&world->events, call->deadline_us, EVENT_DEADLINE, index,
                    0);
    if (!try_send(world, index)) {
        end_call(world, index, false, REPORT_CANCELLED);
        return;
    }
    int64_t hedge_us =
        picker_hedge_delay_us(picker_of(world, call), call->kind);
    if (hedge_us > 0 && !world->deployment->kinds[call->kind].once) {
        call->events++;
        event_queue_add(&world->events, world->clock.now_us + hedge_us,
                        EVENT_HEDGE, index, 0);
    }
}

/// The deadline of a call has come.
void
call_deadline(world_t *world, uint32_t index)
{
    call_t *call = world_call(world, index);
    call->events--;
    if (call->ended) {
        release_call(world, index);
        return;
    }
    end_call(world, index, false, REPORT_FAILED);
}

/// The time for a second attempt has come.
void
call_hedge(world_t *world, uint32_t index)
{
    call_t *call = world_call(world, index);
    call->events--;
    if (call->ended) {
        release_call(world, index);
        return;
    }
    if (call->units > 0 && call->live == 1 && !call->hedged) {
        call->hedged = true;
        call->units--;
        if (!try_send(world, index)) {
            call->units++;
        }
    }
}

static bool
may_retry(const world_t *world, call_t *call, attempt_result_t result)
{
    if (world->variant->retry == RETRY_EACH_HOP) {
        return call->attempt_count < HOP_TRIES;
    }
    if (result != RESULT_REFUSED || call->units == 0) {
        return false;
    }
    call->units--;
    return true;
}

static report_t
report_for(attempt_result_t result)
{
    switch (result) {
    case RESULT_OK:
        return REPORT_ANSWERED;
    case RESULT_REFUSED:
        return REPORT_REFUSED;
    default:
        return REPORT_FAILED;
    }
}

static void
take_result(world_t *world, call_t *call, uint32_t attempt_index)
{
    attempt_t *attempt = world_attempt(world, attempt_index);
    bool has_load = !world->variant->pass_through &&
                    world->variant->reports != REPORTS_NONE;
    attempt->detached = true;
    picker_report(picker_of(world, call), attempt->node, call->kind,
                  report_for(attempt->result),
                  world->clock.now_us - attempt->sent_us,
                  has_load ? &attempt->load : NULL);
    world->servers[call->node].outstanding[attempt->node]--;
    call->units += attempt->units;
    call->live--;
    for (uint32_t i = 0; i < call->attempt_count; i++) {
        if (call->attempts[i] == attempt_index) {
            call->attempts[i] = NONE;
        }
    }
}

/// The result of an attempt has come back to the caller's node.
void
call_result(world_t *world, uint32_t attempt_index)
{
    attempt_t *attempt = world_attempt(world, attempt_index);
    if (attempt->detached) {
        attempt_release(world, attempt_index);
        return;
    }
    attempt_result_t result = attempt->result;
    uint32_t index = attempt->call;
    call_t *call = world_call(world, index);
    take_result(world, call, attempt_index);
    attempt_release(world, attempt_index);
    attempt_release(world, attempt_index);
    if (result == RESULT_OK) {
        end_call(world, index, true, REPORT_CANCELLED);
        return;
    }
    if (may_retry(world, call, result) && try_send(world, index)) {
        return;
    }
    if (world_call(world, index)->live == 0) {
        end_call(world, index, false, REPORT_CANCELLED);
    }
}
