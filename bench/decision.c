/// @file
/// Measures the CPU time of one decision of the picker and of admission
/// control, the memory per listed VM and per queued request, and how evenly
/// subsets spread senders over VMs, all at the target size. Memory is measured
/// as the difference between two sizes, so that fixed costs cancel out.

#include <malloc.h>
#include <stdio.h>
#include <time.h>

#include "ibisfield/call/entry.h"
#include "ibisfield/call/guard.h"
#include "ibisfield/routing/subset.h"

#define PEERS 16000
#define SERVICES 460
#define VMS_OF_SERVICE 35
#define DATA_CENTRES 40
#define ITERATIONS 2000000
#define DECISION_TARGET_US 5.0

static int64_t
cpu_ns(void)
{
    struct timespec now;
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return (int64_t)now.tv_sec * 1000000000 + now.tv_nsec;
}

static size_t
heap_bytes(void)
{
    struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

static void
add_peers(picker_t *picker, uint32_t from, uint32_t to)
{
    for (uint32_t i = from; i < to; i++) {
        char name[32];
        char service[32];
        char centre[16];
        snprintf(name, sizeof(name), "vm-%u", i);
        snprintf(service, sizeof(service), "service-%u", i % SERVICES);
        snprintf(centre, sizeof(centre), "dc-%u", i % DATA_CENTRES);
        picker_vm_t vm = {name, centre, service, false, false};
        picker_set_vm(picker, &vm);
    }
}

static void
pick_from_every_service(picker_t *picker)
{
    for (uint32_t i = 0; i < SERVICES; i++) {
        char service[32];
        snprintf(service, sizeof(service), "service-%u", i);
        vm_handle_t vm;
        picker_pick(picker, service, 1, 50, NULL, 0, &vm);
        picker_report(picker, vm, 1, REPORT_ANSWERED, 1000, NULL);
    }
}

static void
measure_picker(manual_clock_t *clock)
{
    picker_options_t options = {.own_vm = "vm-0", .own_data_centre = "dc-0"};
    picker_t picker;
    picker_init(&picker, &clock->base, &options);
    add_peers(&picker, 0, PEERS / 2);
    pick_from_every_service(&picker);
    size_t half = heap_bytes();
    add_peers(&picker, PEERS / 2, PEERS);
    pick_from_every_service(&picker);
    size_t full = heap_bytes();
    printf("picker: %zu bytes per listed VM (%d to %d VMs)\n",
           (full - half) / (PEERS / 2), PEERS / 2, PEERS);
    guard_load_t load = {10, 100, 2, 1000, 0};
    int64_t start_ns = cpu_ns();
    for (int i = 0; i < ITERATIONS; i++) {
        char service[32] = "service-100";
        service[8] = (char)('1' + i % 4);
        vm_handle_t vm;
        picker_pick(&picker, service, (uint64_t)(i % 100), 50, NULL, 0, &vm);
        manual_clock_advance(clock, 1);
        picker_report(&picker, vm, (uint64_t)(i % 100), REPORT_ANSWERED,
                      1000 + i % 100, &load);
    }
    double mean_us = (double)(cpu_ns() - start_ns) / 1000 / ITERATIONS;
    printf("picker: %.2f us per pick and report at %d VMs%s\n", mean_us, PEERS,
           mean_us < DECISION_TARGET_US ? "" : " (target of 5 us missed)");
    picker_finish(&picker);
}

static admission_decision_t
submit_request(admission_t *admission, const manual_clock_t *clock,
               uint64_t ticket)
{
    admission_request_t request = {
        .worth = (int32_t)(ticket % 100),
        .deadline_us = clock->now_us + 3600 * US_PER_S,
        .ticket = ticket,
    };
    return admission_submit(admission, &request);
}

static void
measure_admission(manual_clock_t *clock)
{
    admission_options_t options = {.slots = 140, .queue_max = 100000};
    admission_t admission;
    admission_init(&admission, &clock->base, &options);
    admission_kind_index(&admission, SLICE_LITERAL("customer"),
                         SLICE_LITERAL("kind"));
    uint64_t ticket = 1;
    for (; ticket <= 1000; ticket++) {
        submit_request(&admission, clock, ticket);
    }
    size_t few = heap_bytes();
    for (; ticket <= 11000; ticket++) {
        submit_request(&admission, clock, ticket);
    }
    size_t many = heap_bytes();
    printf("admission: %zu bytes per queued request\n", (many - few) / 10000);
    int64_t start_ns = cpu_ns();
    for (int i = 0; i < ITERATIONS / 4; i++) {
        uint64_t next;
        submit_request(&admission, clock, ticket++);
        admission_done(&admission, 0, 1000, true);
        admission_next_event(&admission, &next);
        admission_load(&admission);
    }
    double iterations = ITERATIONS / 4.0;
    double mean_us = (double)(cpu_ns() - start_ns) / 1000 / iterations;
    printf("admission: %.2f us to queue, end, start and report one request "
           "with 11000 queued%s\n",
           mean_us,
           mean_us < DECISION_TARGET_US ? "" : " (target of 5 us missed)");
    admission_finish(&admission);
    printf("call in flight: %zu bytes at the entry, %zu at the guard\n",
           sizeof(entry_call_t), sizeof(guarded_request_t));
}

static void
measure_subsets(uint32_t size, bool with_data_centres)
{
    uint32_t sender_counts[VMS_OF_SERVICE] = {0};
    for (uint32_t i = 0; i < PEERS; i++) {
        subset_candidate_t members[VMS_OF_SERVICE];
        char name[32];
        for (uint32_t j = 0; j < VMS_OF_SERVICE; j++) {
            snprintf(name, sizeof(name), "vm-%u", j * SERVICES);
            members[j] = (subset_candidate_t){
                .name_hash = subset_name_hash(name),
                .vm = j,
                .local =
                    with_data_centres && j % DATA_CENTRES == i % DATA_CENTRES,
            };
        }
        snprintf(name, sizeof(name), "vm-%u", i);
        uint32_t count = subset_choose(subset_name_hash(name), members,
                                       VMS_OF_SERVICE, size);
        for (uint32_t j = 0; j < count; j++) {
            sender_counts[members[j].vm]++;
        }
    }
    uint32_t low = UINT32_MAX;
    uint32_t high = 0;
    for (uint32_t j = 0; j < VMS_OF_SERVICE; j++) {
        low = MIN(low, sender_counts[j]);
        high = MAX(high, sender_counts[j]);
    }
    double mean = (double)PEERS * size / VMS_OF_SERVICE;
    printf("subset of %u, %s: %d senders, %d VMs: mean %.0f senders per "
           "VM, lowest %.3f, highest %.3f of the mean\n",
           size, with_data_centres ? "own data centre first" : "no preference",
           PEERS, VMS_OF_SERVICE, mean, low / mean, high / mean);
}

int
main(void)
{
    manual_clock_t clock;
    manual_clock_init(&clock, US_PER_S);
    measure_picker(&clock);
    measure_admission(&clock);
    measure_subsets(6, false);
    measure_subsets(12, false);
    measure_subsets(12, true);
    measure_subsets(20, true);
    return 0;
}
