/// @file
/// Oracle of the call fuzzer. It sees only what callers, upstreams and the
/// network see and knows nothing of the state of the code under test.

#include "fuzz/common/call_sim.h"

#include <stdio.h>
#include <stdlib.h>

/// What happened under the text of one key.
typedef struct {
    uint32_t runs;
    bool told_not_run;
    bool issued;
    uint32_t customer; ///< to which it was issued
} key_fact_t;

G_GNUC_PRINTF(2, 3)
static void
fail(const char *promise, const char *format, ...)
{
    va_list arguments;
    va_start(arguments, format);
    fprintf(stderr, "oracle: %s: ", promise);
    vfprintf(stderr, format, arguments);
    fputc('\n', stderr);
    va_end(arguments);
    abort();
}

static key_fact_t *
fact_of(sim_t *sim, const char *key)
{
    key_fact_t *fact = g_hash_table_lookup(sim->key_histories, key);
    if (fact == NULL) {
        fact = g_new0(key_fact_t, 1);
        g_hash_table_insert(sim->key_histories, g_strdup(key), fact);
    }
    return fact;
}

/// A caller has got a fresh key.
void
oracle_key_issued(sim_t *sim, const char *key, uint32_t customer)
{
    key_fact_t *fact = fact_of(sim, key);
    if (fact->issued) {
        fail("P5", "key was issued twice: %s", key);
    }
    fact->issued = true;
    fact->customer = customer;
}

/// P1: attempts sent to each service for one caller request. Requests of an
/// upstream whose account had ended carry no units but are first attempts.
void
oracle_attempt(sim_t *sim, const exchange_t *exchange)
{
    submission_t *root = exchange->submission->root;
    uint32_t service = service_of_node(exchange->to);
    uint32_t most = 1 + (uint32_t)sim->contracts[root->customer].retries;
    if (++root->attempts[service] > most) {
        fail("P1", "%u attempts at s%u, at most %u", root->attempts[service],
             service, most);
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

/// A request goes to the owner of its key once and never further.
void
oracle_forward(const exchange_t *exchange)
{
    if (exchange->submission->forward_exchange != NULL) {
        fail("forward", "a forwarded request was forwarded again");
    }
}

/// P4 and P5: an upstream runs a request.
void
oracle_run(sim_t *sim, run_t *run, int64_t budget_us)
{
    submission_t *request =
        (submission_t *)original_submission(run->exchange->submission);
    if (budget_us <= 0) {
        fail("deadline", "started with a budget of %ld us", (long)budget_us);
    }
    if (sim->kinds[request->kind].service[1] !=
        (char)('0' + (int)service_of_node(run->node)))
    {
        fail("P3", "run %u started at another service", run->id);
    }
    if (run->exchange->after_draining) {
        fail("P6", "run %u started at a leaving upstream", run->id);
    }
    if (run->fault == RUN_CONNECT_FAILED || run->fault == RUN_SHED) {
        return;
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
    key_fact_t *fact = fact_of(sim, request->key);
    if (!fact->issued || fact->customer != request->customer) {
        fail("P5", "key ran that was not issued to its sender: %s",
             request->key);
    }
    if (++fact->runs > 1) {
        fail("P5", "key ran %u times: %s", fact->runs, request->key);
    }
    if (fact->told_not_run) {
        fail("P4", "key ran after not-run was told: %s", request->key);
    }
}

static void
check_identity(sim_t *sim, const submission_t *request, const char *text)
{
    unsigned id = 0;
    if (text == NULL || sscanf(text, "run %u whole", &id) != 1 ||
        strstr(text, "whole") == NULL || id >= sim->runs->len)
    {
        fail("P3", "answer isn't whole: %s", text == NULL ? "none" : text);
    }
    const run_t *run = g_ptr_array_index(sim->runs, id);
    const submission_t *ran = original_submission(run->exchange->submission);
    bool own = request->key[0] == '\0' ? ran == request
                                       : strcmp(ran->key, request->key) == 0;
    if (!own || ran->customer != request->customer ||
        ran->kind != request->kind || ran->body != request->body)
    {
        fail("P3", "answer of run %u belongs to another request", id);
    }
}

/// P3 and P4: a caller gets its answer.
void
oracle_answer(sim_t *sim, submission_t *submission,
              const entry_response_t *answer, const char *text)
{
    if (submission->ended) {
        fail("P3", "second answer to one request");
    }
    submission->ended = true;
    submission->reason = answer->reason;
    if (answer->reason == REASON_NONE) {
        check_identity(sim, submission, text);
        return;
    }
    if (answer->outcome != OUTCOME_NOT_RUN) {
        return;
    }
    submission->told_not_run = true;
    if (submission->runs > 0) {
        fail("P4", "told not-run (%s) after %u runs",
             reason_token(answer->reason), submission->runs);
    }
    if (submission->key[0] != '\0') {
        key_fact_t *fact = fact_of(sim, submission->key);
        fact->told_not_run = true;
        if (fact->runs > 0) {
            fail("P4", "told not-run (%s) of a key that ran: %s",
                 reason_token(answer->reason), submission->key);
        }
    }
}

/// P7: a guard cuts a request off.
void
oracle_guard_cancel(sim_t *sim, const exchange_t *exchange)
{
    const node_t *node = &sim->nodes[exchange->to];
    if (exchange->sender_open && node->clock.now_us < exchange->deadline_us) {
        fail("P7", "request cut before its deadline");
    }
}

/// P7: a node exits after a planned stop.
void
oracle_stop(sim_t *sim, const node_t *node)
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

static bool
was_sent_lately(const sim_t *sim, const char *key)
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

/// A key whose submissions are all over has an outcome: its owner doesn't
/// call it running any more. Owners whose clock was stepped wait for longer.
void
oracle_check_settled_key(sim_t *sim, const submission_t *issued)
{
    const node_t *node = &sim->nodes[issued->node];
    if (node->skew_us != 0 || was_sent_lately(sim, issued->key)) {
        return;
    }
    submission_t model = {
        .node = issued->node,
        .customer = issued->customer,
        .kind = issued->kind,
        .body = issued->body,
        .context_open = true,
    };
    memcpy(model.key, issued->key, sizeof(model.key));
    if (sim_submit(sim, &model)->reason == REASON_IN_PROGRESS) {
        fail("liveness", "key is running for ever: %s", issued->key);
    }
}

/// Every caller is answered once all faults are over and time has passed, and
/// no call, request or account is left behind.
void
oracle_check_end(sim_t *sim)
{
    for (guint i = 0; i < sim->submissions->len; i++) {
        const submission_t *submission =
            g_ptr_array_index(sim->submissions, i);
        if (!submission->ended) {
            fail("liveness", "request %u of kind %u at node %u%s", i,
                 submission->kind, submission->node,
                 submission->parent != NULL ? ", of an upstream" : "");
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
