/// @file
/// The "status" command: shows the state of running nodes, grouped by data
/// centre.

#include <json-c/json.h>
#include <stdio.h>
#include <string.h>

#include "ibisfield/base/error.h"
#include "ibisfield/cli/commands.h"
#include "ibisfield/cli/http_fetch.h"
#include "ibisfield/cli/input.h"
#include "ibisfield/cli/status_summary.h"
#include "ibisfield/cli/status_text.h"
#include "ibisfield/contract/settings.h"

/// Value of operator_listen in the example settings.
#define DEFAULT_ADDRESS "127.0.0.1:8084"
/// Limits the open sockets, because all nodes are queried in parallel.
#define ADDRESSES_MAX 256

typedef struct {
    const char *address;
    http_fetch_t *fetch;
    struct json_object *status; ///< NULL if it could not be read
    const char *data_centre;    ///< from the status, "" if unknown
} queried_node_t;

typedef struct {
    bool json;
    bool full;
    GArray *nodes; ///< queried_node_t
} status_arguments_t;

static error_t
parse_status_option(int key, char *argument, struct argp_state *state)
{
    status_arguments_t *arguments = state->input;
    endpoint_t endpoint;
    switch (key) {
    case 'j':
        arguments->json = true;
        return 0;
    case 'f':
        arguments->full = true;
        return 0;
    case ARGP_KEY_ARG:
        if (!endpoint_parse(&endpoint, argument)) {
            argp_error(state,
                       "found '%s', expected an address such as "
                       "'" DEFAULT_ADDRESS "'",
                       argument);
        }
        if (arguments->nodes->len == ADDRESSES_MAX) {
            argp_error(state, "found more than %d addresses", ADDRESSES_MAX);
        }
        g_array_append_val(arguments->nodes,
                           (queried_node_t){.address = argument});
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static const char *
string_member(struct json_object *object, const char *name)
{
    struct json_object *value = NULL;
    return json_object_object_get_ex(object, name, &value) &&
                   json_object_is_type(value, json_type_string)
               ? json_object_get_string(value)
               : "";
}

/// Parses the body of a /status response. Sets @p error if it isn't a JSON
/// object.
static struct json_object *
parse_status_document(const char *address, const char *body, GError **error)
{
    struct json_object *status = json_tokener_parse(body);
    if (!json_object_is_type(status, json_type_object)) {
        set_step_error(error, IBISFIELD_ERROR_PROTOCOL, "status", address,
                       "found a body that is not a JSON object");
        json_object_put(status);
        return NULL;
    }
    return status;
}

static void
read_node(queried_node_t *node)
{
    GError *error = NULL;
    char *body = http_fetch_wait(node->fetch, &error);
    node->status = body == NULL
                       ? NULL
                       : parse_status_document(node->address, body, &error);
    g_free(body);
    node->data_centre = "";
    if (node->status == NULL) {
        fprintf(stderr, "ibisfield status: %s\n", error->message);
        g_error_free(error);
        return;
    }
    node->data_centre = string_member(node->status, "data_centre");
}

static int
compare_nodes(const void *a, const void *b)
{
    const queried_node_t *first = a;
    const queried_node_t *second = b;
    int order = strcmp(first->data_centre, second->data_centre);
    return order != 0 ? order : strcmp(first->address, second->address);
}

static void
print_json(const GArray *nodes)
{
    struct json_object *list = json_object_new_array();
    for (guint i = 0; i < nodes->len; i++) {
        const queried_node_t *node = &g_array_index(nodes, queried_node_t, i);
        struct json_object *item = json_object_new_object();
        json_object_object_add(item, "address",
                               json_object_new_string(node->address));
        json_object_object_add(item, "status", json_object_get(node->status));
        json_object_array_add(list, item);
    }
    struct json_object *document = json_object_new_object();
    json_object_object_add(document, "nodes", list);
    puts(json_object_to_json_string_ext(document, JSON_C_TO_STRING_PRETTY));
    json_object_put(document);
}

static void
print_text(const GArray *nodes, bool full)
{
    GString *text = g_string_new(NULL);
    contract_versions_t versions;
    contract_versions_init(&versions);
    const char *data_centre = "";
    for (guint i = 0; i < nodes->len; i++) {
        const queried_node_t *node = &g_array_index(nodes, queried_node_t, i);
        if (node->status == NULL) {
            g_string_append_printf(text, "node %s: no status\n",
                                   node->address);
            continue;
        }
        if (strcmp(data_centre, node->data_centre) != 0) {
            char *name = g_strescape(node->data_centre, NULL);
            g_string_append_printf(text, "data centre %s\n", name);
            g_free(name);
            data_centre = node->data_centre;
        }
        g_string_append_printf(text, "node %s\n", node->address);
        if (full) {
            status_text_append(node->status, 2, text);
        }
        else {
            status_summary_append(node->status, text);
        }
        contract_versions_add(&versions, node->status);
    }
    if (nodes->len > 1) {
        contract_versions_append(&versions, text);
    }
    contract_versions_finish(&versions);
    fputs(text->str, stdout);
    g_string_free(text, TRUE);
}

/// Queries all nodes in parallel and sorts them by data centre and address.
/// Returns the number of nodes whose status could not be read.
static guint
read_nodes(GArray *nodes)
{
    guint failures = 0;
    for (guint i = 0; i < nodes->len; i++) {
        queried_node_t *node = &g_array_index(nodes, queried_node_t, i);
        char *url = g_strdup_printf("http://%s/status", node->address);
        node->fetch = http_fetch_start(url);
        g_free(url);
    }
    for (guint i = 0; i < nodes->len; i++) {
        queried_node_t *node = &g_array_index(nodes, queried_node_t, i);
        read_node(node);
        failures += node->status == NULL ? 1 : 0;
    }
    g_array_sort(nodes, compare_nodes);
    return failures;
}

/// Prints the state of the nodes at the operator addresses given.
int
command_status(int argc, char **argv)
{
    static const struct argp_option options[] = {
        {"full", 'f', NULL, 0, "Print every field of the status documents", 0},
        {"json", 'j', NULL, 0, "Print one JSON object", 0},
        {0},
    };
    static const struct argp argp = {
        .options = options,
        .parser = parse_status_option,
        .args_doc = "[ADDRESS...]",
        .doc = "Show the state of running nodes: versions in force, refused "
               "items, live peers, limits, what is shed and why, role.\v"
               "ADDRESS is the operator_listen address of a node, by default "
               "127.0.0.1:8084. Several nodes are grouped by data centre, and "
               "the versions of their contracts are compared. Exit code 0: "
               "the status of every node was read, 1: that of at least one "
               "was not, 2: bad usage.",
    };
    status_arguments_t arguments = {
        .nodes = g_array_new(FALSE, TRUE, sizeof(queried_node_t))};
    parse_arguments(&argp, argc, argv, &arguments);
    if (arguments.nodes->len == 0) {
        g_array_append_val(arguments.nodes,
                           (queried_node_t){.address = DEFAULT_ADDRESS});
    }
    guint failures = read_nodes(arguments.nodes);
    if (arguments.json) {
        print_json(arguments.nodes);
    }
    else {
        print_text(arguments.nodes, arguments.full);
    }
    for (guint i = 0; i < arguments.nodes->len; i++) {
        json_object_put(
            g_array_index(arguments.nodes, queried_node_t, i).status);
    }
    g_array_free(arguments.nodes, TRUE);
    return failures == 0 ? EXIT_CODE_OK : EXIT_CODE_FAILED;
}
