/// @file
/// Header tokens of outcomes and reasons, and the text form of a guard's load.

#include "ibisfield/call/call_defs.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

typedef struct {
    const char *token;
    int status;
} reason_info_t;

static const reason_info_t reason_infos[REASON_COUNT] = {
#define REASON_INFO(id, token, status) {token, status},
    REASON_LIST(REASON_INFO)
#undef REASON_INFO
};

/// Returns the value of the header ibisfield-reason, "" for REASON_NONE.
const char *
reason_token(reason_t reason)
{
    return reason_infos[reason].token;
}

/// Returns the HTTP status of a response with this reason.
int
reason_status(reason_t reason)
{
    return reason_infos[reason].status;
}

/// Returns the reason with this token, or REASON_NONE if no reason has it.
reason_t
reason_from_token(slice_t token)
{
    for (int i = REASON_NONE + 1; i < REASON_COUNT; i++) {
        if (slice_equal_string(token, reason_infos[i].token)) {
            return (reason_t)i;
        }
    }
    return REASON_NONE;
}

/// Returns the value of the header ibisfield-outcome.
const char *
outcome_token(outcome_t outcome)
{
    switch (outcome) {
    case OUTCOME_ANSWERED:
        return "answered";
    case OUTCOME_NOT_RUN:
        return "not-run";
    default:
        return "unknown";
    }
}

/// Formats the value of the header ibisfield-load. Writes at most @p size
/// bytes, including the terminating null byte.
void
guard_load_format(const guard_load_t *load, char *text, size_t size)
{
    snprintf(text, size,
             "inflight=%" PRIu32 ";limit=%" PRIu32 ";queue=%" PRIu32
             ";service_us=%" PRIu32 ";min_worth=%" PRId32 ";depth=%" PRIu32
             ";pressure=%" PRIu32 ";cost=%" PRIu32 ";repeats=%" PRIu32,
             load->in_flight, load->limit, load->queue, load->service_us,
             load->min_worth, load->depth, load->pressure, load->cost,
             load->retry_permille);
}

/// Parses "NAME=NUMBER" at the start of @p rest and moves @p rest past it.
/// Returns false if the name differs, or the number is missing or above
/// @p max.
static bool
parse_field(slice_t *rest, const char *name, uint32_t max, uint32_t *value)
{
    slice_t prefix = slice_from_string(name);
    if (!slice_starts_with(*rest, prefix)) {
        return false;
    }
    size_t at = prefix.len;
    uint64_t number = 0;
    size_t first_digit = at;
    while (at < rest->len && rest->data[at] >= '0' && rest->data[at] <= '9') {
        number = number * 10 + (uint64_t)(rest->data[at] - '0');
        if (number > max) {
            return false;
        }
        at++;
    }
    *rest = (slice_t){rest->data + at, rest->len - at};
    *value = (uint32_t)number;
    return at > first_digit;
}

/// Parses the value of the header ibisfield-load. The text may end before
/// depth or before repeats; missing fields are 0. Returns false and leaves
/// @p load unchanged if @p text isn't valid.
bool
guard_load_parse(guard_load_t *load, slice_t text)
{
    guard_load_t parsed = {0};
    uint32_t min_worth = 0;
    bool valid =
        parse_field(&text, "inflight=", UINT32_MAX, &parsed.in_flight) &&
        parse_field(&text, ";limit=", UINT32_MAX, &parsed.limit) &&
        parse_field(&text, ";queue=", UINT32_MAX, &parsed.queue) &&
        parse_field(&text, ";service_us=", UINT32_MAX, &parsed.service_us) &&
        parse_field(&text, ";min_worth=", INT32_MAX, &min_worth) &&
        (text.len == 0 ||
         (parse_field(&text, ";depth=", UINT32_MAX, &parsed.depth) &&
          parse_field(&text, ";pressure=", UINT32_MAX, &parsed.pressure) &&
          parse_field(&text, ";cost=", UINT32_MAX, &parsed.cost) &&
          (text.len == 0 || parse_field(&text, ";repeats=", UINT32_MAX,
                                        &parsed.retry_permille)))) &&
        text.len == 0;
    if (!valid) {
        return false;
    }
    parsed.min_worth = (int32_t)min_worth;
    *load = parsed;
    return true;
}
