#ifndef IBISFIELD_BENCH_SIM_H
#define IBISFIELD_BENCH_SIM_H

#include <glib.h>

#include "common/deployment.h"
#include "common/event_queue.h"
#include "ibisfield/call/entry.h"
#include "ibisfield/call/guard.h"

#define NONE UINT32_MAX
#define ATTEMPTS_MAX 8
#define BUCKET_US (250 * US_PER_MS)
#define BUCKETS_MAX 128

/// What decides in a run.
typedef enum {
    POLICY_IBISFIELD,    ///< the real entry and guard
    POLICY_PASS_THROUGH, ///< random choice; FIFO at the upstream
    POLICY_HOP_RETRIES,  ///< pass-through with three tries at every hop
} policy_t;

/// How load reports reach the picker.
typedef enum {
    REPORTS_CURRENT,
    REPORTS_DELAYED,     ///< one second old
    REPORTS_ALWAYS_IDLE, ///< always idle
    REPORTS_IGNORED,
} report_mode_t;

typedef struct {
    const char *name;
    policy_t policy;
    lb_policy_t pick;
    report_mode_t reports;
    queue_order_t order;
    bool grant_all_tokens;
    uint32_t disabled_admission_features; ///< admission_feature_t bits
    uint32_t disabled_picker_features;    ///< picker_feature_t bits
} variant_t;

typedef struct {
    const char *name;
    const char *deployment; ///< NULL: the chosen one
    double load;
    int64_t end_us;
    int64_t measure_from_us; ///< start of the measured window
    double surge; ///< load factor from surge_from_us to surge_end_us
    int64_t surge_from_us;
    int64_t surge_end_us;
    double slow_factor; ///< on service times; 0: requests fail at once
    int64_t slow_from_us;
    int64_t slow_end_us;
    double long_factor;    ///< load of long kinds
    uint32_t slow_service; ///< NONE: one server of every service
    uint32_t client_attempts;
    bool reduced_slots; ///< fewer effective slots instead of longer times
} scenario_t;

/// A client's request.
typedef struct {
    uint32_t kind;
    uint32_t references;
    uint64_t number;
    int64_t start_us;
    uint32_t client_attempts;
    bool succeeded;
    double work_us;
    uint8_t sent[SERVICES_MAX]; ///< attempts at each service
} root_t;

typedef enum {
    ATTEMPT_SENT,
    ATTEMPT_WAITING, ///< in the guard's queue
    ATTEMPT_QUEUED,  ///< in the upstream's own queue
    ATTEMPT_RUNNING,
    ATTEMPT_ENDED,
} attempt_state_t;

/// A request at an entry or egress.
typedef struct {
    uint32_t root;
    uint32_t kind;
    uint32_t node;
    uint32_t parent;     ///< attempt whose upstream makes the call, NONE
    uint32_t references; ///< events, attempts, and one until it is answered
    bool ended;
    uint32_t served_attempt; ///< attempt whose work succeeded, 0: none
    uint32_t attempt_count;
    uint32_t attempts[ATTEMPTS_MAX]; ///< NONE once its result has come
    call_handle_t handle;            ///< of the real entry
    char key[KEY_TEXT_MAX + 1];
} call_t;

/// A request on its way to an upstream and back.
typedef struct {
    uint32_t call;
    uint32_t number; ///< of the attempt in its call
    uint32_t root;
    uint32_t kind;
    uint32_t sender; ///< server
    uint32_t node;   ///< server
    uint32_t references;
    attempt_state_t state;
    bool cancelled;
    bool ok;        ///< the upstream's work succeeded
    bool lost;      ///< the upstream closed the connection
    uint32_t phase; ///< of the upstream's work
    uint32_t child; ///< call
    int64_t started_us;
    int32_t worth;
    int64_t deadline_us;
    uint32_t retries;
    bool once;
    uint64_t request_id;
    call_handle_t handle; ///< of the real guard
    guard_response_t answer;
} attempt_t;

typedef struct sim sim_t;

/// One VM: its node and its upstream.
typedef struct {
    sim_t *sim;
    uint32_t service;
    uint32_t index; ///< in its service
    uint32_t centre;
    char name[32];
    entry_io_t entry_io;
    guard_io_t guard_io;
    entry_t entry;
    guard_t guard;
    picker_t picker;
    key_table_t keys;
    request_contexts_t contexts;
    client_retry_budget_t client_retries;
    uint32_t running;
    GQueue waiting;        ///< attempts in the upstream's own queue
    uint32_t *outstanding; ///< by server: connections in use
    uint32_t *connections; ///< by server: connections opened
    guard_load_t delayed_loads[8];
} server_t;

/// Sums of one run.
typedef struct {
    double useful_us[SERVICES_MAX]; ///< useful slot time in the window
    double busy_us[SERVICES_MAX];   ///< of work started in the window
    double work_us;
    double failed_work_us;
    uint64_t roots;
    uint64_t attempts;     ///< that ran at an upstream
    uint64_t sent;         ///< attempts sent to guards
    uint64_t max_attempts; ///< sent to one service for one root
    uint64_t offered[KINDS_MAX];
    uint64_t served[KINDS_MAX];   ///< by arrival in the window
    uint64_t answered[KINDS_MAX]; ///< by answer in the window
    uint64_t bucket_offered[BUCKETS_MAX];
    uint64_t bucket_served[BUCKETS_MAX];
    uint64_t surge_offered[KINDS_MAX];
    uint64_t surge_served[KINDS_MAX];
    GArray *short_slowdowns; ///< double: over the time without waiting
} sums_t;

struct sim {
    const deployment_t *deployment;
    const scenario_t *scenario;
    const variant_t *variant;
    uint32_t seed;
    manual_clock_t clock;
    event_queue_t events;
    contract_t contract;
    kind_t kinds[KINDS_MAX];
    GRand *arrivals[KINDS_MAX];
    GRand *random; ///< of pass-through
    double rates[KINDS_MAX];
    server_t *servers;
    uint32_t server_count;
    GArray *roots;
    GArray *free_roots;
    GArray *calls;
    GArray *free_calls;
    GArray *attempts;
    GArray *free_attempts;
    uint64_t next_number;
    sums_t sums;
};

typedef enum {
    EVENT_ARRIVAL,  ///< a: kind
    EVENT_RETRY,    ///< a: root
    EVENT_CALL,     ///< a: call reaches its node
    EVENT_DEADLINE, ///< a: call of pass-through
    EVENT_GUARD,    ///< a: attempt reaches its server
    EVENT_PHASE,    ///< a: attempt; own work of a phase is over
    EVENT_RESULT,   ///< a: attempt; its result reaches the caller's node
    EVENT_CANCEL,   ///< a: attempt
    EVENT_TICK,     ///< a: server
} event_type_t;

/// sim.c
root_t *sim_root(sim_t *sim, uint32_t root);
call_t *sim_call(sim_t *sim, uint32_t call);
attempt_t *sim_attempt(sim_t *sim, uint32_t attempt);
uint32_t sim_take_slot(GArray *pool, GArray *free_list);
void sim_schedule(sim_t *sim, int64_t delay_us, event_type_t type,
                  uint32_t subject);
double sim_uniform(const sim_t *sim, uint64_t a, uint64_t b);
int64_t sim_delay_us(const sim_t *sim, uint32_t from, uint32_t to);
bool sim_is_pass_through(const sim_t *sim);
void sim_run(sim_t *sim, const deployment_t *deployment,
             const scenario_t *scenario, const variant_t *variant,
             uint32_t seed);
void sim_finish(sim_t *sim);

/// clients.c
void client_arrival(sim_t *sim, uint32_t kind);
void client_send_attempt(sim_t *sim, uint32_t root);
void client_result(sim_t *sim, uint32_t root, bool ok);
double root_own_us(const sim_t *sim, const root_t *root, uint32_t kind);
void root_release(sim_t *sim, uint32_t root);

/// calls.c
uint32_t call_new(sim_t *sim, uint32_t root, uint32_t kind, uint32_t node,
                  uint32_t parent);
void call_release(sim_t *sim, uint32_t call);
void call_ended(sim_t *sim, uint32_t call, bool ok);
uint32_t attempt_new(sim_t *sim, uint32_t call, uint32_t node);
void attempt_result(sim_t *sim, uint32_t attempt);
void attempt_release(sim_t *sim, uint32_t attempt);

/// entry_adapter.c: the real entry
void entry_adapter_setup(sim_t *sim, uint32_t server);
void entry_adapter_start(sim_t *sim, uint32_t call);
void entry_adapter_abort(sim_t *sim, uint32_t call);
void entry_adapter_result(sim_t *sim, uint32_t attempt);

/// pass_through.c: no decisions
void pass_through_start(sim_t *sim, uint32_t call);
void pass_through_deadline(sim_t *sim, uint32_t call);
void pass_through_result(sim_t *sim, uint32_t attempt);

/// upstream.c: the fake upstream
void upstream_accept(sim_t *sim, uint32_t attempt);
void upstream_phase_done(sim_t *sim, uint32_t attempt);
void upstream_child_done(sim_t *sim, uint32_t attempt, bool ok);
void upstream_cancel(sim_t *sim, uint32_t attempt);

/// guard_adapter.c: the real guard
void guard_adapter_setup(sim_t *sim, uint32_t server);
void guard_adapter_arrival(sim_t *sim, uint32_t attempt);
void guard_adapter_cancel(sim_t *sim, uint32_t attempt);
void guard_adapter_done(sim_t *sim, uint32_t attempt);

#endif
