/// @file
/// A VM that leaves by the published list, by its operators, by its upstream's
/// health and by SIGTERM, while a sender was paused and wakes with an old
/// list. Guards against work that starts at a leaving upstream.

#include <signal.h>

#include "common/booking.h"
#include "common/suite.h"

#define STALE_CALLS 8

static const char contract[] =
    "{\"customer\": \"acme\", \"hosts\": [\"acme.example\"], \"retries\": 3,"
    " \"client_retry_percent\": 100, \"kinds\": [" BOOKING_KINDS "]}";

static const char *const back_upstream[] = {"--name", "back", "--log-runs",
                                            NULL};

/// The only VM of service "back" leaves, so that a sender with an old list can
/// choose no other.
enum { SENDER, OTHER, BACK, VM_COUNT };

typedef struct {
    testbed_t bed;
    bookings_t bookings;
    call_in_flight_t *calls[STALE_CALLS];
} scene_t;

static void
start_scene(scene_t *scene)
{
    testbed_t *bed = &scene->bed;
    testbed_init(bed);
    bookings_init(&scene->bookings, bed);
    CU_ASSERT_TRUE(testbed_publish(bed, "contract/acme", contract));
    testbed_add_vm(bed, "front", "north", "", NULL);
    testbed_add_vm(bed, "front", "south", "", NULL);
    testbed_add_vm(bed, "back", "north", ", \"key_linger_ms\": 3000",
                   back_upstream);
    CU_ASSERT_TRUE_FATAL(testbed_wait_ready(bed));
    CU_ASSERT_TRUE(wait_until(look_succeeds, &bed->vms[SENDER]));
    CU_ASSERT_TRUE(wait_until(look_succeeds, &bed->vms[OTHER]));
}

static void
finish_scene(scene_t *scene)
{
    bookings_check(&scene->bookings);
    bookings_finish(&scene->bookings);
    testbed_finish(&scene->bed);
}

static void
post(const testbed_vm_t *vm, uint16_t port, const char *path)
{
    text_response_t answer = call(vm->address, port, "POST", path, NULL, NULL);
    CU_ASSERT_EQUAL(answer.status, 200);
    text_response_free(&answer);
}

static void
expect_refusal(text_response_t *answer, const char *reason)
{
    char *outcome = response_header(answer, "ibisfield-outcome");
    char *found = response_header(answer, "ibisfield-reason");
    CU_ASSERT_EQUAL(answer->status, 503);
    CU_ASSERT_STRING_EQUAL(outcome, "not-run");
    CU_ASSERT_TRUE(reason == NULL || strcmp(found, reason) == 0);
    g_free(outcome);
    g_free(found);
    text_response_free(answer);
}

/// A request as a node with any old view sends it to the guard.
static void
send_to_guard(const testbed_vm_t *vm)
{
    text_response_t answer =
        call(vm->address, PORT_PEER, "GET", "/look",
             "ibisfield-protocol: 1\nibisfield-customer: acme\n"
             "ibisfield-kind: look\nibisfield-service: back\n"
             "ibisfield-worth: 10\nibisfield-retries: 0\n"
             "ibisfield-budget-us: 3000000",
             NULL);
    expect_refusal(&answer, "leaving");
}

/// Pauses the sender with requests in its socket, a booking among them.
static void
pause_sender(scene_t *scene, booking_t *booking)
{
    const testbed_vm_t *sender = &scene->bed.vms[SENDER];
    kill(sender->node.pid, SIGSTOP);
    scene->calls[0] = booking_submit(booking, sender, "one");
    for (int i = 1; i < STALE_CALLS; i++) {
        scene->calls[i] =
            call_start(sender->address, PORT_CALLER, "GET", "/look",
                       "ibisfield-customer: acme", NULL);
    }
}

/// Sends by every way once the guard of the leaving VM knows, and checks that
/// all is refused and nothing starts.
static void
check_no_new_work(scene_t *scene, const char *cause)
{
    testbed_vm_t *back = &scene->bed.vms[BACK];
    CU_ASSERT_TRUE_FATAL(process_wait_log(&back->node, cause));
    booking_t *late = scene->bookings.all->pdata[0];
    int before = testbed_count_logged(&scene->bed, "run ");
    kill(scene->bed.vms[SENDER].node.pid, SIGCONT);
    booking_expect(late, "paused", booking_record(late, scene->calls[0]),
                   "not-run");
    for (int i = 1; i < STALE_CALLS; i++) {
        text_response_t answer = call_wait(scene->calls[i]);
        expect_refusal(&answer, NULL);
    }
    send_to_guard(back);
    for (int i = SENDER; i <= OTHER; i++) {
        booking_expect(
            late, "resent",
            booking_record(late,
                           booking_submit(late, &scene->bed.vms[i], "one")),
            "not-run");
        text_response_t answer =
            call(scene->bed.vms[i].address, PORT_CALLER, "GET", "/look",
                 "ibisfield-customer: acme", NULL);
        expect_refusal(&answer, NULL);
    }
    CU_ASSERT_EQUAL(testbed_count_logged(&scene->bed, "run "), before);
}

static booking_t *
issue(scene_t *scene, const char *label)
{
    return booking_issue(&scene->bookings, &scene->bed.vms[SENDER],
                         g_strdup(label));
}

static void
test_listed_as_leaving(void)
{
    scene_t scene;
    start_scene(&scene);
    testbed_vm_t *back = &scene.bed.vms[BACK];
    pause_sender(&scene, issue(&scene, "listed"));
    CU_ASSERT_TRUE(testbed_publish_vm(&scene.bed, back, "leaving"));
    check_no_new_work(&scene, "causes=2 leaving=1");
    CU_ASSERT_TRUE(testbed_publish_vm(&scene.bed, back, "live"));
    CU_ASSERT_TRUE(wait_until(look_succeeds, &scene.bed.vms[SENDER]));
    finish_scene(&scene);
}

static void
test_drained_by_operators(void)
{
    scene_t scene;
    start_scene(&scene);
    testbed_vm_t *back = &scene.bed.vms[BACK];
    pause_sender(&scene, issue(&scene, "drain"));
    post(back, PORT_OPERATOR, "/drain");
    check_no_new_work(&scene, "causes=4 leaving=1");
    finish_scene(&scene);
}

/// The upstream says that it drains and says "ok" again after a restart.
static void
test_upstream_reports_draining(void)
{
    scene_t scene;
    start_scene(&scene);
    testbed_vm_t *back = &scene.bed.vms[BACK];
    pause_sender(&scene, issue(&scene, "health"));
    post(back, PORT_UPSTREAM, "/test/drain");
    check_no_new_work(&scene, "causes=8 leaving=1");
    process_stop(&back->upstream, SIGKILL);
    CU_ASSERT_TRUE(testbed_start_upstream(&scene.bed, back));
    CU_ASSERT_TRUE(wait_until(look_succeeds, &scene.bed.vms[SENDER]));
    finish_scene(&scene);
}

/// A request that runs when SIGTERM comes is finished and answered.
static void
test_sigterm(void)
{
    scene_t scene;
    start_scene(&scene);
    testbed_vm_t *back = &scene.bed.vms[BACK];
    booking_t *late = issue(&scene, "sigterm");
    booking_t *running = issue(&scene, "running at sigterm");
    post(back, PORT_UPSTREAM, "/test/hold/1");
    call_in_flight_t *flight =
        booking_submit(running, &scene.bed.vms[SENDER], "one");
    char *text = g_strdup_printf("run %s", running->key);
    CU_ASSERT_TRUE(process_wait_log(&back->upstream, text));
    g_free(text);
    pause_sender(&scene, late);
    kill(back->node.pid, SIGTERM);
    check_no_new_work(&scene, "causes=1 leaving=1");
    post(back, PORT_UPSTREAM, "/test/hold/0");
    booking_expect(running, "held", booking_record(running, flight),
                   "answered");
    CU_ASSERT_EQUAL(process_wait(&back->node), 0);
    CU_ASSERT_TRUE(testbed_start_node(&scene.bed, back));
    CU_ASSERT_TRUE(wait_until(look_succeeds, &scene.bed.vms[SENDER]));
    finish_scene(&scene);
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"listed as leaving", test_listed_as_leaving},
        {"drained by operators", test_drained_by_operators},
        {"upstream reports draining", test_upstream_reports_draining},
        {"sigterm", test_sigterm},
        CU_TEST_INFO_NULL,
    };
    return run_suite("faults_leaving", tests);
}
