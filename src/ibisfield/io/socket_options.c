/// @file
/// Options of every TCP connection of a node.

#include "ibisfield/io/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

/// A peer that acknowledges nothing for this time is gone. Nodes must notice a
/// silent peer within the usual deadline of a call (seconds).
#define UNACKNOWLEDGED_LIMIT_MS 1000
/// Probes of a connection on which nothing arrives: a silent peer is noticed
/// after KEEPALIVE_IDLE_S + KEEPALIVE_PROBES * KEEPALIVE_INTERVAL_S.
#define KEEPALIVE_IDLE_S 1
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES 2

static void
set_int(int fd, int level, int name, int value)
{
    // A connection without one of these options still works.
    (void)setsockopt(fd, level, name, &value, sizeof(value));
}

/// Sends small messages at once and makes a silent peer show as an error.
void
socket_set_options(int fd)
{
    set_int(fd, IPPROTO_TCP, TCP_NODELAY, 1);
    set_int(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_int(fd, IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S);
    set_int(fd, IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S);
    set_int(fd, IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES);
    set_int(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, UNACKNOWLEDGED_LIMIT_MS);
}
