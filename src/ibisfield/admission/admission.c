/// @file
/// Admission at the guard: which requests run, wait or are refused.

#include "ibisfield/admission/admission.h"

#include <xxhash.h>

/// Waiting requests per slot.
#define QUEUE_PER_SLOT 4
#define QUEUE_MIN 16
/// How long a shed request keeps the reported minimum worth raised.
#define MIN_WORTH_LIFE_US (100 * US_PER_MS)
/// Weight of one sample in the moving average of the service time.
#define SERVICE_TIME_WEIGHT 0.1
#define RETRY_AFTER_MIN_MS 100
#define RETRY_AFTER_MAX_MS 2000

static void
note_shed(admission_t *admission, int32_t worth)
{
    int64_t now_us = clock_now_us(admission->clock);
    if (now_us >= admission->shed_until_us || worth > admission->shed_worth) {
        admission->shed_worth = worth;
    }
    admission->shed_until_us = now_us + MIN_WORTH_LIFE_US;
}

static void
enqueue(admission_t *admission, const admission_request_t *request,
        int64_t now_us)
{
    waiting_t waiting = {
        .ticket = request->ticket,
        .deadline_us = request->deadline_us,
        .arrival_us = now_us,
        .kind = request->kind,
        .worth = request->worth,
    };
    wait_queue_add(&admission->queue, &waiting);
}

/// Initialises the admission of one upstream.
void
admission_init(admission_t *admission, const clock_source_t *clock,
               const admission_options_t *options)
{
    *admission = (admission_t){
        .clock = clock,
        .slots = options->slots,
        .limit = options->slots,
        .queue_max = options->queue_max,
        .evicted = g_array_new(FALSE, FALSE, sizeof(uint64_t)),
        .random = g_rand_new_with_seed(options->seed),
    };
    if (admission->queue_max == 0) {
        admission->queue_max = MAX(QUEUE_MIN, QUEUE_PER_SLOT * options->slots);
    }
    wait_queue_init(&admission->queue, ORDER_ARRIVAL);
}

/// Releases the admission; waiting tickets are forgotten.
void
admission_finish(admission_t *admission)
{
    wait_queue_finish(&admission->queue);
    g_array_free(admission->evicted, TRUE);
    g_rand_free(admission->random);
}

/// Returns the number of a kind, learned on first use. The last number is
/// shared by all kinds beyond ADMISSION_KINDS_MAX.
uint32_t
admission_kind(admission_t *admission, slice_t customer, slice_t kind)
{
    uint64_t hash = XXH3_64bits_withSeed(
        kind.data, kind.len, XXH3_64bits(customer.data, customer.len));
    for (uint32_t i = 0; i < admission->kind_count; i++) {
        if (admission->kind_hashes[i] == hash) {
            return i;
        }
    }
    if (admission->kind_count == ADMISSION_KINDS_MAX) {
        return ADMISSION_KINDS_MAX - 1;
    }
    admission->kind_hashes[admission->kind_count] = hash;
    return admission->kind_count++;
}

/// Decides on a new request. After ADMIT_RUN it counts as running.
admit_t
admission_offer(admission_t *admission, const admission_request_t *request)
{
    int64_t now_us = clock_now_us(admission->clock);
    if (request->deadline_us <= now_us) {
        return ADMIT_REFUSE_DEADLINE;
    }
    uint32_t waiting = wait_queue_length(&admission->queue);
    if (admission->in_flight < admission->limit && waiting == 0) {
        admission->in_flight++;
        return ADMIT_RUN;
    }
    if (waiting >= admission->queue_max) {
        const waiting_t *last = wait_queue_last(&admission->queue);
        if (last == NULL || last->worth >= request->worth) {
            note_shed(admission, request->worth);
            return ADMIT_REFUSE_OVERLOADED;
        }
        note_shed(admission, last->worth);
        g_array_append_val(admission->evicted, last->ticket);
        wait_queue_remove(&admission->queue, last->ticket);
    }
    enqueue(admission, request, now_us);
    return ADMIT_QUEUED;
}

/// Hands out the next ticket that changes state; call until NEXT_NONE. After
/// NEXT_RUN the request counts as running.
next_t
admission_next(admission_t *admission, uint64_t *ticket)
{
    if (admission->evicted->len > 0) {
        guint last = admission->evicted->len - 1;
        *ticket = g_array_index(admission->evicted, uint64_t, last);
        g_array_set_size(admission->evicted, last);
        return NEXT_EVICTED;
    }
    const waiting_t *urgent = wait_queue_most_urgent(&admission->queue);
    if (urgent == NULL) {
        return NEXT_NONE;
    }
    if (urgent->deadline_us <= clock_now_us(admission->clock)) {
        *ticket = urgent->ticket;
        wait_queue_remove(&admission->queue, urgent->ticket);
        return NEXT_EXPIRED;
    }
    if (admission->in_flight >= admission->limit) {
        return NEXT_NONE;
    }
    const waiting_t *first = wait_queue_first(&admission->queue);
    *ticket = first->ticket;
    wait_queue_remove(&admission->queue, first->ticket);
    admission->in_flight++;
    return NEXT_RUN;
}

/// Removes a waiting request; false if it isn't waiting. A ticket that was
/// evicted but not yet handed out is forgotten as well.
bool
admission_withdraw(admission_t *admission, uint64_t ticket)
{
    for (guint i = 0; i < admission->evicted->len; i++) {
        if (g_array_index(admission->evicted, uint64_t, i) == ticket) {
            g_array_remove_index_fast(admission->evicted, i);
            return true;
        }
    }
    return wait_queue_remove(&admission->queue, ticket);
}

/// A running request has ended. @p completed is false when it was cancelled
/// or failed, and its time isn't learned.
void
admission_done(admission_t *admission, uint32_t kind, int64_t service_us,
               bool completed)
{
    (void)kind;
    g_return_if_fail(admission->in_flight > 0);
    admission->in_flight--;
    if (!completed) {
        return;
    }
    if (admission->service_us == 0) {
        admission->service_us = (double)service_us;
    }
    admission->service_us +=
        SERVICE_TIME_WEIGHT * ((double)service_us - admission->service_us);
}

/// The upstream shed a request by itself: the limit is above what it takes.
void
admission_upstream_shed(admission_t *admission)
{
    admission->limit = MAX(1, admission->limit - 1);
}

/// Returns the load that is reported to senders.
guard_load_t
admission_load(const admission_t *admission)
{
    bool shedding = clock_now_us(admission->clock) < admission->shed_until_us;
    return (guard_load_t){
        .in_flight = admission->in_flight,
        .limit = admission->limit,
        .queue = wait_queue_length(&admission->queue),
        .service_us = (uint32_t)admission->service_us,
        .min_worth = shedding ? admission->shed_worth + 1 : 0,
    };
}

/// Suggested wait of a refused caller in milliseconds, with jitter: the time
/// to work off the queue, twice over.
int32_t
admission_retry_after_ms(admission_t *admission)
{
    double backlog_us = admission->service_us *
                        wait_queue_length(&admission->queue) /
                        admission->limit;
    double wait_ms = 2 * backlog_us / US_PER_MS;
    wait_ms = CLAMP(wait_ms, RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS);
    return (int32_t)g_rand_double_range(admission->random, wait_ms,
                                        2 * wait_ms);
}
