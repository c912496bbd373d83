/// @file
/// Accepts requests from callers, from the own upstream and from other nodes.
/// Each one becomes a call, which ends when its caller has a response and, if
/// the request has a key, the outcome is recorded under the key.

#include "ibisfield/call/entry.h"

#include <xxhash.h>

#include "ibisfield/base/metrics.h"
#include "ibisfield/call/entry_attempts.h"
#include "ibisfield/routing/traffic_split.h"

/// Initialises the entry. It refuses all requests until entry_set_ready().
void
entry_init(entry_t *entry, const entry_options_t *options)
{
    *entry = (entry_t){
        .options = *options,
        .calls = g_new0(entry_call_t, options->max_calls),
        .random = g_rand_new_with_seed(options->seed),
        .end = {.end_us = SERVING_END_NONE},
    };
    slot_table_init(&entry->slots, options->max_calls);
}

/// Releases the entry. Calls in flight get no response.
void
entry_finish(entry_t *entry)
{
    while (entry->slots.count > 0) {
        entry_end_call(entry, &entry->calls[slot_table_at(&entry->slots, 0)]);
    }
    g_rand_free(entry->random);
    g_free(entry->calls);
    slot_table_finish(&entry->slots);
}

/// A request before it becomes a call, with what was looked up for it.
typedef struct {
    const entry_request_t *request;
    const contract_t *contract;      ///< NULL if the customer has none
    const kind_t *kind;              ///< NULL if no kind matches
    const request_context_t *parent; ///< context of the request for which the
                                     ///< upstream makes this call; NULL if
                                     ///< none
    const workspace_entry_t *workspace; ///< NULL: none needed
    uint64_t counted_workspace; ///< id, if counted against its cap; else 0
    int64_t key_ttl_us;         ///< 0 if the kind needs no key
} incoming_request_t;

static uint64_t
hash_kind(const incoming_request_t *incoming)
{
    const char *customer = incoming->contract->customer;
    const char *kind = incoming->kind->name;
    uint64_t hash = XXH3_64bits(customer, strlen(customer));
    return XXH3_64bits_withSeed(kind, strlen(kind), hash);
}

/// Refuses a request that hasn't become a call.
static void
refuse_request(entry_t *entry, const incoming_request_t *incoming,
               reason_t reason, outcome_t outcome, const char *new_key)
{
    entry_response_t response = {
        .reason = reason,
        .outcome = outcome,
        .retry_after_ms = entry_retry_after_ms(entry, reason, outcome),
    };
    response.kind = incoming->kind == NULL ? NULL : incoming->kind->name;
    if (incoming->workspace != NULL) {
        response.workspace = incoming->workspace->workspace.name;
    }
    entry_return_usage(entry, incoming->counted_workspace);
    if (reason == REASON_USAGE_CAP) {
        response.retry_after_ms = usage_gate_retry_after_ms(
            entry->options.usage_gate, incoming->workspace->id);
    }
    if (reason == REASON_OVERLOADED && entry->options.throttle != NULL &&
        incoming->kind != NULL)
    {
        response.pressure = entry_throttle_pressure(entry->options.throttle,
                                                    hash_kind(incoming));
    }
    if (new_key != NULL) {
        g_strlcpy(response.new_key, new_key, sizeof(response.new_key));
    }
    const entry_request_t *request = incoming->request;
    // Requests that arrive before the Retry-After of a recorded refusal has
    // passed count as client retries. A refusal by the client retry budget
    // itself isn't recorded: each one would start another such period, so a
    // client that polls would never be served again.
    if (outcome == OUTCOME_NOT_RUN && response.retry_after_ms > 0 &&
        reason != REASON_CUSTOMER_RETRY_BUDGET && incoming->kind != NULL &&
        request->source_hash != 0)
    {
        client_retry_budget_add_refusal(
            entry->options.client_retry_budget,
            slice_from_string(incoming->contract->customer),
            slice_from_string(incoming->kind->name), request->source_hash,
            response.retry_after_ms);
    }
    entry_count_outcome(outcome);
    entry->options.io->vtable->respond(entry->options.io, 0, request->user,
                                       &response);
}

/// Refuses a request before the record of its key is looked up. Without the
/// record the outcome of a keyed request is unknown: an earlier request with
/// the same key may have run.
static void
refuse_early(entry_t *entry, const incoming_request_t *incoming,
             reason_t reason)
{
    refuse_request(entry, incoming, reason,
                   incoming->request->key.len > 0 ? OUTCOME_UNKNOWN
                                                  : OUTCOME_NOT_RUN,
                   NULL);
}

static int64_t
effective_deadline_us(const entry_t *entry, const incoming_request_t *incoming)
{
    int64_t now_us = clock_now_us(entry->options.clock);
    int64_t deadline_us = now_us + incoming->kind->deadline_ms * US_PER_MS;
    if (incoming->parent != NULL) {
        deadline_us = MIN(deadline_us, incoming->parent->deadline_us);
    }
    // A caller may leave the time budget out (0). A peer states what is left,
    // so there 0 or less means that the deadline has passed.
    if (incoming->request->from_peer || incoming->request->budget_us > 0) {
        deadline_us = MIN(deadline_us, now_us + incoming->request->budget_us);
    }
    return deadline_us;
}

/// Returns whether the customer has workspaces, whose ranks go before the
/// worths of kinds.
static bool
is_ranked(const entry_t *entry, const incoming_request_t *incoming)
{
    return entry->options.workspaces != NULL &&
           workspaces_in_force(entry->options.workspaces,
                               incoming->contract->customer);
}

/// Returns the rank of a request where workspaces exist. A call has that of
/// its parent.
static int32_t
effective_rank(const incoming_request_t *incoming)
{
    if (incoming->parent != NULL) {
        return workspace_rank_of(incoming->parent->worth);
    }
    return incoming->workspace == NULL ? WORKSPACE_RANK_ANONYMOUS
                                       : incoming->workspace->workspace.rank;
}

static int32_t
effective_worth(const entry_t *entry, const incoming_request_t *incoming)
{
    int32_t worth = incoming->kind->worth;
    if (is_ranked(entry, incoming)) {
        worth = workspace_worth(effective_rank(incoming), worth);
    }
    if (incoming->parent != NULL) {
        worth = MAX(worth, incoming->parent->worth);
    }
    if (incoming->request->from_peer) {
        worth = MAX(worth, MIN(incoming->request->worth, CONTRACT_WORTH_MAX));
    }
    return worth;
}

/// Returns the retry tokens that a call has itself. With context propagation,
/// a call by the own upstream has none: its tokens are in the request context,
/// and if it names no context it gets none, since otherwise each hop of a call
/// chain would add tokens.
static uint32_t
initial_retry_tokens(const incoming_request_t *incoming,
                     bool no_context_propagation)
{
    uint32_t retries =
        (uint32_t)kind_limits(incoming->contract, incoming->kind)
            .attempts_max -
        1;
    if (incoming->request->egress && !no_context_propagation) {
        return 0;
    }
    return incoming->request->from_peer
               ? MIN(incoming->request->retry_tokens, retries)
               : retries;
}

/// Allocates the call of a request. Returns NULL if all slots are in use.
static entry_call_t *
create_call(entry_t *entry, const incoming_request_t *incoming)
{
    call_handle_t handle = slot_table_acquire(&entry->slots);
    if (handle == 0) {
        return NULL;
    }
    metric_set(METRIC_CALLS_IN_FLIGHT, entry->slots.count);
    const entry_request_t *request = incoming->request;
    entry_call_t *call = entry_find_call(entry, handle);
    *call = (entry_call_t){
        .handle = handle,
        .user = request->user,
        .caller_waiting = true,
        .has_key = request->key.len > 0,
        .unkeyed_non_idempotent = incoming->kind->run == RUN_ONCE_UNKEYED,
        .may_hedge = request->key.len == 0 &&
                     kind_limits(incoming->contract, incoming->kind).hedge,
        .token_context_id =
            incoming->parent == NULL || entry->options.no_context_propagation
                ? 0
                : request->context_id,
        .parent_context_id =
            incoming->parent == NULL ? 0 : request->context_id,
        .retry_tokens = initial_retry_tokens(
            incoming, entry->options.no_context_propagation),
        .is_retry = incoming->parent != NULL && incoming->parent->is_retry,
        .source_hash = request->source_hash,
        .kind_hash = hash_kind(incoming),
        .worth = effective_worth(entry, incoming),
        .deadline_us = effective_deadline_us(entry, incoming),
        .key_ttl_us = incoming->key_ttl_us,
    };
    call->retry_worth = is_ranked(entry, incoming)
                            ? workspace_kind_worth(call->worth)
                            : call->worth;
    call->wait_end_us =
        call->deadline_us + (call->has_key ? LATE_RESPONSE_WAIT_US : 0);
    call->customer = g_strdup(incoming->contract->customer);
    call->kind = g_strdup(incoming->kind->name);
    call->service = g_strdup(traffic_split_next(incoming->kind));
    call->workspace = g_strdup(incoming->workspace == NULL
                                   ? ""
                                   : incoming->workspace->workspace.name);
    call->workspace_id = incoming->counted_workspace;
    if (incoming->parent != NULL && entry->options.depths != NULL) {
        call_depths_record_call(entry->options.depths, call->service);
    }
    if (incoming->parent != NULL) {
        call->calls_remaining = request_contexts_begin_call(
            entry->options.contexts, request->context_id);
    }
    return call;
}

static bool
client_budget_admits(entry_t *entry, const incoming_request_t *incoming)
{
    return incoming->request->source_hash == 0 || incoming->request->egress ||
           client_retry_budget_admit(
               entry->options.client_retry_budget,
               slice_from_string(incoming->contract->customer),
               slice_from_string(incoming->kind->name),
               incoming->request->source_hash,
               incoming->contract->client_retry_percent);
}

/// Refuses a non-idempotent request that has no key, and issues a key for it.
static void
require_key(entry_t *entry, const incoming_request_t *incoming)
{
    char key[KEY_TEXT_MAX + 1];
    if (entry->draining) {
        refuse_request(entry, incoming, REASON_LEAVING, OUTCOME_NOT_RUN, NULL);
    }
    else if (!key_table_issue(entry->options.keys,
                              slice_from_string(incoming->contract->customer),
                              incoming->key_ttl_us, key))
    {
        refuse_request(entry, incoming, REASON_OVERLOADED, OUTCOME_NOT_RUN,
                       NULL);
    }
    else {
        refuse_request(entry, incoming, REASON_KEY_REQUIRED, OUTCOME_NOT_RUN,
                       key);
    }
}

/// Returns the factor by which a request is refused more or less often than
/// others when a service is scarce; see fair_shares.c.
static double
refusal_factor(const entry_t *entry, const incoming_request_t *incoming)
{
    return entry->options.usage_gate == NULL || incoming->workspace == NULL
               ? 1
               : usage_gate_refusal_factor(entry->options.usage_gate,
                                           incoming->workspace->id);
}

/// Returns whether a request may start. Calls by the own upstream belong to
/// requests that have started and are to be completed, so only the end of the
/// process keeps them from starting: a call that outlasts it would be broken
/// off.
static bool
may_start(entry_t *entry, const incoming_request_t *incoming, reason_t *reason)
{
    if (entry_check_end(entry, hash_kind(incoming),
                        effective_deadline_us(entry, incoming)) ==
        SERVING_END_TOO_LATE)
    {
        *reason = REASON_LEAVING;
        return false;
    }
    if (incoming->parent != NULL) {
        return true;
    }
    if (entry->refuses_callers) {
        *reason = REASON_LEAVING;
        return false;
    }
    int32_t rank = is_ranked(entry, incoming) ? effective_rank(incoming) : 0;
    if (entry->options.throttle != NULL &&
        entry_throttle_refuses(entry->options.throttle, hash_kind(incoming),
                               incoming->kind->worth, rank,
                               refusal_factor(entry, incoming)))
    {
        metric_increment(METRIC_CALLS_HELD_OFF_TOTAL);
        *reason = REASON_OVERLOADED;
        return false;
    }
    return true;
}

static call_handle_t
handle_unkeyed_request(entry_t *entry, const incoming_request_t *incoming)
{
    if (!client_budget_admits(entry, incoming)) {
        refuse_request(entry, incoming, REASON_CUSTOMER_RETRY_BUDGET,
                       OUTCOME_NOT_RUN, NULL);
        return 0;
    }
    reason_t reason = REASON_NONE;
    if (!may_start(entry, incoming, &reason)) {
        refuse_request(entry, incoming, reason, OUTCOME_NOT_RUN, NULL);
        return 0;
    }
    if (incoming->kind->run == RUN_ONCE) {
        require_key(entry, incoming);
        return 0;
    }
    entry_call_t *call = create_call(entry, incoming);
    if (call == NULL) {
        refuse_request(entry, incoming, REASON_OVERLOADED, OUTCOME_NOT_RUN,
                       NULL);
        return 0;
    }
    call_handle_t handle = call->handle;
    entry_start_call(entry, call);
    return entry_find_call(entry, handle) == NULL ? 0 : handle;
}

/// Forwards a request to the node that owns its key. A request that was
/// already forwarded has reached the wrong node and is refused.
static call_handle_t
forward_to_owner(entry_t *entry, const incoming_request_t *incoming,
                 const char *owner)
{
    if (incoming->request->from_peer) {
        refuse_request(entry, incoming, REASON_KEY_OWNER_UNREACHABLE,
                       OUTCOME_UNKNOWN, NULL);
        return 0;
    }
    entry_call_t *call = create_call(entry, incoming);
    if (call == NULL) {
        refuse_request(entry, incoming, REASON_OVERLOADED, OUTCOME_UNKNOWN,
                       NULL);
        return 0;
    }
    call->forwarded = true;
    call->wait_end_us = call->deadline_us;
    int64_t budget_us = call->deadline_us - clock_now_us(entry->options.clock);
    attempt_info_t info = {
        .customer = call->customer,
        .kind = call->kind,
        .service = call->service,
        .workspace = call->workspace,
        .worth = call->worth,
        .budget_us = budget_us,
        .run_us = budget_us,
        .response_timeout_us = budget_us,
        .retry_tokens = entry_grant_tokens(entry, call),
        .at_most_once = true,
    };
    entry->options.io->vtable->forward(entry->options.io, call->handle,
                                       call->user, owner, &info);
    return call->handle;
}

/// Runs the first request with a key. If it is refused, now or after its
/// attempts, the refusal is recorded under the key, so that later requests
/// with the same key don't run either.
static call_handle_t
run_first_request(entry_t *entry, const incoming_request_t *incoming,
                  key_handle_t key)
{
    entry_call_t *call = create_call(entry, incoming);
    if (call == NULL) {
        key_table_set_refused(entry->options.keys, key, REASON_OVERLOADED);
        refuse_request(entry, incoming, REASON_OVERLOADED, OUTCOME_NOT_RUN,
                       NULL);
        return 0;
    }
    call->key = key;
    call_handle_t handle = call->handle;
    if (!client_budget_admits(entry, incoming)) {
        entry_refuse_call(entry, call, REASON_CUSTOMER_RETRY_BUDGET,
                          OUTCOME_NOT_RUN);
    }
    else if (clock_now_us(entry->options.clock) >= call->deadline_us) {
        entry_refuse_call(entry, call, REASON_DEADLINE, OUTCOME_NOT_RUN);
    }
    else if (entry_check_end(entry, call->kind_hash, call->deadline_us) ==
             SERVING_END_TOO_LATE)
    {
        entry_refuse_call(entry, call, REASON_LEAVING, OUTCOME_NOT_RUN);
    }
    else {
        entry_start_call(entry, call);
    }
    return entry_find_call(entry, handle) == NULL ? 0 : handle;
}

static void
replay_response(entry_t *entry, const incoming_request_t *incoming,
                slice_t stored)
{
    entry_response_t response = {
        .reason = REASON_NONE,
        .outcome = OUTCOME_ANSWERED,
        .stored_response = stored,
    };
    entry_return_usage(entry, incoming->counted_workspace);
    entry_count_outcome(OUTCOME_ANSWERED);
    entry->options.io->vtable->respond(entry->options.io, 0,
                                       incoming->request->user, &response);
}

/// Responds with the refusal recorded under the key. The fresh key allows the
/// caller to send the request as a new one.
static void
respond_recorded_refusal(entry_t *entry, const incoming_request_t *incoming,
                         reason_t reason)
{
    char key[KEY_TEXT_MAX + 1] = "";
    if (!entry->draining && incoming->key_ttl_us > 0) {
        key_table_issue(entry->options.keys,
                        slice_from_string(incoming->contract->customer),
                        incoming->key_ttl_us, key);
    }
    refuse_request(entry, incoming, reason, OUTCOME_NOT_RUN, key);
}

static call_handle_t
handle_keyed_request(entry_t *entry, const incoming_request_t *incoming)
{
    const entry_request_t *request = incoming->request;
    key_check_details_t details;
    switch (key_table_submit(entry->options.keys,
                             slice_from_string(incoming->contract->customer),
                             request->key, request->request_hash, &details))
    {
    case KEY_RUN:
        return run_first_request(entry, incoming, details.handle);
    case KEY_OWNED_ELSEWHERE:
        return forward_to_owner(entry, incoming, details.owner);
    case KEY_ANSWERED:
        replay_response(entry, incoming, details.response);
        break;
    case KEY_REFUSED:
        respond_recorded_refusal(entry, incoming, details.reason);
        break;
    case KEY_RESPONSE_NOT_STORED:
        refuse_request(entry, incoming, REASON_ANSWER_NOT_KEPT,
                       OUTCOME_ANSWERED, NULL);
        break;
    case KEY_IN_PROGRESS:
        refuse_request(entry, incoming, REASON_IN_PROGRESS, OUTCOME_UNKNOWN,
                       NULL);
        break;
    case KEY_UNKNOWN:
        refuse_request(entry, incoming, details.reason, OUTCOME_UNKNOWN, NULL);
        break;
    case KEY_REUSED:
        refuse_request(entry, incoming, REASON_KEY_REUSED, OUTCOME_UNKNOWN,
                       NULL);
        break;
    case KEY_EXPIRED:
        refuse_request(entry, incoming, REASON_KEY_EXPIRED, OUTCOME_UNKNOWN,
                       NULL);
        break;
    case KEY_TABLE_FULL:
        // Not OUTCOME_NOT_RUN: without a record a later request with the same
        // key may run.
        refuse_request(entry, incoming, REASON_OVERLOADED, OUTCOME_UNKNOWN,
                       NULL);
        break;
    default:
        refuse_request(entry, incoming, REASON_MALFORMED, OUTCOME_UNKNOWN,
                       NULL);
        break;
    }
    return 0;
}

static slice_t
effective_customer(const entry_t *entry, const incoming_request_t *incoming)
{
    return incoming->parent == NULL || entry->options.no_context_propagation
               ? incoming->request->customer
               : slice_from_string(incoming->parent->customer);
}

/// Looks up the workspace of a request. Calls of the own upstream belong to a
/// request that has been admitted and carry no key, and a request that another
/// node forwards was admitted there. Returns false and sets @p reason if the
/// request may not run.
static bool
find_workspace(const entry_t *entry, incoming_request_t *incoming,
               reason_t *reason)
{
    const workspaces_t *workspaces = entry->options.workspaces;
    const entry_request_t *request = incoming->request;
    const char *customer = incoming->contract->customer;
    // With an adapter, only a known parent distinguishes a call from a
    // request of a caller.
    bool is_call = incoming->parent != NULL ||
                   (request->egress && !entry->options.no_context_propagation);
    if (workspaces == NULL || incoming->kind->anonymous || is_call ||
        request->from_peer || !workspaces_in_force(workspaces, customer))
    {
        return true;
    }
    if (entry->options.key_proof != NULL &&
        !key_proof_is_current(entry->options.key_proof))
    {
        metric_increment(METRIC_ACCESS_KEYS_NOT_CURRENT_TOTAL);
        *reason = REASON_ACCESS_KEYS_NOT_CURRENT;
        return false;
    }
    incoming->workspace =
        workspaces_find_key(workspaces, customer, request->access_key);
    if (incoming->workspace != NULL) {
        return true;
    }
    // The parent of a call may be unknown because this node was restarted
    // while its upstream ran on. Without the parent nothing shows that it is
    // a call, so it doesn't run; but it is no caller with a wrong key.
    bool orphaned = request->egress && request->access_key.len == 0;
    *reason = orphaned ? REASON_NOT_READY : REASON_UNKNOWN_ACCESS_KEY;
    return false;
}

/// Counts a request against the cap of its workspace. Returns false if it is
/// beyond the cap.
static bool
admit_usage(entry_t *entry, incoming_request_t *incoming)
{
    if (entry->options.usage_gate == NULL || incoming->workspace == NULL) {
        return true;
    }
    if (!usage_gate_admit(entry->options.usage_gate, incoming->workspace)) {
        metric_increment(METRIC_CALLS_BEYOND_CAP_TOTAL);
        return false;
    }
    incoming->counted_workspace = incoming->workspace->id;
    return true;
}

/// Accepts a request. The adapter's respond() is called for it, at once or
/// later. Returns the handle of its call, or 0 if the call has already ended.
call_handle_t
entry_request(entry_t *entry, const entry_request_t *request)
{
    metric_increment(METRIC_CALLS_TOTAL);
    incoming_request_t incoming = {.request = request};
    if (!entry->ready) {
        refuse_early(entry, &incoming, REASON_NOT_READY);
        return 0;
    }
    if (request->egress && request->context_id != 0) {
        incoming.parent = request_contexts_find(entry->options.contexts,
                                                request->context_id);
    }
    incoming.contract = entry->options.lookup(
        entry->options.lookup_context, effective_customer(entry, &incoming));
    if (incoming.contract != NULL) {
        incoming.kind =
            contract_match(incoming.contract, request->method, request->path);
    }
    if (incoming.kind == NULL) {
        refuse_early(entry, &incoming, REASON_NO_SUCH_KIND);
        return 0;
    }
    reason_t reason = REASON_NONE;
    if (!find_workspace(entry, &incoming, &reason)) {
        refuse_early(entry, &incoming, reason);
        return 0;
    }
    if (!admit_usage(entry, &incoming)) {
        refuse_early(entry, &incoming, REASON_USAGE_CAP);
        return 0;
    }
    incoming.key_ttl_us =
        kind_limits(incoming.contract, incoming.kind).key_ttl_ms * US_PER_MS;
    return request->key.len > 0 ? handle_keyed_request(entry, &incoming)
                                : handle_unkeyed_request(entry, &incoming);
}

/// Reports the end of a forwarded request. @p answered: the adapter has passed
/// the owner's response to the caller; otherwise the entry refuses the
/// request. @p connected is false if no byte reached the owner. It isn't used:
/// the outcome is unknown even then, because an earlier request with the same
/// key may have run.
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

/// Reports that the caller has disconnected. Its call is cancelled, except
/// that a request with a key continues until its outcome is known.
void
entry_caller_disconnected(entry_t *entry, call_handle_t handle)
{
    entry_call_t *call = entry_find_call(entry, handle);
    if (call == NULL || !call->caller_waiting) {
        return;
    }
    if (call->forwarded) {
        entry->options.io->vtable->cancel(entry->options.io, handle,
                                          call->user, FORWARDED_REQUEST);
    }
    call->caller_waiting = false;
    entry_count_outcome(OUTCOME_UNKNOWN);
    if (!call->has_key || call->forwarded) {
        entry_refuse_call(entry, call, REASON_DEADLINE, OUTCOME_UNKNOWN);
    }
}

/// Handles deadlines and hedges. Must be called every few milliseconds.
void
entry_tick(entry_t *entry)
{
    int64_t now_us = clock_now_us(entry->options.clock);
    for (uint32_t i = entry->slots.count; i > 0; i--) {
        uint32_t slot = slot_table_at(&entry->slots, i - 1);
        entry_tick_call(entry, &entry->calls[slot], now_us);
    }
}

/// Sets whether requests are accepted; if not, they are refused as not-ready.
void
entry_set_ready(entry_t *entry, bool ready)
{
    entry->ready = ready;
}

/// Sets the time after which responses can't be passed on any more, because
/// the process ends. Requests that can't be expected to end by then are
/// refused as not run, and upstreams get no more time than is left until then.
/// Late ones of kinds that this node hasn't timed are left to the guards.
void
entry_set_end(entry_t *entry, const serving_end_t *end)
{
    entry->end = *end;
}

/// Refuses callers' requests as not run from now on, because the process ends
/// soon. Calls by the own upstream are still accepted.
void
entry_refuse_callers(entry_t *entry)
{
    entry->refuses_callers = true;
}

/// Responds to all callers that still wait, because the process ends now.
void
entry_end_calls(entry_t *entry)
{
    for (uint32_t i = entry->slots.count; i > 0; i--) {
        entry_call_t *call =
            &entry->calls[slot_table_at(&entry->slots, i - 1)];
        if (call->caller_waiting) {
            entry_refuse_call(entry, call, REASON_LEAVING, OUTCOME_UNKNOWN);
        }
    }
}

/// Sets whether the node is draining: it issues no keys then, but still serves
/// requests with the keys that it owns.
void
entry_set_draining(entry_t *entry, bool draining)
{
    entry->draining = draining;
}

/// Returns the number of calls whose callers wait for a response or whose keys
/// have no outcome yet.
uint32_t
entry_in_flight(const entry_t *entry)
{
    return entry->slots.count;
}
