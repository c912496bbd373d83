/// @file
/// A network partition between two data centres, one of which also loses its
/// platform, while both serve requests and accept bookings. Guards against a
/// key that runs on both sides, a false outcome "not-run", a side that stops
/// serving, and a contract change that doesn't reach the other side or is
/// reverted there.

#include <signal.h>

#include "common/booking.h"
#include "common/suite.h"

#define CONTRACT(percent)                                                     \
    "{\"customer\": \"acme\", \"hosts\": [\"acme.example\"], \"retries\": 3," \
    " \"client_retry_percent\": " percent ", \"kinds\": [" BOOKING_KINDS "]}"
#define IN_FORCE "event=config_item_in_force name=contract/acme version="
#define ANSWERED_PER_SIDE 8

static const char *const back_upstream[] = {"--name", "back", "--log-runs",
                                            NULL};

/// Each data centre has a platform of its own, which lists the local VMs with
/// their own addresses and the remote VMs with addresses of the relay.
enum { NORTH_FRONT, NORTH_BACK, SOUTH_FRONT, SOUTH_BACK, VM_COUNT };
enum { HOST_PLATFORM_NORTH = 1, HOST_PLATFORM_SOUTH = 100, HOST_RELAY = 150 };

typedef struct {
    testbed_t bed;
    bookings_t bookings;
    process_t south_platform;
    process_t relay;
    int relay_count; ///< relays started so far
} scenario_t;

static bool
start_standin(scenario_t *scenario, process_t *process, const char *name,
              const char *const *arguments)
{
    char *log = g_strdup_printf("%s/%s.log", scenario->bed.directory, name);
    bool started = process_start(process, log, arguments) &&
                   process_wait_log(process, "listening");
    g_free(log);
    return started;
}

static void
start_south_platform(scenario_t *scenario)
{
    char address[16];
    testbed_address(&scenario->bed, HOST_PLATFORM_SOUTH, address);
    char *listen = g_strdup_printf("%s:%d", address, PORT_PLATFORM);
    const char *const arguments[] = {IBISFIELD_BUILD_DIR
                                     "/test/standin_platform",
                                     "--listen", listen, NULL};
    CU_ASSERT_TRUE_FATAL(start_standin(scenario, &scenario->south_platform,
                                       "south-platform", arguments));
    g_free(listen);
}

/// Starts the relay in front of the peer and control ports of every VM.
static void
start_relay(scenario_t *scenario)
{
    GPtrArray *arguments = g_ptr_array_new_with_free_func(g_free);
    g_ptr_array_add(arguments,
                    g_strdup(IBISFIELD_BUILD_DIR "/test/standin_relay"));
    for (int i = 0; i < VM_COUNT; i++) {
        char relay[16];
        char own[16];
        testbed_address(&scenario->bed, HOST_RELAY + i, relay);
        testbed_address(&scenario->bed, 2 + i, own);
        for (int port = PORT_PEER; port <= PORT_CONTROL; port++) {
            g_ptr_array_add(arguments, g_strdup_printf("%s:%d=%s:%d", relay,
                                                       port, own, port));
        }
    }
    g_ptr_array_add(arguments, NULL);
    char *name = g_strdup_printf("relay-%d", scenario->relay_count++);
    CU_ASSERT_TRUE_FATAL(start_standin(scenario, &scenario->relay, name,
                                       (const char *const *)arguments->pdata));
    g_free(name);
    g_ptr_array_free(arguments, TRUE);
}

static bool
is_south(int vm)
{
    return vm >= SOUTH_FRONT;
}

/// Publishes all VMs on the platform of one data centre, with the addresses at
/// which that data centre reaches them.
static void
publish_vm_list(scenario_t *scenario, int platform_host, bool south)
{
    testbed_t side = scenario->bed;
    testbed_address(&scenario->bed, platform_host, side.address);
    CU_ASSERT_TRUE(testbed_publish(&side, "contract/acme", CONTRACT("100")));
    for (int i = 0; i < VM_COUNT; i++) {
        testbed_vm_t vm = {0};
        g_snprintf(vm.vm, sizeof(vm.vm), "vm%d", 1 + i);
        g_strlcpy(vm.service, i % 2 == 0 ? "front" : "back",
                  sizeof(vm.service));
        g_strlcpy(vm.data_centre, is_south(i) ? "south" : "north",
                  sizeof(vm.data_centre));
        bool remote = is_south(i) != south;
        testbed_address(&scenario->bed, (remote ? HOST_RELAY : 2) + i,
                        vm.address);
        CU_ASSERT_TRUE(testbed_publish_vm(&side, &vm, "live"));
    }
}

static void
start_scenario(scenario_t *scenario)
{
    testbed_t *bed = &scenario->bed;
    *scenario = (scenario_t){0};
    testbed_init(bed);
    bookings_init(&scenario->bookings, bed);
    start_south_platform(scenario);
    start_relay(scenario);
    publish_vm_list(scenario, HOST_PLATFORM_NORTH, false);
    publish_vm_list(scenario, HOST_PLATFORM_SOUTH, true);
    for (int i = 0; i < VM_COUNT; i++) {
        testbed_address(
            bed, is_south(i) ? HOST_PLATFORM_SOUTH : HOST_PLATFORM_NORTH,
            bed->platform_address_for_vms);
        testbed_start_vm(bed, i % 2 == 0 ? "front" : "back",
                         is_south(i) ? "south" : "north", "",
                         i % 2 == 0 ? NULL : back_upstream);
    }
    CU_ASSERT_TRUE_FATAL(testbed_wait_ready(bed));
    CU_ASSERT_TRUE(wait_until(look_succeeds, &bed->vms[NORTH_FRONT]));
    CU_ASSERT_TRUE(wait_until(look_succeeds, &bed->vms[SOUTH_FRONT]));
}

static void
finish_scenario(scenario_t *scenario)
{
    bookings_check(&scenario->bookings);
    bookings_finish(&scenario->bookings);
    process_finish(&scenario->relay);
    process_finish(&scenario->south_platform);
    testbed_finish(&scenario->bed);
}

/// Sends a booking and returns true if its outcome is "answered".
static bool
submit(booking_t *booking, const testbed_vm_t *vm)
{
    char *outcome = booking_wait(booking, booking_submit(booking, vm, "one"));
    bool answered = strcmp(outcome, "answered") == 0;
    g_free(outcome);
    return answered;
}

/// Sends bookings to one side until enough are answered, which they are once
/// its nodes avoid the unreachable VMs of the other side. Every booking is
/// checked at the end of the test, whatever its outcome.
typedef struct {
    scenario_t *scenario;
    const testbed_vm_t *vm;
    const char *side;
    int answered;
} booking_run_t;

static bool
has_enough_answered(void *context)
{
    booking_run_t *run = context;
    char *label =
        g_strdup_printf("%s %u", run->side, run->scenario->bookings.all->len);
    booking_t *booking =
        booking_create(&run->scenario->bookings, run->vm, label);
    run->answered += submit(booking, run->vm);
    return run->answered >= ANSWERED_PER_SIDE;
}

static void
book_at(scenario_t *scenario, int vm, const char *side)
{
    booking_run_t run = {scenario, &scenario->bed.vms[vm], side, 0};
    CU_ASSERT_TRUE(wait_until(has_enough_answered, &run));
}

typedef struct {
    booking_t *booking;
    const testbed_vm_t *vm;
} client_retry_t;

static bool
is_answered(void *context)
{
    const client_retry_t *retry = context;
    return submit(retry->booking, retry->vm);
}

/// Publishes a new version on the platform of the north and checks that only
/// the north has it in force.
static void
change_contract(scenario_t *scenario)
{
    CU_ASSERT_TRUE(
        testbed_publish(&scenario->bed, "contract/acme", CONTRACT("50")));
    for (int i = NORTH_FRONT; i <= NORTH_BACK; i++) {
        CU_ASSERT_TRUE(
            process_wait_log(&scenario->bed.vms[i].node, IN_FORCE "2"));
    }
    for (int i = SOUTH_FRONT; i <= SOUTH_BACK; i++) {
        CU_ASSERT_FALSE(
            process_has_logged(&scenario->bed.vms[i].node, IN_FORCE "2"));
    }
}

/// Checks that the south learns the change from the north, and that its own
/// platform, which returns with the older version, doesn't revert it.
static void
check_contract_in_south(scenario_t *scenario)
{
    for (int i = SOUTH_FRONT; i <= SOUTH_BACK; i++) {
        CU_ASSERT_TRUE(
            process_wait_log(&scenario->bed.vms[i].node, IN_FORCE "2"));
    }
    kill(scenario->south_platform.pid, SIGCONT);
    book_at(scenario, SOUTH_FRONT, "south after the partition");
    for (int i = SOUTH_FRONT; i <= SOUTH_BACK; i++) {
        char *log = process_log(&scenario->bed.vms[i].node);
        const char *last = g_strrstr(log, IN_FORCE);
        CU_ASSERT_PTR_NOT_NULL_FATAL(last);
        CU_ASSERT_TRUE(g_str_has_prefix(last, IN_FORCE "2"));
        g_free(log);
    }
}

/// Starts the partition. With @p reset connections are reset, without it they
/// stay open but pass no bytes.
static void
start_partition(scenario_t *scenario, bool reset)
{
    if (reset) {
        process_finish(&scenario->relay);
    }
    else {
        kill(scenario->relay.pid, SIGSTOP);
    }
    kill(scenario->south_platform.pid, SIGSTOP);
}

/// Ends the partition between the data centres.
static void
end_partition(scenario_t *scenario, bool reset)
{
    if (reset) {
        start_relay(scenario);
    }
    else {
        kill(scenario->relay.pid, SIGCONT);
    }
}

static void
run_partition(bool reset)
{
    static scenario_t scenario;
    start_scenario(&scenario);
    testbed_vm_t *vms = scenario.bed.vms;
    booking_t *early = booking_create(&scenario.bookings, &vms[NORTH_FRONT],
                                      g_strdup("issued before the partition"));
    start_partition(&scenario, reset);
    CU_ASSERT_FALSE(submit(early, &vms[SOUTH_FRONT]));
    book_at(&scenario, NORTH_FRONT, "north");
    book_at(&scenario, SOUTH_FRONT, "south");
    booking_t *late = booking_create(&scenario.bookings, &vms[NORTH_FRONT],
                                     g_strdup("answered in the north"));
    bool answered = submit(late, &vms[NORTH_FRONT]);
    CU_ASSERT_FALSE(submit(late, &vms[SOUTH_FRONT]));
    change_contract(&scenario);
    end_partition(&scenario, reset);
    client_retry_t retry = {late, &vms[SOUTH_FRONT]};
    CU_ASSERT_TRUE(!answered || wait_until(is_answered, &retry));
    check_contract_in_south(&scenario);
    finish_scenario(&scenario);
}

static void
test_connections_stall(void)
{
    run_partition(false);
}

static void
test_connections_reset(void)
{
    run_partition(true);
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"connections stall", test_connections_stall},
        {"connections reset", test_connections_reset},
        CU_TEST_INFO_NULL,
    };
    return run_suite("faults_partition", tests);
}
