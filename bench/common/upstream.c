/// @file
/// A small fake upstream: slots, a queue of its own, service times by kind and
/// slow phases. A request with a child calls it half-way through its own work.

#include <math.h>

#include "common/sim.h"

/// How much service times grow for each running request beyond the effective
/// slots of a squeezed upstream: more than proportionally, as with contention.
#define CONTENTION_POWER 1.3

static const service_spec_t *
service_of(const sim_t *sim, const server_t *server)
{
    return &sim->deployment->services[server->service];
}

static bool
is_slow(const sim_t *sim, const server_t *server)
{
    const scenario_t *scenario = sim->scenario;
    int64_t now_us = sim->clock.now_us;
    if (now_us < scenario->slow_from_us || now_us >= scenario->slow_end_us) {
        return false;
    }
    return scenario->slow_service == NONE
               ? server->index == 0
               : server->service == scenario->slow_service;
}

static double
time_factor(const sim_t *sim, const server_t *server)
{
    const scenario_t *scenario = sim->scenario;
    if (!is_slow(sim, server)) {
        return 1;
    }
    if (!scenario->reduced_slots) {
        return scenario->slow_factor;
    }
    double effective = service_of(sim, server)->slots / scenario->slow_factor;
    return server->running <= effective
               ? 1
               : pow(server->running / effective, CONTENTION_POWER);
}

static void
schedule_phase(sim_t *sim, uint32_t index)
{
    attempt_t *attempt = sim_attempt(sim, index);
    const kind_spec_t *spec = &sim->deployment->kinds[attempt->kind];
    double own_us =
        root_own_us(sim, sim_root(sim, attempt->root), attempt->kind);
    double part = spec->child == NO_CHILD ? 1 : 0.5;
    double factor = time_factor(sim, &sim->servers[attempt->node]);
    attempt->references++;
    sim_schedule(sim, (int64_t)(own_us * part * factor), EVENT_PHASE, index);
}

static void
begin(sim_t *sim, uint32_t index)
{
    attempt_t *attempt = sim_attempt(sim, index);
    sim->servers[attempt->node].running++;
    attempt->state = ATTEMPT_RUNNING;
    attempt->started_us = sim->clock.now_us;
    sim->sums.attempts++;
    schedule_phase(sim, index);
}

static void
stop_running(sim_t *sim, uint32_t index)
{
    attempt_t *attempt = sim_attempt(sim, index);
    server_t *server = &sim->servers[attempt->node];
    sim_root(sim, attempt->root)->work_us +=
        (double)(sim->clock.now_us - attempt->started_us);
    if (attempt->started_us >= sim->scenario->measure_from_us &&
        attempt->started_us < sim->scenario->end_us)
    {
        sim->sums.busy_us[server->service] +=
            (double)(sim->clock.now_us - attempt->started_us);
    }
    attempt->state = ATTEMPT_ENDED;
    server->running--;
    if (!g_queue_is_empty(&server->waiting)) {
        begin(sim, GPOINTER_TO_UINT(g_queue_pop_head(&server->waiting)));
    }
}

static void
reply(sim_t *sim, uint32_t index, bool ok)
{
    attempt_t *attempt = sim_attempt(sim, index);
    attempt->ok = ok;
    attempt->state = ATTEMPT_ENDED;
    if (sim_is_pass_through(sim)) {
        sim_schedule(sim, sim_delay_us(sim, attempt->node, attempt->sender),
                     EVENT_RESULT, index);
    }
    else {
        guard_adapter_done(sim, index);
    }
}

static void
finish(sim_t *sim, uint32_t index, bool ok)
{
    stop_running(sim, index);
    reply(sim, index, ok);
}

/// A request has reached the upstream.
void
upstream_accept(sim_t *sim, uint32_t index)
{
    attempt_t *attempt = sim_attempt(sim, index);
    server_t *server = &sim->servers[attempt->node];
    const service_spec_t *service = service_of(sim, server);
    if (server->running < service->slots) {
        begin(sim, index);
        return;
    }
    if (server->running + g_queue_get_length(&server->waiting) >=
        service->connections)
    {
        reply(sim, index, false);
        return;
    }
    attempt->state = ATTEMPT_QUEUED;
    g_queue_push_tail(&server->waiting, GUINT_TO_POINTER(index));
}

static void
call_child(sim_t *sim, uint32_t index, uint32_t kind)
{
    const attempt_t *attempt = sim_attempt(sim, index);
    uint32_t child = call_new(sim, attempt->root, kind, attempt->node, index);
    sim_attempt(sim, index)->child = child;
    if (sim_is_pass_through(sim)) {
        pass_through_start(sim, child);
    }
    else {
        entry_adapter_start(sim, child);
    }
}

static bool
fails(const sim_t *sim, const attempt_t *attempt)
{
    return sim->scenario->slow_factor == 0 &&
           is_slow(sim, &sim->servers[attempt->node]);
}

/// The own work of a phase is over.
void
upstream_phase_done(sim_t *sim, uint32_t index)
{
    const attempt_t *attempt = sim_attempt(sim, index);
    if (attempt->state == ATTEMPT_RUNNING && fails(sim, attempt)) {
        sim_attempt(sim, index)->lost = true;
        finish(sim, index, false);
    }
    else if (attempt->state == ATTEMPT_RUNNING) {
        int32_t child = sim->deployment->kinds[attempt->kind].child;
        if (child == NO_CHILD || attempt->phase == 1) {
            finish(sim, index, true);
        }
        else {
            call_child(sim, index, (uint32_t)child);
        }
    }
    attempt_release(sim, index);
}

/// The call that a request made has ended.
void
upstream_child_done(sim_t *sim, uint32_t index, bool ok)
{
    attempt_t *attempt = sim_attempt(sim, index);
    if (attempt->state != ATTEMPT_RUNNING) {
        return;
    }
    if (!ok) {
        finish(sim, index, false);
        return;
    }
    attempt->phase = 1;
    schedule_phase(sim, index);
}

/// The guard closes the connection of a request; its work stops.
void
upstream_cancel(sim_t *sim, uint32_t index)
{
    attempt_t *attempt = sim_attempt(sim, index);
    if (attempt->state == ATTEMPT_QUEUED) {
        server_t *server = &sim->servers[attempt->node];
        g_queue_remove(&server->waiting, GUINT_TO_POINTER(index));
        attempt->state = ATTEMPT_ENDED;
        return;
    }
    if (attempt->child != NONE) {
        uint32_t child = attempt->child;
        attempt->child = NONE;
        entry_adapter_abort(sim, child);
    }
    stop_running(sim, index);
}
