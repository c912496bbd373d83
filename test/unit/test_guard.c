/// @file
/// The guard's states and the text form of its load.

#include "ibisfield/call/guard.h"

#include "common/suite.h"

#define SENDERS_MAX 8

/// A sender of the tests; a request's user pointer.
typedef struct {
    uint64_t request_id;
    int64_t budget_us, wait_us;
    guard_response_t answer;
    int starts, cancels, answers;
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
    sender->starts++;
    sender->request_id = request_id;
    sender->budget_us = budget_us;
    sender->wait_us = wait_us;
}

static void
fake_cancel(guard_io_t *io, call_handle_t handle, void *user)
{
    (void)io;
    (void)handle;
    ((sender_t *)user)->cancels++;
}

static void
fake_answer(guard_io_t *io, call_handle_t handle, void *user,
            const guard_response_t *answer)
{
    (void)io;
    (void)handle;
    sender_t *sender = user;
    sender->answers++;
    sender->answer = *answer;
}

static void
start_guard(uint32_t slots, uint32_t queue_max)
{
    static const guard_io_vtable_t vtable = {fake_start, fake_cancel,
                                             fake_answer};
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
request(uint32_t sender, bool once)
{
    guard_request_t taken = {
        .customer = SLICE_LITERAL("c"),
        .kind = SLICE_LITERAL("k"),
        .worth = 5,
        .budget_us = 100 * US_PER_MS,
        .retry_tokens = 3,
        .at_most_once = once,
        .user = &senders[sender],
    };
    return guard_request(&guard, &taken);
}

/// Guards against wrong outcomes: each end of a run and what is told.
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
        CU_ASSERT_EQUAL(senders[0].answers, 1);
        CU_ASSERT_EQUAL(senders[0].answer.reason, cases[i].reason);
        CU_ASSERT_EQUAL(senders[0].answer.outcome, cases[i].outcome);
        CU_ASSERT_EQUAL(senders[0].answer.retry_tokens_left, 2);
        guard_upstream_done(&guard, handle, UPSTREAM_ANSWERED);
        guard_sender_disconnected(&guard, handle);
        CU_ASSERT_EQUAL(senders[0].answers, 1);
        CU_ASSERT_EQUAL(guard_in_flight(&guard), 0);
        stop_guard();
    }
}

/// Guards against a leaving guard that takes new work or cuts old work off.
static void
test_leaving(void)
{
    start_guard(1, 2);
    call_handle_t running = request(0, false);
    call_handle_t waiting = request(1, false);
    CU_ASSERT_EQUAL(senders[1].starts, 0);
    guard_set_draining(&guard, true);
    CU_ASSERT_EQUAL(request(2, false), 0);
    CU_ASSERT_EQUAL(senders[2].answer.reason, REASON_LEAVING);
    CU_ASSERT_EQUAL(senders[2].answer.outcome, OUTCOME_NOT_RUN);
    CU_ASSERT_EQUAL(senders[2].answer.retry_tokens_left, 3);
    CU_ASSERT_EQUAL(guard_in_flight(&guard), 2);
    guard_upstream_done(&guard, running, UPSTREAM_ANSWERED);
    CU_ASSERT_EQUAL(senders[1].starts, 1);
    guard_upstream_done(&guard, waiting, UPSTREAM_ANSWERED);
    CU_ASSERT_EQUAL(senders[1].answer.reason, REASON_NONE);
    CU_ASSERT_EQUAL(guard_in_flight(&guard), 0);
    stop_guard();
}

/// Guards against a request that runs at another service's upstream because
/// its sender's list is old.
static void
test_misdirected_request(void)
{
    start_guard(1, 2);
    guard_set_service(&guard, "booking");
    guard_request_t taken = {
        .customer = SLICE_LITERAL("c"),
        .kind = SLICE_LITERAL("k"),
        .service = SLICE_LITERAL("info"),
        .budget_us = 100 * US_PER_MS,
        .user = &senders[0],
    };
    CU_ASSERT_EQUAL(guard_request(&guard, &taken), 0);
    CU_ASSERT_EQUAL(senders[0].starts, 0);
    CU_ASSERT_EQUAL(senders[0].answer.outcome, OUTCOME_NOT_RUN);
    taken.service = SLICE_LITERAL("booking");
    taken.user = &senders[1];
    CU_ASSERT_NOT_EQUAL(guard_request(&guard, &taken), 0);
    stop_guard();
}

/// Guards against work that is started for nobody.
static void
test_expired_and_abandoned_requests_do_not_start(void)
{
    start_guard(1, 4);
    call_handle_t running = request(0, true);
    call_handle_t gone = request(1, true);
    request(2, false);
    guard_sender_disconnected(&guard, gone);
    CU_ASSERT_EQUAL(senders[1].answers, 0);
    manual_clock_advance(&manual, 150 * US_PER_MS);
    guard_upstream_done(&guard, running, UPSTREAM_ANSWERED);
    guard_tick(&guard);
    CU_ASSERT_EQUAL(senders[1].starts, 0);
    CU_ASSERT_EQUAL(senders[2].starts, 0);
    CU_ASSERT_EQUAL(senders[2].answer.reason, REASON_DEADLINE);
    CU_ASSERT_EQUAL(senders[2].answer.outcome, OUTCOME_NOT_RUN);
    CU_ASSERT_EQUAL(guard_in_flight(&guard), 0);
    stop_guard();
}

/// Guards against bookings that are cut off half-way, and against repeatable
/// work that goes on for nobody.
static void
test_only_repeatable_work_is_cancelled(void)
{
    start_guard(4, 4);
    call_handle_t repeatable = request(0, false);
    call_handle_t keyed = request(1, true);
    call_handle_t late = request(2, true);
    CU_ASSERT_EQUAL(senders[0].wait_us, senders[0].budget_us);
    CU_ASSERT_EQUAL(senders[1].wait_us,
                    senders[1].budget_us + LATE_RESPONSE_WAIT_US);
    guard_sender_disconnected(&guard, repeatable);
    guard_sender_disconnected(&guard, keyed);
    CU_ASSERT_EQUAL(senders[0].cancels, 1);
    CU_ASSERT_EQUAL(senders[1].cancels, 0);
    CU_ASSERT_EQUAL(guard_in_flight(&guard), 2);
    guard_upstream_done(&guard, keyed, UPSTREAM_ANSWERED);
    CU_ASSERT_EQUAL(senders[1].answers, 0);
    manual_clock_advance(&manual, 100 * US_PER_MS);
    guard_tick(&guard);
    CU_ASSERT_EQUAL(senders[2].cancels, 0);
    manual_clock_advance(&manual, LATE_RESPONSE_WAIT_US);
    guard_tick(&guard);
    CU_ASSERT_EQUAL(senders[2].cancels, 1);
    CU_ASSERT_EQUAL(senders[2].answer.outcome, OUTCOME_UNKNOWN);
    guard_upstream_done(&guard, late, UPSTREAM_ANSWERED);
    CU_ASSERT_EQUAL(senders[2].answers, 1);
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
    CU_ASSERT_EQUAL(senders[0].answers, 1);
    CU_ASSERT_TRUE(guard_load(&guard).service_us < 60 * US_PER_S);
    stop_guard();
}

/// Guards against a load that is read differently from how it was written.
static void
test_load_text(void)
{
    guard_load_t load = {3, 85, 0, UINT32_MAX, INT32_MAX};
    guard_load_t read = {0};
    char text[128];
    guard_load_format(&load, text, sizeof(text));
    CU_ASSERT_TRUE(guard_load_parse(&read, slice_from_string(text)));
    CU_ASSERT_EQUAL(memcmp(&load, &read, sizeof(load)), 0);
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
            guard_load_parse(&read, slice_from_string(invalid[i])));
    }
    for (int i = REASON_NONE + 1; i < REASON_COUNT; i++) {
        reason_t reason = (reason_t)i;
        slice_t token = slice_from_string(reason_token(reason));
        CU_ASSERT_EQUAL(reason_from_token(token), reason);
    }
    CU_ASSERT_EQUAL(reason_from_token(SLICE_LITERAL("")), REASON_NONE);
}

/// Guards against sending request after request to an upstream that has said
/// that it isn't the instance they are for: each would count as an arrival
/// (BUDGET). The refusal here reaches no upstream.
static void
test_rejected_instance_is_remembered(void)
{
    start_guard(4, 4);
    guard_request_t taken = {
        .customer = SLICE_LITERAL("c"),
        .kind = SLICE_LITERAL("k"),
        .worth = 5,
        .budget_us = 100 * US_PER_MS,
        .target_instance = 11,
        .user = &senders[0],
    };
    call_handle_t handle = guard_request(&guard, &taken);
    guard_upstream_done(&guard, handle, UPSTREAM_MISDIRECTED);
    CU_ASSERT_EQUAL(senders[0].answer.reason, REASON_WRONG_INSTANCE);
    CU_ASSERT_EQUAL(senders[0].answer.outcome, OUTCOME_NOT_RUN);
    taken.user = &senders[1];
    CU_ASSERT_EQUAL(guard_request(&guard, &taken), 0);
    CU_ASSERT_EQUAL(senders[1].starts, 0);
    CU_ASSERT_EQUAL(senders[1].answer.reason, REASON_NO_UPSTREAM);
    taken.user = &senders[2];
    taken.target_instance = 12;
    CU_ASSERT_NOT_EQUAL(guard_request(&guard, &taken), 0);
    taken.user = &senders[3];
    taken.target_instance = 11;
    manual_clock_advance(&manual, 2 * US_PER_S);
    CU_ASSERT_NOT_EQUAL(guard_request(&guard, &taken), 0);
    stop_guard();
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"result mapping", test_result_mapping},
        {"leaving", test_leaving},
        {"misdirected", test_misdirected_request},
        {"expired and abandoned",
         test_expired_and_abandoned_requests_do_not_start},
        {"cancellation", test_only_repeatable_work_is_cancelled},
        {"clock step back", test_clock_step_back},
        {"load text", test_load_text},
        {"rejected instance", test_rejected_instance_is_remembered},
        CU_TEST_INFO_NULL,
    };
    return run_suite("guard", tests);
}
