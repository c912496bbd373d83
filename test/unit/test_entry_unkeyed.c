/// @file
/// Unit tests of the entry with callers that send no keys and upstreams that
/// don't propagate headers: which requests are retried, and which are refused
/// before they start.

#include "ibisfield/call/entry.h"

#include "common/suite.h"

#define SENT_MAX 16
#define BOOKING "/book/x"
#define LOOKUP "/hours/x"
/// Id of a request that runs at the own upstream.
#define PARENT_ID 77

typedef struct {
    call_handle_t call;
    attempt_info_t info;
    uint32_t attempt;
    bool cancelled;
    vm_handle_t vm;
} sent_t;

static manual_clock_t manual;
static key_table_t keys;
static request_contexts_t contexts;
static picker_t picker;
static client_retry_budget_t client_retries;
static service_retry_budget_t service_retries;
static call_depths_t depths;
static entry_throttle_t throttle;
static entry_t entry;
static sent_t sent[SENT_MAX];
static int sent_count;
static int response_count;
static entry_response_t last_response;

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
    CU_ASSERT_FATAL(sent_count < SENT_MAX);
    sent[sent_count++] = (sent_t){call, *info, attempt, false, vm};
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
fake_respond(entry_io_t *io, call_handle_t call, void *user,
             const entry_response_t *response)
{
    (void)io;
    (void)call;
    (void)user;
    response_count++;
    last_response = *response;
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
        .send = fake_send, .cancel = fake_cancel, .respond = fake_respond};
    static entry_io_t io = {&vtable};
    static const char *const vms[] = {"v1", "v2", "v3", "v4"};
    sent_count = 0;
    response_count = 0;
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
    entry_throttle_init(&throttle, &manual.base, 1);
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
                                  .throttle = &throttle});
    entry_set_ready(&entry, true);
}

static void
stop(void)
{
    entry_finish(&entry);
    picker_finish(&picker);
    entry_throttle_finish(&throttle);
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
                                     .context_id = parent,
                                     .budget_us = 5 * US_PER_S,
                                 });
}

static void
finish_attempt(int number, attempt_result_type_t type, reason_t reason,
               int status)
{
    entry_attempt_done(
        &entry, sent[number].call, sent[number].attempt,
        &(attempt_result_t){.type = type, .reason = reason, .status = status});
}

/// Guards against a booking that runs twice, and against telling its caller
/// "not run" when it may have run.
static void
test_booking_is_not_retried_after_lost_response(void)
{
    start();
    request(BOOKING, 0);
    CU_ASSERT_EQUAL_FATAL(sent_count, 1);
    CU_ASSERT_TRUE(sent[0].info.at_most_once);
    finish_attempt(0, ATTEMPT_LOST, REASON_NONE, 0);
    CU_ASSERT_EQUAL(sent_count, 1);
    CU_ASSERT_EQUAL(response_count, 1);
    CU_ASSERT_EQUAL(last_response.reason, REASON_UPSTREAM_FAILED);
    CU_ASSERT_EQUAL(last_response.outcome, OUTCOME_UNKNOWN);
    request(BOOKING, 0);
    finish_attempt(1, ATTEMPT_ANSWERED, REASON_NONE, 500);
    CU_ASSERT_EQUAL(sent_count, 2);
    CU_ASSERT_EQUAL(last_response.outcome, OUTCOME_ANSWERED);
    stop();
}

/// Guards against refusing a booking while there is time left, although each
/// attempt is known not to have run.
static void
test_booking_is_retried_while_not_run(void)
{
    start();
    request(BOOKING, 0);
    finish_attempt(0, ATTEMPT_CONNECT_FAILED, REASON_NONE, 0);
    finish_attempt(1, ATTEMPT_REFUSED, REASON_LEAVING, 503);
    finish_attempt(2, ATTEMPT_REFUSED, REASON_UPSTREAM_SHED, 503);
    CU_ASSERT_EQUAL_FATAL(sent_count, 4);
    finish_attempt(3, ATTEMPT_REFUSED, REASON_OVERLOADED, 503);
    CU_ASSERT_EQUAL(response_count, 1);
    CU_ASSERT_EQUAL(last_response.outcome, OUTCOME_NOT_RUN);
    CU_ASSERT_TRUE(last_response.retry_after_ms > 0);
    stop();
}

/// Guards against losing the pressure when a call is refused at the sender:
/// its call chain would seem to be without pressure, and the entry at its
/// start would go on starting such chains.
static void
test_call_refused_at_sender_records_pressure(void)
{
    const uint64_t first = 77;
    const uint64_t second = 78;
    const request_context_t context = {.customer = "c",
                                       .deadline_us = INT64_MAX};
    start();
    request_contexts_add_with_id(&contexts, first, &context);
    request_contexts_add_with_id(&contexts, second, &context);
    const guard_load_t load = {.limit = 10, .min_worth = 90, .pressure = 900};
    for (int done = 0; done < SENT_MAX / 2; done++) {
        if (done == sent_count) {
            request("/hours/a", first);
        }
        if (done == sent_count) {
            break; // Refused at the sender.
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
    CU_ASSERT_EQUAL(last_response.reason, REASON_OVERLOADED);
    CU_ASSERT_EQUAL(last_response.outcome, OUTCOME_NOT_RUN);
    CU_ASSERT_EQUAL(request_contexts_find(&contexts, second)->pressure, 900);
    stop();
}

/// Guards against more attempts that reach an upstream than max_attempts.
/// Attempts that reach none are free.
static void
test_attempts_reaching_an_upstream_are_bounded(void)
{
    start();
    for (int i = 0; i < 20; i++) {
        service_retry_budget_record_first_attempt(&service_retries, "s", 100);
    }
    request(LOOKUP, 0);
    finish_attempt(0, ATTEMPT_CONNECT_FAILED, REASON_NONE, 0);
    finish_attempt(1, ATTEMPT_LOST, REASON_NONE, 0);
    finish_attempt(2, ATTEMPT_ANSWERED, REASON_NONE, 500);
    CU_ASSERT_EQUAL_FATAL(sent_count, 4);
    finish_attempt(3, ATTEMPT_ANSWERED, REASON_NONE, 500);
    CU_ASSERT_EQUAL(sent_count, 4);
    CU_ASSERT_EQUAL(response_count, 1);
    CU_ASSERT_EQUAL(last_response.outcome, OUTCOME_ANSWERED);
    stop();
}

/// Guards against not counting attempts at instances that respond with 421: if
/// the whole VM list is out of date, each attempt is one of these and reaches
/// an upstream.
static void
test_attempts_at_wrong_instances_are_bounded(void)
{
    start();
    for (int i = 0; i < 20; i++) {
        service_retry_budget_record_first_attempt(&service_retries, "s", 100);
    }
    request(LOOKUP, 0);
    for (int i = 0; i < sent_count && response_count == 0; i++) {
        finish_attempt(i, ATTEMPT_REFUSED, REASON_WRONG_INSTANCE, 503);
    }
    CU_ASSERT_EQUAL(sent_count, 3);
    CU_ASSERT_EQUAL(last_response.outcome, OUTCOME_NOT_RUN);
    CU_ASSERT_TRUE(last_response.retry_after_ms > 0);
    stop();
}

/// Guards against refusing the calls of a request that has started where
/// callers' requests are refused (during shutdown or under pressure), and
/// against calls with a later deadline or a lower worth than the request that
/// they are made for.
static void
test_calls_inherit_from_their_request(void)
{
    start();
    request_context_t parent = {.worth = 100,
                                .deadline_us = manual.now_us + 40 * US_PER_MS};
    CU_ASSERT_EQUAL(
        request_contexts_add_with_id(&contexts, PARENT_ID, &parent),
        PARENT_ID);
    for (int i = 0; i < 100; i++) {
        entry_throttle_record(
            &throttle, 1, 80,
            &(entry_throttle_report_t){.pressure_permille = 1000});
    }
    entry_refuse_callers(&entry);
    request(LOOKUP, 0);
    CU_ASSERT_EQUAL(sent_count, 0);
    CU_ASSERT_EQUAL(last_response.reason, REASON_LEAVING);
    CU_ASSERT_EQUAL(last_response.outcome, OUTCOME_NOT_RUN);
    request(LOOKUP, PARENT_ID);
    CU_ASSERT_EQUAL_FATAL(sent_count, 1);
    CU_ASSERT_EQUAL(sent[0].info.worth, 100);
    CU_ASSERT_EQUAL(sent[0].info.budget_us, 40 * US_PER_MS);
    attempt_result_t result = {.type = ATTEMPT_ANSWERED,
                               .status = 200,
                               .has_load = true,
                               .load = {.pressure = 300}};
    entry_attempt_done(&entry, sent[0].call, 1, &result);
    CU_ASSERT_EQUAL(request_contexts_find(&contexts, PARENT_ID)->pressure,
                    300);
    // With an id that no running request has, a request counts as a caller's.
    request(LOOKUP, PARENT_ID + 1);
    CU_ASSERT_EQUAL(sent_count, 1);
    stop();
}

/// Guards against calls that go on after their caller has disconnected or
/// their deadline has passed.
static void
test_timeouts_and_disconnected_callers(void)
{
    start();
    call_handle_t lookup = request(LOOKUP, 0);
    entry_caller_disconnected(&entry, lookup);
    CU_ASSERT_TRUE(sent[0].cancelled);
    request(BOOKING, 0);
    manual_clock_advance(&manual, 1001 * US_PER_MS);
    entry_tick(&entry);
    CU_ASSERT_EQUAL(response_count, 1);
    CU_ASSERT_EQUAL(last_response.reason, REASON_DEADLINE);
    CU_ASSERT_EQUAL(last_response.outcome, OUTCOME_UNKNOWN);
    CU_ASSERT_EQUAL(entry_in_flight(&entry), 0);
    stop();
}

#define LEARNED_LATENCY_US (500 * US_PER_MS)

static void
answer_after(int number, int64_t latency_us)
{
    manual_clock_advance(&manual, latency_us);
    finish_attempt(number, ATTEMPT_ANSWERED, REASON_NONE, 200);
}

/// Starts an entry that has learned the latency of LOOKUP and whose process
/// ends after @p left_us. Callers' requests are refused; the request PARENT_ID
/// still runs at the own upstream.
static void
start_ending(int64_t left_us)
{
    start();
    request_context_t parent = {.worth = 100, .deadline_us = INT64_MAX};
    request_contexts_add_with_id(&contexts, PARENT_ID, &parent);
    for (int i = 0; i < 8; i++) {
        request(LOOKUP, 0);
        answer_after(i, LEARNED_LATENCY_US);
    }
    CU_ASSERT_EQUAL(response_count, 8);
    sent_count = 0;
    response_count = 0;
    entry_refuse_callers(&entry);
    entry_set_end(&entry, &(serving_end_t){.end_us = manual.now_us + left_us,
                                           .proof_from_us = INT64_MAX});
}

/// The same, but late in the stop: requests need a proof that they end.
static void
start_ending_late(int64_t left_us)
{
    start_ending(left_us + 50 * US_PER_MS);
    entry_set_end(&entry,
                  &(serving_end_t){
                      .end_us = manual.now_us + left_us + 50 * US_PER_MS,
                      .proof_from_us = manual.now_us,
                      .proof_end_us = manual.now_us + left_us,
                  });
}

/// Guards against late calls of a kind that nobody has timed, which the end of
/// the process breaks off (review/4): the entry leaves them to the guard, also
/// repeats. Calls of known kinds start as long as they fit, and any call whose
/// deadline passes before the end.
static void
test_late_calls_need_a_proof(void)
{
    start_ending_late(700 * US_PER_MS);
    request(BOOKING, PARENT_ID);
    CU_ASSERT_EQUAL_FATAL(sent_count, 1);
    CU_ASSERT_TRUE(sent[0].info.must_end);
    CU_ASSERT_EQUAL(sent[0].info.run_us, 700 * US_PER_MS);
    for (int i = 0; response_count == 0; i++) {
        CU_ASSERT_TRUE(sent[i].info.must_end);
        finish_attempt(i, ATTEMPT_REFUSED, REASON_DEADLINE, 503);
    }
    CU_ASSERT_TRUE(sent_count > 1);
    CU_ASSERT_EQUAL(last_response.outcome, OUTCOME_NOT_RUN);
    sent_count = 0;
    request(LOOKUP, PARENT_ID);
    CU_ASSERT_EQUAL_FATAL(sent_count, 1);
    CU_ASSERT_FALSE(sent[0].info.must_end);
    manual_clock_advance(&manual, 350 * US_PER_MS);
    request(LOOKUP, PARENT_ID);
    CU_ASSERT_EQUAL(sent_count, 1);
    CU_ASSERT_EQUAL(last_response.reason, REASON_LEAVING);
    const uint64_t soon = PARENT_ID + 1;
    request_context_t parent = {
        .worth = 100, .deadline_us = manual.now_us + 340 * US_PER_MS};
    request_contexts_add_with_id(&contexts, soon, &parent);
    request(BOOKING, soon);
    CU_ASSERT_EQUAL_FATAL(sent_count, 2);
    CU_ASSERT_FALSE(sent[1].info.must_end);
    stop();
}

/// Guards against calls that a stopping node takes and breaks off at its end
/// while their server is at work (review/4): they are refused as not run.
static void
test_calls_that_outlast_the_process_are_refused(void)
{
    start_ending(400 * US_PER_MS);
    request(LOOKUP, PARENT_ID);
    CU_ASSERT_EQUAL(sent_count, 0);
    CU_ASSERT_EQUAL(response_count, 1);
    CU_ASSERT_EQUAL(last_response.reason, REASON_LEAVING);
    CU_ASSERT_EQUAL(last_response.outcome, OUTCOME_NOT_RUN);
    stop();
}

/// Guards against refusals of calls that end before the process: by how long
/// such calls take, by their deadline, or of a kind that hasn't been called.
static void
test_calls_that_end_in_time_are_accepted(void)
{
    start_ending(700 * US_PER_MS);
    request(LOOKUP, PARENT_ID);
    CU_ASSERT_EQUAL_FATAL(sent_count, 1);
    CU_ASSERT_EQUAL(sent[0].info.budget_us, 1000 * US_PER_MS);
    CU_ASSERT_EQUAL(sent[0].info.run_us, 700 * US_PER_MS);
    answer_after(0, LEARNED_LATENCY_US);
    CU_ASSERT_EQUAL(last_response.outcome, OUTCOME_ANSWERED);
    stop();
    start_ending(400 * US_PER_MS);
    request(BOOKING, PARENT_ID);
    CU_ASSERT_EQUAL_FATAL(sent_count, 1);
    CU_ASSERT_EQUAL(sent[0].info.run_us, 400 * US_PER_MS);
    const uint64_t soon = PARENT_ID + 1;
    request_context_t parent = {
        .worth = 100, .deadline_us = manual.now_us + 390 * US_PER_MS};
    request_contexts_add_with_id(&contexts, soon, &parent);
    request(LOOKUP, soon);
    CU_ASSERT_EQUAL_FATAL(sent_count, 2);
    CU_ASSERT_EQUAL(sent[1].info.run_us, 390 * US_PER_MS);
    stop();
}

/// Guards against further calls of a kind of which none has ended yet, when
/// those under way have taken longer than the time that is left.
static void
test_calls_under_way_show_how_long_others_take(void)
{
    start_ending(900 * US_PER_MS);
    request(BOOKING, PARENT_ID);
    manual_clock_advance(&manual, 300 * US_PER_MS);
    request(BOOKING, PARENT_ID);
    CU_ASSERT_EQUAL(sent_count, 2);
    manual_clock_advance(&manual, 200 * US_PER_MS);
    request(BOOKING, PARENT_ID);
    CU_ASSERT_EQUAL(sent_count, 2);
    CU_ASSERT_EQUAL(last_response.reason, REASON_LEAVING);
    CU_ASSERT_EQUAL(last_response.outcome, OUTCOME_NOT_RUN);
    stop();
}

/// Guards against repeats that begin so late that the end of the process
/// breaks them off.
static void
test_no_repeat_outlasts_the_process(void)
{
    start_ending(700 * US_PER_MS);
    request(LOOKUP, PARENT_ID);
    CU_ASSERT_EQUAL_FATAL(sent_count, 1);
    manual_clock_advance(&manual, 100 * US_PER_MS);
    finish_attempt(0, ATTEMPT_REFUSED, REASON_LEAVING, 503);
    CU_ASSERT_EQUAL_FATAL(sent_count, 2);
    manual_clock_advance(&manual, 200 * US_PER_MS);
    finish_attempt(1, ATTEMPT_REFUSED, REASON_OVERLOADED, 503);
    CU_ASSERT_EQUAL(sent_count, 2);
    CU_ASSERT_EQUAL(response_count, 1);
    CU_ASSERT_EQUAL(last_response.outcome, OUTCOME_NOT_RUN);
    stop();
}

/// Guards against a request that waits at a full VM while others have room,
/// one that is refused although it could wait, and guards' refusals for
/// another choice that count as overload or as retries.
static void
test_full_vm_is_exchanged_for_another(void)
{
    start();
    request(BOOKING, 0);
    CU_ASSERT_EQUAL_FATAL(sent_count, 1);
    CU_ASSERT_TRUE(sent[0].info.may_redirect);
    finish_attempt(0, ATTEMPT_REFUSED, REASON_BUSY, 503);
    CU_ASSERT_EQUAL_FATAL(sent_count, 2);
    CU_ASSERT_TRUE(sent[1].info.may_redirect);
    CU_ASSERT_FALSE(sent[1].info.is_retry);
    finish_attempt(1, ATTEMPT_REFUSED, REASON_BUSY, 503);
    // The third attempt waits at one of those whose load is known.
    CU_ASSERT_EQUAL_FATAL(sent_count, 3);
    CU_ASSERT_FALSE(sent[2].info.may_redirect);
    CU_ASSERT_EQUAL(response_count, 0);
    finish_attempt(2, ATTEMPT_ANSWERED, REASON_NONE, 200);
    CU_ASSERT_EQUAL(last_response.outcome, OUTCOME_ANSWERED);
    // An overloaded service isn't asked twice for each request.
    request(BOOKING, 0);
    finish_attempt(3, ATTEMPT_REFUSED, REASON_OVERLOADED, 503);
    CU_ASSERT_EQUAL_FATAL(sent_count, 5);
    CU_ASSERT_FALSE(sent[4].info.may_redirect);
    stop();
}

/// Guards against a request that is refused because the VM at which it waited
/// leaves, although another one, which was only busy, would take it.
static void
test_busy_vm_is_asked_again_when_another_leaves(void)
{
    start();
    request(BOOKING, 0);
    finish_attempt(0, ATTEMPT_REFUSED, REASON_BUSY, 503);
    finish_attempt(1, ATTEMPT_REFUSED, REASON_BUSY, 503);
    CU_ASSERT_EQUAL_FATAL(sent_count, 3);
    vm_handle_t only_busy = sent[2].vm == sent[0].vm ? sent[1].vm : sent[0].vm;
    for (int i = 2; i < 5 && sent[i].vm != only_busy; i++) {
        finish_attempt(i, ATTEMPT_REFUSED, REASON_LEAVING, 503);
        CU_ASSERT_EQUAL_FATAL(sent_count, i + 2);
    }
    CU_ASSERT_EQUAL(sent[sent_count - 1].vm, only_busy);
    finish_attempt(sent_count - 1, ATTEMPT_ANSWERED, REASON_NONE, 200);
    CU_ASSERT_EQUAL(last_response.outcome, OUTCOME_ANSWERED);
    stop();
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"refused at the sender",
         test_call_refused_at_sender_records_pressure},
        {"lost response", test_booking_is_not_retried_after_lost_response},
        {"not run", test_booking_is_retried_while_not_run},
        {"attempts", test_attempts_reaching_an_upstream_are_bounded},
        {"wrong instances", test_attempts_at_wrong_instances_are_bounded},
        {"calls of a request", test_calls_inherit_from_their_request},
        {"calls that outlast the process",
         test_calls_that_outlast_the_process_are_refused},
        {"calls that end in time", test_calls_that_end_in_time_are_accepted},
        {"calls under way", test_calls_under_way_show_how_long_others_take},
        {"late calls need a proof", test_late_calls_need_a_proof},
        {"full VM", test_full_vm_is_exchanged_for_another},
        {"busy VM asked again",
         test_busy_vm_is_asked_again_when_another_leaves},
        {"late repeats", test_no_repeat_outlasts_the_process},
        {"timeouts", test_timeouts_and_disconnected_callers},
        CU_TEST_INFO_NULL,
    };
    return run_suite("entry without keys", tests);
}
