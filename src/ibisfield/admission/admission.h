#ifndef IBISFIELD_ADMISSION_ADMISSION_H
#define IBISFIELD_ADMISSION_ADMISSION_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "ibisfield/admission/limiter.h"
#include "ibisfield/admission/pressure.h"
#include "ibisfield/admission/service_time.h"
#include "ibisfield/admission/wait_queue.h"
#include "ibisfield/base/clock.h"
#include "ibisfield/base/slice.h"
#include "ibisfield/call/call_defs.h"
#include "ibisfield/contract/contract_defs.h"

/// Rules that the comparison can switch off, as bits.
typedef enum {
    ADMISSION_FEATURE_ADAPTIVE_LIMIT =
        1,                            ///< the limit follows the service time
    ADMISSION_FEATURE_WORTH = 2,      ///< order by worth and eviction
    ADMISSION_FEATURE_DEADLINE = 4,   ///< refusal of what can't finish in time
    ADMISSION_FEATURE_LONG_KINDS = 8, ///< bounded slots for long kinds
} admission_feature_t;

typedef struct {
    uint32_t slots;     ///< declared slots of the upstream
    uint32_t queue_max; ///< waiting requests, 0: derived from slots
    uint32_t seed;
    uint32_t disabled_features; ///< admission_feature_t bits; 0: all rules are
                                ///< in force
    queue_order_t order;        ///< among requests of equal worth
} admission_options_t;

/// A request as the admission sees it. @p ticket names it in later calls.
typedef struct {
    uint32_t kind; ///< from admission_kind_index()
    int32_t worth;
    int64_t deadline_us; ///< absolute time
    uint64_t ticket;
} admission_request_t;

typedef enum {
    ADMISSION_RUN,    ///< start it now
    ADMISSION_QUEUED, ///< wait for admission_next_event()
    ADMISSION_REFUSED_OVERLOADED,
    ADMISSION_REFUSED_DEADLINE, ///< can't finish before its deadline
} admission_decision_t;

/// Why admission_next_event() hands out a ticket.
typedef enum {
    ADMISSION_EVENT_NONE,
    ADMISSION_EVENT_RUN,     ///< start it now
    ADMISSION_EVENT_EXPIRED, ///< its deadline has passed or can't be met:
                             ///< refuse it
    ADMISSION_EVENT_EVICTED, ///< a request of higher worth took its place:
                             ///< refuse it
} admission_event_t;

#define ADMISSION_KINDS_MAX SERVICE_TIME_KINDS_MAX

/// Decides which requests run at the upstream, wait or are refused.
typedef struct {
    const clock_source_t *clock;
    uint32_t queue_max;
    uint32_t disabled_features;
    uint32_t in_flight;
    uint32_t kind_count;
    uint64_t kind_hashes[ADMISSION_KINDS_MAX];
    uint32_t running[ADMISSION_KINDS_MAX]; ///< by kind
    service_time_t service_times;
    limiter_t limiter;
    pressure_t pressure;
    wait_queue_t queues[2]; ///< short kinds, long kinds
    GArray *evicted;        ///< tickets (uint64_t) not yet handed out
    double queued_work_us[2][CONTRACT_WORTH_MAX + 1]; ///< expected, by worth
    int64_t last_run_us[CONTRACT_WORTH_MAX + 1];      ///< by worth
    int64_t last_shed_us[CONTRACT_WORTH_MAX + 1];     ///< by worth
    GRand *random;                                    ///< of the jitter
} admission_t;

void admission_init(admission_t *admission, const clock_source_t *clock,
                    const admission_options_t *options);
void admission_finish(admission_t *admission);
void admission_set_slots(admission_t *admission, uint32_t slots);
uint32_t admission_kind_index(admission_t *admission, slice_t customer,
                              slice_t kind);
admission_decision_t admission_submit(admission_t *admission,
                                      const admission_request_t *request);
admission_event_t admission_next_event(admission_t *admission,
                                       uint64_t *ticket);
bool admission_cancel(admission_t *admission, uint64_t ticket);
void admission_done(admission_t *admission, uint32_t kind, int64_t service_us,
                    bool completed);
void admission_record_upstream_shed(admission_t *admission);
uint32_t admission_pressure(const admission_t *admission);
uint32_t admission_cost(const admission_t *admission, int64_t service_us);
guard_load_t admission_load(const admission_t *admission);
int32_t admission_retry_after_ms(admission_t *admission);

#endif
