/// @file
/// Clocks. The time of a clock is in microseconds, in an int64_t. Durations in
/// settings and headers may have other units, which their names state.

#include "ibisfield/base/clock.h"

#include <time.h>

static int64_t
boot_clock_now_us(const clock_source_t *clock)
{
    (void)clock;
    struct timespec now;
    clock_gettime(CLOCK_BOOTTIME, &now);
    return (int64_t)now.tv_sec * US_PER_S + now.tv_nsec / 1000;
}

static int64_t
manual_clock_now_us(const clock_source_t *clock)
{
    return ((const manual_clock_t *)clock)->now_us;
}

static const clock_vtable_t boot_clock_vtable = {boot_clock_now_us};
static const clock_vtable_t manual_clock_vtable = {manual_clock_now_us};

/// Returns the current time of the clock in microseconds.
int64_t
clock_now_us(const clock_source_t *clock)
{
    return clock->vtable->now_us(clock);
}

/// Initialises a monotonic clock that also advances while the machine is
/// suspended, so that a VM that is resumed sees how much time has passed.
void
boot_clock_init(clock_source_t *clock)
{
    clock->vtable = &boot_clock_vtable;
}

/// Initialises a clock that only manual_clock_advance() moves; for tests.
void
manual_clock_init(manual_clock_t *clock, int64_t now_us)
{
    clock->base.vtable = &manual_clock_vtable;
    clock->now_us = now_us;
}

/// Advances a manual clock by @p step_us microseconds.
void
manual_clock_advance(manual_clock_t *clock, int64_t step_us)
{
    clock->now_us += step_us;
}
