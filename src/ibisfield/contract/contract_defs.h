#ifndef IBISFIELD_CONTRACT_CONTRACT_DEFS_H
#define IBISFIELD_CONTRACT_CONTRACT_DEFS_H

#include <stdbool.h>
#include <stdint.h>

/// Longest name, host and path of a contract that an operator writes, in
/// bytes. Those that the adapter to a platform decodes may be longer.
#define CONTRACT_NAME_MAX 63
#define CONTRACT_HOST_MAX 253
#define CONTRACT_PATH_MAX 255
/// Kinds and hosts of one contract.
#define CONTRACT_KINDS_MAX 256
#define CONTRACT_HOSTS_MAX 16
#define CONTRACT_WORKSPACES_MAX 1024
#define CONTRACT_WORTH_MAX 100
#define CONTRACT_RETRIES_MAX 10

/// How often a request may run.
typedef enum {
    RUN_IDEMPOTENT, ///< may run several times: retried and hedged
    RUN_ONCE,       ///< runs at most once; needs a request key
    /// Runs at most once and has no request key: retried only if the previous
    /// attempt is known not to have run.
    RUN_ONCE_UNKEYED,
} run_mode_t;

/// A service that gets a fraction of a kind's requests.
typedef struct {
    char *service;
    double weight; ///< relative to the weights of the other targets
    double credit; ///< requests owed to this target; see traffic_split.h
} split_target_t;

/// One kind of request, as the contract declares it. Released by
/// kind_finish().
typedef struct {
    char *name;
    char *service;
    char method[16]; ///< "" matches every method
    /// Path without the query; a '*' at the end matches any rest of a path.
    char *path;
    int32_t worth;       ///< 1 to CONTRACT_WORTH_MAX; lowest is refused first
    int32_t deadline_ms; ///< from the arrival at the entry
    int32_t resend_s;    ///< how long a key stays valid; RUN_ONCE only
    run_mode_t run;
    int32_t target_latency_ms; ///< later responses are worth less; 0: none
    int32_t attempts_max;      ///< for one request; 0: 1 + contract's retries
    split_target_t *split_targets; ///< NULL: all requests go to service
    uint32_t split_target_count;
    bool anonymous; ///< needs no access key, also where workspaces exist
} kind_t;

/// One customer's contract. Released by contract_finish().
typedef struct {
    char *customer;
    char **hosts;
    uint32_t host_count;
    int32_t retries;              ///< retries and hedges of one caller request
    int32_t client_retry_percent; ///< client retries per 100 first requests
    kind_t *kinds;
    uint32_t kind_count;
    struct workspace *workspaces; ///< with access keys of their own; NULL:
                                  ///< callers need no key
    uint32_t workspace_count;
} contract_t;

/// Limits that follow from a kind and its contract; printed by `explain`.
typedef struct {
    /// Attempts of one request: the kind's own limit or 1 + retries. At any
    /// service of the call chain, no more than these arrive.
    int32_t attempts_max;
    int32_t queue_wait_ms; ///< longest wait in a guard's queue
    int32_t key_ttl_ms;    ///< 0 for idempotent kinds
    bool hedge;            ///< a second, concurrent attempt is allowed
} kind_limits_t;

#endif
