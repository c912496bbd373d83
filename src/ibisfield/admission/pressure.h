#ifndef IBISFIELD_ADMISSION_PRESSURE_H
#define IBISFIELD_ADMISSION_PRESSURE_H

#include <stdint.h>

/// Computes for an upstream what fraction of the new requests whose call
/// chains reach it should be refused before they start, so that the arriving
/// work fits its concurrency limit.
typedef struct {
    double admit_ratio;     ///< fraction of new requests to admit, 0 to 1
    double load;            ///< moving average of arrived work / capacity
    double arrived_work_us; ///< sum of the expected service times of the
                            ///< period's arrivals
    int64_t period_start_us;
} pressure_t;

void pressure_init(pressure_t *pressure, int64_t now_us);
void pressure_record_arrival(pressure_t *pressure, double expected_us);
void pressure_tick(pressure_t *pressure, uint32_t limit, int64_t now_us);
uint32_t pressure_cost(const pressure_t *pressure, int64_t service_us,
                       uint32_t limit);
uint32_t pressure_permille(const pressure_t *pressure);

#endif
