/// @file
/// Stand-in of the platform: a configuration service with long polls. Usage:
///
///     standin_platform --listen 127.0.0.1:PORT
///
/// Prints "listening" once it accepts connections and serves until SIGTERM.
///
/// Interface of the product:
///
///     GET /v1/items?prefix=P&since=R&wait_ms=W
///
/// Interface for tests. Slashes in NAME are not escaped. The response to a
/// change is {"version": V, "revision": R}.
///
///     PUT /test/items/NAME        adds the next version; body: its JSON value
///     DELETE /test/items/NAME     adds a next version that removes the item
///     POST /test/fill?count=N&data_centres=D   N VM items for load tests
///     POST /test/mode?mode=up     responds (initial mode)
///     POST /test/mode?mode=fail   responds with status 503
///     POST /test/mode?mode=hang   never responds
///     POST /test/visible?prefix=P&revision=R
///         serves the items with this prefix as of revision R, to simulate a
///         stale list or a platform that goes back; 0: serves the newest
///     POST /test/rewind?revision=R
///         discards all changes after revision R; new changes reuse the
///         revisions and versions after R
///     GET /test/stats  {"reads", "waiting", "items_sent", "revision"}

#include <argp.h>
#include <h2o.h>
#include <inttypes.h>
#include <json-c/json.h>
#include <signal.h>
#include <stdio.h>

#include "ibisfield/io/loop.h"
#include "ibisfield/io/platform_client.h"

#define PREFIX_COUNT 2
#define BACKLOG 1024

typedef enum { MODE_UP, MODE_FAIL, MODE_HANG } platform_mode_t;

typedef struct {
    char *name;
    uint64_t version;
    uint64_t revision;
    char *value; ///< NULL: removed
} change_t;

/// A read that waits for a change. It is allocated in the pool of the request.
typedef struct long_poll {
    h2o_req_t *req;
    char *prefix;
    uint64_t since;
    loop_timer_t timer;
    GList *link;
} long_poll_t;

static const char *const prefixes[PREFIX_COUNT] = {"contract/", "vm/"};

static struct {
    loop_t loop;
    clock_source_t clock;
    h2o_globalconf_t config;
    h2o_context_t context;
    h2o_accept_ctx_t accept;
    GArray *changes; ///< change_t, by revision
    uint64_t revision;
    uint64_t visible_revisions[PREFIX_COUNT]; ///< 0: newest
    platform_mode_t mode;
    GQueue polls;
    uint64_t reads;
    uint64_t items_sent;
} platform;

static change_t *
change_at(guint index)
{
    return &g_array_index(platform.changes, change_t, index);
}

static uint64_t
newest_version(const char *name)
{
    for (guint i = platform.changes->len; i > 0; i--) {
        if (strcmp(change_at(i - 1)->name, name) == 0) {
            return change_at(i - 1)->version;
        }
    }
    return 0;
}

static uint64_t
visible_revision(const char *prefix)
{
    for (int i = 0; i < PREFIX_COUNT; i++) {
        if (strcmp(prefixes[i], prefix) == 0 &&
            platform.visible_revisions[i] != 0) {
            return MIN(platform.visible_revisions[i], platform.revision);
        }
    }
    return platform.revision;
}

static void
send_text(h2o_req_t *req, int status, const char *text)
{
    req->res.status = status;
    req->res.reason = status == 200 ? "OK" : "Error";
    h2o_add_header(&req->pool, &req->res.headers, H2O_TOKEN_CONTENT_TYPE, NULL,
                   H2O_STRLIT("application/json"));
    h2o_send_inline(req, text, strlen(text));
}

static char *
parameter(h2o_req_t *req, const char *name)
{
    if (req->query_at == SIZE_MAX) {
        return NULL;
    }
    char *query = g_strndup(req->path.base + req->query_at + 1,
                            req->path.len - req->query_at - 1);
    char *value = NULL;
    char **pairs = g_strsplit(query, "&", -1);
    for (int i = 0; pairs[i] != NULL && value == NULL; i++) {
        char **pair = g_strsplit(pairs[i], "=", 2);
        if (pair[0] != NULL && strcmp(pair[0], name) == 0) {
            value =
                g_uri_unescape_string(pair[1] == NULL ? "" : pair[1], NULL);
        }
        g_strfreev(pair);
    }
    g_strfreev(pairs);
    g_free(query);
    return value;
}

static uint64_t
number_parameter(h2o_req_t *req, const char *name)
{
    char *text = parameter(req, name);
    uint64_t value = text == NULL ? 0 : g_ascii_strtoull(text, NULL, 10);
    g_free(text);
    return value;
}

/// Returns the JSON list of the newest visible change of each item after
/// revision @p since, and the number of items in @p count. Changes are visited
/// newest first, and a name that was seen before is skipped.
static char *
list_changes(const char *prefix, uint64_t since, uint64_t revision,
             guint *count)
{
    GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
    GString *out = g_string_new(NULL);
    g_string_append_printf(out, "{\"revision\":%" PRIu64 ",\"items\":[",
                           revision);
    *count = 0;
    for (guint i = platform.changes->len; i > 0; i--) {
        const change_t *change = change_at(i - 1);
        if (change->revision <= since || change->revision > revision ||
            !g_str_has_prefix(change->name, prefix) ||
            !g_hash_table_add(seen, change->name))
        {
            continue;
        }
        g_string_append_printf(
            out, "%s{\"name\":\"%s\",\"version\":%" PRIu64 ",\"value\":%s}",
            (*count)++ == 0 ? "" : ",", change->name, change->version,
            change->value == NULL ? "null" : change->value);
    }
    g_string_append(out, "]}");
    g_hash_table_destroy(seen);
    return g_string_free(out, FALSE);
}

static bool
has_changes(const long_poll_t *poll)
{
    uint64_t revision = visible_revision(poll->prefix);
    for (guint i = platform.changes->len; i > 0; i--) {
        const change_t *change = change_at(i - 1);
        if (change->revision <= poll->since) {
            return false;
        }
        if (change->revision <= revision &&
            g_str_has_prefix(change->name, poll->prefix))
        {
            return true;
        }
    }
    return false;
}

static void
respond_to_poll(void *context)
{
    long_poll_t *poll = context;
    guint count = 0;
    char *text = list_changes(poll->prefix, poll->since,
                              visible_revision(poll->prefix), &count);
    platform.items_sent += count;
    g_queue_unlink(&platform.polls, poll->link);
    loop_timer_stop(&platform.loop, &poll->timer);
    send_text(poll->req, 200, text);
    g_free(text);
}

static void
dispose_poll(void *pointer)
{
    long_poll_t *poll = pointer;
    if (g_queue_find(&platform.polls, poll) != NULL) {
        g_queue_unlink(&platform.polls, poll->link);
    }
    g_list_free_1(poll->link);
    loop_timer_stop(&platform.loop, &poll->timer);
    g_free(poll->prefix);
}

static void
respond_to_ready_polls(void)
{
    GList *next = NULL;
    for (GList *node = platform.polls.head;
         node != NULL && platform.mode == MODE_UP; node = next)
    {
        next = node->next;
        if (has_changes(node->data)) {
            respond_to_poll(node->data);
        }
    }
}

static int
serve_items(h2o_req_t *req)
{
    platform.reads++;
    if (platform.mode == MODE_FAIL) {
        send_text(req, 503, "{}");
        return 0;
    }
    long_poll_t *poll =
        h2o_mem_alloc_shared(&req->pool, sizeof(*poll), dispose_poll);
    *poll = (long_poll_t){.req = req,
                          .prefix = parameter(req, "prefix"),
                          .since = number_parameter(req, "since"),
                          .link = g_list_alloc()};
    if (poll->prefix == NULL) {
        poll->prefix = g_strdup("");
    }
    poll->link->data = poll;
    g_queue_push_tail_link(&platform.polls, poll->link);
    uint64_t wait_ms = number_parameter(req, "wait_ms");
    if (platform.mode == MODE_HANG) {
        return 0;
    }
    if (wait_ms == 0 || has_changes(poll)) {
        respond_to_poll(poll);
        return 0;
    }
    loop_timer_start(&platform.loop, &poll->timer,
                     (int64_t)wait_ms * US_PER_MS, respond_to_poll, poll);
    return 0;
}

static void
append_change(const char *name, const char *value, uint64_t *version)
{
    change_t change = {g_strdup(name), newest_version(name) + 1,
                       ++platform.revision, g_strdup(value)};
    *version = change.version;
    g_array_append_val(platform.changes, change);
}

static int
serve_item_change(h2o_req_t *req, const char *name, bool remove)
{
    uint64_t version = 0;
    char *value = remove ? NULL : g_strndup(req->entity.base, req->entity.len);
    append_change(name, value, &version);
    g_free(value);
    char *text =
        g_strdup_printf("{\"version\":%" PRIu64 ",\"revision\":%" PRIu64 "}",
                        version, platform.revision);
    send_text(req, 200, text);
    g_free(text);
    respond_to_ready_polls();
    return 0;
}

static void
add_test_vms(uint64_t count, uint64_t data_centres)
{
    for (uint64_t i = 0; i < count; i++) {
        change_t change = {g_strdup_printf("vm/fill%" PRIu64, i), 1,
                           ++platform.revision, NULL};
        change.value = g_strdup_printf(
            "{\"data_centre\":\"fill-dc%" PRIu64
            "\",\"service\":\"service%" PRIu64
            "\",\"address\":\"127.255.%d.%d\",\"caller_port\":8080,"
            "\"peer_port\":8081,\"control_port\":9,\"state\":\"live\"}",
            i % MAX(data_centres, 1), i % 460, (int)(i / 250 % 250),
            (int)(i % 250));
        g_array_append_val(platform.changes, change);
    }
}

static void
rewind_to(uint64_t revision)
{
    while (platform.changes->len > 0 &&
           change_at(platform.changes->len - 1)->revision > revision)
    {
        change_t *change = change_at(platform.changes->len - 1);
        g_free(change->name);
        g_free(change->value);
        g_array_set_size(platform.changes, platform.changes->len - 1);
    }
    platform.revision = MIN(platform.revision, revision);
}

static void
fail_poll(long_poll_t *poll)
{
    g_queue_unlink(&platform.polls, poll->link);
    loop_timer_stop(&platform.loop, &poll->timer);
    send_text(poll->req, 503, "{}");
}

/// Applies a new mode to long polls that are waiting: MODE_FAIL ends them with
/// an error, and MODE_HANG stops their timers, so that clients time out.
static void
apply_mode_to_polls(void)
{
    GList *next = NULL;
    for (GList *node = platform.polls.head; node != NULL; node = next) {
        long_poll_t *poll = node->data;
        next = node->next;
        if (platform.mode == MODE_FAIL) {
            fail_poll(poll);
        }
        else if (platform.mode == MODE_HANG) {
            loop_timer_stop(&platform.loop, &poll->timer);
        }
    }
}

static void
set_mode(h2o_req_t *req)
{
    char *mode = parameter(req, "mode");
    platform.mode = g_strcmp0(mode, "fail") == 0   ? MODE_FAIL
                    : g_strcmp0(mode, "hang") == 0 ? MODE_HANG
                                                   : MODE_UP;
    g_free(mode);
    apply_mode_to_polls();
}

static void
set_visible(h2o_req_t *req)
{
    char *prefix = parameter(req, "prefix");
    for (int i = 0; i < PREFIX_COUNT; i++) {
        if (g_strcmp0(prefixes[i], prefix) == 0) {
            platform.visible_revisions[i] = number_parameter(req, "revision");
        }
    }
    g_free(prefix);
}

static void
send_stats(h2o_req_t *req)
{
    char *text = g_strdup_printf("{\"reads\":%" PRIu64
                                 ",\"waiting\":%u,\"items_sent\":%" PRIu64
                                 ",\"revision\":%" PRIu64 "}",
                                 platform.reads, platform.polls.length,
                                 platform.items_sent, platform.revision);
    send_text(req, 200, text);
    g_free(text);
}

static int
serve_test_control(h2o_req_t *req, const char *path)
{
    static const char items[] = "/test/items/";
    if (g_str_has_prefix(path, items)) {
        return serve_item_change(req, path + strlen(items),
                                 h2o_memis(req->method.base, req->method.len,
                                           H2O_STRLIT("DELETE")));
    }
    if (strcmp(path, "/test/stats") == 0) {
        send_stats(req);
        return 0;
    }
    if (strcmp(path, "/test/mode") == 0) {
        set_mode(req);
    }
    else if (strcmp(path, "/test/visible") == 0) {
        set_visible(req);
    }
    else if (strcmp(path, "/test/rewind") == 0) {
        rewind_to(number_parameter(req, "revision"));
    }
    else if (strcmp(path, "/test/fill") == 0) {
        add_test_vms(number_parameter(req, "count"),
                     number_parameter(req, "data_centres"));
    }
    else {
        send_text(req, 404, "{}");
        return 0;
    }
    send_text(req, 200, "{}");
    respond_to_ready_polls();
    return 0;
}

static int
on_request(h2o_handler_t *handler, h2o_req_t *req)
{
    (void)handler;
    size_t len = req->query_at == SIZE_MAX ? req->path.len : req->query_at;
    char *path = g_strndup(req->path.base, len);
    int result = strcmp(path, "/v1/items") == 0
                     ? serve_items(req)
                     : serve_test_control(req, path);
    g_free(path);
    return result;
}

static void
on_accept(h2o_socket_t *listener, const char *error)
{
    h2o_socket_t *socket = NULL;
    while (error == NULL &&
           (socket = h2o_evloop_socket_accept(listener)) != NULL) {
        h2o_accept(&platform.accept, socket);
    }
}

static bool
start_listening(const endpoint_t *endpoint)
{
    int on = 1;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons(endpoint->port)};
    inet_pton(AF_INET, endpoint->address, &address.sin_addr);
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(fd, (struct sockaddr *)&address, sizeof(address)) != 0 ||
        listen(fd, BACKLOG) != 0)
    {
        perror("listen");
        return false;
    }
    h2o_socket_t *listener = h2o_evloop_socket_create(
        platform.loop.h2o, fd, H2O_SOCKET_FLAG_DONT_READ);
    h2o_socket_read_start(listener, on_accept);
    return true;
}

static bool
start_service(const endpoint_t *endpoint)
{
    boot_clock_init(&platform.clock);
    loop_init(&platform.loop, &platform.clock);
    platform.changes = g_array_new(FALSE, FALSE, sizeof(change_t));
    h2o_config_init(&platform.config);
    h2o_hostconf_t *host = h2o_config_register_host(
        &platform.config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
    h2o_pathconf_t *path = h2o_config_register_path(host, "/", 0);
    h2o_create_handler(path, sizeof(h2o_handler_t))->on_req = on_request;
    h2o_context_init(&platform.context, platform.loop.h2o, &platform.config);
    platform.accept.ctx = &platform.context;
    platform.accept.hosts = platform.config.hosts;
    return start_listening(endpoint);
}

static endpoint_t listen_endpoint;

static error_t
parse_option(int key, char *value, struct argp_state *state)
{
    if (key == 'l') {
        char *url = g_strconcat("http://", value, NULL);
        if (!endpoint_from_url(url, &listen_endpoint)) {
            argp_error(state, "--listen: expected ADDRESS:PORT");
        }
        g_free(url);
        return 0;
    }
    return ARGP_ERR_UNKNOWN;
}

int
main(int argc, char **argv)
{
    static const struct argp_option options[] = {
        {"listen", 'l', "ADDRESS:PORT", 0, "Address to listen on", 0}, {0}};
    static const struct argp argp = {
        options, parse_option, NULL, "Stand-in of the platform for tests.",
        NULL,    NULL,         NULL};
    argp_parse(&argp, argc, argv, 0, NULL, NULL);
    signal(SIGPIPE, SIG_IGN);
    if (listen_endpoint.port == 0 || !start_service(&listen_endpoint)) {
        return 1;
    }
    puts("listening");
    fflush(stdout);
    loop_run(&platform.loop);
    return 0;
}
