/// @file
/// The retry budget of a service under a load in which all answers of a call
/// chain fail, and the depth of the chain that it goes by.

#include "ibisfield/retry/retry_ratio.h"
#include "ibisfield/retry/service_retry_budget.h"
#include "ibisfield/routing/call_depth.h"

#include "common/suite.h"

#define RATIO 0.2
#define WINDOW_US (10 * US_PER_S)
#define LEVELS 4
/// Calls that a request of one level makes to the next.
#define FANOUT 2

static manual_clock_t test_clock;
static const char *const services[LEVELS] = {"leaf", "low", "middle", "top"};

typedef struct {
    service_retry_budget_t budget;
    uint32_t arrivals[LEVELS]; ///< by depth
    uint32_t repeats[LEVELS];  ///< arrivals beyond the first of their request
} chain_t;

/// Sends a request to the service at @p depth. It always fails, so it is
/// repeated when the budget allows. What a repeated run calls is a repeat.
static void
send_request(chain_t *chain, uint32_t depth, bool is_retry)
{
    service_retry_budget_add_first(&chain->budget, services[depth], 1);
    for (int attempt = 0; attempt < 2; attempt++) {
        bool repeats = is_retry || attempt > 0;
        chain->arrivals[depth]++;
        chain->repeats[depth] += repeats ? 1 : 0;
        for (int i = 0; depth > 0 && i < FANOUT; i++) {
            send_request(chain, depth - 1, repeats);
        }
        if (!service_retry_budget_take(&chain->budget, services[depth], depth,
                                       1)) {
            return;
        }
    }
}

/// Guards against retries that multiply along a chain (BUDGET): whatever
/// fails, each service gets at most the ratio beyond its requests.
static void
test_repeats_of_a_failing_chain_stay_within_the_ratio(void)
{
    chain_t chain = {0};
    manual_clock_init(&test_clock, 100 * US_PER_S);
    service_retry_budget_init(&chain.budget, &test_clock.base,
                              &(service_retry_limits_t){RATIO, WINDOW_US});
    for (int i = 0; i < 5000; i++) {
        send_request(&chain, LEVELS - 1, false);
        manual_clock_advance(&test_clock, US_PER_MS);
    }
    for (int depth = 0; depth < LEVELS; depth++) {
        double requests = chain.arrivals[depth] - (double)chain.repeats[depth];
        CU_ASSERT_TRUE(chain.repeats[depth] > 0);
        CU_ASSERT_TRUE(chain.repeats[depth] <= RATIO * requests);
    }
    service_retry_budget_finish(&chain.budget);
}

/* The same chain with guards that report the share of repeats, over time: one
   answer in five is lost at every level, and a sender sees a report half a
   second after the arrivals that it tells of. */

#define NODES 6
#define ROOTS_PER_S 500
#define STEP_US (10 * US_PER_MS)
#define REPORT_DELAY_STEPS 50
/// Calm before the loss begins, and all of it.
#define CALM_STEPS 1000
#define PLAYED_STEPS 3000
#define LOST_SHARE 0.2
#define CALLS_OF_LOW 4
#define ATTEMPTS 3
#define LOOKUP 80
#define BOOKING 100
/// What a booking counts in lookups.
#define BOOKING_WORTH 3

typedef struct {
    service_retry_budget_t budgets[NODES];
    retry_ratio_t guards[LEVELS];
    uint32_t shares[LEVELS][PLAYED_STEPS]; ///< reported at each step
    uint32_t first[LEVELS][PLAYED_STEPS];
    uint32_t repeats[LEVELS][PLAYED_STEPS];
    int step;
    bool reports;
    int losing; ///< depth of the service that loses answers; LEVELS: all do
    GRand *random;
    uint32_t roots[2];  ///< lookups, bookings
    uint32_t served[2]; ///< with every call of their chains
} played_t;

static bool
play_call(played_t *played, uint32_t depth, bool is_retry, int32_t worth)
{
    service_retry_budget_t *budget =
        &played->budgets[g_rand_int_range(played->random, 0, NODES)];
    if (!is_retry) {
        service_retry_budget_add_first(budget, services[depth], worth);
    }
    for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
        bool repeats = is_retry || attempt > 0;
        bool ran = true;
        int calls = depth == 0 ? 0 : depth == 1 ? CALLS_OF_LOW : 1;
        retry_ratio_record_arrival(&played->guards[depth], repeats);
        played->first[depth][played->step] += repeats ? 0 : 1;
        played->repeats[depth][played->step] += repeats ? 1 : 0;
        for (int i = 0; i < calls && ran; i++) {
            ran = play_call(played, depth - 1, repeats, worth);
        }
        uint32_t seen = 0;
        for (uint32_t i = 0; i <= depth && played->reports; i++) {
            int then = MAX(played->step - REPORT_DELAY_STEPS, 0);
            seen = MAX(seen, played->shares[i][then]);
        }
        if (played->reports) {
            service_retry_budget_add_report(budget, services[depth], seen);
        }
        bool loses =
            played->step >= CALM_STEPS &&
            (played->losing == LEVELS || (uint32_t)played->losing == depth);
        if (ran && (!loses || g_rand_double(played->random) >= LOST_SHARE)) {
            return true;
        }
        if (!service_retry_budget_take(budget, services[depth], depth, worth))
        {
            return false;
        }
    }
    return false;
}

static void
play(played_t *played, int losing, bool reports)
{
    *played = (played_t){.reports = reports, .losing = losing};
    manual_clock_init(&test_clock, 100 * US_PER_S);
    played->random = g_rand_new_with_seed(7);
    for (int i = 0; i < NODES; i++) {
        service_retry_budget_init(&played->budgets[i], &test_clock.base,
                                  &(service_retry_limits_t){RATIO, WINDOW_US});
    }
    for (int i = 0; i < LEVELS; i++) {
        retry_ratio_init(&played->guards[i], &test_clock.base, WINDOW_US);
    }
    for (; played->step < PLAYED_STEPS; played->step++) {
        for (int i = 0; i < LEVELS; i++) {
            played->shares[i][played->step] =
                retry_ratio_permille(&played->guards[i]);
        }
        for (int i = 0; i < ROOTS_PER_S * STEP_US / US_PER_S; i++) {
            int booking = i == 0 ? 1 : 0;
            played->roots[booking]++;
            played->served[booking] += play_call(played, LEVELS - 1, false,
                                                 booking ? BOOKING : LOOKUP)
                                           ? 1
                                           : 0;
        }
        manual_clock_advance(&test_clock, STEP_US);
    }
    for (int i = 0; i < NODES; i++) {
        service_retry_budget_finish(&played->budgets[i]);
    }
    g_rand_free(played->random);
}

/// Highest share of repeats at a level in any window.
static double
highest_share(const played_t *played, int depth)
{
    const int window = WINDOW_US / STEP_US;
    double highest = 0;
    double first = 0;
    double repeats = 0;
    for (int i = 0; i < PLAYED_STEPS; i++) {
        first += played->first[depth][i];
        repeats += played->repeats[depth][i];
        if (i >= window) {
            first -= played->first[depth][i - window];
            repeats -= played->repeats[depth][i - window];
        }
        if (i >= window - 1) {
            highest = MAX(highest, repeats / first);
        }
    }
    return highest;
}

static int
worth_served(const played_t *played)
{
    return (int)(played->served[0] + BOOKING_WORTH * played->served[1]);
}

/// Guards against repeats over the ratio while the reports lag (BUDGET), and
/// against a budget that is left unused while one service loses answers.
static void
test_reported_share_serves_more_within_the_ratio(void)
{
    static played_t alone;
    static played_t reported;
    for (int losing = 0; losing <= LEVELS; losing++) {
        play(&alone, losing, false);
        play(&reported, losing, true);
        for (int depth = 0; depth < LEVELS; depth++) {
            CU_ASSERT_TRUE(highest_share(&reported, depth) <= RATIO);
        }
        if (losing < LEVELS) {
            CU_ASSERT_TRUE(worth_served(&reported) > worth_served(&alone));
        }
    }
}

/// Guards against a budget that is never used up, or never comes back.
static void
test_budget_follows_the_window(void)
{
    service_retry_budget_t budget;
    manual_clock_init(&test_clock, 100 * US_PER_S);
    service_retry_budget_init(&budget, &test_clock.base,
                              &(service_retry_limits_t){RATIO, WINDOW_US});
    CU_ASSERT_FALSE(service_retry_budget_take(&budget, "s", 1, 1));
    for (int i = 0; i < 100; i++) {
        service_retry_budget_add_first(&budget, "s", 1);
    }
    int taken = 0;
    while (service_retry_budget_take(&budget, "s", 0, 1)) {
        taken++;
    }
    CU_ASSERT_EQUAL(taken, 10);
    // One repeat is always there for a service that calls no other.
    CU_ASSERT_TRUE(service_retry_budget_take(&budget, "other", 0, 1));
    CU_ASSERT_FALSE(service_retry_budget_take(&budget, "other", 0, 1));
    manual_clock_advance(&test_clock, 2 * WINDOW_US);
    CU_ASSERT_FALSE(service_retry_budget_take(&budget, "s", 1, 1));
    for (int i = 0; i < 100; i++) {
        service_retry_budget_add_first(&budget, "s", 1);
    }
    CU_ASSERT_TRUE(service_retry_budget_take(&budget, "s", 0, 1));
    service_retry_budget_finish(&budget);
}

/// Guards against repeats of lookups that leave none for bookings when most
/// answers of a service fail.
static void
test_lower_worth_leaves_a_rest(void)
{
    service_retry_budget_t budget;
    manual_clock_init(&test_clock, 100 * US_PER_S);
    service_retry_budget_init(&budget, &test_clock.base,
                              &(service_retry_limits_t){RATIO, WINDOW_US});
    for (int i = 0; i < 200; i++) {
        service_retry_budget_add_first(&budget, "s", i % 2 == 0 ? 80 : 100);
    }
    int lookups = 0;
    while (service_retry_budget_take(&budget, "s", 0, 80)) {
        lookups++;
    }
    int bookings = 0;
    while (service_retry_budget_take(&budget, "s", 0, 100)) {
        bookings++;
    }
    CU_ASSERT_EQUAL(lookups, 12);
    CU_ASSERT_EQUAL(bookings, 8);
    service_retry_budget_finish(&budget);
}

/// Guards against a repeat high in the chain that is taken for a cheap one.
static void
test_depth_is_learned_from_calls_and_reports(void)
{
    call_depths_t depths;
    manual_clock_init(&test_clock, 100 * US_PER_S);
    call_depths_init(&depths, &test_clock.base);
    CU_ASSERT_EQUAL(call_depths_get_own(&depths), CALL_DEPTH_UNDETERMINED);
    call_depths_mark_traceable(&depths);
    // Just after its start a node must not pass for the end of a chain.
    CU_ASSERT_EQUAL(call_depths_get_own(&depths), CALL_DEPTH_UNDETERMINED);
    call_depths_record_report(&depths, "low", CALL_DEPTH_UNDETERMINED);
    manual_clock_advance(&test_clock, 4 * US_PER_S);
    CU_ASSERT_EQUAL(call_depths_get_own(&depths), 0);
    CU_ASSERT_EQUAL(call_depths_get(&depths, "low"), CALL_DEPTH_DEFAULT);
    call_depths_record_call(&depths, "low");
    CU_ASSERT_EQUAL(call_depths_get_own(&depths), CALL_DEPTH_DEFAULT);
    call_depths_record_report(&depths, "low", 1);
    CU_ASSERT_EQUAL(call_depths_get(&depths, "low"), 1);
    CU_ASSERT_EQUAL(call_depths_get_own(&depths), 2);
    // A guard that has not seen a call yet doesn't hide the others.
    call_depths_record_report(&depths, "low", 0);
    CU_ASSERT_EQUAL(call_depths_get(&depths, "low"), 1);
    // A circle of services must not count up without end.
    for (int i = 0; i < 100; i++) {
        call_depths_record_report(&depths, "low",
                                  call_depths_get_own(&depths));
    }
    CU_ASSERT_EQUAL(call_depths_get_own(&depths), CALL_DEPTH_MAX);
    manual_clock_advance(&test_clock, 120 * US_PER_S);
    CU_ASSERT_EQUAL(call_depths_get_own(&depths), 0);
    call_depths_finish(&depths);
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"failing chain",
         test_repeats_of_a_failing_chain_stay_within_the_ratio},
        {"reported share", test_reported_share_serves_more_within_the_ratio},
        {"window", test_budget_follows_the_window},
        {"worth", test_lower_worth_leaves_a_rest},
        {"depth", test_depth_is_learned_from_calls_and_reports},
        CU_TEST_INFO_NULL,
    };
    return run_suite("retry chain", tests);
}
