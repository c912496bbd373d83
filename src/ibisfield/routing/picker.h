#ifndef IBISFIELD_ROUTING_PICKER_H
#define IBISFIELD_ROUTING_PICKER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "ibisfield/base/clock.h"
#include "ibisfield/call/call_defs.h"
#include "ibisfield/routing/kind_latency.h"

/// Handle of a VM in the picker's table, stable while the VM is listed.
typedef uint32_t vm_handle_t;
#define VM_NONE UINT32_MAX

typedef enum {
    LB_IBISFIELD,            ///< best of two choices by expected time
    LB_RANDOM,               ///< baseline
    LB_ROUND_ROBIN,          ///< baseline
    LB_LEAST_CONNECTIONS,    ///< baseline
    LB_LEAST_EXECUTION_TIME, ///< baseline from the literature: smallest sum of
                             ///< expected latencies of outstanding attempts
} lb_policy_t;

/// Features that a benchmark can disable, as bits.
typedef enum {
    PICKER_FEATURE_LOAD_REPORTS = 1, ///< use of the load reports of guards
    PICKER_FEATURE_EJECTION = 2,     ///< ejection of slow and failing VMs
    PICKER_FEATURE_REFUSAL_HINTS =
        4,                      ///< refusal at the sender by reported worth
    PICKER_FEATURE_HEDGING = 8, ///< a second attempt after a delay
    PICKER_FEATURE_SLOW_START = 16, ///< fewer attempts at new VMs
    PICKER_FEATURE_LOCAL_ROOM = 32, ///< preference for VMs of the own data
                                    ///< centre that have room
    PICKER_FEATURE_REDIRECTS = 64,  ///< refusals by guards that would queue
    PICKER_FEATURE_FULLNESS = 128,  ///< expected time by the slots in use
} picker_feature_t;

/// State of a VM after it was taken out of use, because it is ejected or
/// unreachable, or after it came back into use.
typedef struct {
    const char *vm;
    const char *service;
    bool ejected;
    bool unreachable;
    uint32_t consecutive_failures;
    double slowness; ///< latency divided by the mean latency of its kinds
} picker_vm_state_t;

typedef struct {
    lb_policy_t policy;
    /// Called when a VM is taken out of use or used again; may be NULL.
    void (*on_vm_change)(void *context, const picker_vm_state_t *change);
    void *context;
    const char *own_vm;
    const char *own_data_centre;
    int32_t remote_cost_us; ///< added to the expected time of VMs in other
                            ///< data centres
    uint32_t subset_size;   ///< VMs of a service in use; 0: the default
    uint32_t seed;
    uint32_t disabled_features; ///< picker_feature_t bits
} picker_options_t;

typedef struct {
    const char *vm;
    const char *data_centre;
    const char *service;
    bool draining;
    bool removal_pending; ///< avoided if enough other VMs are listed
} picker_vm_t;

typedef enum {
    PICK_OK,
    PICK_NO_UPSTREAM, ///< no usable VM of the service
    PICK_ALL_REFUSE,  ///< every candidate would refuse the request: refuse it
                      ///< here
} pick_result_t;

/// Outcome of an attempt, from which the picker learns.
typedef enum {
    REPORT_ANSWERED,
    REPORT_SHED,        ///< not run: the guard admitted it, but the upstream
                        ///< shed it
    REPORT_REFUSED,     ///< not run: the guard is overloaded
    REPORT_BUSY,        ///< not run: it would have had to wait there, and was
                        ///< sent so that another VM could be chosen
    REPORT_DRAINING,    ///< not run: the VM is draining
    REPORT_FAILED,      ///< response lost, or the upstream failed
    REPORT_UNREACHABLE, ///< no connection; nothing was sent
    REPORT_CANCELLED,   ///< stopped by the sender; the time until then is
                        ///< a lower bound of the latency
} attempt_report_t;

/// Chooses the VM for each attempt.
typedef struct {
    const clock_source_t *clock;
    picker_options_t options;
    const char *own_data_centre; ///< interned
    uint64_t own_hash;    ///< of the own VM's name; chooser of the subsets
    GArray *vms;          ///< of vm_record_t, by handle
    GArray *free_handles; ///< of vm_handle_t
    GHashTable *by_name;  ///< VM name to handle + 1
    GHashTable *services; ///< service name to service_record_t
    GArray *candidates;   ///< of vm_handle_t; used during picker_pick()
    kind_latencies_t *latencies;
    GRand *random;
} picker_t;

void picker_init(picker_t *picker, const clock_source_t *clock,
                 const picker_options_t *options);
void picker_finish(picker_t *picker);
vm_handle_t picker_set_vm(picker_t *picker, const picker_vm_t *vm);
void picker_remove_vm(picker_t *picker, const char *vm);
const char *picker_vm_name(const picker_t *picker, vm_handle_t vm);
pick_result_t picker_pick(picker_t *picker, const char *service, uint64_t kind,
                          int32_t worth, const vm_handle_t *tried,
                          uint32_t tried_count, vm_handle_t *vm);
void picker_report(picker_t *picker, vm_handle_t vm, uint64_t kind,
                   attempt_report_t report, int64_t latency_us,
                   const guard_load_t *load);
vm_handle_t picker_pick_among(picker_t *picker, uint64_t kind,
                              const vm_handle_t *vms, uint32_t count);
bool picker_may_choose_again(const picker_t *picker, const char *service,
                             const vm_handle_t *tried, uint32_t tried_count,
                             vm_handle_t vm);
uint32_t picker_pressure(const picker_t *picker, const char *service);
int64_t picker_latency_bound_us(const picker_t *picker, uint64_t kind);
int64_t picker_latency_upper_us(const picker_t *picker, uint64_t kind);
int64_t picker_hedge_delay_us(const picker_t *picker, uint64_t kind);

#endif
