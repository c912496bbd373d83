/// @file
/// The event loop of the deterministic comparison.

#include "common/world.h"

#include <stdio.h>
#include <xxhash.h>

#define TICK_US (5 * US_PER_MS)
/// Guards are still served this long after the last arrival.
#define SETTLE_US (10 * US_PER_S)
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

/// Drops one reference of a client's request; the last one books its work.
void
world_release_root(world_t *world, uint32_t index)
{
    root_t *root = world_root(world, index);
    if (--root->references > 0) {
        return;
    }
    world->sums.work_us += root->work_us;
    if (!root->succeeded) {
        world->sums.failed_work_us += root->work_us;
    }
    g_array_append_val(world->free_roots, index);
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
        world_call(world, event->a)->events--;
        call_start(world, event->a);
        break;
    case EVENT_DEADLINE:
        call_deadline(world, event->a);
        break;
    case EVENT_HEDGE:
        call_hedge(world, event->a);
        break;
    case EVENT_GUARD:
        server_arrival(world, event->a);
        break;
    case EVENT_PHASE:
        server_phase(world, event->a);
        break;
    case EVENT_RESULT:
        call_result(world, event->a);
        break;
    case EVENT_CANCEL:
        server_cancel(world, event->a);
        break;
    case EVENT_TICK:
        server_tick(world, event->a);
        if (world->clock.now_us < world->scenario->end_us + SETTLE_US) {
            event_queue_add(&world->events, world->clock.now_us + TICK_US,
                            EVENT_TICK, event->a, 0);
        }
        break;
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
            server->service = i;
            server->index = j;
            server->centre = j % DATA_CENTRES;
            snprintf(server->name, sizeof(server->name), "%s-%u",
                     deployment->services[i].name, j);
        }
    }
    for (uint32_t i = 0; i < world->server_count; i++) {
        server_setup(world, i);
        if (!world->variant->pass_through) {
            event_queue_add(&world->events, TICK_US, EVENT_TICK, i, 0);
        }
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
    setup_servers(world);
    for (uint32_t i = 0; i < deployment->kind_count; i++) {
        world->arrivals[i] = g_rand_new_with_seed(seed * 1000 + i);
        if (deployment->kinds[i].share > 0) {
            event_queue_add(&world->events, 0, EVENT_ARRIVAL, i, 0);
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
        server_teardown(&world->servers[i]);
    }
    for (uint32_t i = 0; i < world->deployment->kind_count; i++) {
        g_rand_free(world->arrivals[i]);
    }
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
