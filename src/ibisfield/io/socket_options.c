/// @file
/// Socket options of every TCP connection of a node.

#include "ibisfield/io/socket_options.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/ioctl.h>
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

/// For how long a peer may leave its window closed. It is alive, since it
/// acknowledges the probes of the window, but doesn't read.
#define CLOSED_WINDOW_MS 20000
/// A peer that leaves this many retransmissions or probes in a row
/// unacknowledged is unresponsive.
#define UNANSWERED_MAX 2

static bool
get_tcp_info(int fd, struct tcp_info *info)
{
    socklen_t size = sizeof(*info);
    memset(info, 0, sizeof(*info));
    return getsockopt(fd, IPPROTO_TCP, TCP_INFO, info, &size) == 0 &&
           info->tcpi_state == TCP_ESTABLISHED && info->tcpi_snd_mss > 0;
}

/// Lets the peer of a connection read slowly: the kernel no longer fails the
/// connection when its window stays closed for ACK_TIMEOUT_MS. The caller then
/// has to ask socket_peer_is_unresponsive() itself. Returns false, and changes
/// nothing, if the system doesn't tell what the peer acknowledges.
bool
socket_allow_slow_peer(int fd)
{
    struct tcp_info info;
    if (!get_tcp_info(fd, &info)) {
        return false;
    }
    set_int_option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, CLOSED_WINDOW_MS);
    return true;
}

/// Returns whether the peer has acknowledged nothing for about ACK_TIMEOUT_MS,
/// although data or probes were sent several times.
bool
socket_peer_is_unresponsive(int fd)
{
    struct tcp_info info;
    return get_tcp_info(fd, &info) &&
           (info.tcpi_retransmits >= UNANSWERED_MAX ||
            info.tcpi_probes >= UNANSWERED_MAX);
}

/// Returns whether the peer has got the bytes that were written to @p fd. A
/// peer that closes a connection with bytes in it that it hasn't read resets
/// it, so one that has got all and closes in order has read all.
socket_delivery_t
socket_delivery(int fd)
{
    int unacknowledged = 0;
    struct tcp_info info = {0};
    socklen_t size = sizeof(info);
    if (ioctl(fd, SIOCOUTQ, &unacknowledged) != 0 || unacknowledged == 0) {
        return SOCKET_DELIVERED;
    }
    bool reset = getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) == 0 &&
                 info.tcpi_state == TCP_CLOSE;
    return reset ? SOCKET_RESET : SOCKET_PENDING;
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
