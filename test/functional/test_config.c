/// @file
/// Distribution of configuration between node processes.

#include <signal.h>
#include <stdio.h>

#include "common/suite.h"
#include "common/testbed.h"

#define CONTRACT "contract/acme"
#define RACING_CHANGES INT64_C(40)

/// Condition to wait for: a contract version on all VMs from index @p first.
typedef struct {
    testbed_t *bed;
    const char *name;
    int64_t version;
    int first;
} expectation_t;

static char *
contract_text(int worth)
{
    return g_strdup_printf(
        "{\"customer\": \"acme\", \"hosts\": [\"acme.example\"],"
        " \"retries\": 1, \"client_retry_percent\": 10, \"kinds\": ["
        "{\"name\": \"status\", \"service\": \"order-tracking\","
        " \"method\": \"GET\", \"path\": \"/status\", \"worth\": %d,"
        " \"deadline_ms\": 1000, \"run\": \"repeatable\"}]}",
        worth);
}

static void
publish(testbed_t *bed, int worth)
{
    char *text = contract_text(worth);
    CU_ASSERT_TRUE(testbed_publish(bed, CONTRACT, text));
    g_free(text);
}

static void
post_platform(testbed_t *bed, const char *path)
{
    text_response_t response =
        http_call(bed->address, PORT_PLATFORM, "POST", path, NULL, "");
    CU_ASSERT_EQUAL(response.status, 200);
    text_response_free(&response);
}

static int64_t
platform_stat(testbed_t *bed, const char *name)
{
    text_response_t response = http_call(bed->address, PORT_PLATFORM, "GET",
                                         "/test/stats", NULL, NULL);
    struct json_object *stats = json_tokener_parse(response.body);
    int64_t value = json_number(stats, name);
    json_object_put(stats);
    text_response_free(&response);
    return value;
}

/// Returns the object "configuration" of a node's status; NULL if the node
/// does not respond. The caller releases it with json_object_put().
static struct json_object *
configuration_of(const testbed_vm_t *vm)
{
    text_response_t response =
        http_call(vm->address, PORT_OPERATOR, "GET", "/status", NULL, NULL);
    struct json_object *status =
        response.status == 200 ? json_tokener_parse(response.body) : NULL;
    struct json_object *configuration = NULL;
    if (json_object_object_get_ex(status, "configuration", &configuration)) {
        json_object_get(configuration);
    }
    json_object_put(status);
    text_response_free(&response);
    return configuration;
}

/// Returns the version in force, -1 if there is none or the node isn't ready.
static int64_t
version_at(const testbed_vm_t *vm, const char *name)
{
    struct json_object *configuration = configuration_of(vm);
    struct json_object *contracts = NULL;
    struct json_object *ready = NULL;
    int64_t version = -1;
    if (json_object_object_get_ex(configuration, "ready", &ready) &&
        json_object_get_boolean(ready) &&
        json_object_object_get_ex(configuration, "contracts", &contracts))
    {
        version = json_number(contracts, name);
    }
    json_object_put(configuration);
    return version;
}

static int
count_refusing(testbed_t *bed)
{
    int count = 0;
    for (int i = 0; i < bed->vm_count; i++) {
        struct json_object *refused = NULL;
        struct json_object *configuration = configuration_of(&bed->vms[i]);
        count +=
            json_object_object_get_ex(configuration, "refused", &refused) &&
            json_object_array_length(refused) > 0;
        json_object_put(configuration);
    }
    return count;
}

static bool
has_version(void *context)
{
    const expectation_t *expected = context;
    for (int i = expected->first; i < expected->bed->vm_count; i++) {
        if (version_at(&expected->bed->vms[i], expected->name) !=
            expected->version) {
            return false;
        }
    }
    return true;
}

static bool
wait_version(testbed_t *bed, int64_t version)
{
    expectation_t expected = {bed, CONTRACT, version, 0};
    return wait_until(has_version, &expected);
}

/// Starts the nodes of data centre "north", then those of "south".
static void
start_nodes(testbed_t *bed, int per_data_centre)
{
    testbed_init(bed);
    publish(bed, 10);
    for (int i = 0; i < 2 * per_data_centre; i++) {
        testbed_add_vm(bed, "order-tracking",
                       i < per_data_centre ? "north" : "south", "", NULL);
    }
    CU_ASSERT_TRUE_FATAL(testbed_wait_ready(bed));
    CU_ASSERT_TRUE_FATAL(wait_version(bed, 1));
}

static void
restart_node(testbed_t *bed, testbed_vm_t *vm)
{
    process_stop(&vm->node, SIGKILL);
    process_finish(&vm->node);
    char *settings = g_strdup_printf("%s/%s.json", bed->directory, vm->vm);
    char *log = g_strdup_printf("%s/%02d-%s.log", bed->directory,
                                bed->log_count++, vm->vm);
    const char *const arguments[] = {IBISFIELD_BUILD_DIR "/ibisfield", "run",
                                     settings, NULL};
    CU_ASSERT_TRUE_FATAL(process_start(&vm->node, log, arguments));
    g_free(settings);
    g_free(log);
}

static bool
all_long_polls_wait(void *context)
{
    return platform_stat(context, "waiting") == INT64_C(2) * 3 * 2;
}

/// Guards against a change that misses a node, against more than three nodes
/// of a data centre that read the platform, and against an invalid contract
/// that comes into force, is not reported, or prevents the adoption of the
/// next valid one.
static void
test_change_and_refusal(void)
{
    testbed_t bed;
    start_nodes(&bed, 5);
    CU_ASSERT_TRUE(wait_until(all_long_polls_wait, &bed));
    publish(&bed, 20);
    CU_ASSERT_TRUE(wait_version(&bed, 2));
    CU_ASSERT_TRUE(testbed_publish(&bed, CONTRACT, "{\"customer\": 5}"));
    for (int i = 0; i < 600 && count_refusing(&bed) < 2 * 3; i++) {
        g_usleep(100000);
    }
    CU_ASSERT_EQUAL(count_refusing(&bed), 2 * 3);
    CU_ASSERT_TRUE(wait_version(&bed, 2));
    publish(&bed, 30);
    CU_ASSERT_TRUE(wait_version(&bed, 4));
    CU_ASSERT_EQUAL(count_refusing(&bed), 0);
    testbed_finish(&bed);
}

/// Guards against nodes that discard their configuration, or miss later
/// changes, when the platform fails or hangs.
static void
test_platform_fails_and_hangs(void)
{
    static const char *const modes[] = {"/test/mode?mode=fail",
                                        "/test/mode?mode=hang"};
    testbed_t bed;
    start_nodes(&bed, 3);
    for (int i = 0; i < 2; i++) {
        int64_t reads = platform_stat(&bed, "reads");
        post_platform(&bed, modes[i]);
        publish(&bed, 20 + i);
        for (int j = 0; j < 600; j++) {
            if (platform_stat(&bed, "reads") >= reads + 24) {
                break;
            }
            g_usleep(100000);
        }
        CU_ASSERT_TRUE(wait_version(&bed, 1 + i));
        post_platform(&bed, "/test/mode?mode=up");
        CU_ASSERT_TRUE(wait_version(&bed, 2 + i));
    }
    testbed_finish(&bed);
}

/// Guards against a restarted node that adopts an older version than it had
/// from a platform that returns an older state, and against nodes that ignore
/// changes after the platform has returned to an older state.
static void
test_restart_while_platform_is_stale(void)
{
    testbed_t bed;
    start_nodes(&bed, 3);
    char *stale = g_strdup_printf("/test/visible?prefix=contract/&revision=1");
    publish(&bed, 20);
    CU_ASSERT_TRUE(wait_version(&bed, 2));
    post_platform(&bed, stale);
    for (int i = 0; i < bed.vm_count; i++) {
        testbed_vm_t *vm = &bed.vms[i];
        restart_node(&bed, vm);
        int64_t version = -1;
        for (int j = 0; j < 600 && version == -1; j++) {
            version = version_at(vm, CONTRACT);
            g_usleep(version == -1 ? 100000 : 0);
        }
        CU_ASSERT_EQUAL(version, 2);
    }
    post_platform(&bed, "/test/visible?prefix=contract/&revision=0");
    publish(&bed, 30);
    CU_ASSERT_TRUE(wait_version(&bed, 3));
    g_free(stale);
    testbed_finish(&bed);
}

/// Guards against nodes that miss changes, or can't start, while only the
/// connection of their data centre to the platform is down.
static void
test_data_centre_without_platform(void)
{
    testbed_t bed;
    testbed_init(&bed);
    publish(&bed, 10);
    for (int i = 0; i < 3; i++) {
        testbed_add_vm(&bed, "order-tracking", "north", "", NULL);
    }
    char *seeds = g_strdup_printf(", \"seeds\": [\"%s:%d\"]",
                                  bed.vms[0].address, PORT_CONTROL);
    g_strlcpy(bed.platform_address_for_vms, bed.vms[0].address,
              sizeof(bed.platform_address_for_vms));
    for (int i = 0; i < 4; i++) {
        testbed_add_vm(&bed, "order-tracking", "south", seeds, NULL);
    }
    CU_ASSERT_TRUE(testbed_wait_ready(&bed));
    CU_ASSERT_TRUE(wait_version(&bed, 1));
    publish(&bed, 20);
    CU_ASSERT_TRUE(wait_version(&bed, 2));
    g_free(seeds);
    testbed_finish(&bed);
}

/// Guards against changes that arrive out of order and leave an older version
/// in force, and against a version in force that decreases meanwhile.
static void
test_racing_changes(void)
{
    testbed_t bed;
    start_nodes(&bed, 3);
    int64_t seen[TESTBED_VMS_MAX] = {0};
    for (int i = 0; i < RACING_CHANGES; i++) {
        publish(&bed, 1 + i);
        publish(&bed, 2 + i);
        testbed_vm_t *vm = &bed.vms[i % bed.vm_count];
        int64_t version = version_at(vm, CONTRACT);
        CU_ASSERT_TRUE(version >= seen[i % bed.vm_count]);
        seen[i % bed.vm_count] = version;
    }
    CU_ASSERT_TRUE(wait_version(&bed, 1 + 2 * RACING_CHANGES));
    testbed_finish(&bed);
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"change and refusal", test_change_and_refusal},
        {"platform fails and hangs", test_platform_fails_and_hangs},
        {"restart, stale platform", test_restart_while_platform_is_stale},
        {"cut-off data centre", test_data_centre_without_platform},
        {"racing changes", test_racing_changes},
        CU_TEST_INFO_NULL,
    };
    return run_suite("config", tests);
}
