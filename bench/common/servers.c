/// @file
/// VMs of the model: the real admission in front of a small fake upstream with
/// slots, service times and slow phases.

#include <math.h>

#include "common/world.h"

#define LATE_STEP_US (250 * US_PER_MS)
#define LATE_STEPS 8
#define LATE_BY_STEPS 4
/// How much service times grow for each running request beyond the effective
/// slots of a squeezed upstream: more than proportionally, as with contention.
#define CONTENTION_POWER 1.3

static void drain(world_t *world, uint32_t server);

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

static guard_load_t
reported_load(world_t *world, server_t *server)
{
    guard_load_t load = admission_load(&server->admission);
    int64_t step = world->clock.now_us / LATE_STEP_US;
    server->late[step % LATE_STEPS] = load;
    if (world->variant->reports == REPORTS_LATE) {
        return server->late[(step + LATE_STEPS - LATE_BY_STEPS) % LATE_STEPS];
    }
    if (world->variant->reports == REPORTS_FALSE) {
        return (guard_load_t){.limit = load.limit, .service_us = 1000};
    }
    return load;
}

static void
reply(world_t *world, uint32_t index, attempt_result_t result)
{
    attempt_t *attempt = world_attempt(world, index);
    server_t *server = &world->servers[attempt->node];
    attempt->state = ATTEMPT_ENDED;
    attempt->result = result;
    if (!world->variant->pass_through) {
        attempt->load = reported_load(world, server);
    }
    uint32_t back = attempt->detached ? attempt->node
                                      : world_call(world, attempt->call)->node;
    event_queue_add(&world->events,
                    world->clock.now_us +
                        world_delay_us(world, attempt->node, back),
                    EVENT_RESULT, index, 0);
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
    event_queue_add(&world->events,
                    world->clock.now_us + (int64_t)(own_us * part * factor),
                    EVENT_PHASE, index, 0);
}

static void
begin(world_t *world, uint32_t index)
{
    attempt_t *attempt = world_attempt(world, index);
    server_t *server = &world->servers[attempt->node];
    server->running++;
    attempt->state = ATTEMPT_RUNNING;
    attempt->run_us = world->clock.now_us;
    world->sums.attempts++;
    schedule_phase(world, index);
}

static void
accept_request(world_t *world, uint32_t index)
{
    attempt_t *attempt = world_attempt(world, index);
    server_t *server = &world->servers[attempt->node];
    if (server->running < service_of(world, server)->slots) {
        begin(world, index);
        return;
    }
    attempt->state = ATTEMPT_WAITING;
    g_queue_push_tail(&server->waiting, GUINT_TO_POINTER(index));
}

static void
stop_running(world_t *world, uint32_t index, bool completed)
{
    attempt_t *attempt = world_attempt(world, index);
    server_t *server = &world->servers[attempt->node];
    int64_t taken_us = world->clock.now_us - attempt->run_us;
    world_root(world, attempt->root)->work_us += (double)taken_us;
    attempt->state = ATTEMPT_ENDED;
    server->running--;
    if (!world->variant->pass_through) {
        admission_done(&server->admission, attempt->admission_kind, taken_us,
                       completed);
    }
    if (!g_queue_is_empty(&server->waiting)) {
        begin(world, GPOINTER_TO_UINT(g_queue_pop_head(&server->waiting)));
    }
}

static void
drain(world_t *world, uint32_t server_index)
{
    server_t *server = &world->servers[server_index];
    uint64_t ticket;
    next_t next;
    while ((next = admission_next(&server->admission, &ticket)) != NEXT_NONE) {
        uint32_t index = (uint32_t)ticket;
        if (next == NEXT_RUN) {
            accept_request(world, index);
        }
        else {
            reply(world, index, RESULT_REFUSED);
        }
    }
}

static void
finish(world_t *world, uint32_t index, bool ok)
{
    uint32_t server = world_attempt(world, index)->node;
    stop_running(world, index, ok);
    reply(world, index, ok ? RESULT_OK : RESULT_FAILED);
    if (!world->variant->pass_through) {
        drain(world, server);
    }
}

static void
offer(world_t *world, uint32_t index)
{
    attempt_t *attempt = world_attempt(world, index);
    server_t *server = &world->servers[attempt->node];
    attempt->admission_kind = admission_kind(
        &server->admission, slice_from_string(world->deployment->name),
        slice_from_string(world->deployment->kinds[attempt->kind].name));
    admission_request_t request = {.kind = attempt->admission_kind,
                                   .worth = attempt->worth,
                                   .deadline_us = attempt->deadline_us,
                                   .ticket = index};
    switch (admission_offer(&server->admission, &request)) {
    case ADMIT_RUN:
        accept_request(world, index);
        break;
    case ADMIT_QUEUED:
        attempt->state = ATTEMPT_WAITING;
        break;
    default:
        reply(world, index, RESULT_REFUSED);
        break;
    }
    drain(world, attempt->node);
}

/// An attempt has reached its server.
void
server_arrival(world_t *world, uint32_t index)
{
    attempt_t *attempt = world_attempt(world, index);
    server_t *server = &world->servers[attempt->node];
    if (attempt->cancelled) {
        attempt->state = ATTEMPT_ENDED;
        attempt_release(world, index);
        return;
    }
    if (!world->variant->pass_through) {
        offer(world, index);
        return;
    }
    if (server->running + g_queue_get_length(&server->waiting) >=
        service_of(world, server)->connections)
    {
        reply(world, index, RESULT_REFUSED);
        return;
    }
    accept_request(world, index);
}

/// The own work of a phase is over.
void
server_phase(world_t *world, uint32_t index)
{
    attempt_t *attempt = world_attempt(world, index);
    if (attempt->state == ATTEMPT_RUNNING) {
        const kind_spec_t *spec = &world->deployment->kinds[attempt->kind];
        if (spec->child == NO_CHILD || attempt->phase == 1) {
            finish(world, index, true);
        }
        else {
            uint32_t child =
                call_new(world, attempt->root, (uint32_t)spec->child,
                         attempt->node, index);
            world_attempt(world, index)->child = child;
            call_start(world, child);
        }
    }
    attempt_release(world, index);
}

/// The call that an upstream made has ended.
void
server_child_done(world_t *world, uint32_t index, bool ok)
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

/// The sender no longer wants the answer.
void
server_cancel(world_t *world, uint32_t index)
{
    attempt_t *attempt = world_attempt(world, index);
    server_t *server = &world->servers[attempt->node];
    attempt->cancelled = true;
    if (attempt->state == ATTEMPT_WAITING) {
        attempt->state = ATTEMPT_ENDED;
        if (!g_queue_remove(&server->waiting, GUINT_TO_POINTER(index))) {
            admission_withdraw(&server->admission, index);
        }
        else {
            admission_done(&server->admission, attempt->admission_kind, 0,
                           false);
        }
        attempt_release(world, index);
    }
    else if (attempt->state == ATTEMPT_RUNNING) {
        uint32_t node = attempt->node;
        if (attempt->child != NONE) {
            call_abort(world, attempt->child);
        }
        stop_running(world, index, false);
        attempt_release(world, index);
        drain(world, node);
    }
    attempt_release(world, index);
}

/// Regular work of a guard.
void
server_tick(world_t *world, uint32_t server)
{
    drain(world, server);
}

/// Drops one reference of an attempt.
void
attempt_release(world_t *world, uint32_t index)
{
    attempt_t *attempt = world_attempt(world, index);
    if (--attempt->references == 0) {
        world_release_root(world, attempt->root);
        g_array_append_val(world->free_attempts, index);
    }
}

static void
add_peers(world_t *world, server_t *server)
{
    static const char *const centres[DATA_CENTRES] = {"a", "b", "c"};
    for (uint32_t i = 0; i < world->server_count; i++) {
        const server_t *peer = &world->servers[i];
        picker_vm_t vm = {.vm = peer->name,
                          .data_centre = centres[peer->centre],
                          .service = service_of(world, peer)->name};
        vm_handle_t handle = picker_set_vm(&server->picker, &vm);
        g_assert(handle == i);
    }
}

/// Initialises the modules of one VM; every VM must have its name.
void
server_setup(world_t *world, uint32_t index)
{
    static const char *const centres[DATA_CENTRES] = {"a", "b", "c"};
    server_t *server = &world->servers[index];
    admission_options_t admission = {
        .slots = service_of(world, server)->slots,
        .seed = world->seed + index,
        .off = world->variant->admission_off,
        .order = world->variant->order,
    };
    picker_options_t picker = {
        .rule = world->variant->pick,
        .own_vm = server->name,
        .own_data_centre = centres[server->centre],
        .remote_cost_us = (int32_t)world->deployment->centre_delay_us * 2,
        .seed = world->seed + 100 + index,
        .off = world->variant->picker_off,
    };
    admission_init(&server->admission, &world->clock.base, &admission);
    picker_init(&server->picker, &world->clock.base, &picker);
    add_peers(world, server);
    server->outstanding = g_new0(uint32_t, world->server_count);
    server->connections = g_new0(uint32_t, world->server_count);
    g_queue_init(&server->waiting);
}

/// Releases the modules of one VM.
void
server_teardown(server_t *server)
{
    admission_finish(&server->admission);
    picker_finish(&server->picker);
    g_free(server->outstanding);
    g_free(server->connections);
    g_queue_clear(&server->waiting);
}
