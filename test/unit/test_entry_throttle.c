/// @file
/// Refusal at the first entry under a load that is twice what a service deep
/// in the call graph can do: what callers get with it and without it.

#include "ibisfield/admission/admission.h"
#include "ibisfield/admission/entry_throttle.h"

#include "common/suite.h"

#define SLOTS 20
#define CALLS_PER_ROOT 4
#define CALL_US (20 * US_PER_MS)
#define CALL_BUDGET_US (150 * US_PER_MS)
#define STEP_US US_PER_MS
#define ROOTS_MAX 4096
#define PLAYED_US (20 * US_PER_S)
/// Whole requests that the service can carry in the time played.
#define CAPACITY ((double)PLAYED_US / CALL_US * SLOTS / CALLS_PER_ROOT)

enum { LOOKUP, BOOKING, KINDS };
static const int32_t worths[KINDS] = {80, 100};

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
    entry_throttle_t gate;
    bool gated;
    root_t roots[ROOTS_MAX];
    uint32_t leaf_kind;
    int asked[KINDS];
    int served[KINDS];
    int held_off[KINDS];
    int cut[KINDS]; ///< refused after some of their calls had run
} play_t;

static void
end_root(play_t *play, root_t *root, bool served)
{
    root->active = false;
    play->served[root->kind] += served ? 1 : 0;
    play->cut[root->kind] += served ? 0 : 1;
    entry_throttle_record(
        &play->gate, (uint64_t)root->kind, worths[root->kind],
        &(entry_throttle_report_t){.pressure_permille = root->pressure});
}

static void
start_call(play_t *play, root_t *root)
{
    root->running = true;
    root->done_us = play->clock.now_us + CALL_US;
}

static void
offer_call(play_t *play, root_t *root)
{
    admission_request_t offer = {
        .kind = play->leaf_kind,
        .worth = worths[root->kind],
        .deadline_us = play->clock.now_us + CALL_BUDGET_US,
        .ticket = (uint64_t)(root - play->roots) + 1,
    };
    admission_decision_t admit = admission_submit(&play->admission, &offer);
    root->pressure = MAX(root->pressure, admission_pressure(&play->admission));
    if (admit == ADMISSION_RUN) {
        start_call(play, root);
    }
    else if (admit != ADMISSION_QUEUED) {
        end_root(play, root, false);
    }
}

static void
run_admission(play_t *play)
{
    uint64_t ticket;
    admission_event_t next;
    while ((next = admission_next_event(&play->admission, &ticket)) !=
           ADMISSION_EVENT_NONE)
    {
        root_t *root = &play->roots[ticket - 1];
        if (next == ADMISSION_EVENT_RUN) {
            start_call(play, root);
        }
        else {
            end_root(play, root, false);
        }
    }
}

static void
new_root(play_t *play, int kind)
{
    play->asked[kind]++;
    if (play->gated &&
        entry_throttle_refuses(&play->gate, (uint64_t)kind, worths[kind]))
    {
        play->held_off[kind]++;
        return;
    }
    for (int i = 0; i < ROOTS_MAX; i++) {
        root_t *root = &play->roots[i];
        if (!root->active) {
            *root = (root_t){
                .active = true, .kind = kind, .calls_left = CALLS_PER_ROOT};
            offer_call(play, root);
            return;
        }
    }
    CU_FAIL_FATAL("too many requests at once");
}

static void
end_calls(play_t *play)
{
    for (int i = 0; i < ROOTS_MAX; i++) {
        root_t *root = &play->roots[i];
        if (!root->active || !root->running ||
            root->done_us > play->clock.now_us) {
            continue;
        }
        root->running = false;
        admission_done(&play->admission, play->leaf_kind, CALL_US, true);
        if (--root->calls_left == 0) {
            end_root(play, root, true);
        }
        else {
            offer_call(play, root);
        }
    }
}

/// Plays the load: one request in five is a booking.
static void
play_load(play_t *play, bool gated, double load)
{
    *play = (play_t){.gated = gated};
    manual_clock_init(&play->clock, 100 * US_PER_S);
    admission_init(&play->admission, &play->clock.base,
                   &(admission_options_t){.slots = SLOTS, .seed = 1});
    play->leaf_kind = admission_kind_index(
        &play->admission, SLICE_LITERAL("c"), SLICE_LITERAL("leaf"));
    entry_throttle_init(&play->gate, &play->clock.base, 1);
    int number = 0;
    for (int64_t at = 0; at < PLAYED_US; at += STEP_US) {
        int due = (int)(load * CAPACITY * (double)(at + STEP_US) / PLAYED_US);
        while (number < due) {
            new_root(play, number++ % 5 == 0 ? BOOKING : LOOKUP);
        }
        run_admission(play);
        manual_clock_advance(&play->clock, STEP_US);
        end_calls(play);
        run_admission(play);
    }
    entry_throttle_finish(&play->gate);
    admission_finish(&play->admission);
}

static int
total(const int counts[KINDS])
{
    return counts[LOOKUP] + counts[BOOKING];
}

/// Guards against chains that are cut half-way under overload: at twice the
/// capacity callers get four fifths of what fits, more than without the gate,
/// nearly all bookings, and few requests are cut after they started.
static void
test_twice_the_capacity(void)
{
    static play_t gated;
    static play_t open;
    play_load(&gated, true, 2.0);
    play_load(&open, false, 2.0);
    CU_ASSERT_TRUE(total(gated.served) >= 0.8 * CAPACITY);
    CU_ASSERT_TRUE(total(gated.served) > total(open.served));
    CU_ASSERT_TRUE(gated.served[BOOKING] >= 0.9 * gated.asked[BOOKING]);
    CU_ASSERT_TRUE(total(gated.cut) < total(open.cut) / 4);
    printf("\nof %.0f that fit: gated %d served %d cut, open %d served %d "
           "cut ... ",
           CAPACITY, total(gated.served), total(gated.cut), total(open.served),
           total(open.cut));
}

/// Guards against requests refused while the service has room.
static void
test_below_the_capacity(void)
{
    static play_t gated;
    play_load(&gated, true, 0.8);
    CU_ASSERT_TRUE(total(gated.held_off) == 0);
    CU_ASSERT_TRUE(total(gated.served) >= 0.99 * total(gated.asked));
}

/// Guards against a gate that stays closed once the pressure has passed.
static void
test_reports_age(void)
{
    manual_clock_t clock;
    manual_clock_init(&clock, 100 * US_PER_S);
    entry_throttle_t gate;
    entry_throttle_init(&gate, &clock.base, 1);
    CU_ASSERT_FALSE(entry_throttle_refuses(&gate, 1, 100));
    for (int i = 0; i < 50; i++) {
        entry_throttle_record(
            &gate, 2, 50,
            &(entry_throttle_report_t){.pressure_permille = 1000});
    }
    int refused = 0;
    for (int i = 0; i < 1000; i++) {
        refused += entry_throttle_refuses(&gate, 2, 50) ? 1 : 0;
    }
    CU_ASSERT_TRUE(refused > 800);
    CU_ASSERT_TRUE(refused < 1000);
    manual_clock_advance(&clock, 10 * US_PER_S);
    refused = 0;
    for (int i = 0; i < 1000; i++) {
        refused += entry_throttle_refuses(&gate, 2, 50) ? 1 : 0;
    }
    CU_ASSERT_TRUE(refused < 5);
    entry_throttle_finish(&gate);
}

/// Guards against refusing many cheap lookups for a few that take much of the
/// scarce service, and against refusing the latter nearly all.
static void
test_cheap_requests_go_first(void)
{
    enum { CHEAP = 1, DEAR = 2 };
    manual_clock_t clock;
    manual_clock_init(&clock, 100 * US_PER_S);
    entry_throttle_t gate;
    entry_throttle_init(&gate, &clock.base, 1);
    entry_throttle_refuses(&gate, 3, 100);
    for (int i = 0; i < 400; i++) {
        bool dear = i % 5 == 0;
        entry_throttle_record(
            &gate, dear ? DEAR : CHEAP, 50,
            &(entry_throttle_report_t){.pressure_permille = 300,
                                       .cost = dear ? 3000 : 900});
    }
    int refused[3] = {0};
    for (int i = 0; i < 1000; i++) {
        refused[CHEAP] += entry_throttle_refuses(&gate, CHEAP, 50) ? 1 : 0;
        refused[DEAR] += entry_throttle_refuses(&gate, DEAR, 50) ? 1 : 0;
    }
    CU_ASSERT_TRUE(refused[CHEAP] < 350);
    CU_ASSERT_TRUE(refused[DEAR] > 550);
    CU_ASSERT_TRUE(refused[DEAR] < 650);
    entry_throttle_finish(&gate);
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"twice the capacity", test_twice_the_capacity},
        {"below the capacity", test_below_the_capacity},
        {"cheap first", test_cheap_requests_go_first},
        {"reports age", test_reports_age},
        CU_TEST_INFO_NULL,
    };
    return run_suite("root gate", tests);
}
