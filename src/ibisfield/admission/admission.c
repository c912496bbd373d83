/// @file
/// Admission control at the guard: decides which requests run, wait or are
/// refused.

#include "ibisfield/admission/admission.h"

#include <xxhash.h>

/// Default queue capacity for each slot of the upstream.
#define QUEUE_CAPACITY_PER_SLOT 4
#define QUEUE_CAPACITY_MIN 16
/// How long a start or a refusal counts in the minimum worth that is reported
/// to senders; see min_worth().
#define MIN_WORTH_TTL_US (100 * US_PER_MS)
/// Fraction of the concurrency limit that requests of long kinds may use
/// together. A kind is long if it takes many times longer than most requests;
/// see service_time_is_long().
#define LONG_LIMIT_RATIO 0.5
/// Long kinds have a separate queue, whose capacity is that of the queue of
/// short kinds divided by this. In a common queue, long requests of equal
/// worth would keep the short kinds out.
#define LONG_QUEUE_DIVISOR 4
/// Longest wait in the queue as a fraction of the time to the deadline. The
/// rest is left for serving the request and for another attempt.
#define WAIT_RATIO_MAX 0.5
/// Bounds of a Retry-After before jitter, which at most doubles it.
#define RETRY_AFTER_BASE_MIN_MS 100
#define RETRY_AFTER_BASE_MAX_MS 2000

static bool
is_enabled(const admission_t *admission, admission_feature_t feature)
{
    return (admission->disabled_features & feature) == 0;
}

static int32_t
worth_index(int32_t worth)
{
    return CLAMP(worth, 0, CONTRACT_WORTH_MAX);
}

static void
record_refusal(admission_t *admission, int32_t worth)
{
    admission->last_refusal_us[worth_index(worth)] =
        clock_now_us(admission->clock);
}

static uint32_t
queued_count(const admission_t *admission)
{
    return wait_queue_length(&admission->queues[ADMISSION_QUEUE_SHORT]) +
           wait_queue_length(&admission->queues[ADMISSION_QUEUE_LONG]);
}

static bool
is_long(const admission_t *admission, uint32_t kind)
{
    return is_enabled(admission, ADMISSION_FEATURE_LONG_KINDS) &&
           service_time_is_long(&admission->service_times, kind);
}

static uint32_t
running_long_count(const admission_t *admission)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < admission->kind_count; i++) {
        if (admission->running[i] > 0 && is_long(admission, i)) {
            count += admission->running[i];
        }
    }
    return count;
}

/// Returns how many requests of long kinds may run at the same time.
static uint32_t
long_limit(uint32_t limit)
{
    return MAX(1, (uint32_t)(LONG_LIMIT_RATIO * limit));
}

/// Returns whether the concurrency limit allows one more request to run.
static bool
is_below_limit(const admission_t *admission, bool long_kind)
{
    uint32_t limit = limiter_limit(&admission->limiter);
    if (admission->in_flight >= limit) {
        return false;
    }
    return !long_kind || running_long_count(admission) < long_limit(limit);
}

static void
record_start(admission_t *admission, uint32_t kind, int32_t worth)
{
    admission->in_flight++;
    admission->running[kind]++;
    admission->last_start_us[worth_index(worth)] =
        clock_now_us(admission->clock);
    limiter_record_start(&admission->limiter, admission->in_flight);
}

static bool
remove_waiting(admission_t *admission, uint64_t ticket)
{
    for (int i = 0; i < ADMISSION_QUEUE_COUNT; i++) {
        const queued_request_t *waiting =
            wait_queue_find(&admission->queues[i], ticket);
        if (waiting != NULL) {
            admission->queued_work_us[i][worth_index(waiting->worth)] -=
                waiting->expected_service_us;
            wait_queue_remove(&admission->queues[i], ticket);
            return true;
        }
    }
    return false;
}

/// Returns the latest time at which the request may start: early enough to
/// finish before its deadline in most cases, and after a wait of at most
/// WAIT_RATIO_MAX of the time that is left.
static int64_t
latest_start(const admission_t *admission, const admission_request_t *request,
             int64_t now_us)
{
    if (!is_enabled(admission, ADMISSION_FEATURE_DEADLINE)) {
        return request->deadline_us;
    }
    double service_us =
        service_time_upper_us(&admission->service_times, request->kind);
    int64_t remaining_us = request->deadline_us - now_us;
    return MIN(request->deadline_us - (int64_t)service_us,
               now_us + (int64_t)(WAIT_RATIO_MAX * (double)remaining_us));
}

/// Returns the latest time at which a request may start so that it finishes
/// before the end of serving in most cases.
static int64_t
latest_start_before_end(const admission_t *admission, uint32_t kind,
                        int64_t deadline_us)
{
    return serving_end_latest_start(
        admission->end_us, deadline_us,
        (int64_t)service_time_upper_us(&admission->service_times, kind));
}

/// Returns how many requests of short or of long kinds run at the same time.
static uint32_t
queue_concurrency(const admission_t *admission, bool long_kind)
{
    uint32_t limit = limiter_limit(&admission->limiter);
    // The limit may have fallen to the number of running long requests or
    // below it.
    uint32_t used_by_long = MIN(running_long_count(admission), limit - 1);
    return long_kind ? long_limit(limit) : limit - used_by_long;
}

/// Returns the expected time until all queued requests of the same or a higher
/// worth have started.
static double
expected_wait_us(const admission_t *admission, bool long_kind, int32_t worth)
{
    int queue_index = long_kind ? ADMISSION_QUEUE_LONG : ADMISSION_QUEUE_SHORT;
    double ahead_us = 0;
    for (int32_t i = worth_index(worth); i <= CONTRACT_WORTH_MAX; i++) {
        ahead_us += admission->queued_work_us[queue_index][i];
    }
    return ahead_us / queue_concurrency(admission, long_kind);
}

static void
enqueue(admission_t *admission, const admission_request_t *request,
        int32_t worth, int64_t latest_start_us)
{
    queued_request_t waiting = {
        .ticket = request->ticket,
        .latest_start_us = latest_start_us,
        .deadline_us = request->deadline_us,
        .expected_service_us =
            service_time_mean_us(&admission->service_times, request->kind),
        .is_end_limited = latest_start_us ==
                          latest_start_before_end(admission, request->kind,
                                                  request->deadline_us),
        .kind = request->kind,
        .worth = worth,
    };
    int queue_index = is_long(admission, request->kind)
                          ? ADMISSION_QUEUE_LONG
                          : ADMISSION_QUEUE_SHORT;
    wait_queue_add(&admission->queues[queue_index], &waiting);
    admission->queued_work_us[queue_index][worth_index(worth)] +=
        waiting.expected_service_us;
}

/// Evicts the request of lowest worth if the queue is full. Returns false if
/// no request in the queue has a lower worth than @p worth.
static bool
ensure_queue_space(admission_t *admission, bool long_kind, int32_t worth)
{
    const wait_queue_t *queue =
        &admission->queues[long_kind ? ADMISSION_QUEUE_LONG
                                     : ADMISSION_QUEUE_SHORT];
    uint32_t max = long_kind
                       ? MAX(1, admission->queue_max / LONG_QUEUE_DIVISOR)
                       : admission->queue_max;
    if (wait_queue_length(queue) < max) {
        return true;
    }
    const queued_request_t *last = wait_queue_last(queue);
    if (last->worth >= worth) {
        return false;
    }
    record_refusal(admission, last->worth);
    g_array_append_val(admission->evicted, last->ticket);
    remove_waiting(admission, last->ticket);
    return true;
}

/// Initialises admission control for one upstream.
void
admission_init(admission_t *admission, const clock_source_t *clock,
               const admission_options_t *options)
{
    *admission = (admission_t){
        .clock = clock,
        .queue_max = options->queue_max,
        .end_us = SERVING_END_NONE,
        .disabled_features = options->disabled_features,
        .evicted = g_array_new(FALSE, FALSE, sizeof(uint64_t)),
        .random = g_rand_new_with_seed(options->seed),
    };
    if (admission->queue_max == 0) {
        admission->queue_max =
            MAX(QUEUE_CAPACITY_MIN, QUEUE_CAPACITY_PER_SLOT * options->slots);
    }
    for (int i = 0; i <= CONTRACT_WORTH_MAX; i++) {
        admission->last_start_us[i] = INT64_MIN / 2;
        admission->last_refusal_us[i] = INT64_MIN / 2;
    }
    limiter_init(&admission->limiter, options->slots, clock_now_us(clock));
    pressure_init(&admission->pressure, clock_now_us(clock));
    wait_queue_init(&admission->queues[ADMISSION_QUEUE_SHORT], options->order);
    wait_queue_init(&admission->queues[ADMISSION_QUEUE_LONG], options->order);
}

/// Releases the admission state. Waiting requests are dropped without an
/// event.
void
admission_finish(admission_t *admission)
{
    wait_queue_finish(&admission->queues[ADMISSION_QUEUE_SHORT]);
    wait_queue_finish(&admission->queues[ADMISSION_QUEUE_LONG]);
    g_array_free(admission->evicted, TRUE);
    g_rand_free(admission->random);
}

static uint32_t
default_queue_max(uint32_t slots)
{
    return MAX(QUEUE_CAPACITY_MIN, QUEUE_CAPACITY_PER_SLOT * slots);
}

/// Applies the number of slots that the upstream has declared. If it has
/// changed, the concurrency limit starts again from it, and the queue gets the
/// default capacity.
void
admission_set_slots(admission_t *admission, uint32_t slots)
{
    if (slots == admission->limiter.slots) {
        return;
    }
    limiter_init(&admission->limiter, slots, clock_now_us(admission->clock));
    admission->queue_max = default_queue_max(slots);
}

static void
limit_queue_to_end(admission_t *admission, wait_queue_t *queue, bool long_kind)
{
    int64_t now_us = clock_now_us(admission->clock);
    double concurrency = queue_concurrency(admission, long_kind);
    double ahead_us = 0;
    GArray *tickets = wait_queue_tickets(queue);
    for (guint i = 0; i < tickets->len; i++) {
        uint64_t ticket = g_array_index(tickets, uint64_t, i);
        const queued_request_t *waiting = wait_queue_find(queue, ticket);
        int64_t latest_us = latest_start_before_end(admission, waiting->kind,
                                                    waiting->deadline_us);
        if (now_us + (int64_t)(ahead_us / concurrency) > latest_us) {
            latest_us = now_us;
        }
        else {
            ahead_us += waiting->expected_service_us;
        }
        wait_queue_limit_start(queue, ticket, latest_us);
    }
    g_array_unref(tickets);
}

/// Sets the end of serving: the time at which the upstream or this process may
/// end, SERVING_END_NONE if it isn't known. Requests start only if they finish
/// before it in most cases. Those that wait and aren't expected to are refused
/// by the next events, so that their senders can send them elsewhere in time.
void
admission_set_end(admission_t *admission, int64_t end_us)
{
    admission->end_us = end_us;
    if (end_us != SERVING_END_NONE) {
        limit_queue_to_end(admission,
                           &admission->queues[ADMISSION_QUEUE_SHORT], false);
        limit_queue_to_end(admission, &admission->queues[ADMISSION_QUEUE_LONG],
                           true);
    }
}

/// Returns the index of a kind, which is assigned on first use. All kinds
/// beyond ADMISSION_KINDS_MAX share the last index.
uint32_t
admission_kind_index(admission_t *admission, slice_t customer, slice_t kind)
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

/// Returns whether a new request of the kind would run without waiting.
bool
admission_starts_at_once(const admission_t *admission, uint32_t kind)
{
    bool long_kind = is_long(admission, kind);
    return is_below_limit(admission, long_kind) &&
           wait_queue_length(
               &admission->queues[long_kind ? ADMISSION_QUEUE_LONG
                                            : ADMISSION_QUEUE_SHORT]) == 0;
}

/// Decides on a new request. After ADMISSION_RUN the request counts as
/// running.
admission_decision_t
admission_submit(admission_t *admission, const admission_request_t *request)
{
    int64_t now_us = clock_now_us(admission->clock);
    int32_t worth =
        is_enabled(admission, ADMISSION_FEATURE_WORTH) ? request->worth : 0;
    if (request->deadline_us <= now_us) {
        return ADMISSION_REFUSED_DEADLINE;
    }
    service_time_record_arrival(&admission->service_times, request->kind);
    pressure_record_arrival(
        &admission->pressure,
        service_time_mean_us(&admission->service_times, request->kind));
    int64_t end_start_us = latest_start_before_end(admission, request->kind,
                                                   request->deadline_us);
    if (now_us > end_start_us) {
        return ADMISSION_REFUSED_ENDING;
    }
    if (admission_starts_at_once(admission, request->kind)) {
        record_start(admission, request->kind, worth);
        return ADMISSION_RUN;
    }
    int64_t latest_start_us =
        MIN(latest_start(admission, request, now_us), end_start_us);
    bool long_kind = is_long(admission, request->kind);
    double wait_us = expected_wait_us(admission, long_kind, worth);
    if (now_us + (int64_t)wait_us > end_start_us) {
        return ADMISSION_REFUSED_ENDING;
    }
    if (is_enabled(admission, ADMISSION_FEATURE_DEADLINE) &&
        now_us + (int64_t)wait_us > latest_start_us)
    {
        record_refusal(admission, worth);
        return ADMISSION_REFUSED_OVERLOADED;
    }
    if (!ensure_queue_space(admission, long_kind, worth)) {
        record_refusal(admission, worth);
        return ADMISSION_REFUSED_OVERLOADED;
    }
    enqueue(admission, request, worth, latest_start_us);
    return ADMISSION_QUEUED;
}

/// Returns a waiting request whose latest start has passed, NULL if there is
/// none.
static const queued_request_t *
first_expired(const admission_t *admission)
{
    int64_t now_us = clock_now_us(admission->clock);
    for (int i = 0; i < ADMISSION_QUEUE_COUNT; i++) {
        const queued_request_t *next =
            wait_queue_next_to_expire(&admission->queues[i]);
        if (next != NULL && next->latest_start_us <= now_us) {
            return next;
        }
    }
    return NULL;
}

/// Returns the waiting request to start now, NULL if there is none.
static const queued_request_t *
next_to_run(const admission_t *admission)
{
    const queued_request_t *first =
        is_below_limit(admission, false)
            ? wait_queue_first(&admission->queues[ADMISSION_QUEUE_SHORT])
            : NULL;
    const queued_request_t *first_long =
        wait_queue_first(&admission->queues[ADMISSION_QUEUE_LONG]);
    if (first_long == NULL || !is_below_limit(admission, true)) {
        return first;
    }
    return first == NULL || first_long->worth > first->worth ? first_long
                                                             : first;
}

static void
end_elapsed_periods(admission_t *admission)
{
    pressure_tick(&admission->pressure, limiter_limit(&admission->limiter),
                  clock_now_us(admission->clock));
    if (limiter_tick(&admission->limiter, clock_now_us(admission->clock),
                     admission->service_times.median_us))
    {
        service_time_end_period(&admission->service_times);
    }
}

/// Returns the next event and the ticket of the request that it concerns. The
/// caller repeats the call until ADMISSION_EVENT_NONE. After
/// ADMISSION_EVENT_RUN the request counts as running.
admission_event_t
admission_next_event(admission_t *admission, uint64_t *ticket)
{
    end_elapsed_periods(admission);
    if (admission->evicted->len > 0) {
        guint last = admission->evicted->len - 1;
        *ticket = g_array_index(admission->evicted, uint64_t, last);
        g_array_set_size(admission->evicted, last);
        return ADMISSION_EVENT_EVICTED;
    }
    const queued_request_t *waiting = first_expired(admission);
    if (waiting != NULL) {
        bool ending = waiting->is_end_limited;
        *ticket = waiting->ticket;
        if (!ending) {
            record_refusal(admission, waiting->worth);
        }
        remove_waiting(admission, waiting->ticket);
        return ending ? ADMISSION_EVENT_ENDING : ADMISSION_EVENT_EXPIRED;
    }
    waiting = next_to_run(admission);
    if (waiting == NULL) {
        return ADMISSION_EVENT_NONE;
    }
    *ticket = waiting->ticket;
    record_start(admission, waiting->kind, waiting->worth);
    remove_waiting(admission, waiting->ticket);
    return ADMISSION_EVENT_RUN;
}

/// Removes a waiting request. Returns false if it isn't waiting. If the
/// request was evicted but the event isn't delivered yet, the event is
/// dropped.
bool
admission_cancel(admission_t *admission, uint64_t ticket)
{
    for (guint i = 0; i < admission->evicted->len; i++) {
        if (g_array_index(admission->evicted, uint64_t, i) == ticket) {
            g_array_remove_index_fast(admission->evicted, i);
            return true;
        }
    }
    return remove_waiting(admission, ticket);
}

/// Records the end of a running request. @p completed is false when it was
/// cancelled or failed; its service time is then not recorded.
void
admission_done(admission_t *admission, uint32_t kind, int64_t service_us,
               bool completed)
{
    g_return_if_fail(admission->in_flight > 0 && admission->running[kind] > 0);
    admission->in_flight--;
    admission->running[kind]--;
    if (!completed) {
        return;
    }
    service_time_record(&admission->service_times, kind, service_us);
    double baseline_us =
        service_time_baseline_us(&admission->service_times, kind);
    if (is_enabled(admission, ADMISSION_FEATURE_ADAPTIVE_LIMIT) &&
        baseline_us > 0) {
        limiter_record_completion(&admission->limiter, (double)service_us,
                                  baseline_us);
    }
}

/// Records that the upstream answered a request.
///
/// @param in_flight  requests that ran there when it started, itself included
void
admission_record_upstream_answer(admission_t *admission, uint32_t in_flight)
{
    shed_cause_record_answer(&admission->shed_cause, in_flight);
}

/// Records that the upstream shed a request. If it is full, the concurrency
/// limit is above its capacity.
void
admission_record_upstream_shed(admission_t *admission, uint32_t in_flight)
{
    shed_cause_record_shed(&admission->shed_cause, in_flight,
                           clock_now_us(admission->clock));
    if (is_enabled(admission, ADMISSION_FEATURE_ADAPTIVE_LIMIT) &&
        shed_cause_is_full(&admission->shed_cause))
    {
        limiter_record_upstream_shed(&admission->limiter);
    }
}

/// Returns the minimum worth that is reported to senders: the lowest worth of
/// the requests started within MIN_WORTH_TTL_US, or 0 if none of a lower worth
/// was refused in that time. Senders refuse all requests below the minimum
/// worth, so it isn't above a worth of which some requests still start.
static int32_t
min_worth(const admission_t *admission)
{
    int64_t since_us = clock_now_us(admission->clock) - MIN_WORTH_TTL_US;
    bool refused = false;
    for (int32_t i = 0; i <= CONTRACT_WORTH_MAX; i++) {
        if (admission->last_start_us[i] > since_us) {
            return refused ? i : 0;
        }
        refused |= admission->last_refusal_us[i] > since_us;
    }
    return 0;
}

/// Returns the pressure: the fraction of the new requests leading to this
/// upstream that entries should refuse, in thousandths.
uint32_t
admission_pressure(const admission_t *admission)
{
    return pressure_permille(&admission->pressure);
}

/// Returns the use of scarce capacity by a request that ran for
/// @p service_us, in the unit of pressure_cost().
uint32_t
admission_cost(const admission_t *admission, int64_t service_us)
{
    return pressure_cost(&admission->pressure, service_us,
                         limiter_limit(&admission->limiter));
}

/// Returns whether a request of a kind, its wait included, takes less than
/// @p time_us by the requests that were timed here; false if none was.
bool
admission_ends_within(const admission_t *admission, uint32_t kind,
                      int32_t worth, int64_t time_us)
{
    int64_t bound_us = service_time_bound_us(&admission->service_times, kind);
    double wait_us =
        expected_wait_us(admission, is_long(admission, kind), worth);
    return bound_us > 0 && (int64_t)wait_us + bound_us < time_us;
}

/// Returns the load that the guard reports to senders.
guard_load_t
admission_load(const admission_t *admission)
{
    return (guard_load_t){
        .in_flight = admission->in_flight,
        .limit = limiter_limit(&admission->limiter),
        .queue = queued_count(admission),
        .service_us = (uint32_t)admission->service_times.mean_us,
        .min_worth = min_worth(admission),
    };
}

/// Returns how long a refused caller should wait before a client retry, in
/// milliseconds: twice the expected time until the queue of short kinds is
/// empty, within bounds, times a random factor from 1 to 2.
int32_t
admission_retry_after_ms(admission_t *admission)
{
    double wait_ms = 2 * expected_wait_us(admission, false, 0) / US_PER_MS;
    wait_ms = CLAMP(wait_ms, RETRY_AFTER_BASE_MIN_MS, RETRY_AFTER_BASE_MAX_MS);
    return (int32_t)g_rand_double_range(admission->random, wait_ms,
                                        2 * wait_ms);
}
