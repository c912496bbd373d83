#ifndef IBISFIELD_CONFIG_REPLICATOR_H
#define IBISFIELD_CONFIG_REPLICATOR_H

#include "ibisfield/base/clock.h"
#include "ibisfield/config/control_defs.h"
#include "ibisfield/config/relay_plan.h"

/// Interval at which replicator_tick() must be called.
#define REPLICATOR_TICK_US (100 * US_PER_MS)
/// Duration of a long poll of a platform list. It also determines
/// how soon the node notices that the platform has returned to an older state
/// or hangs.
#define LONG_POLL_MS 2000
#define HEARTBEAT_INTERVAL_US US_PER_S
/// A reader (a node that reads the platform for its data centre) whose
/// heartbeats don't arrive for this time counts as silent.
#define HEARTBEAT_TIMEOUT_US (3 * US_PER_S)
#define ANTI_ENTROPY_INTERVAL_US (5 * US_PER_S)
#define PULLS_MAX 3
#define DIVERGED_PAIRS_MAX 16

typedef struct replicator_io replicator_io_t;

/// Calls from the replicator to its adapter. Except for check(), they must not
/// call back into the replicator before they return.
typedef struct {
    /// Sends a message to each peer. If @p exchange_id is not 0, there is one
    /// peer, and replicator_handle_reply() must be called for it exactly
    /// once, with NULL if no valid reply came in time.
    void (*send)(replicator_io_t *io, const config_peer_t *peers,
                 uint32_t count, const control_message_t *message,
                 uint64_t exchange_id);
    /// Reads a list of the platform. replicator_handle_list() must be called
    /// once with the result, unless the read is cancelled.
    void (*read_list)(replicator_io_t *io, config_list_t list, uint64_t since,
                      int64_t wait_ms);
    void (*cancel_read)(replicator_io_t *io, config_list_t list);
    /// Returns whether a contract is valid; appends its problems (char *).
    bool (*check)(replicator_io_t *io, const config_item_t *item,
                  GPtrArray *problems);
    /// Called when an item has come into force.
    void (*changed)(replicator_io_t *io, const config_item_t *item);
    /// Called when a start-up round has found a source; see
    /// replicator_is_ready().
    void (*ready)(replicator_io_t *io);
} replicator_io_vtable_t;

struct replicator_io {
    const replicator_io_vtable_t *vtable;
};

typedef struct {
    const char *vm;
    const char *data_centre;
    endpoint_t own_endpoint; ///< own control address
    const endpoint_t *seeds; ///< control endpoints to probe at start-up
    uint32_t seed_count;
    uint32_t random_seed; ///< of the random number generator
} replicator_options_t;

/// Result of a read of the platform; ok is false if it failed.
typedef struct {
    bool ok;
    uint64_t revision;
    const config_item_t *items;
    size_t item_count;
} list_read_result_t;

typedef enum {
    PHASE_WAITING,          ///< until the next start-up round, since the last
                            ///< one found no source
    PHASE_PROBING_PEERS,    ///< compares with seeds and readers
    PHASE_READING_PLATFORM, ///< reads both lists
    PHASE_RUNNING,          ///< a start-up round has found a source
} replicator_phase_t;

/// State of one list of the platform.
typedef struct {
    uint64_t revision; ///< all changes up to it are held; 0: unknown
    bool reading;
    bool has_responded; ///< in this start-up round
    bool failing;
    int64_t read_started_us;
    int64_t next_read_us; ///< earliest start of the next read
    int64_t retry_delay_us;
} replicator_list_t;

/// A comparison with one peer and the fetch of the items that differ.
typedef struct {
    bool active;
    config_peer_t peer;
    uint64_t exchange_id;      ///< id of the last request
    bool mutual;               ///< the peer may pull from this node in turn
    config_state_t peer_state; ///< as reported by the peer
    GArray *groups_to_list;    ///< uint64_t, groups still to list
    GPtrArray *items_to_fetch; ///< wanted_item_t, items still to fetch
    uint64_t own_digest;
    uint32_t adopted_count;
} pull_t;

/// State of the reader with a certain rank.
typedef struct {
    config_peer_t peer;
    int64_t last_heartbeat_us;
    int64_t last_forwarded_us;
} rank_state_t;

/// Digests over all items of this node and of a peer.
typedef struct {
    uint64_t own;
    uint64_t peer;
} digest_pair_t;

typedef struct {
    const clock_source_t *clock;
    replicator_io_t *io;
    char vm[VM_NAME_MAX + 1];
    char data_centre[VM_NAME_MAX + 1];
    endpoint_t own_endpoint;
    endpoint_t seeds[SETTINGS_SEEDS_MAX];
    uint32_t seed_count;
    GRand *random;

    item_store_t store;
    vm_view_t view;
    vm_info_t parsed_vm; ///< value of the item that is being adopted
    relay_plan_t plan;
    bool plan_stale;
    rank_state_t ranks[READER_RANKS_MAX];

    replicator_phase_t phase;
    int64_t next_round_us; ///< next start-up round while waiting
    int64_t round_delay_us;
    GHashTable *probed_endpoints; ///< endpoints (char *) of this round
    uint32_t pending_probes;      ///< probes without a reply yet
    bool found_ready_peer;
    bool platform_was_read;
    bool remote_was_probed; ///< VMs of other data centres were probed

    replicator_list_t lists[LIST_COUNT];
    pull_t pulls[PULLS_MAX];
    GQueue pull_queue;     ///< pull_t, not yet active
    GHashTable *exchanges; ///< id to exchange_t
    uint64_t last_exchange_id;
    /// Digests at the end of complete pulls that brought nothing new although
    /// the contents still differ; see is_known_divergence() in
    /// replicator_pull.c. The oldest pair is overwritten.
    digest_pair_t diverged_pairs[DIVERGED_PAIRS_MAX];
    uint32_t diverged_next; ///< number of pairs stored so far

    GPtrArray *changed_names;             ///< names (char *) of items to push
    char current_sender[VM_NAME_MAX + 1]; ///< of the message being handled, or
                                          ///< ""; gets no push of what it sent
    control_message_t reply;              ///< to the last request
    int64_t next_heartbeat_us;
    int64_t next_anti_entropy_us;
    int64_t next_silent_compare_us;
} replicator_t;

void replicator_init(replicator_t *replicator, const clock_source_t *clock,
                     replicator_io_t *io, const replicator_options_t *options);
void replicator_finish(replicator_t *replicator);
void replicator_start(replicator_t *replicator);
void replicator_tick(replicator_t *replicator);
const control_message_t *
replicator_handle_request(replicator_t *replicator,
                          const control_message_t *request);
void replicator_handle_reply(replicator_t *replicator, uint64_t exchange_id,
                             const control_message_t *reply);
void replicator_handle_list(replicator_t *replicator, config_list_t list,
                            const list_read_result_t *result);
bool replicator_is_ready(const replicator_t *replicator);
bool replicator_is_reader(replicator_t *replicator);
config_state_t replicator_state(const replicator_t *replicator);

#endif
