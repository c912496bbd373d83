/// @file
/// The simulated upstream: it has slots, a FIFO queue, service times by kind,
/// and a period of disturbance in which it is slow or fails. A request of a
/// kind with a child does its own work in two phases: it calls the child after
/// the first one, and keeps its slot during the call.

#include <math.h>

#include "common/sim.h"

/// Exponent by which service times grow with the running requests per slot of
/// an upstream with reduced slots. It is above 1 because contention slows work
/// down more than proportionally.
#define CONTENTION_EXPONENT 1.3

static const service_spec_t *
service_of(const sim_t *sim, const server_t *server)
{
    return &sim->deployment->services[server->service];
}

static bool
is_disturbed(const sim_t *sim, const server_t *server)
{
    const scenario_t *scenario = sim->scenario;
    int64_t now_us = sim->clock.now_us;
    if (now_us < scenario->disturbance_from_us ||
        now_us >= scenario->disturbance_end_us)
    {
        return false;
    }
    return scenario->disturbed_service == INDEX_NONE
               ? server->index == 0
               : server->service == scenario->disturbed_service;
}

/// Returns the factor by which the server's upstream works more slowly now.
/// With reduced slots it depends on how many requests run.
static double
service_time_factor(const sim_t *sim, const server_t *server)
{
    const scenario_t *scenario = sim->scenario;
    if (!is_disturbed(sim, server)) {
        return 1;
    }
    if (!scenario->reduced_slots) {
        return scenario->slow_factor;
    }
    double usable_slots =
        service_of(sim, server)->slots / scenario->slow_factor;
    return server->running <= usable_slots
               ? 1
               : pow(server->running / usable_slots, CONTENTION_EXPONENT);
}

static void
schedule_phase(sim_t *sim, uint32_t index)
{
    attempt_t *attempt = sim_attempt(sim, index);
    const kind_spec_t *spec = &sim->deployment->kinds[attempt->kind];
    double own_us =
        root_own_us(sim, sim_root(sim, attempt->root), attempt->kind);
    double phase_fraction = spec->child == NO_CHILD ? 1 : 0.5;
    double factor = service_time_factor(sim, &sim->servers[attempt->receiver]);
    attempt->reference_count++;
    sim_schedule(sim, (int64_t)(own_us * phase_fraction * factor),
                 EVENT_PHASE_DONE, index);
}

static void
start_work(sim_t *sim, uint32_t index)
{
    attempt_t *attempt = sim_attempt(sim, index);
    sim->servers[attempt->receiver].running++;
    attempt->state = ATTEMPT_RUNNING;
    attempt->started_us = sim->clock.now_us;
    sim->totals.attempts_run++;
    schedule_phase(sim, index);
}

static void
stop_work(sim_t *sim, uint32_t index)
{
    attempt_t *attempt = sim_attempt(sim, index);
    server_t *server = &sim->servers[attempt->receiver];
    sim_root(sim, attempt->root)->work_us +=
        (double)(sim->clock.now_us - attempt->started_us);
    if (attempt->started_us >= sim->scenario->measure_from_us &&
        attempt->started_us < sim->scenario->end_us)
    {
        sim->totals.busy_us[server->service] +=
            (double)(sim->clock.now_us - attempt->started_us);
    }
    attempt->state = ATTEMPT_ENDED;
    server->running--;
    if (!g_queue_is_empty(&server->upstream_queue)) {
        start_work(
            sim, GPOINTER_TO_UINT(g_queue_pop_head(&server->upstream_queue)));
    }
}

static void
respond(sim_t *sim, uint32_t index, bool ok)
{
    attempt_t *attempt = sim_attempt(sim, index);
    attempt->succeeded = ok;
    attempt->state = ATTEMPT_ENDED;
    if (sim_is_pass_through(sim)) {
        sim_schedule(sim,
                     sim_delay_us(sim, attempt->receiver, attempt->sender),
                     EVENT_ATTEMPT_RESULT, index);
    }
    else {
        guard_adapter_done(sim, index);
    }
}

static void
finish_work(sim_t *sim, uint32_t index, bool ok)
{
    stop_work(sim, index);
    respond(sim, index, ok);
}

/// Runs an attempt, queues it, or fails it if all connections are in use.
void
upstream_accept(sim_t *sim, uint32_t index)
{
    attempt_t *attempt = sim_attempt(sim, index);
    server_t *server = &sim->servers[attempt->receiver];
    const service_spec_t *service = service_of(sim, server);
    if (server->running < service->slots) {
        start_work(sim, index);
        return;
    }
    if (server->running + g_queue_get_length(&server->upstream_queue) >=
        service->connections)
    {
        respond(sim, index, false);
        return;
    }
    attempt->state = ATTEMPT_QUEUED_AT_UPSTREAM;
    g_queue_push_tail(&server->upstream_queue, GUINT_TO_POINTER(index));
}

static void
call_child(sim_t *sim, uint32_t index, uint32_t kind)
{
    const attempt_t *attempt = sim_attempt(sim, index);
    uint32_t child =
        call_new(sim, attempt->root, kind, attempt->receiver, index);
    sim_attempt(sim, index)->child = child;
    if (sim_is_pass_through(sim)) {
        pass_through_start(sim, child);
    }
    else {
        entry_adapter_start(sim, child);
    }
}

static bool
must_fail(const sim_t *sim, const attempt_t *attempt)
{
    return sim->scenario->slow_factor == 0 &&
           is_disturbed(sim, &sim->servers[attempt->receiver]);
}

/// Ends a phase of an attempt's own work: calls the child after the first of
/// two phases, or finishes the attempt.
void
upstream_phase_done(sim_t *sim, uint32_t index)
{
    const attempt_t *attempt = sim_attempt(sim, index);
    if (attempt->state == ATTEMPT_RUNNING && must_fail(sim, attempt)) {
        sim_attempt(sim, index)->connection_lost = true;
        finish_work(sim, index, false);
    }
    else if (attempt->state == ATTEMPT_RUNNING) {
        int32_t child = sim->deployment->kinds[attempt->kind].child;
        if (child == NO_CHILD || attempt->phase == 1) {
            finish_work(sim, index, true);
        }
        else {
            call_child(sim, index, (uint32_t)child);
        }
    }
    attempt_release(sim, index);
}

/// Continues an attempt after its call to the child has ended.
void
upstream_child_done(sim_t *sim, uint32_t index, bool ok)
{
    attempt_t *attempt = sim_attempt(sim, index);
    if (attempt->state != ATTEMPT_RUNNING) {
        return;
    }
    if (!ok) {
        finish_work(sim, index, false);
        return;
    }
    attempt->phase = 1;
    schedule_phase(sim, index);
}

/// Drops a queued attempt or stops a running one, and its call to the child.
void
upstream_cancel(sim_t *sim, uint32_t index)
{
    attempt_t *attempt = sim_attempt(sim, index);
    if (attempt->state == ATTEMPT_QUEUED_AT_UPSTREAM) {
        server_t *server = &sim->servers[attempt->receiver];
        g_queue_remove(&server->upstream_queue, GUINT_TO_POINTER(index));
        attempt->state = ATTEMPT_ENDED;
        return;
    }
    if (attempt->child != INDEX_NONE) {
        uint32_t child = attempt->child;
        attempt->child = INDEX_NONE;
        entry_adapter_abort(sim, child);
    }
    stop_work(sim, index);
}
