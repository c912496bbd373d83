#ifndef IBISFIELD_TEST_FUZZ_COMMON_CALL_SIM_H
#define IBISFIELD_TEST_FUZZ_COMMON_CALL_SIM_H

#include "ibisfield/call/entry.h"
#include "ibisfield/call/guard.h"

#define DATA_CENTRES 3
#define SERVICES 3 ///< "s0" calls "s1", "s1" calls "s2"
#define NODES (DATA_CENTRES * SERVICES)
#define CUSTOMERS 2
#define KINDS_PER_SERVICE 2 ///< an idempotent one, a non-idempotent one
#define KEY_TTL_S 30
#define DEADLINE_MS 1000

/// Faults of one exchange.
typedef enum {
    SEND_NORMAL,
    SEND_CONNECT_FAILED, ///< no connection; no byte is sent
    SEND_RESET_BEFORE,   ///< bytes are sent, but never reach the guard
    SEND_RESET_AFTER,    ///< reset after the guard got the request
    SEND_RESPONSE_TRUNCATED,
    SEND_DELAY_REQUEST, ///< the request arrives after its deadline
    SEND_DELAY_RESPONSE,
    SEND_WRONG_NODE,    ///< the sender's VM list is out of date
    SEND_TOKENS_FORGED, ///< the response returns more retry tokens than were
                        ///< granted
    SEND_FAULT_COUNT
} send_fault_t;

/// Faults of one request at an upstream; RUN_ONCE and RUN_IDEMPOTENT are no
/// faults, but types of kinds in the contract.
typedef enum {
    RUN_NORMAL,
    RUN_CONNECT_FAILED, ///< the request doesn't run
    RUN_SHED,           ///< the upstream sheds the request, which doesn't run
    RUN_LOST,           ///< the request runs, but its response is lost
    RUN_RESPONSE_TOO_LARGE,
    RUN_SLOW,
    RUN_NO_RESPONSE, ///< the upstream never responds
    RUN_FAULT_COUNT
} run_fault_t;

typedef struct sim sim_t;
typedef struct run run_t;
typedef struct exchange exchange_t;

/// One VM with its node. A stopped process is replaced by a new incarnation.
typedef struct {
    entry_io_t entry_io; ///< first member: the fake adapter casts it to node_t
    guard_io_t guard_io;
    sim_t *sim;
    uint32_t number;
    char name[16];
    uint32_t incarnation;
    bool paused;
    bool down;     ///< unreachable, but still listed
    bool stopping; ///< planned stop: exits once nothing is in flight
    bool draining;
    manual_clock_t clock;
    int64_t skew_us;
    key_table_t keys;
    request_contexts_t contexts;
    picker_t picker;
    client_retry_budget_t client_retries;
    entry_t entry;
    guard_t guard;
    /// Body of the response that entry_attempt_done() reports at the moment,
    /// which fake_respond() passes on; NULL at other times.
    const char *reported_response;
} node_t;

/// A request to an entry from a caller, an upstream or another node.
typedef struct submission {
    struct submission *root;   ///< the caller's request at the start of the
                               ///< call chain; itself if it is that request
    struct submission *origin; ///< of a forwarded request: the submission at
                               ///< the node that forwarded it; NULL: none
    run_t *parent; ///< of a call by an upstream: the run that makes it
    exchange_t *forward_exchange; ///< of a forwarded request: the exchange
                                  ///< between the two nodes
    uint32_t node, incarnation;
    uint32_t customer, kind, body; ///< identify the request
    char key[KEY_TEXT_MAX + 8];
    call_handle_t handle;
    bool retries_with_key; ///< is sent again with the key that it gets
    char next_key[KEY_TEXT_MAX + 1]; ///< key for the next submission; "": none
    bool non_idempotent; ///< its kind was non-idempotent when it was sent
    bool context_open;   ///< when it was sent, the request contexts existed of
                         ///< all runs from its parent up to the root
    bool ended;          ///< responded to, or its caller or node is gone
    bool disconnected;   ///< its caller has disconnected or its node restarted
    bool told_not_run;   ///< its caller got the outcome "not run"
    reason_t reason;     ///< of its refusal
    int64_t sent_us;
    uint32_t runs;
    uint32_t attempts[SERVICES]; ///< root: by service, of the whole chain
} submission_t;

typedef enum {
    STAGE_REQUEST,  ///< on the way to the receiver
    STAGE_RECEIVED, ///< at the receiver
    STAGE_RESPONSE, ///< on the way back to the sender
    STAGE_DONE,
} stage_t;

/// An HTTP exchange between two nodes.
struct exchange {
    submission_t *submission;
    bool forward;
    uint32_t from, from_incarnation, to, to_incarnation;
    call_handle_t call;
    uint32_t attempt;
    attempt_info_t info;
    char customer[16], kind[16], service[16];
    send_fault_t fault;
    stage_t stage;
    bool connected;       ///< the receiver has accepted the connection
    bool sender_open;     ///< the sender waits for the response
    bool disconnect_seen; ///< the receiver saw the sender disconnect
    bool after_draining;  ///< arrived after the guard began to drain
    int64_t due_us, timeout_us;
    call_handle_t guard_handle;
    submission_t *owner_submission; ///< forward: the request at the owner
    int64_t deadline_us;            ///< on the guard's clock
    run_t *run;
    attempt_result_t result;
    bool answered;          ///< forward: a response came
    char response_text[64]; ///< body of the response
    entry_response_t forwarded_response;
};

/// The run of a request at an upstream.
struct run {
    uint32_t id, node, incarnation;
    exchange_t *exchange;
    call_handle_t guard_handle;
    uint64_t context_id;
    run_fault_t fault;
    bool child_sent;
    bool waiting_for_child;
    bool context_open; ///< its request context exists
    bool ended;
    int64_t due_us; ///< when it ends or makes its call
};

struct sim {
    int64_t now_us;
    node_t nodes[NODES];
    contract_t contracts[CUSTOMERS];
    kind_t kinds[SERVICES * KINDS_PER_SERVICE];
    bool contract_removed[CUSTOMERS]; ///< contract isn't in force
    bool link_down[DATA_CENTRES][DATA_CENTRES];
    GPtrArray *submissions, *exchanges, *runs; ///< in order of creation
    GHashTable *key_histories;                 ///< key text to key_history_t
    /// Copies of the submissions for which a key was issued, with that key.
    GPtrArray *issued_keys;
    send_fault_t send_fault; ///< of the next exchange
    run_fault_t run_fault;   ///< of the next run
    uint32_t incarnations;   ///< number of processes started so far
    uint32_t max_records;    ///< of each node's key table
};

// call_sim.c: nodes, time and delivery of due events.
void sim_init(sim_t *sim, uint32_t retries, uint32_t max_records);
void sim_finish(sim_t *sim);
void sim_advance(sim_t *sim, int64_t step_us);
submission_t *sim_submit(sim_t *sim, const submission_t *template);
void sim_disconnect_caller(sim_t *sim, submission_t *submission);
void sim_restart_node(sim_t *sim, uint32_t node);
void sim_list_vm(sim_t *sim, uint32_t at, uint32_t vm, bool present,
                 bool draining);
void sim_set_draining(sim_t *sim, uint32_t node, bool draining);
node_t *sim_find_node(sim_t *sim, uint32_t node, uint32_t incarnation);
uint32_t service_of_node(uint32_t node);

// call_adapters.c: fake adapters of entry and guard, network and upstreams.
extern const entry_io_vtable_t fake_entry_io;
extern const guard_io_vtable_t fake_guard_io;
void deliver_exchange(sim_t *sim, exchange_t *exchange);
void report_sender_timeout(sim_t *sim, exchange_t *exchange);
void advance_run(sim_t *sim, run_t *run);
void report_sender_disconnect(sim_t *sim, exchange_t *exchange);
void resubmit_with_key(sim_t *sim, submission_t *submission);
const submission_t *original_submission(const submission_t *submission);

// call_oracle.c: checks of what callers, upstreams and the network see.
void oracle_key_issued(sim_t *sim, const char *key, uint32_t customer);
void oracle_attempt(sim_t *sim, const exchange_t *exchange);
void oracle_forward(const exchange_t *exchange);
void oracle_run(sim_t *sim, run_t *run, int64_t budget_us);
void oracle_response(sim_t *sim, submission_t *submission,
                     const entry_response_t *response, const char *text);
void oracle_guard_cancel(sim_t *sim, const exchange_t *exchange);
void oracle_planned_stop(sim_t *sim, const node_t *node);
void oracle_check_settled_key(sim_t *sim, const submission_t *issued);
void oracle_check_end(sim_t *sim);

#endif
