#ifndef IBISFIELD_ADMISSION_SERVICE_TIME_H
#define IBISFIELD_ADMISSION_SERVICE_TIME_H

#include <stdbool.h>
#include <stdint.h>

#include "ibisfield/admission/serving_end.h"

#define SERVICE_TIME_KINDS_MAX 64

/// Service times of one kind, in microseconds.
typedef struct {
    double mean_us;      ///< moving average; 0: no samples
    double deviation_us; ///< moving average of the distance from the mean
    double baseline_us;  ///< lowest of the periods' means; raised slowly
                         ///< while the means are higher
    double period_sum_us;
    uint32_t period_count;
    duration_bound_t bound;
} kind_time_t;

/// Service times at one upstream, by the index of the kind in the admission.
typedef struct {
    kind_time_t kinds[SERVICE_TIME_KINDS_MAX];
    double mean_us;   ///< moving average over all requests
    double median_us; ///< running estimate of the median over all arrivals,
                      ///< each counted with the mean of its kind
} service_time_t;

void service_time_record(service_time_t *times, uint32_t kind_index,
                         int64_t service_us);
void service_time_record_arrival(service_time_t *times, uint32_t kind_index);
double service_time_mean_us(const service_time_t *times, uint32_t kind_index);
double service_time_upper_us(const service_time_t *times, uint32_t kind_index);
int64_t service_time_bound_us(const service_time_t *times,
                              uint32_t kind_index);
double service_time_baseline_us(const service_time_t *times,
                                uint32_t kind_index);
bool service_time_is_long(const service_time_t *times, uint32_t kind_index);
void service_time_end_period(service_time_t *times);

#endif
