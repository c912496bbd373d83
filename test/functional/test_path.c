/// @file
/// Requests through nodes as separate processes: complete responses, keys, a
/// chain of services, and a shutdown under load.

#include <signal.h>

#include "common/suite.h"
#include "common/testbed.h"

#define CHAIN_REQUESTS 10000

/// Three services: front calls middle, middle calls back. Bookings go to back.
static const char contract[] =
    "{\"customer\": \"acme\", \"hosts\": [\"acme.example\"], \"retries\": 3,"
    " \"client_retry_percent\": 100, \"kinds\": ["
    "{\"name\": \"front\", \"service\": \"front\", \"method\": \"GET\","
    " \"path\": \"/front\", \"worth\": 10, \"deadline_ms\": 20000,"
    " \"run\": \"repeatable\"},"
    "{\"name\": \"middle\", \"service\": \"middle\", \"method\": \"GET\","
    " \"path\": \"/middle\", \"worth\": 10, \"deadline_ms\": 20000,"
    " \"run\": \"repeatable\"},"
    "{\"name\": \"back\", \"service\": \"back\", \"method\": \"GET\","
    " \"path\": \"/back\", \"worth\": 10, \"deadline_ms\": 20000,"
    " \"run\": \"repeatable\"},"
    "{\"name\": \"book\", \"service\": \"back\", \"method\": \"POST\","
    " \"path\": \"/book\", \"worth\": 90, \"deadline_ms\": 20000,"
    " \"run\": \"once\", \"resend_s\": 60}]}";

static const char *const front_upstream[] = {
    "--name", "front", "--next", "EGRESS", "--next-path", "/middle", NULL};
static const char *const middle_upstream[] = {
    "--name", "middle", "--next", "EGRESS", "--next-path", "/back", NULL};
static const char *const back_upstream[] = {"--name", "back", NULL};
/// Slow enough for the load to last beyond the exit of the draining nodes.
static const char *const slow_back_upstream[] = {
    "--name", "back", "--slots", "16", "--service-us", "8000", NULL};

/// Each service has one VM in each of two data centres.
static void
start_chain(testbed_t *bed, const char *settings, const char *const *back)
{
    testbed_init(bed);
    CU_ASSERT_TRUE(testbed_publish(bed, "contract/acme", contract));
    for (int i = 0; i < 2; i++) {
        const char *data_centre = i == 0 ? "north" : "south";
        testbed_add_vm(bed, "front", data_centre, settings, front_upstream);
        testbed_add_vm(bed, "middle", data_centre, settings, middle_upstream);
        testbed_add_vm(bed, "back", data_centre, settings, back);
    }
    CU_ASSERT_TRUE_FATAL(testbed_wait_ready(bed));
}

static char *
caller_target(const testbed_vm_t *vm)
{
    return g_strdup_printf("%s:%d", vm->address, PORT_CALLER);
}

static void
start_load(testbed_t *bed, process_t *client)
{
    char *first = caller_target(&bed->vms[0]);
    char *second = caller_target(&bed->vms[5]);
    const char *const arguments[] = {"--target",
                                     first,
                                     "--target",
                                     second,
                                     "--customer",
                                     "acme",
                                     "--seed",
                                     "7",
                                     "--count",
                                     G_STRINGIFY(CHAIN_REQUESTS),
                                     "--concurrency",
                                     "24",
                                     "--request",
                                     "GET /front 6",
                                     "--request",
                                     "GET /back 2",
                                     "--request",
                                     "POST /book 2",
                                     NULL};
    CU_ASSERT_TRUE_FATAL(testbed_start_client(bed, client, arguments));
    g_free(first);
    g_free(second);
}

/// Asserts that no booking ran twice at any upstream of "back". Returns the
/// number of keys that ran.
static int64_t
assert_keys_ran_once(const testbed_t *bed)
{
    int64_t keys = 0;
    for (int i = 2; i < bed->vm_count; i += 3) {
        text_response_t response = http_call(
            bed->vms[i].address, PORT_UPSTREAM, "GET", "/count", NULL, NULL);
        struct json_object *count = json_tokener_parse(response.body);
        CU_ASSERT_TRUE(json_number(count, "max_per_key") <= 1);
        keys += json_number(count, "keys");
        json_object_put(count);
        text_response_free(&response);
    }
    return keys;
}

/// Guards against responses that are truncated, mixed up or lost in a chain.
static void
test_chain_gives_complete_responses(void)
{
    testbed_t bed;
    process_t client = {0};
    int exit_code = -1;
    start_chain(&bed, "", back_upstream);
    start_load(&bed, &client);
    struct json_object *summary = testbed_client_summary(&client, &exit_code);
    CU_ASSERT_EQUAL(exit_code, 0);
    CU_ASSERT_EQUAL(json_number(summary, "whole"), CHAIN_REQUESTS);
    CU_ASSERT_EQUAL(json_number(summary, "wrong"), 0);
    CU_ASSERT_EQUAL(json_number(summary, "cut"), 0);
    CU_ASSERT_EQUAL(assert_keys_ran_once(&bed), json_number(summary, "keyed"));
    json_object_put(summary);
    testbed_finish(&bed);
}

static bool
has_received_calls(void *context)
{
    return node_metric(context, "ibisfield_calls_total") > 500;
}

/// Guards against a planned shutdown that drops requests in flight: an entry
/// and a VM in the middle of the chain drain under load.
static void
test_shutdown_under_load_loses_no_response(void)
{
    testbed_t bed;
    process_t client = {0};
    int exit_code = -1;
    start_chain(&bed, ", \"key_linger_ms\": 800", slow_back_upstream);
    start_load(&bed, &client);
    CU_ASSERT_TRUE(wait_until(has_received_calls, &bed.vms[0]));
    kill(bed.vms[0].node.pid, SIGTERM);
    kill(bed.vms[1].node.pid, SIGTERM);
    struct json_object *summary = testbed_client_summary(&client, &exit_code);
    CU_ASSERT_EQUAL(process_wait(&bed.vms[0].node), 0);
    CU_ASSERT_EQUAL(process_wait(&bed.vms[1].node), 0);
    CU_ASSERT_EQUAL(exit_code, 0);
    CU_ASSERT_EQUAL(json_number(summary, "cut"), 0);
    CU_ASSERT_EQUAL(json_number(summary, "whole"), CHAIN_REQUESTS);
    CU_ASSERT_TRUE(
        process_has_logged(&bed.vms[0].node, "event=shutdown_started"));
    CU_ASSERT_EQUAL(assert_keys_ran_once(&bed), json_number(summary, "keyed"));
    json_object_put(summary);
    testbed_finish(&bed);
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"chain", test_chain_gives_complete_responses},
        {"shutdown under load", test_shutdown_under_load_loses_no_response},
        CU_TEST_INFO_NULL,
    };
    return run_suite("path", tests);
}
