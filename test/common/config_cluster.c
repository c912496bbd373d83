/// @file
/// Several replicators in one process. Messages are encoded and queued; the
/// test decides which one is delivered next and when the clock advances.

#include "common/config_cluster.h"

#include <stdlib.h>

#include "ibisfield/config/control_codec.h"

#define BASE_PORT 1000
#define READ_TIMEOUT_US US_PER_S

static cluster_node_t *
node_of(replicator_io_t *io)
{
    return (cluster_node_t *)io;
}

static bool
is_link_down(const config_cluster_t *cluster, uint32_t a, uint32_t b)
{
    return cluster->links_down[a * cluster->node_count + b];
}

/// Takes the link between two nodes down, or up, in both directions.
void
cluster_set_link_down(config_cluster_t *cluster, uint32_t a, uint32_t b,
                      bool down)
{
    cluster->links_down[a * cluster->node_count + b] = down;
    cluster->links_down[b * cluster->node_count + a] = down;
}

static void
enqueue(cluster_node_t *from, uint32_t to, uint64_t exchange, bool is_reply,
        uint32_t incarnation, GBytes *bytes)
{
    queued_message_t queued = {.from = from->index,
                               .to = to,
                               .from_incarnation = incarnation,
                               .exchange = exchange,
                               .is_reply = is_reply,
                               .bytes = g_bytes_ref(bytes)};
    from->messages_sent++;
    from->bytes_sent += g_bytes_get_size(bytes);
    g_array_append_val(from->cluster->queue, queued);
}

static GBytes *
encode(const control_message_t *message)
{
    GByteArray *out = g_byte_array_new();
    control_encode(message, out);
    control_count_sent(message->type, out->len);
    return g_byte_array_free_to_bytes(out);
}

static void
io_send(replicator_io_t *io, const config_peer_t *peers, uint32_t count,
        const control_message_t *message, uint64_t exchange)
{
    cluster_node_t *node = node_of(io);
    GBytes *bytes = encode(message);
    for (uint32_t i = 0; i < count; i++) {
        uint32_t to = (uint32_t)peers[i].endpoint.port - BASE_PORT;
        enqueue(node, to, exchange, false, node->incarnation, bytes);
    }
    g_bytes_unref(bytes);
}

static void
io_read_list(replicator_io_t *io, config_list_t list, uint64_t since,
             int64_t wait_ms)
{
    cluster_node_t *node = node_of(io);
    node->cluster->platform_reads++;
    node->long_polls[list] = (long_poll_t){
        true, since, node->cluster->clock.now_us + wait_ms * US_PER_MS};
}

static void
io_cancel_read(replicator_io_t *io, config_list_t list)
{
    node_of(io)->long_polls[list].active = false;
}

/// Refuses values that start with {"bad", unless the node runs a newer
/// release.
static bool
io_check(replicator_io_t *io, const config_item_t *item, GPtrArray *problems)
{
    if (!node_of(io)->newer_release &&
        slice_starts_with(item->value, SLICE_LITERAL("{\"bad\"")))
    {
        g_ptr_array_add(problems, g_strdup("kinds: found none, expected one"));
        return false;
    }
    return true;
}

static void
io_changed(replicator_io_t *io, const config_item_t *item)
{
    cluster_node_t *node = node_of(io);
    if (node->cluster->changed != NULL) {
        node->cluster->changed(node, item);
    }
}

static void
io_ready(replicator_io_t *io)
{
    (void)io;
}

static const replicator_io_vtable_t io_vtable = {
    io_send, io_read_list, io_cancel_read, io_check, io_changed, io_ready,
};

static void
clear_published(gpointer pointer)
{
    published_item_t *published = pointer;
    g_free(published->name);
    g_free(published->value);
}

/// Initialises nodes, none of them up, and assigns them to the data centres
/// round robin.
void
cluster_init(config_cluster_t *cluster, uint32_t node_count,
             uint32_t data_centre_count)
{
    *cluster = (config_cluster_t){.node_count = node_count,
                                  .data_centre_count = data_centre_count,
                                  .seed_count = 1};
    manual_clock_init(&cluster->clock, US_PER_S);
    cluster->nodes = g_new0(cluster_node_t, node_count);
    cluster->links_down = g_new0(bool, (gsize)node_count *node_count);
    cluster->queue = g_array_new(FALSE, FALSE, sizeof(queued_message_t));
    cluster->published = g_array_new(FALSE, FALSE, sizeof(published_item_t));
    g_array_set_clear_func(cluster->published, clear_published);
    cluster->visible_revision = UINT64_MAX;
    for (uint32_t i = 0; i < node_count; i++) {
        cluster_node_t *node = &cluster->nodes[i];
        node->io.vtable = &io_vtable;
        node->cluster = cluster;
        node->index = i;
        node->data_centre = i % data_centre_count;
    }
}

void
cluster_finish(config_cluster_t *cluster)
{
    for (uint32_t i = 0; i < cluster->node_count; i++) {
        if (cluster->nodes[i].up) {
            cluster_stop_node(cluster, i);
        }
    }
    for (guint i = 0; i < cluster->queue->len; i++) {
        g_bytes_unref(
            g_array_index(cluster->queue, queued_message_t, i).bytes);
    }
    g_array_free(cluster->queue, TRUE);
    g_array_free(cluster->published, TRUE);
    g_free(cluster->links_down);
    g_free(cluster->nodes);
}

static endpoint_t
node_endpoint(uint32_t index)
{
    endpoint_t endpoint = {"127.0.0.1", (uint16_t)(BASE_PORT + index)};
    return endpoint;
}

/// Starts a new incarnation of a node. Its seeds are the first nodes of its
/// data centre.
void
cluster_start_node(config_cluster_t *cluster, uint32_t index)
{
    cluster_node_t *node = &cluster->nodes[index];
    endpoint_t seeds[SETTINGS_SEEDS_MAX];
    char vm[32];
    char data_centre[32];
    uint32_t count = MIN(cluster->seed_count, SETTINGS_SEEDS_MAX);
    for (uint32_t i = 0; i < count; i++) {
        seeds[i] =
            node_endpoint(node->data_centre + i * cluster->data_centre_count);
    }
    g_snprintf(vm, sizeof(vm), "vm%u", index);
    g_snprintf(data_centre, sizeof(data_centre), "dc%u", node->data_centre);
    replicator_options_t options = {
        .vm = vm,
        .data_centre = data_centre,
        .own_endpoint = node_endpoint(index),
        .seeds = seeds,
        .seed_count = count,
        .random_seed = index + 1000 * node->incarnation,
    };
    node->incarnation++;
    node->up = true;
    replicator_init(&node->replicator, &cluster->clock.base, &node->io,
                    &options);
    replicator_start(&node->replicator);
}

/// Stops a node, which loses all of its state.
void
cluster_stop_node(config_cluster_t *cluster, uint32_t index)
{
    cluster_node_t *node = &cluster->nodes[index];
    node->up = false;
    memset(node->long_polls, 0, sizeof(node->long_polls));
    replicator_finish(&node->replicator);
}

/// Publishes a node in the VM list; an empty @p state removes it.
void
cluster_publish_node(config_cluster_t *cluster, uint32_t index,
                     const char *service, const char *state)
{
    char name[32];
    char value[256];
    g_snprintf(name, sizeof(name), "vm/vm%u", index);
    g_snprintf(value, sizeof(value),
               "{\"data_centre\":\"dc%u\",\"service\":\"%s\","
               "\"address\":\"127.0.0.1\",\"caller_port\":8080,"
               "\"peer_port\":8081,\"control_port\":%u,\"state\":\"%s\"}",
               cluster->nodes[index].data_centre, service, BASE_PORT + index,
               state);
    cluster_publish(cluster, name, state[0] == '\0' ? "" : value);
}

static published_item_t *
find_newest_published(const config_cluster_t *cluster, const char *name)
{
    published_item_t *newest = NULL;
    for (guint i = 0; i < cluster->published->len; i++) {
        published_item_t *item =
            &g_array_index(cluster->published, published_item_t, i);
        if (strcmp(item->name, name) == 0) {
            newest = item;
        }
    }
    return newest;
}

/// Publishes the next version of an item; an empty value removes it.
void
cluster_publish(config_cluster_t *cluster, const char *name, const char *value)
{
    published_item_t item = {g_strdup(name),
                             cluster_published_version(cluster, name) + 1,
                             ++cluster->revision, g_strdup(value)};
    g_array_append_val(cluster->published, item);
}

/// Returns the newest published version of an item, 0 if there is none.
uint64_t
cluster_published_version(const config_cluster_t *cluster, const char *name)
{
    const published_item_t *item = find_newest_published(cluster, name);
    return item == NULL ? 0 : item->version;
}

/// Collects the newest change of each item after revision @p since and up to
/// @p revision. The values point into the published items.
static GArray *
visible_changes(config_cluster_t *cluster, const char *prefix, uint64_t since,
                uint64_t revision)
{
    GArray *items = g_array_new(FALSE, FALSE, sizeof(config_item_t));
    GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
    for (guint i = cluster->published->len; i > 0; i--) {
        const published_item_t *published =
            &g_array_index(cluster->published, published_item_t, i - 1);
        if (published->revision <= since) {
            break;
        }
        if (published->revision <= revision &&
            g_str_has_prefix(published->name, prefix) &&
            g_hash_table_add(seen, published->name))
        {
            config_item_t item = {published->name, published->version,
                                  slice_from_string(published->value)};
            cluster->platform_bytes += item.value.len + strlen(item.name);
            g_array_append_val(items, item);
        }
    }
    g_hash_table_destroy(seen);
    return items;
}

static void
complete_long_poll(cluster_node_t *node, config_list_t list, uint64_t revision)
{
    GArray *items =
        visible_changes(node->cluster, list == LIST_VMS ? "vm/" : "contract/",
                        node->long_polls[list].since, revision);
    list_read_result_t result = {true, revision,
                                 (const config_item_t *)(void *)items->data,
                                 items->len};
    node->long_polls[list].active = false;
    replicator_handle_list(&node->replicator, list, &result);
    g_array_free(items, TRUE);
}

static void
tick_long_poll(cluster_node_t *node, config_list_t list)
{
    const config_cluster_t *cluster = node->cluster;
    const long_poll_t *long_poll = &node->long_polls[list];
    uint64_t revision = MIN(cluster->visible_revision, cluster->revision);
    platform_mode_t mode =
        node->platform_unreachable ? PLATFORM_DOWN : cluster->mode;
    int64_t now_us = cluster->clock.now_us;
    if (!long_poll->active) {
        return;
    }
    if (mode == PLATFORM_UP &&
        (revision > long_poll->since || now_us >= long_poll->due_us))
    {
        complete_long_poll(node, list, revision);
    }
    else if (mode == PLATFORM_DOWN ||
             now_us >= long_poll->due_us + READ_TIMEOUT_US)
    {
        node->long_polls[list].active = false;
        replicator_handle_list(&node->replicator, list,
                               &(list_read_result_t){.ok = false});
    }
}

static queued_message_t
dequeue(config_cluster_t *cluster, guint position)
{
    queued_message_t queued =
        g_array_index(cluster->queue, queued_message_t, position);
    g_array_remove_index(cluster->queue, position);
    return queued;
}

static void
fail_exchange(config_cluster_t *cluster, const queued_message_t *queued)
{
    uint32_t requester = queued->is_reply ? queued->to : queued->from;
    cluster_node_t *node = &cluster->nodes[requester];
    if (queued->exchange != 0 && node->up &&
        node->incarnation == queued->from_incarnation)
    {
        replicator_handle_reply(&node->replicator, queued->exchange, NULL);
    }
}

/// Drops the message at @p position of the queue. Its exchange fails at the
/// requester.
void
cluster_drop(config_cluster_t *cluster, guint position)
{
    queued_message_t queued = dequeue(cluster, position);
    fail_exchange(cluster, &queued);
    g_bytes_unref(queued.bytes);
}

static void
deliver_request(cluster_node_t *node, const queued_message_t *queued,
                const control_message_t *message)
{
    const control_message_t *reply =
        replicator_handle_request(&node->replicator, message);
    GBytes *bytes = encode(reply);
    if (queued->exchange != 0) {
        enqueue(node, queued->from, queued->exchange, true,
                queued->from_incarnation, bytes);
    }
    else {
        // A message without an exchange gets a reply too, which its sender
        // ignores.
        node->bytes_sent += g_bytes_get_size(bytes);
        node->cluster->nodes[queued->from].bytes_received +=
            g_bytes_get_size(bytes);
    }
    g_bytes_unref(bytes);
}

static void
deliver_decoded(cluster_node_t *node, const queued_message_t *queued,
                const control_message_t *message)
{
    if (!queued->is_reply) {
        deliver_request(node, queued, message);
    }
    else if (node->incarnation == queued->from_incarnation) {
        replicator_handle_reply(&node->replicator, queued->exchange, message);
    }
}

/// Delivers the message at @p position of the queue. Its exchange fails if the
/// link or the receiver is down.
void
cluster_deliver(config_cluster_t *cluster, guint position)
{
    queued_message_t queued = dequeue(cluster, position);
    cluster_node_t *node = &cluster->nodes[queued.to];
    if (!node->up || is_link_down(cluster, queued.from, queued.to)) {
        fail_exchange(cluster, &queued);
        g_bytes_unref(queued.bytes);
        return;
    }
    gsize len = 0;
    const char *data = g_bytes_get_data(queued.bytes, &len);
    control_message_t message;
    uint64_t version = 0;
    node->bytes_received += len;
    if (control_decode(&message, (slice_t){data, len}, &version) != DECODE_OK)
    {
        abort();
    }
    control_count_received(message.type, len);
    if (message.type != CONTROL_PUSH || !cluster->drop_pushes) {
        deliver_decoded(node, &queued, &message);
    }
    control_message_clear(&message);
    g_bytes_unref(queued.bytes);
}

/// Delivers messages in order until the queue is empty. Those that are sent
/// meanwhile form the next batch.
void
cluster_deliver_all(config_cluster_t *cluster)
{
    while (cluster->queue->len > 0) {
        GArray *batch = cluster->queue;
        cluster->queue = g_array_new(FALSE, FALSE, sizeof(queued_message_t));
        GArray *next_batch = cluster->queue;
        for (guint i = 0; i < batch->len; i++) {
            queued_message_t queued =
                g_array_index(batch, queued_message_t, i);
            // cluster_deliver() takes its message from cluster->queue.
            g_array_prepend_val(cluster->queue, queued);
            cluster_deliver(cluster, 0);
        }
        cluster->queue = next_batch;
        g_array_free(batch, TRUE);
    }
}

/// Runs the work that is due at each node and at the platform.
void
cluster_tick(config_cluster_t *cluster)
{
    for (uint32_t i = 0; i < cluster->node_count; i++) {
        cluster_node_t *node = &cluster->nodes[i];
        if (!node->up) {
            continue;
        }
        replicator_tick(&node->replicator);
        tick_long_poll(node, LIST_CONTRACTS);
        tick_long_poll(node, LIST_VMS);
    }
}

/// Delivers all messages, now and after each tick, while the clock advances by
/// @p duration_us.
void
cluster_run(config_cluster_t *cluster, int64_t duration_us)
{
    int64_t end_us = cluster->clock.now_us + duration_us;
    cluster_deliver_all(cluster);
    while (cluster->clock.now_us < end_us) {
        manual_clock_advance(&cluster->clock, REPLICATOR_TICK_US);
        cluster_tick(cluster);
        cluster_deliver_all(cluster);
    }
}

/// Returns the version in force at a node, 0 if it is down.
uint64_t
cluster_node_version(const config_cluster_t *cluster, uint32_t index,
                     const char *name)
{
    const cluster_node_t *node = &cluster->nodes[index];
    return node->up ? item_store_version(&node->replicator.store, name) : 0;
}

/// Returns how many nodes have exactly this version in force.
uint32_t
cluster_count_nodes_at(const config_cluster_t *cluster, const char *name,
                       uint64_t version)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < cluster->node_count; i++) {
        count += cluster_node_version(cluster, i, name) == version;
    }
    return count;
}
