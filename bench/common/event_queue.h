#ifndef IBISFIELD_BENCH_EVENT_QUEUE_H
#define IBISFIELD_BENCH_EVENT_QUEUE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/// An event of the model; the meaning of the operands depends on the type.
typedef struct {
    int64_t due_us;
    uint64_t sequence; ///< events of the same time keep their order
    uint32_t type;
    uint32_t a;
    uint32_t b;
} event_t;

/// A binary heap of events by time.
typedef struct {
    GArray *heap;
    uint64_t next_sequence;
} event_queue_t;

void event_queue_init(event_queue_t *queue);
void event_queue_finish(event_queue_t *queue);
void event_queue_add(event_queue_t *queue, int64_t due_us, uint32_t type,
                     uint32_t a, uint32_t b);
bool event_queue_pop(event_queue_t *queue, event_t *event);

#endif
