/// @file
/// The entry on a platform whose callers have no keys and whose upstreams pass
/// no header on: what may be sent again, what is refused before it starts.

#include "ibisfield/call/entry.h"

#include "common/suite.h"

#define SENT_MAX 16
#define BOOKING "/book/x"
#define LOOKUP "/hours/x"
/// Id of a request that runs at the own upstream.
#define PARENT 77

typedef struct {
    call_handle_t call;
    attempt_info_t info;
    uint32_t attempt;
    bool cancelled;
} sent_t;

static manual_clock_t manual;
static key_table_t keys;
static request_contexts_t contexts;
static picker_t picker;
static client_retry_budget_t client_retries;
static service_retry_budget_t service_retries;
static call_depths_t depths;
static entry_throttle_t gate;
static entry_t entry;
static sent_t sent[SENT_MAX];
static int sent_count;
static int answers;
static entry_response_t last;

static kind_t kinds[] = {
    {.name = "book",
     .service = "s",
     .path = "/book/*",
     .worth = 100,
     .deadline_ms = 1000,
     .attempts_max = 3,
     .run = RUN_ONCE_UNKEYED},
    {.name = "hours",
     .service = "s",
     .path = "/hours/*",
     .worth = 80,
     .deadline_ms = 1000,
     .attempts_max = 3},
};
static const contract_t contract = {
    .customer = "c", .kinds = kinds, .kind_count = G_N_ELEMENTS(kinds)};

static void
fake_send(entry_io_t *io, call_handle_t call, void *user, uint32_t attempt,
          vm_handle_t vm, const attempt_info_t *info)
{
    (void)io;
    (void)user;
    (void)vm;
    CU_ASSERT_FATAL(sent_count < SENT_MAX);
    sent[sent_count++] = (sent_t){call, *info, attempt, false};
}

static void
fake_cancel(entry_io_t *io, call_handle_t call, void *user, uint32_t attempt)
{
    (void)io;
    (void)user;
    for (int i = 0; i < sent_count; i++) {
        sent[i].cancelled |=
            sent[i].call == call && sent[i].attempt == attempt;
    }
}

static void
fake_answer(entry_io_t *io, call_handle_t call, void *user,
            const entry_response_t *answer)
{
    (void)io;
    (void)call;
    (void)user;
    answers++;
    last = *answer;
}

static const contract_t *
find_contract(void *context, slice_t customer)
{
    (void)context;
    return slice_equal_string(customer, "c") ? &contract : NULL;
}

static void
start(void)
{
    static const entry_io_vtable_t vtable = {
        .send = fake_send, .cancel = fake_cancel, .respond = fake_answer};
    static entry_io_t io = {&vtable};
    static const char *const vms[] = {"v1", "v2", "v3", "v4"};
    sent_count = 0;
    answers = 0;
    manual_clock_init(&manual, 100 * US_PER_S);
    key_table_init(&keys, &manual.base,
                   &(key_table_options_t){.vm = "own", .max_records = 4});
    request_contexts_init(&contexts, 8, 3);
    client_retry_budget_init(&client_retries, &manual.base);
    service_retry_budget_init(
        &service_retries, &manual.base,
        &(service_retry_limits_t){.ratio = 4, .window_us = 10 * US_PER_S});
    call_depths_init(&depths, &manual.base);
    call_depths_record_report(&depths, "s", 0);
    entry_throttle_init(&gate, &manual.base, 1);
    picker_init(&picker, &manual.base,
                &(picker_options_t){.own_vm = "own", .own_data_centre = "d"});
    for (size_t i = 0; i < G_N_ELEMENTS(vms); i++) {
        picker_set_vm(&picker, &(picker_vm_t){vms[i], "d", "s", false});
    }
    entry_init(&entry,
               &(entry_options_t){.clock = &manual.base,
                                  .io = &io,
                                  .lookup = find_contract,
                                  .picker = &picker,
                                  .keys = &keys,
                                  .contexts = &contexts,
                                  .client_retry_budget = &client_retries,
                                  .max_calls = 8,
                                  .seed = 1,
                                  .no_context_propagation = true,
                                  .service_retry_budget = &service_retries,
                                  .depths = &depths,
                                  .throttle = &gate});
    entry_set_ready(&entry, true);
}

static void
stop(void)
{
    entry_finish(&entry);
    picker_finish(&picker);
    entry_throttle_finish(&gate);
    call_depths_finish(&depths);
    service_retry_budget_finish(&service_retries);
    client_retry_budget_finish(&client_retries);
    request_contexts_finish(&contexts);
    key_table_finish(&keys);
}

static call_handle_t
request(const char *path, uint64_t parent)
{
    return entry_request(&entry, &(entry_request_t){
                                     .customer = SLICE_LITERAL("c"),
                                     .method = SLICE_LITERAL("POST"),
                                     .path = slice_from_string(path),
                                     .egress = parent != 0,
                                     .request_id = parent,
                                     .budget_us = 5 * US_PER_S,
                                 });
}

static void
finish_attempt(int number, attempt_result_type_t kind, reason_t reason,
               int status)
{
    entry_attempt_done(
        &entry, sent[number].call, sent[number].attempt,
        &(attempt_result_t){.type = kind, .reason = reason, .status = status});
}

/// Guards against a booking that runs twice (TWICE), and against telling its
/// caller that it has not run when it may have (REFUSED).
static void
test_booking_is_not_sent_again_after_a_lost_answer(void)
{
    start();
    request(BOOKING, 0);
    CU_ASSERT_EQUAL_FATAL(sent_count, 1);
    CU_ASSERT_TRUE(sent[0].info.at_most_once);
    finish_attempt(0, ATTEMPT_LOST, REASON_NONE, 0);
    CU_ASSERT_EQUAL(sent_count, 1);
    CU_ASSERT_EQUAL(answers, 1);
    CU_ASSERT_EQUAL(last.reason, REASON_UPSTREAM_FAILED);
    CU_ASSERT_EQUAL(last.outcome, OUTCOME_UNKNOWN);
    request(BOOKING, 0);
    finish_attempt(1, ATTEMPT_ANSWERED, REASON_NONE, 500);
    CU_ASSERT_EQUAL(sent_count, 2);
    CU_ASSERT_EQUAL(last.outcome, OUTCOME_ANSWERED);
    stop();
}

/// Guards against giving up a booking of which it is proved that it has not
/// run, and against a refusal in place of the time that is left.
static void
test_booking_goes_on_after_a_proof(void)
{
    start();
    request(BOOKING, 0);
    finish_attempt(0, ATTEMPT_CONNECT_FAILED, REASON_NONE, 0);
    finish_attempt(1, ATTEMPT_REFUSED, REASON_LEAVING, 503);
    finish_attempt(2, ATTEMPT_REFUSED, REASON_UPSTREAM_SHED, 503);
    CU_ASSERT_EQUAL_FATAL(sent_count, 4);
    finish_attempt(3, ATTEMPT_REFUSED, REASON_OVERLOADED, 503);
    CU_ASSERT_EQUAL(answers, 1);
    CU_ASSERT_EQUAL(last.outcome, OUTCOME_NOT_RUN);
    CU_ASSERT_TRUE(last.retry_after_ms > 0);
    stop();
}

/// Guards against a chain that passes for one without pressure because a call
/// of it was held back here: its entry would go on starting such chains.
static void
test_call_that_is_held_back_reports_the_pressure(void)
{
    const uint64_t first = 77;
    const uint64_t second = 78;
    const request_context_t account = {.customer = "c",
                                       .deadline_us = INT64_MAX};
    start();
    request_contexts_add_with_id(&contexts, first, &account);
    request_contexts_add_with_id(&contexts, second, &account);
    const guard_load_t load = {.limit = 10, .min_worth = 90, .pressure = 900};
    for (int done = 0; done < SENT_MAX / 2; done++) {
        if (done == sent_count) {
            request("/hours/a", first);
        }
        if (done == sent_count) {
            break; // Held back.
        }
        entry_attempt_done(&entry, sent[done].call, sent[done].attempt,
                           &(attempt_result_t){.type = ATTEMPT_REFUSED,
                                               .reason = REASON_OVERLOADED,
                                               .has_load = true,
                                               .load = load});
    }
    int before = sent_count;
    request("/hours/b", second);
    CU_ASSERT_EQUAL(sent_count, before);
    CU_ASSERT_EQUAL(last.reason, REASON_OVERLOADED);
    CU_ASSERT_EQUAL(last.outcome, OUTCOME_NOT_RUN);
    CU_ASSERT_EQUAL(request_contexts_find(&contexts, second)->pressure, 900);
    stop();
}

/// Guards against more arrivals at servers than max_attempts (BUDGET), while
/// attempts that reached no server are free.
static void
test_attempts_that_reach_a_server_are_bounded(void)
{
    start();
    for (int i = 0; i < 20; i++) {
        service_retry_budget_add_first(&service_retries, "s", 100);
    }
    request(LOOKUP, 0);
    finish_attempt(0, ATTEMPT_CONNECT_FAILED, REASON_NONE, 0);
    finish_attempt(1, ATTEMPT_LOST, REASON_NONE, 0);
    finish_attempt(2, ATTEMPT_ANSWERED, REASON_NONE, 500);
    CU_ASSERT_EQUAL_FATAL(sent_count, 4);
    finish_attempt(3, ATTEMPT_ANSWERED, REASON_NONE, 500);
    CU_ASSERT_EQUAL(sent_count, 4);
    CU_ASSERT_EQUAL(answers, 1);
    CU_ASSERT_EQUAL(last.outcome, OUTCOME_ANSWERED);
    stop();
}

/// Guards against arrivals at servers that answer 421 and aren't counted: with
/// all entries out of date each attempt is one (BUDGET).
static void
test_arrivals_at_wrong_instances_are_bounded(void)
{
    start();
    for (int i = 0; i < 20; i++) {
        service_retry_budget_add_first(&service_retries, "s", 100);
    }
    request(LOOKUP, 0);
    for (int i = 0; i < sent_count && answers == 0; i++) {
        finish_attempt(i, ATTEMPT_REFUSED, REASON_WRONG_INSTANCE, 503);
    }
    CU_ASSERT_EQUAL(sent_count, 3);
    CU_ASSERT_EQUAL(last.outcome, OUTCOME_NOT_RUN);
    CU_ASSERT_TRUE(last.retry_after_ms > 0);
    stop();
}

/// Guards against calls of work that has started being refused where callers'
/// requests are (at a stop, under pressure), and against calls that outlive or
/// undercut the request that they are made for.
static void
test_calls_take_what_their_request_has(void)
{
    start();
    request_context_t parent = {.worth = 100,
                                .deadline_us = manual.now_us + 40 * US_PER_MS};
    CU_ASSERT_EQUAL(request_contexts_add_with_id(&contexts, PARENT, &parent),
                    PARENT);
    for (int i = 0; i < 100; i++) {
        entry_throttle_record(
            &gate, 1, 80,
            &(entry_throttle_report_t){.pressure_permille = 1000});
    }
    entry_refuse_callers(&entry);
    request(LOOKUP, 0);
    CU_ASSERT_EQUAL(sent_count, 0);
    CU_ASSERT_EQUAL(last.reason, REASON_LEAVING);
    CU_ASSERT_EQUAL(last.outcome, OUTCOME_NOT_RUN);
    request(LOOKUP, PARENT);
    CU_ASSERT_EQUAL_FATAL(sent_count, 1);
    CU_ASSERT_EQUAL(sent[0].info.worth, 100);
    CU_ASSERT_EQUAL(sent[0].info.budget_us, 40 * US_PER_MS);
    attempt_result_t result = {.type = ATTEMPT_ANSWERED,
                               .status = 200,
                               .has_load = true,
                               .load = {.pressure = 300}};
    entry_attempt_done(&entry, sent[0].call, 1, &result);
    CU_ASSERT_EQUAL(request_contexts_find(&contexts, PARENT)->pressure, 300);
    // An id that no running request has is that of a caller's request.
    request(LOOKUP, PARENT + 1);
    CU_ASSERT_EQUAL(sent_count, 1);
    stop();
}

/// Guards against work that goes on for callers that have gone or given up.
static void
test_timeouts_and_callers_that_go(void)
{
    start();
    call_handle_t lookup = request(LOOKUP, 0);
    entry_caller_disconnected(&entry, lookup);
    CU_ASSERT_TRUE(sent[0].cancelled);
    request(BOOKING, 0);
    manual_clock_advance(&manual, 1001 * US_PER_MS);
    entry_tick(&entry);
    CU_ASSERT_EQUAL(answers, 1);
    CU_ASSERT_EQUAL(last.reason, REASON_DEADLINE);
    CU_ASSERT_EQUAL(last.outcome, OUTCOME_UNKNOWN);
    CU_ASSERT_EQUAL(entry_in_flight(&entry), 0);
    stop();
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"held back", test_call_that_is_held_back_reports_the_pressure},
        {"lost", test_booking_is_not_sent_again_after_a_lost_answer},
        {"proof", test_booking_goes_on_after_a_proof},
        {"attempts", test_attempts_that_reach_a_server_are_bounded},
        {"wrong instances", test_arrivals_at_wrong_instances_are_bounded},
        {"calls", test_calls_take_what_their_request_has},
        {"timeouts", test_timeouts_and_callers_that_go},
        CU_TEST_INFO_NULL,
    };
    return run_suite("entry without keys", tests);
}
