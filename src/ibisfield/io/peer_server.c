/// @file
/// Adapter between the guard and HTTP. The guard decides; this module reads
/// requests of other nodes, runs them at the upstream and writes answers.

#include "ibisfield/io/peer_server.h"

#include <inttypes.h>

#include "ibisfield/base/log.h"
#include "ibisfield/base/metrics.h"
#include "ibisfield/contract/contract_defs.h"
#include "ibisfield/io/message.h"

/// A request at the guard. It lives until it is answered or its sender has
/// gone, and the upstream doesn't run it.
typedef struct {
    peer_server_t *server;
    http_request_t *request; ///< NULL when answered or gone
    call_handle_t handle;
    http_exchange_t *exchange;
    span_t span;
    char kind[CONTRACT_NAME_MAX + 1];
    uint32_t references;
} guarded_t;

static void
release_guarded(guarded_t *guarded)
{
    if (--guarded->references == 0) {
        g_free(guarded);
    }
}

static http_request_t *
take_request(guarded_t *guarded, const char *outcome)
{
    http_request_t *request = guarded->request;
    guarded->request = NULL;
    span_end(&guarded->span, guarded->server->options.spans,
             slice_from_string(guarded->kind), outcome);
    return request;
}

static void
add_guard_headers(message_t *message, const guard_response_t *answer)
{
    char load[128];
    guard_load_format(&answer->load, load, sizeof(load));
    message_add_string(message, HEADER_PROTOCOL, PROTOCOL_VERSION);
    message_add_string(message, HEADER_LOAD, load);
    message_add_number(message, HEADER_RETRIES_LEFT,
                       answer->retry_tokens_left);
}

static bool
may_log(peer_server_t *server)
{
    return log_limit_allows(&server->refusal_log_limit,
                            server->options.spans->clock);
}

static slice_t
logged_id(const peer_server_t *server, const http_request_t *request)
{
    const header_names_t *wire = server->options.header_names;
    return http_request_header(request, wire == NULL ? HEADER_TRACEPARENT
                                                     : wire->request_id);
}

static void
log_refusal(guarded_t *guarded, const guard_response_t *answer)
{
    peer_server_t *server = guarded->server;
    if (!may_log(server)) {
        return;
    }
    slice_t id = logged_id(server, guarded->request);
    int64_t age_us = clock_now_us(server->options.spans->clock) -
                     guarded->request->received_us;
    log_info("guard_refused",
             "id=%.*s kind=\"%s\" reason=%s outcome=%s age_ms=%" PRId64
             " in_flight=%u limit=%u queue=%u pressure=%u leaving=%d",
             (int)id.len, id.data == NULL ? "" : id.data, guarded->kind,
             reason_token(answer->reason), outcome_token(answer->outcome),
             age_us / US_PER_MS, answer->load.in_flight, answer->load.limit,
             answer->load.queue, answer->load.pressure,
             guard_is_draining(server->options.guard));
}

static void
io_answer(guard_io_t *io, call_handle_t handle, void *user,
          const guard_response_t *answer)
{
    (void)handle;
    peer_server_t *server = (peer_server_t *)io;
    guarded_t *guarded = user;
    const char *outcome = outcome_token(answer->outcome);
    message_t message;
    slice_t body;
    histogram_observe(HISTOGRAM_GUARD_HELD,
                      clock_now_us(server->options.spans->clock) -
                          guarded->request->received_us);
    if (answer->reason == REASON_NONE) {
        const http_response_t *upstream = server->current_response;
        message_init(&message, upstream->status);
        message_add_end_to_end(&message, upstream->headers,
                               upstream->header_count);
        message_add_string(&message, HEADER_OUTCOME, outcome);
        body = upstream->body;
    }
    else {
        refusal_t refusal = {
            .reason = answer->reason,
            .outcome = answer->outcome,
            .retry_after_ms = answer->retry_after_ms,
        };
        message_init_refusal(&message, &refusal);
        body = message_body(&message);
        metric_increment(METRIC_GUARD_REFUSALS_TOTAL);
        log_refusal(guarded, answer);
    }
    add_guard_headers(&message, answer);
    http_request_respond(take_request(guarded, outcome), message.status,
                         message.headers, message.header_count, body);
    message_finish(&message);
    release_guarded(guarded);
}

static void
upstream_done(void *context, const http_response_t *answer)
{
    guarded_t *guarded = context;
    peer_server_t *server = guarded->server;
    upstream_result_t result =
        upstream_client_read_result(server->options.upstream, answer);
    guarded->exchange = NULL;
    server->current_response = answer;
    guard_upstream_done(server->options.guard, guarded->handle, result);
    server->current_response = NULL;
    release_guarded(guarded);
}

/// Tells the upstream what it passes on with its calls, in the project's own
/// headers.
static void
add_own_headers(message_t *message, const http_request_t *request,
                uint64_t request_id, int64_t budget_us)
{
    message_add(message, HEADER_CUSTOMER,
                http_request_header(request, HEADER_CUSTOMER));
    message_add_number(message, HEADER_BUDGET_US, budget_us);
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
    guarded_t *guarded = user;
    const http_request_t *request = guarded->request;
    guarded->handle = handle;
    guarded->references++;
    const header_names_t *wire = server->options.header_names;
    message_t message;
    message_init(&message, 0);
    message_add_end_to_end(&message, request->headers, request->header_count);
    message_add(&message, "host", request->host);
    if (wire == NULL) {
        add_own_headers(&message, request, request_id, budget_us);
    }
    else {
        message_add_number(&message, wire->deadline_ms, budget_us / US_PER_MS);
        message_add(&message, wire->instance,
                    http_request_header(request, HEADER_VM));
    }
    char text[TRACEPARENT_LEN + 1];
    span_traceparent(&guarded->span, text);
    message_add_string(&message, HEADER_TRACEPARENT, text);
    guarded->exchange = http_exchange_start(
        server->options.upstream->pool, request->method, request->path,
        message.headers, message.header_count, request->body, wait_us,
        upstream_done, guarded);
    message_finish(&message);
}

static void
io_cancel(guard_io_t *io, call_handle_t handle, void *user)
{
    (void)io;
    (void)handle;
    guarded_t *guarded = user;
    if (guarded->exchange != NULL) {
        metric_increment(METRIC_UPSTREAM_CANCELS_TOTAL);
        http_exchange_cancel(guarded->exchange);
        guarded->exchange = NULL;
        release_guarded(guarded);
    }
}

/// Refuses a request that the guard never sees. A forwarded request carries a
/// key, of which an earlier submission may have run.
static void
refuse(http_request_t *request, reason_t reason)
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
    bool valid = out->customer.len > 0 && out->kind.len > 0 &&
                 parse_number(http_request_header(request, HEADER_WORTH),
                              CONTRACT_WORTH_MAX, &worth) &&
                 parse_number(http_request_header(request, HEADER_RETRIES),
                              CONTRACT_RETRIES_MAX, &retries) &&
                 parse_number(http_request_header(request, HEADER_BUDGET_US),
                              G_MAXINT32 * US_PER_MS, &out->budget_us);
    out->worth = (int32_t)worth;
    out->retry_tokens = (uint32_t)retries;
    return valid;
}

static void
guard_take(peer_server_t *server, http_request_t *request,
           guard_request_t *taken)
{
    guarded_t *guarded = g_new0(guarded_t, 1);
    *guarded = (guarded_t){
        .server = server,
        .request = request,
        .references = 2, // of the request and of this function
    };
    request->user = guarded;
    memcpy(guarded->kind, taken->kind.data,
           MIN(taken->kind.len, sizeof(guarded->kind) - 1));
    span_start(&guarded->span, server->options.spans, "guard",
               http_request_header(request, HEADER_TRACEPARENT));
    taken->user = guarded;
    metric_increment(METRIC_GUARD_REQUESTS_TOTAL);
    call_handle_t handle = guard_request(server->options.guard, taken);
    if (handle != 0) {
        guarded->handle = handle;
    }
    release_guarded(guarded);
}

static void
refuse_protocol(peer_server_t *server, http_request_t *request,
                slice_t protocol)
{
    metric_increment(METRIC_PROTOCOL_REFUSALS_TOTAL);
    if (may_log(server)) {
        log_warning("protocol_version_refused",
                    "found=\"%.*s\" expected=" PROTOCOL_VERSION,
                    (int)MIN(protocol.len, 32),
                    protocol.data == NULL ? "" : protocol.data);
    }
    refuse(request, REASON_PROTOCOL_VERSION);
}

/// Takes a request of another node.
void
peer_server_handle(void *context, http_request_t *request)
{
    peer_server_t *server = context;
    slice_t protocol = http_request_header(request, HEADER_PROTOCOL);
    if (!slice_equal_string(protocol, PROTOCOL_VERSION)) {
        refuse_protocol(server, request, protocol);
        return;
    }
    if (http_request_header(request, HEADER_CONTROL).data != NULL) {
        change_feed_handle(server->options.feed, request);
        return;
    }
    if (http_request_header(request, HEADER_FROM_PEER).data != NULL) {
        caller_server_handle_forwarded(server->options.callers, request);
        return;
    }
    guard_request_t taken = {0};
    if (!read_guard_request(&taken, request)) {
        metric_increment(METRIC_REQUESTS_MALFORMED_TOTAL);
        if (may_log(server)) {
            log_warning("peer_request_malformed", "path=\"%.*s\"",
                        (int)request->path.len, request->path.data);
        }
        refuse(request, REASON_MALFORMED);
        return;
    }
    const header_names_t *wire = server->options.header_names;
    slice_t id = wire == NULL ? (slice_t){NULL, 0}
                              : http_request_header(request, wire->request_id);
    if (id.len > 0) {
        slice_t vm = http_request_header(request, HEADER_VM);
        taken.context_id = request_id_hash(id);
        taken.target_instance = vm.len > 0 ? request_id_hash(vm) : 0;
        if (wire->parent_id(id).len > 0) {
            call_depths_mark_traceable(server->options.depths);
        }
    }
    guard_take(server, request, &taken);
}

/// The sender has closed its connection.
void
peer_server_disconnected(void *context, http_request_t *request)
{
    peer_server_t *server = context;
    if (http_request_header(request, HEADER_CONTROL).data != NULL) {
        change_feed_disconnected(server->options.feed, request);
        return;
    }
    if (http_request_header(request, HEADER_FROM_PEER).data != NULL) {
        caller_server_disconnected(server->options.callers, request);
        return;
    }
    guarded_t *guarded = request->user;
    if (guarded == NULL || guarded->request != request) {
        return;
    }
    take_request(guarded, "sender-gone");
    if (guarded->handle != 0) {
        guard_sender_disconnected(server->options.guard, guarded->handle);
    }
    release_guarded(guarded);
}

/// Initialises the adapter; the guard is initialised with its io member.
void
peer_server_init(peer_server_t *server, const peer_server_options_t *options)
{
    static const guard_io_vtable_t vtable = {
        .start = io_start,
        .cancel = io_cancel,
        .respond = io_answer,
    };
    *server = (peer_server_t){.io.vtable = &vtable, .options = *options};
}
