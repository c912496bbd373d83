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

static admission_decision_t
offer_kind(const char *kind, uint64_t ticket, int32_t worth, int64_t budget_us)
{
    admission_request_t request = {
        .kind = admission_kind_index(&admission, SLICE_LITERAL("c"),
                                     slice_from_string(kind)),
        .worth = worth,
        .deadline_us = test_clock.now_us + budget_us,
        .ticket = ticket,
    };
    return admission_submit(&admission, &request);
}

static admission_decision_t
offer(uint64_t ticket, int32_t worth, int64_t budget_us)
{
    return offer_kind("k", ticket, worth, budget_us);
}

/// Runs requests of a kind one after the other so that its time is learned.
static void
teach(const char *kind, int64_t service_us)
{
    for (int i = 0; i < 100; i++) {
        CU_ASSERT_EQUAL_FATAL(offer_kind(kind, 1000, 50, 60 * US_PER_S),
                              ADMISSION_RUN);
        uint32_t number = admission_kind_index(&admission, SLICE_LITERAL("c"),
                                               slice_from_string(kind));
        admission_done(&admission, number, service_us, true);
    }
}

static void
expect_next(admission_event_t expected, uint64_t expected_ticket)
{
    uint64_t ticket = 0;
    CU_ASSERT_EQUAL(admission_next_event(&admission, &ticket), expected);
    CU_ASSERT_EQUAL(ticket, expected_ticket);
}

/// Guards against more requests at the upstream than it has slots, and
/// against serving browsing before a booking.
static void
test_runs_up_to_slots_then_by_worth(void)
{
    start(1, 8);
    CU_ASSERT_EQUAL(offer(1, 10, US_PER_S), ADMISSION_RUN);
    CU_ASSERT_EQUAL(offer(2, 10, US_PER_S), ADMISSION_QUEUED);
    CU_ASSERT_EQUAL(offer(3, 90, US_PER_S), ADMISSION_QUEUED);
    expect_next(ADMISSION_EVENT_NONE, 0);
    admission_done(&admission, 0, 1000, true);
    expect_next(ADMISSION_EVENT_RUN, 3);
    expect_next(ADMISSION_EVENT_NONE, 0);
    admission_done(&admission, 0, 1000, true);
    expect_next(ADMISSION_EVENT_RUN, 2);
    admission_finish(&admission);
}

/// Guards against a full queue that keeps bookings out.
static void
test_full_queue_evicts_lowest_worth(void)
{
    start(1, 1);
    CU_ASSERT_EQUAL(offer(1, 10, US_PER_S), ADMISSION_RUN);
    CU_ASSERT_EQUAL(offer(2, 10, US_PER_S), ADMISSION_QUEUED);
    CU_ASSERT_EQUAL(offer(3, 10, US_PER_S), ADMISSION_REFUSED_OVERLOADED);
    CU_ASSERT_EQUAL(offer(4, 90, US_PER_S), ADMISSION_QUEUED);
    expect_next(ADMISSION_EVENT_EVICTED, 2);
    admission_done(&admission, 0, 1000, true);
    expect_next(ADMISSION_EVENT_RUN, 4);
    admission_finish(&admission);
}

/// Guards against running work that nobody waits for any more.
static void
test_expired_requests_do_not_run(void)
{
    start(1, 8);
    CU_ASSERT_EQUAL(offer(1, 10, 0), ADMISSION_REFUSED_DEADLINE);
    CU_ASSERT_EQUAL(offer(2, 10, US_PER_S), ADMISSION_RUN);
    CU_ASSERT_EQUAL(offer(3, 10, US_PER_MS), ADMISSION_QUEUED);
    manual_clock_advance(&test_clock, 2 * US_PER_MS);
    expect_next(ADMISSION_EVENT_EXPIRED, 3);
    expect_next(ADMISSION_EVENT_NONE, 0);
    admission_finish(&admission);
}

/// Guards against a withdrawn request that is handed out later.
static void
test_withdrawn_requests_are_forgotten(void)
{
    start(1, 1);
    CU_ASSERT_EQUAL(offer(1, 10, US_PER_S), ADMISSION_RUN);
    CU_ASSERT_EQUAL(offer(2, 10, US_PER_S), ADMISSION_QUEUED);
    CU_ASSERT_EQUAL(offer(3, 90, US_PER_S), ADMISSION_QUEUED);
    CU_ASSERT_TRUE(admission_cancel(&admission, 2));
    CU_ASSERT_TRUE(admission_cancel(&admission, 3));
    CU_ASSERT_FALSE(admission_cancel(&admission, 3));
    admission_done(&admission, 0, 1000, true);
    expect_next(ADMISSION_EVENT_NONE, 0);
    admission_finish(&admission);
}

static void
expect_expired(int64_t budget_us, int64_t waited_us)
{
    start(1, 8);
    teach("k", 100 * US_PER_MS);
    CU_ASSERT_EQUAL(offer(1, 10, US_PER_S), ADMISSION_RUN);
    CU_ASSERT_EQUAL(offer(2, 10, budget_us), ADMISSION_QUEUED);
    manual_clock_advance(&test_clock, waited_us);
    admission_done(&admission, 0, 100 * US_PER_MS, true);
    expect_next(ADMISSION_EVENT_EXPIRED, 2);
    expect_next(ADMISSION_EVENT_NONE, 0);
    admission_finish(&admission);
}

/// Guards against running a request that can't finish before its deadline.
static void
test_hopeless_requests_do_not_run(void)
{
    expect_expired(150 * US_PER_MS, 60 * US_PER_MS);
}

/// Guards against a request that waits so long that nothing of its deadline is
/// left for another attempt.
static void
test_wait_is_bounded(void)
{
    expect_expired(US_PER_S, 600 * US_PER_MS);
}

/// Guards against a queue in which everyone waits until the deadline is near:
/// what can't start in time is refused at once, so that it can go elsewhere.
static void
test_refuses_what_would_wait_too_long(void)
{
    start(1, 100);
    teach("k", 100 * US_PER_MS);
    CU_ASSERT_EQUAL(offer(1, 10, US_PER_S), ADMISSION_RUN);
    for (uint64_t ticket = 2; ticket < 7; ticket++) {
        CU_ASSERT_EQUAL(offer(ticket, 10, US_PER_S), ADMISSION_QUEUED);
    }
    CU_ASSERT_EQUAL(offer(8, 10, 400 * US_PER_MS),
                    ADMISSION_REFUSED_OVERLOADED);
    CU_ASSERT_EQUAL(offer(9, 20, 400 * US_PER_MS), ADMISSION_QUEUED);
    admission_finish(&admission);
}

/// Guards against long requests that take every slot.
static void
test_long_kinds_share_half_of_the_slots(void)
{
    start(4, 8);
    teach("long", US_PER_S);
    for (int i = 0; i < 5; i++) {
        teach("short", 10 * US_PER_MS);
    }
    CU_ASSERT_EQUAL(offer_kind("long", 1, 90, 9 * US_PER_S), ADMISSION_RUN);
    CU_ASSERT_EQUAL(offer_kind("long", 2, 90, 9 * US_PER_S), ADMISSION_RUN);
    CU_ASSERT_EQUAL(offer_kind("long", 3, 90, 9 * US_PER_S), ADMISSION_QUEUED);
    expect_next(ADMISSION_EVENT_NONE, 0);
    CU_ASSERT_EQUAL(offer_kind("short", 4, 10, US_PER_S), ADMISSION_RUN);
    CU_ASSERT_EQUAL(offer_kind("short", 5, 10, US_PER_S), ADMISSION_RUN);
    CU_ASSERT_EQUAL(offer_kind("short", 6, 10, US_PER_S), ADMISSION_QUEUED);
    uint32_t shorts = admission_kind_index(&admission, SLICE_LITERAL("c"),
                                           SLICE_LITERAL("short"));
    admission_done(&admission, shorts, 10 * US_PER_MS, true);
    expect_next(ADMISSION_EVENT_RUN, 6);
    expect_next(ADMISSION_EVENT_NONE, 0);
    admission_finish(&admission);
}

/// Guards against long kinds that starve the short ones, become the median by
/// that and then no longer count as long.
static void
test_starved_short_kinds_keep_the_median(void)
{
    service_time_t times = {0};
    service_time_record(&times, 0, 10 * US_PER_MS);
    service_time_record(&times, 1, US_PER_S);
    for (int i = 0; i < 1000; i++) {
        service_time_record_arrival(&times, 0);
        service_time_record_arrival(&times, i % 3 == 0 ? 1 : 0);
        service_time_record(&times, 1, US_PER_S);
    }
    CU_ASSERT_TRUE(service_time_is_long(&times, 1));
    CU_ASSERT_FALSE(service_time_is_long(&times, 0));
}

/// Guards against senders that hold back a worth of which the guard still
/// starts some, and against a minimum that outlives the shedding.
static void
test_min_worth_is_the_lowest_that_starts(void)
{
    start(1, 1);
    CU_ASSERT_EQUAL(offer(1, 50, US_PER_S), ADMISSION_RUN);
    CU_ASSERT_EQUAL(offer(2, 50, US_PER_S), ADMISSION_QUEUED);
    CU_ASSERT_EQUAL(offer(3, 50, US_PER_S), ADMISSION_REFUSED_OVERLOADED);
    CU_ASSERT_EQUAL(admission_load(&admission).min_worth, 0);
    CU_ASSERT_EQUAL(offer(4, 10, US_PER_S), ADMISSION_REFUSED_OVERLOADED);
    CU_ASSERT_EQUAL(admission_load(&admission).min_worth, 50);
    manual_clock_advance(&test_clock, 200 * US_PER_MS);
    CU_ASSERT_EQUAL(admission_load(&admission).min_worth, 0);
    admission_finish(&admission);
}

/// Guards against an order among equals that starves the oldest.
static void
test_equal_worth_runs_by_arrival(void)
{
    start(1, 8);
    CU_ASSERT_EQUAL(offer(1, 10, US_PER_S), ADMISSION_RUN);
    CU_ASSERT_EQUAL(offer(2, 10, US_PER_S), ADMISSION_QUEUED);
    CU_ASSERT_EQUAL(offer(3, 10, US_PER_S / 2), ADMISSION_QUEUED);
    admission_done(&admission, 0, 1000, true);
    expect_next(ADMISSION_EVENT_RUN, 2);
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
        {"hopeless", test_hopeless_requests_do_not_run},
        {"bounded wait", test_wait_is_bounded},
        {"expected wait", test_refuses_what_would_wait_too_long},
        {"long share", test_long_kinds_share_half_of_the_slots},
        {"median", test_starved_short_kinds_keep_the_median},
        {"minimum worth", test_min_worth_is_the_lowest_that_starts},
        {"arrival order", test_equal_worth_runs_by_arrival},
        CU_TEST_INFO_NULL,
    };
    return run_suite("admission", tests);
}
