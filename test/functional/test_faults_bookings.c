/// @file
/// Bookings while the owner of their key, the guard or the upstream is killed
/// or paused at each step of the request. Guards against a second run of a
/// key, and against the outcome "not-run" for a key that ran or runs later.

#include <signal.h>

#include "common/booking.h"
#include "common/suite.h"

/// Time for a request to reach the socket of a paused process. It affects only
/// how often the fault hits the intended step; no check depends on it.
#define SOCKET_DELAY_US (50 * US_PER_MS)

static const char contract[] =
    "{\"customer\": \"acme\", \"hosts\": [\"acme.example\"], \"retries\": 3,"
    " \"client_retry_percent\": 100, \"kinds\": [" BOOKING_KINDS "]}";

static const char *const back_upstream[] = {"--name", "back", "--log-runs",
                                            NULL};

/// VMs of the testbed. OWNER, which issues all keys, and OTHER are of service
/// "front" and have no upstream. BACK and BACK + 1 are of service "back".
enum { OWNER, OTHER, BACK, VM_COUNT = 4 };

/// How far the booking is when the fault is injected.
typedef enum {
    STEP_ISSUED,    ///< the caller has the key
    STEP_SUBMITTED, ///< the request is in the owner's socket
    STEP_SENT,      ///< the attempt is in a guard's socket
    STEP_STARTED,   ///< the upstream runs the request
    STEP_RESPONDED, ///< the response is in the guard's socket
    STEP_RETURNED,  ///< the caller has the response
    STEP_COUNT
} step_t;

/// The process that is killed or paused.
typedef enum {
    TARGET_OWNER,
    TARGET_GUARD,
    TARGET_UPSTREAM,
    TARGET_COUNT
} target_t;

typedef struct {
    testbed_t bed;
    bookings_t bookings;
    booking_t *booking;
    step_t step;
    target_t target;
    int signal_number; ///< SIGKILL or SIGSTOP
    int runner;        ///< VM whose upstream runs the booking; 0: unknown
    http_call_t *first_call;
} scenario_t;

static bool
is_killed(const scenario_t *scenario, target_t target)
{
    return scenario->signal_number == SIGKILL && scenario->target == target;
}

static http_call_t *
submit(scenario_t *scenario, int vm, const char *body)
{
    return booking_submit(scenario->booking, &scenario->bed.vms[vm], body);
}

static char *
wait_for_outcome(scenario_t *scenario, http_call_t *in_flight)
{
    return booking_wait(scenario->booking, in_flight);
}

static void
assert_outcome(const scenario_t *scenario, const char *request, char *outcome,
               const char *expected)
{
    booking_assert_outcome(scenario->booking, request, outcome, expected);
}

static bool
has_run(void *context)
{
    scenario_t *scenario = context;
    char *text = g_strdup_printf("run %s", scenario->booking->key);
    for (int i = BACK; i < VM_COUNT; i++) {
        if (process_has_logged(&scenario->bed.vms[i].upstream, text)) {
            scenario->runner = i;
        }
    }
    g_free(text);
    return scenario->runner != 0;
}

static bool
has_responded(void *context)
{
    scenario_t *scenario = context;
    return booking_count(&scenario->bookings, scenario->booking, "answered") >
           0;
}

static bool
has_call_in_flight(void *context)
{
    const scenario_t *scenario = context;
    return node_metric(&scenario->bed.vms[OWNER],
                       "ibisfield_calls_in_flight") > 0;
}

static void
signal_guards(const scenario_t *scenario, int signal_number)
{
    for (int i = BACK; i < VM_COUNT; i++) {
        if (scenario->bed.vms[i].node.pid > 0) {
            kill(scenario->bed.vms[i].node.pid, signal_number);
        }
    }
}

/// Holds all runs at the upstreams, or lets them end again.
static void
hold_upstreams(const scenario_t *scenario, bool hold)
{
    for (int i = BACK; i < VM_COUNT; i++) {
        if (scenario->bed.vms[i].upstream.pid > 0) {
            text_response_t response =
                http_call(scenario->bed.vms[i].address, PORT_UPSTREAM, "POST",
                          hold ? "/test/hold/1" : "/test/hold/0", NULL, NULL);
            text_response_free(&response);
        }
    }
}

static void
kill_or_pause(const scenario_t *scenario, process_t *process)
{
    if (scenario->signal_number == SIGKILL) {
        process_stop(process, SIGKILL);
    }
    else {
        kill(process->pid, SIGSTOP);
    }
}

/// Kills or pauses the target: the owner, or the guard or upstream of the VM
/// that runs the booking (of all VMs as long as that VM is unknown).
static void
inject_fault(scenario_t *scenario)
{
    if (scenario->target == TARGET_OWNER) {
        kill_or_pause(scenario, &scenario->bed.vms[OWNER].node);
        return;
    }
    for (int i = BACK; i < VM_COUNT; i++) {
        testbed_vm_t *vm = &scenario->bed.vms[i];
        if (scenario->runner == 0 || scenario->runner == i) {
            kill_or_pause(scenario, scenario->target == TARGET_GUARD
                                        ? &vm->node
                                        : &vm->upstream);
        }
    }
}

static void
resume(const process_t *process)
{
    if (process->pid > 0) {
        kill(process->pid, SIGCONT);
    }
}

/// Resumes or restarts every process and waits until requests succeed.
static void
recover(scenario_t *scenario)
{
    testbed_t *bed = &scenario->bed;
    for (int i = 0; i < VM_COUNT; i++) {
        testbed_vm_t *vm = &bed->vms[i];
        resume(&vm->node);
        resume(&vm->upstream);
        if (vm->upstream_arguments != NULL && vm->upstream.pid == 0) {
            CU_ASSERT_TRUE(testbed_start_upstream(bed, vm));
        }
        if (vm->node.pid == 0) {
            CU_ASSERT_TRUE(testbed_start_node(bed, vm));
        }
    }
    hold_upstreams(scenario, false);
    CU_ASSERT_TRUE_FATAL(testbed_wait_ready(bed));
    CU_ASSERT_TRUE(wait_until(look_succeeds, &bed->vms[OWNER]));
    CU_ASSERT_TRUE(wait_until(look_succeeds, &bed->vms[OTHER]));
}

/// Brings the booking to the step of the scenario and injects the fault there.
static void
inject_fault_at_step(scenario_t *scenario)
{
    testbed_vm_t *owner = &scenario->bed.vms[OWNER];
    bool owner_killed = is_killed(scenario, TARGET_OWNER);
    switch (scenario->step) {
    case STEP_ISSUED:
        inject_fault(scenario);
        // Nothing accepts connections at a killed owner.
        scenario->first_call =
            submit(scenario, owner_killed ? OTHER : OWNER, "one");
        break;
    case STEP_SUBMITTED:
        kill(owner->node.pid, SIGSTOP);
        scenario->first_call = submit(scenario, OWNER, "one");
        g_usleep(SOCKET_DELAY_US);
        inject_fault(scenario);
        if (scenario->target != TARGET_OWNER) {
            resume(&owner->node);
        }
        break;
    case STEP_SENT:
        signal_guards(scenario, SIGSTOP);
        scenario->first_call = submit(scenario, OWNER, "one");
        CU_ASSERT_TRUE(wait_until(has_call_in_flight, scenario));
        inject_fault(scenario);
        if (scenario->target != TARGET_GUARD) {
            signal_guards(scenario, SIGCONT);
        }
        break;
    case STEP_STARTED:
    case STEP_RESPONDED:
        hold_upstreams(scenario, true);
        scenario->first_call = submit(scenario, OWNER, "one");
        CU_ASSERT_TRUE_FATAL(wait_until(has_run, scenario));
        if (scenario->step == STEP_RESPONDED) {
            kill(scenario->bed.vms[scenario->runner].node.pid, SIGSTOP);
            hold_upstreams(scenario, false);
            CU_ASSERT_TRUE(wait_until(has_responded, scenario));
        }
        inject_fault(scenario);
        if (scenario->step == STEP_RESPONDED &&
            scenario->target != TARGET_GUARD) {
            resume(&scenario->bed.vms[scenario->runner].node);
        }
        break;
    default:
        scenario->first_call = NULL;
        assert_outcome(
            scenario, "first submission",
            wait_for_outcome(scenario, submit(scenario, OWNER, "one")),
            "answered");
        CU_ASSERT_TRUE(has_run(scenario));
        inject_fault(scenario);
        break;
    }
}

/// Sends client retries with the same body and with another one to a node in
/// the other data centre, while the fault lasts.
static void
retry_during_fault(scenario_t *scenario)
{
    http_call_t *same = submit(scenario, OTHER, "one");
    http_call_t *changed = submit(scenario, OTHER, "two");
    char *outcome = wait_for_outcome(scenario, same);
    if (is_killed(scenario, TARGET_OWNER)) {
        assert_outcome(scenario, "client retry during the fault", outcome,
                       "unknown");
    }
    else {
        g_free(outcome);
    }
    g_free(wait_for_outcome(scenario, changed));
}

/// Checks the outcome of the first submission, which is unknown if the fault
/// has lost the response of a run.
static void
check_first_submission(scenario_t *scenario)
{
    if (scenario->first_call == NULL) {
        return;
    }
    char *outcome = wait_for_outcome(scenario, scenario->first_call);
    bool response_lost =
        scenario->runner != 0 && (is_killed(scenario, TARGET_GUARD) ||
                                  (is_killed(scenario, TARGET_UPSTREAM) &&
                                   scenario->step == STEP_STARTED));
    if (response_lost) {
        assert_outcome(scenario, "first submission", outcome, "unknown");
    }
    else {
        g_free(outcome);
    }
}

/// Checks the outcomes of client retries at every node after the recovery. A
/// client retry with another body is refused; its outcome is unknown, because
/// the refusal doesn't tell whether the booking with this key has run.
static void
check_after_recovery(scenario_t *scenario)
{
    int vms[] = {OWNER, OTHER, BACK, BACK + 1};
    for (size_t i = 0; i < G_N_ELEMENTS(vms); i++) {
        char *outcome =
            wait_for_outcome(scenario, submit(scenario, vms[i], "one"));
        if (is_killed(scenario, TARGET_OWNER)) {
            assert_outcome(scenario, "client retry", outcome, "unknown");
        }
        else if (scenario->step == STEP_RETURNED) {
            assert_outcome(scenario, "client retry", outcome, "answered");
        }
        else {
            g_free(outcome);
        }
        assert_outcome(
            scenario, "client retry with another body",
            wait_for_outcome(scenario, submit(scenario, vms[i], "three")),
            "unknown");
    }
}

/// Runs one scenario: a fault at one step of a booking, then its recovery.
static void
run_scenario(scenario_t *scenario)
{
    scenario->runner = 0;
    scenario->booking = booking_create(
        &scenario->bookings, &scenario->bed.vms[OWNER],
        g_strdup_printf("step %d, target %d, signal %d", scenario->step,
                        scenario->target, scenario->signal_number));
    inject_fault_at_step(scenario);
    retry_during_fault(scenario);
    recover(scenario);
    check_first_submission(scenario);
    check_after_recovery(scenario);
}

/// Kills and pauses the target at every step.
static void
run_all_steps(target_t target)
{
    static const int signals[] = {SIGKILL, SIGSTOP};
    scenario_t scenario = {.target = target};
    testbed_init(&scenario.bed);
    bookings_init(&scenario.bookings, &scenario.bed);
    CU_ASSERT_TRUE(testbed_publish(&scenario.bed, "contract/acme", contract));
    const char *settings = ", \"key_linger_ms\": 100";
    testbed_add_vm(&scenario.bed, "front", "north", settings, NULL);
    testbed_add_vm(&scenario.bed, "front", "south", settings, NULL);
    testbed_add_vm(&scenario.bed, "back", "north", settings, back_upstream);
    testbed_add_vm(&scenario.bed, "back", "south", settings, back_upstream);
    recover(&scenario);
    for (size_t i = 0; i < G_N_ELEMENTS(signals); i++) {
        scenario.signal_number = signals[i];
        for (scenario.step = 0; scenario.step < STEP_COUNT; scenario.step++) {
            run_scenario(&scenario);
        }
    }
    bookings_check(&scenario.bookings);
    bookings_finish(&scenario.bookings);
    testbed_finish(&scenario.bed);
}

static void
test_owner_killed_or_paused(void)
{
    run_all_steps(TARGET_OWNER);
}

static void
test_guard_killed_or_paused(void)
{
    run_all_steps(TARGET_GUARD);
}

static void
test_upstream_killed_or_paused(void)
{
    run_all_steps(TARGET_UPSTREAM);
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"owner killed or paused", test_owner_killed_or_paused},
        {"guard killed or paused", test_guard_killed_or_paused},
        {"upstream killed or paused", test_upstream_killed_or_paused},
        CU_TEST_INFO_NULL,
    };
    return run_suite("faults_bookings", tests);
}
