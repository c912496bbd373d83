/// @file
/// Requests for changes that a node sends to others, and what it applies of
/// the responses.

#include <inttypes.h>

#include "ibisfield/base/metrics.h"
#include "ibisfield/config/control_codec.h"
#include "ibisfield/io/change_feed_internal.h"
#include "ibisfield/io/message.h"

#define CONNECT_TIMEOUT_US (300 * US_PER_MS)

static source_item_t
received_item(const control_message_t *message, guint index)
{
    const config_item_t *item =
        &g_array_index(message->items, config_item_t, index);
    return (source_item_t){
        .name = item->name,
        .value = item->value,
        .changed = {message->point.era, item->version},
        .read = message->point,
    };
}

/// Applies the items of a message that item_feed_accepts().
void
change_feed_apply(change_feed_t *feed, const control_message_t *message)
{
    if (message->is_snapshot) {
        change_feed_begin_listing(feed);
        feed->callbacks.listing_started(feed->context);
    }
    for (guint i = 0; i < message->items->len; i++) {
        source_item_t item = received_item(message, i);
        if (feed->callbacks.item(feed->context, &item) ||
            !change_feed_keep(feed, &item))
        {
            change_feed_put(feed, &item);
        }
    }
    if (message->is_snapshot) {
        feed->callbacks.listing_ended(feed->context, message->point);
        source_point_t read_until = message->point;
        read_until.revision += message->has_gap;
        change_feed_end_listing(feed, message->point, read_until);
    }
    else {
        if (message->has_gap) {
            item_feed_advance_over_gap(&feed->items, message->point);
        }
        feed->callbacks.advanced(feed->context, message->point);
        change_feed_advance(feed, message->point);
    }
}

/// Offers the items of a node in an earlier era. Their points are too early to
/// have an effect, but for an item that its own version orders.
void
change_feed_offer_earlier(change_feed_t *feed,
                          const control_message_t *message)
{
    if (message->point.era >= feed->items.point.era) {
        return;
    }
    for (guint i = 0; i < message->items->len; i++) {
        source_item_t item = received_item(message, i);
        feed->callbacks.item(feed->context, &item);
    }
}

/// Reads the response to a request for changes. Returns false and sets
/// @p error, which is valid until @p message is cleared, if it contains none.
/// The caller clears @p message in both cases.
bool
change_feed_read_changes(control_message_t *message,
                         const http_response_t *response, const char **error)
{
    *message = (control_message_t){0};
    *error = response->error;
    if (response->result != HTTP_COMPLETE) {
        return false;
    }
    uint64_t version = 0;
    if (control_decode(message, response->body, &version) != DECODE_OK) {
        *message = (control_message_t){0};
        metric_increment(METRIC_CONTROL_MESSAGES_INVALID);
        *error = "the response is not a valid control message";
        return false;
    }
    control_count_received(message->type, response->body.len);
    *error = message->type == CONTROL_REFUSED
                 ? message->reason
                 : control_type_name(message->type);
    return message->type == CONTROL_CHANGES_ERA;
}

/// Records the proof in a response to a request that was sent at @p asked_us.
/// The changes in the response have to be applied before.
void
change_feed_record_proof(change_feed_t *feed, const http_response_t *response,
                         int64_t asked_us)
{
    key_proof_record_text(feed->key_proof,
                          http_header_find(response->headers,
                                           response->header_count,
                                           HEADER_PROOF),
                          asked_us);
}

/// Sends a request of @p type for the changes after a point; unset: for all
/// items.
http_exchange_t *
change_feed_request(change_feed_t *feed, http_pool_t *pool,
                    control_type_t type, source_point_t after,
                    int64_t timeout_us, http_done_t done, void *context)
{
    control_message_t message;
    control_message_init(&message, type, feed->settings->vm);
    message.point = after;
    GByteArray *bytes = g_byte_array_new();
    control_encode(&message, bytes);
    control_count_sent(message.type, bytes->len);
    const http_header_t headers[] = {
        {SLICE_LITERAL("host"), SLICE_LITERAL("node")},
        {SLICE_LITERAL("content-type"), SLICE_LITERAL(CONTENT_TYPE)},
        {SLICE_LITERAL(HEADER_PROTOCOL), SLICE_LITERAL(PROTOCOL_VERSION)},
        {SLICE_LITERAL(HEADER_CONTROL), SLICE_LITERAL("1")},
    };
    http_exchange_t *exchange =
        http_exchange_start(pool, SLICE_LITERAL("POST"), SLICE_LITERAL("/"),
                            headers, G_N_ELEMENTS(headers),
                            (slice_t){(const char *)bytes->data, bytes->len},
                            timeout_us, done, context);
    g_byte_array_unref(bytes);
    control_message_clear(&message);
    return exchange;
}

http_pool_t *
change_feed_new_peer_pool(const change_feed_t *feed, const endpoint_t *peer)
{
    return http_pool_new_with_options(
        feed->loop, &(http_pool_options_t){
                        .endpoint = *peer,
                        .connections_max = 1,
                        .max_response_bytes = CONTROL_MESSAGE_MAX_BYTES,
                        .connect_timeout_us = CONNECT_TIMEOUT_US,
                    });
}
