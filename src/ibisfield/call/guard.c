/// @file
/// Admits the requests that entries send to this VM's upstream, keeps the
/// request context of each, and reports to the sender whether it has run.

#include "ibisfield/call/guard.h"

#include "ibisfield/contract/contract_defs.h"
#include "ibisfield/retry/call_progress.h"

/// Room in the table of requests beyond the declared slots and queue, because
/// the upstream may declare more slots later.
#define EXTRA_REQUESTS 1024
/// Room in the table of requests for each slot declared at the start.
#define REQUESTS_PER_SLOT 4

/// If the upstream has rejected a request because it is for another instance
/// of the upstream, requests for that instance are refused here for this long.
/// Short, since an instance may come back under the same name.
#define REJECTED_INSTANCE_TTL_US US_PER_S

/// Default window of the retry ratio.
#define DEFAULT_RETRY_WINDOW_US (10 * US_PER_S)

/// Initialises the guard. The entry of the same VM uses @p contexts for egress
/// calls.
void
guard_init(guard_t *guard, const clock_source_t *clock, guard_io_t *io,
           request_contexts_t *contexts, const admission_options_t *options)
{
    *guard = (guard_t){
        .clock = clock,
        .io = io,
        .contexts = contexts,
        .upstream_end_us = SERVING_END_NONE,
        .process_end_us = SERVING_END_NONE,
    };
    admission_init(&guard->admission, clock, options);
    retry_ratio_init(&guard->retry_ratio, clock, DEFAULT_RETRY_WINDOW_US);
    uint32_t capacity = options->slots * REQUESTS_PER_SLOT +
                        options->queue_max + EXTRA_REQUESTS;
    slot_table_init(&guard->slots, capacity);
    guard->requests = g_new0(guarded_request_t, capacity);
}

static void
release_request(guard_t *guard, guarded_request_t *request)
{
    g_clear_pointer(&request->customer, g_free);
    slot_table_release(&guard->slots, request->handle);
}

/// Releases the guard. Requests that it holds get no response.
void
guard_finish(guard_t *guard)
{
    admission_finish(&guard->admission);
    while (guard->slots.count > 0) {
        release_request(guard,
                        &guard->requests[slot_table_at(&guard->slots, 0)]);
    }
    g_free(guard->requests);
    g_free(guard->service);
    slot_table_finish(&guard->slots);
}

/// Sets the service of the upstream; requests for other services are refused.
void
guard_set_service(guard_t *guard, const char *service)
{
    g_free(guard->service);
    guard->service = g_strdup(service);
}

/// Sets the depth of the call graph below the upstream, which load reports
/// carry.
void
guard_set_depth(guard_t *guard, uint32_t depth)
{
    guard->depth = depth;
}

/// Sets the window of the retry ratio, and discards what was counted.
void
guard_set_retry_window(guard_t *guard, int64_t window_us)
{
    retry_ratio_init(&guard->retry_ratio, guard->clock, window_us);
}

/// Sets how many requests the upstream is declared to run concurrently.
void
guard_set_slots(guard_t *guard, uint32_t slots)
{
    admission_set_slots(&guard->admission, slots);
}

/// Returns whether the request is for another service: the sender's VM list is
/// out of date, and the address belongs to another VM now.
static bool
is_for_other_service(const guard_t *guard, const guard_request_t *request)
{
    return request->service.len > 0 && guard->service != NULL &&
           !slice_equal_string(request->service, guard->service);
}

/// Returns whether the upstream has recently rejected a request for the same
/// instance of the upstream as this one.
static bool
is_for_rejected_instance(const guard_t *guard, const guard_request_t *request)
{
    return request->target_instance != 0 &&
           request->target_instance == guard->rejected_instance &&
           clock_now_us(guard->clock) < guard->rejected_until_us;
}

static guarded_request_t *
find_request(guard_t *guard, call_handle_t handle)
{
    uint32_t slot = slot_table_find(&guard->slots, handle);
    return slot == SLOT_NONE ? NULL : &guard->requests[slot];
}

static bool
may_succeed_later(reason_t reason)
{
    return reason == REASON_WRONG_INSTANCE || reason == REASON_OVERLOADED ||
           reason == REASON_UPSTREAM_SHED || reason == REASON_LEAVING ||
           reason == REASON_BUSY || reason == REASON_NO_UPSTREAM ||
           reason == REASON_DEADLINE;
}

static void
send_response(guard_t *guard, call_handle_t handle, void *user,
              reason_t reason, outcome_t outcome, uint32_t retry_tokens_left,
              const request_context_t *context)
{
    guard_response_t response = {
        .reason = reason,
        .outcome = outcome,
        .retry_tokens_left = retry_tokens_left,
        .load = guard_load(guard),
    };
    if (context != NULL) {
        response.load.pressure =
            MAX(response.load.pressure, context->pressure);
        response.load.cost = context->cost;
        response.load.retry_permille =
            MAX(response.load.retry_permille, context->retry_permille);
    }
    if (outcome == OUTCOME_NOT_RUN && may_succeed_later(reason)) {
        response.retry_after_ms = admission_retry_after_ms(&guard->admission);
    }
    guard->io->vtable->respond(guard->io, handle, user, &response);
}

/// Ends a request: removes its context, releases its slot and responds to its
/// sender.
static void
end_request(guard_t *guard, guarded_request_t *request, reason_t reason,
            outcome_t outcome)
{
    request_context_t context = {0};
    const request_context_t *found =
        request->context_id == 0
            ? NULL
            : request_contexts_find(guard->contexts, request->context_id);
    if (found != NULL) {
        context = *found;
    }
    if (outcome == OUTCOME_ANSWERED) {
        context.cost +=
            admission_cost(&guard->admission,
                           clock_now_us(guard->clock) - request->started_us);
    }
    uint32_t tokens =
        request->context_id == 0
            ? request->retry_tokens
            : request_contexts_remove(guard->contexts, request->context_id);
    call_handle_t handle = request->handle;
    void *user = request->user;
    bool sender_disconnected = request->sender_disconnected;
    release_request(guard, request);
    if (!sender_disconnected) {
        send_response(guard, handle, user, reason, outcome, tokens, &context);
    }
}

static void
start_request(guard_t *guard, guarded_request_t *request)
{
    int64_t now_us = clock_now_us(guard->clock);
    request_context_t context = {
        .customer = request->customer,
        .worth = request->worth,
        .deadline_us = request->deadline_us,
        .retry_tokens = request->retry_tokens,
        .is_retry = request->is_retry,
        .kind = request->kind_index,
        .calls_above = request->calls_remaining,
    };
    retry_ratio_record_attempt(&guard->retry_ratio, request->is_retry);
    request->running = true;
    request->started_us = now_us;
    request->started_in_flight = guard->admission.in_flight;
    request->context_id =
        request->requested_context_id == 0
            ? request_contexts_add(guard->contexts, &context)
            : request_contexts_add_with_id(
                  guard->contexts, request->requested_context_id, &context);
    guard->io->vtable->start(
        guard->io, request->handle, request->user, request->context_id,
        MIN(request->run_end_us, guard->process_end_us) - now_us,
        request->wait_end_us - now_us);
}

/// Starts an admitted request unless its time to run has passed: a paused
/// process may get here long after the admission.
static void
start_unless_expired(guard_t *guard, guarded_request_t *request)
{
    if (clock_now_us(guard->clock) < request->run_end_us) {
        start_request(guard, request);
        return;
    }
    admission_done(&guard->admission, request->kind_index, 0, false);
    end_request(guard, request, REASON_DEADLINE, OUTCOME_NOT_RUN);
}

static reason_t
event_reason(admission_event_t event)
{
    switch (event) {
    case ADMISSION_EVENT_EXPIRED:
        return REASON_DEADLINE;
    case ADMISSION_EVENT_ENDING:
        return REASON_LEAVING;
    default:
        return REASON_OVERLOADED;
    }
}

/// Starts and refuses queued requests as the admission decides.
static void
run_admission(guard_t *guard)
{
    uint64_t ticket;
    admission_event_t next = admission_next_event(&guard->admission, &ticket);
    for (; next != ADMISSION_EVENT_NONE;
         next = admission_next_event(&guard->admission, &ticket))
    {
        guarded_request_t *request = find_request(guard, ticket);
        if (request == NULL) {
            continue;
        }
        if (next == ADMISSION_EVENT_RUN) {
            start_unless_expired(guard, request);
        }
        else {
            end_request(guard, request, event_reason(next), OUTCOME_NOT_RUN);
        }
    }
}

static guarded_request_t *
add_request(guard_t *guard, const guard_request_t *request)
{
    call_handle_t handle = slot_table_acquire(&guard->slots);
    if (handle == 0) {
        return NULL;
    }
    guarded_request_t *added = find_request(guard, handle);
    *added = (guarded_request_t){
        .handle = handle,
        .user = request->user,
        .at_most_once = request->at_most_once,
        .requested_context_id = request->context_id,
        .target_instance = request->target_instance,
        .is_retry = request->is_retry,
        .calls_remaining = MIN(request->calls_remaining, CALLS_REMAINING_MAX),
        .kind_index = admission_kind_index(&guard->admission,
                                           request->customer, request->kind),
        .retry_tokens = MIN(request->retry_tokens, CONTRACT_RETRIES_MAX),
        .worth = request->worth,
        .deadline_us = clock_now_us(guard->clock) + request->budget_us,
    };
    added->run_end_us = request->run_us > 0
                            ? MIN(added->deadline_us,
                                  clock_now_us(guard->clock) + request->run_us)
                            : added->deadline_us;
    added->wait_end_us = added->deadline_us +
                         (request->at_most_once ? LATE_RESPONSE_WAIT_US : 0);
    added->customer =
        g_strndup(request->customer.len == 0 ? "" : request->customer.data,
                  request->customer.len);
    return added;
}

/// Accepts a request. The adapter's respond() is called for it, at once or
/// later. Returns its handle, or 0 if it has already ended.
call_handle_t
guard_request(guard_t *guard, const guard_request_t *request)
{
    reason_t reason = REASON_NONE;
    guarded_request_t *added = NULL;
    if (guard->draining) {
        reason = REASON_LEAVING;
    }
    else if (is_for_other_service(guard, request) ||
             is_for_rejected_instance(guard, request))
    {
        reason = REASON_NO_UPSTREAM;
    }
    else if (request->budget_us <= 0) {
        reason = REASON_DEADLINE;
    }
    else if ((added = add_request(guard, request)) == NULL) {
        reason = REASON_OVERLOADED;
    }
    if (reason != REASON_NONE) {
        send_response(guard, 0, request->user, reason, OUTCOME_NOT_RUN,
                      request->retry_tokens, NULL);
        return 0;
    }
    call_handle_t handle = added->handle;
    if (request->may_redirect &&
        !admission_starts_at_once(&guard->admission, added->kind_index))
    {
        end_request(guard, added, REASON_BUSY, OUTCOME_NOT_RUN);
        return 0;
    }
    // The sender's process ends and it hasn't timed the kind itself.
    if (request->must_end &&
        !admission_ends_within(&guard->admission, added->kind_index,
                               added->worth, request->run_us))
    {
        end_request(guard, added, REASON_DEADLINE, OUTCOME_NOT_RUN);
        return 0;
    }
    admission_request_t admission_request = {
        .kind = added->kind_index,
        .worth = added->worth,
        .deadline_us = added->run_end_us,
        .ticket = handle,
    };
    switch (admission_submit(&guard->admission, &admission_request)) {
    case ADMISSION_RUN:
        start_unless_expired(guard, added);
        break;
    case ADMISSION_QUEUED:
        break;
    case ADMISSION_REFUSED_DEADLINE:
        end_request(guard, added, REASON_DEADLINE, OUTCOME_NOT_RUN);
        break;
    case ADMISSION_REFUSED_ENDING:
        end_request(guard, added, REASON_LEAVING, OUTCOME_NOT_RUN);
        break;
    default:
        end_request(guard, added, REASON_OVERLOADED, OUTCOME_NOT_RUN);
        break;
    }
    // The request may have evicted another one from the queue.
    run_admission(guard);
    return find_request(guard, handle) == NULL ? 0 : handle;
}

/// Reports how a request ended at the upstream.
void
guard_upstream_done(guard_t *guard, call_handle_t handle,
                    upstream_result_t result)
{
    guarded_request_t *request = find_request(guard, handle);
    if (request == NULL || !request->running) {
        return;
    }
    // The duration would be negative if the clock was stepped back.
    int64_t service_us =
        MAX(clock_now_us(guard->clock) - request->started_us, 0);
    admission_done(&guard->admission, request->kind_index, service_us,
                   result == UPSTREAM_ANSWERED);
    switch (result) {
    case UPSTREAM_ANSWERED:
        admission_record_upstream_answer(&guard->admission,
                                         request->started_in_flight);
        end_request(guard, request, REASON_NONE, OUTCOME_ANSWERED);
        break;
    case UPSTREAM_MISDIRECTED:
        guard->rejected_instance = request->target_instance;
        guard->rejected_until_us =
            clock_now_us(guard->clock) + REJECTED_INSTANCE_TTL_US;
        end_request(guard, request, REASON_WRONG_INSTANCE, OUTCOME_NOT_RUN);
        break;
    case UPSTREAM_CONNECT_FAILED:
        end_request(guard, request, REASON_NO_UPSTREAM, OUTCOME_NOT_RUN);
        break;
    case UPSTREAM_SHED:
        admission_record_upstream_shed(&guard->admission,
                                       request->started_in_flight);
        end_request(guard, request, REASON_UPSTREAM_SHED, OUTCOME_NOT_RUN);
        break;
    case UPSTREAM_RESPONSE_TOO_LARGE:
        end_request(guard, request, REASON_ANSWER_TOO_LARGE, OUTCOME_UNKNOWN);
        break;
    default:
        end_request(guard, request, REASON_UPSTREAM_FAILED, OUTCOME_UNKNOWN);
        break;
    }
    run_admission(guard);
}

/// Cancels a running request. Its outcome is unknown.
static void
cancel_request(guard_t *guard, guarded_request_t *request)
{
    guard->io->vtable->cancel(guard->io, request->handle, request->user);
    admission_done(&guard->admission, request->kind_index, 0, false);
    end_request(guard, request, REASON_DEADLINE, OUTCOME_UNKNOWN);
}

/// Reports that the sender has disconnected. A queued request is dropped and a
/// running one cancelled, unless it runs at most once: cancelling it would not
/// undo its effects and only lose its outcome.
void
guard_sender_disconnected(guard_t *guard, call_handle_t handle)
{
    guarded_request_t *request = find_request(guard, handle);
    if (request == NULL) {
        return;
    }
    request->sender_disconnected = true;
    if (!request->running) {
        admission_cancel(&guard->admission, handle);
        end_request(guard, request, REASON_NONE, OUTCOME_NOT_RUN);
    }
    else if (!request->at_most_once) {
        cancel_request(guard, request);
        run_admission(guard);
    }
}

/// Refuses or cancels expired requests and starts queued ones. Must be called
/// every few milliseconds.
void
guard_tick(guard_t *guard)
{
    int64_t now_us = clock_now_us(guard->clock);
    for (uint32_t i = guard->slots.count; i > 0; i--) {
        guarded_request_t *request =
            &guard->requests[slot_table_at(&guard->slots, i - 1)];
        if (request->running && now_us >= request->wait_end_us) {
            cancel_request(guard, request);
        }
    }
    run_admission(guard);
}

/// Sets whether the guard is draining: it refuses new requests then. Those
/// that it holds are completed if they end in time, see
/// guard_set_upstream_end().
void
guard_set_draining(guard_t *guard, bool draining)
{
    guard->draining = draining;
}

static void
update_end(guard_t *guard)
{
    admission_set_end(&guard->admission,
                      MIN(guard->upstream_end_us, guard->process_end_us));
    run_admission(guard);
}

/// Sets the time at which the upstream may end; SERVING_END_NONE if it isn't
/// known. Requests that can't be expected to finish by then are refused as not
/// run, queued ones too.
void
guard_set_upstream_end(guard_t *guard, int64_t end_us)
{
    guard->upstream_end_us = end_us;
    update_end(guard);
}

/// The same for the time after which responses can't be passed on any more,
/// because this process ends. The upstream gets no more time than is left
/// until then.
void
guard_set_process_end(guard_t *guard, int64_t end_us)
{
    guard->process_end_us = end_us;
    update_end(guard);
}

/// Returns whether the guard is draining and so refuses new requests.
bool
guard_is_draining(const guard_t *guard)
{
    return guard->draining;
}

/// Returns the load that responses report to senders.
guard_load_t
guard_load(const guard_t *guard)
{
    guard_load_t load = admission_load(&guard->admission);
    load.depth = guard->depth;
    load.pressure = admission_pressure(&guard->admission);
    load.retry_permille = retry_ratio_permille(&guard->retry_ratio);
    return load;
}

/// Returns the number of requests that are queued or running.
uint32_t
guard_in_flight(const guard_t *guard)
{
    return guard->slots.count;
}
