/// @file
/// Adapter between the guard and HTTP. The guard makes all decisions; this
/// module reads requests of other nodes, sends them to the upstream and writes
/// responses.

#include "ibisfield/io/peer_server.h"

#include <inttypes.h>

#include "ibisfield/base/log.h"
#include "ibisfield/base/metrics.h"
#include "ibisfield/contract/contract_defs.h"
#include "ibisfield/io/message.h"

/// A request at the guard. Reference-counted: freed once the request has been
/// responded to or its sender has disconnected, and the upstream isn't running
/// it.
typedef struct {
    peer_server_t *server;
    http_request_t *request; ///< NULL: responded to or disconnected
    call_handle_t handle;
    http_exchange_t *exchange;
    span_t span;
    char kind[LOGGED_NAME_MAX + 1]; ///< beginning of its name
    uint32_t references;
} peer_call_t;

static void
release_call(peer_call_t *call)
{
    if (--call->references == 0) {
        g_free(call);
    }
}

/// Ends the span of a call, and returns its HTTP request, which the call no
/// longer refers to.
static http_request_t *
detach_request(peer_call_t *call, const char *outcome)
{
    http_request_t *request = call->request;
    call->request = NULL;
    span_end(&call->span, call->server->options.spans,
             slice_from_string(call->kind), outcome);
    return request;
}

static void
add_guard_headers(message_t *message, const peer_server_t *server,
                  const guard_response_t *response, int64_t received_us)
{
    char load[128];
    guard_load_format(&response->load, load, sizeof(load));
    message_add_string(message, HEADER_PROTOCOL, PROTOCOL_VERSION);
    message_add_string(message, HEADER_LOAD, load);
    message_add_number(message, HEADER_RETRIES_LEFT,
                       response->retry_tokens_left);
    source_point_t point = change_feed_point(server->options.feed);
    if (source_point_is_set(point)) {
        message_add_number(message, HEADER_REVISION, (int64_t)point.revision);
        message_add_number(message, HEADER_ERA, (int64_t)point.era);
        message_add_number(message, HEADER_STATE_VERSION,
                           (int64_t)server->options.feed->state_version);
    }
    char proof[KEY_PROOF_TEXT_MAX];
    if (key_proof_format(server->options.key_proof, received_us, proof)) {
        message_add_string(message, HEADER_PROOF, proof);
    }
}

static bool
log_allowed(peer_server_t *server)
{
    return log_limit_allows(&server->refusal_log_limit,
                            server->options.spans->clock);
}

/// Returns the id by which log lines name a request: the platform's request
/// id, or the traceparent if the platform has no header names of its own.
static slice_t
logged_id(const peer_server_t *server, const http_request_t *request)
{
    const header_names_t *names = server->options.header_names;
    return http_request_header(request, names == NULL ? HEADER_TRACEPARENT
                                                      : names->request_id);
}

static void
log_refusal(peer_call_t *call, const guard_response_t *response)
{
    peer_server_t *server = call->server;
    if (!log_allowed(server)) {
        return;
    }
    slice_t id = logged_id(server, call->request);
    int64_t age_us = clock_now_us(server->options.spans->clock) -
                     call->request->received_us;
    log_info("guard_refused",
             "id=%.*s kind=\"%s\" reason=%s outcome=%s age_ms=%" PRId64
             " in_flight=%u limit=%u queue=%u pressure=%u leaving=%d",
             (int)id.len, id.data == NULL ? "" : id.data, call->kind,
             reason_token(response->reason), outcome_token(response->outcome),
             age_us / US_PER_MS, response->load.in_flight,
             response->load.limit, response->load.queue,
             response->load.pressure,
             guard_is_draining(server->options.guard));
}

static void
io_respond(guard_io_t *io, call_handle_t handle, void *user,
           const guard_response_t *response)
{
    (void)handle;
    peer_server_t *server = (peer_server_t *)io;
    peer_call_t *call = user;
    const char *outcome = outcome_token(response->outcome);
    message_t message;
    slice_t body;
    histogram_observe(HISTOGRAM_GUARD_HELD,
                      clock_now_us(server->options.spans->clock) -
                          call->request->received_us);
    if (response->reason == REASON_NONE) {
        const http_response_t *upstream = server->current_response;
        message_init(&message, upstream->status);
        message_add_end_to_end(&message, upstream->headers,
                               upstream->header_count);
        message_add_string(&message, HEADER_OUTCOME, outcome);
        body = upstream->body;
    }
    else {
        refusal_t refusal = {
            .reason = response->reason,
            .outcome = response->outcome,
            .retry_after_ms = response->retry_after_ms,
        };
        message_init_refusal(&message, &refusal);
        body = message_body(&message);
        metric_increment(METRIC_GUARD_REFUSALS_TOTAL);
        log_refusal(call, response);
    }
    add_guard_headers(&message, server, response, call->request->received_us);
    http_request_respond(detach_request(call, outcome), message.status,
                         message.headers, message.header_count, body);
    message_finish(&message);
    release_call(call);
}

static void
upstream_done(void *context, const http_response_t *response)
{
    peer_call_t *call = context;
    peer_server_t *server = call->server;
    upstream_result_t result =
        upstream_client_read_result(server->options.upstream, response);
    call->exchange = NULL;
    server->current_response = response;
    guard_upstream_done(server->options.guard, call->handle, result);
    server->current_response = NULL;
    release_call(call);
}

/// Adds those ibisfield- headers that the upstream passes on with the calls
/// that it makes for this request.
static void
add_propagated_headers(message_t *message, const http_request_t *request,
                       uint64_t request_id, int64_t budget_us)
{
    message_add(message, HEADER_CUSTOMER,
                http_request_header(request, HEADER_CUSTOMER));
    message_add_number(message, HEADER_BUDGET_US, budget_us);
    slice_t workspace = http_request_header(request, HEADER_WORKSPACE);
    if (workspace.len > 0) {
        message_add(message, HEADER_WORKSPACE, workspace);
    }
    if (request_id != 0) {
        char text[24];
        g_snprintf(text, sizeof(text), "%" PRIx64, request_id);
        message_add_string(message, HEADER_REQUEST, text);
    }
    slice_t key = http_request_header(request, HEADER_KEY);
    if (key.len > 0) {
        message_add(message, HEADER_KEY, key);
    }
}

static void
io_start(guard_io_t *io, call_handle_t handle, void *user, uint64_t request_id,
         int64_t budget_us, int64_t wait_us)
{
    peer_server_t *server = (peer_server_t *)io;
    peer_call_t *call = user;
    const http_request_t *request = call->request;
    call->handle = handle;
    call->references++;
    const header_names_t *names = server->options.header_names;
    message_t message;
    message_init(&message, 0);
    message_add_end_to_end(&message, request->headers, request->header_count);
    message_add(&message, "host", request->host);
    if (names == NULL) {
        add_propagated_headers(&message, request, request_id, budget_us);
    }
    else {
        message_add_number(&message, names->deadline_ms,
                           budget_us / US_PER_MS);
        message_add(&message, names->instance,
                    http_request_header(request, HEADER_VM));
    }
    char text[TRACEPARENT_LEN + 1];
    span_traceparent(&call->span, text);
    message_add_string(&message, HEADER_TRACEPARENT, text);
    call->exchange = http_exchange_start_shared(
        server->options.upstream->pool, request->method, request->path,
        message.headers, message.header_count, request->body_bytes, wait_us,
        upstream_done, call);
    message_finish(&message);
}

static void
io_cancel(guard_io_t *io, call_handle_t handle, void *user)
{
    (void)io;
    (void)handle;
    peer_call_t *call = user;
    if (call->exchange != NULL) {
        metric_increment(METRIC_UPSTREAM_CANCELS_TOTAL);
        http_exchange_cancel(call->exchange);
        call->exchange = NULL;
        release_call(call);
    }
}

/// Refuses a request of another protocol version or a malformed one; neither
/// reaches the guard. The outcome of a forwarded request is unknown: it
/// carries a key, and an earlier request with that key may have run.
static void
send_refusal(http_request_t *request, reason_t reason)
{
    bool forwarded =
        http_request_header(request, HEADER_FROM_PEER).data != NULL;
    refusal_t refusal = {
        .reason = reason,
        .outcome = forwarded ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN,
    };
    message_t message;
    message_init_refusal(&message, &refusal);
    message_add_string(&message, HEADER_PROTOCOL, PROTOCOL_VERSION);
    http_request_respond(request, message.status, message.headers,
                         message.header_count, message_body(&message));
    message_finish(&message);
}

static bool
read_guard_request(guard_request_t *out, const http_request_t *request)
{
    int64_t worth = 0;
    int64_t retries = 0;
    out->customer = http_request_header(request, HEADER_CUSTOMER);
    out->kind = http_request_header(request, HEADER_KIND);
    out->service = http_request_header(request, HEADER_SERVICE);
    out->at_most_once = http_request_header(request, HEADER_ONCE).data != NULL;
    out->is_retry = http_request_header(request, HEADER_REPEAT).data != NULL;
    // No deadline exceeds G_MAXINT32 ms.
    bool valid = out->customer.len > 0 && out->kind.len > 0 &&
                 parse_number(http_request_header(request, HEADER_WORTH),
                              CONTRACT_WORTH_MAX, &worth) &&
                 parse_number(http_request_header(request, HEADER_RETRIES),
                              CONTRACT_RETRIES_MAX, &retries) &&
                 parse_number(http_request_header(request, HEADER_BUDGET_US),
                              G_MAXINT32 * US_PER_MS, &out->budget_us);
    parse_number(http_request_header(request, HEADER_RUN_US),
                 G_MAXINT32 * US_PER_MS, &out->run_us);
    out->may_redirect =
        http_request_header(request, HEADER_MAY_REDIRECT).data != NULL;
    out->must_end = out->run_us > 0 &&
                    http_request_header(request, HEADER_MUST_END).data != NULL;
    int64_t remaining = 0;
    if (parse_number(http_request_header(request, HEADER_REMAINING),
                     G_MAXINT32, &remaining))
    {
        out->calls_remaining = (uint32_t)remaining;
    }
    out->worth = (int32_t)worth;
    out->retry_tokens = (uint32_t)retries;
    return valid;
}

static void
submit_to_guard(peer_server_t *server, http_request_t *request,
                guard_request_t *params)
{
    peer_call_t *call = g_new0(peer_call_t, 1);
    *call = (peer_call_t){
        .server = server,
        .request = request,
        // Held by the request and by this function, because guard_request()
        // may respond before it returns.
        .references = 2,
    };
    request->user = call;
    memcpy(call->kind, params->kind.data,
           MIN(params->kind.len, sizeof(call->kind) - 1));
    span_start(&call->span, server->options.spans, "guard",
               http_request_header(request, HEADER_TRACEPARENT));
    params->user = call;
    metric_increment(METRIC_GUARD_REQUESTS_TOTAL);
    call_handle_t handle = guard_request(server->options.guard, params);
    if (handle != 0) { // 0: responded to already
        call->handle = handle;
    }
    release_call(call);
}

static void
refuse_protocol_version(peer_server_t *server, http_request_t *request,
                        slice_t protocol)
{
    metric_increment(METRIC_PROTOCOL_REFUSALS_TOTAL);
    if (log_allowed(server)) {
        log_warning("protocol_version_refused",
                    "found=\"%.*s\" expected=" PROTOCOL_VERSION,
                    (int)MIN(protocol.len, 32),
                    protocol.data == NULL ? "" : protocol.data);
    }
    send_refusal(request, REASON_PROTOCOL_VERSION);
}

/// Handles a request of another node.
void
peer_server_handle(void *context, http_request_t *request)
{
    peer_server_t *server = context;
    slice_t protocol = http_request_header(request, HEADER_PROTOCOL);
    if (!slice_equal_string(protocol, PROTOCOL_VERSION)) {
        refuse_protocol_version(server, request, protocol);
        return;
    }
    slice_t control = http_request_header(request, HEADER_CONTROL);
    if (slice_equal_string(control, USAGE_CONTROL)) {
        usage_link_handle(server->options.usage_link, request);
        return;
    }
    if (control.data != NULL) {
        change_feed_handle(server->options.feed, request);
        return;
    }
    if (http_request_header(request, HEADER_FROM_PEER).data != NULL) {
        caller_server_handle_forwarded(server->options.caller_server, request);
        return;
    }
    guard_request_t params = {0};
    if (!read_guard_request(&params, request)) {
        metric_increment(METRIC_REQUESTS_MALFORMED_TOTAL);
        if (log_allowed(server)) {
            log_warning("peer_request_malformed", "path=\"%.*s\"",
                        (int)request->path.len, request->path.data);
        }
        send_refusal(request, REASON_MALFORMED);
        return;
    }
    const header_names_t *names = server->options.header_names;
    slice_t id = names == NULL
                     ? (slice_t){NULL, 0}
                     : http_request_header(request, names->request_id);
    if (id.len > 0) {
        slice_t vm = http_request_header(request, HEADER_VM);
        params.context_id = id_hash(id);
        params.target_instance = vm.len > 0 ? id_hash(vm) : 0;
        if (names->parent_id(id).len > 0) {
            // Servers of this platform put parents into their ids, so calls of
            // the own upstream can be told from callers' requests.
            call_depths_mark_traceable(server->options.depths);
        }
    }
    submit_to_guard(server, request, &params);
}

/// Handles the close of a connection whose request is in flight.
void
peer_server_disconnected(void *context, http_request_t *request)
{
    peer_server_t *server = context;
    if (http_request_header(request, HEADER_CONTROL).data != NULL) {
        change_feed_disconnected(server->options.feed, request);
        return;
    }
    if (http_request_header(request, HEADER_FROM_PEER).data != NULL) {
        caller_server_disconnected(server->options.caller_server, request);
        return;
    }
    peer_call_t *call = request->user;
    if (call == NULL || call->request != request) {
        return;
    }
    detach_request(call, "sender-gone");
    if (call->handle != 0) {
        guard_sender_disconnected(server->options.guard, call->handle);
    }
    release_call(call);
}

/// Initialises the adapter. Its io member is what guard_init() takes.
void
peer_server_init(peer_server_t *server, const peer_server_options_t *options)
{
    static const guard_io_vtable_t vtable = {
        .start = io_start,
        .cancel = io_cancel,
        .respond = io_respond,
    };
    *server = (peer_server_t){.io.vtable = &vtable, .options = *options};
}
