/// @file
/// Attempts of the calls at the entry: choice of the VM, retries, hedges,
/// deadlines and the response to the caller.

#include "ibisfield/call/entry_attempts.h"

#include "ibisfield/base/metrics.h"

/// HTTP status of a response that reports that the time for the request has
/// run out. This doesn't count as a failure of the VM.
#define STATUS_GATEWAY_TIMEOUT 504
/// Attempts that a guard may refuse for another VM to be chosen. The next one
/// waits where it arrives.
#define REDIRECTS_MAX 2
/// Mean Retry-After of refusals for which the guard gave none.
#define MEAN_RETRY_AFTER_MS 1000

/// Returns the call of a handle, or NULL if it has ended.
entry_call_t *
entry_find_call(entry_t *entry, call_handle_t handle)
{
    uint32_t slot = slot_table_find(&entry->slots, handle);
    return slot == SLOT_NONE ? NULL : &entry->calls[slot];
}

/// Returns a Retry-After between 50 % and 150 % of MEAN_RETRY_AFTER_MS, or 0
/// if a client retry can't succeed.
int32_t
entry_retry_after_ms(entry_t *entry, reason_t reason, outcome_t outcome)
{
    switch (reason) {
    case REASON_IN_PROGRESS:
    case REASON_CUSTOMER_RETRY_BUDGET:
    case REASON_OVERLOADED:
    case REASON_BUSY:
    case REASON_UPSTREAM_SHED:
    case REASON_WRONG_INSTANCE:
    case REASON_LEAVING:
    case REASON_NO_UPSTREAM:
    case REASON_NOT_READY:
    case REASON_ACCESS_KEYS_NOT_CURRENT:
    case REASON_KEY_OWNER_UNREACHABLE:
        break;
    case REASON_DEADLINE:
        if (outcome == OUTCOME_NOT_RUN) {
            break;
        }
        return 0;
    default:
        return 0;
    }
    return g_rand_int_range(entry->random, MEAN_RETRY_AFTER_MS / 2,
                            MEAN_RETRY_AFTER_MS * 3 / 2);
}

/// Returns the time that calls of a kind have been running for, that of the
/// oldest: those that will start now may take as long.
static int64_t
oldest_running_us(const entry_t *entry, uint64_t kind_hash)
{
    int64_t now_us = clock_now_us(entry->options.clock);
    int64_t oldest_us = 0;
    for (uint32_t i = 0; i < entry->slots.count; i++) {
        const entry_call_t *call =
            &entry->calls[slot_table_at(&entry->slots, i)];
        if (call->kind_hash == kind_hash && call->attempt_count > 0) {
            oldest_us = MAX(oldest_us, now_us - call->attempts[0].sent_us);
        }
    }
    return oldest_us;
}

/// Returns whether an attempt for a request of the kind may be sent now, as
/// far as the end of the process is concerned.
serving_end_verdict_t
entry_check_end(const entry_t *entry, uint64_t kind_hash, int64_t deadline_us)
{
    if (entry->end.end_us == SERVING_END_NONE) {
        return SERVING_END_FITS;
    }
    const picker_t *picker = entry->options.picker;
    return serving_end_check(&entry->end, clock_now_us(entry->options.clock),
                             deadline_us,
                             MAX(picker_latency_upper_us(picker, kind_hash),
                                 oldest_running_us(entry, kind_hash)),
                             picker_latency_bound_us(picker, kind_hash));
}

/// Takes back a request that was counted against the cap of a workspace (0:
/// none) and hasn't run.
void
entry_return_usage(entry_t *entry, uint64_t workspace_id)
{
    if (workspace_id != 0 && entry->options.usage_gate != NULL) {
        usage_gate_return(entry->options.usage_gate, workspace_id);
    }
}

/// Increments the metric of calls with this outcome.
void
entry_count_outcome(outcome_t outcome)
{
    switch (outcome) {
    case OUTCOME_ANSWERED:
        metric_increment(METRIC_CALLS_ANSWERED_TOTAL);
        break;
    case OUTCOME_NOT_RUN:
        metric_increment(METRIC_CALLS_REFUSED_TOTAL);
        break;
    default:
        metric_increment(METRIC_CALLS_UNKNOWN_TOTAL);
        break;
    }
}

/// Releases the call. Its handle is invalid afterwards.
void
entry_end_call(entry_t *entry, entry_call_t *call)
{
    g_clear_pointer(&call->customer, g_free);
    g_clear_pointer(&call->kind, g_free);
    g_clear_pointer(&call->service, g_free);
    g_clear_pointer(&call->workspace, g_free);
    slot_table_release(&entry->slots, call->handle);
    metric_set(METRIC_CALLS_IN_FLIGHT, entry->slots.count);
}

static uint32_t
retry_tokens_left(const entry_t *entry, const entry_call_t *call)
{
    if (call->token_context_id == 0) {
        return call->retry_tokens;
    }
    const request_context_t *context =
        request_contexts_find(entry->options.contexts, call->token_context_id);
    return context == NULL ? 0 : context->retry_tokens;
}

static uint32_t
take_retry_tokens(entry_t *entry, entry_call_t *call, uint32_t wanted)
{
    if (call->token_context_id != 0) {
        return request_contexts_take_tokens(entry->options.contexts,
                                            call->token_context_id, wanted);
    }
    uint32_t taken = MIN(wanted, call->retry_tokens);
    call->retry_tokens -= taken;
    return taken;
}

static void
return_retry_tokens(entry_t *entry, entry_call_t *call, uint32_t tokens)
{
    if (call->token_context_id != 0) {
        request_contexts_return_tokens(entry->options.contexts,
                                       call->token_context_id, tokens);
    }
    else {
        call->retry_tokens += tokens;
    }
}

/// Takes the retry tokens that are sent along with one attempt, for retries of
/// the calls that its upstream makes: half of those left, rounded up.
uint32_t
entry_grant_tokens(entry_t *entry, entry_call_t *call)
{
    if (entry->options.no_context_propagation) {
        return 0;
    }
    uint32_t left = retry_tokens_left(entry, call);
    return take_retry_tokens(
        entry, call, entry->options.grant_all_tokens ? left : (left + 1) / 2);
}

/// Lists the VMs that the next attempt avoids. One that was only busy would
/// have let the request wait, so it is avoided while others may be free, and
/// not when the VM at which the request waited has refused it.
static uint32_t
list_tried(const entry_call_t *call, vm_handle_t *tried)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < call->attempt_count; i++) {
        const entry_attempt_t *attempt = &call->attempts[i];
        if (!attempt->busy || call->reason == REASON_BUSY) {
            tried[count++] = attempt->vm;
        }
    }
    return count;
}

static bool
contains(const vm_handle_t *vms, uint32_t count, vm_handle_t vm)
{
    for (uint32_t i = 0; i < count; i++) {
        if (vms[i] == vm) {
            return true;
        }
    }
    return false;
}

static pick_result_t
pick_vm(entry_t *entry, entry_call_t *call, vm_handle_t *vm)
{
    vm_handle_t tried[1 + CONTRACT_RETRIES_MAX] = {VM_NONE};
    uint32_t tried_count = list_tried(call, tried);
    picker_t *picker = entry->options.picker;
    if (call->attempt_count == REDIRECTS_MAX && call->reason == REASON_BUSY &&
        !call->may_have_run)
    {
        *vm = picker_pick_among(picker, call->kind_hash, tried, tried_count);
        if (*vm != VM_NONE) {
            return PICK_OK;
        }
    }
    pick_result_t pick = picker_pick(picker, call->service, call->kind_hash,
                                     call->worth, tried, tried_count, vm);
    if (pick == PICK_OK && contains(tried, tried_count, *vm) &&
        !call->may_have_run)
    {
        // No VM is left untried. As the request hasn't run, this one has just
        // refused it and would do so again. After a lost or failed response
        // the same VM may succeed.
        picker_report(picker, *vm, call->kind_hash, REPORT_CANCELLED, 0, NULL);
        return PICK_NO_UPSTREAM;
    }
    return pick;
}

static uint32_t
running_attempts(const entry_call_t *call)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < call->attempt_count; i++) {
        count += call->attempts[i].running;
    }
    return count;
}

/// Returns whether the guard of the VM may refuse the next attempt so that
/// another VM is chosen. Not with context propagation, where each attempt
/// costs a retry token, and not behind an attempt that may have run.
static bool
may_choose_again(const entry_t *entry, const entry_call_t *call,
                 vm_handle_t vm)
{
    if (!entry->options.no_context_propagation || call->may_have_run ||
        call->attempt_count >= REDIRECTS_MAX || running_attempts(call) > 0)
    {
        return false;
    }
    vm_handle_t tried[REDIRECTS_MAX];
    for (uint32_t i = 0; i < call->attempt_count; i++) {
        tried[i] = call->attempts[i].vm;
    }
    return picker_may_choose_again(entry->options.picker, call->service, tried,
                                   call->attempt_count, vm);
}

static void
send_attempt(entry_t *entry, entry_call_t *call, vm_handle_t vm)
{
    int64_t now_us = clock_now_us(entry->options.clock);
    bool may_redirect = may_choose_again(entry, call, vm);
    entry_attempt_t *attempt = &call->attempts[call->attempt_count];
    *attempt = (entry_attempt_t){
        .number = call->attempt_count + 1,
        .vm = vm,
        .sent_us = now_us,
        .retry_tokens = entry_grant_tokens(entry, call),
        .running = true,
    };
    call->attempt_count++;
    attempt_info_t info = {
        .customer = call->customer,
        .kind = call->kind,
        .service = call->service,
        .workspace = call->workspace,
        .worth = call->worth,
        .budget_us = call->deadline_us - now_us,
        .run_us = MIN(call->deadline_us, serving_end_at(&entry->end, now_us)) -
                  now_us,
        .may_redirect = may_redirect,
        .must_end = entry_check_end(entry, call->kind_hash,
                                    call->deadline_us) == SERVING_END_UNKNOWN,
        .response_timeout_us = call->wait_end_us - now_us,
        .retry_tokens = attempt->retry_tokens,
        .at_most_once = call->has_key || call->unkeyed_non_idempotent,
        .is_retry = call->is_retry,
        .calls_remaining = call->calls_remaining,
    };
    entry->options.io->vtable->send(entry->options.io, call->handle,
                                    call->user, attempt->number, vm, &info);
}

/// Returns the time since an attempt was sent, or 0 if the clock was stepped
/// back meanwhile.
static int64_t
attempt_age_us(const entry_t *entry, const entry_attempt_t *attempt)
{
    return MAX(clock_now_us(entry->options.clock) - attempt->sent_us, 0);
}

static void
cancel_attempts(entry_t *entry, entry_call_t *call)
{
    for (uint32_t i = 0; i < call->attempt_count; i++) {
        entry_attempt_t *attempt = &call->attempts[i];
        if (!attempt->running) {
            continue;
        }
        attempt->running = false;
        entry->options.io->vtable->cancel(entry->options.io, call->handle,
                                          call->user, attempt->number);
        picker_report(entry->options.picker, attempt->vm, call->kind_hash,
                      REPORT_CANCELLED, attempt_age_us(entry, attempt), NULL);
    }
}

/// Records how a call ended, for the worth of later retries.
static void
record_progress(entry_t *entry, const entry_call_t *call, bool succeeded)
{
    if (entry->options.progress != NULL) {
        call_progress_record(entry->options.progress, call->service,
                             call->retry_worth, call->calls_remaining,
                             succeeded);
    }
    if (call->parent_context_id != 0) {
        request_contexts_end_call(entry->options.contexts,
                                  call->parent_context_id, succeeded);
    }
}

static void
respond_to_caller(entry_t *entry, entry_call_t *call,
                  entry_response_t *response, bool succeeded)
{
    if (!call->caller_waiting) {
        return;
    }
    record_progress(entry, call, succeeded);
    call->caller_waiting = false;
    response->attempt_count = call->attempt_count;
    entry_count_outcome(response->outcome);
    entry->options.io->vtable->respond(entry->options.io, call->handle,
                                       call->user, response);
}

/// Records the outcome of a refused call under its key, if it has one. If the
/// request hasn't run, a fresh key is issued into @p new_key.
static void
record_key_outcome(entry_t *entry, const entry_call_t *call, reason_t reason,
                   outcome_t outcome, char new_key[KEY_TEXT_MAX + 1])
{
    if (call->key == 0) {
        return;
    }
    key_table_t *keys = entry->options.keys;
    if (outcome != OUTCOME_NOT_RUN) {
        key_table_set_unknown(keys, call->key, reason);
        return;
    }
    key_table_set_refused(keys, call->key, reason);
    if (!entry->draining && call->key_ttl_us > 0 && call->caller_waiting) {
        key_table_issue(keys, slice_from_string(call->customer),
                        call->key_ttl_us, new_key);
    }
}

static void
record_client_refusal(entry_t *entry, const entry_call_t *call,
                      int32_t retry_after_ms)
{
    if (call->source_hash != 0 && retry_after_ms > 0) {
        client_retry_budget_add_refusal(entry->options.client_retry_budget,
                                        slice_from_string(call->customer),
                                        slice_from_string(call->kind),
                                        call->source_hash, retry_after_ms);
    }
}

/// Records what a response reported about its call chain: for a call by the
/// own upstream in the context of the request that it is made for, else in the
/// throttle.
static void
record_report(entry_t *entry, const entry_call_t *call,
              const call_report_t *report)
{
    if (call->parent_context_id != 0) {
        request_contexts_record_call(entry->options.contexts,
                                     call->parent_context_id, report);
    }
    else if (entry->options.throttle != NULL) {
        entry_throttle_record(
            entry->options.throttle, call->kind_hash, call->worth,
            &(entry_throttle_report_t){.pressure_permille = report->pressure,
                                       .cost = report->cost});
    }
}

/// Records the pressure for a call that is refused at the sender and so gets
/// no response that reports it. Otherwise the throttle at the entry would see
/// no pressure and start more requests, which would then fail at this call.
static void
record_sender_refusal(entry_t *entry, const entry_call_t *call)
{
    record_report(entry, call,
                  &(call_report_t){.pressure = picker_pressure(
                                       entry->options.picker, call->service)});
}

/// Responds to the caller with a refusal and ends the call. A call with a key
/// remains until its running attempts have ended.
void
entry_refuse_call(entry_t *entry, entry_call_t *call, reason_t reason,
                  outcome_t outcome)
{
    entry_response_t response = {
        .reason = reason,
        .outcome = outcome,
        .kind = call->kind,
        .workspace = call->workspace,
    };
    if (reason == REASON_OVERLOADED) {
        response.pressure =
            picker_pressure(entry->options.picker, call->service);
    }
    if (outcome == OUTCOME_NOT_RUN) {
        entry_return_usage(entry, call->workspace_id);
        call->workspace_id = 0;
    }
    record_key_outcome(entry, call, reason, outcome, response.new_key);
    response.retry_after_ms =
        call->retry_after_ms > 0 && outcome == OUTCOME_NOT_RUN
            ? call->retry_after_ms
            : entry_retry_after_ms(entry, reason, outcome);
    if (!call->has_key) {
        cancel_attempts(entry, call);
    }
    if (call->caller_waiting && outcome == OUTCOME_NOT_RUN &&
        reason != REASON_CUSTOMER_RETRY_BUDGET)
    {
        record_client_refusal(entry, call, response.retry_after_ms);
    }
    respond_to_caller(entry, call, &response, false);
    if (running_attempts(call) == 0) {
        entry_end_call(entry, call);
    }
}

static void
refuse_after_attempts(entry_t *entry, entry_call_t *call)
{
    bool expired = clock_now_us(entry->options.clock) >= call->deadline_us;
    if (call->may_have_run) {
        bool keeps_reason = call->reason == REASON_ANSWER_TOO_LARGE ||
                            call->reason == REASON_DEADLINE;
        entry_refuse_call(entry, call,
                          expired        ? REASON_DEADLINE
                          : keeps_reason ? call->reason
                                         : REASON_UPSTREAM_FAILED,
                          OUTCOME_UNKNOWN);
        return;
    }
    entry_refuse_call(entry, call, expired ? REASON_DEADLINE : call->reason,
                      OUTCOME_NOT_RUN);
}

/// Starts the first attempt, or refuses the call.
void
entry_start_call(entry_t *entry, entry_call_t *call)
{
    vm_handle_t vm = VM_NONE;
    switch (pick_vm(entry, call, &vm)) {
    case PICK_OK:
        break;
    case PICK_ALL_REFUSE:
        record_sender_refusal(entry, call);
        entry_refuse_call(entry, call, REASON_OVERLOADED, OUTCOME_NOT_RUN);
        return;
    default:
        entry_refuse_call(entry, call, REASON_NO_UPSTREAM, OUTCOME_NOT_RUN);
        return;
    }
    if (call->may_hedge) {
        int64_t delay_us =
            picker_hedge_delay_us(entry->options.picker, call->kind_hash);
        call->hedge_due_us =
            delay_us == 0 ? 0 : clock_now_us(entry->options.clock) + delay_us;
    }
    // Calls made while serving a retry aren't first attempts at the services
    // called.
    if (entry->options.service_retry_budget != NULL && !call->is_retry) {
        service_retry_budget_record_first_attempt(
            entry->options.service_retry_budget, call->service,
            call->retry_worth);
    }
    send_attempt(entry, call, vm);
}

static uint32_t
service_depth(const entry_t *entry, const entry_call_t *call)
{
    return entry->options.depths == NULL
               ? 0
               : call_depths_get(entry->options.depths, call->service);
}

/// Returns what a retry of the call is worth.
static int32_t
retry_worth(const entry_t *entry, const entry_call_t *call)
{
    return entry->options.progress == NULL
               ? call->retry_worth
               : call_progress_retry_worth(entry->options.progress,
                                           call->service, call->retry_worth,
                                           call->calls_remaining);
}

/// Sends a retry or a hedge, which costs one retry token unless @p is_free.
/// Returns false if the caller has its response or has disconnected, if the
/// deadline has passed or the process may end before a response, if all
/// attempts or all retry tokens are used up, if no VM can take the request, or
/// if the service retry budget is exhausted.
static bool
send_extra_attempt(entry_t *entry, entry_call_t *call, bool is_free)
{
    if (!call->caller_waiting ||
        call->attempt_count >= G_N_ELEMENTS(call->attempts) ||
        clock_now_us(entry->options.clock) >= call->deadline_us ||
        entry_check_end(entry, call->kind_hash, call->deadline_us) ==
            SERVING_END_TOO_LATE ||
        (!is_free && retry_tokens_left(entry, call) == 0))
    {
        return false;
    }
    vm_handle_t vm = VM_NONE;
    if (pick_vm(entry, call, &vm) != PICK_OK) {
        return false;
    }
    service_retry_budget_t *budget = entry->options.service_retry_budget;
    if (!is_free && budget != NULL &&
        !service_retry_budget_take(budget, call->service,
                                   service_depth(entry, call),
                                   retry_worth(entry, call)))
    {
        metric_increment(METRIC_SERVICE_RETRIES_REFUSED_TOTAL);
        picker_report(entry->options.picker, vm, call->kind_hash,
                      REPORT_CANCELLED, 0, NULL);
        return false;
    }
    if (!is_free) {
        take_retry_tokens(entry, call, 1);
        call->is_retry = true;
    }
    send_attempt(entry, call, vm);
    return true;
}

/// Returns whether the retry after an attempt with this result costs no retry
/// token, because the attempt can't have reached an upstream. With context
/// propagation every retry costs one, so that the tokens bound the attempts of
/// the whole call chain.
static bool
is_retry_free(const entry_t *entry, const attempt_result_t *result)
{
    return entry->options.no_context_propagation &&
           (result->type == ATTEMPT_CONNECT_FAILED ||
            (result->type == ATTEMPT_REFUSED &&
             result->reason != REASON_UPSTREAM_SHED &&
             result->reason != REASON_WRONG_INSTANCE));
}

static attempt_report_t
refusal_report(reason_t reason)
{
    switch (reason) {
    case REASON_LEAVING:
        return REPORT_DRAINING;
    case REASON_NO_UPSTREAM:
    case REASON_WRONG_INSTANCE:
        return REPORT_UNREACHABLE;
    case REASON_BUSY:
        return REPORT_BUSY;
    case REASON_UPSTREAM_SHED:
        return REPORT_SHED;
    default:
        return REPORT_REFUSED;
    }
}

static attempt_report_t
attempt_report(const attempt_result_t *result)
{
    switch (result->type) {
    case ATTEMPT_ANSWERED:
        return result->status >= 500 &&
                       result->status != STATUS_GATEWAY_TIMEOUT
                   ? REPORT_FAILED
                   : REPORT_ANSWERED;
    case ATTEMPT_REFUSED:
        return refusal_report(result->reason);
    case ATTEMPT_CONNECT_FAILED:
        return REPORT_UNREACHABLE;
    default:
        return REPORT_FAILED;
    }
}

static reason_t
attempt_reason(const attempt_result_t *result)
{
    switch (result->type) {
    case ATTEMPT_CONNECT_FAILED:
        return REASON_NO_UPSTREAM;
    case ATTEMPT_REFUSED:
        return result->reason == REASON_NONE ? REASON_OVERLOADED
                                             : result->reason;
    default:
        return result->reason == REASON_NONE ? REASON_UPSTREAM_FAILED
                                             : result->reason;
    }
}

static void
attempt_answered(entry_t *entry, entry_call_t *call, uint32_t attempt,
                 const attempt_result_t *result)
{
    if (call->key != 0) {
        key_table_set_answered(entry->options.keys, call->key,
                               result->response);
    }
    cancel_attempts(entry, call);
    entry_response_t response = {
        .reason = REASON_NONE,
        .outcome = OUTCOME_ANSWERED,
        .answered_attempt = attempt,
    };
    respond_to_caller(entry, call, &response, result->status < 500);
    entry_end_call(entry, call);
}

static entry_attempt_t *
find_attempt(entry_call_t *call, uint32_t number)
{
    if (number == 0 || number > call->attempt_count) {
        return NULL;
    }
    entry_attempt_t *attempt = &call->attempts[number - 1];
    return attempt->running ? attempt : NULL;
}

static bool
may_retry(const entry_call_t *call, const attempt_result_t *result)
{
    if (result->type == ATTEMPT_LOST) {
        return !call->has_key && !call->unkeyed_non_idempotent &&
               result->reason != REASON_ANSWER_TOO_LARGE;
    }
    return true;
}

/// Returns whether an attempt at another VM may replace this response, because
/// the upstream failed and the request is idempotent. With context propagation
/// every complete response is passed on.
static bool
may_replace_response(const entry_t *entry, const entry_call_t *call,
                     const attempt_result_t *result)
{
    return entry->options.no_context_propagation &&
           result->type == ATTEMPT_ANSWERED && result->status >= 500 &&
           result->status != STATUS_GATEWAY_TIMEOUT && !call->has_key &&
           !call->unkeyed_non_idempotent;
}

/// Reports the result of an attempt. Ignored if the call or the attempt has
/// already ended.
void
entry_attempt_done(entry_t *entry, call_handle_t handle, uint32_t number,
                   const attempt_result_t *result)
{
    entry_call_t *call = entry_find_call(entry, handle);
    entry_attempt_t *attempt =
        call == NULL ? NULL : find_attempt(call, number);
    if (attempt == NULL) {
        return;
    }
    attempt->running = false;
    picker_report(entry->options.picker, attempt->vm, call->kind_hash,
                  attempt_report(result), attempt_age_us(entry, attempt),
                  result->has_load ? &result->load : NULL);
    if (result->has_load && entry->options.depths != NULL) {
        call_depths_record_report(entry->options.depths, call->service,
                                  result->load.depth);
    }
    if (result->has_load && entry->options.service_retry_budget != NULL) {
        service_retry_budget_record_report(entry->options.service_retry_budget,
                                           call->service,
                                           result->load.retry_permille);
    }
    if (result->has_load) {
        // The throttle averages costs, and the cost that a failed call chain
        // reports is incomplete. A request context sums up what its calls have
        // cost, whether they succeeded or not.
        bool is_complete =
            result->type == ATTEMPT_ANSWERED && result->status < 500;
        bool is_call = call->parent_context_id != 0;
        record_report(
            entry, call,
            &(call_report_t){
                .pressure = result->load.pressure,
                .cost = is_complete || is_call ? result->load.cost : 0,
                .retry_permille = result->load.retry_permille,
            });
    }
    // Without a connection no retry tokens were sent along. Those of a lost
    // attempt may have been spent on retries further down the call chain.
    return_retry_tokens(
        entry, call,
        result->type == ATTEMPT_CONNECT_FAILED ? attempt->retry_tokens
        : result->type == ATTEMPT_LOST
            ? 0
            : MIN(result->retry_tokens_left, attempt->retry_tokens));
    if (may_replace_response(entry, call, result) &&
        running_attempts(call) == 0) {
        call->may_have_run = true;
        if (send_extra_attempt(entry, call, false)) {
            return;
        }
    }
    if (result->type == ATTEMPT_ANSWERED) {
        attempt_answered(entry, call, number, result);
        return;
    }
    call->may_have_run |= result->type == ATTEMPT_LOST;
    call->reason = attempt_reason(result);
    if (call->reason == REASON_BUSY) {
        attempt->busy = true;
        metric_increment(METRIC_CALLS_REDIRECTED_TOTAL);
    }
    call->retry_after_ms = result->retry_after_ms;
    if (running_attempts(call) > 0 ||
        (may_retry(call, result) &&
         send_extra_attempt(entry, call, is_retry_free(entry, result))))
    {
        return;
    }
    refuse_after_attempts(entry, call);
}

static void
send_hedge(entry_t *entry, entry_call_t *call)
{
    call->hedge_due_us = 0;
    if (running_attempts(call) == 1) {
        send_extra_attempt(entry, call, false);
    }
}

/// Ends the call when the wait for a late response is over; the key's outcome
/// is unknown. The attempts need no cancel(), as the adapter stops waiting by
/// itself after response_timeout_us.
static void
end_late_wait(entry_t *entry, entry_call_t *call)
{
    for (uint32_t i = 0; i < call->attempt_count; i++) {
        if (call->attempts[i].running) {
            picker_report(entry->options.picker, call->attempts[i].vm,
                          call->kind_hash, REPORT_CANCELLED, 0, NULL);
        }
    }
    if (call->key != 0) {
        key_table_set_unknown(entry->options.keys, call->key,
                              REASON_UPSTREAM_FAILED);
    }
    entry_end_call(entry, call);
}

/// Handles the deadline, the hedge and the wait for late responses of a call.
void
entry_tick_call(entry_t *entry, entry_call_t *call, int64_t now_us)
{
    if (!call->caller_waiting) {
        if (now_us >= call->wait_end_us) {
            end_late_wait(entry, call);
        }
        return;
    }
    if (now_us >= call->deadline_us) {
        if (call->forwarded) {
            entry->options.io->vtable->cancel(entry->options.io, call->handle,
                                              call->user, FORWARDED_REQUEST);
        }
        entry_refuse_call(entry, call, REASON_DEADLINE, OUTCOME_UNKNOWN);
        return;
    }
    if (call->hedge_due_us != 0 && now_us >= call->hedge_due_us) {
        send_hedge(entry, call);
    }
}
