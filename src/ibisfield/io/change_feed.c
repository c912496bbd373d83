/// @file
/// Who reads the source, and how the others learn what changed. Answers a load
/// in which each change wakes a read of every node: the source's rate bounds
/// the reads of all nodes together, and each one is billed.

#include "ibisfield/io/change_feed.h"

#include <inttypes.h>
#include <json-c/json.h>

#include "ibisfield/base/log.h"
#include "ibisfield/base/metrics.h"
#include "ibisfield/config/control_codec.h"
#include "ibisfield/io/message.h"
#include "ibisfield/routing/subset.h"

/// Below this number of nodes in the data centre every node reads the source:
/// few reads would be saved, and nothing depends on others.
#define MEMBERS_MIN 8
/// One reader for this many nodes, but at least two.
#define MEMBERS_PER_READER 32
#define READERS_MIN 2
/// How long a follower's request waits for a change.
#define HOLD_US US_PER_S
/// A reader that hasn't answered after this time is taken for dead. A change
/// must be in force within 2 s of its publication even then.
#define FOLLOW_TIMEOUT_US (HOLD_US + 400 * US_PER_MS)
#define CONNECT_TIMEOUT_US (300 * US_PER_MS)
/// How long a reader that failed is left alone; the node reads the source
/// itself meanwhile.
#define RETRY_US (4 * US_PER_S)
/// A node that is asked reads the source for this time, also if the list that
/// it holds names others as readers.
#define ASKED_LIFE_US (3 * US_PER_S)
#define TICK_US (100 * US_PER_MS)
/// Removed items that are told to followers; older ones get everything.
#define REMOVALS_MAX 2048
#define CONTENT_TYPE "application/cbor"

/// A follower's request that waits for a change.
typedef struct {
    http_request_t *request;
    uint64_t after;
    int64_t end_us;
} feed_wait_t;

static void follow(void *context);

static int64_t
now_of(const change_feed_t *feed)
{
    return clock_now_us(feed->loop->clock);
}

/* Answers to followers. */

static void
answer(change_feed_t *feed, http_request_t *request,
       control_message_t *message)
{
    GByteArray *bytes = g_byte_array_new();
    control_encode(message, bytes);
    control_count_sent(message->type, bytes->len);
    const http_header_t header = {SLICE_LITERAL("content-type"),
                                  SLICE_LITERAL(CONTENT_TYPE)};
    slice_t body = {(const char *)bytes->data, bytes->len};
    if (feed->draining) {
        http_request_respond_and_close(request, 200, &header, 1, body);
    }
    else {
        http_request_respond(request, 200, &header, 1, body);
    }
    g_byte_array_unref(bytes);
}

static void
refuse(change_feed_t *feed, http_request_t *request, const char *why)
{
    control_message_t message;
    control_message_init(&message, CONTROL_REFUSED, feed->settings->vm);
    message.reason = why;
    answer(feed, request, &message);
    control_message_clear(&message);
}

static void
answer_changes(change_feed_t *feed, http_request_t *request, uint64_t after)
{
    control_message_t message;
    control_message_init(&message, CONTROL_CHANGES, feed->settings->vm);
    message.removal_grace_ms =
        (uint64_t)(feed->callbacks.removal_grace_left_us(feed->context) /
                   US_PER_MS);
    if (item_feed_collect_changes(&feed->items, after, &message)) {
        answer(feed, request, &message);
    }
    else {
        refuse(feed, request, "changes can't be told");
    }
    control_message_clear(&message);
}

/// Whether a follower that holds @p after can be told something new.
static bool
has_news(const change_feed_t *feed, uint64_t after)
{
    return feed->reads_source && feed->source_ok &&
           (feed->items.revision > after || after < feed->items.history_start);
}

static void
answer_waiting(change_feed_t *feed)
{
    int64_t now_us = now_of(feed);
    GList *link = feed->waiting.head;
    while (link != NULL) {
        GList *next = link->next;
        feed_wait_t *wait = link->data;
        bool over = now_us >= wait->end_us || feed->draining;
        if (over || has_news(feed, wait->after)) {
            g_queue_delete_link(&feed->waiting, link);
            if (feed->draining || !feed->reads_source || !feed->source_ok) {
                refuse(feed, wait->request, "source not read");
            }
            else {
                answer_changes(feed, wait->request, wait->after);
            }
            g_free(wait);
        }
        link = next;
    }
}

/* Whether this node reads the source itself. */

static void
choose_reading(change_feed_t *feed)
{
    bool wanted = feed->is_reader || now_of(feed) < feed->followed_until_us;
    for (int i = 0; i < FEED_SUBSCRIPTIONS; i++) {
        wanted |= !feed->subscriptions[i].healthy;
    }
    if (wanted == feed->reads_source) {
        return;
    }
    feed->reads_source = wanted;
    feed->source_ok = false;
    log_info("source_reading", "reads=%d reader=%d asked=%d revision=%" PRIu64,
             wanted, feed->is_reader, now_of(feed) < feed->followed_until_us,
             feed->items.revision);
    feed->callbacks.read_source(feed->context, wanted);
}

/* Requests to readers. */

static void
stop_following(feed_subscription_t *one)
{
    loop_timer_stop(one->feed->loop, &one->retry_timer);
    if (one->exchange != NULL) {
        http_exchange_cancel(one->exchange);
        one->exchange = NULL;
    }
    if (one->pool != NULL) {
        http_pool_release(one->pool);
        one->pool = NULL;
    }
    one->reader = (endpoint_t){.port = 0};
    one->healthy = false;
}

static void
follow_failed(feed_subscription_t *one, const char *error)
{
    metric_increment(METRIC_CONTROL_EXCHANGES_FAILED);
    log_info(
        "feed_lost", "reader=%s error=\"%s\" was_healthy=%d revision=%" PRIu64,
        one->reader.address, error, one->healthy, one->feed->items.revision);
    one->healthy = false;
    loop_timer_start(one->feed->loop, &one->retry_timer, RETRY_US, follow,
                     one);
    choose_reading(one->feed);
}

static void
take_changes(change_feed_t *feed, const control_message_t *message)
{
    if (message->removal_grace_ms > 0) {
        feed->callbacks.extend_removal_grace(
            feed->context, (int64_t)message->removal_grace_ms * US_PER_MS);
    }
    if (message->is_snapshot) {
        change_feed_list_begin(feed);
        feed->callbacks.list_begin(feed->context);
    }
    for (guint i = 0; i < message->items->len; i++) {
        const config_item_t *item =
            &g_array_index(message->items, config_item_t, i);
        change_feed_put(feed, item);
        feed->callbacks.item(feed->context, item);
    }
    if (message->is_snapshot) {
        feed->callbacks.list_end(feed->context, message->revision);
        change_feed_list_end(feed, message->revision);
    }
    else {
        feed->callbacks.advanced(feed->context, message->revision);
        change_feed_advance(feed, message->revision);
    }
}

static void
follow_done(void *context, const http_response_t *got)
{
    feed_subscription_t *one = context;
    change_feed_t *feed = one->feed;
    one->exchange = NULL;
    if (got->result != HTTP_COMPLETE) {
        follow_failed(one, got->error);
        return;
    }
    control_message_t message;
    uint64_t version = 0;
    if (control_decode(&message, got->body, &version) != DECODE_OK) {
        metric_increment(METRIC_CONTROL_MESSAGES_INVALID);
        follow_failed(one, "not a control message");
        return;
    }
    control_count_received(message.type, got->body.len);
    if (message.type != CONTROL_CHANGES) {
        follow_failed(one, message.type == CONTROL_REFUSED
                               ? message.reason
                               : control_type_name(message.type));
    }
    else {
        take_changes(feed, &message);
        if (!one->healthy) {
            one->healthy = true;
            log_info("feed_followed", "reader=%s revision=%" PRIu64,
                     one->reader.address, feed->items.revision);
        }
        loop_timer_start(feed->loop, &one->retry_timer, 0, follow, one);
        choose_reading(feed);
    }
    control_message_clear(&message);
}

/// Asks the reader for what changed after what is held here.
static void
follow(void *context)
{
    feed_subscription_t *one = context;
    change_feed_t *feed = one->feed;
    control_message_t message;
    control_message_init(&message, CONTROL_FOLLOW, feed->settings->vm);
    message.revision = feed->items.revision;
    GByteArray *bytes = g_byte_array_new();
    control_encode(&message, bytes);
    control_count_sent(message.type, bytes->len);
    const http_header_t headers[] = {
        {SLICE_LITERAL("host"), SLICE_LITERAL("node")},
        {SLICE_LITERAL("content-type"), SLICE_LITERAL(CONTENT_TYPE)},
        {SLICE_LITERAL(HEADER_PROTOCOL), SLICE_LITERAL(PROTOCOL_VERSION)},
        {SLICE_LITERAL(HEADER_CONTROL), SLICE_LITERAL("1")},
    };
    one->exchange =
        http_exchange_start(one->pool, SLICE_LITERAL("POST"),
                            SLICE_LITERAL("/"), headers, G_N_ELEMENTS(headers),
                            (slice_t){(const char *)bytes->data, bytes->len},
                            FOLLOW_TIMEOUT_US, follow_done, one);
    g_byte_array_unref(bytes);
    control_message_clear(&message);
}

static void
start_following(feed_subscription_t *one, const endpoint_t *reader)
{
    one->reader = *reader;
    one->pool = http_pool_new_with_options(
        one->feed->loop, &(http_pool_options_t){
                             .endpoint = *reader,
                             .connections_max = 1,
                             .max_response_bytes = CONTROL_MESSAGE_MAX_BYTES,
                             .connect_timeout_us = CONNECT_TIMEOUT_US,
                         });
    loop_timer_start(one->feed->loop, &one->retry_timer, 0, follow, one);
}

/* Who reads: the first of the data centre's nodes by rendezvous hashing over
   the list, so that nodes with equal lists agree without talking. */

static GArray *
collect_addresses(const change_feed_t *feed, GPtrArray *infos)
{
    GArray *members = g_array_new(FALSE, FALSE, sizeof(subset_member_t));
    GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
    GHashTableIter iter;
    void *pointer = NULL;
    g_hash_table_iter_init(&iter, feed->members);
    while (g_hash_table_iter_next(&iter, NULL, &pointer)) {
        const vm_info_t *info = pointer;
        if (!g_hash_table_add(seen, (void *)info->address)) {
            continue;
        }
        subset_member_t member = {
            .name_hash = subset_name_hash(info->address),
            .vm = infos->len,
        };
        g_ptr_array_add(infos, (void *)info);
        g_array_append_val(members, member);
    }
    g_hash_table_destroy(seen);
    return members;
}

/// Keeps the follows of readers that are still chosen, and gives the others'
/// places to the new ones.
static void
follow_chosen(change_feed_t *feed, const endpoint_t *readers, uint32_t count)
{
    bool taken[FEED_SUBSCRIPTIONS] = {false};
    for (int i = 0; i < FEED_SUBSCRIPTIONS; i++) {
        feed_subscription_t *one = &feed->subscriptions[i];
        one->chosen = false;
        for (uint32_t j = 0; j < count; j++) {
            if (one->reader.port == readers[j].port &&
                strcmp(one->reader.address, readers[j].address) == 0)
            {
                one->chosen = taken[j] = true;
            }
        }
        if (!one->chosen && one->reader.port != 0) {
            stop_following(one);
        }
    }
    for (uint32_t j = 0; j < count; j++) {
        for (int i = 0; i < FEED_SUBSCRIPTIONS && !taken[j]; i++) {
            if (!feed->subscriptions[i].chosen) {
                feed->subscriptions[i].chosen = taken[j] = true;
                start_following(&feed->subscriptions[i], &readers[j]);
            }
        }
    }
}

static void
choose_readers(change_feed_t *feed)
{
    GPtrArray *infos = g_ptr_array_new();
    GArray *members = collect_addresses(feed, infos);
    subset_member_t *list = (subset_member_t *)(void *)members->data;
    endpoint_t readers[FEED_SUBSCRIPTIONS];
    uint32_t count = 0;
    feed->is_reader = members->len < MEMBERS_MIN;
    if (!feed->is_reader) {
        uint32_t wanted = MAX(READERS_MIN, members->len / MEMBERS_PER_READER);
        uint32_t chosen =
            subset_choose(subset_name_hash(feed->settings->data_centre), list,
                          members->len, wanted);
        for (uint32_t i = 0; i < chosen; i++) {
            const vm_info_t *info = infos->pdata[list[i].vm];
            feed->is_reader |= info->is_own;
        }
        count = feed->is_reader
                    ? 0
                    : subset_choose(subset_name_hash(feed->settings->vm), list,
                                    chosen, FEED_SUBSCRIPTIONS);
    }
    for (uint32_t i = 0; i < count; i++) {
        const vm_info_t *info = infos->pdata[list[i].vm];
        g_strlcpy(readers[i].address, info->address,
                  sizeof(readers[i].address));
        readers[i].port = info->peer_port;
    }
    follow_chosen(feed, readers, count);
    feed->members_changed = false;
    g_array_free(members, TRUE);
    g_ptr_array_unref(infos);
}

static void
tick(void *context)
{
    change_feed_t *feed = context;
    if (feed->members_changed) {
        choose_readers(feed);
    }
    choose_reading(feed);
    answer_waiting(feed);
    loop_timer_start(feed->loop, &feed->tick_timer, TICK_US, tick, feed);
}

/// Initialises a feed without a source; it does nothing before
/// change_feed_start().
void
change_feed_init(change_feed_t *feed, loop_t *loop, const settings_t *settings)
{
    *feed = (change_feed_t){
        .loop = loop,
        .settings = settings,
        .members =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free),
        .is_reader = true,
        .reads_source = true,
    };
    item_feed_init(&feed->items, REMOVALS_MAX);
    for (int i = 0; i < FEED_SUBSCRIPTIONS; i++) {
        feed->subscriptions[i].feed = feed;
    }
}

void
change_feed_finish(change_feed_t *feed)
{
    loop_timer_stop(feed->loop, &feed->tick_timer);
    for (int i = 0; i < FEED_SUBSCRIPTIONS; i++) {
        stop_following(&feed->subscriptions[i]);
    }
    g_queue_clear_full(&feed->waiting, g_free);
    g_hash_table_destroy(feed->members);
    item_feed_finish(&feed->items);
}

/// Starts to work for a source, which reads until read_source() says
/// otherwise.
void
change_feed_start(change_feed_t *feed,
                  const change_feed_callbacks_t *callbacks, void *context)
{
    feed->callbacks = *callbacks;
    feed->context = context;
    tick(feed);
}

/// Takes a VM of the published list. One that leaves is followed no more.
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
                         g_memdup2(info, sizeof(*info)));
}

void
change_feed_vm_removed(change_feed_t *feed, const char *vm)
{
    feed->members_changed |= g_hash_table_remove(feed->members, vm);
}

/// The process ends soon: followers are sent to others.
void
change_feed_set_draining(change_feed_t *feed)
{
    feed->draining = true;
    answer_waiting(feed);
}

/* What the source says. */

/// Begins a whole list; its items follow as change_feed_put().
void
change_feed_list_begin(change_feed_t *feed)
{
    item_feed_list_begin(&feed->items);
}

void
change_feed_put(change_feed_t *feed, const config_item_t *item)
{
    if (strlen(item->name) <= ITEM_NAME_MAX) {
        item_feed_put(&feed->items, item);
    }
}

void
change_feed_list_end(change_feed_t *feed, uint64_t revision)
{
    item_feed_list_end(&feed->items, revision);
    answer_waiting(feed);
}

/// All changes up to a revision have been put.
void
change_feed_advance(change_feed_t *feed, uint64_t revision)
{
    item_feed_advance(&feed->items, revision);
    answer_waiting(feed);
}

/// Whether the source's last answer to this node was good.
void
change_feed_set_source_ok(change_feed_t *feed, bool heard)
{
    feed->source_ok = heard && feed->reads_source;
    answer_waiting(feed);
}

/* Requests of followers. */

/// Takes a follower's request; it is answered at the next change, at the
/// latest after HOLD_US.
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
    feed_wait_t *wait = g_new0(feed_wait_t, 1);
    wait->request = request;
    wait->after = message.revision;
    wait->end_us = now_of(feed) + HOLD_US;
    control_message_clear(&message);
    http_request_set_long_poll(request);
    g_queue_push_tail(&feed->waiting, wait);
    feed->followed_until_us = now_of(feed) + ASKED_LIFE_US;
    choose_reading(feed);
    answer_waiting(feed);
}

/// The follower has closed its connection.
void
change_feed_disconnected(change_feed_t *feed, http_request_t *request)
{
    for (GList *link = feed->waiting.head; link != NULL; link = link->next) {
        feed_wait_t *wait = link->data;
        if (wait->request == request) {
            g_queue_delete_link(&feed->waiting, link);
            g_free(wait);
            return;
        }
    }
}

/// Adds what the node follows to the operators' /status page.
void
change_feed_write_status(const change_feed_t *feed, struct json_object *status)
{
    struct json_object *own = json_object_new_object();
    struct json_object *followed = json_object_new_array();
    for (int i = 0; i < FEED_SUBSCRIPTIONS; i++) {
        if (feed->subscriptions[i].healthy) {
            json_object_array_add(
                followed,
                json_object_new_string(feed->subscriptions[i].reader.address));
        }
    }
    json_object_object_add(own, "reads_source",
                           json_object_new_boolean(feed->reads_source));
    json_object_object_add(own, "revision",
                           json_object_new_uint64(feed->items.revision));
    json_object_object_add(own, "followers",
                           json_object_new_int64(feed->waiting.length));
    json_object_object_add(own, "follows", followed);
    json_object_object_add(status, "feed", own);
}
