/// @file
/// Unit tests of the guard and of the text form of its load.

#include "ibisfield/call/guard.h"

#include "common/suite.h"

#define SENDERS_MAX 8

/// A sender; the user pointer of its request.
typedef struct {
    uint64_t request_id;
    int64_t budget_us, wait_us;
    guard_response_t response;
    int start_count, cancel_count, response_count;
} sender_t;

static manual_clock_t manual;
static request_contexts_t contexts;
static guard_t guard;
static sender_t senders[SENDERS_MAX];

static void
fake_start(guard_io_t *io, call_handle_t handle, void *user,
           uint64_t request_id, int64_t budget_us, int64_t wait_us)
{
    (void)io;
    (void)handle;
    sender_t *sender = user;
    sender->start_count++;
    sender->request_id = request_id;
    sender->budget_us = budget_us;
    sender->wait_us = wait_us;
}

static void
fake_cancel(guard_io_t *io, call_handle_t handle, void *user)
{
    (void)io;
    (void)handle;
    ((sender_t *)user)->cancel_count++;
}

static void
fake_respond(guard_io_t *io, call_handle_t handle, void *user,
             const guard_response_t *response)
{
    (void)io;
    (void)handle;
    sender_t *sender = user;
    sender->response_count++;
    sender->response = *response;
}

static void
start_guard(uint32_t slots, uint32_t queue_max)
{
    static const guard_io_vtable_t vtable = {fake_start, fake_cancel,
                                             fake_respond};
    static guard_io_t io = {&vtable};
    memset(senders, 0, sizeof(senders));
    manual_clock_init(&manual, US_PER_S);
    request_contexts_init(&contexts, 8, 3);
    admission_options_t options = {.slots = slots, .queue_max = queue_max};
    guard_init(&guard, &manual.base, &io, &contexts, &options);
}

static void
stop_guard(void)
{
    guard_finish(&guard);
    request_contexts_finish(&contexts);
}

static call_handle_t
request(uint32_t sender, bool at_most_once)
{
    guard_request_t incoming = {
        .customer = SLICE_LITERAL("c"),
        .kind = SLICE_LITERAL("k"),
        .worth = 5,
        .budget_us = 100 * US_PER_MS,
        .retry_tokens = 3,
        .at_most_once = at_most_once,
        .user = &senders[sender],
    };
    return guard_request(&guard, &incoming);
}

/// Guards against a wrong reason or outcome for a result of the upstream, and
/// against reports after a request has ended.
static void
test_result_mapping(void)
{
    static const struct {
        upstream_result_t result;
        reason_t reason;
        outcome_t outcome;
    } cases[] = {
        {UPSTREAM_ANSWERED, REASON_NONE, OUTCOME_ANSWERED},
        {UPSTREAM_CONNECT_FAILED, REASON_NO_UPSTREAM, OUTCOME_NOT_RUN},
        {UPSTREAM_SHED, REASON_UPSTREAM_SHED, OUTCOME_NOT_RUN},
        {UPSTREAM_LOST, REASON_UPSTREAM_FAILED, OUTCOME_UNKNOWN},
        {UPSTREAM_RESPONSE_TOO_LARGE, REASON_ANSWER_TOO_LARGE,
         OUTCOME_UNKNOWN},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        start_guard(2, 2);
        call_handle_t handle = request(0, false);
        CU_ASSERT_EQUAL(
            request_contexts_take_tokens(&contexts, senders[0].request_id, 1),
            1);
        guard_upstream_done(&guard, handle, cases[i].result);
        CU_ASSERT_EQUAL(senders[0].response_count, 1);
        CU_ASSERT_EQUAL(senders[0].response.reason, cases[i].reason);
        CU_ASSERT_EQUAL(senders[0].response.outcome, cases[i].outcome);
        CU_ASSERT_EQUAL(senders[0].response.retry_tokens_left, 2);
        guard_upstream_done(&guard, handle, UPSTREAM_ANSWERED);
        guard_sender_disconnected(&guard, handle);
        CU_ASSERT_EQUAL(senders[0].response_count, 1);
        CU_ASSERT_EQUAL(guard_in_flight(&guard), 0);
        stop_guard();
    }
}

/// Guards against a draining guard that accepts new requests or drops those
/// that it holds.
static void
test_draining(void)
{
    start_guard(1, 2);
    call_handle_t running = request(0, false);
    call_handle_t waiting = request(1, false);
    CU_ASSERT_EQUAL(senders[1].start_count, 0);
    guard_set_draining(&guard, true);
    CU_ASSERT_EQUAL(request(2, false), 0);
    CU_ASSERT_EQUAL(senders[2].response.reason, REASON_LEAVING);
    CU_ASSERT_EQUAL(senders[2].response.outcome, OUTCOME_NOT_RUN);
    CU_ASSERT_EQUAL(senders[2].response.retry_tokens_left, 3);
    CU_ASSERT_EQUAL(guard_in_flight(&guard), 2);
    guard_upstream_done(&guard, running, UPSTREAM_ANSWERED);
    CU_ASSERT_EQUAL(senders[1].start_count, 1);
    guard_upstream_done(&guard, waiting, UPSTREAM_ANSWERED);
    CU_ASSERT_EQUAL(senders[1].response.reason, REASON_NONE);
    CU_ASSERT_EQUAL(guard_in_flight(&guard), 0);
    stop_guard();
}

#define LEARNED_SERVICE_US (500 * US_PER_MS)

static call_handle_t
request_with_budget(uint32_t sender, int64_t budget_us)
{
    guard_request_t incoming = {
        .customer = SLICE_LITERAL("c"),
        .kind = SLICE_LITERAL("k"),
        .worth = 5,
        .budget_us = budget_us,
        .at_most_once = true,
        .user = &senders[sender],
    };
    return guard_request(&guard, &incoming);
}

/// Lets the guard learn how long the requests of these tests run.
static void
learn_service_time(void)
{
    for (int i = 0; i < 100; i++) {
        call_handle_t handle = request_with_budget(0, 10 * US_PER_S);
        manual_clock_advance(&manual, LEARNED_SERVICE_US);
        guard_upstream_done(&guard, handle, UPSTREAM_ANSWERED);
    }
    memset(senders, 0, sizeof(senders));
}

/// Guards against requests that wait in the queue of a draining upstream and
/// start when it is about to end, which cuts them (review/1): those that fit
/// run, the others are refused at once, so that their senders can send them
/// elsewhere.
static void
test_queued_requests_start_before_the_end_or_not_at_all(void)
{
    start_guard(1, 16);
    learn_service_time();
    call_handle_t handles[SENDERS_MAX];
    for (uint32_t i = 0; i < SENDERS_MAX; i++) {
        handles[i] = request_with_budget(i, 20 * US_PER_S);
        CU_ASSERT_NOT_EQUAL(handles[i], 0);
    }
    int64_t end_us = clock_now_us(&manual.base) + 2 * US_PER_S;
    guard_set_draining(&guard, true);
    guard_set_upstream_end(&guard, end_us);
    CU_ASSERT_EQUAL(senders[SENDERS_MAX - 1].response.reason, REASON_LEAVING);
    CU_ASSERT_EQUAL(senders[SENDERS_MAX - 1].response.outcome,
                    OUTCOME_NOT_RUN);
    CU_ASSERT_EQUAL(senders[1].response_count, 0);
    int started = 1;
    for (uint32_t i = 0; i < SENDERS_MAX; i++) {
        if (senders[i].start_count == 0) {
            continue;
        }
        manual_clock_advance(&manual, LEARNED_SERVICE_US);
        guard_upstream_done(&guard, handles[i], UPSTREAM_ANSWERED);
        started += i + 1 < SENDERS_MAX && senders[i + 1].start_count == 1;
        CU_ASSERT_TRUE(clock_now_us(&manual.base) <= end_us);
    }
    CU_ASSERT_TRUE(started >= 3);
    manual_clock_advance(&manual, 10 * US_PER_S);
    guard_tick(&guard);
    for (uint32_t i = 0; i < SENDERS_MAX; i++) {
        CU_ASSERT_EQUAL(senders[i].response_count, 1);
        CU_ASSERT_EQUAL(senders[i].response.outcome,
                        senders[i].start_count == 1 ? OUTCOME_ANSWERED
                                                    : OUTCOME_NOT_RUN);
    }
    CU_ASSERT_EQUAL(guard_in_flight(&guard), 0);
    stop_guard();
}

/// Guards against requests that a paused process starts when it resumes after
/// the end, and against a queue whose requests start later because the
/// upstream has become slower.
static void
test_no_start_after_the_end(void)
{
    start_guard(1, 4);
    learn_service_time();
    call_handle_t running = request_with_budget(0, 20 * US_PER_S);
    request_with_budget(1, 20 * US_PER_S);
    guard_set_draining(&guard, true);
    guard_set_upstream_end(&guard, clock_now_us(&manual.base) + 2 * US_PER_S);
    CU_ASSERT_EQUAL(senders[1].response_count, 0);
    manual_clock_advance(&manual, 5 * US_PER_S);
    guard_upstream_done(&guard, running, UPSTREAM_ANSWERED);
    CU_ASSERT_EQUAL(senders[1].start_count, 0);
    CU_ASSERT_EQUAL(senders[1].response.reason, REASON_LEAVING);
    CU_ASSERT_EQUAL(senders[1].response.outcome, OUTCOME_NOT_RUN);
    stop_guard();
}

/// Guards against refusals of requests that end before the process does: by
/// their deadline, or by how long such requests take, also if that isn't
/// known.
static void
test_requests_that_end_in_time_are_accepted(void)
{
    start_guard(8, 4);
    guard_set_upstream_end(&guard, clock_now_us(&manual.base) + 2 * US_PER_S);
    CU_ASSERT_NOT_EQUAL(request_with_budget(1, 20 * US_PER_S), 0);
    guard_set_upstream_end(&guard, SERVING_END_NONE);
    learn_service_time();
    int64_t end_us = clock_now_us(&manual.base) + 2 * US_PER_S;
    guard_set_upstream_end(&guard, end_us);
    CU_ASSERT_NOT_EQUAL(request_with_budget(2, 20 * US_PER_S), 0);
    manual_clock_advance(&manual, 1700 * US_PER_MS);
    CU_ASSERT_NOT_EQUAL(request_with_budget(3, 200 * US_PER_MS), 0);
    CU_ASSERT_EQUAL(request_with_budget(4, 20 * US_PER_S), 0);
    CU_ASSERT_EQUAL(senders[4].response.reason, REASON_LEAVING);
    CU_ASSERT_EQUAL(senders[4].response.outcome, OUTCOME_NOT_RUN);
    // The upstream stays after all.
    guard_set_upstream_end(&guard, SERVING_END_NONE);
    CU_ASSERT_NOT_EQUAL(request_with_budget(5, 20 * US_PER_S), 0);
    stop_guard();
}

/// Guards against an upstream that works on when its response can't be passed
/// on any more, because this process or the sender's ends. The guard still
/// waits for the response until the deadline.
static void
test_time_to_run_is_limited_by_the_end(void)
{
    start_guard(4, 4);
    guard_request_t incoming = {
        .customer = SLICE_LITERAL("c"),
        .kind = SLICE_LITERAL("k"),
        .budget_us = 5 * US_PER_S,
        .run_us = 3 * US_PER_S,
        .user = &senders[0],
    };
    CU_ASSERT_NOT_EQUAL(guard_request(&guard, &incoming), 0);
    CU_ASSERT_EQUAL(senders[0].budget_us, 3 * US_PER_S);
    CU_ASSERT_EQUAL(senders[0].wait_us, 5 * US_PER_S);
    guard_set_process_end(&guard, clock_now_us(&manual.base) + 2 * US_PER_S);
    incoming.user = &senders[1];
    CU_ASSERT_NOT_EQUAL(guard_request(&guard, &incoming), 0);
    CU_ASSERT_EQUAL(senders[1].budget_us, 2 * US_PER_S);
    CU_ASSERT_EQUAL(senders[1].wait_us, 5 * US_PER_S);
    // The upstream may serve on after it was expected to end.
    guard_set_upstream_end(&guard, clock_now_us(&manual.base) + US_PER_S);
    incoming.user = &senders[2];
    CU_ASSERT_NOT_EQUAL(guard_request(&guard, &incoming), 0);
    CU_ASSERT_EQUAL(senders[2].budget_us, 2 * US_PER_S);
    stop_guard();
}

/// Guards against a request that waits although its sender may choose another
/// VM, and against refusing it while there is a free slot.
static void
test_full_guard_lets_the_sender_choose_again(void)
{
    start_guard(1, 4);
    guard_request_t incoming = {
        .customer = SLICE_LITERAL("c"),
        .kind = SLICE_LITERAL("k"),
        .budget_us = US_PER_S,
        .may_redirect = true,
        .user = &senders[0],
    };
    CU_ASSERT_NOT_EQUAL(guard_request(&guard, &incoming), 0);
    CU_ASSERT_EQUAL(senders[0].start_count, 1);
    incoming.user = &senders[1];
    CU_ASSERT_EQUAL(guard_request(&guard, &incoming), 0);
    CU_ASSERT_EQUAL(senders[1].response.reason, REASON_BUSY);
    CU_ASSERT_EQUAL(senders[1].response.outcome, OUTCOME_NOT_RUN);
    CU_ASSERT_EQUAL(senders[1].response.load.in_flight, 1);
    incoming.may_redirect = false;
    incoming.user = &senders[2];
    CU_ASSERT_NOT_EQUAL(guard_request(&guard, &incoming), 0);
    CU_ASSERT_EQUAL(senders[2].response_count, 0);
    stop_guard();
}

/// Guards against running a request of a kind that was never timed, or that
/// takes too long, for a sender that ends soon (review/4).
static void
test_request_that_must_end_needs_a_timed_kind(void)
{
    start_guard(4, 4);
    guard_request_t incoming = {
        .customer = SLICE_LITERAL("c"),
        .kind = SLICE_LITERAL("k"),
        .budget_us = 5 * US_PER_S,
        .run_us = 2 * US_PER_S,
        .must_end = true,
        .user = &senders[0],
    };
    CU_ASSERT_EQUAL(guard_request(&guard, &incoming), 0);
    CU_ASSERT_EQUAL(senders[0].start_count, 0);
    CU_ASSERT_EQUAL(senders[0].response.outcome, OUTCOME_NOT_RUN);
    incoming.must_end = false;
    incoming.user = &senders[1];
    call_handle_t timed = guard_request(&guard, &incoming);
    manual_clock_advance(&manual, 900 * US_PER_MS);
    guard_upstream_done(&guard, timed, UPSTREAM_ANSWERED);
    incoming.must_end = true;
    incoming.user = &senders[2];
    CU_ASSERT_NOT_EQUAL(guard_request(&guard, &incoming), 0);
    // One sample counts twice.
    incoming.run_us = 1700 * US_PER_MS;
    incoming.user = &senders[3];
    CU_ASSERT_EQUAL(guard_request(&guard, &incoming), 0);
    CU_ASSERT_EQUAL(senders[3].response.outcome, OUTCOME_NOT_RUN);
    stop_guard();
}

/// Guards against running a request at the upstream of another service when
/// the sender's VM list is out of date.
static void
test_request_for_other_service_is_refused(void)
{
    start_guard(1, 2);
    guard_set_service(&guard, "booking");
    guard_request_t incoming = {
        .customer = SLICE_LITERAL("c"),
        .kind = SLICE_LITERAL("k"),
        .service = SLICE_LITERAL("info"),
        .budget_us = 100 * US_PER_MS,
        .user = &senders[0],
    };
    CU_ASSERT_EQUAL(guard_request(&guard, &incoming), 0);
    CU_ASSERT_EQUAL(senders[0].start_count, 0);
    CU_ASSERT_EQUAL(senders[0].response.outcome, OUTCOME_NOT_RUN);
    incoming.service = SLICE_LITERAL("booking");
    incoming.user = &senders[1];
    CU_ASSERT_NOT_EQUAL(guard_request(&guard, &incoming), 0);
    stop_guard();
}

/// Guards against starting requests whose deadline has passed or whose sender
/// has disconnected.
static void
test_expired_and_disconnected_requests_do_not_start(void)
{
    start_guard(1, 4);
    call_handle_t running = request(0, true);
    call_handle_t disconnected = request(1, true);
    request(2, false);
    guard_sender_disconnected(&guard, disconnected);
    CU_ASSERT_EQUAL(senders[1].response_count, 0);
    manual_clock_advance(&manual, 150 * US_PER_MS);
    guard_upstream_done(&guard, running, UPSTREAM_ANSWERED);
    guard_tick(&guard);
    CU_ASSERT_EQUAL(senders[1].start_count, 0);
    CU_ASSERT_EQUAL(senders[2].start_count, 0);
    CU_ASSERT_EQUAL(senders[2].response.reason, REASON_DEADLINE);
    CU_ASSERT_EQUAL(senders[2].response.outcome, OUTCOME_NOT_RUN);
    CU_ASSERT_EQUAL(guard_in_flight(&guard), 0);
    stop_guard();
}

/// Guards against cancelling bookings half-way, and against idempotent
/// requests that go on after their sender has disconnected.
static void
test_only_idempotent_requests_are_cancelled(void)
{
    start_guard(4, 4);
    call_handle_t idempotent = request(0, false);
    call_handle_t keyed = request(1, true);
    call_handle_t late = request(2, true);
    CU_ASSERT_EQUAL(senders[0].wait_us, senders[0].budget_us);
    CU_ASSERT_EQUAL(senders[1].wait_us,
                    senders[1].budget_us + LATE_RESPONSE_WAIT_US);
    guard_sender_disconnected(&guard, idempotent);
    guard_sender_disconnected(&guard, keyed);
    CU_ASSERT_EQUAL(senders[0].cancel_count, 1);
    CU_ASSERT_EQUAL(senders[1].cancel_count, 0);
    CU_ASSERT_EQUAL(guard_in_flight(&guard), 2);
    guard_upstream_done(&guard, keyed, UPSTREAM_ANSWERED);
    CU_ASSERT_EQUAL(senders[1].response_count, 0);
    manual_clock_advance(&manual, 100 * US_PER_MS);
    guard_tick(&guard);
    CU_ASSERT_EQUAL(senders[2].cancel_count, 0);
    manual_clock_advance(&manual, LATE_RESPONSE_WAIT_US);
    guard_tick(&guard);
    CU_ASSERT_EQUAL(senders[2].cancel_count, 1);
    CU_ASSERT_EQUAL(senders[2].response.outcome, OUTCOME_UNKNOWN);
    guard_upstream_done(&guard, late, UPSTREAM_ANSWERED);
    CU_ASSERT_EQUAL(senders[2].response_count, 1);
    stop_guard();
}

/// Guards against a negative service time when the clock is stepped back.
static void
test_clock_step_back(void)
{
    start_guard(1, 2);
    call_handle_t handle = request(0, false);
    manual_clock_advance(&manual, -60 * US_PER_S);
    guard_upstream_done(&guard, handle, UPSTREAM_ANSWERED);
    CU_ASSERT_EQUAL(senders[0].response_count, 1);
    CU_ASSERT_TRUE(guard_load(&guard).service_us < 60 * US_PER_S);
    stop_guard();
}

/// Guards against a load or reason that is parsed differently from how it was
/// formatted, and against accepting an invalid load.
static void
test_load_text(void)
{
    guard_load_t load = {3, 85, 0, UINT32_MAX, INT32_MAX};
    guard_load_t parsed = {0};
    char text[128];
    guard_load_format(&load, text, sizeof(text));
    CU_ASSERT_TRUE(guard_load_parse(&parsed, slice_from_string(text)));
    CU_ASSERT_EQUAL(memcmp(&load, &parsed, sizeof(load)), 0);
    static const char *const invalid[] = {
        "",
        "inflight=3",
        "inflight=3;limit=85;queue=0;service_us=1;min_worth=0;",
        "inflight=3;limit=85;queue=;service_us=1;min_worth=0",
        "inflight=-3;limit=85;queue=0;service_us=1;min_worth=0",
        "inflight=4294967296;limit=85;queue=0;service_us=1;min_worth=0",
        "inflight=3;limit=85;queue=0;service_us=1;min_worth=2147483648",
    };
    for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++) {
        CU_ASSERT_FALSE(
            guard_load_parse(&parsed, slice_from_string(invalid[i])));
    }
    for (int i = REASON_NONE + 1; i < REASON_COUNT; i++) {
        reason_t reason = (reason_t)i;
        slice_t token = slice_from_string(reason_token(reason));
        CU_ASSERT_EQUAL(reason_from_token(token), reason);
    }
    CU_ASSERT_EQUAL(reason_from_token(SLICE_LITERAL("")), REASON_NONE);
}

/// Guards against starting further requests for an instance that the upstream
/// has rejected: each would count as an attempt that reached an upstream,
/// which a refusal by the guard doesn't.
static void
test_rejected_instance_is_remembered(void)
{
    start_guard(4, 4);
    guard_request_t incoming = {
        .customer = SLICE_LITERAL("c"),
        .kind = SLICE_LITERAL("k"),
        .worth = 5,
        .budget_us = 100 * US_PER_MS,
        .target_instance = 11,
        .user = &senders[0],
    };
    call_handle_t handle = guard_request(&guard, &incoming);
    guard_upstream_done(&guard, handle, UPSTREAM_MISDIRECTED);
    CU_ASSERT_EQUAL(senders[0].response.reason, REASON_WRONG_INSTANCE);
    CU_ASSERT_EQUAL(senders[0].response.outcome, OUTCOME_NOT_RUN);
    incoming.user = &senders[1];
    CU_ASSERT_EQUAL(guard_request(&guard, &incoming), 0);
    CU_ASSERT_EQUAL(senders[1].start_count, 0);
    CU_ASSERT_EQUAL(senders[1].response.reason, REASON_NO_UPSTREAM);
    incoming.user = &senders[2];
    incoming.target_instance = 12;
    CU_ASSERT_NOT_EQUAL(guard_request(&guard, &incoming), 0);
    incoming.user = &senders[3];
    incoming.target_instance = 11;
    manual_clock_advance(&manual, 2 * US_PER_S);
    CU_ASSERT_NOT_EQUAL(guard_request(&guard, &incoming), 0);
    stop_guard();
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"result mapping", test_result_mapping},
        {"leaving", test_draining},
        {"queue at the end",
         test_queued_requests_start_before_the_end_or_not_at_all},
        {"after the end", test_no_start_after_the_end},
        {"time to run", test_time_to_run_is_limited_by_the_end},
        {"full guard", test_full_guard_lets_the_sender_choose_again},
        {"request that must end",
         test_request_that_must_end_needs_a_timed_kind},
        {"in time", test_requests_that_end_in_time_are_accepted},
        {"misdirected", test_request_for_other_service_is_refused},
        {"expired and abandoned",
         test_expired_and_disconnected_requests_do_not_start},
        {"cancellation", test_only_idempotent_requests_are_cancelled},
        {"clock step back", test_clock_step_back},
        {"load text", test_load_text},
        {"rejected instance", test_rejected_instance_is_remembered},
        CU_TEST_INFO_NULL,
    };
    return run_suite("guard", tests);
}
