/// @file
/// Many senders whose reports are old, and servers and demand that are uneven:
/// requests that wait at one VM while another of the service has a free slot,
/// VMs that turn slow, and demand that moves between data centres. The load:
/// 60 senders, 8 VMs of unlike speed. The full comparison of policies is
/// bench/evenness.c.

#include <math.h>

#include "ibisfield/routing/picker.h"

#include "common/suite.h"

#define SENDERS 60
#define VMS 8
#define SLOTS 20
#define KIND 1
#define STEP_US US_PER_MS
#define SERVICE_US (60 * US_PER_MS)
#define STEPS 12000
#define REPORT_AGE_STEPS 500
#define REQUESTS_MAX 4096
#define REDIRECTS_MAX 2

/// What a play consists of.
typedef struct {
    double speeds[VMS];
    double load; ///< as a part of what all VMs can do at the start
    bool redirects;
    vm_handle_t slowed_vm; ///< turns SLOWED_BY times slower; VM_NONE: none
    int slowed_step;
    vm_handle_t
        local_vms; ///< VMs of the first data centre; VMS: there is one only
    /// The demand of the first data centre, which has half of the senders,
    /// swings by this part of its mean, that of the other one against it.
    double wave;
    int measured_from_step;
} scenario_t;

#define SLOWED_BY 10
/// A twentieth of the mean service time.
#define MISPLACED_MAX_MS 3.0
/// Part of the own slots up to which requests should stay.
#define ROOM_USED 0.8
#define WAVE_STEPS 4000

static const double unlike_speeds[VMS] = {0.7, 0.7, 1.7, 1.0,
                                          0.7, 0.7, 1.7, 1.0};

typedef struct {
    bool active;
    int sender;
    vm_handle_t vm;
    int sent_step;
    int done_step; ///< 0: waits
} sim_request_t;

static struct {
    const scenario_t *scenario;
    manual_clock_t clock;
    GRand *random;
    picker_t pickers[SENDERS];
    sim_request_t requests[REQUESTS_MAX];
    int in_flight[VMS];
    int queue[VMS];
    int old_in_flight[VMS][REPORT_AGE_STEPS];
    int old_queue[VMS][REPORT_AGE_STEPS];
    int step;
    int64_t misplaced_steps;
    int64_t waited_steps;
    int served;
    int sent;
    int sent_to_slowed;
    int sent_away; ///< to a VM of the other data centre
} sim;

static double
speed_of(vm_handle_t vm)
{
    const scenario_t *scenario = sim.scenario;
    bool slowed =
        vm == scenario->slowed_vm && sim.step >= scenario->slowed_step;
    return scenario->speeds[vm] / (slowed ? SLOWED_BY : 1);
}

static bool
is_measured(void)
{
    return sim.step >= sim.scenario->measured_from_step;
}

static bool
is_first_data_centre_vm(vm_handle_t vm)
{
    return vm < sim.scenario->local_vms;
}

static bool
is_first_data_centre_sender(int sender)
{
    return sim.scenario->local_vms == VMS || sender < SENDERS / 2;
}

static guard_load_t
load_of(vm_handle_t vm, bool old)
{
    int at = sim.step % REPORT_AGE_STEPS;
    return (guard_load_t){
        .in_flight =
            (uint32_t)(old ? sim.old_in_flight[vm][at] : sim.in_flight[vm]),
        .queue = (uint32_t)(old ? sim.old_queue[vm][at] : sim.queue[vm]),
        .limit = SLOTS,
        .service_us = (uint32_t)(SERVICE_US / speed_of(vm)),
    };
}

static vm_handle_t
place(int sender)
{
    picker_t *picker = &sim.pickers[sender];
    vm_handle_t tried[REDIRECTS_MAX];
    for (uint32_t count = 0;; count++) {
        vm_handle_t vm = VM_NONE;
        if (count == REDIRECTS_MAX) {
            return picker_pick_among(picker, KIND, tried, count);
        }
        picker_pick(picker, "s", KIND, 50, tried, count, &vm);
        if (!sim.scenario->redirects || sim.in_flight[vm] < SLOTS ||
            !picker_may_choose_again(picker, "s", tried, count, vm))
        {
            return vm;
        }
        guard_load_t load = load_of(vm, false);
        picker_report(picker, vm, KIND, REPORT_BUSY, STEP_US, &load);
        tried[count] = vm;
    }
}

static void
start_request(sim_request_t *request)
{
    double steps = -(double)SERVICE_US / STEP_US / speed_of(request->vm) *
                   log(1 - g_rand_double(sim.random));
    request->done_step = sim.step + 1 + (int)steps;
    sim.in_flight[request->vm]++;
}

/// Returns a sender of the data centre whose demand is due.
static int
choose_sender(void)
{
    double phase = 2 * G_PI * sim.step / WAVE_STEPS;
    double first_part = 0.5 * (1 + sim.scenario->wave * sin(phase));
    if (sim.scenario->local_vms == VMS) {
        return g_rand_int_range(sim.random, 0, SENDERS);
    }
    bool first = g_rand_double(sim.random) < first_part;
    return g_rand_int_range(sim.random, first ? 0 : SENDERS / 2,
                            first ? SENDERS / 2 : SENDERS);
}

static void
count_sent(const sim_request_t *request)
{
    if (is_measured()) {
        sim.sent++;
        sim.sent_to_slowed += request->vm == sim.scenario->slowed_vm;
        sim.sent_away += is_first_data_centre_sender(request->sender) !=
                         is_first_data_centre_vm(request->vm);
    }
}

static void
send_request(void)
{
    for (int i = 0; i < REQUESTS_MAX; i++) {
        sim_request_t *request = &sim.requests[i];
        if (request->active) {
            continue;
        }
        int sender = choose_sender();
        *request = (sim_request_t){.active = true,
                                   .sender = sender,
                                   .vm = place(sender),
                                   .sent_step = sim.step};
        count_sent(request);
        if (sim.in_flight[request->vm] < SLOTS) {
            start_request(request);
        }
        else {
            sim.queue[request->vm]++;
        }
        return;
    }
    CU_FAIL_FATAL("too many requests at once");
}

/// Ends the requests that are done, and starts waiting ones in their place.
static void
end_requests(void)
{
    for (int i = 0; i < REQUESTS_MAX; i++) {
        sim_request_t *request = &sim.requests[i];
        if (!request->active || request->done_step == 0 ||
            request->done_step > sim.step)
        {
            continue;
        }
        request->active = false;
        sim.in_flight[request->vm]--;
        sim.served += is_measured();
        guard_load_t load = load_of(request->vm, true);
        picker_report(&sim.pickers[request->sender], request->vm, KIND,
                      REPORT_ANSWERED,
                      (sim.step - request->sent_step + 1) * STEP_US, &load);
    }
    for (int i = 0; i < REQUESTS_MAX; i++) {
        sim_request_t *request = &sim.requests[i];
        if (request->active && request->done_step == 0 &&
            sim.in_flight[request->vm] < SLOTS)
        {
            sim.queue[request->vm]--;
            start_request(request);
        }
    }
}

static void
count_waiting(void)
{
    int waiting = 0;
    int free_slots = 0;
    for (int i = 0; i < VMS; i++) {
        waiting += sim.queue[i];
        free_slots += SLOTS - sim.in_flight[i];
        sim.old_in_flight[i][sim.step % REPORT_AGE_STEPS] = sim.in_flight[i];
        sim.old_queue[i][sim.step % REPORT_AGE_STEPS] = sim.queue[i];
    }
    if (is_measured()) {
        sim.waited_steps += waiting;
        sim.misplaced_steps += MIN(waiting, free_slots);
    }
}

static void
add_vms(picker_t *picker)
{
    static const char *const names[VMS] = {"v0", "v1", "v2", "v3",
                                           "v4", "v5", "v6", "v7"};
    for (int i = 0; i < VMS; i++) {
        const char *data_centre =
            is_first_data_centre_vm((vm_handle_t)i) ? "a" : "b";
        picker_set_vm(
            picker, &(picker_vm_t){names[i], data_centre, "s", false, false});
    }
}

static void
start(const scenario_t *scenario)
{
    memset(&sim, 0, sizeof(sim));
    sim.scenario = scenario;
    manual_clock_init(&sim.clock, 100 * US_PER_S);
    sim.random = g_rand_new_with_seed(5);
    for (int i = 0; i < SENDERS; i++) {
        char name[16];
        g_snprintf(name, sizeof(name), "sender-%d", i);
        picker_init(
            &sim.pickers[i], &sim.clock.base,
            &(picker_options_t){.own_vm = name,
                                .own_data_centre =
                                    is_first_data_centre_sender(i) ? "a" : "b",
                                .seed = (uint32_t)i});
        add_vms(&sim.pickers[i]);
    }
}

static double
per_request_ms(int64_t steps)
{
    return (double)steps * STEP_US / US_PER_MS / sim.served;
}

/// Plays a scenario; sim holds what it showed.
static void
play(const scenario_t *scenario)
{
    start(scenario);
    double capacity = 0;
    for (int i = 0; i < VMS; i++) {
        capacity += SLOTS * scenario->speeds[i] * STEP_US / SERVICE_US;
    }
    for (sim.step = 0; sim.step < STEPS; sim.step++) {
        end_requests();
        double due = scenario->load * capacity;
        int count = (int)due;
        count += g_rand_double(sim.random) < due - count ? 1 : 0;
        for (int i = 0; i < count; i++) {
            send_request();
        }
        count_waiting();
        manual_clock_advance(&sim.clock, STEP_US);
    }
    for (int i = 0; i < SENDERS; i++) {
        picker_finish(&sim.pickers[i]);
    }
    g_rand_free(sim.random);
}

/// Guards against VMs that are overrun in turns while others have free slots.
static void
test_requests_do_not_wait_beside_free_slots(void)
{
    scenario_t scenario = {
        .load = 0.9, .slowed_vm = VM_NONE, .local_vms = VMS};
    memcpy(scenario.speeds, unlike_speeds, sizeof(unlike_speeds));
    play(&scenario);
    double before_ms = per_request_ms(sim.misplaced_steps);
    double waited_before_ms = per_request_ms(sim.waited_steps);
    scenario.redirects = true;
    play(&scenario);
    double now_ms = per_request_ms(sim.misplaced_steps);
    double waited_ms = per_request_ms(sim.waited_steps);
    printf("\nmisplaced %.2f ms a request, waited %.2f; without redirects "
           "%.2f, %.2f ... ",
           now_ms, waited_ms, before_ms, waited_before_ms);
    CU_ASSERT_TRUE(now_ms < before_ms / 2);
    CU_ASSERT_TRUE(waited_ms < waited_before_ms / 2);
}

/// Checks which part of the requests sent @p count is, and that few wait in
/// the wrong place.
static void
assert_part_and_waits(const char *name, int count, double max)
{
    double misplaced_ms = per_request_ms(sim.misplaced_steps);
    printf("\n%s %.4f of %.4f, misplaced %.2f ms ... ", name,
           (double)count / sim.sent, max, misplaced_ms);
    CU_ASSERT_TRUE((double)count / sim.sent <= max);
    CU_ASSERT_TRUE(misplaced_ms <= MISPLACED_MAX_MS);
}

/// Guards against a VM that turns ten times slower and is still sent what it
/// did before, and against fast VMs that idle behind slow ones.
static void
test_slowed_vm_gets_what_it_can_do(void)
{
    scenario_t scenario = {
        .speeds = {0.5, 0.6, 0.8, 0.9, 1.1, 1.2, 1.4, 1.6},
        .load = 0.7,
        .redirects = true,
        .slowed_vm = 7,
        .slowed_step = 5000,
        .local_vms = VMS,
        .measured_from_step = 6000,
    };
    play(&scenario);
    double slowed_part = scenario.speeds[7] / SLOWED_BY;
    double capacity = slowed_part;
    for (int i = 0; i < VMS - 1; i++) {
        capacity += scenario.speeds[i];
    }
    assert_part_and_waits("to the slowed VM", sim.sent_to_slowed,
                          1.5 * slowed_part / capacity);
}

/// Returns which part of all requests doesn't fit into ROOM_USED of the slots
/// of its own data centre.
static double
part_that_does_not_fit(const scenario_t *scenario)
{
    double away = 0;
    double mean = scenario->load * VMS / 2;
    double first_room = ROOM_USED * scenario->local_vms;
    double second_room = ROOM_USED * (VMS - scenario->local_vms);
    for (int step = scenario->measured_from_step; step < STEPS; step++) {
        double wave = scenario->wave * sin(2 * G_PI * step / WAVE_STEPS);
        away += MAX(mean * (1 + wave) - first_room, 0) +
                MAX(mean * (1 - wave) - second_room, 0);
    }
    return away / (2 * mean * (STEPS - scenario->measured_from_step));
}

/// Guards against demand that is sent to another data centre while the own has
/// room, or that waits at home while the other has.
static void
test_uneven_demand_spills_what_does_not_fit(void)
{
    scenario_t scenario = {
        .speeds = {1, 1, 1, 1, 1, 1, 1, 1},
        .load = 0.75,
        .redirects = true,
        .slowed_vm = VM_NONE,
        .local_vms = 3,
        .wave = 0.5,
        .measured_from_step = 2000,
    };
    play(&scenario);
    assert_part_and_waits("sent away", sim.sent_away,
                          2 * part_that_does_not_fit(&scenario));
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"waits beside free slots",
         test_requests_do_not_wait_beside_free_slots},
        {"slowed VM", test_slowed_vm_gets_what_it_can_do},
        {"uneven demand", test_uneven_demand_spills_what_does_not_fit},
        CU_TEST_INFO_NULL,
    };
    return run_suite("even load", tests);
}
