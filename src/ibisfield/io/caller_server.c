/// @file
/// Adapter between the entry and HTTP. The entry makes all decisions; this
/// module reads requests, sends attempts to guards and writes responses.

#include "ibisfield/io/caller_server.h"

#include <inttypes.h>
#include <xxhash.h>

#include "ibisfield/base/log.h"
#include "ibisfield/base/metrics.h"
#include "ibisfield/io/message.h"

#define ATTEMPTS_MAX (1 + CONTRACT_RETRIES_MAX)
/// Longest part of a path that is logged, in bytes.
#define LOGGED_PATH_MAX ((size_t)64)

/// Where a request comes from.
typedef enum { FROM_CALLER, FROM_EGRESS, FROM_PEER } origin_t;

/// A request at the entry. Reference-counted: freed once the request has been
/// responded to or its caller has disconnected, and no attempt is running.
typedef struct {
    caller_server_t *server;
    http_request_t *request; ///< NULL: responded to or disconnected
    call_handle_t handle;
    span_t span;
    char kind[LOGGED_NAME_MAX + 1]; ///< beginning of its name
    uint32_t references;
    caller_attempt_t *attempts[ATTEMPTS_MAX + 1]; ///< by number
} caller_call_t;

struct caller_attempt {
    caller_call_t *call;
    uint32_t number; ///< 0: the request forwarded to the key's owner
    bool at_most_once;
    bool remote; ///< the VM is in another data centre
    char *vm;    ///< "": unknown
    int64_t sent_us;
    http_exchange_t *exchange;
    loop_timer_t not_listed_timer; ///< for report_not_listed()
};

static void
retain_call(caller_call_t *call)
{
    g_assert(call->references > 0);
    call->references++;
}

static void
release_call(caller_call_t *call)
{
    if (--call->references == 0) {
        g_free(call);
    }
}

static caller_attempt_t *
new_attempt(caller_call_t *call, uint32_t number, bool at_most_once)
{
    caller_attempt_t *attempt = g_new0(caller_attempt_t, 1);
    attempt->call = call;
    attempt->number = number;
    attempt->at_most_once = at_most_once;
    call->attempts[number] = attempt;
    call->references++;
    return attempt;
}

static void
free_attempt(caller_attempt_t *attempt)
{
    caller_call_t *call = attempt->call;
    call->attempts[attempt->number] = NULL;
    loop_timer_stop(call->server->options.loop, &attempt->not_listed_timer);
    g_free(attempt->vm);
    g_free(attempt);
    release_call(call);
}

/// Ends the span of a call, and returns its HTTP request, which the call no
/// longer refers to.
static http_request_t *
detach_request(caller_call_t *call, const char *outcome)
{
    http_request_t *request = call->request;
    call->request = NULL;
    span_end(&call->span, call->server->options.spans,
             slice_from_string(call->kind), outcome);
    return request;
}

static void
send_response(caller_call_t *call, const message_t *response,
              const char *outcome)
{
    http_request_t *request = detach_request(call, outcome);
    http_request_respond(request, response->status, response->headers,
                         response->header_count, message_body(response));
}

static void
relay_response(caller_call_t *call, const http_response_t *response)
{
    message_t message;
    message_init(&message, response->status);
    message_add_end_to_end(&message, response->headers,
                           response->header_count);
    message_add_string(&message, HEADER_OUTCOME,
                       outcome_token(OUTCOME_ANSWERED));
    http_request_t *request =
        detach_request(call, outcome_token(OUTCOME_ANSWERED));
    http_request_respond(request, message.status, message.headers,
                         message.header_count, response->body);
    message_finish(&message);
}

static void
replay_response(caller_call_t *call, slice_t stored)
{
    message_t message;
    if (!response_deserialise(&message, stored)) {
        g_error("event=stored_answer_invalid bytes=%zu", stored.len);
    }
    const char *outcome = outcome_token(OUTCOME_ANSWERED);
    message_add_string(&message, HEADER_OUTCOME, outcome);
    send_response(call, &message, outcome);
    message_finish(&message);
}

/// Returns the status of a refusal on a platform whose callers take 429 and
/// 503 as a guarantee that the request has not run and never will. Other
/// outcomes therefore get another status.
static int
status_by_outcome(reason_t reason, outcome_t outcome)
{
    int status = reason_status(reason);
    if (outcome == OUTCOME_NOT_RUN) {
        return reason == REASON_DEADLINE ? 503 : status;
    }
    return status == 503 || status == 429 ? 502 : status;
}

static int64_t
request_age_us(const caller_call_t *call)
{
    const clock_source_t *clock = call->server->options.loop->clock;
    return clock_now_us(clock) - call->request->received_us;
}

static int64_t
request_age_ms(const caller_call_t *call)
{
    return request_age_us(call) / US_PER_MS;
}

/// Returns the id by which the caller knows its request.
static slice_t
logged_id(const caller_call_t *call)
{
    const header_names_t *names = call->server->options.header_names;
    return http_request_header(
        call->request, names == NULL ? HEADER_TRACEPARENT : names->request_id);
}

static void
log_refusal(caller_call_t *call, const entry_response_t *response, int status)
{
    caller_server_t *server = call->server;
    if (!log_limit_allows(&server->refusal_log_limit,
                          server->options.loop->clock)) {
        return;
    }
    slice_t id = logged_id(call);
    log_info("call_refused",
             "id=%.*s kind=\"%.*s\" path=\"%.*s\" reason=%s outcome=%s "
             "status=%d age_ms=%" PRId64 " attempts=%u pressure=%u "
             "retry_after_ms=%d contracts=%" PRIu64 " workspace=%.*s",
             (int)id.len, id.data == NULL ? "" : id.data, LOGGED_NAME_MAX,
             response->kind == NULL ? call->kind : response->kind,
             (int)MIN(call->request->path.len, LOGGED_PATH_MAX),
             call->request->path.data, reason_token(response->reason),
             outcome_token(response->outcome), status, request_age_ms(call),
             response->attempt_count, response->pressure,
             response->retry_after_ms, server->options.customers->version,
             LOGGED_NAME_MAX,
             response->workspace == NULL ? "" : response->workspace);
}

/// Logs an error response that comes from the upstream itself.
static void
log_upstream_failure(caller_call_t *call, const entry_response_t *response,
                     int status)
{
    caller_server_t *server = call->server;
    if (!log_limit_allows(&server->failure_log_limit,
                          server->options.loop->clock)) {
        return;
    }
    slice_t id = logged_id(call);
    log_info("call_failed_upstream",
             "id=%.*s kind=\"%s\" status=%d age_ms=%" PRId64
             " attempt=%u attempts=%u",
             (int)id.len, id.data == NULL ? "" : id.data, call->kind, status,
             request_age_ms(call), response->answered_attempt,
             response->attempt_count);
}

static void
send_refusal(caller_call_t *call, const entry_response_t *response)
{
    const header_names_t *names = call->server->options.header_names;
    refusal_t refusal = {
        .reason = response->reason,
        .outcome = response->outcome,
        .retry_after_ms = response->retry_after_ms,
        .new_key = response->new_key,
        .fractional_retry_after = names != NULL,
    };
    message_t message;
    message_init_refusal(&message, &refusal);
    if (names != NULL) {
        message.status =
            status_by_outcome(response->reason, response->outcome);
        message_add(&message, names->request_id,
                    http_request_header(call->request, names->request_id));
    }
    log_refusal(call, response, message.status);
    send_response(call, &message, outcome_token(response->outcome));
    message_finish(&message);
}

static void
io_respond(entry_io_t *io, call_handle_t handle, void *user,
           const entry_response_t *response)
{
    (void)handle;
    caller_server_t *server = (caller_server_t *)io;
    caller_call_t *call = user;
    histogram_observe(response->reason == REASON_NONE ? HISTOGRAM_CALL_ANSWERED
                                                      : HISTOGRAM_CALL_REFUSED,
                      request_age_us(call));
    if (response->reason != REASON_NONE) {
        send_refusal(call, response);
    }
    else if (response->answered_attempt == 0) {
        replay_response(call, response->stored_response);
    }
    else {
        if (server->current_response->status >= 500) {
            log_upstream_failure(call, response,
                                 server->current_response->status);
        }
        relay_response(call, server->current_response);
    }
    release_call(call);
}

/// Logs an attempt that ended without a response of the upstream.
static void
log_failed_attempt(const caller_attempt_t *attempt,
                   const attempt_result_t *result, const char *error)
{
    static const char *const result_names[] = {
        [ATTEMPT_ANSWERED] = "answered",
        [ATTEMPT_CONNECT_FAILED] = "connect-failed",
        [ATTEMPT_REFUSED] = "refused",
        [ATTEMPT_LOST] = "lost",
    };
    caller_call_t *call = attempt->call;
    caller_server_t *server = call->server;
    if (result->type == ATTEMPT_ANSWERED || call->request == NULL ||
        !log_limit_allows(&server->attempt_log_limit,
                          server->options.loop->clock))
    {
        return;
    }
    slice_t id = logged_id(call);
    log_info("attempt_failed",
             "id=%.*s kind=\"%s\" attempt=%u upstream_vm=%s result=%s "
             "reason=%s age_ms=%" PRId64 " error=\"%s\"",
             (int)id.len, id.data == NULL ? "" : id.data, call->kind,
             attempt->number, attempt->vm, result_names[result->type],
             reason_token(result->reason), request_age_ms(call),
             error == NULL ? "" : error);
}

/// Returns a number of another node's response; 0 if it isn't there, as in
/// those of earlier releases, or isn't valid.
static uint64_t
response_number(const http_response_t *response, const char *name)
{
    int64_t number = 0;
    slice_t text =
        http_header_find(response->headers, response->header_count, name);
    return parse_number(text, INT64_MAX, &number) ? (uint64_t)number : 0;
}

/// Tells the feed which configuration the other node holds.
static void
note_peer_configuration(const caller_attempt_t *attempt,
                        const http_response_t *response)
{
    const caller_server_options_t *options = &attempt->call->server->options;
    const vm_info_t *vm = vm_view_find(options->vms, attempt->vm);
    source_point_t point = {response_number(response, HEADER_ERA),
                            response_number(response, HEADER_REVISION)};
    if (vm == NULL || !source_point_is_set(point)) {
        return;
    }
    endpoint_t peer = {.port = vm->peer_port};
    g_strlcpy(peer.address, vm->address, sizeof(peer.address));
    change_feed_note_peer_point(options->feed, &peer, point);
    change_feed_note_peer_state(
        options->feed, &peer, response_number(response, HEADER_STATE_VERSION));
}

static void
report_attempt_result(caller_attempt_t *attempt,
                      const http_response_t *response)
{
    caller_call_t *call = attempt->call;
    caller_server_t *server = call->server;
    attempt_result_t result;
    peer_client_read_result(&result, response);
    note_peer_configuration(attempt, response);
    key_proof_record_text(server->options.key_proof,
                          http_header_find(response->headers,
                                           response->header_count,
                                           HEADER_PROOF),
                          attempt->sent_us);
    log_failed_attempt(attempt, &result, response->error);
    GByteArray *stored = NULL;
    if (attempt->at_most_once && result.type == ATTEMPT_ANSWERED) {
        stored = g_byte_array_new();
        response_serialise(stored, response);
        result.response = (slice_t){(const char *)stored->data, stored->len};
    }
    call_handle_t handle = call->handle;
    uint32_t number = attempt->number;
    retain_call(call);
    free_attempt(attempt);
    server->current_response = response;
    entry_attempt_done(server->options.entry, handle, number, &result);
    server->current_response = NULL;
    release_call(call);
    if (stored != NULL) {
        g_byte_array_unref(stored);
    }
}

/// Relays the response of the node that owns the key, also if it is a refusal.
static void
relay_forwarded_response(caller_call_t *call, const http_response_t *response)
{
    static const char *const relayed[] = {HEADER_OUTCOME, HEADER_REASON,
                                          HEADER_RETRY_AFTER_MS, HEADER_KEY};
    message_t message;
    message_init(&message, response->status);
    message_add_end_to_end(&message, response->headers,
                           response->header_count);
    for (size_t i = 0; i < G_N_ELEMENTS(relayed); i++) {
        slice_t value = http_header_find(response->headers,
                                         response->header_count, relayed[i]);
        if (value.data != NULL) {
            message_add(&message, relayed[i], value);
        }
    }
    http_request_t *request = detach_request(call, "forwarded");
    http_request_respond(request, message.status, message.headers,
                         message.header_count, response->body);
    message_finish(&message);
    release_call(call);
}

/// Reports whether the node that owns the key has responded. A response
/// without an outcome header doesn't come from a node.
static void
report_forward_result(caller_attempt_t *attempt,
                      const http_response_t *response)
{
    caller_call_t *call = attempt->call;
    caller_server_t *server = call->server;
    bool owner_responded =
        response->result == HTTP_COMPLETE &&
        http_header_find(response->headers, response->header_count,
                         HEADER_OUTCOME)
                .data != NULL;
    call_handle_t handle = call->handle;
    retain_call(call);
    free_attempt(attempt);
    if (owner_responded && call->request != NULL) {
        relay_forwarded_response(call, response);
    }
    entry_forward_done(server->options.entry, handle, owner_responded,
                       response->result != HTTP_CONNECT_FAILED);
    release_call(call);
}

/// Returns the size of headers as they are sent.
static size_t
header_bytes(const http_header_t *headers, size_t header_count)
{
    size_t bytes = 0;
    for (size_t i = 0; i < header_count; i++) {
        bytes += headers[i].name.len + headers[i].value.len + strlen(": \r\n");
    }
    return bytes;
}

static void
count_remote_bytes(metric_id_t total, const http_header_t *headers,
                   size_t header_count, slice_t body)
{
    metric_add(total,
               (int64_t)(header_bytes(headers, header_count) + body.len));
    metric_add(METRIC_REMOTE_BODY_BYTES_TOTAL, (int64_t)body.len);
}

static void
attempt_done(void *context, const http_response_t *response)
{
    caller_attempt_t *attempt = context;
    if (attempt->remote && response->result == HTTP_COMPLETE) {
        count_remote_bytes(METRIC_REMOTE_RESPONSE_BYTES_TOTAL,
                           response->headers, response->header_count,
                           response->body);
    }
    if (response->result != HTTP_COMPLETE) {
        metric_increment(response->result == HTTP_CONNECT_FAILED
                             ? METRIC_PEER_CONNECT_FAILURES_TOTAL
                             : METRIC_PEER_ANSWERS_LOST_TOTAL);
    }
    if (attempt->number == 0) {
        report_forward_result(attempt, response);
    }
    else {
        report_attempt_result(attempt, response);
    }
}

/// Reports an attempt as failed because its VM is no longer listed.
static void
report_not_listed(void *context)
{
    const http_response_t response = {.result = HTTP_CONNECT_FAILED,
                                      .error = "VM not listed"};
    attempt_done(context, &response);
}

static void
add_request_headers(message_t *message, const caller_call_t *call,
                    const attempt_info_t *info)
{
    const http_request_t *request = call->request;
    const header_names_t *names = call->server->options.header_names;
    if (names == NULL) {
        message_add_end_to_end(message, request->headers,
                               request->header_count);
        if (info->workspace[0] != '\0') {
            message_add_string(message, HEADER_WORKSPACE, info->workspace);
        }
    }
    else {
        const char *const replaced[] = {names->deadline_ms, names->instance,
                                        names->caller_service,
                                        names->access_key, names->workspace};
        message_add_end_to_end_except(message, request->headers,
                                      request->header_count, replaced,
                                      G_N_ELEMENTS(replaced));
        message_add_string(message, names->caller_service,
                           call->server->options.service);
        if (info->workspace[0] != '\0') {
            message_add_string(message, names->workspace, info->workspace);
        }
    }
    message_add(message, "host", request->host);
    message_add_string(message, HEADER_PROTOCOL, PROTOCOL_VERSION);
    message_add_string(message, HEADER_CUSTOMER, info->customer);
    message_add_string(message, HEADER_KIND, info->kind);
    message_add_string(message, HEADER_SERVICE, info->service);
    message_add_number(message, HEADER_WORTH, info->worth);
    message_add_number(message, HEADER_BUDGET_US, info->budget_us);
    if (info->run_us < info->budget_us) {
        message_add_number(message, HEADER_RUN_US, info->run_us);
    }
    if (info->may_redirect) {
        message_add_string(message, HEADER_MAY_REDIRECT, "1");
    }
    if (info->must_end) {
        message_add_string(message, HEADER_MUST_END, "1");
    }
    message_add_number(message, HEADER_RETRIES, info->retry_tokens);
    if (info->is_retry) {
        message_add_string(message, HEADER_REPEAT, "1");
    }
    if (info->calls_remaining > 0) {
        message_add_number(message, HEADER_REMAINING, info->calls_remaining);
    }
    slice_t key = http_request_header(request, HEADER_KEY);
    if (key.len > 0) {
        message_add(message, HEADER_KEY, key);
    }
    char traceparent[TRACEPARENT_LEN + 1];
    span_traceparent(&call->span, traceparent);
    message_add_string(message, HEADER_TRACEPARENT, traceparent);
}

static void
start_attempt(caller_attempt_t *attempt, const char *vm,
              const attempt_info_t *info)
{
    caller_call_t *call = attempt->call;
    const caller_server_options_t *options = &call->server->options;
    g_strlcpy(call->kind, info->kind, sizeof(call->kind));
    attempt->vm = g_strdup(vm == NULL ? "" : vm);
    const vm_info_t *peer = vm == NULL ? NULL : vm_view_find(options->vms, vm);
    if (peer == NULL) {
        loop_timer_start(options->loop, &attempt->not_listed_timer, 0,
                         report_not_listed, attempt);
        return;
    }
    message_t message;
    message_init(&message, 0);
    add_request_headers(&message, call, info);
    message_add_string(&message, HEADER_VM, vm);
    if (attempt->number == 0) {
        message_add_string(&message, HEADER_FROM_PEER, "1");
    }
    else if (attempt->at_most_once) {
        message_add_string(&message, HEADER_ONCE, "1");
    }
    attempt->sent_us = clock_now_us(options->loop->clock);
    attempt->remote = strcmp(peer->data_centre, options->data_centre) != 0;
    metric_increment(METRIC_PEER_ATTEMPTS_TOTAL);
    if (attempt->remote) {
        metric_increment(METRIC_REMOTE_ATTEMPTS_TOTAL);
        count_remote_bytes(METRIC_REMOTE_REQUEST_BYTES_TOTAL, message.headers,
                           message.header_count, call->request->body);
    }
    attempt->exchange = http_exchange_start_shared(
        peer_client_pool(options->peers, peer), call->request->method,
        call->request->path, message.headers, message.header_count,
        call->request->body_bytes, info->response_timeout_us, attempt_done,
        attempt);
    message_finish(&message);
}

static void
io_send(entry_io_t *io, call_handle_t handle, void *user, uint32_t number,
        vm_handle_t vm, const attempt_info_t *info)
{
    caller_server_t *server = (caller_server_t *)io;
    caller_call_t *call = user;
    call->handle = handle;
    start_attempt(new_attempt(call, number, info->at_most_once),
                  picker_vm_name(server->options.picker, vm), info);
}

static void
io_forward(entry_io_t *io, call_handle_t handle, void *user,
           const char *vm_name, const attempt_info_t *info)
{
    (void)io;
    caller_call_t *call = user;
    call->handle = handle;
    metric_increment(METRIC_KEYS_FORWARDED_TOTAL);
    start_attempt(new_attempt(call, 0, true), vm_name, info);
}

static void
io_cancel(entry_io_t *io, call_handle_t handle, void *user, uint32_t number)
{
    (void)io;
    (void)handle;
    caller_call_t *call = user;
    caller_attempt_t *attempt = call->attempts[number];
    if (attempt == NULL) {
        return;
    }
    if (attempt->exchange != NULL) {
        http_exchange_cancel(attempt->exchange);
    }
    free_attempt(attempt);
}

static uint64_t
hash_request(const http_request_t *request)
{
    uint64_t hash = XXH3_64bits(request->method.data, request->method.len);
    hash = XXH3_64bits_withSeed(request->path.data, request->path.len, hash);
    return XXH3_64bits_withSeed(request->body.data, request->body.len, hash);
}

static slice_t
customer_of(const caller_server_t *server, const http_request_t *request)
{
    slice_t name = http_request_header(request, HEADER_CUSTOMER);
    if (name.data != NULL) {
        return name;
    }
    const contract_t *contract =
        customers_find_host(server->options.customers, request->host);
    return contract == NULL ? (slice_t){"", 0}
                            : slice_from_string(contract->customer);
}

static void
read_forwarded_fields(entry_request_t *params, const http_request_t *request)
{
    int64_t number;
    params->from_peer = true;
    if (parse_number(http_request_header(request, HEADER_WORTH),
                     CONTRACT_WORTH_MAX, &number))
    {
        params->worth = (int32_t)number;
    }
    if (parse_number(http_request_header(request, HEADER_BUDGET_US),
                     G_MAXINT64, &number))
    {
        params->budget_us = number;
    }
    if (parse_number(http_request_header(request, HEADER_RETRIES),
                     CONTRACT_RETRIES_MAX, &number))
    {
        params->retry_tokens = (uint32_t)number;
    }
}

/// Returns how long the caller says that it waits; 0 if it doesn't say.
static int64_t
read_budget_us(const header_names_t *names, const http_request_t *request)
{
    int64_t budget_ms = 0;
    if (!parse_number(http_request_header(request, names->deadline_ms),
                      G_MAXINT32, &budget_ms))
    {
        return 0;
    }
    return MAX(budget_ms, 1) * US_PER_MS;
}

/// Marks the request as egress if its id begins with the id of a parent
/// request, which runs at the own upstream. Only the id distinguishes calls of
/// the upstream from requests of callers, because both arrive at the same
/// address.
static void
mark_egress(caller_server_t *server, entry_request_t *params,
            const http_request_t *request)
{
    const header_names_t *names = server->options.header_names;
    slice_t parent =
        names->parent_id(http_request_header(request, names->request_id));
    if (parent.len > 0) {
        params->egress = true;
        params->context_id = id_hash(parent);
        call_depths_mark_traceable(server->options.depths);
    }
}

static void
handle_request(caller_server_t *server, http_request_t *request,
               origin_t origin)
{
    caller_call_t *call = g_new0(caller_call_t, 1);
    *call = (caller_call_t){
        .server = server,
        .request = request,
        .references = 2, // held by the request and by this function
    };
    request->user = call;
    span_start(&call->span, server->options.spans,
               origin == FROM_EGRESS ? "egress" : "entry",
               http_request_header(request, HEADER_TRACEPARENT));
    entry_request_t params = {
        .customer = customer_of(server, request),
        .method = request->method,
        .path = request->path,
        .key = http_request_header(request, HEADER_KEY),
        .access_key = http_request_header(request, HEADER_ACCESS_KEY),
        .source_hash = origin == FROM_CALLER ? request->source_hash : 0,
        .egress = origin == FROM_EGRESS,
        .user = call,
    };
    if (params.key.len > 0) {
        params.request_hash = hash_request(request);
    }
    if (origin == FROM_EGRESS) {
        parse_hex(http_request_header(request, HEADER_REQUEST),
                  &params.context_id);
    }
    if (origin == FROM_PEER) {
        read_forwarded_fields(&params, request);
    }
    if (server->options.header_names != NULL) {
        mark_egress(server, &params, request);
        // Contracts of such a platform define neither request keys nor a
        // client retry budget.
        params.key = (slice_t){NULL, 0};
        params.access_key = http_request_header(
            request, server->options.header_names->access_key);
        params.source_hash = 0;
        params.budget_us =
            read_budget_us(server->options.header_names, request);
    }
    call_handle_t handle = entry_request(server->options.entry, &params);
    if (handle != 0) {
        call->handle = handle;
    }
    release_call(call);
}

/// Returns whether a caller's request may run beside others of its connection:
/// it is idempotent. The order of any other two requests matters.
bool
caller_server_is_concurrent(const caller_server_t *server,
                            const http_request_t *request)
{
    if (http_request_header(request, HEADER_KEY).len > 0) {
        return false;
    }
    const contract_t *contract = customers_find(server->options.customers,
                                                customer_of(server, request));
    const kind_t *kind =
        contract == NULL
            ? NULL
            : contract_match(contract, request->method, request->path);
    return kind != NULL && kind->run == RUN_IDEMPOTENT;
}

/// Handles a request of a caller.
void
caller_server_handle_caller(void *context, http_request_t *request)
{
    handle_request(context, request, FROM_CALLER);
}

/// Handles a call that this VM's own upstream makes.
void
caller_server_handle_egress(void *context, http_request_t *request)
{
    handle_request(context, request, FROM_EGRESS);
}

/// Handles a request that another node forwards because this node owns its
/// key.
void
caller_server_handle_forwarded(caller_server_t *server,
                               http_request_t *request)
{
    handle_request(server, request, FROM_PEER);
}

/// Handles the close of a connection whose request is in flight.
void
caller_server_disconnected(void *context, http_request_t *request)
{
    caller_server_t *server = context;
    caller_call_t *call = request->user;
    if (call == NULL || call->request != request) {
        return;
    }
    detach_request(call, "caller-gone");
    if (call->handle != 0) {
        entry_caller_disconnected(server->options.entry, call->handle);
    }
    release_call(call);
}

/// Initialises the adapter. Its io member is what entry_init() takes.
void
caller_server_init(caller_server_t *server,
                   const caller_server_options_t *options)
{
    static const entry_io_vtable_t vtable = {
        .send = io_send,
        .cancel = io_cancel,
        .forward = io_forward,
        .respond = io_respond,
    };
    *server = (caller_server_t){.io.vtable = &vtable, .options = *options};
}
