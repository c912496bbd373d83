/// @file
/// Choice of the VM for each attempt: two random choices by expected time
/// among the VMs of a bounded subset, and the simpler rules it is compared
/// with.

#include "ibisfield/routing/picker.h"

#include <math.h>

#include "ibisfield/routing/shed_hint.h"
#include "ibisfield/routing/subset.h"
#include "ibisfield/routing/vm_health.h"

#define SUBSET_SIZE_DEFAULT 12
/// A load report loses its meaning within this time.
#define LOAD_LIFE_US (500 * US_PER_MS)
/// A reported pressure stands for requests held back here for this time; one
/// in SHED_PROBE_ONE_IN of them brings a new report.
#define PRESSURE_LIFE_US (2 * US_PER_S)
/// One in this many requests is sent although all candidates shed its worth,
/// so that the end of the shedding is seen.
#define SHED_PROBE_ONE_IN 32
/// Kinds without a learned latency are taken to need this long.
#define LATENCY_UNKNOWN_US (10.0 * US_PER_MS)
/// Attempts in flight that double the expected time, if the VM reported no
/// limit.
#define LIMIT_UNKNOWN 100.0
/// How long a VM that answered "leaving" is avoided although its list item
/// says that it is live. Its node may be restarted within seconds, and asking
/// one that isn't costs a hop: a refused attempt goes elsewhere at once.
#define LEAVING_LIFE_US (500 * US_PER_MS)
/// How long a VM to which no connection could be opened is avoided. A cut
/// between data centres takes away most VMs of a service at once, so this has
/// no bound by the number of VMs as ejection has.
#define UNREACHABLE_LIFE_US US_PER_S
/// After either time one attempt tries; the others wait this long for its
/// result.
#define TRIAL_US (400 * US_PER_MS)
/// Weight of an attempt in a share: a mean age of 10 attempts.
#define SHARE_WEIGHT 0.1
/// A share halves in this time, so that a VM that got no attempts for it is
/// tried again; a share below SHARE_MIN is none.
#define SHARE_HALF_LIFE_US US_PER_S
#define SHARE_MIN 0.05
/// An upstream that sheds at once looks idle and would get more than its part.
/// All of its attempts shed count like this many times the usual latency.
#define SHED_COST 10.0
/// A VM of which this share fails is ejected, unless those beside it fail half
/// as often: then the cause lies further down.
#define FAILED_EJECT 0.35
#define FAILED_OTHERS 0.5
#define PROBE_DELAY_PER_WORTH_US (5 * US_PER_MS)
/// How long a refusal shows that a service is overloaded.
#define OVERLOAD_LIFE_US (500 * US_PER_MS)
/// A probe succeeds when it takes at most this many mean latencies.
#define PROBE_GOOD_RATIO 3.0

typedef struct service_entry service_entry_t;

/// Share of the recent attempts at a VM that ended in some way.
typedef struct {
    double value; ///< 0 to 1
    int64_t updated_us;
} share_t;

typedef struct {
    char *name;              ///< NULL: the handle is free
    const char *data_centre; ///< interned
    service_entry_t *service;
    bool draining;
    bool said_leaving; ///< and wasn't seen to take work since
    int64_t said_leaving_until_us;
    bool unreachable;
    int64_t unreachable_until_us;
    share_t failed; ///< attempts that failed or were shed
    share_t sheds;  ///< attempts that the upstream shed
    vm_health_t health;
    guard_load_t load;
    int64_t load_until_us;
    shed_hint_t shed;
    refused_kinds_t refused;
    double expected_us; ///< of the attempts outstanding
} vm_entry_t;

struct service_entry {
    char *name;
    GArray *vms;             ///< of vm_handle_t: all listed
    GArray *subset;          ///< of vm_handle_t: in use
    bool changed;            ///< the subset is out of date
    uint32_t next;           ///< round robin
    int64_t last_refusal_us; ///< last refusal for overload by any VM
};

static vm_entry_t *
vm_at(const picker_t *picker, vm_handle_t vm)
{
    if (vm >= picker->vms->len) {
        return NULL;
    }
    vm_entry_t *entry = &g_array_index(picker->vms, vm_entry_t, vm);
    return entry->name == NULL ? NULL : entry;
}

static bool
is_on(const picker_t *picker, picker_feature_t rule)
{
    return picker->options.policy == LB_IBISFIELD &&
           (picker->options.disabled_features & rule) == 0;
}

static void
free_service(gpointer data)
{
    service_entry_t *service = data;
    g_array_free(service->vms, TRUE);
    g_array_free(service->subset, TRUE);
    g_free(service->name);
    g_free(service);
}

static service_entry_t *
service_for(picker_t *picker, const char *name)
{
    service_entry_t *service = g_hash_table_lookup(picker->services, name);
    if (service == NULL) {
        service = g_new0(service_entry_t, 1);
        service->name = g_strdup(name);
        service->last_refusal_us = INT64_MIN / 2;
        service->vms = g_array_new(FALSE, FALSE, sizeof(vm_handle_t));
        service->subset = g_array_new(FALSE, FALSE, sizeof(vm_handle_t));
        g_hash_table_insert(picker->services, service->name, service);
    }
    return service;
}

static void
leave_service(const vm_entry_t *entry, vm_handle_t vm)
{
    GArray *vms = entry->service->vms;
    entry->service->changed = true;
    for (guint i = 0; i < vms->len; i++) {
        if (g_array_index(vms, vm_handle_t, i) == vm) {
            g_array_remove_index_fast(vms, i);
            return;
        }
    }
}

static vm_handle_t
new_handle(picker_t *picker)
{
    GArray *free_handles = picker->free_handles;
    if (free_handles->len > 0) {
        vm_handle_t handle =
            g_array_index(free_handles, vm_handle_t, free_handles->len - 1);
        g_array_set_size(free_handles, free_handles->len - 1);
        return handle;
    }
    vm_entry_t none = {0};
    g_array_append_val(picker->vms, none);
    return picker->vms->len - 1;
}

static void
update_subset(picker_t *picker, service_entry_t *service)
{
    subset_member_t *members = g_new(subset_member_t, service->vms->len + 1);
    uint32_t count = 0;
    for (guint i = 0; i < service->vms->len; i++) {
        vm_handle_t vm = g_array_index(service->vms, vm_handle_t, i);
        const vm_entry_t *entry = vm_at(picker, vm);
        if (!entry->draining) {
            members[count++] = (subset_member_t){
                .name_hash = subset_name_hash(entry->name),
                .vm = vm,
                .local = entry->data_centre == picker->own_data_centre,
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
    service->changed = false;
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

/// VMs that a choice may take although something speaks against them.
typedef enum {
    WITH_EJECTED = 1,
    WITH_LEAVING = 2,     ///< their guard said so
    WITH_UNREACHABLE = 4, ///< no connection lately
} collect_t;

/// Collects the VMs of the subset that may be used, with those that @p with
/// (collect_t bits) names.
static void
collect(picker_t *picker, const service_entry_t *service,
        const vm_handle_t *tried, uint32_t tried_count, unsigned int with)
{
    int64_t now_us = clock_now_us(picker->clock);
    g_array_set_size(picker->candidates, 0);
    for (guint i = 0; i < service->subset->len; i++) {
        vm_handle_t vm = g_array_index(service->subset, vm_handle_t, i);
        const vm_entry_t *entry = vm_at(picker, vm);
        if (((with & WITH_LEAVING) != 0 ||
             now_us >= entry->said_leaving_until_us) &&
            ((with & WITH_UNREACHABLE) != 0 ||
             now_us >= entry->unreachable_until_us) &&
            ((with & WITH_EJECTED) != 0 || !entry->health.ejected) &&
            !was_tried(vm, tried, tried_count))
        {
            g_array_append_val(picker->candidates, vm);
        }
    }
}

static double
share_now(const share_t *share, int64_t now_us)
{
    double age_us = (double)MAX(now_us - share->updated_us, 0);
    double value = share->value * exp2(-age_us / SHARE_HALF_LIFE_US);
    return value < SHARE_MIN ? 0 : value;
}

static void
share_learn(share_t *share, bool counts, int64_t now_us)
{
    double age_us = (double)MAX(now_us - share->updated_us, 0);
    double value = share->value * exp2(-age_us / SHARE_HALF_LIFE_US);
    share->value = value + SHARE_WEIGHT * ((counts ? 1 : 0) - value);
    share->updated_us = now_us;
}

/// Time to an answer of the VM, for a kind that usually needs @p latency_us.
static double
expected_time(const picker_t *picker, vm_handle_t vm, double latency_us)
{
    int64_t now_us = clock_now_us(picker->clock);
    const vm_entry_t *entry = vm_at(picker, vm);
    double limit = LIMIT_UNKNOWN;
    double wait_us = 0;
    if (is_on(picker, PICKER_FEATURE_LOAD_REPORTS) &&
        now_us < entry->load_until_us && entry->load.limit > 0)
    {
        limit = entry->load.limit;
        double freshness =
            (double)(entry->load_until_us - now_us) / LOAD_LIFE_US;
        wait_us =
            freshness * entry->load.queue * entry->load.service_us / limit;
    }
    // Under overload every queue is full and what counts is to spread evenly.
    bool overloaded = vm_health_is_overloaded(&entry->health, now_us);
    double crowd = 1 + entry->health.outstanding / (overloaded ? 1.0 : limit);
    double own_us = latency_us * vm_health_slowness(&entry->health, now_us) *
                    crowd * (1 + SHED_COST * share_now(&entry->sheds, now_us));
    if (is_on(picker, PICKER_FEATURE_SLOW_START)) {
        own_us *= vm_health_slow_start_factor(&entry->health, now_us);
    }
    bool near = entry->data_centre == picker->own_data_centre;
    return own_us + wait_us + (near ? 0 : picker->options.remote_cost_us);
}

static vm_handle_t
candidate(const picker_t *picker, guint index)
{
    return g_array_index(picker->candidates, vm_handle_t, index);
}

static guint
random_index(picker_t *picker, guint count)
{
    return (guint)g_rand_int_range(picker->random, 0, (gint32)count);
}

/// A random candidate of the own data centre, or of all if there is none. Work
/// that stays near costs no bytes between data centres, and the second choice
/// still takes it elsewhere where it is slower.
static guint
first_choice(picker_t *picker)
{
    guint count = picker->candidates->len;
    guint start = random_index(picker, count);
    for (guint i = 0; i < count; i++) {
        guint index = (start + i) % count;
        if (vm_at(picker, candidate(picker, index))->data_centre ==
            picker->own_data_centre)
        {
            return index;
        }
    }
    return start;
}

static vm_handle_t
choose_of_two(picker_t *picker, double latency_us)
{
    guint count = picker->candidates->len;
    guint first = first_choice(picker);
    if (count == 1) {
        return candidate(picker, first);
    }
    guint second = random_index(picker, count - 1);
    second += second >= first ? 1 : 0;
    vm_handle_t a = candidate(picker, first);
    vm_handle_t b = candidate(picker, second);
    return expected_time(picker, b, latency_us) <
                   expected_time(picker, a, latency_us)
               ? b
               : a;
}

static double
outstanding_of(const picker_t *picker, vm_handle_t vm)
{
    const vm_entry_t *entry = vm_at(picker, vm);
    return picker->options.policy == LB_LEAST_CONNECTIONS
               ? entry->health.outstanding
               : entry->expected_us;
}

/// The candidate with the least outstanding attempts or execution time; the
/// search starts at a random one, so that equals share.
static vm_handle_t
choose_least(picker_t *picker)
{
    guint count = picker->candidates->len;
    guint start = random_index(picker, count);
    vm_handle_t best = candidate(picker, start);
    for (guint i = 1; i < count; i++) {
        vm_handle_t vm = candidate(picker, (start + i) % count);
        if (outstanding_of(picker, vm) < outstanding_of(picker, best)) {
            best = vm;
        }
    }
    return best;
}

static vm_handle_t
choose(picker_t *picker, service_entry_t *service, double latency_us)
{
    guint count = picker->candidates->len;
    switch (picker->options.policy) {
    case LB_RANDOM:
        return candidate(picker, random_index(picker, count));
    case LB_ROUND_ROBIN:
        return candidate(picker, service->next++ % count);
    case LB_LEAST_CONNECTIONS:
    case LB_LEAST_EXECUTION_TIME:
        return choose_least(picker);
    default:
        return choose_of_two(picker, latency_us);
    }
}

/// Whether every candidate sheds the request. A first attempt is held back
/// only by the minimum worth, because a kind may be refused in part; another
/// attempt also by a recent refusal of the same kind.
static bool
all_shed(picker_t *picker, uint64_t kind, int32_t worth, bool first)
{
    if (!is_on(picker, PICKER_FEATURE_SHED_HINTS)) {
        return false;
    }
    int64_t now_us = clock_now_us(picker->clock);
    for (guint i = 0; i < picker->candidates->len; i++) {
        const vm_entry_t *entry = vm_at(picker, candidate(picker, i));
        if (!shed_hint_blocks(&entry->shed, worth, now_us) &&
            (first || !refused_kinds_contains(&entry->refused, kind, now_us)))
        {
            return false;
        }
    }
    return random_index(picker, SHED_PROBE_ONE_IN) != 0;
}

/// A VM whose probe is due, VM_NONE if there is none. The higher the worth,
/// the later it probes, so that requests of low worth take the risk.
static vm_handle_t
probe_due(const picker_t *picker, const service_entry_t *service,
          int32_t worth)
{
    int64_t now_us =
        clock_now_us(picker->clock) - worth * PROBE_DELAY_PER_WORTH_US;
    for (guint i = 0; i < service->subset->len; i++) {
        vm_handle_t vm = g_array_index(service->subset, vm_handle_t, i);
        if (vm_health_is_probe_due(&vm_at(picker, vm)->health, now_us)) {
            return vm;
        }
    }
    return VM_NONE;
}

static void
count_pick(picker_t *picker, vm_handle_t vm, double latency_us)
{
    vm_entry_t *entry = vm_at(picker, vm);
    vm_health_record_pick(&entry->health, clock_now_us(picker->clock));
    int64_t trial_end_us = clock_now_us(picker->clock) + TRIAL_US;
    if (entry->unreachable) {
        entry->unreachable_until_us = trial_end_us;
    }
    if (entry->said_leaving) {
        entry->said_leaving_until_us = trial_end_us;
    }
    entry->expected_us += latency_us;
}

/// Initialises a picker without VMs.
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
        .vms = g_array_new(FALSE, FALSE, sizeof(vm_entry_t)),
        .free_handles = g_array_new(FALSE, FALSE, sizeof(vm_handle_t)),
        .by_name = g_hash_table_new(g_str_hash, g_str_equal),
        .services =
            g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_service),
        .candidates = g_array_new(FALSE, FALSE, sizeof(vm_handle_t)),
        .latencies = g_new0(kind_latencies_t, 1),
        .random = g_rand_new_with_seed(options->seed),
    };
}

/// Releases the picker.
void
picker_finish(picker_t *picker)
{
    for (guint i = 0; i < picker->vms->len; i++) {
        g_free(g_array_index(picker->vms, vm_entry_t, i).name);
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
is_same_vm(const vm_entry_t *entry, const picker_vm_t *vm)
{
    return g_str_equal(entry->service->name, vm->service) &&
           g_str_equal(entry->data_centre, vm->data_centre);
}

static vm_handle_t
add_vm(picker_t *picker, const picker_vm_t *vm)
{
    vm_handle_t handle = new_handle(picker);
    vm_entry_t *entry = &g_array_index(picker->vms, vm_entry_t, handle);
    *entry = (vm_entry_t){
        .name = g_strdup(vm->vm),
        .data_centre = g_intern_string(vm->data_centre),
        .service = service_for(picker, vm->service),
        .draining = vm->draining,
    };
    vm_health_init(&entry->health, clock_now_us(picker->clock));
    g_hash_table_insert(picker->by_name, entry->name,
                        GUINT_TO_POINTER(handle + 1));
    g_array_append_val(entry->service->vms, handle);
    entry->service->changed = true;
    return handle;
}

/// Adds or updates a VM of the published list; returns its handle, which is
/// stable while the VM is listed.
vm_handle_t
picker_set_vm(picker_t *picker, const picker_vm_t *vm)
{
    vm_handle_t handle =
        GPOINTER_TO_UINT(g_hash_table_lookup(picker->by_name, vm->vm)) - 1;
    vm_entry_t *known = vm_at(picker, handle);
    if (known == NULL) {
        return add_vm(picker, vm);
    }
    if (!is_same_vm(known, vm)) {
        picker_remove_vm(picker, vm->vm);
        return add_vm(picker, vm);
    }
    if (known->draining != vm->draining) {
        known->draining = vm->draining;
        known->service->changed = true;
    }
    return handle;
}

/// Removes a VM; its handle is invalid afterwards. The handle of a VM with
/// attempts outstanding isn't used again, because their reports still come.
void
picker_remove_vm(picker_t *picker, const char *vm)
{
    vm_handle_t handle =
        GPOINTER_TO_UINT(g_hash_table_lookup(picker->by_name, vm)) - 1;
    vm_entry_t *entry = vm_at(picker, handle);
    if (entry == NULL) {
        return;
    }
    bool idle = entry->health.outstanding == 0;
    g_hash_table_remove(picker->by_name, vm);
    leave_service(entry, handle);
    g_free(entry->name);
    *entry = (vm_entry_t){0};
    if (idle) {
        g_array_append_val(picker->free_handles, handle);
    }
}

/// Returns the VM's name, NULL if the handle names no VM.
const char *
picker_vm_name(const picker_t *picker, vm_handle_t vm)
{
    const vm_entry_t *entry = vm_at(picker, vm);
    return entry == NULL ? NULL : entry->name;
}

/// Collects untried healthy VMs, else untried ones that the fewest objections
/// speak against, else any.
static void
collect_best(picker_t *picker, service_entry_t *service,
             const vm_handle_t *tried, uint32_t tried_count)
{
    if (service->changed) {
        update_subset(picker, service);
    }
    static const unsigned int allowed[] = {
        0,
        WITH_EJECTED,
        // In a rolling replacement a VM that said "leaving" is often back long
        // before this is forgotten, and its guard refuses as long as it isn't.
        WITH_EJECTED | WITH_LEAVING,
        WITH_EJECTED | WITH_LEAVING | WITH_UNREACHABLE,
    };
    for (size_t i = 0; i < G_N_ELEMENTS(allowed); i++) {
        collect(picker, service, tried, tried_count, allowed[i]);
        if (picker->candidates->len > 0) {
            return;
        }
    }
    collect(picker, service, NULL, 0, allowed[G_N_ELEMENTS(allowed) - 1]);
}

/// Chooses a VM for one attempt and counts it as in flight there. @p tried
/// lists VMs to avoid if another is usable. @p kind is a hash of customer and
/// kind name.
pick_result_t
picker_pick(picker_t *picker, const char *service_name, uint64_t kind,
            int32_t worth, const vm_handle_t *tried, uint32_t tried_count,
            vm_handle_t *vm)
{
    service_entry_t *service =
        g_hash_table_lookup(picker->services, service_name);
    if (service == NULL) {
        return PICK_NO_UPSTREAM;
    }
    collect_best(picker, service, tried, tried_count);
    if (picker->candidates->len == 0) {
        return PICK_NO_UPSTREAM;
    }
    if (all_shed(picker, kind, worth, tried_count == 0)) {
        return PICK_SHED;
    }
    double latency_us = kind_latency_mean_us(picker->latencies, kind);
    if (latency_us == 0) {
        latency_us = LATENCY_UNKNOWN_US;
    }
    // A probe that fails must leave a chance for another attempt elsewhere.
    vm_handle_t probe =
        tried_count == 0 ? probe_due(picker, service, worth) : VM_NONE;
    if (probe != VM_NONE) {
        vm_health_start_probe(&vm_at(picker, probe)->health,
                              clock_now_us(picker->clock));
        *vm = probe;
    }
    else {
        *vm = choose(picker, service, latency_us);
    }
    count_pick(picker, *vm, latency_us);
    return PICK_OK;
}

/// Whether any VM of the service refused lately. Latencies then show the
/// queues, and taking a VM out would add to the overload of the others.
static bool
is_overloaded(const service_entry_t *service, int64_t now_us)
{
    return now_us - service->last_refusal_us < OVERLOAD_LIFE_US;
}

static void
tell_change(const picker_t *picker, const vm_entry_t *entry, int64_t now_us)
{
    if (picker->options.on_vm_change == NULL) {
        return;
    }
    picker->options.on_vm_change(
        picker->options.context,
        &(picker_vm_state_t){
            .vm = entry->name,
            .service = entry->service->name,
            .ejected = entry->health.ejected,
            .unreachable = entry->unreachable,
            .consecutive_failures = entry->health.consecutive_failures,
            .slowness = vm_health_slowness(&entry->health, now_us),
        });
}

/// Ejects the VM if it is bad and no more than half of the subset is ejected.
static void
check_health(picker_t *picker, vm_entry_t *entry)
{
    if (!is_on(picker, PICKER_FEATURE_EJECTION) || entry->health.ejected) {
        return;
    }
    int64_t now_us = clock_now_us(picker->clock);
    const GArray *subset = entry->service->subset;
    double best = vm_health_slowness(&entry->health, now_us);
    double failed = share_now(&entry->failed, now_us);
    double least_failed = failed;
    uint32_t ejected = 0;
    for (guint i = 0; i < subset->len; i++) {
        const vm_entry_t *other =
            vm_at(picker, g_array_index(subset, vm_handle_t, i));
        if (other == NULL) {
            continue;
        }
        ejected += other->health.ejected ? 1 : 0;
        if (!other->health.ejected) {
            best = MIN(best, vm_health_slowness(&other->health, now_us));
            least_failed =
                MIN(least_failed, share_now(&other->failed, now_us));
        }
    }
    if (2 * (ejected + 1) <= subset->len &&
        (vm_health_is_failing(&entry->health) ||
         (failed > FAILED_EJECT && least_failed < FAILED_OTHERS * failed) ||
         (!is_overloaded(entry->service, now_us) &&
          vm_health_is_slow(&entry->health, best, now_us))))
    {
        vm_health_eject(&entry->health, now_us);
        tell_change(picker, entry, now_us);
    }
}

/// Notes a load report. The minimum worth counts only together with a refusal:
/// a report that lags would otherwise hold back what the VM takes again.
static void
note_load(picker_t *picker, vm_entry_t *entry, attempt_report_t report,
          const guard_load_t *load)
{
    int64_t now_us = clock_now_us(picker->clock);
    entry->load = *load;
    entry->load_until_us = now_us + LOAD_LIFE_US;
    if (report == REPORT_REFUSED) {
        shed_hint_update(&entry->shed, load->min_worth, now_us);
    }
}

static void
learn(picker_t *picker, vm_entry_t *entry, uint64_t kind,
      attempt_report_t report, int64_t latency_us)
{
    int64_t now_us = clock_now_us(picker->clock);
    double mean_us = kind_latency_mean_us(picker->latencies, kind);
    if (report == REPORT_ANSWERED || report == REPORT_FAILED ||
        report == REPORT_SHED)
    {
        share_learn(&entry->sheds, report == REPORT_SHED, now_us);
        share_learn(&entry->failed, report != REPORT_ANSWERED, now_us);
    }
    switch (report) {
    case REPORT_ANSWERED:
        vm_health_record_response(&entry->health, latency_us, mean_us, now_us);
        if (!entry->health.ejected) {
            kind_latency_record(picker->latencies, kind, latency_us);
        }
        break;
    case REPORT_REFUSED:
        kind_latency_record_refusal(picker->latencies, kind, now_us);
        vm_health_record_refusal(&entry->health, now_us);
        refused_kinds_add(&entry->refused, kind, now_us);
        entry->service->last_refusal_us = now_us;
        break;
    case REPORT_DRAINING:
        entry->said_leaving = true;
        entry->said_leaving_until_us = now_us + LEAVING_LIFE_US;
        break;
    case REPORT_FAILED:
        vm_health_record_failure(&entry->health);
        break;
    case REPORT_SHED:
        break;
    case REPORT_UNREACHABLE:
        entry->unreachable_until_us = now_us + UNREACHABLE_LIFE_US;
        break;
    case REPORT_CANCELLED:
        vm_health_record_cancel(&entry->health, latency_us, mean_us, now_us);
        break;
    }
}

/// An answer of any kind shows that the VM can be reached.
static void
note_reach(const picker_t *picker, vm_entry_t *entry, attempt_report_t report)
{
    bool before = entry->unreachable;
    if (report == REPORT_UNREACHABLE) {
        entry->unreachable = true;
    }
    else if (report != REPORT_FAILED && report != REPORT_CANCELLED) {
        entry->unreachable = false;
        entry->unreachable_until_us = 0;
        if (report != REPORT_DRAINING) {
            entry->said_leaving = false;
            entry->said_leaving_until_us = 0;
        }
    }
    if (entry->unreachable != before) {
        tell_change(picker, entry, clock_now_us(picker->clock));
    }
}

static void
end_probe(picker_t *picker, vm_entry_t *entry, uint64_t kind,
          attempt_report_t report, int64_t latency_us)
{
    double mean_us = kind_latency_mean_us(picker->latencies, kind);
    bool good = report == REPORT_ANSWERED &&
                (double)latency_us <= PROBE_GOOD_RATIO * mean_us;
    int64_t now_us = clock_now_us(picker->clock);
    bool was_ejected = entry->health.ejected;
    vm_health_end_probe(&entry->health, good, now_us);
    if (was_ejected != entry->health.ejected) {
        tell_change(picker, entry, now_us);
    }
}

/// Ends an attempt that picker_pick() began. @p latency_us is from send to
/// answer; @p load may be NULL.
void
picker_report(picker_t *picker, vm_handle_t vm, uint64_t kind,
              attempt_report_t report, int64_t latency_us,
              const guard_load_t *load)
{
    vm_entry_t *entry = vm_at(picker, vm);
    if (entry == NULL) {
        return;
    }
    double mean_us = kind_latency_mean_us(picker->latencies, kind);
    entry->expected_us -= mean_us == 0 ? LATENCY_UNKNOWN_US : mean_us;
    if (entry->health.outstanding > 0) {
        entry->health.outstanding--;
    }
    if (entry->health.outstanding == 0 || entry->expected_us < 0) {
        entry->expected_us = 0;
    }
    if (load != NULL) {
        note_load(picker, entry, report, load);
    }
    learn(picker, entry, kind, report, latency_us);
    note_reach(picker, entry, report);
    int64_t sent_us = clock_now_us(picker->clock) - latency_us;
    if (vm_health_is_probe(&entry->health, sent_us)) {
        end_probe(picker, entry, kind, report, latency_us);
    }
    check_health(picker, entry);
}

/// Returns the highest pressure that a VM of the service reported lately, in
/// thousandths. Requests that are held back here never reach a guard, so their
/// way has no other report.
uint32_t
picker_pressure(const picker_t *picker, const char *service_name)
{
    const service_entry_t *service =
        g_hash_table_lookup(picker->services, service_name);
    int64_t since_us = clock_now_us(picker->clock) - PRESSURE_LIFE_US;
    uint32_t pressure = 0;
    for (guint i = 0; service != NULL && i < service->subset->len; i++) {
        const vm_entry_t *entry =
            vm_at(picker, g_array_index(service->subset, vm_handle_t, i));
        if (entry != NULL && entry->load_until_us - LOAD_LIFE_US > since_us) {
            pressure = MAX(pressure, entry->load.pressure);
        }
    }
    return pressure;
}

/// After how long a second attempt is worth its cost, by recent latencies of
/// the kind; 0: don't hedge.
int64_t
picker_hedge_delay_us(const picker_t *picker, uint64_t kind)
{
    return is_on(picker, PICKER_FEATURE_HEDGING)
               ? kind_latency_hedge_delay_us(picker->latencies, kind,
                                             clock_now_us(picker->clock))
               : 0;
}
