#ifndef IBISFIELD_CONFIG_RELAY_PLAN_H
#define IBISFIELD_CONFIG_RELAY_PLAN_H

#include "ibisfield/config/control_defs.h"
#include "ibisfield/config/vm_view.h"

#define ACTIVE_READERS 3   ///< ranks that always read the platform
#define READER_RANKS_MAX 6 ///< including those that take over
#define RELAY_FAN_OUT 8
#define RANK_NONE READER_RANKS_MAX

/// The readers of the platform in one data centre, and the peers to which one
/// of its nodes relays. Depends on the list of VMs only.
typedef struct {
    config_peer_t ranks[READER_RANKS_MAX]; ///< readers by rank
    uint32_t rank_count;
    uint32_t own_rank; ///< RANK_NONE if the node has none
    bool own_listed;
    /// The node's children in the tree of each rank.
    config_peer_t children[READER_RANKS_MAX][RELAY_FAN_OUT];
    uint32_t child_count[READER_RANKS_MAX];
    GArray *local_peers; ///< config_peer_t: other VMs of the data centre
} relay_plan_t;

void relay_plan_init(relay_plan_t *plan);
void relay_plan_finish(relay_plan_t *plan);
void relay_plan_build(relay_plan_t *plan, const vm_view_t *view,
                      const char *data_centre, const char *own_vm);
config_peer_t vm_info_peer(const vm_info_t *info);
uint32_t relay_plan_rank(const relay_plan_t *plan, const char *vm);

#endif
