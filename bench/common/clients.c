/// @file
/// The simulated clients: an open-loop Poisson arrival process, client
/// retries, and the totals of their requests.

#include <math.h>

#include "common/sim.h"

/// Upper bound of the random back-off of a client. It is short so that clients
/// retry aggressively.
#define CLIENT_BACKOFF_MAX_US (20 * US_PER_MS)
/// Round trip between VMs of one data centre.
#define LOCAL_ROUND_TRIP_US 200

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
in_measured_window(const sim_t *sim, int64_t at_us)
{
    return at_us >= sim->scenario->measure_from_us &&
           at_us < sim->scenario->end_us;
}

static bool
in_surge_onset(const sim_t *sim, int64_t at_us)
{
    int64_t from_us = sim->scenario->surge_from_us;
    return in_surge(sim->scenario, at_us) && at_us < from_us + US_PER_S;
}

static uint32_t
bucket_at(int64_t at_us)
{
    return (uint32_t)MIN(at_us / BUCKET_US, BUCKETS_MAX - 1);
}

static double
load_factor(const sim_t *sim, uint32_t kind)
{
    const scenario_t *scenario = sim->scenario;
    double factor = in_surge(scenario, now_us(sim)) ? scenario->surge_load
                                                    : scenario->load;
    if (sim->deployment->kinds[kind].is_long) {
        factor *= scenario->long_kind_load_factor;
    }
    return factor;
}

static void
schedule_next_request(sim_t *sim, uint32_t kind)
{
    double rate = sim->rates[kind] * load_factor(sim, kind);
    if (rate <= 0 || now_us(sim) >= sim->scenario->end_us) {
        return;
    }
    double uniform = g_rand_double(sim->arrival_random[kind]);
    int64_t gap_us = (int64_t)(-log(1 - uniform) * 1e6 / rate);
    sim_schedule(sim, gap_us, EVENT_CLIENT_REQUEST, kind);
}

/// Returns how long the upstream of @p kind works on a request, without calls.
/// It is the same in every attempt.
double
root_own_us(const sim_t *sim, const root_t *root, uint32_t kind)
{
    double uniform = sim_uniform(sim, root->number, kind);
    double factor = 0.6 - 0.4 * log(1 - uniform);
    return sim->deployment->kinds[kind].own_us * factor;
}

/// Releases one reference of a root request. With the last one its work is
/// added to the totals.
void
root_release(sim_t *sim, uint32_t index)
{
    root_t *root = sim_root(sim, index);
    if (--root->reference_count > 0) {
        return;
    }
    sim->totals.work_us += root->work_us;
    if (!root->succeeded) {
        sim->totals.failed_work_us += root->work_us;
    }
    g_array_append_val(sim->free_roots, index);
}

/// Adds the slot time that a request needs without queueing to the total of
/// each service of its call chain. Returns that time for the first service.
static double
add_useful_time(sim_t *sim, const root_t *root, uint32_t kind)
{
    const kind_spec_t *spec = &sim->deployment->kinds[kind];
    double hold_us = root_own_us(sim, root, kind);
    if (spec->child != NO_CHILD) {
        hold_us += LOCAL_ROUND_TRIP_US +
                   add_useful_time(sim, root, (uint32_t)spec->child);
    }
    sim->totals.useful_us[spec->service] += hold_us;
    return hold_us;
}

static void
record_outcome(sim_t *sim, uint32_t root_index, bool ok)
{
    root_t *root = sim_root(sim, root_index);
    run_totals_t *totals = &sim->totals;
    const kind_spec_t *spec = &sim->deployment->kinds[root->kind];
    double elapsed_us = ok ? (double)(now_us(sim) - root->start_us)
                           : spec->deadline_ms * 1000.0;
    root->succeeded = ok;
    if (ok) {
        if (in_measured_window(sim, now_us(sim))) {
            add_useful_time(sim, root, root->kind);
            totals->completed[root->kind]++;
        }
        if (in_measured_window(sim, root->start_us)) {
            totals->served[root->kind]++;
        }
        if (in_surge_onset(sim, root->start_us)) {
            totals->surge_served[root->kind]++;
        }
        if (!spec->is_long) {
            totals->bucket_served[bucket_at(now_us(sim))]++;
        }
    }
    if (!spec->is_long && in_measured_window(sim, root->start_us)) {
        double slowdown =
            elapsed_us / deployment_hold_us(sim->deployment, root->kind);
        g_array_append_val(totals->short_slowdowns, slowdown);
    }
    root_release(sim, root_index);
}

/// Sends a new request and schedules the next one of its kind.
void
client_arrival(sim_t *sim, uint32_t kind)
{
    schedule_next_request(sim, kind);
    uint32_t index = sim_pool_take(sim->roots, sim->free_roots);
    root_t *root = sim_root(sim, index);
    *root = (root_t){.kind = kind,
                     .reference_count = 1,
                     .number = sim->next_number++,
                     .start_us = now_us(sim)};
    sim->totals.roots++;
    if (in_measured_window(sim, root->start_us)) {
        sim->totals.offered[kind]++;
    }
    if (in_surge_onset(sim, root->start_us)) {
        sim->totals.surge_offered[kind]++;
    }
    if (!sim->deployment->kinds[kind].is_long) {
        sim->totals.bucket_offered[bucket_at(root->start_us)]++;
    }
    client_send_attempt(sim, index);
}

/// Sends a request, or a client retry of it, to the entry of a random server.
void
client_send_attempt(sim_t *sim, uint32_t root_index)
{
    root_t *root = sim_root(sim, root_index);
    double uniform =
        sim_uniform(sim, root->number, 1000 + root->client_attempts);
    uint32_t server = (uint32_t)(uniform * sim->server_count);
    root->client_attempts++;
    uint32_t call = call_new(sim, root_index, root->kind, server, INDEX_NONE);
    sim_call(sim, call)->reference_count++;
    sim_schedule(sim, sim->deployment->client_delay_us, EVENT_CALL_ARRIVAL,
                 call);
}

/// Ends a request, or schedules a client retry after a failure.
void
client_result(sim_t *sim, uint32_t root_index, bool ok)
{
    root_t *root = sim_root(sim, root_index);
    if (ok || root->client_attempts >= sim->scenario->client_attempts_max) {
        record_outcome(sim, root_index, ok);
        return;
    }
    double jitter =
        sim_uniform(sim, root->number, 2000 + root->client_attempts);
    int64_t delay_us = sim->deployment->client_delay_us +
                       (int64_t)(jitter * CLIENT_BACKOFF_MAX_US);
    sim_schedule(sim, delay_us, EVENT_CLIENT_RETRY, root_index);
}
