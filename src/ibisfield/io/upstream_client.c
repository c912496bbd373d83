/// @file
/// Connection pool to the upstream on this VM, the interpretation of its
/// responses, and the health check that detects whether it is draining.

#include "ibisfield/io/upstream_client.h"

#include <json-c/json.h>

#include "ibisfield/base/log.h"
#include "ibisfield/base/metrics.h"
#include "ibisfield/io/message.h"

#define HEALTH_PATH "/health"
/// The upstream is on the same VM. If it doesn't accept a connection within
/// this time, it is down or overloaded, and the request is sent to another VM.
#define CONNECT_TIMEOUT_US (500 * US_PER_MS)
#define HEALTH_INTERVAL_US US_PER_S
/// Responses of the largest size that are read at the same time. More at once
/// come from a faulty upstream only, and would exhaust the memory of the VM.
#define LARGEST_RESPONSES_MAX 8
#define HEALTH_TIMEOUT_US US_PER_S
/// All that has arrived on a connection is read before another one has its
/// turn, so this bounds how long a fast upstream keeps the others waiting.
#define RECEIVE_BUFFER_BYTES 65536

static void check_health(void *context);

static bool
reports_draining(slice_t body)
{
    struct json_tokener *tokener = json_tokener_new();
    struct json_object *health =
        json_tokener_parse_ex(tokener, body.data, (int)body.len);
    struct json_object *status = NULL;
    bool draining = json_object_is_type(health, json_type_object) &&
                    json_object_object_get_ex(health, "status", &status) &&
                    g_strcmp0(json_object_get_string(status), "draining") == 0;
    json_object_put(health);
    json_tokener_free(tokener);
    return draining;
}

/// Updates the draining state from a complete response with a body. Any other
/// result leaves the state unchanged: the health endpoint alone may fail or be
/// wrong, and if the upstream fails, the guard sees each failed request.
static void
on_health_response(void *context, const http_response_t *response)
{
    upstream_client_t *client = context;
    client->health_exchange = NULL;
    loop_timer_start(client->loop, &client->health_timer, HEALTH_INTERVAL_US,
                     check_health, client);
    if (response->result != HTTP_COMPLETE || response->body.len == 0) {
        return;
    }
    bool draining = reports_draining(response->body);
    if (draining != client->draining) {
        client->draining = draining;
        log_info("upstream_health_changed", "draining=%d", draining);
        client->draining_changed(client->context, draining);
    }
}

static void
check_health(void *context)
{
    upstream_client_t *client = context;
    client->health_exchange = http_exchange_start(
        client->pool, SLICE_LITERAL("GET"), SLICE_LITERAL(HEALTH_PATH), NULL,
        0, (slice_t){NULL, 0}, HEALTH_TIMEOUT_US, on_health_response, client);
}

/// Initialises the pool. Starts the health check if the upstream uses the
/// ibisfield- headers.
void
upstream_client_init(upstream_client_t *client, loop_t *loop,
                     const settings_t *settings,
                     const header_names_t *header_names,
                     byte_account_t *account,
                     upstream_draining_changed_t draining_changed,
                     void *context)
{
    *client = (upstream_client_t){
        .loop = loop,
        .header_names = header_names,
        .draining_changed = draining_changed,
        .context = context,
    };
    http_pool_options_t options = {
        .endpoint = settings->upstream,
        .connections_max = (uint32_t)settings->upstream_connections,
        .max_response_bytes = (size_t)settings->max_answer_bytes,
        .max_buffered_bytes =
            (size_t)settings->max_answer_bytes * LARGEST_RESPONSES_MAX,
        .account = account,
        .connect_timeout_us = CONNECT_TIMEOUT_US,
        .receive_buffer_bytes = RECEIVE_BUFFER_BYTES,
        .refusal_header = HEADER_SHED,
        .id_header = HEADER_TRACEPARENT,
    };
    if (header_names == NULL) {
        loop_timer_start(loop, &client->health_timer, 0, check_health, client);
    }
    else {
        // No health check: the platform's list says whether the upstream is
        // draining.
        options.echoed_header = header_names->request_id;
        options.id_header = header_names->request_id;
        options.refusal_header = header_names->not_run;
        options.allow_close_delimited = true;
    }
    client->pool = http_pool_new_with_options(loop, &options);
}

void
upstream_client_finish(upstream_client_t *client)
{
    loop_timer_stop(client->loop, &client->health_timer);
    if (client->health_exchange != NULL) {
        http_exchange_cancel(client->health_exchange);
    }
    http_pool_release(client->pool);
}

static void
update_reachability(upstream_client_t *client, bool failed, const char *error)
{
    if (failed == client->connect_failing) {
        return;
    }
    client->connect_failing = failed;
    if (failed) {
        log_warning("upstream_unreachable", "error=\"%s\"", error);
    }
    else {
        log_info("upstream_reachable", "%s", "");
    }
}

static upstream_result_t
result_by_ibisfield_headers(const http_response_t *response)
{
    slice_t shed = http_header_find(response->headers, response->header_count,
                                    HEADER_SHED);
    if (response->status == 503 && slice_equal_string(shed, "1")) {
        metric_increment(METRIC_UPSTREAM_SHED_TOTAL);
        return UPSTREAM_SHED;
    }
    return UPSTREAM_ANSWERED;
}

static bool
has_header(const http_response_t *response, const char *name)
{
    return http_header_find(response->headers, response->header_count, name)
               .data != NULL;
}

/// Interprets a response by the platform's header names. One without the seal
/// or the request id, which the upstream sets on each response, or with a
/// content encoding, doesn't have the upstream's body and counts as lost.
static upstream_result_t
result_by_platform_headers(upstream_client_t *client,
                           const http_response_t *response)
{
    if (response->status == 421) {
        metric_increment(METRIC_UPSTREAM_MISDIRECTED_TOTAL);
        return UPSTREAM_MISDIRECTED;
    }
    if (has_header(response, client->header_names->not_run)) {
        metric_increment(METRIC_UPSTREAM_SHED_TOTAL);
        return UPSTREAM_SHED;
    }
    if (has_header(response, client->header_names->seal) &&
        has_header(response, client->header_names->request_id) &&
        !has_header(response, "content-encoding"))
    {
        return UPSTREAM_ANSWERED;
    }
    metric_increment(METRIC_UPSTREAM_ANSWERS_LOST_TOTAL);
    if (log_limit_allows(&client->response_log_limit, client->loop->clock)) {
        log_warning("upstream_answer_foreign", "status=%d", response->status);
    }
    return UPSTREAM_LOST;
}

/// Returns how the upstream's run of a request ended. Counts and logs
/// failures.
upstream_result_t
upstream_client_read_result(upstream_client_t *client,
                            const http_response_t *response)
{
    update_reachability(client, response->result == HTTP_CONNECT_FAILED,
                        response->error);
    switch (response->result) {
    case HTTP_COMPLETE:
        return client->header_names == NULL
                   ? result_by_ibisfield_headers(response)
                   : result_by_platform_headers(client, response);
    case HTTP_CONNECT_FAILED:
        metric_increment(METRIC_UPSTREAM_CONNECT_FAILURES_TOTAL);
        return UPSTREAM_CONNECT_FAILED;
    case HTTP_TOO_LARGE:
        metric_increment(METRIC_UPSTREAM_ANSWERS_TOO_LARGE_TOTAL);
        if (log_limit_allows(&client->response_log_limit, client->loop->clock))
        {
            log_warning("upstream_answer_too_large", "status=%d",
                        response->status);
        }
        return UPSTREAM_RESPONSE_TOO_LARGE;
    default:
        metric_increment(METRIC_UPSTREAM_ANSWERS_LOST_TOTAL);
        if (!response->untrusted &&
            log_limit_allows(&client->response_log_limit, client->loop->clock))
        {
            log_warning("upstream_answer_lost", "error=\"%s\"",
                        response->error);
        }
        return UPSTREAM_LOST;
    }
}
