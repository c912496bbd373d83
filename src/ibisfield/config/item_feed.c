/// @file
/// The items of a source with the revisions of their last changes. This limits
/// the load on the source: instead of every node reading each change from it,
/// only a few nodes do. The other nodes request the changes since a revision
/// from one of those few.

#include "ibisfield/config/item_feed.h"

#include "ibisfield/config/source_order.h"

typedef struct {
    char *name;
    uint64_t version; ///< revision of the source at the last change
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
set_value(item_feed_t *feed, feed_record_t *record, uint64_t version,
          slice_t value)
{
    if (record->version != 0 && record->value_len == 0) {
        feed->tombstone_count--;
    }
    g_free(record->value);
    record->value = value.len == 0 ? NULL : g_strndup(value.data, value.len);
    record->value_len = value.len;
    record->version = version;
    if (value.len == 0) {
        feed->tombstone_count++;
    }
}

/// Stores an item, or its removal if value.len is 0. A version that is not
/// above the stored one is ignored, and so is an item that was removed after
/// it was read even if its tombstone has been discarded. @p read_revision is
/// the revision at which the source still had the item, 0 if it comes from a
/// change.
void
item_feed_put(item_feed_t *feed, const config_item_t *item,
              uint64_t read_revision)
{
    feed_record_t *record = g_hash_table_lookup(feed->items, item->name);
    if (record == NULL) {
        if (source_record_is_outdated(feed->revision, item->version,
                                      read_revision)) {
            return;
        }
        record = g_new0(feed_record_t, 1);
        record->name = g_strdup(item->name);
        g_hash_table_insert(feed->items, record->name, record);
    }
    record->list_generation = feed->list_generation;
    if (item->version > record->version) {
        set_value(feed, record, item->version, item->value);
    }
}

/// Starts a full listing of the source. Its items follow in calls of
/// item_feed_put().
void
item_feed_begin_listing(item_feed_t *feed)
{
    feed->list_generation++;
}

/// Ends a full listing that was read at @p revision. Items that it does not
/// contain count as removed, unless they were written after that revision.
void
item_feed_end_listing(item_feed_t *feed, uint64_t revision)
{
    GHashTableIter iter;
    void *pointer = NULL;
    g_hash_table_iter_init(&iter, feed->items);
    while (g_hash_table_iter_next(&iter, NULL, &pointer)) {
        feed_record_t *record = pointer;
        if (record->list_generation != feed->list_generation &&
            record->value_len > 0 && record->version <= revision)
        {
            set_value(feed, record, revision, (slice_t){NULL, 0});
        }
    }
    // Removals before the first listing are unknown.
    if (feed->revision == 0) {
        feed->history_start = revision;
    }
    item_feed_advance(feed, revision);
}

static gboolean
is_removed(void *key, void *value, void *context)
{
    (void)key;
    (void)context;
    return ((const feed_record_t *)value)->value_len == 0;
}

/// Notes that all changes up to @p revision are stored. Discards the
/// tombstones if there are more than allowed.
void
item_feed_advance(item_feed_t *feed, uint64_t revision)
{
    feed->revision = MAX(feed->revision, revision);
    if (feed->tombstone_count > feed->tombstones_max) {
        g_hash_table_foreach_remove(feed->items, is_removed, NULL);
        feed->tombstone_count = 0;
        feed->history_start = feed->revision;
    }
}

/// Fills a message with the changes after a revision, or with a snapshot if
/// not all removals since then are held. The items of the message point into
/// the feed. Returns false if the feed has no revision yet, as before the end
/// of the first listing, or if the changes don't fit in a message.
bool
item_feed_collect_changes(const item_feed_t *feed, uint64_t after,
                          control_message_t *message)
{
    if (feed->revision == 0) {
        return false;
    }
    message->revision = feed->revision;
    message->is_snapshot = after < feed->history_start;
    size_t bytes = 0;
    GHashTableIter iter;
    void *pointer = NULL;
    g_hash_table_iter_init(&iter, feed->items);
    while (g_hash_table_iter_next(&iter, NULL, &pointer)) {
        const feed_record_t *record = pointer;
        if (message->is_snapshot ? record->value_len == 0
                                 : record->version <= after) {
            continue;
        }
        config_item_t item = {
            .name = record->name,
            .version = record->version,
            .value = {record->value, record->value_len},
        };
        g_array_append_val(message->items, item);
        bytes +=
            strlen(record->name) + record->value_len + ITEM_OVERHEAD_BYTES;
    }
    return message->items->len <= CONTROL_ITEMS_MAX &&
           bytes <= CONTROL_MESSAGE_MAX_BYTES;
}
