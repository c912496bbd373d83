#ifndef IBISFIELD_SOAK_FAULT_PROXY_H
#define IBISFIELD_SOAK_FAULT_PROXY_H

#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#define PROXY_ROUTES_MAX 256

/// Directions of a proxied connection.
typedef enum { TO_TARGET, TO_CLIENT, DIRECTION_COUNT } direction_t;

/// A listening address, the target to which its connections are forwarded, and
/// the faults that are injected into them. One thread sets the faults, the
/// proxy's thread reads them.
typedef struct {
    int listen_fd;
    struct sockaddr_in target;
    int delay_ms;                 ///< atomic
    int stalled[DIRECTION_COUNT]; ///< atomic; 1: bytes are not forwarded
    int reset_new;                ///< atomic; 1: new connections are reset
    int reset_open; ///< atomic; 1: open connections are reset once
} proxy_route_t;

/// A TCP proxy on loopback addresses, with a thread of its own.
typedef struct {
    proxy_route_t routes[PROXY_ROUTES_MAX];
    int route_count;
    int epoll_fd;
    GPtrArray *connections;
    GThread *thread;
    int stopped; ///< atomic
} fault_proxy_t;

void fault_proxy_init(fault_proxy_t *proxy);
proxy_route_t *fault_proxy_add(fault_proxy_t *proxy,
                               const char *listen_address, const char *target,
                               uint16_t port);
void fault_proxy_start(fault_proxy_t *proxy);
void fault_proxy_finish(fault_proxy_t *proxy);
void proxy_route_clear_faults(proxy_route_t *route);

#endif
