#ifndef IBISFIELD_CALL_GUARD_H
#define IBISFIELD_CALL_GUARD_H

#include "ibisfield/admission/admission.h"
#include "ibisfield/base/clock.h"
#include "ibisfield/base/slot_table.h"
#include "ibisfield/call/call_defs.h"
#include "ibisfield/retry/request_context.h"
#include "ibisfield/retry/retry_ratio.h"

/// A request from an entry, on this or another node, to this VM's upstream.
typedef struct {
    slice_t customer;
    slice_t kind;          ///< name of the kind in the customer's contract
    slice_t service;       ///< that the request is for; "" if not named
    int32_t worth;         ///< of the root request
    int64_t budget_us;     ///< time left until the deadline, at arrival
    int64_t run_us;        ///< time in which the upstream has to respond, at
                           ///< arrival; 0: as long as the budget
    bool may_redirect;     ///< refuse it instead of letting it wait
    bool must_end;         ///< run only if it is known to end within run_us
    uint32_t retry_tokens; ///< granted to this attempt
    bool at_most_once;     ///< not cancelled once it runs
    uint64_t context_id;   ///< id that the upstream's calls for it will carry;
                           ///< 0: a random one
    uint64_t target_instance; ///< hash of the name of the only upstream
                              ///< instance that may run it; 0: not named
    bool is_retry; ///< a retry, or a call made while serving a retry
    uint32_t calls_remaining; ///< that its root needs when it has ended
    void *user;               ///< passed back to the adapter
} guard_request_t;

/// How a request ended at the upstream.
typedef enum {
    UPSTREAM_ANSWERED,       ///< complete response received
    UPSTREAM_CONNECT_FAILED, ///< no byte was sent
    UPSTREAM_SHED, ///< the upstream refused the request before running it
    UPSTREAM_MISDIRECTED, ///< not run: the upstream is another instance than
                          ///< the request is for
    UPSTREAM_LOST,        ///< bytes were sent, but no complete response came
    UPSTREAM_RESPONSE_TOO_LARGE, ///< longer than max_answer_bytes
} upstream_result_t;

/// Response of the guard to the sender.
typedef struct {
    reason_t reason; ///< REASON_NONE: pass on the upstream's response
    outcome_t outcome;
    uint32_t retry_tokens_left; ///< granted to the attempt and not spent
    int32_t retry_after_ms;     ///< 0: no hint
    guard_load_t load;
} guard_response_t;

typedef struct guard_io guard_io_t;

/// Functions of the adapter that the guard calls. They must not call into the
/// guard before they return.
typedef struct {
    /// Sends the request to the upstream, with @p context_id in the header
    /// ibisfield-request (0: none) and with @p budget_us as its time budget.
    /// The adapter waits for the response for @p wait_us, which is longer than
    /// the budget if the request runs at most once.
    void (*start)(guard_io_t *io, call_handle_t handle, void *user,
                  uint64_t context_id, int64_t budget_us, int64_t wait_us);
    /// Stops waiting for the upstream and closes its connection.
    void (*cancel)(guard_io_t *io, call_handle_t handle, void *user);
    /// Responds to the sender; the handle is invalid afterwards. Not called
    /// after guard_sender_disconnected().
    void (*respond)(guard_io_t *io, call_handle_t handle, void *user,
                    const guard_response_t *response);
} guard_io_vtable_t;

struct guard_io {
    const guard_io_vtable_t *vtable;
};

/// A request that waits in the guard's queue or runs at the upstream.
typedef struct {
    call_handle_t handle;
    void *user;
    bool at_most_once;
    bool running;
    uint64_t requested_context_id; ///< 0: a random id is drawn
    uint64_t target_instance;
    bool is_retry;
    uint32_t calls_remaining;
    bool sender_disconnected;
    uint32_t kind_index;        ///< from admission_kind_index()
    uint32_t started_in_flight; ///< requests that ran when it started, itself
                                ///< included
    uint32_t retry_tokens;
    int32_t worth;
    uint64_t context_id; ///< 0 until it runs, or if there was no room
    int64_t deadline_us;
    int64_t run_end_us;  ///< upstream's deadline, at or before deadline_us
    int64_t wait_end_us; ///< until when the upstream's response is awaited
    int64_t started_us;
    char *customer;
} guarded_request_t;

typedef struct {
    const clock_source_t *clock;
    guard_io_t *io;
    request_contexts_t *contexts;
    admission_t admission;
    char *service; ///< of the upstream; NULL: any service is accepted
    slot_table_t slots;
    guarded_request_t *requests;
    bool draining;
    int64_t upstream_end_us; ///< the upstream may end then; SERVING_END_NONE
    int64_t process_end_us;  ///< responses can't be passed on after it
    retry_ratio_t retry_ratio;
    uint32_t depth;             ///< levels of calls below the upstream
    uint64_t rejected_instance; ///< target_instance of the last request that
                                ///< the upstream rejected as misdirected
    int64_t rejected_until_us;  ///< until when requests for it are refused
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
void guard_set_upstream_end(guard_t *guard, int64_t end_us);
void guard_set_process_end(guard_t *guard, int64_t end_us);
bool guard_is_draining(const guard_t *guard);
guard_load_t guard_load(const guard_t *guard);
uint32_t guard_in_flight(const guard_t *guard);

#endif
