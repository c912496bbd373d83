/// @file
/// The event loop of the deterministic comparison.

#include "common/sim.h"

#include <stdio.h>
#include <xxhash.h>

#define TICK_US (5 * US_PER_MS)
/// Guards are still served this long after the last arrival.
#define SETTLE_US (10 * US_PER_S)
#define CLIENT_RETRY_PERCENT 20
#define NEAR_DELAY_US 100
#define SAME_VM_DELAY_US 20

root_t *
world_root(world_t *world, uint32_t root)
{
    return &g_array_index(world->roots, root_t, root);
}

call_t *
world_call(world_t *world, uint32_t call)
{
    return &g_array_index(world->calls, call_t, call);
}

attempt_t *
world_attempt(world_t *world, uint32_t attempt)
{
    return &g_array_index(world->attempts, attempt_t, attempt);
}

/// Takes an element of a pool; pointers into the pool become invalid.
uint32_t
world_take(GArray *pool, GArray *free_list)
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

/// A number from 0 to below 1 that depends on the seed and the operands only,
/// so that every variant sees the same requests.
double
world_draw(const world_t *world, uint64_t a, uint64_t b)
{
    uint64_t operands[2] = {a, b};
    uint64_t hash =
        XXH3_64bits_withSeed(operands, sizeof(operands), world->seed);
    return (double)(hash >> 11) / (double)(UINT64_C(1) << 53);
}

/// One-way delay between two VMs.
int64_t
world_delay_us(const world_t *world, uint32_t from, uint32_t to)
{
    if (from == to) {
        return SAME_VM_DELAY_US;
    }
    return world->servers[from].centre == world->servers[to].centre
               ? NEAR_DELAY_US
               : world->deployment->centre_delay_us;
}

/// Adds an event after @p delay_us.
void
world_schedule(world_t *world, int64_t delay_us, event_type_t type,
               uint32_t subject)
{
    event_queue_add(&world->events, world->clock.now_us + delay_us, type,
                    subject, 0);
}

/// Whether the run goes without the real entry and guard.
bool
world_passes_through(const world_t *world)
{
    return world->variant->decide != DECIDE_IBISFIELD;
}

static void
start_call(world_t *world, uint32_t call)
{
    if (world_passes_through(world)) {
        pass_start(world, call);
    }
    else {
        entry_adapter_start(world, call);
    }
    call_release(world, call);
}

static void
tick(world_t *world, uint32_t index)
{
    server_t *server = &world->servers[index];
    entry_tick(&server->entry);
    guard_tick(&server->guard);
    key_table_tick(&server->keys);
    if (world->clock.now_us < world->scenario->end_us + SETTLE_US) {
        world_schedule(world, TICK_US, EVENT_TICK, index);
    }
}

static void
arrive(world_t *world, uint32_t attempt)
{
    if (world_passes_through(world)) {
        upstream_accept(world, attempt);
    }
    else {
        guard_adapter_arrival(world, attempt);
    }
}

static void
dispatch(world_t *world, const event_t *event)
{
    switch ((event_type_t)event->type) {
    case EVENT_ARRIVAL:
        client_arrival(world, event->a);
        break;
    case EVENT_RETRY:
        client_try(world, event->a);
        break;
    case EVENT_CALL:
        start_call(world, event->a);
        break;
    case EVENT_DEADLINE:
        pass_deadline(world, event->a);
        break;
    case EVENT_GUARD:
        arrive(world, event->a);
        break;
    case EVENT_PHASE:
        upstream_phase(world, event->a);
        break;
    case EVENT_RESULT:
        attempt_result(world, event->a);
        break;
    case EVENT_CANCEL:
        guard_adapter_cancel(world, event->a);
        break;
    case EVENT_TICK:
        tick(world, event->a);
        break;
    }
}

static void
setup_server(world_t *world, uint32_t index)
{
    server_t *server = &world->servers[index];
    server->outstanding = g_new0(uint32_t, world->server_count);
    server->connections = g_new0(uint32_t, world->server_count);
    g_queue_init(&server->waiting);
    if (!world_passes_through(world)) {
        guard_adapter_setup(world, index);
        entry_adapter_setup(world, index);
        world_schedule(world, TICK_US, EVENT_TICK, index);
    }
}

static void
teardown_server(world_t *world, server_t *server)
{
    if (!world_passes_through(world)) {
        entry_finish(&server->entry);
        guard_finish(&server->guard);
        picker_finish(&server->picker);
        key_table_finish(&server->keys);
        retry_accounts_finish(&server->accounts);
        client_retry_budget_finish(&server->client_retries);
    }
    g_free(server->outstanding);
    g_free(server->connections);
    g_queue_clear(&server->waiting);
}

static void
setup_contract(world_t *world)
{
    const deployment_t *deployment = world->deployment;
    contract_t *contract = &world->contract;
    g_strlcpy(contract->customer, deployment->name,
              sizeof(contract->customer));
    contract->retries = (int32_t)deployment->retries;
    contract->client_retry_percent = CLIENT_RETRY_PERCENT;
    contract->kinds = world->kinds;
    contract->kind_count = deployment->kind_count;
    for (uint32_t i = 0; i < deployment->kind_count; i++) {
        const kind_spec_t *spec = &deployment->kinds[i];
        kind_t *kind = &world->kinds[i];
        *kind = (kind_t){.method = "GET",
                         .worth = spec->worth,
                         .deadline_ms = spec->deadline_ms,
                         .resend_s = 60,
                         .run = spec->once ? RUN_ONCE : RUN_REPEATABLE};
        g_strlcpy(kind->name, spec->name, sizeof(kind->name));
        g_strlcpy(kind->service, deployment->services[spec->service].name,
                  sizeof(kind->service));
        snprintf(kind->path, sizeof(kind->path), "/%s", spec->name);
    }
}

static void
setup_servers(world_t *world)
{
    const deployment_t *deployment = world->deployment;
    world->server_count = 0;
    for (uint32_t i = 0; i < deployment->service_count; i++) {
        world->server_count += deployment->services[i].servers;
    }
    world->servers = g_new0(server_t, world->server_count);
    uint32_t next = 0;
    for (uint32_t i = 0; i < deployment->service_count; i++) {
        for (uint32_t j = 0; j < deployment->services[i].servers; j++) {
            server_t *server = &world->servers[next++];
            server->world = world;
            server->service = i;
            server->index = j;
            server->centre = j % DATA_CENTRES;
            snprintf(server->name, sizeof(server->name), "%s-%u",
                     deployment->services[i].name, j);
        }
    }
    for (uint32_t i = 0; i < world->server_count; i++) {
        setup_server(world, i);
    }
}

/// Runs one scenario to its end, until every call is over.
void
world_run(world_t *world, const deployment_t *deployment,
          const scenario_t *scenario, const variant_t *variant, uint32_t seed)
{
    *world = (world_t){.deployment = deployment,
                       .scenario = scenario,
                       .variant = variant,
                       .seed = seed};
    manual_clock_init(&world->clock, 0);
    event_queue_init(&world->events);
    world->roots = g_array_new(FALSE, TRUE, sizeof(root_t));
    world->calls = g_array_new(FALSE, TRUE, sizeof(call_t));
    world->attempts = g_array_new(FALSE, TRUE, sizeof(attempt_t));
    world->free_roots = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    world->free_calls = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    world->free_attempts = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    world->sums.short_latency = g_array_new(FALSE, FALSE, sizeof(double));
    deployment_rates(deployment, world->rates);
    world->random = g_rand_new_with_seed(seed);
    setup_contract(world);
    setup_servers(world);
    for (uint32_t i = 0; i < deployment->kind_count; i++) {
        world->arrivals[i] = g_rand_new_with_seed(seed * 1000 + i);
        if (deployment->kinds[i].share > 0) {
            world_schedule(world, 0, EVENT_ARRIVAL, i);
        }
    }
    event_t event;
    while (event_queue_pop(&world->events, &event)) {
        world->clock.now_us = event.due_us;
        dispatch(world, &event);
    }
}

/// Releases a world; its sums' latencies too.
void
world_finish(world_t *world)
{
    for (uint32_t i = 0; i < world->server_count; i++) {
        teardown_server(world, &world->servers[i]);
    }
    for (uint32_t i = 0; i < world->deployment->kind_count; i++) {
        g_rand_free(world->arrivals[i]);
    }
    g_rand_free(world->random);
    g_free(world->servers);
    event_queue_finish(&world->events);
    g_array_free(world->roots, TRUE);
    g_array_free(world->calls, TRUE);
    g_array_free(world->attempts, TRUE);
    g_array_free(world->free_roots, TRUE);
    g_array_free(world->free_calls, TRUE);
    g_array_free(world->free_attempts, TRUE);
    g_array_free(world->sums.short_latency, TRUE);
}
