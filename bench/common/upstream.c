/// @file
/// A small fake upstream: slots, a queue of its own, service times by kind and
/// slow phases. A request with a child calls it half-way through its own work.

#include <math.h>

#include "common/sim.h"

/// How much service times grow for each running request beyond the effective
/// slots of a squeezed upstream: more than proportionally, as with contention.
#define CONTENTION_POWER 1.3

static const service_spec_t *
service_of(const world_t *world, const server_t *server)
{
    return &world->deployment->services[server->service];
}

static bool
is_slow(const world_t *world, const server_t *server)
{
    const scenario_t *scenario = world->scenario;
    int64_t now_us = world->clock.now_us;
    if (now_us < scenario->slow_from_us || now_us >= scenario->slow_end_us) {
        return false;
    }
    return scenario->slow_service == NONE
               ? server->index == 0
               : server->service == scenario->slow_service;
}

static double
time_factor(const world_t *world, const server_t *server)
{
    const scenario_t *scenario = world->scenario;
    if (!is_slow(world, server)) {
        return 1;
    }
    if (!scenario->squeeze) {
        return scenario->slow_factor;
    }
    double effective =
        service_of(world, server)->slots / scenario->slow_factor;
    return server->running <= effective
               ? 1
               : pow(server->running / effective, CONTENTION_POWER);
}

static void
schedule_phase(world_t *world, uint32_t index)
{
    attempt_t *attempt = world_attempt(world, index);
    const kind_spec_t *spec = &world->deployment->kinds[attempt->kind];
    double own_us =
        root_own_us(world, world_root(world, attempt->root), attempt->kind);
    double part = spec->child == NO_CHILD ? 1 : 0.5;
    double factor = time_factor(world, &world->servers[attempt->node]);
    attempt->references++;
    world_schedule(world, (int64_t)(own_us * part * factor), EVENT_PHASE,
                   index);
}

static void
begin(world_t *world, uint32_t index)
{
    attempt_t *attempt = world_attempt(world, index);
    world->servers[attempt->node].running++;
    attempt->state = ATTEMPT_RUNNING;
    attempt->run_us = world->clock.now_us;
    world->sums.attempts++;
    schedule_phase(world, index);
}

static void
stop_running(world_t *world, uint32_t index)
{
    attempt_t *attempt = world_attempt(world, index);
    server_t *server = &world->servers[attempt->node];
    world_root(world, attempt->root)->work_us +=
        (double)(world->clock.now_us - attempt->run_us);
    if (attempt->run_us >= world->scenario->from_us &&
        attempt->run_us < world->scenario->end_us)
    {
        world->sums.busy_us[server->service] +=
            (double)(world->clock.now_us - attempt->run_us);
    }
    attempt->state = ATTEMPT_ENDED;
    server->running--;
    if (!g_queue_is_empty(&server->waiting)) {
        begin(world, GPOINTER_TO_UINT(g_queue_pop_head(&server->waiting)));
    }
}

static void
reply(world_t *world, uint32_t index, bool ok)
{
    attempt_t *attempt = world_attempt(world, index);
    attempt->ok = ok;
    attempt->state = ATTEMPT_ENDED;
    if (world_passes_through(world)) {
        world_schedule(world,
                       world_delay_us(world, attempt->node, attempt->sender),
                       EVENT_RESULT, index);
    }
    else {
        guard_adapter_done(world, index);
    }
}

static void
finish(world_t *world, uint32_t index, bool ok)
{
    stop_running(world, index);
    reply(world, index, ok);
}

/// A request has reached the upstream.
void
upstream_accept(world_t *world, uint32_t index)
{
    attempt_t *attempt = world_attempt(world, index);
    server_t *server = &world->servers[attempt->node];
    const service_spec_t *service = service_of(world, server);
    if (server->running < service->slots) {
        begin(world, index);
        return;
    }
    if (server->running + g_queue_get_length(&server->waiting) >=
        service->connections)
    {
        reply(world, index, false);
        return;
    }
    attempt->state = ATTEMPT_QUEUED;
    g_queue_push_tail(&server->waiting, GUINT_TO_POINTER(index));
}

static void
call_child(world_t *world, uint32_t index, uint32_t kind)
{
    const attempt_t *attempt = world_attempt(world, index);
    uint32_t child =
        call_new(world, attempt->root, kind, attempt->node, index);
    world_attempt(world, index)->child = child;
    if (world_passes_through(world)) {
        pass_start(world, child);
    }
    else {
        entry_adapter_start(world, child);
    }
}

static bool
fails(const world_t *world, const attempt_t *attempt)
{
    return world->scenario->slow_factor == 0 &&
           is_slow(world, &world->servers[attempt->node]);
}

/// The own work of a phase is over.
void
upstream_phase(world_t *world, uint32_t index)
{
    const attempt_t *attempt = world_attempt(world, index);
    if (attempt->state == ATTEMPT_RUNNING && fails(world, attempt)) {
        world_attempt(world, index)->lost = true;
        finish(world, index, false);
    }
    else if (attempt->state == ATTEMPT_RUNNING) {
        int32_t child = world->deployment->kinds[attempt->kind].child;
        if (child == NO_CHILD || attempt->phase == 1) {
            finish(world, index, true);
        }
        else {
            call_child(world, index, (uint32_t)child);
        }
    }
    attempt_release(world, index);
}

/// The call that a request made has ended.
void
upstream_child_done(world_t *world, uint32_t index, bool ok)
{
    attempt_t *attempt = world_attempt(world, index);
    if (attempt->state != ATTEMPT_RUNNING) {
        return;
    }
    if (!ok) {
        finish(world, index, false);
        return;
    }
    attempt->phase = 1;
    schedule_phase(world, index);
}

/// The guard closes the connection of a request; its work stops.
void
upstream_cancel(world_t *world, uint32_t index)
{
    attempt_t *attempt = world_attempt(world, index);
    if (attempt->state == ATTEMPT_QUEUED) {
        server_t *server = &world->servers[attempt->node];
        g_queue_remove(&server->waiting, GUINT_TO_POINTER(index));
        attempt->state = ATTEMPT_ENDED;
        return;
    }
    if (attempt->child != NONE) {
        uint32_t child = attempt->child;
        attempt->child = NONE;
        entry_adapter_abort(world, child);
    }
    stop_running(world, index);
}
