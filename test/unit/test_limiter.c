/// @file
/// Concurrency limit, against a simple model of an upstream.

#include "ibisfield/admission/limiter.h"

#include "common/suite.h"
#include "ibisfield/base/clock.h"

#define SLOTS 100
#define USABLE_SLOTS 25
#define BASELINE_US 50000.0
#define PERIOD_US (300 * US_PER_MS)

typedef enum {
    HEALTHY,
    SLOW,             ///< ten times slower at any concurrency
    REDUCED_CAPACITY, ///< only a quarter of the slots is usable
} condition_t;

static limiter_t limiter;
static int64_t now_us;

static double
slowdown(condition_t condition)
{
    double running = limiter_limit(&limiter);
    switch (condition) {
    case SLOW:
        return 10;
    case REDUCED_CAPACITY:
        return running > USABLE_SLOTS ? running / USABLE_SLOTS : 1;
    default:
        return 1;
    }
}

/// Simulates periods in which as many requests run as the limit permits.
static void
run_periods(condition_t condition, int periods)
{
    for (int i = 0; i < periods; i++) {
        limiter_record_start(&limiter, limiter_limit(&limiter));
        for (int j = 0; j < 50; j++) {
            limiter_record_completion(
                &limiter, slowdown(condition) * BASELINE_US, BASELINE_US);
        }
        now_us += PERIOD_US;
        limiter_tick(&limiter, now_us, BASELINE_US);
    }
}

static void
set_up(void)
{
    now_us = 0;
    limiter_init(&limiter, SLOTS, now_us);
    CU_ASSERT_EQUAL(limiter_limit(&limiter), SLOTS);
}

/// Guards against contention: more running requests at an upstream of reduced
/// capacity than it can serve in the baseline service time.
static void
test_reduced_capacity_lowers_the_limit(void)
{
    set_up();
    run_periods(REDUCED_CAPACITY, 30);
    CU_ASSERT_TRUE(limiter_limit(&limiter) <= SLOTS / 2);
    CU_ASSERT_TRUE(limiter_limit(&limiter) >= SLOTS / 8);
}

/// Guards against lost throughput when a lower limit doesn't make requests
/// faster.
static void
test_slow_upstream_keeps_its_slots(void)
{
    set_up();
    int low_periods = 0;
    for (int i = 0; i < 60; i++) {
        run_periods(SLOW, 1);
        CU_ASSERT_TRUE(limiter_limit(&limiter) >= SLOTS * 3 / 4);
        low_periods += limiter_limit(&limiter) < SLOTS - 1 ? 1 : 0;
    }
    CU_ASSERT_TRUE(low_periods <= 15);
}

/// Guards against a limit that stays low after the cause has ended.
static void
test_recovered_upstream_gets_its_slots_back(void)
{
    set_up();
    run_periods(REDUCED_CAPACITY, 30);
    run_periods(HEALTHY, 10);
    CU_ASSERT_EQUAL(limiter_limit(&limiter), SLOTS);
}

/// Guards against a low limit that persists because no requests arrive.
static void
test_idle_upstream_gets_its_slots_back(void)
{
    set_up();
    run_periods(REDUCED_CAPACITY, 30);
    for (int i = 0; i < 10; i++) {
        now_us += US_PER_S;
        limiter_tick(&limiter, now_us, BASELINE_US);
    }
    CU_ASSERT_EQUAL(limiter_limit(&limiter), SLOTS);
}

/// Guards against an unchanged limit while the upstream sheds requests.
static void
test_shedding_upstream_lowers_the_limit(void)
{
    set_up();
    limiter_record_upstream_shed(&limiter);
    run_periods(HEALTHY, 1);
    CU_ASSERT_TRUE(limiter_limit(&limiter) < SLOTS);
    run_periods(HEALTHY, 10);
    CU_ASSERT_EQUAL(limiter_limit(&limiter), SLOTS);
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"reduced capacity", test_reduced_capacity_lowers_the_limit},
        {"slow", test_slow_upstream_keeps_its_slots},
        {"recovered", test_recovered_upstream_gets_its_slots_back},
        {"idle", test_idle_upstream_gets_its_slots_back},
        {"shedding", test_shedding_upstream_lowers_the_limit},
        CU_TEST_INFO_NULL,
    };
    return run_suite("limiter", tests);
}
