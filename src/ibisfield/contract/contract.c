/// @file
/// Contracts of customers: parsing, validation, matching of requests, and the
/// limits derived from them.

#include "ibisfield/contract/contract.h"

#include <string.h>

#include "ibisfield/contract/json_reader.h"
#include "ibisfield/workspace/workspaces.h"

/// Shortest deadline that leaves time for two network hops and the processing
/// of the request.
#define DEADLINE_MIN_MS 10
#define DEADLINE_MAX_MS 600000
#define RESEND_MAX_S 86400

#define NAME_EXPECTED "a name of at most 63 lower-case letters, digits and '-'"

static void read_name(json_reader_t *reader, const json_field_t *field,
                      const char *field_path, struct json_object *value,
                      void *out);
static void read_method(json_reader_t *reader, const json_field_t *field,
                        const char *field_path, struct json_object *value,
                        void *out);
static void read_path(json_reader_t *reader, const json_field_t *field,
                      const char *field_path, struct json_object *value,
                      void *out);
static void read_run(json_reader_t *reader, const json_field_t *field,
                     const char *field_path, struct json_object *value,
                     void *out);
static void read_hosts(json_reader_t *reader, const json_field_t *field,
                       const char *field_path, struct json_object *value,
                       void *out);
static void read_kinds(json_reader_t *reader, const json_field_t *field,
                       const char *field_path, struct json_object *value,
                       void *out);
static void read_anonymous(json_reader_t *reader, const json_field_t *field,
                           const char *field_path, struct json_object *value,
                           void *out);
static void read_keys(json_reader_t *reader, const json_field_t *field,
                      const char *field_path, struct json_object *value,
                      void *out);
static void read_workspaces(json_reader_t *reader, const json_field_t *field,
                            const char *field_path, struct json_object *value,
                            void *out);

#define NAME_FIELD(type, member)                                              \
    {                                                                         \
        .name = #member, .read = read_name, .offset = offsetof(type, member), \
        .required = true, .expected = NAME_EXPECTED                           \
    }
#define INT_FIELD(type, member, low, high, is_required)                       \
    {                                                                         \
        .name = #member, .read = json_read_int,                               \
        .offset = offsetof(type, member), .required = (is_required),          \
        .min = (low), .max = (high)                                           \
    }

static const json_field_t kind_fields[] = {
    NAME_FIELD(kind_t, name),
    NAME_FIELD(kind_t, service),
    {.name = "method",
     .read = read_method,
     .required = true,
     .expected = "an HTTP method of at most 15 upper-case letters"},
    {.name = "path",
     .read = read_path,
     .required = true,
     .expected = "a path of at most 255 visible ASCII characters that starts "
                 "with '/', without '?' and '#', with '*' only at its end"},
    INT_FIELD(kind_t, worth, 1, CONTRACT_WORTH_MAX, true),
    INT_FIELD(kind_t, deadline_ms, DEADLINE_MIN_MS, DEADLINE_MAX_MS, true),
    {.name = "run",
     .read = read_run,
     .required = true,
     .expected = "\"repeatable\" or \"once\""},
    INT_FIELD(kind_t, resend_s, 1, RESEND_MAX_S, false),
    {.name = "anonymous", .read = read_anonymous, .expected = "true or false"},
};

static const json_field_t workspace_fields[] = {
    NAME_FIELD(workspace_t, name),
    {.name = "access_keys",
     .read = read_keys,
     .required = true,
     .expected = "an array of keys"},
    INT_FIELD(workspace_t, rank, 0, WORKSPACE_RANK_MAX, false),
    {.name = "rate_per_s",
     .read = json_read_number,
     .offset = offsetof(workspace_t, rate_per_s),
     .max = WORKSPACE_RATE_MAX,
     .expected = "requests per second, 0 for no cap"},
    {.name = "burst",
     .read = json_read_number,
     .offset = offsetof(workspace_t, burst),
     .max = WORKSPACE_RATE_MAX,
     .expected = "a number of requests"},
};

static const json_field_t contract_fields[] = {
    NAME_FIELD(contract_t, customer),
    {.name = "hosts",
     .read = read_hosts,
     .expected = "an array of at most 16 host names of at most 253 lower-case "
                 "letters, digits, '-' and '.'"},
    INT_FIELD(contract_t, retries, 0, CONTRACT_RETRIES_MAX, true),
    INT_FIELD(contract_t, client_retry_percent, 0, 100, true),
    {.name = "kinds",
     .read = read_kinds,
     .required = true,
     .expected = "an array of 1 to 256 kinds"},
    {.name = "workspaces",
     .read = read_workspaces,
     .expected = "an array of at most 1024 workspaces"},
};

/// Reads a name into the member (char *) that the field describes.
static void
read_name(json_reader_t *reader, const json_field_t *field,
          const char *field_path, struct json_object *value, void *out)
{
    char name[CONTRACT_NAME_MAX + 1] = "";
    const json_field_t buffer = {.size = sizeof(name),
                                 .expected = field->expected};
    json_read_name(reader, &buffer, field_path, value, name);
    if (name[0] != '\0') {
        *(char **)(void *)((char *)out + field->offset) = g_strdup(name);
    }
}

static void
read_method(json_reader_t *reader, const json_field_t *field,
            const char *field_path, struct json_object *value, void *out)
{
    kind_t *kind = out;
    const char *text = json_string(value);
    size_t len = text == NULL ? 0 : strspn(text, "ABCDEFGHIJKLMNOPQRSTUVWXYZ");
    if (len == 0 || text[len] != '\0' || len >= sizeof(kind->method)) {
        json_add_invalid_value(reader, field_path, value, field->expected);
        return;
    }
    memcpy(kind->method, text, len + 1);
}

static bool
path_is_valid(const char *text)
{
    size_t len = strlen(text);
    if (text[0] != '/' || len > CONTRACT_PATH_MAX) {
        return false;
    }
    for (size_t i = 0; i < len; i++) {
        if (!g_ascii_isgraph(text[i]) || text[i] == '?' || text[i] == '#' ||
            (text[i] == '*' && i + 1 < len))
        {
            return false;
        }
    }
    return true;
}

static void
read_path(json_reader_t *reader, const json_field_t *field,
          const char *field_path, struct json_object *value, void *out)
{
    kind_t *kind = out;
    const char *text = json_string(value);
    if (text == NULL || !path_is_valid(text)) {
        json_add_invalid_value(reader, field_path, value, field->expected);
        return;
    }
    kind->path = g_strdup(text);
}

static void
read_run(json_reader_t *reader, const json_field_t *field,
         const char *field_path, struct json_object *value, void *out)
{
    kind_t *kind = out;
    const char *text = json_string(value);
    if (g_strcmp0(text, "once") == 0) {
        kind->run = RUN_ONCE;
    }
    else if (g_strcmp0(text, "repeatable") == 0) {
        kind->run = RUN_IDEMPOTENT;
    }
    else {
        json_add_invalid_value(reader, field_path, value, field->expected);
    }
}

static bool
host_is_valid(const char *text)
{
    size_t len = strspn(text, "abcdefghijklmnopqrstuvwxyz0123456789-.");
    return len > 0 && text[len] == '\0' && len <= CONTRACT_HOST_MAX &&
           text[0] != '.' && text[0] != '-';
}

static void
read_hosts(json_reader_t *reader, const json_field_t *field,
           const char *field_path, struct json_object *value, void *out)
{
    contract_t *contract = out;
    if (!json_object_is_type(value, json_type_array) ||
        json_object_array_length(value) > CONTRACT_HOSTS_MAX)
    {
        json_add_invalid_value(reader, field_path, value, field->expected);
        return;
    }
    contract->hosts = g_new0(char *, json_object_array_length(value) + 1);
    for (size_t i = 0; i < json_object_array_length(value); i++) {
        struct json_object *host = json_object_array_get_idx(value, i);
        const char *text = json_string(host);
        char *child = g_strdup_printf("%s[%zu]", field_path, i);
        if (text == NULL || !host_is_valid(text)) {
            json_add_invalid_value(
                reader, child, host,
                "a host name of at most 253 lower-case letters, "
                "digits, '-' and '.'");
        }
        else if (contract_has_host(contract, slice_from_string(text))) {
            json_add_invalid_value(reader, child, host, "each host once");
        }
        else {
            contract->hosts[contract->host_count++] = g_strdup(text);
        }
        g_free(child);
    }
}

static void
check_run_mode(json_reader_t *reader, const char *field_path,
               struct json_object *value, const kind_t *kind)
{
    bool has_run = json_object_object_get_ex(value, "run", NULL);
    bool has_resend = json_object_object_get_ex(value, "resend_s", NULL);
    if (!has_run) {
        return;
    }
    if (kind->run == RUN_ONCE && !has_resend) {
        json_add_problem(
            reader, field_path,
            "run is \"once\" without resend_s, expected resend_s: "
            "without it no request key can be issued");
    }
    if (kind->run == RUN_IDEMPOTENT && has_resend) {
        json_add_problem(
            reader, field_path,
            "resend_s with run \"repeatable\", expected it only with "
            "run \"once\": repeatable kinds have no request key");
    }
    if (kind->run == RUN_ONCE && kind->resend_s > 0 &&
        (int64_t)kind->resend_s * 1000 < kind->deadline_ms)
    {
        json_add_problem(
            reader, field_path,
            "resend_s %d is shorter than deadline_ms %d, expected "
            "the key to stay valid at least until the deadline",
            kind->resend_s, kind->deadline_ms);
    }
    if (kind->run == RUN_ONCE && (strcmp(kind->method, "GET") == 0 ||
                                  strcmp(kind->method, "HEAD") == 0))
    {
        json_add_problem(
            reader, field_path,
            "run \"once\" with method %s, expected another method: "
            "HTTP clients and proxies may retry it on their own",
            kind->method);
    }
}

/// Returns whether @p earlier matches every path that @p later matches.
/// Either is NULL if it was invalid, and then covers and is covered by none.
static bool
path_covers(const char *earlier, const char *later)
{
    if (earlier == NULL || later == NULL) {
        return false;
    }
    size_t len = strlen(earlier);
    if (earlier[len - 1] == '*') {
        return strncmp(earlier, later, len - 1) == 0;
    }
    return strcmp(earlier, later) == 0;
}

/// Reports a kind whose name is taken, or that an earlier kind shadows.
static void
check_duplicates(json_reader_t *reader, const char *field_path,
                 const contract_t *contract, const kind_t *kind)
{
    for (const kind_t *earlier = contract->kinds; earlier < kind; earlier++) {
        if (kind->name != NULL && g_strcmp0(earlier->name, kind->name) == 0) {
            json_add_problem(reader, field_path,
                             "found a second kind named \"%s\", expected "
                             "unique names",
                             kind->name);
        }
        if (kind->method[0] != '\0' &&
            strcmp(earlier->method, kind->method) == 0 &&
            path_covers(earlier->path, kind->path))
        {
            json_add_problem(
                reader, field_path,
                "%s %s is already matched by %s of kind \"%s\", "
                "which comes before it, expected the more specific "
                "path first",
                kind->method, kind->path, earlier->path,
                earlier->name == NULL ? "" : earlier->name);
            return;
        }
    }
}

static void
read_kinds(json_reader_t *reader, const json_field_t *field,
           const char *field_path, struct json_object *value, void *out)
{
    contract_t *contract = out;
    size_t count = json_object_is_type(value, json_type_array)
                       ? json_object_array_length(value)
                       : 0;
    if (count == 0 || count > CONTRACT_KINDS_MAX) {
        json_add_invalid_value(reader, field_path, value, field->expected);
        return;
    }
    contract->kinds = g_new0(kind_t, count);
    contract->kind_count = (uint32_t)count;
    for (size_t i = 0; i < count; i++) {
        struct json_object *item = json_object_array_get_idx(value, i);
        kind_t *kind = &contract->kinds[i];
        char *child = g_strdup_printf("%s[%zu]", field_path, i);
        json_read_fields(reader, child, item, kind_fields,
                         G_N_ELEMENTS(kind_fields), kind);
        if (json_object_is_type(item, json_type_object)) {
            check_run_mode(reader, child, item, kind);
            check_duplicates(reader, child, contract, kind);
        }
        g_free(child);
    }
}

static void
read_anonymous(json_reader_t *reader, const json_field_t *field,
               const char *field_path, struct json_object *value, void *out)
{
    if (!json_object_is_type(value, json_type_boolean)) {
        json_add_invalid_value(reader, field_path, value, field->expected);
        return;
    }
    ((kind_t *)out)->anonymous = json_object_get_boolean(value);
}

/// Reads access keys. Messages name the place of an invalid key and not the
/// key, since they reach logs and terminals.
static void
read_keys(json_reader_t *reader, const json_field_t *field,
          const char *field_path, struct json_object *value, void *out)
{
    workspace_t *workspace = out;
    if (!json_object_is_type(value, json_type_array)) {
        json_add_problem(reader, field_path, "expected %s", field->expected);
        return;
    }
    for (size_t i = 0; i < json_object_array_length(value); i++) {
        const char *key = json_string(json_object_array_get_idx(value, i));
        if (key == NULL ||
            !workspace_add_key(workspace, slice_from_string(key))) {
            json_add_problem(reader, field_path,
                             "key %zu is invalid, expected a text of 1 to %d "
                             "visible ASCII characters",
                             i, ACCESS_KEY_MAX);
        }
    }
}

static void
check_workspace_names(json_reader_t *reader, const char *field_path,
                      const contract_t *contract)
{
    for (uint32_t i = 0; i < contract->workspace_count; i++) {
        for (uint32_t j = 0; j < i; j++) {
            const char *name = contract->workspaces[i].name;
            if (name != NULL &&
                g_strcmp0(contract->workspaces[j].name, name) == 0) {
                json_add_problem(reader, field_path,
                                 "found a second workspace named \"%s\", "
                                 "expected unique names",
                                 name);
            }
        }
    }
}

static void
read_workspaces(json_reader_t *reader, const json_field_t *field,
                const char *field_path, struct json_object *value, void *out)
{
    contract_t *contract = out;
    size_t count = json_object_is_type(value, json_type_array)
                       ? json_object_array_length(value)
                       : CONTRACT_WORKSPACES_MAX + 1;
    if (count > CONTRACT_WORKSPACES_MAX) {
        json_add_problem(reader, field_path, "expected %s", field->expected);
        return;
    }
    contract->workspaces = g_new0(workspace_t, count + 1);
    contract->workspace_count = (uint32_t)count;
    for (size_t i = 0; i < count; i++) {
        char *child = g_strdup_printf("%s[%zu]", field_path, i);
        json_read_fields(reader, child, json_object_array_get_idx(value, i),
                         workspace_fields, G_N_ELEMENTS(workspace_fields),
                         &contract->workspaces[i]);
        g_free(child);
    }
    check_workspace_names(reader, field_path, contract);
    const char *shared = workspace_list_find_shared_key(
        contract->workspaces, contract->workspace_count);
    if (shared != NULL) {
        json_add_problem(reader, field_path,
                         "\"%s\" has an access key of another workspace, "
                         "expected each key in one workspace",
                         shared);
    }
}

/// Parses and validates one contract (JSON with comments). @p file names the
/// source in messages. Appends every problem found to @p problems (char *, one
/// line each: file, line, field, found, expected). Returns false if there is
/// any; then @p contract needs no contract_finish().
bool
contract_parse(contract_t *contract, const char *file, slice_t text,
               GPtrArray *problems)
{
    *contract = (contract_t){0};
    json_reader_t reader;
    if (!json_reader_open(&reader, file, text, problems)) {
        return false;
    }
    json_read_fields(&reader, "", reader.root, contract_fields,
                     G_N_ELEMENTS(contract_fields), contract);
    bool valid = reader.problem_count == 0;
    json_reader_close(&reader);
    if (!valid) {
        contract_finish(contract);
    }
    return valid;
}

/// Releases the memory of a kind.
void
kind_finish(kind_t *kind)
{
    for (uint32_t i = 0; i < kind->split_target_count; i++) {
        g_free(kind->split_targets[i].service);
    }
    g_free(kind->split_targets);
    g_free(kind->name);
    g_free(kind->service);
    g_free(kind->path);
    *kind = (kind_t){0};
}

/// Releases the memory of a parsed contract.
void
contract_finish(contract_t *contract)
{
    g_free(contract->customer);
    for (uint32_t i = 0; i < contract->host_count; i++) {
        g_free(contract->hosts[i]);
    }
    g_free(contract->hosts);
    for (uint32_t i = 0; i < contract->kind_count; i++) {
        kind_finish(&contract->kinds[i]);
    }
    g_free(contract->kinds);
    for (uint32_t i = 0; i < contract->workspace_count; i++) {
        workspace_finish(&contract->workspaces[i]);
    }
    g_free(contract->workspaces);
    *contract = (contract_t){0};
}

static bool
kind_matches(const kind_t *kind, slice_t method, slice_t path)
{
    if (kind->path == NULL ||
        (kind->method[0] != '\0' && !slice_equal_string(method, kind->method)))
    {
        return false;
    }
    slice_t pattern = slice_from_string(kind->path);
    if (pattern.len > 0 && pattern.data[pattern.len - 1] == '*') {
        pattern.len--;
        return slice_starts_with(path, pattern);
    }
    return slice_equal(path, pattern);
}

/// Returns the first kind that matches the method and the path of a request,
/// or NULL. A query in @p path is ignored.
const kind_t *
contract_match(const contract_t *contract, slice_t method, slice_t path)
{
    const char *query =
        path.len == 0 ? NULL : memchr(path.data, '?', path.len);
    if (query != NULL) {
        path.len = (size_t)(query - path.data);
    }
    for (uint32_t i = 0; i < contract->kind_count; i++) {
        if (kind_matches(&contract->kinds[i], method, path)) {
            return &contract->kinds[i];
        }
    }
    return NULL;
}

/// Returns whether the contract lists @p host, the value of a Host header. The
/// port and the case of letters are ignored.
bool
contract_has_host(const contract_t *contract, slice_t host)
{
    const char *port = host.len == 0 ? NULL : memchr(host.data, ':', host.len);
    if (port != NULL) {
        host.len = (size_t)(port - host.data);
    }
    for (uint32_t i = 0; i < contract->host_count; i++) {
        slice_t listed = slice_from_string(contract->hosts[i]);
        if (listed.len == host.len &&
            g_ascii_strncasecmp(listed.data, host.data, host.len) == 0)
        {
            return true;
        }
    }
    return false;
}

/// Returns the fields of a contract, which a test compares with the
/// documentation.
const json_field_t *
contract_field_list(size_t *count)
{
    *count = G_N_ELEMENTS(contract_fields);
    return contract_fields;
}

/// Returns the fields of a kind, which a test compares with the documentation.
const json_field_t *
kind_field_list(size_t *count)
{
    *count = G_N_ELEMENTS(kind_fields);
    return kind_fields;
}

/// Returns the fields of a workspace, which a test compares with the
/// documentation.
const json_field_t *
workspace_field_list(size_t *count)
{
    *count = G_N_ELEMENTS(workspace_fields);
    return workspace_fields;
}

/// Returns the limits derived for a kind; explain_contract() prints the
/// reasons.
kind_limits_t
kind_limits(const contract_t *contract, const kind_t *kind)
{
    bool idempotent = kind->run == RUN_IDEMPOTENT;
    int32_t attempts =
        kind->attempts_max > 0 ? kind->attempts_max : 1 + contract->retries;
    return (kind_limits_t){
        .attempts_max = attempts,
        .queue_wait_ms = kind->deadline_ms,
        .key_ttl_ms = idempotent ? 0 : kind->resend_s * 1000,
        .hedge = idempotent && attempts > 1,
    };
}
