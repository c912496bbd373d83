/// @file
/// Order of the points of a source's history, and which records it makes
/// outdated. Nodes over which drills of the source, writes and exchanges
/// interleave at random end with the list of the source.

#include "ibisfield/config/control_codec.h"
#include "ibisfield/config/item_feed.h"
#include "ibisfield/config/published_list.h"

#include <inttypes.h>
#include <stdio.h>

#include "common/suite.h"

/// Guards against an order in which revisions count for more than eras.
static void
test_eras_go_before_revisions(void)
{
    static const source_point_t sorted[] = {
        {0, 0}, {0, 1}, {0, 1000}, {1, 0}, {1, 1}, {1, 950}, {1, 1000}, {2, 3},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(sorted); i++) {
        for (size_t j = 0; j < G_N_ELEMENTS(sorted); j++) {
            int order = source_point_compare(sorted[i], sorted[j]);
            CU_ASSERT_EQUAL(order < 0, i < j);
            CU_ASSERT_EQUAL(order > 0, i > j);
            source_point_t last = source_point_max(sorted[i], sorted[j]);
            CU_ASSERT_EQUAL(source_point_compare(last, sorted[MAX(i, j)]), 0);
        }
        CU_ASSERT_EQUAL(source_point_is_set(sorted[i]),
                        sorted[i].revision != 0);
    }
}

/// Guards against changes of a new era that count as outdated, and changes of
/// an earlier one that don't.
static void
test_outdated_records(void)
{
    const source_point_t none = {0, 0};
    const source_point_t known = {2, 950};
    CU_ASSERT_TRUE(
        source_record_is_outdated(known, (source_point_t){1, 1000}, none));
    CU_ASSERT_TRUE(source_record_is_outdated(known, (source_point_t){1, 1000},
                                             (source_point_t){1, 1001}));
    CU_ASSERT_TRUE(
        source_record_is_outdated(known, (source_point_t){2, 940}, none));
    CU_ASSERT_FALSE(source_record_is_outdated(known, (source_point_t){2, 940},
                                              (source_point_t){2, 950}));
    CU_ASSERT_FALSE(
        source_record_is_outdated(known, (source_point_t){2, 951}, none));
    CU_ASSERT_FALSE(
        source_record_is_outdated(known, (source_point_t){3, 1}, none));
}

/* Model: a store with drills, and nodes that read it or each other. */

enum { NODES = 4, SERVERS = 6, STEPS = 60, RUNS_DEFAULT = 3000 };

/// Runs of the model, with the seeds from 1 on; the first argument of the
/// program.
static guint32 model_runs = RUNS_DEFAULT;

typedef struct {
    bool exists;
    bool draining;
    int born;
    int sequence;
    uint64_t revision;
} model_record_t;

typedef struct {
    uint64_t revision;
    model_record_t records[SERVERS];
} model_state_t;

/// What a server really is, whatever the store holds.
typedef struct {
    bool alive;
    bool draining;
    int born;
    int sequence;
} model_server_t;

typedef struct {
    published_list_t list;
    item_feed_t feed;
} model_node_t;

static struct {
    GRand *random;
    manual_clock_t clock;
    uint64_t era;
    model_state_t now;
    model_state_t copies[2];
    model_server_t servers[SERVERS];
    model_node_t nodes[NODES];
} model;

static void
ignore_listed(void *context, const vm_info_t *info)
{
    (void)context;
    (void)info;
}

static void
ignore_removed(void *context, const char *vm)
{
    (void)context;
    (void)vm;
}

static void
start_node_model(model_node_t *node)
{
    published_list_init(
        &node->list, &model.clock.base,
        &(published_list_hooks_t){ignore_listed, ignore_removed}, NULL);
    item_feed_init(&node->feed, 4);
}

static void
finish_node_model(model_node_t *node)
{
    published_list_finish(&node->list);
    item_feed_finish(&node->feed);
}

static int
draw(int count)
{
    return g_rand_int_range(model.random, 0, count);
}

/// Delivers a record, or its removal, to a node.
static void
deliver(model_node_t *node, int server, const model_record_t *record,
        uint64_t era, source_point_t read)
{
    char vm[8];
    char value[64];
    g_snprintf(vm, sizeof(vm), "s%d", server);
    g_snprintf(value, sizeof(value), "%d %d %d", record->draining,
               record->born, record->sequence);
    source_item_t item = {vm,
                          record->exists ? slice_from_string(value)
                                         : (slice_t){NULL, 0},
                          {era, record->revision},
                          read};
    bool taken = true;
    if (record->exists) {
        vm_info_t info = {.vm = vm,
                          .draining = record->draining,
                          .born_ms = record->born,
                          .sequence = (uint64_t)record->sequence};
        taken =
            published_list_put(&node->list, &info, item.changed, item.read);
    }
    else {
        published_list_remove(&node->list, vm, item.changed);
    }
    if (taken || !item_feed_keep(&node->feed, &item)) {
        item_feed_put(&node->feed, &item);
    }
}

static void
write_record(int server)
{
    const model_server_t *state = &model.servers[server];
    model.now.records[server] = (model_record_t){
        .exists = state->alive,
        .draining = state->draining,
        .born = state->born,
        .sequence = state->sequence,
        .revision = ++model.now.revision,
    };
}

static void
change_server(int server)
{
    model_server_t *state = &model.servers[server];
    state->sequence++;
    if (!state->alive) {
        // Starts, under its name.
        *state = (model_server_t){
            .alive = true, .born = state->born + 10, .sequence = 1};
    }
    else if (state->draining || draw(9) == 0) {
        state->alive = false;
    }
    else {
        state->draining = draw(3) == 0;
    }
    write_record(server);
}

/// A node lists the store, in two pages between which it may change.
static void
list_store(model_node_t *node, bool with_change)
{
    source_point_t point = {model.era, model.now.revision};
    published_list_begin_listing(&node->list);
    item_feed_begin_listing(&node->feed);
    for (int i = 0; i < SERVERS; i++) {
        if (with_change && i == SERVERS / 2) {
            change_server(draw(SERVERS));
        }
        if (model.now.records[i].exists) {
            deliver(node, i, &model.now.records[i], model.era,
                    (source_point_t){model.era, model.now.revision});
        }
    }
    published_list_end_listing(&node->list, point);
    item_feed_end_listing(&node->feed, point,
                          (source_point_t){model.era, model.now.revision});
}

/// A watch returns the changes after the point of a node. One from a point
/// that the store doesn't have, or of another era, leads to a listing.
static void
watch_store(model_node_t *node)
{
    source_point_t after = node->feed.point;
    if (after.era != model.era || after.revision > model.now.revision ||
        !source_point_is_set(after))
    {
        list_store(node, draw(2) == 0);
        return;
    }
    for (int i = 0; i < SERVERS; i++) {
        if (model.now.records[i].revision > after.revision) {
            deliver(node, i, &model.now.records[i], model.era,
                    (source_point_t){0, 0});
        }
    }
    source_point_t point = {model.era, model.now.revision};
    published_list_advance(&node->list, point);
    item_feed_advance(&node->feed, point);
}

/// A node gets what another one holds, as change_feed.c does. Returns false if
/// it got nothing that it can apply.
static bool
follow_node(model_node_t *node, const model_node_t *other)
{
    control_message_t message;
    control_message_init(&message, CONTROL_CHANGES_ERA, "other");
    bool told =
        item_feed_collect_changes(&other->feed, node->feed.point, &message);
    bool accepted = told && source_point_is_set(node->feed.point) &&
                    item_feed_accepts(&node->feed, &message);
    if (accepted) {
        if (message.is_snapshot) {
            published_list_begin_listing(&node->list);
            item_feed_begin_listing(&node->feed);
        }
        for (guint i = 0; i < message.items->len; i++) {
            const config_item_t *item =
                &g_array_index(message.items, config_item_t, i);
            char *value = g_strndup(item->value.data, item->value.len);
            int draining = 0;
            model_record_t record = {.exists = item->value.len > 0,
                                     .revision = item->version};
            if (record.exists) {
                (void)sscanf(value, "%d %d %d", &draining, &record.born,
                             &record.sequence);
                record.draining = draining != 0;
            }
            deliver(node, item->name[1] - '0', &record, message.point.era,
                    message.point);
            g_free(value);
        }
        if (message.is_snapshot) {
            published_list_end_listing(&node->list, message.point);
            source_point_t read_until = message.point;
            read_until.revision += message.has_gap;
            item_feed_end_listing(&node->feed, message.point, read_until);
        }
        else {
            published_list_advance(&node->list, message.point);
            if (message.has_gap) {
                item_feed_advance_over_gap(&node->feed, message.point);
            }
            item_feed_advance(&node->feed, message.point);
        }
    }
    control_message_clear(&message);
    return accepted;
}

static void
step(void)
{
    model_node_t *node = &model.nodes[draw(NODES)];
    switch (draw(12)) {
    case 0:
    case 1:
    case 2:
        change_server(draw(SERVERS));
        break;
    case 3:
        model.copies[draw(2)] = model.now;
        break;
    case 4:
        // A drill. Later each server writes its state again.
        if (draw(3) == 0) {
            model.now = model.copies[draw(2)];
            model.era++;
        }
        break;
    case 5:
        write_record(draw(SERVERS));
        break;
    case 6:
        if (draw(4) == 0) {
            finish_node_model(node);
            start_node_model(node);
        }
        break;
    case 7:
        // Removals are pending for a while.
        published_list_source_lost(&node->list);
        break;
    case 8:
        published_list_source_recovered(&node->list);
        break;
    case 9:
        follow_node(node, &model.nodes[draw(NODES)]);
        break;
    default:
        watch_store(node);
        break;
    }
    manual_clock_advance(&model.clock, draw(400) * US_PER_MS);
    published_list_tick(&node->list);
}

static void
assert_node_matches(const model_node_t *node, guint32 seed)
{
    int listed = 0;
    bool equal = true;
    for (int i = 0; i < SERVERS; i++) {
        char vm[8];
        g_snprintf(vm, sizeof(vm), "s%d", i);
        bool known = g_hash_table_contains(node->list.vms, vm);
        listed += known;
        equal &= known == model.servers[i].alive;
    }
    equal &= (int)g_hash_table_size(node->list.vms) == listed;
    equal &= node->feed.point.era == model.era;
    equal &= node->feed.point.revision == model.now.revision;
    if (!equal) {
        printf("seed %u: node %d at %" PRIu64 ".%" PRIu64 " of %" PRIu64
               ".%" PRIu64 ":",
               seed, (int)(node - model.nodes), node->feed.point.era,
               node->feed.point.revision, model.era, model.now.revision);
        for (int i = 0; i < SERVERS; i++) {
            char vm[8];
            g_snprintf(vm, sizeof(vm), "s%d", i);
            bool known = g_hash_table_contains(node->list.vms, vm);
            if (known != model.servers[i].alive) {
                printf(" %s is %s", vm, known ? "listed" : "missing");
            }
        }
        printf("\n");
    }
    CU_ASSERT_TRUE(equal);
}

static void
run_model(guint32 seed)
{
    model.random = g_rand_new_with_seed(seed);
    manual_clock_init(&model.clock, 100 * US_PER_S);
    model.era = 1;
    model.now = (model_state_t){.revision = 1};
    for (int i = 0; i < SERVERS; i++) {
        model.servers[i] =
            (model_server_t){.alive = true, .born = 10, .sequence = 1};
        write_record(i);
    }
    model.copies[0] = model.copies[1] = model.now;
    for (int i = 0; i < NODES; i++) {
        start_node_model(&model.nodes[i]);
    }
    for (int i = 0; i < STEPS; i++) {
        step();
    }
    // All servers write again, and the store removes the others.
    for (int i = 0; i < SERVERS; i++) {
        model.servers[i].sequence++;
        write_record(i);
    }
    for (int i = 0; i < NODES; i++) {
        published_list_source_recovered(&model.nodes[i].list);
        // A node that has just started reads the store before all else.
        if (i == 0 || !source_point_is_set(model.nodes[i].feed.point)) {
            list_store(&model.nodes[i], false);
        }
        else if (!follow_node(&model.nodes[i], &model.nodes[i - 1])) {
            watch_store(&model.nodes[i]);
        }
    }
    // The end of the grace period for removals.
    manual_clock_advance(&model.clock, 3 * US_PER_S);
    for (int i = 0; i < NODES; i++) {
        published_list_tick(&model.nodes[i].list);
        assert_node_matches(&model.nodes[i], seed);
        finish_node_model(&model.nodes[i]);
    }
    g_rand_free(model.random);
}

static void
ignore_log(const gchar *domain, GLogLevelFlags level, const gchar *text,
           gpointer context)
{
    (void)domain;
    (void)level;
    (void)text;
    (void)context;
}

/// Guards against a node that stays behind after any series of drills, writes,
/// restarts and exchanges between nodes.
static void
test_nodes_end_at_the_state_of_the_store(void)
{
    GLogFunc previous = g_log_set_default_handler(ignore_log, NULL);
    for (guint32 seed = 1; seed <= model_runs; seed++) {
        run_model(seed);
    }
    g_log_set_default_handler(previous, NULL);
}

int
main(int argc, char **argv)
{
    if (argc > 1) {
        model_runs = (guint32)g_ascii_strtoull(argv[1], NULL, 10);
    }
    CU_TestInfo tests[] = {
        {"order", test_eras_go_before_revisions},
        {"outdated records", test_outdated_records},
        {"random interleavings", test_nodes_end_at_the_state_of_the_store},
        CU_TEST_INFO_NULL,
    };
    return run_suite("source point", tests);
}
