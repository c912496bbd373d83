/// @file
/// Stand-in of an upstream. It runs requests in a bounded number of slots, in
/// order of arrival, and echoes the header x-request-id, so that a client can
/// tell whether a response belongs to its request.
///
///     GET /count            {"runs", "keys", "max_per_key", "max_per_id"}
///     GET /health           {"status": "ok"} or {"status": "draining"}
///     POST /test/drain      reports draining from now on
///     POST /test/service/N  sets the service time of all paths to N us
///     POST /test/half/N     truncates every Nth response; 0: none
///     POST /test/reset/N    resets the connection instead of every Nth
///                           response; 0: never
///     POST /test/shed/N     sheds while N requests run or wait; 0: never
///     POST /test/hang/N     never responds to a request that comes while N
///                           requests run or wait, nor to any behind it on its
///                           connection; 0: always responds
///     POST /test/hold/N     1: no run ends until 0 is posted
///     POST /test/response/N makes bodies at least N bytes long
///     POST /test/late/N     lets every Nth run take EXTRA_DELAY_US longer;
///                           0: none
///
/// With --instance it uses the headers of the users' platform: it responds
/// with 421 to requests for another instance, names itself in x-server-seal,
/// sends x-not-executed when it sheds, returns the caller's service and
/// deadline in the body, and derives the ids of its calls from the id of the
/// request.
///
/// With --log-runs it prints "run KEY ID" and "answered KEY ID", so that runs
/// can be counted even after the process was killed.

#include <argp.h>
#include <inttypes.h>
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/arguments.h"
#include "ibisfield/io/http_server.h"
#include "ibisfield/io/message.h"

#define CONNECTIONS_MAX 8192
#define REQUEST_BYTES_MAX (64 << 20)
#define NEXT_TIMEOUT_US (30 * US_PER_S)
#define PATHS_MAX 16
#define HOLD_POLL_US (5 * US_PER_MS)
#define EXTRA_DELAY_US (300 * US_PER_MS)
/// Failed calls to the next service that are printed.
#define FAILURES_PRINTED_MAX 10

/// Service time of the paths with a prefix.
typedef struct {
    char *prefix;
    int32_t service_us;
} path_service_time_t;

/// A request that waits, runs or calls the next service.
typedef struct {
    http_request_t *request; ///< NULL: the sender has disconnected
    loop_timer_t timer;      ///< runs as long as the job occupies a slot
    http_exchange_t *next;   ///< call to the next service; NULL: none
} job_t;

static struct {
    endpoint_t listen;
    endpoint_t next; ///< egress for calls to the next service of the chain;
                     ///< port 0: the last service
    char *name;
    char *next_path;
    char *next_host;
    char *instance; ///< NULL: uses the product's own headers
    uint64_t calls_made;
    uint64_t calls_failed;
    int32_t slots;
    int32_t service_us;
    int32_t cold_start_ms;
    int32_t truncate_every;
    int32_t hang_threshold; ///< like shed_threshold, without a response
    int32_t shed_threshold; ///< running and waiting requests; 0: never sheds
    int32_t response_bytes_min;
    path_service_time_t path_times[PATHS_MAX];
    int path_time_count;
    clock_source_t clock;
    loop_t loop;
    http_server_t *server;
    http_pool_t *next_target;
    int64_t start_us;
    GQueue waiting;
    int32_t running;
    uint64_t runs;
    uint64_t responses;
    GHashTable *runs_by_key;
    GHashTable *runs_by_id;
    bool draining;
    bool hold_runs;
    bool log_runs;
    int32_t delay_every;
    int32_t reset_every;
} upstream = {.name = "upstream", .slots = 8};

static void start_jobs(void);

static void
free_job(job_t *job)
{
    loop_timer_stop(&upstream.loop, &job->timer);
    g_free(job);
}

static guint
count_run(GHashTable *table, slice_t name)
{
    if (name.len == 0) {
        return 0;
    }
    char *text = g_strndup(name.data, name.len);
    guint runs = GPOINTER_TO_UINT(g_hash_table_lookup(table, text)) + 1;
    g_hash_table_replace(table, text, GUINT_TO_POINTER(runs));
    return runs;
}

static guint
highest_count(GHashTable *table)
{
    guint highest = 0;
    GHashTableIter iter;
    void *runs = NULL;
    g_hash_table_iter_init(&iter, table);
    while (g_hash_table_iter_next(&iter, NULL, &runs)) {
        highest = MAX(highest, GPOINTER_TO_UINT(runs));
    }
    return highest;
}

static void
respond_with_text(http_request_t *request, int status, const char *text)
{
    http_request_respond(request, status, NULL, 0, slice_from_string(text));
}

/// Sends the head and a part of the body, and shuts the connection down.
static void
send_truncated_response(const http_request_t *request)
{
    static const char partial_response[] =
        "HTTP/1.1 200 OK\r\ncontent-length: 1000\r\n\r\n{\"id\": ";
    int fd = http_request_fd(request);
    if (write(fd, partial_response, sizeof(partial_response) - 1) > 0) {
        shutdown(fd, SHUT_RDWR);
    }
}

/// Resets the connection: connecting a TCP socket to AF_UNSPEC aborts it.
static void
reset_connection(const http_request_t *request)
{
    static const struct sockaddr none = {.sa_family = AF_UNSPEC};
    if (connect(http_request_fd(request), &none, sizeof(none)) != 0) {
        perror("reset");
    }
}

static void
print_run_event(const char *event, const http_request_t *request)
{
    if (!upstream.log_runs) {
        return;
    }
    slice_t key = http_request_header(request, HEADER_KEY);
    slice_t id = http_request_header(request, "x-request-id");
    printf("%s %.*s %.*s\n", event, (int)key.len,
           key.data == NULL ? "" : key.data, (int)id.len,
           id.data == NULL ? "" : id.data);
    fflush(stdout);
}

static void
respond_to_job(job_t *job, int status)
{
    http_request_t *request = job->request;
    upstream.responses++;
    print_run_event("answered", request);
    if (upstream.truncate_every > 0 &&
        upstream.responses % (uint64_t)upstream.truncate_every == 0)
    {
        // The server notices the closed connection; request_disconnected()
        // ends the job.
        send_truncated_response(request);
        return;
    }
    if (upstream.reset_every > 0 &&
        upstream.responses % (uint64_t)upstream.reset_every == 0)
    {
        reset_connection(request);
        return;
    }
    slice_t id = http_request_header(request, "x-request-id");
    GString *body = g_string_new(NULL);
    g_string_append_printf(body, "{\"id\": \"%.*s\", \"by\": \"%s\"",
                           (int)id.len, id.data == NULL ? "" : id.data,
                           upstream.name);
    if (upstream.instance != NULL) {
        slice_t caller = http_request_header(request, "x-caller-service");
        slice_t deadline = http_request_header(request, "x-deadline-ms");
        slice_t workspace = http_request_header(request, "x-tenant");
        bool has_key =
            http_request_header(request, "x-credential").data != NULL;
        g_string_append_printf(
            body,
            ", \"caller\": \"%.*s\", \"deadline_ms\": %.*s, "
            "\"workspace\": \"%.*s\", \"has_key\": %s",
            (int)caller.len, caller.data == NULL ? "" : caller.data,
            (int)deadline.len, deadline.data == NULL ? "0" : deadline.data,
            (int)workspace.len, workspace.data == NULL ? "" : workspace.data,
            has_key ? "true" : "false");
    }
    g_string_append(body, "}\n");
    for (int32_t i = (int32_t)body->len; i < upstream.response_bytes_min; i++)
    {
        g_string_append_c(body, ' ');
    }
    http_header_t headers[3] = {
        {SLICE_LITERAL("content-type"), SLICE_LITERAL("application/json")}};
    size_t count = 1;
    if (id.data != NULL) {
        headers[count++] = (http_header_t){SLICE_LITERAL("x-request-id"), id};
    }
    if (upstream.instance != NULL) {
        headers[count++] =
            (http_header_t){SLICE_LITERAL("x-server-seal"),
                            slice_from_string(upstream.instance)};
    }
    http_request_respond(request, status, headers, count,
                         (slice_t){body->str, body->len});
    g_string_free(body, TRUE);
    free_job(job);
}

static void
print_failed_call(const job_t *job, const http_response_t *response)
{
    if (++upstream.calls_failed > FAILURES_PRINTED_MAX) {
        return;
    }
    slice_t id = http_request_header(job->request, "x-request-id");
    slice_t reason = http_header_find(response->headers,
                                      response->header_count, HEADER_REASON);
    fprintf(stderr,
            "call for request %.*s: status %d, reason %.*s, error %s\n",
            (int)id.len, id.len == 0 ? "" : id.data, response->status,
            (int)reason.len, reason.len == 0 ? "" : reason.data,
            response->error == NULL ? "" : response->error);
}

static void
next_done(void *context, const http_response_t *response)
{
    job_t *job = context;
    job->next = NULL;
    bool succeeded =
        response->result == HTTP_COMPLETE && response->status == 200;
    if (!succeeded) {
        print_failed_call(job, response);
    }
    respond_to_job(job, succeeded ? 200 : 502);
}

/// Calls the next service through the egress of the own node. The job occupies
/// no slot during the call.
static void
call_next(job_t *job)
{
    static const char *const forwarded_headers[] = {
        HEADER_REQUEST, HEADER_CUSTOMER, HEADER_TRACEPARENT, "x-request-id"};
    http_header_t headers[G_N_ELEMENTS(forwarded_headers) + 1];
    size_t count = 0;
    char *id = NULL;
    if (upstream.instance != NULL) {
        slice_t parent = http_request_header(job->request, "x-request-id");
        id = g_strdup_printf("%.*s.%" PRIu64, (int)parent.len, parent.data,
                             ++upstream.calls_made);
        headers[count++] = (http_header_t){SLICE_LITERAL("x-request-id"),
                                           slice_from_string(id)};
        headers[count++] = (http_header_t){
            SLICE_LITERAL("host"), slice_from_string(upstream.next_host)};
    }
    for (size_t i = 0; id == NULL && i < G_N_ELEMENTS(forwarded_headers); i++)
    {
        slice_t value =
            http_request_header(job->request, forwarded_headers[i]);
        if (value.data != NULL) {
            headers[count++] = (http_header_t){
                slice_from_string(forwarded_headers[i]), value};
        }
    }
    job->next = http_exchange_start(upstream.next_target, SLICE_LITERAL("GET"),
                                    slice_from_string(upstream.next_path),
                                    headers, count, (slice_t){NULL, 0},
                                    NEXT_TIMEOUT_US, next_done, job);
    g_free(id);
}

/// Ends the run of a job unless runs are held. The job calls the next service
/// or responds.
static void
end_run(void *context)
{
    job_t *job = context;
    if (upstream.hold_runs) {
        loop_timer_start(&upstream.loop, &job->timer, HOLD_POLL_US, end_run,
                         job);
        return;
    }
    upstream.running--;
    if (job->request == NULL) {
        free_job(job);
    }
    else if (upstream.next_target != NULL) {
        call_next(job);
    }
    else {
        respond_to_job(job, 200);
    }
    start_jobs();
}

/// Returns the service time of a request; the last prefix that matches its
/// path counts.
static int64_t
service_time_us(const http_request_t *request)
{
    int64_t time_us = upstream.service_us;
    for (int i = 0; i < upstream.path_time_count; i++) {
        if (slice_starts_with(
                request->path,
                slice_from_string(upstream.path_times[i].prefix)))
        {
            time_us = upstream.path_times[i].service_us;
        }
    }
    int64_t age_us = clock_now_us(&upstream.clock) - upstream.start_us;
    bool cold_start = age_us < upstream.cold_start_ms * US_PER_MS;
    if (upstream.delay_every > 0 &&
        upstream.runs % (uint64_t)upstream.delay_every == 0)
    {
        time_us += EXTRA_DELAY_US;
    }
    if (upstream.hold_runs) { // A run without a service time can't be held.
        time_us = MAX(time_us, HOLD_POLL_US);
    }
    return cold_start ? time_us * 4 : time_us;
}

static void
start_jobs(void)
{
    while (upstream.running < upstream.slots && upstream.waiting.length > 0) {
        job_t *job = g_queue_pop_head(&upstream.waiting);
        upstream.running++;
        upstream.runs++;
        count_run(upstream.runs_by_key,
                  http_request_header(job->request, HEADER_KEY));
        count_run(upstream.runs_by_id,
                  http_request_header(job->request, "x-request-id"));
        print_run_event("run", job->request);
        int64_t time_us = service_time_us(job->request);
        if (time_us == 0) {
            end_run(job); // Starts the next jobs.
            return;
        }
        loop_timer_start(&upstream.loop, &job->timer, time_us, end_run, job);
    }
}

static void
serve_count(http_request_t *request)
{
    char *text = g_strdup_printf(
        "{\"runs\": %" PRIu64 ", \"keys\": %u, \"max_per_key\": %u, "
        "\"max_per_id\": %u}\n",
        upstream.runs, g_hash_table_size(upstream.runs_by_key),
        highest_count(upstream.runs_by_key),
        highest_count(upstream.runs_by_id));
    respond_with_text(request, 200, text);
    g_free(text);
}

static int32_t
parse_number_after(slice_t path, const char *prefix)
{
    int64_t number = 0;
    size_t len = strlen(prefix);
    parse_number((slice_t){path.data + len, path.len - len}, INT32_MAX,
                 &number);
    return (int32_t)number;
}

static void
serve_test_control(http_request_t *request)
{
    slice_t path = request->path;
    if (slice_equal_string(path, "/test/drain")) {
        upstream.draining = true;
    }
    else if (slice_starts_with(path, SLICE_LITERAL("/test/service/"))) {
        upstream.service_us = parse_number_after(path, "/test/service/");
        upstream.path_time_count = 0;
    }
    else if (slice_starts_with(path, SLICE_LITERAL("/test/half/"))) {
        upstream.truncate_every = parse_number_after(path, "/test/half/");
    }
    else if (slice_starts_with(path, SLICE_LITERAL("/test/reset/"))) {
        upstream.reset_every = parse_number_after(path, "/test/reset/");
    }
    else if (slice_starts_with(path, SLICE_LITERAL("/test/shed/"))) {
        upstream.shed_threshold = parse_number_after(path, "/test/shed/");
    }
    else if (slice_starts_with(path, SLICE_LITERAL("/test/hang/"))) {
        upstream.hang_threshold = parse_number_after(path, "/test/hang/");
    }
    else if (slice_starts_with(path, SLICE_LITERAL("/test/hold/"))) {
        upstream.hold_runs = parse_number_after(path, "/test/hold/") != 0;
    }
    else if (slice_starts_with(path, SLICE_LITERAL("/test/response/"))) {
        upstream.response_bytes_min =
            parse_number_after(path, "/test/response/");
    }
    else if (slice_starts_with(path, SLICE_LITERAL("/test/late/"))) {
        upstream.delay_every = parse_number_after(path, "/test/late/");
    }
    respond_with_text(request, 200, "{}\n");
}

static void
shed(http_request_t *request)
{
    const http_header_t headers[] = {
        {SLICE_LITERAL(HEADER_SHED), SLICE_LITERAL("1")},
        {SLICE_LITERAL("x-not-executed"), SLICE_LITERAL("1")},
    };
    http_request_respond(request, 503, headers,
                         upstream.instance == NULL ? 1 : 2,
                         (slice_t){NULL, 0});
}

/// Returns whether the request names another instance of the upstream.
static bool
targets_other_instance(const http_request_t *request)
{
    slice_t target = http_request_header(request, "x-target-instance");
    return upstream.instance != NULL && target.data != NULL &&
           !slice_equal_string(target, upstream.instance);
}

static void
handle_request(void *context, http_request_t *request)
{
    (void)context;
    if (slice_equal_string(request->path, "/count")) {
        serve_count(request);
        return;
    }
    if (slice_equal_string(request->path, "/health")) {
        respond_with_text(request, 200,
                          upstream.draining ? "{\"status\": \"draining\"}\n"
                                            : "{\"status\": \"ok\"}\n");
        return;
    }
    if (slice_starts_with(request->path, SLICE_LITERAL("/test/"))) {
        serve_test_control(request);
        return;
    }
    if (targets_other_instance(request)) {
        const http_header_t header = {SLICE_LITERAL("x-instance-id"),
                                      slice_from_string(upstream.instance)};
        http_request_respond(request, 421, &header, 1, (slice_t){NULL, 0});
        return;
    }
    int32_t load = upstream.running + (int32_t)upstream.waiting.length;
    if (upstream.hang_threshold > 0 && load >= upstream.hang_threshold) {
        return; // The server reads no further request of the connection.
    }
    if (upstream.shed_threshold > 0 && load >= upstream.shed_threshold) {
        shed(request);
        return;
    }
    job_t *job = g_new0(job_t, 1);
    job->request = request;
    request->user = job;
    g_queue_push_tail(&upstream.waiting, job);
    start_jobs();
}

/// Drops a waiting job and cancels the call to the next service. A running job
/// keeps its slot until it ends, like work that can't be interrupted.
static void
request_disconnected(void *context, http_request_t *request)
{
    (void)context;
    job_t *job = request->user;
    if (job == NULL) {
        return;
    }
    job->request = NULL;
    if (job->timer.position != NULL) { // The job runs.
        return;
    }
    g_queue_remove(&upstream.waiting, job);
    if (job->next != NULL) {
        http_exchange_cancel(job->next);
    }
    free_job(job);
}

static void
add_path_time(const char *text, const struct argp_state *state)
{
    char **parts = g_strsplit(text, "=", 2);
    if (parts[1] == NULL || upstream.path_time_count == PATHS_MAX) {
        argp_error(state, "found '%s', expected PREFIX=US", text);
    }
    upstream.path_times[upstream.path_time_count++] = (path_service_time_t){
        g_strdup(parts[0]), read_number_argument(parts[1], state)};
    g_strfreev(parts);
}

static const struct argp_option options[] = {
    {"listen", 'l', "ADDRESS:PORT", 0, "Address to listen on", 0},
    {"name", 'n', "NAME", 0, "Name in responses", 0},
    {"slots", 's', "N", 0, "Number of requests that run at the same time", 0},
    {"service-us", 't', "N", 0, "Service time in microseconds", 0},
    {"path", 'p', "PREFIX=US", 0, "Service time of paths with this prefix", 0},
    {"cold-ms", 'c', "N", 0,
     "Time after the start with fourfold service times", 0},
    {"next", 'x', "ADDRESS:PORT", 0,
     "Egress listener for calls to the next service", 0},
    {"next-path", 'y', "PATH", 0, "Path at the next service", 0},
    {"next-host", 'o', "HOST", 0, "Host header for the next service", 0},
    {"instance", 'i', "ID", 0,
     "Use the headers of the users' platform as this instance", 0},
    {"half-every", 'h', "N", 0, "Truncate every Nth response", 0},
    {"shed-above", 'd', "N", 0, "Shed while N requests run or wait", 0},
    {"answer-bytes", 'b', "N", 0, "Minimum body size of responses", 0},
    {"log-runs", 'r', NULL, 0, "Print each run and response", 0},
    {0},
};

static error_t
parse_option(int key, char *value, struct argp_state *state)
{
    switch (key) {
    case 'l':
        read_endpoint_argument(&upstream.listen, value, state);
        return 0;
    case 'x':
        read_endpoint_argument(&upstream.next, value, state);
        return 0;
    case 'n':
        upstream.name = value;
        return 0;
    case 'y':
        upstream.next_path = value;
        return 0;
    case 'o':
        upstream.next_host = value;
        return 0;
    case 'i':
        upstream.instance = value;
        return 0;
    case 'p':
        add_path_time(value, state);
        return 0;
    case 's':
        upstream.slots = read_number_argument(value, state);
        return 0;
    case 't':
        upstream.service_us = read_number_argument(value, state);
        return 0;
    case 'c':
        upstream.cold_start_ms = read_number_argument(value, state);
        return 0;
    case 'h':
        upstream.truncate_every = read_number_argument(value, state);
        return 0;
    case 'd':
        upstream.shed_threshold = read_number_argument(value, state);
        return 0;
    case 'r':
        upstream.log_runs = true;
        return 0;
    case 'b':
        upstream.response_bytes_min = read_number_argument(value, state);
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

int
main(int argc, char **argv)
{
    static const struct argp argp = {
        options, parse_option, NULL, "Stand-in of an upstream for tests.",
        NULL,    NULL,         NULL};
    argp_parse(&argp, argc, argv, 0, NULL, NULL);
    boot_clock_init(&upstream.clock);
    loop_init(&upstream.loop, &upstream.clock);
    upstream.start_us = clock_now_us(&upstream.clock);
    upstream.runs_by_key =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    upstream.runs_by_id =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    if (upstream.next.port != 0) {
        upstream.next_target = http_pool_new(&upstream.loop, &upstream.next,
                                             1024, REQUEST_BYTES_MAX);
    }
    upstream.server =
        http_server_new(&upstream.loop, CONNECTIONS_MAX, REQUEST_BYTES_MAX);
    http_listener_options_t listener = {
        .name = "upstream",
        .endpoint = upstream.listen,
        .handle = handle_request,
        .disconnected = request_disconnected,
    };
    GError *error = NULL;
    if (!http_server_listen(upstream.server, &listener, &error)) {
        fprintf(stderr, "%s\n", error->message);
        return 1;
    }
    http_server_start(upstream.server);
    puts("listening");
    fflush(stdout);
    loop_run(&upstream.loop);
    return 0;
}
