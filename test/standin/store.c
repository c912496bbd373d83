/// @file
/// Stand-in of the users' metadata store, which can only be read. Usage:
///
///     standin_store --listen 127.0.0.1:PORT
///
/// It serves until SIGTERM and prints "listening" once it accepts connections.
///
/// What it speaks, as the users' pages say:
///
///     GET /kv-key?key=K
///     GET /kv-range?prefix=P&after=K        pages of PAGE_ITEMS items
///     GET /kv-watch?prefix=P&after=R&wait_ms=W
///
/// Interface for tests; keys hold slashes as they are:
///
///     PUT /test/items/KEY      body: the value
///     DELETE /test/items/KEY
///     POST /test/mode/up       answers (initial)
///     POST /test/mode/busy     status 503
///     POST /test/mode/many     status 429
///     POST /test/mode/garbled  status 200 with half an answer
///     POST /test/mode/hang     never answers
///     POST /test/mode/deaf     watches that begin now hear of no change
///     POST /test/cut           ends all waiting watches with 503
///     POST /test/compact       forgets the history up to now, ends watches
///     GET /test/stats          {"reads", "waiting", "revision"}

#include <argp.h>
#include <inttypes.h>
#include <json-c/json.h>
#include <stdio.h>

#include "common/arguments.h"
#include "ibisfield/io/http_server.h"
#include "ibisfield/io/message.h"

#define CONNECTIONS_MAX 4096
#define REQUEST_BYTES_MAX ((size_t)4 << 20)
#define PAGE_ITEMS 5
#define ITEMS_PATH "/test/items/"

typedef enum {
    MODE_UP,
    MODE_BUSY,
    MODE_MANY,
    MODE_GARBLED,
    MODE_HANG,
    MODE_DEAF
} service_mode_t;

/// One write or removal.
typedef struct {
    char *key;
    uint64_t revision;
    char *value; ///< base64; NULL: removed
} change_t;

/// A watch that waits for a change.
typedef struct {
    http_request_t *request;
    char *prefix;
    uint64_t after;
    loop_timer_t timer;
    bool deaf;
} watch_t;

static struct {
    endpoint_t listen;
    clock_source_t clock;
    loop_t loop;
    http_server_t *server;
    GPtrArray *changes; ///< change_t, by revision
    GHashTable *items;  ///< key to its newest change_t
    GList *watches;
    uint64_t revision;
    uint64_t forgotten; ///< history up to it is gone
    uint64_t reads;
    service_mode_t mode;
} store = {.revision = 1};

static void
answer_json(http_request_t *request, int status, struct json_object *object)
{
    const http_header_t type = {SLICE_LITERAL("content-type"),
                                SLICE_LITERAL("application/json")};
    const char *text =
        json_object_to_json_string_ext(object, JSON_C_TO_STRING_PLAIN);
    slice_t body = slice_from_string(text);
    if (status == 200 && store.mode == MODE_GARBLED) {
        body.len /= 2;
    }
    http_request_respond(request, status, &type, 1, body);
    json_object_put(object);
}

static void
answer_status(http_request_t *request, int status)
{
    answer_json(request, status, json_object_new_object());
}

/// Returns a parameter of the query, decoded; NULL if it isn't there.
static char *
parameter(const http_request_t *request, const char *name)
{
    char *path = g_strndup(request->path.data, request->path.len);
    char *query = strchr(path, '?');
    char *value = NULL;
    char **pairs = g_strsplit(query == NULL ? "" : query + 1, "&", -1);
    for (int i = 0; pairs[i] != NULL && value == NULL; i++) {
        size_t len = strlen(name);
        if (strncmp(pairs[i], name, len) == 0 && pairs[i][len] == '=') {
            value = g_uri_unescape_string(pairs[i] + len + 1, NULL);
        }
    }
    g_strfreev(pairs);
    g_free(path);
    return value;
}

static uint64_t
number_parameter(const http_request_t *request, const char *name)
{
    char *text = parameter(request, name);
    uint64_t number = text == NULL ? 0 : g_ascii_strtoull(text, NULL, 10);
    g_free(text);
    return number;
}

static struct json_object *
json_of(const change_t *change)
{
    struct json_object *item = json_object_new_object();
    json_object_object_add(item, "key", json_object_new_string(change->key));
    json_object_object_add(item, "revision",
                           json_object_new_int64((int64_t)change->revision));
    if (change->value == NULL) {
        json_object_object_add(item, "tombstone",
                               json_object_new_boolean(true));
    }
    else {
        json_object_object_add(item, "value",
                               json_object_new_string(change->value));
        json_object_object_add(item, "lease", json_object_new_int64(0));
    }
    return item;
}

static void
add_revision(struct json_object *answer)
{
    json_object_object_add(answer, "at_rev",
                           json_object_new_int64((int64_t)store.revision));
}

static gint
by_key(gconstpointer a, gconstpointer b)
{
    return strcmp((*(const change_t *const *)a)->key,
                  (*(const change_t *const *)b)->key);
}

static void
answer_range(http_request_t *request)
{
    char *prefix = parameter(request, "prefix");
    char *after = parameter(request, "after");
    GPtrArray *found = g_ptr_array_new();
    GHashTableIter iter;
    void *pointer = NULL;
    g_hash_table_iter_init(&iter, store.items);
    while (g_hash_table_iter_next(&iter, NULL, &pointer)) {
        change_t *change = pointer;
        if (change->value != NULL &&
            g_str_has_prefix(change->key, prefix == NULL ? "" : prefix) &&
            (after == NULL || strcmp(change->key, after) > 0))
        {
            g_ptr_array_add(found, change);
        }
    }
    g_ptr_array_sort(found, by_key);
    struct json_object *answer = json_object_new_object();
    struct json_object *items = json_object_new_array();
    for (guint i = 0; i < MIN(found->len, PAGE_ITEMS); i++) {
        json_object_array_add(items, json_of(found->pdata[i]));
    }
    json_object_object_add(answer, "items", items);
    json_object_object_add(answer, "has_more",
                           json_object_new_boolean(found->len > PAGE_ITEMS));
    add_revision(answer);
    answer_json(request, 200, answer);
    g_ptr_array_unref(found);
    g_free(prefix);
    g_free(after);
}

static void
answer_key(http_request_t *request)
{
    char *key = parameter(request, "key");
    const change_t *change =
        key == NULL ? NULL : g_hash_table_lookup(store.items, key);
    g_free(key);
    if (change == NULL || change->value == NULL) {
        answer_status(request, 404);
        return;
    }
    struct json_object *answer = json_of(change);
    add_revision(answer);
    answer_json(request, 200, answer);
}

static void
free_watch(watch_t *watch)
{
    store.watches = g_list_remove(store.watches, watch);
    loop_timer_stop(&store.loop, &watch->timer);
    g_free(watch->prefix);
    g_free(watch);
}

static void
end_watch(watch_t *watch)
{
    struct json_object *answer = json_object_new_object();
    struct json_object *events = json_object_new_array();
    for (guint i = 0; i < store.changes->len; i++) {
        const change_t *change = store.changes->pdata[i];
        if (change->revision > watch->after &&
            g_str_has_prefix(change->key, watch->prefix))
        {
            json_object_array_add(events, json_of(change));
        }
    }
    json_object_object_add(answer, "events", events);
    add_revision(answer);
    http_request_t *request = watch->request;
    free_watch(watch);
    answer_json(request, 200, answer);
}

static void
watch_is_over(void *context)
{
    end_watch(context);
}

static void
start_watch(http_request_t *request)
{
    uint64_t after = number_parameter(request, "after");
    if (after < store.forgotten) {
        answer_status(request, 410);
        return;
    }
    watch_t *watch = g_new0(watch_t, 1);
    watch->request = request;
    watch->prefix = parameter(request, "prefix");
    watch->after = after;
    request->user = watch;
    store.watches = g_list_prepend(store.watches, watch);
    if (watch->prefix == NULL) {
        watch->prefix = g_strdup("");
    }
    watch->deaf = store.mode == MODE_DEAF;
    if (store.revision > after && !watch->deaf) {
        end_watch(watch);
        return;
    }
    loop_timer_start(&store.loop, &watch->timer,
                     (int64_t)number_parameter(request, "wait_ms") * US_PER_MS,
                     watch_is_over, watch);
}

static void
change_item(const char *key, slice_t value, bool removed)
{
    change_t *change = g_new0(change_t, 1);
    change->key = g_strdup(key);
    change->revision = ++store.revision;
    change->value =
        removed ? NULL
                : g_base64_encode((const guchar *)value.data, value.len);
    g_ptr_array_add(store.changes, change);
    g_hash_table_replace(store.items, change->key, change);
    if (store.mode != MODE_UP) {
        return;
    }
    GList *watches = g_list_copy(store.watches);
    for (GList *link = watches; link != NULL; link = link->next) {
        watch_t *watch = link->data;
        if (!watch->deaf) {
            end_watch(watch);
        }
    }
    g_list_free(watches);
}

/// Ends all watches without an event.
static void
cut_watches(int status)
{
    while (store.watches != NULL) {
        watch_t *watch = store.watches->data;
        http_request_t *request = watch->request;
        free_watch(watch);
        answer_status(request, status);
    }
}

static void
set_mode(const char *name)
{
    static const char *const names[] = {
        [MODE_UP] = "up",           [MODE_BUSY] = "busy", [MODE_MANY] = "many",
        [MODE_GARBLED] = "garbled", [MODE_HANG] = "hang", [MODE_DEAF] = "deaf",
    };
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        if (strcmp(names[i], name) == 0) {
            store.mode = (service_mode_t)i;
        }
    }
}

static void
answer_stats(http_request_t *request)
{
    struct json_object *answer = json_object_new_object();
    json_object_object_add(answer, "reads",
                           json_object_new_int64((int64_t)store.reads));
    json_object_object_add(
        answer, "waiting",
        json_object_new_int64(g_list_length(store.watches)));
    json_object_object_add(answer, "revision",
                           json_object_new_int64((int64_t)store.revision));
    answer_json(request, 200, answer);
}

static void
handle_test(http_request_t *request, const char *path)
{
    bool is_put = slice_equal_string(request->method, "PUT");
    if (g_str_has_prefix(path, ITEMS_PATH)) {
        change_item(path + strlen(ITEMS_PATH), request->body, !is_put);
    }
    else if (g_str_has_prefix(path, "/test/mode/")) {
        set_mode(path + strlen("/test/mode/"));
    }
    else if (strcmp(path, "/test/cut") == 0) {
        cut_watches(503);
    }
    else if (strcmp(path, "/test/compact") == 0) {
        store.forgotten = ++store.revision;
        cut_watches(410);
    }
    else if (strcmp(path, "/test/stats") == 0) {
        answer_stats(request);
        return;
    }
    answer_status(request, 200);
}

static void
handle_read(http_request_t *request)
{
    store.reads++;
    if (store.mode == MODE_BUSY || store.mode == MODE_MANY) {
        answer_status(request, store.mode == MODE_BUSY ? 503 : 429);
    }
    else if (store.mode == MODE_HANG) {
        request->user = NULL;
    }
    else if (slice_starts_with(request->path, SLICE_LITERAL("/kv-range"))) {
        answer_range(request);
    }
    else if (slice_starts_with(request->path, SLICE_LITERAL("/kv-watch"))) {
        start_watch(request);
    }
    else if (slice_starts_with(request->path, SLICE_LITERAL("/kv-key"))) {
        answer_key(request);
    }
    else {
        answer_status(request, 404);
    }
}

static void
handle(void *context, http_request_t *request)
{
    (void)context;
    if (!slice_starts_with(request->path, SLICE_LITERAL("/test/"))) {
        handle_read(request);
        return;
    }
    char *path = g_strndup(request->path.data, request->path.len);
    handle_test(request, path);
    g_free(path);
}

static void
gone(void *context, http_request_t *request)
{
    (void)context;
    if (request->user != NULL) {
        free_watch(request->user);
    }
}

static error_t
parse(int key, char *argument, struct argp_state *state)
{
    if (key == 'l') {
        read_endpoint_argument(&store.listen, argument, state);
        return 0;
    }
    return key == ARGP_KEY_ARG ? ARGP_ERR_UNKNOWN : 0;
}

int
main(int argc, char **argv)
{
    static const struct argp_option options[] = {
        {"listen", 'l', "ADDRESS:PORT", 0, "Address to serve at", 0}, {0}};
    static const struct argp argp = {.options = options, .parser = parse};
    argp_parse(&argp, argc, argv, 0, NULL, NULL);
    boot_clock_init(&store.clock);
    loop_init(&store.loop, &store.clock);
    store.changes = g_ptr_array_new();
    store.items = g_hash_table_new(g_str_hash, g_str_equal);
    store.server =
        http_server_new(&store.loop, CONNECTIONS_MAX, REQUEST_BYTES_MAX);
    GError *error = NULL;
    http_listener_options_t listener = {"store", store.listen, false,
                                        handle,  gone,         NULL};
    if (!http_server_listen(store.server, &listener, &error)) {
        fprintf(stderr, "standin_store: %s\n", error->message);
        return 1;
    }
    http_server_start(store.server);
    printf("listening\n");
    fflush(stdout);
    loop_run(&store.loop);
    return 0;
}
