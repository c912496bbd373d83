/// @file
/// Unit tests of the entry: keys, attempts, retry tokens, deadlines and
/// disconnected callers.

#include "ibisfield/call/entry.h"

#include "common/suite.h"

#define SENT_MAX 16

/// A caller; the user pointer of its requests.
typedef struct {
    int response_count;
    entry_response_t response;
} caller_t;

typedef struct {
    call_handle_t call;
    uint32_t attempt;
    vm_handle_t vm;
    attempt_info_t info;
    bool cancelled;
} sent_t;

static manual_clock_t manual;
static key_table_t keys;
static request_contexts_t contexts;
static picker_t picker;
static client_retry_budget_t client_retries;
static entry_t entry;
static contract_t contract;
static kind_t kinds[2];
static caller_t callers[4];
static sent_t sent[SENT_MAX];
static int sent_count;
static char forwarded_to[VM_NAME_MAX + 1];
static attempt_info_t forwarded_info;
static int cancelled_forward_count;

static void
fake_send(entry_io_t *io, call_handle_t call, void *user, uint32_t attempt,
          vm_handle_t vm, const attempt_info_t *info)
{
    (void)io;
    (void)user;
    if (sent_count < SENT_MAX) {
        sent[sent_count++] = (sent_t){call, attempt, vm, *info, false};
    }
}

static void
fake_cancel(entry_io_t *io, call_handle_t call, void *user, uint32_t attempt)
{
    (void)io;
    (void)user;
    cancelled_forward_count += attempt == 0;
    for (int i = 0; i < sent_count; i++) {
        sent[i].cancelled |=
            sent[i].call == call && sent[i].attempt == attempt;
    }
}

static void
fake_forward(entry_io_t *io, call_handle_t call, void *user,
             const char *vm_name, const attempt_info_t *info)
{
    (void)io;
    (void)call;
    (void)user;
    g_strlcpy(forwarded_to, vm_name, sizeof(forwarded_to));
    forwarded_info = *info;
}

static void
fake_respond(entry_io_t *io, call_handle_t call, void *user,
             const entry_response_t *response)
{
    (void)io;
    (void)call;
    caller_t *caller = user;
    caller->response_count++;
    caller->response = *response;
}

static const contract_t *
find_contract(void *context, slice_t customer)
{
    (void)context;
    return slice_equal_string(customer, contract.customer) ? &contract : NULL;
}

static void
make_contract(int32_t retries)
{
    kinds[0] =
        (kind_t){"hours", "info", "GET", "/hours", 10, 100, 0, RUN_IDEMPOTENT};
    kinds[1] =
        (kind_t){"book", "booking", "POST", "/book", 90, 100, 60, RUN_ONCE};
    contract = (contract_t){
        .customer = "c",
        .retries = retries,
        .client_retry_percent = 10,
        .kinds = kinds,
        .kind_count = 2,
    };
}

static void
start_stores(void)
{
    key_table_options_t key_options = {
        .vm = "vm-1",
        .incarnation = 4,
        .max_records = 4,
        .max_response_bytes = 100,
    };
    key_table_init(&keys, &manual.base, &key_options);
    request_contexts_init(&contexts, 8, 3);
    client_retry_budget_init(&client_retries, &manual.base);
    picker_options_t options = {.own_vm = "vm-1", .own_data_centre = "d"};
    picker_init(&picker, &manual.base, &options);
    static const char *const services[] = {"info", "booking"};
    for (int i = 0; i < 6; i++) {
        char name[] = {'v', (char)('0' + i), '\0'};
        picker_vm_t vm = {name, "d", services[i % 2], false};
        picker_set_vm(&picker, &vm);
    }
}

static void
start_entry(int32_t retries)
{
    static const entry_io_vtable_t vtable = {fake_send, fake_cancel,
                                             fake_forward, fake_respond};
    static entry_io_t io = {&vtable};
    memset(callers, 0, sizeof(callers));
    sent_count = 0;
    cancelled_forward_count = 0;
    manual_clock_init(&manual, US_PER_S);
    make_contract(retries);
    start_stores();
    entry_options_t options = {
        .clock = &manual.base,
        .io = &io,
        .lookup = find_contract,
        .picker = &picker,
        .keys = &keys,
        .contexts = &contexts,
        .client_retry_budget = &client_retries,
        .max_calls = 3,
        .seed = 1,
    };
    entry_init(&entry, &options);
    entry_set_ready(&entry, true);
}

static void
stop_entry(void)
{
    entry_finish(&entry);
    picker_finish(&picker);
    client_retry_budget_finish(&client_retries);
    request_contexts_finish(&contexts);
    key_table_finish(&keys);
}

static entry_request_t
request_of(uint32_t caller, bool book, const char *key)
{
    return (entry_request_t){
        .customer = SLICE_LITERAL("c"),
        .method = book ? SLICE_LITERAL("POST") : SLICE_LITERAL("GET"),
        .path = book ? SLICE_LITERAL("/book") : SLICE_LITERAL("/hours"),
        .request_hash = 7,
        .key = slice_from_string(key),
        .source_hash = 1,
        .user = &callers[caller],
    };
}

static call_handle_t
request(uint32_t caller, bool book, const char *key)
{
    entry_request_t incoming = request_of(caller, book, key);
    return entry_request(&entry, &incoming);
}

static void
finish_attempt(int number, attempt_result_type_t type, reason_t reason,
               uint32_t retry_tokens_left)
{
    attempt_result_t result = {
        .type = type,
        .reason = reason,
        .status = 200,
        .retry_tokens_left = retry_tokens_left,
        .response = SLICE_LITERAL("booked"),
    };
    entry_attempt_done(&entry, sent[number].call, sent[number].attempt,
                       &result);
}

static void
check_response(uint32_t caller, reason_t reason, outcome_t outcome)
{
    CU_ASSERT_EQUAL(callers[caller].response_count, 1);
    CU_ASSERT_EQUAL(callers[caller].response.reason, reason);
    CU_ASSERT_EQUAL(callers[caller].response.outcome, outcome);
}

/// Has a key issued to caller 3 and copies it to @p key.
static void
get_key(char key[KEY_TEXT_MAX + 1])
{
    callers[3] = (caller_t){0};
    CU_ASSERT_EQUAL(request(3, true, ""), 0);
    check_response(3, REASON_KEY_REQUIRED, OUTCOME_NOT_RUN);
    memcpy(key, callers[3].response.new_key, KEY_TEXT_MAX + 1);
}

/// Guards against refusals without a fault: a booking with its key is run
/// once, and later submissions of the key get the stored response.
static void
test_booking_runs_once_and_is_replayed(void)
{
    start_entry(2);
    char key[KEY_TEXT_MAX + 1];
    get_key(key);
    CU_ASSERT_NOT_EQUAL(request(0, true, key), 0);
    CU_ASSERT_TRUE(sent[0].info.at_most_once);
    CU_ASSERT_EQUAL(sent[0].info.retry_tokens, 1);
    CU_ASSERT_EQUAL(sent[0].info.response_timeout_us,
                    sent[0].info.budget_us + LATE_RESPONSE_WAIT_US);
    request(1, true, key);
    check_response(1, REASON_IN_PROGRESS, OUTCOME_UNKNOWN);
    finish_attempt(0, ATTEMPT_ANSWERED, REASON_NONE, 1);
    check_response(0, REASON_NONE, OUTCOME_ANSWERED);
    CU_ASSERT_EQUAL(callers[0].response.answered_attempt, 1);
    request(2, true, key);
    check_response(2, REASON_NONE, OUTCOME_ANSWERED);
    CU_ASSERT_TRUE(
        slice_equal_string(callers[2].response.stored_response, "booked"));
    CU_ASSERT_EQUAL(sent_count, 1);
    CU_ASSERT_EQUAL(entry_in_flight(&entry), 0);
    stop_entry();
}

/// Guards against a retry of a booking after an attempt that may have run, and
/// against giving up after an attempt that is known not to have run.
static void
test_booking_is_retried_only_if_not_run(void)
{
    start_entry(2);
    char key[KEY_TEXT_MAX + 1];
    get_key(key);
    request(0, true, key);
    finish_attempt(0, ATTEMPT_CONNECT_FAILED, REASON_NONE, 0);
    CU_ASSERT_EQUAL(sent_count, 2);
    CU_ASSERT_NOT_EQUAL(sent[0].vm, sent[1].vm);
    finish_attempt(1, ATTEMPT_LOST, REASON_NONE, 0);
    CU_ASSERT_EQUAL(sent_count, 2);
    check_response(0, REASON_UPSTREAM_FAILED, OUTCOME_UNKNOWN);
    CU_ASSERT_STRING_EQUAL(callers[0].response.new_key, "");
    request(1, true, key);
    check_response(1, REASON_UPSTREAM_FAILED, OUTCOME_UNKNOWN);
    stop_entry();
}

/// Guards against a retry of a booking of which bytes were sent, while there
/// are retry tokens for another attempt.
static void
test_booking_is_not_retried_after_sending(void)
{
    start_entry(2);
    char key[KEY_TEXT_MAX + 1];
    get_key(key);
    request(0, true, key);
    finish_attempt(0, ATTEMPT_LOST, REASON_NONE, 0);
    CU_ASSERT_EQUAL(sent_count, 1);
    check_response(0, REASON_UPSTREAM_FAILED, OUTCOME_UNKNOWN);
    stop_entry();
}

/// Guards against running a booking whose key was refused before, and against
/// a refusal without a Retry-After and a fresh key for the caller.
static void
test_refused_key_never_runs(void)
{
    start_entry(0);
    char key[KEY_TEXT_MAX + 1];
    get_key(key);
    request(0, true, key);
    finish_attempt(0, ATTEMPT_REFUSED, REASON_OVERLOADED, 0);
    check_response(0, REASON_OVERLOADED, OUTCOME_NOT_RUN);
    CU_ASSERT_TRUE(callers[0].response.retry_after_ms > 0);
    CU_ASSERT_STRING_NOT_EQUAL(callers[0].response.new_key, "");
    request(1, true, key);
    check_response(1, REASON_OVERLOADED, OUTCOME_NOT_RUN);
    CU_ASSERT_STRING_NOT_EQUAL(callers[1].response.new_key, "");
    CU_ASSERT_EQUAL(sent_count, 1);
    stop_entry();
}

/// Guards against losing the outcome of a booking when its caller stops
/// waiting: a late response is stored.
static void
test_late_responses_are_stored(void)
{
    start_entry(2);
    char key[KEY_TEXT_MAX + 1];
    get_key(key);
    request(0, true, key);
    manual_clock_advance(&manual, 100 * US_PER_MS);
    entry_tick(&entry);
    check_response(0, REASON_DEADLINE, OUTCOME_UNKNOWN);
    CU_ASSERT_FALSE(sent[0].cancelled);
    CU_ASSERT_EQUAL(entry_in_flight(&entry), 1);
    request(1, true, key);
    check_response(1, REASON_DEADLINE, OUTCOME_UNKNOWN);
    finish_attempt(0, ATTEMPT_ANSWERED, REASON_NONE, 0);
    CU_ASSERT_EQUAL(callers[0].response_count, 1);
    request(2, true, key);
    check_response(2, REASON_NONE, OUTCOME_ANSWERED);
    get_key(key);
    call_handle_t call = request(0, true, key);
    entry_caller_disconnected(&entry, call);
    CU_ASSERT_FALSE(sent[1].cancelled);
    manual_clock_advance(&manual, 100 * US_PER_MS + LATE_RESPONSE_WAIT_US);
    entry_tick(&entry);
    CU_ASSERT_EQUAL(entry_in_flight(&entry), 0);
    finish_attempt(1, ATTEMPT_ANSWERED, REASON_NONE, 0);
    CU_ASSERT_EQUAL(callers[0].response_count, 1);
    callers[1].response_count = 0;
    request(1, true, key);
    check_response(1, REASON_UPSTREAM_FAILED, OUTCOME_UNKNOWN);
    stop_entry();
}

/// Guards against retry tokens that are copied: retries and the tokens granted
/// to attempts come out of one budget, and those of a lost attempt are spent.
static void
test_retry_tokens_are_split(void)
{
    start_entry(3);
    request(0, false, "");
    CU_ASSERT_EQUAL(sent[0].info.retry_tokens, 2);
    finish_attempt(0, ATTEMPT_REFUSED, REASON_OVERLOADED, 100);
    CU_ASSERT_EQUAL(sent_count, 2);
    CU_ASSERT_EQUAL(sent[1].info.retry_tokens, 1);
    finish_attempt(1, ATTEMPT_LOST, REASON_NONE, 1);
    CU_ASSERT_EQUAL(sent_count, 3);
    CU_ASSERT_EQUAL(sent[2].info.retry_tokens, 0);
    finish_attempt(2, ATTEMPT_LOST, REASON_NONE, 0);
    check_response(0, REASON_UPSTREAM_FAILED, OUTCOME_UNKNOWN);
    stop_entry();
}

/// Guards against idempotent requests that go on running after their deadline
/// or after their caller has disconnected.
static void
test_idempotent_calls_are_cancelled(void)
{
    start_entry(1);
    call_handle_t call = request(0, false, "");
    entry_caller_disconnected(&entry, call);
    CU_ASSERT_TRUE(sent[0].cancelled);
    CU_ASSERT_EQUAL(callers[0].response_count, 0);
    CU_ASSERT_EQUAL(entry_in_flight(&entry), 0);
    request(1, false, "");
    manual_clock_advance(&manual, 100 * US_PER_MS);
    entry_tick(&entry);
    CU_ASSERT_TRUE(sent[1].cancelled);
    check_response(1, REASON_DEADLINE, OUTCOME_UNKNOWN);
    finish_attempt(1, ATTEMPT_ANSWERED, REASON_NONE, 0);
    CU_ASSERT_EQUAL(callers[1].response_count, 1);
    CU_ASSERT_EQUAL(entry_in_flight(&entry), 0);
    stop_entry();
}

/// Guards against hedges that cost no retry token, and against a second
/// response to the caller when both attempts get one.
static void
test_hedge_costs_one_retry_token(void)
{
    start_entry(2);
    call_handle_t call = request(0, false, "");
    CU_ASSERT_EQUAL(sent[0].info.retry_tokens, 1);
    uint32_t slot = slot_table_find(&entry.slots, call);
    entry.calls[slot].hedge_due_us = clock_now_us(&manual.base);
    entry_tick(&entry);
    CU_ASSERT_EQUAL(sent_count, 2);
    CU_ASSERT_EQUAL(sent[1].info.retry_tokens, 0);
    entry.calls[slot].hedge_due_us = clock_now_us(&manual.base);
    entry_tick(&entry);
    CU_ASSERT_EQUAL(sent_count, 2);
    finish_attempt(1, ATTEMPT_ANSWERED, REASON_NONE, 0);
    check_response(0, REASON_NONE, OUTCOME_ANSWERED);
    CU_ASSERT_EQUAL(callers[0].response.answered_attempt, 2);
    CU_ASSERT_TRUE(sent[0].cancelled);
    finish_attempt(0, ATTEMPT_ANSWERED, REASON_NONE, 1);
    CU_ASSERT_EQUAL(callers[0].response_count, 1);
    char key[KEY_TEXT_MAX + 1];
    get_key(key);
    call = request(1, true, key);
    CU_ASSERT_FALSE(
        entry.calls[slot_table_find(&entry.slots, call)].may_hedge);
    stop_entry();
}

/// Guards against an egress call with a later deadline or a lower worth than
/// its request context, with another customer, or with retry tokens of its
/// own.
static void
test_egress_call_uses_request_context(void)
{
    start_entry(3);
    request_context_t context = {
        .customer = "c",
        .worth = 50,
        .deadline_us = clock_now_us(&manual.base) + 40 * US_PER_MS,
        .retry_tokens = 3,
    };
    uint64_t id = request_contexts_add(&contexts, &context);
    entry_request_t child = request_of(0, false, "");
    child.customer = SLICE_LITERAL("other");
    child.egress = true;
    child.context_id = id;
    entry_request(&entry, &child);
    CU_ASSERT_STRING_EQUAL(sent[0].info.customer, "c");
    CU_ASSERT_EQUAL(sent[0].info.worth, 50);
    CU_ASSERT_EQUAL(sent[0].info.budget_us, 40 * US_PER_MS);
    CU_ASSERT_EQUAL(sent[0].info.retry_tokens, 2);
    CU_ASSERT_EQUAL(request_contexts_find(&contexts, id)->retry_tokens, 1);
    finish_attempt(0, ATTEMPT_ANSWERED, REASON_NONE, 2);
    CU_ASSERT_EQUAL(request_contexts_remove(&contexts, id), 3);
    child.customer = SLICE_LITERAL("c");
    entry_request(&entry, &child);
    CU_ASSERT_EQUAL(sent[1].info.retry_tokens, 0);
    finish_attempt(1, ATTEMPT_CONNECT_FAILED, REASON_NONE, 0);
    CU_ASSERT_EQUAL(sent_count, 2);
    CU_ASSERT_EQUAL(callers[0].response.reason, REASON_NO_UPSTREAM);
    stop_entry();
}

/// Guards against forwarding a request twice or giving it new retry tokens at
/// the owner, and against "not run" for a key that another node owns.
static void
test_keys_owned_by_other_nodes(void)
{
    static const char key[] =
        "ik1.vm-2.9.1.1.00000000000000000000000000000000";
    start_entry(3);
    call_handle_t call = request(0, true, key);
    CU_ASSERT_STRING_EQUAL(forwarded_to, "vm-2");
    CU_ASSERT_EQUAL(forwarded_info.retry_tokens, 2);
    CU_ASSERT_EQUAL(forwarded_info.worth, 90);
    entry_forward_done(&entry, call, false, false);
    check_response(0, REASON_KEY_OWNER_UNREACHABLE, OUTCOME_UNKNOWN);
    entry_request_t forwarded = request_of(1, true, key);
    forwarded.from_peer = true;
    entry_request(&entry, &forwarded);
    check_response(1, REASON_KEY_OWNER_UNREACHABLE, OUTCOME_UNKNOWN);
    char own[KEY_TEXT_MAX + 1];
    get_key(own);
    forwarded = request_of(2, true, own);
    forwarded.from_peer = true;
    forwarded.budget_us = 30 * US_PER_MS;
    forwarded.retry_tokens = 1;
    entry_request(&entry, &forwarded);
    CU_ASSERT_EQUAL(sent[0].info.budget_us, 30 * US_PER_MS);
    CU_ASSERT_EQUAL(sent[0].info.retry_tokens, 1);
    call = request(0, true, key);
    entry_caller_disconnected(&entry, call);
    CU_ASSERT_EQUAL(cancelled_forward_count, 1);
    CU_ASSERT_EQUAL(callers[0].response_count, 1);
    stop_entry();
}

/// Guards against refusing a keyed request as "not run" without its record: an
/// earlier submission of the key may have run.
static void
test_refusals_before_key_lookup(void)
{
    start_entry(0);
    char key[KEY_TEXT_MAX + 1];
    get_key(key);
    entry_request_t unknown = request_of(0, true, key);
    unknown.path = SLICE_LITERAL("/nowhere");
    entry_request(&entry, &unknown);
    check_response(0, REASON_NO_SUCH_KIND, OUTCOME_UNKNOWN);
    unknown.key = SLICE_LITERAL("");
    callers[0].response_count = 0;
    entry_request(&entry, &unknown);
    check_response(0, REASON_NO_SUCH_KIND, OUTCOME_NOT_RUN);
    entry_set_ready(&entry, false);
    request(1, true, key);
    check_response(1, REASON_NOT_READY, OUTCOME_UNKNOWN);
    entry_set_ready(&entry, true);
    entry_set_draining(&entry, true);
    request(2, true, "");
    check_response(2, REASON_LEAVING, OUTCOME_NOT_RUN);
    CU_ASSERT_STRING_EQUAL(callers[2].response.new_key, "");
    CU_ASSERT_NOT_EQUAL(request(3, true, key), 0);
    stop_entry();
}

/// Guards against more calls than max_calls, and against running a key later
/// that was refused for lack of a slot.
static void
test_all_call_slots_in_use(void)
{
    start_entry(0);
    char key[KEY_TEXT_MAX + 1];
    get_key(key);
    for (uint32_t i = 0; i < 3; i++) {
        CU_ASSERT_NOT_EQUAL(request(i, false, ""), 0);
    }
    callers[3].response_count = 0;
    request(3, true, key);
    check_response(3, REASON_OVERLOADED, OUTCOME_NOT_RUN);
    finish_attempt(0, ATTEMPT_ANSWERED, REASON_NONE, 0);
    callers[3].response_count = 0;
    request(3, true, key);
    check_response(3, REASON_OVERLOADED, OUTCOME_NOT_RUN);
    stop_entry();
}

/// Guards against refusing a polling client for ever after an overload: if a
/// refusal by the client retry budget counted, it would make the next request
/// a client retry again.
static void
test_polling_client_is_served_again(void)
{
    start_entry(0);
    for (uint32_t i = 0; i < 3; i++) {
        CU_ASSERT_NOT_EQUAL(request(i, false, ""), 0);
    }
    for (int i = 0; i < 20; i++) {
        CU_ASSERT_EQUAL(request(3, false, ""), 0);
    }
    CU_ASSERT_EQUAL(callers[3].response.reason, REASON_CUSTOMER_RETRY_BUDGET);
    finish_attempt(0, ATTEMPT_ANSWERED, REASON_NONE, 0);
    // The longest Retry-After is 1.5 s.
    int refused = 0;
    while (refused < 16 && request(3, false, "") == 0) {
        manual.now_us += 100 * US_PER_MS;
        refused++;
    }
    CU_ASSERT_TRUE(refused < 16);
    stop_entry();
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"answered and replayed", test_booking_runs_once_and_is_replayed},
        {"retry of a booking", test_booking_is_retried_only_if_not_run},
        {"booking after sending", test_booking_is_not_retried_after_sending},
        {"refused key", test_refused_key_never_runs},
        {"late responses", test_late_responses_are_stored},
        {"retry tokens", test_retry_tokens_are_split},
        {"cancelled work", test_idempotent_calls_are_cancelled},
        {"hedge", test_hedge_costs_one_retry_token},
        {"egress", test_egress_call_uses_request_context},
        {"keys of other nodes", test_keys_owned_by_other_nodes},
        {"early refusals", test_refusals_before_key_lookup},
        {"full entry", test_all_call_slots_in_use},
        {"polling source", test_polling_client_is_served_again},
        CU_TEST_INFO_NULL,
    };
    return run_suite("entry", tests);
}
