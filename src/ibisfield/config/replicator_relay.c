/// @file
/// Relay of new items and heartbeats within the own data centre. Each reader
/// of the platform is the root of a tree of the nodes there, and each node
/// relays to its children in the trees. Also decides when the node takes over
/// for a silent reader, and when it compares its items with those of a peer.

#include "ibisfield/config/control_codec.h"
#include "ibisfield/config/replicator_internal.h"

/// Minimum interval between forwarded heartbeats of one root. It stops them
/// from circulating between nodes whose lists differ.
#define FORWARD_SPACING_US (HEARTBEAT_INTERVAL_US / 2)
#define PUSH_PEERS_MAX (READER_RANKS_MAX * RELAY_FAN_OUT)

typedef struct {
    config_peer_t peers[PUSH_PEERS_MAX];
    uint32_t count;
} peer_set_t;

/// Carries the heartbeat times of each reader over to a new plan. For a reader
/// that had no rank a heartbeat counts as received now.
void
replicator_relay_update_ranks(replicator_t *replicator)
{
    rank_state_t old_ranks[READER_RANKS_MAX];
    memcpy(old_ranks, replicator->ranks, sizeof(old_ranks));
    int64_t now_us = clock_now_us(replicator->clock);
    for (uint32_t rank = 0; rank < READER_RANKS_MAX; rank++) {
        rank_state_t *state = &replicator->ranks[rank];
        *state = (rank_state_t){.last_heartbeat_us = now_us};
        if (rank >= replicator->plan.rank_count) {
            continue;
        }
        state->peer = replicator->plan.ranks[rank];
        for (int i = 0; i < READER_RANKS_MAX; i++) {
            if (strcmp(old_ranks[i].peer.vm, state->peer.vm) == 0) {
                state->last_heartbeat_us = old_ranks[i].last_heartbeat_us;
                state->last_forwarded_us = old_ranks[i].last_forwarded_us;
            }
        }
    }
}

/// Starts heartbeats and comparisons once a start-up round has found a source.
void
replicator_relay_start(replicator_t *replicator)
{
    int64_t now_us = clock_now_us(replicator->clock);
    replicator_plan(replicator);
    for (int rank = 0; rank < READER_RANKS_MAX; rank++) {
        replicator->ranks[rank].last_heartbeat_us = now_us;
    }
    replicator->next_heartbeat_us = now_us;
    replicator->next_anti_entropy_us =
        now_us + g_rand_int_range(replicator->random, 0,
                                  (gint32)ANTI_ENTROPY_INTERVAL_US);
    replicator->next_silent_compare_us = now_us + HEARTBEAT_TIMEOUT_US;
}

static bool
is_silent(const replicator_t *replicator, uint32_t rank)
{
    return clock_now_us(replicator->clock) -
               replicator->ranks[rank].last_heartbeat_us >
           HEARTBEAT_TIMEOUT_US;
}

/// Returns whether the node has to read the platform, because it has one of
/// the first ranks, takes over for a silent reader, or knows no reader at all.
bool
replicator_is_reader(replicator_t *replicator)
{
    const relay_plan_t *plan = replicator_plan(replicator);
    if (replicator->phase != PHASE_RUNNING) {
        return false;
    }
    if (plan->rank_count == 0 || plan->own_rank < ACTIVE_READERS) {
        return true;
    }
    uint32_t silent = 0;
    for (uint32_t rank = 0; rank < ACTIVE_READERS && rank < plan->rank_count;
         rank++)
    {
        silent += is_silent(replicator, rank);
    }
    return plan->own_rank != RANK_NONE &&
           plan->own_rank < ACTIVE_READERS + silent;
}

static void
add_peers(peer_set_t *set, const config_peer_t *peers, uint32_t count,
          const char *excluded_vm)
{
    for (uint32_t i = 0; i < count; i++) {
        bool skip = strcmp(peers[i].vm, excluded_vm) == 0;
        for (uint32_t j = 0; j < set->count && !skip; j++) {
            skip = strcmp(set->peers[j].vm, peers[i].vm) == 0;
        }
        if (!skip) {
            set->peers[set->count++] = peers[i];
        }
    }
}

/// Collects the node's children in the trees of all current readers. A new
/// item is pushed to all of them, whichever peer sent it, so a node misses it
/// only if its parents in all trees do.
static void
collect_children(replicator_t *replicator, peer_set_t *set)
{
    const relay_plan_t *plan = replicator_plan(replicator);
    set->count = 0;
    for (uint32_t rank = 0; rank < plan->rank_count; rank++) {
        if (rank < ACTIVE_READERS || rank == plan->own_rank ||
            !is_silent(replicator, rank))
        {
            add_peers(set, plan->children[rank], plan->child_count[rank],
                      replicator->current_sender);
        }
    }
}

/// Pushes the changed items from index @p next on, as many as fit in a
/// message, and advances @p next past them.
static void
push_items(replicator_t *replicator, const peer_set_t *set, guint *next)
{
    control_message_t message;
    control_message_init(&message, CONTROL_PUSH, replicator->vm);
    size_t bytes = 0;
    for (; *next < replicator->changed_names->len; (*next)++) {
        const stored_item_t *stored = item_store_find(
            &replicator->store,
            g_ptr_array_index(replicator->changed_names, *next));
        bytes += stored->value_len;
        if (message.items->len > 0 &&
            (bytes > PUSH_MAX_BYTES ||
             message.items->len >= CONTROL_ITEMS_MAX))
        {
            break;
        }
        config_item_t item = {
            stored->name, stored->version, {stored->value, stored->value_len}};
        g_array_append_val(message.items, item);
    }
    replicator->io->vtable->send(replicator->io, set->peers, set->count,
                                 &message, 0);
    control_message_clear(&message);
}

/// Pushes the items that have come into force since the last call.
void
replicator_relay_flush(replicator_t *replicator)
{
    if (replicator->changed_names->len == 0) {
        return;
    }
    peer_set_t set;
    collect_children(replicator, &set);
    guint next = 0;
    while (set.count > 0 && next < replicator->changed_names->len) {
        push_items(replicator, &set, &next);
    }
    g_ptr_array_set_size(replicator->changed_names, 0);
}

static void
send_heartbeat(replicator_t *replicator, uint32_t rank)
{
    const relay_plan_t *plan = replicator_plan(replicator);
    if (plan->child_count[rank] == 0) {
        return;
    }
    control_message_t message;
    control_message_init(&message, CONTROL_HEARTBEAT, replicator->vm);
    g_strlcpy(message.root, plan->ranks[rank].vm, sizeof(message.root));
    message.state = replicator_state(replicator);
    replicator->io->vtable->send(replicator->io, plan->children[rank],
                                 plan->child_count[rank], &message, 0);
    control_message_clear(&message);
}

/// Records the heartbeat of a reader and forwards it with the own state,
/// unless one of the same reader was forwarded shortly before.
static void
forward_heartbeat(replicator_t *replicator, const char *root)
{
    const relay_plan_t *plan = replicator_plan(replicator);
    uint32_t rank = relay_plan_rank(plan, root);
    int64_t now_us = clock_now_us(replicator->clock);
    if (rank == RANK_NONE) {
        return;
    }
    rank_state_t *state = &replicator->ranks[rank];
    state->last_heartbeat_us = now_us;
    if (now_us - state->last_forwarded_us >= FORWARD_SPACING_US &&
        rank != plan->own_rank && replicator->phase == PHASE_RUNNING)
    {
        state->last_forwarded_us = now_us;
        send_heartbeat(replicator, rank);
    }
}

/// Processes a heartbeat: records and forwards it, and pulls from the sender
/// if the contents differ.
void
replicator_relay_heartbeat(replicator_t *replicator,
                           const control_message_t *heartbeat)
{
    config_peer_t peer;
    forward_heartbeat(replicator, heartbeat->root);
    if (replicator->phase != PHASE_RUNNING) {
        return;
    }
    if (heartbeat->state.digest == replicator->store.digest) {
        replicator_record_synced(replicator, &heartbeat->state);
    }
    else if (replicator_find_peer(replicator, heartbeat->sender, &peer)) {
        replicator_pull_if_differs(replicator, &peer, &heartbeat->state);
    }
}

/// Chooses a random VM of another data centre. Returns false if there is none.
bool
replicator_random_remote(replicator_t *replicator, config_peer_t *peer)
{
    GHashTableIter iter;
    void *value = NULL;
    gint32 seen = 0;
    g_hash_table_iter_init(&iter, replicator->view.vms);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const vm_info_t *info = value;
        if (strcmp(info->data_centre, replicator->data_centre) == 0) {
            continue;
        }
        // Of the VMs seen so far each is chosen with the same probability.
        seen++;
        if (g_rand_int_range(replicator->random, 0, seen) == 0) {
            *peer = vm_info_peer(info);
        }
    }
    return seen > 0;
}

static void
run_anti_entropy(replicator_t *replicator)
{
    const GArray *peers = replicator_plan(replicator)->local_peers;
    config_peer_t peer;
    if (peers->len > 0) {
        gint32 index =
            g_rand_int_range(replicator->random, 0, (gint32)peers->len);
        replicator_compare(replicator,
                           &g_array_index(peers, config_peer_t, index), true);
    }
    if (replicator_is_reader(replicator) &&
        replicator_random_remote(replicator, &peer))
    {
        replicator_compare(replicator, &peer, true);
    }
}

/// Compares with one of the readers if no heartbeat of any reader arrives,
/// because the node isn't listed yet or its parents are gone.
static void
compare_if_readers_silent(replicator_t *replicator)
{
    const relay_plan_t *plan = replicator_plan(replicator);
    uint32_t count = MIN(plan->rank_count, ACTIVE_READERS);
    for (uint32_t rank = 0; rank < count; rank++) {
        if (rank == plan->own_rank || !is_silent(replicator, rank)) {
            return;
        }
    }
    if (count > 0) {
        gint32 rank = g_rand_int_range(replicator->random, 0, (gint32)count);
        replicator_compare(replicator, &plan->ranks[rank], true);
    }
}

/// Sends heartbeats if the node is a reader, and runs the comparisons that are
/// due.
void
replicator_relay_tick(replicator_t *replicator)
{
    int64_t now_us = clock_now_us(replicator->clock);
    uint32_t own_rank = replicator_plan(replicator)->own_rank;
    if (now_us >= replicator->next_heartbeat_us) {
        replicator->next_heartbeat_us = now_us + HEARTBEAT_INTERVAL_US;
        if (own_rank != RANK_NONE && replicator_is_reader(replicator)) {
            send_heartbeat(replicator, own_rank);
        }
    }
    if (now_us >= replicator->next_anti_entropy_us) {
        replicator->next_anti_entropy_us =
            now_us + replicator_jitter(replicator, ANTI_ENTROPY_INTERVAL_US);
        run_anti_entropy(replicator);
    }
    if (now_us >= replicator->next_silent_compare_us) {
        replicator->next_silent_compare_us =
            now_us + replicator_jitter(replicator, US_PER_S);
        compare_if_readers_silent(replicator);
    }
}
