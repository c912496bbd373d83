/// @file
/// Queue of requests that wait for a slot. They are sorted twice: in the order
/// in which they are to run (by worth, then by the queue's queue_order_t), and
/// in the order in which they expire (by latest_start_us).

#include "ibisfield/admission/wait_queue.h"

static gint
compare_numbers(int64_t a, int64_t b)
{
    return a < b ? -1 : a > b ? 1 : 0;
}

static gint
compare_order(gconstpointer a, gconstpointer b, gpointer user_data)
{
    const queued_request_t *left = a;
    const queued_request_t *right = b;
    queue_order_t order = ((const wait_queue_t *)user_data)->order;
    if (left->worth != right->worth) {
        return compare_numbers(right->worth, left->worth);
    }
    if (order == QUEUE_ORDER_DEADLINE &&
        left->latest_start_us != right->latest_start_us)
    {
        return compare_numbers(left->latest_start_us, right->latest_start_us);
    }
    if (order == QUEUE_ORDER_LIFO) {
        return compare_numbers((int64_t)right->sequence,
                               (int64_t)left->sequence);
    }
    return compare_numbers((int64_t)left->sequence, (int64_t)right->sequence);
}

static gint
compare_latest_start(gconstpointer a, gconstpointer b, gpointer user_data)
{
    (void)user_data;
    return compare_numbers(((const queued_request_t *)a)->latest_start_us,
                           ((const queued_request_t *)b)->latest_start_us);
}

static const queued_request_t *
first_item(GSequence *sequence)
{
    GSequenceIter *iter = g_sequence_get_begin_iter(sequence);
    return g_sequence_iter_is_end(iter) ? NULL : g_sequence_get(iter);
}

/// Initialises an empty queue.
void
wait_queue_init(wait_queue_t *queue, queue_order_t order)
{
    queue->order = order;
    queue->by_order = g_sequence_new(NULL);
    queue->by_latest_start = g_sequence_new(NULL);
    queue->by_ticket =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    queue->next_sequence = 0;
}

/// Releases the queue and its requests.
void
wait_queue_finish(wait_queue_t *queue)
{
    g_sequence_free(queue->by_order);
    g_sequence_free(queue->by_latest_start);
    g_hash_table_destroy(queue->by_ticket);
}

/// Adds a copy of @p request. Its ticket must not be in the queue yet.
void
wait_queue_add(wait_queue_t *queue, const queued_request_t *request)
{
    queued_request_t *item = g_new(queued_request_t, 1);
    *item = *request;
    item->sequence = queue->next_sequence++;
    item->order_iter =
        g_sequence_insert_sorted(queue->by_order, item, compare_order, queue);
    item->latest_start_iter = g_sequence_insert_sorted(
        queue->by_latest_start, item, compare_latest_start, queue);
    g_hash_table_insert(queue->by_ticket, &item->ticket, item);
}

/// Returns the request to run next, NULL if the queue is empty.
const queued_request_t *
wait_queue_first(const wait_queue_t *queue)
{
    return first_item(queue->by_order);
}

/// Returns the request to evict first, which has the lowest worth; NULL if the
/// queue is empty.
const queued_request_t *
wait_queue_last(const wait_queue_t *queue)
{
    GSequenceIter *end = g_sequence_get_end_iter(queue->by_order);
    if (g_sequence_iter_is_begin(end)) {
        return NULL;
    }
    return g_sequence_get(g_sequence_iter_prev(end));
}

/// Returns the request with the smallest latest_start_us, NULL if the queue is
/// empty.
const queued_request_t *
wait_queue_next_to_expire(const wait_queue_t *queue)
{
    return first_item(queue->by_latest_start);
}

/// Returns the request with this ticket, NULL if it isn't in the queue.
const queued_request_t *
wait_queue_find(const wait_queue_t *queue, uint64_t ticket)
{
    return g_hash_table_lookup(queue->by_ticket, &ticket);
}

/// Returns the tickets (uint64_t) of all requests in the order in which they
/// are to run. The caller owns the array.
GArray *
wait_queue_tickets(const wait_queue_t *queue)
{
    GArray *tickets = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    GSequenceIter *iter = g_sequence_get_begin_iter(queue->by_order);
    while (!g_sequence_iter_is_end(iter)) {
        const queued_request_t *item = g_sequence_get(iter);
        g_array_append_val(tickets, item->ticket);
        iter = g_sequence_iter_next(iter);
    }
    return tickets;
}

/// Brings the latest start of a request forward, because the end of serving
/// requires it. A later time than the present one is ignored.
void
wait_queue_limit_start(wait_queue_t *queue, uint64_t ticket,
                       int64_t latest_start_us)
{
    queued_request_t *item = g_hash_table_lookup(queue->by_ticket, &ticket);
    if (item == NULL || latest_start_us >= item->latest_start_us) {
        return;
    }
    item->latest_start_us = latest_start_us;
    item->is_end_limited = true;
    g_sequence_sort_changed(item->order_iter, compare_order, queue);
    g_sequence_sort_changed(item->latest_start_iter, compare_latest_start,
                            queue);
}

/// Removes a request. Returns false if it isn't in the queue.
bool
wait_queue_remove(wait_queue_t *queue, uint64_t ticket)
{
    const queued_request_t *item =
        g_hash_table_lookup(queue->by_ticket, &ticket);
    if (item == NULL) {
        return false;
    }
    g_sequence_remove(item->order_iter);
    g_sequence_remove(item->latest_start_iter);
    g_hash_table_remove(queue->by_ticket, &item->ticket);
    return true;
}

/// Returns the number of waiting requests.
uint32_t
wait_queue_length(const wait_queue_t *queue)
{
    return g_hash_table_size(queue->by_ticket);
}
