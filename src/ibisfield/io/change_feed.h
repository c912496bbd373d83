#ifndef IBISFIELD_IO_CHANGE_FEED_H
#define IBISFIELD_IO_CHANGE_FEED_H

#include <json-c/json.h>

#include "ibisfield/config/item_feed.h"
#include "ibisfield/config/vm_view.h"
#include "ibisfield/io/http_server.h"

/// Nodes that one node follows at a time. A reader that is cut off from the
/// source without noticing delays a change only if both are.
#define FEED_SUBSCRIPTIONS 2

/// What the feed needs of the source that it belongs to. What is learned from
/// other nodes is reported like what the source itself says.
typedef struct {
    void (*list_begin)(void *context);
    void (*item)(void *context, const config_item_t *item);
    void (*list_end)(void *context, uint64_t revision);
    /// All changes up to @p revision have been reported.
    void (*advanced)(void *context, uint64_t revision);
    /// Removals may be entries that lapsed, for this time.
    void (*extend_removal_grace)(void *context, int64_t for_us);
    /// Starts or ends the reading of the source by this node itself.
    void (*read_source)(void *context, bool wanted);
    /// How long removals are still in doubt here; 0: they aren't.
    int64_t (*removal_grace_left_us)(void *context);
} change_feed_callbacks_t;

typedef struct change_feed change_feed_t;

/// Requests for changes to one other node, one at a time.
typedef struct {
    change_feed_t *feed;
    endpoint_t reader; ///< port 0: none
    http_pool_t *pool;
    http_exchange_t *exchange;
    loop_timer_t retry_timer;
    bool healthy; ///< the last answer was whole and from a node in touch
    bool chosen;  ///< used while the readers are chosen anew
} feed_subscription_t;

/// Spreads the changes of a source among the nodes of a data centre: a few
/// read it, the others ask two of those what changed.
struct change_feed {
    loop_t *loop;
    const settings_t *settings;
    change_feed_callbacks_t callbacks;
    void *context; ///< NULL: no source uses the feed
    item_feed_t items;
    GHashTable *members; ///< VM name to vm_info_t: live, of the data centre
    bool members_changed;
    bool is_reader;
    bool reads_source; ///< the node reads the source itself
    bool source_ok;    ///< and the source's last answer was good
    bool draining;     ///< followers are to ask others
    feed_subscription_t subscriptions[FEED_SUBSCRIPTIONS];
    GQueue waiting; ///< feed_wait_t, followers' requests
    int64_t followed_until_us;
    loop_timer_t tick_timer;
};

void change_feed_init(change_feed_t *feed, loop_t *loop,
                      const settings_t *settings);
void change_feed_finish(change_feed_t *feed);
void change_feed_start(change_feed_t *feed,
                       const change_feed_callbacks_t *callbacks,
                       void *context);
void change_feed_vm_listed(change_feed_t *feed, const vm_info_t *info);
void change_feed_vm_removed(change_feed_t *feed, const char *vm);
void change_feed_set_draining(change_feed_t *feed);

void change_feed_list_begin(change_feed_t *feed);
void change_feed_put(change_feed_t *feed, const config_item_t *item);
void change_feed_list_end(change_feed_t *feed, uint64_t revision);
void change_feed_advance(change_feed_t *feed, uint64_t revision);
void change_feed_set_source_ok(change_feed_t *feed, bool heard);

void change_feed_handle(change_feed_t *feed, http_request_t *request);
void change_feed_disconnected(change_feed_t *feed, http_request_t *request);
void change_feed_write_status(const change_feed_t *feed,
                              struct json_object *status);

#endif
