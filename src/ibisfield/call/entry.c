/// @file
/// Accepts requests of callers, of the own upstream and of other nodes, and
/// owns each call until it is answered and its key has an outcome.

#include "ibisfield/call/entry.h"

#include <xxhash.h>

#include "ibisfield/base/metrics.h"
#include "ibisfield/call/entry_attempts.h"
#include "ibisfield/routing/traffic_split.h"

/// Initialises the entry; it isn't ready until entry_set_ready().
void
entry_init(entry_t *entry, const entry_options_t *options)
{
    *entry = (entry_t){
        .options = *options,
        .calls = g_new0(entry_call_t, options->max_calls),
        .random = g_rand_new_with_seed(options->seed),
    };
    slot_table_init(&entry->slots, options->max_calls);
}

/// Frees the entry; calls in flight are forgotten without an answer.
void
entry_finish(entry_t *entry)
{
    g_rand_free(entry->random);
    g_free(entry->calls);
    slot_table_finish(&entry->slots);
}

/// What is known about a request before it becomes a call.
typedef struct {
    const entry_request_t *request;
    const contract_t *contract;
    const kind_t *kind;
    const request_context_t *account; ///< NULL if it draws from none
    int64_t key_ttl_us;               ///< 0 if the kind needs no key
} entry_intake_t;

static uint64_t
kind_hash_of(const entry_intake_t *intake)
{
    const char *customer = intake->contract->customer;
    const char *kind = intake->kind->name;
    uint64_t hash = XXH3_64bits(customer, strlen(customer));
    return XXH3_64bits_withSeed(kind, strlen(kind), hash);
}

/// Refuses a request that has no call.
static void
refuse(entry_t *entry, const entry_intake_t *intake, reason_t reason,
       outcome_t outcome, const char *new_key)
{
    entry_response_t answer = {
        .reason = reason,
        .outcome = outcome,
        .retry_after_ms = entry_retry_after_ms(entry, reason, outcome),
    };
    answer.kind = intake->kind == NULL ? NULL : intake->kind->name;
    if (reason == REASON_OVERLOADED && entry->options.throttle != NULL &&
        intake->kind != NULL)
    {
        answer.pressure = entry_throttle_pressure(entry->options.throttle,
                                                  kind_hash_of(intake));
    }
    if (new_key != NULL) {
        g_strlcpy(answer.new_key, new_key, sizeof(answer.new_key));
    }
    const entry_request_t *request = intake->request;
    // A refusal by the budget itself doesn't prolong the time in which
    // requests count as retries: a source that polls would never be served
    // again.
    if (outcome == OUTCOME_NOT_RUN && answer.retry_after_ms > 0 &&
        reason != REASON_CUSTOMER_RETRY_BUDGET && intake->kind != NULL &&
        request->source_hash != 0)
    {
        client_retry_budget_add_refusal(
            entry->options.client_retry_budget,
            slice_from_string(intake->contract->customer),
            slice_from_string(intake->kind->name), request->source_hash,
            answer.retry_after_ms);
    }
    entry_count_outcome(outcome);
    entry->options.io->vtable->respond(entry->options.io, 0, request->user,
                                       &answer);
}

/// Refuses a request before its key is looked at. "Not run" can't be said of
/// a key without its record: an earlier submission may have run.
static void
refuse_early(entry_t *entry, const entry_intake_t *intake, reason_t reason)
{
    refuse(entry, intake, reason,
           intake->request->key.len > 0 ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN,
           NULL);
}

static int64_t
deadline_of(const entry_t *entry, const entry_intake_t *intake)
{
    int64_t now_us = clock_now_us(entry->options.clock);
    int64_t deadline_us = now_us + intake->kind->deadline_ms * US_PER_MS;
    if (intake->account != NULL) {
        deadline_us = MIN(deadline_us, intake->account->deadline_us);
    }
    if (intake->request->from_peer || intake->request->budget_us > 0) {
        deadline_us = MIN(deadline_us, now_us + intake->request->budget_us);
    }
    return deadline_us;
}

static int32_t
worth_of(const entry_intake_t *intake)
{
    int32_t worth = intake->kind->worth;
    if (intake->account != NULL) {
        worth = MAX(worth, intake->account->worth);
    }
    if (intake->request->from_peer) {
        worth = MAX(worth, MIN(intake->request->worth, CONTRACT_WORTH_MAX));
    }
    return worth;
}

/// Units of a call that has no account. A request of the own upstream without
/// a valid account gets none, else each hop would add its own.
static uint32_t
units_of(const entry_intake_t *intake, bool no_context_propagation)
{
    uint32_t retries =
        (uint32_t)kind_limits(intake->contract, intake->kind).attempts_max - 1;
    if (intake->request->egress && !no_context_propagation) {
        return 0;
    }
    return intake->request->from_peer
               ? MIN(intake->request->retry_tokens, retries)
               : retries;
}

/// Makes a call of a request. Returns NULL if all slots are in use.
static entry_call_t *
make_call(entry_t *entry, const entry_intake_t *intake)
{
    call_handle_t handle = slot_table_acquire(&entry->slots);
    if (handle == 0) {
        return NULL;
    }
    metric_set(METRIC_CALLS_IN_FLIGHT, entry->slots.count);
    const entry_request_t *request = intake->request;
    entry_call_t *call = entry_find_call(entry, handle);
    *call = (entry_call_t){
        .handle = handle,
        .user = request->user,
        .caller_waiting = true,
        .has_key = request->key.len > 0,
        .unkeyed_non_idempotent = intake->kind->run == RUN_ONCE_UNKEYED,
        .may_hedge = request->key.len == 0 &&
                     kind_limits(intake->contract, intake->kind).hedge,
        .token_context_id =
            intake->account == NULL || entry->options.no_context_propagation
                ? 0
                : request->request_id,
        .parent_context_id = intake->account == NULL ? 0 : request->request_id,
        .retry_tokens =
            units_of(intake, entry->options.no_context_propagation),
        .is_retry = intake->account != NULL && intake->account->is_retry,
        .source_hash = request->source_hash,
        .kind_hash = kind_hash_of(intake),
        .worth = worth_of(intake),
        .deadline_us = deadline_of(entry, intake),
        .key_ttl_us = intake->key_ttl_us,
    };
    call->wait_end_us =
        call->deadline_us + (call->has_key ? LATE_RESPONSE_WAIT_US : 0);
    g_strlcpy(call->customer, intake->contract->customer,
              sizeof(call->customer));
    g_strlcpy(call->kind, intake->kind->name, sizeof(call->kind));
    g_strlcpy(call->service, traffic_split_next(intake->kind),
              sizeof(call->service));
    if (intake->account != NULL && entry->options.depths != NULL) {
        call_depths_record_call(entry->options.depths, call->service);
    }
    return call;
}

static bool
client_may_send(entry_t *entry, const entry_intake_t *intake)
{
    return intake->request->source_hash == 0 || intake->request->egress ||
           client_retry_budget_admit(
               entry->options.client_retry_budget,
               slice_from_string(intake->contract->customer),
               slice_from_string(intake->kind->name),
               intake->request->source_hash,
               intake->contract->client_retry_percent);
}

/// Refuses a request of an unrepeatable kind that has no key with a fresh one.
static void
require_key(entry_t *entry, const entry_intake_t *intake)
{
    char key[KEY_TEXT_MAX + 1];
    if (entry->draining) {
        refuse(entry, intake, REASON_LEAVING, OUTCOME_NOT_RUN, NULL);
    }
    else if (!key_table_issue(entry->options.keys,
                              slice_from_string(intake->contract->customer),
                              intake->key_ttl_us, key))
    {
        refuse(entry, intake, REASON_OVERLOADED, OUTCOME_NOT_RUN, NULL);
    }
    else {
        refuse(entry, intake, REASON_KEY_REQUIRED, OUTCOME_NOT_RUN, key);
    }
}

/// Whether a request that isn't a call of the own upstream may start. Calls
/// belong to work that has started, which is carried to its end.
static bool
may_start(entry_t *entry, const entry_intake_t *intake, reason_t *reason)
{
    if (intake->account != NULL) {
        return true;
    }
    if (entry->refuses_callers) {
        *reason = REASON_LEAVING;
        return false;
    }
    if (entry->options.throttle != NULL &&
        entry_throttle_refuses(entry->options.throttle, kind_hash_of(intake),
                               intake->kind->worth))
    {
        metric_increment(METRIC_CALLS_HELD_OFF_TOTAL);
        *reason = REASON_OVERLOADED;
        return false;
    }
    return true;
}

static call_handle_t
request_without_key(entry_t *entry, const entry_intake_t *intake)
{
    if (!client_may_send(entry, intake)) {
        refuse(entry, intake, REASON_CUSTOMER_RETRY_BUDGET, OUTCOME_NOT_RUN,
               NULL);
        return 0;
    }
    reason_t reason = REASON_NONE;
    if (!may_start(entry, intake, &reason)) {
        refuse(entry, intake, reason, OUTCOME_NOT_RUN, NULL);
        return 0;
    }
    if (intake->kind->run == RUN_ONCE) {
        require_key(entry, intake);
        return 0;
    }
    entry_call_t *call = make_call(entry, intake);
    if (call == NULL) {
        refuse(entry, intake, REASON_OVERLOADED, OUTCOME_NOT_RUN, NULL);
        return 0;
    }
    call_handle_t handle = call->handle;
    entry_start_call(entry, call);
    return entry_find_call(entry, handle) == NULL ? 0 : handle;
}

/// Sends a request to the node that owns its key. A request that was already
/// forwarded has reached the wrong node and goes no further.
static call_handle_t
forward(entry_t *entry, const entry_intake_t *intake, const char *owner)
{
    if (intake->request->from_peer) {
        refuse(entry, intake, REASON_KEY_OWNER_UNREACHABLE, OUTCOME_UNKNOWN,
               NULL);
        return 0;
    }
    entry_call_t *call = make_call(entry, intake);
    if (call == NULL) {
        refuse(entry, intake, REASON_OVERLOADED, OUTCOME_UNKNOWN, NULL);
        return 0;
    }
    call->forwarded = true;
    call->wait_end_us = call->deadline_us;
    int64_t budget_us = call->deadline_us - clock_now_us(entry->options.clock);
    attempt_info_t info = {
        .customer = call->customer,
        .kind = call->kind,
        .service = call->service,
        .worth = call->worth,
        .budget_us = budget_us,
        .response_timeout_us = budget_us,
        .retry_tokens = entry_grant_tokens(entry, call),
        .at_most_once = true,
    };
    entry->options.io->vtable->forward(entry->options.io, call->handle,
                                       call->user, owner, &info);
    return call->handle;
}

/// Runs the first submission of a key. Every refusal from here on is recorded
/// under the key, so that it is final.
static call_handle_t
run_key(entry_t *entry, const entry_intake_t *intake, key_handle_t key)
{
    entry_call_t *call = make_call(entry, intake);
    if (call == NULL) {
        key_table_set_refused(entry->options.keys, key, REASON_OVERLOADED);
        refuse(entry, intake, REASON_OVERLOADED, OUTCOME_NOT_RUN, NULL);
        return 0;
    }
    call->key = key;
    call_handle_t handle = call->handle;
    if (!client_may_send(entry, intake)) {
        entry_refuse_call(entry, call, REASON_CUSTOMER_RETRY_BUDGET,
                          OUTCOME_NOT_RUN);
    }
    else if (clock_now_us(entry->options.clock) >= call->deadline_us) {
        entry_refuse_call(entry, call, REASON_DEADLINE, OUTCOME_NOT_RUN);
    }
    else {
        entry_start_call(entry, call);
    }
    return entry_find_call(entry, handle) == NULL ? 0 : handle;
}

static void
replay(entry_t *entry, const entry_intake_t *intake, slice_t stored)
{
    entry_response_t answer = {
        .reason = REASON_NONE,
        .outcome = OUTCOME_ANSWERED,
        .stored_response = stored,
    };
    entry_count_outcome(OUTCOME_ANSWERED);
    entry->options.io->vtable->respond(entry->options.io, 0,
                                       intake->request->user, &answer);
}

/// Repeats a final refusal; the fresh key allows another request.
static void
repeat_refusal(entry_t *entry, const entry_intake_t *intake, reason_t reason)
{
    char key[KEY_TEXT_MAX + 1] = "";
    if (!entry->draining && intake->key_ttl_us > 0) {
        key_table_issue(entry->options.keys,
                        slice_from_string(intake->contract->customer),
                        intake->key_ttl_us, key);
    }
    refuse(entry, intake, reason, OUTCOME_NOT_RUN, key);
}

static call_handle_t
request_with_key(entry_t *entry, const entry_intake_t *intake)
{
    const entry_request_t *request = intake->request;
    key_submission_t submission;
    switch (key_table_submit(entry->options.keys,
                             slice_from_string(intake->contract->customer),
                             request->key, request->request_hash, &submission))
    {
    case KEY_RUN:
        return run_key(entry, intake, submission.handle);
    case KEY_OWNED_ELSEWHERE:
        return forward(entry, intake, submission.owner);
    case KEY_ANSWERED:
        replay(entry, intake, submission.response);
        break;
    case KEY_REFUSED:
        repeat_refusal(entry, intake, submission.reason);
        break;
    case KEY_RESPONSE_NOT_STORED:
        refuse(entry, intake, REASON_ANSWER_NOT_KEPT, OUTCOME_ANSWERED, NULL);
        break;
    case KEY_IN_PROGRESS:
        refuse(entry, intake, REASON_IN_PROGRESS, OUTCOME_UNKNOWN, NULL);
        break;
    case KEY_UNKNOWN:
        refuse(entry, intake, submission.reason, OUTCOME_UNKNOWN, NULL);
        break;
    case KEY_REUSED:
        refuse(entry, intake, REASON_KEY_REUSED, OUTCOME_UNKNOWN, NULL);
        break;
    case KEY_EXPIRED:
        refuse(entry, intake, REASON_KEY_EXPIRED, OUTCOME_UNKNOWN, NULL);
        break;
    case KEY_TABLE_FULL:
        // Without a record a later submission of the key may run.
        refuse(entry, intake, REASON_OVERLOADED, OUTCOME_UNKNOWN, NULL);
        break;
    default:
        refuse(entry, intake, REASON_MALFORMED, OUTCOME_UNKNOWN, NULL);
        break;
    }
    return 0;
}

static slice_t
customer_of(const entry_t *entry, const entry_intake_t *intake)
{
    return intake->account == NULL || entry->options.no_context_propagation
               ? intake->request->customer
               : slice_from_string(intake->account->customer);
}

/// Takes a request; it is answered by the vtable, at once or later. Returns
/// its handle, 0 if it was already answered.
call_handle_t
entry_request(entry_t *entry, const entry_request_t *request)
{
    metric_increment(METRIC_CALLS_TOTAL);
    entry_intake_t intake = {.request = request};
    if (!entry->ready) {
        refuse_early(entry, &intake, REASON_NOT_READY);
        return 0;
    }
    if (request->egress && request->request_id != 0) {
        intake.account = request_contexts_find(entry->options.contexts,
                                               request->request_id);
    }
    intake.contract = entry->options.lookup(entry->options.lookup_context,
                                            customer_of(entry, &intake));
    if (intake.contract != NULL) {
        intake.kind =
            contract_match(intake.contract, request->method, request->path);
    }
    if (intake.kind == NULL) {
        refuse_early(entry, &intake, REASON_NO_SUCH_KIND);
        return 0;
    }
    intake.key_ttl_us =
        kind_limits(intake.contract, intake.kind).key_ttl_ms * US_PER_MS;
    return request->key.len > 0 ? request_with_key(entry, &intake)
                                : request_without_key(entry, &intake);
}

/// The forwarded request has ended. @p connected is false when no byte reached
/// the owner; the outcome is unknown even then, because an earlier submission
/// of the key may have run. The entry answers the caller unless @p answered.
void
entry_forward_done(entry_t *entry, call_handle_t handle, bool answered,
                   bool connected)
{
    entry_call_t *call = entry_find_call(entry, handle);
    if (call == NULL || !call->forwarded) {
        return;
    }
    (void)connected;
    if (answered) {
        entry_end_call(entry, call);
        return;
    }
    entry_refuse_call(entry, call, REASON_KEY_OWNER_UNREACHABLE,
                      OUTCOME_UNKNOWN);
}

/// The caller has gone. Repeatable work is cancelled; a request with a key
/// goes on to its outcome.
void
entry_caller_disconnected(entry_t *entry, call_handle_t handle)
{
    entry_call_t *call = entry_find_call(entry, handle);
    if (call == NULL || !call->caller_waiting) {
        return;
    }
    if (call->forwarded) {
        entry->options.io->vtable->cancel(entry->options.io, handle,
                                          call->user, 0);
    }
    call->caller_waiting = false;
    entry_count_outcome(OUTCOME_UNKNOWN);
    if (!call->has_key || call->forwarded) {
        entry_refuse_call(entry, call, REASON_DEADLINE, OUTCOME_UNKNOWN);
    }
}

/// Handles deadlines and hedges. Call every few milliseconds.
void
entry_tick(entry_t *entry)
{
    int64_t now_us = clock_now_us(entry->options.clock);
    for (uint32_t i = entry->slots.count; i > 0; i--) {
        uint32_t slot = slot_table_at(&entry->slots, i - 1);
        entry_tick_call(entry, &entry->calls[slot], now_us);
    }
}

/// While false, calls are refused with not-ready.
void
entry_set_ready(entry_t *entry, bool ready)
{
    entry->ready = ready;
}

/// The process ends soon: callers' requests are refused as not run, calls of
/// the own upstream go on.
void
entry_refuse_callers(entry_t *entry)
{
    entry->refuses_callers = true;
}

/// Stops minting keys; submissions of own keys are still served.
void
entry_set_draining(entry_t *entry, bool draining)
{
    entry->draining = draining;
}

/// Returns the calls whose callers wait or whose keys await an outcome.
uint32_t
entry_in_flight(const entry_t *entry)
{
    return entry->slots.count;
}
