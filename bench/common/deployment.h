#ifndef IBISFIELD_BENCH_DEPLOYMENT_H
#define IBISFIELD_BENCH_DEPLOYMENT_H

#include <stdbool.h>
#include <stdint.h>

#define KINDS_MAX 12
#define SERVICES_MAX 10
#define NO_CHILD (-1)

typedef struct {
    const char *name;
    uint32_t servers;
    uint32_t slots;       ///< per server
    uint32_t connections; ///< per server: running and queued requests
} service_spec_t;

/// A kind of request. A kind precedes the kinds that it calls, and so do their
/// services.
typedef struct {
    const char *name;
    uint32_t service;
    int32_t worth;
    int32_t deadline_ms;
    int32_t own_us; ///< mean processing time, without calls
    int32_t child;  ///< kind that the upstream calls, or NO_CHILD
    /// Fraction of the capacity not taken by calls that clients use at load 1;
    /// 0: clients do not send this kind.
    double load_fraction;
    bool at_most_once;
    bool highest_worth; ///< booking or lodgement
    bool is_long;       ///< its service time exceeds that of the others
} kind_spec_t;

typedef struct {
    const char *name;
    uint32_t service_count;
    uint32_t kind_count;
    int64_t data_centre_delay_us; ///< one way between data centres
    int64_t client_delay_us;      ///< one way between client and node
    int64_t connect_us;           ///< added for a new connection
    uint32_t retries;
    service_spec_t services[SERVICES_MAX];
    kind_spec_t kinds[KINDS_MAX];
} deployment_t;

#define DATA_CENTRES 3

const deployment_t *deployment_find(const char *name);
double deployment_hold_us(const deployment_t *deployment, uint32_t kind);
void deployment_rates(const deployment_t *deployment, double rates[KINDS_MAX]);

#endif
