/// @file
/// Many senders whose reports are old: requests that wait at one VM while
/// another of the service has a free slot, with and without the refusal by
/// full guards. The load: 60 senders, 8 VMs of unlike speed, nine tenths of
/// what they can do. The full comparison is bench/evenness.c.

#include <math.h>

#include "ibisfield/routing/picker.h"

#include "common/suite.h"

#define SENDERS 60
#define VMS 8
#define SLOTS 20
#define KIND 1
#define STEP_US US_PER_MS
#define SERVICE_US (60 * US_PER_MS)
#define LOAD 0.9
#define STEPS 12000
#define REPORT_AGE_STEPS 500
#define REQUESTS_MAX 4096
#define REDIRECTS_MAX 2

static const double speeds[VMS] = {0.7, 0.7, 1.7, 1.0, 0.7, 0.7, 1.7, 1.0};

typedef struct {
    bool active;
    int sender;
    vm_handle_t vm;
    int sent_step;
    int done_step; ///< 0: waits
} sim_request_t;

static struct {
    manual_clock_t clock;
    GRand *random;
    picker_t pickers[SENDERS];
    sim_request_t requests[REQUESTS_MAX];
    int in_flight[VMS];
    int queue[VMS];
    int old_in_flight[VMS][REPORT_AGE_STEPS];
    int old_queue[VMS][REPORT_AGE_STEPS];
    int step;
    bool redirects;
    int64_t misplaced_steps;
    int64_t waited_steps;
    int served;
} sim;

static guard_load_t
load_of(vm_handle_t vm, bool old)
{
    int at = sim.step % REPORT_AGE_STEPS;
    return (guard_load_t){
        .in_flight =
            (uint32_t)(old ? sim.old_in_flight[vm][at] : sim.in_flight[vm]),
        .queue = (uint32_t)(old ? sim.old_queue[vm][at] : sim.queue[vm]),
        .limit = SLOTS,
        .service_us = (uint32_t)(SERVICE_US / speeds[vm]),
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
        if (!sim.redirects || sim.in_flight[vm] < SLOTS ||
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
    double steps = -(double)SERVICE_US / STEP_US / speeds[request->vm] *
                   log(1 - g_rand_double(sim.random));
    request->done_step = sim.step + 1 + (int)steps;
    sim.in_flight[request->vm]++;
}

static void
send_request(void)
{
    for (int i = 0; i < REQUESTS_MAX; i++) {
        sim_request_t *request = &sim.requests[i];
        if (request->active) {
            continue;
        }
        int sender = g_rand_int_range(sim.random, 0, SENDERS);
        *request = (sim_request_t){.active = true,
                                   .sender = sender,
                                   .vm = place(sender),
                                   .sent_step = sim.step};
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
        sim.served++;
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
    sim.waited_steps += waiting;
    sim.misplaced_steps += MIN(waiting, free_slots);
}

/// Returns the time in which a request waits in the wrong place, per request.
static double
play(bool redirects, double *waited_ms)
{
    static const char *const names[VMS] = {"v0", "v1", "v2", "v3",
                                           "v4", "v5", "v6", "v7"};
    memset(&sim, 0, sizeof(sim));
    sim.redirects = redirects;
    manual_clock_init(&sim.clock, 100 * US_PER_S);
    sim.random = g_rand_new_with_seed(5);
    double capacity = 0;
    for (int i = 0; i < VMS; i++) {
        capacity += SLOTS * speeds[i] * STEP_US / SERVICE_US;
    }
    for (int i = 0; i < SENDERS; i++) {
        char name[16];
        g_snprintf(name, sizeof(name), "sender-%d", i);
        picker_init(&sim.pickers[i], &sim.clock.base,
                    &(picker_options_t){.own_vm = name,
                                        .own_data_centre = "z",
                                        .seed = (uint32_t)i});
        for (int j = 0; j < VMS; j++) {
            picker_set_vm(&sim.pickers[i],
                          &(picker_vm_t){names[j], "z", "s", false, false});
        }
    }
    for (sim.step = 0; sim.step < STEPS; sim.step++) {
        end_requests();
        double due = LOAD * capacity;
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
    *waited_ms = (double)sim.waited_steps / sim.served;
    return (double)sim.misplaced_steps / sim.served;
}

/// Guards against VMs that are overrun in turns while others have free slots.
static void
test_requests_do_not_wait_beside_free_slots(void)
{
    double waited_before_ms = 0;
    double waited_ms = 0;
    double before_ms = play(false, &waited_before_ms);
    double now_ms = play(true, &waited_ms);
    printf("\nmisplaced %.2f ms a request, waited %.2f; without redirects "
           "%.2f, %.2f ... ",
           now_ms, waited_ms, before_ms, waited_before_ms);
    CU_ASSERT_TRUE(now_ms < before_ms / 2);
    CU_ASSERT_TRUE(waited_ms < waited_before_ms / 2);
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"waits beside free slots",
         test_requests_do_not_wait_beside_free_slots},
        CU_TEST_INFO_NULL,
    };
    return run_suite("even load", tests);
}
