/// @file
/// Back-pressure of an upstream. A service deep in the call graph gets most of
/// its work through calls by other services. If it is overloaded and refuses a
/// call, the work that the call chain has done so far is wasted. The guard
/// therefore reports its pressure on each response, and entries refuse
/// requests before they start.

#include "ibisfield/admission/pressure.h"

#include <glib.h>
#include <math.h>

#include "ibisfield/base/clock.h"

#define PERIOD_US (100 * US_PER_MS)
/// A period that has become longer than this, because no tick ended it, is
/// discarded: it says nothing about the current load.
#define PERIOD_MAX_US US_PER_S
/// Weight of a period in the moving average of the load, which reflects about
/// the last 0.3 s.
#define LOAD_WEIGHT 0.3
/// Load up to which nothing is refused. The remaining capacity absorbs the
/// variance of service times; above this load the wait in queues exceeds the
/// deadlines of calls.
#define LOAD_TARGET 0.92
/// Each period multiplies the fraction to admit by LOAD_TARGET divided by the
/// load, raised to this exponent. Entries react about half a second later, so
/// the correction is spread over that time.
#define CORRECTION_EXPONENT 0.15
/// Upper bound of the load in the cost of a request.
#define COST_LOAD_MAX 2.0
/// Fraction of requests that is always admitted, so that the end of an
/// overload is detected.
#define ADMIT_RATIO_MIN 0.05

/// Initialises the pressure of an idle upstream.
void
pressure_init(pressure_t *pressure, int64_t now_us)
{
    *pressure = (pressure_t){.admit_ratio = 1, .period_start_us = now_us};
}

/// Records the arrival of a request, whether it is admitted or not.
void
pressure_record_arrival(pressure_t *pressure, double expected_us)
{
    pressure->arrived_work_us += expected_us;
}

/// Ends the period if it is over, and adjusts the pressure to the load of the
/// last periods. @p limit is the concurrency limit.
void
pressure_tick(pressure_t *pressure, uint32_t limit, int64_t now_us)
{
    int64_t elapsed_us = now_us - pressure->period_start_us;
    if (elapsed_us < PERIOD_US) {
        return;
    }
    double load =
        pressure->arrived_work_us / ((double)elapsed_us * MAX(limit, 1));
    pressure->arrived_work_us = 0;
    pressure->period_start_us = now_us;
    if (elapsed_us > PERIOD_MAX_US) {
        return;
    }
    pressure->load += LOAD_WEIGHT * (load - pressure->load);
    // The lower bound of the load limits how fast the pressure falls.
    double correction = pow(LOAD_TARGET / MAX(pressure->load, LOAD_TARGET / 4),
                            CORRECTION_EXPONENT);
    pressure->admit_ratio =
        CLAMP(pressure->admit_ratio * correction, ADMIT_RATIO_MIN, 1);
}

/// Returns the cost of a request at the upstream: its service time divided by
/// the concurrency limit, in nanoseconds, times the square of the load. Time
/// at an idle upstream costs nothing, so the sum of the costs along a call
/// chain measures the use of scarce capacity.
uint32_t
pressure_cost(const pressure_t *pressure, int64_t service_us, uint32_t limit)
{
    double load = MIN(pressure->load, COST_LOAD_MAX);
    double cost = (double)MAX(service_us, 0) * 1000 / MAX(limit, 1);
    return (uint32_t)MIN(cost * load * load, G_MAXINT32);
}

/// Returns the pressure: the fraction of new requests to refuse, in
/// thousandths.
uint32_t
pressure_permille(const pressure_t *pressure)
{
    return (uint32_t)lround(1000 * (1 - pressure->admit_ratio));
}
