#ifndef IBISFIELD_ROUTING_VM_HEALTH_H
#define IBISFIELD_ROUTING_VM_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

/// Speed and failures of one VM, as this node's attempts show
/// them.
typedef struct {
    uint32_t outstanding;
    uint32_t samples;
    uint32_t consecutive_failures;
    double slowness;     ///< moving average of latency over the kind's mean
    double recent_picks; ///< exponentially decaying count; divided by its time
                         ///< constant it is the rate of picks
    double mean_latency_us;   ///< moving average
    int64_t picks_updated_us; ///< when recent_picks was last updated
    int64_t last_refusal_us;  ///< last refusal for overload
    bool ejected;
    bool probing;
    uint32_t consecutive_ejections; ///< since the last successful probe
    int64_t probe_due_us;
    int64_t probe_sent_us;
    int64_t slow_start_since_us; ///< start of the slow start
} vm_health_t;

void vm_health_init(vm_health_t *health, int64_t now_us);
void vm_health_record_pick(vm_health_t *health, int64_t now_us);
void vm_health_record_response(vm_health_t *health, int64_t latency_us,
                               double mean_us, int64_t now_us);
void vm_health_record_cancel(vm_health_t *health, int64_t latency_us,
                             double mean_us, int64_t now_us);
bool vm_health_is_overloaded(const vm_health_t *health, int64_t now_us);
void vm_health_record_refusal(vm_health_t *health, int64_t now_us);
void vm_health_record_failure(vm_health_t *health);
double vm_health_slowness(const vm_health_t *health, int64_t now_us);
bool vm_health_is_failing(const vm_health_t *health);
bool vm_health_is_slow(const vm_health_t *health, double lowest_slowness,
                       int64_t now_us);
void vm_health_eject(vm_health_t *health, int64_t now_us);
void vm_health_start_probe(vm_health_t *health, int64_t now_us);
bool vm_health_is_probe(const vm_health_t *health, int64_t sent_us);
void vm_health_end_probe(vm_health_t *health, bool succeeded, int64_t now_us);
bool vm_health_is_probe_due(const vm_health_t *health, int64_t now_us);
double vm_health_slow_start_factor(const vm_health_t *health, int64_t now_us);

#endif
