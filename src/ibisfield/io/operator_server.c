/// @file
/// HTTP endpoints for operators and for readiness checks. The context of the
/// handlers is the node_t.

#include "ibisfield/io/operator_server.h"

#include <json-c/json.h>

#include "ibisfield/base/log.h"
#include "ibisfield/base/metrics.h"
#include "ibisfield/io/node.h"

static void
respond_text(http_request_t *request, int status, const char *type,
             const char *text)
{
    const http_header_t header = {SLICE_LITERAL("content-type"),
                                  slice_from_string(type)};
    http_request_respond(request, status, &header, 1, slice_from_string(text));
}

static void
respond_json(http_request_t *request, int status, struct json_object *object)
{
    char *text = g_strdup_printf("%s\n", json_object_to_json_string_ext(
                                             object, JSON_C_TO_STRING_PRETTY));
    respond_text(request, status, "application/json", text);
    g_free(text);
    json_object_put(object);
}

static const char *
node_state_name(const node_t *node)
{
    if (node->drain_causes != 0) {
        return "draining";
    }
    return node->ready ? "ok" : "not-ready";
}

static void
respond_health(const node_t *node, http_request_t *request)
{
    const char *state = node_state_name(node);
    struct json_object *health = json_object_new_object();
    json_object_object_add(health, "status", json_object_new_string(state));
    respond_json(request, strcmp(state, "ok") == 0 ? 200 : 503, health);
}

static void
respond_metrics(http_request_t *request)
{
    GString *text = g_string_new(NULL);
    metrics_write_text(text);
    respond_text(request, 200, "text/plain; version=0.0.4", text->str);
    g_string_free(text, TRUE);
}

static void
add_number(struct json_object *object, const char *name, int64_t value)
{
    json_object_object_add(object, name, json_object_new_int64(value));
}

static struct json_object *
guard_status(const node_t *node)
{
    guard_load_t load = guard_load(&node->guard);
    struct json_object *guard = json_object_new_object();
    add_number(guard, "in_flight", load.in_flight);
    add_number(guard, "limit", load.limit);
    add_number(guard, "queue", load.queue);
    add_number(guard, "service_us", load.service_us);
    add_number(guard, "min_worth", load.min_worth);
    return guard;
}

static void
respond_status(const node_t *node, http_request_t *request)
{
    const settings_t *settings = node->settings;
    struct json_object *status = json_object_new_object();
    json_object_object_add(status, "vm", json_object_new_string(settings->vm));
    json_object_object_add(status, "service",
                           json_object_new_string(settings->service));
    json_object_object_add(status, "data_centre",
                           json_object_new_string(settings->data_centre));
    json_object_object_add(status, "version",
                           json_object_new_string(IBISFIELD_VERSION));
    json_object_object_add(status, "state",
                           json_object_new_string(node_state_name(node)));
    add_number(status, "uptime_s",
               (clock_now_us(&node->clock) - node->start_us) / US_PER_S);
    add_number(status, "calls_in_flight", entry_in_flight(&node->entry));
    add_number(status, "keys", key_table_count(&node->keys));
    add_number(status, "held_bytes", (int64_t)node->account.held);
    add_number(status, "held_bytes_peak", (int64_t)node->account.peak);
    add_number(status, "held_bytes_max", (int64_t)node->account.limit);
    add_number(status, "vms_listed", g_hash_table_size(node->vms.vms));
    json_object_object_add(status, "guard", guard_status(node));
    if (node->source == NULL) { // on the project's own platform
        config_agent_write_status(node->agent, status);
    }
    else {
        add_number(status, "contracts_version",
                   (int64_t)node->customers.version);
        node->source->vtable->write_status(node->source, status);
        change_feed_write_status(&node->feed, status);
        usage_link_write_status(&node->usage_link, status);
        int64_t proof_age_us = key_proof_age_us(&node->key_proof);
        add_number(status, "access_key_proof_age_ms",
                   proof_age_us == INT64_MAX ? -1 : proof_age_us / US_PER_MS);
    }
    respond_json(request, 200, status);
}

static void
handle_drain(node_t *node, http_request_t *request)
{
    log_info("drain_requested", "vm=%s", node->settings->vm);
    node_set_drain_cause(node, DRAIN_OPERATOR, true);
    respond_text(request, 200, "application/json",
                 "{\"status\": \"draining\"}\n");
}

/// Handles GET /health, GET /metrics, GET /status and POST /drain.
void
operator_server_handle(void *context, http_request_t *request)
{
    node_t *node = context;
    bool is_get = slice_equal_string(request->method, "GET");
    if (is_get && slice_equal_string(request->path, "/health")) {
        respond_health(node, request);
    }
    else if (is_get && slice_equal_string(request->path, "/metrics")) {
        respond_metrics(request);
    }
    else if (is_get && slice_equal_string(request->path, "/status")) {
        respond_status(node, request);
    }
    else if (slice_equal_string(request->method, "POST") &&
             slice_equal_string(request->path, "/drain"))
    {
        handle_drain(node, request);
    }
    else {
        respond_text(request, 404, "application/json",
                     "{\"error\": \"unknown path\", \"expected\": \"GET "
                     "/health, GET /metrics, GET /status or POST /drain\"}\n");
    }
}

/// Responds to a readiness check on any path: 200 if callers should use this
/// node, 503 otherwise.
void
operator_server_handle_readiness(void *context, http_request_t *request)
{
    bool ready = node_is_ready(context);
    respond_text(request, ready ? 200 : 503, "text/plain",
                 ready ? "ready\n" : "not ready\n");
}

/// Does nothing: the handlers respond before they return, so no request can be
/// pending.
void
operator_server_disconnected(void *context, http_request_t *request)
{
    (void)context;
    (void)request;
}
