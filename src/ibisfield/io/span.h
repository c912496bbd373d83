#ifndef IBISFIELD_IO_SPAN_H
#define IBISFIELD_IO_SPAN_H

#include <glib.h>
#include <stdbool.h>

#include "ibisfield/base/clock.h"
#include "ibisfield/base/slice.h"

/// Lengths of the identifiers in hexadecimal digits, and of a traceparent.
#define TRACE_ID_LEN 32
#define SPAN_ID_LEN 16
#define TRACEPARENT_LEN 55

/// Creates the spans of a process.
typedef struct {
    const clock_source_t *clock;
    const char *vm;
    GRand *random;
} span_source_t;

/// Work on a request at one hop, from its arrival to its end; identified as in
/// W3C Trace Context.
typedef struct {
    const char *role; ///< "entry", "egress" or "guard"
    char trace[TRACE_ID_LEN + 1];
    char id[SPAN_ID_LEN + 1];
    char parent[SPAN_ID_LEN + 1]; ///< "" for a root span
    bool sampled;
    int64_t start_us;
} span_t;

void span_source_init(span_source_t *source, const clock_source_t *clock,
                      const char *vm, uint32_t seed);
void span_source_finish(span_source_t *source);
void span_start(span_t *span, const span_source_t *source, const char *role,
                slice_t traceparent);
void span_traceparent(const span_t *span, char text[TRACEPARENT_LEN + 1]);
void span_end(const span_t *span, const span_source_t *source, slice_t kind,
              const char *outcome);

#endif
