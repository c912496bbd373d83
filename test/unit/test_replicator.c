/// @file
/// Replication of configuration between several nodes, with a manual clock and
/// messages within the process.

#include "ibisfield/base/metrics.h"

#include "common/config_cluster.h"
#include "common/suite.h"

#define CONTRACT "contract/stadtwerke"
#define SETTLE_US (10 * US_PER_S)

/// Starts @p nodes listed nodes in @p data_centres and waits until they have
/// settled.
static void
start_cluster(config_cluster_t *cluster, uint32_t nodes, uint32_t data_centres)
{
    cluster_init(cluster, nodes, data_centres);
    cluster->seed_count = 2;
    for (uint32_t i = 0; i < nodes; i++) {
        cluster_publish_node(cluster, i, "order-tracking", "live");
    }
    cluster_publish(cluster, CONTRACT, "{\"n\":1}");
    for (uint32_t i = 0; i < nodes; i++) {
        cluster_start_node(cluster, i);
    }
    cluster_run(cluster, SETTLE_US);
}

static uint32_t
count_readers(config_cluster_t *cluster, uint32_t data_centre)
{
    uint32_t count = 0;
    for (uint32_t i = data_centre; i < cluster->node_count;
         i += cluster->data_centre_count)
    {
        cluster_node_t *node = &cluster->nodes[i];
        count += node->up && replicator_is_reader(&node->replicator);
    }
    return count;
}

/// Guards against a change that reaches a node only with the next heartbeat,
/// and against more than three nodes of a data centre that read the platform.
static void
test_change_is_in_force_everywhere(void)
{
    config_cluster_t cluster;
    start_cluster(&cluster, 60, 3);
    CU_ASSERT_EQUAL(cluster_count_nodes_at(&cluster, CONTRACT, 1), 60);
    cluster_publish(&cluster, CONTRACT, "{\"n\":2}");
    cluster_run(&cluster, 3 * REPLICATOR_TICK_US);
    CU_ASSERT_EQUAL(cluster_count_nodes_at(&cluster, CONTRACT, 2), 60);
    for (uint32_t i = 0; i < 3; i++) {
        CU_ASSERT_EQUAL(count_readers(&cluster, i), ACTIVE_READERS);
    }
    cluster_finish(&cluster);
}

/// Guards against a node that keeps an old version after pushes were lost.
static void
test_heartbeats_recover_lost_pushes(void)
{
    config_cluster_t cluster;
    start_cluster(&cluster, 9, 1);
    cluster.drop_pushes = true;
    for (uint64_t version = 2; version < 8; version++) {
        cluster_publish(&cluster, CONTRACT, "{}");
        cluster_run(&cluster, 3 * US_PER_S);
        CU_ASSERT_EQUAL(cluster_count_nodes_at(&cluster, CONTRACT, version),
                        9);
    }
    cluster_finish(&cluster);
}

/// Guards against a refused version that replaces the one in force or prevents
/// the adoption of the next valid one.
static void
test_refused_version_keeps_the_one_in_force(void)
{
    config_cluster_t cluster;
    start_cluster(&cluster, 12, 2);
    cluster_publish(&cluster, CONTRACT, "{\"bad\":1}");
    cluster_run(&cluster, SETTLE_US);
    CU_ASSERT_EQUAL(cluster_count_nodes_at(&cluster, CONTRACT, 1), 12);
    uint32_t refusing = 0;
    for (uint32_t i = 0; i < 12; i++) {
        const stored_item_t *item =
            item_store_find(&cluster.nodes[i].replicator.store, CONTRACT);
        refusing += item->refused_version == 2;
    }
    // Only readers have seen the version: a refused one is not pushed.
    CU_ASSERT_EQUAL(refusing, 2 * ACTIVE_READERS);
    cluster_publish(&cluster, CONTRACT, "{\"n\":3}");
    cluster_run(&cluster, 3 * US_PER_S);
    CU_ASSERT_EQUAL(cluster_count_nodes_at(&cluster, CONTRACT, 3), 12);
    cluster_finish(&cluster);
}

/// Guards against a restarted node that adopts an old version from a platform
/// that has returned to an older state, although the readers of its data
/// centre hold the newer one.
static void
test_restart_while_platform_is_stale(void)
{
    config_cluster_t cluster;
    start_cluster(&cluster, 12, 2);
    uint64_t old_revision = cluster.revision;
    cluster_publish(&cluster, CONTRACT, "{\"n\":2}");
    cluster_run(&cluster, SETTLE_US);
    cluster.visible_revision = old_revision;
    for (uint32_t i = 0; i < 12; i++) {
        cluster_stop_node(&cluster, i);
        cluster_start_node(&cluster, i);
        cluster_run(&cluster, SETTLE_US);
        CU_ASSERT_TRUE(replicator_is_ready(&cluster.nodes[i].replicator));
        CU_ASSERT_EQUAL(cluster_node_version(&cluster, i, CONTRACT), 2);
    }
    cluster_publish(&cluster, CONTRACT, "{\"n\":3}");
    cluster.visible_revision = UINT64_MAX;
    cluster_run(&cluster, SETTLE_US);
    CU_ASSERT_EQUAL(cluster_count_nodes_at(&cluster, CONTRACT, 3), 12);
    cluster_finish(&cluster);
}

/// Guards against changes that are lost when the platform returns to an older
/// revision and continues from there.
static void
test_changes_after_platform_rollback(void)
{
    config_cluster_t cluster;
    start_cluster(&cluster, 6, 1);
    for (int i = 0; i < 5; i++) {
        cluster_publish(&cluster, "contract/other", "{}");
    }
    cluster_run(&cluster, SETTLE_US);
    uint64_t revision_before = cluster.revision;
    // The platform loses the last four versions; the nodes keep them.
    g_array_set_size(cluster.published, cluster.published->len - 4);
    cluster.revision -= 4;
    cluster_run(&cluster, SETTLE_US);
    CU_ASSERT_EQUAL(cluster_count_nodes_at(&cluster, "contract/other", 5), 6);
    cluster_publish(&cluster, CONTRACT, "{\"n\":2}");
    CU_ASSERT_TRUE(cluster.revision < revision_before);
    cluster_run(&cluster, 3 * US_PER_S);
    CU_ASSERT_EQUAL(cluster_count_nodes_at(&cluster, CONTRACT, 2), 6);
    cluster_finish(&cluster);
}

/// Guards against a data centre that misses changes while only its connection
/// to the platform is down.
static void
test_data_centre_without_platform_learns_from_another(void)
{
    config_cluster_t cluster;
    start_cluster(&cluster, 40, 2);
    for (uint32_t i = 1; i < 40; i += 2) {
        cluster.nodes[i].platform_unreachable = true;
    }
    cluster_run(&cluster, SETTLE_US);
    cluster_publish(&cluster, CONTRACT, "{\"n\":2}");
    cluster_run(&cluster, SETTLE_US);
    CU_ASSERT_EQUAL(cluster_count_nodes_at(&cluster, CONTRACT, 2), 40);
    cluster_finish(&cluster);
}

/// Guards against a data centre without readers after its three readers
/// failed, and against substitutes that keep reading once these are back.
static void
test_ranks_take_over_for_silent_readers(void)
{
    config_cluster_t cluster;
    start_cluster(&cluster, 30, 1);
    uint32_t stopped[ACTIVE_READERS];
    uint32_t count = 0;
    for (uint32_t i = 0; i < 30; i++) {
        if (replicator_is_reader(&cluster.nodes[i].replicator)) {
            stopped[count++] = i;
        }
    }
    for (uint32_t i = 0; i < ACTIVE_READERS; i++) {
        cluster_stop_node(&cluster, stopped[i]);
    }
    cluster_run(&cluster, SETTLE_US);
    CU_ASSERT_EQUAL(count_readers(&cluster, 0), ACTIVE_READERS);
    cluster_publish(&cluster, CONTRACT, "{\"n\":2}");
    cluster_run(&cluster, 3 * US_PER_S);
    CU_ASSERT_EQUAL(cluster_count_nodes_at(&cluster, CONTRACT, 2), 27);
    for (uint32_t i = 0; i < ACTIVE_READERS; i++) {
        cluster_start_node(&cluster, stopped[i]);
    }
    cluster_run(&cluster, SETTLE_US);
    CU_ASSERT_EQUAL(count_readers(&cluster, 0), ACTIVE_READERS);
    CU_ASSERT_EQUAL(cluster_count_nodes_at(&cluster, CONTRACT, 2), 30);
    cluster_finish(&cluster);
}

/// Guards against a node that becomes ready without any source of
/// configuration, and against one that waits for the platform although a peer
/// is ready.
static void
test_ready_needs_a_source(void)
{
    config_cluster_t cluster;
    cluster_init(&cluster, 2, 1);
    cluster.seed_count = 2;
    cluster_publish_node(&cluster, 0, "booking", "live");
    cluster_publish_node(&cluster, 1, "booking", "live");
    cluster.mode = PLATFORM_DOWN;
    cluster_start_node(&cluster, 0);
    cluster_start_node(&cluster, 1);
    cluster_run(&cluster, 60 * US_PER_S);
    CU_ASSERT_FALSE(replicator_is_ready(&cluster.nodes[0].replicator));
    CU_ASSERT_FALSE(replicator_is_ready(&cluster.nodes[1].replicator));
    cluster.nodes[1].platform_unreachable = true;
    cluster.mode = PLATFORM_UP;
    cluster_run(&cluster, 120 * US_PER_S);
    CU_ASSERT_TRUE(replicator_is_ready(&cluster.nodes[0].replicator));
    CU_ASSERT_TRUE(replicator_is_ready(&cluster.nodes[1].replicator));
    cluster_finish(&cluster);
}

/// Guards against a start-up round that goes on until all listed VMs of other
/// data centres have been probed; none of them runs here.
static void
test_round_probes_few_remote_vms(void)
{
    config_cluster_t cluster;
    cluster_init(&cluster, 100, 2);
    cluster_publish_node(&cluster, 0, "booking", "live");
    for (uint32_t i = 1; i < 100; i += 2) {
        cluster_publish_node(&cluster, i, "booking", "live");
    }
    cluster_start_node(&cluster, 0);
    cluster_run(&cluster, US_PER_S);
    CU_ASSERT_TRUE(replicator_is_ready(&cluster.nodes[0].replicator));
    CU_ASSERT_TRUE(cluster.nodes[0].messages_sent <= 10);
    cluster_finish(&cluster);
}

/// Guards against start-up reads of the full list from the platform although a
/// peer holds it, which would overload the platform after a restart of a data
/// centre.
static void
test_restart_reads_only_changes(void)
{
    config_cluster_t cluster;
    start_cluster(&cluster, 30, 1);
    uint64_t bytes = cluster.platform_bytes;
    cluster_stop_node(&cluster, 7);
    cluster_start_node(&cluster, 7);
    cluster_run(&cluster, US_PER_S);
    CU_ASSERT_TRUE(replicator_is_ready(&cluster.nodes[7].replicator));
    // 30 VMs and a contract.
    CU_ASSERT_EQUAL(cluster.nodes[7].replicator.store.in_force_count, 31);
    CU_ASSERT_EQUAL(cluster.platform_bytes, bytes);
    cluster_finish(&cluster);
}

static uint64_t
bytes_received(const config_cluster_t *cluster)
{
    uint64_t bytes = 0;
    for (uint32_t i = 0; i < cluster->node_count; i++) {
        bytes += cluster->nodes[i].bytes_received;
    }
    return bytes;
}

/// Guards against nodes that fetch repeatedly although nothing changes.
static void
test_idle_cluster_fetches_no_items(void)
{
    config_cluster_t cluster;
    start_cluster(&cluster, 30, 2);
    uint64_t before = bytes_received(&cluster);
    int64_t fetches = metric_value(METRIC_CONTROL_FETCH_SENT_MESSAGES);
    cluster_run(&cluster, 60 * US_PER_S);
    // Bytes for each node and second.
    CU_ASSERT_TRUE((bytes_received(&cluster) - before) / 30 / 60 < 15000);
    CU_ASSERT_EQUAL(metric_value(METRIC_CONTROL_FETCH_SENT_MESSAGES), fetches);
    cluster_finish(&cluster);
}

/// Guards against a new VM that gets no changes until it is listed.
static void
test_unlisted_node_learns_changes(void)
{
    config_cluster_t cluster;
    start_cluster(&cluster, 10, 1);
    cluster_publish_node(&cluster, 9, "", ""); // Removes it from the list.
    cluster_run(&cluster, SETTLE_US);
    cluster_stop_node(&cluster, 9);
    cluster_start_node(&cluster, 9);
    cluster_run(&cluster, SETTLE_US);
    for (uint64_t version = 2; version < 8; version++) {
        cluster_publish(&cluster, CONTRACT, "{}");
        cluster_run(&cluster, 3 * US_PER_S);
        CU_ASSERT_EQUAL(cluster_node_version(&cluster, 9, CONTRACT), version);
    }
    cluster_finish(&cluster);
}

/// Guards against lists that differ after a partition: per item the higher
/// version must win everywhere.
static void
test_states_merge_after_a_partition(void)
{
    config_cluster_t cluster;
    start_cluster(&cluster, 20, 2);
    for (uint32_t i = 0; i < 20; i++) {
        for (uint32_t j = 0; j < 20; j++) {
            if (i % 2 != j % 2) {
                cluster_set_link_down(&cluster, i, j, true);
            }
        }
    }
    for (uint32_t i = 1; i < 20; i += 2) {
        cluster.nodes[i].platform_unreachable = true;
    }
    cluster_run(&cluster, SETTLE_US);
    for (int i = 0; i < 50; i++) {
        cluster_publish_node(&cluster, (uint32_t)i % 20, "booking", "live");
    }
    cluster_run(&cluster, SETTLE_US);
    // The odd nodes miss all changes, three of them of VM 3.
    CU_ASSERT_EQUAL(cluster_node_version(&cluster, 1, "vm/vm3"), 1);
    for (uint32_t i = 0; i < 20; i++) {
        for (uint32_t j = 0; j < 20; j++) {
            cluster_set_link_down(&cluster, i, j, false);
        }
    }
    cluster_run(&cluster, SETTLE_US);
    for (uint32_t i = 0; i < 20; i++) {
        CU_ASSERT_EQUAL(cluster_node_version(&cluster, i, "vm/vm3"), 4);
        CU_ASSERT_EQUAL(cluster.nodes[i].replicator.store.digest,
                        cluster.nodes[0].replicator.store.digest);
    }
    cluster_finish(&cluster);
}

/// Guards against an upgrade after which a version that the old release
/// refused is never offered again.
static void
test_new_release_is_offered_refused_versions(void)
{
    config_cluster_t cluster;
    start_cluster(&cluster, 12, 1);
    cluster_publish(&cluster, CONTRACT, "{\"bad\":1}");
    cluster_run(&cluster, SETTLE_US);
    CU_ASSERT_EQUAL(cluster_count_nodes_at(&cluster, CONTRACT, 1), 12);
    for (uint32_t i = 0; i < 12; i++) {
        cluster_stop_node(&cluster, i);
        cluster.nodes[i].newer_release = true;
        cluster_start_node(&cluster, i);
        cluster_run(&cluster, SETTLE_US);
    }
    CU_ASSERT_EQUAL(cluster_count_nodes_at(&cluster, CONTRACT, 2), 12);
    cluster_finish(&cluster);
}

/// Guards against nodes of two releases that fetch the same refused version
/// with each heartbeat.
static void
test_two_releases_do_not_fetch_repeatedly(void)
{
    config_cluster_t cluster;
    start_cluster(&cluster, 30, 1);
    uint64_t before = bytes_received(&cluster);
    cluster_run(&cluster, 60 * US_PER_S);
    uint64_t idle_bytes = bytes_received(&cluster) - before;
    for (uint32_t i = 0; i < 30; i += 2) {
        cluster_stop_node(&cluster, i);
        cluster.nodes[i].newer_release = true;
        cluster_start_node(&cluster, i);
    }
    char *filler = g_strnfill(10000, 'x');
    char *value = g_strdup_printf("{\"bad\":\"%s\"}", filler);
    g_free(filler);
    cluster_publish(&cluster, CONTRACT, value);
    cluster_run(&cluster, SETTLE_US);
    // The even nodes run the newer release and accept the version.
    CU_ASSERT_EQUAL(cluster_count_nodes_at(&cluster, CONTRACT, 2), 15);
    CU_ASSERT_EQUAL(cluster_count_nodes_at(&cluster, CONTRACT, 1), 15);
    before = bytes_received(&cluster);
    cluster_run(&cluster, 60 * US_PER_S);
    CU_ASSERT_TRUE(bytes_received(&cluster) - before < 2 * idle_bytes);
    g_free(value);
    cluster_finish(&cluster);
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"change in force everywhere", test_change_is_in_force_everywhere},
        {"lost pushes", test_heartbeats_recover_lost_pushes},
        {"refused version", test_refused_version_keeps_the_one_in_force},
        {"restart, stale platform", test_restart_while_platform_is_stale},
        {"platform rollback", test_changes_after_platform_rollback},
        {"cut-off data centre",
         test_data_centre_without_platform_learns_from_another},
        {"take-over", test_ranks_take_over_for_silent_readers},
        {"ready", test_ready_needs_a_source},
        {"few remote VMs", test_round_probes_few_remote_vms},
        {"restart reads changes", test_restart_reads_only_changes},
        {"quiet", test_idle_cluster_fetches_no_items},
        {"unlisted node", test_unlisted_node_learns_changes},
        {"new release", test_new_release_is_offered_refused_versions},
        {"two releases", test_two_releases_do_not_fetch_repeatedly},
        {"merge after partition", test_states_merge_after_a_partition},
        CU_TEST_INFO_NULL,
    };
    return run_suite("replicator", tests);
}
