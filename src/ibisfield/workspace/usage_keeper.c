/// @file
/// Usage caps over all nodes. The nodes report what callers offer and what was
/// admitted; the keeper answers which part of each workspace's requests may be
/// admitted until the next report.
///
/// A keeper gives out the part of a cap that the nodes reporting to it are of
/// the fleet. So two keepers, on both sides of a cut or during a change of the
/// list, don't give out more than the cap between them, and neither needs to
/// know of the other. A keeper of a data centre reports to one above it and
/// passes that one's shares on while it gets them.

#include "ibisfield/workspace/usage_keeper.h"

#include <math.h>

#include "ibisfield/workspace/fair_shares.h"

/// Nodes count for this long after their last report.
#define REPORTER_TTL_US (1500 * US_PER_MS)
/// Shares from above hold for this long.
#define SHARES_ABOVE_TTL_US (600 * US_PER_MS)
/// Time constant of the moving average of what callers offer.
#define DEMAND_TIME_US (400 * US_PER_MS)
/// The same for a second one that shows a sudden rise. It counts only above
/// SURGE_RATIO times the first and with SURGE_REQUESTS_MIN requests in it, so
/// that chance isn't taken for a rise.
#define SURGE_TIME_US (100 * US_PER_MS)
#define SURGE_RATIO 1.5
#define SURGE_REQUESTS_MIN 20
/// The same for fair shares, which follow lasting demand and not the chance of
/// single requests.
#define FAIR_DEMAND_TIME_US (1500 * US_PER_MS)
/// Below this fraction of refused requests nothing is scarce enough to be
/// divided.
#define REFUSED_PERMILLE_MIN 20
/// What was used beyond the cap is made up for in this time.
#define PAY_BACK_TIME_S 1.0
/// What is left of the burst may be used in this time.
#define BURST_TIME_S 0.4
/// A workspace gets at least this part of its cap while it pays back.
#define RATE_FRACTION_MIN 0.05
/// Shares are computed anew after this time at most, however many reports
/// arrive.
#define SHARES_INTERVAL_US (30 * US_PER_MS)
/// Workspaces without reports for this long are forgotten.
#define IDLE_TTL_US (30 * US_PER_S)

typedef struct {
    uint64_t id;
    uint32_t weight;
    uint32_t refused_permille;
    int64_t reported_us;
} reporter_t;

typedef struct {
    uint64_t id;
    double demand_per_s;      ///< moving average at demand_us
    double surge_per_s;       ///< the same over SURGE_TIME_US
    double fair_demand_per_s; ///< the same over FAIR_DEMAND_TIME_US
    int64_t demand_us;
    double tokens; ///< left of the burst; below 0: used beyond the cap
    int64_t filled_us;
    bool binding; ///< as last reported by cap_changed
} usage_t;

/// Initialises a keeper without reports.
///
/// @param reports_above  it sums up reports for usage_keeper_take_counts()
/// @param cap_changed    called when a cap begins or ceases to bind here
void
usage_keeper_init(usage_keeper_t *keeper, const clock_source_t *clock,
                  bool reports_above, usage_cap_changed_t cap_changed,
                  void *context)
{
    *keeper = (usage_keeper_t){
        .clock = clock,
        .reporters =
            g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free),
        .workspaces =
            g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free),
        .reports_above = reports_above,
        .cap_changed = cap_changed,
        .context = context,
        .shares = g_array_new(FALSE, FALSE, sizeof(usage_share_t)),
        .unreported = g_array_new(FALSE, FALSE, sizeof(usage_count_t)),
        .shares_above = g_array_new(FALSE, FALSE, sizeof(usage_share_t)),
    };
}

void
usage_keeper_finish(usage_keeper_t *keeper)
{
    g_hash_table_destroy(keeper->reporters);
    g_hash_table_destroy(keeper->workspaces);
    g_array_free(keeper->unreported, TRUE);
    g_array_free(keeper->shares, TRUE);
    g_array_free(keeper->shares_above, TRUE);
}

static void
record_reporter(usage_keeper_t *keeper, const usage_report_t *report)
{
    reporter_t *reporter =
        g_hash_table_lookup(keeper->reporters, &report->reporter);
    if (reporter == NULL) {
        reporter = g_new0(reporter_t, 1);
        reporter->id = report->reporter;
        g_hash_table_insert(keeper->reporters, &reporter->id, reporter);
    }
    reporter->weight = report->weight;
    reporter->refused_permille = report->refused_permille;
    reporter->reported_us = clock_now_us(keeper->clock);
}

/// Returns how many nodes report to this keeper, and forgets those that don't
/// any more.
uint32_t
usage_keeper_weight(usage_keeper_t *keeper)
{
    int64_t now_us = clock_now_us(keeper->clock);
    uint32_t weight = 0;
    GHashTableIter iter;
    void *pointer = NULL;
    g_hash_table_iter_init(&iter, keeper->reporters);
    while (g_hash_table_iter_next(&iter, NULL, &pointer)) {
        const reporter_t *reporter = pointer;
        if (now_us - reporter->reported_us >= REPORTER_TTL_US) {
            g_hash_table_iter_remove(&iter);
        }
        else {
            weight += reporter->weight;
        }
    }
    return weight;
}

/// Returns a moving average that was @p per_s at usage->demand_us.
static double
average_now(const usage_t *usage, double per_s, int64_t time_us,
            int64_t now_us)
{
    double age = (double)(now_us - usage->demand_us) / (double)time_us;
    return per_s * exp(-MAX(age, 0));
}

/// Returns what callers offer now. In a sudden rise, or after a start of this
/// keeper, the long average would show it only after much more than the cap
/// has been admitted.
static double
demand_per_s(const usage_t *usage, int64_t now_us)
{
    double demand =
        average_now(usage, usage->demand_per_s, DEMAND_TIME_US, now_us);
    double surge =
        average_now(usage, usage->surge_per_s, SURGE_TIME_US, now_us);
    bool is_surge =
        surge > SURGE_RATIO * demand &&
        surge * SURGE_TIME_US / (double)US_PER_S >= SURGE_REQUESTS_MIN;
    return is_surge ? surge : demand;
}

/// Adds @p offered requests to a moving average.
static void
add_to_average(const usage_t *usage, double *per_s, int64_t time_us,
               uint32_t offered, int64_t now_us)
{
    *per_s = average_now(usage, *per_s, time_us, now_us) +
             offered * (double)US_PER_S / (double)time_us;
}

/// Returns which part of the requests the nodes that report here refuse for
/// want of room, in thousandths.
uint32_t
usage_keeper_refused_permille(const usage_keeper_t *keeper)
{
    uint64_t sum = 0;
    uint64_t weight = 0;
    GHashTableIter iter;
    void *pointer = NULL;
    g_hash_table_iter_init(&iter, keeper->reporters);
    while (g_hash_table_iter_next(&iter, NULL, &pointer)) {
        const reporter_t *reporter = pointer;
        sum += (uint64_t)reporter->weight * reporter->refused_permille;
        weight += reporter->weight;
    }
    return weight == 0 ? 0 : (uint32_t)(sum / weight);
}

/// The part of a cap that a keeper gives out.
typedef struct {
    double rate_per_s;
    double burst;
} allowance_t;

static allowance_t
allowance_of(const usage_caps_t *caps, const workspace_t *workspace,
             double part)
{
    return (allowance_t){
        .rate_per_s =
            part * (workspace->rate_per_s * (1 + caps->tolerated_ratio) +
                    caps->tolerated_per_s),
        .burst = part * workspace->burst,
    };
}

static void
fill_tokens(usage_t *usage, const allowance_t *allowance, int64_t now_us)
{
    double elapsed_s = (double)(now_us - usage->filled_us) / US_PER_S;
    usage->tokens = MIN(usage->tokens + elapsed_s * allowance->rate_per_s,
                        allowance->burst);
    usage->filled_us = now_us;
}

/// Returns whether the shares of the keeper above are in force.
static bool
has_shares_above(const usage_keeper_t *keeper)
{
    return keeper->above_us != 0 &&
           clock_now_us(keeper->clock) - keeper->above_us <
               SHARES_ABOVE_TTL_US;
}

static void
record_count(usage_keeper_t *keeper, const usage_count_t *count)
{
    int64_t now_us = clock_now_us(keeper->clock);
    usage_t *usage =
        g_hash_table_lookup(keeper->workspaces, &count->workspace);
    if (usage == NULL) {
        usage = g_new0(usage_t, 1);
        *usage = (usage_t){.id = count->workspace, .filled_us = now_us};
        g_hash_table_insert(keeper->workspaces, &usage->id, usage);
    }
    add_to_average(usage, &usage->demand_per_s, DEMAND_TIME_US, count->offered,
                   now_us);
    add_to_average(usage, &usage->surge_per_s, SURGE_TIME_US, count->offered,
                   now_us);
    add_to_average(usage, &usage->fair_demand_per_s, FAIR_DEMAND_TIME_US,
                   count->offered, now_us);
    usage->demand_us = now_us;
    usage->tokens -= count->spent;
    if (has_shares_above(keeper)) {
        // The keeper above keeps the balance meanwhile.
        usage->tokens = 0;
        usage->filled_us = now_us;
        usage->binding = false;
    }
}

static void
add_unreported(usage_keeper_t *keeper, const usage_count_t *count)
{
    for (guint i = 0; i < keeper->unreported->len; i++) {
        usage_count_t *sum =
            &g_array_index(keeper->unreported, usage_count_t, i);
        if (sum->workspace == count->workspace) {
            sum->offered += count->offered;
            sum->spent += count->spent;
            return;
        }
    }
    g_array_append_val(keeper->unreported, *count);
}

/// Returns the part of a workspace's requests that may be admitted.
static uint32_t
admitted_permille(usage_keeper_t *keeper, usage_t *usage,
                  const workspace_t *cap, const allowance_t *allowance,
                  int64_t now_us)
{
    double rate = allowance->rate_per_s;
    double time_s = usage->tokens < 0 ? PAY_BACK_TIME_S : BURST_TIME_S;
    double admitted =
        MAX(rate + usage->tokens / time_s, RATE_FRACTION_MIN * rate);
    double demand = demand_per_s(usage, now_us);
    bool binding = demand > admitted;
    if (binding != usage->binding) {
        usage->binding = binding;
        keeper->cap_changed(keeper->context,
                            &(usage_cap_change_t){
                                .workspace = cap,
                                .binding = binding,
                                .demand_per_s = demand,
                                .admitted_per_s = admitted,
                                .nodes = usage_keeper_weight(keeper),
                            });
    }
    return !binding ? USAGE_ADMIT_ALL
                    : (uint32_t)(USAGE_ADMIT_ALL * admitted / demand);
}

/// Sets the factors of the shares (of all workspaces, in the order of
/// @p demands) by the fair shares of what isn't refused.
static void
set_refusal_factors(const usage_keeper_t *keeper, GArray *shares,
                    GArray *demands)
{
    uint32_t refused_permille = usage_keeper_refused_permille(keeper);
    if (refused_permille < REFUSED_PERMILLE_MIN) {
        return;
    }
    double refused = refused_permille / 1000.0;
    fair_demand_t *all = (fair_demand_t *)(void *)demands->data;
    double total = 0;
    for (guint i = 0; i < demands->len; i++) {
        total += all[i].demand;
    }
    double level = fair_shares_level(all, demands->len, (1 - refused) * total);
    for (guint i = 0; i < demands->len; i++) {
        g_array_index(shares, usage_share_t, all[i].index).refusal_factor =
            fair_shares_refusal_factor(&all[i], level, refused);
    }
}

static bool
is_default_share(const usage_share_t *share)
{
    return share->permille == USAGE_ADMIT_ALL &&
           share->refusal_factor == USAGE_REFUSAL_MEAN;
}

/// Computes the shares of this keeper. Forgets workspaces that are idle or no
/// longer in force.
static void
compute_shares(usage_keeper_t *keeper, const usage_caps_t *caps)
{
    int64_t now_us = clock_now_us(keeper->clock);
    if (keeper->shares_us != 0 &&
        now_us - keeper->shares_us < SHARES_INTERVAL_US) {
        return;
    }
    keeper->shares_us = now_us;
    g_array_set_size(keeper->shares, 0);
    GArray *all = g_array_new(FALSE, FALSE, sizeof(usage_share_t));
    GArray *demands = g_array_new(FALSE, FALSE, sizeof(fair_demand_t));
    double part =
        MIN((double)usage_keeper_weight(keeper) / MAX(caps->nodes, 1), 1);
    GHashTableIter iter;
    void *pointer = NULL;
    g_hash_table_iter_init(&iter, keeper->workspaces);
    while (g_hash_table_iter_next(&iter, NULL, &pointer)) {
        usage_t *usage = pointer;
        const workspace_entry_t *entry =
            workspaces_find(caps->workspaces, usage->id);
        if (entry == NULL || now_us - usage->demand_us >= IDLE_TTL_US) {
            g_hash_table_iter_remove(&iter);
            continue;
        }
        const workspace_t *cap = &entry->workspace;
        bool capped = cap->rate_per_s > 0;
        allowance_t allowance = allowance_of(caps, cap, part);
        fill_tokens(usage, &allowance, now_us);
        usage_share_t share = {
            .workspace = usage->id,
            .permille = capped ? admitted_permille(keeper, usage, cap,
                                                   &allowance, now_us)
                               : USAGE_ADMIT_ALL,
            .refusal_factor = USAGE_REFUSAL_MEAN,
        };
        double demand = average_now(usage, usage->fair_demand_per_s,
                                    FAIR_DEMAND_TIME_US, now_us);
        fair_demand_t fair = {
            .demand = capped ? MIN(demand, allowance.rate_per_s) : demand,
            .weight = capped ? cap->rate_per_s : 1,
            .index = all->len,
        };
        g_array_append_val(all, share);
        g_array_append_val(demands, fair);
    }
    set_refusal_factors(keeper, all, demands);
    for (guint i = 0; i < all->len; i++) {
        const usage_share_t *share = &g_array_index(all, usage_share_t, i);
        if (!is_default_share(share)) {
            g_array_append_vals(keeper->shares, share, 1);
        }
    }
    g_array_free(all, TRUE);
    g_array_free(demands, TRUE);
}

/// Records a report and appends the shares (usage_share_t) that hold for its
/// sender: those from above if there are any, else this keeper's own. Of
/// workspaces without a share, all requests may be admitted.
void
usage_keeper_report(usage_keeper_t *keeper, const usage_caps_t *caps,
                    const usage_report_t *report, GArray *shares)
{
    record_reporter(keeper, report);
    for (guint i = 0; i < report->counts->len; i++) {
        const usage_count_t *count =
            &g_array_index(report->counts, usage_count_t, i);
        if (workspaces_find(caps->workspaces, count->workspace) != NULL) {
            record_count(keeper, count);
            if (keeper->reports_above) {
                add_unreported(keeper, count);
            }
        }
    }
    const GArray *chosen = keeper->shares_above;
    if (!has_shares_above(keeper)) {
        compute_shares(keeper, caps);
        chosen = keeper->shares;
    }
    if (chosen->len > 0) {
        g_array_append_vals(shares, chosen->data, chosen->len);
    }
}

/// Moves what was reported here since the last call to @p counts.
void
usage_keeper_take_counts(usage_keeper_t *keeper, GArray *counts)
{
    if (keeper->unreported->len > 0) {
        g_array_append_vals(counts, keeper->unreported->data,
                            keeper->unreported->len);
    }
    g_array_set_size(keeper->unreported, 0);
}

/// Puts counts back that didn't reach the keeper above for certain.
void
usage_keeper_restore_counts(usage_keeper_t *keeper, const GArray *counts)
{
    for (guint i = 0; i < counts->len; i++) {
        add_unreported(keeper, &g_array_index(counts, usage_count_t, i));
    }
}

/// Puts the shares of the keeper above in force.
void
usage_keeper_apply_shares(usage_keeper_t *keeper, const GArray *shares)
{
    g_array_set_size(keeper->shares_above, 0);
    if (shares->len > 0) {
        g_array_append_vals(keeper->shares_above, shares->data, shares->len);
    }
    keeper->above_us = clock_now_us(keeper->clock);
}
