#ifndef IBISFIELD_ADMISSION_SERVING_END_H
#define IBISFIELD_ADMISSION_SERVING_END_H

#include <stdbool.h>
#include <stdint.h>

/// The end of serving is the time at which a process that takes part in a
/// request may end: the upstream that runs it, or the node that returns its
/// response. A request that still runs then is broken off, which callers can't
/// tell from one that was lost. All times are absolute, in microseconds.
#define SERVING_END_NONE INT64_MAX

/// The end of this process, as the entry takes it into account. Until
/// proof_from_us a request starts if most of its kind end in time. Later ones
/// start only if they are shown to end: nothing excuses breaking them off.
typedef struct {
    int64_t end_us; ///< SERVING_END_NONE: the process isn't stopping
    int64_t proof_from_us;
    int64_t proof_end_us; ///< for requests from proof_from_us on; earlier than
                          ///< end_us, so that delays of messages between
                          ///< processes don't break them off
} serving_end_t;

/// Longest duration of one kind of request: a maximum that decays by sample.
typedef struct {
    double longest_us;
    uint32_t samples;
} duration_bound_t;

typedef enum {
    SERVING_END_FITS,
    SERVING_END_UNKNOWN, ///< only who has timed the kind can tell
    SERVING_END_TOO_LATE,
} serving_end_verdict_t;

void duration_bound_record(duration_bound_t *bound, int64_t duration_us);
int64_t duration_bound_us(const duration_bound_t *bound);
bool serving_end_needs_proof(const serving_end_t *end, int64_t now_us,
                             int64_t deadline_us);
int64_t serving_end_at(const serving_end_t *end, int64_t now_us);
serving_end_verdict_t serving_end_check(const serving_end_t *end,
                                        int64_t now_us, int64_t deadline_us,
                                        int64_t expected_us, int64_t bound_us);
int64_t serving_end_latest_start(int64_t end_us, int64_t deadline_us,
                                 int64_t expected_us);

#endif
