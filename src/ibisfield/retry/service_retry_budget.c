/// @file
/// Limits the retries that reach a service. When many requests to a service
/// fail or get no response at the same time, unlimited retries would double
/// the load on the capacity that remains.

#include "ibisfield/retry/service_retry_budget.h"

#include <math.h>

/// Soft limits: while the expected ratio is below this fraction of the
/// permitted ratio, a node sends retries up to the permitted ratio. Indexed by
/// the levels of calls below the service: a retry near the end of a call chain
/// saves the whole chain and costs one request, a retry at its beginning costs
/// a whole chain. The margin up to the permitted ratio covers the retries that
/// are sent before they appear in the reports, about half a second later.
static const double soft_limits[] = {0.85, 0.7, 0.6, 0.45};
/// Factor on the soft limit for retries below the highest worth: the first
/// value, plus the second one times their worth relative to the highest. So
/// the retries of lowest worth stop first when the ratio rises.
#define LOWER_WORTH_SOFT_LIMIT_MIN 0.4
#define LOWER_WORTH_SOFT_LIMIT_RANGE 0.375
/// Hard limit: if the expected ratio is at least this fraction of the
/// permitted ratio, nothing is retried. Between the two limits, only retries
/// of the highest worth are sent.
#define HARD_LIMIT 0.95
/// The retries of the newest buckets of the window may not be in the reports
/// yet.
#define PENDING_BUCKETS 2
/// Factor on these retries, for those of other nodes and of other levels of
/// the call chain.
#define PENDING_WEIGHT 2.0
/// Weight of a report in the moving average of the reported ratio, which
/// reflects about the last 10 responses.
#define REPORT_WEIGHT 0.1
/// TTL of the reported ratio.
#define REPORT_TTL_US US_PER_S
/// Without reports, and between the soft and the hard limit, a node limits its
/// retries by the requests that it sends itself: to this fraction of the
/// permitted ratio for a service that calls no other. The levels above it use
/// half of this, a quarter, and so on.
#define OWN_BUDGET_FRACTION 0.5
/// Fraction of this budget for retries below the highest worth, times their
/// worth relative to the highest. When most requests fail, the rest is left
/// for requests of the highest worth, which are refused last.
#define LOWER_WORTH_OWN_BUDGET_FACTOR 0.75
/// Retries that a node may send in any window, however few requests it sends:
/// to a service that calls no other unless the hard limit applies, to any
/// other one only below the soft limit. The retry bound has a fixed allowance
/// for a data centre, which comes to several retries for each node.
#define RETRIES_MIN 1.0

typedef struct {
    retry_ratio_t sent;    ///< attempts of this node
    int32_t highest_worth; ///< highest among first attempts
    double reported_ratio; ///< moving average of the ratio at the service and
                           ///< below
    int64_t reported_us;   ///< time of the last report
} service_state_t;

/// Initialises a budget without services.
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

static service_state_t *
get_or_add_state(service_retry_budget_t *budget, const char *service)
{
    service_state_t *state = g_hash_table_lookup(budget->services, service);
    if (state == NULL) {
        state = g_new0(service_state_t, 1);
        retry_ratio_init(&state->sent, budget->clock,
                         budget->limits.window_us);
        g_hash_table_insert(budget->services, g_strdup(service), state);
    }
    return state;
}

/// Records the first attempt of a request to the service.
void
service_retry_budget_record_first_attempt(service_retry_budget_t *budget,
                                          const char *service, int32_t worth)
{
    service_state_t *state = get_or_add_state(budget, service);
    bool is_idle =
        retry_ratio_counts(&state->sent, RETRY_RATIO_BUCKETS).first_attempts ==
        0;
    state->highest_worth = is_idle ? worth : MAX(state->highest_worth, worth);
    retry_ratio_record_attempt(&state->sent, false);
}

/// Records the ratio that a response reported: retries for each thousand first
/// attempts.
void
service_retry_budget_record_report(service_retry_budget_t *budget,
                                   const char *service, uint32_t permille)
{
    service_state_t *state = get_or_add_state(budget, service);
    int64_t now_us = clock_now_us(budget->clock);
    double ratio = permille / 1000.0;
    bool is_fresh =
        state->reported_us != 0 && now_us - state->reported_us < REPORT_TTL_US;
    state->reported_ratio =
        is_fresh ? state->reported_ratio +
                       REPORT_WEIGHT * (ratio - state->reported_ratio)
                 : ratio;
    state->reported_us = now_us;
}

static bool
is_reported(const service_retry_budget_t *budget, const service_state_t *state)
{
    return state->reported_us != 0 &&
           clock_now_us(budget->clock) - state->reported_us < REPORT_TTL_US;
}

/// Returns the reported ratio plus an estimate of the retries that are too
/// recent to be in the reports, assuming that the other nodes and the
/// other levels of the call chain send as many as this node.
static double
expected_ratio(const service_state_t *state)
{
    double first =
        retry_ratio_counts(&state->sent, RETRY_RATIO_BUCKETS).first_attempts;
    double pending = retry_ratio_counts(&state->sent, PENDING_BUCKETS).retries;
    return state->reported_ratio + PENDING_WEIGHT * pending / MAX(first, 1);
}

/// Returns how many retries the node may send to the service within a window.
static double
allowed_retries(const service_retry_budget_t *budget,
                const service_state_t *state, uint32_t depth, int32_t worth)
{
    double ratio = budget->limits.ratio;
    double permitted =
        ratio *
        retry_ratio_counts(&state->sent, RETRY_RATIO_BUCKETS).first_attempts;
    double relative_worth = state->highest_worth > 0
                                ? MIN((double)worth / state->highest_worth, 1)
                                : 1;
    bool is_lower = relative_worth < 1;
    if (is_reported(budget, state)) {
        double expected = expected_ratio(state);
        double soft_limit =
            soft_limits[MIN(depth, G_N_ELEMENTS(soft_limits) - 1)];
        double worth_factor =
            is_lower ? LOWER_WORTH_SOFT_LIMIT_MIN +
                           LOWER_WORTH_SOFT_LIMIT_RANGE * relative_worth
                     : 1;
        if (expected < soft_limit * ratio * worth_factor) {
            return MAX(permitted, RETRIES_MIN);
        }
        if (is_lower || expected >= ratio * HARD_LIMIT) {
            return 0;
        }
    }
    double own_budget =
        permitted * ldexp(OWN_BUDGET_FRACTION, -(int)depth) *
        (is_lower ? LOWER_WORTH_OWN_BUDGET_FACTOR * relative_worth : 1);
    return depth == 0 ? MAX(own_budget, RETRIES_MIN) : own_budget;
}

/// Takes one retry to the service from the budget. Returns false if the budget
/// is exhausted.
///
/// @param depth  levels of calls below the service
/// @param worth  of the retry, compared with the worth of first attempts; see
///               call_progress_retry_worth()
bool
service_retry_budget_take(service_retry_budget_t *budget, const char *service,
                          uint32_t depth, int32_t worth)
{
    service_state_t *state = get_or_add_state(budget, service);
    double taken =
        retry_ratio_counts(&state->sent, RETRY_RATIO_BUCKETS).retries;
    if (taken + 1 > allowed_retries(budget, state, depth, worth)) {
        return false;
    }
    retry_ratio_record_attempt(&state->sent, true);
    return true;
}
