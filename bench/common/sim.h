/// @file
/// A discrete-event simulation of a deployment. Entries, guards, admission
/// control and pickers are those of the product; clients, network and
/// upstreams are simulated. A server is one VM with its node and its upstream.

#ifndef IBISFIELD_BENCH_SIM_H
#define IBISFIELD_BENCH_SIM_H

#include <glib.h>

#include "common/deployment.h"
#include "common/event_queue.h"
#include "ibisfield/call/entry.h"
#include "ibisfield/call/guard.h"

#define INDEX_NONE UINT32_MAX
#define ATTEMPTS_MAX 8
/// Width of a bucket of the time series of offered and served requests.
#define BUCKET_US (250 * US_PER_MS)
#define BUCKETS_MAX 128

/// How a run selects VMs, admits requests and retries them.
typedef enum {
    POLICY_IBISFIELD,    ///< the product's entry and guard
    POLICY_PASS_THROUGH, ///< random VM; FIFO queue at the upstream
    POLICY_HOP_RETRIES,  ///< pass-through, up to three attempts per hop
} policy_t;

/// Which load reports the picker receives.
typedef enum {
    REPORTS_CURRENT,
    REPORTS_DELAYED,     ///< reports are one second old
    REPORTS_ALWAYS_IDLE, ///< every VM reports that it is idle
    REPORTS_IGNORED,
} report_mode_t;

/// A configuration that is compared: one row of a table.
typedef struct {
    const char *name;
    policy_t policy;
    lb_policy_t lb_policy;
    report_mode_t reports;
    queue_order_t queue_order;
    bool grant_all_tokens; ///< an attempt gets all retry tokens of its call
    uint32_t disabled_admission_features; ///< admission_feature_t bits
    uint32_t disabled_picker_features;    ///< picker_feature_t bits
} variant_t;

/// Load and disturbances of one run.
typedef struct {
    const char *name;
    const char *deployment; ///< NULL: the selected one
    double load;            ///< 1: the capacity of every service
    int64_t end_us;
    int64_t measure_from_us; ///< start of the measured window
    double surge_load; ///< replaces load from surge_from_us to surge_end_us
    int64_t surge_from_us;
    int64_t surge_end_us;
    double slow_factor; ///< multiplies service times during the disturbance;
                        ///< 0: work fails instead; see reduced_slots
    int64_t disturbance_from_us;
    int64_t disturbance_end_us;
    double long_kind_load_factor; ///< multiplies the load of long kinds
    uint32_t disturbed_service;   ///< all of its servers are disturbed;
                                ///< INDEX_NONE: the first one of each service
    uint32_t client_attempts_max; ///< per request, client retries included
    bool reduced_slots;           ///< slow_factor divides the slots instead; a
                        ///< higher number of requests slows all work down
} scenario_t;

/// A root request: a request of a client, with all of its client retries and
/// all calls that upstreams make for it.
typedef struct {
    uint32_t kind;
    uint32_t reference_count; ///< calls, attempts, and one until it ends
    uint64_t number;
    int64_t start_us;
    uint32_t client_attempts;
    bool succeeded;
    double work_us;                      ///< slot time spent at all services
    uint8_t attempts_sent[SERVICES_MAX]; ///< by service
} root_t;

typedef enum {
    ATTEMPT_SENT,
    ATTEMPT_QUEUED_AT_GUARD,
    ATTEMPT_QUEUED_AT_UPSTREAM,
    ATTEMPT_RUNNING,
    ATTEMPT_ENDED,
} attempt_state_t;

/// A request in flight at the entry or egress of a node.
typedef struct {
    uint32_t root;
    uint32_t kind;
    uint32_t server;          ///< whose entry or egress got the request
    uint32_t parent;          ///< attempt whose upstream calls, or INDEX_NONE
    uint32_t reference_count; ///< events, attempts, and one until it ends
    bool ended;
    uint32_t successful_attempt; ///< its number, from 1; 0: none
    uint32_t attempt_count;
    uint32_t attempts[ATTEMPTS_MAX]; ///< indices, by number - 1; INDEX_NONE
                                     ///< after the result
    call_handle_t handle;            ///< at the product's entry
    char key[KEY_TEXT_MAX + 1];
} call_t;

/// One send of a call to the upstream of a VM.
typedef struct {
    uint32_t call;
    uint32_t number; ///< of the attempt in its call, from 1
    uint32_t root;
    uint32_t kind;
    uint32_t sender;          ///< server whose entry or egress sends it
    uint32_t receiver;        ///< server whose guard and upstream get it
    uint32_t reference_count; ///< events, and one until its result
    attempt_state_t state;
    bool cancelled;
    bool succeeded;
    bool connection_lost; ///< the upstream closed the connection
    uint32_t phase;       ///< 0: until the call to the child, 1: after it
    uint32_t child;       ///< call to the child in flight, or INDEX_NONE
    int64_t started_us;
    int32_t worth;
    int64_t deadline_us;
    uint32_t retry_tokens;
    bool at_most_once;
    uint64_t request_id;
    call_handle_t handle; ///< at the product's guard
    guard_response_t response;
} attempt_t;

typedef struct sim sim_t;

/// One server: a VM with its node and its upstream.
typedef struct {
    sim_t *sim;
    uint32_t service;
    uint32_t index; ///< in its service
    uint32_t data_centre;
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
    GQueue upstream_queue;        ///< attempts in the upstream's own queue
    uint32_t *connections_in_use; ///< by receiving server
    uint32_t *connections_opened; ///< so far, by receiving server
    guard_load_t load_history[8]; ///< ring buffer for delayed reports, of
                                  ///< LOAD_HISTORY_STEPS in guard_adapter.c
} server_t;

/// Totals of one run. The window is the measured part of the run.
typedef struct {
    double useful_us[SERVICES_MAX]; ///< slot time of successes in the window
    double busy_us[SERVICES_MAX];   ///< slot time of work started in it
    double work_us;
    double failed_work_us; ///< spent on root requests that failed
    uint64_t roots;
    uint64_t attempts_run;         ///< attempts that ran at an upstream
    uint64_t attempts_sent;        ///< attempts sent to guards
    uint64_t max_attempts;         ///< to one service for one root request
    uint64_t offered[KINDS_MAX];   ///< sent by clients in the window
    uint64_t served[KINDS_MAX];    ///< of those offered in the window
    uint64_t completed[KINDS_MAX]; ///< successes that ended in the window,
                                   ///< whenever they were sent
    uint64_t bucket_offered[BUCKETS_MAX];
    uint64_t bucket_served[BUCKETS_MAX];
    uint64_t surge_offered[KINDS_MAX]; ///< in the first second of the surge
    uint64_t surge_served[KINDS_MAX];
    GArray *short_slowdowns; ///< double, for each request of a short kind:
                             ///< latency divided by the mean without queueing;
                             ///< that of a failed request is its deadline
} run_totals_t;

struct sim {
    const deployment_t *deployment;
    const scenario_t *scenario;
    const variant_t *variant;
    uint32_t seed;
    manual_clock_t clock;
    event_queue_t events;
    contract_t contract;
    kind_t kinds[KINDS_MAX];
    GRand *arrival_random[KINDS_MAX];
    GRand *random;           ///< VM selection of pass-through
    double rates[KINDS_MAX]; ///< requests per second at load 1
    server_t *servers;
    uint32_t server_count;
    GArray *roots;
    GArray *free_roots;
    GArray *calls;
    GArray *free_calls;
    GArray *attempts;
    GArray *free_attempts;
    uint64_t next_number;
    run_totals_t totals;
};

/// Types of events; the comment names the subject of the event.
typedef enum {
    EVENT_CLIENT_REQUEST,  ///< kind
    EVENT_CLIENT_RETRY,    ///< root request
    EVENT_CALL_ARRIVAL,    ///< call, at its node
    EVENT_CALL_DEADLINE,   ///< call of pass-through
    EVENT_ATTEMPT_ARRIVAL, ///< attempt, at its server
    EVENT_PHASE_DONE,      ///< attempt whose upstream ends a phase of work
    EVENT_ATTEMPT_RESULT,  ///< attempt, at the sender
    EVENT_ATTEMPT_CANCEL,  ///< attempt, at its server
    EVENT_TICK,            ///< server
} event_type_t;

/// sim.c
root_t *sim_root(sim_t *sim, uint32_t root);
call_t *sim_call(sim_t *sim, uint32_t call);
attempt_t *sim_attempt(sim_t *sim, uint32_t attempt);
uint32_t sim_pool_take(GArray *pool, GArray *free_list);
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
uint32_t call_new(sim_t *sim, uint32_t root, uint32_t kind, uint32_t server,
                  uint32_t parent);
void call_release(sim_t *sim, uint32_t call);
void call_ended(sim_t *sim, uint32_t call, bool ok);
uint32_t attempt_new(sim_t *sim, uint32_t call, uint32_t receiver);
void attempt_result(sim_t *sim, uint32_t attempt);
void attempt_release(sim_t *sim, uint32_t attempt);

/// entry_adapter.c: the product's entry
void entry_adapter_setup(sim_t *sim, uint32_t server);
void entry_adapter_start(sim_t *sim, uint32_t call);
void entry_adapter_abort(sim_t *sim, uint32_t call);
void entry_adapter_result(sim_t *sim, uint32_t attempt);

/// pass_through.c: calls without the product's entry and guard
void pass_through_start(sim_t *sim, uint32_t call);
void pass_through_deadline(sim_t *sim, uint32_t call);
void pass_through_result(sim_t *sim, uint32_t attempt);

/// upstream.c: the simulated upstream
void upstream_accept(sim_t *sim, uint32_t attempt);
void upstream_phase_done(sim_t *sim, uint32_t attempt);
void upstream_child_done(sim_t *sim, uint32_t attempt, bool ok);
void upstream_cancel(sim_t *sim, uint32_t attempt);

/// guard_adapter.c: the product's guard
void guard_adapter_setup(sim_t *sim, uint32_t server);
void guard_adapter_arrival(sim_t *sim, uint32_t attempt);
void guard_adapter_cancel(sim_t *sim, uint32_t attempt);
void guard_adapter_done(sim_t *sim, uint32_t attempt);

#endif
