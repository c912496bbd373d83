/// @file
/// Limits the retries that reach a service. When a service loses or fails many
/// responses at the same time, unlimited retries would double the load that
/// each caller's request puts on the remaining capacity.

#include "ibisfield/retry/service_retry_budget.h"

#include <math.h>

/// Fraction of the permitted ratio up to which requests are retried, by the
/// levels of calls below the service. A retry near the end of a call chain
/// saves the whole chain and costs one arrival, a retry at its beginning costs
/// a whole chain. The rest covers the retries that are sent before their
/// effect is reported, about half a second later.
static const double use_limits[] = {0.85, 0.7, 0.6, 0.45};
/// Requests below the highest worth are retried up to this fraction of the
/// limit.
#define LOWER_WORTH_USE_FACTOR 0.7
/// Fraction of the permitted ratio above which no request is retried, and the
/// one above which no request below the highest worth is. The difference is
/// reserved for the requests that are shed last.
#define USE_MAX 0.95
#define LOWER_WORTH_USE_MAX 0.4
/// Newest buckets of the window, whose retries may not be in the reports yet,
/// and the weight of these retries.
#define PENDING_BUCKETS 2
#define PENDING_WEIGHT 2.0
/// Weight of a report in the moving average of the reported ratio: a mean
/// age of 10 responses.
#define REPORT_WEIGHT 0.1
/// TTL of the reported ratio.
#define REPORT_TTL_US US_PER_S
/// The node's own budget, which is used without reports and between the limits
/// above: fraction of the permitted ratio for a service that calls no other.
/// The levels above it use half of this, a quarter, and so on.
#define OWN_BUDGET_FRACTION 0.5
/// Fraction of the own budget for requests below the highest worth. When most
/// requests fail, the rest is left for the requests that are shed last.
#define LOWER_WORTH_FRACTION 0.6
/// Retries that a node may send in any window to a service that calls no
/// other. The fixed allowance for a data centre is several for each node.
#define LEAF_RETRIES_MIN 1.0

typedef struct {
    retry_ratio_t sent;    ///< by this node
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

/// Records the ratio of retries that a response reported, for each thousand
/// first attempts.
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
    double full =
        ratio *
        retry_ratio_counts(&state->sent, RETRY_RATIO_BUCKETS).first_attempts;
    bool lower = worth < state->highest_worth;
    if (is_reported(budget, state)) {
        double expected = expected_ratio(state);
        double limit = use_limits[MIN(depth, G_N_ELEMENTS(use_limits) - 1)];
        if (expected < limit * ratio * (lower ? LOWER_WORTH_USE_FACTOR : 1)) {
            return MAX(full, LEAF_RETRIES_MIN);
        }
        if (expected >= ratio * (lower ? LOWER_WORTH_USE_MAX : USE_MAX)) {
            return 0;
        }
    }
    double own_budget = full * ldexp(OWN_BUDGET_FRACTION, -(int)depth) *
                        (lower ? LOWER_WORTH_FRACTION : 1);
    return depth == 0 ? MAX(own_budget, LEAF_RETRIES_MIN) : own_budget;
}

/// Takes a retry of a request that leads to @p depth further levels of calls
/// from the budget. Returns false if the budget is exhausted.
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
