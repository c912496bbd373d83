/// @file
/// Admission at the guard.

#include "ibisfield/admission/admission.h"

#include "common/suite.h"

static manual_clock_t test_clock;
static admission_t admission;

static void
start(uint32_t slots, uint32_t queue_max)
{
    admission_options_t options = {slots, queue_max, 1};
    manual_clock_init(&test_clock, US_PER_S);
    admission_init(&admission, &test_clock.base, &options);
}

static admit_t
offer(uint64_t ticket, int32_t worth, int64_t budget_us)
{
    admission_request_t request = {
        .kind =
            admission_kind(&admission, SLICE_LITERAL("c"), SLICE_LITERAL("k")),
        .worth = worth,
        .deadline_us = test_clock.now_us + budget_us,
        .ticket = ticket,
    };
    return admission_offer(&admission, &request);
}

static void
expect_next(next_t expected, uint64_t expected_ticket)
{
    uint64_t ticket = 0;
    CU_ASSERT_EQUAL(admission_next(&admission, &ticket), expected);
    CU_ASSERT_EQUAL(ticket, expected_ticket);
}

/// Guards against more requests at the upstream than it has slots, and
/// against serving browsing before a booking.
static void
test_runs_up_to_slots_then_by_worth(void)
{
    start(1, 8);
    CU_ASSERT_EQUAL(offer(1, 10, US_PER_S), ADMIT_RUN);
    CU_ASSERT_EQUAL(offer(2, 10, US_PER_S), ADMIT_QUEUED);
    CU_ASSERT_EQUAL(offer(3, 90, US_PER_S), ADMIT_QUEUED);
    expect_next(NEXT_NONE, 0);
    admission_done(&admission, 0, 1000, true);
    expect_next(NEXT_RUN, 3);
    expect_next(NEXT_NONE, 0);
    admission_done(&admission, 0, 1000, true);
    expect_next(NEXT_RUN, 2);
    admission_finish(&admission);
}

/// Guards against a full queue that keeps bookings out.
static void
test_full_queue_evicts_lowest_worth(void)
{
    start(1, 1);
    CU_ASSERT_EQUAL(offer(1, 10, US_PER_S), ADMIT_RUN);
    CU_ASSERT_EQUAL(offer(2, 10, US_PER_S), ADMIT_QUEUED);
    CU_ASSERT_EQUAL(offer(3, 10, US_PER_S), ADMIT_REFUSE_OVERLOADED);
    CU_ASSERT_EQUAL(offer(4, 90, US_PER_S), ADMIT_QUEUED);
    CU_ASSERT_EQUAL(admission_load(&admission).min_worth, 11);
    expect_next(NEXT_EVICTED, 2);
    admission_done(&admission, 0, 1000, true);
    expect_next(NEXT_RUN, 4);
    admission_finish(&admission);
}

/// Guards against running work that nobody waits for any more.
static void
test_expired_requests_do_not_run(void)
{
    start(1, 8);
    CU_ASSERT_EQUAL(offer(1, 10, 0), ADMIT_REFUSE_DEADLINE);
    CU_ASSERT_EQUAL(offer(2, 10, US_PER_S), ADMIT_RUN);
    CU_ASSERT_EQUAL(offer(3, 10, US_PER_MS), ADMIT_QUEUED);
    manual_clock_advance(&test_clock, 2 * US_PER_MS);
    expect_next(NEXT_EXPIRED, 3);
    expect_next(NEXT_NONE, 0);
    admission_finish(&admission);
}

/// Guards against a withdrawn request that is handed out later.
static void
test_withdrawn_requests_are_forgotten(void)
{
    start(1, 1);
    CU_ASSERT_EQUAL(offer(1, 10, US_PER_S), ADMIT_RUN);
    CU_ASSERT_EQUAL(offer(2, 10, US_PER_S), ADMIT_QUEUED);
    CU_ASSERT_EQUAL(offer(3, 90, US_PER_S), ADMIT_QUEUED);
    CU_ASSERT_TRUE(admission_withdraw(&admission, 2));
    CU_ASSERT_TRUE(admission_withdraw(&admission, 3));
    CU_ASSERT_FALSE(admission_withdraw(&admission, 3));
    admission_done(&admission, 0, 1000, true);
    expect_next(NEXT_NONE, 0);
    admission_finish(&admission);
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"slots and worth", test_runs_up_to_slots_then_by_worth},
        {"eviction", test_full_queue_evicts_lowest_worth},
        {"expiry", test_expired_requests_do_not_run},
        {"withdrawal", test_withdrawn_requests_are_forgotten},
        CU_TEST_INFO_NULL,
    };
    return run_suite("admission", tests);
}
