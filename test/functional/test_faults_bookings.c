/// @file
/// Bookings while the owner of their key, the guard or the upstream is killed
/// or paused at each step. Guards against a second run of a key, and against
/// "not-run" for a key that ran or runs later.

#include <signal.h>

#include "common/booking.h"
#include "common/suite.h"

/// Time for a request to reach the socket of a paused process. Only how often
/// the intended step is met depends on it, no verdict does.
#define SOCKET_DELAY_US (50 * US_PER_MS)

static const char contract[] =
    "{\"customer\": \"acme\", \"hosts\": [\"acme.example\"], \"retries\": 3,"
    " \"client_retry_percent\": 100, \"kinds\": [" BOOKING_KINDS "]}";

static const char *const back_upstream[] = {"--name", "back", "--log-runs",
                                            NULL};

/// VMs of the bed. Services "front" have no upstream.
enum { OWNER, OTHER, BACK, VM_COUNT = 4 };

typedef enum {
    STEP_ISSUED,    ///< the key
    STEP_SUBMITTED, ///< in the owner's socket
    STEP_SENT,      ///< in a guard's socket
    STEP_STARTED,   ///< at the upstream
    STEP_ANSWERED,  ///< in the guard's socket
    STEP_PASSED_ON, ///< to the caller
    STEP_COUNT
} step_t;

typedef enum { HIT_OWNER, HIT_GUARD, HIT_UPSTREAM, HIT_COUNT } hit_t;

typedef struct {
    testbed_t bed;
    bookings_t bookings;
    booking_t *booking;
    step_t step;
    hit_t hit;
    int signal_number; ///< SIGKILL or SIGSTOP
    int runner;        ///< VM that runs the booking; 0: not known
    call_in_flight_t *first;
} scene_t;

static bool
is_killed(const scene_t *scene, hit_t hit)
{
    return scene->signal_number == SIGKILL && scene->hit == hit;
}

static call_in_flight_t *
submit(scene_t *scene, int vm, const char *body)
{
    return booking_submit(scene->booking, &scene->bed.vms[vm], body);
}

static char *
note(scene_t *scene, call_in_flight_t *flight)
{
    return booking_record(scene->booking, flight);
}

static void
expect(const scene_t *scene, const char *what, char *outcome,
       const char *expected)
{
    booking_expect(scene->booking, what, outcome, expected);
}

static bool
has_run(void *context)
{
    scene_t *scene = context;
    char *text = g_strdup_printf("run %s", scene->booking->key);
    for (int i = BACK; i < VM_COUNT; i++) {
        if (process_has_logged(&scene->bed.vms[i].upstream, text)) {
            scene->runner = i;
        }
    }
    g_free(text);
    return scene->runner != 0;
}

static bool
has_answered(void *context)
{
    scene_t *scene = context;
    return booking_count(&scene->bookings, scene->booking, "answered") > 0;
}

static bool
has_call(void *context)
{
    const scene_t *scene = context;
    return node_metric(&scene->bed.vms[OWNER], "ibisfield_calls_in_flight") >
           0;
}

static void
signal_guards(const scene_t *scene, int signal_number)
{
    for (int i = BACK; i < VM_COUNT; i++) {
        if (scene->bed.vms[i].node.pid > 0) {
            kill(scene->bed.vms[i].node.pid, signal_number);
        }
    }
}

static void
hold_upstreams(const scene_t *scene, bool hold)
{
    for (int i = BACK; i < VM_COUNT; i++) {
        if (scene->bed.vms[i].upstream.pid > 0) {
            text_response_t answer =
                call(scene->bed.vms[i].address, PORT_UPSTREAM, "POST",
                     hold ? "/test/hold/1" : "/test/hold/0", NULL, NULL);
            text_response_free(&answer);
        }
    }
}

static void
strike_process(const scene_t *scene, process_t *process)
{
    if (scene->signal_number == SIGKILL) {
        process_stop(process, SIGKILL);
    }
    else {
        kill(process->pid, SIGSTOP);
    }
}

/// Kills or pauses what the scene hits: the owner, or guard or upstream of the
/// VM that runs the booking, of all VMs as long as it isn't known.
static void
strike(scene_t *scene)
{
    if (scene->hit == HIT_OWNER) {
        strike_process(scene, &scene->bed.vms[OWNER].node);
        return;
    }
    for (int i = BACK; i < VM_COUNT; i++) {
        testbed_vm_t *vm = &scene->bed.vms[i];
        if (scene->runner == 0 || scene->runner == i) {
            strike_process(scene, scene->hit == HIT_GUARD ? &vm->node
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

/// Resumes or restarts every process.
static void
heal(scene_t *scene)
{
    testbed_t *bed = &scene->bed;
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
    hold_upstreams(scene, false);
    CU_ASSERT_TRUE_FATAL(testbed_wait_ready(bed));
    CU_ASSERT_TRUE(wait_until(look_succeeds, &bed->vms[OWNER]));
    CU_ASSERT_TRUE(wait_until(look_succeeds, &bed->vms[OTHER]));
}

/// Brings the booking to the step and strikes there.
static void
strike_at_step(scene_t *scene)
{
    testbed_vm_t *owner = &scene->bed.vms[OWNER];
    bool owner_killed = is_killed(scene, HIT_OWNER);
    switch (scene->step) {
    case STEP_ISSUED:
        strike(scene);
        scene->first = submit(scene, owner_killed ? OTHER : OWNER, "one");
        break;
    case STEP_SUBMITTED:
        kill(owner->node.pid, SIGSTOP);
        scene->first = submit(scene, OWNER, "one");
        g_usleep(SOCKET_DELAY_US);
        strike(scene);
        if (scene->hit != HIT_OWNER) {
            resume(&owner->node);
        }
        break;
    case STEP_SENT:
        signal_guards(scene, SIGSTOP);
        scene->first = submit(scene, OWNER, "one");
        CU_ASSERT_TRUE(wait_until(has_call, scene));
        strike(scene);
        if (scene->hit != HIT_GUARD) {
            signal_guards(scene, SIGCONT);
        }
        break;
    case STEP_STARTED:
    case STEP_ANSWERED:
        hold_upstreams(scene, true);
        scene->first = submit(scene, OWNER, "one");
        CU_ASSERT_TRUE_FATAL(wait_until(has_run, scene));
        if (scene->step == STEP_ANSWERED) {
            kill(scene->bed.vms[scene->runner].node.pid, SIGSTOP);
            hold_upstreams(scene, false);
            CU_ASSERT_TRUE(wait_until(has_answered, scene));
        }
        strike(scene);
        if (scene->step == STEP_ANSWERED && scene->hit != HIT_GUARD) {
            resume(&scene->bed.vms[scene->runner].node);
        }
        break;
    default:
        scene->first = NULL;
        expect(scene, "first", note(scene, submit(scene, OWNER, "one")),
               "answered");
        CU_ASSERT_TRUE(has_run(scene));
        strike(scene);
        break;
    }
}

/// Sends the key again, with the same and with another body, while the fault
/// lasts. A node in the other data centre takes it.
static void
resend_in_fault(scene_t *scene)
{
    call_in_flight_t *same = submit(scene, OTHER, "one");
    call_in_flight_t *changed = submit(scene, OTHER, "two");
    char *outcome = note(scene, same);
    if (is_killed(scene, HIT_OWNER)) {
        expect(scene, "resent in the fault", outcome, "unknown");
    }
    else {
        g_free(outcome);
    }
    g_free(note(scene, changed));
}

/// What the first submission must be told.
static void
check_first(scene_t *scene)
{
    if (scene->first == NULL) {
        return;
    }
    char *outcome = note(scene, scene->first);
    bool lost =
        scene->runner != 0 &&
        (is_killed(scene, HIT_GUARD) ||
         (is_killed(scene, HIT_UPSTREAM) && scene->step == STEP_STARTED));
    if (lost) {
        expect(scene, "first", outcome, "unknown");
    }
    else {
        g_free(outcome);
    }
}

static void
check_after(scene_t *scene)
{
    int vms[] = {OWNER, OTHER, BACK, BACK + 1};
    for (size_t i = 0; i < G_N_ELEMENTS(vms); i++) {
        char *outcome = note(scene, submit(scene, vms[i], "one"));
        if (is_killed(scene, HIT_OWNER)) {
            expect(scene, "resent", outcome, "unknown");
        }
        else if (scene->step == STEP_PASSED_ON) {
            expect(scene, "resent", outcome, "answered");
        }
        else {
            g_free(outcome);
        }
        expect(scene, "other body",
               note(scene, submit(scene, vms[i], "three")), "unknown");
    }
}

static void
play(scene_t *scene)
{
    scene->runner = 0;
    scene->booking = booking_issue(
        &scene->bookings, &scene->bed.vms[OWNER],
        g_strdup_printf("step %d, hit %d, signal %d", scene->step, scene->hit,
                        scene->signal_number));
    strike_at_step(scene);
    resend_in_fault(scene);
    heal(scene);
    check_first(scene);
    check_after(scene);
}

static void
play_all_steps(hit_t hit)
{
    static const int signals[] = {SIGKILL, SIGSTOP};
    scene_t scene = {.hit = hit};
    testbed_init(&scene.bed);
    bookings_init(&scene.bookings, &scene.bed);
    CU_ASSERT_TRUE(testbed_publish(&scene.bed, "contract/acme", contract));
    const char *settings = ", \"key_linger_ms\": 100";
    testbed_add_vm(&scene.bed, "front", "north", settings, NULL);
    testbed_add_vm(&scene.bed, "front", "south", settings, NULL);
    testbed_add_vm(&scene.bed, "back", "north", settings, back_upstream);
    testbed_add_vm(&scene.bed, "back", "south", settings, back_upstream);
    heal(&scene);
    for (size_t i = 0; i < G_N_ELEMENTS(signals); i++) {
        scene.signal_number = signals[i];
        for (scene.step = 0; scene.step < STEP_COUNT; scene.step++) {
            play(&scene);
        }
    }
    bookings_check(&scene.bookings);
    bookings_finish(&scene.bookings);
    testbed_finish(&scene.bed);
}

static void
test_owner_killed_or_paused(void)
{
    play_all_steps(HIT_OWNER);
}

static void
test_guard_killed_or_paused(void)
{
    play_all_steps(HIT_GUARD);
}

static void
test_upstream_killed_or_paused(void)
{
    play_all_steps(HIT_UPSTREAM);
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
