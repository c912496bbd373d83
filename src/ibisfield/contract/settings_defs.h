#ifndef IBISFIELD_CONTRACT_SETTINGS_DEFS_H
#define IBISFIELD_CONTRACT_SETTINGS_DEFS_H

#include <stdint.h>

/// Longest name, in bytes; VM_NAME_MAX without a store.
#define SETTINGS_NAME_MAX 255
#define SETTINGS_SEEDS_MAX 16
#define SETTINGS_URL_MAX 255

/// An IPv4 address and a port.
typedef struct {
    char address[16];
    uint16_t port;
} endpoint_t;

/// Settings of one node. JSON field names equal the member names; endpoints
/// are strings "address:port".
typedef struct {
    char vm[SETTINGS_NAME_MAX + 1];
    char data_centre[SETTINGS_NAME_MAX + 1];
    char service[SETTINGS_NAME_MAX + 1]; ///< of the upstream on this VM
    endpoint_t caller_listen;            ///< HTTP of callers (entry)
    endpoint_t egress_listen;            ///< HTTP of the own upstream (egress)
    endpoint_t peer_listen;              ///< HTTP of other nodes (guard)
    endpoint_t control_listen;           ///< control messages (nng)
    endpoint_t operator_listen;          ///< HTTP of operators
    endpoint_t readiness_listen;         ///< readiness checks; port 0: none
    endpoint_t upstream;                 ///< the upstream on this VM
    int32_t upstream_slots;       ///< requests that it runs concurrently
    int32_t upstream_connections; ///< connections that it accepts
    char config_url[SETTINGS_URL_MAX + 1]; ///< contracts, http://ip:port
    char list_url[SETTINGS_URL_MAX + 1];   ///< VM list, http://ip:port
    /// The platform's metadata store; port 0: the two URLs are read instead.
    endpoint_t store;
    endpoint_t seeds[SETTINGS_SEEDS_MAX]; ///< control addresses of peers
    uint32_t seed_count;
    int32_t max_request_bytes; ///< of the body; default 1048576
    int32_t max_answer_bytes;  ///< of the body; default 4194304
    double memory_limit_mb;    ///< of the process; default 0: not stated
    int32_t max_calls;         ///< in flight at the entry; default 4096
    int32_t max_connections;   ///< accepted connections; default 4096
    /// Added to the expected time of VMs in other data centres; default 3000.
    int32_t remote_cost_us;
    /// For how long a node that shuts down still serves requests with the keys
    /// that it has issued; default 5000.
    int32_t key_linger_ms;
    /// Longest time of a shutdown, at whose end the calls in flight are cut;
    /// default 30000.
    int32_t drain_limit_ms;
    double stop_limit_s; ///< from SIGTERM to the exit; 0: not set
    /// For how long the upstream serves after it is listed as draining or its
    /// record is removed; default 2.
    double upstream_drain_s;
    /// After this time an access key that was taken away opens nothing, on any
    /// node; default 0: not bounded.
    double access_key_revoke_s;
    /// Requests that operators tolerate beyond a usage cap in any window of
    /// usage_window_s: a fraction of the cap, and a number; default 0.
    double usage_window_s;
    double usage_overage_ratio;
    double usage_overage_requests;
    double retry_ratio;    ///< retries per request to a service
    double retry_window_s; ///< over which both are counted
    /// For the responses that are stored for request keys; default 16777216.
    int32_t answer_store_bytes;
    char log_level[16]; ///< debug, info, warning; default info
} settings_t;

#endif
