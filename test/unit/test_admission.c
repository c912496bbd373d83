/// @file
/// Admission control at the guard.

#include "ibisfield/admission/admission.h"

#include "common/suite.h"

static manual_clock_t test_clock;
static admission_t admission;

static void
set_up(uint32_t slots, uint32_t queue_max)
{
    admission_options_t options = {
        .slots = slots, .queue_max = queue_max, .seed = 1};
    manual_clock_init(&test_clock, US_PER_S);
    admission_init(&admission, &test_clock.base, &options);
}

static admission_decision_t
submit_kind(const char *kind, uint64_t ticket, int32_t worth,
            int64_t budget_us)
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
submit(uint64_t ticket, int32_t worth, int64_t budget_us)
{
    return submit_kind("k", ticket, worth, budget_us);
}

/// Runs requests of a kind one after the other, so that its service time is
/// known.
static void
run_samples(const char *kind, int64_t service_us)
{
    for (int i = 0; i < 100; i++) {
        CU_ASSERT_EQUAL_FATAL(submit_kind(kind, 1000, 50, 60 * US_PER_S),
                              ADMISSION_RUN);
        uint32_t kind_index = admission_kind_index(
            &admission, SLICE_LITERAL("c"), slice_from_string(kind));
        admission_done(&admission, kind_index, service_us, true);
    }
}

static void
expect_event(admission_event_t expected, uint64_t expected_ticket)
{
    uint64_t ticket = 0;
    CU_ASSERT_EQUAL(admission_next_event(&admission, &ticket), expected);
    CU_ASSERT_EQUAL(ticket, expected_ticket);
}

/// Guards against more running requests than the upstream has slots, and
/// against starting a request of lower worth before one of higher worth.
static void
test_runs_up_to_slots_then_by_worth(void)
{
    set_up(1, 8);
    CU_ASSERT_EQUAL(submit(1, 10, US_PER_S), ADMISSION_RUN);
    CU_ASSERT_EQUAL(submit(2, 10, US_PER_S), ADMISSION_QUEUED);
    CU_ASSERT_EQUAL(submit(3, 90, US_PER_S), ADMISSION_QUEUED);
    expect_event(ADMISSION_EVENT_NONE, 0);
    admission_done(&admission, 0, 1000, true);
    expect_event(ADMISSION_EVENT_RUN, 3);
    expect_event(ADMISSION_EVENT_NONE, 0);
    admission_done(&admission, 0, 1000, true);
    expect_event(ADMISSION_EVENT_RUN, 2);
    admission_finish(&admission);
}

/// Guards against a full queue that refuses requests of higher worth than
/// those in it.
static void
test_full_queue_evicts_lowest_worth(void)
{
    set_up(1, 1);
    CU_ASSERT_EQUAL(submit(1, 10, US_PER_S), ADMISSION_RUN);
    CU_ASSERT_EQUAL(submit(2, 10, US_PER_S), ADMISSION_QUEUED);
    CU_ASSERT_EQUAL(submit(3, 10, US_PER_S), ADMISSION_REFUSED_OVERLOADED);
    CU_ASSERT_EQUAL(submit(4, 90, US_PER_S), ADMISSION_QUEUED);
    expect_event(ADMISSION_EVENT_EVICTED, 2);
    admission_done(&admission, 0, 1000, true);
    expect_event(ADMISSION_EVENT_RUN, 4);
    admission_finish(&admission);
}

/// Guards against running a request after its deadline, when the caller no
/// longer waits for it.
static void
test_expired_requests_do_not_run(void)
{
    set_up(1, 8);
    CU_ASSERT_EQUAL(submit(1, 10, 0), ADMISSION_REFUSED_DEADLINE);
    CU_ASSERT_EQUAL(submit(2, 10, US_PER_S), ADMISSION_RUN);
    CU_ASSERT_EQUAL(submit(3, 10, US_PER_MS), ADMISSION_QUEUED);
    manual_clock_advance(&test_clock, 2 * US_PER_MS);
    expect_event(ADMISSION_EVENT_EXPIRED, 3);
    expect_event(ADMISSION_EVENT_NONE, 0);
    admission_finish(&admission);
}

/// Guards against an event for a request that has been cancelled.
static void
test_cancelled_requests_have_no_event(void)
{
    set_up(1, 1);
    CU_ASSERT_EQUAL(submit(1, 10, US_PER_S), ADMISSION_RUN);
    CU_ASSERT_EQUAL(submit(2, 10, US_PER_S), ADMISSION_QUEUED);
    CU_ASSERT_EQUAL(submit(3, 90, US_PER_S), ADMISSION_QUEUED);
    CU_ASSERT_TRUE(admission_cancel(&admission, 2));
    CU_ASSERT_TRUE(admission_cancel(&admission, 3));
    CU_ASSERT_FALSE(admission_cancel(&admission, 3));
    admission_done(&admission, 0, 1000, true);
    expect_event(ADMISSION_EVENT_NONE, 0);
    admission_finish(&admission);
}

/// Queues a request behind a running one of the same kind, whose service time
/// is 100 ms. Expects that it has expired after @p waited_us.
static void
expect_expired(int64_t budget_us, int64_t waited_us)
{
    set_up(1, 8);
    run_samples("k", 100 * US_PER_MS);
    CU_ASSERT_EQUAL(submit(1, 10, US_PER_S), ADMISSION_RUN);
    CU_ASSERT_EQUAL(submit(2, 10, budget_us), ADMISSION_QUEUED);
    manual_clock_advance(&test_clock, waited_us);
    admission_done(&admission, 0, 100 * US_PER_MS, true);
    expect_event(ADMISSION_EVENT_EXPIRED, 2);
    expect_event(ADMISSION_EVENT_NONE, 0);
    admission_finish(&admission);
}

/// Guards against running a request that can't finish before its deadline:
/// with 90 ms left it would need 100 ms.
static void
test_requests_too_late_to_finish_do_not_run(void)
{
    expect_expired(150 * US_PER_MS, 60 * US_PER_MS);
}

/// Guards against a request that waits so long that no time is left before its
/// deadline for another attempt: it may wait for half of the time.
static void
test_wait_is_bounded(void)
{
    expect_expired(US_PER_S, 600 * US_PER_MS);
}

/// Guards against a queue in which every request waits until its deadline is
/// near: a request that can't start in time is refused immediately, so that
/// its sender can try another VM.
static void
test_long_expected_wait_is_refused(void)
{
    set_up(1, 100);
    run_samples("k", 100 * US_PER_MS);
    CU_ASSERT_EQUAL(submit(1, 10, US_PER_S), ADMISSION_RUN);
    for (uint64_t ticket = 2; ticket < 7; ticket++) {
        CU_ASSERT_EQUAL(submit(ticket, 10, US_PER_S), ADMISSION_QUEUED);
    }
    // Five queued requests take 500 ms, more than half of the 400 ms that are
    // left. Before a request of higher worth there is none.
    CU_ASSERT_EQUAL(submit(8, 10, 400 * US_PER_MS),
                    ADMISSION_REFUSED_OVERLOADED);
    CU_ASSERT_EQUAL(submit(9, 20, 400 * US_PER_MS), ADMISSION_QUEUED);
    admission_finish(&admission);
}

/// Guards against long requests that occupy every slot.
static void
test_long_kinds_get_half_of_the_slots(void)
{
    set_up(4, 8);
    run_samples("long", US_PER_S);
    // The median starts at the long kind and falls by a small step with each
    // short request.
    for (int i = 0; i < 5; i++) {
        run_samples("short", 10 * US_PER_MS);
    }
    CU_ASSERT_EQUAL(submit_kind("long", 1, 90, 9 * US_PER_S), ADMISSION_RUN);
    CU_ASSERT_EQUAL(submit_kind("long", 2, 90, 9 * US_PER_S), ADMISSION_RUN);
    CU_ASSERT_EQUAL(submit_kind("long", 3, 90, 9 * US_PER_S),
                    ADMISSION_QUEUED);
    expect_event(ADMISSION_EVENT_NONE, 0);
    CU_ASSERT_EQUAL(submit_kind("short", 4, 10, US_PER_S), ADMISSION_RUN);
    CU_ASSERT_EQUAL(submit_kind("short", 5, 10, US_PER_S), ADMISSION_RUN);
    CU_ASSERT_EQUAL(submit_kind("short", 6, 10, US_PER_S), ADMISSION_QUEUED);
    uint32_t short_index = admission_kind_index(&admission, SLICE_LITERAL("c"),
                                                SLICE_LITERAL("short"));
    admission_done(&admission, short_index, 10 * US_PER_MS, true);
    expect_event(ADMISSION_EVENT_RUN, 6);
    expect_event(ADMISSION_EVENT_NONE, 0);
    admission_finish(&admission);
}

/// Guards against long kinds that starve the short ones, so that they become
/// the median and no longer count as long.
static void
test_starved_short_kinds_still_set_the_median(void)
{
    service_time_t times = {0};
    service_time_record(&times, 0, 10 * US_PER_MS);
    service_time_record(&times, 1, US_PER_S);
    // One in six requests is long, but only long ones are completed.
    for (int i = 0; i < 1000; i++) {
        service_time_record_arrival(&times, 0);
        service_time_record_arrival(&times, i % 3 == 0 ? 1 : 0);
        service_time_record(&times, 1, US_PER_S);
    }
    CU_ASSERT_TRUE(service_time_is_long(&times, 1));
    CU_ASSERT_FALSE(service_time_is_long(&times, 0));
}

/// Guards against a reported minimum worth that is higher than one of which
/// requests still start, since senders refuse all requests below it; and
/// against one that is still reported when no request was refused for some
/// time.
static void
test_min_worth_is_the_lowest_that_starts(void)
{
    set_up(1, 1);
    CU_ASSERT_EQUAL(submit(1, 50, US_PER_S), ADMISSION_RUN);
    CU_ASSERT_EQUAL(submit(2, 50, US_PER_S), ADMISSION_QUEUED);
    CU_ASSERT_EQUAL(submit(3, 50, US_PER_S), ADMISSION_REFUSED_OVERLOADED);
    CU_ASSERT_EQUAL(admission_load(&admission).min_worth, 0);
    CU_ASSERT_EQUAL(submit(4, 10, US_PER_S), ADMISSION_REFUSED_OVERLOADED);
    CU_ASSERT_EQUAL(admission_load(&admission).min_worth, 50);
    manual_clock_advance(&test_clock, 200 * US_PER_MS);
    CU_ASSERT_EQUAL(admission_load(&admission).min_worth, 0);
    admission_finish(&admission);
}

/// Guards against an order among requests of equal worth that starves the
/// oldest one.
static void
test_equal_worth_runs_by_arrival(void)
{
    set_up(1, 8);
    CU_ASSERT_EQUAL(submit(1, 10, US_PER_S), ADMISSION_RUN);
    CU_ASSERT_EQUAL(submit(2, 10, US_PER_S), ADMISSION_QUEUED);
    CU_ASSERT_EQUAL(submit(3, 10, US_PER_S / 2), ADMISSION_QUEUED);
    admission_done(&admission, 0, 1000, true);
    expect_event(ADMISSION_EVENT_RUN, 2);
    admission_finish(&admission);
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"slots and worth", test_runs_up_to_slots_then_by_worth},
        {"eviction", test_full_queue_evicts_lowest_worth},
        {"expiry", test_expired_requests_do_not_run},
        {"cancellation", test_cancelled_requests_have_no_event},
        {"too late to finish", test_requests_too_late_to_finish_do_not_run},
        {"bounded wait", test_wait_is_bounded},
        {"expected wait", test_long_expected_wait_is_refused},
        {"slots of long kinds", test_long_kinds_get_half_of_the_slots},
        {"median", test_starved_short_kinds_still_set_the_median},
        {"minimum worth", test_min_worth_is_the_lowest_that_starts},
        {"arrival order", test_equal_worth_runs_by_arrival},
        CU_TEST_INFO_NULL,
    };
    return run_suite("admission", tests);
}
