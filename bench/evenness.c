/// @file
/// How evenly many senders load the servers of a service when what they know
/// of them is old: the product's picker over a manual clock, with and without
/// the refusal of requests that would have to wait, against simple policies
/// and a sender that knows everything.

#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#include "ibisfield/routing/picker.h"

#define KIND 1
#define WORTH 50
#define SLOTS 40
#define SERVICE_US (100.0 * US_PER_MS)
#define HOP_US ((int64_t)500)
#define WARM_UP_US (5 * US_PER_S)
#define MEASURED_US (20 * US_PER_S)
#define HISTORY_STEP_US (10 * US_PER_MS)
#define HISTORY_STEPS 256
#define REDIRECTS_MAX 2
/// Speeds of the servers, in turn; a slow one takes longer for each request.
static const double speeds[] = {0.7, 0.7, 1.7, 1.0};

typedef enum { KNOWS_ALL, PICKS, PICKS_AND_REDIRECTS } choice_t;

typedef struct {
    const char *name;
    choice_t choice;
    lb_policy_t policy;
} policy_t;

typedef struct {
    uint32_t senders;
    uint32_t servers;
    double load;
    int64_t report_age_us;
} setup_t;

typedef struct {
    uint32_t sender;
    uint32_t server;
    int64_t sent_us;
    int64_t arrived_us; ///< at the server that runs it
    int64_t started_us;
    uint32_t redirects;
} request_t;

typedef struct {
    double speed;
    uint32_t in_flight;
    GQueue waiting; ///< of request_t
    double busy_us; ///< integral of in_flight
    int64_t changed_us;
    uint16_t history_in_flight[HISTORY_STEPS];
    uint16_t history_queue[HISTORY_STEPS];
} server_t;

/// A pending completion.
typedef struct {
    int64_t at_us;
    request_t *request;
} completion_t;

static struct {
    setup_t setup;
    policy_t policy;
    manual_clock_t clock;
    GRand *random;
    picker_t *pickers;
    server_t *servers;
    vm_handle_t *handles; ///< of the servers; the same in each picker
    GArray *heap;         ///< completion_t, a binary heap by time
    GArray *waits_us;
    uint32_t waiting;
    double misplaced_us; ///< time in which requests wait beside free slots
    double served;
    uint64_t redirects;
} sim;

static void
heap_push(int64_t at_us, request_t *request)
{
    completion_t added = {at_us, request};
    g_array_append_val(sim.heap, added);
    completion_t *heap = (completion_t *)(void *)sim.heap->data;
    for (guint i = sim.heap->len - 1;
         i > 0 && heap[(i - 1) / 2].at_us > heap[i].at_us; i = (i - 1) / 2)
    {
        completion_t parent = heap[(i - 1) / 2];
        heap[(i - 1) / 2] = heap[i];
        heap[i] = parent;
    }
}

static completion_t
heap_pop(void)
{
    completion_t *heap = (completion_t *)(void *)sim.heap->data;
    completion_t first = heap[0];
    guint count = sim.heap->len - 1;
    heap[0] = heap[count];
    g_array_set_size(sim.heap, count);
    for (guint i = 0; 2 * i + 1 < count;) {
        guint child = 2 * i + 1;
        child += child + 1 < count && heap[child + 1].at_us < heap[child].at_us
                     ? 1
                     : 0;
        if (heap[i].at_us <= heap[child].at_us) {
            break;
        }
        completion_t moved = heap[i];
        heap[i] = heap[child];
        heap[child] = moved;
        i = child;
    }
    return first;
}

static bool
is_measuring(void)
{
    return sim.clock.now_us >= WARM_UP_US;
}

/// Moves the clock, and counts the time of requests that wait at a server
/// while another one has a free slot.
static void
advance_to(int64_t at_us)
{
    int64_t step_us = at_us - sim.clock.now_us;
    if (sim.waiting > 0 && is_measuring()) {
        uint32_t free_slots = 0;
        for (uint32_t i = 0; i < sim.setup.servers; i++) {
            free_slots += SLOTS - sim.servers[i].in_flight;
        }
        sim.misplaced_us += (double)step_us * MIN(free_slots, sim.waiting);
    }
    sim.clock.now_us = at_us;
}

static void
change_in_flight(server_t *server, int change)
{
    int64_t now_us = sim.clock.now_us;
    if (is_measuring()) {
        server->busy_us +=
            (double)server->in_flight *
            (double)(now_us - MAX(server->changed_us, WARM_UP_US));
    }
    server->changed_us = now_us;
    server->in_flight += (uint32_t)change;
}

static void
record_history(void)
{
    int64_t step = sim.clock.now_us / HISTORY_STEP_US % HISTORY_STEPS;
    for (uint32_t i = 0; i < sim.setup.servers; i++) {
        server_t *server = &sim.servers[i];
        server->history_in_flight[step] = (uint16_t)server->in_flight;
        server->history_queue[step] = (uint16_t)server->waiting.length;
    }
}

/// Returns the load that the server had @p report_age_us ago.
static guard_load_t
old_load(const server_t *server)
{
    int64_t at_us = MAX(sim.clock.now_us - sim.setup.report_age_us, 0);
    int64_t step = at_us / HISTORY_STEP_US % HISTORY_STEPS;
    return (guard_load_t){
        .in_flight = server->history_in_flight[step],
        .limit = SLOTS,
        .queue = server->history_queue[step],
        .service_us = (uint32_t)(SERVICE_US / server->speed),
    };
}

static void
start_request(request_t *request)
{
    server_t *server = &sim.servers[request->server];
    change_in_flight(server, 1);
    request->started_us = sim.clock.now_us;
    double service_us =
        -SERVICE_US / server->speed * log(1 - g_rand_double(sim.random));
    heap_push(sim.clock.now_us + (int64_t)service_us + 1, request);
}

static uint32_t
choose_knowing_all(void)
{
    uint32_t best = 0;
    double best_score = -INFINITY;
    uint32_t start =
        (uint32_t)g_rand_int_range(sim.random, 0, (gint32)sim.setup.servers);
    for (uint32_t i = 0; i < sim.setup.servers; i++) {
        uint32_t index = (start + i) % sim.setup.servers;
        const server_t *server = &sim.servers[index];
        double score = server->speed * ((double)SLOTS - server->in_flight -
                                        (double)server->waiting.length);
        if (score > best_score) {
            best = index;
            best_score = score;
        }
    }
    return best;
}

static uint32_t
server_of(vm_handle_t vm)
{
    for (uint32_t i = 0; i < sim.setup.servers; i++) {
        if (sim.handles[i] == vm) {
            return i;
        }
    }
    abort();
}

/// Chooses the server of a request; with redirects, as long as the server
/// would let it wait and the sender may choose again.
static void
place(request_t *request)
{
    picker_t *picker = &sim.pickers[request->sender];
    vm_handle_t tried[REDIRECTS_MAX + 1];
    for (;;) {
        vm_handle_t vm = VM_NONE;
        if (request->redirects == REDIRECTS_MAX) {
            vm = picker_pick_among(picker, KIND, tried, request->redirects);
        }
        else {
            picker_pick(picker, "s", KIND, WORTH, tried, request->redirects,
                        &vm);
        }
        request->server = server_of(vm);
        const server_t *server = &sim.servers[request->server];
        bool may_redirect = sim.policy.choice == PICKS_AND_REDIRECTS &&
                            request->redirects < REDIRECTS_MAX &&
                            picker_may_choose_again(picker, "s", tried,
                                                    request->redirects, vm);
        if (!may_redirect || server->in_flight < SLOTS) {
            return;
        }
        tried[request->redirects++] = vm;
        guard_load_t load = {.in_flight = server->in_flight,
                             .limit = SLOTS,
                             .queue = server->waiting.length,
                             .service_us =
                                 (uint32_t)(SERVICE_US / server->speed)};
        picker_report(picker, vm, KIND, REPORT_BUSY, 2 * HOP_US, &load);
        sim.redirects += is_measuring() ? 1 : 0;
    }
}

static void
send_request(void)
{
    request_t *request = g_new0(request_t, 1);
    request->sender =
        (uint32_t)g_rand_int_range(sim.random, 0, (gint32)sim.setup.senders);
    request->sent_us = sim.clock.now_us;
    if (sim.policy.choice == KNOWS_ALL) {
        request->server = choose_knowing_all();
    }
    else {
        place(request);
    }
    server_t *server = &sim.servers[request->server];
    if (server->in_flight < SLOTS) {
        start_request(request);
    }
    else {
        g_queue_push_tail(&server->waiting, request);
        sim.waiting++;
    }
}

static void
complete(request_t *request)
{
    server_t *server = &sim.servers[request->server];
    change_in_flight(server, -1);
    if (sim.policy.choice != KNOWS_ALL) {
        guard_load_t load = old_load(server);
        picker_report(&sim.pickers[request->sender],
                      sim.handles[request->server], KIND, REPORT_ANSWERED,
                      sim.clock.now_us - request->sent_us + 2 * HOP_US, &load);
    }
    if (is_measuring()) {
        int64_t wait_us = request->started_us - request->sent_us +
                          2 * HOP_US * request->redirects;
        g_array_append_val(sim.waits_us, wait_us);
        sim.served++;
    }
    g_free(request);
    request_t *next = g_queue_pop_head(&server->waiting);
    if (next != NULL) {
        sim.waiting--;
        start_request(next);
    }
}

static void
start(const setup_t *setup, const policy_t *policy)
{
    sim.setup = *setup;
    sim.policy = *policy;
    manual_clock_init(&sim.clock, 1);
    sim.random = g_rand_new_with_seed(1);
    sim.servers = g_new0(server_t, setup->servers);
    sim.handles = g_new0(vm_handle_t, setup->servers);
    sim.pickers = g_new0(picker_t, setup->senders);
    sim.heap = g_array_new(FALSE, FALSE, sizeof(completion_t));
    sim.waits_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
    sim.waiting = 0;
    sim.misplaced_us = 0;
    sim.served = 0;
    sim.redirects = 0;
    for (uint32_t i = 0; i < setup->servers; i++) {
        sim.servers[i].speed = speeds[i % G_N_ELEMENTS(speeds)];
        g_queue_init(&sim.servers[i].waiting);
    }
    for (uint32_t i = 0; i < setup->senders; i++) {
        char sender[16];
        g_snprintf(sender, sizeof(sender), "sender-%u", i);
        picker_init(&sim.pickers[i], &sim.clock.base,
                    &(picker_options_t){.own_vm = sender,
                                        .own_data_centre = "z",
                                        .policy = policy->policy,
                                        .seed = i});
        for (uint32_t j = 0; j < setup->servers; j++) {
            char name[16];
            g_snprintf(name, sizeof(name), "vm-%u", j);
            sim.handles[j] = picker_set_vm(&sim.pickers[i],
                                           &(picker_vm_t){.vm = name,
                                                          .data_centre = "z",
                                                          .service = "s"});
        }
    }
}

static void
stop(void)
{
    while (sim.heap->len > 0) {
        g_free(heap_pop().request);
    }
    for (uint32_t i = 0; i < sim.setup.servers; i++) {
        g_queue_clear_full(&sim.servers[i].waiting, g_free);
    }
    for (uint32_t i = 0; i < sim.setup.senders; i++) {
        picker_finish(&sim.pickers[i]);
    }
    g_free(sim.pickers);
    g_free(sim.servers);
    g_free(sim.handles);
    g_array_free(sim.heap, TRUE);
    g_array_free(sim.waits_us, TRUE);
    g_rand_free(sim.random);
}

static int
compare_waits(const void *a, const void *b)
{
    int64_t left = *(const int64_t *)a;
    int64_t right = *(const int64_t *)b;
    return left < right ? -1 : left > right ? 1 : 0;
}

static double
wait_ms(double quantile)
{
    guint index = (guint)(quantile * (sim.waits_us->len - 1));
    return (double)g_array_index(sim.waits_us, int64_t, index) / US_PER_MS;
}

static void
print_result(void)
{
    double highest = 0;
    double sum = 0;
    for (uint32_t i = 0; i < sim.setup.servers; i++) {
        highest = MAX(highest, sim.servers[i].busy_us);
        sum += sim.servers[i].busy_us;
    }
    qsort(sim.waits_us->data, sim.waits_us->len, sizeof(int64_t),
          compare_waits);
    printf("%5u %4u %4.2f %5.2f  %-22s %8.2f %7.2f %8.2f %6.2f %6.3f\n",
           sim.setup.senders, sim.setup.servers, sim.setup.load,
           (double)sim.setup.report_age_us / US_PER_S, sim.policy.name,
           sim.misplaced_us / US_PER_MS / sim.served, wait_ms(0.5),
           wait_ms(0.99), highest / (sum / sim.setup.servers),
           (double)sim.redirects / sim.served);
}

static void
play(const setup_t *setup, const policy_t *policy)
{
    start(setup, policy);
    double capacity = 0;
    for (uint32_t i = 0; i < setup->servers; i++) {
        capacity += SLOTS * sim.servers[i].speed / SERVICE_US;
    }
    double interval_us = 1 / (setup->load * capacity);
    double next_us = 1;
    int64_t next_history_us = 0;
    while (sim.clock.now_us < WARM_UP_US + MEASURED_US) {
        int64_t completion_us =
            sim.heap->len == 0
                ? INT64_MAX
                : g_array_index(sim.heap, completion_t, 0).at_us;
        int64_t at_us =
            MIN(MIN((int64_t)next_us, completion_us), next_history_us);
        advance_to(MAX(at_us, sim.clock.now_us));
        if (at_us == next_history_us) {
            record_history();
            next_history_us += HISTORY_STEP_US;
        }
        else if (at_us == completion_us) {
            complete(heap_pop().request);
        }
        else {
            send_request();
            next_us -= interval_us * log(1 - g_rand_double(sim.random));
        }
    }
    print_result();
    stop();
}

int
main(int argc, char **argv)
{
    static const policy_t policies[] = {
        {"knows all", KNOWS_ALL, LB_IBISFIELD},
        {"random", PICKS, LB_RANDOM},
        {"least connections", PICKS, LB_LEAST_CONNECTIONS},
        {"best of two", PICKS, LB_IBISFIELD},
        {"best of two, redirects", PICKS_AND_REDIRECTS, LB_IBISFIELD},
    };
    static const double loads[] = {0.7, 0.9, 0.98};
    static const int64_t ages_us[] = {50 * US_PER_MS, 500 * US_PER_MS,
                                      2 * US_PER_S};
    static const uint32_t sizes[][2] = {
        {30, 5}, {100, 20}, {300, 20}, {300, 60}, {1000, 60}};
    (void)argv;
    bool quick = argc > 1;
    printf("senders servers load age_s  policy            misplaced_ms p50_ms "
           "  p99_ms  busiest redirects\n");
    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        for (size_t j = 0; j < G_N_ELEMENTS(loads); j++) {
            for (size_t k = 0; k < G_N_ELEMENTS(ages_us); k++) {
                if (quick && (i != 2 || j != 1)) {
                    continue;
                }
                setup_t setup = {sizes[i][0], sizes[i][1], loads[j],
                                 ages_us[k]};
                for (size_t p = 0; p < G_N_ELEMENTS(policies); p++) {
                    play(&setup, &policies[p]);
                }
            }
        }
    }
    return 0;
}
