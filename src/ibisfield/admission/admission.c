/// @file
/// Admission at the guard: which requests run, wait or are refused.

#include "ibisfield/admission/admission.h"

#include <xxhash.h>

/// Waiting requests per slot.
#define QUEUE_PER_SLOT 4
#define QUEUE_MIN 16
/// How long a start or a refusal counts for the reported minimum worth.
#define MIN_WORTH_LIFE_US (100 * US_PER_MS)
/// Part of the slots that long kinds share.
#define LONG_SHARE 0.5
/// Long kinds have a queue of their own, of this part of the other's length:
/// in a common queue of equal worth they would keep the short kinds out.
#define LONG_QUEUE_DIVISOR 4
/// A request waits at most this part of its deadline; the rest is for its
/// service and for another attempt.
#define WAIT_SHARE 0.5
#define RETRY_AFTER_MIN_MS 100
#define RETRY_AFTER_MAX_MS 2000

static bool
is_on(const admission_t *admission, admission_feature_t rule)
{
    return (admission->disabled_features & rule) == 0;
}

static int32_t
worth_index(int32_t worth)
{
    return CLAMP(worth, 0, CONTRACT_WORTH_MAX);
}

static void
note_shed(admission_t *admission, int32_t worth)
{
    admission->last_shed_us[worth_index(worth)] =
        clock_now_us(admission->clock);
}

static uint32_t
queue_length(const admission_t *admission)
{
    return wait_queue_length(&admission->queues[0]) +
           wait_queue_length(&admission->queues[1]);
}

static bool
is_long(const admission_t *admission, uint32_t kind)
{
    return is_on(admission, ADMISSION_FEATURE_LONG_KINDS) &&
           service_time_is_long(&admission->service_times, kind);
}

static uint32_t
long_running(const admission_t *admission)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < admission->kind_count; i++) {
        if (admission->running[i] > 0 && is_long(admission, i)) {
            count += admission->running[i];
        }
    }
    return count;
}

/// Slots that long kinds share.
static uint32_t
long_slots(uint32_t limit)
{
    return MAX(1, (uint32_t)(LONG_SHARE * limit));
}

static bool
has_slot(const admission_t *admission, bool for_long)
{
    uint32_t limit = limiter_limit(&admission->limiter);
    if (admission->in_flight >= limit) {
        return false;
    }
    return !for_long || long_running(admission) < long_slots(limit);
}

static void
count_start(admission_t *admission, uint32_t kind, int32_t worth)
{
    admission->in_flight++;
    admission->running[kind]++;
    admission->last_run_us[worth_index(worth)] =
        clock_now_us(admission->clock);
    limiter_record_start(&admission->limiter, admission->in_flight);
}

static bool
take_out(admission_t *admission, uint64_t ticket)
{
    for (int i = 0; i < 2; i++) {
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

/// Latest start that is worth the work.
static int64_t
start_by(const admission_t *admission, const admission_request_t *request,
         int64_t now_us)
{
    if (!is_on(admission, ADMISSION_FEATURE_DEADLINE)) {
        return request->deadline_us;
    }
    double needed_us =
        service_time_upper_us(&admission->service_times, request->kind);
    int64_t budget_us = request->deadline_us - now_us;
    return MIN(request->deadline_us - (int64_t)needed_us,
               now_us + (int64_t)(WAIT_SHARE * (double)budget_us));
}

/// Time until the requests that go first have started.
static double
expected_wait_us(const admission_t *admission, bool as_long, int32_t worth)
{
    double ahead_us = 0;
    for (int32_t i = worth_index(worth); i <= CONTRACT_WORTH_MAX; i++) {
        ahead_us += admission->queued_work_us[as_long ? 1 : 0][i];
    }
    uint32_t limit = limiter_limit(&admission->limiter);
    uint32_t taken = MIN(long_running(admission), limit - 1);
    return ahead_us / (as_long ? long_slots(limit) : limit - taken);
}

static void
enqueue(admission_t *admission, const admission_request_t *request,
        int32_t worth, int64_t start_by_us)
{
    queued_request_t waiting = {
        .ticket = request->ticket,
        .latest_start_us = start_by_us,
        .expected_service_us =
            service_time_mean_us(&admission->service_times, request->kind),
        .kind = request->kind,
        .worth = worth,
    };
    int class = is_long(admission, request->kind) ? 1 : 0;
    wait_queue_add(&admission->queues[class], &waiting);
    admission->queued_work_us[class][worth_index(worth)] +=
        waiting.expected_service_us;
}

/// Makes room for a request in a queue; false if none is worth less.
static bool
make_room(admission_t *admission, bool as_long, int32_t worth)
{
    const wait_queue_t *queue = &admission->queues[as_long ? 1 : 0];
    uint32_t max = as_long ? MAX(1, admission->queue_max / LONG_QUEUE_DIVISOR)
                           : admission->queue_max;
    if (wait_queue_length(queue) < max) {
        return true;
    }
    const queued_request_t *last = wait_queue_last(queue);
    if (last->worth >= worth) {
        return false;
    }
    note_shed(admission, last->worth);
    g_array_append_val(admission->evicted, last->ticket);
    take_out(admission, last->ticket);
    return true;
}

/// Initialises the admission of one upstream.
void
admission_init(admission_t *admission, const clock_source_t *clock,
               const admission_options_t *options)
{
    *admission = (admission_t){
        .clock = clock,
        .queue_max = options->queue_max,
        .disabled_features = options->disabled_features,
        .evicted = g_array_new(FALSE, FALSE, sizeof(uint64_t)),
        .random = g_rand_new_with_seed(options->seed),
    };
    if (admission->queue_max == 0) {
        admission->queue_max = MAX(QUEUE_MIN, QUEUE_PER_SLOT * options->slots);
    }
    for (int i = 0; i <= CONTRACT_WORTH_MAX; i++) {
        admission->last_run_us[i] = INT64_MIN / 2;
        admission->last_shed_us[i] = INT64_MIN / 2;
    }
    limiter_init(&admission->limiter, options->slots, clock_now_us(clock));
    pressure_init(&admission->pressure, clock_now_us(clock));
    wait_queue_init(&admission->queues[0], options->order);
    wait_queue_init(&admission->queues[1], options->order);
}

/// Releases the admission; waiting tickets are forgotten.
void
admission_finish(admission_t *admission)
{
    wait_queue_finish(&admission->queues[0]);
    wait_queue_finish(&admission->queues[1]);
    g_array_free(admission->evicted, TRUE);
    g_rand_free(admission->random);
}

static uint32_t
queue_max_of(uint32_t slots)
{
    return MAX(QUEUE_MIN, QUEUE_PER_SLOT * slots);
}

/// The upstream has declared another number of slots.
void
admission_set_slots(admission_t *admission, uint32_t slots)
{
    if (slots == admission->limiter.slots) {
        return;
    }
    limiter_init(&admission->limiter, slots, clock_now_us(admission->clock));
    admission->queue_max = queue_max_of(slots);
}

/// Returns the number of a kind, learned on first use. The last number is
/// shared by all kinds beyond ADMISSION_KINDS_MAX.
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

static bool
may_run_at_once(const admission_t *admission, uint32_t kind)
{
    bool as_long = is_long(admission, kind);
    return has_slot(admission, as_long) &&
           wait_queue_length(&admission->queues[as_long ? 1 : 0]) == 0;
}

/// Decides on a new request. After ADMISSION_RUN it counts as running.
admission_decision_t
admission_submit(admission_t *admission, const admission_request_t *request)
{
    int64_t now_us = clock_now_us(admission->clock);
    int32_t worth =
        is_on(admission, ADMISSION_FEATURE_WORTH) ? request->worth : 0;
    if (request->deadline_us <= now_us) {
        return ADMISSION_REFUSED_DEADLINE;
    }
    service_time_record_arrival(&admission->service_times, request->kind);
    pressure_record_arrival(
        &admission->pressure,
        service_time_mean_us(&admission->service_times, request->kind));
    if (may_run_at_once(admission, request->kind)) {
        count_start(admission, request->kind, worth);
        return ADMISSION_RUN;
    }
    int64_t start_by_us = start_by(admission, request, now_us);
    bool as_long = is_long(admission, request->kind);
    double wait_us = expected_wait_us(admission, as_long, worth);
    if (is_on(admission, ADMISSION_FEATURE_DEADLINE) &&
        now_us + (int64_t)wait_us > start_by_us)
    {
        note_shed(admission, worth);
        return ADMISSION_REFUSED_OVERLOADED;
    }
    if (!make_room(admission, as_long, worth)) {
        note_shed(admission, worth);
        return ADMISSION_REFUSED_OVERLOADED;
    }
    enqueue(admission, request, worth, start_by_us);
    return ADMISSION_QUEUED;
}

/// A waiting request whose latest start has passed, NULL if there is none.
static const queued_request_t *
first_expired(const admission_t *admission)
{
    int64_t now_us = clock_now_us(admission->clock);
    for (int i = 0; i < 2; i++) {
        const queued_request_t *urgent =
            wait_queue_most_urgent(&admission->queues[i]);
        if (urgent != NULL && urgent->latest_start_us <= now_us) {
            return urgent;
        }
    }
    return NULL;
}

/// The waiting request to start now, NULL if there is none.
static const queued_request_t *
first_to_run(const admission_t *admission)
{
    const queued_request_t *first =
        has_slot(admission, false) ? wait_queue_first(&admission->queues[0])
                                   : NULL;
    const queued_request_t *first_long =
        wait_queue_first(&admission->queues[1]);
    if (first_long == NULL || !has_slot(admission, true)) {
        return first;
    }
    return first == NULL || first_long->worth > first->worth ? first_long
                                                             : first;
}

static void
adapt(admission_t *admission)
{
    pressure_tick(&admission->pressure, limiter_limit(&admission->limiter),
                  clock_now_us(admission->clock));
    if (limiter_tick(&admission->limiter, clock_now_us(admission->clock),
                     admission->service_times.median_us))
    {
        service_time_end_period(&admission->service_times);
    }
}

/// Hands out the next ticket that changes state; call until
/// ADMISSION_EVENT_NONE. After ADMISSION_EVENT_RUN the request counts as
/// running.
admission_event_t
admission_next_event(admission_t *admission, uint64_t *ticket)
{
    adapt(admission);
    if (admission->evicted->len > 0) {
        guint last = admission->evicted->len - 1;
        *ticket = g_array_index(admission->evicted, uint64_t, last);
        g_array_set_size(admission->evicted, last);
        return ADMISSION_EVENT_EVICTED;
    }
    const queued_request_t *waiting = first_expired(admission);
    if (waiting != NULL) {
        *ticket = waiting->ticket;
        note_shed(admission, waiting->worth);
        take_out(admission, waiting->ticket);
        return ADMISSION_EVENT_EXPIRED;
    }
    waiting = first_to_run(admission);
    if (waiting == NULL) {
        return ADMISSION_EVENT_NONE;
    }
    *ticket = waiting->ticket;
    count_start(admission, waiting->kind, waiting->worth);
    take_out(admission, waiting->ticket);
    return ADMISSION_EVENT_RUN;
}

/// Removes a waiting request; false if it isn't waiting. A ticket that was
/// evicted but not yet handed out is forgotten as well.
bool
admission_cancel(admission_t *admission, uint64_t ticket)
{
    for (guint i = 0; i < admission->evicted->len; i++) {
        if (g_array_index(admission->evicted, uint64_t, i) == ticket) {
            g_array_remove_index_fast(admission->evicted, i);
            return true;
        }
    }
    return take_out(admission, ticket);
}

/// A running request has ended. @p completed is false when it was cancelled
/// or failed, and its time isn't learned.
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
    double usual_us =
        service_time_baseline_us(&admission->service_times, kind);
    if (is_on(admission, ADMISSION_FEATURE_ADAPTIVE_LIMIT) && usual_us > 0) {
        limiter_record_completion(&admission->limiter, (double)service_us,
                                  usual_us);
    }
}

/// The upstream shed a request by itself: the limit is above what it takes.
void
admission_record_upstream_shed(admission_t *admission)
{
    if (is_on(admission, ADMISSION_FEATURE_ADAPTIVE_LIMIT)) {
        limiter_record_upstream_shed(&admission->limiter);
    }
}

/// The lowest worth that started lately, if a lower one was shed; else 0. A
/// worth of which some requests still start isn't reported as shed, because
/// senders would then hold back all of it.
static int32_t
min_worth(const admission_t *admission)
{
    int64_t since_us = clock_now_us(admission->clock) - MIN_WORTH_LIFE_US;
    bool shed = false;
    for (int32_t i = 0; i <= CONTRACT_WORTH_MAX; i++) {
        if (admission->last_run_us[i] > since_us) {
            return shed ? i : 0;
        }
        shed |= admission->last_shed_us[i] > since_us;
    }
    return 0;
}

/// Returns the share of the requests that lead here to refuse before they
/// start, in thousandths.
uint32_t
admission_pressure(const admission_t *admission)
{
    return pressure_permille(&admission->pressure);
}

/// Returns what a request that ran for @p service_us has cost the upstream.
uint32_t
admission_cost(const admission_t *admission, int64_t service_us)
{
    return pressure_cost(&admission->pressure, service_us,
                         limiter_limit(&admission->limiter));
}

/// Returns the load that is reported to senders.
guard_load_t
admission_load(const admission_t *admission)
{
    return (guard_load_t){
        .in_flight = admission->in_flight,
        .limit = limiter_limit(&admission->limiter),
        .queue = queue_length(admission),
        .service_us = (uint32_t)admission->service_times.mean_us,
        .min_worth = min_worth(admission),
    };
}

/// Suggested wait of a refused caller in milliseconds, with jitter: the time
/// to work off the queue, twice over.
int32_t
admission_retry_after_ms(admission_t *admission)
{
    double wait_ms = 2 * expected_wait_us(admission, false, 0) / US_PER_MS;
    wait_ms = CLAMP(wait_ms, RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS);
    return (int32_t)g_rand_double_range(admission->random, wait_ms,
                                        2 * wait_ms);
}
