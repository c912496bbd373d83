#ifndef IBISFIELD_ADMISSION_ADMISSION_H
#define IBISFIELD_ADMISSION_ADMISSION_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "ibisfield/admission/limiter.h"
#include "ibisfield/admission/pressure.h"
#include "ibisfield/admission/service_time.h"
#include "ibisfield/admission/serving_end.h"
#include "ibisfield/admission/shed_cause.h"
#include "ibisfield/admission/wait_queue.h"
#include "ibisfield/base/clock.h"
#include "ibisfield/base/slice.h"
#include "ibisfield/call/call_defs.h"
#include "ibisfield/contract/contract_defs.h"

/// Indices of the two queues, each for the requests of short or of long kinds;
/// see service_time_is_long().
typedef enum {
    ADMISSION_QUEUE_SHORT,
    ADMISSION_QUEUE_LONG,
    ADMISSION_QUEUE_COUNT,
} admission_queue_t;

/// Features of admission control, as bits. bench_compare disables each one to
/// measure its effect.
typedef enum {
    ADMISSION_FEATURE_ADAPTIVE_LIMIT =
        1,                            ///< concurrency limit by service time
    ADMISSION_FEATURE_WORTH = 2,      ///< queue order and eviction by worth
    ADMISSION_FEATURE_DEADLINE = 4,   ///< refuses what can't finish in time
    ADMISSION_FEATURE_LONG_KINDS = 8, ///< separate limit for long kinds
} admission_feature_t;

typedef struct {
    uint32_t slots;     ///< declared slots of the upstream
    uint32_t queue_max; ///< queue capacity; 0: derived from slots
    uint32_t seed;
    uint32_t disabled_features; ///< admission_feature_t bits; 0: all
                                ///< features are enabled
    queue_order_t order;        ///< among requests of equal worth
} admission_options_t;

/// A request that is submitted for admission. @p ticket identifies it in later
/// calls.
typedef struct {
    uint32_t kind; ///< from admission_kind_index()
    int32_t worth;
    int64_t deadline_us; ///< absolute time
    uint64_t ticket;
} admission_request_t;

typedef enum {
    ADMISSION_RUN,    ///< to be started now
    ADMISSION_QUEUED, ///< waits for admission_next_event()
    ADMISSION_REFUSED_OVERLOADED,
    ADMISSION_REFUSED_DEADLINE, ///< the deadline has passed
    ADMISSION_REFUSED_ENDING,   ///< it may not finish before the end of
                                ///< serving
} admission_decision_t;

/// What happens to the request that admission_next_event() returns.
typedef enum {
    ADMISSION_EVENT_NONE,
    ADMISSION_EVENT_RUN,     ///< to be started now
    ADMISSION_EVENT_EXPIRED, ///< to be refused: its deadline has passed or
                             ///< can't be met any more
    ADMISSION_EVENT_EVICTED, ///< to be refused: a request of higher worth took
                             ///< its place in the queue
    ADMISSION_EVENT_ENDING,  ///< to be refused: it may not finish before the
                             ///< end of serving
} admission_event_t;

#define ADMISSION_KINDS_MAX SERVICE_TIME_KINDS_MAX

/// Admission control of one upstream: decides which requests run, wait or are
/// refused.
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
    shed_cause_t shed_cause;
    pressure_t pressure;
    wait_queue_t queues[ADMISSION_QUEUE_COUNT];
    int64_t end_us;  ///< end of serving; SERVING_END_NONE: not known
    GArray *evicted; ///< tickets (uint64_t) with pending events
    /// Sums of the expected service times of queued requests, by queue and
    /// worth.
    double queued_work_us[ADMISSION_QUEUE_COUNT][CONTRACT_WORTH_MAX + 1];
    int64_t last_start_us[CONTRACT_WORTH_MAX + 1];   ///< by worth
    int64_t last_refusal_us[CONTRACT_WORTH_MAX + 1]; ///< by worth
    GRand *random;                                   ///< source of jitter
} admission_t;

void admission_init(admission_t *admission, const clock_source_t *clock,
                    const admission_options_t *options);
void admission_finish(admission_t *admission);
void admission_set_slots(admission_t *admission, uint32_t slots);
void admission_set_end(admission_t *admission, int64_t end_us);
uint32_t admission_kind_index(admission_t *admission, slice_t customer,
                              slice_t kind);
admission_decision_t admission_submit(admission_t *admission,
                                      const admission_request_t *request);
admission_event_t admission_next_event(admission_t *admission,
                                       uint64_t *ticket);
bool admission_cancel(admission_t *admission, uint64_t ticket);
void admission_done(admission_t *admission, uint32_t kind, int64_t service_us,
                    bool completed);
void admission_record_upstream_answer(admission_t *admission,
                                      uint32_t in_flight);
void admission_record_upstream_shed(admission_t *admission,
                                    uint32_t in_flight);
uint32_t admission_pressure(const admission_t *admission);
uint32_t admission_cost(const admission_t *admission, int64_t service_us);
guard_load_t admission_load(const admission_t *admission);
bool admission_starts_at_once(const admission_t *admission, uint32_t kind);
bool admission_ends_within(const admission_t *admission, uint32_t kind,
                           int32_t worth, int64_t time_us);
int32_t admission_retry_after_ms(admission_t *admission);

#endif
