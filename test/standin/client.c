/// @file
/// Stand-in of callers: a bounded, seeded load on one or more nodes. Each
/// request carries a unique x-request-id, and an answer with status 200 must
/// echo it. A refusal with status 428 is followed by the same request with the
/// fresh key, and a refusal of a leaving node by the same request to another
/// node. Prints one JSON object when all requests have ended.
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
#define ANSWER_BYTES_MAX (64 << 20)
/// Above every deadline in the tests, so that only a lost answer meets it.
#define EXCHANGE_TIMEOUT_US (60 * US_PER_S)

typedef struct {
    slice_t method;
    slice_t path;
    int32_t weight;
} request_kind_t;

/// One request of a caller with its resends.
typedef struct {
    char id[32];
    const request_kind_t *kind;
    char key[KEY_TEXT_MAX + 1];
    uint32_t target;
    uint32_t connect_failures;
    uint32_t moves; ///< to another node after "leaving"
    int64_t start_us;
} caller_t;

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
    uint64_t whole, wrong, cut, failed, keyed, moved, connect_failed;
    uint64_t outcomes[OUTCOME_UNKNOWN + 1];
    uint64_t without_outcome;
    uint64_t reasons[REASON_COUNT];
    GArray *latencies_us;
} client = {.count = 1, .concurrency = 1};

static void start_request(void);
static void send_request(caller_t *caller);

static gint
compare_times(gconstpointer a, gconstpointer b)
{
    int64_t left = *(const int64_t *)a;
    int64_t right = *(const int64_t *)b;
    return (left > right) - (left < right);
}

static int64_t
percentile_us(double share)
{
    guint count = client.latencies_us->len;
    if (count == 0) {
        return 0;
    }
    guint at = (guint)(share * (count - 1));
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
    g_array_sort(client.latencies_us, compare_times);
    add_number(summary, "requests", (uint64_t)client.ended);
    add_number(summary, "whole", client.whole);
    add_number(summary, "wrong", client.wrong);
    add_number(summary, "cut", client.cut);
    add_number(summary, "failed", client.failed);
    add_number(summary, "keyed", client.keyed);
    add_number(summary, "moved", client.moved);
    add_number(summary, "connect_failed", client.connect_failed);
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
end_request(caller_t *caller)
{
    if (client.ended >= client.warm_up) {
        int64_t time_us = clock_now_us(&client.clock) - caller->start_us;
        g_array_append_val(client.latencies_us, time_us);
    }
    g_free(caller);
    client.ended++;
    if (client.ended == client.count) {
        loop_stop(&client.loop);
    }
    else if (client.rate == 0) {
        start_request();
    }
}

static bool
is_own(const caller_t *caller, const http_response_t *answer)
{
    char *expected = g_strdup_printf("\"id\": \"%s\"", caller->id);
    bool own = answer->body.len > 0 &&
               g_strstr_len(answer->body.data, (gssize)answer->body.len,
                            expected) != NULL;
    g_free(expected);
    return own;
}

static void
count_outcome(const http_response_t *answer)
{
    slice_t outcome = http_header_find(answer->headers, answer->header_count,
                                       HEADER_OUTCOME);
    for (int i = 0; i <= OUTCOME_UNKNOWN; i++) {
        if (slice_equal_string(outcome, outcome_token(i))) {
            client.outcomes[i]++;
            return;
        }
    }
    client.without_outcome++;
}

static bool
resend_with_key(caller_t *caller, const http_response_t *answer)
{
    slice_t key =
        http_header_find(answer->headers, answer->header_count, HEADER_KEY);
    if (answer->status != 428 || caller->key[0] != '\0' || key.len == 0 ||
        key.len > KEY_TEXT_MAX)
    {
        return false;
    }
    memcpy(caller->key, key.data, key.len);
    client.keyed++;
    caller->connect_failures = 0;
    // Another node may get the key and must find its owner.
    caller->target = (caller->target + 1) % client.target_count;
    send_request(caller);
    return true;
}

/// A node that leaves issues no keys; the caller asks another one.
static bool
move_on(caller_t *caller, reason_t reason)
{
    if (reason != REASON_LEAVING || caller->key[0] != '\0' ||
        ++caller->moves >= client.target_count)
    {
        return false;
    }
    client.moved++;
    caller->target = (caller->target + 1) % client.target_count;
    send_request(caller);
    return true;
}

static void
take_whole(caller_t *caller, const http_response_t *answer)
{
    reason_t reason = reason_from_token(http_header_find(
        answer->headers, answer->header_count, HEADER_REASON));
    if (resend_with_key(caller, answer) || move_on(caller, reason)) {
        return;
    }
    count_outcome(answer);
    client.reasons[reason]++;
    if (answer->status != 200) {
        client.failed++;
    }
    else if (is_own(caller, answer)) {
        client.whole++;
    }
    else {
        client.wrong++;
    }
    end_request(caller);
}

static void
request_done(void *context, const http_response_t *answer)
{
    caller_t *caller = context;
    switch (answer->result) {
    case HTTP_COMPLETE:
        take_whole(caller, answer);
        break;
    case HTTP_CONNECT_FAILED:
        client.connect_failed++;
        if (++caller->connect_failures < client.target_count) {
            caller->target = (caller->target + 1) % client.target_count;
            send_request(caller);
            return;
        }
        client.failed++;
        end_request(caller);
        break;
    default:
        fprintf(stderr, "cut: %s: %s\n", caller->id, answer->error);
        client.cut++;
        end_request(caller);
        break;
    }
}

static void
send_request(caller_t *caller)
{
    http_header_t headers[4];
    size_t count = 0;
    headers[count++] = (http_header_t){SLICE_LITERAL("x-request-id"),
                                       slice_from_string(caller->id)};
    if (client.customer != NULL) {
        headers[count++] = (http_header_t){SLICE_LITERAL(HEADER_CUSTOMER),
                                           slice_from_string(client.customer)};
    }
    if (caller->key[0] != '\0') {
        headers[count++] = (http_header_t){SLICE_LITERAL(HEADER_KEY),
                                           slice_from_string(caller->key)};
    }
    bool is_get = slice_equal_string(caller->kind->method, "GET");
    http_exchange_start(client.targets[caller->target], caller->kind->method,
                        caller->kind->path, headers, count,
                        is_get ? (slice_t){NULL, 0}
                               : slice_from_string(caller->id),
                        EXCHANGE_TIMEOUT_US, request_done, caller);
}

static const request_kind_t *
draw_kind(void)
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
    caller_t *caller = g_new0(caller_t, 1);
    g_snprintf(caller->id, sizeof(caller->id), "r%d-%d", client.seed,
               client.started);
    caller->kind = draw_kind();
    caller->target = (uint32_t)client.started % client.target_count;
    caller->start_us = clock_now_us(&client.clock);
    client.started++;
    send_request(caller);
}

/// Starts what is due at the rate; late ones are sent at once.
static void
start_due(void *context)
{
    (void)context;
    int64_t now_us = clock_now_us(&client.clock);
    int64_t due = (now_us - client.first_us) * client.rate / US_PER_S + 1;
    while (client.started < client.count && client.started < due) {
        start_request();
    }
    if (client.started < client.count) {
        loop_timer_start(&client.loop, &client.rate_timer, US_PER_MS,
                         start_due, NULL);
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
    {"customer", 'u', "NAME", 0, "Value of ibisfield-customer", 0},
    {"request", 'q', "METHOD PATH WEIGHT", 0, "Kind of request", 0},
    {"count", 'n', "N", 0, "Requests in all", 0},
    {"concurrency", 'c', "N", 0, "Requests at the same time", 0},
    {"rate", 'r', "N", 0, "Requests a second instead of concurrency", 0},
    {"warm-up", 'w', "N", 0, "First requests without a latency", 0},
    {"seed", 's', "N", 0, "Seed of the choice of requests", 0},
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
            argp_error(state, "--target and --request are needed");
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
                                          CONNECTIONS_MAX, ANSWER_BYTES_MAX);
    }
    client.first_us = clock_now_us(&client.clock);
    if (client.rate > 0) {
        start_due(NULL);
    }
    for (int32_t i = 0; client.rate == 0 && i < client.concurrency; i++) {
        start_request();
    }
    loop_run(&client.loop);
    print_summary();
    return client.cut + client.wrong == 0 ? 0 : 1;
}
