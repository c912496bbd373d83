/// @file
/// Clocks, slices, errors and metrics.

#include "ibisfield/base/clock.h"
#include "ibisfield/base/error.h"
#include "ibisfield/base/metrics.h"
#include "ibisfield/base/slice.h"

#include "common/suite.h"

/// Guards against a manual clock that advances by itself.
static void
test_manual_clock_moves_only_when_advanced(void)
{
    manual_clock_t clock;
    manual_clock_init(&clock, 5 * US_PER_MS);
    CU_ASSERT_EQUAL(clock_now_us(&clock.base), 5 * US_PER_MS);
    manual_clock_advance(&clock, US_PER_S);
    CU_ASSERT_EQUAL(clock_now_us(&clock.base), US_PER_S + 5 * US_PER_MS);
}

/// Guards against a boot clock that runs backwards.
static void
test_boot_clock_is_monotonic(void)
{
    clock_source_t clock;
    boot_clock_init(&clock);
    int64_t first = clock_now_us(&clock);
    CU_ASSERT_TRUE(clock_now_us(&clock) >= first);
}

/// Guards against errors that don't name the failed operation and the peer.
static void
test_error_names_step_and_peer(void)
{
    GError *error = NULL;
    set_step_error(&error, IBISFIELD_ERROR_IO, "connect", "127.0.0.1:1",
                   "refused after %d ms", 3);
    CU_ASSERT_STRING_EQUAL(error->message,
                           "connect (127.0.0.1:1): refused after 3 ms");
    g_error_free(error);
}

/// Guards against a metric that is counted but not exposed.
static void
test_metrics_text_has_every_metric(void)
{
    metrics_reset();
    metric_add(METRIC_CALLS_TOTAL, 7);
    GString *text = g_string_new(NULL);
    metrics_write_text(text);
    CU_ASSERT_PTR_NOT_NULL(strstr(text->str, "\nibisfield_calls_total 7\n"));
    for (int i = 0; i < METRIC_COUNT; i++) {
        CU_ASSERT_PTR_NOT_NULL(strstr(text->str, metric_name(i)));
    }
    g_string_free(text, TRUE);
}

/// Guards against comparing slices past their end.
static void
test_slices_compare_by_length(void)
{
    CU_ASSERT_TRUE(slice_equal_string(SLICE_LITERAL("abc"), "abc"));
    CU_ASSERT_FALSE(slice_equal_string(SLICE_LITERAL("abc"), "ab"));
    CU_ASSERT_FALSE(
        slice_starts_with(SLICE_LITERAL("a"), SLICE_LITERAL("ab")));
}

/// Guards against durations in the wrong bucket and wrong sums.
static void
test_histograms_count_durations(void)
{
    metrics_reset();
    histogram_observe(HISTOGRAM_CALL_ANSWERED, 1000);
    histogram_observe(HISTOGRAM_CALL_ANSWERED, 1001);
    histogram_observe(HISTOGRAM_CALL_ANSWERED, -5);
    histogram_observe(HISTOGRAM_CALL_ANSWERED, 60000000);
    GString *text = g_string_new(NULL);
    metrics_write_text(text);
    static const char *const lines[] = {
        "\nibisfield_call_answered_seconds_bucket{le=\"0.001\"} 2\n",
        "\nibisfield_call_answered_seconds_bucket{le=\"0.002\"} 3\n",
        "\nibisfield_call_answered_seconds_bucket{le=\"10\"} 3\n",
        "\nibisfield_call_answered_seconds_bucket{le=\"+Inf\"} 4\n",
        "\nibisfield_call_answered_seconds_sum 60.002001\n",
        "\nibisfield_call_answered_seconds_count 4\n",
        "\nibisfield_guard_held_seconds_count 0\n",
    };
    for (size_t i = 0; i < G_N_ELEMENTS(lines); i++) {
        CU_ASSERT_PTR_NOT_NULL(strstr(text->str, lines[i]));
    }
    g_string_free(text, TRUE);
    metrics_reset();
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"manual clock", test_manual_clock_moves_only_when_advanced},
        {"boot clock", test_boot_clock_is_monotonic},
        {"error", test_error_names_step_and_peer},
        {"histograms", test_histograms_count_durations},
        {"metrics", test_metrics_text_has_every_metric},
        {"slice", test_slices_compare_by_length},
        CU_TEST_INFO_NULL,
    };
    return run_suite("base", tests);
}
