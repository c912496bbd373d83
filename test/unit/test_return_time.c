/// @file
/// When refused callers come back, under a load above capacity for seconds.

#include "ibisfield/retry/return_time.h"

#include "ibisfield/base/clock.h"

#include "common/suite.h"

#define TARGET_MS 1200
#define USUAL_MS 300
#define CAPACITY_PER_S 100
#define DEMAND_PER_S 160
#define SECONDS 6
#define STEPS (SECONDS * 1000)
#define DRAWS 1000

typedef struct {
    int in_target;
    int late;
    int refused_again;
} played_t;

/// Plays requests that one caller each sends at a steady rate, of which as
/// many are admitted as fit, and each refused one comes back once. @p
/// target_ms is what return_time_ms() is told.
static played_t
play(int32_t target_ms)
{
    played_t played = {0};
    GRand *random = g_rand_new_with_seed(5);
    int *returns = g_new0(int, STEPS + 2000);
    int64_t *ages_ms = g_new0(int64_t, STEPS + 2000);
    double tokens = 0;
    double arriving = 0;
    for (int now_ms = 0; now_ms < STEPS; now_ms++) {
        tokens = MIN(tokens + CAPACITY_PER_S / 1000.0, 10);
        arriving += DEMAND_PER_S / 1000.0;
        int fresh = (int)arriving;
        arriving -= fresh;
        int64_t mean_age_ms =
            returns[now_ms] == 0 ? 0 : ages_ms[now_ms] / returns[now_ms];
        for (int i = 0; i < fresh + returns[now_ms]; i++) {
            // Neither kind goes before the other.
            bool is_return =
                g_rand_int_range(random, 0, fresh + returns[now_ms]) >= fresh;
            if (tokens >= 1) {
                tokens -= 1;
                int64_t took_ms = USUAL_MS + (is_return ? mean_age_ms : 0);
                played.in_target += took_ms <= TARGET_MS ? 1 : 0;
                played.late += took_ms > TARGET_MS ? 1 : 0;
            }
            else if (is_return) {
                played.refused_again++;
            }
            else {
                int32_t wait_ms = return_time_ms(
                    random,
                    &(return_request_t){.target_ms = target_ms,
                                        .usual_us = USUAL_MS * US_PER_MS});
                returns[now_ms + wait_ms]++;
                ages_ms[now_ms + wait_ms] += wait_ms;
            }
        }
    }
    g_free(returns);
    g_free(ages_ms);
    g_rand_free(random);
    return played;
}

/// Guards against callers who are sent away for so long that their answer
/// comes too late, while no more of them are served for it.
static void
test_more_answers_within_the_target(void)
{
    played_t late = play(0);
    played_t early = play(TARGET_MS);
    printf("in target %d, late %d, refused again %d; told the target %d, %d, "
           "%d\n",
           late.in_target, late.late, late.refused_again, early.in_target,
           early.late, early.refused_again);
    CU_ASSERT_TRUE(early.in_target > late.in_target);
    CU_ASSERT_TRUE(early.late < late.late);
    int served = late.in_target + late.late;
    CU_ASSERT_TRUE(early.in_target + early.late >= served - served / 50);
}

/// Guards against times that can't be met or that bring all callers back at
/// the same moment.
static void
test_times_are_spread_over_the_room(void)
{
    GRand *random = g_rand_new_with_seed(1);
    int32_t least = G_MAXINT32;
    int32_t most = 0;
    for (int i = 0; i < DRAWS; i++) {
        int32_t time_ms = return_time_ms(
            random, &(return_request_t){.target_ms = TARGET_MS,
                                        .age_us = 100 * US_PER_MS,
                                        .usual_us = USUAL_MS * US_PER_MS});
        least = MIN(least, time_ms);
        most = MAX(most, time_ms);
    }
    // 1200 less 100 less twice 300 are left.
    CU_ASSERT_TRUE(least >= 125 && least < 140);
    CU_ASSERT_TRUE(most <= 500 && most > 480);
    for (int i = 0; i < DRAWS; i++) {
        int32_t time_ms = return_time_ms(
            random, &(return_request_t){.target_ms = TARGET_MS,
                                        .usual_us = 2 * USUAL_MS * US_PER_MS});
        CU_ASSERT_TRUE(time_ms >= 500 && time_ms <= 1500);
    }
    g_rand_free(random);
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"within the target", test_more_answers_within_the_target},
        {"spread", test_times_are_spread_over_the_room},
        CU_TEST_INFO_NULL,
    };
    return run_suite("return time", tests);
}
