#ifndef IBISFIELD_CALL_GUARD_H
#define IBISFIELD_CALL_GUARD_H

#include "ibisfield/admission/admission.h"
#include "ibisfield/base/clock.h"
#include "ibisfield/base/slot_table.h"
#include "ibisfield/call/call_defs.h"
#include "ibisfield/retry/request_context.h"
#include "ibisfield/retry/retry_ratio.h"

/// A request that another node (or this one) sends to this VM's upstream.
typedef struct {
    slice_t customer;
    slice_t kind;          ///< name of the kind in the customer's contract
    slice_t service;       ///< that the sender means; "" if it names none
    int32_t worth;         ///< of the root request
    int64_t budget_us;     ///< rest of the deadline at arrival
    uint32_t retry_tokens; ///< units lent to this call
    bool at_most_once;   ///< carries a key: once started it is never cancelled
    uint64_t context_id; ///< id that its calls are told by; 0: a random one
    uint64_t
        target_instance; ///< hash of the instance that is meant; 0: not named
    bool is_retry;       ///< of an earlier arrival, or called by a repeat
    void *user;          ///< the adapter's own object
} guard_request_t;

/// How the upstream's run of a request ended.
typedef enum {
    UPSTREAM_ANSWERED,       ///< whole answer received
    UPSTREAM_CONNECT_FAILED, ///< no byte was sent
    UPSTREAM_SHED,           ///< the upstream refused before running it
    UPSTREAM_MISDIRECTED,    ///< another instance than meant; did not run it
    UPSTREAM_LOST,           ///< bytes were sent, no whole answer
    UPSTREAM_RESPONSE_TOO_LARGE, ///< the answer exceeds max_answer_bytes
} upstream_result_t;

/// What the guard tells the sender.
typedef struct {
    reason_t reason; ///< REASON_NONE: pass on the upstream's answer
    outcome_t outcome;
    uint32_t retry_tokens_left; ///< units handed back
    int32_t retry_after_ms;     ///< 0: no hint
    guard_load_t load;
} guard_response_t;

typedef struct guard_io guard_io_t;

/// Calls from the guard to its adapter. They must not call back into the
/// guard before they return.
typedef struct {
    /// Starts the request at the upstream. @p request_id is passed in the
    /// header ibisfield-request (0: none). The upstream is told @p budget_us;
    /// the adapter waits for its answer for @p wait_us, which is longer when
    /// the request carries a key.
    void (*start)(guard_io_t *io, call_handle_t handle, void *user,
                  uint64_t request_id, int64_t budget_us, int64_t wait_us);
    /// Stops waiting for the upstream and closes its connection.
    void (*cancel)(guard_io_t *io, call_handle_t handle, void *user);
    /// Answers the sender; the handle is invalid afterwards. Not called after
    /// guard_sender_disconnected().
    void (*respond)(guard_io_t *io, call_handle_t handle, void *user,
                    const guard_response_t *answer);
} guard_io_vtable_t;

struct guard_io {
    const guard_io_vtable_t *vtable;
};

typedef struct {
    call_handle_t handle;
    void *user;
    bool at_most_once;
    bool running;
    uint64_t given_context_id; ///< 0: none given
    uint64_t target_instance;
    bool is_retry;
    bool sender_disconnected;
    uint32_t kind_index; ///< admission's number
    uint32_t retry_tokens;
    int32_t worth;
    uint64_t context_id;
    int64_t deadline_us;
    int64_t wait_end_us; ///< when waiting for the upstream ends
    int64_t started_us;
    char customer[64];
} guarded_request_t;

typedef struct {
    const clock_source_t *clock;
    guard_io_t *io;
    request_contexts_t *contexts;
    admission_t admission;
    char service[64]; ///< of the upstream; "" accepts every service
    slot_table_t slots;
    guarded_request_t *requests;
    bool draining;
    retry_ratio_t retry_ratio;
    uint32_t depth; ///< levels of calls below the upstream, as reported
    uint64_t rejected_instance; ///< that the upstream said it isn't
    int64_t rejected_until_us;
} guard_t;

void guard_init(guard_t *guard, const clock_source_t *clock, guard_io_t *io,
                request_contexts_t *contexts,
                const admission_options_t *options);
void guard_finish(guard_t *guard);
void guard_set_service(guard_t *guard, const char *service);
void guard_set_depth(guard_t *guard, uint32_t depth);
void guard_set_retry_window(guard_t *guard, int64_t window_us);
void guard_set_slots(guard_t *guard, uint32_t slots);
call_handle_t guard_request(guard_t *guard, const guard_request_t *request);
void guard_upstream_done(guard_t *guard, call_handle_t handle,
                         upstream_result_t result);
void guard_sender_disconnected(guard_t *guard, call_handle_t handle);
void guard_tick(guard_t *guard);
void guard_set_draining(guard_t *guard, bool draining);
bool guard_is_draining(const guard_t *guard);
guard_load_t guard_load(const guard_t *guard);
uint32_t guard_in_flight(const guard_t *guard);

#endif
