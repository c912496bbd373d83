/// @file
/// A VM that drains because of the published VM list, a request of its
/// operators, the health of its upstream or SIGTERM, while a sender was paused
/// and resumes with an outdated VM list. Guards against work that starts at
/// the upstream of a draining VM.

#include <signal.h>

#include "common/booking.h"
#include "common/suite.h"

#define STALE_CALL_COUNT 8

static const char contract[] =
    "{\"customer\": \"acme\", \"hosts\": [\"acme.example\"], \"retries\": 3,"
    " \"client_retry_percent\": 100, \"kinds\": [" BOOKING_KINDS "]}";

static const char *const back_upstream[] = {"--name", "back", "--log-runs",
                                            NULL};

/// The only VM of service "back" drains, so that a sender with an outdated VM
/// list has no other candidate.
enum { SENDER, OTHER, BACK, VM_COUNT };

typedef struct {
    testbed_t bed;
    bookings_t bookings;
    http_call_t *calls[STALE_CALL_COUNT];
} scenario_t;

static void
start_scenario(scenario_t *scenario)
{
    testbed_t *bed = &scenario->bed;
    testbed_init(bed);
    bookings_init(&scenario->bookings, bed);
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
finish_scenario(scenario_t *scenario)
{
    bookings_check(&scenario->bookings);
    bookings_finish(&scenario->bookings);
    testbed_finish(&scenario->bed);
}

static void
post(const testbed_vm_t *vm, uint16_t port, const char *path)
{
    text_response_t response =
        http_call(vm->address, port, "POST", path, NULL, NULL);
    CU_ASSERT_EQUAL(response.status, 200);
    text_response_free(&response);
}

static void
assert_refused(text_response_t *response, const char *reason)
{
    char *outcome = response_header(response, "ibisfield-outcome");
    char *found = response_header(response, "ibisfield-reason");
    CU_ASSERT_EQUAL(response->status, 503);
    CU_ASSERT_STRING_EQUAL(outcome, "not-run");
    CU_ASSERT_TRUE(reason == NULL || strcmp(found, reason) == 0);
    g_free(outcome);
    g_free(found);
    text_response_free(response);
}

/// Sends a request to the guard, as a node with an outdated VM list does, and
/// checks that it is refused.
static void
check_guard_refuses(const testbed_vm_t *vm)
{
    text_response_t response =
        http_call(vm->address, PORT_PEER, "GET", "/look",
                  "ibisfield-protocol: 1\nibisfield-customer: acme\n"
                  "ibisfield-kind: look\nibisfield-service: back\n"
                  "ibisfield-worth: 10\nibisfield-retries: 0\n"
                  "ibisfield-budget-us: 3000000",
                  NULL);
    assert_refused(&response, "leaving");
}

/// Pauses the sender and sends it requests, one of them a booking, which stay
/// in its socket.
static void
pause_sender(scenario_t *scenario, booking_t *booking)
{
    const testbed_vm_t *sender = &scenario->bed.vms[SENDER];
    kill(sender->node.pid, SIGSTOP);
    scenario->calls[0] = booking_submit(booking, sender, "one");
    for (int i = 1; i < STALE_CALL_COUNT; i++) {
        scenario->calls[i] =
            http_call_start(sender->address, PORT_CALLER, "GET", "/look",
                            "ibisfield-customer: acme", NULL);
    }
}

/// Waits until the guard of the draining VM has logged @p cause, resumes the
/// sender and sends requests on every path. Checks that all are refused and
/// that the upstream runs none of them.
static void
check_no_new_work(scenario_t *scenario, const char *cause)
{
    testbed_vm_t *back = &scenario->bed.vms[BACK];
    CU_ASSERT_TRUE_FATAL(process_wait_log(&back->node, cause));
    booking_t *stale_booking = scenario->bookings.all->pdata[0];
    int runs_before = testbed_count_in_upstream_logs(&scenario->bed, "run ");
    kill(scenario->bed.vms[SENDER].node.pid, SIGCONT);
    booking_assert_outcome(stale_booking, "sent while paused",
                           booking_wait(stale_booking, scenario->calls[0]),
                           "not-run");
    for (int i = 1; i < STALE_CALL_COUNT; i++) {
        text_response_t response = http_call_wait(scenario->calls[i]);
        assert_refused(&response, NULL);
    }
    check_guard_refuses(back);
    for (int i = SENDER; i <= OTHER; i++) {
        booking_assert_outcome(
            stale_booking, "client retry",
            booking_wait(
                stale_booking,
                booking_submit(stale_booking, &scenario->bed.vms[i], "one")),
            "not-run");
        text_response_t response =
            http_call(scenario->bed.vms[i].address, PORT_CALLER, "GET",
                      "/look", "ibisfield-customer: acme", NULL);
        assert_refused(&response, NULL);
    }
    CU_ASSERT_EQUAL(testbed_count_in_upstream_logs(&scenario->bed, "run "),
                    runs_before);
}

static booking_t *
create_booking(scenario_t *scenario, const char *label)
{
    return booking_create(&scenario->bookings, &scenario->bed.vms[SENDER],
                          g_strdup(label));
}

static void
test_listed_as_leaving(void)
{
    scenario_t scenario;
    start_scenario(&scenario);
    testbed_vm_t *back = &scenario.bed.vms[BACK];
    pause_sender(&scenario, create_booking(&scenario, "listed"));
    CU_ASSERT_TRUE(testbed_publish_vm(&scenario.bed, back, "leaving"));
    check_no_new_work(&scenario, "causes=2 leaving=1");
    CU_ASSERT_TRUE(testbed_publish_vm(&scenario.bed, back, "live"));
    CU_ASSERT_TRUE(wait_until(look_succeeds, &scenario.bed.vms[SENDER]));
    finish_scenario(&scenario);
}

static void
test_drained_by_operators(void)
{
    scenario_t scenario;
    start_scenario(&scenario);
    testbed_vm_t *back = &scenario.bed.vms[BACK];
    pause_sender(&scenario, create_booking(&scenario, "drain"));
    post(back, PORT_OPERATOR, "/drain");
    check_no_new_work(&scenario, "causes=4 leaving=1");
    finish_scenario(&scenario);
}

/// The upstream reports "draining", and "ok" again after a restart.
static void
test_upstream_reports_draining(void)
{
    scenario_t scenario;
    start_scenario(&scenario);
    testbed_vm_t *back = &scenario.bed.vms[BACK];
    pause_sender(&scenario, create_booking(&scenario, "health"));
    post(back, PORT_UPSTREAM, "/test/drain");
    check_no_new_work(&scenario, "causes=8 leaving=1");
    process_stop(&back->upstream, SIGKILL);
    CU_ASSERT_TRUE(testbed_start_upstream(&scenario.bed, back));
    CU_ASSERT_TRUE(wait_until(look_succeeds, &scenario.bed.vms[SENDER]));
    finish_scenario(&scenario);
}

/// A request that runs when SIGTERM arrives is completed, and its caller gets
/// the response.
static void
test_sigterm(void)
{
    scenario_t scenario;
    start_scenario(&scenario);
    testbed_vm_t *back = &scenario.bed.vms[BACK];
    booking_t *stale_booking = create_booking(&scenario, "sigterm");
    booking_t *running = create_booking(&scenario, "running at sigterm");
    post(back, PORT_UPSTREAM, "/test/hold/1");
    http_call_t *in_flight =
        booking_submit(running, &scenario.bed.vms[SENDER], "one");
    char *text = g_strdup_printf("run %s", running->key);
    CU_ASSERT_TRUE(process_wait_log(&back->upstream, text));
    g_free(text);
    pause_sender(&scenario, stale_booking);
    kill(back->node.pid, SIGTERM);
    check_no_new_work(&scenario, "causes=1 leaving=1");
    post(back, PORT_UPSTREAM, "/test/hold/0");
    booking_assert_outcome(running, "running",
                           booking_wait(running, in_flight), "answered");
    CU_ASSERT_EQUAL(process_wait(&back->node), 0);
    CU_ASSERT_TRUE(testbed_start_node(&scenario.bed, back));
    CU_ASSERT_TRUE(wait_until(look_succeeds, &scenario.bed.vms[SENDER]));
    finish_scenario(&scenario);
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
