/// @file
/// Spans with W3C Trace Context identifiers; a sampled span is one log line.

#include "ibisfield/io/span.h"

#include <inttypes.h>
#include <string.h>

#include "ibisfield/base/log.h"
#include "ibisfield/base/metrics.h"

/// One in this many requests without a traceparent is sampled. At the target
/// rate of 225 calls/s per node this gives about one log line in 4 s.
#define SAMPLE_ONE_IN 1000

/// Byte offsets in a traceparent, "00-<trace id>-<parent id>-<flags>".
#define TRACE_ID_OFFSET 3
#define PARENT_ID_OFFSET 36
#define FLAGS_OFFSET 53

void
span_source_init(span_source_t *source, const clock_source_t *clock,
                 const char *vm, uint32_t seed)
{
    *source = (span_source_t){
        .clock = clock,
        .vm = vm,
        .random = g_rand_new_with_seed(seed),
    };
}

void
span_source_finish(span_source_t *source)
{
    g_rand_free(source->random);
}

static void
random_hex(GRand *random, char *text, size_t len)
{
    for (size_t i = 0; i < len; i += 8) {
        // An all-zero identifier is invalid; an odd number is never zero.
        g_snprintf(text + i, 9, "%08" PRIx32, g_rand_int(random) | 1);
    }
}

/// Copies an identifier of lower-case hexadecimal digits. Returns false if it
/// has other characters or is all zeros, which is invalid.
static bool
copy_hex(char *out, slice_t text, size_t offset, size_t len)
{
    bool all_zero = true;
    for (size_t i = 0; i < len; i++) {
        char c = text.data[offset + i];
        if (!g_ascii_isxdigit(c) || g_ascii_isupper(c)) {
            return false;
        }
        all_zero = all_zero && c == '0';
        out[i] = c;
    }
    out[len] = '\0';
    return !all_zero;
}

static bool
parse_traceparent(span_t *span, slice_t text)
{
    if (text.len != TRACEPARENT_LEN ||
        !slice_starts_with(text, SLICE_LITERAL("00-")) ||
        text.data[PARENT_ID_OFFSET - 1] != '-' ||
        text.data[FLAGS_OFFSET - 1] != '-' ||
        !copy_hex(span->trace, text, TRACE_ID_OFFSET, TRACE_ID_LEN) ||
        !copy_hex(span->parent, text, PARENT_ID_OFFSET, SPAN_ID_LEN))
    {
        return false;
    }
    int flags = g_ascii_xdigit_value(text.data[FLAGS_OFFSET + 1]);
    span->sampled = flags > 0 && (flags & 1) != 0;
    return true;
}

/// Starts a child span of @p traceparent, or the root span of a new trace if
/// @p traceparent is invalid.
void
span_start(span_t *span, const span_source_t *source, const char *role,
           slice_t traceparent)
{
    *span = (span_t){.role = role, .start_us = clock_now_us(source->clock)};
    if (!parse_traceparent(span, traceparent)) {
        random_hex(source->random, span->trace, TRACE_ID_LEN);
        span->parent[0] = '\0';
        span->sampled =
            g_rand_int_range(source->random, 0, SAMPLE_ONE_IN) == 0;
    }
    random_hex(source->random, span->id, SPAN_ID_LEN);
}

/// Writes the value of the traceparent header for the next hop.
void
span_traceparent(const span_t *span, char text[TRACEPARENT_LEN + 1])
{
    g_snprintf(text, TRACEPARENT_LEN + 1, "00-%s-%s-%s", span->trace, span->id,
               span->sampled ? "01" : "00");
}

/// Ends the span; counts and logs it if its trace is sampled.
void
span_end(const span_t *span, const span_source_t *source, slice_t kind,
         const char *outcome)
{
    if (!span->sampled) {
        return;
    }
    metric_increment(METRIC_SPANS_TOTAL);
    log_info("span",
             "trace=%s span=%s parent=%s role=%s kind=\"%.*s\" vm=%s "
             "duration_us=%" PRId64 " outcome=%s",
             span->trace, span->id, span->parent, span->role, (int)kind.len,
             kind.data == NULL ? "" : kind.data, source->vm,
             clock_now_us(source->clock) - span->start_us, outcome);
}
