#ifndef IBISFIELD_CONFIG_ITEM_FEED_H
#define IBISFIELD_CONFIG_ITEM_FEED_H

#include <glib.h>

#include "ibisfield/config/control_defs.h"

/// A copy of the items of a source whose revision grows with each change. It
/// yields the changes after the revision that another node holds.
typedef struct {
    GHashTable *items;        ///< name to feed_record_t, with tombstones
    uint64_t revision;        ///< all changes up to it are held; 0: none
    uint64_t history_start;   ///< all removals after it are held
    uint64_t list_generation; ///< number of the last full listing
    uint32_t tombstone_count;
    uint32_t tombstones_max; ///< above it all tombstones are discarded
} item_feed_t;

void item_feed_init(item_feed_t *feed, uint32_t tombstones_max);
void item_feed_finish(item_feed_t *feed);
void item_feed_put(item_feed_t *feed, const config_item_t *item,
                   uint64_t read_revision);
void item_feed_begin_listing(item_feed_t *feed);
void item_feed_end_listing(item_feed_t *feed, uint64_t revision);
void item_feed_advance(item_feed_t *feed, uint64_t revision);
bool item_feed_collect_changes(const item_feed_t *feed, uint64_t after,
                               control_message_t *message);

#endif
