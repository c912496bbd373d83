/// @file
/// Reads and watches of the platform's configuration service:
/// GET /v1/items?prefix=P&since=R&wait_ms=W.

#include "ibisfield/io/platform_client.h"

#include <arpa/inet.h>
#include <inttypes.h>
#include <json-c/json.h>
#include <malloc.h>

#include "ibisfield/base/metrics.h"

/// A whole list of 16,000 VMs has 4 to 5 MB.
#define PLATFORM_ANSWER_MAX_BYTES ((size_t)64 << 20)
/// Added to the wait of a watch before it counts as failed.
#define PLATFORM_ANSWER_TIMEOUT_MS 1000
/// The same for a read of a whole list, which has megabytes.
#define PLATFORM_LIST_TIMEOUT_MS 5000
/// One read is in flight, the other may still be closing.
#define PLATFORM_CONNECTIONS_MAX 2
#define JSON_DEPTH_MAX 32
/// The parsed form of a long answer takes many times its size, which the
/// allocator would keep.
#define TRIM_MIN_BYTES ((size_t)1 << 20)

/// Reads the address and port of "http://ip:port", with or without a slash at
/// the end.
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

/// Reads one item. The texts belong to @p json.
static bool
read_item(struct json_object *json, const char *prefix, config_item_t *item)
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
    platform_response_t answer = {.revision = revision, .items = items};
    for (size_t i = 0; i < count; i++) {
        if (!read_item(json_object_array_get_idx(list, i), client->prefix,
                       &items[i])) {
            g_free(items);
            report_failure(client, "the answer has an invalid item");
            return;
        }
    }
    answer.item_count = count;
    client->done(client->context, &answer);
    g_free(items);
}

static void
report_body(platform_client_t *client, struct json_object *body)
{
    struct json_object *revision = NULL;
    struct json_object *list = NULL;
    if (!json_object_object_get_ex(body, "revision", &revision) ||
        !json_object_is_type(revision, json_type_int) ||
        json_object_get_int64(revision) < 0 ||
        !json_object_object_get_ex(body, "items", &list) ||
        !json_object_is_type(list, json_type_array))
    {
        report_failure(client, "the answer has no revision or no items");
        return;
    }
    report_items(client, json_object_get_uint64(revision), list);
}

static void
read_done(void *context, const http_response_t *answer)
{
    platform_client_t *client = context;
    client->exchange = NULL;
    if (answer->result != HTTP_COMPLETE) {
        report_failure(client, answer->error == NULL ? "no whole answer"
                                                     : answer->error);
        return;
    }
    if (answer->status != 200) {
        report_failure(client, "the status is not 200");
        return;
    }
    struct json_tokener *tokener = json_tokener_new_ex(JSON_DEPTH_MAX);
    struct json_object *body = json_tokener_parse_ex(
        tokener, answer->body.data, (int)answer->body.len);
    if (json_object_is_type(body, json_type_object)) {
        report_body(client, body);
    }
    else {
        report_failure(client, "the answer is not a JSON object");
    }
    json_object_put(body);
    json_tokener_free(tokener);
    if (answer->body.len > TRIM_MIN_BYTES) {
        malloc_trim(0);
    }
}

/// Initialises a client of the list with @p prefix at base URL @p url. Returns
/// false if the URL isn't of the form http://ip:port.
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
                                 PLATFORM_ANSWER_MAX_BYTES);
    return true;
}

/// Cancels a read in flight; its callback is not called.
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

/// Starts a read of the items that changed after revision @p since. The
/// platform answers when there are any, or after @p wait_ms. The previous read
/// must be over.
void
platform_client_read(platform_client_t *client, uint64_t since,
                     int64_t wait_ms)
{
    char *path = g_strdup_printf("/v1/items?prefix=%s&since=%" PRIu64
                                 "&wait_ms=%" PRId64,
                                 client->prefix, since, wait_ms);
    int64_t limit_ms =
        since == 0 ? PLATFORM_LIST_TIMEOUT_MS : PLATFORM_ANSWER_TIMEOUT_MS;
    metric_increment(METRIC_PLATFORM_READS_TOTAL);
    client->exchange = http_exchange_start(
        client->pool, SLICE_LITERAL("GET"), slice_from_string(path), NULL, 0,
        (slice_t){NULL, 0}, (wait_ms + limit_ms) * US_PER_MS, read_done,
        client);
    g_free(path);
}
