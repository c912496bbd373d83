/// @file
/// Planned replacement of every node, one after another, under load. Guards
/// against a stop that cuts requests, and against bookings that run twice or
/// are lost because the owner of their key is replaced.

#include <signal.h>

#include "common/booking.h"
#include "common/suite.h"

/// Requests of one client; clients follow one another until all is replaced.
#define REQUESTS 1000

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
    int64_t whole, failed, wrong, cut, without_outcome, booked;
} scene_t;

static bool
has_listed(const char *log)
{
    return strstr(log, "event=ready") != NULL;
}

static void
add_summary(scene_t *scene, struct json_object *summary)
{
    scene->whole += json_number(summary, "whole");
    scene->failed += json_number(summary, "failed");
    scene->wrong += json_number(summary, "wrong");
    scene->cut += json_number(summary, "cut");
    scene->without_outcome += json_number(summary, "without_outcome");
    scene->booked += json_number(summary, "keyed");
    scene->clients++;
}

/// Runs clients until the replacement is over.
static void *
run_load(void *context)
{
    scene_t *scene = context;
    char *first =
        g_strdup_printf("%s:%d", scene->bed.vms[0].address, PORT_CALLER);
    char *second =
        g_strdup_printf("%s:%d", scene->bed.vms[1].address, PORT_CALLER);
    const char *const arguments[] = {
        "--target",     first,         "--target",
        second,         "--customer",  "acme",
        "--seed",       "5",           "--concurrency",
        "12",           "--count",     G_STRINGIFY(REQUESTS),
        "--request",    "GET /look 3", "--request",
        "POST /book 1", NULL};
    while (!g_atomic_int_get(&scene->stop)) {
        process_t client = {0};
        int exit_code = -1;
        testbed_start_client(&scene->bed, &client, arguments);
        struct json_object *summary =
            testbed_client_summary(&client, &exit_code);
        add_summary(scene, summary);
        json_object_put(summary);
    }
    g_free(first);
    g_free(second);
    return NULL;
}

static bool
has_new_calls(void *context)
{
    const testbed_vm_t *vm = context;
    const char *metric = vm->upstream_arguments == NULL
                             ? "ibisfield_calls_answered_total"
                             : "ibisfield_guard_requests_total";
    return node_metric(vm, metric) > 20;
}

/// Replaces one node once it takes part in the load.
static void
replace_node(scene_t *scene, testbed_vm_t *vm)
{
    CU_ASSERT_TRUE(wait_until(has_new_calls, vm));
    int exit_code = process_stop(&vm->node, SIGTERM);
    char *log = process_log(&vm->node);
    CU_ASSERT_EQUAL(exit_code, 0);
    if (exit_code != 0) {
        size_t len = strlen(log);
        fprintf(stderr, "WRONG %s: exit %d: %s\n", vm->vm, exit_code,
                len > 600 ? log + len - 600 : log);
    }
    CU_ASSERT_TRUE(has_listed(log));
    CU_ASSERT_PTR_NULL(strstr(log, "drain_limit_reached"));
    g_free(log);
    CU_ASSERT_TRUE(testbed_start_node(&scene->bed, vm));
    CU_ASSERT_TRUE(testbed_wait_ready(&scene->bed));
}

static void
test_rolling_replacement(void)
{
    static scene_t scene;
    testbed_t *bed = &scene.bed;
    testbed_init(bed);
    CU_ASSERT_TRUE(testbed_publish(bed, "contract/acme", contract));
    const char *settings = ", \"key_linger_ms\": 2000";
    testbed_add_vm(bed, "front", "north", settings, NULL);
    testbed_add_vm(bed, "front", "south", settings, NULL);
    testbed_add_vm(bed, "back", "north", settings, back_upstream);
    testbed_add_vm(bed, "back", "south", settings, back_upstream);
    testbed_add_vm(bed, "back", "south", settings, back_upstream);
    CU_ASSERT_TRUE_FATAL(testbed_wait_ready(bed));
    GThread *load = g_thread_new("load", run_load, &scene);
    for (int i = 0; i < bed->vm_count; i++) {
        replace_node(&scene, &bed->vms[i]);
    }
    CU_ASSERT_TRUE(wait_until(has_new_calls, &bed->vms[bed->vm_count - 1]));
    g_atomic_int_set(&scene.stop, 1);
    g_thread_join(load);
    int keys = 0;
    CU_ASSERT_TRUE(max_runs_per_key(bed, &keys) <= 1);
    CU_ASSERT_EQUAL(scene.wrong, 0);
    CU_ASSERT_EQUAL(scene.cut, 0);
    CU_ASSERT_EQUAL(scene.without_outcome, 0);
    CU_ASSERT_EQUAL(scene.failed, 0);
    CU_ASSERT_EQUAL(scene.whole, (int64_t)scene.clients * REQUESTS);
    CU_ASSERT_EQUAL(keys, scene.booked);
    testbed_finish(bed);
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"rolling replacement", test_rolling_replacement},
        CU_TEST_INFO_NULL,
    };
    return run_suite("faults_rolling", tests);
}
