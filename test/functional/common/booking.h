#ifndef IBISFIELD_TEST_BOOKING_H
#define IBISFIELD_TEST_BOOKING_H

#include "common/testbed.h"

/// Kinds in the contracts of the tests that use bookings.
#define BOOKING_KINDS                                                         \
    "{\"name\": \"look\", \"service\": \"back\", \"method\": \"GET\","        \
    " \"path\": \"/look\", \"worth\": 10, \"deadline_ms\": 3000,"             \
    " \"run\": \"repeatable\"},"                                              \
    "{\"name\": \"book\", \"service\": \"back\", \"method\": \"POST\","       \
    " \"path\": \"/book\", \"worth\": 90, \"deadline_ms\": 3000,"             \
    " \"run\": \"once\", \"resend_s\": 120}"

/// A booking request with its idempotency key and what the responses to it
/// reported.
typedef struct {
    char *label;
    char *key;
    bool reported_not_run;
    bool reported_answered;
} booking_t;

/// All bookings of a test.
typedef struct {
    testbed_t *bed;
    GPtrArray *all; ///< booking_t
} bookings_t;

void bookings_init(bookings_t *bookings, testbed_t *bed);
void bookings_finish(bookings_t *bookings);
booking_t *booking_create(bookings_t *bookings, const testbed_vm_t *vm,
                          char *label);
http_call_t *booking_submit(const booking_t *booking, const testbed_vm_t *vm,
                            const char *body);
char *booking_wait(booking_t *booking, http_call_t *in_flight);
void booking_assert_outcome(const booking_t *booking, const char *request,
                            char *outcome, const char *expected);
int booking_count(const bookings_t *bookings, const booking_t *booking,
                  const char *event);
int bookings_check(const bookings_t *bookings);
int max_runs_per_key(const testbed_t *bed, int *keys);
bool look_succeeds(void *vm);

#endif
