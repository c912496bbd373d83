/// @file
/// Bounds the repeats that reach a service. Answers a load in which a service
/// loses or fails many answers at once: without the bound each caller's
/// request would double the load on what is left.

#include "ibisfield/retry/service_retry_budget.h"

#include <math.h>

/// Part of the ratio up to which requests are repeated, by the levels of calls
/// below the service. One repeat near the end of a chain saves the whole chain
/// and costs one arrival there, one at its beginning costs a chain. The rest
/// covers what is sent before its effect is reported, about half a second.
static const double use_limits[] = {0.85, 0.7, 0.6, 0.45};
/// Requests below the highest worth end at this part of the limit.
#define LOWER_WORTH_USE 0.7
/// No request is repeated above this part of the ratio, none below the highest
/// worth above the second: the rest is for those that are shed last.
#define USE_MAX 0.95
#define LOWER_WORTH_USE_MAX 0.4
/// Repeats of the newest parts of the window that reports may not hold yet.
#define PENDING_PARTS 2
#define PENDING_WEIGHT 2.0
/// Weight of a report in the learned share: a mean age of 10 answers.
#define REPORT_WEIGHT 0.1
/// A share without reports for this time isn't known.
#define REPORT_LIFE_US US_PER_S
/// Without reports: share of the ratio for a service that calls no other; the
/// levels above it have half of it, a quarter and so on.
#define FIRST_LEVEL_SHARE 0.5
/// Part of a budget that requests below the highest worth may use. When most
/// answers fail, the rest still carries the requests that are shed last.
#define LOWER_WORTH_SHARE 0.6
/// Repeats to a service that calls no other which a node may send in any
/// window. A site's slack is several for each node.
#define LAST_LEVEL_MIN 1.0

typedef struct {
    retry_ratio_t sent; ///< by this node
    int32_t top_worth;  ///< highest of the first requests
    double reported;    ///< learned share of repeats at the service and below
    int64_t reported_us;
} service_counts_t;

/// Initialises a budget without counts.
void
service_retry_budget_init(service_retry_budget_t *budget,
                          const clock_source_t *clock,
                          const service_retry_limits_t *limits)
{
    *budget = (service_retry_budget_t){
        .clock = clock,
        .limits = *limits,
        .services =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free),
    };
}

void
service_retry_budget_finish(service_retry_budget_t *budget)
{
    g_hash_table_destroy(budget->services);
}

static service_counts_t *
counts_of(service_retry_budget_t *budget, const char *service)
{
    service_counts_t *counts = g_hash_table_lookup(budget->services, service);
    if (counts == NULL) {
        counts = g_new0(service_counts_t, 1);
        retry_ratio_init(&counts->sent, budget->clock,
                         budget->limits.window_us);
        g_hash_table_insert(budget->services, g_strdup(service), counts);
    }
    return counts;
}

/// A request is sent to the service for the first time.
void
service_retry_budget_add_first(service_retry_budget_t *budget,
                               const char *service, int32_t worth)
{
    service_counts_t *counts = counts_of(budget, service);
    bool is_idle = retry_ratio_counts(&counts->sent, RETRY_RATIO_BUCKETS)
                       .first_attempts == 0;
    counts->top_worth = is_idle ? worth : MAX(counts->top_worth, worth);
    retry_ratio_record_arrival(&counts->sent, false);
}

/// An answer reported the share of repeats, for each thousand first arrivals.
void
service_retry_budget_add_report(service_retry_budget_t *budget,
                                const char *service, uint32_t permille)
{
    service_counts_t *counts = counts_of(budget, service);
    int64_t now_us = clock_now_us(budget->clock);
    double share = permille / 1000.0;
    bool fresh = counts->reported_us != 0 &&
                 now_us - counts->reported_us < REPORT_LIFE_US;
    counts->reported =
        fresh ? counts->reported + REPORT_WEIGHT * (share - counts->reported)
              : share;
    counts->reported_us = now_us;
}

static bool
is_reported(const service_retry_budget_t *budget,
            const service_counts_t *counts)
{
    return counts->reported_us != 0 &&
           clock_now_us(budget->clock) - counts->reported_us < REPORT_LIFE_US;
}

/// The reported share, with what was sent too lately to be in the reports. The
/// other nodes and the other levels of the chain send alike.
static double
expected_share(const service_counts_t *counts)
{
    double first =
        retry_ratio_counts(&counts->sent, RETRY_RATIO_BUCKETS).first_attempts;
    double pending = retry_ratio_counts(&counts->sent, PENDING_PARTS).retries;
    return counts->reported + PENDING_WEIGHT * pending / MAX(first, 1);
}

/// Repeats that the node may have sent to the service in the window.
static double
allowed_repeats(const service_retry_budget_t *budget,
                const service_counts_t *counts, uint32_t depth, int32_t worth)
{
    double ratio = budget->limits.ratio;
    double all =
        ratio *
        retry_ratio_counts(&counts->sent, RETRY_RATIO_BUCKETS).first_attempts;
    bool lower = worth < counts->top_worth;
    if (is_reported(budget, counts)) {
        double share = expected_share(counts);
        double limit = use_limits[MIN(depth, G_N_ELEMENTS(use_limits) - 1)];
        if (share < limit * ratio * (lower ? LOWER_WORTH_USE : 1)) {
            return MAX(all, LAST_LEVEL_MIN);
        }
        if (share >= ratio * (lower ? LOWER_WORTH_USE_MAX : USE_MAX)) {
            return 0;
        }
    }
    double part = all * ldexp(FIRST_LEVEL_SHARE, -(int)depth) *
                  (lower ? LOWER_WORTH_SHARE : 1);
    return depth == 0 ? MAX(part, LAST_LEVEL_MIN) : part;
}

/// Takes a repeat of a request that leads to @p depth further levels of calls;
/// false if there is none left.
bool
service_retry_budget_take(service_retry_budget_t *budget, const char *service,
                          uint32_t depth, int32_t worth)
{
    service_counts_t *counts = counts_of(budget, service);
    double taken =
        retry_ratio_counts(&counts->sent, RETRY_RATIO_BUCKETS).retries;
    if (taken + 1 > allowed_repeats(budget, counts, depth, worth)) {
        return false;
    }
    retry_ratio_record_arrival(&counts->sent, true);
    return true;
}
