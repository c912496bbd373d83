#ifndef IBISFIELD_CALL_ENTRY_H
#define IBISFIELD_CALL_ENTRY_H

#include <glib.h>

#include "ibisfield/admission/entry_throttle.h"
#include "ibisfield/admission/serving_end.h"
#include "ibisfield/base/clock.h"
#include "ibisfield/base/slot_table.h"
#include "ibisfield/call/call_defs.h"
#include "ibisfield/contract/contract.h"
#include "ibisfield/idempotency/key_table.h"
#include "ibisfield/retry/call_progress.h"
#include "ibisfield/retry/client_retry_budget.h"
#include "ibisfield/retry/request_context.h"
#include "ibisfield/retry/service_retry_budget.h"
#include "ibisfield/routing/call_depth.h"
#include "ibisfield/routing/picker.h"
#include "ibisfield/workspace/key_proof.h"
#include "ibisfield/workspace/usage_gate.h"
#include "ibisfield/workspace/workspaces.h"

/// A request from a caller, from this VM's own upstream (egress), or forwarded
/// by another node because this node owns the request's key.
typedef struct {
    slice_t customer; ///< name of the customer; "" if unknown
    slice_t method;
    slice_t path;          ///< includes the query
    uint64_t request_hash; ///< XXH3 of method, path and body
    slice_t key;           ///< header ibisfield-key; "" if none
    slice_t access_key;    ///< of a workspace; "" if none
    uint32_t source_hash;  ///< hash of the caller's address; 0: the client
                           ///< retry budget doesn't apply
    bool egress;           ///< sent by the own upstream
    uint64_t context_id;   ///< egress: id of the request context that the call
                           ///< belongs to; 0 if none
    bool from_peer;        ///< by another node; not forwarded again
    int32_t worth;         ///< from_peer: worth of the root request
    int64_t budget_us;     ///< time that the sender still waits; 0 from a
                           ///< caller or the own upstream: not stated
    uint32_t retry_tokens; ///< from_peer: granted by the forwarding node
    void *user;            ///< passed back to the adapter
} entry_request_t;

/// How an attempt ended.
typedef enum {
    ATTEMPT_ANSWERED,       ///< complete response of the upstream
    ATTEMPT_CONNECT_FAILED, ///< no byte was sent
    ATTEMPT_REFUSED,        ///< not run, as the guard reported; reason is set
    ATTEMPT_LOST, ///< bytes were sent, but no complete response came, or
                  ///< the guard reported an unknown outcome
} attempt_result_type_t;

typedef struct {
    attempt_result_type_t type;
    reason_t reason; ///< for ATTEMPT_REFUSED and ATTEMPT_LOST, if the guard
                     ///< gave one
    int status;      ///< HTTP status for ATTEMPT_ANSWERED
    uint32_t retry_tokens_left; ///< granted to the attempt and not spent
    int32_t retry_after_ms;     ///< 0: no hint
    bool has_load;
    guard_load_t load;
    /// ATTEMPT_ANSWERED only: the response as serialised by the adapter. The
    /// entry stores a copy under the request's key.
    slice_t response;
} attempt_result_t;

/// Request metadata that is sent with an attempt.
typedef struct {
    const char *customer;
    const char *kind;
    const char *service;
    const char *workspace; ///< that the request belongs to; "": none
    int32_t worth;
    int64_t budget_us; ///< time left until the deadline
    int64_t run_us;    ///< time in which the upstream has to respond;
                       ///< shorter than the budget if this process
                       ///< ends before the deadline
    int64_t response_timeout_us; ///< how long the adapter waits for the
                                 ///< response; longer than the budget when
                                 ///< the request carries a key
    bool may_redirect; ///< another VM may take it at once: the guard refuses
                       ///< it instead of letting it wait
    bool must_end; ///< the guard refuses it unless it is known to end within
                   ///< run_us, because this process ends
    uint32_t retry_tokens; ///< granted to the attempt
    bool at_most_once;     ///< not cancelled once it runs
    bool is_retry;         ///< a retry, or a call made while serving a retry
    uint32_t calls_remaining; ///< that the root needs when this one has ended
} attempt_info_t;

/// Response of the entry to the caller.
typedef struct {
    reason_t reason; ///< REASON_NONE: pass on the upstream's response
    outcome_t outcome;
    uint32_t answered_attempt; ///< number of the attempt whose response to
                               ///< pass on; 0: pass on stored_response. Only
                               ///< for REASON_NONE
    uint32_t attempt_count;    ///< total number of attempts sent
    uint32_t pressure;         ///< that caused the refusal, in thousandths
    const char *kind;          ///< NULL if no kind matches the request
    const char *workspace;     ///< NULL if the request belongs to none
    slice_t stored_response;   ///< response stored for the key; valid only
                               ///< during respond()
    int32_t retry_after_ms;    ///< 0: no hint
    char new_key[KEY_TEXT_MAX + 1]; ///< fresh key for a client retry; "":
                                    ///< none
} entry_response_t;

/// Attempt number that denotes the forwarded request in a call of cancel().
#define FORWARDED_REQUEST 0

typedef struct entry_io entry_io_t;

/// Functions of the adapter that the entry calls. They must not call into the
/// entry before they return.
typedef struct {
    /// Sends attempt @p attempt (1, 2, ...) to the guard on @p vm.
    void (*send)(entry_io_t *io, call_handle_t call, void *user,
                 uint32_t attempt, vm_handle_t vm, const attempt_info_t *info);
    /// Cancels an attempt, or the forwarded request if @p attempt is
    /// FORWARDED_REQUEST. The adapter doesn't report its result any more.
    void (*cancel)(entry_io_t *io, call_handle_t call, void *user,
                   uint32_t attempt);
    /// Sends the request to the node on @p vm_name, which owns its key, with
    /// worth, budget and retry tokens of @p info. The adapter passes that
    /// node's response to the caller itself and reports the end by
    /// entry_forward_done().
    void (*forward)(entry_io_t *io, call_handle_t call, void *user,
                    const char *vm_name, const attempt_info_t *info);
    /// Responds to the caller; @p user isn't passed to the adapter afterwards.
    /// Attempts of a request with a key may still be running then: the
    /// adapter reports their results until response_timeout_us has passed.
    void (*respond)(entry_io_t *io, call_handle_t call, void *user,
                    const entry_response_t *response);
} entry_io_vtable_t;

struct entry_io {
    const entry_io_vtable_t *vtable;
};

/// Returns the contract in force of a customer, or NULL if there is none.
typedef const contract_t *(*contract_lookup_t)(void *context,
                                               slice_t customer);

typedef struct {
    const clock_source_t *clock;
    entry_io_t *io;
    contract_lookup_t lookup;
    void *lookup_context;
    const workspaces_t *workspaces; ///< NULL: callers need no key
    const key_proof_t *key_proof;   ///< NULL: keys need no proof
    usage_gate_t *usage_gate;       ///< NULL: workspaces have no usage caps
    picker_t *picker;
    key_table_t *keys;
    request_contexts_t *contexts;
    client_retry_budget_t *client_retry_budget;
    uint32_t max_calls;
    uint32_t seed;         ///< of the random jitter
    bool grant_all_tokens; ///< grant an attempt all retry tokens instead of
                           ///< half of them; for comparison runs
    /// Upstreams don't pass the id of the request context on with their calls,
    /// or the entry uses the id only to find the parent request. Then no retry
    /// tokens are granted to attempts, and each call has tokens of its own. A
    /// retry after an attempt that did not reach an upstream costs none. A
    /// response with a status from 500 on may be replaced by that of a retry.
    bool no_context_propagation;
    /// Limits the retries to a service; NULL: only retry tokens limit them.
    service_retry_budget_t *service_retry_budget;
    call_depths_t *depths;      ///< NULL: depths of services aren't learned
    call_progress_t *progress;  ///< NULL: a retry is worth the request's worth
    entry_throttle_t *throttle; ///< NULL: requests aren't throttled
} entry_options_t;

typedef struct {
    uint32_t number; ///< 1, 2, ...
    vm_handle_t vm;
    int64_t sent_us;
    uint32_t retry_tokens; ///< granted to the attempt
    bool running;
    bool busy; ///< refused so that another VM is chosen
} entry_attempt_t;

/// A request in flight at the entry.
typedef struct {
    call_handle_t handle;
    void *user;
    bool caller_waiting;         ///< not responded to and still connected
    bool forwarded;              ///< sent to the node that owns its key
    bool has_key;                ///< the request carries a key
    bool unkeyed_non_idempotent; ///< its kind is RUN_ONCE_UNKEYED
    bool may_hedge;
    bool may_have_run; ///< an attempt was lost, or an attempt failed with a
                       ///< response that a retry is to replace
    bool is_retry;     ///< retried, or a call made while serving a retry
    key_handle_t key;  ///< record of the key here; 0: none
    uint64_t token_context_id;  ///< egress: request context that holds the
                                ///< retry tokens; 0: retry_tokens holds them,
                                ///< as with no_context_propagation
    uint64_t parent_context_id; ///< context of the request for which the
                                ///< upstream makes this call; 0: none
    uint32_t retry_tokens;      ///< left to spend
    uint32_t calls_remaining;   ///< that the root needs when it has ended
    uint32_t source_hash;       ///< hash of the caller's address
    uint64_t kind_hash;         ///< hash of customer and kind
    int32_t worth;
    int32_t retry_worth; ///< by which retries are compared
    int64_t deadline_us;
    int64_t wait_end_us;  ///< until when late responses are awaited
    int64_t hedge_due_us; ///< when to send a hedge; 0: never
    int64_t key_ttl_us;   ///< of a fresh key; 0: the kind needs no key
    reason_t reason;      ///< of the last attempt
    int32_t retry_after_ms;
    char *customer; ///< this name and those below are copies: a change of the
                    ///< contract may release its own
    char *kind;
    char *service;
    char *workspace;       ///< "": none
    uint64_t workspace_id; ///< counted against its cap; 0: not counted
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
    serving_end_t end;    ///< of this process
    bool refuses_callers; ///< callers' requests are refused, because the
                          ///< process ends soon
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
void entry_set_end(entry_t *entry, const serving_end_t *end);
void entry_refuse_callers(entry_t *entry);
void entry_end_calls(entry_t *entry);
void entry_set_draining(entry_t *entry, bool draining);
uint32_t entry_in_flight(const entry_t *entry);

#endif
