/// @file
/// Bounds the repeats that reach a service. Answers a load in which a service
/// loses or fails many answers at once: without the bound each caller's
/// request would double the load on what is left.

#include "ibisfield/retry/service_retry_budget.h"

#include <math.h>

/// Share of the ratio for a service that calls no other; the levels above it
/// have half of it, a quarter and so on.
#define FIRST_LEVEL_SHARE 0.5
/// Part of a budget that requests below the highest worth may use. When most
/// answers fail, the rest still carries the requests that are shed last.
#define LOWER_WORTH_SHARE 0.6
/// Repeats to a service that calls no other which a node may send in any
/// window. A site's slack is several for each node.
#define LAST_LEVEL_MIN 1.0
/// A sliding window is counted in this many parts.
#define WINDOW_PARTS 10

typedef struct {
    uint32_t first[WINDOW_PARTS];
    uint32_t repeats[WINDOW_PARTS];
    int32_t top_worth; ///< highest of the window's first requests
    int64_t part;      ///< number of the newest part since the clock's start
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
        g_hash_table_insert(budget->services, g_strdup(service), counts);
    }
    int64_t part = clock_now_us(budget->clock) /
                   MAX(budget->limits.window_us / WINDOW_PARTS, 1);
    int64_t passed = part - counts->part;
    if (passed < 0 || passed >= WINDOW_PARTS) {
        *counts = (service_counts_t){.part = part};
        return counts;
    }
    for (; counts->part < part; counts->part++) {
        size_t next = (size_t)((counts->part + 1) % WINDOW_PARTS);
        counts->first[next] = 0;
        counts->repeats[next] = 0;
    }
    return counts;
}

/// A request is sent to the service for the first time.
void
service_retry_budget_first(service_retry_budget_t *budget, const char *service,
                           int32_t worth)
{
    service_counts_t *counts = counts_of(budget, service);
    counts->first[counts->part % WINDOW_PARTS]++;
    counts->top_worth = MAX(counts->top_worth, worth);
}

/// Takes a repeat of a request that leads to @p depth further levels of calls;
/// false if there is none left.
bool
service_retry_budget_take(service_retry_budget_t *budget, const char *service,
                          uint32_t depth, int32_t worth)
{
    service_counts_t *counts = counts_of(budget, service);
    double allowed = 0;
    uint32_t repeats = 0;
    for (int i = 0; i < WINDOW_PARTS; i++) {
        allowed += budget->limits.ratio * counts->first[i];
        repeats += counts->repeats[i];
    }
    allowed *= ldexp(FIRST_LEVEL_SHARE, -(int)depth);
    if (worth < counts->top_worth) {
        allowed *= LOWER_WORTH_SHARE;
    }
    if (depth == 0) {
        allowed = MAX(allowed, LAST_LEVEL_MIN);
    }
    if (repeats + 1 > allowed) {
        return false;
    }
    counts->repeats[counts->part % WINDOW_PARTS]++;
    return true;
}
