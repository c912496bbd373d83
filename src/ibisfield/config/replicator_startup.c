/// @file
/// The start-up round: before a node serves, it compares with its seeds and
/// with every reader of its data centre that it can find, reads the platform,
/// and adopts the highest version of each item. What the node held before a
/// restart had come to it through a reader, so it does not start with older
/// versions than it had then.

#include "ibisfield/base/log.h"
#include "ibisfield/config/replicator_internal.h"

/// Delay after the first round that found no source. It doubles with each
/// further such round, up to ROUND_DELAY_MAX_US. A random factor from 0.5 to
/// 1.5 spreads the rounds of nodes that restarted together. A smaller one is
/// too narrow: 16,000 nodes that each read two lists after 16 s plus or minus
/// a quarter made 3,500 reads/s, and the platform serves 2,000 reads/s.
#define ROUND_DELAY_MIN_US US_PER_S
#define ROUND_DELAY_MAX_US (32 * US_PER_S)
/// Highest number of VMs of other data centres to probe in a round, if neither
/// the platform nor a reader of the own data centre has been a source.
#define REMOTE_CANDIDATES 3

/// Probes a peer, unless it is this node or was already probed in this round.
/// Returns whether a probe was sent.
static bool
probe_peer(replicator_t *replicator, const config_peer_t *peer)
{
    const endpoint_t *own = &replicator->own_endpoint;
    if (strcmp(peer->vm, replicator->vm) == 0 ||
        (peer->endpoint.port == own->port &&
         strcmp(peer->endpoint.address, own->address) == 0))
    {
        return false;
    }
    char *key =
        g_strdup_printf("%s:%u", peer->endpoint.address, peer->endpoint.port);
    if (!g_hash_table_add(replicator->probed_endpoints, key)) {
        return false;
    }
    replicator_probe(replicator, peer);
    return true;
}

static bool
probe_remote_vms(replicator_t *replicator)
{
    bool probed = false;
    config_peer_t peer;
    for (int i = 0; i < REMOTE_CANDIDATES; i++) {
        if (replicator_random_remote(replicator, &peer)) {
            probed |= probe_peer(replicator, &peer);
        }
    }
    return probed;
}

/// Probes every known seed and reader that was not probed in this round yet.
/// Returns false if there is none left.
static bool
probe_candidates(replicator_t *replicator)
{
    bool probed = false;
    for (uint32_t i = 0; i < replicator->seed_count; i++) {
        config_peer_t peer = {.endpoint = replicator->seeds[i]};
        probed |= probe_peer(replicator, &peer);
    }
    const relay_plan_t *plan = replicator_plan(replicator);
    for (uint32_t rank = 0; rank < plan->rank_count; rank++) {
        probed |= probe_peer(replicator, &plan->ranks[rank]);
    }
    return probed;
}

static void
start_round(replicator_t *replicator)
{
    g_hash_table_remove_all(replicator->probed_endpoints);
    replicator->found_ready_peer = false;
    replicator->platform_was_read = false;
    replicator->remote_was_probed = false;
    replicator->phase = PHASE_PROBING_PEERS;
    probe_candidates(replicator);
    replicator_startup_advance(replicator);
}

static void
read_platform(replicator_t *replicator)
{
    replicator->phase = PHASE_READING_PLATFORM;
    replicator->platform_was_read = true;
    for (int i = 0; i < LIST_COUNT; i++) {
        replicator_list_t *list = &replicator->lists[i];
        list->has_responded = false;
        list->reading = true;
        list->read_started_us = clock_now_us(replicator->clock);
        replicator->io->vtable->read_list(replicator->io, (config_list_t)i,
                                          list->revision, 0);
    }
}

static bool
platform_responded(const replicator_t *replicator)
{
    return replicator->lists[LIST_CONTRACTS].has_responded &&
           replicator->lists[LIST_VMS].has_responded;
}

/// Returns whether the round has found a source of the configuration: the
/// platform, or a peer that is ready.
static bool
has_source(const replicator_t *replicator)
{
    return platform_responded(replicator) || replicator->found_ready_peer;
}

static void
finish_round(replicator_t *replicator)
{
    int64_t now_us = clock_now_us(replicator->clock);
    bool platform = platform_responded(replicator);
    if (has_source(replicator)) {
        replicator->phase = PHASE_RUNNING;
        replicator_relay_start(replicator);
        log_info("configuration_ready", "platform=%d peers=%d items=%u",
                 platform, replicator->found_ready_peer,
                 replicator->store.in_force_count);
        replicator->io->vtable->ready(replicator->io);
        return;
    }
    replicator->phase = PHASE_WAITING;
    replicator->round_delay_us = CLAMP(replicator->round_delay_us * 2,
                                       ROUND_DELAY_MIN_US, ROUND_DELAY_MAX_US);
    double factor = g_rand_double_range(replicator->random, 0.5, 1.5);
    replicator->next_round_us =
        now_us + (int64_t)((double)replicator->round_delay_us * factor);
    log_warning("configuration_without_source", "retry_ms=%d",
                (int)((replicator->next_round_us - now_us) / US_PER_MS));
}

/// Continues the round once no probe, pull or read is outstanding. What a pull
/// or a read has brought may list further readers: those are probed first.
void
replicator_startup_advance(replicator_t *replicator)
{
    if (replicator->phase == PHASE_RUNNING ||
        replicator->phase == PHASE_WAITING || replicator->pending_probes > 0 ||
        !replicator_pulls_idle(replicator) ||
        replicator->lists[LIST_CONTRACTS].reading ||
        replicator->lists[LIST_VMS].reading)
    {
        return;
    }
    replicator->phase = PHASE_PROBING_PEERS;
    if (probe_candidates(replicator)) {
        return;
    }
    if (!replicator->platform_was_read) {
        read_platform(replicator);
        return;
    }
    if (!has_source(replicator) && !replicator->remote_was_probed) {
        replicator->remote_was_probed = true;
        if (probe_remote_vms(replicator)) {
            return;
        }
    }
    finish_round(replicator);
}

/// Starts the next round when it is due.
void
replicator_startup_tick(replicator_t *replicator)
{
    if (replicator->phase == PHASE_WAITING &&
        clock_now_us(replicator->clock) >= replicator->next_round_us)
    {
        start_round(replicator);
    }
}

/// Notes that this node holds everything that a peer held when it reported
/// @p peer_state, apart from versions that failed the checks. So the revisions
/// of the peer hold here too.
void
replicator_record_synced(replicator_t *replicator,
                         const config_state_t *peer_state)
{
    replicator->found_ready_peer |= peer_state->ready;
    for (int i = 0; i < LIST_COUNT; i++) {
        replicator_list_t *list = &replicator->lists[i];
        if (!list->reading && peer_state->revisions[i] > list->revision) {
            list->revision = peer_state->revisions[i];
        }
    }
}
