/// @file
/// Concurrency limit over a simple upstream.

#include "ibisfield/admission/limiter.h"

#include "common/suite.h"
#include "ibisfield/base/clock.h"

#define SLOTS 100
#define EFFECTIVE_SLOTS 25
#define USUAL_US 50000.0
#define PERIOD_US (300 * US_PER_MS)

typedef enum {
    HEALTHY,
    SLOW,     ///< ten times slower at any concurrency
    SQUEEZED, ///< a quarter of the slots is effective
} condition_t;

static limiter_t limiter;
static int64_t now_us;

static double
slowness(condition_t condition)
{
    double running = limiter_limit(&limiter);
    switch (condition) {
    case SLOW:
        return 10;
    case SQUEEZED:
        return running > EFFECTIVE_SLOTS ? running / EFFECTIVE_SLOTS : 1;
    default:
        return 1;
    }
}

/// Runs periods in which every slot of the limit is in use.
static void
run(condition_t condition, int periods)
{
    for (int i = 0; i < periods; i++) {
        limiter_record_start(&limiter, limiter_limit(&limiter));
        for (int j = 0; j < 50; j++) {
            limiter_record_completion(&limiter, slowness(condition) * USUAL_US,
                                      USUAL_US);
        }
        now_us += PERIOD_US;
        limiter_tick(&limiter, now_us, USUAL_US);
    }
}

static void
start(void)
{
    now_us = 0;
    limiter_init(&limiter, SLOTS, now_us);
    CU_ASSERT_EQUAL(limiter_limit(&limiter), SLOTS);
}

/// Guards against contention: more requests at a squeezed upstream than it
/// can serve at its usual speed.
static void
test_squeezed_upstream_lowers_the_limit(void)
{
    start();
    run(SQUEEZED, 30);
    CU_ASSERT_TRUE(limiter_limit(&limiter) <= SLOTS / 2);
    CU_ASSERT_TRUE(limiter_limit(&limiter) >= SLOTS / 8);
}

/// Guards against throwing throughput away when fewer requests don't help.
static void
test_slow_upstream_keeps_its_slots(void)
{
    start();
    int low_periods = 0;
    for (int i = 0; i < 60; i++) {
        run(SLOW, 1);
        CU_ASSERT_TRUE(limiter_limit(&limiter) >= SLOTS * 3 / 4);
        low_periods += limiter_limit(&limiter) < SLOTS - 1 ? 1 : 0;
    }
    CU_ASSERT_TRUE(low_periods <= 15);
}

/// Guards against a limit that stays low after the cause has ended.
static void
test_recovered_upstream_gets_its_slots_back(void)
{
    start();
    run(SQUEEZED, 30);
    run(HEALTHY, 10);
    CU_ASSERT_EQUAL(limiter_limit(&limiter), SLOTS);
}

/// Guards against a low limit that no traffic comes to raise.
static void
test_idle_upstream_gets_its_slots_back(void)
{
    start();
    run(SQUEEZED, 30);
    for (int i = 0; i < 10; i++) {
        now_us += US_PER_S;
        limiter_tick(&limiter, now_us, USUAL_US);
    }
    CU_ASSERT_EQUAL(limiter_limit(&limiter), SLOTS);
}

/// Guards against ignoring an upstream that sheds by itself.
static void
test_shedding_upstream_lowers_the_limit(void)
{
    start();
    limiter_record_upstream_shed(&limiter);
    run(HEALTHY, 1);
    CU_ASSERT_TRUE(limiter_limit(&limiter) < SLOTS);
    run(HEALTHY, 10);
    CU_ASSERT_EQUAL(limiter_limit(&limiter), SLOTS);
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"squeezed", test_squeezed_upstream_lowers_the_limit},
        {"slow", test_slow_upstream_keeps_its_slots},
        {"recovered", test_recovered_upstream_gets_its_slots_back},
        {"idle", test_idle_upstream_gets_its_slots_back},
        {"shedding", test_shedding_upstream_lowers_the_limit},
        CU_TEST_INFO_NULL,
    };
    return run_suite("limiter", tests);
}
