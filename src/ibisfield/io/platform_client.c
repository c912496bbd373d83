/// @file
/// Reads and watches (long polls) of the configuration service of the
/// project's own platform: GET /v1/items?prefix=P&since=R&wait_ms=W.

#include "ibisfield/io/platform_client.h"

#include <arpa/inet.h>
#include <inttypes.h>
#include <json-c/json.h>
#include <malloc.h>

#include "ibisfield/base/metrics.h"

/// A full list of 16,000 VMs takes 4 to 5 MB.
#define PLATFORM_RESPONSE_MAX_BYTES ((size_t)64 << 20)
/// Added to the wait of a watch to get the time-out of its request.
#define PLATFORM_WATCH_MARGIN_MS 1000
/// The same for a full list, whose response of megabytes takes longer.
#define PLATFORM_LIST_MARGIN_MS 5000
/// One for the read in flight, one that may still be closing.
#define PLATFORM_CONNECTIONS_MAX 2
#define JSON_DEPTH_MAX 32
/// After a response above this size, free memory is returned to the system:
/// the parsed form takes many times the size of the response, and the
/// allocator would keep that memory.
#define TRIM_MIN_BYTES ((size_t)1 << 20)

/// Parses a URL of the form "http://ip:port", with or without a slash at the
/// end. Returns false if it has another form; @p endpoint is then undefined.
bool
endpoint_from_url(const char *url, endpoint_t *endpoint)
{
    static const char scheme[] = "http://";
    struct in_addr parsed;
    if (!g_str_has_prefix(url, scheme)) {
        return false;
    }
    const char *host = url + strlen(scheme);
    const char *colon = strchr(host, ':');
    if (colon == NULL || (size_t)(colon - host) >= sizeof(endpoint->address)) {
        return false;
    }
    char *end = NULL;
    guint64 port = g_ascii_strtoull(colon + 1, &end, 10);
    g_strlcpy(endpoint->address, host, (gsize)(colon - host) + 1);
    endpoint->port = (uint16_t)port;
    return end != colon + 1 && (*end == '\0' || strcmp(end, "/") == 0) &&
           port >= 1 && port <= UINT16_MAX &&
           inet_pton(AF_INET, endpoint->address, &parsed) == 1;
}

static void
report_failure(platform_client_t *client, const char *error)
{
    metric_increment(METRIC_PLATFORM_READ_FAILURES_TOTAL);
    client->done(client->context, &(platform_response_t){.error = error});
}

/// Parses an item; one without a value, or with the value null, is removed.
/// Its texts belong to @p json. Returns false if the item is invalid or if its
/// name doesn't start with @p prefix.
static bool
parse_item(struct json_object *json, const char *prefix, config_item_t *item)
{
    struct json_object *name = NULL;
    struct json_object *version = NULL;
    struct json_object *value = NULL;
    if (!json_object_object_get_ex(json, "name", &name) ||
        !json_object_is_type(name, json_type_string) ||
        !json_object_object_get_ex(json, "version", &version) ||
        !json_object_is_type(version, json_type_int) ||
        json_object_get_int64(version) < 1)
    {
        return false;
    }
    item->name = json_object_get_string(name);
    item->version = json_object_get_uint64(version);
    item->value = (slice_t){NULL, 0};
    if (json_object_object_get_ex(json, "value", &value) && value != NULL) {
        item->value.data = json_object_to_json_string_length(
            value, JSON_C_TO_STRING_PLAIN, &item->value.len);
    }
    return g_str_has_prefix(item->name, prefix);
}

static void
report_items(platform_client_t *client, uint64_t revision,
             struct json_object *list)
{
    size_t count = json_object_array_length(list);
    config_item_t *items = g_new0(config_item_t, count + 1);
    platform_response_t response = {.revision = revision, .items = items};
    for (size_t i = 0; i < count; i++) {
        if (!parse_item(json_object_array_get_idx(list, i), client->prefix,
                        &items[i])) {
            g_free(items);
            report_failure(client, "the response has an invalid item");
            return;
        }
    }
    response.item_count = count;
    client->done(client->context, &response);
    g_free(items);
}

static void
report_list(platform_client_t *client, struct json_object *body)
{
    struct json_object *revision = NULL;
    struct json_object *list = NULL;
    if (!json_object_object_get_ex(body, "revision", &revision) ||
        !json_object_is_type(revision, json_type_int) ||
        json_object_get_int64(revision) < 0 ||
        !json_object_object_get_ex(body, "items", &list) ||
        !json_object_is_type(list, json_type_array))
    {
        report_failure(client, "the response has no valid revision or items");
        return;
    }
    report_items(client, json_object_get_uint64(revision), list);
}

static void
handle_response(void *context, const http_response_t *response)
{
    platform_client_t *client = context;
    client->exchange = NULL;
    if (response->result != HTTP_COMPLETE) {
        report_failure(client, response->error == NULL
                                   ? "the response is incomplete"
                                   : response->error);
        return;
    }
    if (response->status != 200) {
        report_failure(client, "the response status is not 200");
        return;
    }
    struct json_tokener *tokener = json_tokener_new_ex(JSON_DEPTH_MAX);
    struct json_object *body = json_tokener_parse_ex(
        tokener, response->body.data, (int)response->body.len);
    if (json_object_is_type(body, json_type_object)) {
        report_list(client, body);
    }
    else {
        report_failure(client, "the response is not a JSON object");
    }
    json_object_put(body);
    json_tokener_free(tokener);
    if (response->body.len > TRIM_MIN_BYTES) {
        malloc_trim(0);
    }
}

/// Initialises a client for the list of the items whose names start with
/// @p prefix. Returns false if @p url isn't of the form "http://ip:port".
bool
platform_client_init(platform_client_t *client, loop_t *loop, const char *url,
                     const char *prefix, platform_done_t done, void *context)
{
    endpoint_t endpoint;
    *client = (platform_client_t){.done = done, .context = context};
    if (!endpoint_from_url(url, &endpoint)) {
        return false;
    }
    client->prefix = g_strdup(prefix);
    client->pool = http_pool_new(loop, &endpoint, PLATFORM_CONNECTIONS_MAX,
                                 PLATFORM_RESPONSE_MAX_BYTES);
    return true;
}

/// Cancels the read in flight, if any; its callback isn't called.
void
platform_client_cancel(platform_client_t *client)
{
    if (client->exchange != NULL) {
        http_exchange_cancel(client->exchange);
        client->exchange = NULL;
    }
}

void
platform_client_finish(platform_client_t *client)
{
    platform_client_cancel(client);
    if (client->pool != NULL) {
        http_pool_release(client->pool);
    }
    g_free(client->prefix);
}

/// Starts a read of the items that changed after revision @p since; 0: of the
/// full list. The platform responds as soon as there are any, or after
/// @p wait_ms. No other read may be in flight.
void
platform_client_read(platform_client_t *client, uint64_t since,
                     int64_t wait_ms)
{
    char *path = g_strdup_printf("/v1/items?prefix=%s&since=%" PRIu64
                                 "&wait_ms=%" PRId64,
                                 client->prefix, since, wait_ms);
    int64_t margin_ms =
        since == 0 ? PLATFORM_LIST_MARGIN_MS : PLATFORM_WATCH_MARGIN_MS;
    metric_increment(METRIC_PLATFORM_READS_TOTAL);
    client->exchange = http_exchange_start(
        client->pool, SLICE_LITERAL("GET"), slice_from_string(path), NULL, 0,
        (slice_t){NULL, 0}, (wait_ms + margin_ms) * US_PER_MS, handle_response,
        client);
    g_free(path);
}
