/// @file
/// Booking requests of a test. Compares the outcomes that callers got for each
/// idempotency key with the runs that the upstreams, which are started with
/// --log-runs, have printed.

#include "common/booking.h"

#include <signal.h>
#include <stdio.h>

#include "common/suite.h"

#define KEYED_HEADERS "ibisfield-customer: acme\nibisfield-key: %s"

void
bookings_init(bookings_t *bookings, testbed_t *bed)
{
    *bookings = (bookings_t){bed, g_ptr_array_new_with_free_func(g_free)};
}

void
bookings_finish(bookings_t *bookings)
{
    for (guint i = 0; i < bookings->all->len; i++) {
        booking_t *booking = bookings->all->pdata[i];
        g_free(booking->label);
        g_free(booking->key);
    }
    g_ptr_array_free(bookings->all, TRUE);
}

/// Obtains an idempotency key from the node of @p vm. Takes ownership of
/// @p label.
booking_t *
booking_create(bookings_t *bookings, const testbed_vm_t *vm, char *label)
{
    text_response_t response =
        http_call(vm->address, PORT_CALLER, "POST", "/book",
                  "ibisfield-customer: acme", "one");
    CU_ASSERT_EQUAL(response.status, 428);
    booking_t *booking = g_new0(booking_t, 1);
    booking->key = response_header(&response, "ibisfield-key");
    booking->label = label;
    CU_ASSERT_NOT_EQUAL_FATAL(booking->key[0], '\0');
    g_ptr_array_add(bookings->all, booking);
    text_response_free(&response);
    return booking;
}

/// Sends the booking with its key to the node of @p vm, without waiting for
/// the response; see booking_wait().
http_call_t *
booking_submit(const booking_t *booking, const testbed_vm_t *vm,
               const char *body)
{
    char *headers = g_strdup_printf(KEYED_HEADERS, booking->key);
    http_call_t *in_flight = http_call_start(vm->address, PORT_CALLER, "POST",
                                             "/book", headers, body);
    g_free(headers);
    return in_flight;
}

/// Waits for the response to booking_submit(), records it for bookings_check()
/// and returns the outcome that it reports; "" if there was no response.
/// g_free() it.
char *
booking_wait(booking_t *booking, http_call_t *in_flight)
{
    text_response_t response = http_call_wait(in_flight);
    char *outcome = response.status == 0
                        ? g_strdup("")
                        : response_header(&response, "ibisfield-outcome");
    fprintf(stderr, "%s: %d %s\n", booking->label, response.status,
            g_strchomp(response.body));
    booking->reported_not_run |= strcmp(outcome, "not-run") == 0;
    booking->reported_answered |= response.status == 200;
    CU_ASSERT_TRUE(response.status == 0 || outcome[0] != '\0');
    text_response_free(&response);
    return outcome;
}

/// Fails the test if @p outcome, which is that of @p request, differs from
/// @p expected. Frees @p outcome.
void
booking_assert_outcome(const booking_t *booking, const char *request,
                       char *outcome, const char *expected)
{
    if (strcmp(outcome, expected) != 0) {
        fprintf(stderr,
                "unexpected outcome of %s: %s: found '%s', expected '%s'\n",
                booking->label, request, outcome, expected);
        CU_FAIL("outcome");
    }
    g_free(outcome);
}

/// Returns how often the upstreams have printed @p event ("run" or "answered")
/// for the key.
int
booking_count(const bookings_t *bookings, const booking_t *booking,
              const char *event)
{
    char *text = g_strdup_printf("%s %s", event, booking->key);
    int count = testbed_count_in_upstream_logs(bookings->bed, text);
    g_free(text);
    return count;
}

/// Shuts every node down gracefully, so that nothing can run afterwards, and
/// checks the runs of each key: at most one; none if a caller was told
/// "not-run"; exactly one if a caller got a 200 response. Returns the number
/// of keys that ran.
int
bookings_check(const bookings_t *bookings)
{
    int ran = 0;
    for (int i = 0; i < bookings->bed->vm_count; i++) {
        testbed_vm_t *vm = &bookings->bed->vms[i];
        CU_ASSERT_EQUAL(process_stop(&vm->node, SIGTERM), 0);
    }
    for (guint i = 0; i < bookings->all->len; i++) {
        const booking_t *booking = bookings->all->pdata[i];
        int runs = booking_count(bookings, booking, "run");
        bool consistent = runs <= 1 &&
                          (!booking->reported_not_run || runs == 0) &&
                          (!booking->reported_answered || runs == 1);
        ran += runs > 0;
        if (!consistent) {
            fprintf(stderr, "unexpected number of runs of %s: %d%s%s\n",
                    booking->label, runs,
                    booking->reported_not_run ? ", reported as not run" : "",
                    booking->reported_answered ? ", reported as answered"
                                               : "");
            CU_FAIL("runs");
        }
    }
    return ran;
}

/// Returns the highest number of runs of any key and stores the number of keys
/// that ran in @p keys.
int
max_runs_per_key(const testbed_t *bed, int *keys)
{
    GHashTable *runs =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    char *text = testbed_upstream_logs(bed);
    char **lines = g_strsplit(text, "\n", -1);
    int max_runs = 0;
    for (int i = 0; lines[i] != NULL; i++) {
        char **words = g_strsplit(lines[i], " ", 3);
        if (g_strcmp0(words[0], "run") == 0 && words[1][0] != '\0') {
            int count =
                1 + GPOINTER_TO_INT(g_hash_table_lookup(runs, words[1]));
            g_hash_table_replace(runs, g_strdup(words[1]),
                                 GINT_TO_POINTER(count));
            max_runs = MAX(max_runs, count);
        }
        g_strfreev(words);
    }
    *keys = (int)g_hash_table_size(runs);
    g_hash_table_destroy(runs);
    g_strfreev(lines);
    g_free(text);
    return max_runs;
}

/// Returns true if a GET /look through the node of @p vm returns a complete
/// response of service "back".
bool
look_succeeds(void *vm)
{
    const char *address = ((const testbed_vm_t *)vm)->address;
    text_response_t response = http_call(address, PORT_CALLER, "GET", "/look",
                                         "ibisfield-customer: acme", NULL);
    bool succeeded = response.status == 200;
    text_response_free(&response);
    return succeeded;
}
