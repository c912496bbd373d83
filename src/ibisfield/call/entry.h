#ifndef IBISFIELD_CALL_ENTRY_H
#define IBISFIELD_CALL_ENTRY_H

#include "ibisfield/base/clock.h"
#include "ibisfield/call/call_defs.h"
#include "ibisfield/contract/contract.h"
#include "ibisfield/once/key_table.h"
#include "ibisfield/retry/client_retry_budget.h"
#include "ibisfield/retry/retry_account.h"
#include "ibisfield/routing/picker.h"

/// A request from a caller, from this VM's own upstream (egress), or forwarded
/// by another node because this node owns its key.
typedef struct {
    slice_t customer; ///< already resolved; "" if unknown
    slice_t method;
    slice_t path;        ///< with query
    uint64_t body_hash;  ///< XXH3 of method, path and body
    slice_t key;         ///< ibisfield-key; "" if none
    uint32_t source;     ///< hash of the caller's address
    uint64_t request_id; ///< egress: the account to draw from; 0 if none
    bool from_peer;      ///< forwarded by another node; is not forwarded on
    void *user;          ///< the adapter's own object
} entry_request_t;

/// How one attempt at a guard ended.
typedef enum {
    ATTEMPT_ANSWERED,       ///< whole upstream answer
    ATTEMPT_CONNECT_FAILED, ///< no byte was sent
    ATTEMPT_REFUSED,        ///< the guard said not-run; reason is set
    ATTEMPT_LOST,           ///< bytes were sent, no whole answer, or unknown
} attempt_result_kind_t;

typedef struct {
    attempt_result_kind_t kind;
    reason_t reason;        ///< for REFUSED and LOST, if the guard gave one
    int status;             ///< HTTP status for ANSWERED
    uint32_t retries_left;  ///< units handed back
    int32_t retry_after_ms; ///< 0: none
    bool has_load;
    guard_load_t load;
    /// ANSWERED only: the answer in the adapter's serialised form. The entry
    /// copies it when it keeps the answer for a key.
    slice_t answer;
} attempt_result_t;

/// What is sent along with an attempt.
typedef struct {
    const char *customer;
    const char *kind;
    const char *service;
    int32_t worth;
    int64_t budget_us;
    uint32_t retries; ///< units lent
} attempt_info_t;

/// What the caller gets.
typedef struct {
    reason_t reason; ///< REASON_NONE: pass on the answer
    outcome_t outcome;
    uint32_t attempt;       ///< attempt whose answer is passed on; 0: stored
    slice_t stored_answer;  ///< replay of a kept answer, valid in the call
    int32_t retry_after_ms; ///< 0: no hint
    char fresh_key[KEY_TEXT_MAX + 1]; ///< "" for none
} entry_answer_t;

typedef struct entry_io entry_io_t;

/// Calls from the entry to its adapter. They must not call back into the
/// entry before they return.
typedef struct {
    /// Sends attempt @p attempt (1, 2, ...) to the guard on @p vm.
    void (*send)(entry_io_t *io, call_handle_t call, void *user,
                 uint32_t attempt, vm_handle_t vm, const attempt_info_t *info);
    /// Stops waiting for an attempt; its result is not reported any more.
    void (*cancel)(entry_io_t *io, call_handle_t call, void *user,
                   uint32_t attempt);
    /// Sends the request to the node on @p vm_name, which owns its key. The
    /// adapter passes that node's answer on by itself and reports the end by
    /// entry_forward_done().
    void (*forward)(entry_io_t *io, call_handle_t call, void *user,
                    const char *vm_name, int64_t budget_us);
    /// Answers the caller; the call ends unless attempts of it are running.
    void (*answer)(entry_io_t *io, call_handle_t call, void *user,
                   const entry_answer_t *answer);
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
    retry_accounts_t *accounts;
    client_retry_budget_t *client_retries;
    uint32_t max_calls;
    uint32_t seed; ///< of the jitter
} entry_options_t;

typedef struct entry entry_t;

void entry_init(entry_t *entry, const entry_options_t *options);
void entry_finish(entry_t *entry);
/// Takes a request; it is answered by the vtable, at once or later. Returns
/// its handle, 0 if it was already answered.
call_handle_t entry_request(entry_t *entry, const entry_request_t *request);
void entry_attempt_done(entry_t *entry, call_handle_t call, uint32_t attempt,
                        const attempt_result_t *result);
/// @p connected is false when no byte reached the owner. The entry answers the
/// caller (key-owner-unreachable, unknown) unless @p answered is true.
void entry_forward_done(entry_t *entry, call_handle_t call, bool answered,
                        bool connected);
void entry_caller_gone(entry_t *entry, call_handle_t call);
/// Handles deadlines and hedges. Call every few milliseconds.
void entry_tick(entry_t *entry);
/// While false, calls are refused with not-ready.
void entry_set_ready(entry_t *entry, bool ready);
/// Stops minting keys; submissions of own keys are still served.
void entry_set_leaving(entry_t *entry, bool leaving);
uint32_t entry_in_flight(const entry_t *entry);

#endif
