/// @file
/// Choice of the VM, ejection, shed hints, hedges and subsets.

#include "ibisfield/routing/picker.h"

#include "common/suite.h"
#include "ibisfield/routing/subset.h"

#define KIND 7
#define USUAL_US (50 * US_PER_MS)

static manual_clock_t test_clock;
static picker_t picker;

static void
start(int vms)
{
    static const char *const names[] = {"v0", "v1", "v2", "v3"};
    picker_options_t options = {.own_vm = "own",
                                .own_data_centre = "a",
                                .remote_cost_us = 3000,
                                .seed = 1};
    manual_clock_init(&test_clock, 100 * US_PER_S);
    picker_init(&picker, &test_clock.base, &options);
    for (int i = 0; i < vms; i++) {
        picker_vm_t vm = {names[i], "a", "s", false};
        CU_ASSERT_EQUAL(picker_set_vm(&picker, &vm), (vm_handle_t)i);
    }
    // Past the slow start of the VMs.
    manual_clock_advance(&test_clock, 10 * US_PER_S);
}

static vm_handle_t
pick_worth(int32_t worth)
{
    vm_handle_t vm = VM_NONE;
    CU_ASSERT_EQUAL_FATAL(picker_pick(&picker, "s", KIND, worth, NULL, 0, &vm),
                          PICK_OK);
    return vm;
}

static void
report(vm_handle_t vm, attempt_report_t how, int64_t latency_us)
{
    manual_clock_advance(&test_clock, latency_us);
    picker_report(&picker, vm, KIND, how, latency_us, NULL);
}

/// Runs attempts one after the other, VM 0 @p factor times slower than the
/// others; returns how many VM 0 got.
static int
run(int attempts, int factor, const guard_load_t *load)
{
    int got = 0;
    for (int i = 0; i < attempts; i++) {
        vm_handle_t vm = pick_worth(10);
        got += vm == 0 ? 1 : 0;
        int64_t latency_us = vm == 0 ? factor * USUAL_US : USUAL_US;
        manual_clock_advance(&test_clock, latency_us);
        picker_report(&picker, vm, KIND, REPORT_ANSWERED, latency_us, load);
    }
    return got;
}

/// Ends attempts with a failure on VM 0 and an answer elsewhere, one in each
/// millisecond.
static int
run_failing(int attempts)
{
    int got = 0;
    for (int i = 0; i < attempts; i++) {
        vm_handle_t vm = pick_worth(10);
        got += vm == 0 ? 1 : 0;
        manual_clock_advance(&test_clock, US_PER_MS);
        if (vm == 0) {
            picker_report(&picker, vm, KIND, REPORT_FAILED, US_PER_MS, NULL);
        }
        else {
            picker_report(&picker, vm, KIND, REPORT_ANSWERED, USUAL_US, NULL);
        }
    }
    return got;
}

/// Guards against sending on to a VM that answers ten times slower.
static void
test_slow_vm_gets_little_work(void)
{
    start(3);
    CU_ASSERT_TRUE(run(300, 1, NULL) > 50);
    run(30, 10, NULL);
    CU_ASSERT_TRUE(run(300, 10, NULL) <= 15);
    picker_finish(&picker);
}

/// Guards against believing a slow VM that reports to be idle.
static void
test_false_reports_do_not_attract_work(void)
{
    start(3);
    guard_load_t idle = {.limit = 100, .service_us = 1000};
    run(300, 1, &idle);
    run(30, 10, &idle);
    CU_ASSERT_TRUE(run(300, 10, &idle) <= 15);
    picker_finish(&picker);
}

/// Guards against a VM that fails quickly, looks fast by that and attracts
/// more and more requests; and against one that never comes back.
static void
test_failing_vm_is_ejected_and_probed(void)
{
    start(3);
    run(100, 1, NULL);
    run_failing(60);
    // From here on only probes, with pauses of 0.25, 0.5, 1 and 1.5 s.
    CU_ASSERT_TRUE(run_failing(4000) <= 5);
    manual_clock_advance(&test_clock, 5 * US_PER_S);
    CU_ASSERT_EQUAL(pick_worth(10), 0);
    report(0, REPORT_ANSWERED, USUAL_US);
    manual_clock_advance(&test_clock, 5 * US_PER_S);
    CU_ASSERT_TRUE(run(300, 1, NULL) > 50);
    picker_finish(&picker);
}

/// Guards against bookings that are spent on probing an ejected VM.
static void
test_low_worth_probes_first(void)
{
    start(3);
    run(100, 1, NULL);
    run_failing(60);
    manual_clock_advance(&test_clock, 300 * US_PER_MS);
    for (int i = 0; i < 50; i++) {
        vm_handle_t vm = pick_worth(100);
        CU_ASSERT_NOT_EQUAL(vm, 0);
        picker_report(&picker, vm, KIND, REPORT_ANSWERED, USUAL_US, NULL);
    }
    CU_ASSERT_EQUAL(pick_worth(1), 0);
    picker_finish(&picker);
}

/// Guards against an attempt from before the ejection that ends well and is
/// taken for the probe.
static void
test_old_attempt_is_not_the_probe(void)
{
    start(3);
    run(100, 1, NULL);
    for (int i = 0; i < 5; i++) {
        picker_report(&picker, 0, KIND, REPORT_FAILED, 0, NULL);
    }
    manual_clock_advance(&test_clock, 300 * US_PER_MS);
    CU_ASSERT_EQUAL(pick_worth(1), 0);
    manual_clock_advance(&test_clock, US_PER_MS);
    picker_report(&picker, 0, KIND, REPORT_ANSWERED, USUAL_US, NULL);
    manual_clock_advance(&test_clock, 5 * US_PER_S);
    for (int i = 0; i < 20; i++) {
        CU_ASSERT_NOT_EQUAL(pick_worth(1), 0);
    }
    picker_finish(&picker);
}

/// Guards against taking out so many VMs that the rest is overloaded.
static void
test_at_most_half_is_ejected(void)
{
    start(4);
    bool used[4] = {false};
    for (int i = 0; i < 400; i++) {
        vm_handle_t vm = pick_worth(10);
        used[vm] |= i >= 200;
        picker_report(&picker, vm, KIND, REPORT_FAILED, 0, NULL);
    }
    int left = 0;
    for (int i = 0; i < 4; i++) {
        left += used[i] ? 1 : 0;
    }
    CU_ASSERT_EQUAL(left, 2);
    picker_finish(&picker);
}

/// Guards against full load on a VM that has just come back and is cold.
static void
test_new_vm_starts_slowly(void)
{
    start(3);
    run(100, 1, NULL);
    picker_vm_t vm = {"v0", "a", "s", false};
    picker_remove_vm(&picker, "v0");
    CU_ASSERT_EQUAL(picker_set_vm(&picker, &vm), 0);
    CU_ASSERT_TRUE(run(20, 1, NULL) <= 3);
    manual_clock_advance(&test_clock, 5 * US_PER_S);
    CU_ASSERT_TRUE(run(300, 1, NULL) > 50);
    picker_finish(&picker);
}

static void
report_all(attempt_report_t how, int32_t min_worth)
{
    guard_load_t load = {.limit = 10, .min_worth = min_worth};
    for (int i = 0; i < 60; i++) {
        vm_handle_t vm;
        if (picker_pick(&picker, "s", KIND, 99, NULL, 0, &vm) == PICK_OK) {
            picker_report(&picker, vm, KIND, how, USUAL_US, &load);
        }
    }
}

/// Guards against taking VMs out while the latencies are those of queues.
static void
test_overload_ejects_nobody(void)
{
    start(3);
    run(100, 1, NULL);
    report_all(REPORT_REFUSED, 0);
    int got = 0;
    for (int i = 0; i < 300; i++) {
        vm_handle_t vm = pick_worth(10);
        got += vm == 0 ? 1 : 0;
        picker_report(&picker, vm, KIND,
                      i % 3 == 0 ? REPORT_REFUSED : REPORT_ANSWERED,
                      vm == 0 ? 10 * USUAL_US : USUAL_US, NULL);
        manual_clock_advance(&test_clock, US_PER_MS);
    }
    CU_ASSERT_TRUE(got > 50);
    picker_finish(&picker);
}

/// Guards against taking out the VM that still answers, because the others
/// have refused so much that it looks slow beside them.
static void
test_overload_of_others_ejects_nobody(void)
{
    start(3);
    run(100, 1, NULL);
    // Attempts that stay in flight make VM 0 the best choice.
    for (int i = 0; i < 200; i++) {
        vm_handle_t vm = pick_worth(10);
        if (vm == 0) {
            picker_report(&picker, vm, KIND, REPORT_ANSWERED, USUAL_US, NULL);
        }
    }
    picker_report(&picker, 1, KIND, REPORT_REFUSED, 0, NULL);
    picker_report(&picker, 2, KIND, REPORT_REFUSED, 0, NULL);
    int got = 0;
    for (int i = 0; i < 100; i++) {
        vm_handle_t vm = pick_worth(10);
        got += vm == 0 ? 1 : 0;
        picker_report(&picker, vm, KIND,
                      vm == 0 ? REPORT_ANSWERED : REPORT_REFUSED, 5 * USUAL_US,
                      NULL);
    }
    CU_ASSERT_TRUE(got > 30);
    picker_finish(&picker);
}

static pick_result_t
try_pick(int32_t worth)
{
    vm_handle_t vm;
    pick_result_t pick = picker_pick(&picker, "s", KIND, worth, NULL, 0, &vm);
    if (pick == PICK_OK) {
        picker_report(&picker, vm, KIND, REPORT_CANCELLED, 0, NULL);
    }
    return pick;
}

/// Guards against sending what every guard refuses, against hints that outlive
/// the shedding, and against never finding out that it has ended.
static void
test_shed_worth_is_held_back_for_a_moment(void)
{
    start(3);
    report_all(REPORT_REFUSED, 50);
    int sent = 0;
    for (int i = 0; i < 640; i++) {
        sent += try_pick(49) == PICK_OK ? 1 : 0;
    }
    CU_ASSERT_TRUE(sent > 0 && sent < 64);
    CU_ASSERT_EQUAL(try_pick(50), PICK_OK);
    manual_clock_advance(&test_clock, 201 * US_PER_MS);
    for (int i = 0; i < 100; i++) {
        CU_ASSERT_EQUAL(try_pick(1), PICK_OK);
    }
    picker_finish(&picker);
}

/// Guards against reports that lag: a guard that answers isn't held back by
/// the minimum worth it reports.
static void
test_answers_do_not_hold_back(void)
{
    start(3);
    report_all(REPORT_ANSWERED, 50);
    for (int i = 0; i < 100; i++) {
        CU_ASSERT_EQUAL(try_pick(1), PICK_OK);
    }
    picker_finish(&picker);
}

static int
count_second_attempts(uint64_t kind)
{
    vm_handle_t tried = 0;
    int sent = 0;
    for (int i = 0; i < 100; i++) {
        vm_handle_t vm;
        if (picker_pick(&picker, "s", kind, 10, &tried, 1, &vm) == PICK_OK) {
            picker_report(&picker, vm, kind, REPORT_CANCELLED, 0, NULL);
            sent++;
        }
    }
    return sent;
}

/// Guards against spending every unit of a refused request on guards that
/// have just refused its kind, and against holding first attempts back.
static void
test_refused_kind_is_not_tried_again_at_once(void)
{
    start(3);
    report_all(REPORT_REFUSED, 0);
    CU_ASSERT_TRUE(count_second_attempts(KIND) < 20);
    CU_ASSERT_EQUAL(count_second_attempts(KIND + 1), 100);
    for (int i = 0; i < 50; i++) {
        CU_ASSERT_EQUAL(try_pick(10), PICK_OK);
    }
    manual_clock_advance(&test_clock, 101 * US_PER_MS);
    CU_ASSERT_EQUAL(count_second_attempts(KIND), 100);
    picker_finish(&picker);
}

/// Guards against hedges that nothing was learned for, that come before most
/// answers, or that add to an overload.
static void
test_hedges_only_late_and_without_overload(void)
{
    start(3);
    CU_ASSERT_EQUAL(picker_hedge_delay_us(&picker, KIND), 0);
    run(300, 1, NULL);
    CU_ASSERT_TRUE(picker_hedge_delay_us(&picker, KIND) > USUAL_US);
    vm_handle_t vm = pick_worth(10);
    report(vm, REPORT_REFUSED, 0);
    CU_ASSERT_EQUAL(picker_hedge_delay_us(&picker, KIND), 0);
    manual_clock_advance(&test_clock, 2 * US_PER_S);
    CU_ASSERT_TRUE(picker_hedge_delay_us(&picker, KIND) > USUAL_US);
    picker_finish(&picker);
}

/// Guards against new work for a VM that is leaving, by the list or by its
/// own word, when the list lags.
static void
test_leaving_vms_get_no_work(void)
{
    start(3);
    picker_vm_t vm = {"v1", "a", "s", true};
    picker_set_vm(&picker, &vm);
    vm_handle_t first = pick_worth(10);
    CU_ASSERT_NOT_EQUAL(first, 1);
    report(first, REPORT_DRAINING, 0);
    vm.vm = picker_vm_name(&picker, first);
    vm.draining = false;
    picker_set_vm(&picker, &vm);
    // Its guard goes on saying so: one attempt in half a second asks it.
    int64_t start_us = clock_now_us(&test_clock.base);
    int asked = 0;
    for (int i = 0; i < 50; i++) {
        vm_handle_t other = pick_worth(10);
        CU_ASSERT_NOT_EQUAL(other, 1);
        asked += other == first ? 1 : 0;
        report(other, other == first ? REPORT_DRAINING : REPORT_ANSWERED,
               USUAL_US);
    }
    int64_t passed_us = clock_now_us(&test_clock.base) - start_us;
    CU_ASSERT_TRUE(asked <= passed_us / (500 * US_PER_MS));
    picker_finish(&picker);
}

/// Guards against the loss of a VM's slots long after its node was restarted:
/// it is to be back within the 2 s of the recovery target.
static void
test_vm_that_said_leaving_is_tried_again(void)
{
    start(3);
    vm_handle_t first = pick_worth(10);
    report(first, REPORT_DRAINING, 0);
    manual_clock_advance(&test_clock, 2 * US_PER_S);
    int picked = 0;
    for (int i = 0; i < 50; i++) {
        vm_handle_t vm = pick_worth(10);
        picked += vm == first ? 1 : 0;
        report(vm, REPORT_ANSWERED, USUAL_US);
    }
    CU_ASSERT_TRUE(picked > 5);
    picker_finish(&picker);
}

/// Guards against an outage after a rolling replacement: every VM has said
/// "leaving" a moment ago and all are back.
static void
test_vms_that_said_leaving_are_the_last_choice(void)
{
    start(3);
    for (int i = 0; i < 3; i++) {
        report(pick_worth(10), REPORT_DRAINING, 0);
    }
    report(pick_worth(10), REPORT_ANSWERED, USUAL_US);
    picker_finish(&picker);
}

/// Guards against a second attempt at the VM that has just failed.
static void
test_tried_vms_are_avoided(void)
{
    start(3);
    vm_handle_t tried[] = {0, 2};
    vm_handle_t vm;
    for (int i = 0; i < 20; i++) {
        CU_ASSERT_EQUAL(picker_pick(&picker, "s", KIND, 10, tried, 2, &vm),
                        PICK_OK);
        CU_ASSERT_EQUAL(vm, 1);
    }
    CU_ASSERT_EQUAL(picker_pick(&picker, "t", KIND, 10, NULL, 0, &vm),
                    PICK_NO_UPSTREAM);
    picker_finish(&picker);
}

/// Guards against paying for another data centre without need.
static void
test_near_vm_is_preferred(void)
{
    start(1);
    picker_vm_t far = {"far", "b", "s", false};
    picker_set_vm(&picker, &far);
    manual_clock_advance(&test_clock, 10 * US_PER_S);
    CU_ASSERT_TRUE(run(100, 1, NULL) > 90);
    picker_finish(&picker);
}

/// Guards against a late report that is booked on another VM.
static void
test_handle_in_use_is_not_given_to_another_vm(void)
{
    start(1);
    CU_ASSERT_EQUAL(pick_worth(10), 0);
    picker_remove_vm(&picker, "v0");
    CU_ASSERT_PTR_NULL(picker_vm_name(&picker, 0));
    picker_vm_t vm = {"new", "a", "s", false};
    CU_ASSERT_EQUAL(picker_set_vm(&picker, &vm), 1);
    report(0, REPORT_FAILED, 0);
    CU_ASSERT_EQUAL(pick_worth(10), 1);
    picker_finish(&picker);
}

#define LISTED 35
#define SUBSET 12

static void
choose_subset(uint32_t chooser, uint32_t without, bool chosen[LISTED])
{
    subset_member_t members[LISTED];
    uint32_t count = 0;
    for (uint32_t i = 0; i < LISTED; i++) {
        chosen[i] = false;
        if (i != without) {
            char name[16];
            g_snprintf(name, sizeof(name), "vm-%u", i);
            members[count++] = (subset_member_t){
                .name_hash = subset_name_hash(name),
                .vm = i,
                .local = i % 5 == chooser % 5,
            };
        }
    }
    uint32_t size = subset_choose(chooser + 1000, members, count, SUBSET);
    CU_ASSERT_EQUAL(size, SUBSET);
    for (uint32_t i = 0; i < size; i++) {
        chosen[members[i].vm] = true;
    }
}

/// Guards against reconnecting everywhere when one VM leaves the list, and
/// against guards that get many more senders than others.
static void
test_subset_is_stable_and_even(void)
{
    int senders[LISTED] = {0};
    for (uint32_t chooser = 0; chooser < 2000; chooser++) {
        bool before[LISTED];
        bool after[LISTED];
        choose_subset(chooser, LISTED, before);
        choose_subset(chooser, chooser % LISTED, after);
        int changes = 0;
        for (uint32_t i = 0; i < LISTED; i++) {
            changes += before[i] && !after[i] ? 1 : 0;
            senders[i] += before[i] ? 1 : 0;
        }
        CU_ASSERT_TRUE(changes <= (before[chooser % LISTED] ? 1 : 0));
    }
    // Three in a thousand lie beyond three deviations of a fair draw.
    for (int i = 0; i < LISTED; i++) {
        CU_ASSERT_TRUE(senders[i] > 686 - 90 && senders[i] < 686 + 90);
    }
}

/// Guards against attempts that wait for connections to VMs behind a cut, two
/// of three here, and against VMs that are never tried again.
static void
test_unreachable_vms_are_avoided(void)
{
    start(3);
    for (vm_handle_t cut = 0; cut < 2; cut++) {
        picker_report(&picker, cut, KIND, REPORT_UNREACHABLE, 0, NULL);
    }
    for (int i = 0; i < 50; i++) {
        CU_ASSERT_EQUAL(pick_worth(10), 2);
        report(2, REPORT_ANSWERED, 10 * US_PER_MS);
    }
    manual_clock_advance(&test_clock, US_PER_S);
    int tries[3] = {0};
    for (int i = 0; i < 20; i++) {
        vm_handle_t vm = pick_worth(10);
        tries[vm]++;
        if (vm == 2) {
            report(2, REPORT_ANSWERED, 10 * US_PER_MS);
        }
    }
    // One attempt each, until its result is known.
    CU_ASSERT_EQUAL(tries[0], 1);
    CU_ASSERT_EQUAL(tries[1], 1);
    picker_report(&picker, 0, KIND, REPORT_ANSWERED, 10 * US_PER_MS, NULL);
    picker_report(&picker, 1, KIND, REPORT_UNREACHABLE, 0, NULL);
    int used[3] = {0};
    for (int i = 0; i < 60; i++) {
        vm_handle_t vm = pick_worth(10);
        used[vm]++;
        report(vm, REPORT_ANSWERED, 10 * US_PER_MS);
    }
    CU_ASSERT_TRUE(used[0] >= 20);
    CU_ASSERT_EQUAL(used[1], 0);
    picker_finish(&picker);
}

/// Guards against an upstream that sheds at once, looks idle by that and draws
/// the requests (a server that fails while its health check passes).
static void
test_quick_failures_do_not_attract(void)
{
    start(3);
    int got = 0;
    int shed = 0;
    for (int i = 0; i < 300; i++) {
        vm_handle_t vm = pick_worth(10);
        got += vm == 0 ? 1 : 0;
        bool sheds = vm == 0 && i % 2 == 0;
        shed += sheds ? 1 : 0;
        report(vm, sheds ? REPORT_SHED : REPORT_ANSWERED,
               sheds ? US_PER_MS : 10 * US_PER_MS);
    }
    CU_ASSERT_TRUE(got < 300 / 6);
    CU_ASSERT_TRUE(shed > 0);
    // It sheds no more: its part comes back.
    got = 0;
    for (int i = 0; i < 1200; i++) {
        vm_handle_t vm = pick_worth(10);
        got += vm == 0 && i >= 600 ? 1 : 0;
        report(vm, REPORT_ANSWERED, 10 * US_PER_MS);
    }
    CU_ASSERT_TRUE(got > 600 / 6);
    picker_finish(&picker);
}

/// Guards against a VM that fails every second request and is never ejected,
/// since it never fails five times in a row; and against ejecting a VM for
/// failures that come from further down.
static void
test_partly_failing_vm_is_ejected(void)
{
    start(3);
    int got = 0;
    for (int i = 0; i < 400; i++) {
        vm_handle_t vm = pick_worth(10);
        got += vm == 0 && i >= 100 ? 1 : 0;
        report(vm, vm == 0 && i % 2 == 0 ? REPORT_FAILED : REPORT_ANSWERED,
               10 * US_PER_MS);
    }
    CU_ASSERT_TRUE(got < 300 / 6);
    picker_finish(&picker);
    start(3);
    int all[3] = {0};
    for (int i = 0; i < 300; i++) {
        vm_handle_t vm = pick_worth(10);
        all[vm]++;
        report(vm, i % 2 == 0 ? REPORT_FAILED : REPORT_ANSWERED,
               10 * US_PER_MS);
    }
    CU_ASSERT_TRUE(MIN(all[0], MIN(all[1], all[2])) > 30);
    picker_finish(&picker);
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"slow VM", test_slow_vm_gets_little_work},
        {"false reports", test_false_reports_do_not_attract_work},
        {"failing VM", test_failing_vm_is_ejected_and_probed},
        {"probes", test_low_worth_probes_first},
        {"old attempt", test_old_attempt_is_not_the_probe},
        {"ejection floor", test_at_most_half_is_ejected},
        {"slow start", test_new_vm_starts_slowly},
        {"overload", test_overload_ejects_nobody},
        {"overload of others", test_overload_of_others_ejects_nobody},
        {"shed hint", test_shed_worth_is_held_back_for_a_moment},
        {"late hint", test_answers_do_not_hold_back},
        {"refused kind", test_refused_kind_is_not_tried_again_at_once},
        {"hedge delay", test_hedges_only_late_and_without_overload},
        {"leaving", test_leaving_vms_get_no_work},
        {"back after leaving", test_vm_that_said_leaving_is_tried_again},
        {"all said leaving", test_vms_that_said_leaving_are_the_last_choice},
        {"tried", test_tried_vms_are_avoided},
        {"near", test_near_vm_is_preferred},
        {"handles", test_handle_in_use_is_not_given_to_another_vm},
        {"subset", test_subset_is_stable_and_even},
        {"unreachable", test_unreachable_vms_are_avoided},
        {"quick failures", test_quick_failures_do_not_attract},
        {"partly failing", test_partly_failing_vm_is_ejected},
        CU_TEST_INFO_NULL,
    };
    return run_suite("picker", tests);
}
