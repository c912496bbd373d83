#ifndef IBISFIELD_ADMISSION_WAIT_QUEUE_H
#define IBISFIELD_ADMISSION_WAIT_QUEUE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/// Order among waiting requests of equal worth.
typedef enum {
    QUEUE_ORDER_FIFO,     ///< first in, first out
    QUEUE_ORDER_DEADLINE, ///< smallest latest_start_us first
    QUEUE_ORDER_LIFO,     ///< last in, first out
} queue_order_t;

/// A waiting request. Owned by the queue.
typedef struct {
    uint64_t ticket;         ///< identifies the request to the guard
    uint64_t sequence;       ///< number in order of arrival; set by the queue
    int64_t latest_start_us; ///< the request is refused after this time
    bool is_end_limited;     ///< latest_start_us depends on the end of serving
    int64_t deadline_us;
    double expected_service_us;
    uint32_t kind; ///< from admission_kind_index()
    int32_t worth;
    GSequenceIter *order_iter;        ///< set by the queue
    GSequenceIter *latest_start_iter; ///< set by the queue
} queued_request_t;

/// Queue of waiting requests, indexed by ticket.
typedef struct {
    queue_order_t order;
    GSequence *by_order; ///< highest worth first, then by @c order
    GSequence *by_latest_start;
    GHashTable *by_ticket; ///< ticket to queued_request_t, which it owns
    uint64_t next_sequence;
} wait_queue_t;

void wait_queue_init(wait_queue_t *queue, queue_order_t order);
void wait_queue_finish(wait_queue_t *queue);
void wait_queue_add(wait_queue_t *queue, const queued_request_t *request);
const queued_request_t *wait_queue_first(const wait_queue_t *queue);
const queued_request_t *wait_queue_last(const wait_queue_t *queue);
const queued_request_t *wait_queue_next_to_expire(const wait_queue_t *queue);
const queued_request_t *wait_queue_find(const wait_queue_t *queue,
                                        uint64_t ticket);
GArray *wait_queue_tickets(const wait_queue_t *queue);
void wait_queue_limit_start(wait_queue_t *queue, uint64_t ticket,
                            int64_t latest_start_us);
bool wait_queue_remove(wait_queue_t *queue, uint64_t ticket);
uint32_t wait_queue_length(const wait_queue_t *queue);

#endif
