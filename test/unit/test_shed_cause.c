/// @file
/// An upstream that sheds, played at the admission of its guard: because it is
/// full, or a part of its requests whatever its load. Checks how many requests
/// are served.

#include "ibisfield/admission/admission.h"

#include "common/suite.h"

#define SLOTS 40
#define CAPACITY 8
#define STEP_US US_PER_MS
#define SERVICE_STEPS 20
#define STEPS 8000
#define SHED_RATIO 0.55
/// Requests that arrive in one step, on average; the slots can run twice as
/// many.
#define ARRIVALS_PER_STEP 1.0

typedef struct {
    int end_step;
    uint32_t in_flight; ///< when it started
    bool shed;
} run_t;

typedef struct {
    int arrived;
    int served;
    int shed;
    int refused;
} result_t;

static manual_clock_t test_clock;
static admission_t admission;
static GRand *random_source;

/// Starts a request. @p capacity: requests that the upstream runs before it
/// sheds further ones; 0: it sheds by chance.
static run_t
start_run(int step, uint32_t capacity, uint32_t running)
{
    run_t run = {.in_flight = admission.in_flight};
    run.shed = capacity > 0 ? running >= capacity
                            : g_rand_double(random_source) < SHED_RATIO;
    run.end_step = step + (run.shed ? 1 : SERVICE_STEPS);
    return run;
}

static result_t
play(uint32_t capacity)
{
    result_t result = {0};
    manual_clock_init(&test_clock, 100 * US_PER_S);
    random_source = g_rand_new_with_seed(3);
    admission_init(&admission, &test_clock.base,
                   &(admission_options_t){.slots = SLOTS, .seed = 1});
    uint32_t kind = admission_kind_index(&admission, SLICE_LITERAL("c"),
                                         SLICE_LITERAL("k"));
    GArray *runs = g_array_new(FALSE, FALSE, sizeof(run_t));
    for (int step = 0; step < STEPS; step++) {
        manual_clock_advance(&test_clock, STEP_US);
        uint32_t running = 0;
        for (guint i = runs->len; i > 0; i--) {
            run_t run = g_array_index(runs, run_t, i - 1);
            if (run.end_step > step) {
                running += run.shed ? 0 : 1;
                continue;
            }
            g_array_remove_index_fast(runs, i - 1);
            admission_done(&admission, kind, SERVICE_STEPS * STEP_US,
                           !run.shed);
            if (run.shed) {
                result.shed++;
                admission_record_upstream_shed(&admission, run.in_flight);
            }
            else {
                result.served++;
                admission_record_upstream_answer(&admission, run.in_flight);
            }
        }
        uint64_t ticket;
        while (admission_next_event(&admission, &ticket) !=
               ADMISSION_EVENT_NONE) {
            CU_FAIL("nothing is queued");
        }
        for (int i = 0; i < 2; i++) {
            if (g_rand_double(random_source) >= ARRIVALS_PER_STEP / 2) {
                continue;
            }
            result.arrived++;
            // No time to wait: a request that can't run is refused.
            admission_request_t request = {
                .kind = kind,
                .worth = 10,
                .deadline_us = clock_now_us(&test_clock.base) + 1,
                .ticket = (uint64_t)result.arrived,
            };
            switch (admission_submit(&admission, &request)) {
            case ADMISSION_RUN:
                g_array_append_vals(
                    runs, &(run_t[]){start_run(step, capacity, running)}, 1);
                running +=
                    g_array_index(runs, run_t, runs->len - 1).shed ? 0 : 1;
                break;
            case ADMISSION_QUEUED:
                admission_cancel(&admission, request.ticket);
                result.refused++;
                break;
            default:
                result.refused++;
                break;
            }
        }
    }
    g_array_free(runs, TRUE);
    g_rand_free(random_source);
    admission_finish(&admission);
    return result;
}

/// Guards against a limit that leaves the slots of an upstream unused which
/// sheds by chance: a lower limit doesn't make it shed less.
static void
test_sheds_by_chance_do_not_lower_the_limit(void)
{
    result_t result = play(0);
    CU_ASSERT_TRUE(result.refused < result.arrived / 20);
    CU_ASSERT_TRUE(result.served > (1 - SHED_RATIO) * 0.9 * result.arrived);
}

/// Guards against an upstream that is full and gets all requests nevertheless,
/// so that it works on shedding them.
static void
test_sheds_of_a_full_upstream_lower_the_limit(void)
{
    result_t result = play(CAPACITY);
    // Of those that can't run, a part is refused before they are sent.
    CU_ASSERT_TRUE(result.refused * 4 > result.refused + result.shed);
    // CAPACITY requests at a time, for most of the time.
    CU_ASSERT_TRUE(result.served > STEPS / SERVICE_STEPS * CAPACITY * 8 / 10);
}

/// Guards against evidence that outlives its cause.
static void
test_old_evidence_is_discarded(void)
{
    shed_cause_t cause = {0};
    CU_ASSERT_TRUE(shed_cause_is_full(&cause));
    for (uint32_t i = 0; i < 100; i++) {
        shed_cause_record_answer(&cause, i % 10);
        shed_cause_record_shed(&cause, i % 10, US_PER_S + i);
    }
    CU_ASSERT_FALSE(shed_cause_is_full(&cause));
    shed_cause_record_shed(&cause, 10, 20 * US_PER_S);
    CU_ASSERT_TRUE(shed_cause_is_full(&cause));
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"by chance", test_sheds_by_chance_do_not_lower_the_limit},
        {"full", test_sheds_of_a_full_upstream_lower_the_limit},
        {"old evidence", test_old_evidence_is_discarded},
        CU_TEST_INFO_NULL,
    };
    return run_suite("shed_cause", tests);
}
