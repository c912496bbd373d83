#ifndef IBISFIELD_IO_NODE_H
#define IBISFIELD_IO_NODE_H

#include "ibisfield/call/entry.h"
#include "ibisfield/call/guard.h"
#include "ibisfield/config/vm_view.h"
#include "ibisfield/contract/settings_defs.h"
#include "ibisfield/io/caller_server.h"
#include "ibisfield/io/config_agent.h"
#include "ibisfield/io/config_source.h"
#include "ibisfield/io/customers.h"
#include "ibisfield/io/http_server.h"
#include "ibisfield/io/peer_client.h"
#include "ibisfield/io/peer_server.h"
#include "ibisfield/io/span.h"
#include "ibisfield/io/upstream_client.h"
#include "ibisfield/io/usage_link.h"

/// Causes for a node to drain, i.e. to get no new work.
typedef enum {
    DRAIN_SHUTDOWN = 1 << 0, ///< SIGTERM
    DRAIN_LISTED = 1 << 1,   ///< marked as draining in the published list, or
                             ///< removed from it
    DRAIN_OPERATOR = 1 << 2, ///< POST /drain
    DRAIN_UPSTREAM = 1 << 3, ///< reported by the upstream's health endpoint
} drain_cause_t;

/// A node: its core modules, servers, clients and state.
typedef struct {
    const settings_t *settings;
    const platform_adapter_t *adapter; ///< NULL: the project's own platform
    clock_source_t clock;
    loop_t loop;
    customers_t customers;
    key_proof_t key_proof;
    usage_gate_t usage_gate;
    byte_account_t account;
    usage_link_t usage_link;
    bool keys_refused; ///< for want of a proof, as last logged
    vm_view_t vms;
    picker_t picker;
    key_table_t keys;
    request_contexts_t contexts;
    client_retry_budget_t client_retries;
    entry_t entry;
    guard_t guard;
    span_source_t spans;
    http_server_t *server;
    peer_client_t peers;
    upstream_client_t upstream;
    caller_server_t caller_server;
    peer_server_t peer_server;
    config_agent_t *agent;   ///< NULL with an adapter
    config_source_t *source; ///< NULL without an adapter
    change_feed_t feed;      ///< used with an adapter only
    service_retry_budget_t service_retries;
    call_depths_t depths;
    call_progress_t progress;
    entry_throttle_t throttle;
    loop_timer_t tick_timer;
    loop_timer_t shutdown_timer;
    unsigned int drain_causes; ///< set of drain_cause_t
    bool upstream_was_listed;  ///< this node's own, at some time
    bool ready;
    bool listeners_closed; ///< since HANDSHAKE_GRACE_US after drop_start_us
    /// Callers' requests are refused, since a new one might not end in time.
    bool refuses_callers;
    int64_t start_us;
    int64_t shutdown_started_us; ///< when SIGTERM was received
    int64_t drop_start_us;       ///< when new connections were first refused
    int exit_code;
} node_t;

bool node_init(node_t *node, const settings_t *settings,
               const platform_adapter_t *adapter, GError **error);
void node_finish(node_t *node);
int node_run(node_t *node);
void node_set_drain_cause(node_t *node, drain_cause_t cause, bool draining);
void node_reload(node_t *node, const settings_t *settings);
bool node_is_ready(const node_t *node);
void node_shut_down(node_t *node);
void node_stop(node_t *node);

#endif
