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
    uint32_t connections; ///< per server
} service_spec_t;

/// A kind of request. Services and kinds are listed callers first.
typedef struct {
    const char *name;
    uint32_t service;
    int32_t worth;
    int32_t deadline_ms;
    int32_t own_us; ///< mean own time at the upstream, without calls
    int32_t child;  ///< kind that the upstream calls, or NO_CHILD
    double
        load_fraction; ///< of the capacity left by calls, at load 1; 0: none
    bool once;         ///< must run at most once
    bool top;          ///< booking or lodgement
    bool is_long;
} kind_spec_t;

typedef struct {
    const char *name;
    uint32_t service_count;
    uint32_t kind_count;
    int64_t centre_delay_us; ///< one way between data centres
    int64_t client_delay_us; ///< one way between client and node
    int64_t connect_us;
    uint32_t retries;
    service_spec_t services[SERVICES_MAX];
    kind_spec_t kinds[KINDS_MAX];
} deployment_t;

#define DATA_CENTRES 3

const deployment_t *deployment_find(const char *name);
double deployment_hold_us(const deployment_t *deployment, uint32_t kind);
void deployment_rates(const deployment_t *deployment, double rates[KINDS_MAX]);

#endif
