/// @file
/// What a source's items are and when they changed. Answers a load in which
/// each change of the source would be read by every node: some nodes read it,
/// the others ask them for what changed since.

#include "ibisfield/config/item_feed.h"

typedef struct {
    char *name;
    uint64_t version; ///< revision of the last change
    char *value;
    size_t value_len; ///< 0: removed
    uint64_t listing; ///< in which it was last seen
} held_item_t;

/// Room in a message for the fields around an item's name and value.
#define ITEM_OVERHEAD_BYTES 32

static void
free_held(void *pointer)
{
    held_item_t *held = pointer;
    g_free(held->name);
    g_free(held->value);
    g_free(held);
}

/// Initialises an empty feed, which tells nothing yet.
void
item_feed_init(item_feed_t *feed, uint32_t removals_limit)
{
    *feed = (item_feed_t){
        .items =
            g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_held),
        .tombstones_max = removals_limit,
    };
}

void
item_feed_finish(item_feed_t *feed)
{
    g_hash_table_destroy(feed->items);
}

static void
set_value(item_feed_t *feed, held_item_t *held, uint64_t version,
          slice_t value)
{
    if (held->version != 0 && held->value_len == 0) {
        feed->tombstone_count--;
    }
    g_free(held->value);
    held->value = value.len == 0 ? NULL : g_strndup(value.data, value.len);
    held->value_len = value.len;
    held->version = version;
    if (value.len == 0) {
        feed->tombstone_count++;
    }
}

/// Takes an item as it was written, or its removal (value.len 0). A change
/// older than the one held is ignored.
void
item_feed_put(item_feed_t *feed, const config_item_t *item)
{
    held_item_t *held = g_hash_table_lookup(feed->items, item->name);
    if (held == NULL) {
        held = g_new0(held_item_t, 1);
        held->name = g_strdup(item->name);
        g_hash_table_insert(feed->items, held->name, held);
    }
    held->listing = feed->list_generation;
    if (item->version > held->version) {
        set_value(feed, held, item->version, item->value);
    }
}

/// Begins a whole list; its items follow as item_feed_put().
void
item_feed_list_begin(item_feed_t *feed)
{
    feed->list_generation++;
}

/// Ends a whole list that was read at @p revision: what it lacks was removed.
void
item_feed_list_end(item_feed_t *feed, uint64_t revision)
{
    GHashTableIter iter;
    void *pointer = NULL;
    g_hash_table_iter_init(&iter, feed->items);
    while (g_hash_table_iter_next(&iter, NULL, &pointer)) {
        held_item_t *held = pointer;
        if (held->listing != feed->list_generation && held->value_len > 0 &&
            held->version <= revision)
        {
            set_value(feed, held, revision, (slice_t){NULL, 0});
        }
    }
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
    return ((const held_item_t *)value)->value_len == 0;
}

/// All changes up to @p revision have been taken.
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

/// Fills a message with what changed after a revision, or with everything if
/// the removals since then are not all held. The message's items point into
/// the feed. Returns false if nothing can be told: the feed holds nothing yet,
/// or the changes don't fit in a message.
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
        const held_item_t *held = pointer;
        if (message->is_snapshot ? held->value_len == 0
                                 : held->version <= after) {
            continue;
        }
        config_item_t item = {
            .name = held->name,
            .version = held->version,
            .value = {held->value, held->value_len},
        };
        g_array_append_val(message->items, item);
        bytes += strlen(held->name) + held->value_len + ITEM_OVERHEAD_BYTES;
    }
    return message->items->len <= CONTROL_ITEMS_MAX &&
           bytes <= CONTROL_MESSAGE_MAX_BYTES;
}
