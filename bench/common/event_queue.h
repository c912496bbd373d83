#ifndef IBISFIELD_BENCH_EVENT_QUEUE_H
#define IBISFIELD_BENCH_EVENT_QUEUE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/// An event of the simulation; what its operands mean depends on the type.
typedef struct {
    int64_t due_us;
    uint64_t sequence; ///< orders events that are due at the same time
    uint32_t type;
    uint32_t subject;
    uint32_t argument;
} event_t;

/// A binary heap of events, earliest first.
typedef struct {
    GArray *heap;
    uint64_t next_sequence;
} event_queue_t;

void event_queue_init(event_queue_t *queue);
void event_queue_finish(event_queue_t *queue);
void event_queue_add(event_queue_t *queue, int64_t due_us, uint32_t type,
                     uint32_t subject, uint32_t argument);
bool event_queue_pop(event_queue_t *queue, event_t *event);

#endif
