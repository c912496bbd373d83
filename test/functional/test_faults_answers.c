/// @file
/// Upstreams that answer half, late, out of order or with a reset. Guards
/// against an answer, or a piece of one, that reaches another caller, and
/// against refusals that say less or more than is known.

#include "common/booking.h"
#include "common/suite.h"

#define REQUESTS 1500

/// Answers of kind "soon" that are late come after its deadline.
static const char contract[] =
    "{\"customer\": \"acme\", \"hosts\": [\"acme.example\"], \"retries\": 3,"
    " \"client_retry_percent\": 100, \"kinds\": [" BOOKING_KINDS ","
    "{\"name\": \"soon\", \"service\": \"back\", \"method\": \"GET\","
    " \"path\": \"/soon\", \"worth\": 10, \"deadline_ms\": 200,"
    " \"run\": \"repeatable\"}]}";

/// Answers of several segments.
static const char *const back_upstream[] = {
    "--name", "back",    "--log-runs", "--answer-bytes",
    "100000", "--slots", "16",         NULL};

static void
start_bed(testbed_t *bed)
{
    testbed_init(bed);
    CU_ASSERT_TRUE(testbed_publish(bed, "contract/acme", contract));
    testbed_add_vm(bed, "front", "north", "", NULL);
    testbed_add_vm(bed, "front", "south", "", NULL);
    testbed_add_vm(bed, "back", "north", "", back_upstream);
    testbed_add_vm(bed, "back", "south", "", back_upstream);
    CU_ASSERT_TRUE_FATAL(testbed_wait_ready(bed));
}

static void
set_upstreams(const testbed_t *bed, const char *path)
{
    for (int i = 2; i < bed->vm_count; i++) {
        text_response_t answer =
            call(bed->vms[i].address, PORT_UPSTREAM, "POST", path, NULL, NULL);
        CU_ASSERT_EQUAL(answer.status, 200);
        text_response_free(&answer);
    }
}

/// Sends a load through both entries and checks that each caller got its own
/// whole answer or a refusal with an outcome.
static struct json_object *
load(testbed_t *bed, const char *request)
{
    process_t client = {0};
    int exit_code = -1;
    char *first = g_strdup_printf("%s:%d", bed->vms[0].address, PORT_CALLER);
    char *second = g_strdup_printf("%s:%d", bed->vms[1].address, PORT_CALLER);
    const char *const arguments[] = {"--target",
                                     first,
                                     "--target",
                                     second,
                                     "--customer",
                                     "acme",
                                     "--seed",
                                     "11",
                                     "--concurrency",
                                     "24",
                                     "--request",
                                     request,
                                     "--count",
                                     G_STRINGIFY(REQUESTS),
                                     NULL};
    CU_ASSERT_TRUE_FATAL(testbed_start_client(bed, &client, arguments));
    struct json_object *summary = testbed_client_summary(&client, &exit_code);
    CU_ASSERT_PTR_NOT_NULL_FATAL(summary);
    CU_ASSERT_EQUAL(json_number(summary, "wrong"), 0);
    CU_ASSERT_EQUAL(json_number(summary, "cut"), 0);
    CU_ASSERT_EQUAL(json_number(summary, "connect_failed"), 0);
    CU_ASSERT_EQUAL(json_number(summary, "without_outcome"), 0);
    CU_ASSERT_EQUAL(json_number(summary, "whole") +
                        json_number(summary, "failed"),
                    REQUESTS);
    CU_ASSERT_EQUAL(json_number(summary, "whole"),
                    json_number(summary, "answered"));
    g_free(first);
    g_free(second);
    return summary;
}

/// Sends bookings. Those that were answered have run, those told "not-run"
/// have not.
static void
load_bookings(testbed_t *bed)
{
    int before = 0;
    int after = 0;
    max_runs_per_key(bed, &before);
    struct json_object *summary = load(bed, "POST /book 1");
    CU_ASSERT_TRUE(max_runs_per_key(bed, &after) <= 1);
    int ran = after - before;
    CU_ASSERT_TRUE(ran >= json_number(summary, "answered"));
    CU_ASSERT_TRUE(json_number(summary, "not_run") <= REQUESTS - ran);
    json_object_put(summary);
}

static int64_t
guard_sum(const testbed_t *bed, const char *metric)
{
    return node_metric(&bed->vms[2], metric) +
           node_metric(&bed->vms[3], metric);
}

/// Loads while @p fault is set and returns how many answers of the upstreams
/// were lost.
static int64_t
load_with_fault(testbed_t *bed, const char *fault, const char *end)
{
    const char *lost = "ibisfield_upstream_answers_lost_total";
    int64_t before = guard_sum(bed, lost);
    set_upstreams(bed, fault);
    json_object_put(load(bed, "GET /look 1"));
    load_bookings(bed);
    set_upstreams(bed, end);
    return guard_sum(bed, lost) - before;
}

static void
test_half_answers(void)
{
    testbed_t bed;
    start_bed(&bed);
    CU_ASSERT_TRUE(load_with_fault(&bed, "/test/half/3", "/test/half/0") > 0);
    struct json_object *summary = load(&bed, "GET /look 1");
    CU_ASSERT_EQUAL(json_number(summary, "whole"), REQUESTS);
    json_object_put(summary);
    testbed_finish(&bed);
}

static void
test_resets(void)
{
    testbed_t bed;
    start_bed(&bed);
    CU_ASSERT_TRUE(load_with_fault(&bed, "/test/reset/3", "/test/reset/0") >
                   0);
    struct json_object *summary = load(&bed, "GET /look 1");
    CU_ASSERT_EQUAL(json_number(summary, "whole"), REQUESTS);
    json_object_put(summary);
    testbed_finish(&bed);
}

/// Late answers overtake others (kind "look"), or come after the caller was
/// refused (kind "soon"); the next request on any connection must not get one.
static void
test_late_answers_out_of_order(void)
{
    testbed_t bed;
    start_bed(&bed);
    set_upstreams(&bed, "/test/late/7");
    struct json_object *summary = load(&bed, "GET /look 1");
    CU_ASSERT_EQUAL(json_number(summary, "whole"), REQUESTS);
    json_object_put(summary);
    load_bookings(&bed);
    summary = load(&bed, "GET /soon 1");
    CU_ASSERT_TRUE(json_number(summary, "unknown") > 0);
    CU_ASSERT_TRUE(guard_sum(&bed, "ibisfield_upstream_cancels_total") > 0);
    json_object_put(summary);
    testbed_finish(&bed);
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"half answers", test_half_answers},
        {"resets", test_resets},
        {"late answers out of order", test_late_answers_out_of_order},
        CU_TEST_INFO_NULL,
    };
    return run_suite("faults_answers", tests);
}
