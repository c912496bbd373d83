/// @file
/// Nodes on the users' platform whose store comes back from a copy: its
/// revisions go back and are given out again, and what was written since the
/// copy is gone until it is written again.

#include <signal.h>
#include <stdio.h>
#include <unistd.h>

#include "common/store_site.h"
#include "common/suite.h"
#include "ibisfield/config/control_codec.h"

/// Below eight nodes in a data centre each node reads the store.
#define NODES_READING 6
/// Two of them read the store, the others follow these.
#define NODES_FOLLOWING 12
#define READERS 2
/// A change must be in force within 2 s of its publication.
#define IN_FORCE_LIMIT_US ((gint64)2 * G_USEC_PER_SEC)
/// A machine counts as in touch again this long after a disturbance.
#define IN_TOUCH_US ((gint64)3 * G_USEC_PER_SEC)
/// Records that are missing after an outage are back within about 2 s.
#define RECORDS_BACK_US ((gint64)2 * G_USEC_PER_SEC)
#define BORN_MS ((int64_t)1765000000000)

/// Time of the state to which restore_copy() goes back.
static gint64 copied_us;

static void
take_copy(void)
{
    g_usleep(20000);
    copied_us = g_get_monotonic_time();
    g_usleep(20000);
}

static void
restore_copy(void)
{
    char path[64];
    g_snprintf(path, sizeof(path), "/test/restore/%d",
               (int)((g_get_monotonic_time() - copied_us) / 1000));
    store_request("POST", path, "");
}

/// Waits until all nodes hold what the store holds.
static void
wait_nodes_hold_store(void)
{
    gint64 start_us = g_get_monotonic_time();
    for (int i = 0; i < site.machine_count; i++) {
        while (!node_holds_store(i) &&
               g_get_monotonic_time() - start_us < IN_TOUCH_US) {
            g_usleep(20000);
        }
        CU_ASSERT_TRUE(node_holds_store(i));
    }
}

/// The store is away for a moment and comes back from the copy.
static void
drill(int away_ms)
{
    store_request("POST", "/test/mode/busy", "");
    store_request("POST", "/test/cut", "");
    restore_copy();
    g_usleep((gulong)away_ms * 1000);
    store_request("POST", "/test/mode/up", "");
}

/// Servers write their reports again, from machine @p from to @p to.
static void
report_again(int from, int to, int sequence)
{
    for (int i = from; i <= to; i++) {
        put_server_report(&site.machines[i], "ready", BORN_MS, sequence);
    }
}

/// Waits until a node has logged @p text, for at most @p limit_us after
/// @p since_us.
static void
assert_logged_in_time(int machine, const char *text, gint64 since_us,
                      gint64 limit_us)
{
    const process_t *node = &site.machines[machine].node;
    bool logged = false;
    do {
        logged = process_has_logged(node, text);
        g_usleep(logged ? 0 : 5000);
    } while (!logged && g_get_monotonic_time() - since_us < limit_us);
    CU_ASSERT_TRUE(logged);
}

static void
assert_all_logged_in_time(const char *text, gint64 since_us, gint64 limit_us)
{
    for (int i = 0; i < site.machine_count; i++) {
        assert_logged_in_time(i, text, since_us, limit_us);
    }
}

/// Writes what a node logs when it lists the server of a machine.
static void
format_listed(char text[256], int machine, bool draining)
{
    g_snprintf(text, 256,
               "event=vm_listed upstream_vm=%s service=%s data_centre=z "
               "address=%s slots=8 leaving=%d",
               site.machines[machine].instance, site.machines[machine].service,
               site.machines[machine].published_address, draining);
}

/// The server of a machine reports that it drains; all nodes must know it in
/// time.
static void
assert_draining_is_seen(int machine, int sequence)
{
    char text[256];
    format_listed(text, machine, true);
    gint64 start_us = g_get_monotonic_time();
    put_server_report(&site.machines[machine], "draining", BORN_MS, sequence);
    assert_all_logged_in_time(text, start_us, IN_FORCE_LIMIT_US);
}

static void
assert_state_is_in_force(int version, gint64 since_us, gint64 limit_us)
{
    char text[64];
    g_snprintf(text, sizeof(text), "event=contracts_in_force version=%d ",
               version);
    assert_all_logged_in_time(text, since_us, limit_us);
}

/// Writes later reports of a server, so that its revision is far above that of
/// the copy.
static void
report_often(int machine, int count)
{
    for (int i = 1; i <= count; i++) {
        put_server_report(&site.machines[machine], "ready", BORN_MS, i);
    }
    wait_nodes_hold_store();
}

static bool
only_readers_read(void *context)
{
    (void)context;
    return store_stat("waiting") == READERS;
}

static void
start_site_with_followers(void)
{
    start_site(NODES_FOLLOWING);
    publish_site();
    CU_ASSERT_TRUE_FATAL(wait_until(only_readers_read, NULL));
}

static int
count_in_log(int machine, const char *text)
{
    int count = 0;
    char *log = process_log(&site.machines[machine].node);
    for (const char *at = log; (at = strstr(at, text)) != NULL; at++) {
        count++;
    }
    g_free(log);
    return count;
}

/// Waits until a node has logged @p text @p count times.
static void
wait_for_count(int machine, const char *text, int count)
{
    gint64 start_us = g_get_monotonic_time();
    while (count_in_log(machine, text) < count &&
           g_get_monotonic_time() - start_us < IN_TOUCH_US)
    {
        g_usleep(20000);
    }
    CU_ASSERT_EQUAL(count_in_log(machine, text), count);
}

/// Guards against requests to a server that drains: after a drill its report
/// has a lower revision than the one from before (review/13).
static void
test_draining_is_seen_after_a_drill(void)
{
    start_site(NODES_READING);
    publish_site();
    take_copy();
    report_often(5, 8);
    drill(300);
    report_again(5, 5, 9);
    assert_draining_is_seen(5, 10);
    stop_site();
}

/// Guards against followers that miss a desired state: after a drill it has a
/// lower revision than those that the readers hold (review/12).
static void
test_followers_get_a_state_after_a_drill(void)
{
    start_site_with_followers();
    take_copy();
    for (int version = 5; version <= 23; version += 2) {
        put_desired_state(version, NULL);
    }
    assert_state_is_in_force(23, g_get_monotonic_time(), IN_FORCE_LIMIT_US);
    wait_nodes_hold_store();
    drill(300);
    put_desired_state(23, NULL);
    CU_ASSERT_TRUE(wait_until(only_readers_read, NULL));
    gint64 start_us = g_get_monotonic_time();
    put_desired_state(25, "/new/");
    assert_state_is_in_force(25, start_us, IN_FORCE_LIMIT_US);
    assert_draining_is_seen(3, 1);
    stop_site();
}

/// Guards against nodes that trust a watch which the store still holds open
/// over the drill and which can't return changes of lower revisions.
static void
test_watches_that_outlive_a_drill(void)
{
    start_site(NODES_READING);
    publish_site();
    take_copy();
    report_often(5, 8);
    restore_copy();
    assert_draining_is_seen(5, 9);
    assert_all_logged_in_time("event=store_era_began era=2 before=1 ",
                              g_get_monotonic_time(), IN_FORCE_LIMIT_US);
    stop_site();
}

/// Guards against nodes that hold the state of the first of two drills which
/// follow each other within a second.
static void
test_two_drills(void)
{
    start_site(NODES_READING);
    publish_site();
    take_copy();
    report_often(5, 8);
    drill(200);
    report_again(5, 5, 9);
    put_desired_state(9, NULL);
    drill(200);
    put_desired_state(9, NULL);
    put_desired_state(11, "/new/");
    gint64 start_us = g_get_monotonic_time();
    assert_draining_is_seen(5, 10);
    assert_state_is_in_force(11, start_us, IN_FORCE_LIMIT_US);
    assert_all_logged_in_time(" era=3 ", start_us, IN_FORCE_LIMIT_US);
    stop_site();
}

/// Between the store and the node of the first machine.
static process_t store_relay;

static void
read_store_through_relay(machine_t *machine)
{
    if (machine == &site.machines[0]) {
        start_store_relay(machine, &store_relay);
    }
}

/// Sends a request every 50 ms through a node until it has logged @p text.
static void
request_until_logged(int machine, const char *text, gint64 limit_us)
{
    static int sent;
    gint64 start_us = g_get_monotonic_time();
    bool logged = false;
    while (!logged && g_get_monotonic_time() - start_us < limit_us) {
        char id[32];
        g_snprintf(id, sizeof(id), "until-%d", sent++);
        text_response_t response =
            request_via_node(machine, "GET", "/read/a", id);
        text_response_free(&response);
        g_usleep(50000);
        logged = process_has_logged(&site.machines[machine].node, text);
    }
    CU_ASSERT_TRUE(logged);
}

/// Guards against a node that can't reach the store when it comes back, and
/// takes what the other nodes hold for older than its own state.
static void
test_node_that_is_cut_off_learns_from_others(void)
{
    char text[256];
    start_site_with_addresses(NODES_READING, read_store_through_relay);
    publish_site();
    take_copy();
    report_often(5, 8);
    put_desired_state(5, NULL);
    assert_state_is_in_force(5, g_get_monotonic_time(), IN_FORCE_LIMIT_US);
    kill(store_relay.pid, SIGSTOP);
    drill(300);
    put_desired_state(7, "/new/");
    put_server_report(&site.machines[5], "draining", BORN_MS, 9);
    format_listed(text, 5, true);
    request_until_logged(0, text, IN_FORCE_LIMIT_US);
    request_until_logged(0, "event=contracts_in_force version=7 ",
                         IN_FORCE_LIMIT_US);
    kill(store_relay.pid, SIGCONT);
    // Its own watch, of the era before, doesn't take it back.
    wait_nodes_hold_store();
    gint64 start_us = g_get_monotonic_time();
    put_desired_state(9, NULL);
    assert_state_is_in_force(9, start_us, IN_FORCE_LIMIT_US);
    process_finish(&store_relay);
    stop_site();
}

/// Guards against a node that was suspended over the drill and goes on with
/// its watch of the era before.
static void
test_node_that_was_suspended(void)
{
    char text[256];
    start_site(NODES_READING);
    publish_site();
    take_copy();
    report_often(5, 8);
    kill(site.machines[1].node.pid, SIGSTOP);
    drill(300);
    report_again(5, 5, 9);
    put_server_report(&site.machines[5], "draining", BORN_MS, 10);
    // Revisions are above those from before the drill again.
    for (int i = 0; i < 12; i++) {
        put_server_report(&site.machines[4], "ready", BORN_MS, i);
    }
    kill(site.machines[1].node.pid, SIGCONT);
    format_listed(text, 5, true);
    assert_logged_in_time(1, text, g_get_monotonic_time(), IN_TOUCH_US);
    stop_site();
}

static int64_t
runs_at(int machine)
{
    return upstream_counter(machine, "runs");
}

/// Sends requests for service "back" through every node.
static void
send_to_back(const char *prefix, int rounds)
{
    for (int i = 0; i < rounds * site.machine_count; i++) {
        char id[32];
        g_snprintf(id, sizeof(id), "%s-%d", prefix, i);
        text_response_t response =
            request_via_node(i % site.machine_count, "GET", "/inner/a", id);
        CU_ASSERT_EQUAL(response.status, 200);
        text_response_free(&response);
    }
}

/// Guards against requests to servers that have left, or are draining, and
/// that the copy lists as ready; and against a server that isn't used although
/// it has started again.
static void
test_copy_lists_servers_that_left(void)
{
    char text[256];
    start_site(NODES_READING);
    publish_site();
    report_again(3, 5, 1);
    take_copy();
    assert_draining_is_seen(4, 2);
    remove_server_record(&site.machines[4]);
    wait_nodes_logged("event=vm_removed upstream_vm=i-4");
    assert_draining_is_seen(5, 2);
    wait_nodes_hold_store();
    drill(300);
    gint64 start_us = g_get_monotonic_time();
    assert_all_logged_in_time("event=vm_record_from_copy upstream_vm=i-4 ",
                              start_us, IN_FORCE_LIMIT_US);
    assert_all_logged_in_time("event=vm_record_from_copy upstream_vm=i-5 ",
                              start_us, IN_FORCE_LIMIT_US);
    int64_t before = runs_at(4) + runs_at(5);
    send_to_back("left", 4);
    CU_ASSERT_EQUAL(runs_at(4) + runs_at(5), before);
    put_server_report(&site.machines[4], "ready", BORN_MS + 5000, 1);
    start_us = g_get_monotonic_time();
    before = runs_at(4);
    while (runs_at(4) == before &&
           g_get_monotonic_time() - start_us < IN_TOUCH_US) {
        send_to_back("again", 1);
    }
    CU_ASSERT_TRUE(runs_at(4) > before);
    CU_ASSERT_EQUAL(count_in_log(0, "event=vm_removed upstream_vm=i-4"), 1);
    format_listed(text, 4, false);
    CU_ASSERT_EQUAL(count_in_log(0, text), 2);
    stop_site();
}

/// Guards against the removal of servers that the copy lacks and that write
/// their records again, and against the use of those that don't.
static void
test_copy_lacks_servers(void)
{
    start_site_with_followers();
    remove_server_record(&site.machines[10]);
    remove_server_record(&site.machines[11]);
    wait_nodes_logged("event=vm_removed upstream_vm=i-10");
    wait_nodes_logged("event=vm_removed upstream_vm=i-11");
    take_copy();
    report_again(10, 11, 1);
    for (int i = 0; i < site.machine_count; i++) {
        // Listed at the start, and again now.
        wait_for_count(i, "upstream_vm=i-10 service=", 2);
        wait_for_count(i, "upstream_vm=i-11 service=", 2);
    }
    // So short that no node takes it for an outage in which records expire.
    drill(100);
    g_usleep(RECORDS_BACK_US / 2);
    report_again(10, 10, 2);
    g_usleep(RECORDS_BACK_US + G_USEC_PER_SEC);
    for (int i = 0; i < site.machine_count; i++) {
        CU_ASSERT_EQUAL(count_in_log(i, "event=vm_removed upstream_vm=i-10"),
                        1);
        CU_ASSERT_EQUAL(count_in_log(i, "event=vm_removed upstream_vm=i-11"),
                        2);
    }
    stop_site();
}

/// To be called before the first node starts: it would refuse answers without
/// an era after one with an era.
static void
omit_store_era(machine_t *machine)
{
    if (machine == &site.machines[0]) {
        store_request("POST", "/test/era/none", "");
    }
}

/// Guards against answers that are used although they are of an earlier era,
/// or of one that can't be read, and against a store without eras that is no
/// longer understood.
static void
test_other_eras_in_answers(void)
{
    start_site_with_addresses(NODES_READING, omit_store_era);
    publish_site();
    put_desired_state(5, NULL);
    assert_state_is_in_force(5, g_get_monotonic_time(), IN_FORCE_LIMIT_US);
    store_request("POST", "/test/era/1x", "");
    put_desired_state(7, NULL);
    assert_all_logged_in_time("event=store_era_malformed ",
                              g_get_monotonic_time(), IN_TOUCH_US);
    store_request("POST", "/test/era/3", "");
    assert_state_is_in_force(7, g_get_monotonic_time(), IN_TOUCH_US);
    store_request("POST", "/test/era/2", "");
    put_desired_state(9, NULL);
    assert_all_logged_in_time("error=\"answer of an earlier era\"",
                              g_get_monotonic_time(), IN_TOUCH_US);
    for (int i = 0; i < site.machine_count; i++) {
        CU_ASSERT_FALSE(process_has_logged(&site.machines[i].node,
                                           "contracts_in_force version=9 "));
    }
    store_request("POST", "/test/era/3", "");
    assert_state_is_in_force(9, g_get_monotonic_time(), IN_TOUCH_US);
    stop_site();
}

/// Starts to post a request for changes after the first revision of the first
/// era. Types of an earlier release carry no era.
static http_call_t *
start_request(int machine, control_type_t type)
{
    control_message_t message;
    control_message_init(&message, type, "other");
    message.point = (source_point_t){1, 1};
    GByteArray *bytes = g_byte_array_new();
    control_encode(&message, bytes);
    char *body = g_strndup((const char *)bytes->data, bytes->len);
    http_call_t *call = http_call_start(
        site.machines[machine].address, PORT_PEER, "POST", "/",
        "host: node\nibisfield-protocol: 1\nibisfield-control: 1", body);
    g_free(body);
    g_byte_array_unref(bytes);
    control_message_clear(&message);
    return call;
}

/// Returns the type of the reply.
static int
wait_reply(http_call_t *call)
{
    text_response_t response = http_call_wait(call);
    // The type follows the header of the array and the protocol's version.
    int type = response.body == NULL ? -1 : response.body[2];
    text_response_free(&response);
    return type;
}

static int
send_request(int machine, control_type_t type)
{
    return wait_reply(start_request(machine, type));
}

static void
read_store_through_stopped_relay(machine_t *machine)
{
    read_store_through_relay(machine);
    if (machine == &site.machines[0]) {
        kill(store_relay.pid, SIGSTOP);
    }
}

/// Guards against readers that refuse their followers because they haven't
/// listed the store of a new era yet: each follower then reads the store
/// itself for seconds.
static void
test_reader_that_has_not_listed(void)
{
    start_site_with_addresses(NODES_READING, read_store_through_stopped_relay);
    put_desired_state(3, NULL);
    http_call_t *call = start_request(0, CONTROL_FOLLOW_ERA);
    g_usleep(200000);
    kill(store_relay.pid, SIGCONT);
    CU_ASSERT_EQUAL(wait_reply(call), CONTROL_CHANGES_ERA);
    process_finish(&store_relay);
    stop_site();
}

/// Guards against nodes of an earlier release that get nothing from nodes of
/// this one, and against changes of another era that they would take for
/// changes of theirs.
static void
test_nodes_of_an_earlier_release(void)
{
    start_site(NODES_READING);
    publish_site();
    CU_ASSERT_EQUAL(send_request(0, CONTROL_CATCH_UP), CONTROL_CHANGES);
    CU_ASSERT_EQUAL(send_request(0, CONTROL_FOLLOW), CONTROL_CHANGES);
    take_copy();
    put_desired_state(5, NULL);
    wait_nodes_hold_store();
    drill(200);
    wait_nodes_hold_store();
    CU_ASSERT_EQUAL(send_request(0, CONTROL_CATCH_UP), CONTROL_REFUSED);
    CU_ASSERT_EQUAL(send_request(0, CONTROL_FOLLOW), CONTROL_REFUSED);
    stop_site();
}

#define KEY_KEPT "key-kept-1234567890"
#define KEY_REVOKED "key-revoked-1234567890"
#define TENANT(name, key)                                                     \
    "{\"name\":\"" name "\",\"api_keys\":[\"" key "\"],\"priority\":1}"

/// Guards against a revoked key that is accepted again, and an older desired
/// state in force, on a node that starts while the store has only its copy.
static void
test_node_that_starts_after_a_drill(void)
{
    start_site(NODES_READING);
    publish_site();
    put_desired_state_with_tenants(
        5, NULL,
        "[" TENANT("kept", KEY_KEPT) "," TENANT("gone", KEY_REVOKED) "]");
    wait_nodes_logged("event=contracts_in_force version=5 ");
    take_copy();
    put_desired_state_with_tenants(7, NULL, "[" TENANT("kept", KEY_KEPT) "]");
    wait_nodes_logged("event=contracts_in_force version=7 ");
    wait_nodes_hold_store();
    drill(200);
    process_stop(&site.machines[0].node, SIGKILL);
    start_node(&site.machines[0]);
    CU_ASSERT_TRUE(process_wait_log(&site.machines[0].node,
                                    "event=contracts_in_force version=5 "));
    site_access_key = KEY_KEPT;
    request_until_logged(0, "event=contracts_in_force version=7 ",
                         IN_FORCE_LIMIT_US);
    site_access_key = NULL;
    for (int i = 0; i < site.machine_count; i++) {
        char id[32];
        g_snprintf(id, sizeof(id), "revoked-%d", i);
        CU_ASSERT_EQUAL(status_with_key(i, id, KEY_REVOKED), 401);
        g_snprintf(id, sizeof(id), "kept-%d", i);
        CU_ASSERT_EQUAL(status_with_key(i, id, KEY_KEPT), 200);
    }
    stop_site();
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"draining after a drill", test_draining_is_seen_after_a_drill},
        {"state for followers", test_followers_get_a_state_after_a_drill},
        {"watches that outlive a drill", test_watches_that_outlive_a_drill},
        {"two drills", test_two_drills},
        {"node that is cut off", test_node_that_is_cut_off_learns_from_others},
        {"node that was suspended", test_node_that_was_suspended},
        {"copy lists servers that left", test_copy_lists_servers_that_left},
        {"copy lacks servers", test_copy_lacks_servers},
        {"other eras in answers", test_other_eras_in_answers},
        {"reader that has not listed", test_reader_that_has_not_listed},
        {"earlier release", test_nodes_of_an_earlier_release},
        {"node that starts", test_node_that_starts_after_a_drill},
        CU_TEST_INFO_NULL,
    };
    return run_suite("store drill", tests);
}
