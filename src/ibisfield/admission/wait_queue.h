#ifndef IBISFIELD_ADMISSION_WAIT_QUEUE_H
#define IBISFIELD_ADMISSION_WAIT_QUEUE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/// How waiting requests of equal worth are ordered.
typedef enum {
    ORDER_ARRIVAL,  ///< first come, first served
    ORDER_DEADLINE, ///< earliest latest start first
    ORDER_LIFO,     ///< last come, first served
} wait_order_t;

/// A waiting request. The queue owns the memory.
typedef struct {
    uint64_t ticket;
    uint64_t sequence;   ///< order of arrival; set by the queue
    int64_t start_by_us; ///< latest start that is worth its work
    double expected_us;  ///< service time
    uint32_t kind;
    int32_t worth;
    GSequenceIter *by_order; ///< set by the queue
    GSequenceIter *by_start; ///< set by the queue
} waiting_t;

/// Waiting requests by worth, then by the order, and by latest start.
typedef struct {
    wait_order_t order;
    GSequence *by_order;
    GSequence *by_start;
    GHashTable *by_ticket;
    uint64_t next_sequence;
} wait_queue_t;

void wait_queue_init(wait_queue_t *queue, wait_order_t order);
void wait_queue_finish(wait_queue_t *queue);
void wait_queue_add(wait_queue_t *queue, const waiting_t *request);
const waiting_t *wait_queue_first(const wait_queue_t *queue);
const waiting_t *wait_queue_last(const wait_queue_t *queue);
const waiting_t *wait_queue_most_urgent(const wait_queue_t *queue);
const waiting_t *wait_queue_find(const wait_queue_t *queue, uint64_t ticket);
bool wait_queue_remove(wait_queue_t *queue, uint64_t ticket);
uint32_t wait_queue_length(const wait_queue_t *queue);

#endif
