/// @file
/// Settings of one node: parsing and validation.

#include "ibisfield/contract/settings.h"

#include <arpa/inet.h>
#include <string.h>

#include "ibisfield/call/call_defs.h"
#include "ibisfield/contract/json_reader.h"

#define NAME_EXPECTED                                                         \
    "a name of at most 255 lower-case letters, digits and '-'"
#define ENDPOINT_EXPECTED "an IPv4 address and a port, such as \"10.0.0.1:80\""
#define URL_EXPECTED "a URL such as \"http://10.0.0.1:80\", without a path"
#define HTTP_PREFIX "http://"

static void read_endpoint(json_reader_t *reader, const json_field_t *field,
                          const char *field_path, struct json_object *value,
                          void *out);
static void read_url(json_reader_t *reader, const json_field_t *field,
                     const char *field_path, struct json_object *value,
                     void *out);
static void read_seeds(json_reader_t *reader, const json_field_t *field,
                       const char *field_path, struct json_object *value,
                       void *out);
static void read_log_level(json_reader_t *reader, const json_field_t *field,
                           const char *field_path, struct json_object *value,
                           void *out);

static void read_optional_number(json_reader_t *reader,
                                 const json_field_t *field,
                                 const char *field_path,
                                 struct json_object *value, void *out);

#define NAME_FIELD(member)                                                    \
    {                                                                         \
        .name = #member, .read = json_read_name,                              \
        .offset = offsetof(settings_t, member),                               \
        .size = SETTINGS_NAME_MAX + 1, .required = true,                      \
        .expected = NAME_EXPECTED                                             \
    }
#define ENDPOINT_FIELD(member)                                                \
    {                                                                         \
        .name = #member, .read = read_endpoint,                               \
        .offset = offsetof(settings_t, member), .required = true,             \
        .expected = ENDPOINT_EXPECTED                                         \
    }
#define OPTIONAL_ENDPOINT_FIELD(member)                                       \
    {                                                                         \
        .name = #member, .read = read_endpoint,                               \
        .offset = offsetof(settings_t, member), .expected = ENDPOINT_EXPECTED \
    }
#define URL_FIELD(member)                                                     \
    {                                                                         \
        .name = #member, .read = read_url,                                    \
        .offset = offsetof(settings_t, member), .expected = URL_EXPECTED      \
    }
#define NUMBER_FIELD(member, low, high, text)                                 \
    {                                                                         \
        .name = #member, .read = json_read_number,                            \
        .offset = offsetof(settings_t, member), .min = (low), .max = (high),  \
        .expected = (text)                                                    \
    }
#define INT_FIELD(member, low, high, value)                                   \
    {                                                                         \
        .name = #member, .read = json_read_int,                               \
        .offset = offsetof(settings_t, member), .min = (low), .max = (high),  \
        .default_value = (value)                                              \
    }

/// Default for the number of requests that the upstream runs concurrently.
/// Used only until the store has a record of the upstream, which says how many
/// slots it has; without a store the field is required.
#define UPSTREAM_SLOTS_DEFAULT 16
/// Default for the connections to the upstream on the same VM. No more are in
/// use than the upstream has slots.
#define UPSTREAM_CONNECTIONS_DEFAULT 4096
/// One retry per five requests, both counted over 10 s.
#define RETRY_RATIO_DEFAULT 0.2
#define RETRY_WINDOW_DEFAULT_S 10.0
#define UPSTREAM_DRAIN_DEFAULT_S 2.0

static const json_field_t settings_fields[] = {
    NAME_FIELD(vm),
    NAME_FIELD(data_centre),
    NAME_FIELD(service),
    ENDPOINT_FIELD(caller_listen),
    OPTIONAL_ENDPOINT_FIELD(egress_listen),
    ENDPOINT_FIELD(peer_listen),
    OPTIONAL_ENDPOINT_FIELD(control_listen),
    ENDPOINT_FIELD(operator_listen),
    OPTIONAL_ENDPOINT_FIELD(readiness_listen),
    ENDPOINT_FIELD(upstream),
    INT_FIELD(upstream_slots, 1, 100000, UPSTREAM_SLOTS_DEFAULT),
    INT_FIELD(upstream_connections, 1, 100000, UPSTREAM_CONNECTIONS_DEFAULT),
    URL_FIELD(config_url),
    URL_FIELD(list_url),
    OPTIONAL_ENDPOINT_FIELD(store),
    {.name = "seeds",
     .read = read_seeds,
     .expected = "an array of at most 16 control addresses"},
    INT_FIELD(max_request_bytes, 1, 67108864, 1048576),
    INT_FIELD(max_answer_bytes, 1, 67108864, 4194304),
    {.name = "memory_limit_mb",
     .read = read_optional_number,
     .offset = offsetof(settings_t, memory_limit_mb),
     .min = 16,
     .max = 1048576,
     .expected = "megabytes from 16 to 1048576, or empty text"},
    INT_FIELD(max_calls, 1, 1000000, 4096),
    INT_FIELD(max_connections, 1, 1000000, 4096),
    INT_FIELD(remote_cost_us, 0, 10000000, 3000),
    INT_FIELD(key_linger_ms, 0, 600000, 5000),
    INT_FIELD(drain_limit_ms, 1, 3600000, 30000),
    NUMBER_FIELD(stop_limit_s, 1, 3600, "seconds from 1 to 3600"),
    {.name = "upstream_drain_s",
     .read = read_optional_number,
     .offset = offsetof(settings_t, upstream_drain_s),
     .min = 0,
     .max = 3600,
     .expected = "seconds from 0 to 3600, or empty text"},
    {.name = "access_key_revoke_s",
     .read = read_optional_number,
     .offset = offsetof(settings_t, access_key_revoke_s),
     .min = 0,
     .max = 3600,
     .expected = "seconds from 0 to 3600, or empty text"},
    {.name = "usage_window_s",
     .read = read_optional_number,
     .offset = offsetof(settings_t, usage_window_s),
     .min = 0,
     .max = 3600,
     .expected = "seconds from 0 to 3600, or empty text"},
    {.name = "usage_overage_ratio",
     .read = read_optional_number,
     .offset = offsetof(settings_t, usage_overage_ratio),
     .min = 0,
     .max = 1,
     .expected = "a ratio from 0 to 1, or empty text"},
    {.name = "usage_overage_requests",
     .read = read_optional_number,
     .offset = offsetof(settings_t, usage_overage_requests),
     .min = 0,
     .max = 1000000,
     .expected = "requests from 0 to 1000000, or empty text"},
    NUMBER_FIELD(retry_ratio, 0, 10, "a ratio from 0 to 10"),
    NUMBER_FIELD(retry_window_s, 1, 3600, "seconds from 1 to 3600"),
    INT_FIELD(answer_store_bytes, 0, 1073741824, 16777216),
    {.name = "log_level",
     .read = read_log_level,
     .expected = "\"debug\", \"info\" or \"warning\""},
};

/// Parses "address:port" with an IPv4 address and a port from 1 to 65535;
/// @p text may be NULL. Returns false and leaves @p endpoint unchanged if it
/// is invalid.
bool
endpoint_parse(endpoint_t *endpoint, const char *text)
{
    const char *colon = text == NULL ? NULL : strchr(text, ':');
    if (colon == NULL || (size_t)(colon - text) >= sizeof(endpoint->address)) {
        return false;
    }
    endpoint_t parsed = {0};
    memcpy(parsed.address, text, (size_t)(colon - text));
    struct in_addr address;
    size_t digits = strspn(colon + 1, "0123456789");
    if (inet_pton(AF_INET, parsed.address, &address) != 1 || digits == 0 ||
        digits > 5 || colon[1 + digits] != '\0')
    {
        return false;
    }
    guint64 port = g_ascii_strtoull(colon + 1, NULL, 10);
    if (port == 0 || port > UINT16_MAX) {
        return false;
    }
    parsed.port = (uint16_t)port;
    *endpoint = parsed;
    return true;
}

static void
read_endpoint(json_reader_t *reader, const json_field_t *field,
              const char *field_path, struct json_object *value, void *out)
{
    endpoint_t endpoint;
    if (!endpoint_parse(&endpoint, json_string(value))) {
        json_add_invalid_value(reader, field_path, value, field->expected);
        return;
    }
    memcpy((char *)out + field->offset, &endpoint, sizeof(endpoint));
}

static void
read_url(json_reader_t *reader, const json_field_t *field,
         const char *field_path, struct json_object *value, void *out)
{
    const char *text = json_string(value);
    endpoint_t endpoint;
    if (text == NULL || !g_str_has_prefix(text, HTTP_PREFIX) ||
        !endpoint_parse(&endpoint, text + strlen(HTTP_PREFIX)))
    {
        json_add_invalid_value(reader, field_path, value, field->expected);
        return;
    }
    g_strlcpy((char *)out + field->offset, text, SETTINGS_URL_MAX + 1);
}

static bool
endpoints_equal(const endpoint_t *a, const endpoint_t *b)
{
    return a->port == b->port && strcmp(a->address, b->address) == 0;
}

static bool
has_seed(const settings_t *settings, const endpoint_t *seed)
{
    for (uint32_t i = 0; i < settings->seed_count; i++) {
        if (endpoints_equal(&settings->seeds[i], seed)) {
            return true;
        }
    }
    return false;
}

static void
read_seeds(json_reader_t *reader, const json_field_t *field,
           const char *field_path, struct json_object *value, void *out)
{
    settings_t *settings = out;
    if (!json_object_is_type(value, json_type_array) ||
        json_object_array_length(value) > SETTINGS_SEEDS_MAX)
    {
        json_add_invalid_value(reader, field_path, value, field->expected);
        return;
    }
    for (size_t i = 0; i < json_object_array_length(value); i++) {
        struct json_object *item = json_object_array_get_idx(value, i);
        char *child = g_strdup_printf("%s[%zu]", field_path, i);
        endpoint_t seed;
        if (!endpoint_parse(&seed, json_string(item))) {
            json_add_invalid_value(reader, child, item, ENDPOINT_EXPECTED);
        }
        else if (has_seed(settings, &seed)) {
            json_add_invalid_value(reader, child, item, "each seed once");
        }
        else {
            settings->seeds[settings->seed_count++] = seed;
        }
        g_free(child);
    }
}

/// Reads a number, or a number as text. Empty text leaves the default: a
/// template that fills in a value which its platform may lack gives that.
static void
read_optional_number(json_reader_t *reader, const json_field_t *field,
                     const char *field_path, struct json_object *value,
                     void *out)
{
    const char *text = json_string(value);
    if (text == NULL) {
        json_read_number(reader, field, field_path, value, out);
        return;
    }
    char *end = NULL;
    double number = g_ascii_strtod(text, &end);
    if (*text == '\0') {
        return;
    }
    if (*end != '\0' || !(number >= field->min && number <= field->max)) {
        json_add_invalid_value(reader, field_path, value, field->expected);
        return;
    }
    memcpy((char *)out + field->offset, &number, sizeof(number));
}

static void
read_log_level(json_reader_t *reader, const json_field_t *field,
               const char *field_path, struct json_object *value, void *out)
{
    settings_t *settings = out;
    const char *text = json_string(value);
    if (g_strcmp0(text, "debug") != 0 && g_strcmp0(text, "info") != 0 &&
        g_strcmp0(text, "warning") != 0)
    {
        json_add_invalid_value(reader, field_path, value, field->expected);
        return;
    }
    g_strlcpy(settings->log_level, text, sizeof(settings->log_level));
}

/// Returns whether a socket that listens on one address prevents another from
/// listening on the other.
static bool
endpoints_conflict(const endpoint_t *a, const endpoint_t *b)
{
    return a->port != 0 && a->port == b->port &&
           (strcmp(a->address, b->address) == 0 ||
            strcmp(a->address, "0.0.0.0") == 0 ||
            strcmp(b->address, "0.0.0.0") == 0);
}

static void
check_endpoints(json_reader_t *reader, const settings_t *settings)
{
    const struct {
        const char *name;
        const endpoint_t *endpoint;
    } addresses[] = {
        {"caller_listen", &settings->caller_listen},
        {"egress_listen", &settings->egress_listen},
        {"peer_listen", &settings->peer_listen},
        {"control_listen", &settings->control_listen},
        {"operator_listen", &settings->operator_listen},
        {"readiness_listen", &settings->readiness_listen},
        {"upstream", &settings->upstream},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(addresses); i++) {
        for (size_t j = 0; j < i; j++) {
            if (endpoints_conflict(addresses[i].endpoint,
                                   addresses[j].endpoint)) {
                json_add_problem(
                    reader, addresses[i].name,
                    "found the address of %s, expected a different "
                    "address or port",
                    addresses[j].name);
            }
        }
    }
}

/// Fields that are required unless the node has a store.
static const char *const fields_required_without_store[] = {
    "egress_listen",  "control_listen",       "config_url",
    "upstream_slots", "upstream_connections", "list_url",
};

static void
check_fields_without_store(json_reader_t *reader)
{
    for (size_t i = 0; i < G_N_ELEMENTS(settings_fields); i++) {
        const json_field_t *field = &settings_fields[i];
        for (size_t j = 0; j < G_N_ELEMENTS(fields_required_without_store);
             j++) {
            if (strcmp(field->name, fields_required_without_store[j]) == 0 &&
                !json_object_object_get_ex(reader->root, field->name, NULL))
            {
                json_add_missing_field(reader, "", field);
            }
        }
    }
}

/// Reports names that don't fit into the items and messages of nodes without a
/// store.
static void
check_names_without_store(json_reader_t *reader, const settings_t *settings)
{
    const struct {
        const char *field;
        const char *name;
    } names[] = {
        {"vm", settings->vm},
        {"data_centre", settings->data_centre},
        {"service", settings->service},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        size_t len = strlen(names[i].name);
        if (len > VM_NAME_MAX) {
            json_add_problem(reader, names[i].field,
                             "found a name of %zu bytes, expected at most %d "
                             "on a node without a store",
                             len, VM_NAME_MAX);
        }
    }
}

/// Time between drain_limit_ms and the end of stop_limit_s, at which the
/// process would be killed. The last responses leave the node's sockets in it.
#define EXIT_MARGIN_MS 50
/// Longest time after SIGTERM in which callers are served if stop_limit_s is
/// set. A platform that checks readiness each second sends them elsewhere by
/// then, and a request that is taken later may not end before the process.
#define STOP_LINGER_MAX_MS 3000

/// Reduces the limits of the shutdown to fit into stop_limit_s.
static void
reduce_shutdown_limits(settings_t *settings)
{
    if (settings->stop_limit_s <= 0) {
        return;
    }
    int32_t limit_ms = (int32_t)(settings->stop_limit_s * 1000);
    limit_ms = MAX(limit_ms - EXIT_MARGIN_MS, 1);
    settings->drain_limit_ms = MIN(settings->drain_limit_ms, limit_ms);
    settings->key_linger_ms =
        MIN(settings->key_linger_ms, MIN(limit_ms / 2, STOP_LINGER_MAX_MS));
}

static void
check_settings(json_reader_t *reader, const settings_t *settings)
{
    if (settings->store.port == 0) {
        check_fields_without_store(reader);
        check_names_without_store(reader, settings);
    }
    check_endpoints(reader, settings);
    if (settings->upstream_connections > 0 &&
        settings->upstream_connections < settings->upstream_slots)
    {
        json_add_problem(reader, "upstream_connections",
                         "found %d, expected at least upstream_slots %d: a "
                         "connection carries one request at a time",
                         settings->upstream_connections,
                         settings->upstream_slots);
    }
    if (settings->drain_limit_ms > 0 &&
        settings->drain_limit_ms < settings->key_linger_ms)
    {
        json_add_problem(reader, "drain_limit_ms",
                         "found %d, expected at least key_linger_ms %d: the "
                         "shutdown would end before key_linger_ms has passed",
                         settings->drain_limit_ms, settings->key_linger_ms);
    }
    if (settings->control_listen.port != 0 &&
        has_seed(settings, &settings->control_listen))
    {
        json_add_problem(reader, "seeds",
                         "found the node's own control_listen, expected other "
                         "nodes");
    }
}

/// Parses and validates the settings of a node (JSON with comments). Appends
/// every problem found to @p problems (char *, one line each: file, line,
/// field, found, expected) and returns false if there is any.
bool
settings_parse(settings_t *settings, const char *file, slice_t text,
               GPtrArray *problems)
{
    *settings = (settings_t){
        .log_level = "info",
        .retry_ratio = RETRY_RATIO_DEFAULT,
        .retry_window_s = RETRY_WINDOW_DEFAULT_S,
        .upstream_drain_s = UPSTREAM_DRAIN_DEFAULT_S,
    };
    json_reader_t reader;
    if (!json_reader_open(&reader, file, text, problems)) {
        return false;
    }
    json_read_fields(&reader, "", reader.root, settings_fields,
                     G_N_ELEMENTS(settings_fields), settings);
    reduce_shutdown_limits(settings);
    check_settings(&reader, settings);
    bool valid = reader.problem_count == 0;
    json_reader_close(&reader);
    return valid;
}

/// Returns the fields of the settings, which a test compares with the
/// documentation.
const json_field_t *
settings_field_list(size_t *count)
{
    *count = G_N_ELEMENTS(settings_fields);
    return settings_fields;
}

/// Clears parsed settings; they own no memory.
void
settings_finish(settings_t *settings)
{
    *settings = (settings_t){0};
}

/// Least default for the bytes that a node holds for others. It has room for
/// one request of the largest size.
#define HELD_BYTES_MIN ((size_t)64 << 20)
#define HELD_REQUESTS_MIN 1.25
/// Part of memory_limit_mb that may be held for others. The rest is the node's
/// own, and what the allocator and the kernel add.
#define HELD_DIVISOR 2
#define BYTES_PER_MB 1048576

/// Returns how many bytes the node may hold for callers, upstreams and other
/// nodes.
size_t
settings_held_bytes_max(const settings_t *settings)
{
    if (settings->memory_limit_mb > 0) {
        return (size_t)(settings->memory_limit_mb * BYTES_PER_MB) /
               HELD_DIVISOR;
    }
    return MAX(HELD_BYTES_MIN,
               (size_t)(HELD_REQUESTS_MIN * settings->max_request_bytes));
}
