#ifndef IBISFIELD_IO_USAGE_LINK_H
#define IBISFIELD_IO_USAGE_LINK_H

#include <json-c/json.h>

#include "ibisfield/admission/entry_throttle.h"
#include "ibisfield/config/vm_view.h"
#include "ibisfield/contract/settings_defs.h"
#include "ibisfield/io/http_client.h"
#include "ibisfield/io/http_server.h"
#include "ibisfield/io/log_limit.h"
#include "ibisfield/workspace/usage_gate.h"
#include "ibisfield/workspace/usage_keeper.h"

/// Candidates for a keeper: the first one, and one in case it doesn't respond.
#define USAGE_CANDIDATES 2

/// Value of the header ibisfield-control on reports to keepers.
#define USAGE_CONTROL "usage"

typedef struct usage_link usage_link_t;

/// Levels of keepers. Nodes report to that of their data centre, which reports
/// to that of the fleet.
typedef enum { USAGE_DATA_CENTRE, USAGE_FLEET, USAGE_LEVELS } usage_level_t;

/// Reports to the keeper of one level, one at a time.
typedef struct {
    usage_link_t *link;
    usage_level_t level;
    endpoint_t candidates[USAGE_CANDIDATES]; ///< port 0: this node
    uint32_t candidate_count;
    uint32_t chosen;        ///< index of the candidate in use
    int64_t retry_first_us; ///< when the first candidate is tried again
    endpoint_t pool_endpoint;
    http_pool_t *pool;
    http_exchange_t *exchange; ///< NULL: none in progress
    GArray *counts;            ///< usage_count_t of the report in progress
    int64_t reported_us;       ///< start of the last report
} usage_channel_t;

/// Exchange of usage and shares between the gate of this node, its keepers and
/// those of other nodes.
struct usage_link {
    loop_t *loop;
    const settings_t *settings;
    const vm_view_t *vms;
    const workspaces_t *workspaces;
    usage_gate_t *gate;
    const entry_throttle_t *throttle;
    usage_keeper_t keepers[USAGE_LEVELS];
    usage_channel_t channels[USAGE_LEVELS];
    uint32_t nodes;             ///< of the fleet
    uint32_t data_centre_nodes; ///< of the own data centre
    bool vms_changed;
    bool has_workspaces;
    loop_timer_t tick_timer;
    log_limit_t log_limit;
};

void usage_link_init(usage_link_t *link, loop_t *loop,
                     const settings_t *settings, const vm_view_t *vms,
                     const workspaces_t *workspaces, usage_gate_t *gate,
                     const entry_throttle_t *throttle);
void usage_link_finish(usage_link_t *link);
void usage_link_vms_changed(usage_link_t *link);
void usage_link_workspaces_changed(usage_link_t *link);
void usage_link_handle(usage_link_t *link, http_request_t *request);
void usage_link_write_status(const usage_link_t *link,
                             struct json_object *status);

#endif
