/// @file
/// Leaving: by an operator, by the upstream and by SIGTERM, with keys in use,
/// calls that don't end, and a second signal.

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

/// Two services with one VM each.
static void
start_bed(testbed_t *bed, const char *settings)
{
    static const char *const upstream[] = {"--slots", "4", NULL};
    testbed_init(bed);
    CU_ASSERT_TRUE(testbed_publish(bed, "contract/acme", contract));
    testbed_add_vm(bed, "solo", "north", settings, upstream);
    testbed_add_vm(bed, "other", "north", settings, upstream);
    CU_ASSERT_TRUE_FATAL(testbed_wait_ready(bed));
}

static text_response_t
look(const testbed_vm_t *vm)
{
    return call(vm->address, PORT_CALLER, "GET", "/look", CUSTOMER, NULL);
}

/// Returns a fresh key for a booking; "" if none was issued.
static char *
obtain_key(const testbed_vm_t *vm)
{
    text_response_t answer = call(vm->address, PORT_CALLER, "POST", "/book",
                                  "host: acme.example", "tent");
    const char *found = strstr(answer.headers, "ibisfield-key: ");
    char *key = NULL;
    if (found != NULL) {
        found += strlen("ibisfield-key: ");
        key = g_strndup(found, strcspn(found, "\n"));
    }
    text_response_free(&answer);
    return key == NULL ? g_strdup("") : key;
}

static text_response_t
book(const testbed_vm_t *vm, const char *key)
{
    char *header =
        g_strdup_printf("host: acme.example\nibisfield-key: %s", key);
    text_response_t answer =
        call(vm->address, PORT_CALLER, "POST", "/book", header, "tent");
    g_free(header);
    return answer;
}

/// Guards against new work for a VM that an operator drains.
static void
test_drain_by_an_operator(void)
{
    testbed_t bed;
    start_bed(&bed, ", \"key_linger_ms\": 100");
    testbed_vm_t *vm = &bed.vms[0];
    assert_response(
        call(vm->address, PORT_OPERATOR, "POST", "/drain", NULL, ""), 200, "");
    assert_response(
        call(vm->address, PORT_OPERATOR, "GET", "/health", NULL, NULL), 503,
        "");
    assert_response(look(&bed.vms[1]), 503, "ibisfield-outcome: not-run\n");
    assert_response(look(vm), 503, "ibisfield-reason: leaving\n");
    CU_ASSERT_EQUAL(process_stop(&vm->node, SIGTERM), 0);
    testbed_finish(&bed);
}

static bool
refuses_as_leaving(void *context)
{
    text_response_t answer = look(context);
    bool refuses = answer.status == 503 &&
                   strstr(answer.headers, "reason: leaving\n") != NULL;
    text_response_free(&answer);
    return refuses;
}

/// Guards against new work for an upstream that reports draining.
static void
test_drain_by_the_upstream(void)
{
    testbed_t bed;
    start_bed(&bed, "");
    testbed_vm_t *vm = &bed.vms[0];
    assert_response(look(vm), 200, "ibisfield-outcome: answered\n");
    assert_response(
        call(vm->address, PORT_UPSTREAM, "POST", "/test/drain", NULL, ""), 200,
        "");
    CU_ASSERT_TRUE(wait_until(refuses_as_leaving, vm));
    testbed_finish(&bed);
}

/// Guards against keys whose owner leaves before they can be used, and against
/// a leaving node that issues keys which nobody can use.
static void
test_keys_are_served_while_lingering(void)
{
    testbed_t bed;
    start_bed(&bed, ", \"key_linger_ms\": 15000");
    testbed_vm_t *owner = &bed.vms[0];
    char *key = obtain_key(owner);
    CU_ASSERT_TRUE(key[0] != '\0');
    kill(owner->node.pid, SIGTERM);
    CU_ASSERT_TRUE(process_wait_log(&owner->node, "event=shutdown_started"));
    char *none = obtain_key(owner);
    CU_ASSERT_STRING_EQUAL(none, "");
    assert_response(book(&bed.vms[1], key), 200,
                    "ibisfield-outcome: answered\n");
    assert_response(book(owner, key), 200, "ibisfield-outcome: answered\n");
    g_free(key);
    g_free(none);
    testbed_finish(&bed);
}

static bool
has_request_in_flight(void *context)
{
    return node_metric(context, "ibisfield_guard_in_flight") > 0;
}

/// Starts a request that the upstream doesn't answer in time.
static void
start_endless_call(testbed_t *bed, process_t *client)
{
    testbed_vm_t *vm = &bed->vms[0];
    assert_response(call(vm->address, PORT_UPSTREAM, "POST",
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

/// Guards against a stop that closes the egress before the upstream has made
/// the calls that a request in flight needs.
static void
test_upstream_calls_on_after_the_linger(void)
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
    call_in_flight_t *flight = call_start(sender->address, PORT_CALLER, "GET",
                                          "/look", CUSTOMER, NULL);
    CU_ASSERT_TRUE(wait_until(has_request_in_flight, stopped));
    CU_ASSERT_EQUAL(process_stop(&stopped->node, SIGTERM), 0);
    assert_response(call_wait(flight), 200, "ibisfield-outcome: answered\n");
    testbed_finish(&bed);
}

/// Guards against a stop that never ends, and against an exit code that hides
/// cut calls.
static void
test_hard_limit_ends_the_drain(void)
{
    testbed_t bed;
    process_t client = {0};
    start_bed(&bed, ", \"key_linger_ms\": 100, \"drain_limit_ms\": 1000");
    testbed_vm_t *vm = &bed.vms[0];
    start_endless_call(&bed, &client);
    CU_ASSERT_EQUAL(process_stop(&vm->node, SIGTERM), 1);
    CU_ASSERT_TRUE(
        process_has_logged(&vm->node, "event=drain_limit_reached cut="));
    CU_ASSERT_FALSE(process_has_logged(&vm->node, "cut=0"));
    process_finish(&client);
    testbed_finish(&bed);
}

/// Guards against a node that can't be stopped during its drain.
static void
test_second_signal_stops_at_once(void)
{
    testbed_t bed;
    process_t client = {0};
    start_bed(&bed, ", \"drain_limit_ms\": 600000");
    testbed_vm_t *vm = &bed.vms[0];
    start_endless_call(&bed, &client);
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
        {"keys while lingering", test_keys_are_served_while_lingering},
        {"upstream calls on", test_upstream_calls_on_after_the_linger},
        {"hard limit", test_hard_limit_ends_the_drain},
        {"second signal", test_second_signal_stops_at_once},
        CU_TEST_INFO_NULL,
    };
    return run_suite("shutdown", tests);
}
