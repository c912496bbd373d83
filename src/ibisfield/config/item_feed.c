/// @file
/// The items of a source with the points of their last changes. This limits
/// the load on the source: instead of every node reading each change from it,
/// only a few nodes do. The other nodes request the changes since a point from
/// one of those few. A node at a point of an earlier era gets a snapshot: its
/// items may have been undone, which no change shows.

#include "ibisfield/config/item_feed.h"

#include <string.h>

typedef struct {
    char *name;
    source_point_t changed; ///< last change
    char *value;
    size_t value_len;         ///< 0: removed
    uint64_t list_generation; ///< number of the last full listing with it
} feed_record_t;

/// Space that an item takes in a message beyond its name and value.
#define ITEM_OVERHEAD_BYTES 32

static void
free_record(void *pointer)
{
    feed_record_t *record = pointer;
    g_free(record->name);
    g_free(record->value);
    g_free(record);
}

/// Initialises an empty feed, which yields no changes yet. With more than
/// @p tombstones_max removed items it discards their tombstones.
void
item_feed_init(item_feed_t *feed, uint32_t tombstones_max)
{
    *feed = (item_feed_t){
        .items =
            g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_record),
        .tombstones_max = tombstones_max,
    };
}

void
item_feed_finish(item_feed_t *feed)
{
    g_hash_table_destroy(feed->items);
}

static void
set_value(item_feed_t *feed, feed_record_t *record, source_point_t changed,
          slice_t value)
{
    if (source_point_is_set(record->changed) && record->value_len == 0) {
        feed->tombstone_count--;
    }
    g_free(record->value);
    record->value = value.len == 0 ? NULL : g_strndup(value.data, value.len);
    record->value_len = value.len;
    record->changed = changed;
    if (value.len == 0) {
        feed->tombstone_count++;
    }
}

/// Stores an item or its removal. A change that is not after the stored one is
/// ignored, and so is an item that was removed after it was read even if its
/// tombstone has been discarded.
void
item_feed_put(item_feed_t *feed, const source_item_t *item)
{
    feed_record_t *record = g_hash_table_lookup(feed->items, item->name);
    if (record == NULL) {
        if (source_record_is_outdated(feed->point, item->changed, item->read))
        {
            return;
        }
        record = g_new0(feed_record_t, 1);
        record->name = g_strdup(item->name);
        g_hash_table_insert(feed->items, record->name, record);
    }
    record->list_generation = feed->list_generation;
    if (source_point_compare(item->changed, record->changed) > 0) {
        feed->items_era = MAX(feed->items_era, item->changed.era);
        set_value(feed, record, item->changed, item->value);
    }
}

/// Keeps the stored value of an item for which the source has an earlier one.
/// Other nodes get the stored one in its place. Returns false if there is
/// none.
bool
item_feed_keep(item_feed_t *feed, const source_item_t *item)
{
    feed_record_t *record = g_hash_table_lookup(feed->items, item->name);
    if (record == NULL || record->value_len == 0) {
        return false;
    }
    record->list_generation = feed->list_generation;
    if (source_point_compare(item->changed, record->changed) > 0) {
        feed->items_era = MAX(feed->items_era, item->changed.era);
        record->changed = item->changed;
    }
    return true;
}

/// Replaces the value of a stored item by a later one that the source has
/// lost. Nodes that hold the item already don't get it as a change.
void
item_feed_replace(item_feed_t *feed, const char *name, slice_t value)
{
    feed_record_t *record = g_hash_table_lookup(feed->items, name);
    if (record != NULL && value.len > 0) {
        set_value(feed, record, record->changed, value);
    }
}

/// Starts a full listing of the source. Its items follow in calls of
/// item_feed_put().
void
item_feed_begin_listing(item_feed_t *feed)
{
    feed->list_generation++;
}

/// Notes that changes between two points were not seen one by one. With too
/// many gaps the history starts at the end of the first one.
static void
add_gap(item_feed_t *feed, source_point_t start, source_point_t end)
{
    if (source_point_compare(start, feed->inexact_point) == 0) {
        start.revision--;
    }
    if (feed->gap_count == FEED_GAPS_MAX) {
        feed->history_start =
            source_point_max(feed->history_start, feed->gaps[0].end);
        feed->gap_count--;
        memmove(&feed->gaps[0], &feed->gaps[1],
                feed->gap_count * sizeof(feed->gaps[0]));
    }
    feed->gaps[feed->gap_count++] = (feed_gap_t){start, end};
}

/// Returns whether a listing that ends at a point shows that the item is
/// removed: it was not written after that point.
static bool
is_absent(const item_feed_t *feed, const feed_record_t *record,
          source_point_t listed)
{
    return record->list_generation != feed->list_generation &&
           source_point_compare(record->changed, listed) <= 0;
}

/// Ends a full listing that was read at @p point. Items that it does not
/// contain count as removed, unless they were written after that point. A
/// listing of an earlier era than the one that is held changes nothing.
/// @p read_until: the last part of the listing was read then.
void
item_feed_end_listing(item_feed_t *feed, source_point_t point,
                      source_point_t read_until)
{
    bool new_era = point.era > feed->point.era;
    GHashTableIter iter;
    void *pointer = NULL;
    g_hash_table_iter_init(&iter, feed->items);
    while (g_hash_table_iter_next(&iter, NULL, &pointer)) {
        feed_record_t *record = pointer;
        if (!is_absent(feed, record, point)) {
            continue;
        }
        if (record->value_len > 0) {
            set_value(feed, record, point, (slice_t){NULL, 0});
        }
        else if (new_era) {
            // Nodes of the earlier era get a snapshot, without tombstones.
            g_hash_table_iter_remove(&iter);
            feed->tombstone_count--;
        }
    }
    if (!source_point_is_set(feed->point)) {
        feed->first_era = point.era;
    }
    // Removals before the first listing, and those that the new era undid, are
    // unknown.
    if (!source_point_is_set(feed->point) || new_era) {
        feed->history_start = point;
        feed->gap_count = 0;
    }
    else if (source_point_compare(point, feed->point) > 0) {
        add_gap(feed, feed->point, point);
    }
    if (source_point_compare(point, feed->point) >= 0) {
        bool exact = source_point_compare(read_until, point) <= 0;
        feed->inexact_point = exact ? (source_point_t){0} : point;
    }
    item_feed_advance(feed, point);
}

static gboolean
is_removed(void *key, void *value, void *context)
{
    (void)key;
    (void)context;
    return ((const feed_record_t *)value)->value_len == 0;
}

/// Notes that all changes up to @p point are stored. Discards the tombstones
/// if there are more than allowed.
void
item_feed_advance(item_feed_t *feed, source_point_t point)
{
    feed->point = source_point_max(feed->point, point);
    feed->items_era = MAX(feed->items_era, feed->point.era);
    if (feed->tombstone_count > feed->tombstones_max) {
        g_hash_table_foreach_remove(feed->items, is_removed, NULL);
        feed->tombstone_count = 0;
        feed->history_start = feed->point;
    }
}

/// Returns whether all removals after a point are held.
static bool
has_history_after(const item_feed_t *feed, source_point_t after)
{
    bool in_gap = false;
    for (uint32_t i = 0; i < feed->gap_count; i++) {
        in_gap |= source_point_compare(after, feed->gaps[i].start) > 0 &&
                  source_point_compare(after, feed->gaps[i].end) < 0;
    }
    return source_point_compare(after, feed->history_start) >= 0 && !in_gap;
}

/// Returns whether some changes after a point were not seen one by one.
static bool
has_gap_after(const item_feed_t *feed, source_point_t after)
{
    bool found = false;
    for (uint32_t i = 0; i < feed->gap_count; i++) {
        found |= source_point_compare(feed->gaps[i].end, after) > 0;
    }
    return found;
}

/// Returns whether items of beyond the point that is held may be missing here,
/// or may be here already.
static bool
is_inexact(const item_feed_t *feed)
{
    return source_point_compare(feed->point, feed->inexact_point) == 0;
}

/// Returns whether the changes of another node can be applied here. They hold
/// in one era only: those of an earlier one have been undone, and a later one
/// begins with a snapshot. Items that are held here from beyond the own point
/// may have been removed in a gap of the other node.
bool
item_feed_accepts(const item_feed_t *feed, const control_message_t *message)
{
    if (message->is_snapshot) {
        return message->point.era >= feed->point.era;
    }
    return message->point.era == feed->point.era &&
           !(message->has_gap && is_inexact(feed));
}

/// Notes that the changes up to @p point of another node are stored, which has
/// not seen all of them one by one.
void
item_feed_advance_over_gap(item_feed_t *feed, source_point_t point)
{
    if (source_point_compare(point, feed->point) > 0) {
        add_gap(feed, feed->point, point);
        feed->inexact_point = point;
    }
    item_feed_advance(feed, point);
}

/// Fills a message with the changes after a point, or with a snapshot if not
/// all removals since then are held. The items of the message point into the
/// feed. Returns false if the feed has no state of one era, as before the end
/// of the first listing of an era, or if the changes don't fit in a message.
bool
item_feed_collect_changes(const item_feed_t *feed, source_point_t after,
                          control_message_t *message)
{
    if (!source_point_is_set(feed->point) ||
        feed->items_era != feed->point.era) {
        return false;
    }
    message->point = feed->point;
    message->is_snapshot = !has_history_after(feed, after);
    message->has_gap = is_inexact(feed) ||
                       (!message->is_snapshot && has_gap_after(feed, after));
    size_t bytes = 0;
    GHashTableIter iter;
    void *pointer = NULL;
    g_hash_table_iter_init(&iter, feed->items);
    while (g_hash_table_iter_next(&iter, NULL, &pointer)) {
        const feed_record_t *record = pointer;
        if (message->is_snapshot
                ? record->value_len == 0
                : source_point_compare(record->changed, after) <= 0)
        {
            continue;
        }
        config_item_t item = {
            .name = record->name,
            .version = record->changed.revision,
            .value = {record->value, record->value_len},
        };
        g_array_append_val(message->items, item);
        bytes +=
            strlen(record->name) + record->value_len + ITEM_OVERHEAD_BYTES;
    }
    return message->items->len <= CONTROL_ITEMS_MAX &&
           bytes <= CONTROL_MESSAGE_MAX_BYTES;
}
