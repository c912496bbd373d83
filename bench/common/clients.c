/// @file
/// Clients of the model: open arrivals, tries, and what counts as served.

#include <math.h>

#include "common/sim.h"

/// A client that retries hard waits at most this long between tries.
#define CLIENT_PAUSE_US (20 * US_PER_MS)
#define NEAR_ROUND_TRIP_US 200

static int64_t
now_us(const world_t *world)
{
    return world->clock.now_us;
}

static bool
in_surge(const scenario_t *scenario, int64_t at_us)
{
    return at_us >= scenario->surge_from_us && at_us < scenario->surge_end_us;
}

static bool
in_window(const world_t *world, int64_t at_us)
{
    return at_us >= world->scenario->from_us &&
           at_us < world->scenario->end_us;
}

static bool
in_crest(const world_t *world, int64_t at_us)
{
    int64_t from_us = world->scenario->surge_from_us;
    return in_surge(world->scenario, at_us) && at_us < from_us + US_PER_S;
}

static uint32_t
bucket_of(int64_t at_us)
{
    return (uint32_t)MIN(at_us / BUCKET_US, BUCKETS_MAX - 1);
}

static double
load_factor(const world_t *world, uint32_t kind)
{
    const scenario_t *scenario = world->scenario;
    double factor =
        in_surge(scenario, now_us(world)) ? scenario->surge : scenario->load;
    if (world->deployment->kinds[kind].is_long) {
        factor *= scenario->long_factor;
    }
    return factor;
}

static void
schedule_arrival(world_t *world, uint32_t kind)
{
    double rate = world->rates[kind] * load_factor(world, kind);
    if (rate <= 0 || now_us(world) >= world->scenario->end_us) {
        return;
    }
    double uniform = g_rand_double(world->arrivals[kind]);
    int64_t gap_us = (int64_t)(-log(1 - uniform) * 1e6 / rate);
    world_schedule(world, gap_us, EVENT_ARRIVAL, kind);
}

/// Own time of a request at the upstream of @p kind; the same in every try.
double
root_own_us(const world_t *world, const root_t *root, uint32_t kind)
{
    double uniform = world_draw(world, root->number, kind);
    double spread = 0.6 - 0.4 * log(1 - uniform);
    return world->deployment->kinds[kind].own_us * spread;
}

/// Drops one reference of a client's request; the last one books its work.
void
root_release(world_t *world, uint32_t index)
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

/// Adds the slot time that the request needs at each service of its chain.
static double
add_useful_time(world_t *world, const root_t *root, uint32_t kind)
{
    const kind_spec_t *spec = &world->deployment->kinds[kind];
    double hold_us = root_own_us(world, root, kind);
    if (spec->child != NO_CHILD) {
        hold_us += NEAR_ROUND_TRIP_US +
                   add_useful_time(world, root, (uint32_t)spec->child);
    }
    world->sums.goodput[spec->service] += hold_us;
    return hold_us;
}

static void
count_end(world_t *world, uint32_t root_index, bool ok)
{
    root_t *root = world_root(world, root_index);
    sums_t *sums = &world->sums;
    const kind_spec_t *spec = &world->deployment->kinds[root->kind];
    double taken_us = ok ? (double)(now_us(world) - root->start_us)
                         : spec->deadline_ms * 1000.0;
    root->succeeded = ok;
    if (ok) {
        if (in_window(world, now_us(world))) {
            add_useful_time(world, root, root->kind);
            sums->answered[root->kind]++;
        }
        if (in_window(world, root->start_us)) {
            sums->served[root->kind]++;
        }
        if (in_crest(world, root->start_us)) {
            sums->crest_served[root->kind]++;
        }
        if (!spec->is_long) {
            sums->bucket_served[bucket_of(now_us(world))]++;
        }
    }
    if (!spec->is_long && in_window(world, root->start_us)) {
        double ratio =
            taken_us / deployment_hold_us(world->deployment, root->kind);
        g_array_append_val(sums->short_latency, ratio);
    }
    root_release(world, root_index);
}

/// A client sends a new request.
void
client_arrival(world_t *world, uint32_t kind)
{
    schedule_arrival(world, kind);
    uint32_t index = world_take(world->roots, world->free_roots);
    root_t *root = world_root(world, index);
    *root = (root_t){.kind = kind,
                     .references = 1,
                     .number = world->next_number++,
                     .start_us = now_us(world)};
    world->sums.roots++;
    if (in_window(world, root->start_us)) {
        world->sums.offered[kind]++;
    }
    if (in_crest(world, root->start_us)) {
        world->sums.crest_offered[kind]++;
    }
    if (!world->deployment->kinds[kind].is_long) {
        world->sums.bucket_offered[bucket_of(root->start_us)]++;
    }
    client_try(world, index);
}

/// Sends one try of a request to any node.
void
client_try(world_t *world, uint32_t root_index)
{
    root_t *root = world_root(world, root_index);
    double uniform = world_draw(world, root->number, 1000 + root->tries);
    uint32_t node = (uint32_t)(uniform * world->server_count);
    root->tries++;
    uint32_t call = call_new(world, root_index, root->kind, node, NONE);
    world_call(world, call)->references++;
    world_schedule(world, world->deployment->client_delay_us, EVENT_CALL,
                   call);
}

/// A try has ended at the entry.
void
client_result(world_t *world, uint32_t root_index, bool ok)
{
    root_t *root = world_root(world, root_index);
    if (ok || root->tries >= world->scenario->client_tries) {
        count_end(world, root_index, ok);
        return;
    }
    double pause = world_draw(world, root->number, 2000 + root->tries);
    int64_t delay_us = world->deployment->client_delay_us +
                       (int64_t)(pause * CLIENT_PAUSE_US);
    world_schedule(world, delay_us, EVENT_RETRY, root_index);
}
