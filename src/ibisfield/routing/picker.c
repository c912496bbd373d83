/// @file
/// Chooses the VM for each attempt: the better of two random choices by
/// expected response time, among the VMs of a bounded subset. The simpler
/// policies are baselines for comparison.

#include "ibisfield/routing/picker.h"

#include <math.h>

#include "ibisfield/routing/refusal_hint.h"
#include "ibisfield/routing/spill.h"
#include "ibisfield/routing/subset.h"
#include "ibisfield/routing/vm_health.h"

#define SUBSET_SIZE_DEFAULT 12
/// How long a load report is used; its weight falls linearly to 0 over this
/// time.
#define LOAD_REPORT_TTL_US (500 * US_PER_MS)
/// How long a reported pressure applies to requests that are refused at this
/// sender. New reports arrive meanwhile, with the responses to the one in
/// REFUSAL_PROBE_ONE_IN that is sent.
#define PRESSURE_TTL_US (2 * US_PER_S)
/// One in this many requests is sent although all candidates are expected to
/// refuse it, to detect when they accept such requests again.
#define REFUSAL_PROBE_ONE_IN 32
/// Assumed latency of a kind for which none has been learned.
#define DEFAULT_LATENCY_US (10.0 * US_PER_MS)
/// Assumed limit of a VM that has reported none: this many attempts in flight
/// double its expected time.
#define DEFAULT_LIMIT 100.0
/// How long a VM that refused an attempt because it is draining is avoided
/// although its list item says that it is live. Its node may be restarted
/// within seconds, and trying one that still drains costs only one hop: the
/// refused attempt is retried on another VM at once.
#define DRAINING_TTL_US (500 * US_PER_MS)
/// How long a VM to which no connection could be opened is avoided. A network
/// partition between data centres makes most VMs of a service unreachable at
/// once, so the number of avoided VMs isn't bounded as it is for ejection.
#define UNREACHABLE_TTL_US US_PER_S
/// After DRAINING_TTL_US or UNREACHABLE_TTL_US a single trial attempt is sent;
/// other attempts avoid the VM for this long while the result is pending.
#define TRIAL_TIMEOUT_US (400 * US_PER_MS)
/// Weight of one attempt in a moving fraction, which reflects about the last
/// 10 attempts.
#define FRACTION_SAMPLE_WEIGHT 0.1
/// Half-life of a moving fraction, so that a VM that is avoided because of it
/// is tried again. Fractions below FRACTION_MIN count as 0.
#define FRACTION_HALF_LIFE_US US_PER_S
#define FRACTION_MIN 0.05
/// The expected time of a VM is multiplied by 1 plus this times the fraction
/// of its attempts that the upstream shed. An upstream that sheds at once
/// looks idle and would attract a disproportionate number of requests.
#define SHED_PENALTY 10.0
/// A VM is ejected when more than this fraction of its attempts fails, unless
/// every other VM in use has at least EJECTION_PEER_FAILURE_RATIO times this
/// VM's fraction: the cause is then probably a service that they all call.
#define EJECTION_FAILURE_FRACTION 0.35
#define EJECTION_PEER_FAILURE_RATIO 0.5
/// How much later a request may be a probe for each unit of its worth.
#define PROBE_DELAY_PER_WORTH_US (5 * US_PER_MS)
/// A VM of the own data centre has room while it has no queue, and while less
/// than this fraction of its limit is in use.
#define LOCAL_LOAD_MAX 0.6
/// A VM of the own data centre that has room is used unless its expected time
/// is longer than this many times that of a VM elsewhere, or longer by
/// LOCAL_EXTRA_TIME_MAX_US.
#define LOCAL_TIME_RATIO_MAX 2.0
#define LOCAL_EXTRA_TIME_MAX_US (20.0 * US_PER_MS)
/// From this number of VMs of the own data centre in use on, requests stay
/// there by what all of them have free. With fewer there is hardly a choice at
/// home, and each is judged by itself.
#define NEAR_VMS_MIN 3
/// While there is room, the better of two such VMs is used unless its expected
/// time is longer than this many times that of a VM elsewhere.
#define NEAR_TIME_RATIO_MAX 1.5
/// A VM with less than this fraction of its slots in use counts as free.
#define FULLNESS_FREE 0.6
/// Its expected time is multiplied by 1 plus this when it is full.
#define FULLNESS_WEIGHT 4.0
/// How long a service counts as overloaded after a refusal.
#define OVERLOAD_TTL_US (500 * US_PER_MS)
/// A probe succeeds if it takes at most this many mean latencies of its kind.
#define PROBE_LATENCY_RATIO_MAX 3.0

typedef struct service_record service_record_t;

/// Moving fraction of the attempts at a VM that had a certain outcome.
typedef struct {
    double value; ///< 0 to 1
    int64_t updated_us;
} moving_fraction_t;

typedef struct {
    char *name;              ///< NULL: no VM has this handle
    const char *data_centre; ///< interned
    service_record_t *service;
    bool draining;
    bool removal_pending;
    bool reported_draining; ///< refused as draining, no other response since
    int64_t reported_draining_until_us;
    bool unreachable;
    int64_t unreachable_until_us;
    moving_fraction_t failure_fraction; ///< attempts that failed or were shed
    moving_fraction_t shed_fraction;    ///< attempts that the upstream shed
    vm_health_t health;
    guard_load_t load;
    int64_t load_expires_us;
    min_worth_hint_t min_worth_hint;
    refused_kinds_t refused_kinds;
    double outstanding_expected_us; ///< sum of the mean latencies of the
                                    ///< outstanding attempts
} vm_record_t;

struct service_record {
    char *name;
    GArray *vms;             ///< of vm_handle_t; all listed VMs
    GArray *subset;          ///< of vm_handle_t; the VMs in use
    bool subset_stale;       ///< subset must be chosen again
    uint32_t next_index;     ///< round-robin position
    int64_t last_refusal_us; ///< last refusal for overload by any VM
};

static vm_record_t *
find_vm(const picker_t *picker, vm_handle_t vm)
{
    if (vm >= picker->vms->len) {
        return NULL;
    }
    vm_record_t *record = &g_array_index(picker->vms, vm_record_t, vm);
    return record->name == NULL ? NULL : record;
}

static bool
is_enabled(const picker_t *picker, picker_feature_t feature)
{
    return picker->options.policy == LB_IBISFIELD &&
           (picker->options.disabled_features & feature) == 0;
}

static void
free_service(gpointer data)
{
    service_record_t *service = data;
    g_array_free(service->vms, TRUE);
    g_array_free(service->subset, TRUE);
    g_free(service->name);
    g_free(service);
}

static service_record_t *
find_or_add_service(picker_t *picker, const char *name)
{
    service_record_t *service = g_hash_table_lookup(picker->services, name);
    if (service == NULL) {
        service = g_new0(service_record_t, 1);
        service->name = g_strdup(name);
        service->last_refusal_us = INT64_MIN / 2;
        service->vms = g_array_new(FALSE, FALSE, sizeof(vm_handle_t));
        service->subset = g_array_new(FALSE, FALSE, sizeof(vm_handle_t));
        g_hash_table_insert(picker->services, service->name, service);
    }
    return service;
}

static void
remove_from_service(const vm_record_t *record, vm_handle_t vm)
{
    GArray *vms = record->service->vms;
    record->service->subset_stale = true;
    for (guint i = 0; i < vms->len; i++) {
        if (g_array_index(vms, vm_handle_t, i) == vm) {
            g_array_remove_index_fast(vms, i);
            return;
        }
    }
}

static vm_handle_t
allocate_handle(picker_t *picker)
{
    GArray *free_handles = picker->free_handles;
    if (free_handles->len > 0) {
        vm_handle_t handle =
            g_array_index(free_handles, vm_handle_t, free_handles->len - 1);
        g_array_set_size(free_handles, free_handles->len - 1);
        return handle;
    }
    vm_record_t empty = {0};
    g_array_append_val(picker->vms, empty);
    return picker->vms->len - 1;
}

/// Returns whether the VMs of the service whose removal is pending are used. A
/// few of them have probably left. If they are more than the others, their
/// records have probably expired in an outage, and the others alone would be
/// overloaded.
static bool
uses_pending_removals(const picker_t *picker, const service_record_t *service)
{
    uint32_t confirmed = 0;
    uint32_t pending = 0;
    for (guint i = 0; i < service->vms->len; i++) {
        const vm_record_t *record =
            find_vm(picker, g_array_index(service->vms, vm_handle_t, i));
        if (!record->draining) {
            confirmed += record->removal_pending ? 0 : 1;
            pending += record->removal_pending ? 1 : 0;
        }
    }
    return pending > confirmed;
}

static void
update_subset(picker_t *picker, service_record_t *service)
{
    bool with_pending = uses_pending_removals(picker, service);
    subset_candidate_t *members =
        g_new(subset_candidate_t, service->vms->len + 1);
    uint32_t count = 0;
    for (guint i = 0; i < service->vms->len; i++) {
        vm_handle_t vm = g_array_index(service->vms, vm_handle_t, i);
        const vm_record_t *record = find_vm(picker, vm);
        if (!record->draining && (with_pending || !record->removal_pending)) {
            members[count++] = (subset_candidate_t){
                .name_hash = subset_name_hash(record->name),
                .vm = vm,
                .local = record->data_centre == picker->own_data_centre,
            };
        }
    }
    uint32_t size = picker->options.subset_size == 0
                        ? SUBSET_SIZE_DEFAULT
                        : picker->options.subset_size;
    uint32_t chosen = subset_choose(picker->own_hash, members, count, size);
    g_array_set_size(service->subset, 0);
    for (uint32_t i = 0; i < chosen; i++) {
        g_array_append_val(service->subset, members[i].vm);
    }
    service->subset_stale = false;
    g_free(members);
}

static bool
was_tried(vm_handle_t vm, const vm_handle_t *tried, uint32_t tried_count)
{
    for (uint32_t i = 0; i < tried_count; i++) {
        if (tried[i] == vm) {
            return true;
        }
    }
    return false;
}

/// VMs that are collected as candidates although they are normally avoided, as
/// bits.
typedef enum {
    INCLUDE_EJECTED = 1,
    INCLUDE_DRAINING = 2,    ///< refused an attempt as draining
    INCLUDE_UNREACHABLE = 4, ///< no connection could be opened lately
} include_t;

/// Collects the untried VMs of the subset as candidates. VMs that are avoided
/// are collected only as @p include (include_t bits) allows.
static void
collect_candidates(picker_t *picker, const service_record_t *service,
                   const vm_handle_t *tried, uint32_t tried_count,
                   unsigned int include)
{
    int64_t now_us = clock_now_us(picker->clock);
    g_array_set_size(picker->candidates, 0);
    for (guint i = 0; i < service->subset->len; i++) {
        vm_handle_t vm = g_array_index(service->subset, vm_handle_t, i);
        const vm_record_t *record = find_vm(picker, vm);
        if (((include & INCLUDE_DRAINING) != 0 ||
             now_us >= record->reported_draining_until_us) &&
            ((include & INCLUDE_UNREACHABLE) != 0 ||
             now_us >= record->unreachable_until_us) &&
            ((include & INCLUDE_EJECTED) != 0 || !record->health.ejected) &&
            !was_tried(vm, tried, tried_count))
        {
            g_array_append_val(picker->candidates, vm);
        }
    }
}

static double
fraction_get(const moving_fraction_t *fraction, int64_t now_us)
{
    double age_us = (double)MAX(now_us - fraction->updated_us, 0);
    double value = fraction->value * exp2(-age_us / FRACTION_HALF_LIFE_US);
    return value < FRACTION_MIN ? 0 : value;
}

static void
fraction_add_sample(moving_fraction_t *fraction, bool occurred, int64_t now_us)
{
    double age_us = (double)MAX(now_us - fraction->updated_us, 0);
    double value = fraction->value * exp2(-age_us / FRACTION_HALF_LIFE_US);
    fraction->value =
        value + FRACTION_SAMPLE_WEIGHT * ((occurred ? 1 : 0) - value);
    fraction->updated_us = now_us;
}

/// Returns a factor on the expected time of a VM by how many of its slots were
/// in use when it last reported; 1 while that is few, or the report is old.
/// The number of outstanding attempts of one node alone says little about a VM
/// that many nodes use.
static double
fullness_factor(const picker_t *picker, const vm_record_t *record)
{
    int64_t now_us = clock_now_us(picker->clock);
    if (!is_enabled(picker, PICKER_FEATURE_FULLNESS) ||
        now_us >= record->load_expires_us || record->load.limit == 0)
    {
        return 1;
    }
    double freshness =
        (double)(record->load_expires_us - now_us) / LOAD_REPORT_TTL_US;
    double in_use = (double)record->load.in_flight / record->load.limit;
    double above = MAX(in_use - FULLNESS_FREE, 0) / (1 - FULLNESS_FREE);
    return 1 + freshness * FULLNESS_WEIGHT * above * above;
}

/// Returns the expected response time of the VM for a kind whose mean latency
/// is @p latency_us.
///
/// @param fullness  factor on the time of the request itself
static double
expected_time_with(const picker_t *picker, vm_handle_t vm, double latency_us,
                   double fullness)
{
    int64_t now_us = clock_now_us(picker->clock);
    const vm_record_t *record = find_vm(picker, vm);
    double limit = DEFAULT_LIMIT;
    double wait_us = 0;
    if (is_enabled(picker, PICKER_FEATURE_LOAD_REPORTS) &&
        now_us < record->load_expires_us && record->load.limit > 0)
    {
        limit = record->load.limit;
        double freshness =
            (double)(record->load_expires_us - now_us) / LOAD_REPORT_TTL_US;
        wait_us =
            freshness * record->load.queue * record->load.service_us / limit;
    }
    // While the VM is overloaded its queue is full. The outstanding attempts
    // are then divided by 1 instead of the limit, so that they weigh more and
    // spread the load evenly.
    bool overloaded = vm_health_is_overloaded(&record->health, now_us);
    double load_factor =
        1 + record->health.outstanding / (overloaded ? 1.0 : limit);
    double processing_us =
        latency_us * vm_health_slowness(&record->health, now_us) *
        load_factor * fullness *
        (1 + SHED_PENALTY * fraction_get(&record->shed_fraction, now_us));
    if (is_enabled(picker, PICKER_FEATURE_SLOW_START)) {
        processing_us *= vm_health_slow_start_factor(&record->health, now_us);
    }
    bool local = record->data_centre == picker->own_data_centre;
    return processing_us + wait_us +
           (local ? 0 : picker->options.remote_cost_us);
}

/// Returns the measure by which VMs are compared: the expected response time,
/// raised for one that is nearly full.
static double
expected_time(const picker_t *picker, vm_handle_t vm, double latency_us)
{
    return expected_time_with(picker, vm, latency_us,
                              fullness_factor(picker, find_vm(picker, vm)));
}

static vm_handle_t
candidate_at(const picker_t *picker, guint index)
{
    return g_array_index(picker->candidates, vm_handle_t, index);
}

static guint
random_index(picker_t *picker, guint count)
{
    return (guint)g_rand_int_range(picker->random, 0, (gint32)count);
}

/// Returns the index of a random candidate in the own data centre, or of any
/// random candidate if there is none. Requests that stay local cause no
/// traffic between data centres; the second random choice still allows a
/// remote VM where the local one is slower.
static guint
choose_first_index(picker_t *picker)
{
    guint count = picker->candidates->len;
    guint start = random_index(picker, count);
    for (guint i = 0; i < count; i++) {
        guint index = (start + i) % count;
        if (find_vm(picker, candidate_at(picker, index))->data_centre ==
            picker->own_data_centre)
        {
            return index;
        }
    }
    return start;
}

static bool
is_local(const picker_t *picker, vm_handle_t vm)
{
    return find_vm(picker, vm)->data_centre == picker->own_data_centre;
}

/// Returns whether the VM is in the own data centre and can take a request
/// without waiting, as far as this node knows.
static bool
has_local_room(const picker_t *picker, vm_handle_t vm)
{
    int64_t now_us = clock_now_us(picker->clock);
    const vm_record_t *record = find_vm(picker, vm);
    if (!is_local(picker, vm) ||
        !is_enabled(picker, PICKER_FEATURE_LOCAL_ROOM) ||
        vm_health_is_overloaded(&record->health, now_us))
    {
        return false;
    }
    double limit = DEFAULT_LIMIT;
    double in_use = record->health.outstanding;
    if (is_enabled(picker, PICKER_FEATURE_LOAD_REPORTS) &&
        now_us < record->load_expires_us && record->load.limit > 0)
    {
        if (record->load.queue > 0) {
            return false;
        }
        limit = record->load.limit;
        in_use = MAX(in_use, record->load.in_flight);
    }
    return in_use + 1 < LOCAL_LOAD_MAX * limit;
}

/// Returns whether a request may leave the own data centre because its VMs
/// have no room for it.
static bool
may_spill(picker_t *picker)
{
    int64_t now_us = clock_now_us(picker->clock);
    slots_t own = {0};
    slots_t others = {0};
    for (guint i = 0; i < picker->candidates->len; i++) {
        vm_handle_t vm = candidate_at(picker, i);
        const vm_record_t *record = find_vm(picker, vm);
        if (now_us < record->load_expires_us) {
            slots_add(is_local(picker, vm) ? &own : &others, &record->load,
                      record->health.outstanding);
        }
    }
    double fraction = spill_fraction(&own, &others);
    return fraction > 0 && g_rand_double(picker->random) < fraction;
}

/// Returns a random candidate other than @p index of the own data centre;
/// @p index if there is none.
static guint
choose_local_index(picker_t *picker, guint index)
{
    guint count = picker->candidates->len;
    guint start = random_index(picker, count);
    for (guint i = 0; i < count; i++) {
        guint other = (start + i) % count;
        if (other != index && is_local(picker, candidate_at(picker, other))) {
            return other;
        }
    }
    return index;
}

/// Returns the VM with the lower expected time. A queue weighs more at a VM
/// whose slots are in use, since it isn't about to end.
static vm_handle_t
better_of(const picker_t *picker, vm_handle_t a, vm_handle_t b,
          double latency_us)
{
    double time_a = expected_time_with(picker, a, latency_us, 1) *
                    fullness_factor(picker, find_vm(picker, a));
    double time_b = expected_time_with(picker, b, latency_us, 1) *
                    fullness_factor(picker, find_vm(picker, b));
    return time_b < time_a ? b : a;
}

/// Returns the better of two random candidates of the own data centre, or a
/// third one elsewhere if what is asked here doesn't fit, or that one is much
/// faster. Bytes between data centres and the time that they take are saved
/// while there is room here.
static vm_handle_t
choose_near(picker_t *picker, guint first, double latency_us)
{
    guint count = picker->candidates->len;
    vm_handle_t near = better_of(
        picker, candidate_at(picker, first),
        candidate_at(picker, choose_local_index(picker, first)), latency_us);
    vm_handle_t other = candidate_at(picker, random_index(picker, count));
    if (is_local(picker, other) || may_spill(picker)) {
        return better_of(picker, near, other, latency_us);
    }
    // The slots in use at a VM say nothing of how fast it is.
    double near_us = expected_time_with(picker, near, latency_us, 1);
    double other_us = expected_time_with(picker, other, latency_us, 1);
    return other_us * NEAR_TIME_RATIO_MAX < near_us ? other : near;
}

/// Returns whether the own data centre has enough VMs of the service in use to
/// keep requests there by what all of them have free.
static bool
has_near_vms(const picker_t *picker, const service_record_t *service)
{
    guint count = 0;
    for (guint i = 0; i < service->subset->len; i++) {
        vm_handle_t vm = g_array_index(service->subset, vm_handle_t, i);
        count += is_local(picker, vm) ? 1 : 0;
    }
    return is_enabled(picker, PICKER_FEATURE_LOCAL_ROOM) &&
           count >= NEAR_VMS_MIN;
}

/// Returns the better of two random candidates, the first one of the own data
/// centre if possible. Bytes between data centres and the time that they take
/// are saved where a local VM has room: it is left only for one that is much
/// faster.
static vm_handle_t
choose_best_of_two(picker_t *picker, const service_record_t *service,
                   double latency_us)
{
    guint count = picker->candidates->len;
    guint first = choose_first_index(picker);
    vm_handle_t a = candidate_at(picker, first);
    if (count == 1) {
        return a;
    }
    if (is_local(picker, a) && has_near_vms(picker, service)) {
        return choose_near(picker, first, latency_us);
    }
    guint second = random_index(picker, count - 1);
    second += second >= first ? 1 : 0;
    vm_handle_t b = candidate_at(picker, second);
    double time_a = expected_time(picker, a, latency_us);
    double time_b = expected_time(picker, b, latency_us);
    if (!is_local(picker, b) && has_local_room(picker, a)) {
        time_b = MIN(time_b * LOCAL_TIME_RATIO_MAX,
                     time_b + LOCAL_EXTRA_TIME_MAX_US);
    }
    return time_b < time_a ? b : a;
}

static double
outstanding_work(const picker_t *picker, vm_handle_t vm)
{
    const vm_record_t *record = find_vm(picker, vm);
    return picker->options.policy == LB_LEAST_CONNECTIONS
               ? record->health.outstanding
               : record->outstanding_expected_us;
}

/// Returns the candidate with the fewest outstanding attempts, or with the
/// smallest sum of their expected latencies. The search starts at a random
/// candidate, so that ties are spread evenly.
static vm_handle_t
choose_least_outstanding(picker_t *picker)
{
    guint count = picker->candidates->len;
    guint start = random_index(picker, count);
    vm_handle_t best = candidate_at(picker, start);
    for (guint i = 1; i < count; i++) {
        vm_handle_t vm = candidate_at(picker, (start + i) % count);
        if (outstanding_work(picker, vm) < outstanding_work(picker, best)) {
            best = vm;
        }
    }
    return best;
}

static vm_handle_t
choose_vm(picker_t *picker, service_record_t *service, double latency_us)
{
    guint count = picker->candidates->len;
    switch (picker->options.policy) {
    case LB_RANDOM:
        return candidate_at(picker, random_index(picker, count));
    case LB_ROUND_ROBIN:
        return candidate_at(picker, service->next_index++ % count);
    case LB_LEAST_CONNECTIONS:
    case LB_LEAST_EXECUTION_TIME:
        return choose_least_outstanding(picker);
    default:
        return choose_best_of_two(picker, service, latency_us);
    }
}

/// Returns whether to refuse the request at the sender, because the guard of
/// every candidate would refuse it. For a first attempt only the minimum worth
/// counts, because a guard may refuse only some requests of a kind; for a
/// retry a recent refusal of the same kind counts too. Returns false for one
/// in REFUSAL_PROBE_ONE_IN such requests.
static bool
would_all_refuse(picker_t *picker, uint64_t kind, int32_t worth,
                 bool is_first_attempt)
{
    if (!is_enabled(picker, PICKER_FEATURE_REFUSAL_HINTS)) {
        return false;
    }
    int64_t now_us = clock_now_us(picker->clock);
    for (guint i = 0; i < picker->candidates->len; i++) {
        const vm_record_t *record = find_vm(picker, candidate_at(picker, i));
        if (!min_worth_hint_refuses(&record->min_worth_hint, worth, now_us) &&
            (is_first_attempt ||
             !refused_kinds_contains(&record->refused_kinds, kind, now_us)))
        {
            return false;
        }
    }
    return random_index(picker, REFUSAL_PROBE_ONE_IN) != 0;
}

/// Returns a VM whose probe is due, VM_NONE if there is none. The higher the
/// worth of a request, the later it may be a probe, so that requests of low
/// worth take the risk of a slow or failed attempt.
static vm_handle_t
find_due_probe(const picker_t *picker, const service_record_t *service,
               int32_t worth)
{
    int64_t now_us =
        clock_now_us(picker->clock) - worth * PROBE_DELAY_PER_WORTH_US;
    for (guint i = 0; i < service->subset->len; i++) {
        vm_handle_t vm = g_array_index(service->subset, vm_handle_t, i);
        if (vm_health_is_probe_due(&find_vm(picker, vm)->health, now_us)) {
            return vm;
        }
    }
    return VM_NONE;
}

static void
record_pick(picker_t *picker, vm_handle_t vm, double latency_us)
{
    vm_record_t *record = find_vm(picker, vm);
    vm_health_record_pick(&record->health, clock_now_us(picker->clock));
    int64_t trial_end_us = clock_now_us(picker->clock) + TRIAL_TIMEOUT_US;
    if (record->unreachable) {
        record->unreachable_until_us = trial_end_us;
    }
    if (record->reported_draining) {
        record->reported_draining_until_us = trial_end_us;
    }
    record->outstanding_expected_us += latency_us;
}

/// Initialises a picker that has no VMs.
void
picker_init(picker_t *picker, const clock_source_t *clock,
            const picker_options_t *options)
{
    *picker = (picker_t){
        .clock = clock,
        .options = *options,
        .own_data_centre = g_intern_string(options->own_data_centre),
        .own_hash =
            subset_name_hash(options->own_vm == NULL ? "" : options->own_vm),
        .vms = g_array_new(FALSE, FALSE, sizeof(vm_record_t)),
        .free_handles = g_array_new(FALSE, FALSE, sizeof(vm_handle_t)),
        .by_name = g_hash_table_new(g_str_hash, g_str_equal),
        .services =
            g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_service),
        .candidates = g_array_new(FALSE, FALSE, sizeof(vm_handle_t)),
        .latencies = g_new0(kind_latencies_t, 1),
        .random = g_rand_new_with_seed(options->seed),
    };
}

/// Releases the memory of the picker.
void
picker_finish(picker_t *picker)
{
    for (guint i = 0; i < picker->vms->len; i++) {
        g_free(g_array_index(picker->vms, vm_record_t, i).name);
    }
    g_array_free(picker->vms, TRUE);
    g_array_free(picker->free_handles, TRUE);
    g_array_free(picker->candidates, TRUE);
    g_hash_table_destroy(picker->by_name);
    g_hash_table_destroy(picker->services);
    g_free(picker->latencies);
    g_rand_free(picker->random);
}

static bool
is_placed_as_before(const vm_record_t *record, const picker_vm_t *vm)
{
    return g_str_equal(record->service->name, vm->service) &&
           g_str_equal(record->data_centre, vm->data_centre);
}

static vm_handle_t
add_vm(picker_t *picker, const picker_vm_t *vm)
{
    vm_handle_t handle = allocate_handle(picker);
    vm_record_t *record = &g_array_index(picker->vms, vm_record_t, handle);
    *record = (vm_record_t){
        .name = g_strdup(vm->vm),
        .data_centre = g_intern_string(vm->data_centre),
        .service = find_or_add_service(picker, vm->service),
        .draining = vm->draining,
        .removal_pending = vm->removal_pending,
    };
    vm_health_init(&record->health, clock_now_us(picker->clock));
    g_hash_table_insert(picker->by_name, record->name,
                        GUINT_TO_POINTER(handle + 1));
    g_array_append_val(record->service->vms, handle);
    record->service->subset_stale = true;
    return handle;
}

/// Adds or updates a listed VM; returns its handle, which is stable while the
/// VM is listed.
vm_handle_t
picker_set_vm(picker_t *picker, const picker_vm_t *vm)
{
    vm_handle_t handle =
        GPOINTER_TO_UINT(g_hash_table_lookup(picker->by_name, vm->vm)) - 1;
    vm_record_t *existing = find_vm(picker, handle);
    if (existing == NULL) {
        return add_vm(picker, vm);
    }
    if (!is_placed_as_before(existing, vm)) {
        picker_remove_vm(picker, vm->vm);
        return add_vm(picker, vm);
    }
    if (existing->draining != vm->draining ||
        existing->removal_pending != vm->removal_pending)
    {
        existing->draining = vm->draining;
        existing->removal_pending = vm->removal_pending;
        existing->service->subset_stale = true;
    }
    return handle;
}

/// Removes a VM and invalidates its handle. The handle of a VM with
/// outstanding attempts isn't reused, because their reports are still to come.
void
picker_remove_vm(picker_t *picker, const char *vm)
{
    vm_handle_t handle =
        GPOINTER_TO_UINT(g_hash_table_lookup(picker->by_name, vm)) - 1;
    vm_record_t *record = find_vm(picker, handle);
    if (record == NULL) {
        return;
    }
    bool idle = record->health.outstanding == 0;
    g_hash_table_remove(picker->by_name, vm);
    remove_from_service(record, handle);
    g_free(record->name);
    *record = (vm_record_t){0};
    if (idle) {
        g_array_append_val(picker->free_handles, handle);
    }
}

/// Returns the name of the VM, NULL if the handle is invalid.
const char *
picker_vm_name(const picker_t *picker, vm_handle_t vm)
{
    const vm_record_t *record = find_vm(picker, vm);
    return record == NULL ? NULL : record->name;
}

/// Collects the untried healthy VMs. If there are none, untried VMs that are
/// avoided are included step by step, and finally VMs that were tried.
static void
collect_best_candidates(picker_t *picker, service_record_t *service,
                        const vm_handle_t *tried, uint32_t tried_count)
{
    if (service->subset_stale) {
        update_subset(picker, service);
    }
    static const unsigned int include_sets[] = {
        0,
        INCLUDE_EJECTED,
        // In a rolling replacement a VM that was draining is often back before
        // DRAINING_TTL_US has passed; if it isn't, its guard refuses.
        INCLUDE_EJECTED | INCLUDE_DRAINING,
        INCLUDE_EJECTED | INCLUDE_DRAINING | INCLUDE_UNREACHABLE,
    };
    for (size_t i = 0; i < G_N_ELEMENTS(include_sets); i++) {
        collect_candidates(picker, service, tried, tried_count,
                           include_sets[i]);
        if (picker->candidates->len > 0) {
            return;
        }
    }
    collect_candidates(picker, service, NULL, 0,
                       include_sets[G_N_ELEMENTS(include_sets) - 1]);
}

/// Chooses a VM for one attempt and counts the attempt as outstanding there.
/// picker_report() must be called when it ends.
///
/// @param kind   hash of customer and kind name
/// @param tried  VMs to avoid if another one is usable
/// @param vm     set if the result is PICK_OK
pick_result_t
picker_pick(picker_t *picker, const char *service_name, uint64_t kind,
            int32_t worth, const vm_handle_t *tried, uint32_t tried_count,
            vm_handle_t *vm)
{
    service_record_t *service =
        g_hash_table_lookup(picker->services, service_name);
    if (service == NULL) {
        return PICK_NO_UPSTREAM;
    }
    collect_best_candidates(picker, service, tried, tried_count);
    if (picker->candidates->len == 0) {
        return PICK_NO_UPSTREAM;
    }
    if (would_all_refuse(picker, kind, worth, tried_count == 0)) {
        return PICK_ALL_REFUSE;
    }
    double latency_us = kind_latency_mean_us(picker->latencies, kind);
    if (latency_us == 0) {
        latency_us = DEFAULT_LATENCY_US;
    }
    // Only a first attempt is a probe, so that a retry on another VM is still
    // possible if the probe fails.
    vm_handle_t probe =
        tried_count == 0 ? find_due_probe(picker, service, worth) : VM_NONE;
    if (probe != VM_NONE) {
        vm_health_start_probe(&find_vm(picker, probe)->health,
                              clock_now_us(picker->clock));
        *vm = probe;
    }
    else {
        *vm = choose_vm(picker, service, latency_us);
    }
    record_pick(picker, *vm, latency_us);
    return PICK_OK;
}

/// Chooses the VM of lowest expected time among those that have just refused a
/// request because it would have to wait there, and counts the attempt as
/// outstanding. Their loads are known; that of another VM may be old, and one
/// that looks free by an old report would get the requests of all senders.
/// Returns VM_NONE if none of them is listed any more.
vm_handle_t
picker_pick_among(picker_t *picker, uint64_t kind, const vm_handle_t *vms,
                  uint32_t count)
{
    double latency_us = kind_latency_mean_us(picker->latencies, kind);
    if (latency_us == 0) {
        latency_us = DEFAULT_LATENCY_US;
    }
    vm_handle_t best = VM_NONE;
    for (uint32_t i = 0; i < count; i++) {
        const vm_record_t *record = find_vm(picker, vms[i]);
        if (record == NULL || record->draining) {
            continue;
        }
        if (best == VM_NONE || expected_time(picker, vms[i], latency_us) <
                                   expected_time(picker, best, latency_us))
        {
            best = vms[i];
        }
    }
    if (best != VM_NONE) {
        record_pick(picker, best, latency_us);
    }
    return best;
}

/// Returns whether any VM of the service refused a request for overload
/// lately. Latencies then reflect the queues, and ejecting a VM would add to
/// the overload of the others.
static bool
is_overloaded(const service_record_t *service, int64_t now_us)
{
    return now_us - service->last_refusal_us < OVERLOAD_TTL_US;
}

static void
notify_vm_change(const picker_t *picker, const vm_record_t *record,
                 int64_t now_us)
{
    if (picker->options.on_vm_change == NULL) {
        return;
    }
    picker->options.on_vm_change(
        picker->options.context,
        &(picker_vm_state_t){
            .vm = record->name,
            .service = record->service->name,
            .ejected = record->health.ejected,
            .unreachable = record->unreachable,
            .consecutive_failures = record->health.consecutive_failures,
            .slowness = vm_health_slowness(&record->health, now_us),
        });
}

/// Ejects the VM if it fails or is slow, unless more than half of the subset
/// would then be ejected.
static void
eject_if_unhealthy(picker_t *picker, vm_record_t *record)
{
    if (!is_enabled(picker, PICKER_FEATURE_EJECTION) || record->health.ejected)
    {
        return;
    }
    int64_t now_us = clock_now_us(picker->clock);
    const GArray *subset = record->service->subset;
    double lowest_slowness = vm_health_slowness(&record->health, now_us);
    double failure_fraction = fraction_get(&record->failure_fraction, now_us);
    double lowest_failure_fraction = failure_fraction;
    uint32_t ejected_count = 0;
    for (guint i = 0; i < subset->len; i++) {
        const vm_record_t *other =
            find_vm(picker, g_array_index(subset, vm_handle_t, i));
        if (other == NULL) {
            continue;
        }
        ejected_count += other->health.ejected ? 1 : 0;
        if (!other->health.ejected) {
            lowest_slowness = MIN(lowest_slowness,
                                  vm_health_slowness(&other->health, now_us));
            lowest_failure_fraction =
                MIN(lowest_failure_fraction,
                    fraction_get(&other->failure_fraction, now_us));
        }
    }
    if (2 * (ejected_count + 1) <= subset->len &&
        (vm_health_is_failing(&record->health) ||
         (failure_fraction > EJECTION_FAILURE_FRACTION &&
          lowest_failure_fraction <
              EJECTION_PEER_FAILURE_RATIO * failure_fraction) ||
         (!is_overloaded(record->service, now_us) &&
          vm_health_is_slow(&record->health, lowest_slowness, now_us))))
    {
        vm_health_eject(&record->health, now_us);
        notify_vm_change(picker, record, now_us);
    }
}

/// Records a load report. Its minimum worth is used only if it came with a
/// refusal. A report with another response may be outdated, and this sender
/// would refuse requests that the VM accepts again.
static void
record_load(picker_t *picker, vm_record_t *record, attempt_report_t report,
            const guard_load_t *load)
{
    int64_t now_us = clock_now_us(picker->clock);
    record->load = *load;
    record->load_expires_us = now_us + LOAD_REPORT_TTL_US;
    if (report == REPORT_REFUSED) {
        min_worth_hint_update(&record->min_worth_hint, load->min_worth,
                              now_us);
    }
}

static void
record_outcome(picker_t *picker, vm_record_t *record, uint64_t kind,
               attempt_report_t report, int64_t latency_us)
{
    int64_t now_us = clock_now_us(picker->clock);
    double mean_us = kind_latency_mean_us(picker->latencies, kind);
    if (report == REPORT_ANSWERED || report == REPORT_FAILED ||
        report == REPORT_SHED)
    {
        fraction_add_sample(&record->shed_fraction, report == REPORT_SHED,
                            now_us);
        fraction_add_sample(&record->failure_fraction,
                            report != REPORT_ANSWERED, now_us);
    }
    switch (report) {
    case REPORT_ANSWERED:
        vm_health_record_response(&record->health, latency_us, mean_us,
                                  now_us);
        if (!record->health.ejected) {
            kind_latency_record(picker->latencies, kind, latency_us);
        }
        break;
    case REPORT_REFUSED:
        kind_latency_record_refusal(picker->latencies, kind, now_us);
        vm_health_record_refusal(&record->health, now_us);
        refused_kinds_add(&record->refused_kinds, kind, now_us);
        record->service->last_refusal_us = now_us;
        break;
    case REPORT_DRAINING:
        record->reported_draining = true;
        record->reported_draining_until_us = now_us + DRAINING_TTL_US;
        break;
    case REPORT_FAILED:
        vm_health_record_failure(&record->health);
        break;
    case REPORT_SHED:
    case REPORT_BUSY:
        break;
    case REPORT_UNREACHABLE:
        record->unreachable_until_us = now_us + UNREACHABLE_TTL_US;
        break;
    case REPORT_CANCELLED:
        vm_health_record_cancel(&record->health, latency_us, mean_us, now_us);
        break;
    }
}

/// Updates reachability: any response, also a refusal, shows that the VM can
/// be reached.
static void
record_reachability(const picker_t *picker, vm_record_t *record,
                    attempt_report_t report)
{
    bool was_unreachable = record->unreachable;
    if (report == REPORT_UNREACHABLE) {
        record->unreachable = true;
    }
    else if (report != REPORT_FAILED && report != REPORT_CANCELLED) {
        record->unreachable = false;
        record->unreachable_until_us = 0;
        if (report != REPORT_DRAINING) {
            record->reported_draining = false;
            record->reported_draining_until_us = 0;
        }
    }
    if (record->unreachable != was_unreachable) {
        notify_vm_change(picker, record, clock_now_us(picker->clock));
    }
}

static void
end_probe(picker_t *picker, vm_record_t *record, uint64_t kind,
          attempt_report_t report, int64_t latency_us)
{
    double mean_us = kind_latency_mean_us(picker->latencies, kind);
    bool succeeded = report == REPORT_ANSWERED &&
                     (double)latency_us <= PROBE_LATENCY_RATIO_MAX * mean_us;
    int64_t now_us = clock_now_us(picker->clock);
    bool was_ejected = record->health.ejected;
    vm_health_end_probe(&record->health, succeeded, now_us);
    if (was_ejected != record->health.ejected) {
        notify_vm_change(picker, record, now_us);
    }
}

/// Records the end of an attempt that picker_pick() began.
///
/// @param latency_us  time from sending the request to its response
/// @param load        load that the guard reported, or NULL
void
picker_report(picker_t *picker, vm_handle_t vm, uint64_t kind,
              attempt_report_t report, int64_t latency_us,
              const guard_load_t *load)
{
    vm_record_t *record = find_vm(picker, vm);
    if (record == NULL) {
        return;
    }
    double mean_us = kind_latency_mean_us(picker->latencies, kind);
    record->outstanding_expected_us -=
        mean_us == 0 ? DEFAULT_LATENCY_US : mean_us;
    if (record->health.outstanding > 0) {
        record->health.outstanding--;
    }
    if (record->health.outstanding == 0 || record->outstanding_expected_us < 0)
    {
        record->outstanding_expected_us = 0;
    }
    if (load != NULL) {
        record_load(picker, record, report, load);
    }
    record_outcome(picker, record, kind, report, latency_us);
    record_reachability(picker, record, report);
    int64_t sent_us = clock_now_us(picker->clock) - latency_us;
    if (vm_health_is_probe(&record->health, sent_us)) {
        end_probe(picker, record, kind, report, latency_us);
    }
    eject_if_unhealthy(picker, record);
}

/// Returns whether a VM may have a free slot. Its last report isn't asked: it
/// is old when it matters, and a guard that is full says so.
static bool
may_have_room(const picker_t *picker, const vm_record_t *record)
{
    int64_t now_us = clock_now_us(picker->clock);
    if (record->draining || record->health.ejected ||
        now_us < record->unreachable_until_us ||
        now_us < record->reported_draining_until_us ||
        vm_health_is_overloaded(&record->health, now_us))
    {
        return false;
    }
    double limit = record->load.limit > 0 ? record->load.limit : DEFAULT_LIMIT;
    return record->health.outstanding < limit;
}

/// Returns whether an attempt at @p vm may be refused if it would have to wait
/// there, because another untried VM may take it at once. An old report makes
/// a VM everybody's choice or nobody's; the guard knows better, and a refusal
/// by it costs one hop.
bool
picker_may_choose_again(const picker_t *picker, const char *service_name,
                        const vm_handle_t *tried, uint32_t tried_count,
                        vm_handle_t vm)
{
    const service_record_t *service =
        g_hash_table_lookup(picker->services, service_name);
    if (service == NULL || !is_enabled(picker, PICKER_FEATURE_REDIRECTS) ||
        is_overloaded(service, clock_now_us(picker->clock)))
    {
        return false;
    }
    for (guint i = 0; i < service->subset->len; i++) {
        vm_handle_t other = g_array_index(service->subset, vm_handle_t, i);
        const vm_record_t *record = find_vm(picker, other);
        if (other != vm && record != NULL &&
            !was_tried(other, tried, tried_count) &&
            may_have_room(picker, record))
        {
            return true;
        }
    }
    return false;
}

/// Returns the highest pressure that a VM of the service reported lately, in
/// thousandths. It is for requests that are refused at this sender: they never
/// reach a guard, so no response reports the pressure.
uint32_t
picker_pressure(const picker_t *picker, const char *service_name)
{
    const service_record_t *service =
        g_hash_table_lookup(picker->services, service_name);
    int64_t since_us = clock_now_us(picker->clock) - PRESSURE_TTL_US;
    uint32_t pressure = 0;
    for (guint i = 0; service != NULL && i < service->subset->len; i++) {
        const vm_record_t *record =
            find_vm(picker, g_array_index(service->subset, vm_handle_t, i));
        if (record != NULL &&
            record->load_expires_us - LOAD_REPORT_TTL_US > since_us) {
            pressure = MAX(pressure, record->load.pressure);
        }
    }
    return pressure;
}

/// Returns the time in which most requests of the kind get their response, by
/// the recent latencies; 0 if there are none.
int64_t
picker_latency_upper_us(const picker_t *picker, uint64_t kind)
{
    return (int64_t)kind_latency_upper_us(picker->latencies, kind);
}

/// Returns the time in which all requests of a kind get their response, by
/// those that were timed; 0 if none was.
int64_t
picker_latency_bound_us(const picker_t *picker, uint64_t kind)
{
    return kind_latency_bound_us(picker->latencies, kind);
}

/// Returns the delay after which to send a hedge, by the recent latencies of
/// the kind; 0 means no hedge.
int64_t
picker_hedge_delay_us(const picker_t *picker, uint64_t kind)
{
    return is_enabled(picker, PICKER_FEATURE_HEDGING)
               ? kind_latency_hedge_delay_us(picker->latencies, kind,
                                             clock_now_us(picker->clock))
               : 0;
}
