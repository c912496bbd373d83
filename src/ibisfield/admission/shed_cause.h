#ifndef IBISFIELD_ADMISSION_SHED_CAUSE_H
#define IBISFIELD_ADMISSION_SHED_CAUSE_H

#include <stdbool.h>
#include <stdint.h>

/// Answered requests that are compared with each shed one.
#define SHED_CAUSE_SAMPLES 32

/// Evidence on why an upstream sheds: because it is full, or whatever its
/// load. Zero-initialised.
typedef struct {
    uint32_t answered[SHED_CAUSE_SAMPLES]; ///< requests that ran when each of
                                           ///< the last answered ones started
    uint32_t answered_count;
    uint32_t next;
    uint32_t shed_count; ///< since the evidence began
    double fullness;     ///< moving average; valid if last_shed_us isn't 0
    int64_t last_shed_us;
} shed_cause_t;

void shed_cause_record_answer(shed_cause_t *cause, uint32_t in_flight);
void shed_cause_record_shed(shed_cause_t *cause, uint32_t in_flight,
                            int64_t now_us);
bool shed_cause_is_full(const shed_cause_t *cause);

#endif
