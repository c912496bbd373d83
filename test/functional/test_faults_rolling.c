/// @file
/// Rolling restart of every node under load. Guards against a shutdown that
/// cuts off requests, and against bookings that run twice or are lost because
/// the owner of their key is restarted.

#include <signal.h>

#include "common/booking.h"
#include "common/suite.h"

/// Requests of one client process. Clients run one after another until every
/// node is restarted.
#define REQUESTS_PER_CLIENT 1000

static const char contract[] =
    "{\"customer\": \"acme\", \"hosts\": [\"acme.example\"], \"retries\": 3,"
    " \"client_retry_percent\": 100, \"kinds\": [" BOOKING_KINDS "]}";

static const char *const back_upstream[] = {"--name",  "back", "--log-runs",
                                            "--slots", "16",   "--service-us",
                                            "2000",    NULL};

typedef struct {
    testbed_t bed;
    int stop;
    int clients;
    int64_t complete, failed, wrong, cut, without_outcome, booked;
} scenario_t;

static bool
has_logged_ready(const char *log)
{
    return strstr(log, "event=ready") != NULL;
}

static void
add_summary(scenario_t *scenario, struct json_object *summary)
{
    scenario->complete += json_number(summary, "whole");
    scenario->failed += json_number(summary, "failed");
    scenario->wrong += json_number(summary, "wrong");
    scenario->cut += json_number(summary, "cut");
    scenario->without_outcome += json_number(summary, "without_outcome");
    scenario->booked += json_number(summary, "keyed");
    scenario->clients++;
}

/// Runs clients until @c stop is set.
static void *
run_clients(void *context)
{
    scenario_t *scenario = context;
    char *first =
        g_strdup_printf("%s:%d", scenario->bed.vms[0].address, PORT_CALLER);
    char *second =
        g_strdup_printf("%s:%d", scenario->bed.vms[1].address, PORT_CALLER);
    const char *const arguments[] = {
        "--target",     first,         "--target",
        second,         "--customer",  "acme",
        "--seed",       "5",           "--concurrency",
        "12",           "--count",     G_STRINGIFY(REQUESTS_PER_CLIENT),
        "--request",    "GET /look 3", "--request",
        "POST /book 1", NULL};
    while (!g_atomic_int_get(&scenario->stop)) {
        process_t client = {0};
        int exit_code = -1;
        testbed_start_client(&scenario->bed, &client, arguments);
        struct json_object *summary =
            testbed_client_summary(&client, &exit_code);
        add_summary(scenario, summary);
        json_object_put(summary);
    }
    g_free(first);
    g_free(second);
    return NULL;
}

static bool
has_handled_calls(void *context)
{
    const testbed_vm_t *vm = context;
    const char *metric = vm->upstream_arguments == NULL
                             ? "ibisfield_calls_answered_total"
                             : "ibisfield_guard_requests_total";
    return node_metric(vm, metric) > 20;
}

/// Restarts a node as soon as it handles requests of the clients, and checks
/// that its shutdown was graceful.
static void
restart_node(scenario_t *scenario, testbed_vm_t *vm)
{
    CU_ASSERT_TRUE(wait_until(has_handled_calls, vm));
    int exit_code = process_stop(&vm->node, SIGTERM);
    char *log = process_log(&vm->node);
    CU_ASSERT_EQUAL(exit_code, 0);
    if (exit_code != 0) {
        size_t len = strlen(log);
        fprintf(stderr, "unexpected exit code of %s: %d: %s\n", vm->vm,
                exit_code, len > 600 ? log + len - 600 : log);
    }
    CU_ASSERT_TRUE(has_logged_ready(log));
    CU_ASSERT_PTR_NULL(strstr(log, "drain_limit_reached"));
    g_free(log);
    CU_ASSERT_TRUE(testbed_start_node(&scenario->bed, vm));
    CU_ASSERT_TRUE(testbed_wait_ready(&scenario->bed));
}

static void
test_rolling_restart(void)
{
    static scenario_t scenario;
    testbed_t *bed = &scenario.bed;
    testbed_init(bed);
    CU_ASSERT_TRUE(testbed_publish(bed, "contract/acme", contract));
    const char *settings = ", \"key_linger_ms\": 2000";
    testbed_add_vm(bed, "front", "north", settings, NULL);
    testbed_add_vm(bed, "front", "south", settings, NULL);
    testbed_add_vm(bed, "back", "north", settings, back_upstream);
    testbed_add_vm(bed, "back", "south", settings, back_upstream);
    testbed_add_vm(bed, "back", "south", settings, back_upstream);
    CU_ASSERT_TRUE_FATAL(testbed_wait_ready(bed));
    GThread *client_thread = g_thread_new("load", run_clients, &scenario);
    for (int i = 0; i < bed->vm_count; i++) {
        restart_node(&scenario, &bed->vms[i]);
    }
    CU_ASSERT_TRUE(
        wait_until(has_handled_calls, &bed->vms[bed->vm_count - 1]));
    g_atomic_int_set(&scenario.stop, 1);
    g_thread_join(client_thread);
    int keys = 0;
    CU_ASSERT_TRUE(max_runs_per_key(bed, &keys) <= 1);
    CU_ASSERT_EQUAL(scenario.wrong, 0);
    CU_ASSERT_EQUAL(scenario.cut, 0);
    CU_ASSERT_EQUAL(scenario.without_outcome, 0);
    CU_ASSERT_EQUAL(scenario.failed, 0);
    CU_ASSERT_EQUAL(scenario.complete,
                    (int64_t)scenario.clients * REQUESTS_PER_CLIENT);
    CU_ASSERT_EQUAL(keys, scenario.booked);
    testbed_finish(bed);
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"rolling restart", test_rolling_restart},
        CU_TEST_INFO_NULL,
    };
    return run_suite("faults_rolling", tests);
}
