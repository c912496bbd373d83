/// @file
/// Draining by an operator, by the upstream and by SIGTERM: with keys in use,
/// with calls that don't end, and with a second signal.

#include <signal.h>

#include "common/suite.h"
#include "common/testbed.h"

#define CUSTOMER "ibisfield-customer: acme"

static const char contract[] =
    "{\"customer\": \"acme\", \"hosts\": [\"acme.example\"], \"retries\": 0,"
    " \"client_retry_percent\": 100, \"kinds\": ["
    "{\"name\": \"look\", \"service\": \"solo\", \"method\": \"GET\","
    " \"path\": \"/look\", \"worth\": 10, \"deadline_ms\": 60000,"
    " \"run\": \"repeatable\"},"
    "{\"name\": \"other\", \"service\": \"other\", \"method\": \"GET\","
    " \"path\": \"/other/look\", \"worth\": 10, \"deadline_ms\": 60000,"
    " \"run\": \"repeatable\"},"
    "{\"name\": \"book\", \"service\": \"other\", \"method\": \"POST\","
    " \"path\": \"/book\", \"worth\": 90, \"deadline_ms\": 60000,"
    " \"run\": \"once\", \"resend_s\": 60}]}";

/// Starts two services with one VM each.
static void
start_testbed(testbed_t *bed, const char *settings)
{
    static const char *const upstream[] = {"--slots", "4", NULL};
    testbed_init(bed);
    CU_ASSERT_TRUE(testbed_publish(bed, "contract/acme", contract));
    testbed_add_vm(bed, "solo", "north", settings, upstream);
    testbed_add_vm(bed, "other", "north", settings, upstream);
    CU_ASSERT_TRUE_FATAL(testbed_wait_ready(bed));
}

static text_response_t
call_look(const testbed_vm_t *vm)
{
    return http_call(vm->address, PORT_CALLER, "GET", "/look", CUSTOMER, NULL);
}

/// Requests a new key for the kind "book"; returns "" if none was issued.
static char *
request_key(const testbed_vm_t *vm)
{
    text_response_t response =
        http_call(vm->address, PORT_CALLER, "POST", "/book",
                  "host: acme.example", "tent");
    const char *found = strstr(response.headers, "ibisfield-key: ");
    char *key = NULL;
    if (found != NULL) {
        found += strlen("ibisfield-key: ");
        key = g_strndup(found, strcspn(found, "\n"));
    }
    text_response_free(&response);
    return key == NULL ? g_strdup("") : key;
}

static text_response_t
call_book(const testbed_vm_t *vm, const char *key)
{
    char *header =
        g_strdup_printf("host: acme.example\nibisfield-key: %s", key);
    text_response_t response =
        http_call(vm->address, PORT_CALLER, "POST", "/book", header, "tent");
    g_free(header);
    return response;
}

/// Guards against new requests to a VM that an operator drains.
static void
test_drain_by_an_operator(void)
{
    testbed_t bed;
    start_testbed(&bed, ", \"key_linger_ms\": 100");
    testbed_vm_t *vm = &bed.vms[0];
    assert_response(
        http_call(vm->address, PORT_OPERATOR, "POST", "/drain", NULL, ""), 200,
        "");
    assert_response(
        http_call(vm->address, PORT_OPERATOR, "GET", "/health", NULL, NULL),
        503, "");
    assert_response(call_look(&bed.vms[1]), 503,
                    "ibisfield-outcome: not-run\n");
    assert_response(call_look(vm), 503, "ibisfield-reason: leaving\n");
    CU_ASSERT_EQUAL(process_stop(&vm->node, SIGTERM), 0);
    testbed_finish(&bed);
}

static bool
refuses_as_draining(void *context)
{
    text_response_t response = call_look(context);
    bool refuses = response.status == 503 &&
                   strstr(response.headers, "reason: leaving\n") != NULL;
    text_response_free(&response);
    return refuses;
}

/// Guards against new requests to an upstream that reports draining.
static void
test_drain_by_the_upstream(void)
{
    testbed_t bed;
    start_testbed(&bed, "");
    testbed_vm_t *vm = &bed.vms[0];
    assert_response(call_look(vm), 200, "ibisfield-outcome: answered\n");
    assert_response(
        http_call(vm->address, PORT_UPSTREAM, "POST", "/test/drain", NULL, ""),
        200, "");
    CU_ASSERT_TRUE(wait_until(refuses_as_draining, vm));
    testbed_finish(&bed);
}

/// Guards against a node that shuts down before the keys it issued can be
/// used, and against one that issues keys during its shutdown, when it is too
/// late to use them.
static void
test_keys_are_served_during_linger(void)
{
    testbed_t bed;
    start_testbed(&bed, ", \"key_linger_ms\": 15000");
    testbed_vm_t *owner = &bed.vms[0];
    char *key = request_key(owner);
    CU_ASSERT_TRUE(key[0] != '\0');
    kill(owner->node.pid, SIGTERM);
    CU_ASSERT_TRUE(process_wait_log(&owner->node, "event=shutdown_started"));
    char *late_key = request_key(owner);
    CU_ASSERT_STRING_EQUAL(late_key, "");
    assert_response(call_book(&bed.vms[1], key), 200,
                    "ibisfield-outcome: answered\n");
    assert_response(call_book(owner, key), 200,
                    "ibisfield-outcome: answered\n");
    g_free(key);
    g_free(late_key);
    testbed_finish(&bed);
}

static bool
has_request_in_flight(void *context)
{
    return node_metric(context, "ibisfield_guard_in_flight") > 0;
}

/// Starts a call that doesn't end during the test: the upstream takes 300 s to
/// respond.
static void
start_long_call(testbed_t *bed, process_t *client)
{
    testbed_vm_t *vm = &bed->vms[0];
    assert_response(http_call(vm->address, PORT_UPSTREAM, "POST",
                              "/test/service/300000000", NULL, ""),
                    200, "");
    char *target = g_strdup_printf("%s:%d", vm->address, PORT_CALLER);
    const char *const arguments[] = {"--target", target,      "--customer",
                                     "acme",     "--request", "GET /look 1",
                                     NULL};
    CU_ASSERT_TRUE(testbed_start_client(bed, client, arguments));
    g_free(target);
    CU_ASSERT_TRUE(wait_until(has_request_in_flight, vm));
}

/// Guards against a shutdown that closes the egress while a request in flight
/// still depends on calls by its upstream.
static void
test_egress_stays_open_for_running_requests(void)
{
    static const char *const calls_other[] = {
        "--service-us", "1500000",     "--next", "EGRESS",
        "--next-path",  "/other/look", NULL};
    static const char *const other[] = {"--slots", "4", NULL};
    testbed_t bed;
    testbed_init(&bed);
    CU_ASSERT_TRUE(testbed_publish(&bed, "contract/acme", contract));
    const char *settings = ", \"key_linger_ms\": 100";
    testbed_vm_t *stopped =
        testbed_add_vm(&bed, "solo", "north", settings, calls_other);
    testbed_vm_t *sender = testbed_add_vm(&bed, "other", "north", "", other);
    CU_ASSERT_TRUE_FATAL(testbed_wait_ready(&bed));
    http_call_t *pending_call = http_call_start(
        sender->address, PORT_CALLER, "GET", "/look", CUSTOMER, NULL);
    CU_ASSERT_TRUE(wait_until(has_request_in_flight, stopped));
    CU_ASSERT_EQUAL(process_stop(&stopped->node, SIGTERM), 0);
    assert_response(http_call_wait(pending_call), 200,
                    "ibisfield-outcome: answered\n");
    testbed_finish(&bed);
}

/// Guards against a shutdown that never ends, and against an exit code that
/// doesn't show cut calls.
static void
test_hard_limit_ends_the_drain(void)
{
    testbed_t bed;
    process_t client = {0};
    start_testbed(&bed, ", \"key_linger_ms\": 100, \"drain_limit_ms\": 1000");
    testbed_vm_t *vm = &bed.vms[0];
    start_long_call(&bed, &client);
    CU_ASSERT_EQUAL(process_stop(&vm->node, SIGTERM), 1);
    CU_ASSERT_TRUE(
        process_has_logged(&vm->node, "event=drain_limit_reached cut="));
    CU_ASSERT_FALSE(process_has_logged(&vm->node, "cut=0"));
    process_finish(&client);
    testbed_finish(&bed);
}

/// Guards against a node that can't be stopped while it drains.
static void
test_second_signal_stops_at_once(void)
{
    testbed_t bed;
    process_t client = {0};
    start_testbed(&bed, ", \"drain_limit_ms\": 600000");
    testbed_vm_t *vm = &bed.vms[0];
    start_long_call(&bed, &client);
    kill(vm->node.pid, SIGTERM);
    CU_ASSERT_TRUE(process_wait_log(&vm->node, "event=shutdown_started"));
    CU_ASSERT_EQUAL(process_stop(&vm->node, SIGTERM), 1);
    CU_ASSERT_TRUE(process_has_logged(&vm->node, "event=stopped_at_once"));
    process_finish(&client);
    testbed_finish(&bed);
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"drain by an operator", test_drain_by_an_operator},
        {"drain by the upstream", test_drain_by_the_upstream},
        {"keys during linger", test_keys_are_served_during_linger},
        {"upstream calls on", test_egress_stays_open_for_running_requests},
        {"hard limit", test_hard_limit_ends_the_drain},
        {"second signal", test_second_signal_stops_at_once},
        CU_TEST_INFO_NULL,
    };
    return run_suite("shutdown", tests);
}
