/// @file
/// Workspaces on the users' platform, with nodes as separate processes: access
/// keys, their revocation and usage caps.

#include <signal.h>
#include <stdio.h>
#include <unistd.h>

#include "common/store_site.h"
#include "common/suite.h"

#define KEY_A "key-of-a-1234567890"
#define KEY_B "key-of-b-1234567890"
#define TENANT(name, keys)                                                    \
    "{\"name\":\"" name "\",\"api_keys\":[" keys "],\"priority\":1}"
#define TWO_TENANTS                                                           \
    "[" TENANT("ws-a", "\"" KEY_A "\"") "," TENANT("ws-b", "\"" KEY_B "\"") "]"

static void
publish_tenants(int version, const char *tenants)
{
    char text[64];
    g_snprintf(text, sizeof(text), "event=contracts_in_force version=%d ",
               version);
    put_desired_state_with_tenants(version, "/open/", tenants);
    wait_nodes_logged(text);
}

static int
status_with_key(int machine, const char *id, const char *key)
{
    text_response_t response = request_with_key(machine, "/read/a", id, key);
    int status = response.status;
    text_response_free(&response);
    return status;
}

/// Guards against requests without a valid key that run, servers that get the
/// key or a workspace's name that the caller made up, calls of servers that
/// are refused because they carry no key, and keys in logs.
static void
test_keys_decide_the_workspace(void)
{
    start_site(MACHINES_DEFAULT);
    publish_site();
    publish_tenants(5, TWO_TENANTS);
    // The server of this request calls another service without a key.
    text_response_t response = request_with_key(0, "/read/a", "id-1", KEY_A);
    CU_ASSERT_EQUAL(response.status, 200);
    CU_ASSERT_PTR_NOT_NULL(strstr(response.body, "\"workspace\": \"ws-a\""));
    CU_ASSERT_PTR_NOT_NULL(strstr(response.body, "\"has_key\": false"));
    text_response_free(&response);
    CU_ASSERT_EQUAL(upstream_counter(2, "runs") + upstream_counter(3, "runs"),
                    1);
    response = request_with_key(0, "/open/a", "id-2", NULL);
    CU_ASSERT_EQUAL(response.status, 200);
    CU_ASSERT_PTR_NOT_NULL(strstr(response.body, "\"workspace\": \"\""));
    text_response_free(&response);
    int64_t runs = upstream_counter(0, "runs") + upstream_counter(1, "runs");
    CU_ASSERT_EQUAL(status_with_key(1, "id-3", NULL), 401);
    CU_ASSERT_EQUAL(status_with_key(1, "id-4", "made-up"), 401);
    // Has the form of a call's id, but no request "id-9" runs.
    CU_ASSERT_EQUAL(status_with_key(1, "id-9.1", NULL), 503);
    CU_ASSERT_EQUAL(status_with_key(1, "id-9.2", "made-up"), 401);
    CU_ASSERT_EQUAL(upstream_counter(0, "runs") + upstream_counter(1, "runs"),
                    runs);
    for (int i = 0; i < MACHINES_DEFAULT; i++) {
        CU_ASSERT_FALSE(process_has_logged(&site.machines[i].node, KEY_A));
        CU_ASSERT_FALSE(process_has_logged(&site.machines[i].node, "made-up"));
    }
    stop_site();
}

/// Guards against a version whose keys contradict each other that comes into
/// force in part, and against its keys in the log.
static void
test_contradictory_keys_are_refused(void)
{
    start_site(MACHINES_DEFAULT);
    publish_site();
    publish_tenants(5, TWO_TENANTS);
    put_desired_state_with_tenants(
        7, NULL,
        "[" TENANT("ws-a", "\"shared-key-1\"") "," TENANT(
            "ws-b", "\"shared-key-1\"") "]");
    wait_nodes_logged("event=desired_state_refused");
    CU_ASSERT_EQUAL(status_with_key(0, "id-1", KEY_B), 200);
    CU_ASSERT_EQUAL(status_with_key(0, "id-2", "shared-key-1"), 401);
    CU_ASSERT_FALSE(
        process_has_logged(&site.machines[0].node, "shared-key-1"));
    stop_site();
}

int
main(void)
{
    signal(SIGPIPE, SIG_IGN);
    CU_TestInfo tests[] = {
        {"keys", test_keys_decide_the_workspace},
        {"contradictory keys", test_contradictory_keys_are_refused},
        CU_TEST_INFO_NULL,
    };
    return run_suite("workspaces", tests);
}
