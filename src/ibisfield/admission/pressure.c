/// @file
/// Pressure of an upstream. Answers a load in which a service deep in the
/// graph gets more work than its slots can do, mostly through calls: a call
/// that is refused there wastes what its chain has done. The guard reports its
/// pressure on each answer, and entries refuse whole requests in time.

#include "ibisfield/admission/pressure.h"

#include <glib.h>
#include <math.h>

#include "ibisfield/base/clock.h"

#define PERIOD_US (100 * US_PER_MS)
/// A period that was not ended for this time says nothing about its load.
#define PERIOD_MAX_US US_PER_S
/// Weight of a period in the smoothed load: its mean age is 0.3 s.
#define LOAD_WEIGHT 0.3
/// Load at which nothing is refused. The rest covers the spread of service
/// times; above it queues grow longer than the deadlines of calls.
#define LOAD_TARGET 0.92
/// Exponent of a period's correction. Entries act about half a second later,
/// so a correction is spread over that time.
#define GAIN 0.15
/// Loads above it cost no more.
#define LOAD_COST_MAX 2.0
/// Some requests are let in always, so that the end of the load is seen.
#define OPEN_MIN 0.05

/// Initialises the pressure of an idle upstream.
void
pressure_init(pressure_t *pressure, int64_t now_us)
{
    *pressure = (pressure_t){.admit_ratio = 1, .period_start_us = now_us};
}

/// A request arrived, whether it is let in or not.
void
pressure_record_arrival(pressure_t *pressure, double expected_us)
{
    pressure->arrived_work_us += expected_us;
}

/// Ends the period when it is over. @p slots run at the same time.
void
pressure_tick(pressure_t *pressure, uint32_t slots, int64_t now_us)
{
    int64_t passed_us = now_us - pressure->period_start_us;
    if (passed_us < PERIOD_US) {
        return;
    }
    double load =
        pressure->arrived_work_us / ((double)passed_us * MAX(slots, 1));
    pressure->arrived_work_us = 0;
    pressure->period_start_us = now_us;
    if (passed_us > PERIOD_MAX_US) {
        return;
    }
    pressure->load += LOAD_WEIGHT * (load - pressure->load);
    double correction =
        pow(LOAD_TARGET / MAX(pressure->load, LOAD_TARGET / 4), GAIN);
    pressure->admit_ratio =
        CLAMP(pressure->admit_ratio * correction, OPEN_MIN, 1);
}

/// Returns what a request costs the upstream: the part of its slots' time that
/// it took, in nanoseconds, weighed by the square of the load. Time at an idle
/// upstream costs nothing, so costs add up to the use of what is scarce.
uint32_t
pressure_cost(const pressure_t *pressure, int64_t service_us, uint32_t slots)
{
    double load = MIN(pressure->load, LOAD_COST_MAX);
    double cost = (double)MAX(service_us, 0) * 1000 / MAX(slots, 1);
    return (uint32_t)MIN(cost * load * load, G_MAXINT32);
}

/// Returns the share of new requests to refuse, in thousandths.
uint32_t
pressure_permille(const pressure_t *pressure)
{
    return (uint32_t)lround(1000 * (1 - pressure->admit_ratio));
}
