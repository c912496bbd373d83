/// @file
/// Stand-in of callers: sends a bounded number of requests to one or more
/// nodes, with kinds drawn from a seeded generator. Each request carries a
/// unique x-request-id, which a response with status 200 must echo in its
/// body. After a refusal with status 428 the request is sent again with the
/// key that was issued, and after a refusal by a draining node it is sent to
/// the next node. Prints one JSON object when all requests have ended.
///
///     standin_client --target 127.0.0.1:80 --customer c --count 100
///         --concurrency 10 --request "GET /a 9" --request "POST /b 1"

#include <argp.h>
#include <inttypes.h>
#include <json-c/json.h>
#include <stdio.h>

#include "common/arguments.h"
#include "ibisfield/io/http_client.h"
#include "ibisfield/io/message.h"

#define TARGETS_MAX 16
#define REQUESTS_MAX 16
#define CONNECTIONS_MAX 1024
#define RESPONSE_BYTES_MAX (64 << 20)
/// Failed requests that are printed one by one, and bytes of their bodies.
#define FAILURES_PRINTED_MAX 10
#define PRINTED_BODY_MAX 200
/// Longer than every deadline in the tests, so that only a lost response
/// causes a time-out.
#define EXCHANGE_TIMEOUT_US (60 * US_PER_S)

typedef struct {
    slice_t method;
    slice_t path;
    int32_t weight;
} request_kind_t;

/// One request of a caller, over all of its client retries.
typedef struct {
    char id[32];
    const request_kind_t *kind;
    char key[KEY_TEXT_MAX + 1];
    uint32_t target;
    uint32_t connect_failures;
    uint32_t node_switches; ///< after refusals with the reason "leaving"
    int64_t start_us;
} pending_request_t;

static struct {
    http_pool_t *targets[TARGETS_MAX];
    endpoint_t endpoints[TARGETS_MAX];
    uint32_t target_count;
    request_kind_t kinds[REQUESTS_MAX];
    uint32_t kind_count;
    int32_t weight_sum;
    const char *customer;
    int32_t count;
    int32_t concurrency;
    int32_t rate;
    int32_t seed;
    int32_t warm_up;
    clock_source_t clock;
    loop_t loop;
    loop_timer_t rate_timer;
    GRand *random;
    int32_t started;
    int32_t ended;
    int64_t first_us;
    uint64_t complete, mismatched, incomplete, failed, key_retries,
        node_switches, connect_failures;
    uint64_t outcomes[OUTCOME_UNKNOWN + 1];
    uint64_t without_outcome;
    uint64_t reasons[REASON_COUNT];
    GArray *latencies_us;
} client = {.count = 1, .concurrency = 1};

static void start_request(void);
static void send_request(pending_request_t *request);

static gint
compare_latencies(gconstpointer a, gconstpointer b)
{
    int64_t left = *(const int64_t *)a;
    int64_t right = *(const int64_t *)b;
    return (left > right) - (left < right);
}

static int64_t
percentile_us(double fraction)
{
    guint count = client.latencies_us->len;
    if (count == 0) {
        return 0;
    }
    guint at = (guint)(fraction * (count - 1));
    return g_array_index(client.latencies_us, int64_t, at);
}

static void
add_number(struct json_object *object, const char *name, uint64_t value)
{
    json_object_object_add(object, name, json_object_new_uint64(value));
}

static void
print_summary(void)
{
    struct json_object *summary = json_object_new_object();
    struct json_object *reasons = json_object_new_object();
    g_array_sort(client.latencies_us, compare_latencies);
    add_number(summary, "requests", (uint64_t)client.ended);
    add_number(summary, "whole", client.complete);
    add_number(summary, "wrong", client.mismatched);
    add_number(summary, "cut", client.incomplete);
    add_number(summary, "failed", client.failed);
    add_number(summary, "keyed", client.key_retries);
    add_number(summary, "moved", client.node_switches);
    add_number(summary, "connect_failed", client.connect_failures);
    add_number(summary, "answered", client.outcomes[OUTCOME_ANSWERED]);
    add_number(summary, "not_run", client.outcomes[OUTCOME_NOT_RUN]);
    add_number(summary, "unknown", client.outcomes[OUTCOME_UNKNOWN]);
    add_number(summary, "without_outcome", client.without_outcome);
    add_number(summary, "p50_us", (uint64_t)percentile_us(0.5));
    add_number(summary, "p90_us", (uint64_t)percentile_us(0.9));
    add_number(summary, "p99_us", (uint64_t)percentile_us(0.99));
    add_number(summary, "max_us", (uint64_t)percentile_us(1));
    add_number(summary, "elapsed_us",
               (uint64_t)(clock_now_us(&client.clock) - client.first_us));
    for (int i = REASON_NONE + 1; i < REASON_COUNT; i++) {
        if (client.reasons[i] > 0) {
            add_number(reasons, reason_token(i), client.reasons[i]);
        }
    }
    json_object_object_add(summary, "reasons", reasons);
    puts(json_object_to_json_string(summary));
    json_object_put(summary);
}

static void
end_request(pending_request_t *request)
{
    if (client.ended >= client.warm_up) {
        int64_t latency_us = clock_now_us(&client.clock) - request->start_us;
        g_array_append_val(client.latencies_us, latency_us);
    }
    g_free(request);
    client.ended++;
    if (client.ended == client.count) {
        loop_stop(&client.loop);
    }
    else if (client.rate == 0) {
        start_request();
    }
}

static bool
echoes_request_id(const pending_request_t *request,
                  const http_response_t *response)
{
    char *expected = g_strdup_printf("\"id\": \"%s\"", request->id);
    bool found = response->body.len > 0 &&
                 g_strstr_len(response->body.data, (gssize)response->body.len,
                              expected) != NULL;
    g_free(expected);
    return found;
}

static void
count_outcome(const http_response_t *response)
{
    slice_t outcome = http_header_find(response->headers,
                                       response->header_count, HEADER_OUTCOME);
    for (int i = 0; i <= OUTCOME_UNKNOWN; i++) {
        if (slice_equal_string(outcome, outcome_token(i))) {
            client.outcomes[i]++;
            return;
        }
    }
    client.without_outcome++;
}

static bool
retry_with_key(pending_request_t *request, const http_response_t *response)
{
    slice_t key = http_header_find(response->headers, response->header_count,
                                   HEADER_KEY);
    if (response->status != 428 || request->key[0] != '\0' || key.len == 0 ||
        key.len > KEY_TEXT_MAX)
    {
        return false;
    }
    memcpy(request->key, key.data, key.len);
    client.key_retries++;
    request->connect_failures = 0;
    // A node that did not issue the key must forward the request to its owner.
    request->target = (request->target + 1) % client.target_count;
    send_request(request);
    return true;
}

/// Sends a request without a key to the next node if a draining node refused
/// it: a draining node issues no keys.
static bool
retry_at_next_node(pending_request_t *request, reason_t reason)
{
    if (reason != REASON_LEAVING || request->key[0] != '\0' ||
        ++request->node_switches >= client.target_count)
    {
        return false;
    }
    client.node_switches++;
    request->target = (request->target + 1) % client.target_count;
    send_request(request);
    return true;
}

static void
print_failure(const pending_request_t *request,
              const http_response_t *response, reason_t reason)
{
    if (client.failed > FAILURES_PRINTED_MAX) {
        return;
    }
    size_t len = MIN(response->body.len, PRINTED_BODY_MAX);
    fprintf(stderr, "request %s: status %d, reason %s: %.*s\n", request->id,
            response->status, reason_token(reason), (int)len,
            len == 0 ? "" : response->body.data);
}

static void
handle_complete_response(pending_request_t *request,
                         const http_response_t *response)
{
    reason_t reason = reason_from_token(http_header_find(
        response->headers, response->header_count, HEADER_REASON));
    if (retry_with_key(request, response) ||
        retry_at_next_node(request, reason)) {
        return;
    }
    count_outcome(response);
    client.reasons[reason]++;
    if (response->status != 200) {
        client.failed++;
        print_failure(request, response, reason);
    }
    else if (echoes_request_id(request, response)) {
        client.complete++;
    }
    else {
        client.mismatched++;
    }
    end_request(request);
}

static void
request_done(void *context, const http_response_t *response)
{
    pending_request_t *request = context;
    switch (response->result) {
    case HTTP_COMPLETE:
        handle_complete_response(request, response);
        break;
    case HTTP_CONNECT_FAILED:
        client.connect_failures++;
        if (++request->connect_failures < client.target_count) {
            request->target = (request->target + 1) % client.target_count;
            send_request(request);
            return;
        }
        client.failed++;
        end_request(request);
        break;
    default:
        fprintf(stderr, "request %s: no complete response: %s\n", request->id,
                response->error);
        client.incomplete++;
        end_request(request);
        break;
    }
}

static void
send_request(pending_request_t *request)
{
    http_header_t headers[4];
    size_t count = 0;
    headers[count++] = (http_header_t){SLICE_LITERAL("x-request-id"),
                                       slice_from_string(request->id)};
    if (client.customer != NULL) {
        headers[count++] = (http_header_t){SLICE_LITERAL(HEADER_CUSTOMER),
                                           slice_from_string(client.customer)};
    }
    if (request->key[0] != '\0') {
        headers[count++] = (http_header_t){SLICE_LITERAL(HEADER_KEY),
                                           slice_from_string(request->key)};
    }
    bool is_get = slice_equal_string(request->kind->method, "GET");
    http_exchange_start(client.targets[request->target], request->kind->method,
                        request->kind->path, headers, count,
                        is_get ? (slice_t){NULL, 0}
                               : slice_from_string(request->id),
                        EXCHANGE_TIMEOUT_US, request_done, request);
}

static const request_kind_t *
choose_kind(void)
{
    int32_t at = g_rand_int_range(client.random, 0, client.weight_sum);
    uint32_t i = 0;
    while (at >= client.kinds[i].weight) {
        at -= client.kinds[i].weight;
        i++;
    }
    return &client.kinds[i];
}

static void
start_request(void)
{
    if (client.started >= client.count) {
        return;
    }
    pending_request_t *request = g_new0(pending_request_t, 1);
    g_snprintf(request->id, sizeof(request->id), "r%d-%d", client.seed,
               client.started);
    request->kind = choose_kind();
    request->target = (uint32_t)client.started % client.target_count;
    request->start_us = clock_now_us(&client.clock);
    client.started++;
    send_request(request);
}

/// Starts all requests that are due at the configured rate, overdue ones
/// immediately.
static void
start_due_requests(void *context)
{
    (void)context;
    int64_t now_us = clock_now_us(&client.clock);
    int64_t due = (now_us - client.first_us) * client.rate / US_PER_S + 1;
    while (client.started < client.count && client.started < due) {
        start_request();
    }
    if (client.started < client.count) {
        loop_timer_start(&client.loop, &client.rate_timer, US_PER_MS,
                         start_due_requests, NULL);
    }
}

static void
add_kind(const char *text, const struct argp_state *state)
{
    char **parts = g_strsplit(text, " ", 3);
    if (g_strv_length(parts) != 3 || client.kind_count == REQUESTS_MAX) {
        argp_error(state, "found '%s', expected METHOD PATH WEIGHT", text);
    }
    request_kind_t *kind = &client.kinds[client.kind_count++];
    kind->method = slice_from_string(g_strdup(parts[0]));
    kind->path = slice_from_string(g_strdup(parts[1]));
    kind->weight = read_number_argument(parts[2], state);
    client.weight_sum += kind->weight;
    g_strfreev(parts);
}

static const struct argp_option options[] = {
    {"target", 't', "ADDRESS:PORT", 0, "Node to call; may be repeated", 0},
    {"customer", 'u', "NAME", 0, "Value of the header ibisfield-customer", 0},
    {"request", 'q', "METHOD PATH WEIGHT", 0,
     "Kind of request; may be repeated", 0},
    {"count", 'n', "N", 0, "Total number of requests", 0},
    {"concurrency", 'c', "N", 0, "Requests in flight at the same time", 0},
    {"rate", 'r', "N", 0, "Requests per second; replaces --concurrency", 0},
    {"warm-up", 'w', "N", 0, "First requests to leave out of the latencies",
     0},
    {"seed", 's', "N", 0, "Seed for drawing kinds of requests", 0},
    {0},
};

static error_t
parse_option(int key, char *value, struct argp_state *state)
{
    switch (key) {
    case 't':
        if (client.target_count == TARGETS_MAX) {
            argp_error(state, "more than %d targets", TARGETS_MAX);
        }
        read_endpoint_argument(&client.endpoints[client.target_count++], value,
                               state);
        return 0;
    case 'u':
        client.customer = value;
        return 0;
    case 'q':
        add_kind(value, state);
        return 0;
    case 'n':
        client.count = read_number_argument(value, state);
        return 0;
    case 'c':
        client.concurrency = read_number_argument(value, state);
        return 0;
    case 'r':
        client.rate = read_number_argument(value, state);
        return 0;
    case 'w':
        client.warm_up = read_number_argument(value, state);
        return 0;
    case 's':
        client.seed = read_number_argument(value, state);
        return 0;
    case ARGP_KEY_END:
        if (client.target_count == 0 || client.weight_sum == 0) {
            argp_error(state, "--target and --request are required");
        }
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

int
main(int argc, char **argv)
{
    static const struct argp argp = {
        options, parse_option, NULL, "Stand-in of callers for tests.",
        NULL,    NULL,         NULL};
    argp_parse(&argp, argc, argv, 0, NULL, NULL);
    boot_clock_init(&client.clock);
    loop_init(&client.loop, &client.clock);
    client.random = g_rand_new_with_seed((guint32)client.seed);
    client.latencies_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
    for (uint32_t i = 0; i < client.target_count; i++) {
        client.targets[i] = http_pool_new(&client.loop, &client.endpoints[i],
                                          CONNECTIONS_MAX, RESPONSE_BYTES_MAX);
    }
    client.first_us = clock_now_us(&client.clock);
    if (client.rate > 0) {
        start_due_requests(NULL);
    }
    for (int32_t i = 0; client.rate == 0 && i < client.concurrency; i++) {
        start_request();
    }
    loop_run(&client.loop);
    print_summary();
    return client.incomplete + client.mismatched == 0 ? 0 : 1;
}
