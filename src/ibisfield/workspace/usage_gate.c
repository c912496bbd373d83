/// @file
/// Usage caps at one node. A keeper, which hears from all nodes, says which
/// part of each workspace's requests may be admitted; see usage_keeper.c. The
/// node thins out the requests by that part, so it needs no share of its own
/// that would fit its callers. Without a keeper the node falls back to its
/// equal part of the cap, so that all nodes together keep it.

#include "ibisfield/workspace/usage_gate.h"

#include <math.h>

/// Shares of a keeper hold for this long.
#define SHARES_TTL_US US_PER_S
/// Retry-After of requests beyond the cap, before jitter.
#define RETRY_AFTER_MIN_MS 500
#define RETRY_AFTER_MAX_MS 5000
/// A workspace surges here when this many times the node's equal part of its
/// cap has been admitted since the last report. A keeper that hears of it at
/// the usual time only lets the whole fleet admit that much meanwhile.
#define SURGE_RATIO 3
/// Fewer requests are taken for chance.
#define SURGE_REQUESTS_MIN 4

typedef struct {
    uint64_t workspace;
    uint32_t offered; ///< not reported yet
    int32_t spent;    ///< not reported yet
    uint32_t permille;
    uint32_t refusal_factor;
    double credit;     ///< of thinning: admits at 1
    double tokens;     ///< of the node's own part of the cap
    int64_t filled_us; ///< time to which the tokens are filled up
} gate_entry_t;

void
usage_gate_init(usage_gate_t *gate, const clock_source_t *clock, uint32_t seed)
{
    *gate = (usage_gate_t){
        .clock = clock,
        .entries =
            g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free),
        .nodes = 1,
        .random = g_rand_new_with_seed(seed),
    };
}

void
usage_gate_finish(usage_gate_t *gate)
{
    g_hash_table_destroy(gate->entries);
    g_rand_free(gate->random);
}

/// Sets how many nodes share the caps, and the usual time between two reports
/// of this one.
void
usage_gate_set_nodes(usage_gate_t *gate, uint32_t nodes,
                     int64_t report_interval_us)
{
    gate->nodes = MAX(nodes, 1);
    gate->report_interval_us = report_interval_us;
}

static gate_entry_t *
get_or_add(usage_gate_t *gate, uint64_t workspace)
{
    gate_entry_t *entry = g_hash_table_lookup(gate->entries, &workspace);
    if (entry == NULL) {
        entry = g_new0(gate_entry_t, 1);
        entry->workspace = workspace;
        entry->permille = USAGE_ADMIT_ALL;
        entry->refusal_factor = USAGE_REFUSAL_MEAN;
        entry->filled_us = clock_now_us(gate->clock);
        g_hash_table_insert(gate->entries, &entry->workspace, entry);
    }
    return entry;
}

/// Returns whether shares of a keeper are in force.
bool
usage_gate_is_informed(const usage_gate_t *gate)
{
    return gate->replied_us != 0 &&
           clock_now_us(gate->clock) - gate->replied_us < SHARES_TTL_US;
}

/// Takes a token of the node's own part of the cap, which holds one at least.
static bool
take_own_token(usage_gate_t *gate, gate_entry_t *entry,
               const workspace_t *workspace)
{
    int64_t now_us = clock_now_us(gate->clock);
    double elapsed_s = (double)(now_us - entry->filled_us) / US_PER_S;
    double depth = MAX(workspace->burst / gate->nodes, 1);
    entry->filled_us = now_us;
    entry->tokens =
        MIN(entry->tokens + elapsed_s * workspace->rate_per_s / gate->nodes,
            depth);
    if (entry->tokens < 1) {
        return false;
    }
    entry->tokens -= 1;
    return true;
}

static bool
take_shared_token(gate_entry_t *entry)
{
    entry->credit += entry->permille;
    if (entry->credit < USAGE_ADMIT_ALL) {
        return false;
    }
    entry->credit -= USAGE_ADMIT_ALL;
    return true;
}

/// Returns whether much more of a workspace than the node's part of its cap
/// has been admitted since the last report.
static bool
is_surge(const usage_gate_t *gate, const gate_entry_t *entry,
         const workspace_t *workspace)
{
    double part = workspace->rate_per_s / gate->nodes *
                  (double)gate->report_interval_us / US_PER_S;
    return workspace->rate_per_s > 0 &&
           entry->spent >= MAX(SURGE_RATIO * part, SURGE_REQUESTS_MIN);
}

/// Decides on a request of a workspace and counts it. If it turns out not to
/// run, usage_gate_return() takes it back.
bool
usage_gate_admit(usage_gate_t *gate, const workspace_entry_t *workspace)
{
    gate_entry_t *entry = get_or_add(gate, workspace->id);
    entry->offered++;
    bool admitted = workspace->workspace.rate_per_s <= 0;
    if (!admitted) {
        admitted = usage_gate_is_informed(gate)
                       ? take_shared_token(entry)
                       : take_own_token(gate, entry, &workspace->workspace);
    }
    entry->spent += admitted ? 1 : 0;
    gate->has_surge |= is_surge(gate, entry, &workspace->workspace);
    return admitted;
}

/// Takes back an admitted request that hasn't run and won't.
void
usage_gate_return(usage_gate_t *gate, uint64_t workspace)
{
    gate_entry_t *entry = g_hash_table_lookup(gate->entries, &workspace);
    if (entry != NULL) {
        entry->spent--;
        entry->tokens += 1;
    }
}

/// Returns the part of the workspace's requests that is admitted now.
uint32_t
usage_gate_permille(const usage_gate_t *gate, uint64_t workspace)
{
    const gate_entry_t *entry = g_hash_table_lookup(gate->entries, &workspace);
    return entry == NULL ? USAGE_ADMIT_ALL : entry->permille;
}

/// Returns the factor on the part of the workspace's requests that the
/// throttle refuses: 1 unless a keeper has told the fair shares.
double
usage_gate_refusal_factor(const usage_gate_t *gate, uint64_t workspace)
{
    const gate_entry_t *entry = g_hash_table_lookup(gate->entries, &workspace);
    return entry == NULL || !usage_gate_is_informed(gate)
               ? 1
               : (double)entry->refusal_factor / USAGE_REFUSAL_MEAN;
}

/// Returns after which time a request beyond the cap should come back: the
/// more is refused, the later.
int32_t
usage_gate_retry_after_ms(usage_gate_t *gate, uint64_t workspace)
{
    uint32_t permille = MAX(usage_gate_permille(gate, workspace), 1);
    double excess = (double)USAGE_ADMIT_ALL / permille - 1;
    double base_ms =
        CLAMP(1000 * excess, RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS);
    return (int32_t)g_rand_double_range(gate->random, base_ms, 1.5 * base_ms);
}

/// Returns whether a report should be sent before its usual time.
bool
usage_gate_has_surge(const usage_gate_t *gate)
{
    return gate->has_surge;
}

/// Returns whether there is anything to report.
bool
usage_gate_has_counts(const usage_gate_t *gate)
{
    GHashTableIter iter;
    void *pointer = NULL;
    g_hash_table_iter_init(&iter, gate->entries);
    while (g_hash_table_iter_next(&iter, NULL, &pointer)) {
        const gate_entry_t *entry = pointer;
        if (entry->offered > 0 || entry->spent != 0) {
            return true;
        }
    }
    return false;
}

/// Moves the counts since the last call to @p counts (usage_count_t).
void
usage_gate_take_counts(usage_gate_t *gate, GArray *counts)
{
    gate->has_surge = false;
    GHashTableIter iter;
    void *pointer = NULL;
    g_hash_table_iter_init(&iter, gate->entries);
    while (g_hash_table_iter_next(&iter, NULL, &pointer)) {
        gate_entry_t *entry = pointer;
        if (entry->offered > 0 || entry->spent != 0) {
            usage_count_t count = {entry->workspace, entry->offered,
                                   entry->spent};
            g_array_append_val(counts, count);
            entry->offered = 0;
            entry->spent = 0;
        }
    }
}

/// Puts counts back that didn't reach a keeper for certain. Those that did
/// then count twice, which keeps the cap.
void
usage_gate_restore_counts(usage_gate_t *gate, const GArray *counts)
{
    for (guint i = 0; i < counts->len; i++) {
        const usage_count_t *count = &g_array_index(counts, usage_count_t, i);
        gate_entry_t *entry = get_or_add(gate, count->workspace);
        entry->offered += count->offered;
        entry->spent += count->spent;
    }
}

/// Puts the shares of a keeper (usage_share_t) in force. Of workspaces that it
/// doesn't name, all requests are admitted, and when a service is scarce they
/// are refused like the mean.
void
usage_gate_apply_shares(usage_gate_t *gate, const GArray *shares)
{
    GHashTableIter iter;
    void *pointer = NULL;
    g_hash_table_iter_init(&iter, gate->entries);
    while (g_hash_table_iter_next(&iter, NULL, &pointer)) {
        gate_entry_t *entry = pointer;
        entry->permille = USAGE_ADMIT_ALL;
        entry->refusal_factor = USAGE_REFUSAL_MEAN;
    }
    for (guint i = 0; i < shares->len; i++) {
        const usage_share_t *share = &g_array_index(shares, usage_share_t, i);
        gate_entry_t *entry = get_or_add(gate, share->workspace);
        entry->permille = MIN(share->permille, USAGE_ADMIT_ALL);
        entry->refusal_factor = MIN(share->refusal_factor, USAGE_REFUSAL_MAX);
    }
    gate->replied_us = clock_now_us(gate->clock);
}

static gboolean
is_out_of_force(void *key, void *value, void *context)
{
    (void)value;
    return workspaces_find(context, *(const uint64_t *)key) == NULL;
}

/// Forgets workspaces that are no longer in force.
void
usage_gate_retain(usage_gate_t *gate, const workspaces_t *workspaces)
{
    g_hash_table_foreach_remove(gate->entries, is_out_of_force,
                                (void *)workspaces);
}
