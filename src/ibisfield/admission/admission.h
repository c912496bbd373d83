#ifndef IBISFIELD_ADMISSION_ADMISSION_H
#define IBISFIELD_ADMISSION_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

#include "ibisfield/base/clock.h"
#include "ibisfield/base/slice.h"
#include "ibisfield/call/call_defs.h"

typedef struct {
    uint32_t slots;     ///< declared slots of the upstream
    uint32_t queue_max; ///< waiting requests, 0: derived from slots
    uint32_t seed;
} admission_options_t;

/// A request as the admission sees it. @p ticket names it in later calls.
typedef struct {
    uint32_t kind; ///< from admission_kind()
    int32_t worth;
    int64_t deadline_us; ///< absolute time
    uint64_t ticket;
} admission_request_t;

typedef enum {
    ADMIT_RUN,    ///< start it now
    ADMIT_QUEUED, ///< wait for admission_next()
    ADMIT_REFUSE_OVERLOADED,
    ADMIT_REFUSE_DEADLINE, ///< can't finish before its deadline
} admit_t;

/// Why admission_next() hands out a ticket.
typedef enum {
    NEXT_NONE,
    NEXT_RUN,     ///< start it now
    NEXT_EXPIRED, ///< its deadline has passed or can't be met: refuse it
    NEXT_EVICTED, ///< a request of higher worth took its place: refuse it
} next_t;

typedef struct admission admission_t;

void admission_init(admission_t *admission, const clock_source_t *clock,
                    const admission_options_t *options);
void admission_finish(admission_t *admission);
/// Returns the number of a kind, learned on first use; bounded, with the last
/// number shared by all kinds beyond the bound.
uint32_t admission_kind(admission_t *admission, slice_t customer,
                        slice_t kind);
admit_t admission_offer(admission_t *admission,
                        const admission_request_t *request);
/// Hands out the next ticket that changes state; call until NEXT_NONE.
next_t admission_next(admission_t *admission, uint64_t *ticket);
/// Removes a waiting request; false if it isn't waiting.
bool admission_withdraw(admission_t *admission, uint64_t ticket);
/// A running request has ended. @p completed is false when it was cancelled
/// or failed, and its time isn't learned.
void admission_done(admission_t *admission, uint32_t kind, int64_t service_us,
                    bool completed);
/// The upstream shed a request by itself: the limit is above what it takes.
void admission_upstream_shed(admission_t *admission);
guard_load_t admission_load(const admission_t *admission);
/// Suggested wait of a refused caller in milliseconds, with jitter.
int32_t admission_retry_after_ms(admission_t *admission);

#endif
