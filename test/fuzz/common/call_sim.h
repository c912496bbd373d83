#ifndef IBISFIELD_TEST_FUZZ_COMMON_CALL_SIM_H
#define IBISFIELD_TEST_FUZZ_COMMON_CALL_SIM_H

#include "ibisfield/call/entry.h"
#include "ibisfield/call/guard.h"

#define DATA_CENTRES 3
#define SERVICES 3 ///< "s0" calls "s1", "s1" calls "s2"
#define NODES (DATA_CENTRES * SERVICES)
#define CUSTOMERS 2
#define KINDS_PER_SERVICE 2 ///< repeatable, once
#define KEY_TTL_S 30
#define DEADLINE_MS 1000

typedef enum {
    SEND_NORMAL,
    SEND_REFUSED,      ///< no byte sent
    SEND_RESET_BEFORE, ///< bytes sent, the guard never gets the request
    SEND_RESET_AFTER,  ///< reset once the guard has the request
    SEND_RESPONSE_TRUNCATED,
    SEND_DELAY_REQUEST, ///< the request arrives much later
    SEND_DELAY_RESPONSE,
    SEND_WRONG_NODE,    ///< a stale list names another node's address
    SEND_TOKENS_FORGED, ///< the answer hands back more units than were lent
    SEND_FAULTS
} send_fault_t;

typedef enum {
    RUN_NORMAL,
    RUN_CONNECT_FAILED,
    RUN_SHED,
    RUN_LOST,
    RUN_TOO_LARGE,
    RUN_SLOW,
    RUN_HANGS, ///< no answer ever
    RUN_FAULTS
} run_fault_t;

typedef struct sim sim_t;
typedef struct run run_t;
typedef struct exchange exchange_t;

/// One VM with its node. Stopped processes are replaced by a new incarnation.
typedef struct {
    entry_io_t entry_io; ///< first member: adapters cast back
    guard_io_t guard_io;
    sim_t *sim;
    uint32_t number;
    char name[16];
    uint32_t incarnation;
    bool paused;
    bool down;     ///< dead but still listed
    bool stopping; ///< planned stop: exits when nothing is in flight
    bool draining;
    manual_clock_t clock;
    int64_t skew_us;
    key_table_t keys;
    request_contexts_t contexts;
    picker_t picker;
    client_retry_budget_t client_retries;
    entry_t entry;
    guard_t guard;
    const char *delivered; ///< answer text of the attempt being reported
} node_t;

/// A request given to an entry: by a caller, an upstream or another node.
typedef struct submission {
    struct submission *root;      ///< request of a caller at the chain's start
    struct submission *origin;    ///< forwarded: the one at the first node
    run_t *parent;                ///< of an upstream: the run that makes it
    exchange_t *forward_exchange; ///< forwarded: how it got here
    uint32_t node, incarnation;
    uint32_t customer, kind, body; ///< what the request is
    char key[KEY_TEXT_MAX + 8];
    call_handle_t handle;
    bool retries_with_key;           ///< sends again with the key that it gets
    char next_key[KEY_TEXT_MAX + 1]; ///< key to send again with, "" for none
    bool non_idempotent; ///< its kind was unrepeatable when it was sent
    bool context_open;   ///< its account was open when it was sent
    bool ended;          ///< answered, or its caller or node has gone
    bool disconnected;   ///< its caller has gone or its node was killed
    bool told_not_run;
    reason_t reason; ///< of its refusal
    int64_t sent_us;
    uint32_t runs;
    uint32_t attempts[SERVICES]; ///< root: attempts sent to each service
} submission_t;

typedef enum {
    STAGE_REQUEST,  ///< on its way
    STAGE_RECEIVED, ///< at the receiver
    STAGE_RESPONSE, ///< on its way back
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
    bool sender_open;     ///< the sender waits for the answer
    bool disconnect_seen; ///< the receiver knows that the sender has gone
    bool after_draining;
    int64_t due_us, timeout_us;
    call_handle_t guard_handle;
    submission_t *owner_submission; ///< forward: the request at the owner
    int64_t deadline_us;            ///< on the guard's clock
    run_t *run;
    attempt_result_t result;
    bool answered;          ///< forward: an answer came
    char response_text[64]; ///< of the answer
    entry_response_t forwarded_response;
};

/// A request at an upstream.
struct run {
    uint32_t id, node, incarnation;
    exchange_t *exchange;
    call_handle_t guard_handle;
    uint64_t context_id;
    run_fault_t fault;
    bool child_sent;
    bool waiting_for_child;
    bool context_open;
    bool ended;
    int64_t due_us;
};

struct sim {
    int64_t now_us;
    node_t nodes[NODES];
    contract_t contracts[CUSTOMERS];
    kind_t kinds[SERVICES * KINDS_PER_SERVICE];
    bool contract_removed[CUSTOMERS]; ///< not in force
    bool link_down[DATA_CENTRES][DATA_CENTRES];
    GPtrArray *submissions, *exchanges, *runs; ///< all of them, in order
    GHashTable *key_histories;
    GPtrArray *keys; ///< submissions that got a fresh key
    send_fault_t send_fault;
    run_fault_t run_fault;
    uint32_t incarnations;
    uint32_t max_records;
};

// call_sim.c: nodes and the network between them.
void sim_init(sim_t *sim, uint32_t retries, uint32_t max_records);
void sim_finish(sim_t *sim);
void sim_advance(sim_t *sim, int64_t step_us);
submission_t *sim_submit(sim_t *sim, const submission_t *model);
void sim_disconnect_caller(sim_t *sim, submission_t *submission);
void sim_restart_node(sim_t *sim, uint32_t node);
void sim_list_vm(sim_t *sim, uint32_t at, uint32_t vm, bool present,
                 bool draining);
void sim_set_draining(sim_t *sim, uint32_t node, bool draining);
node_t *sim_find_node(sim_t *sim, uint32_t node, uint32_t incarnation);
uint32_t service_of_node(uint32_t node);

// call_adapters.c: the fake adapters of entry and guard.
extern const entry_io_vtable_t fake_entry_io;
extern const guard_io_vtable_t fake_guard_io;
void deliver_exchange(sim_t *sim, exchange_t *exchange);
void close_sender(sim_t *sim, exchange_t *exchange);
void advance_run(sim_t *sim, run_t *run);
void report_sender_disconnect(sim_t *sim, exchange_t *exchange);
void resubmit_with_key(sim_t *sim, submission_t *submission);
const submission_t *original_submission(const submission_t *submission);

// call_oracle.c: counts from outside.
void oracle_key_issued(sim_t *sim, const char *key, uint32_t customer);
void oracle_attempt(sim_t *sim, const exchange_t *exchange);
void oracle_forward(const exchange_t *exchange);
void oracle_run(sim_t *sim, run_t *run, int64_t budget_us);
void oracle_answer(sim_t *sim, submission_t *submission,
                   const entry_response_t *answer, const char *text);
void oracle_guard_cancel(sim_t *sim, const exchange_t *exchange);
void oracle_stop(sim_t *sim, const node_t *node);
void oracle_check_settled_key(sim_t *sim, const submission_t *issued);
void oracle_check_end(sim_t *sim);

#endif
