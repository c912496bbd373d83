/// @file
/// Selection of the nodes that read the source of the configuration (the
/// platform's store), and distribution of changes to the others. If every node
/// watched the source, each change would cause a read by every node; but the
/// source limits the rate of the reads of all nodes together, and each read is
/// billed.

#include "ibisfield/io/change_feed_internal.h"

#include <inttypes.h>
#include <json-c/json.h>

#include "ibisfield/base/log.h"
#include "ibisfield/base/metrics.h"
#include "ibisfield/config/control_codec.h"
#include "ibisfield/io/message.h"
#include "ibisfield/routing/subset.h"

/// With fewer nodes in the data centre, every node reads the source: following
/// would save few reads and make nodes depend on each other.
#define FOLLOW_MEMBERS_MIN 8
/// One reader for this many nodes, but at least READERS_MIN.
#define MEMBERS_PER_READER 32
#define READERS_MIN 2
/// Duration of a follower's long poll.
#define POLL_WAIT_US US_PER_S
/// A reader that hasn't responded after this time counts as failed. Even then
/// a change must be in force within 2 s of its publication.
#define POLL_TIMEOUT_US (POLL_WAIT_US + 400 * US_PER_MS)
/// Delay before the next poll of a reader that failed. The node reads the
/// source itself meanwhile.
#define READER_BACKOFF_US (4 * US_PER_S)
/// A node that was polled reads the source for this time, even if its own list
/// of VMs selects other readers.
#define FOLLOWED_TTL_US (3 * US_PER_S)
#define TICK_US (100 * US_PER_MS)
/// A reader that can't read the source informs its followers for this long
/// after another node has brought it up to date.
#define CAUGHT_UP_TTL_US (2 * US_PER_S)
/// Other readers refuse their followers after this time. A watch that the
/// source has cut is replaced sooner.
#define SOURCE_LOST_MAX_US (400 * US_PER_MS)
/// Removals kept for followers. If there are more, all are discarded, and
/// followers at an older revision get a snapshot.
#define TOMBSTONES_MAX 2048

/// A follower's long poll that waits for a change.
typedef struct {
    http_request_t *request;
    source_point_t after;
    bool with_era; ///< the follower sent FOLLOW_ERA
    int64_t deadline_us;
} pending_poll_t;

static void poll_reader(void *context);

/* Responses to followers. */

static void
send_response(change_feed_t *feed, http_request_t *request,
              control_message_t *message)
{
    GByteArray *bytes = g_byte_array_new();
    control_encode(message, bytes);
    control_count_sent(message->type, bytes->len);
    char proof[KEY_PROOF_TEXT_MAX];
    http_header_t headers[2] = {
        {SLICE_LITERAL("content-type"), SLICE_LITERAL(CONTENT_TYPE)}};
    size_t count = 1;
    if (key_proof_format(feed->key_proof, request->received_us, proof)) {
        headers[count++] = (http_header_t){SLICE_LITERAL(HEADER_PROOF),
                                           slice_from_string(proof)};
    }
    slice_t body = {(const char *)bytes->data, bytes->len};
    if (feed->draining) {
        http_request_respond_and_close(request, 200, headers, count, body);
    }
    else {
        http_request_respond(request, 200, headers, count, body);
    }
    g_byte_array_unref(bytes);
}

static void
refuse(change_feed_t *feed, http_request_t *request, const char *reason)
{
    control_message_t message;
    control_message_init(&message, CONTROL_REFUSED, feed->settings->vm);
    message.reason = reason;
    send_response(feed, request, &message);
    control_message_clear(&message);
}

static void
send_changes(change_feed_t *feed, http_request_t *request,
             source_point_t after, bool with_era)
{
    control_message_t message;
    control_message_init(&message,
                         with_era ? CONTROL_CHANGES_ERA : CONTROL_CHANGES,
                         feed->settings->vm);
    message.removal_grace_ms =
        (uint64_t)(feed->callbacks.removal_grace_left_us(feed->context) /
                   US_PER_MS);
    if (item_feed_collect_changes(&feed->items, after, &message)) {
        send_response(feed, request, &message);
    }
    else {
        refuse(feed, request, "changes can't be told");
    }
    control_message_clear(&message);
}

/// Returns whether there are changes for a follower that holds all changes up
/// to @p after. It gets them even if this node can't read the source.
static bool
has_changes_after(const change_feed_t *feed, source_point_t after)
{
    return source_point_compare(feed->items.point, after) > 0;
}

/// Returns whether a follower has seen a later era of the source than this
/// node, which then has nothing to tell it until it has listed the source.
static bool
is_of_earlier_era(const change_feed_t *feed, source_point_t after)
{
    return feed->items.point.era < after.era;
}

static bool
has_caught_up_lately(const change_feed_t *feed)
{
    return feed->caught_up_us != 0 &&
           change_feed_now_us(feed) - feed->caught_up_us < CAUGHT_UP_TTL_US;
}

/// Returns whether this node's state is as recent as followers may expect.
static bool
can_inform_followers(const change_feed_t *feed)
{
    return !feed->draining && feed->reads_source &&
           (feed->source_ok || has_caught_up_lately(feed));
}

static void
complete_pending_polls(change_feed_t *feed)
{
    int64_t now_us = change_feed_now_us(feed);
    bool source_lost = feed->source_lost_us != 0 &&
                       now_us - feed->source_lost_us >= SOURCE_LOST_MAX_US &&
                       !can_inform_followers(feed);
    GList *link = feed->pending_polls.head;
    while (link != NULL) {
        GList *next = link->next;
        pending_poll_t *pending = link->data;
        bool behind = is_of_earlier_era(feed, pending->after);
        bool due =
            now_us >= pending->deadline_us || feed->draining || source_lost;
        bool changed =
            !feed->draining && has_changes_after(feed, pending->after);
        if (due || changed) {
            g_queue_delete_link(&feed->pending_polls, link);
            if (behind) {
                refuse(feed, pending->request, "era not seen");
            }
            else if (changed || can_inform_followers(feed)) {
                send_changes(feed, pending->request, pending->after,
                             pending->with_era);
            }
            else {
                refuse(feed, pending->request, "source not read");
            }
            g_free(pending);
        }
        link = next;
    }
}

/* Reads of the source by this node. */

/// Starts or stops reads of the source. A node that isn't a reader reads it
/// nevertheless if it was polled recently, or if one of its two readers
/// doesn't respond.
static void
update_source_reading(change_feed_t *feed)
{
    bool wanted =
        feed->is_reader || change_feed_now_us(feed) < feed->followed_until_us;
    for (int i = 0; i < FEED_SUBSCRIPTIONS; i++) {
        wanted |= !feed->subscriptions[i].healthy;
    }
    if (wanted == feed->reads_source) {
        return;
    }
    feed->reads_source = wanted;
    feed->source_ok = false;
    feed->source_lost_us = 0;
    log_info("source_reading",
             "reads=%d reader=%d asked=%d revision=%" PRIu64 " era=%" PRIu64,
             wanted, feed->is_reader,
             change_feed_now_us(feed) < feed->followed_until_us,
             feed->items.point.revision, feed->items.point.era);
    feed->callbacks.set_source_reading(feed->context, wanted);
}

static void
update_followed(change_feed_t *feed)
{
    bool followed = change_feed_now_us(feed) < feed->followed_until_us;
    if (followed != feed->followed) {
        feed->followed = followed;
        feed->callbacks.set_followed(feed->context, followed);
    }
}

/* Requests to other nodes. */

static void
stop_subscription(feed_subscription_t *subscription)
{
    loop_timer_stop(subscription->feed->loop, &subscription->poll_timer);
    if (subscription->exchange != NULL) {
        http_exchange_cancel(subscription->exchange);
        subscription->exchange = NULL;
    }
    if (subscription->pool != NULL) {
        http_pool_release(subscription->pool);
        subscription->pool = NULL;
    }
    subscription->reader = (endpoint_t){.port = 0};
    subscription->healthy = false;
}

static void
handle_poll_failure(feed_subscription_t *subscription, const char *error)
{
    metric_increment(METRIC_CONTROL_EXCHANGES_FAILED);
    log_info("feed_lost",
             "reader=%s error=\"%s\" was_healthy=%d revision=%" PRIu64
             " era=%" PRIu64,
             subscription->reader.address, error, subscription->healthy,
             subscription->feed->items.point.revision,
             subscription->feed->items.point.era);
    subscription->healthy = false;
    loop_timer_start(subscription->feed->loop, &subscription->poll_timer,
                     READER_BACKOFF_US, poll_reader, subscription);
    update_source_reading(subscription->feed);
}

/// Defers removals as long as all readers do that this node follows. A reader
/// that doesn't has read the source throughout, so only the others were cut
/// off from it.
static void
adopt_removal_grace(change_feed_t *feed)
{
    int64_t now_us = change_feed_now_us(feed);
    int64_t ends_us = INT64_MAX;
    for (int i = 0; i < FEED_SUBSCRIPTIONS; i++) {
        if (feed->subscriptions[i].healthy) {
            ends_us =
                MIN(ends_us, feed->subscriptions[i].removal_grace_ends_us);
        }
    }
    if (ends_us != INT64_MAX && ends_us > now_us) {
        feed->callbacks.extend_removal_grace(feed->context, ends_us - now_us);
    }
}

static void
handle_poll_response(void *context, const http_response_t *response)
{
    feed_subscription_t *subscription = context;
    change_feed_t *feed = subscription->feed;
    control_message_t message;
    const char *error = NULL;
    subscription->exchange = NULL;
    if (!change_feed_read_changes(&message, response, &error)) {
        handle_poll_failure(subscription, error);
    }
    else if (!item_feed_accepts(&feed->items, &message)) {
        change_feed_offer_earlier(feed, &message);
        handle_poll_failure(subscription,
                            "changes of another era, or with a gap");
    }
    else {
        bool was_healthy = subscription->healthy;
        subscription->healthy = true;
        subscription->removal_grace_ends_us =
            change_feed_now_us(feed) +
            (int64_t)message.removal_grace_ms * US_PER_MS;
        adopt_removal_grace(feed);
        change_feed_apply(feed, &message);
        change_feed_record_proof(feed, response, subscription->asked_us);
        if (!was_healthy) {
            log_info("feed_followed",
                     "reader=%s revision=%" PRIu64 " era=%" PRIu64,
                     subscription->reader.address, feed->items.point.revision,
                     feed->items.point.era);
        }
        loop_timer_start(feed->loop, &subscription->poll_timer, 0, poll_reader,
                         subscription);
        update_source_reading(feed);
    }
    control_message_clear(&message);
}

static void
poll_reader(void *context)
{
    feed_subscription_t *subscription = context;
    subscription->asked_us = change_feed_now_us(subscription->feed);
    subscription->exchange = change_feed_request(
        subscription->feed, subscription->pool, CONTROL_FOLLOW_ERA,
        subscription->feed->items.point, POLL_TIMEOUT_US, handle_poll_response,
        subscription);
}

static void
start_subscription(feed_subscription_t *subscription, const endpoint_t *reader)
{
    subscription->reader = *reader;
    subscription->pool = change_feed_new_peer_pool(subscription->feed, reader);
    loop_timer_start(subscription->feed->loop, &subscription->poll_timer, 0,
                     poll_reader, subscription);
}

/// Sets the version of the desired state that has come into force, and the
/// item that holds it, which other nodes get from now on.
void
change_feed_set_state(change_feed_t *feed, const char *name, slice_t value,
                      uint64_t version)
{
    feed->state_version = version;
    item_feed_replace(&feed->items, name, value);
}

/// Returns the point up to which this node holds all changes; unset: none.
source_point_t
change_feed_point(const change_feed_t *feed)
{
    return feed->items.point;
}

/* Selection of readers: the nodes of the data centre that rendezvous hashing
   over the published list ranks first. Nodes with equal lists select the same
   readers without exchanging messages. */

/// Returns the nodes among which readers are chosen: one for each address, as
/// several instances may be listed at one address. Appends the VM of each node
/// to @p vms; subset_candidate_t.vm is its index there.
static GArray *
collect_members(const change_feed_t *feed, GPtrArray *vms)
{
    GArray *members = g_array_new(FALSE, FALSE, sizeof(subset_candidate_t));
    GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
    GHashTableIter iter;
    void *pointer = NULL;
    g_hash_table_iter_init(&iter, feed->members);
    while (g_hash_table_iter_next(&iter, NULL, &pointer)) {
        const vm_info_t *info = pointer;
        if (!g_hash_table_add(seen, (void *)info->address)) {
            continue;
        }
        subset_candidate_t member = {
            .name_hash = subset_name_hash(info->address),
            .vm = vms->len,
        };
        g_ptr_array_add(vms, (void *)info);
        g_array_append_val(members, member);
    }
    g_hash_table_destroy(seen);
    return members;
}

/// Keeps the subscriptions to readers that are still selected, ends the others
/// and uses their slots for the new readers.
static void
update_subscriptions(change_feed_t *feed, const endpoint_t *readers,
                     uint32_t count)
{
    bool assigned[FEED_SUBSCRIPTIONS] = {false};
    for (int i = 0; i < FEED_SUBSCRIPTIONS; i++) {
        feed_subscription_t *subscription = &feed->subscriptions[i];
        subscription->selected = false;
        for (uint32_t j = 0; j < count; j++) {
            if (subscription->reader.port == readers[j].port &&
                strcmp(subscription->reader.address, readers[j].address) == 0)
            {
                subscription->selected = assigned[j] = true;
            }
        }
        if (!subscription->selected && subscription->reader.port != 0) {
            stop_subscription(subscription);
        }
    }
    for (uint32_t j = 0; j < count; j++) {
        for (int i = 0; i < FEED_SUBSCRIPTIONS && !assigned[j]; i++) {
            if (!feed->subscriptions[i].selected) {
                feed->subscriptions[i].selected = assigned[j] = true;
                start_subscription(&feed->subscriptions[i], &readers[j]);
            }
        }
    }
}

static void
select_readers(change_feed_t *feed)
{
    GPtrArray *vms = g_ptr_array_new();
    GArray *members = collect_members(feed, vms);
    subset_candidate_t *candidates =
        (subset_candidate_t *)(void *)members->data;
    endpoint_t readers[FEED_SUBSCRIPTIONS];
    uint32_t count = 0;
    feed->is_reader = members->len < FOLLOW_MEMBERS_MIN;
    if (!feed->is_reader) {
        // The first choice moves the readers to the front of the candidates;
        // the second chooses among them those that this node follows.
        uint32_t wanted = MAX(READERS_MIN, members->len / MEMBERS_PER_READER);
        uint32_t chosen =
            subset_choose(subset_name_hash(feed->settings->data_centre),
                          candidates, members->len, wanted);
        for (uint32_t i = 0; i < chosen; i++) {
            const vm_info_t *info = vms->pdata[candidates[i].vm];
            feed->is_reader |= info->is_own;
        }
        count = feed->is_reader
                    ? 0
                    : subset_choose(subset_name_hash(feed->settings->vm),
                                    candidates, chosen, FEED_SUBSCRIPTIONS);
    }
    for (uint32_t i = 0; i < count; i++) {
        const vm_info_t *info = vms->pdata[candidates[i].vm];
        g_strlcpy(readers[i].address, info->address,
                  sizeof(readers[i].address));
        readers[i].port = info->peer_port;
    }
    update_subscriptions(feed, readers, count);
    feed->members_changed = false;
    g_array_free(members, TRUE);
    g_ptr_array_unref(vms);
}

static void
tick(void *context)
{
    change_feed_t *feed = context;
    if (feed->members_changed) {
        select_readers(feed);
    }
    update_source_reading(feed);
    update_followed(feed);
    complete_pending_polls(feed);
    change_feed_catch_up_if_behind(feed);
    change_feed_ask_for_proof(feed);
    loop_timer_start(feed->loop, &feed->tick_timer, TICK_US, tick, feed);
}

/// Initialises a feed without a source. It does nothing until
/// change_feed_start() is called.
void
change_feed_init(change_feed_t *feed, loop_t *loop, const settings_t *settings,
                 const vm_view_t *vms, key_proof_t *key_proof)
{
    *feed = (change_feed_t){
        .loop = loop,
        .settings = settings,
        .vms = vms,
        .key_proof = key_proof,
        .random = g_rand_new_with_seed(g_str_hash(settings->vm)),
        .members = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                         vm_info_free),
        .is_reader = true,
        .reads_source = true,
    };
    item_feed_init(&feed->items, TOMBSTONES_MAX);
    for (int i = 0; i < FEED_SUBSCRIPTIONS; i++) {
        feed->subscriptions[i].feed = feed;
    }
}

void
change_feed_finish(change_feed_t *feed)
{
    loop_timer_stop(feed->loop, &feed->tick_timer);
    for (int i = 0; i < FEED_SUBSCRIPTIONS; i++) {
        stop_subscription(&feed->subscriptions[i]);
    }
    change_feed_stop_catch_up(feed);
    g_queue_clear_full(&feed->pending_polls, g_free);
    g_hash_table_destroy(feed->members);
    g_rand_free(feed->random);
    item_feed_finish(&feed->items);
}

/// Attaches the source and starts the feed. The source must read from the
/// start, until the callback set_source_reading() stops it.
void
change_feed_start(change_feed_t *feed,
                  const change_feed_callbacks_t *callbacks, void *context)
{
    feed->callbacks = *callbacks;
    feed->context = context;
    tick(feed);
}

/// Adds or updates a VM of the published list. A draining VM is removed from
/// the members, so that no node follows it.
void
change_feed_vm_listed(change_feed_t *feed, const vm_info_t *info)
{
    if (strcmp(info->data_centre, feed->settings->data_centre) != 0) {
        return;
    }
    feed->members_changed = true;
    if (info->draining) {
        g_hash_table_remove(feed->members, info->vm);
        return;
    }
    g_hash_table_replace(feed->members, g_strdup(info->vm),
                         vm_info_copy(info));
}

void
change_feed_vm_removed(change_feed_t *feed, const char *vm)
{
    feed->members_changed |= g_hash_table_remove(feed->members, vm);
}

/// Refuses followers from now on, because the process is about to end. They
/// read the source themselves until they follow another reader.
void
change_feed_set_draining(change_feed_t *feed)
{
    feed->draining = true;
    complete_pending_polls(feed);
}

/* Items read from the source. */

/// Starts a full listing. Its items follow in calls of change_feed_put().
void
change_feed_begin_listing(change_feed_t *feed)
{
    item_feed_begin_listing(&feed->items);
}

void
change_feed_put(change_feed_t *feed, const source_item_t *item)
{
    if (strlen(item->name) <= ITEM_NAME_MAX) {
        item_feed_put(&feed->items, item);
    }
}

/// Keeps the stored value of an item, see item_feed_keep().
bool
change_feed_keep(change_feed_t *feed, const source_item_t *item)
{
    return item_feed_keep(&feed->items, item);
}

/// Ends a full listing, see item_feed_end_listing().
void
change_feed_end_listing(change_feed_t *feed, source_point_t point,
                        source_point_t read_until)
{
    item_feed_end_listing(&feed->items, point, read_until);
    complete_pending_polls(feed);
}

/// Notes that all changes up to @p point have been put.
void
change_feed_advance(change_feed_t *feed, source_point_t point)
{
    item_feed_advance(&feed->items, point);
    complete_pending_polls(feed);
}

/// Sets whether the last read of the source by this node succeeded.
void
change_feed_set_source_ok(change_feed_t *feed, bool ok)
{
    feed->source_ok = ok && feed->reads_source;
    feed->source_lost_us = ok ? 0 : change_feed_now_us(feed);
    complete_pending_polls(feed);
}

/* Requests from followers. */

/// Reads the point of a request. One without an era comes from an earlier
/// release, which knows none: its revision is of the era of this node if there
/// was only one. Otherwise false is returned.
static bool
read_requested_point(const change_feed_t *feed,
                     const control_message_t *message, bool with_era,
                     source_point_t *after)
{
    *after = message->point;
    if (!with_era) {
        after->era = feed->items.point.era;
    }
    return with_era || feed->items.point.era == feed->items.first_era;
}

static void
start_long_poll(change_feed_t *feed, http_request_t *request,
                source_point_t after, bool with_era)
{
    pending_poll_t *pending = g_new0(pending_poll_t, 1);
    *pending = (pending_poll_t){
        .request = request,
        .after = after,
        .with_era = with_era,
        .deadline_us = change_feed_now_us(feed) + POLL_WAIT_US,
    };
    http_request_set_long_poll(request);
    g_queue_push_tail(&feed->pending_polls, pending);
    feed->followed_until_us = change_feed_now_us(feed) + FOLLOWED_TTL_US;
    update_source_reading(feed);
    if (is_of_earlier_era(feed, after)) {
        feed->callbacks.later_era_seen(feed->context, after.era);
    }
    complete_pending_polls(feed);
}

/// Handles a request for changes. A follower's long poll gets its response at
/// the next change, after POLL_WAIT_US at the latest; a node that catches up
/// gets it at once.
void
change_feed_handle(change_feed_t *feed, http_request_t *request)
{
    control_message_t message;
    uint64_t version = 0;
    if (feed->context == NULL ||
        control_decode(&message, request->body, &version) != DECODE_OK)
    {
        metric_increment(METRIC_CONTROL_MESSAGES_INVALID);
        refuse(feed, request, "not a control message");
        return;
    }
    control_count_received(message.type, request->body.len);
    control_type_t type = message.type;
    bool with_era = type == CONTROL_FOLLOW_ERA || type == CONTROL_CATCH_UP_ERA;
    source_point_t after;
    bool comparable = read_requested_point(feed, &message, with_era, &after);
    control_message_clear(&message);
    if (!comparable) {
        refuse(feed, request, "the source came back from a copy");
    }
    else if (type == CONTROL_CATCH_UP || type == CONTROL_CATCH_UP_ERA) {
        send_changes(feed, request, after, with_era);
    }
    else {
        start_long_poll(feed, request, after, with_era);
    }
}

/// Drops the pending poll of a follower that has closed its connection.
void
change_feed_disconnected(change_feed_t *feed, http_request_t *request)
{
    for (GList *link = feed->pending_polls.head; link != NULL;
         link = link->next) {
        pending_poll_t *pending = link->data;
        if (pending->request == request) {
            g_queue_delete_link(&feed->pending_polls, link);
            g_free(pending);
            return;
        }
    }
}

/// Adds the object "feed" to @p status: whether this node reads the source,
/// the point it holds, the number of followers and the readers it follows.
void
change_feed_write_status(const change_feed_t *feed, struct json_object *status)
{
    struct json_object *object = json_object_new_object();
    struct json_object *followed = json_object_new_array();
    for (int i = 0; i < FEED_SUBSCRIPTIONS; i++) {
        if (feed->subscriptions[i].healthy) {
            json_object_array_add(
                followed,
                json_object_new_string(feed->subscriptions[i].reader.address));
        }
    }
    json_object_object_add(object, "reads_source",
                           json_object_new_boolean(feed->reads_source));
    json_object_object_add(object, "revision",
                           json_object_new_uint64(feed->items.point.revision));
    json_object_object_add(object, "era",
                           json_object_new_uint64(feed->items.point.era));
    json_object_object_add(object, "state_version",
                           json_object_new_uint64(feed->state_version));
    json_object_object_add(object, "followers",
                           json_object_new_int64(feed->pending_polls.length));
    json_object_object_add(object, "follows", followed);
    json_object_object_add(status, "feed", object);
}
