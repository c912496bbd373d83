/// @file
/// Clients of the model: open arrivals, tries, and what counts as served.

#include <math.h>

#include "common/sim.h"

/// A client that retries hard waits at most this long between tries.
#define CLIENT_PAUSE_US (20 * US_PER_MS)
#define NEAR_ROUND_TRIP_US 200

static int64_t
now_us(const sim_t *sim)
{
    return sim->clock.now_us;
}

static bool
in_surge(const scenario_t *scenario, int64_t at_us)
{
    return at_us >= scenario->surge_from_us && at_us < scenario->surge_end_us;
}

static bool
in_window(const sim_t *sim, int64_t at_us)
{
    return at_us >= sim->scenario->measure_from_us &&
           at_us < sim->scenario->end_us;
}

static bool
in_crest(const sim_t *sim, int64_t at_us)
{
    int64_t from_us = sim->scenario->surge_from_us;
    return in_surge(sim->scenario, at_us) && at_us < from_us + US_PER_S;
}

static uint32_t
bucket_of(int64_t at_us)
{
    return (uint32_t)MIN(at_us / BUCKET_US, BUCKETS_MAX - 1);
}

static double
load_factor(const sim_t *sim, uint32_t kind)
{
    const scenario_t *scenario = sim->scenario;
    double factor =
        in_surge(scenario, now_us(sim)) ? scenario->surge : scenario->load;
    if (sim->deployment->kinds[kind].is_long) {
        factor *= scenario->long_factor;
    }
    return factor;
}

static void
schedule_arrival(sim_t *sim, uint32_t kind)
{
    double rate = sim->rates[kind] * load_factor(sim, kind);
    if (rate <= 0 || now_us(sim) >= sim->scenario->end_us) {
        return;
    }
    double uniform = g_rand_double(sim->arrivals[kind]);
    int64_t gap_us = (int64_t)(-log(1 - uniform) * 1e6 / rate);
    sim_schedule(sim, gap_us, EVENT_ARRIVAL, kind);
}

/// Own time of a request at the upstream of @p kind; the same in every try.
double
root_own_us(const sim_t *sim, const root_t *root, uint32_t kind)
{
    double uniform = sim_uniform(sim, root->number, kind);
    double spread = 0.6 - 0.4 * log(1 - uniform);
    return sim->deployment->kinds[kind].own_us * spread;
}

/// Drops one reference of a client's request; the last one books its work.
void
root_release(sim_t *sim, uint32_t index)
{
    root_t *root = sim_root(sim, index);
    if (--root->references > 0) {
        return;
    }
    sim->sums.work_us += root->work_us;
    if (!root->succeeded) {
        sim->sums.failed_work_us += root->work_us;
    }
    g_array_append_val(sim->free_roots, index);
}

/// Adds the slot time that the request needs at each service of its chain.
static double
add_useful_time(sim_t *sim, const root_t *root, uint32_t kind)
{
    const kind_spec_t *spec = &sim->deployment->kinds[kind];
    double hold_us = root_own_us(sim, root, kind);
    if (spec->child != NO_CHILD) {
        hold_us += NEAR_ROUND_TRIP_US +
                   add_useful_time(sim, root, (uint32_t)spec->child);
    }
    sim->sums.useful_us[spec->service] += hold_us;
    return hold_us;
}

static void
count_end(sim_t *sim, uint32_t root_index, bool ok)
{
    root_t *root = sim_root(sim, root_index);
    sums_t *sums = &sim->sums;
    const kind_spec_t *spec = &sim->deployment->kinds[root->kind];
    double taken_us = ok ? (double)(now_us(sim) - root->start_us)
                         : spec->deadline_ms * 1000.0;
    root->succeeded = ok;
    if (ok) {
        if (in_window(sim, now_us(sim))) {
            add_useful_time(sim, root, root->kind);
            sums->answered[root->kind]++;
        }
        if (in_window(sim, root->start_us)) {
            sums->served[root->kind]++;
        }
        if (in_crest(sim, root->start_us)) {
            sums->surge_served[root->kind]++;
        }
        if (!spec->is_long) {
            sums->bucket_served[bucket_of(now_us(sim))]++;
        }
    }
    if (!spec->is_long && in_window(sim, root->start_us)) {
        double ratio =
            taken_us / deployment_hold_us(sim->deployment, root->kind);
        g_array_append_val(sums->short_slowdowns, ratio);
    }
    root_release(sim, root_index);
}

/// A client sends a new request.
void
client_arrival(sim_t *sim, uint32_t kind)
{
    schedule_arrival(sim, kind);
    uint32_t index = sim_take_slot(sim->roots, sim->free_roots);
    root_t *root = sim_root(sim, index);
    *root = (root_t){.kind = kind,
                     .references = 1,
                     .number = sim->next_number++,
                     .start_us = now_us(sim)};
    sim->sums.roots++;
    if (in_window(sim, root->start_us)) {
        sim->sums.offered[kind]++;
    }
    if (in_crest(sim, root->start_us)) {
        sim->sums.surge_offered[kind]++;
    }
    if (!sim->deployment->kinds[kind].is_long) {
        sim->sums.bucket_offered[bucket_of(root->start_us)]++;
    }
    client_send_attempt(sim, index);
}

/// Sends one try of a request to any node.
void
client_send_attempt(sim_t *sim, uint32_t root_index)
{
    root_t *root = sim_root(sim, root_index);
    double uniform =
        sim_uniform(sim, root->number, 1000 + root->client_attempts);
    uint32_t node = (uint32_t)(uniform * sim->server_count);
    root->client_attempts++;
    uint32_t call = call_new(sim, root_index, root->kind, node, NONE);
    sim_call(sim, call)->references++;
    sim_schedule(sim, sim->deployment->client_delay_us, EVENT_CALL, call);
}

/// A try has ended at the entry.
void
client_result(sim_t *sim, uint32_t root_index, bool ok)
{
    root_t *root = sim_root(sim, root_index);
    if (ok || root->client_attempts >= sim->scenario->client_attempts) {
        count_end(sim, root_index, ok);
        return;
    }
    double pause =
        sim_uniform(sim, root->number, 2000 + root->client_attempts);
    int64_t delay_us =
        sim->deployment->client_delay_us + (int64_t)(pause * CLIENT_PAUSE_US);
    sim_schedule(sim, delay_us, EVENT_RETRY, root_index);
}
