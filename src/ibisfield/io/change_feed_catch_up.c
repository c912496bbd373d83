/// @file
/// Requests for what other nodes hold and this one lacks: changes of the
/// source, a desired state that the source has lost, proofs of access keys.

#include <inttypes.h>

#include "ibisfield/base/log.h"
#include "ibisfield/base/metrics.h"
#include "ibisfield/config/control_codec.h"
#include "ibisfield/io/change_feed_internal.h"

/// A node may be behind others for this long before it asks one of them. It
/// exceeds the delay between two watches, by which nodes usually differ.
#define CATCH_UP_DELAY_US (300 * US_PER_MS)
#define CATCH_UP_TIMEOUT_US US_PER_S
/// Least time between two requests for a proof.
#define PROOF_INTERVAL_US (300 * US_PER_MS)

void
change_feed_stop_catch_up(change_feed_t *feed)
{
    feed_catch_up_t *catch_up = &feed->catch_up;
    if (catch_up->exchange != NULL) {
        http_exchange_cancel(catch_up->exchange);
        catch_up->exchange = NULL;
    }
    g_clear_pointer(&catch_up->pool, http_pool_release);
}

static void
handle_catch_up_response(void *context, const http_response_t *response)
{
    change_feed_t *feed = context;
    feed_catch_up_t *catch_up = &feed->catch_up;
    control_message_t message;
    source_point_t before = feed->items.point;
    const char *error = NULL;
    catch_up->exchange = NULL;
    bool caught_up = change_feed_read_changes(&message, response, &error);
    if (caught_up && !item_feed_accepts(&feed->items, &message)) {
        change_feed_offer_earlier(feed, &message);
        caught_up = false;
        error = "changes of another era, or with a gap";
    }
    if (caught_up) {
        if (message.removal_grace_ms > 0) {
            feed->callbacks.extend_removal_grace(
                feed->context, (int64_t)message.removal_grace_ms * US_PER_MS);
        }
        change_feed_apply(feed, &message);
        change_feed_record_proof(feed, response, catch_up->asked_us);
        feed->caught_up_us = change_feed_now_us(feed);
    }
    log_info("feed_caught_up",
             "node=%s error=\"%s\" before=%" PRIu64 " revision=%" PRIu64
             " reported=%" PRIu64 " era_before=%" PRIu64 " era=%" PRIu64,
             catch_up->peer.address, caught_up ? "" : error, before.revision,
             feed->items.point.revision, catch_up->point.revision, before.era,
             feed->items.point.era);
    control_message_clear(&message);
    change_feed_stop_catch_up(feed);
    if (!caught_up) {
        // The next node that reports a later point is asked instead.
        metric_increment(METRIC_CONTROL_EXCHANGES_FAILED);
        catch_up->point = (source_point_t){0};
        catch_up->state_version = 0;
    }
}

static void
ask_for_changes(change_feed_t *feed, const endpoint_t *node,
                source_point_t after)
{
    feed_catch_up_t *catch_up = &feed->catch_up;
    catch_up->asked_us = change_feed_now_us(feed);
    catch_up->peer = *node;
    catch_up->pool = change_feed_new_peer_pool(feed, node);
    catch_up->exchange = change_feed_request(
        feed, catch_up->pool, CONTROL_CATCH_UP_ERA, after, CATCH_UP_TIMEOUT_US,
        handle_catch_up_response, feed);
}

/// Requests the missing changes from another node if this node has been behind
/// it for too long. A desired state that the source has lost is no change
/// after any point, so all items are requested for it.
void
change_feed_catch_up_if_behind(change_feed_t *feed)
{
    feed_catch_up_t *catch_up = &feed->catch_up;
    int64_t now_us = change_feed_now_us(feed);
    if (catch_up->exchange != NULL) {
        return;
    }
    if (source_point_compare(catch_up->point, feed->items.point) > 0) {
        if (now_us >= catch_up->due_us) {
            ask_for_changes(feed, &catch_up->peer, feed->items.point);
        }
    }
    else if (catch_up->state_version > feed->state_version &&
             now_us >= catch_up->state_due_us)
    {
        catch_up->state_due_us = now_us + CATCH_UP_TIMEOUT_US;
        ask_for_changes(feed, &catch_up->state_peer, (source_point_t){0});
    }
}

/// Returns the endpoint of a random node, preferably of the own data centre;
/// port 0 if none is known.
static endpoint_t
choose_other_node(change_feed_t *feed)
{
    endpoint_t chosen = {.port = 0};
    bool chosen_local = false;
    gint32 count = 0;
    GHashTableIter iter;
    void *pointer = NULL;
    g_hash_table_iter_init(&iter, feed->vms->vms);
    while (g_hash_table_iter_next(&iter, NULL, &pointer)) {
        const vm_info_t *info = pointer;
        bool local =
            strcmp(info->data_centre, feed->settings->data_centre) == 0;
        if (info->is_own || info->draining || (chosen_local && !local)) {
            continue;
        }
        count = local && !chosen_local ? 1 : count + 1;
        if (g_rand_int_range(feed->random, 0, count) == 0) {
            chosen.port = info->peer_port;
            g_strlcpy(chosen.address, info->address, sizeof(chosen.address));
        }
        chosen_local |= local;
    }
    return chosen;
}

/// Asks another node for a proof that the access keys known here are current,
/// if no response has brought one for too long. A node whose own way to the
/// source is cut off lives on its neighbours' proofs.
void
change_feed_ask_for_proof(change_feed_t *feed)
{
    feed_catch_up_t *catch_up = &feed->catch_up;
    int64_t now_us = change_feed_now_us(feed);
    if (catch_up->exchange != NULL || now_us < catch_up->proof_due_us ||
        !key_proof_is_wanted(feed->key_proof))
    {
        return;
    }
    endpoint_t node = choose_other_node(feed);
    if (node.port != 0) {
        catch_up->proof_due_us = now_us + PROOF_INTERVAL_US;
        metric_increment(METRIC_ACCESS_KEY_PROOFS_ASKED_TOTAL);
        ask_for_changes(feed, &node, feed->items.point);
    }
}

/// Notes the point that another node holds. If this node doesn't reach it by
/// itself soon, it requests the changes from that node. A later era is
/// reported to the source at once.
void
change_feed_note_peer_point(change_feed_t *feed, const endpoint_t *peer,
                            source_point_t point)
{
    feed_catch_up_t *catch_up = &feed->catch_up;
    // Before its first listing a node doesn't know what removals it missed.
    if (!source_point_is_set(feed->items.point) ||
        source_point_compare(point, feed->items.point) <= 0)
    {
        return;
    }
    if (point.era > feed->items.point.era) {
        feed->callbacks.later_era_seen(feed->context, point.era);
    }
    if (catch_up->exchange != NULL) {
        return;
    }
    if (source_point_compare(catch_up->point, feed->items.point) <= 0) {
        catch_up->due_us = change_feed_now_us(feed) + CATCH_UP_DELAY_US;
    }
    if (source_point_compare(point, catch_up->point) >= 0) {
        catch_up->point = point;
        catch_up->peer = *peer;
    }
}

/// Notes the version of the desired state that another node has in force. If
/// this node doesn't get it by itself soon, it requests it from that node: the
/// source may have lost it.
void
change_feed_note_peer_state(change_feed_t *feed, const endpoint_t *peer,
                            uint64_t version)
{
    feed_catch_up_t *catch_up = &feed->catch_up;
    if (!source_point_is_set(feed->items.point) ||
        version <= feed->state_version || version < catch_up->state_version)
    {
        return;
    }
    if (catch_up->state_version <= feed->state_version) {
        catch_up->state_due_us =
            MAX(catch_up->state_due_us,
                change_feed_now_us(feed) + CATCH_UP_DELAY_US);
    }
    catch_up->state_version = version;
    catch_up->state_peer = *peer;
}
