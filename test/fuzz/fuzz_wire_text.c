/// @file
/// Fuzz target of the texts that the core parses from the wire: request keys,
/// loads of guards and reasons. An accepted key or reason must have exactly
/// one textual form; an accepted load must keep its values when formatted.

#include <stdlib.h>

#include "ibisfield/idempotency/key_table.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void
check_key(slice_t text)
{
    idempotency_key_t key;
    if (!idempotency_key_parse(&key, text)) {
        return;
    }
    char formatted[KEY_TEXT_MAX + 1];
    idempotency_key_format(&key, formatted);
    if (!slice_equal_string(text, formatted)) {
        abort();
    }
}

static void
check_load(slice_t text)
{
    guard_load_t load, reparsed;
    if (!guard_load_parse(&load, text)) {
        return;
    }
    char formatted[128];
    guard_load_format(&load, formatted, sizeof(formatted));
    if (!guard_load_parse(&reparsed, slice_from_string(formatted)) ||
        memcmp(&load, &reparsed, sizeof(load)) != 0)
    {
        abort();
    }
}

/// A request with a key that the table did not issue must not run.
static void
check_submission(slice_t text)
{
    manual_clock_t clock;
    manual_clock_init(&clock, US_PER_S);
    key_table_options_t options = {
        .vm = "vm",
        .incarnation = 10,
        .secret = {1},
        .max_records = 2,
    };
    key_table_t table;
    key_check_details_t submission;
    key_table_init(&table, &clock.base, &options);
    if (key_table_submit(&table, SLICE_LITERAL("c"), text, 1, &submission) ==
        KEY_RUN)
    {
        abort();
    }
    key_table_finish(&table);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    slice_t text = {(const char *)data, size};
    check_key(text);
    check_load(text);
    check_submission(text);
    reason_t reason = reason_from_token(text);
    if (reason != REASON_NONE &&
        !slice_equal_string(text, reason_token(reason))) {
        abort();
    }
    return 0;
}
