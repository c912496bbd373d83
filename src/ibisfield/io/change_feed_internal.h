#ifndef IBISFIELD_IO_CHANGE_FEED_INTERNAL_H
#define IBISFIELD_IO_CHANGE_FEED_INTERNAL_H

#include "ibisfield/io/change_feed.h"

#define CONTENT_TYPE "application/cbor"

/* Functions that the source files of the change feed share. */

static inline int64_t
change_feed_now_us(const change_feed_t *feed)
{
    return clock_now_us(feed->loop->clock);
}

/* change_feed_exchange.c */
http_pool_t *change_feed_new_peer_pool(const change_feed_t *feed,
                                       const endpoint_t *peer);
http_exchange_t *change_feed_request(change_feed_t *feed, http_pool_t *pool,
                                     control_type_t type, source_point_t after,
                                     int64_t timeout_us, http_done_t done,
                                     void *context);
bool change_feed_read_changes(control_message_t *message,
                              const http_response_t *response,
                              const char **error);
void change_feed_apply(change_feed_t *feed, const control_message_t *message);
void change_feed_offer_earlier(change_feed_t *feed,
                               const control_message_t *message);
void change_feed_record_proof(change_feed_t *feed,
                              const http_response_t *response,
                              int64_t asked_us);

/* change_feed_catch_up.c */
void change_feed_stop_catch_up(change_feed_t *feed);
void change_feed_catch_up_if_behind(change_feed_t *feed);
void change_feed_ask_for_proof(change_feed_t *feed);

#endif
