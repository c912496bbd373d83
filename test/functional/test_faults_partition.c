/// @file
/// Two data centres that are cut off from each other, one of them also from
/// the platform, while both serve and take bookings. Guards against a key that
/// runs on both sides, a "not run" that is false, a side that stops serving,
/// and a contract change that misses the other side or is undone there.

#include <signal.h>

#include "common/booking.h"
#include "common/suite.h"

#define CONTRACT(percent)                                                     \
    "{\"customer\": \"acme\", \"hosts\": [\"acme.example\"], \"retries\": 3," \
    " \"client_retry_percent\": " percent ", \"kinds\": [" BOOKING_KINDS "]}"
#define IN_FORCE "event=config_item_in_force name=contract/acme version="
#define BOOKINGS_PER_SIDE 8

static const char *const back_upstream[] = {"--name", "back", "--log-runs",
                                            NULL};

/// North is listed with its own addresses on its platform and with those of
/// the relay on the platform of the south, and the other way round.
enum { NORTH_FRONT, NORTH_BACK, SOUTH_FRONT, SOUTH_BACK, VM_COUNT };
enum { HOST_PLATFORM_NORTH = 1, HOST_PLATFORM_SOUTH = 100, HOST_RELAY = 150 };

typedef struct {
    testbed_t bed;
    bookings_t bookings;
    process_t south_platform;
    process_t relay;
    int relays; ///< started so far
} scene_t;

static bool
start_helper(scene_t *scene, process_t *process, const char *name,
             const char *const *arguments)
{
    char *log = g_strdup_printf("%s/%s.log", scene->bed.directory, name);
    bool started = process_start(process, log, arguments) &&
                   process_wait_log(process, "listening");
    g_free(log);
    return started;
}

static void
start_south_platform(scene_t *scene)
{
    char address[16];
    testbed_address(&scene->bed, HOST_PLATFORM_SOUTH, address);
    char *listen = g_strdup_printf("%s:%d", address, PORT_PLATFORM);
    const char *const arguments[] = {IBISFIELD_BUILD_DIR
                                     "/test/standin_platform",
                                     "--listen", listen, NULL};
    CU_ASSERT_TRUE_FATAL(start_helper(scene, &scene->south_platform,
                                      "south-platform", arguments));
    g_free(listen);
}

/// Starts the relay before the peer and control ports of every VM.
static void
start_relay(scene_t *scene)
{
    GPtrArray *arguments = g_ptr_array_new_with_free_func(g_free);
    g_ptr_array_add(arguments,
                    g_strdup(IBISFIELD_BUILD_DIR "/test/standin_relay"));
    for (int i = 0; i < VM_COUNT; i++) {
        char relay[16];
        char own[16];
        testbed_address(&scene->bed, HOST_RELAY + i, relay);
        testbed_address(&scene->bed, 2 + i, own);
        for (int port = PORT_PEER; port <= PORT_CONTROL; port++) {
            g_ptr_array_add(arguments, g_strdup_printf("%s:%d=%s:%d", relay,
                                                       port, own, port));
        }
    }
    g_ptr_array_add(arguments, NULL);
    char *name = g_strdup_printf("relay-%d", scene->relays++);
    CU_ASSERT_TRUE_FATAL(start_helper(scene, &scene->relay, name,
                                      (const char *const *)arguments->pdata));
    g_free(name);
    g_ptr_array_free(arguments, TRUE);
}

static bool
is_south(int vm)
{
    return vm >= SOUTH_FRONT;
}

/// Publishes all VMs on one platform, as its side sees them.
static void
publish_list(scene_t *scene, int platform_host, bool south)
{
    testbed_t side = scene->bed;
    testbed_address(&scene->bed, platform_host, side.address);
    CU_ASSERT_TRUE(testbed_publish(&side, "contract/acme", CONTRACT("100")));
    for (int i = 0; i < VM_COUNT; i++) {
        testbed_vm_t vm = {0};
        g_snprintf(vm.vm, sizeof(vm.vm), "vm%d", 1 + i);
        g_strlcpy(vm.service, i % 2 == 0 ? "front" : "back",
                  sizeof(vm.service));
        g_strlcpy(vm.data_centre, is_south(i) ? "south" : "north",
                  sizeof(vm.data_centre));
        bool remote = is_south(i) != south;
        testbed_address(&scene->bed, (remote ? HOST_RELAY : 2) + i,
                        vm.address);
        CU_ASSERT_TRUE(testbed_publish_vm(&side, &vm, "live"));
    }
}

static void
start_scene(scene_t *scene)
{
    testbed_t *bed = &scene->bed;
    *scene = (scene_t){0};
    testbed_init(bed);
    bookings_init(&scene->bookings, bed);
    start_south_platform(scene);
    start_relay(scene);
    publish_list(scene, HOST_PLATFORM_NORTH, false);
    publish_list(scene, HOST_PLATFORM_SOUTH, true);
    for (int i = 0; i < VM_COUNT; i++) {
        testbed_address(
            bed, is_south(i) ? HOST_PLATFORM_SOUTH : HOST_PLATFORM_NORTH,
            bed->node_platform);
        testbed_start_vm(bed, i % 2 == 0 ? "front" : "back",
                         is_south(i) ? "south" : "north", "",
                         i % 2 == 0 ? NULL : back_upstream);
    }
    CU_ASSERT_TRUE_FATAL(testbed_wait_ready(bed));
    CU_ASSERT_TRUE(wait_until(look_succeeds, &bed->vms[NORTH_FRONT]));
    CU_ASSERT_TRUE(wait_until(look_succeeds, &bed->vms[SOUTH_FRONT]));
}

static void
finish_scene(scene_t *scene)
{
    bookings_check(&scene->bookings);
    bookings_finish(&scene->bookings);
    process_finish(&scene->relay);
    process_finish(&scene->south_platform);
    testbed_finish(&scene->bed);
}

static bool
submit(booking_t *booking, const testbed_vm_t *vm)
{
    char *outcome =
        booking_record(booking, booking_submit(booking, vm, "one"));
    bool answered = strcmp(outcome, "answered") == 0;
    g_free(outcome);
    return answered;
}

/// Books at one side until the cut-off VMs of the other are avoided. Every
/// booking is checked at the end, whatever it was told.
typedef struct {
    scene_t *scene;
    const testbed_vm_t *vm;
    const char *side;
    int answered;
} booker_t;

static bool
has_booked(void *context)
{
    booker_t *booker = context;
    char *label = g_strdup_printf("%s %u", booker->side,
                                  booker->scene->bookings.all->len);
    booking_t *booking =
        booking_issue(&booker->scene->bookings, booker->vm, label);
    booker->answered += submit(booking, booker->vm);
    return booker->answered >= BOOKINGS_PER_SIDE;
}

static void
book_at(scene_t *scene, int vm, const char *side)
{
    booker_t booker = {scene, &scene->bed.vms[vm], side, 0};
    CU_ASSERT_TRUE(wait_until(has_booked, &booker));
}

typedef struct {
    booking_t *booking;
    const testbed_vm_t *vm;
} resend_t;

static bool
is_answered(void *context)
{
    const resend_t *resend = context;
    return submit(resend->booking, resend->vm);
}

static void
change_contract(scene_t *scene)
{
    CU_ASSERT_TRUE(
        testbed_publish(&scene->bed, "contract/acme", CONTRACT("50")));
    for (int i = NORTH_FRONT; i <= NORTH_BACK; i++) {
        CU_ASSERT_TRUE(
            process_wait_log(&scene->bed.vms[i].node, IN_FORCE "2"));
    }
    for (int i = SOUTH_FRONT; i <= SOUTH_BACK; i++) {
        CU_ASSERT_FALSE(
            process_has_logged(&scene->bed.vms[i].node, IN_FORCE "2"));
    }
}

/// The south learns the change from the north, and its own platform, which
/// comes back with the older version, doesn't undo it.
static void
check_contract_in_south(scene_t *scene)
{
    for (int i = SOUTH_FRONT; i <= SOUTH_BACK; i++) {
        CU_ASSERT_TRUE(
            process_wait_log(&scene->bed.vms[i].node, IN_FORCE "2"));
    }
    kill(scene->south_platform.pid, SIGCONT);
    book_at(scene, SOUTH_FRONT, "south after");
    for (int i = SOUTH_FRONT; i <= SOUTH_BACK; i++) {
        char *log = process_log(&scene->bed.vms[i].node);
        const char *last = g_strrstr(log, IN_FORCE);
        CU_ASSERT_PTR_NOT_NULL_FATAL(last);
        CU_ASSERT_TRUE(g_str_has_prefix(last, IN_FORCE "2"));
        g_free(log);
    }
}

/// @p reset: connections are reset; otherwise bytes are no longer passed.
static void
cut(scene_t *scene, bool reset)
{
    if (reset) {
        process_finish(&scene->relay);
    }
    else {
        kill(scene->relay.pid, SIGSTOP);
    }
    kill(scene->south_platform.pid, SIGSTOP);
}

static void
heal(scene_t *scene, bool reset)
{
    if (reset) {
        start_relay(scene);
    }
    else {
        kill(scene->relay.pid, SIGCONT);
    }
}

static void
run_partition(bool reset)
{
    static scene_t scene;
    start_scene(&scene);
    testbed_vm_t *vms = scene.bed.vms;
    booking_t *early = booking_issue(&scene.bookings, &vms[NORTH_FRONT],
                                     g_strdup("issued before the cut"));
    cut(&scene, reset);
    CU_ASSERT_FALSE(submit(early, &vms[SOUTH_FRONT]));
    book_at(&scene, NORTH_FRONT, "north");
    book_at(&scene, SOUTH_FRONT, "south");
    booking_t *late = booking_issue(&scene.bookings, &vms[NORTH_FRONT],
                                    g_strdup("answered in the north"));
    bool answered = submit(late, &vms[NORTH_FRONT]);
    CU_ASSERT_FALSE(submit(late, &vms[SOUTH_FRONT]));
    change_contract(&scene);
    heal(&scene, reset);
    resend_t resend = {late, &vms[SOUTH_FRONT]};
    CU_ASSERT_TRUE(!answered || wait_until(is_answered, &resend));
    check_contract_in_south(&scene);
    finish_scene(&scene);
}

static void
test_bytes_stop(void)
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
        {"bytes stop", test_bytes_stop},
        {"connections reset", test_connections_reset},
        CU_TEST_INFO_NULL,
    };
    return run_suite("faults_partition", tests);
}
