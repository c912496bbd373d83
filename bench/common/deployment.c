/// @file
/// The deployments of section 1.1 of the design page and a chain of ten
/// services. Sizes and delays are those of the users. Service times, deadlines
/// and the mix of kinds are set so that load 1 fills every service.

#include "common/deployment.h"

#include <string.h>

/// Round trip between VMs of one data centre.
#define LOCAL_ROUND_TRIP_US 200

static const deployment_t deployments[] = {
    {
        .name = "rosenheim",
        .service_count = 4,
        .kind_count = 9,
        .data_centre_delay_us = 1500,
        .client_delay_us = 8000,
        .connect_us = 1000,
        .retries = 2,
        .services = {{"booking", 3, 140, 900},
                     {"order-tracking", 3, 140, 900},
                     {"spare-parts", 3, 140, 900},
                     {"workshop-info", 3, 30, 270}},
        .kinds = {{"book", 0, 90, 1500, 120000, 2, 0.4, true, true, false},
                  {"dates", 0, 40, 500, 80000, NO_CHILD, 0.6},
                  {"book-track", 1, 40, 800, 40000, 8, 0},
                  {"status", 1, 50, 400, 50000, 4, 1.0},
                  {"part-stock", 2, 30, 400, 25000, NO_CHILD, 0},
                  {"parts", 2, 30, 400, 60000, NO_CHILD, 0.8},
                  {"parts-search", 2, 20, 5000, 1000000, NO_CHILD, 0.2, false,
                   false, true},
                  {"hours", 3, 10, 300, 20000, NO_CHILD, 1.0},
                  {"hours-check", 3, 10, 500, 10000, NO_CHILD, 0}},
    },
    {
        .name = "tasman",
        .service_count = 4,
        .kind_count = 8,
        .data_centre_delay_us = 500,
        .client_delay_us = 8000,
        .connect_us = 1000,
        .retries = 2,
        .services = {{"lodgement", 3, 110, 770},
                     {"ticket-status", 4, 85, 600},
                     {"consignment-ledger", 3, 110, 770},
                     {"depot-register", 3, 50, 390}},
        .kinds = {{"lodge", 0, 90, 1500, 150000, 3, 0.4, true, true, false},
                  {"quote", 0, 40, 500, 80000, NO_CHILD, 0.6},
                  {"ticket", 1, 50, 400, 50000, 6, 1.0},
                  {"ledger-write", 2, 40, 800, 60000, 7, 0},
                  {"ledger", 2, 30, 500, 70000, NO_CHILD, 0.8},
                  {"history", 2, 30, 5000, 1200000, NO_CHILD, 0.2, false,
                   false, true},
                  {"depots", 3, 10, 300, 25000, NO_CHILD, 1.0},
                  {"depot-check", 3, 10, 500, 10000, NO_CHILD, 0}},
    },
    {
        .name = "chain",
        .service_count = 10,
        .kind_count = 10,
        .data_centre_delay_us = 500,
        .client_delay_us = 8000,
        .connect_us = 1000,
        .retries = 3,
        .services = {{"s1", 3, 100, 700},
                     {"s2", 3, 100, 700},
                     {"s3", 3, 100, 700},
                     {"s4", 3, 100, 700},
                     {"s5", 3, 100, 700},
                     {"s6", 3, 100, 700},
                     {"s7", 3, 100, 700},
                     {"s8", 3, 100, 700},
                     {"s9", 3, 100, 700},
                     {"s10", 3, 20, 140}},
        .kinds = {{"k1", 0, 50, 3000, 5000, 1, 0.5},
                  {"k2", 1, 50, 3000, 5000, 2, 0},
                  {"k3", 2, 50, 3000, 5000, 3, 0},
                  {"k4", 3, 50, 3000, 5000, 4, 0},
                  {"k5", 4, 50, 3000, 5000, 5, 0},
                  {"k6", 5, 50, 3000, 5000, 6, 0},
                  {"k7", 6, 50, 3000, 5000, 7, 0},
                  {"k8", 7, 50, 3000, 5000, 8, 0},
                  {"k9", 8, 50, 3000, 5000, 9, 0},
                  {"k10", 9, 50, 3000, 20000, NO_CHILD, 0}},
    },
};

/// Returns the deployment of this name, or NULL if there is none.
const deployment_t *
deployment_find(const char *name)
{
    for (size_t i = 0; i < sizeof(deployments) / sizeof(deployments[0]); i++) {
        if (strcmp(deployments[i].name, name) == 0) {
            return &deployments[i];
        }
    }
    return NULL;
}

/// Returns the mean time for which a request of the kind holds a slot when
/// nothing queues.
double
deployment_hold_us(const deployment_t *deployment, uint32_t kind)
{
    const kind_spec_t *spec = &deployment->kinds[kind];
    double hold_us = spec->own_us;
    if (spec->child != NO_CHILD) {
        hold_us += LOCAL_ROUND_TRIP_US +
                   deployment_hold_us(deployment, (uint32_t)spec->child);
    }
    return hold_us;
}

/// Computes the requests per second that clients send of each kind at load 1.
void
deployment_rates(const deployment_t *deployment, double rates[KINDS_MAX])
{
    double called[SERVICES_MAX] = {0};
    for (uint32_t i = 0; i < deployment->kind_count; i++) {
        const kind_spec_t *kind = &deployment->kinds[i];
        const service_spec_t *service = &deployment->services[kind->service];
        double left =
            service->servers * service->slots - called[kind->service];
        rates[i] = kind->load_fraction * left * 1e6 /
                   deployment_hold_us(deployment, i);
        for (int32_t child = kind->child; child != NO_CHILD;
             child = deployment->kinds[child].child)
        {
            called[deployment->kinds[child].service] +=
                rates[i] / 1e6 *
                deployment_hold_us(deployment, (uint32_t)child);
        }
    }
}
