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

#define ONE_TENANT "[" TENANT("ws-b", "\"" KEY_B "\"") "]"
/// Of the nodes in the tests of revocation.
#define REVOKE_SETTING ",\"access_key_revoke_s\":\"5\""

/// Between the store and the node of the first machine.
static process_t store_relay;

static void
read_store_through_relay(machine_t *machine)
{
    if (machine == &site.machines[0]) {
        start_store_relay(machine, &store_relay);
    }
}

static void
start_site_with_revocation(void)
{
    site_extra_settings = REVOKE_SETTING;
    start_site_with_addresses(MACHINES_DEFAULT, read_store_through_relay);
    publish_site();
    publish_tenants(5, TWO_TENANTS);
    CU_ASSERT_EQUAL(status_with_key(0, "id-first", KEY_A), 200);
}

static void
stop_site_with_revocation(void)
{
    process_finish(&store_relay);
    stop_site();
    site_extra_settings = "";
}

/// Returns whether every request that the first node gets in @p for_us has
/// @p status.
static bool
all_have_status(const char *key, gint64 for_us, int status)
{
    gint64 end_us = g_get_monotonic_time() + for_us;
    for (int i = 0; g_get_monotonic_time() < end_us; i++) {
        char id[24];
        g_snprintf(id, sizeof(id), "id-%s-%d", key, i);
        if (status_with_key(0, id, key) != status) {
            return false;
        }
        g_usleep(100000);
    }
    return true;
}

/// Guards against a node that accepts keys that were taken away while the
/// store doesn't answer it, and against one that refuses all keys although
/// other nodes can prove what it knows.
static void
test_node_cut_off_from_the_store_lives_on_others(void)
{
    start_site_with_revocation();
    kill(store_relay.pid, SIGSTOP);
    CU_ASSERT_TRUE(all_have_status(KEY_B, (gint64)7 * G_USEC_PER_SEC, 200));
    put_desired_state_with_tenants(7, NULL, ONE_TENANT);
    g_usleep((gulong)5 * G_USEC_PER_SEC);
    CU_ASSERT_EQUAL(status_with_key(0, "id-a", KEY_A), 401);
    CU_ASSERT_EQUAL(status_with_key(0, "id-b", KEY_B), 200);
    stop_site_with_revocation();
}

/// The same for a node that is cut off from the other nodes, too: it refuses
/// all keys before the time is over, and also after it has been suspended.
static void
test_node_without_proof_refuses_keys(void)
{
    start_site_with_revocation();
    process_t *node = &site.machines[0].node;
    kill(store_relay.pid, SIGSTOP);
    for (int i = 1; i < MACHINES_DEFAULT; i++) {
        kill(site.machines[i].node.pid, SIGSTOP);
    }
    CU_ASSERT_TRUE(
        process_wait_log(node, "event=access_keys_current current=0"));
    text_response_t response = request_with_key(0, "/read/a", "id-1", KEY_A);
    CU_ASSERT_EQUAL(response.status, 503);
    CU_ASSERT_PTR_NOT_NULL(strstr(response.body, "access-keys-not-current"));
    text_response_free(&response);
    for (int i = 1; i < MACHINES_DEFAULT; i++) {
        kill(site.machines[i].node.pid, SIGCONT);
    }
    CU_ASSERT_TRUE(
        process_wait_log(node, "event=access_keys_current current=1"));
    kill(node->pid, SIGSTOP);
    put_desired_state_with_tenants(7, NULL, ONE_TENANT);
    g_usleep((gulong)5 * G_USEC_PER_SEC);
    kill(node->pid, SIGCONT);
    CU_ASSERT_NOT_EQUAL(status_with_key(0, "id-2", KEY_A), 200);
    stop_site_with_revocation();
}

/// Guards against a restarted node that accepts a key which was taken away.
static void
test_restarted_node_knows_no_old_keys(void)
{
    start_site_with_revocation();
    put_desired_state_with_tenants(7, NULL, ONE_TENANT);
    wait_nodes_logged("event=contracts_in_force version=7 ");
    process_finish(&site.machines[0].node);
    start_node(&site.machines[0]);
    CU_ASSERT_TRUE(process_wait_log(&site.machines[0].node,
                                    "event=contracts_in_force version=7 "));
    CU_ASSERT_EQUAL(status_with_key(0, "id-a", KEY_A), 401);
    CU_ASSERT_EQUAL(status_with_key(0, "id-b", KEY_B), 200);
    stop_site_with_revocation();
}

#define CAP_PER_S 10
#define CAP_TEST_US ((gint64)4 * G_USEC_PER_SEC)
#define CAPPED_TENANT                                                         \
    "[{\"name\":\"ws-a\",\"api_keys\":[\"" KEY_A                              \
    "\"],\"priority\":1,\"rate_per_s\":10,\"burst\":10}," TENANT(             \
        "ws-b", "\"" KEY_B "\"") "]"

/// Guards against a cap that each node gives out whole, refusals that don't
/// say when to come back, and a workspace without a cap that is refused.
static void
test_usage_cap_holds_over_all_nodes(void)
{
    start_site(MACHINES_DEFAULT);
    publish_site();
    publish_tenants(5, CAPPED_TENANT);
    gint64 start_us = g_get_monotonic_time();
    int answered = 0;
    int refused = 0;
    for (int i = 0; g_get_monotonic_time() - start_us < CAP_TEST_US; i++) {
        char id[24];
        g_snprintf(id, sizeof(id), "id-a-%d", i);
        text_response_t response =
            request_with_key(i % MACHINES_DEFAULT, "/read/a", id, KEY_A);
        answered += response.status == 200;
        if (response.status == 429) {
            refused++;
            char *retry_after = response_header(&response, "retry-after");
            CU_ASSERT_PTR_NOT_NULL(retry_after);
            g_free(retry_after);
        }
        text_response_free(&response);
        g_snprintf(id, sizeof(id), "id-b-%d", i);
        CU_ASSERT_EQUAL(status_with_key(i % MACHINES_DEFAULT, id, KEY_B), 200);
    }
    double elapsed_s =
        (double)(g_get_monotonic_time() - start_us) / G_USEC_PER_SEC;
    CU_ASSERT_TRUE(answered <= 1.25 * CAP_PER_S * (elapsed_s + 1) + 20);
    CU_ASSERT_TRUE(answered > 0);
    CU_ASSERT_TRUE(refused > 0);
    stop_site();
}

int
main(void)
{
    signal(SIGPIPE, SIG_IGN);
    CU_TestInfo tests[] = {
        {"keys", test_keys_decide_the_workspace},
        {"contradictory keys", test_contradictory_keys_are_refused},
        {"cut off from the store",
         test_node_cut_off_from_the_store_lives_on_others},
        {"cut off from all", test_node_without_proof_refuses_keys},
        {"usage cap", test_usage_cap_holds_over_all_nodes},
        {"restarted node", test_restarted_node_knows_no_old_keys},
        CU_TEST_INFO_NULL,
    };
    return run_suite("workspaces", tests);
}
