/// @file
/// Upstreams that truncate responses, send them late or out of order, or reset
/// connections. Guards against a response, or a part of one, that reaches
/// another caller, and against refusals whose outcome claims less or more than
/// is known.

#include "common/booking.h"
#include "common/suite.h"

#define REQUEST_COUNT 1500

/// The deadline of kind "soon" is shorter than the delay of late responses.
static const char contract[] =
    "{\"customer\": \"acme\", \"hosts\": [\"acme.example\"], \"retries\": 3,"
    " \"client_retry_percent\": 100, \"kinds\": [" BOOKING_KINDS ","
    "{\"name\": \"soon\", \"service\": \"back\", \"method\": \"GET\","
    " \"path\": \"/soon\", \"worth\": 10, \"deadline_ms\": 200,"
    " \"run\": \"repeatable\"}]}";

/// Responses of 100 kB, which take several TCP segments.
static const char *const back_upstream[] = {
    "--name", "back",    "--log-runs", "--answer-bytes",
    "100000", "--slots", "16",         NULL};

static void
start_testbed(testbed_t *bed)
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
control_upstreams(const testbed_t *bed, const char *path)
{
    for (int i = 2; i < bed->vm_count; i++) {
        text_response_t response = http_call(
            bed->vms[i].address, PORT_UPSTREAM, "POST", path, NULL, NULL);
        CU_ASSERT_EQUAL(response.status, 200);
        text_response_free(&response);
    }
}

/// Sends requests through both entries and checks that each caller got its own
/// complete response or a refusal with an outcome.
static struct json_object *
send_requests(testbed_t *bed, const char *request)
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
                                     G_STRINGIFY(REQUEST_COUNT),
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
                    REQUEST_COUNT);
    CU_ASSERT_EQUAL(json_number(summary, "whole"),
                    json_number(summary, "answered"));
    g_free(first);
    g_free(second);
    return summary;
}

/// Sends bookings and checks that every key ran at most once, that answered
/// bookings have run, and that bookings reported as "not-run" have not.
static void
send_bookings(testbed_t *bed)
{
    int count_before = 0;
    int count_after = 0;
    max_runs_per_key(bed, &count_before);
    struct json_object *summary = send_requests(bed, "POST /book 1");
    CU_ASSERT_TRUE(max_runs_per_key(bed, &count_after) <= 1);
    int ran = count_after - count_before;
    CU_ASSERT_TRUE(ran >= json_number(summary, "answered"));
    CU_ASSERT_TRUE(json_number(summary, "not_run") <= REQUEST_COUNT - ran);
    json_object_put(summary);
}

static int64_t
guard_sum(const testbed_t *bed, const char *metric)
{
    return node_metric(&bed->vms[2], metric) +
           node_metric(&bed->vms[3], metric);
}

/// Sends requests while the upstreams have a fault. @p fault_path turns it on
/// and @p clear_path off. Returns how many upstream responses were lost.
static int64_t
send_with_fault(testbed_t *bed, const char *fault_path, const char *clear_path)
{
    const char *lost_metric = "ibisfield_upstream_answers_lost_total";
    int64_t count_before = guard_sum(bed, lost_metric);
    control_upstreams(bed, fault_path);
    json_object_put(send_requests(bed, "GET /look 1"));
    send_bookings(bed);
    control_upstreams(bed, clear_path);
    return guard_sum(bed, lost_metric) - count_before;
}

static void
test_truncated_responses(void)
{
    testbed_t bed;
    start_testbed(&bed);
    CU_ASSERT_TRUE(send_with_fault(&bed, "/test/half/3", "/test/half/0") > 0);
    struct json_object *summary = send_requests(&bed, "GET /look 1");
    CU_ASSERT_EQUAL(json_number(summary, "whole"), REQUEST_COUNT);
    json_object_put(summary);
    testbed_finish(&bed);
}

static void
test_connection_resets(void)
{
    testbed_t bed;
    start_testbed(&bed);
    CU_ASSERT_TRUE(send_with_fault(&bed, "/test/reset/3", "/test/reset/0") >
                   0);
    struct json_object *summary = send_requests(&bed, "GET /look 1");
    CU_ASSERT_EQUAL(json_number(summary, "whole"), REQUEST_COUNT);
    json_object_put(summary);
    testbed_finish(&bed);
}

/// Late responses arrive after those of later requests (kind "look"), or after
/// the caller was refused (kind "soon"). The next request on any connection
/// must not get one.
static void
test_late_responses_out_of_order(void)
{
    testbed_t bed;
    start_testbed(&bed);
    control_upstreams(&bed, "/test/late/7");
    struct json_object *summary = send_requests(&bed, "GET /look 1");
    CU_ASSERT_EQUAL(json_number(summary, "whole"), REQUEST_COUNT);
    json_object_put(summary);
    send_bookings(&bed);
    summary = send_requests(&bed, "GET /soon 1");
    CU_ASSERT_TRUE(json_number(summary, "unknown") > 0);
    CU_ASSERT_TRUE(guard_sum(&bed, "ibisfield_upstream_cancels_total") > 0);
    json_object_put(summary);
    testbed_finish(&bed);
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"truncated responses", test_truncated_responses},
        {"connection resets", test_connection_resets},
        {"late responses out of order", test_late_responses_out_of_order},
        CU_TEST_INFO_NULL,
    };
    return run_suite("faults_answers", tests);
}
