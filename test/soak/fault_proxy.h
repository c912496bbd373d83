#ifndef IBISFIELD_SOAK_FAULT_PROXY_H
#define IBISFIELD_SOAK_FAULT_PROXY_H

#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#define PROXY_ROUTES_MAX 256

/// Directions of a connection through the proxy.
typedef enum { TO_TARGET, TO_CLIENT, DIRECTIONS } direction_t;

/// A listening address whose connections are passed on to another one, with
/// the faults that are set meanwhile. Set by one thread, read by the proxy's.
typedef struct {
    int listening;
    struct sockaddr_in target;
    int delay_ms;           ///< atomic
    int silent[DIRECTIONS]; ///< atomic; 1: bytes are held back
    int refuses;            ///< atomic; 1: new connections are reset
    int resets;             ///< atomic; 1: open connections are reset once
} proxy_route_t;

/// A loopback proxy of TCP connections, with a thread of its own.
typedef struct {
    proxy_route_t routes[PROXY_ROUTES_MAX];
    int route_count;
    int epoll;
    GPtrArray *connections;
    GThread *thread;
    int stopped; ///< atomic
} fault_proxy_t;

void fault_proxy_init(fault_proxy_t *proxy);
proxy_route_t *fault_proxy_add(fault_proxy_t *proxy, const char *listen_at,
                               const char *target, uint16_t port);
void fault_proxy_start(fault_proxy_t *proxy);
void fault_proxy_finish(fault_proxy_t *proxy);
void proxy_route_heal(proxy_route_t *route);

#endif
