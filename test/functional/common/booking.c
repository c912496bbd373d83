/// @file
/// Bookings of a test: what callers were told of each key, compared with the
/// runs that the upstreams (started with --log-runs) have printed.

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

/// Gets a key from the node of @p vm. Takes over @p label.
booking_t *
booking_issue(bookings_t *bookings, const testbed_vm_t *vm, char *label)
{
    text_response_t answer = call(vm->address, PORT_CALLER, "POST", "/book",
                                  "ibisfield-customer: acme", "one");
    CU_ASSERT_EQUAL(answer.status, 428);
    booking_t *booking = g_new0(booking_t, 1);
    booking->key = response_header(&answer, "ibisfield-key");
    booking->label = label;
    CU_ASSERT_NOT_EQUAL_FATAL(booking->key[0], '\0');
    g_ptr_array_add(bookings->all, booking);
    text_response_free(&answer);
    return booking;
}

/// Sends the key to the node of @p vm; booking_record() takes the answer.
call_in_flight_t *
booking_submit(const booking_t *booking, const testbed_vm_t *vm,
               const char *body)
{
    char *headers = g_strdup_printf(KEYED_HEADERS, booking->key);
    call_in_flight_t *flight =
        call_start(vm->address, PORT_CALLER, "POST", "/book", headers, body);
    g_free(headers);
    return flight;
}

/// Notes what the caller was told and returns the outcome; "" if it got no
/// answer. g_free() it.
char *
booking_record(booking_t *booking, call_in_flight_t *flight)
{
    text_response_t answer = call_wait(flight);
    char *outcome = answer.status == 0
                        ? g_strdup("")
                        : response_header(&answer, "ibisfield-outcome");
    fprintf(stderr, "%s: %d %s\n", booking->label, answer.status,
            g_strchomp(answer.body));
    booking->reported_not_run |= strcmp(outcome, "not-run") == 0;
    booking->reported_answered |= answer.status == 200;
    CU_ASSERT_TRUE(answer.status == 0 || outcome[0] != '\0');
    text_response_free(&answer);
    return outcome;
}

/// Frees @p outcome.
void
booking_expect(const booking_t *booking, const char *what, char *outcome,
               const char *expected)
{
    if (strcmp(outcome, expected) != 0) {
        fprintf(stderr, "WRONG %s: %s: found '%s', expected '%s'\n",
                booking->label, what, outcome, expected);
        CU_FAIL("outcome");
    }
    g_free(outcome);
}

/// Returns how often upstreams have printed @p event ("run" or "answered").
int
booking_count(const bookings_t *bookings, const booking_t *booking,
              const char *event)
{
    char *text = g_strdup_printf("%s %s", event, booking->key);
    int count = testbed_count_logged(bookings->bed, text);
    g_free(text);
    return count;
}

/// Ends every node in an orderly way, so that nothing can run afterwards, and
/// compares the runs with what was told. Returns how many keys ran.
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
        bool right = runs <= 1 && (!booking->reported_not_run || runs == 0) &&
                     (!booking->reported_answered || runs == 1);
        ran += runs > 0;
        if (!right) {
            fprintf(stderr, "WRONG %s: runs %d%s%s\n", booking->label, runs,
                    booking->reported_not_run ? ", told not-run" : "",
                    booking->reported_answered ? ", told answered" : "");
            CU_FAIL("runs");
        }
    }
    return ran;
}

/// Returns the most runs of any key and stores the number of keys that ran.
int
max_runs_per_key(const testbed_t *bed, int *keys)
{
    GHashTable *runs =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    char *text = testbed_upstream_logs(bed);
    char **lines = g_strsplit(text, "\n", -1);
    int most = 0;
    for (int i = 0; lines[i] != NULL; i++) {
        char **words = g_strsplit(lines[i], " ", 3);
        if (g_strcmp0(words[0], "run") == 0 && words[1][0] != '\0') {
            int count =
                1 + GPOINTER_TO_INT(g_hash_table_lookup(runs, words[1]));
            g_hash_table_replace(runs, g_strdup(words[1]),
                                 GINT_TO_POINTER(count));
            most = MAX(most, count);
        }
        g_strfreev(words);
    }
    *keys = (int)g_hash_table_size(runs);
    g_hash_table_destroy(runs);
    g_strfreev(lines);
    g_free(text);
    return most;
}

/// Whether the node of @p vm passes on a whole answer of service "back".
bool
look_succeeds(void *vm)
{
    const char *address = ((const testbed_vm_t *)vm)->address;
    text_response_t answer = call(address, PORT_CALLER, "GET", "/look",
                                  "ibisfield-customer: acme", NULL);
    bool whole = answer.status == 200;
    text_response_free(&answer);
    return whole;
}
