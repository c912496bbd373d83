/// @file
/// Nodes on the users' platform as separate processes: over the stand-ins of
/// its store and servers, through calms, changes, outages and stops.

#include <signal.h>
#include <stdio.h>
#include <unistd.h>

#include "common/store_site.h"
#include "common/suite.h"

/// Guards the whole path: before the first state, through a chain, and the
/// headers that the node sets itself.
static void
test_path(void)
{
    start_site(MACHINES_DEFAULT);
    text_response_t answer = request_via_node(0, "GET", "/read/a", "id-0");
    CU_ASSERT_EQUAL(answer.status, 503);
    char *retry = response_header(&answer, "retry-after");
    CU_ASSERT_PTR_NOT_NULL(strchr(retry, '.'));
    g_free(retry);
    text_response_free(&answer);
    CU_ASSERT_EQUAL(readiness(0), 503);
    publish_all();
    CU_ASSERT_EQUAL(readiness(0), 200);
    answer = request_via_node(2, "GET", "/read/a", "id-1");
    CU_ASSERT_EQUAL(answer.status, 200);
    CU_ASSERT_PTR_NOT_NULL(strstr(answer.headers, "x-server-seal: i-"));
    CU_ASSERT_PTR_NOT_NULL(strstr(answer.headers, "x-request-id: id-1"));
    CU_ASSERT_PTR_NOT_NULL(strstr(answer.body, "\"caller\": \"back\""));
    text_response_free(&answer);
    CU_ASSERT_EQUAL(upstream_count(0, "runs") + upstream_count(1, "runs"), 1);
    CU_ASSERT_EQUAL(upstream_count(2, "runs") + upstream_count(3, "runs"), 1);
    answer = request_via_node(0, "GET", "/other/a", "id-2");
    CU_ASSERT_EQUAL(answer.status, 404);
    text_response_free(&answer);
    stop_site();
}

/// Guards against states that go back, come into force in part, or are lost
/// with the store's history.
static void
test_desired_states(void)
{
    start_site(MACHINES_DEFAULT);
    publish_all();
    put_state(7, "/new/");
    wait_nodes_logged("event=contracts_in_force version=7 ");
    text_response_t answer = request_via_node(1, "GET", "/new/a", "id-1");
    CU_ASSERT_EQUAL(answer.status, 200);
    text_response_free(&answer);
    put_state(5, NULL);
    wait_nodes_logged("event=contracts_not_newer version=5 ");
    store_request("PUT", "/test/items/op/config", "{\"version\":9,\"rou");
    wait_nodes_logged("event=desired_state_refused");
    answer = request_via_node(1, "GET", "/new/a", "id-2");
    CU_ASSERT_EQUAL(answer.status, 200);
    text_response_free(&answer);
    store_request("POST", "/test/compact", "");
    wait_nodes_logged("event=store_history_gone");
    put_state(11, NULL);
    wait_nodes_logged("event=contracts_in_force version=11 ");
    store_request("PUT", "/test/items/servers/odd", "\x01\x02 not json");
    wait_nodes_logged("event=server_entry_refused upstream_vm=odd");
    answer = request_via_node(1, "GET", "/read/a", "id-3");
    CU_ASSERT_EQUAL(answer.status, 200);
    text_response_free(&answer);
    stop_site();
}

/// Guards against bookings that run twice, and against refusals while another
/// server has room.
static void
test_bookings(void)
{
    start_site(MACHINES_DEFAULT);
    publish_all();
    set_server_mode(2, "/test/reset/1");
    set_server_mode(3, "/test/reset/1");
    text_response_t answer = request_via_node(0, "POST", "/book/a", "id-lost");
    CU_ASSERT_EQUAL(answer.status, 502);
    text_response_free(&answer);
    CU_ASSERT_EQUAL(upstream_count(2, "runs") + upstream_count(3, "runs"), 1);
    set_server_mode(2, "/test/reset/0");
    set_server_mode(3, "/test/reset/0");
    // One server says that it did not run the request: the other one does.
    set_server_mode(2, "/test/hold/1");
    call_in_flight_t *held = call_start(site.machines[2].address,
                                        PORT_UPSTREAM, "GET", "/", NULL, "");
    while (upstream_count(2, "runs") + upstream_count(3, "runs") < 2) {
        g_usleep(10000);
    }
    set_server_mode(2, "/test/shed/1");
    int64_t before = upstream_count(2, "runs");
    int64_t before_other = upstream_count(3, "runs");
    int served = 0;
    for (int i = 0; i < 8; i++) {
        char id[16];
        g_snprintf(id, sizeof(id), "id-b%d", i);
        answer = request_via_node(0, "POST", "/book/b", id);
        served += answer.status == 200 ? 1 : 0;
        // The retry budget of so few requests is small; then the refusal says
        // that the booking has not run.
        CU_ASSERT_TRUE(answer.status == 200 || answer.status == 503);
        text_response_free(&answer);
    }
    CU_ASSERT_TRUE(served > 0);
    CU_ASSERT_EQUAL(upstream_count(2, "runs"), before);
    CU_ASSERT_EQUAL(upstream_count(3, "runs"), before_other + served);
    CU_ASSERT_EQUAL(upstream_count(3, "max_per_id"), 1);
    set_server_mode(2, "/test/hold/0");
    answer = call_wait(held);
    text_response_free(&answer);
    stop_site();
}

/// Guards against requests that run at a server that has another's address.
static void
test_another_instance_at_the_address(void)
{
    start_site(MACHINES_DEFAULT);
    publish_all();
    // Its old entry is still listed when another server has the address.
    process_stop(&site.machines[2].server, SIGKILL);
    g_strlcpy(site.machines[2].instance, "i-new",
              sizeof(site.machines[2].instance));
    start_server(&site.machines[2]);
    int served = 0;
    for (int i = 0; i < 6; i++) {
        text_response_t answer =
            request_via_node(0, "POST", "/book/a", "id-reuse");
        served += answer.status == 200 ? 1 : 0;
        CU_ASSERT_TRUE(answer.status == 200 || answer.status == 503);
        text_response_free(&answer);
    }
    // The request that meets the other server draws on the retry budget, which
    // is small here; after it the old entry is avoided.
    CU_ASSERT_TRUE(served >= 5);
    CU_ASSERT_EQUAL(upstream_count(2, "runs"), 0);
    CU_ASSERT_EQUAL(upstream_count(3, "runs"), served);
    stop_site();
}

/// Guards against a node that stops serving because the store is away, or
/// forgets servers whose entries lapsed meanwhile.
static void
test_store_outage(void)
{
    start_site(MACHINES_DEFAULT);
    publish_all();
    store_request("POST", "/test/mode/busy", "");
    store_request("POST", "/test/cut", "");
    wait_nodes_logged("event=store_lost");
    text_response_t answer = request_via_node(0, "GET", "/read/a", "id-1");
    CU_ASSERT_EQUAL(answer.status, 200);
    text_response_free(&answer);
    remove_server_record(&site.machines[2]);
    remove_server_record(&site.machines[3]);
    g_usleep(1200000);
    store_request("POST", "/test/mode/up", "");
    wait_nodes_logged("event=store_back");
    answer = request_via_node(0, "POST", "/book/a", "id-2");
    CU_ASSERT_EQUAL(answer.status, 200);
    text_response_free(&answer);
    put_server_record(&site.machines[3], "ready");
    wait_nodes_logged("event=vm_removed upstream_vm=i-2");
    answer = request_via_node(0, "POST", "/book/b", "id-3");
    CU_ASSERT_EQUAL(answer.status, 200);
    text_response_free(&answer);
    store_request("POST", "/test/mode/garbled", "");
    store_request("POST", "/test/compact", "");
    wait_nodes_logged("error=\"answer is not what the store speaks\"");
    answer = request_via_node(0, "POST", "/book/c", "id-4");
    CU_ASSERT_EQUAL(answer.status, 200);
    text_response_free(&answer);
    stop_site();
}

/// Guards against a change that is missed for the whole wait of a watch (20 s)
/// that was opened while the store recovered (CONFIG): half of that is
/// allowed.
static void
test_watches_that_hear_nothing(void)
{
    start_site(MACHINES_DEFAULT);
    publish_all();
    // Long enough for every node to wait in a watch again.
    g_usleep(300000);
    store_request("POST", "/test/mode/deaf", "");
    store_request("POST", "/test/cut", "");
    wait_nodes_logged("event=store_lost");
    g_usleep(300000);
    store_request("POST", "/test/mode/up", "");
    gint64 start_us = g_get_monotonic_time();
    put_state(9, NULL);
    wait_nodes_logged("event=contracts_in_force version=9 ");
    CU_ASSERT_TRUE(g_get_monotonic_time() - start_us <
                   (gint64)10 * G_USEC_PER_SEC);
    stop_site();
}

/// Guards against new work for a server that leaves.
static void
test_draining_server(void)
{
    start_site(MACHINES_DEFAULT);
    publish_all();
    put_server_record(&site.machines[2], "draining");
    for (int i = 0; i < MACHINES_DEFAULT; i++) {
        CU_ASSERT_TRUE(process_wait_log(&site.machines[i].node,
                                        "upstream_vm=i-2 service=back"));
    }
    wait_nodes_logged("slots=8 leaving=1");
    for (int i = 0; i < 10; i++) {
        text_response_t answer =
            request_via_node(0, "POST", "/book/a", "id-drain");
        CU_ASSERT_EQUAL(answer.status, 200);
        text_response_free(&answer);
    }
    CU_ASSERT_EQUAL(upstream_count(2, "runs"), 0);
    stop_site();
}

/// Guards against a stop that cuts a request, takes callers' requests too
/// late, or doesn't end; and against a SIGHUP that ends the process.
static void
test_stop_and_reload(void)
{
    start_site(MACHINES_DEFAULT);
    publish_all();
    kill(site.machines[0].node.pid, SIGHUP);
    CU_ASSERT_TRUE(
        process_wait_log(&site.machines[0].node, "event=settings_reloaded"));
    set_server_mode(2, "/test/hold/1");
    set_server_mode(3, "/test/hold/1");
    call_in_flight_t *running =
        call_start(site.machines[0].address, PORT_CALLER, "POST", "/book/a",
                   "host: site.example\nx-request-id: id-1\n"
                   "x-deadline-ms: 5000",
                   "");
    while (upstream_count(2, "runs") + upstream_count(3, "runs") == 0) {
        g_usleep(10000);
    }
    kill(site.machines[0].node.pid, SIGTERM);
    CU_ASSERT_TRUE(
        process_wait_log(&site.machines[0].node, "event=shutdown_started"));
    CU_ASSERT_EQUAL(readiness(0), 503);
    text_response_t answer = request_via_node(0, "GET", "/none/a", "id-2");
    CU_ASSERT_EQUAL(answer.status, 404);
    text_response_free(&answer);
    g_usleep(3000000);
    // Refused, or the address is closed already.
    answer = request_via_node(0, "POST", "/book/b", "id-3");
    CU_ASSERT_TRUE(answer.status == 503 || answer.status == 0);
    text_response_free(&answer);
    set_server_mode(2, "/test/hold/0");
    set_server_mode(3, "/test/hold/0");
    answer = call_wait(running);
    CU_ASSERT_EQUAL(answer.status, 200);
    text_response_free(&answer);
    CU_ASSERT_EQUAL(process_wait(&site.machines[0].node), 0);
    stop_site();
}

/// Guards against slots that nobody uses while a node is restarted beside a
/// server that lives on: only this node reaches it.
static void
test_stopping_node_still_serves_its_server(void)
{
    start_site(MACHINES_DEFAULT);
    publish_all();
    remove_server_record(&site.machines[3]);
    wait_nodes_logged("event=vm_removed upstream_vm=i-3");
    kill(site.machines[2].node.pid, SIGTERM);
    CU_ASSERT_TRUE(
        process_wait_log(&site.machines[2].node, "event=shutdown_started"));
    int served = 0;
    for (int i = 0; i < 10; i++) {
        text_response_t answer =
            request_via_node(0, "POST", "/book/a", "id-stop");
        served += answer.status == 200 ? 1 : 0;
        text_response_free(&answer);
    }
    CU_ASSERT_EQUAL(served, 10);
    CU_ASSERT_EQUAL(upstream_count(2, "runs"), 10);
    CU_ASSERT_EQUAL(process_wait(&site.machines[2].node), 0);
    // Its node is back: the others use the server again within 2 s.
    start_node(&site.machines[2]);
    CU_ASSERT_TRUE(
        process_wait_log(&site.machines[2].node, "upstream_vm=i-2 "));
    g_usleep(2000000);
    text_response_t answer = request_via_node(0, "POST", "/book/a", "id-back");
    CU_ASSERT_EQUAL(answer.status, 200);
    text_response_free(&answer);
    stop_site();
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"path", test_path},
        {"desired states", test_desired_states},
        {"bookings", test_bookings},
        {"another instance", test_another_instance_at_the_address},
        {"store outage", test_store_outage},
        {"deaf watches", test_watches_that_hear_nothing},
        {"draining server", test_draining_server},
        {"stop and reload", test_stop_and_reload},
        {"stopping node", test_stopping_node_still_serves_its_server},
        CU_TEST_INFO_NULL,
    };
    return run_suite("users' platform", tests);
}
