/// @file
/// Summary of a node's /status document, and a comparison of the contract
/// versions in force in different data centres. Fields that a document
/// lacks are shown as 0, "unknown" or "none".

#include "ibisfield/cli/status_summary.h"

#include <inttypes.h>
#include <string.h>

#define CONTRACT_PREFIX "contract/"

static struct json_object *
get_member(struct json_object *object, const char *name)
{
    struct json_object *value = NULL;
    json_object_object_get_ex(object, name, &value);
    return value;
}

static int64_t
get_int_member(struct json_object *object, const char *name)
{
    return json_object_get_int64(get_member(object, name));
}

/// Returns the text of a member with its control characters escaped; the
/// caller frees it.
static char *
get_escaped_member(struct json_object *object, const char *name)
{
    const char *text = json_object_get_string(get_member(object, name));
    return g_strescape(text == NULL ? "unknown" : text, "\"");
}

static const char *
strip_contract_prefix(const char *item_name)
{
    return g_str_has_prefix(item_name, CONTRACT_PREFIX)
               ? item_name + strlen(CONTRACT_PREFIX)
               : item_name;
}

static void
append_identity(struct json_object *status, GString *out)
{
    static const char *const names[] = {"vm", "service", "version", "state"};
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        char *text = get_escaped_member(status, names[i]);
        g_string_append_printf(out, "%s%s %s", i == 0 ? "  " : ", ", names[i],
                               text);
        g_free(text);
    }
    struct json_object *configuration = get_member(status, "configuration");
    g_string_append_printf(
        out, ", role %s, up %" PRId64 " s\n",
        json_object_get_boolean(get_member(configuration, "reader"))
            ? "reader"
            : "member",
        get_int_member(status, "uptime_s"));
}

static void
append_contracts(struct json_object *configuration, GString *out)
{
    struct json_object *contracts = get_member(configuration, "contracts");
    g_string_append(out, "  contracts in force:");
    const char *separator = " ";
    if (json_object_is_type(contracts, json_type_object)) {
        json_object_object_foreach(contracts, name, version)
        {
            char *text = g_strescape(strip_contract_prefix(name), NULL);
            g_string_append_printf(out, "%s%s version %s", separator, text,
                                   json_object_get_string(version));
            g_free(text);
            separator = ", ";
        }
    }
    g_string_append(out, separator[0] == ' ' ? " none\n" : "\n");
}

static void
append_refused_items(struct json_object *configuration, GString *out)
{
    struct json_object *refused = get_member(configuration, "refused");
    size_t count = json_object_is_type(refused, json_type_array)
                       ? json_object_array_length(refused)
                       : 0;
    if (count == 0) {
        g_string_append(out, "  refused items: none\n");
    }
    for (size_t i = 0; i < count; i++) {
        struct json_object *item = json_object_array_get_idx(refused, i);
        char *name = get_escaped_member(item, "name");
        char *problems = get_escaped_member(item, "problems");
        g_string_append_printf(out,
                               "  refused item: %s version %" PRId64
                               ", in force %" PRId64 ": %s\n",
                               name, get_int_member(item, "version"),
                               get_int_member(item, "in_force"), problems);
        g_free(problems);
        g_free(name);
    }
}

static void
append_peers(struct json_object *configuration, GString *out)
{
    struct json_object *live = get_member(configuration, "live_peers");
    size_t count = json_object_is_type(live, json_type_array)
                       ? json_object_array_length(live)
                       : 0;
    g_string_append_printf(out, "  live peers: %zu of %" PRId64 " contacted",
                           count, get_int_member(configuration, "peers"));
    for (size_t i = 0; i < count; i++) {
        char *text = g_strescape(
            json_object_get_string(json_object_array_get_idx(live, i)), NULL);
        g_string_append_printf(out, "%s%s", i == 0 ? ": " : ", ", text);
        g_free(text);
    }
    g_string_append_c(out, '\n');
}

/// Appends which requests the node's guard refuses at the moment, and why.
static void
append_shed(struct json_object *status, GString *out)
{
    const char *state = json_object_get_string(get_member(status, "state"));
    int64_t min_worth =
        get_int_member(get_member(status, "guard"), "min_worth");
    if (g_strcmp0(state, "draining") == 0) {
        g_string_append(out, "  shed: all new work, the node is leaving\n");
    }
    else if (g_strcmp0(state, "not-ready") == 0) {
        g_string_append(out, "  shed: all requests, no configuration yet\n");
    }
    else if (min_worth > 0) {
        g_string_append_printf(out,
                               "  shed: worth below %" PRId64
                               ", the guard has no room for it\n",
                               min_worth);
    }
    else {
        g_string_append(out, "  shed: nothing\n");
    }
}

/// Appends a summary of a /status document: the lines that operators look for
/// first.
void
status_summary_append(struct json_object *status, GString *out)
{
    struct json_object *configuration = get_member(status, "configuration");
    struct json_object *guard = get_member(status, "guard");
    append_identity(status, out);
    append_contracts(configuration, out);
    append_refused_items(configuration, out);
    append_peers(configuration, out);
    g_string_append_printf(out, "  VMs listed: %" PRId64 "\n",
                           get_int_member(status, "vms_listed"));
    g_string_append_printf(
        out,
        "  limit: %" PRId64 " at once; %" PRId64 " run, %" PRId64
        " wait, service time %" PRId64 " us\n",
        get_int_member(guard, "limit"), get_int_member(guard, "in_flight"),
        get_int_member(guard, "queue"), get_int_member(guard, "service_us"));
    append_shed(status, out);
}

static gint
compare_strings(gconstpointer a, gconstpointer b, gpointer user_data)
{
    (void)user_data;
    return strcmp(a, b);
}

static GTree *
string_tree_new(GDestroyNotify free_value)
{
    return g_tree_new_full(compare_strings, NULL, g_free, free_value);
}

static void
free_tree(void *tree)
{
    g_tree_unref(tree);
}

static GTree *
find_or_add_tree(GTree *parent, const char *key, GDestroyNotify free_value)
{
    GTree *child = g_tree_lookup(parent, key);
    if (child == NULL) {
        child = string_tree_new(free_value);
        g_tree_insert(parent, g_strdup(key), child);
    }
    return child;
}

/// Initialises a comparison without nodes.
void
contract_versions_init(contract_versions_t *versions)
{
    versions->contracts = string_tree_new(free_tree);
}

void
contract_versions_finish(contract_versions_t *versions)
{
    g_tree_unref(versions->contracts);
}

/// Adds the contracts that a node has in force.
void
contract_versions_add(contract_versions_t *versions,
                      struct json_object *status)
{
    struct json_object *contracts =
        get_member(get_member(status, "configuration"), "contracts");
    if (!json_object_is_type(contracts, json_type_object)) {
        return;
    }
    char *data_centre = get_escaped_member(status, "data_centre");
    json_object_object_foreach(contracts, name, version)
    {
        char *text = g_strescape(strip_contract_prefix(name), NULL);
        GTree *by_version =
            find_or_add_tree(versions->contracts, text, free_tree);
        GTree *data_centres = find_or_add_tree(
            by_version, json_object_get_string(version), NULL);
        // The tree is a set of names: its values are never read.
        g_tree_insert(data_centres, g_strdup(data_centre), data_centre);
        g_free(text);
    }
    g_free(data_centre);
}

static gboolean
append_data_centre(gpointer key, gpointer value, gpointer out)
{
    (void)value;
    g_string_append_printf(out, " %s", (const char *)key);
    return FALSE;
}

static gboolean
append_version(gpointer key, gpointer value, gpointer out)
{
    g_string_append_printf(out, " version %s in", (const char *)key);
    g_tree_foreach(value, append_data_centre, out);
    g_string_append_c(out, ';');
    return FALSE;
}

static gboolean
append_contract(gpointer key, gpointer value, gpointer out)
{
    GString *text = out;
    g_string_append_printf(text, "contract %s:", (const char *)key);
    g_tree_foreach(value, append_version, text);
    g_string_truncate(text, text->len - 1); // the last semicolon
    g_string_append(text,
                    g_tree_nnodes(value) > 1 ? " (versions differ)\n" : "\n");
    return FALSE;
}

/// Appends one line per contract: each version and the data centres whose
/// nodes have it in force.
void
contract_versions_append(const contract_versions_t *versions, GString *out)
{
    g_tree_foreach(versions->contracts, append_contract, out);
}
