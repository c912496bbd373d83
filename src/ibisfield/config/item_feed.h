#ifndef IBISFIELD_CONFIG_ITEM_FEED_H
#define IBISFIELD_CONFIG_ITEM_FEED_H

#include <glib.h>

#include "ibisfield/config/control_defs.h"
#include "ibisfield/config/source_point.h"

#define FEED_GAPS_MAX 8

/// Points, both excluded, between which a listing has taken the place of the
/// changes: removals of items that were never held here are unknown.
typedef struct {
    source_point_t start;
    source_point_t end;
} feed_gap_t;

/// A copy of the items of a source. It yields the changes after the point that
/// another node holds.
typedef struct {
    GHashTable *items;              ///< name to feed_record_t, with tombstones
    source_point_t point;           ///< all changes up to it are held
    source_point_t history_start;   ///< all removals after it are held
    feed_gap_t gaps[FEED_GAPS_MAX]; ///< after history_start, in order
    uint32_t gap_count;
    /// End of the last listing if parts of it were read later, here or at the
    /// node that it comes from: items that were removed in between may never
    /// have been held. Otherwise unset.
    source_point_t inexact_point;
    uint64_t first_era; ///< of the first listing
    /// Latest era of an item. Above that of @p point while a listing of a new
    /// era is in progress; the feed yields nothing then, because the items are
    /// partly of one era and partly of the other.
    uint64_t items_era;
    uint64_t list_generation; ///< number of the last full listing
    uint32_t tombstone_count;
    uint32_t tombstones_max; ///< above it all tombstones are discarded
} item_feed_t;

void item_feed_init(item_feed_t *feed, uint32_t tombstones_max);
void item_feed_finish(item_feed_t *feed);
void item_feed_put(item_feed_t *feed, const source_item_t *item);
bool item_feed_keep(item_feed_t *feed, const source_item_t *item);
void item_feed_replace(item_feed_t *feed, const char *name, slice_t value);
void item_feed_begin_listing(item_feed_t *feed);
void item_feed_end_listing(item_feed_t *feed, source_point_t point,
                           source_point_t read_until);
void item_feed_advance(item_feed_t *feed, source_point_t point);
void item_feed_advance_over_gap(item_feed_t *feed, source_point_t point);
bool item_feed_accepts(const item_feed_t *feed,
                       const control_message_t *message);
bool item_feed_collect_changes(const item_feed_t *feed, source_point_t after,
                               control_message_t *message);

#endif
