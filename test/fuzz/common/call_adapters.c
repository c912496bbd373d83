/// @file
/// Fake adapters of entry and guard: exchanges between nodes, upstreams that
/// call the next service, and faults of both.

#include "fuzz/common/call_sim.h"

#include <stdio.h>

#define LINK_LATENCY_US (2 * US_PER_MS)
#define CONNECT_TIMEOUT_US (200 * US_PER_MS)
/// Longer than a deadline, the wait for a late response and the TTL of a key.
#define DELAY_US (90 * US_PER_S)
#define RUN_TIME_US (5 * US_PER_MS)
#define SLOW_RUN_TIME_US (3 * US_PER_S)

/// Returns the request as its caller sent it, before it was forwarded.
const submission_t *
original_submission(const submission_t *submission)
{
    return submission->origin == NULL ? submission : submission->origin;
}

static exchange_t *
start_exchange(node_t *node, call_handle_t call, void *user, uint32_t to,
               const attempt_info_t *info)
{
    sim_t *sim = node->sim;
    exchange_t *exchange = g_new0(exchange_t, 1);
    g_ptr_array_add(sim->exchanges, exchange);
    exchange->submission = user;
    exchange->from = node->number;
    exchange->from_incarnation = node->incarnation;
    exchange->to = to;
    exchange->to_incarnation = sim->nodes[to].incarnation;
    exchange->call = call;
    exchange->info = *info;
    g_strlcpy(exchange->customer, info->customer, sizeof(exchange->customer));
    g_strlcpy(exchange->kind, info->kind, sizeof(exchange->kind));
    g_strlcpy(exchange->service, info->service, sizeof(exchange->service));
    exchange->info.customer = exchange->customer;
    exchange->info.service = exchange->service;
    exchange->info.kind = exchange->kind;
    exchange->fault = sim->send_fault;
    sim->send_fault = SEND_NORMAL;
    exchange->sender_open = true;
    exchange->due_us =
        sim->now_us +
        (exchange->fault == SEND_DELAY_REQUEST ? DELAY_US : LINK_LATENCY_US);
    exchange->timeout_us = sim->now_us + info->response_timeout_us;
    if (sim->nodes[to].down ||
        sim->link_down[node->number / SERVICES][to / SERVICES])
    {
        exchange->fault = SEND_CONNECT_FAILED;
        exchange->due_us = sim->now_us + CONNECT_TIMEOUT_US;
    }
    return exchange;
}

/// Redirects an exchange to another VM, as when the sender's VM list is out of
/// date and the address belongs to another VM now.
static void
redirect_to_next_node(exchange_t *exchange, const sim_t *sim)
{
    exchange->to = (exchange->to + 1) % NODES;
    exchange->to_incarnation = sim->nodes[exchange->to].incarnation;
}

static void
fake_send(entry_io_t *io, call_handle_t call, void *user, uint32_t attempt,
          vm_handle_t vm, const attempt_info_t *info)
{
    node_t *node = (node_t *)io;
    const char *name = picker_vm_name(&node->picker, vm);
    uint32_t to = (uint32_t)atoi(name + 2);
    exchange_t *exchange = start_exchange(node, call, user, to, info);
    exchange->attempt = attempt;
    oracle_attempt(node->sim, exchange);
    if (exchange->fault == SEND_WRONG_NODE) {
        redirect_to_next_node(exchange, node->sim);
    }
}

static void
fake_forward(entry_io_t *io, call_handle_t call, void *user,
             const char *vm_name, const attempt_info_t *info)
{
    node_t *node = (node_t *)io;
    uint32_t to = vm_name[0] == 'v' && vm_name[1] == 'm'
                      ? (uint32_t)atoi(vm_name + 2) % NODES
                      : 0;
    exchange_t *exchange = start_exchange(node, call, user, to, info);
    exchange->forward = true;
    oracle_forward(exchange);
    if (exchange->fault == SEND_WRONG_NODE) {
        redirect_to_next_node(exchange, node->sim);
        return;
    }
    if (strcmp(node->sim->nodes[to].name, vm_name) != 0) {
        exchange->fault = SEND_CONNECT_FAILED;
    }
}

static void
fake_cancel(entry_io_t *io, call_handle_t call, void *user, uint32_t attempt)
{
    (void)user;
    node_t *node = (node_t *)io;
    for (guint i = 0; i < node->sim->exchanges->len; i++) {
        exchange_t *exchange = g_ptr_array_index(node->sim->exchanges, i);
        if (exchange->sender_open && exchange->from == node->number &&
            exchange->from_incarnation == node->incarnation &&
            exchange->call == call && exchange->attempt == attempt)
        {
            exchange->sender_open = false;
        }
    }
}

/// Returns whether all request contexts exist from the run up to the root, so
/// that customer and worth of the root apply to calls made by the run.
static bool
has_all_contexts(const run_t *run)
{
    return run->context_open &&
           original_submission(run->exchange->submission)->context_open;
}

/// Submits a request again with the key that its refusal carried.
void
resubmit_with_key(sim_t *sim, submission_t *submission)
{
    submission_t resubmission = *submission;
    submission->next_key[0] = '\0';
    memcpy(resubmission.key, resubmission.next_key,
           sizeof(resubmission.next_key));
    resubmission.next_key[0] = '\0';
    resubmission.retries_with_key = false;
    if (resubmission.parent == NULL) {
        resubmission.root = NULL;
    }
    else {
        resubmission.context_open = has_all_contexts(resubmission.parent);
    }
    sim_submit(sim, &resubmission);
}

/// Delivers a response to the caller, or to the upstream that made the call.
static void
deliver_response(sim_t *sim, submission_t *submission,
                 const entry_response_t *response, const char *text)
{
    oracle_response(sim, submission, response, text);
    bool resubmits = submission->retries_with_key &&
                     response->reason == REASON_KEY_REQUIRED &&
                     response->new_key[0] != '\0';
    if (response->new_key[0] != '\0') {
        oracle_key_issued(sim, response->new_key, submission->customer);
        submission_t *issued = g_new(submission_t, 1);
        *issued = *submission;
        g_strlcpy(issued->key, response->new_key, sizeof(issued->key));
        g_ptr_array_add(sim->issued_keys, issued);
    }
    if (resubmits) {
        // Submitted by resubmit_with_key() later, because adapters must not
        // call into the entry here.
        memcpy(submission->next_key, response->new_key,
               sizeof(submission->next_key));
    }
    else if (submission->parent != NULL) {
        submission->parent->waiting_for_child = false;
        submission->parent->due_us = sim->now_us + LINK_LATENCY_US;
    }
}

static void
fake_respond(entry_io_t *io, call_handle_t call, void *user,
             const entry_response_t *response)
{
    (void)call;
    node_t *node = (node_t *)io;
    submission_t *submission = user;
    char text[64] = "none";
    if (response->answered_attempt != 0 && node->reported_response != NULL) {
        g_strlcpy(text, node->reported_response, sizeof(text));
    }
    else if (response->stored_response.data != NULL) {
        size_t len = MIN(response->stored_response.len, sizeof(text) - 1);
        memcpy(text, response->stored_response.data, len);
        text[len] = '\0';
    }
    if (submission->forward_exchange == NULL) {
        deliver_response(node->sim, submission, response, text);
        return;
    }
    submission->ended = true;
    exchange_t *exchange = submission->forward_exchange;
    exchange->forwarded_response = *response;
    exchange->answered = true;
    g_strlcpy(exchange->response_text, text, sizeof(exchange->response_text));
    exchange->stage = STAGE_RESPONSE;
    exchange->due_us =
        node->sim->now_us +
        (exchange->fault == SEND_DELAY_RESPONSE ? DELAY_US : LINK_LATENCY_US);
}

const entry_io_vtable_t fake_entry_io = {fake_send, fake_cancel, fake_forward,
                                         fake_respond};

static node_t *
node_of_guard(guard_io_t *io)
{
    return (node_t *)((char *)io - offsetof(node_t, guard_io));
}

static void
fake_guard_start(guard_io_t *io, call_handle_t handle, void *user,
                 uint64_t request_id, int64_t budget_us, int64_t wait_us)
{
    (void)wait_us;
    node_t *node = node_of_guard(io);
    sim_t *sim = node->sim;
    exchange_t *exchange = user;
    run_t *run = g_new0(run_t, 1);
    run->id = sim->runs->len;
    g_ptr_array_add(sim->runs, run);
    run->node = node->number;
    run->incarnation = node->incarnation;
    run->exchange = exchange;
    run->guard_handle = handle;
    run->context_id = request_id;
    run->context_open = request_id != 0;
    run->fault = sim->run_fault;
    sim->run_fault = RUN_NORMAL;
    run->due_us = run->fault == RUN_NO_RESPONSE ? INT64_MAX
                  : run->fault == RUN_SLOW ? sim->now_us + SLOW_RUN_TIME_US
                                           : sim->now_us + RUN_TIME_US;
    exchange->run = run;
    oracle_run(sim, run, budget_us);
}

static void
fake_guard_cancel(guard_io_t *io, call_handle_t handle, void *user)
{
    (void)handle;
    exchange_t *exchange = user;
    oracle_guard_cancel(node_of_guard(io)->sim, exchange);
    exchange->run->context_open = false;
}

static attempt_result_t
attempt_result(const guard_response_t *response)
{
    attempt_result_t result = {
        .type = response->reason == REASON_NONE        ? ATTEMPT_ANSWERED
                : response->outcome == OUTCOME_NOT_RUN ? ATTEMPT_REFUSED
                                                       : ATTEMPT_LOST,
        .reason = response->reason,
        .status = 200,
        .retry_tokens_left = response->retry_tokens_left,
        .retry_after_ms = response->retry_after_ms,
        .has_load = true,
        .load = response->load,
    };
    return result;
}

static void
fake_guard_respond(guard_io_t *io, call_handle_t handle, void *user,
                   const guard_response_t *response)
{
    (void)handle;
    sim_t *sim = node_of_guard(io)->sim;
    exchange_t *exchange = user;
    exchange->stage = STAGE_RESPONSE;
    exchange->result = attempt_result(response);
    if (exchange->fault == SEND_TOKENS_FORGED) {
        exchange->result.retry_tokens_left = 1000;
    }
    exchange->due_us =
        sim->now_us +
        (exchange->fault == SEND_DELAY_RESPONSE ? DELAY_US : LINK_LATENCY_US);
    if (exchange->run != NULL) {
        exchange->run->context_open = false;
        snprintf(exchange->response_text, sizeof(exchange->response_text),
                 "run %u whole", exchange->run->id);
    }
}

const guard_io_vtable_t fake_guard_io = {fake_guard_start, fake_guard_cancel,
                                         fake_guard_respond};

/// Reports to the sender's entry how the exchange ended, if it still waits.
static void
report_result(sim_t *sim, exchange_t *exchange, attempt_result_type_t type)
{
    node_t *node =
        sim_find_node(sim, exchange->from, exchange->from_incarnation);
    if (!exchange->sender_open || node == NULL) {
        return;
    }
    exchange->sender_open = false;
    if (exchange->forward) {
        bool answered = type == ATTEMPT_ANSWERED;
        submission_t *submission = exchange->submission;
        if (answered && !submission->ended) {
            deliver_response(sim, submission, &exchange->forwarded_response,
                             exchange->response_text);
        }
        entry_forward_done(&node->entry, exchange->call, answered,
                           type != ATTEMPT_CONNECT_FAILED);
        return;
    }
    attempt_result_t result = exchange->result;
    if (type != exchange->result.type) {
        result = (attempt_result_t){.type = type};
    }
    if (type == ATTEMPT_ANSWERED) {
        result.response = slice_from_string(exchange->response_text);
        node->reported_response = exchange->response_text;
    }
    entry_attempt_done(&node->entry, exchange->call, exchange->attempt,
                       &result);
    node->reported_response = NULL;
}

/// Ends the sender's side of the exchange without a response.
void
report_sender_timeout(sim_t *sim, exchange_t *exchange)
{
    bool sent = exchange->connected || exchange->stage != STAGE_REQUEST ||
                exchange->fault != SEND_CONNECT_FAILED;
    report_result(sim, exchange, sent ? ATTEMPT_LOST : ATTEMPT_CONNECT_FAILED);
}

static void
receive_forwarded_request(sim_t *sim, exchange_t *exchange)
{
    const submission_t *origin = exchange->submission;
    submission_t template = *origin;
    template.origin = exchange->submission;
    template.forward_exchange = exchange;
    template.node = exchange->to;
    template.parent = NULL;
    template.retries_with_key = false;
    exchange->owner_submission = sim_submit(sim, &template);
}

static void
receive_attempt(node_t *node, exchange_t *exchange)
{
    exchange->deadline_us = node->clock.now_us + exchange->info.budget_us;
    exchange->after_draining = node->draining;
    guard_request_t request = {
        .customer = slice_from_string(exchange->info.customer),
        .kind = slice_from_string(exchange->info.kind),
        .service = slice_from_string(exchange->info.service),
        .worth = exchange->info.worth,
        .budget_us = exchange->info.budget_us,
        .retry_tokens = exchange->info.retry_tokens,
        .at_most_once = exchange->info.at_most_once,
        .user = exchange,
    };
    exchange->guard_handle = guard_request(&node->guard, &request);
}

/// Delivers the request to the receiver. It arrives even if the sender has
/// closed its connection: the guard reads the bytes before the end of the
/// stream.
static void
deliver_request(sim_t *sim, exchange_t *exchange)
{
    node_t *node = sim_find_node(sim, exchange->to, exchange->to_incarnation);
    if (exchange->fault == SEND_CONNECT_FAILED || node == NULL) {
        exchange->stage = STAGE_DONE;
        report_result(sim, exchange,
                      exchange->fault == SEND_RESET_BEFORE
                          ? ATTEMPT_LOST
                          : ATTEMPT_CONNECT_FAILED);
        return;
    }
    if (exchange->fault == SEND_RESET_BEFORE) {
        exchange->stage = STAGE_DONE;
        report_result(sim, exchange, ATTEMPT_LOST);
        return;
    }
    exchange->connected = true;
    exchange->stage = STAGE_RECEIVED;
    if (exchange->forward) {
        receive_forwarded_request(sim, exchange);
        return;
    }
    receive_attempt(node, exchange);
    if (exchange->fault == SEND_RESET_AFTER) {
        exchange->timeout_us = sim->now_us;
    }
}

/// Reports to the receiver that the sender has closed the connection.
void
report_sender_disconnect(sim_t *sim, exchange_t *exchange)
{
    exchange->disconnect_seen = true;
    node_t *node = sim_find_node(sim, exchange->to, exchange->to_incarnation);
    if (node == NULL) {
        return;
    }
    exchange->stage = STAGE_DONE;
    if (exchange->forward) {
        exchange->owner_submission->ended = true;
        entry_caller_disconnected(&node->entry,
                                  exchange->owner_submission->handle);
    }
    else {
        guard_sender_disconnected(&node->guard, exchange->guard_handle);
    }
}

/// Carries out the due event of an exchange: the request or the response
/// arrives.
void
deliver_exchange(sim_t *sim, exchange_t *exchange)
{
    if (exchange->stage == STAGE_REQUEST) {
        deliver_request(sim, exchange);
        return;
    }
    exchange->stage = STAGE_DONE;
    if (exchange->fault == SEND_RESPONSE_TRUNCATED) {
        report_result(sim, exchange, ATTEMPT_LOST);
        return;
    }
    report_result(sim, exchange,
                  exchange->forward ? ATTEMPT_ANSWERED
                                    : exchange->result.type);
}

static void
call_next_service(sim_t *sim, run_t *run, uint32_t service)
{
    const submission_t *request =
        original_submission(run->exchange->submission);
    bool non_idempotent = sim->kinds[request->kind].run == RUN_ONCE;
    submission_t template = {
        .root = request->root,
        .parent = run,
        .node = run->node,
        .customer = request->root->customer,
        .kind = (service + 1) * KINDS_PER_SERVICE + non_idempotent,
        .body = request->body,
        .retries_with_key = true,
        .context_open = has_all_contexts(run),
    };
    run->child_sent = true;
    run->waiting_for_child = true;
    sim_submit(sim, &template);
}

/// Carries out the next step of a run: the call to the next service, then the
/// upstream's response.
void
advance_run(sim_t *sim, run_t *run)
{
    node_t *node = sim_find_node(sim, run->node, run->incarnation);
    if (node == NULL) {
        run->ended = true;
        return;
    }
    uint32_t service = service_of_node(run->node);
    bool runs = run->fault != RUN_CONNECT_FAILED && run->fault != RUN_SHED;
    if (runs && !run->child_sent && service + 1 < SERVICES) {
        call_next_service(sim, run, service);
        return;
    }
    static const upstream_result_t results[RUN_FAULT_COUNT] = {
        UPSTREAM_ANSWERED, UPSTREAM_CONNECT_FAILED,     UPSTREAM_SHED,
        UPSTREAM_LOST,     UPSTREAM_RESPONSE_TOO_LARGE, UPSTREAM_ANSWERED,
        UPSTREAM_LOST};
    run->ended = true;
    guard_upstream_done(&node->guard, run->guard_handle, results[run->fault]);
}
