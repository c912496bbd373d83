#ifndef IBISFIELD_CALL_ENTRY_H
#define IBISFIELD_CALL_ENTRY_H

#include <glib.h>

#include "ibisfield/admission/entry_throttle.h"
#include "ibisfield/base/clock.h"
#include "ibisfield/base/slot_table.h"
#include "ibisfield/call/call_defs.h"
#include "ibisfield/contract/contract.h"
#include "ibisfield/idempotency/key_table.h"
#include "ibisfield/retry/client_retry_budget.h"
#include "ibisfield/retry/request_context.h"
#include "ibisfield/retry/service_retry_budget.h"
#include "ibisfield/routing/call_depth.h"
#include "ibisfield/routing/picker.h"

/// A request from a caller, from this VM's own upstream (egress), or forwarded
/// by another node because this node owns its key.
typedef struct {
    slice_t customer; ///< already resolved; "" if unknown
    slice_t method;
    slice_t path;          ///< with query
    uint64_t request_hash; ///< XXH3 of method, path and body
    slice_t key;           ///< ibisfield-key; "" if none
    uint32_t source_hash;  ///< hash of the caller's address; 0: not limited
    bool egress;           ///< from the own upstream
    uint64_t request_id;   ///< egress: the account to draw from; 0 if none
    bool from_peer;        ///< forwarded by another node; is not forwarded on
    int32_t worth;         ///< from_peer: of the root request
    int64_t budget_us;     ///< how long the sender waits; 0: not said
    uint32_t retry_tokens; ///< from_peer: units lent
    void *user;            ///< the adapter's own object
} entry_request_t;

/// How one attempt at a guard ended.
typedef enum {
    ATTEMPT_ANSWERED,       ///< whole upstream answer
    ATTEMPT_CONNECT_FAILED, ///< no byte was sent
    ATTEMPT_REFUSED,        ///< the guard said not-run; reason is set
    ATTEMPT_LOST,           ///< bytes were sent, no whole answer, or unknown
} attempt_result_type_t;

typedef struct {
    attempt_result_type_t type;
    reason_t reason; ///< for REFUSED and LOST, if the guard gave one
    int status;      ///< HTTP status for ANSWERED
    uint32_t retry_tokens_left; ///< units handed back
    int32_t retry_after_ms;     ///< 0: none
    bool has_load;
    guard_load_t load;
    /// ANSWERED only: the answer in the adapter's serialised form. The entry
    /// copies it when it keeps the answer for a key.
    slice_t response;
} attempt_result_t;

/// What is sent along with an attempt.
typedef struct {
    const char *customer;
    const char *kind;
    const char *service;
    int32_t worth;
    int64_t budget_us;           ///< rest of the deadline
    int64_t response_timeout_us; ///< how long the adapter waits for the
                                 ///< answer; longer than the budget when the
                                 ///< request carries a key
    uint32_t retry_tokens;       ///< units lent
    bool at_most_once;           ///< not cancelled once it runs: unrepeatable
    bool is_retry; ///< of an earlier arrival, or called by a repeat
} attempt_info_t;

/// What the caller gets.
typedef struct {
    reason_t reason; ///< REASON_NONE: pass on the answer
    outcome_t outcome;
    uint32_t
        answered_attempt;    ///< attempt whose answer is passed on; 0: stored
    uint32_t attempt_count;  ///< sent in all
    uint32_t pressure;       ///< that refused the request, in thousandths
    const char *kind;        ///< NULL if the request matches none
    slice_t stored_response; ///< replay of a kept answer, valid in the call
    int32_t retry_after_ms;  ///< 0: no hint
    char new_key[KEY_TEXT_MAX + 1]; ///< "" for none
} entry_response_t;

typedef struct entry_io entry_io_t;

/// Calls from the entry to its adapter. They must not call back into the
/// entry before they return.
typedef struct {
    /// Sends attempt @p attempt (1, 2, ...) to the guard on @p vm.
    void (*send)(entry_io_t *io, call_handle_t call, void *user,
                 uint32_t attempt, vm_handle_t vm, const attempt_info_t *info);
    /// Stops waiting for an attempt, or for the forwarded request if @p
    /// attempt is 0; its result is not reported any more.
    void (*cancel)(entry_io_t *io, call_handle_t call, void *user,
                   uint32_t attempt);
    /// Sends the request to the node on @p vm_name, which owns its key, with
    /// worth, budget and units of @p info. The adapter passes that node's
    /// answer on by itself and reports the end by entry_forward_done().
    void (*forward)(entry_io_t *io, call_handle_t call, void *user,
                    const char *vm_name, const attempt_info_t *info);
    /// Answers the caller; @p user isn't passed to the adapter afterwards.
    /// Attempts of a request with a key may still be running then: the
    /// adapter reports their results until response_timeout_us is over.
    void (*respond)(entry_io_t *io, call_handle_t call, void *user,
                    const entry_response_t *answer);
} entry_io_vtable_t;

struct entry_io {
    const entry_io_vtable_t *vtable;
};

/// Finds the contract of a customer; NULL if there is none in force.
typedef const contract_t *(*contract_lookup_t)(void *context,
                                               slice_t customer);

typedef struct {
    const clock_source_t *clock;
    entry_io_t *io;
    contract_lookup_t lookup;
    void *lookup_context;
    picker_t *picker;
    key_table_t *keys;
    request_contexts_t *contexts;
    client_retry_budget_t *client_retry_budget;
    uint32_t max_calls;
    uint32_t seed;         ///< of the jitter
    bool grant_all_tokens; ///< lend all units instead of half; for the
                           ///< comparison
    /// Upstreams don't pass the account on with their calls. Then no units are
    /// lent, and what did not reach an upstream costs none.
    bool no_context_propagation;
    /// Repeats that may reach a service; NULL: bounded by units only.
    service_retry_budget_t *service_retry_budget;
    call_depths_t *depths;      ///< NULL: not learned
    entry_throttle_t *throttle; ///< NULL: every request may start
} entry_options_t;

typedef struct {
    uint32_t number; ///< 1, 2, ...
    vm_handle_t vm;
    int64_t sent_us;
    uint32_t retry_tokens; ///< units
    bool running;
} entry_attempt_t;

/// A call in flight.
typedef struct {
    call_handle_t handle;
    void *user;
    bool caller_waiting;         ///< not answered and not gone
    bool forwarded;              ///< to the owner of its key
    bool has_key;                ///< carries a key
    bool unkeyed_non_idempotent; ///< unrepeatable and without a key
    bool may_hedge;              ///< may be hedged
    bool may_have_run;           ///< an attempt was lost
    bool is_retry;    ///< called by a repeat, or sent to an upstream before
    key_handle_t key; ///< 0 if none
    uint64_t token_context_id; ///< egress: holds the units; 0: units is used
    uint64_t
        parent_context_id; ///< account of the request that it is a call of; 0
    uint32_t retry_tokens; ///< extra attempts still to spend
    uint32_t source_hash;  ///< hash of the caller's address
    uint64_t kind_hash;    ///< of customer and kind
    int32_t worth;
    int64_t deadline_us;
    int64_t wait_end_us;  ///< when the wait for late answers ends
    int64_t hedge_due_us; ///< 0: no hedge is due
    int64_t key_ttl_us;   ///< of a fresh key; 0 if the kind needs none
    reason_t reason;      ///< of the last attempt
    int32_t retry_after_ms;
    char customer[CONTRACT_NAME_MAX + 1];
    char kind[CONTRACT_NAME_MAX + 1];
    char service[CONTRACT_NAME_MAX + 1];
    uint32_t attempt_count;
    entry_attempt_t attempts[1 + CONTRACT_RETRIES_MAX];
} entry_call_t;

typedef struct {
    entry_options_t options;
    slot_table_t slots;
    entry_call_t *calls;
    GRand *random;
    bool ready;
    bool draining;
    bool refuses_callers; ///< too late for callers' requests to end in time
} entry_t;

void entry_init(entry_t *entry, const entry_options_t *options);
void entry_finish(entry_t *entry);
call_handle_t entry_request(entry_t *entry, const entry_request_t *request);
void entry_attempt_done(entry_t *entry, call_handle_t handle, uint32_t attempt,
                        const attempt_result_t *result);
void entry_forward_done(entry_t *entry, call_handle_t handle, bool answered,
                        bool connected);
void entry_caller_disconnected(entry_t *entry, call_handle_t handle);
void entry_tick(entry_t *entry);
void entry_set_ready(entry_t *entry, bool ready);
void entry_refuse_callers(entry_t *entry);
void entry_set_draining(entry_t *entry, bool draining);
uint32_t entry_in_flight(const entry_t *entry);

#endif
