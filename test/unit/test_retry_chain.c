/// @file
/// Retry budget of a service while all responses of a call chain fail, and the
/// call depth that the budget depends on.

#include "ibisfield/retry/retry_ratio.h"
#include "ibisfield/retry/service_retry_budget.h"
#include "ibisfield/routing/call_depth.h"

#include "common/suite.h"

#define RATIO 0.2
#define WINDOW_US (10 * US_PER_S)
#define LEVELS 4
/// Calls that a request at one level makes to the next lower level.
#define FANOUT 2

static manual_clock_t test_clock;
/// Names by depth, which is the number of levels below.
static const char *const services[LEVELS] = {"leaf", "low", "middle", "top"};

typedef struct {
    service_retry_budget_t budget;
    uint32_t arrivals[LEVELS]; ///< by depth
    /// Those of the arrivals that are retries or calls made by a retry.
    uint32_t retries[LEVELS];
} chain_t;

/// Sends a request to the service at @p depth. It always fails, so it is
/// retried if the budget permits. Calls that a retry makes count as retries.
static void
send_request(chain_t *chain, uint32_t depth, bool is_retry)
{
    service_retry_budget_record_first_attempt(&chain->budget, services[depth],
                                              1);
    for (int attempt = 0; attempt < 2; attempt++) {
        bool counts_as_retry = is_retry || attempt > 0;
        chain->arrivals[depth]++;
        chain->retries[depth] += counts_as_retry ? 1 : 0;
        for (int i = 0; depth > 0 && i < FANOUT; i++) {
            send_request(chain, depth - 1, counts_as_retry);
        }
        if (!service_retry_budget_take(&chain->budget, services[depth], depth,
                                       1)) {
            return;
        }
    }
}

/// Guards against retries that multiply along a call chain (requirement BUDGET
/// of the users' platform): whatever fails, the retries at each service stay
/// within the ratio to its first attempts.
static void
test_retries_of_a_failing_chain_stay_within_the_ratio(void)
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
        double requests = chain.arrivals[depth] - (double)chain.retries[depth];
        CU_ASSERT_TRUE(chain.retries[depth] > 0);
        CU_ASSERT_TRUE(chain.retries[depth] <= RATIO * requests);
    }
    service_retry_budget_finish(&chain.budget);
}

/* A simulation of the services over time, with several nodes and with guards
   that report the ratio of retries. LOSS_RATIO of the responses are lost at
   one level or at every level, and a sender gets a report half a second after
   the arrivals that it counts. */

#define NODES 6
#define ROOTS_PER_S 500
#define STEP_US (10 * US_PER_MS)
#define REPORT_DELAY_STEPS 50
/// Steps before the loss begins, and all steps.
#define HEALTHY_STEPS 1000
#define ALL_STEPS 3000
#define LOSS_RATIO 0.2
#define CALLS_OF_LOW 4
#define ATTEMPTS 3
#define LOOKUP_WORTH 80
#define BOOKING_WORTH 100
/// Weight of a served booking relative to a served lookup.
#define BOOKING_WEIGHT 3

typedef struct {
    service_retry_budget_t budgets[NODES];
    retry_ratio_t guards[LEVELS];
    uint32_t reported_permille[LEVELS][ALL_STEPS]; ///< reported at each step
    uint32_t first_attempts[LEVELS][ALL_STEPS];
    uint32_t retries[LEVELS][ALL_STEPS];
    int step;
    bool with_reports;
    int failing_depth; ///< service that loses responses; LEVELS: all
                       ///< of them
    GRand *random;
    uint32_t roots[2];  ///< lookups, bookings
    uint32_t served[2]; ///< with every call of their call chains
} simulation_t;

static bool
simulate_call(simulation_t *sim, uint32_t depth, bool is_retry, int32_t worth)
{
    service_retry_budget_t *budget =
        &sim->budgets[g_rand_int_range(sim->random, 0, NODES)];
    if (!is_retry) {
        service_retry_budget_record_first_attempt(budget, services[depth],
                                                  worth);
    }
    for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
        bool counts_as_retry = is_retry || attempt > 0;
        bool served = true;
        int calls = depth == 0 ? 0 : depth == 1 ? CALLS_OF_LOW : 1;
        retry_ratio_record_attempt(&sim->guards[depth], counts_as_retry);
        sim->first_attempts[depth][sim->step] += counts_as_retry ? 0 : 1;
        sim->retries[depth][sim->step] += counts_as_retry ? 1 : 0;
        for (int i = 0; i < calls && served; i++) {
            served = simulate_call(sim, depth - 1, counts_as_retry, worth);
        }
        // A report covers the service and all levels below it.
        uint32_t report = 0;
        for (uint32_t i = 0; i <= depth && sim->with_reports; i++) {
            int reported_step = MAX(sim->step - REPORT_DELAY_STEPS, 0);
            report = MAX(report, sim->reported_permille[i][reported_step]);
        }
        if (sim->with_reports) {
            service_retry_budget_record_report(budget, services[depth],
                                               report);
        }
        bool is_failing = sim->step >= HEALTHY_STEPS &&
                          (sim->failing_depth == LEVELS ||
                           (uint32_t)sim->failing_depth == depth);
        if (served &&
            (!is_failing || g_rand_double(sim->random) >= LOSS_RATIO)) {
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
simulate(simulation_t *sim, int failing_depth, bool with_reports)
{
    *sim = (simulation_t){.with_reports = with_reports,
                          .failing_depth = failing_depth};
    manual_clock_init(&test_clock, 100 * US_PER_S);
    sim->random = g_rand_new_with_seed(7);
    for (int i = 0; i < NODES; i++) {
        service_retry_budget_init(&sim->budgets[i], &test_clock.base,
                                  &(service_retry_limits_t){RATIO, WINDOW_US});
    }
    for (int i = 0; i < LEVELS; i++) {
        retry_ratio_init(&sim->guards[i], &test_clock.base, WINDOW_US);
    }
    for (; sim->step < ALL_STEPS; sim->step++) {
        for (int i = 0; i < LEVELS; i++) {
            sim->reported_permille[i][sim->step] =
                retry_ratio_permille(&sim->guards[i]);
        }
        for (int i = 0; i < ROOTS_PER_S * STEP_US / US_PER_S; i++) {
            int booking = i == 0 ? 1 : 0; // one request in each step
            sim->roots[booking]++;
            sim->served[booking] +=
                simulate_call(sim, LEVELS - 1, false,
                              booking ? BOOKING_WORTH : LOOKUP_WORTH)
                    ? 1
                    : 0;
        }
        manual_clock_advance(&test_clock, STEP_US);
    }
    for (int i = 0; i < NODES; i++) {
        service_retry_budget_finish(&sim->budgets[i]);
    }
    g_rand_free(sim->random);
}

/// Returns the highest ratio of retries at a level in any window.
static double
highest_ratio(const simulation_t *sim, int depth)
{
    const int window = WINDOW_US / STEP_US;
    double highest = 0;
    double first = 0;
    double retries = 0;
    for (int i = 0; i < ALL_STEPS; i++) {
        first += sim->first_attempts[depth][i];
        retries += sim->retries[depth][i];
        if (i >= window) {
            first -= sim->first_attempts[depth][i - window];
            retries -= sim->retries[depth][i - window];
        }
        if (i >= window - 1) {
            highest = MAX(highest, retries / first);
        }
    }
    return highest;
}

static int
weighted_served(const simulation_t *sim)
{
    return (int)(sim->served[0] + BOOKING_WEIGHT * sim->served[1]);
}

/// Guards against retries above the ratio while reports are delayed
/// (requirement BUDGET), and against an unused budget while a single service
/// loses responses.
static void
test_reports_serve_more_within_the_ratio(void)
{
    static simulation_t unreported;
    static simulation_t reported;
    for (int failing_depth = 0; failing_depth <= LEVELS; failing_depth++) {
        simulate(&unreported, failing_depth, false);
        simulate(&reported, failing_depth, true);
        for (int depth = 0; depth < LEVELS; depth++) {
            CU_ASSERT_TRUE(highest_ratio(&reported, depth) <= RATIO);
        }
        if (failing_depth < LEVELS) {
            CU_ASSERT_TRUE(weighted_served(&reported) >
                           weighted_served(&unreported));
        }
    }
}

/// Guards against a budget that is never exhausted or never replenished.
static void
test_budget_follows_the_window(void)
{
    service_retry_budget_t budget;
    manual_clock_init(&test_clock, 100 * US_PER_S);
    service_retry_budget_init(&budget, &test_clock.base,
                              &(service_retry_limits_t){RATIO, WINDOW_US});
    CU_ASSERT_FALSE(service_retry_budget_take(&budget, "s", 1, 1));
    for (int i = 0; i < 100; i++) {
        service_retry_budget_record_first_attempt(&budget, "s", 1);
    }
    int taken = 0;
    while (service_retry_budget_take(&budget, "s", 0, 1)) {
        taken++;
    }
    // Without reports a node uses half of the ratio: 100 * 0.2 / 2.
    CU_ASSERT_EQUAL(taken, 10);
    // One retry is always permitted for a service that calls no other.
    CU_ASSERT_TRUE(service_retry_budget_take(&budget, "other", 0, 1));
    CU_ASSERT_FALSE(service_retry_budget_take(&budget, "other", 0, 1));
    manual_clock_advance(&test_clock, 2 * WINDOW_US);
    CU_ASSERT_FALSE(service_retry_budget_take(&budget, "s", 1, 1));
    for (int i = 0; i < 100; i++) {
        service_retry_budget_record_first_attempt(&budget, "s", 1);
    }
    CU_ASSERT_TRUE(service_retry_budget_take(&budget, "s", 0, 1));
    service_retry_budget_finish(&budget);
}

/// Guards against retries of lookups that use the whole budget, so that
/// bookings aren't retried, when most responses of a service fail.
static void
test_lower_worth_leaves_retries_for_higher(void)
{
    service_retry_budget_t budget;
    manual_clock_init(&test_clock, 100 * US_PER_S);
    service_retry_budget_init(&budget, &test_clock.base,
                              &(service_retry_limits_t){RATIO, WINDOW_US});
    for (int i = 0; i < 200; i++) {
        service_retry_budget_record_first_attempt(&budget, "s",
                                                  i % 2 == 0 ? 80 : 100);
    }
    int lookups = 0;
    while (service_retry_budget_take(&budget, "s", 0, 80)) {
        lookups++;
    }
    int bookings = 0;
    while (service_retry_budget_take(&budget, "s", 0, 100)) {
        bookings++;
    }
    // Of 200 * 0.2 / 2 retries, requests below the highest worth may use 60%.
    CU_ASSERT_EQUAL(lookups, 12);
    CU_ASSERT_EQUAL(bookings, 8);
    service_retry_budget_finish(&budget);
}

/// Guards against a depth that is too low: the budget would permit more
/// retries at the beginning of a call chain, each of which repeats all calls
/// below it.
static void
test_depth_is_learned_from_calls_and_reports(void)
{
    call_depths_t depths;
    manual_clock_init(&test_clock, 100 * US_PER_S);
    call_depths_init(&depths, &test_clock.base);
    CU_ASSERT_EQUAL(call_depths_get_own(&depths), CALL_DEPTH_UNDETERMINED);
    call_depths_mark_traceable(&depths);
    // Just after its start a node must not report that it is the end of a
    // call chain.
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
    // A report of a guard without calls so far must not replace the others.
    call_depths_record_report(&depths, "low", 0);
    CU_ASSERT_EQUAL(call_depths_get(&depths, "low"), 1);
    // A cycle of services must not increase the depth without limit.
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
         test_retries_of_a_failing_chain_stay_within_the_ratio},
        {"reported ratio", test_reports_serve_more_within_the_ratio},
        {"window", test_budget_follows_the_window},
        {"worth", test_lower_worth_leaves_retries_for_higher},
        {"depth", test_depth_is_learned_from_calls_and_reports},
        CU_TEST_INFO_NULL,
    };
    return run_suite("retry chain", tests);
}
