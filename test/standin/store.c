/// @file
/// Stand-in for the metadata store of the users' platform, which nodes can
/// only read. Usage:
///
///     standin_store --listen 127.0.0.1:PORT
///
/// It serves until SIGTERM and prints "listening" once it accepts connections.
///
/// Interface of the store, as the documentation of the platform specifies it:
///
///     GET /kv-key?key=K
///     GET /kv-range?prefix=P&after=K        pages of PAGE_ITEMS items
///     GET /kv-watch?prefix=P&after=R&wait_ms=W
///
/// Interface for tests; slashes in keys are not escaped. A watch that waits
/// stays open in every mode, but a change ends it only in the mode "up":
///
///     PUT /test/items/KEY      body: the value
///     DELETE /test/items/KEY
///     POST /test/mode/up       normal responses (initial)
///     POST /test/mode/busy     status 503
///     POST /test/mode/many     status 429
///     POST /test/mode/garbled  status 200 with a truncated body
///     POST /test/mode/hang     no response
///     POST /test/mode/deaf     a watch that is opened in this mode reports
///                              changes only when its wait ends, also if the
///                              mode has changed by then
///     POST /test/cut           ends all watches with 503
///     POST /test/compact       discards the history, ends watches with 410
///     POST /test/restore/MS    drill: the store comes back from a copy that
///     is
///                              MS old, in the next era. Watches go on waiting
///     POST /test/era/TEXT      sends TEXT as the era: "own" (initial) the
///     real
///                              one, "none" no header
///     GET /test/stats          {"reads", "waiting", "revision", "era"}
///
/// Each response to a read has the header Store-Era, from 1 on.

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
    MODE_NORMAL,
    MODE_BUSY,
    MODE_TOO_MANY_REQUESTS,
    MODE_TRUNCATED,
    MODE_HANG,
    MODE_WATCH_WITHOUT_EVENTS
} store_mode_t;

/// One write or removal.
typedef struct {
    char *key;
    uint64_t revision;
    int64_t written_us;
    char *value; ///< in base64; NULL: removed
} change_t;

/// A watch that waits for a change.
typedef struct {
    http_request_t *request;
    char *prefix;
    uint64_t after;
    loop_timer_t timer;
    bool without_events; ///< no change ends it before its wait does
} watch_t;

static struct {
    endpoint_t listen;
    clock_source_t clock;
    loop_t loop;
    http_server_t *server;
    GPtrArray *changes; ///< change_t, in the order of revisions
    GHashTable *items;  ///< key to its newest change_t
    GList *watches;
    uint64_t revision;
    uint64_t compacted_revision; ///< the history up to it is discarded
    uint64_t reads;
    uint64_t era;
    char *era_text; ///< sent instead of the era; NULL: the era is sent
    store_mode_t mode;
} store = {.revision = 1, .era = 1};

static void
respond_json(http_request_t *request, int status, struct json_object *object)
{
    char era[24];
    g_snprintf(era, sizeof(era), "%" PRIu64, store.era);
    const char *era_text = store.era_text == NULL ? era : store.era_text;
    const http_header_t headers[] = {
        {SLICE_LITERAL("content-type"), SLICE_LITERAL("application/json")},
        {SLICE_LITERAL("store-era"), slice_from_string(era_text)},
    };
    size_t header_count = strcmp(era_text, "none") == 0 ? 1 : 2;
    const char *text =
        json_object_to_json_string_ext(object, JSON_C_TO_STRING_PLAIN);
    slice_t body = slice_from_string(text);
    if (status == 200 && store.mode == MODE_TRUNCATED) {
        body.len /= 2;
    }
    http_request_respond(request, status, headers, header_count, body);
    json_object_put(object);
}

static void
respond_status(http_request_t *request, int status)
{
    respond_json(request, status, json_object_new_object());
}

/// Returns a parameter of the query, decoded, or NULL if there is none.
static char *
query_parameter(const http_request_t *request, const char *name)
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
query_number(const http_request_t *request, const char *name)
{
    char *text = query_parameter(request, name);
    uint64_t number = text == NULL ? 0 : g_ascii_strtoull(text, NULL, 10);
    g_free(text);
    return number;
}

static struct json_object *
change_to_json(const change_t *change)
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
add_revision(struct json_object *response)
{
    json_object_object_add(response, "at_rev",
                           json_object_new_int64((int64_t)store.revision));
}

static gint
compare_keys(gconstpointer a, gconstpointer b)
{
    return strcmp((*(const change_t *const *)a)->key,
                  (*(const change_t *const *)b)->key);
}

static void
respond_range(http_request_t *request)
{
    char *prefix = query_parameter(request, "prefix");
    char *after = query_parameter(request, "after");
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
    g_ptr_array_sort(found, compare_keys);
    struct json_object *response = json_object_new_object();
    struct json_object *items = json_object_new_array();
    for (guint i = 0; i < MIN(found->len, PAGE_ITEMS); i++) {
        json_object_array_add(items, change_to_json(found->pdata[i]));
    }
    json_object_object_add(response, "items", items);
    json_object_object_add(response, "has_more",
                           json_object_new_boolean(found->len > PAGE_ITEMS));
    add_revision(response);
    respond_json(request, 200, response);
    g_ptr_array_unref(found);
    g_free(prefix);
    g_free(after);
}

static void
respond_key(http_request_t *request)
{
    char *key = query_parameter(request, "key");
    const change_t *change =
        key == NULL ? NULL : g_hash_table_lookup(store.items, key);
    g_free(key);
    if (change == NULL || change->value == NULL) {
        respond_status(request, 404);
        return;
    }
    struct json_object *response = change_to_json(change);
    add_revision(response);
    respond_json(request, 200, response);
}

static void
remove_watch(watch_t *watch)
{
    store.watches = g_list_remove(store.watches, watch);
    loop_timer_stop(&store.loop, &watch->timer);
    g_free(watch->prefix);
    g_free(watch);
}

static void
finish_watch(watch_t *watch)
{
    struct json_object *response = json_object_new_object();
    struct json_object *events = json_object_new_array();
    for (guint i = 0; i < store.changes->len; i++) {
        const change_t *change = store.changes->pdata[i];
        if (change->revision > watch->after &&
            g_str_has_prefix(change->key, watch->prefix))
        {
            json_object_array_add(events, change_to_json(change));
        }
    }
    json_object_object_add(response, "events", events);
    add_revision(response);
    http_request_t *request = watch->request;
    remove_watch(watch);
    respond_json(request, 200, response);
}

static void
on_watch_timeout(void *context)
{
    finish_watch(context);
}

static void
start_watch(http_request_t *request)
{
    uint64_t after = query_number(request, "after");
    if (after < store.compacted_revision || after > store.revision) {
        respond_status(request, 410);
        return;
    }
    watch_t *watch = g_new0(watch_t, 1);
    watch->request = request;
    watch->prefix = query_parameter(request, "prefix");
    watch->after = after;
    request->user = watch;
    store.watches = g_list_prepend(store.watches, watch);
    if (watch->prefix == NULL) {
        watch->prefix = g_strdup("");
    }
    watch->without_events = store.mode == MODE_WATCH_WITHOUT_EVENTS;
    if (store.revision > after && !watch->without_events) {
        finish_watch(watch);
        return;
    }
    loop_timer_start(&store.loop, &watch->timer,
                     (int64_t)query_number(request, "wait_ms") * US_PER_MS,
                     on_watch_timeout, watch);
}

static void
change_item(const char *key, slice_t value, bool removed)
{
    change_t *change = g_new0(change_t, 1);
    change->key = g_strdup(key);
    change->revision = ++store.revision;
    change->written_us = clock_now_us(&store.clock);
    change->value =
        removed ? NULL
                : g_base64_encode((const guchar *)value.data, value.len);
    g_ptr_array_add(store.changes, change);
    g_hash_table_replace(store.items, change->key, change);
    if (store.mode != MODE_NORMAL) {
        return;
    }
    GList *watches = g_list_copy(store.watches);
    for (GList *link = watches; link != NULL; link = link->next) {
        watch_t *watch = link->data;
        if (!watch->without_events) {
            finish_watch(watch);
        }
    }
    g_list_free(watches);
}

/// Ends all watches with a status instead of events.
static void
end_all_watches(int status)
{
    while (store.watches != NULL) {
        watch_t *watch = store.watches->data;
        http_request_t *request = watch->request;
        remove_watch(watch);
        respond_status(request, status);
    }
}

/// Goes back to the state of @p age_us ago. Revisions above that of the copy
/// are given out again.
static void
restore_copy(int64_t age_us)
{
    int64_t copied_us = clock_now_us(&store.clock) - age_us;
    g_hash_table_remove_all(store.items);
    store.revision = 1;
    guint kept = 0;
    while (kept < store.changes->len) {
        change_t *change = store.changes->pdata[kept];
        if (change->written_us > copied_us) {
            break;
        }
        g_hash_table_replace(store.items, change->key, change);
        store.revision = change->revision;
        kept++;
    }
    g_ptr_array_set_size(store.changes, (gint)kept);
    store.compacted_revision = MIN(store.compacted_revision, store.revision);
    store.era++;
}

static void
set_mode(const char *name)
{
    static const char *const names[] = {
        [MODE_NORMAL] = "up",
        [MODE_BUSY] = "busy",
        [MODE_TOO_MANY_REQUESTS] = "many",
        [MODE_TRUNCATED] = "garbled",
        [MODE_HANG] = "hang",
        [MODE_WATCH_WITHOUT_EVENTS] = "deaf",
    };
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        if (strcmp(names[i], name) == 0) {
            store.mode = (store_mode_t)i;
        }
    }
}

static void
respond_stats(http_request_t *request)
{
    struct json_object *response = json_object_new_object();
    json_object_object_add(response, "reads",
                           json_object_new_int64((int64_t)store.reads));
    json_object_object_add(
        response, "waiting",
        json_object_new_int64(g_list_length(store.watches)));
    json_object_object_add(response, "revision",
                           json_object_new_int64((int64_t)store.revision));
    json_object_object_add(response, "era",
                           json_object_new_int64((int64_t)store.era));
    respond_json(request, 200, response);
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
        end_all_watches(503);
    }
    else if (strcmp(path, "/test/compact") == 0) {
        // A watch that starts at an earlier revision gets 410.
        store.compacted_revision = ++store.revision;
        end_all_watches(410);
    }
    else if (g_str_has_prefix(path, "/test/restore/")) {
        const char *age_ms = path + strlen("/test/restore/");
        restore_copy((int64_t)g_ascii_strtoull(age_ms, NULL, 10) * US_PER_MS);
    }
    else if (g_str_has_prefix(path, "/test/era/")) {
        const char *text = path + strlen("/test/era/");
        g_free(store.era_text);
        store.era_text = strcmp(text, "own") == 0 ? NULL : g_strdup(text);
    }
    else if (strcmp(path, "/test/stats") == 0) {
        respond_stats(request);
        return;
    }
    respond_status(request, 200);
}

static void
handle_read(http_request_t *request)
{
    store.reads++;
    if (store.mode == MODE_BUSY || store.mode == MODE_TOO_MANY_REQUESTS) {
        respond_status(request, store.mode == MODE_BUSY ? 503 : 429);
    }
    else if (store.mode == MODE_HANG) {
        request->user = NULL; // The request gets no response.
    }
    else if (slice_starts_with(request->path, SLICE_LITERAL("/kv-range"))) {
        respond_range(request);
    }
    else if (slice_starts_with(request->path, SLICE_LITERAL("/kv-watch"))) {
        start_watch(request);
    }
    else if (slice_starts_with(request->path, SLICE_LITERAL("/kv-key"))) {
        respond_key(request);
    }
    else {
        respond_status(request, 404);
    }
}

static void
on_request(void *context, http_request_t *request)
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
on_disconnect(void *context, http_request_t *request)
{
    (void)context;
    if (request->user != NULL) {
        remove_watch(request->user);
    }
}

static error_t
parse_option(int key, char *argument, struct argp_state *state)
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
    static const struct argp argp = {.options = options,
                                     .parser = parse_option};
    argp_parse(&argp, argc, argv, 0, NULL, NULL);
    boot_clock_init(&store.clock);
    loop_init(&store.loop, &store.clock);
    store.changes = g_ptr_array_new();
    store.items = g_hash_table_new(g_str_hash, g_str_equal);
    store.server =
        http_server_new(&store.loop, CONNECTIONS_MAX, REQUEST_BYTES_MAX);
    GError *error = NULL;
    http_listener_options_t listener = {"store",    store.listen,  false,
                                        on_request, on_disconnect, NULL};
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
