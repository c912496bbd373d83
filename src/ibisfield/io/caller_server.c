/// @file
/// Adapter between the entry and HTTP. The entry decides; this module reads
/// requests, sends attempts to guards and writes answers.

#include "ibisfield/io/caller_server.h"

#include <inttypes.h>
#include <xxhash.h>

#include "ibisfield/base/log.h"
#include "ibisfield/base/metrics.h"
#include "ibisfield/io/message.h"

#define ATTEMPTS_MAX (1 + CONTRACT_RETRIES_MAX)
/// Part of a path that is logged.
#define PATH_LOGGED_MAX ((size_t)64)

/// Where a request comes from.
typedef enum { FROM_CALLER, FROM_EGRESS, FROM_PEER } origin_t;

/// A request at the entry. It lives until it is answered or its caller has
/// gone, and no attempt of it runs.
typedef struct {
    caller_server_t *server;
    http_request_t *request; ///< NULL when answered or gone
    call_handle_t handle;
    span_t span;
    char kind[CONTRACT_NAME_MAX + 1];
    uint32_t references;
    caller_attempt_t *attempts[ATTEMPTS_MAX + 1]; ///< 0: the forward
} caller_call_t;

struct caller_attempt {
    caller_call_t *call;
    uint32_t number; ///< 0: forwarded to the owner of the key
    bool once;
    char vm[VM_NAME_MAX + 1];
    http_exchange_t *exchange;
    loop_timer_t failure_timer;
};

static void
hold_call(caller_call_t *call)
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
new_attempt(caller_call_t *call, uint32_t number, bool once)
{
    caller_attempt_t *attempt = g_new0(caller_attempt_t, 1);
    attempt->call = call;
    attempt->number = number;
    attempt->once = once;
    call->attempts[number] = attempt;
    call->references++;
    return attempt;
}

static void
free_attempt(caller_attempt_t *attempt)
{
    caller_call_t *call = attempt->call;
    call->attempts[attempt->number] = NULL;
    loop_timer_stop(call->server->options.loop, &attempt->failure_timer);
    g_free(attempt);
    release_call(call);
}

static http_request_t *
take_request(caller_call_t *call, const char *outcome)
{
    http_request_t *request = call->request;
    call->request = NULL;
    span_end(&call->span, call->server->options.spans,
             slice_from_string(call->kind), outcome);
    return request;
}

static void
send_answer(caller_call_t *call, const message_t *answer, const char *outcome)
{
    http_request_t *request = take_request(call, outcome);
    http_request_respond(request, answer->status, answer->headers,
                         answer->header_count, message_body(answer));
}

static void
pass_on(caller_call_t *call, const http_response_t *answer)
{
    message_t message;
    message_init(&message, answer->status);
    message_add_end_to_end(&message, answer->headers, answer->header_count);
    message_add_string(&message, HEADER_OUTCOME,
                       outcome_token(OUTCOME_ANSWERED));
    http_request_t *request =
        take_request(call, outcome_token(OUTCOME_ANSWERED));
    http_request_respond(request, message.status, message.headers,
                         message.header_count, answer->body);
    message_finish(&message);
}

static void
replay(caller_call_t *call, slice_t stored)
{
    message_t message;
    if (!response_deserialise(&message, stored)) {
        g_error("event=stored_answer_invalid bytes=%zu", stored.len);
    }
    const char *outcome = outcome_token(OUTCOME_ANSWERED);
    message_add_string(&message, HEADER_OUTCOME, outcome);
    send_answer(call, &message, outcome);
    message_finish(&message);
}

/// Status of a refusal for callers that take some statuses as the promise that
/// the request has not run and never will.
static int
status_by_promise(reason_t reason, outcome_t outcome)
{
    int status = reason_status(reason);
    if (outcome == OUTCOME_NOT_RUN) {
        return reason == REASON_DEADLINE ? 503 : status;
    }
    return status == 503 || status == 429 ? 502 : status;
}

static int64_t
age_us(const caller_call_t *call)
{
    const clock_source_t *clock = call->server->options.loop->clock;
    return clock_now_us(clock) - call->request->received_us;
}

static int64_t
age_ms(const caller_call_t *call)
{
    return age_us(call) / US_PER_MS;
}

/// The id by which the caller knows its request, for logs.
static slice_t
logged_id(const caller_call_t *call)
{
    const header_names_t *wire = call->server->options.header_names;
    return http_request_header(call->request, wire == NULL ? HEADER_TRACEPARENT
                                                           : wire->request_id);
}

static void
log_refusal(caller_call_t *call, const entry_response_t *answer, int status)
{
    caller_server_t *server = call->server;
    if (!log_limit_allows(&server->refusal_log_limit,
                          server->options.loop->clock)) {
        return;
    }
    slice_t id = logged_id(call);
    log_info("call_refused",
             "id=%.*s kind=\"%s\" path=\"%.*s\" reason=%s outcome=%s "
             "status=%d age_ms=%" PRId64 " attempts=%u pressure=%u "
             "retry_after_ms=%d contracts=%" PRIu64,
             (int)id.len, id.data == NULL ? "" : id.data,
             answer->kind == NULL ? call->kind : answer->kind,
             (int)MIN(call->request->path.len, PATH_LOGGED_MAX),
             call->request->path.data, reason_token(answer->reason),
             outcome_token(answer->outcome), status, age_ms(call),
             answer->attempt_count, answer->pressure, answer->retry_after_ms,
             server->options.customers->version);
}

/// Logs a failure that the upstream itself answered.
static void
log_failure(caller_call_t *call, const entry_response_t *answer, int status)
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
             age_ms(call), answer->answered_attempt, answer->attempt_count);
}

static void
refuse(caller_call_t *call, const entry_response_t *answer)
{
    const header_names_t *wire = call->server->options.header_names;
    refusal_t refusal = {
        .reason = answer->reason,
        .outcome = answer->outcome,
        .retry_after_ms = answer->retry_after_ms,
        .new_key = answer->new_key,
        .fractional_retry_after = wire != NULL,
    };
    message_t message;
    message_init_refusal(&message, &refusal);
    if (wire != NULL) {
        message.status = status_by_promise(answer->reason, answer->outcome);
        message_add(&message, wire->request_id,
                    http_request_header(call->request, wire->request_id));
    }
    log_refusal(call, answer, message.status);
    send_answer(call, &message, outcome_token(answer->outcome));
    message_finish(&message);
}

static void
io_answer(entry_io_t *io, call_handle_t handle, void *user,
          const entry_response_t *answer)
{
    (void)handle;
    caller_server_t *server = (caller_server_t *)io;
    caller_call_t *call = user;
    histogram_observe(answer->reason == REASON_NONE ? HISTOGRAM_CALL_ANSWERED
                                                    : HISTOGRAM_CALL_REFUSED,
                      age_us(call));
    if (answer->reason != REASON_NONE) {
        refuse(call, answer);
    }
    else if (answer->answered_attempt == 0) {
        replay(call, answer->stored_response);
    }
    else {
        if (server->current_response->status >= 500) {
            log_failure(call, answer, server->current_response->status);
        }
        pass_on(call, server->current_response);
    }
    release_call(call);
}

/// Logs an attempt that brought no answer of the upstream.
static void
log_attempt(const caller_attempt_t *attempt, const attempt_result_t *result,
            const char *error)
{
    static const char *const results[] = {
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
             attempt->number, attempt->vm, results[result->type],
             reason_token(result->reason), age_ms(call),
             error == NULL ? "" : error);
}

static void
report_attempt(caller_attempt_t *attempt, const http_response_t *answer)
{
    caller_call_t *call = attempt->call;
    caller_server_t *server = call->server;
    attempt_result_t result;
    peer_client_read_result(&result, answer);
    log_attempt(attempt, &result, answer->error);
    GByteArray *stored = NULL;
    if (attempt->once && result.type == ATTEMPT_ANSWERED) {
        stored = g_byte_array_new();
        response_serialise(stored, answer);
        result.response = (slice_t){(const char *)stored->data, stored->len};
    }
    call_handle_t handle = call->handle;
    uint32_t number = attempt->number;
    hold_call(call);
    free_attempt(attempt);
    server->current_response = answer;
    entry_attempt_done(server->options.entry, handle, number, &result);
    server->current_response = NULL;
    release_call(call);
    if (stored != NULL) {
        g_byte_array_unref(stored);
    }
}

/// Passes on the answer of the node that owns the key, refusals included.
static void
pass_on_forwarded(caller_call_t *call, const http_response_t *answer)
{
    static const char *const passed[] = {HEADER_OUTCOME, HEADER_REASON,
                                         HEADER_RETRY_AFTER_MS, HEADER_KEY};
    message_t message;
    message_init(&message, answer->status);
    message_add_end_to_end(&message, answer->headers, answer->header_count);
    for (size_t i = 0; i < G_N_ELEMENTS(passed); i++) {
        slice_t value =
            http_header_find(answer->headers, answer->header_count, passed[i]);
        if (value.data != NULL) {
            message_add(&message, passed[i], value);
        }
    }
    http_request_t *request = take_request(call, "forwarded");
    http_request_respond(request, message.status, message.headers,
                         message.header_count, answer->body);
    message_finish(&message);
    release_call(call);
}

static void
report_forward(caller_attempt_t *attempt, const http_response_t *answer)
{
    caller_call_t *call = attempt->call;
    caller_server_t *server = call->server;
    bool answered =
        answer->result == HTTP_COMPLETE &&
        http_header_find(answer->headers, answer->header_count, HEADER_OUTCOME)
                .data != NULL;
    call_handle_t handle = call->handle;
    hold_call(call);
    free_attempt(attempt);
    if (answered && call->request != NULL) {
        pass_on_forwarded(call, answer);
    }
    entry_forward_done(server->options.entry, handle, answered,
                       answer->result != HTTP_CONNECT_FAILED);
    release_call(call);
}

static void
attempt_done(void *context, const http_response_t *answer)
{
    caller_attempt_t *attempt = context;
    if (answer->result != HTTP_COMPLETE) {
        metric_increment(answer->result == HTTP_CONNECT_FAILED
                             ? METRIC_PEER_CONNECT_FAILURES_TOTAL
                             : METRIC_PEER_ANSWERS_LOST_TOTAL);
    }
    if (attempt->number == 0) {
        report_forward(attempt, answer);
    }
    else {
        report_attempt(attempt, answer);
    }
}

/// Reports an attempt at a VM that isn't listed any more.
static void
report_not_listed(void *context)
{
    const http_response_t answer = {.result = HTTP_CONNECT_FAILED,
                                    .error = "VM not listed"};
    attempt_done(context, &answer);
}

static void
add_call_headers(message_t *message, const caller_call_t *call,
                 const attempt_info_t *info)
{
    const http_request_t *request = call->request;
    const header_names_t *wire = call->server->options.header_names;
    if (wire == NULL) {
        message_add_end_to_end(message, request->headers,
                               request->header_count);
    }
    else {
        const char *const replaced[] = {wire->deadline_ms, wire->instance,
                                        wire->caller_service};
        message_add_end_to_end_except(message, request->headers,
                                      request->header_count, replaced,
                                      G_N_ELEMENTS(replaced));
        message_add_string(message, wire->caller_service,
                           call->server->options.service);
    }
    message_add(message, "host", request->host);
    message_add_string(message, HEADER_PROTOCOL, PROTOCOL_VERSION);
    message_add_string(message, HEADER_CUSTOMER, info->customer);
    message_add_string(message, HEADER_KIND, info->kind);
    message_add_string(message, HEADER_SERVICE, info->service);
    message_add_number(message, HEADER_WORTH, info->worth);
    message_add_number(message, HEADER_BUDGET_US, info->budget_us);
    message_add_number(message, HEADER_RETRIES, info->retry_tokens);
    if (info->is_retry) {
        message_add_string(message, HEADER_REPEAT, "1");
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
    g_strlcpy(attempt->vm, vm == NULL ? "" : vm, sizeof(attempt->vm));
    const vm_info_t *peer = vm == NULL ? NULL : vm_view_find(options->vms, vm);
    if (peer == NULL) {
        loop_timer_start(options->loop, &attempt->failure_timer, 0,
                         report_not_listed, attempt);
        return;
    }
    message_t message;
    message_init(&message, 0);
    add_call_headers(&message, call, info);
    message_add_string(&message, HEADER_VM, vm);
    if (attempt->number == 0) {
        message_add_string(&message, HEADER_FROM_PEER, "1");
    }
    else if (attempt->once) {
        message_add_string(&message, HEADER_ONCE, "1");
    }
    attempt->exchange = http_exchange_start(
        peer_client_pool(options->peers, peer), call->request->method,
        call->request->path, message.headers, message.header_count,
        call->request->body, info->response_timeout_us, attempt_done, attempt);
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
read_peer_fields(entry_request_t *call, const http_request_t *request)
{
    int64_t number;
    call->from_peer = true;
    if (parse_number(http_request_header(request, HEADER_WORTH),
                     CONTRACT_WORTH_MAX, &number))
    {
        call->worth = (int32_t)number;
    }
    if (parse_number(http_request_header(request, HEADER_BUDGET_US),
                     G_MAXINT64, &number))
    {
        call->budget_us = number;
    }
    if (parse_number(http_request_header(request, HEADER_RETRIES),
                     CONTRACT_RETRIES_MAX, &number))
    {
        call->retry_tokens = (uint32_t)number;
    }
}

/// How long the caller waits by its own word, 0 if it doesn't say.
static int64_t
read_budget_us(const header_names_t *wire, const http_request_t *request)
{
    int64_t budget_ms = 0;
    if (!parse_number(http_request_header(request, wire->deadline_ms),
                      G_MAXINT32, &budget_ms))
    {
        return 0;
    }
    return MAX(budget_ms, 1) * US_PER_MS;
}

/// Tells a call of the own upstream by its id, which begins with that of a
/// request that runs there. Callers' requests come to the same address.
static void
read_lineage(caller_server_t *server, entry_request_t *taken,
             const http_request_t *request)
{
    const header_names_t *wire = server->options.header_names;
    slice_t parent =
        wire->parent_id(http_request_header(request, wire->request_id));
    if (parent.len > 0) {
        taken->egress = true;
        taken->request_id = request_id_hash(parent);
        call_depths_mark_traceable(server->options.depths);
    }
}

static void
handle(caller_server_t *server, http_request_t *request, origin_t origin)
{
    caller_call_t *call = g_new0(caller_call_t, 1);
    *call = (caller_call_t){
        .server = server,
        .request = request,
        .references = 2, // of the request and of this function
    };
    request->user = call;
    span_start(&call->span, server->options.spans,
               origin == FROM_EGRESS ? "egress" : "entry",
               http_request_header(request, HEADER_TRACEPARENT));
    entry_request_t taken = {
        .customer = customer_of(server, request),
        .method = request->method,
        .path = request->path,
        .key = http_request_header(request, HEADER_KEY),
        .source_hash = origin == FROM_CALLER ? request->source : 0,
        .egress = origin == FROM_EGRESS,
        .user = call,
    };
    if (taken.key.len > 0) {
        taken.request_hash = hash_request(request);
    }
    if (origin == FROM_EGRESS) {
        parse_hex(http_request_header(request, HEADER_REQUEST),
                  &taken.request_id);
    }
    if (origin == FROM_PEER) {
        read_peer_fields(&taken, request);
    }
    if (server->options.header_names != NULL) {
        read_lineage(server, &taken, request);
        taken.key = (slice_t){NULL, 0};
        taken.source_hash = 0;
        taken.budget_us =
            read_budget_us(server->options.header_names, request);
    }
    call_handle_t handle = entry_request(server->options.entry, &taken);
    if (handle != 0) {
        call->handle = handle;
    }
    release_call(call);
}

/// Takes a request of a caller.
void
caller_server_handle_caller(void *context, http_request_t *request)
{
    handle(context, request, FROM_CALLER);
}

/// Takes a request of the VM's own upstream.
void
caller_server_handle_egress(void *context, http_request_t *request)
{
    handle(context, request, FROM_EGRESS);
}

/// Takes a request that another node forwards to the owner of its key.
void
caller_server_handle_forwarded(caller_server_t *server,
                               http_request_t *request)
{
    handle(server, request, FROM_PEER);
}

/// The caller has closed its connection.
void
caller_server_disconnected(void *context, http_request_t *request)
{
    caller_server_t *server = context;
    caller_call_t *call = request->user;
    if (call == NULL || call->request != request) {
        return;
    }
    take_request(call, "caller-gone");
    if (call->handle != 0) {
        entry_caller_disconnected(server->options.entry, call->handle);
    }
    release_call(call);
}

/// Initialises the adapter; the entry is initialised with its io member.
void
caller_server_init(caller_server_t *server,
                   const caller_server_options_t *options)
{
    static const entry_io_vtable_t vtable = {
        .send = io_send,
        .cancel = io_cancel,
        .forward = io_forward,
        .respond = io_answer,
    };
    *server = (caller_server_t){.io.vtable = &vtable, .options = *options};
}
