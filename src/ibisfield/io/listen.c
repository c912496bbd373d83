/// @file
/// Listening sockets, and what makes it possible to close them without
/// resetting connections.

#include "ibisfield/io/listen.h"

#include <arpa/inet.h>
#include <errno.h>
#include <linux/filter.h>
#include <sys/socket.h>
#include <unistd.h>

/// Of the kernel for each accepted connection. All that has arrived on a
/// connection is read at once, so this bounds what one connection adds to the
/// memory of the process at a time.
#define RECEIVE_BUFFER_BYTES 65536

/// Returns a non-blocking listening socket, or -1 with errno set if the
/// address can't be used.
int
listen_open(const endpoint_t *endpoint)
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons(endpoint->port)};
    inet_pton(AF_INET, endpoint->address, &address.sin_addr);
    const int on = 1;
    const int buffer_bytes = RECEIVE_BUFFER_BYTES;
    if (fd >= 0 &&
        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)) == 0 &&
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &buffer_bytes,
                   sizeof(buffer_bytes)) == 0 &&
        bind(fd, (struct sockaddr *)&address, sizeof(address)) == 0 &&
        listen(fd, SOMAXCONN) == 0)
    {
        return fd;
    }
    int failure = errno;
    if (fd >= 0) {
        close(fd);
    }
    errno = failure;
    return -1;
}

/// Makes the kernel drop the SYN packets of new connections, while handshakes
/// in progress still complete. Closing a listener without this resets the
/// connections that have not been accepted, whose callers may already have
/// sent their requests. Returns false with errno set on failure.
bool
listen_drop_new_connections(int fd)
{
    // Byte 13 of the TCP header holds the flags; 0x02 is SYN. The filter
    // returns how many bytes of a packet to keep: 0 drops it.
    static struct sock_filter drop_syn[] = {
        BPF_STMT(BPF_LD | BPF_B | BPF_ABS, 13),
        BPF_JUMP(BPF_JMP | BPF_JSET | BPF_K, 0x02, 0, 1),
        BPF_STMT(BPF_RET | BPF_K, 0),
        BPF_STMT(BPF_RET | BPF_K, UINT32_MAX),
    };
    const struct sock_fprog program = {
        .len = sizeof(drop_syn) / sizeof(drop_syn[0]),
        .filter = drop_syn,
    };
    return setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &program,
                      sizeof(program)) == 0;
}
