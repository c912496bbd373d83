/// @file
/// Throttling at the first entry when a service deep in the call graph gets
/// twice the load of its capacity: served requests with and without it.

#include "ibisfield/admission/admission.h"
#include "ibisfield/admission/entry_throttle.h"

#include "common/suite.h"

#define SLOTS 20
#define CALLS_PER_ROOT 4
#define CALL_US (20 * US_PER_MS)
#define CALL_BUDGET_US (150 * US_PER_MS)
#define STEP_US US_PER_MS
#define ROOTS_MAX 4096
#define SIMULATED_US (20 * US_PER_S)
/// Root requests that the service can complete in the simulated time.
#define CAPACITY ((double)SIMULATED_US / CALL_US * SLOTS / CALLS_PER_ROOT)

enum { LOOKUP, BOOKING, KINDS };
static const int32_t worths[KINDS] = {80, 100};

/// A root request, which makes its calls one after the other.
typedef struct {
    bool active;
    bool running;
    int kind;
    uint32_t calls_left;
    uint32_t pressure; ///< highest that a call reported
    int64_t done_us;   ///< of the running call
} root_t;

typedef struct {
    manual_clock_t clock;
    admission_t admission;
    entry_throttle_t throttle;
    bool throttled;
    root_t roots[ROOTS_MAX];
    uint32_t leaf_kind;
    int offered[KINDS];
    int served[KINDS];
    int throttled_at_entry[KINDS];
    int aborted[KINDS]; ///< refused at one of their calls
} simulation_t;

static void
end_root(simulation_t *sim, root_t *root, bool served)
{
    root->active = false;
    sim->served[root->kind] += served ? 1 : 0;
    sim->aborted[root->kind] += served ? 0 : 1;
    entry_throttle_record(
        &sim->throttle, (uint64_t)root->kind, worths[root->kind],
        &(entry_throttle_report_t){.pressure_permille = root->pressure});
}

static void
start_call(simulation_t *sim, root_t *root)
{
    root->running = true;
    root->done_us = sim->clock.now_us + CALL_US;
}

static void
submit_call(simulation_t *sim, root_t *root)
{
    admission_request_t request = {
        .kind = sim->leaf_kind,
        .worth = worths[root->kind],
        .deadline_us = sim->clock.now_us + CALL_BUDGET_US,
        .ticket = (uint64_t)(root - sim->roots) + 1,
    };
    admission_decision_t decision =
        admission_submit(&sim->admission, &request);
    root->pressure = MAX(root->pressure, admission_pressure(&sim->admission));
    if (decision == ADMISSION_RUN) {
        start_call(sim, root);
    }
    else if (decision != ADMISSION_QUEUED) {
        end_root(sim, root, false);
    }
}

static void
run_admission(simulation_t *sim)
{
    uint64_t ticket;
    admission_event_t event;
    while ((event = admission_next_event(&sim->admission, &ticket)) !=
           ADMISSION_EVENT_NONE)
    {
        root_t *root = &sim->roots[ticket - 1];
        if (event == ADMISSION_EVENT_RUN) {
            start_call(sim, root);
        }
        else {
            end_root(sim, root, false);
        }
    }
}

static void
start_root(simulation_t *sim, int kind)
{
    sim->offered[kind]++;
    if (sim->throttled &&
        entry_throttle_refuses(&sim->throttle, (uint64_t)kind, worths[kind], 0,
                               1))
    {
        sim->throttled_at_entry[kind]++;
        return;
    }
    for (int i = 0; i < ROOTS_MAX; i++) {
        root_t *root = &sim->roots[i];
        if (!root->active) {
            *root = (root_t){
                .active = true, .kind = kind, .calls_left = CALLS_PER_ROOT};
            submit_call(sim, root);
            return;
        }
    }
    CU_FAIL_FATAL("too many requests at once");
}

static void
end_calls(simulation_t *sim)
{
    for (int i = 0; i < ROOTS_MAX; i++) {
        root_t *root = &sim->roots[i];
        if (!root->active || !root->running ||
            root->done_us > sim->clock.now_us) {
            continue;
        }
        root->running = false;
        admission_done(&sim->admission, sim->leaf_kind, CALL_US, true);
        if (--root->calls_left == 0) {
            end_root(sim, root, true);
        }
        else {
            submit_call(sim, root);
        }
    }
}

/// Simulates the load, in multiples of the capacity. One request in five is a
/// booking.
static void
simulate(simulation_t *sim, bool throttled, double load)
{
    *sim = (simulation_t){.throttled = throttled};
    manual_clock_init(&sim->clock, 100 * US_PER_S);
    admission_init(&sim->admission, &sim->clock.base,
                   &(admission_options_t){.slots = SLOTS, .seed = 1});
    sim->leaf_kind = admission_kind_index(&sim->admission, SLICE_LITERAL("c"),
                                          SLICE_LITERAL("leaf"));
    entry_throttle_init(&sim->throttle, &sim->clock.base, 1);
    int root_count = 0;
    for (int64_t at = 0; at < SIMULATED_US; at += STEP_US) {
        int due =
            (int)(load * CAPACITY * (double)(at + STEP_US) / SIMULATED_US);
        while (root_count < due) {
            start_root(sim, root_count++ % 5 == 0 ? BOOKING : LOOKUP);
        }
        run_admission(sim);
        manual_clock_advance(&sim->clock, STEP_US);
        end_calls(sim);
        run_admission(sim);
    }
    entry_throttle_finish(&sim->throttle);
    admission_finish(&sim->admission);
}

static int
total(const int counts[KINDS])
{
    return counts[LOOKUP] + counts[BOOKING];
}

/// Guards against call chains that are aborted half-way under overload. At
/// twice the capacity at least four fifths of the capacity is served and more
/// than without the throttle, nearly all bookings are served, and few requests
/// are refused after they started.
static void
test_twice_the_capacity(void)
{
    static simulation_t throttled;
    static simulation_t unthrottled;
    simulate(&throttled, true, 2.0);
    simulate(&unthrottled, false, 2.0);
    CU_ASSERT_TRUE(total(throttled.served) >= 0.8 * CAPACITY);
    CU_ASSERT_TRUE(total(throttled.served) > total(unthrottled.served));
    CU_ASSERT_TRUE(throttled.served[BOOKING] >=
                   0.9 * throttled.offered[BOOKING]);
    CU_ASSERT_TRUE(total(throttled.aborted) < total(unthrottled.aborted) / 4);
    printf("\ncapacity %.0f: throttled %d served %d aborted, unthrottled %d "
           "served %d aborted ... ",
           CAPACITY, total(throttled.served), total(throttled.aborted),
           total(unthrottled.served), total(unthrottled.aborted));
}

/// Guards against refusals while the service has spare capacity.
static void
test_below_the_capacity(void)
{
    static simulation_t throttled;
    simulate(&throttled, true, 0.8);
    CU_ASSERT_TRUE(total(throttled.throttled_at_entry) == 0);
    CU_ASSERT_TRUE(total(throttled.served) >= 0.99 * total(throttled.offered));
}

/// Guards against a throttle that goes on refusing after the pressure has
/// ended.
static void
test_pressure_decays(void)
{
    manual_clock_t clock;
    manual_clock_init(&clock, 100 * US_PER_S);
    entry_throttle_t throttle;
    entry_throttle_init(&throttle, &clock.base, 1);
    CU_ASSERT_FALSE(entry_throttle_refuses(&throttle, 1, 100, 0, 1));
    for (int i = 0; i < 50; i++) {
        entry_throttle_record(
            &throttle, 2, 50,
            &(entry_throttle_report_t){.pressure_permille = 1000});
    }
    int refused = 0;
    for (int i = 0; i < 1000; i++) {
        refused += entry_throttle_refuses(&throttle, 2, 50, 0, 1) ? 1 : 0;
    }
    CU_ASSERT_TRUE(refused > 800);
    CU_ASSERT_TRUE(refused < 1000);
    manual_clock_advance(&clock, 10 * US_PER_S);
    refused = 0;
    for (int i = 0; i < 1000; i++) {
        refused += entry_throttle_refuses(&throttle, 2, 50, 0, 1) ? 1 : 0;
    }
    CU_ASSERT_TRUE(refused < 5);
    entry_throttle_finish(&throttle);
}

/// Guards against refusing many cheap lookups for a few expensive ones that
/// use much of the scarce capacity, and against refusing nearly all of the
/// expensive ones.
static void
test_cheap_requests_go_first(void)
{
    enum { CHEAP = 1, EXPENSIVE = 2 };
    manual_clock_t clock;
    manual_clock_init(&clock, 100 * US_PER_S);
    entry_throttle_t throttle;
    entry_throttle_init(&throttle, &clock.base, 1);
    entry_throttle_refuses(&throttle, 3, 100, 0, 1);
    for (int i = 0; i < 400; i++) {
        bool expensive = i % 5 == 0;
        entry_throttle_record(
            &throttle, expensive ? EXPENSIVE : CHEAP, 50,
            &(entry_throttle_report_t){.pressure_permille = 300,
                                       .cost = expensive ? 3000 : 900});
    }
    int refused[3] = {0};
    for (int i = 0; i < 1000; i++) {
        refused[CHEAP] +=
            entry_throttle_refuses(&throttle, CHEAP, 50, 0, 1) ? 1 : 0;
        refused[EXPENSIVE] +=
            entry_throttle_refuses(&throttle, EXPENSIVE, 50, 0, 1) ? 1 : 0;
    }
    CU_ASSERT_TRUE(refused[CHEAP] < 350);
    CU_ASSERT_TRUE(refused[EXPENSIVE] > 550);
    CU_ASSERT_TRUE(refused[EXPENSIVE] < 650);
    entry_throttle_finish(&throttle);
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"twice the capacity", test_twice_the_capacity},
        {"below the capacity", test_below_the_capacity},
        {"cheap first", test_cheap_requests_go_first},
        {"pressure decays", test_pressure_decays},
        CU_TEST_INFO_NULL,
    };
    return run_suite("entry throttle", tests);
}
