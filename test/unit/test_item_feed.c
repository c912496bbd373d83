/// @file
/// What an item feed yields: the changes after a revision, a snapshot, or
/// nothing.

#include "ibisfield/config/control_codec.h"
#include "ibisfield/config/item_feed.h"

#include "common/suite.h"

#define TOMBSTONES_MAX 4

static void
put(item_feed_t *feed, const char *name, uint64_t version, const char *value)
{
    item_feed_put(feed,
                  &(source_item_t){name,
                                   value == NULL ? (slice_t){NULL, 0}
                                                 : slice_from_string(value),
                                   {0, version},
                                   {0, 0}});
}

/// Ends a listing that was read at one point.
static void
end_listing(item_feed_t *feed, source_point_t point)
{
    item_feed_end_listing(feed, point, point);
}

static void
start(item_feed_t *feed)
{
    item_feed_init(feed, TOMBSTONES_MAX);
    item_feed_begin_listing(feed);
    put(feed, "a", 3, "1");
    put(feed, "b", 5, "1");
    end_listing(feed, (source_point_t){0, 6});
}

static gint
compare_names(gconstpointer a, gconstpointer b)
{
    return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/// Returns the sorted names of the changes after a revision, with "-" before
/// removed ones.
static char *
format_changes(const item_feed_t *feed, uint64_t after, bool *is_snapshot)
{
    control_message_t message;
    control_message_init(&message, CONTROL_CHANGES, "vm");
    if (!item_feed_collect_changes(feed, (source_point_t){0, after}, &message))
    {
        control_message_clear(&message);
        return g_strdup("nothing");
    }
    GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
    for (guint i = 0; i < message.items->len; i++) {
        const config_item_t *item =
            &g_array_index(message.items, config_item_t, i);
        g_ptr_array_add(names, g_strconcat(item->value.len == 0 ? "-" : "",
                                           item->name, NULL));
    }
    g_ptr_array_sort(names, compare_names);
    GString *text = g_string_new(NULL);
    for (guint i = 0; i < names->len; i++) {
        g_string_append(text, names->pdata[i]);
    }
    *is_snapshot = message.is_snapshot;
    g_ptr_array_unref(names);
    control_message_clear(&message);
    return g_string_free(text, FALSE);
}

static void
assert_changes(const item_feed_t *feed, uint64_t after, const char *names,
               bool is_snapshot)
{
    bool found_snapshot = false;
    char *text = format_changes(feed, after, &found_snapshot);
    CU_ASSERT_STRING_EQUAL(text, names);
    CU_ASSERT_EQUAL(found_snapshot, is_snapshot);
    g_free(text);
}

/// Guards against followers that miss a change, or get a snapshot instead of
/// the changes.
static void
test_changes(void)
{
    item_feed_t feed;
    start(&feed);
    assert_changes(&feed, 6, "", false);
    put(&feed, "c", 8, "1");
    put(&feed, "a", 9, NULL);
    put(&feed, "b", 4, "older");
    item_feed_advance(&feed, (source_point_t){0, 9});
    assert_changes(&feed, 6, "-ac", false);
    assert_changes(&feed, 8, "-a", false);
    assert_changes(&feed, 12, "", false);
    item_feed_finish(&feed);
}

/// Guards against a follower that keeps items that were removed before the
/// feed's history starts: it must get a snapshot.
static void
test_snapshot_without_history(void)
{
    item_feed_t feed;
    bool is_snapshot = false;
    item_feed_init(&feed, TOMBSTONES_MAX);
    char *text = format_changes(&feed, 0, &is_snapshot);
    CU_ASSERT_STRING_EQUAL(text, "nothing");
    g_free(text);
    item_feed_finish(&feed);
    start(&feed);
    assert_changes(&feed, 5, "ab", true);
    for (uint64_t i = 0; i < TOMBSTONES_MAX; i++) {
        char name[2] = {(char)('p' + i), 0};
        put(&feed, name, 10 + i, NULL);
    }
    item_feed_advance(&feed, (source_point_t){0, 20});
    assert_changes(&feed, 6, "-p-q-r-s", false);
    put(&feed, "t", 21, NULL);
    item_feed_advance(&feed, (source_point_t){0, 21});
    assert_changes(&feed, 20, "ab", true);
    assert_changes(&feed, 21, "", false);
    item_feed_finish(&feed);
}

/// Guards against a feed that keeps an item that a full listing does not
/// contain.
static void
test_full_listing_removes_absent_items(void)
{
    item_feed_t feed;
    start(&feed);
    item_feed_begin_listing(&feed);
    put(&feed, "b", 5, "1");
    end_listing(&feed, (source_point_t){0, 11});
    assert_changes(&feed, 6, "-a", false);
    assert_changes(&feed, 0, "b", true);
    // An item written while the list was read does not count as removed.
    put(&feed, "d", 15, "1");
    item_feed_begin_listing(&feed);
    put(&feed, "b", 5, "1");
    end_listing(&feed, (source_point_t){0, 14});
    assert_changes(&feed, 11, "d", false);
    item_feed_finish(&feed);
}

/// Guards against followers that list a removed VM again: a late change
/// brought it back once its tombstone had been discarded (review/5).
static void
test_late_changes_after_discarded_tombstones(void)
{
    item_feed_t feed;
    start(&feed);
    for (uint64_t i = 0; i <= TOMBSTONES_MAX; i++) {
        char name[2] = {(char)('p' + i), 0};
        put(&feed, name, 10 + i, NULL);
    }
    put(&feed, "a", 19, NULL);
    item_feed_advance(&feed, (source_point_t){0, 20});
    put(&feed, "a", 18, "late");
    assert_changes(&feed, 0, "b", true);
    // The source still has it: this feed didn't get it before.
    item_feed_put(
        &feed, &(source_item_t){"c", slice_from_string("1"), {0, 7}, {0, 20}});
    assert_changes(&feed, 0, "bc", true);
    put(&feed, "a", 21, "new");
    assert_changes(&feed, 20, "a", false);
    item_feed_finish(&feed);
}

static void
put_at(item_feed_t *feed, const char *name, source_point_t changed)
{
    item_feed_put(feed,
                  &(source_item_t){name, SLICE_LITERAL("2"), changed, {0, 0}});
}

/// Guards against followers that get no snapshot of a new era, or items of two
/// eras at once.
static void
test_new_era(void)
{
    item_feed_t feed;
    start(&feed);
    put(&feed, "z", 7, NULL);
    item_feed_advance(&feed, (source_point_t){0, 9});
    item_feed_begin_listing(&feed);
    put_at(&feed, "a", (source_point_t){1, 2});
    // Half of the listing is of the new era.
    bool is_snapshot = false;
    char *text = format_changes(&feed, 6, &is_snapshot);
    CU_ASSERT_STRING_EQUAL(text, "nothing");
    g_free(text);
    CU_ASSERT_TRUE(item_feed_keep(
        &feed, &(source_item_t){.name = "b", .changed = {1, 3}}));
    CU_ASSERT_FALSE(item_feed_keep(
        &feed, &(source_item_t){.name = "z", .changed = {1, 3}}));
    end_listing(&feed, (source_point_t){1, 4});
    CU_ASSERT_EQUAL(feed.point.era, 1);
    CU_ASSERT_EQUAL(feed.tombstone_count, 0);
    assert_changes(&feed, 9, "ab", true);
    // A late listing and late changes of the era before.
    item_feed_begin_listing(&feed);
    put(&feed, "a", 30, "late");
    end_listing(&feed, (source_point_t){0, 31});
    CU_ASSERT_EQUAL(feed.point.revision, 4);
    assert_changes(&feed, 9, "ab", true);
    item_feed_finish(&feed);
}

/// Guards against a node that asks for the changes after a point within a
/// listing and keeps an item whose removal the listing hides.
static void
test_gaps(void)
{
    item_feed_t feed;
    start(&feed);
    for (uint64_t i = 1; i <= FEED_GAPS_MAX + 1; i++) {
        item_feed_begin_listing(&feed);
        put(&feed, "b", 5, "1");
        end_listing(&feed, (source_point_t){0, 6 + i * 10});
    }
    assert_changes(&feed, 16 + 10, "", false);
    assert_changes(&feed, 16 + 12, "b", true);
    assert_changes(&feed, 10, "b", true);
    assert_changes(&feed, 15, "b", true);
    assert_changes(&feed, 6, "b", true);
    item_feed_finish(&feed);
}

/// Guards against a message that exceeds the limits of the decoder.
static void
test_changes_beyond_one_message(void)
{
    item_feed_t feed;
    bool is_snapshot = false;
    start(&feed);
    char *value = g_strnfill(CONTROL_MESSAGE_MAX_BYTES / 2, 'x');
    put(&feed, "big1", 7, value);
    put(&feed, "big2", 8, value);
    item_feed_advance(&feed, (source_point_t){0, 8});
    char *text = format_changes(&feed, 6, &is_snapshot);
    CU_ASSERT_STRING_EQUAL(text, "nothing");
    g_free(text);
    assert_changes(&feed, 7, "big2", false);
    g_free(value);
    item_feed_finish(&feed);
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"changes", test_changes},
        {"snapshot without history", test_snapshot_without_history},
        {"full listing removes", test_full_listing_removes_absent_items},
        {"late changes", test_late_changes_after_discarded_tombstones},
        {"new era", test_new_era},
        {"gaps", test_gaps},
        {"changes beyond one message", test_changes_beyond_one_message},
        CU_TEST_INFO_NULL,
    };
    return run_suite("item feed", tests);
}
