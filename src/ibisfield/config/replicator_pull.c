/// @file
/// Anti-entropy: compares the own items with those of a peer and fetches what
/// the peer holds in higher versions. Items form groups (the contracts, the
/// VMs of each data centre, the removed VMs), and each group is divided into
/// buckets. The node first compares the digests of the groups, then names and
/// versions in the buckets that differ, then fetches items. Only differences
/// are transferred.

#include <inttypes.h>

#include "ibisfield/base/log.h"
#include "ibisfield/base/metrics.h"
#include "ibisfield/config/control_codec.h"
#include "ibisfield/config/replicator_internal.h"

#define FETCH_NAMES_MAX 512
/// Upper limit for the values in one reply together. A reply with one item
/// only may exceed it, so that each item can be sent.
#define FETCH_REPLY_MAX_BYTES (256 << 10)
#define PULL_QUEUE_MAX 32

typedef struct {
    char *name;
    uint64_t version;
} wanted_item_t;

/// A request that awaits its reply.
typedef struct {
    config_peer_t peer;
    pull_t *pull; ///< NULL for a probe of a start-up round
} exchange_t;

static void
free_wanted_item(void *pointer)
{
    wanted_item_t *wanted = pointer;
    g_free(wanted->name);
    g_free(wanted);
}

void
replicator_pulls_init(replicator_t *replicator)
{
    g_queue_init(&replicator->pull_queue);
    replicator->exchanges =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    for (int i = 0; i < PULLS_MAX; i++) {
        pull_t *pull = &replicator->pulls[i];
        pull->groups_to_list = g_array_new(FALSE, FALSE, sizeof(uint64_t));
        pull->items_to_fetch =
            g_ptr_array_new_with_free_func(free_wanted_item);
    }
}

void
replicator_pulls_finish(replicator_t *replicator)
{
    for (int i = 0; i < PULLS_MAX; i++) {
        g_array_free(replicator->pulls[i].groups_to_list, TRUE);
        g_ptr_array_unref(replicator->pulls[i].items_to_fetch);
    }
    g_hash_table_destroy(replicator->exchanges);
    g_queue_clear_full(&replicator->pull_queue, g_free);
}

static void
send_request(replicator_t *replicator, const config_peer_t *peer, pull_t *pull,
             const control_message_t *message)
{
    uint64_t id = ++replicator->last_exchange_id;
    exchange_t *exchange = g_new(exchange_t, 1);
    *exchange = (exchange_t){*peer, pull};
    g_hash_table_insert(replicator->exchanges, g_memdup2(&id, sizeof(id)),
                        exchange);
    if (pull != NULL) {
        pull->exchange_id = id;
    }
    replicator->io->vtable->send(replicator->io, peer, 1, message, id);
}

/// Sends the own state to a peer. @p mutual lets the peer start a pull from
/// this node in turn.
static void
send_compare(replicator_t *replicator, const config_peer_t *peer, pull_t *pull,
             bool mutual)
{
    control_message_t message;
    control_message_init(&message, CONTROL_COMPARE, replicator->vm);
    message.state = replicator_state(replicator);
    message.mutual = mutual;
    send_request(replicator, peer, pull, &message);
    control_message_clear(&message);
}

/// Requests the state of a peer in a start-up round.
void
replicator_probe(replicator_t *replicator, const config_peer_t *peer)
{
    replicator->pending_probes++;
    send_compare(replicator, peer, NULL, false);
}

static bool
same_endpoint(const config_peer_t *a, const config_peer_t *b)
{
    return a->endpoint.port == b->endpoint.port &&
           strcmp(a->endpoint.address, b->endpoint.address) == 0;
}

static bool
is_pulling_from(const replicator_t *replicator, const config_peer_t *peer)
{
    for (int i = 0; i < PULLS_MAX; i++) {
        const pull_t *pull = &replicator->pulls[i];
        if (pull->active && same_endpoint(&pull->peer, peer)) {
            return true;
        }
    }
    for (const GList *node = replicator->pull_queue.head; node != NULL;
         node = node->next)
    {
        if (same_endpoint(&((const pull_t *)node->data)->peer, peer)) {
            return true;
        }
    }
    return false;
}

/// Starts queued pulls. During start-up only one runs at a time, so that each
/// item is fetched once.
static void
start_pulls(replicator_t *replicator)
{
    int limit = replicator->phase == PHASE_RUNNING ? PULLS_MAX : 1;
    for (int i = 0; i < limit; i++) {
        pull_t *pull = &replicator->pulls[i];
        pull_t *queued = NULL;
        if (!pull->active) {
            queued = g_queue_pop_head(&replicator->pull_queue);
        }
        if (queued == NULL) {
            continue;
        }
        pull->active = true;
        pull->peer = queued->peer;
        pull->mutual = queued->mutual;
        pull->adopted_count = 0;
        g_free(queued);
        send_compare(replicator, &pull->peer, pull, pull->mutual);
    }
}

/// Queues a pull: a comparison with a peer and the fetch of what it holds in
/// higher versions. @p mutual lets the peer start a pull from this node in
/// turn.
void
replicator_compare(replicator_t *replicator, const config_peer_t *peer,
                   bool mutual)
{
    if (is_pulling_from(replicator, peer) ||
        g_queue_get_length(&replicator->pull_queue) >= PULL_QUEUE_MAX)
    {
        return;
    }
    pull_t *pull = g_new0(pull_t, 1);
    pull->peer = *peer;
    pull->mutual = mutual;
    g_queue_push_tail(&replicator->pull_queue, pull);
    start_pulls(replicator);
}

/// Returns whether a pull has already brought nothing new for this pair of
/// digests. Such a peer is not compared with again until one of the digests
/// changes. The digests differ permanently if the peer runs a release that
/// accepts a version which this node refuses, for as long as that version is
/// the newest.
static bool
is_known_divergence(const replicator_t *replicator, uint64_t peer_digest)
{
    for (int i = 0; i < DIVERGED_PAIRS_MAX; i++) {
        if (replicator->diverged_pairs[i].own == replicator->store.digest &&
            replicator->diverged_pairs[i].peer == peer_digest)
        {
            return true;
        }
    }
    return false;
}

/// Pulls from a peer that reported the state @p peer_state, unless it is known
/// to hold nothing new.
void
replicator_pull_if_differs(replicator_t *replicator, const config_peer_t *peer,
                           const config_state_t *peer_state)
{
    if (peer_state->digest != replicator->store.digest &&
        !is_known_divergence(replicator, peer_state->digest))
    {
        replicator_compare(replicator, peer, false);
    }
}

/// Returns whether no pull is active or queued.
bool
replicator_pulls_idle(const replicator_t *replicator)
{
    bool idle = g_queue_is_empty((GQueue *)&replicator->pull_queue);
    for (int i = 0; i < PULLS_MAX; i++) {
        idle &= !replicator->pulls[i].active;
    }
    return idle;
}

static void
end_pull(replicator_t *replicator, pull_t *pull, bool complete)
{
    pull->active = false;
    g_array_set_size(pull->groups_to_list, 0);
    g_ptr_array_set_size(pull->items_to_fetch, 0);
    if (complete && pull->adopted_count == 0 &&
        pull->peer_state.digest != replicator->store.digest)
    {
        uint32_t slot = replicator->diverged_next++ % DIVERGED_PAIRS_MAX;
        replicator->diverged_pairs[slot] =
            (digest_pair_t){replicator->store.digest, pull->peer_state.digest};
    }
    if (complete) {
        replicator_record_synced(replicator, &pull->peer_state);
    }
    start_pulls(replicator);
}

static void
send_fetch(replicator_t *replicator, pull_t *pull)
{
    control_message_t message;
    control_message_init(&message, CONTROL_FETCH, replicator->vm);
    guint count = MIN(pull->items_to_fetch->len, FETCH_NAMES_MAX);
    for (guint i = 0; i < count; i++) {
        const wanted_item_t *wanted =
            g_ptr_array_index(pull->items_to_fetch, i);
        item_version_t version = {wanted->name, wanted->version};
        g_array_append_val(message.versions, version);
    }
    send_request(replicator, &pull->peer, pull, &message);
    control_message_clear(&message);
}

static void
send_list(replicator_t *replicator, pull_t *pull)
{
    control_message_t message;
    control_message_init(&message, CONTROL_LIST, replicator->vm);
    guint last = pull->groups_to_list->len - 1;
    message.group = g_array_index(pull->groups_to_list, uint64_t, last);
    g_array_set_size(pull->groups_to_list, last);
    const item_group_digests_t *own =
        item_store_group(&replicator->store, message.group);
    if (own != NULL) {
        memcpy(message.buckets, own->bucket_digests, sizeof(message.buckets));
    }
    send_request(replicator, &pull->peer, pull, &message);
    control_message_clear(&message);
}

static void
continue_pull(replicator_t *replicator, pull_t *pull)
{
    if (pull->items_to_fetch->len > 0) {
        send_fetch(replicator, pull);
    }
    else if (pull->groups_to_list->len > 0) {
        send_list(replicator, pull);
    }
    else {
        end_pull(replicator, pull, true);
    }
}

static void
handle_digests(replicator_t *replicator, pull_t *pull,
               const control_message_t *reply)
{
    pull->peer_state = reply->state;
    for (guint i = 0; i < reply->digests->len; i++) {
        const group_digest_t *peer_group =
            &g_array_index(reply->digests, group_digest_t, i);
        const item_group_digests_t *own =
            item_store_group(&replicator->store, peer_group->group);
        if (own == NULL || own->digest != peer_group->digest) {
            g_array_append_val(pull->groups_to_list, peer_group->group);
        }
    }
}

/// Pushes the items that the peer holds in lower versions. Only a node that
/// isn't listed does so: the peer doesn't know its endpoint and so can't pull
/// from it in turn.
static void
push_newer_items(replicator_t *replicator, const pull_t *pull,
                 const control_message_t *reply)
{
    if (vm_view_find(&replicator->view, replicator->vm) != NULL) {
        return;
    }
    control_message_t message;
    control_message_init(&message, CONTROL_PUSH, replicator->vm);
    size_t bytes = 0;
    for (guint i = 0; i < reply->versions->len; i++) {
        const item_version_t *peer_item =
            &g_array_index(reply->versions, item_version_t, i);
        const stored_item_t *own =
            item_store_find(&replicator->store, peer_item->name);
        if (own == NULL || own->version <= peer_item->version) {
            continue;
        }
        // The rest follows with a later comparison.
        bytes += own->value_len;
        if (message.items->len > 0 && bytes > PUSH_MAX_BYTES) {
            break;
        }
        config_item_t item = {
            own->name, own->version, {own->value, own->value_len}};
        g_array_append_val(message.items, item);
    }
    if (message.items->len > 0) {
        replicator->io->vtable->send(replicator->io, &pull->peer, 1, &message,
                                     0);
    }
    control_message_clear(&message);
}

static void
handle_versions(replicator_t *replicator, pull_t *pull,
                const control_message_t *reply)
{
    push_newer_items(replicator, pull, reply);
    for (guint i = 0; i < reply->versions->len; i++) {
        const item_version_t *peer_item =
            &g_array_index(reply->versions, item_version_t, i);
        if (item_store_needs_version(&replicator->store, peer_item->name,
                                     peer_item->version))
        {
            wanted_item_t *wanted = g_new(wanted_item_t, 1);
            *wanted =
                (wanted_item_t){g_strdup(peer_item->name), peer_item->version};
            g_ptr_array_add(pull->items_to_fetch, wanted);
        }
    }
}

/// Removes the requested items that are no longer needed after a reply,
/// because they have been adopted or refused. The others stay and are
/// requested again. If the reply has settled none, all requested ones are
/// removed, since requesting the same items again might never end.
static void
remove_settled(replicator_t *replicator, pull_t *pull)
{
    guint requested = MIN(pull->items_to_fetch->len, FETCH_NAMES_MAX);
    guint kept = 0;
    for (guint i = 0; i < requested; i++) {
        wanted_item_t *wanted = g_ptr_array_index(pull->items_to_fetch, i);
        if (item_store_needs_version(&replicator->store, wanted->name,
                                     wanted->version))
        {
            pull->items_to_fetch->pdata[i] = pull->items_to_fetch->pdata[kept];
            pull->items_to_fetch->pdata[kept++] = wanted;
        }
    }
    guint first = kept == requested ? 0 : kept;
    if (requested > first) {
        g_ptr_array_remove_range(pull->items_to_fetch, first,
                                 requested - first);
    }
}

static void
handle_items(replicator_t *replicator, pull_t *pull,
             const control_message_t *reply)
{
    for (guint i = 0; i < reply->items->len; i++) {
        const config_item_t *item =
            &g_array_index(reply->items, config_item_t, i);
        pull->adopted_count +=
            item_store_adopt(&replicator->store, item) == ADOPT_NEW;
    }
    remove_settled(replicator, pull);
}

static void
handle_probe_reply(replicator_t *replicator, const config_peer_t *peer,
                   const control_message_t *reply)
{
    replicator->pending_probes--;
    if (reply != NULL && reply->type == CONTROL_DIGESTS) {
        if (reply->state.digest == replicator->store.digest) {
            replicator_record_synced(replicator, &reply->state);
        }
        else {
            replicator_compare(replicator, peer, false);
        }
    }
}

static void
handle_pull_reply(replicator_t *replicator, pull_t *pull,
                  const control_message_t *reply)
{
    if (reply != NULL && reply->type == CONTROL_DIGESTS) {
        handle_digests(replicator, pull, reply);
    }
    else if (reply != NULL && reply->type == CONTROL_VERSIONS) {
        handle_versions(replicator, pull, reply);
    }
    else if (reply != NULL && reply->type == CONTROL_ITEMS) {
        handle_items(replicator, pull, reply);
    }
    else {
        end_pull(replicator, pull, false);
        return;
    }
    continue_pull(replicator, pull);
}

/// Processes the reply to the request that the adapter sent for
/// @p exchange_id, NULL if none came in time.
void
replicator_handle_reply(replicator_t *replicator, uint64_t exchange_id,
                        const control_message_t *reply)
{
    const exchange_t *found =
        g_hash_table_lookup(replicator->exchanges, &exchange_id);
    if (found == NULL) {
        return;
    }
    exchange_t pending = *found;
    g_hash_table_remove(replicator->exchanges, &exchange_id);
    g_strlcpy(replicator->current_sender, reply == NULL ? "" : reply->sender,
              sizeof(replicator->current_sender));
    if (pending.pull == NULL) {
        handle_probe_reply(replicator, &pending.peer, reply);
    }
    else {
        handle_pull_reply(replicator, pending.pull, reply);
    }
    replicator_startup_advance(replicator);
    replicator_relay_flush(replicator);
}

/* Requests from other nodes. */

/// Replies with the own state, and with the digest of each group if the
/// contents differ. A mutual comparison may start a pull from the sender.
void
replicator_serve_compare(replicator_t *replicator,
                         const control_message_t *request)
{
    control_message_t *reply = &replicator->reply;
    control_message_init(reply, CONTROL_DIGESTS, replicator->vm);
    reply->state = replicator_state(replicator);
    config_peer_t peer;
    if (request->state.digest == reply->state.digest) {
        return;
    }
    GHashTableIter iter;
    void *value = NULL;
    g_hash_table_iter_init(&iter, replicator->store.groups);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const item_group_digests_t *group = value;
        group_digest_t digest = {group->id, group->digest};
        if (reply->digests->len < CONTROL_DIGESTS_MAX) {
            g_array_append_val(reply->digests, digest);
        }
    }
    if (request->mutual && replicator->phase == PHASE_RUNNING &&
        replicator_find_peer(replicator, request->sender, &peer))
    {
        replicator_pull_if_differs(replicator, &peer, &request->state);
    }
}

/// Replies with names and versions in the buckets whose digests differ.
void
replicator_serve_list(replicator_t *replicator,
                      const control_message_t *request)
{
    control_message_t *reply = &replicator->reply;
    control_message_init(reply, CONTROL_VERSIONS, replicator->vm);
    reply->group = request->group;
    const item_group_digests_t *group =
        item_store_group(&replicator->store, request->group);
    for (int i = 0; group != NULL && i < ITEM_BUCKETS; i++) {
        const GPtrArray *bucket = group->buckets[i];
        if (bucket == NULL || group->bucket_digests[i] == request->buckets[i])
        {
            continue;
        }
        for (guint j = 0;
             j < bucket->len && reply->versions->len < CONTROL_VERSIONS_MAX;
             j++)
        {
            const stored_item_t *item = g_ptr_array_index(bucket, j);
            item_version_t version = {item->name, item->version};
            g_array_append_val(reply->versions, version);
        }
    }
}

/// Replies with as many as fit of the requested items that are held in the
/// requested version or a newer one.
void
replicator_serve_fetch(replicator_t *replicator,
                       const control_message_t *request)
{
    control_message_t *reply = &replicator->reply;
    control_message_init(reply, CONTROL_ITEMS, replicator->vm);
    size_t bytes = 0;
    for (guint i = 0; i < request->versions->len; i++) {
        const item_version_t *wanted =
            &g_array_index(request->versions, item_version_t, i);
        const stored_item_t *stored =
            item_store_find(&replicator->store, wanted->name);
        if (stored == NULL || stored->version < wanted->version) {
            continue;
        }
        bytes += stored->value_len;
        if (reply->items->len > 0 && (bytes > FETCH_REPLY_MAX_BYTES ||
                                      reply->items->len >= CONTROL_ITEMS_MAX))
        {
            return;
        }
        config_item_t item = {
            stored->name, stored->version, {stored->value, stored->value_len}};
        g_array_append_val(reply->items, item);
    }
}
