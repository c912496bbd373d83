/// @file
/// Socket options of every TCP connection of a node.

#include "ibisfield/io/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

/// A connection fails if sent data stays unacknowledged for this time. Nodes
/// must detect an unresponsive peer within the usual deadline of a call, which
/// is in the order of seconds.
#define ACK_TIMEOUT_MS 1000
/// Probing of a connection on which nothing arrives: an unresponsive peer is
/// detected after KEEPALIVE_IDLE_S + KEEPALIVE_PROBES * KEEPALIVE_INTERVAL_S
/// at the latest. ACK_TIMEOUT_MS applies to unacknowledged probes too.
#define KEEPALIVE_IDLE_S 1
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES 2

static void
set_int_option(int fd, int level, int name, int value)
{
    // Failure is ignored: the connection works without the option.
    (void)setsockopt(fd, level, name, &value, sizeof(value));
}

/// Limits the bytes that the kernel holds for a connection until they are
/// read.
void
socket_set_receive_buffer(int fd, int bytes)
{
    set_int_option(fd, SOL_SOCKET, SO_RCVBUF, bytes);
}

/// Disables Nagle's algorithm and makes an unresponsive peer fail the
/// connection.
void
socket_set_options(int fd)
{
    set_int_option(fd, IPPROTO_TCP, TCP_NODELAY, 1);
    set_int_option(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_int_option(fd, IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S);
    set_int_option(fd, IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S);
    set_int_option(fd, IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES);
    set_int_option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, ACK_TIMEOUT_MS);
}
