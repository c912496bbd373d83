#ifndef IBISFIELD_BENCH_WORLD_H
#define IBISFIELD_BENCH_WORLD_H

#include <glib.h>

#include "common/deployment.h"
#include "common/event_queue.h"
#include "ibisfield/admission/admission.h"
#include "ibisfield/routing/picker.h"

#define NONE UINT32_MAX
#define ATTEMPTS_MAX 8
#define BUCKET_US (250 * US_PER_MS)
#define BUCKETS_MAX 128

/// What decides in a run.
typedef enum {
    LEND_HALF,
    LEND_ALL,
    RETRY_EACH_HOP, ///< every hop tries three times, with no common budget
} retry_rule_t;

/// How load reports reach the picker.
typedef enum {
    REPORTS_TRUE,
    REPORTS_LATE,  ///< one second old
    REPORTS_FALSE, ///< always idle
    REPORTS_NONE,
} report_mode_t;

typedef struct {
    const char *name;
    bool pass_through; ///< no admission; FIFO at the upstream
    pick_rule_t pick;
    retry_rule_t retry;
    report_mode_t reports;
    wait_order_t order;
    uint32_t admission_off; ///< admission_rule_t bits
    uint32_t picker_off;    ///< picker_rule_t bits
} variant_t;

typedef struct {
    const char *name;
    const char *deployment; ///< NULL: the chosen one
    double load;
    int64_t end_us;
    int64_t from_us; ///< start of the measured window
    double surge;    ///< load factor from surge_from_us to surge_end_us
    int64_t surge_from_us;
    int64_t surge_end_us;
    uint32_t slow_service; ///< NONE: one server of every service
    double slow_factor;    ///< service times; 1: none
    bool squeeze;          ///< fewer effective slots instead of longer times
    int64_t slow_from_us;
    int64_t slow_end_us;
    uint32_t client_tries;
    double long_factor; ///< load of long kinds
} scenario_t;

typedef struct {
    uint32_t kind;
    uint32_t references;
    uint64_t number;
    int64_t start_us;
    uint32_t tries;
    bool succeeded;
    double work_us;
    uint8_t sent[SERVICES_MAX]; ///< attempts at each service
} root_t;

typedef enum {
    ATTEMPT_SENT,
    ATTEMPT_WAITING, ///< in the guard's or the upstream's queue
    ATTEMPT_RUNNING,
    ATTEMPT_ENDED,
} attempt_state_t;

typedef enum {
    RESULT_OK,
    RESULT_FAILED,  ///< the upstream answered with a failure
    RESULT_REFUSED, ///< not run
    RESULT_LOST,
} attempt_result_t;

/// A request at an entry or egress.
typedef struct {
    uint32_t root;
    uint32_t kind;
    uint32_t node;
    uint32_t parent; ///< attempt whose upstream makes the call, NONE: client
    int32_t worth;
    uint32_t units;
    int64_t start_us;
    int64_t deadline_us;
    uint32_t attempt_count;
    uint32_t live;
    uint32_t events; ///< events that name the call
    bool ended;
    bool hedged;
    uint32_t attempts[ATTEMPTS_MAX];
    vm_handle_t tried[ATTEMPTS_MAX];
} call_t;

typedef struct {
    uint32_t call;
    uint32_t root;
    uint32_t kind;
    uint32_t node; ///< server
    uint32_t references;
    attempt_state_t state;
    attempt_result_t result;
    bool detached; ///< the call no longer waits for it
    bool cancelled;
    uint32_t phase;
    uint32_t units;
    uint32_t child;
    int32_t worth;
    int64_t deadline_us;
    int64_t sent_us;
    int64_t run_us;
    uint32_t admission_kind;
    guard_load_t load;
} attempt_t;

/// One VM: its node and its upstream.
typedef struct {
    uint32_t service;
    uint32_t index; ///< in its service
    uint32_t centre;
    char name[32];
    admission_t admission;
    picker_t picker;
    uint32_t running;
    GQueue waiting;        ///< attempts in the upstream's own queue
    uint32_t *outstanding; ///< by server: connections in use
    uint32_t *connections; ///< by server: connections opened
    guard_load_t late[8];
} server_t;

/// Sums of one run.
typedef struct {
    double goodput[SERVICES_MAX]; ///< useful slot time in the window
    double work_us;
    double failed_work_us;
    uint64_t roots;
    uint64_t attempts;
    uint64_t most_attempts; ///< at one service for one root
    uint64_t offered[KINDS_MAX];
    uint64_t served[KINDS_MAX];
    uint64_t bucket_offered[BUCKETS_MAX];
    uint64_t bucket_served[BUCKETS_MAX];
    uint64_t crest_offered[KINDS_MAX];
    uint64_t crest_served[KINDS_MAX];
    GArray *short_latency; ///< double: over the time without waiting
} sums_t;

typedef struct {
    const deployment_t *deployment;
    const scenario_t *scenario;
    const variant_t *variant;
    uint32_t seed;
    manual_clock_t clock;
    event_queue_t events;
    GRand *arrivals[KINDS_MAX];
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
} world_t;

typedef enum {
    EVENT_ARRIVAL,  ///< a: kind
    EVENT_RETRY,    ///< a: root
    EVENT_CALL,     ///< a: call reaches its node
    EVENT_DEADLINE, ///< a: call
    EVENT_HEDGE,    ///< a: call
    EVENT_GUARD,    ///< a: attempt reaches its server
    EVENT_PHASE,    ///< a: attempt; own work of a phase is over
    EVENT_RESULT,   ///< a: attempt; its result reaches the caller's node
    EVENT_CANCEL,   ///< a: attempt
    EVENT_TICK,     ///< a: server
} event_type_t;

root_t *world_root(world_t *world, uint32_t root);
call_t *world_call(world_t *world, uint32_t call);
attempt_t *world_attempt(world_t *world, uint32_t attempt);
uint32_t world_take(GArray *pool, GArray *free_list);
double world_draw(const world_t *world, uint64_t a, uint64_t b);
void world_release_root(world_t *world, uint32_t root);
void world_run(world_t *world, const deployment_t *deployment,
               const scenario_t *scenario, const variant_t *variant,
               uint32_t seed);
void world_finish(world_t *world);

/// clients.c
void client_arrival(world_t *world, uint32_t kind);
void client_try(world_t *world, uint32_t root);
void client_result(world_t *world, uint32_t root, const call_t *call, bool ok);

/// calls.c
uint32_t call_new(world_t *world, uint32_t root, uint32_t kind, uint32_t node,
                  uint32_t parent);
void call_start(world_t *world, uint32_t call);
void call_deadline(world_t *world, uint32_t call);
void call_hedge(world_t *world, uint32_t call);
void call_result(world_t *world, uint32_t attempt);

/// servers.c
void server_arrival(world_t *world, uint32_t attempt);
void server_phase(world_t *world, uint32_t attempt);
void server_child_done(world_t *world, uint32_t attempt, bool ok);
void server_cancel(world_t *world, uint32_t attempt);
void server_tick(world_t *world, uint32_t server);
void server_setup(world_t *world, uint32_t server);
void server_teardown(server_t *server);
void attempt_release(world_t *world, uint32_t attempt);
int64_t world_delay_us(const world_t *world, uint32_t from, uint32_t to);
double root_own_us(const world_t *world, const root_t *root, uint32_t kind);
void call_abort(world_t *world, uint32_t call);

#endif
