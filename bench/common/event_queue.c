/// @file
/// The priority queue of the discrete-event simulation.

#include "common/event_queue.h"

static bool
is_before(const event_t *a, const event_t *b)
{
    return a->due_us != b->due_us ? a->due_us < b->due_us
                                  : a->sequence < b->sequence;
}

void
event_queue_init(event_queue_t *queue)
{
    queue->heap = g_array_new(FALSE, FALSE, sizeof(event_t));
    queue->next_sequence = 0;
}

void
event_queue_finish(event_queue_t *queue)
{
    g_array_free(queue->heap, TRUE);
}

/// Adds an event; events that are due at the same time keep their order.
void
event_queue_add(event_queue_t *queue, int64_t due_us, uint32_t type,
                uint32_t subject, uint32_t argument)
{
    event_t event = {due_us, queue->next_sequence++, type, subject, argument};
    g_array_append_val(queue->heap, event);
    event_t *heap = (event_t *)(void *)queue->heap->data;
    guint index = queue->heap->len - 1;
    while (index > 0 && is_before(&event, &heap[(index - 1) / 2])) {
        heap[index] = heap[(index - 1) / 2];
        index = (index - 1) / 2;
    }
    heap[index] = event;
}

/// Removes the earliest event and returns it in @p event. Returns false if the
/// queue is empty.
bool
event_queue_pop(event_queue_t *queue, event_t *event)
{
    guint len = queue->heap->len;
    if (len == 0) {
        return false;
    }
    event_t *heap = (event_t *)(void *)queue->heap->data;
    *event = heap[0];
    event_t last = heap[--len];
    g_array_set_size(queue->heap, len);
    guint index = 0;
    for (guint child = 1; child < len; child = 2 * index + 1) {
        if (child + 1 < len && is_before(&heap[child + 1], &heap[child])) {
            child++;
        }
        if (!is_before(&heap[child], &last)) {
            break;
        }
        heap[index] = heap[child];
        index = child;
    }
    if (len > 0) {
        heap[index] = last;
    }
    return true;
}
