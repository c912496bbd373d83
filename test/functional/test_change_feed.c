/// @file
/// Who reads the store in a data centre of many nodes, and that a change
/// reaches every node when readers die or fall silent.

#include <signal.h>

#include "common/store_site.h"
#include "common/suite.h"

#define NODES 12
#define ACTIVE_READERS 2
#define READS_ALLOWED ((int64_t)8 * ACTIVE_READERS)
/// The users' bound: a desired state is in force 2 s after its publication.
#define IN_FORCE_LIMIT_US ((gint64)2 * G_USEC_PER_SEC)

/// Finds the nodes that read the store, by their last word about it.
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

/// Returns whether only the readers read. Watches alone don't tell: while the
/// nodes start, there are for a moment as many as there are readers.
static bool
only_readers_wait(void *context)
{
    (void)context;
    int readers[NODES];
    return store_stat("waiting") == ACTIVE_READERS &&
           find_readers(readers) == ACTIVE_READERS;
}

static void
start_followed_site(void)
{
    start_site(NODES);
    publish_all();
    CU_ASSERT_TRUE_FATAL(wait_until(only_readers_wait, NULL));
}

/// Publishes a version and returns how long it took to be in force on all
/// nodes but @p without.
static gint64
time_to_force(int version, const int *without, int without_count)
{
    char text[64];
    g_snprintf(text, sizeof(text), "event=contracts_in_force version=%d ",
               version);
    gint64 start_us = g_get_monotonic_time();
    put_state(version, NULL);
    for (int i = 0; i < NODES; i++) {
        bool left_out = false;
        for (int j = 0; j < without_count; j++) {
            left_out |= without[j] == i;
        }
        if (!left_out) {
            CU_ASSERT_TRUE(process_wait_log(&site.machines[i].node, text));
        }
    }
    return g_get_monotonic_time() - start_us;
}

/// Guards against reads of the store that grow with the number of nodes.
static void
test_two_nodes_read(void)
{
    start_followed_site();
    int64_t before = store_stat("reads");
    time_to_force(5, NULL, 0);
    put_server_record(&site.machines[3], "draining");
    wait_nodes_logged("upstream_vm=i-3 service=front data_centre=z "
                      "address=");
    wait_nodes_logged("slots=8 leaving=1");
    remove_server_record(&site.machines[3]);
    wait_nodes_logged("event=vm_removed upstream_vm=i-3");
    // Three changes and the ends of watches; every node would be 36.
    CU_ASSERT_TRUE(store_stat("reads") - before <= READS_ALLOWED);
    stop_site();
}

/// Guards against followers that keep an old version when a reader is killed
/// or both stand still.
static void
test_readers_fail(void)
{
    start_followed_site();
    int readers[NODES];
    CU_ASSERT_EQUAL_FATAL(find_readers(readers), ACTIVE_READERS);
    process_stop(&site.machines[readers[0]].node, SIGKILL);
    CU_ASSERT_TRUE(time_to_force(5, readers, 1) < IN_FORCE_LIMIT_US);
    kill(site.machines[readers[1]].node.pid, SIGSTOP);
    CU_ASSERT_TRUE(time_to_force(7, readers, 2) < IN_FORCE_LIMIT_US);
    kill(site.machines[readers[1]].node.pid, SIGCONT);
    CU_ASSERT_TRUE(process_wait_log(&site.machines[readers[1]].node,
                                    "contracts_in_force version=7 "));
    // A stopped reader sends its followers away at once.
    kill(site.machines[readers[1]].node.pid, SIGTERM);
    CU_ASSERT_TRUE(time_to_force(9, readers, 2) < IN_FORCE_LIMIT_US);
    stop_site();
}

/// Guards against removals that followers believe although the entries only
/// lapsed while the store was away.
static void
test_lapse_during_outage(void)
{
    start_followed_site();
    store_request("POST", "/test/mode/busy", "");
    store_request("POST", "/test/cut", "");
    wait_nodes_logged("event=store_lost");
    remove_server_record(&site.machines[NODES - 1]);
    g_usleep(1200000);
    store_request("POST", "/test/mode/up", "");
    wait_nodes_logged("event=store_back");
    put_server_record(&site.machines[NODES - 1], "ready");
    time_to_force(5, NULL, 0);
    for (int i = 0; i < NODES; i++) {
        CU_ASSERT_FALSE(
            process_has_logged(&site.machines[i].node, "event=vm_removed"));
    }
    CU_ASSERT_TRUE(wait_until(only_readers_wait, NULL));
    stop_site();
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"two nodes read", test_two_nodes_read},
        {"readers fail", test_readers_fail},
        {"lapse during outage", test_lapse_during_outage},
        CU_TEST_INFO_NULL,
    };
    return run_suite("change feed", tests);
}
