/// @file
/// Oracle of the call fuzzer. It sees only what callers, upstreams and the
/// network see, and nothing of the state of the code under test. It checks
/// these guarantees of docs/design.md:
///
/// * P1: bounded attempts at each service for one caller's request;
/// * P3: one complete response, which belongs to the request;
/// * P4: a request whose caller got the outcome "not run" never runs;
/// * P5: a non-idempotent request runs at most once;
/// * P6: a draining upstream gets no new request;
/// * P7: a planned stop interrupts no request.

#include "fuzz/common/call_sim.h"

#include <stdio.h>
#include <stdlib.h>

/// What was seen of one key, by its text.
typedef struct {
    uint32_t runs;     ///< at upstreams
    bool told_not_run; ///< a caller got the outcome "not run" for it
    bool issued;
    uint32_t customer; ///< to whom it was issued
} key_history_t;

/// Prints the broken guarantee and aborts.
G_GNUC_PRINTF(2, 3)
static void
fail(const char *guarantee, const char *format, ...)
{
    va_list arguments;
    va_start(arguments, format);
    fprintf(stderr, "oracle: %s: ", guarantee);
    vfprintf(stderr, format, arguments);
    fputc('\n', stderr);
    va_end(arguments);
    abort();
}

static key_history_t *
find_key_history(sim_t *sim, const char *key)
{
    key_history_t *history = g_hash_table_lookup(sim->key_histories, key);
    if (history == NULL) {
        history = g_new0(key_history_t, 1);
        g_hash_table_insert(sim->key_histories, g_strdup(key), history);
    }
    return history;
}

/// Records that a key was issued to a caller, and checks P5: only once.
void
oracle_key_issued(sim_t *sim, const char *key, uint32_t customer)
{
    key_history_t *history = find_key_history(sim, key);
    if (history->issued) {
        fail("P5", "key was issued twice: %s", key);
    }
    history->issued = true;
    history->customer = customer;
}

/// Checks P1, the bound on attempts to each service for one caller's request,
/// and that calls carry customer and worth of the root. Every attempt counts,
/// also the first one of a call whose request context has been removed; such a
/// call gets no retry tokens, and customer and worth of its root are unknown.
void
oracle_attempt(sim_t *sim, const exchange_t *exchange)
{
    submission_t *root = exchange->submission->root;
    uint32_t service = service_of_node(exchange->to);
    uint32_t attempts_max =
        1 + (uint32_t)sim->contracts[root->customer].retries;
    if (++root->attempts[service] > attempts_max) {
        fail("P1", "%u attempts at s%u, at most %u", root->attempts[service],
             service, attempts_max);
    }
    if (!exchange->submission->context_open) {
        return;
    }
    const char *customer = sim->contracts[root->customer].customer;
    if (strcmp(exchange->info.customer, customer) != 0) {
        fail("context", "customer %s of a request of %s",
             exchange->info.customer, customer);
    }
    if (exchange->info.worth < sim->kinds[root->kind].worth) {
        fail("context", "worth %d below the root's", exchange->info.worth);
    }
}

/// Checks that a request is forwarded to the owner of its key at most once.
void
oracle_forward(const exchange_t *exchange)
{
    if (exchange->submission->forward_exchange != NULL) {
        fail("forward", "a forwarded request was forwarded again");
    }
}

/// Checks a request that an upstream starts to run: P3 (right service), P4
/// ("not run" is final), P5 (at most once), P6 (upstream isn't draining), and
/// that its deadline hasn't passed.
void
oracle_run(sim_t *sim, run_t *run, int64_t budget_us)
{
    submission_t *request =
        (submission_t *)original_submission(run->exchange->submission);
    if (budget_us <= 0) {
        fail("deadline", "started with a budget of %ld us", (long)budget_us);
    }
    // Service number N is named "sN".
    if (sim->kinds[request->kind].service[1] !=
        (char)('0' + (int)service_of_node(run->node)))
    {
        fail("P3", "run %u started at another service", run->id);
    }
    if (run->exchange->after_draining) {
        fail("P6", "run %u started at a leaving upstream", run->id);
    }
    if (run->fault == RUN_CONNECT_FAILED || run->fault == RUN_SHED) {
        return; // The request doesn't run.
    }
    request->runs++;
    if (request->told_not_run) {
        fail("P4", "request ran after its caller was told not-run");
    }
    if (request->key[0] == '\0') {
        if (request->non_idempotent) {
            fail("P5", "unrepeatable request ran without a key");
        }
        return;
    }
    key_history_t *history = find_key_history(sim, request->key);
    if (!history->issued || history->customer != request->customer) {
        fail("P5", "key ran that was not issued to its sender: %s",
             request->key);
    }
    if (++history->runs > 1) {
        fail("P5", "key ran %u times: %s", history->runs, request->key);
    }
    if (history->told_not_run) {
        fail("P4", "key ran after not-run was told: %s", request->key);
    }
}

/// Checks P3: the response is complete and belongs to the request.
static void
check_response_identity(sim_t *sim, const submission_t *request,
                        const char *text)
{
    unsigned id = 0;
    if (text == NULL || sscanf(text, "run %u whole", &id) != 1 ||
        strstr(text, "whole") == NULL || id >= sim->runs->len)
    {
        fail("P3", "answer isn't whole: %s", text == NULL ? "none" : text);
    }
    const run_t *run = g_ptr_array_index(sim->runs, id);
    const submission_t *ran = original_submission(run->exchange->submission);
    bool is_own_response = request->key[0] == '\0'
                               ? ran == request
                               : strcmp(ran->key, request->key) == 0;
    if (!is_own_response || ran->customer != request->customer ||
        ran->kind != request->kind || ran->body != request->body)
    {
        fail("P3", "answer of run %u belongs to another request", id);
    }
}

/// Checks a response to a caller: P3 (one complete response to its request)
/// and P4 ("not run" is only said of a request that hasn't run).
void
oracle_response(sim_t *sim, submission_t *submission,
                const entry_response_t *response, const char *text)
{
    if (submission->ended) {
        fail("P3", "second response to one request");
    }
    submission->ended = true;
    submission->reason = response->reason;
    if (response->reason == REASON_NONE) {
        check_response_identity(sim, submission, text);
        return;
    }
    if (response->outcome != OUTCOME_NOT_RUN) {
        return;
    }
    submission->told_not_run = true;
    if (submission->runs > 0) {
        fail("P4", "told not-run (%s) after %u runs",
             reason_token(response->reason), submission->runs);
    }
    if (submission->key[0] != '\0') {
        key_history_t *history = find_key_history(sim, submission->key);
        history->told_not_run = true;
        if (history->runs > 0) {
            fail("P4", "told not-run (%s) of a key that ran: %s",
                 reason_token(response->reason), submission->key);
        }
    }
}

/// Checks P7 for a request that a guard cancels: its sender has disconnected
/// or its deadline has passed.
void
oracle_guard_cancel(sim_t *sim, const exchange_t *exchange)
{
    const node_t *node = &sim->nodes[exchange->to];
    if (exchange->sender_open && node->clock.now_us < exchange->deadline_us) {
        fail("P7", "request cut before its deadline");
    }
}

/// Checks P7 for a node that exits after a planned stop: no request is
/// interrupted.
void
oracle_planned_stop(sim_t *sim, const node_t *node)
{
    for (guint i = 0; i < sim->submissions->len; i++) {
        const submission_t *submission =
            g_ptr_array_index(sim->submissions, i);
        if (submission->node == node->number && !submission->ended &&
            submission->incarnation == node->incarnation)
        {
            fail("P7", "planned stop cut a caller's request");
        }
    }
    for (guint i = 0; i < sim->exchanges->len; i++) {
        const exchange_t *exchange = g_ptr_array_index(sim->exchanges, i);
        if (exchange->to == node->number && exchange->sender_open &&
            exchange->to_incarnation == node->incarnation &&
            exchange->stage == STAGE_RECEIVED)
        {
            fail("P7", "planned stop cut a request at the guard");
        }
    }
}

/// Returns whether the key was submitted less than two deadlines and the wait
/// for a late response ago, so that its outcome may still be open.
static bool
was_sent_recently(const sim_t *sim, const char *key)
{
    int64_t since_us =
        sim->now_us - LATE_RESPONSE_WAIT_US - 2 * DEADLINE_MS * US_PER_MS;
    for (guint i = 0; i < sim->submissions->len; i++) {
        const submission_t *submission =
            g_ptr_array_index(sim->submissions, i);
        if (submission->sent_us > since_us &&
            strcmp(submission->key, key) == 0) {
            return true;
        }
    }
    return false;
}

/// Checks that a key has an outcome after all of its submissions have ended:
/// its owner doesn't refuse it as in-progress any more. Skips owners whose
/// clock was stepped, since they wait for longer.
void
oracle_check_settled_key(sim_t *sim, const submission_t *issued)
{
    const node_t *node = &sim->nodes[issued->node];
    if (node->skew_us != 0 || was_sent_recently(sim, issued->key)) {
        return;
    }
    submission_t template = {
        .node = issued->node,
        .customer = issued->customer,
        .kind = issued->kind,
        .body = issued->body,
        .context_open = true,
    };
    memcpy(template.key, issued->key, sizeof(template.key));
    if (sim_submit(sim, &template)->reason == REASON_IN_PROGRESS) {
        fail("liveness", "key is running for ever: %s", issued->key);
    }
}

/// Checks that every caller has got a response after all faults have ended and
/// time has passed, and that no call, request or request context is left.
void
oracle_check_end(sim_t *sim)
{
    for (guint i = 0; i < sim->submissions->len; i++) {
        const submission_t *submission =
            g_ptr_array_index(sim->submissions, i);
        if (!submission->ended) {
            fail("liveness",
                 "no response to request %u of kind %u at node %u%s", i,
                 submission->kind, submission->node,
                 submission->parent != NULL ? ", sent by an upstream" : "");
        }
    }
    for (uint32_t i = 0; i < NODES; i++) {
        const node_t *node = &sim->nodes[i];
        if (entry_in_flight(&node->entry) + guard_in_flight(&node->guard) +
                node->contexts.slots.count >
            0)
        {
            fail("liveness", "node %u holds %u calls, %u requests", i,
                 entry_in_flight(&node->entry), guard_in_flight(&node->guard));
        }
    }
}
