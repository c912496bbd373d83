/// @file
/// Selection of the nodes that read the store in a data centre of many nodes,
/// and distribution of changes to all of them when readers are killed or hang.

#include <signal.h>

#include "common/store_site.h"
#include "common/suite.h"

#define NODES 12
#define ACTIVE_READERS 2
#define READS_MAX ((int64_t)8 * ACTIVE_READERS)
/// A desired state must be in force within 2 s of its publication.
#define IN_FORCE_LIMIT_US ((gint64)2 * G_USEC_PER_SEC)

/// Finds the nodes that read the store, from the last event source_reading in
/// their logs. A node without this event reads it. Returns their number.
static int
find_readers(int readers[NODES])
{
    int count = 0;
    for (int i = 0; i < NODES; i++) {
        char *log = process_log(&site.machines[i].node);
        const char *last = g_strrstr(log, "event=source_reading reads=");
        bool reads = last == NULL ||
                     g_str_has_prefix(last, "event=source_reading reads=1");
        if (reads) {
            readers[count++] = i;
        }
        g_free(log);
    }
    return count;
}

/// Returns whether only the readers read the store. The number of watches
/// isn't enough: while the nodes start, it briefly equals the number of
/// readers.
static bool
only_readers_read(void *context)
{
    (void)context;
    int readers[NODES];
    return store_stat("waiting") == ACTIVE_READERS &&
           find_readers(readers) == ACTIVE_READERS;
}

static void
start_site_with_followers(void)
{
    start_site(NODES);
    publish_site();
    CU_ASSERT_TRUE_FATAL(wait_until(only_readers_read, NULL));
}

/// Publishes a desired state and returns the time until it is in force on all
/// nodes except those in @p excluded.
static gint64
publish_and_time(int version, const int *excluded, int excluded_count)
{
    char text[64];
    g_snprintf(text, sizeof(text), "event=contracts_in_force version=%d ",
               version);
    gint64 start_us = g_get_monotonic_time();
    put_desired_state(version, NULL);
    for (int i = 0; i < NODES; i++) {
        bool is_excluded = false;
        for (int j = 0; j < excluded_count; j++) {
            is_excluded |= excluded[j] == i;
        }
        if (!is_excluded) {
            CU_ASSERT_TRUE(process_wait_log(&site.machines[i].node, text));
        }
    }
    return g_get_monotonic_time() - start_us;
}

/// Guards against reads of the store that grow with the number of nodes.
static void
test_two_nodes_read(void)
{
    start_site_with_followers();
    int64_t before = store_stat("reads");
    publish_and_time(5, NULL, 0);
    put_server_record(&site.machines[3], "draining");
    wait_nodes_logged("upstream_vm=i-3 service=front data_centre=z "
                      "address=");
    wait_nodes_logged("slots=8 leaving=1");
    remove_server_record(&site.machines[3]);
    wait_nodes_logged("event=vm_removed upstream_vm=i-3");
    // Three changes, and watches that end. If every node read the store, the
    // changes alone would cause 36 reads.
    CU_ASSERT_TRUE(store_stat("reads") - before <= READS_MAX);
    stop_site();
}

/// Guards against followers that keep an old version when one reader is
/// killed, or when the other one hangs as well.
static void
test_readers_fail(void)
{
    start_site_with_followers();
    int readers[NODES];
    CU_ASSERT_EQUAL_FATAL(find_readers(readers), ACTIVE_READERS);
    process_stop(&site.machines[readers[0]].node, SIGKILL);
    CU_ASSERT_TRUE(publish_and_time(5, readers, 1) < IN_FORCE_LIMIT_US);
    kill(site.machines[readers[1]].node.pid, SIGSTOP);
    CU_ASSERT_TRUE(publish_and_time(7, readers, 2) < IN_FORCE_LIMIT_US);
    kill(site.machines[readers[1]].node.pid, SIGCONT);
    CU_ASSERT_TRUE(process_wait_log(&site.machines[readers[1]].node,
                                    "contracts_in_force version=7 "));
    // A reader that shuts down refuses its followers at once.
    kill(site.machines[readers[1]].node.pid, SIGTERM);
    CU_ASSERT_TRUE(publish_and_time(9, readers, 2) < IN_FORCE_LIMIT_US);
    stop_site();
}

/// Guards against followers that remove VMs whose records expired only because
/// the store was unreachable.
static void
test_expiry_during_outage(void)
{
    start_site_with_followers();
    store_request("POST", "/test/mode/busy", "");
    store_request("POST", "/test/cut", "");
    wait_nodes_logged("event=store_lost");
    remove_server_record(&site.machines[NODES - 1]);
    g_usleep(1200000);
    store_request("POST", "/test/mode/up", "");
    wait_nodes_logged("event=store_back");
    put_server_record(&site.machines[NODES - 1], "ready");
    publish_and_time(5, NULL, 0);
    for (int i = 0; i < NODES; i++) {
        CU_ASSERT_FALSE(
            process_has_logged(&site.machines[i].node, "event=vm_removed"));
    }
    CU_ASSERT_TRUE(wait_until(only_readers_read, NULL));
    stop_site();
}

/// Between the store and each node.
static process_t store_relays[NODES];

static void
read_store_through_relay(machine_t *machine)
{
    start_store_relay(machine, &store_relays[machine - site.machines]);
}

/// Guards against nodes that defer removals because a reader that they follow
/// was cut off from the store, although they follow another one that wasn't.
static void
test_cut_of_one_reader_defers_no_removals(void)
{
    start_site_with_addresses(NODES, read_store_through_relay);
    publish_site();
    CU_ASSERT_TRUE_FATAL(wait_until(only_readers_read, NULL));
    int readers[NODES];
    CU_ASSERT_EQUAL_FATAL(find_readers(readers), ACTIVE_READERS);
    int removed = 0;
    while (removed == readers[0] || removed == readers[1]) {
        removed++;
    }
    kill(store_relays[readers[0]].pid, SIGSTOP);
    CU_ASSERT_TRUE(
        process_wait_log(&site.machines[readers[0]].node, "event=store_lost"));
    // Until shortly before the refused followers poll the reader again.
    g_usleep(3200000);
    kill(store_relays[readers[0]].pid, SIGCONT);
    CU_ASSERT_TRUE(
        process_wait_log(&site.machines[readers[0]].node, "event=store_back"));
    CU_ASSERT_TRUE(wait_until(only_readers_read, NULL));
    remove_server_record(&site.machines[removed]);
    char gone[64];
    g_snprintf(gone, sizeof(gone), "event=vm_removed upstream_vm=i-%d",
               removed);
    for (int i = 0; i < NODES; i++) {
        CU_ASSERT_TRUE(process_wait_log(&site.machines[i].node, gone));
        CU_ASSERT_TRUE(
            i == readers[0] ||
            !process_has_logged(&site.machines[i].node, "removal_pending=1"));
    }
    for (int i = 0; i < NODES; i++) {
        process_finish(&store_relays[i]);
    }
    stop_site();
}

static char *
nested_record(const char *open, const char *close, int depth)
{
    GString *text = g_string_new("{\"service\":\"back\",\"zone\":\"z\","
                                 "\"address\":\"127.0.0.1:9\",\"slots\":1,"
                                 "\"state\":\"ready\",\"odd\":");
    for (int i = 0; i < depth; i++) {
        g_string_append(text, open);
    }
    g_string_append(text, "1");
    for (int i = 0; i < depth; i++) {
        g_string_append(text, close);
    }
    g_string_append_c(text, '}');
    return g_string_free(text, FALSE);
}

static void
put_odd_record(int number, const char *text)
{
    char path[64];
    char expected[64];
    g_snprintf(path, sizeof(path), "/test/items/servers/odd-%d", number);
    g_snprintf(expected, sizeof(expected),
               "event=server_entry_refused upstream_vm=odd-%d ", number);
    store_request("PUT", path, text);
    wait_nodes_logged(expected);
}

/// Guards against nodes that end, or stop following the list, when another
/// writer leaves an odd entry among those of the servers.
static void
test_odd_entries_are_refused(void)
{
    static const char *const records[] = {
        "{\"service\":\"back\",\"zone\":\"z\",\"address\":\"127.0.0.1:70000\","
        "\"slots\":1,\"state\":\"ready\"}",
        "{\"service\":\"back\",\"zone\":\"z\",\"address\":\"127.0.0.1:0\","
        "\"slots\":1,\"state\":\"ready\"}",
        "{\"service\":\"back\",\"zone\":\"z\","
        "\"address\":\"127.0.0.1:99999999999999999999\","
        "\"slots\":1,\"state\":\"ready\"}",
        "{\"service\":\"back\",\"zone\":\"z\",\"address\":\"127.0.0.1:9\","
        "\"slots\":99999999999999999999999999,\"state\":\"ready\"}",
        "{\"service\":\"back\",\"zone\":\"z\",\"address\":\"127.0.0.1:9\","
        "\"slots\":18446744073709551615,\"state\":\"ready\"}",
        "{\"service\":\"back\",\"zone\":\"z\",\"address\":\"127.0.0.1:9\","
        "\"slots\":1e999,\"state\":\"ready\"}",
        "{\"service\":\"back\",\"zone\":\"z\",\"address\":\"127.0.0.1:9\","
        "\"slots\":-1,\"state\":\"ready\"}",
    };
    start_site_with_followers();
    int number = 0;
    for (size_t i = 0; i < G_N_ELEMENTS(records); i++) {
        put_odd_record(number++, records[i]);
    }
    static const struct {
        const char *open;
        const char *close;
        int depth;
    } nested[] = {
        {"[", "]", 100}, {"[", "]", 100000}, {"{\"a\":", "}", 50000}};
    for (size_t i = 0; i < G_N_ELEMENTS(nested); i++) {
        char *text =
            nested_record(nested[i].open, nested[i].close, nested[i].depth);
        put_odd_record(number++, text);
        g_free(text);
    }
    // The whole store is read again with the odd entries in it.
    store_request("POST", "/test/cut", "");
    CU_ASSERT_TRUE(publish_and_time(5, NULL, 0) < IN_FORCE_LIMIT_US);
    remove_server_record(&site.machines[3]);
    wait_nodes_logged("event=vm_removed upstream_vm=i-3");
    for (int i = 0; i < NODES; i++) {
        CU_ASSERT_FALSE(process_has_ended(&site.machines[i].node));
    }
    stop_site();
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"two nodes read", test_two_nodes_read},
        {"readers fail", test_readers_fail},
        {"expiry during outage", test_expiry_during_outage},
        {"cut of one reader", test_cut_of_one_reader_defers_no_removals},
        {"odd entries", test_odd_entries_are_refused},
        CU_TEST_INFO_NULL,
    };
    return run_suite("change feed", tests);
}
