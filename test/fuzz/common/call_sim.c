/// @file
/// Nodes of the call fuzzer: start and stop of their processes, time, and
/// delivery of due events.

#include "fuzz/common/call_sim.h"

#include <stdio.h>

#define ROUNDS_MAX 2000 ///< in one step; ends an endless exchange of events

/// Returns the service of a node's upstream.
uint32_t
service_of_node(uint32_t node)
{
    return node % SERVICES;
}

static const contract_t *
find_contract(void *context, slice_t customer)
{
    const sim_t *sim = context;
    for (uint32_t i = 0; i < CUSTOMERS; i++) {
        if (slice_equal_string(customer, sim->contracts[i].customer) &&
            !sim->contract_removed[i])
        {
            return &sim->contracts[i];
        }
    }
    return NULL;
}

static void
init_kinds(sim_t *sim)
{
    for (uint32_t i = 0; i < G_N_ELEMENTS(sim->kinds); i++) {
        bool non_idempotent = i % KINDS_PER_SERVICE == 1;
        kind_t *kind = &sim->kinds[i];
        *kind = (kind_t){
            .worth = (int32_t)(70 - 10 * i),
            .deadline_ms = DEADLINE_MS,
            .resend_s = non_idempotent ? KEY_TTL_S : 0,
            .run = non_idempotent ? RUN_ONCE : RUN_IDEMPOTENT,
        };
        kind->name = g_strdup_printf("k%u", i);
        kind->service = g_strdup_printf("s%u", i / KINDS_PER_SERVICE);
        snprintf(kind->method, sizeof(kind->method), "GET");
        kind->path = g_strdup_printf("/k%u", i);
    }
}

static void
init_stores(node_t *node)
{
    sim_t *sim = node->sim;
    const clock_source_t *clock = &node->clock.base;
    key_table_options_t keys = {
        .vm = node->name,
        .incarnation = node->incarnation,
        .secret = {(uint8_t)node->incarnation, (uint8_t)node->number, 7},
        .max_records = sim->max_records,
        .max_response_bytes = 64,
    };
    key_table_init(&node->keys, clock, &keys);
    request_contexts_init(&node->contexts, 16, node->incarnation);
    client_retry_budget_init(&node->client_retries, clock);
    picker_options_t picker = {
        .own_vm = node->name,
        .own_data_centre = "d",
        .seed = node->incarnation,
    };
    picker_init(&node->picker, clock, &picker);
}

static void
init_node(sim_t *sim, uint32_t number)
{
    node_t *node = &sim->nodes[number];
    *node = (node_t){
        .entry_io.vtable = &fake_entry_io,
        .guard_io.vtable = &fake_guard_io,
        .sim = sim,
        .number = number,
        .incarnation = ++sim->incarnations,
    };
    snprintf(node->name, sizeof(node->name), "vm%u", number);
    manual_clock_init(&node->clock, sim->now_us);
    init_stores(node);
    admission_options_t admission = {.slots = 2, .queue_max = 3, .seed = 5};
    guard_init(&node->guard, &node->clock.base, &node->guard_io,
               &node->contexts, &admission);
    guard_set_service(
        &node->guard,
        sim->kinds[service_of_node(number) * KINDS_PER_SERVICE].service);
    entry_options_t options = {
        .clock = &node->clock.base,
        .io = &node->entry_io,
        .lookup = find_contract,
        .lookup_context = sim,
        .picker = &node->picker,
        .keys = &node->keys,
        .contexts = &node->contexts,
        .client_retry_budget = &node->client_retries,
        .max_calls = 12,
        .seed = node->incarnation,
    };
    entry_init(&node->entry, &options);
    entry_set_ready(&node->entry, true);
    for (uint32_t vm = 0; vm < NODES; vm++) {
        sim_list_vm(sim, number, vm, true, false);
    }
}

static void
finish_node(node_t *node)
{
    entry_finish(&node->entry);
    guard_finish(&node->guard);
    picker_finish(&node->picker);
    client_retry_budget_finish(&node->client_retries);
    request_contexts_finish(&node->contexts);
    key_table_finish(&node->keys);
}

/// Starts all nodes. Customer 0 has @p retries, customer 1 one more.
void
sim_init(sim_t *sim, uint32_t retries, uint32_t max_records)
{
    *sim = (sim_t){.now_us = 1000 * US_PER_S, .max_records = max_records};
    init_kinds(sim);
    for (uint32_t i = 0; i < CUSTOMERS; i++) {
        sim->contracts[i] = (contract_t){
            .retries = (int32_t)(retries + i),
            .client_retry_percent = 10,
            .kinds = sim->kinds,
            .kind_count = G_N_ELEMENTS(sim->kinds),
        };
        sim->contracts[i].customer = g_strdup_printf("c%u", i);
    }
    sim->submissions = g_ptr_array_new_with_free_func(g_free);
    sim->exchanges = g_ptr_array_new_with_free_func(g_free);
    sim->runs = g_ptr_array_new_with_free_func(g_free);
    sim->issued_keys = g_ptr_array_new_with_free_func(g_free);
    sim->key_histories =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    for (uint32_t i = 0; i < NODES; i++) {
        init_node(sim, i);
    }
}

/// Releases the nodes and all records.
void
sim_finish(sim_t *sim)
{
    for (uint32_t i = 0; i < NODES; i++) {
        finish_node(&sim->nodes[i]);
    }
    for (uint32_t i = 0; i < G_N_ELEMENTS(sim->kinds); i++) {
        kind_finish(&sim->kinds[i]);
    }
    for (uint32_t i = 0; i < CUSTOMERS; i++) {
        g_free(sim->contracts[i].customer);
    }
    g_ptr_array_free(sim->submissions, TRUE);
    g_ptr_array_free(sim->exchanges, TRUE);
    g_ptr_array_free(sim->runs, TRUE);
    g_ptr_array_free(sim->issued_keys, TRUE);
    g_hash_table_destroy(sim->key_histories);
}

/// Returns the node, or NULL if this incarnation has ended.
node_t *
sim_find_node(sim_t *sim, uint32_t node, uint32_t incarnation)
{
    node_t *found = &sim->nodes[node];
    return found->incarnation == incarnation ? found : NULL;
}

/// Kills a node's process without a shutdown, and starts its next incarnation.
void
sim_restart_node(sim_t *sim, uint32_t number)
{
    node_t *node = &sim->nodes[number];
    for (guint i = 0; i < sim->submissions->len; i++) {
        submission_t *submission = g_ptr_array_index(sim->submissions, i);
        if (submission->node == number &&
            submission->incarnation == node->incarnation) {
            submission->disconnected |= !submission->ended;
            submission->ended = true;
            if (submission->parent != NULL) {
                submission->next_key[0] = '\0';
            }
        }
    }
    for (guint i = 0; i < sim->exchanges->len; i++) {
        exchange_t *exchange = g_ptr_array_index(sim->exchanges, i);
        if (exchange->from == number &&
            exchange->from_incarnation == node->incarnation)
        {
            exchange->sender_open = false;
        }
        if (exchange->to == number && exchange->stage == STAGE_RECEIVED &&
            exchange->to_incarnation == node->incarnation)
        {
            exchange->timeout_us = sim->now_us;
        }
    }
    finish_node(node);
    init_node(sim, number);
}

/// Changes the record of @p vm in the VM list of the node @p at.
void
sim_list_vm(sim_t *sim, uint32_t at, uint32_t vm, bool present, bool draining)
{
    char name[16], service[16], data_centre[16];
    snprintf(name, sizeof(name), "vm%u", vm);
    snprintf(service, sizeof(service), "s%u", service_of_node(vm));
    snprintf(data_centre, sizeof(data_centre), "d%u", vm / SERVICES);
    if (!present) {
        picker_remove_vm(&sim->nodes[at].picker, name);
        return;
    }
    picker_vm_t listed = {
        .vm = name,
        .data_centre = data_centre,
        .service = service,
        .draining = draining,
    };
    picker_set_vm(&sim->nodes[at].picker, &listed);
}

/// Sets whether a node's guard is draining.
void
sim_set_draining(sim_t *sim, uint32_t node, bool draining)
{
    sim->nodes[node].draining = draining;
    guard_set_draining(&sim->nodes[node].guard, draining);
}

static uint64_t
request_hash(const submission_t *submission)
{
    return submission->kind * 1000 + submission->body;
}

/// Submits a copy of the request @p template to the entry of its node.
submission_t *
sim_submit(sim_t *sim, const submission_t *template)
{
    submission_t *submission = g_new(submission_t, 1);
    *submission = *template;
    g_ptr_array_add(sim->submissions, submission);
    node_t *node = &sim->nodes[submission->node];
    submission->incarnation = node->incarnation;
    submission->ended = submission->disconnected = submission->told_not_run =
        false;
    submission->runs = 0;
    submission->reason = REASON_NONE;
    submission->sent_us = sim->now_us;
    if (submission->root == NULL) {
        submission->root = submission;
        memset(submission->attempts, 0, sizeof(submission->attempts));
    }
    const kind_t *kind = &sim->kinds[submission->kind];
    submission->non_idempotent = kind->run == RUN_ONCE;
    const exchange_t *forward_exchange = submission->forward_exchange;
    // An upstream names another customer here, to check that the entry takes
    // the customer of the request context instead.
    uint32_t named_customer =
        submission->parent != NULL && submission->context_open
            ? (submission->customer + 1) % CUSTOMERS
            : submission->customer;
    const char *customer = forward_exchange == NULL
                               ? sim->contracts[named_customer].customer
                               : forward_exchange->info.customer;
    entry_request_t request = {
        .customer = slice_from_string(customer),
        .method = SLICE_LITERAL("GET"),
        .path = slice_from_string(kind->path),
        .request_hash = request_hash(submission),
        .key = slice_from_string(submission->key),
        .source_hash = submission->parent == NULL && forward_exchange == NULL
                           ? 1 + submission->customer
                           : 0,
        .egress = submission->parent != NULL,
        .context_id =
            submission->parent == NULL ? 0 : submission->parent->context_id,
        .from_peer = forward_exchange != NULL,
        .worth = forward_exchange == NULL ? 0 : forward_exchange->info.worth,
        .budget_us =
            forward_exchange == NULL ? 0 : forward_exchange->info.budget_us,
        .retry_tokens =
            forward_exchange == NULL ? 0 : forward_exchange->info.retry_tokens,
        .user = submission,
    };
    submission->handle = entry_request(&node->entry, &request);
    return submission;
}

/// Closes the connection of a submission's caller.
void
sim_disconnect_caller(sim_t *sim, submission_t *submission)
{
    node_t *node =
        sim_find_node(sim, submission->node, submission->incarnation);
    if (submission->ended || node == NULL || node->paused ||
        submission->parent != NULL || submission->forward_exchange != NULL)
    {
        return;
    }
    submission->ended = submission->disconnected = true;
    entry_caller_disconnected(&node->entry, submission->handle);
}

static bool
is_unpaused(const sim_t *sim, uint32_t node)
{
    return !sim->nodes[node].paused;
}

/// Carries out the next event of an exchange, if one is due.
static bool
step_exchange(sim_t *sim, exchange_t *exchange)
{
    bool sender_unpaused = is_unpaused(sim, exchange->from);
    bool link_up =
        !sim->link_down[exchange->from / SERVICES][exchange->to / SERVICES];
    if (exchange->sender_open && sender_unpaused &&
        exchange->timeout_us <= sim->now_us)
    {
        report_sender_timeout(sim, exchange);
        return true;
    }
    if (exchange->stage == STAGE_RECEIVED && !exchange->sender_open &&
        !exchange->disconnect_seen && link_up &&
        is_unpaused(sim, exchange->to))
    {
        report_sender_disconnect(sim, exchange);
        return true;
    }
    if (exchange->stage == STAGE_RECEIVED || exchange->stage == STAGE_DONE ||
        exchange->due_us > sim->now_us)
    {
        return false;
    }
    bool goes_to_sender = exchange->stage == STAGE_RESPONSE ||
                          exchange->fault == SEND_CONNECT_FAILED ||
                          exchange->fault == SEND_RESET_BEFORE;
    bool refused = exchange->fault == SEND_CONNECT_FAILED;
    if ((!link_up && !refused) ||
        !(goes_to_sender ? sender_unpaused : is_unpaused(sim, exchange->to)))
    {
        return false;
    }
    deliver_exchange(sim, exchange);
    return true;
}

static bool
step_run(sim_t *sim, run_t *run)
{
    if (run->ended || run->waiting_for_child || run->due_us > sim->now_us ||
        !is_unpaused(sim, run->node))
    {
        return false;
    }
    advance_run(sim, run);
    return true;
}

static bool
step_submission(sim_t *sim, submission_t *submission)
{
    if (submission->next_key[0] == '\0' || !is_unpaused(sim, submission->node))
    {
        return false;
    }
    resubmit_with_key(sim, submission);
    return true;
}

static void
deliver_due_events(sim_t *sim)
{
    bool progress = true;
    for (int rounds = 0; progress && rounds < ROUNDS_MAX; rounds++) {
        progress = false;
        for (guint i = 0; i < sim->exchanges->len; i++) {
            progress |=
                step_exchange(sim, g_ptr_array_index(sim->exchanges, i));
        }
        for (guint i = 0; i < sim->runs->len; i++) {
            progress |= step_run(sim, g_ptr_array_index(sim->runs, i));
        }
        for (guint i = 0; i < sim->submissions->len; i++) {
            progress |=
                step_submission(sim, g_ptr_array_index(sim->submissions, i));
        }
    }
}

static void
tick_nodes(sim_t *sim)
{
    for (uint32_t i = 0; i < NODES; i++) {
        node_t *node = &sim->nodes[i];
        node->clock.now_us = sim->now_us + node->skew_us;
        if (node->paused) {
            continue;
        }
        entry_tick(&node->entry);
        guard_tick(&node->guard);
        key_table_tick(&node->keys);
        if (node->stopping && entry_in_flight(&node->entry) == 0 &&
            guard_in_flight(&node->guard) == 0)
        {
            oracle_planned_stop(sim, node);
            sim_restart_node(sim, i);
        }
    }
}

/// Advances the time and carries out all events that are due.
void
sim_advance(sim_t *sim, int64_t step_us)
{
    sim->now_us += step_us;
    tick_nodes(sim);
    deliver_due_events(sim);
}
