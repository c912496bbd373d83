#ifndef IBISFIELD_BASE_CLOCK_H
#define IBISFIELD_BASE_CLOCK_H

#include <stdint.h>

#define US_PER_MS INT64_C(1000)
#define US_PER_S INT64_C(1000000)

typedef struct clock_source clock_source_t;

typedef struct {
    int64_t (*now_us)(const clock_source_t *clock);
} clock_vtable_t;

struct clock_source {
    const clock_vtable_t *vtable;
};

typedef struct {
    clock_source_t base;
    int64_t now_us;
} manual_clock_t;

int64_t clock_now_us(const clock_source_t *clock);
void boot_clock_init(clock_source_t *clock);
void manual_clock_init(manual_clock_t *clock, int64_t now_us);
void manual_clock_advance(manual_clock_t *clock, int64_t step_us);

#endif
