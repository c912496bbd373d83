/// @file
/// The event loop of the simulated fleet: a discrete-event simulation that is
/// deterministic for a seed.

#include "common/sim.h"

#include <stdio.h>
#include <xxhash.h>

#define TICK_US (5 * US_PER_MS)
/// Entries and guards still get ticks this long after the last request, so
/// that all calls end.
#define TICKS_AFTER_END_US (10 * US_PER_S)
#define CLIENT_RETRY_PERCENT 20
#define SAME_DATA_CENTRE_DELAY_US 100
#define SAME_VM_DELAY_US 20

root_t *
sim_root(sim_t *sim, uint32_t root)
{
    return &g_array_index(sim->roots, root_t, root);
}

call_t *
sim_call(sim_t *sim, uint32_t call)
{
    return &g_array_index(sim->calls, call_t, call);
}

attempt_t *
sim_attempt(sim_t *sim, uint32_t attempt)
{
    return &g_array_index(sim->attempts, attempt_t, attempt);
}

/// Returns the index of an unused element, which may hold old contents.
/// Pointers into the pool become invalid.
uint32_t
sim_pool_take(GArray *pool, GArray *free_list)
{
    if (free_list->len > 0) {
        uint32_t index =
            g_array_index(free_list, uint32_t, free_list->len - 1);
        g_array_set_size(free_list, free_list->len - 1);
        return index;
    }
    g_array_set_size(pool, pool->len + 1);
    return pool->len - 1;
}

/// Returns a number in [0, 1) that depends on the seed and the operands only,
/// so that every variant gets the same requests.
double
sim_uniform(const sim_t *sim, uint64_t a, uint64_t b)
{
    uint64_t operands[2] = {a, b};
    uint64_t hash =
        XXH3_64bits_withSeed(operands, sizeof(operands), sim->seed);
    return (double)(hash >> 11) / (double)(UINT64_C(1) << 53);
}

/// Returns the one-way delay between two VMs.
int64_t
sim_delay_us(const sim_t *sim, uint32_t from, uint32_t to)
{
    if (from == to) {
        return SAME_VM_DELAY_US;
    }
    return sim->servers[from].data_centre == sim->servers[to].data_centre
               ? SAME_DATA_CENTRE_DELAY_US
               : sim->deployment->data_centre_delay_us;
}

/// Schedules an event in @p delay_us.
void
sim_schedule(sim_t *sim, int64_t delay_us, event_type_t type, uint32_t subject)
{
    event_queue_add(&sim->events, sim->clock.now_us + delay_us, type, subject,
                    0);
}

/// Returns whether the run bypasses the product's entry and guard.
bool
sim_is_pass_through(const sim_t *sim)
{
    return sim->variant->policy != POLICY_IBISFIELD;
}

static void
start_call(sim_t *sim, uint32_t call)
{
    if (sim_is_pass_through(sim)) {
        pass_through_start(sim, call);
    }
    else {
        entry_adapter_start(sim, call);
    }
    call_release(sim, call);
}

static void
tick(sim_t *sim, uint32_t index)
{
    server_t *server = &sim->servers[index];
    entry_tick(&server->entry);
    guard_tick(&server->guard);
    key_table_tick(&server->keys);
    if (sim->clock.now_us < sim->scenario->end_us + TICKS_AFTER_END_US) {
        sim_schedule(sim, TICK_US, EVENT_TICK, index);
    }
}

static void
handle_attempt_arrival(sim_t *sim, uint32_t attempt)
{
    if (sim_is_pass_through(sim)) {
        upstream_accept(sim, attempt);
    }
    else {
        guard_adapter_arrival(sim, attempt);
    }
}

static void
dispatch(sim_t *sim, const event_t *event)
{
    switch ((event_type_t)event->type) {
    case EVENT_CLIENT_REQUEST:
        client_arrival(sim, event->subject);
        break;
    case EVENT_CLIENT_RETRY:
        client_send_attempt(sim, event->subject);
        break;
    case EVENT_CALL_ARRIVAL:
        start_call(sim, event->subject);
        break;
    case EVENT_CALL_DEADLINE:
        pass_through_deadline(sim, event->subject);
        break;
    case EVENT_ATTEMPT_ARRIVAL:
        handle_attempt_arrival(sim, event->subject);
        break;
    case EVENT_PHASE_DONE:
        upstream_phase_done(sim, event->subject);
        break;
    case EVENT_ATTEMPT_RESULT:
        attempt_result(sim, event->subject);
        break;
    case EVENT_ATTEMPT_CANCEL:
        guard_adapter_cancel(sim, event->subject);
        break;
    case EVENT_TICK:
        tick(sim, event->subject);
        break;
    }
}

static void
setup_server(sim_t *sim, uint32_t index)
{
    server_t *server = &sim->servers[index];
    server->connections_in_use = g_new0(uint32_t, sim->server_count);
    server->connections_opened = g_new0(uint32_t, sim->server_count);
    g_queue_init(&server->upstream_queue);
    if (!sim_is_pass_through(sim)) {
        guard_adapter_setup(sim, index);
        entry_adapter_setup(sim, index);
        sim_schedule(sim, TICK_US, EVENT_TICK, index);
    }
}

static void
teardown_server(sim_t *sim, server_t *server)
{
    if (!sim_is_pass_through(sim)) {
        entry_finish(&server->entry);
        guard_finish(&server->guard);
        picker_finish(&server->picker);
        key_table_finish(&server->keys);
        request_contexts_finish(&server->contexts);
        client_retry_budget_finish(&server->client_retries);
    }
    g_free(server->connections_in_use);
    g_free(server->connections_opened);
    g_queue_clear(&server->upstream_queue);
}

static void
setup_contract(sim_t *sim)
{
    const deployment_t *deployment = sim->deployment;
    contract_t *contract = &sim->contract;
    contract->customer = g_strdup(deployment->name);
    contract->retries = (int32_t)deployment->retries;
    contract->client_retry_percent = CLIENT_RETRY_PERCENT;
    contract->kinds = sim->kinds;
    contract->kind_count = deployment->kind_count;
    for (uint32_t i = 0; i < deployment->kind_count; i++) {
        const kind_spec_t *spec = &deployment->kinds[i];
        kind_t *kind = &sim->kinds[i];
        *kind =
            (kind_t){.method = "GET",
                     .worth = spec->worth,
                     .deadline_ms = spec->deadline_ms,
                     .resend_s = 60,
                     .run = spec->at_most_once ? RUN_ONCE : RUN_IDEMPOTENT};
        kind->name = g_strdup(spec->name);
        kind->service = g_strdup(deployment->services[spec->service].name);
        kind->path = g_strdup_printf("/%s", spec->name);
    }
}

static void
setup_servers(sim_t *sim)
{
    const deployment_t *deployment = sim->deployment;
    sim->server_count = 0;
    for (uint32_t i = 0; i < deployment->service_count; i++) {
        sim->server_count += deployment->services[i].servers;
    }
    sim->servers = g_new0(server_t, sim->server_count);
    uint32_t next = 0;
    for (uint32_t i = 0; i < deployment->service_count; i++) {
        for (uint32_t j = 0; j < deployment->services[i].servers; j++) {
            server_t *server = &sim->servers[next++];
            server->sim = sim;
            server->service = i;
            server->index = j;
            server->data_centre = j % DATA_CENTRES;
            snprintf(server->name, sizeof(server->name), "%s-%u",
                     deployment->services[i].name, j);
        }
    }
    for (uint32_t i = 0; i < sim->server_count; i++) {
        setup_server(sim, i);
    }
}

/// Runs one scenario until no event is left.
void
sim_run(sim_t *sim, const deployment_t *deployment, const scenario_t *scenario,
        const variant_t *variant, uint32_t seed)
{
    *sim = (sim_t){.deployment = deployment,
                   .scenario = scenario,
                   .variant = variant,
                   .seed = seed};
    manual_clock_init(&sim->clock, 0);
    event_queue_init(&sim->events);
    sim->roots = g_array_new(FALSE, TRUE, sizeof(root_t));
    sim->calls = g_array_new(FALSE, TRUE, sizeof(call_t));
    sim->attempts = g_array_new(FALSE, TRUE, sizeof(attempt_t));
    sim->free_roots = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    sim->free_calls = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    sim->free_attempts = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    sim->totals.short_slowdowns = g_array_new(FALSE, FALSE, sizeof(double));
    deployment_rates(deployment, sim->rates);
    sim->random = g_rand_new_with_seed(seed);
    setup_contract(sim);
    setup_servers(sim);
    for (uint32_t i = 0; i < deployment->kind_count; i++) {
        sim->arrival_random[i] = g_rand_new_with_seed(seed * 1000 + i);
        if (deployment->kinds[i].load_fraction > 0) {
            sim_schedule(sim, 0, EVENT_CLIENT_REQUEST, i);
        }
    }
    event_t event;
    while (event_queue_pop(&sim->events, &event)) {
        sim->clock.now_us = event.due_us;
        dispatch(sim, &event);
    }
}

/// Releases a simulation, including its totals.
void
sim_finish(sim_t *sim)
{
    for (uint32_t i = 0; i < sim->server_count; i++) {
        teardown_server(sim, &sim->servers[i]);
    }
    for (uint32_t i = 0; i < sim->deployment->kind_count; i++) {
        g_rand_free(sim->arrival_random[i]);
    }
    for (uint32_t i = 0; i < sim->contract.kind_count; i++) {
        kind_finish(&sim->kinds[i]);
    }
    g_free(sim->contract.customer);
    g_rand_free(sim->random);
    g_free(sim->servers);
    event_queue_finish(&sim->events);
    g_array_free(sim->roots, TRUE);
    g_array_free(sim->calls, TRUE);
    g_array_free(sim->attempts, TRUE);
    g_array_free(sim->free_roots, TRUE);
    g_array_free(sim->free_calls, TRUE);
    g_array_free(sim->free_attempts, TRUE);
    g_array_free(sim->totals.short_slowdowns, TRUE);
}
