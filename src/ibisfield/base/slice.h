#ifndef IBISFIELD_BASE_SLICE_H
#define IBISFIELD_BASE_SLICE_H

#include <stdbool.h>
#include <stddef.h>
#include <string.h>

/// Reference to bytes that the slice doesn't own; not zero-terminated.
typedef struct {
    const char *data;
    size_t len;
} slice_t;

#define SLICE_LITERAL(s) ((slice_t){(s), sizeof(s) - 1})

static inline slice_t
slice_from_string(const char *s)
{
    return (slice_t){s, s == NULL ? 0 : strlen(s)};
}

static inline bool
slice_equal(slice_t a, slice_t b)
{
    return a.len == b.len &&
           (a.len == 0 || memcmp(a.data, b.data, a.len) == 0);
}

static inline bool
slice_equal_string(slice_t a, const char *s)
{
    return slice_equal(a, slice_from_string(s));
}

static inline bool
slice_starts_with(slice_t a, slice_t prefix)
{
    return a.len >= prefix.len && memcmp(a.data, prefix.data, prefix.len) == 0;
}

#endif
