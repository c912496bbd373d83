#ifndef IBISFIELD_IO_CHANGE_FEED_H
#define IBISFIELD_IO_CHANGE_FEED_H

#include <json-c/json.h>

#include "ibisfield/config/item_feed.h"
#include "ibisfield/config/vm_view.h"
#include "ibisfield/io/http_server.h"
#include "ibisfield/workspace/key_proof.h"

/// Readers that a node follows at the same time. With two, a change is delayed
/// only if both have lost the source without noticing.
#define FEED_SUBSCRIPTIONS 2

/// Calls from the feed to its source. Items learned from other nodes are
/// reported as if the source had been read.
typedef struct {
    void (*listing_started)(void *context);
    /// Returns false if a later state of the item is known, which holds in its
    /// place.
    bool (*item)(void *context, const source_item_t *item);
    void (*listing_ended)(void *context, source_point_t point);
    /// All changes up to @p point have been reported.
    void (*advanced)(void *context, source_point_t point);
    /// Another node has seen @p era of the source, which is later than that of
    /// the point held here.
    void (*later_era_seen)(void *context, uint64_t era);
    /// Reports that for the next @p duration_us removals aren't final, because
    /// the store's records of live VMs may have expired.
    void (*extend_removal_grace)(void *context, int64_t duration_us);
    /// Starts or stops reads of the source by this node.
    void (*set_source_reading)(void *context, bool reading);
    /// Reports whether other nodes follow this one. They notice that the
    /// source is silent only through it.
    void (*set_followed)(void *context, bool followed);
    /// Returns for how long removals still aren't final, because the store's
    /// records of live VMs may have expired; 0 if they are final.
    int64_t (*removal_grace_left_us)(void *context);
} change_feed_callbacks_t;

typedef struct change_feed change_feed_t;

/// Long polls of one reader, one at a time.
typedef struct {
    change_feed_t *feed;
    endpoint_t reader; ///< port 0: none
    http_pool_t *pool;
    http_exchange_t *exchange;
    int64_t asked_us;              ///< start of the poll in progress
    loop_timer_t poll_timer;       ///< starts the next poll
    bool healthy;                  ///< the last poll succeeded
    int64_t removal_grace_ends_us; ///< at the reader, as it reported last
    bool selected;                 ///< for use in update_subscriptions() only
} feed_subscription_t;

/// Request for the changes that another node holds and this one lacks. Its own
/// way to the source, a watch or its readers, may be silent without having
/// failed.
typedef struct {
    endpoint_t peer;      ///< reported the point last
    source_point_t point; ///< latest that another node reported
    int64_t due_us;       ///< time of the next request, if still behind
    http_pool_t *pool;
    http_exchange_t *exchange; ///< NULL: none in progress
    int64_t asked_us;          ///< its start
    int64_t proof_due_us;      ///< earliest next request for a proof only
    endpoint_t state_peer;     ///< reported @p state_version
    uint64_t state_version;    ///< highest that another node reported
    int64_t state_due_us;      ///< time of the next request, if still lower
} feed_catch_up_t;

/// Distributes the changes of a source among the nodes of a data centre: a few
/// nodes (the readers) read it, each of the others polls two readers.
struct change_feed {
    loop_t *loop;
    const settings_t *settings;
    const vm_view_t *vms;
    key_proof_t *key_proof;
    change_feed_callbacks_t callbacks;
    void *context; ///< NULL: the feed has no source
    item_feed_t items;
    /// Version of the desired state in force; 0: none. It may be later than
    /// the one of the source, which the source has lost.
    uint64_t state_version;
    /// VM name to vm_info_t: the VMs of the data centre that aren't draining.
    GHashTable *members;
    bool members_changed;
    bool is_reader;
    bool reads_source; ///< this node reads the source
    bool source_ok;    ///< the last read by this node succeeded
    bool draining;     ///< followers are refused
    feed_subscription_t subscriptions[FEED_SUBSCRIPTIONS];
    feed_catch_up_t catch_up;
    GQueue pending_polls;      ///< pending_poll_t, of followers
    bool followed;             ///< as last reported by set_followed()
    int64_t source_lost_us;    ///< start of failing reads; 0: none
    int64_t caught_up_us;      ///< last time that another node had changes
    int64_t followed_until_us; ///< end of FOLLOWED_TTL_US
    loop_timer_t tick_timer;
    GRand *random;
};

void change_feed_init(change_feed_t *feed, loop_t *loop,
                      const settings_t *settings, const vm_view_t *vms,
                      key_proof_t *key_proof);
void change_feed_finish(change_feed_t *feed);
void change_feed_start(change_feed_t *feed,
                       const change_feed_callbacks_t *callbacks,
                       void *context);
void change_feed_vm_listed(change_feed_t *feed, const vm_info_t *info);
void change_feed_vm_removed(change_feed_t *feed, const char *vm);
void change_feed_set_draining(change_feed_t *feed);

void change_feed_begin_listing(change_feed_t *feed);
void change_feed_put(change_feed_t *feed, const source_item_t *item);
bool change_feed_keep(change_feed_t *feed, const source_item_t *item);
void change_feed_end_listing(change_feed_t *feed, source_point_t point,
                             source_point_t read_until);
void change_feed_advance(change_feed_t *feed, source_point_t point);
void change_feed_set_source_ok(change_feed_t *feed, bool ok);

void change_feed_set_state(change_feed_t *feed, const char *name,
                           slice_t value, uint64_t version);
void change_feed_note_peer_state(change_feed_t *feed, const endpoint_t *peer,
                                 uint64_t version);
source_point_t change_feed_point(const change_feed_t *feed);
void change_feed_note_peer_point(change_feed_t *feed, const endpoint_t *peer,
                                 source_point_t point);

void change_feed_handle(change_feed_t *feed, http_request_t *request);
void change_feed_disconnected(change_feed_t *feed, http_request_t *request);
void change_feed_write_status(const change_feed_t *feed,
                              struct json_object *status);

#endif
